// A request that waits because the server is busy gets no more time than its client gave it.
#include <gtest/gtest.h>

#include <future>
#include <map>
#include <mutex>
#include <thread>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "front/front.hpp"
#include "http/message.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

constexpr int kDeadlineMs = 5000;
constexpr milliseconds kBusy{200};

class LateRead : public testing::Test {
  protected:
    LateRead() {
        log::setLevel(log::Level::off);
        decisions_.updateEndpoints(config_.known, true);
        server_.start();
    }
    ~LateRead() override {
        server_.stop();
        decisions_.stop();
    }
    net::Fd connect() const {
        net::Fd fd = net::tcpSocket();
        const auto at = net::parseAddress("127.0.0.1:" + std::to_string(port_));
        EXPECT_TRUE(net::connectBy(fd.get(), *at, soon()));
        return fd;
    }
    static net::Deadline soon() { return net::Steady::now() + std::chrono::seconds(20); }
    static void send(const net::Fd& fd, const std::string& id) {
        const auto request = http::formatRequest("POST", "/notice", "service.internal",
                                                 {{"Req-Id", id},
                                                  {"Req-Kind", "notice"},
                                                  {"Req-Owner", "acme"},
                                                  {"Req-Deadline-Ms", std::to_string(kDeadlineMs)},
                                                  {"Idempotency-Key", "key-" + id},
                                                  {"X-Route-To", "dest=7"}},
                                                 "body");
        EXPECT_EQ(net::sendAll(fd.get(), request, soon()), net::IoResult::done);
    }
    static int status(const net::Fd& fd) {
        http::Parser parser(http::Parser::Role::response);
        for (std::string received; parser.state() != http::Parser::State::complete; received.clear()) {
            if (net::receive(fd.get(), received, soon()) != net::IoResult::done) return 0;
            parser.feed(received);
        }
        return parser.message().status;
    }
    void submitted(const decisions::Submission& message) {
        {
            const std::lock_guard lock(mutex_);
            deadlines_[message.id] = message.deadline;
        }
        if (message.id != "first") return;
        busy_.set_value();
        goOn_.get_future().wait();
    }
    net::Deadline deadlineOf(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return deadlines_[id];
    }

    std::mutex mutex_;
    std::map<std::string, net::Deadline> deadlines_;
    std::promise<void> busy_, goOn_;
    const config::Config config_ = config::fromText(
        check::configuration("127.0.0.1:0", "127.0.0.1:1", check::entry("a", "127.0.0.1:9", 7)),
        {{"BALANCER_STATE", "/tmp"}});
    check::NoStore store_;
    decisions::Decisions decisions_{config_,
                                    store_,
                                    {[](const decisions::UndeliveredEnd&) {},
                                     [](const std::string&) {},
                                     {},
                                     {},
                                     [this](const decisions::Submission& message,
                                            const decisions::SubmissionResult&) { submitted(message); }}};
    front::HttpServer server_{config_, decisions_};
    const int port_ = server_.port();
};

TEST_F(LateRead, TimeOfARequestCountsFromItsArrival) {
    const auto kept = connect();
    send(kept, "before");
    ASSERT_EQ(status(kept), 202);
    const auto first = connect();
    send(first, "first");
    busy_.get_future().wait();
    const auto sentAt = net::Steady::now();
    send(kept, "on_kept");
    const auto fresh = connect();
    send(fresh, "on_new");
    std::this_thread::sleep_until(sentAt + kBusy);
    goOn_.set_value();
    for (const auto* fd : {&first, &kept, &fresh}) EXPECT_EQ(status(*fd), 202);
    for (const char* id : {"on_kept", "on_new"})
        EXPECT_LE((deadlineOf(id) - sentAt) / milliseconds(1), kDeadlineMs + kBusy.count() / 2) << id;
}

}  // namespace
