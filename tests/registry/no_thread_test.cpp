// A machine that has no thread to give just when the whole list is to be asked for beside a watch.
#include <dlfcn.h>
#include <gtest/gtest.h>
#include <pthread.h>

#include <atomic>
#include <cerrno>

#include "log/log.hpp"
#include "no_store.hpp"
#include "program.hpp"
#include "registry/registry.hpp"

namespace {

/// Of the threads to come: so many are made, and then so many are not.
std::atomic<int> threadsToMake{0}, threadsToFail{0}, failed{0};

}  // namespace

// In place of the C library's, for this program alone. Only the sender's own threads have attributes.
extern "C" int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*start)(void*),
                              void* argument) noexcept {
    using Create = int (*)(pthread_t*, const pthread_attr_t*, void* (*)(void*), void*);
    static const auto real = reinterpret_cast<Create>(dlsym(RTLD_NEXT, "pthread_create"));
    if (attributes && threadsToMake > 0) {
        --threadsToMake;
    } else if (attributes && threadsToFail > 0) {
        --threadsToFail;
        ++failed;
        return EAGAIN;
    }
    return real(thread, attributes, start, argument);
}

namespace {

using namespace laurelhaven;
using namespace check;

// The watch has nothing new to say, so only the whole list can tell whether its numbering is ours. Without a
// thread for that the watch ends, and the next one asks.
TEST(NoThread, ForTheWholeListEndsNothing) {
    log::setLevel(log::Level::off);
    std::atomic<int> watches{0}, lists{0};
    Stub discoveryStub([&](http::Message& m) {
        if (m.target == "/registry/instances")
            return ++lists, http::response(200, {}, list(9, true, entry("a", "127.0.0.1:1", 7)), true);
        ++watches;
        return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    });
    const Folder folder;
    const auto config = config::fromText(
        configuration("127.0.0.1:0", discoveryStub.at(), entry("a", "127.0.0.1:1", 7), settings()),
        {{"BALANCER_STATE", folder.path}});
    NoStore store;
    decisions::Decisions facade(config, store, {});
    roster::Options options;
    options.saveList = options.probesEnabled = false;
    roster::Roster roster(config, options, facade);
    roster.begin();
    const discovery::Discovery place(config.discovery);
    registry::DiscoveryWatch registry(place, roster, {}, 1);
    threadsToMake = 1;  // the watch's own
    threadsToFail = 1;
    registry.start();
    await([&] { return failed == 1 && lists > 0; });
    EXPECT_GE(watches, 2);
    registry.stop();
    facade.stop();
}

}  // namespace
