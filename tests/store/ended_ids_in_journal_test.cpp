// The journal knows the ids of messages that must not be repeated for long: over thousands of others,
// compactions, restarts, kills at any moment and faults of the disk, within its share of the disk.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <vector>

#include "check.hpp"
#include "faults/file_faults.hpp"
#include "log/log.hpp"
#include "store/journal.hpp"

namespace {

using namespace laurelhaven;
using store::EndedIdFiles;
using store::EndedIdSegment;
using store::MessageEnd;

constexpr std::uint64_t kDiskBytes = 3'000'000;
constexpr int kUnsafe = 2;
constexpr std::size_t kSegment = EndedIdSegment::kEntries;

class EndedIdsInJournal : public testing::Test {
  protected:
    EndedIdsInJournal() {
        log::setLevel(log::Level::off);
        open();
    }
    ~EndedIdsInJournal() override { repairDisk(); }
    static void repairDisk() {
        for (auto* failure : {&faults::writeFailure, &faults::readFailure, &faults::renameFailure})
            failure->disarm();
        faults::writtenBeforeFailure = 0;
    }
    void open(std::uint64_t diskBytes = kDiskBytes) {
        journal_ = std::make_unique<store::Journal>(folder_.path, diskBytes);
        recovered_ = journal_->recover();
    }
    static store::StoredMessage message(const std::string& id, int effect, std::size_t bodyBytes = 20) {
        store::StoredMessage message;
        message.id = id;
        message.key = "key-" + id;
        message.destination = 7;
        message.messageClass = "claim-referral";
        message.effect = effect;
        message.deadline = 1000;
        message.body = std::make_shared<const std::string>(std::string(bodyBytes, 'b'));
        return message;
    }
    bool deliver(const std::string& id, int effect = kUnsafe) {
        return journal_->accept(message(id, effect)) && journal_->beginAttempt(id, 10) &&
               journal_->remove(id);
    }
    void deliverRange(std::size_t from, std::size_t to, int effect = kUnsafe) {
        for (auto number = from; number < to; ++number)
            ASSERT_TRUE(deliver("m" + std::to_string(number), effect)) << number;
    }
    MessageEnd endOf(const std::string& id) const {
        const auto found = journal_->findEnd(id);
        EXPECT_TRUE(found) << id;
        return found ? found->end : MessageEnd::abandoned;
    }
    bool knows(const std::string& id) const { return journal_->findEnd(id).has_value(); }
    std::size_t unknown(std::size_t to) const {
        std::size_t count = 0;
        for (std::size_t number = 0; number < to; ++number) count += !knows("m" + std::to_string(number));
        return count;
    }
    std::uint64_t diskUsage() const {
        std::uint64_t all = 0;
        for (const auto& file : std::filesystem::directory_iterator(folder_.path))
            all += (std::filesystem::file_size(file) + 511) / 512 * 512;
        return all;
    }
    std::size_t segmentFiles() const {
        std::size_t count = 0;
        for (const auto& file : std::filesystem::directory_iterator(folder_.path))
            count += file.path().extension() == ".ids";
        return count;
    }

    const check::Folder folder_;
    std::unique_ptr<store::Journal> journal_;
    store::RecoveredState recovered_;
};

// In the review's case a kill left the last 256 known: all that had ended before them ran again.
TEST_F(EndedIdsInJournal, KnowsThemBehindThousandsOfOthersAndARestart) {
    deliverRange(0, 5000);
    EXPECT_EQ(unknown(5000), 0u);
    open();
    EXPECT_EQ(unknown(5000), 0u);
    EXPECT_TRUE(recovered_.messages.empty() && recovered_.notices.empty());
}

TEST_F(EndedIdsInJournal, KnowsThemOnceTheyAreInFilesOfTheirOwn) {
    const std::size_t count = 2 * kSegment + 3000;
    deliverRange(0, count);
    EXPECT_GE(segmentFiles(), 1u);
    EXPECT_EQ(unknown(count), 0u);
    for (int restart = 0; restart < 2; ++restart) {
        open();
        EXPECT_EQ(unknown(count), 0u);
    }
    deliverRange(count, count + kSegment);
    EXPECT_EQ(segmentFiles(), 3u) << "a restart stores no id again";
    EXPECT_EQ(unknown(count + kSegment), 0u);
}

TEST_F(EndedIdsInJournal, KeepsHowEachEnded) {
    const auto attempt = [&](const char* id) {
        EXPECT_TRUE(journal_->accept(message(id, kUnsafe)));
        return *journal_->beginAttempt(id, 10);
    };
    attempt("delivered");
    ASSERT_TRUE(journal_->remove("delivered"));
    ASSERT_TRUE(journal_->recordOutcome("gone", attempt("gone"), {true, true}));
    ASSERT_TRUE(journal_->remove("gone"));
    attempt("failed");
    ASSERT_TRUE(journal_->recordFinalState({"failed", store::FinalState::failed, 0}));
    attempt("returned");
    ASSERT_TRUE(journal_->recordFinalState({"returned", store::FinalState::returned, 100}));
    ASSERT_TRUE(journal_->noticeAcknowledged("failed") && journal_->noticeAcknowledged("returned"));
    deliverRange(0, kSegment + 2000);
    for (int restart = 0; restart < 2; ++restart) {
        EXPECT_EQ(endOf("delivered"), MessageEnd::delivered);
        EXPECT_EQ(endOf("gone"), MessageEnd::abandoned);
        EXPECT_EQ(endOf("failed"), MessageEnd::failed);
        EXPECT_EQ(endOf("returned"), MessageEnd::returned);
        open();
    }
}

// An old id with other content is another message's: its client must not hear that this one was delivered.
TEST_F(EndedIdsInJournal, TellsOtherContentUnderAnOldId) {
    deliverRange(0, 6000);
    const auto digest = store::contentDigest(message("m0", kUnsafe));
    const auto found = journal_->findEnd("m0");
    ASSERT_TRUE(found);
    EXPECT_TRUE(found->hasContent(digest));
    int taken = 0;
    for (std::uint64_t other = 1; other < 256; ++other) taken += found->hasContent(digest ^ other);
    EXPECT_EQ(taken, 0);
}

// What may be repeated without harm takes no room from what may not.
TEST_F(EndedIdsInJournal, SpendsNothingOnMessagesThatMayBeRepeated) {
    deliver("unsafe");
    deliverRange(0, 2 * kSegment, 0);
    EXPECT_EQ(segmentFiles(), 0u);
    EXPECT_TRUE(knows("unsafe"));
    EXPECT_FALSE(knows("m0"));
}

// The longest day is 45 minutes at 120 messages a second.
TEST_F(EndedIdsInJournal, HasRoomForADayAtTheLeastDisk) {
    constexpr std::uint64_t kListBytes = 180'000;  // the saved list's part
    open(kDiskBytes - kListBytes);
    EXPECT_GE(journal_->endedIdCapacity(), 45u * 60 * 120);
}

// ---- faults of the disk, and kills ----

TEST_F(EndedIdsInJournal, ForgetsNothingWhileItsFilesCannotBeWritten) {
    deliverRange(0, kSegment - 100);
    faults::renameFailure.arm(EIO);
    std::size_t count = kSegment - 100;
    for (; count < 2 * kSegment; ++count) {
        const auto id = "m" + std::to_string(count);
        if (!journal_->accept(message(id, kUnsafe))) break;  // it can't vouch for more
        ASSERT_TRUE(journal_->beginAttempt(id, 10));
        ASSERT_TRUE(journal_->remove(id));
    }
    EXPECT_EQ(segmentFiles(), 0u);
    EXPECT_EQ(unknown(count), 0u);
    EXPECT_LE(diskUsage(), kDiskBytes);
    open();  // killed, and the disk still fails
    EXPECT_EQ(unknown(count), 0u);
    repairDisk();
    std::this_thread::sleep_for(std::chrono::milliseconds(250));  // the pause behind a failed compaction
    deliverRange(count, count + 2000);
    EXPECT_GE(segmentFiles(), 1u);
    EXPECT_EQ(unknown(count + 2000), 0u);
}

// The kill comes when the file of ids is in place, and the compacted journal is not.
TEST_F(EndedIdsInJournal, StoresIdsOnceThoughAKillCutsACompactionShort) {
    deliverRange(0, kSegment - 1);
    const auto journal = folder_.path + "/messages.log";
    const auto before = folder_.path + "/before";
    std::size_t count = kSegment - 1;
    while (segmentFiles() == 0) {
        std::filesystem::copy_file(journal, before, std::filesystem::copy_options::overwrite_existing);
        deliverRange(count, count + 1);
        ++count;
    }
    journal_.reset();
    std::filesystem::rename(before, journal);
    std::ofstream(journal + ".new") << "LHR1 torn";
    open();
    EXPECT_EQ(unknown(count - 1), 0u);
    deliverRange(count, count + 3000);
    EXPECT_EQ(segmentFiles(), 1u);
    EXPECT_EQ(unknown(count - 1), 0u);
}

TEST_F(EndedIdsInJournal, KnowsAllButTheTornRecordAfterAKillWithinAWrite) {
    deliverRange(0, 3000);
    journal_.reset();
    const auto path = folder_.path + "/messages.log";
    std::filesystem::resize_file(path, std::filesystem::file_size(path) - 5);
    open();
    EXPECT_EQ(unknown(2999), 0u);
    ASSERT_EQ(recovered_.messages.size(), 1u);
    EXPECT_EQ(recovered_.messages[0].id, "m2999");
    EXPECT_TRUE(recovered_.messages[0].attempts.mayHaveRunSince()) << "it is not run again";
}

TEST_F(EndedIdsInJournal, WaitsForAFolderThatCannotBeReadAtFirst) {
    deliverRange(0, kSegment + 2000);
    journal_.reset();
    faults::readFailure.arm(EIO, 5);
    open();
    EXPECT_EQ(unknown(kSegment + 2000), 0u);
}

// Messages that are owed an end weigh more than ids that may come again.
TEST_F(EndedIdsInJournal, StartsThoughAFileOfIdsCannotBeRead) {
    deliverRange(0, kSegment + 2000);
    ASSERT_TRUE(journal_->accept(message("owed", kUnsafe)));
    journal_.reset();
    std::filesystem::create_directory(folder_.path + "/ended-0.ids");  // reading it fails
    open();
    EXPECT_EQ(unknown(kSegment + 2000), 0u) << "the other files are read";
    ASSERT_EQ(recovered_.messages.size(), 1u);
}

// ---- the disk limit ----

TEST_F(EndedIdsInJournal, KeepsWithinALittleDiskAndForgetsTheOldestFirst) {
    constexpr std::uint64_t kLittle = 200'000;
    open(kLittle);
    const auto capacity = journal_->endedIdCapacity();
    ASSERT_GT(capacity, 0u);
    const auto count = capacity + 3 * kSegment;
    for (std::size_t number = 0; number < count; ++number) {
        ASSERT_TRUE(deliver("m" + std::to_string(number))) << number;
        if (number % 500 == 0) {
            ASSERT_LE(diskUsage(), kLittle) << number;
        }
    }
    EXPECT_FALSE(knows("m0"));
    for (auto number = count - capacity; number < count; ++number)
        ASSERT_TRUE(knows("m" + std::to_string(number))) << number;
}

TEST_F(EndedIdsInJournal, KeepsToADiskLimitThatWasLowered) {
    deliverRange(0, 6 * kSegment);
    ASSERT_GE(segmentFiles(), 5u);
    constexpr std::uint64_t kLowered = 250'000;
    open(kLowered);
    for (std::size_t number = 0; number < 1000; ++number)
        ASSERT_TRUE(deliver("n" + std::to_string(number))) << number;
    EXPECT_LE(diskUsage(), kLowered);
    EXPECT_TRUE(knows("m" + std::to_string(6 * kSegment - 1)));
}

// A sender with hardly any disk serves on.
TEST_F(EndedIdsInJournal, ServesWithTheLeastDiskThatIsConfigurable) {
    open(65536);
    for (std::size_t number = 0; number < 5000; ++number) {
        ASSERT_TRUE(deliver("m" + std::to_string(number))) << number;
        ASSERT_LE(diskUsage(), 65536u) << number;
    }
    EXPECT_TRUE(knows("m4999"));
}

// ---- an upgrade ----

// The journal of the version before names the last 256 in records of their own, and has no files of ids.
TEST_F(EndedIdsInJournal, TakesOverWhatAnEarlierVersionKnew) {
    deliverRange(0, 100);
    journal_.reset();
    EXPECT_EQ(segmentFiles(), 0u);
    open();  // only records of the earlier version are in this file, as nothing was compacted
    EXPECT_EQ(unknown(100), 0u);
    for (std::size_t number = 0; number < 2 * kSegment; ++number)
        ASSERT_TRUE(deliver("n" + std::to_string(number)));
    open();
    EXPECT_EQ(unknown(100), 0u);
}

}  // namespace
