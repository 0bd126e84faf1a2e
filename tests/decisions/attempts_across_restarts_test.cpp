// What an attempt came to is told by its own outcome alone: the facade and the journal over several lives,
// each ended by a kill.
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

/// One life of a sender over the records in a folder. Its end leaves them as a kill does.
class Life {
  public:
    explicit Life(const std::string& folder)
        : journal_(folder, kDiskBytes), found_(journal_.recover()), facade_(config_, journal_, {}) {
        facade_.updateEndpoints(config_.known, true);
        facade_.restore(found_.messages);
        ticker_ = threads::Thread("tick", [this] {
            while (facade_.tick()) {
            }
        });
    }
    ~Life() {
        facade_.stop();
        ticker_.join();
    }
    void handIn(const std::string& id) {
        facade_.submit(decisions::Submission{id, "key", 7, 0, 0,
                                             decisions::Steady::now() + std::chrono::seconds(20),
                                             std::make_shared<const std::string>("body")});
    }
    DueAttempt next() { return *facade_.takeDueAttempt(); }
    DueAttempt begin() {
        const auto call = next();
        EXPECT_TRUE(facade_.tryBeginAttempt(call));
        return call;
    }
    void report(const DueAttempt& call, AttemptStatus ending) {
        decisions::AttemptResult result;
        result.status = ending;
        facade_.recordResult(call, result);
    }
    const std::vector<store::StoredMessage>& found() const { return found_.messages; }

  private:
    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    store::Journal journal_;
    const store::RecoveredState found_;
    decisions::Decisions facade_;
    threads::Thread ticker_;
};

class AttemptsOverLives : public testing::Test {
  protected:
    AttemptsOverLives() { log::setLevel(log::Level::off); }
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

// A call whose connect fails has made no attempt: its end says nothing of the one that was open at the kill.
TEST_F(AttemptsOverLives, AFailedConnectLeavesTheEarlierAttemptInDoubt) {
    {
        Life first(folder_.path);
        first.handIn("m");
        first.begin();
    }
    std::optional<store::RecordMs> sentAt;
    {
        Life second(folder_.path);
        ASSERT_EQ(second.found().size(), 1u);
        sentAt = second.found()[0].attempts.mayHaveRunSince();
        ASSERT_TRUE(sentAt.has_value());
        second.report(second.next(), AttemptStatus::noConnection);
    }
    const Life third(folder_.path);
    ASSERT_EQ(third.found().size(), 1u);
    EXPECT_EQ(third.found()[0].attempts.mayHaveRunSince(), sentAt);
}

// Damage hides the outcome of the first attempt and the record of the second. The second's outcome follows,
// and is not the first's.
TEST_F(AttemptsOverLives, AnOutcomeBehindDamageIsNotAnotherAttempts) {
    {
        Life first(folder_.path);
        first.handIn("m");
        const auto call = first.begin();
        const auto from = journalBytes();
        first.report(call, AttemptStatus::error);
        const auto repeat = first.begin();
        const auto to = journalBytes();
        first.report(repeat, AttemptStatus::rejected);
        damage(from, to);
    }
    const Life second(folder_.path);
    ASSERT_EQ(second.found().size(), 1u);
    EXPECT_TRUE(second.found()[0].attempts.mayHaveRunSince().has_value());
}

}  // namespace
