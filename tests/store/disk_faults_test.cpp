// The journal while file operations fail for a time: no accepted message is lost, and everything that
// happened meanwhile is in the file once writes succeed again.
#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "check.hpp"
#include "faults/file_faults.hpp"
#include "log/log.hpp"
#include "store/journal.hpp"

namespace {

using namespace laurelhaven::store;

constexpr std::uint64_t kDiskBytes = 3'000'000;

class JournalDiskFaults : public testing::Test {
  protected:
    JournalDiskFaults() { laurelhaven::log::setLevel(laurelhaven::log::Level::off); }
    ~JournalDiskFaults() override { repairDisk(); }

    static StoredMessage message(const std::string& id) {
        StoredMessage stored;
        stored.id = id;
        stored.key = "key-" + id;
        stored.destination = 7;
        stored.deadline = 1234567;
        stored.body = std::make_shared<const std::string>("body");
        return stored;
    }
    static void repairDisk() {
        for (auto* failure :
             {&faults::writeFailure, &faults::readFailure, &faults::truncateFailure, &faults::renameFailure})
            failure->disarm();
        faults::writtenBeforeFailure = 0;
    }
    std::map<std::string, StoredMessage> messagesAfterKill() const {
        std::map<std::string, StoredMessage> byId;
        for (const auto& found : Journal(folder_.path, kDiskBytes).recover().messages) byId[found.id] = found;
        return byId;
    }

    const check::Folder folder_;
};

// Outcomes that are reported while no record can be written are stored once writes succeed again.
TEST_F(JournalDiskFaults, StoresOutcomesReportedWhileWritesFailed) {
    Journal journal(folder_.path, kDiskBytes);
    journal.recover();
    std::map<std::string, AttemptNumber> attempts;
    for (const char* id : {"delivered", "failed", "refused", "unsent", "returned", "told"}) {
        ASSERT_TRUE(journal.accept(message(id)));
        const auto attempt = journal.beginAttempt(id, 100);
        ASSERT_TRUE(attempt.has_value());
        attempts[id] = *attempt;
    }
    journal.recordFinalState({"told", FinalState::failed, 0});

    faults::writeFailure.arm(ENOSPC);
    journal.remove("delivered");
    EXPECT_TRUE(journal.recordOutcome("failed", attempts["failed"], {true, true}));
    EXPECT_TRUE(journal.recordOutcome("refused", attempts["refused"], {false, false}));
    EXPECT_TRUE(journal.attemptNotSent("unsent", attempts["unsent"]));
    journal.recordFinalState({"returned", FinalState::returned, 500});
    journal.noticeAcknowledged("told");
    EXPECT_FALSE(journal.accept(message("late"))) << "no message may be accepted without a record";
    EXPECT_FALSE(journal.beginAttempt("refused", 200)) << "no attempt may begin without a record";
    repairDisk();

    ASSERT_TRUE(journal.accept(message("next")));
    auto found = messagesAfterKill();
    EXPECT_FALSE(found.count("delivered"));
    EXPECT_EQ(found["failed"].attempts.mayHaveRunSince(), 100);
    EXPECT_EQ(found["failed"].attempts.failures(), 1u);
    EXPECT_FALSE(found["refused"].attempts.mayHaveRunSince().has_value());
    EXPECT_EQ(found["unsent"].attempts.attemptCount(), 0u);
    EXPECT_FALSE(found.count("returned"));
    EXPECT_TRUE(found.count("next"));
    EXPECT_FALSE(found.count("late"));
    const auto notices = Journal(folder_.path, kDiskBytes).recover().notices;
    ASSERT_EQ(notices.size(), 1u);
    EXPECT_EQ(notices[0].id, "returned");
    EXPECT_EQ(notices[0].retryAfterMs, 500);
}

// A write fails halfway and the torn record can't be truncated. Records written after it must not make the
// messages before it look as if they may have run.
TEST_F(JournalDiskFaults, TornRecordThatCannotBeTruncatedLeavesNoMessageUncertain) {
    Journal journal(folder_.path, kDiskBytes);
    journal.recover();
    ASSERT_TRUE(journal.accept(message("before")));
    faults::writtenBeforeFailure = 20;
    faults::writeFailure.arm(EIO);
    faults::truncateFailure.arm(EIO);
    EXPECT_FALSE(journal.accept(message("torn")));
    faults::writeFailure.disarm();
    const bool stored = journal.accept(message("behind"));
    repairDisk();
    ASSERT_TRUE(journal.accept(message("after")));
    auto found = messagesAfterKill();
    for (const char* id : {"before", "after"}) {
        ASSERT_TRUE(found.count(id)) << id;
        EXPECT_FALSE(found[id].attempts.mayHaveRunSince().has_value())
            << id << " counts as one that may have run";
    }
    EXPECT_FALSE(found.count("torn"));
    EXPECT_EQ(found.count("behind") == 1, stored);
}

// A failed read must not be treated as the end of the file: the messages after it are still pending.
TEST_F(JournalDiskFaults, FailedReadAtStartTruncatesNothing) {
    {
        Journal journal(folder_.path, kDiskBytes);
        journal.recover();
        for (int i = 0; i < 3; ++i) ASSERT_TRUE(journal.accept(message("m" + std::to_string(i))));
    }
    {
        Journal journal(folder_.path, kDiskBytes);
        faults::readFailure.arm(EIO, 1);
        EXPECT_EQ(journal.recover().messages.size(), 3u);
        repairDisk();
    }
    EXPECT_EQ(messagesAfterKill().size(), 3u);
}

// If the compacted file can't replace the old one, the old one stays complete, and a later compaction
// succeeds.
TEST_F(JournalDiskFaults, FailedCompactionLosesNothing) {
    Journal journal(folder_.path, kDiskBytes);
    journal.recover();
    ASSERT_TRUE(journal.accept(message("kept")));
    const auto acceptAndRemove = [&](int rounds) {
        for (int i = 0; i < rounds; ++i) {
            const auto id = "m" + std::to_string(i);
            if (journal.accept(message(id))) journal.remove(id);
        }
    };
    faults::renameFailure.arm(EIO);
    acceptAndRemove(4000);  // far beyond the size that causes a compaction
    EXPECT_TRUE(messagesAfterKill().count("kept"));
    repairDisk();
    // After a failure, compaction pauses, so the number of records until the next one depends on the machine.
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (journal.fileBytes() >= 512u * 1024 && std::chrono::steady_clock::now() < until)
        acceptAndRemove(100);
    EXPECT_LT(journal.fileBytes(), 512u * 1024);
    const auto found = messagesAfterKill();
    EXPECT_EQ(found.size(), 1u);
    EXPECT_TRUE(found.count("kept"));
}

}  // namespace
