// An end is on record before the platform is told of it, or the next life might decide it otherwise.
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

/// A store that can't write for a while.
struct FailingStore : check::NoStore {
    std::atomic<bool> fails{false};
    bool hasUnwrittenRecords() const override { return fails; }
    bool flush() override { return !fails; }
};

class RecordedEnds : public testing::Test {
  protected:
    RecordedEnds() {
        log::setLevel(log::Level::off);
        hooks_.messageEnded = [this](const store::PendingNotice&) { told_ = true; };
        facade_ = std::make_unique<decisions::Decisions>(config_, store_, hooks_);
        facade_->updateEndpoints(config_.known, true);
        ticker_ = threads::Thread("tick", [this] {
            while (facade_->tick()) {
            }
        });
    }
    ~RecordedEnds() override {
        facade_->stop();
        ticker_.join();
    }
    /// A message whose only call runs into its deadline: its end is decided then.
    void end(std::chrono::milliseconds within) {
        facade_->submit(decisions::Submission{"m", "key", 7, 0, 0, decisions::Steady::now() + within,
                                              std::make_shared<const std::string>("body")});
        const auto call = facade_->takeDueAttempt();
        ASSERT_TRUE(facade_->tryBeginAttempt(*call));
        store_.fails = true;
        decisions::AttemptResult late;
        late.status = decisions::AttemptStatus::timedOut;
        std::this_thread::sleep_until(call->tryUntil);
        facade_->recordResult(*call, late);
    }
    bool toldWithin(std::chrono::milliseconds span) const {
        const auto until = decisions::Steady::now() + span;
        while (!told_ && decisions::Steady::now() < until)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return told_;
    }

    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    FailingStore store_;
    std::atomic<bool> told_{false};
    decisions::Hooks hooks_;
    std::unique_ptr<decisions::Decisions> facade_;
    threads::Thread ticker_;
};

TEST_F(RecordedEnds, AreToldOnceTheyAreOnRecord) {
    end(std::chrono::milliseconds(20));
    EXPECT_FALSE(told_) << "told while nothing could be written";
    store_.fails = false;
    EXPECT_TRUE(toldWithin(std::chrono::seconds(20)));
}

// Its time is up: it is told, whatever the disk does.
TEST_F(RecordedEnds, DoNotWaitForTheDiskForLong) {
    end(std::chrono::milliseconds(20));
    EXPECT_TRUE(toldWithin(std::chrono::seconds(20)));
}

}  // namespace
