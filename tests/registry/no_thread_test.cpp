// The thread that fetches the full list beside a watch can't be created.
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

/// Of the next threads, the first `threadsToMake` are created, and the `threadsToFail` after them are not.
std::atomic<int> threadsToMake{0}, threadsToFail{0}, failed{0};

}  // namespace

// Replaces the C library's function in this program. Only the sender's own threads have attributes.
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

// The watch reports no changes, so only the full list shows whether discovery still uses the known numbering.
// Without a thread to fetch it, the watch must end, and the next one must fetch the list.
TEST(NoThread, TheNextWatchFetchesTheFullList) {
    log::setLevel(log::Level::off);
    std::atomic<int> watches{0}, lists{0};
    Stub discoveryStub([&](http::Message& m) {
        if (m.target == "/registry/instances")
            return ++lists, http::formatResponse(200, {}, list(9, true, entry("a", "127.0.0.1:1", 7)), true);
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
    const discovery::Discovery discovery(config.discovery);
    registry::DiscoveryWatch watch(discovery, roster, {}, 1);
    threadsToMake = 1;  // the thread of the watch
    threadsToFail = 1;
    watch.start();
    await([&] { return failed == 1 && lists > 0; });
    EXPECT_GE(watches, 2);
    watch.stop();
    facade.stop();
}

}  // namespace
