// The time scale of stored data: which clock steps and restarts change it, and which do not.
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
const Anchor kStored{"boot-1", kWallMs - 5'000, 5'000};

RecordMs timeAt(const Anchor& anchor, std::int64_t monotonicMs) { return anchor.offsetMs + monotonicMs; }

TEST(RecordClock, WallClockStepDoesNotShiftStoredTimes) {
    for (const auto step : {-kHourMs, -2'000l, 2'000l, kHourMs}) {
        const auto anchor = chooseAnchor(kStored, {"boot-1", kWallMs + 10'000 + step, 15'000});
        EXPECT_EQ(timeAt(anchor, 15'000), kWallMs + 10'000) << step;
    }
}

TEST(RecordClock, FirstStartBeginsAtWallClockTime) {
    EXPECT_EQ(timeAt(chooseAnchor({}, {"boot-1", kWallMs, 700}), 700), kWallMs);
}

// The monotonic clock starts anew with each boot; only the wall clock continues across a reboot. Without a
// boot id, a monotonic reading below the stored one shows the reboot.
TEST(RecordClock, RebootFallsBackToWallClock) {
    const auto byId = chooseAnchor(kStored, {"boot-2", kWallMs + 60'000, 90'000});
    EXPECT_EQ(timeAt(byId, 90'000), kWallMs + 60'000);
    const Anchor noId{"", kWallMs - 50'000, 50'000};
    const auto byReading = chooseAnchor(noId, {"", kWallMs + 60'000, 3'000});
    EXPECT_EQ(timeAt(byReading, 3'000), kWallMs + 60'000);
    EXPECT_EQ(chooseAnchor(noId, {"", kWallMs, 60'000}).offsetMs, noId.offsetMs);
}

TEST(RecordClock, LaterRunContinuesFromAnchorOnDisk) {
    laurelhaven::log::setLevel(laurelhaven::log::Level::off);
    const check::Folder folder;
    RecordClock first(folder.path);
    ASSERT_TRUE(first.persist());
    RecordClock second(folder.path);
    const auto differenceMs = second.now() - first.now();
    EXPECT_GE(differenceMs, 0);
    EXPECT_LT(differenceMs, 10'000);
    EXPECT_FALSE(std::filesystem::exists(folder.path + "/clock.anchor.new"));
}

TEST(RecordClock, PersistFailsWhileDiskFails) {
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

TEST(RecordClock, DamagedAnchorIsIgnored) {
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
