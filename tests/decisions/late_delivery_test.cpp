// A message that is delivered after its deadline, or too close to it to tell, is still owed an end.
#include <gtest/gtest.h>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

namespace {

using namespace laurelhaven;
using namespace std::chrono_literals;
using decisions::Steady;

class LateDelivery : public testing::Test {
  protected:
    LateDelivery() {
        log::setLevel(log::Level::off);
        decisions::Hooks hooks;
        hooks.messageEnded = [this](const decisions::UndeliveredEnd&) { ++ends_; };
        facade_ = std::make_unique<decisions::Decisions>(config_, store_, hooks);
        facade_->updateEndpoints(config_.known, true);
    }
    /// A message whose one attempt is answered 200 at this time, counted from its deadline.
    void deliverAt(std::chrono::milliseconds fromDeadline) {
        const auto deadline = Steady::now() + 200ms;
        facade_->submit({"m", "key", 7, 0, 0, deadline, std::make_shared<const std::string>("body")});
        const auto due = facade_->takeDueAttempt();
        ASSERT_TRUE(facade_->tryBeginAttempt(*due));
        decisions::AttemptResult delivered;
        delivered.status = decisions::AttemptStatus::delivered;
        delivered.answeredAt = deadline + fromDeadline;
        std::this_thread::sleep_until(deadline + 1ms);  // however late it is recorded
        facade_->recordResult(*due, delivered);
    }

    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    check::NoStore store_;
    int ends_ = 0;
    std::unique_ptr<decisions::Decisions> facade_;
};

TEST_F(LateDelivery, BehindTheDeadlineEndsByANotice) {
    deliverAt(1ms);
    EXPECT_EQ(ends_, 1);
    EXPECT_EQ(facade_->heldMessages(), 0u);
}

TEST_F(LateDelivery, JustBeforeTheDeadlineEndsByANotice) {
    deliverAt(-rules::kDeliveryMargin + 1ms);
    EXPECT_EQ(ends_, 1);
}

TEST_F(LateDelivery, InTimeNeedsNoNoticeHoweverLateItIsRecorded) {
    deliverAt(-rules::kDeliveryMargin);
    EXPECT_EQ(ends_, 0);
    EXPECT_EQ(facade_->heldMessages(), 0u);
}

}  // namespace
