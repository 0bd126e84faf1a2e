// One message handed in twice, as its client sends it once more on a new connection: what becomes of one
// hand-in's answer takes nothing back from the other.
#include <gtest/gtest.h>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

namespace {

using namespace laurelhaven;
using Kind = decisions::SubmissionResult::Kind;

struct CountingStore : check::NoStore {
    int over = 0;
    bool remove(const std::string&) override { return ++over > 0; }
};

class HandInTwice : public testing::Test {
  protected:
    HandInTwice() {
        log::setLevel(log::Level::off);
        facade_.updateEndpoints(config_.known, true);
    }
    ~HandInTwice() override { facade_.stop(); }
    decisions::SubmissionResult handIn() {
        return facade_.submit(decisions::Submission{"m", "key", 7, 0, 0,
                                                    decisions::Steady::now() + std::chrono::seconds(20),
                                                    std::make_shared<const std::string>("body")});
    }

    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1",
                                              check::entry("a", "127.0.0.1:9", 7), check::settings()),
                         {{"BALANCER_STATE", "/tmp"}});
    CountingStore store_;
    decisions::Decisions facade_{config_, store_, {}};
};

// The answer to the first could not be written, and the second was told that the message is taken.
TEST_F(HandInTwice, ALostAnswerTakesNothingBackFromTheOther) {
    ASSERT_EQ(handIn().kind, Kind::accepted);
    const auto again = handIn();
    ASSERT_EQ(again.kind, Kind::accepted);
    EXPECT_TRUE(again.duplicate);
    facade_.withdraw("m");
    EXPECT_EQ(facade_.heldMessages(), 1u) << "it is owed to whoever heard the second answer";
    EXPECT_EQ(store_.over, 0);
}

// Neither answer could be written: the message counts for nothing.
TEST_F(HandInTwice, TwoLostAnswersLeaveNothingOwed) {
    ASSERT_EQ(handIn().kind, Kind::accepted);
    ASSERT_EQ(handIn().kind, Kind::accepted);
    facade_.withdraw("m");
    facade_.withdraw("m");
    EXPECT_EQ(store_.over, 1);
}

}  // namespace
