// The time line of what is kept on disk: which steps and restarts move it, and which don't.
#include "clock/record_clock.hpp"

#include <gtest/gtest.h>

#include <fstream>

#include "check.hpp"
#include "faults/file_faults.hpp"
#include "log/log.hpp"

namespace {

using namespace laurelhaven::clock;

constexpr std::int64_t kHourMs = 3'600'000;
constexpr std::int64_t kWallMs = 1'800'000'000'000;
const Anchor kKept{"boot-1", kWallMs - 5'000, 5'000};

RecordMs lineAt(const Anchor& anchor, std::int64_t monotonicMs) { return anchor.offsetMs + monotonicMs; }

TEST(RecordClock, AStepOfTheWallClockMovesNothing) {
    for (const auto step : {-kHourMs, -2'000l, 2'000l, kHourMs}) {
        const auto anchor = chooseAnchor(kKept, {"boot-1", kWallMs + 10'000 + step, 15'000});
        EXPECT_EQ(lineAt(anchor, 15'000), kWallMs + 10'000) << step;
    }
}

TEST(RecordClock, AFirstStartBeginsAtTheWallClock) {
    EXPECT_EQ(lineAt(chooseAnchor({}, {"boot-1", kWallMs, 700}), 700), kWallMs);
}

// The monotonic clock has begun anew: only the wall clock spans that.
TEST(RecordClock, ARestartOfTheMachineIsBridgedByTheWallClock) {
    const auto byId = chooseAnchor(kKept, {"boot-2", kWallMs + 60'000, 90'000});
    EXPECT_EQ(lineAt(byId, 90'000), kWallMs + 60'000);
    const Anchor noId{"", kWallMs - 50'000, 50'000};
    const auto byReading = chooseAnchor(noId, {"", kWallMs + 60'000, 3'000});
    EXPECT_EQ(lineAt(byReading, 3'000), kWallMs + 60'000);
    EXPECT_EQ(chooseAnchor(noId, {"", kWallMs, 60'000}).offsetMs, noId.offsetMs);
}

TEST(RecordClock, ALaterProcessGoesOnFromTheAnchorOnDisk) {
    laurelhaven::log::setLevel(laurelhaven::log::Level::off);
    const check::Folder folder;
    RecordClock first(folder.path);
    ASSERT_TRUE(first.persist());
    RecordClock second(folder.path);
    const auto apart = second.now() - first.now();
    EXPECT_GE(apart, 0);
    EXPECT_LT(apart, 10'000);
    EXPECT_FALSE(std::filesystem::exists(folder.path + "/clock.anchor.new"));
}

TEST(RecordClock, IsNotPersistedWhileTheDiskFails) {
    laurelhaven::log::setLevel(laurelhaven::log::Level::off);
    const check::Folder folder;
    RecordClock clock(folder.path);
    faults::writeFailure.arm(ENOSPC);
    EXPECT_FALSE(clock.persist());
    faults::writeFailure.disarm();
    faults::renameFailure.arm(EIO, 1);
    EXPECT_FALSE(clock.persist());
    EXPECT_TRUE(clock.persist());
}

// Whatever lies there instead of an anchor is none.
TEST(RecordClock, ADamagedAnchorIsNone) {
    laurelhaven::log::setLevel(laurelhaven::log::Level::off);
    const check::Folder folder;
    ASSERT_TRUE(RecordClock(folder.path).persist());
    const auto path = folder.path + "/clock.anchor";
    std::fstream(path, std::ios::in | std::ios::out | std::ios::binary).seekp(20) << 'x';
    RecordClock clock(folder.path);
    const auto wall = readClocks().wallMs;
    EXPECT_NEAR(static_cast<double>(clock.now()), static_cast<double>(wall), 10'000);
    EXPECT_TRUE(clock.persist());
}

}  // namespace
