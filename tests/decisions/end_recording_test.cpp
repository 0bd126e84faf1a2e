// The end of a message is on record before it is reported to the platform; otherwise the next process run
// might decide it differently.
#include <gtest/gtest.h>

#include <atomic>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "no_store.hpp"
#include "threads/thread.hpp"

namespace {

using namespace laurelhaven;

/// A store that can't write while `fails` is set.
struct FailingStore : check::NoStore {
    std::atomic<bool> fails{false};
    bool hasUnwrittenRecords() const override { return fails; }
    bool flush() override { return !fails; }
};

class EndRecording : public testing::Test {
  protected:
    EndRecording() {
        log::setLevel(log::Level::off);
        hooks_.messageEnded = [this](const decisions::UndeliveredEnd&) { reported_ = true; };
        facade_ = std::make_unique<decisions::Decisions>(config_, store_, hooks_);
        facade_->updateEndpoints(config_.known, true);
        ticker_ = threads::Thread("tick", [this] {
            while (facade_->tick()) {
            }
        });
    }
    ~EndRecording() override {
        facade_->stop();
        ticker_.join();
    }
    /// Ends a message undelivered: its only attempt times out at the deadline, while the store fails.
    void endUndelivered(std::chrono::milliseconds within) {
        facade_->submit(decisions::Submission{"m", "key", 7, 0, 0, decisions::Steady::now() + within,
                                              std::make_shared<const std::string>("body")});
        const auto due = facade_->takeDueAttempt();
        ASSERT_TRUE(facade_->tryBeginAttempt(*due));
        store_.fails = true;
        decisions::AttemptResult timedOut;
        timedOut.status = decisions::AttemptStatus::timedOut;
        std::this_thread::sleep_until(due->tryUntil);
        facade_->recordResult(*due, timedOut);
    }
    bool reportedWithin(std::chrono::milliseconds span) const {
        const auto until = decisions::Steady::now() + span;
        while (!reported_ && decisions::Steady::now() < until)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return reported_;
    }

    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    FailingStore store_;
    std::atomic<bool> reported_{false};
    decisions::Hooks hooks_;
    std::unique_ptr<decisions::Decisions> facade_;
    threads::Thread ticker_;
};

TEST_F(EndRecording, EndIsReportedOnceRecorded) {
    endUndelivered(std::chrono::milliseconds(20));
    EXPECT_FALSE(reported_) << "reported while nothing could be written";
    store_.fails = false;
    EXPECT_TRUE(reportedWithin(std::chrono::seconds(20)));
}

// A store that stays unable to write must not hold the notice back for long.
TEST_F(EndRecording, EndIsReportedThoughStoreKeepsFailing) {
    endUndelivered(std::chrono::milliseconds(20));
    EXPECT_TRUE(reportedWithin(std::chrono::seconds(20)));
}

}  // namespace
