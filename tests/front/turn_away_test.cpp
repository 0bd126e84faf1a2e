// A client that is rejected for lack of capacity gets a 503, also when the write of the response is
// interrupted by a signal or takes only a part of it.
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

std::atomic<int> sendsToInterrupt{0}, sendsToShorten{0};

bool takeOne(std::atomic<int>& remaining) {
    if (remaining <= 0) return false;
    --remaining;
    return true;
}

}  // namespace

// Replaces the C library's function in this program.
extern "C" ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    static const auto real = reinterpret_cast<decltype(&send)>(dlsym(RTLD_NEXT, "send"));
    if (takeOne(sendsToInterrupt)) {
        errno = EINTR;
        return -1;
    }
    return real(fd, bytes, takeOne(sendsToShorten) ? 1 : size, flags);
}

namespace {

using namespace laurelhaven;

constexpr int kMaxSockets = 96;

class RejectForCapacity : public testing::Test {
  protected:
    RejectForCapacity() {
        log::setLevel(log::Level::off);
        server_.start();
        // All connections are too recent to be closed for a new one.
        for (std::size_t i = 0; i < config::shares(config_).clients; ++i) clients_.push_back(connect());
    }
    ~RejectForCapacity() override {
        sendsToInterrupt = sendsToShorten = 0;
        clients_.clear();
        server_.stop();
        decisions_.stop();
    }
    net::Fd connect() {
        net::Fd fd = net::tcpSocket();
        const auto at = net::parseAddress("127.0.0.1:" + std::to_string(server_.port()));
        EXPECT_TRUE(net::connectBy(fd.get(), *at, soon()));
        return fd;
    }
    static net::Deadline soon() { return net::Steady::now() + std::chrono::seconds(20); }
    /// Status of the response to a new connection; 0 if it is closed without one.
    int statusOfNewConnection() {
        const auto fd = connect();
        http::Parser parser(http::Parser::Role::response);
        for (std::string received; parser.state() != http::Parser::State::complete; received.clear()) {
            if (net::receive(fd.get(), received, soon()) != net::IoResult::done) return 0;
            parser.feed(received);
        }
        return parser.message().status;
    }

    const config::Config config_ = config::fromText(
        check::configuration("127.0.0.1:0", "127.0.0.1:1", check::entry("a", "127.0.0.1:9", 7),
                             check::settings(), kMaxSockets),
        {{"BALANCER_STATE", "/tmp"}});
    check::NoStore store_;
    decisions::Decisions decisions_{config_, store_, {}};
    front::HttpServer server_{config_, decisions_};
    std::vector<net::Fd> clients_;
};

TEST_F(RejectForCapacity, RespondsAlthoughTheWriteIsInterrupted) {
    sendsToInterrupt = 2;
    EXPECT_EQ(statusOfNewConnection(), 503);
}

TEST_F(RejectForCapacity, RespondsAlthoughTheWriteIsPartial) {
    sendsToShorten = 3;
    EXPECT_EQ(statusOfNewConnection(), 503);
}

}  // namespace
