// A client for whom there is no room is told so, also where the system interrupts the write or takes a part.
#include <dlfcn.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <vector>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "front/front.hpp"
#include "http/message.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

namespace {

std::atomic<int> sendsToInterrupt{0}, sendsToCut{0};

bool take(std::atomic<int>& left) {
    if (left <= 0) return false;
    --left;
    return true;
}

}  // namespace

// In place of the C library's, for this program alone.
extern "C" ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    static const auto real = reinterpret_cast<decltype(&send)>(dlsym(RTLD_NEXT, "send"));
    if (take(sendsToInterrupt)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, bytes, take(sendsToCut) ? 1 : size, flags);
}

namespace {

using namespace laurelhaven;

constexpr int kSockets = 96;

class TurnAway : public testing::Test {
  protected:
    TurnAway() {
        log::setLevel(log::Level::off);
        front_.start();
        // All of them young: none makes way for a newcomer.
        for (std::size_t i = 0; i < config::shares(config_).clients; ++i) clients_.push_back(connect());
    }
    ~TurnAway() override {
        sendsToInterrupt = sendsToCut = 0;
        clients_.clear();
        front_.stop();
        facade_.stop();
    }
    net::Fd connect() {
        net::Fd fd = net::tcpSocket();
        const auto at = net::parseAddress("127.0.0.1:" + std::to_string(front_.port()));
        EXPECT_TRUE(net::connectBy(fd.get(), *at, soon()));
        return fd;
    }
    static net::Deadline soon() { return net::Steady::now() + std::chrono::seconds(20); }
    /// The status that a newcomer is told; 0 where it is shut without a word.
    int statusOfANewcomer() {
        const auto fd = connect();
        http::Parser parser(http::Parser::Role::response);
        for (std::string got; parser.state() != http::Parser::State::complete; got.clear()) {
            if (net::receive(fd.get(), got, soon()) != net::IoResult::done) return 0;
            parser.feed(got);
        }
        return parser.message().status;
    }

    const config::Config config_ = config::fromText(
        check::configuration("127.0.0.1:0", "127.0.0.1:1", check::entry("a", "127.0.0.1:9", 7),
                             check::settings(), kSockets),
        {{"BALANCER_STATE", "/tmp"}});
    check::NoStore store_;
    decisions::Decisions facade_{config_, store_, {}};
    front::HttpServer front_{config_, facade_};
    std::vector<net::Fd> clients_;
};

TEST_F(TurnAway, IsToldThoughTheWriteIsInterrupted) {
    sendsToInterrupt = 2;
    EXPECT_EQ(statusOfANewcomer(), 503);
}

TEST_F(TurnAway, IsToldThoughTheWriteTakesAPart) {
    sendsToCut = 3;
    EXPECT_EQ(statusOfANewcomer(), 503);
}

}  // namespace
