// A wait that a destination has announced applies from the time the answer was received, even while the
// facade's lock is held by another thread.
#include <gtest/gtest.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

/// True if the thread is blocked in the kernel.
bool isBlocked(pid_t thread) {
    std::ifstream file("/proc/self/task/" + std::to_string(thread) + "/stat");
    std::string line;
    std::getline(file, line);
    const auto state = line.rfind(") ");
    return state != std::string::npos && line[state + 2] == 'S';
}

decisions::Submission message(const std::string& id) {
    return {id,
            "key-" + id,
            7,
            0,
            0,
            decisions::Steady::now() + std::chrono::seconds(20),
            std::make_shared<const std::string>("body")};
}

// One thread has received the announced wait and blocks on the facade's lock. The thread that holds the lock
// releases it and takes it again at once, to begin another attempt to the same destination: that must fail.
TEST(AnnouncedWait, AppliesBeforeTheFacadeLockIsTaken) {
    log::setLevel(log::Level::off);
    const auto config =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    for (int round = 0; round < 20; ++round) {
        check::NoStore store;
        std::atomic<bool> lockHeld{false};
        std::atomic<pid_t> receiverThread{0};
        decisions::Hooks hooks;
        hooks.messageSubmitted = [&](const decisions::Submission& in, const decisions::SubmissionResult&) {
            if (in.id != "third") return;
            lockHeld = true;  // hooks run with the facade's lock held
            while (receiverThread == 0 || !isBlocked(receiverThread)) std::this_thread::yield();
        };
        decisions::Decisions facade(config, store, hooks);
        facade.updateEndpoints(config.known, true);
        facade.submit(message("first"));
        facade.submit(message("second"));
        const auto first = facade.takeDueAttempt(), second = facade.takeDueAttempt();
        ASSERT_TRUE(facade.tryBeginAttempt(*first));
        std::thread receiver;
        std::thread lockHolder([&] {
            receiver = std::thread([&] {
                decisions::AttemptResult rejected;
                rejected.status = decisions::AttemptStatus::rejected;
                rejected.wait = std::chrono::seconds(5);
                while (!lockHeld) std::this_thread::yield();
                receiverThread = static_cast<pid_t>(syscall(SYS_gettid));
                facade.recordResult(*first, rejected);
            });
            facade.submit(message("third"));
            EXPECT_FALSE(facade.tryBeginAttempt(*second)) << "round " << round;
        });
        lockHolder.join();
        receiver.join();
        facade.stop();
    }
}

}  // namespace
