// What discovery has told is remembered from that moment on: a process that is killed right behind it comes
// back without discovery, and still knows.
#include <gtest/gtest.h>

#include <set>
#include <thread>

#include "check.hpp"
#include "config/config.hpp"
#include "faults/file_faults.hpp"
#include "log/log.hpp"
#include "no_store.hpp"
#include "roster/roster.hpp"
#include "threads/thread.hpp"

namespace {

using namespace laurelhaven;

listing::Endpoint endpoint(const std::string& name, std::uint64_t destination, listing::Status status) {
    return {name, "127.0.0.1:" + std::to_string(1000 + destination), "z", "big", destination, status, 50, 0};
}

config::Config configFor(const std::string& state) {
    // The list that the sender was configured with, long ago.
    const auto known = check::entry("a", "127.0.0.1:1007", 7) + "," + check::entry("b", "127.0.0.1:1008", 8);
    return config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1", known, check::settings()),
                            {{"BALANCER_STATE", state}});
}

decisions::Submission messageFor(std::uint64_t destination) {
    const auto id = "for-" + std::to_string(destination);
    return {id,
            "key-" + id,
            destination,
            0,
            0,
            decisions::Steady::now() + std::chrono::seconds(20),
            std::make_shared<const std::string>("body")};
}

class DrainMemory : public testing::TestWithParam<listing::Status> {};

TEST_P(DrainMemory, ADrainIsOnDiskOnceItHasBeenHeard) {
    log::setLevel(log::Level::off);
    const check::Folder folder, left;
    check::NoStore store;
    const auto config = configFor(folder.path);
    decisions::Decisions facade(config, store, {});
    roster::Roster roster(config, {}, facade);
    roster.begin();
    roster.applyUpdate(
        {10, true, {endpoint("a", 7, listing::Status::serving), endpoint("b", 8, listing::Status::serving)}});
    roster.streamVerified();
    roster.applyUpdate({11, false, {endpoint("a", 7, GetParam())}});
    // What lies on disk at this moment is all that a kill leaves.
    std::filesystem::copy(folder.path, left.path, std::filesystem::copy_options::recursive);

    const auto configAfter = configFor(left.path);
    decisions::Decisions facadeAfter(configAfter, store, {});
    roster::Roster rosterAfter(configAfter, {}, facadeAfter);
    rosterAfter.begin();
    facadeAfter.submit(messageFor(7));
    ASSERT_EQ(facadeAfter.submit(messageFor(8)).kind, decisions::SubmissionResult::Kind::accepted);
    // Both are in doubt at first, so the call may be due a little later.
    threads::Thread ticker("tick", [&] {
        while (facadeAfter.tick()) {
        }
    });
    std::set<std::string> called;
    while (!called.count("b")) called.insert(facadeAfter.takeDueAttempt()->endpoint);
    EXPECT_EQ(called, std::set<std::string>{"b"}) << "a call for the endpoint that has gone is due";
    facadeAfter.stop();
    facade.stop();
}

/// A roster that writes seldom, unless a write fails.
class DrainMemoryOnAFailingDisk : public testing::Test {
  protected:
    DrainMemoryOnAFailingDisk() {
        log::setLevel(log::Level::off);
        roster_.begin();
        roster_.start();
    }
    ~DrainMemoryOnAFailingDisk() override { facade_.stop(); }
    static roster::Options options() {
        roster::Options options;
        options.writeEvery = std::chrono::seconds(20);
        return options;
    }
    bool written() const { return std::filesystem::exists(folder_.path + "/endpoints.list"); }

    const check::Folder folder_;
    check::NoStore store_;
    const config::Config config_ = configFor(folder_.path);
    decisions::Decisions facade_{config_, store_, {}};
    roster::Roster roster_{config_, options(), facade_};
};

// A write that fails is repeated at once, not when the next one is due.
TEST_F(DrainMemoryOnAFailingDisk, ADrainIsOnDiskSoonAfterWritesSucceed) {
    faults::writeFailure.arm(ENOSPC);
    roster_.applyUpdate({10, true, {endpoint("b", 8, listing::Status::serving)}});
    EXPECT_FALSE(written());
    faults::writeFailure.disarm();
    const auto until = decisions::Steady::now() + std::chrono::seconds(10);
    while (!written() && decisions::Steady::now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_TRUE(written());
}

// Word of deliveries gathers for a moment before it is taken in; a write that is due does not wait for that.
TEST_F(DrainMemoryOnAFailingDisk, ADrainIsOnDiskSoonThoughWordOfDeliveriesGathers) {
    const auto serving = endpoint("b", 8, listing::Status::serving);
    faults::writeFailure.arm(ENOSPC);
    roster_.applyUpdate({10, true, {serving}});
    ASSERT_FALSE(written());
    decisions::DueAttempt call;
    call.endpoint = serving.name;
    call.address = serving.address;
    decisions::AttemptResult delivered;
    delivered.status = decisions::AttemptStatus::delivered;
    roster_.attemptFinished(call, delivered);
    const auto begun = decisions::Steady::now();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));  // its thread has begun to gather by then
    faults::writeFailure.disarm();
    while (!written() && decisions::Steady::now() < begun + std::chrono::seconds(10))
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_TRUE(written());
    EXPECT_LT(decisions::Steady::now() - begun, std::chrono::milliseconds(700)) << "it waited for the word";
}

INSTANTIATE_TEST_SUITE_P(Kinds, DrainMemory,
                         testing::Values(listing::Status::draining, listing::Status::deleted),
                         [](const auto& status) {
                             return std::string(status.param == listing::Status::draining ? "Draining"
                                                                                          : "Deleted");
                         });

}  // namespace
