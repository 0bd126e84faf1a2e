// A drain that discovery has reported survives a kill right after it, also if discovery has nothing new to
// say at the restart.
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
    // An old configured list, in which both endpoints still serve.
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

TEST_P(DrainMemory, AReportedEndIsOnDiskWhenTheUpdateReturns) {
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
    // A kill at this point leaves what is on disk now.
    std::filesystem::copy(folder.path, left.path, std::filesystem::copy_options::recursive);

    const auto configAfter = configFor(left.path);
    decisions::Decisions facadeAfter(configAfter, store, {});
    roster::Roster rosterAfter(configAfter, {}, facadeAfter);
    rosterAfter.begin();
    facadeAfter.submit(messageFor(7));
    ASSERT_EQ(facadeAfter.submit(messageFor(8)).kind, decisions::SubmissionResult::Kind::accepted);
    EXPECT_EQ(facadeAfter.attemptsInFlight(), 0u) << "before anything proves an endpoint";
    // Changes relative to the index on disk confirm all endpoints but those whose end is on disk.
    rosterAfter.applyUpdate({11, false, {endpoint("b", 8, listing::Status::serving)}});
    threads::Thread ticker("tick", [&] {
        while (facadeAfter.tick()) {
        }
    });
    std::set<std::string> attempted;
    while (!attempted.count("b")) attempted.insert(facadeAfter.takeDueAttempt()->endpoint);
    EXPECT_EQ(attempted, std::set<std::string>{"b"}) << "an attempt is due at the endpoint that ended";
    facadeAfter.stop();
    facade.stop();
}

/// A roster that writes rarely, so that only the retry after a failed write is soon.
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

// A failed write is repeated at once, not when the next regular one is due.
TEST_F(DrainMemoryOnAFailingDisk, AFailedWriteIsRepeatedSoon) {
    faults::writeFailure.arm(ENOSPC);
    roster_.applyUpdate({10, true, {endpoint("b", 8, listing::Status::serving)}});
    EXPECT_FALSE(written());
    faults::writeFailure.disarm();
    const auto until = decisions::Steady::now() + std::chrono::seconds(10);
    while (!written() && decisions::Steady::now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_TRUE(written());
}

// The thread collects deliveries for up to a second before it applies them. A write that is due must not wait
// for that.
TEST_F(DrainMemoryOnAFailingDisk, AFailedWriteIsRepeatedSoonWhileDeliveriesAreCollected) {
    const auto serving = endpoint("b", 8, listing::Status::serving);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(20));  // by then the thread waits for what is due later
    faults::writeFailure.arm(ENOSPC);
    roster_.applyUpdate({10, true, {serving}});
    ASSERT_FALSE(written());
    decisions::DueAttempt attempt;
    attempt.endpoint = serving.name;
    attempt.address = serving.address;
    decisions::AttemptResult delivered;
    delivered.status = decisions::AttemptStatus::delivered;
    roster_.attemptFinished(attempt, delivered);
    const auto begun = decisions::Steady::now();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));  // by then the thread collects
    faults::writeFailure.disarm();
    while (!written() && decisions::Steady::now() < begun + std::chrono::seconds(10))
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_TRUE(written());
    EXPECT_LT(decisions::Steady::now() - begun, std::chrono::milliseconds(700))
        << "the write waited for the deliveries";
}

INSTANTIATE_TEST_SUITE_P(Kinds, DrainMemory,
                         testing::Values(listing::Status::draining, listing::Status::deleted),
                         [](const auto& status) {
                             return std::string(status.param == listing::Status::draining ? "Draining"
                                                                                          : "Deleted");
                         });

}  // namespace
