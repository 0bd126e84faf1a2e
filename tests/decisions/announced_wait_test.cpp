// A wait that a partner has told holds from the moment it was heard, however busy the facade is just then.
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

/// True once the thread waits in the kernel.
bool sleeps(pid_t thread) {
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

// One thread has heard the wait and stands behind the facade's lock; the thread that holds the lock lets go
// of it and takes it once more, to begin another call to the same destination.
TEST(ToldWait, HoldsBeforeTheFacadeHasTimeForIt) {
    log::setLevel(log::Level::off);
    const auto config =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    for (int round = 0; round < 20; ++round) {
        check::NoStore store;
        std::atomic<bool> holding{false};
        std::atomic<pid_t> hearer{0};
        decisions::Hooks hooks;
        hooks.messageSubmitted = [&](const decisions::Submission& in, const decisions::SubmissionResult&) {
            if (in.id != "third") return;
            holding = true;  // the facade's lock, as hooks are called with it held
            while (hearer == 0 || !sleeps(hearer)) std::this_thread::yield();
        };
        decisions::Decisions facade(config, store, hooks);
        facade.updateEndpoints(config.known, true);
        facade.submit(message("first"));
        facade.submit(message("second"));
        const auto first = facade.takeDueAttempt(), second = facade.takeDueAttempt();
        ASSERT_TRUE(facade.tryBeginAttempt(*first));
        std::thread hears;
        std::thread holds([&] {
            hears = std::thread([&] {
                decisions::AttemptResult refused;
                refused.status = decisions::AttemptStatus::rejected;
                refused.wait = std::chrono::seconds(5);
                while (!holding) std::this_thread::yield();
                hearer = static_cast<pid_t>(syscall(SYS_gettid));
                facade.recordResult(*first, refused);
            });
            facade.submit(message("third"));
            EXPECT_FALSE(facade.tryBeginAttempt(*second)) << "round " << round;
        });
        holds.join();
        hears.join();
        facade.stop();
    }
}

}  // namespace
