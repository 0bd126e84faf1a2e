// Only an attempt's own outcome may settle it: the facade and the journal across several process runs, each
// ended by a kill.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <optional>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "store/journal.hpp"
#include "threads/thread.hpp"

namespace {

using namespace laurelhaven;
using decisions::AttemptStatus;
using decisions::DueAttempt;

constexpr std::uint64_t kDiskBytes = 3'000'000;

/// One process run of a sender on the records in a folder. Its destruction leaves them as a kill does.
class ProcessRun {
  public:
    explicit ProcessRun(const std::string& folder)
        : journal_(folder, kDiskBytes), recovered_(journal_.recover()), facade_(config_, journal_, {}) {
        facade_.updateEndpoints(config_.known, true);
        facade_.restore(recovered_.messages);
        ticker_ = threads::Thread("tick", [this] {
            while (facade_.tick()) {
            }
        });
    }
    ~ProcessRun() {
        facade_.stop();
        ticker_.join();
    }
    void submit(const std::string& id) {
        facade_.submit(decisions::Submission{id, "key", 7, 0, 0,
                                             decisions::Steady::now() + std::chrono::seconds(20),
                                             std::make_shared<const std::string>("body")});
    }
    DueAttempt takeDue() { return *facade_.takeDueAttempt(); }
    DueAttempt beginAttempt() {
        const auto due = takeDue();
        EXPECT_TRUE(facade_.tryBeginAttempt(due));
        return due;
    }
    void recordResult(const DueAttempt& due, AttemptStatus status) {
        decisions::AttemptResult result;
        result.status = status;
        facade_.recordResult(due, result);
    }
    const std::vector<store::StoredMessage>& recoveredMessages() const { return recovered_.messages; }

  private:
    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    store::Journal journal_;
    const store::RecoveredState recovered_;
    decisions::Decisions facade_;
    threads::Thread ticker_;
};

class AttemptsAcrossRestarts : public testing::Test {
  protected:
    AttemptsAcrossRestarts() { log::setLevel(log::Level::off); }
    std::string journalPath() const { return folder_.path + "/messages.log"; }
    std::streamoff journalBytes() const {
        return static_cast<std::streamoff>(std::filesystem::file_size(journalPath()));
    }
    void damage(std::streamoff from, std::streamoff to) const {
        std::fstream file(journalPath(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(from);
        file << std::string(static_cast<std::size_t>(to - from), '#');
    }
    const check::Folder folder_;
};

// A failed connect makes no attempt. If its failure settled the attempt that was open at the kill, a message
// that may have run would count as one that never ran.
TEST_F(AttemptsAcrossRestarts, FailedConnectDoesNotSettleEarlierAttempt) {
    {
        ProcessRun first(folder_.path);
        first.submit("m");
        first.beginAttempt();
    }
    std::optional<store::RecordMs> sentAt;
    {
        ProcessRun second(folder_.path);
        ASSERT_EQ(second.recoveredMessages().size(), 1u);
        sentAt = second.recoveredMessages()[0].attempts.mayHaveRunSince();
        ASSERT_TRUE(sentAt.has_value());
        second.recordResult(second.takeDue(), AttemptStatus::noConnection);
    }
    const ProcessRun third(folder_.path);
    ASSERT_EQ(third.recoveredMessages().size(), 1u);
    EXPECT_EQ(third.recoveredMessages()[0].attempts.mayHaveRunSince(), sentAt);
}

// Damage in the journal hides the outcome of the first attempt and the begin of the second. The outcome of
// the second, which follows, must not be applied to the first.
TEST_F(AttemptsAcrossRestarts, OutcomeAfterDamageIsNotAppliedToAnotherAttempt) {
    {
        ProcessRun first(folder_.path);
        first.submit("m");
        const auto due = first.beginAttempt();
        const auto from = journalBytes();
        first.recordResult(due, AttemptStatus::error);
        const auto repeat = first.beginAttempt();
        const auto to = journalBytes();
        first.recordResult(repeat, AttemptStatus::rejected);
        damage(from, to);
    }
    const ProcessRun second(folder_.path);
    ASSERT_EQ(second.recoveredMessages().size(), 1u);
    EXPECT_TRUE(second.recoveredMessages()[0].attempts.mayHaveRunSince().has_value());
}

}  // namespace
