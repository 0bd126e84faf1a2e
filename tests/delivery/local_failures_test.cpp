// A temporary shortage on this machine (of a descriptor, a port, a route or a buffer) says nothing about the
// destination: it must neither use up an attempt nor count as an outage.
#include <dlfcn.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <cerrno>

#include "delivery/delivery.hpp"
#include "log/log.hpp"
#include "no_store.hpp"
#include "notices/notices.hpp"
#include "program.hpp"
#include "threads/thread.hpp"

namespace {

std::atomic<int> connectsToFail{0}, socketsToFail{0}, errorToFailWith{0};

bool takeFailure(std::atomic<int>& remaining) {
    if (remaining <= 0) return false;
    --remaining;
    errno = errorToFailWith;
    return true;
}

}  // namespace

// These replace the C library's functions in this program.
extern "C" int connect(int fd, const sockaddr* to, socklen_t size) {
    static const auto real = reinterpret_cast<decltype(&connect)>(dlsym(RTLD_NEXT, "connect"));
    return takeFailure(connectsToFail) ? -1 : real(fd, to, size);
}
extern "C" int socket(int family, int type, int protocol) noexcept {
    static const auto real = reinterpret_cast<int (*)(int, int, int)>(dlsym(RTLD_NEXT, "socket"));
    return takeFailure(socketsToFail) ? -1 : real(family, type, protocol);
}

namespace {

using namespace laurelhaven;
using namespace check;

struct Failure {
    const char* name;
    std::atomic<int>* failuresLeft;
    int error;
    bool local;  ///< caused by this machine, not by the endpoint
};

class LocalFailures : public testing::TestWithParam<Failure> {};

TEST_P(LocalFailures, AreNotAttributedToTheDestination) {
    log::setLevel(log::Level::off);
    std::atomic<int> requests{0};
    Stub endpoint([&](http::Message&) { return ++requests, answer(200); });
    const auto config = config::fromText(
        configuration("127.0.0.1:0", "127.0.0.1:1", entry("a", endpoint.at(), 7), settings()),
        {{"BALANCER_STATE", "/tmp"}});
    NoStore store;
    std::atomic<int> ended{0};
    decisions::Hooks hooks;
    hooks.messageEnded = [&](const decisions::UndeliveredEnd&) { ++ended; };
    decisions::Decisions decisions(config, store, hooks);
    decisions.updateEndpoints(config.known, true);
    errorToFailWith = GetParam().error;
    *GetParam().failuresLeft = 8;  // as many attempts as a message may have
    delivery::Delivery delivery(config, decisions);
    delivery.start();
    threads::Thread ticker("tick", [&] {
        while (decisions.tick()) {
        }
    });
    for (int i = 0; i < 3; ++i) {
        const auto id = "m" + std::to_string(i);
        decisions.submit(decisions::Submission{id, "key-" + id, 7, 0, 0,
                                               decisions::Steady::now() + std::chrono::seconds(25),
                                               std::make_shared<const std::string>("body")});
    }
    await([&] { return decisions.heldMessages() == 0; });
    EXPECT_EQ(requests, 3);
    EXPECT_EQ(ended, 0);
    bool outage = false;
    for (const auto& health : decisions.destinationHealth())
        outage = outage || health.down || health.sinceRecovery;
    EXPECT_EQ(outage, !GetParam().local);
    decisions.stop();
    delivery.stop();
}

// A notice is due within a short time of its message's end: a temporary lack of ports must not delay it.
TEST(LocalFailuresOfNotices, DoNotDelayANotice) {
    log::setLevel(log::Level::off);
    Platform platform;
    const discovery::Discovery discovery(*net::parseAddress(platform.stub.at()));
    std::atomic<bool> acknowledged{false};
    notices::NoticeDispatcher notices(discovery,
                                      [&](const std::vector<std::string>&) { acknowledged = true; });
    errorToFailWith = EADDRNOTAVAIL;
    connectsToFail = 12;
    const auto startedAt = net::Steady::now();
    notices.start();
    notices.add({"m", store::FinalState::failed, 0});
    await([&] { return acknowledged.load(); });
    EXPECT_LT(net::Steady::now() - startedAt, std::chrono::milliseconds(1500));
    notices.stop();
}

INSTANTIATE_TEST_SUITE_P(Calls, LocalFailures,
                         testing::Values(Failure{"NoPort", &connectsToFail, EADDRNOTAVAIL, true},
                                         Failure{"NoRoute", &connectsToFail, ENETUNREACH, true},
                                         Failure{"NoBuffer", &connectsToFail, ENOBUFS, true},
                                         Failure{"NoDescriptor", &socketsToFail, ENFILE, true},
                                         Failure{"Refused", &connectsToFail, ECONNREFUSED, false}),
                         [](const auto& failure) { return std::string(failure.param.name); });

}  // namespace
