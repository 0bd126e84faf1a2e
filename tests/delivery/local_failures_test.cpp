// What this machine lacks for a moment (a descriptor, a port, a route, a buffer) says nothing of a partner:
// no attempt is used up, and no outage is seen.
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

std::atomic<int> connectsToFail{0}, socketsToFail{0}, failWith{0};

bool fails(std::atomic<int>& left) {
    if (left <= 0) return false;
    --left;
    errno = failWith;
    return true;
}

}  // namespace

// In place of the C library's, for this program alone.
extern "C" int connect(int fd, const sockaddr* to, socklen_t size) {
    static const auto real = reinterpret_cast<decltype(&connect)>(dlsym(RTLD_NEXT, "connect"));
    return fails(connectsToFail) ? -1 : real(fd, to, size);
}
extern "C" int socket(int family, int type, int protocol) noexcept {
    static const auto real = reinterpret_cast<int (*)(int, int, int)>(dlsym(RTLD_NEXT, "socket"));
    return fails(socketsToFail) ? -1 : real(family, type, protocol);
}

namespace {

using namespace laurelhaven;
using namespace check;

struct Failure {
    const char* name;
    std::atomic<int>* call;
    int error;
    bool ours;  ///< this machine's own, not the partner's
};

class LocalFailures : public testing::TestWithParam<Failure> {};

TEST_P(LocalFailures, SayNothingOfThePartner) {
    log::setLevel(log::Level::off);
    std::atomic<int> called{0};
    Stub endpoint([&](http::Message&) { return ++called, answer(200); });
    const auto config = config::fromText(
        configuration("127.0.0.1:0", "127.0.0.1:1", entry("a", endpoint.at(), 7), settings()),
        {{"BALANCER_STATE", "/tmp"}});
    NoStore store;
    std::atomic<int> ended{0};
    decisions::Hooks hooks;
    hooks.messageEnded = [&](const store::PendingNotice&) { ++ended; };
    decisions::Decisions facade(config, store, hooks);
    facade.updateEndpoints(config.known, true);
    failWith = GetParam().error;
    *GetParam().call = 8;  // as many as a message may have attempts
    delivery::Delivery delivery(config, facade);
    delivery.start();
    threads::Thread ticker("tick", [&] {
        while (facade.tick()) {
        }
    });
    for (int i = 0; i < 3; ++i) {
        const auto id = "m" + std::to_string(i);
        facade.submit(decisions::Submission{id, "key-" + id, 7, 0, 0,
                                            decisions::Steady::now() + std::chrono::seconds(25),
                                            std::make_shared<const std::string>("body")});
    }
    await([&] { return facade.heldMessages() == 0; });
    EXPECT_EQ(called, 3);
    EXPECT_EQ(ended, 0);
    bool outage = false;
    for (const auto& standing : facade.destinationHealth())
        outage = outage || standing.down || standing.sinceRecovery;
    EXPECT_EQ(outage, !GetParam().ours);
    facade.stop();
    delivery.stop();
}

// An end has little time left: a machine that lacks a port for a moment does not make it late.
TEST(LocalFailuresOfNotices, DoNotMakeAnEndLate) {
    log::setLevel(log::Level::off);
    Platform platform;
    const discovery::Discovery place(*net::parseAddress(platform.stub.at()));
    std::atomic<bool> heard{false};
    notices::NoticeDispatcher notices(place, [&](const std::vector<std::string>&) { heard = true; });
    failWith = EADDRNOTAVAIL;
    connectsToFail = 12;
    const auto begun = net::Steady::now();
    notices.start();
    notices.add({"m", store::FinalState::failed, 0});
    await([&] { return heard.load(); });
    EXPECT_LT(net::Steady::now() - begun, std::chrono::milliseconds(1500));
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
