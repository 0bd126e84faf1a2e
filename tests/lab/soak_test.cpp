// The fault soak in short, with fixed seeds; and its oracle, which must see each rule broken.
#include "soak/soak.hpp"

#include <gtest/gtest.h>

#include <set>

#include "check.hpp"
#include "log/log.hpp"

namespace {

using namespace laurelhaven;
using namespace laurelhaven::lab::soak;

// ---- the whole ----

class ShortSoak : public testing::TestWithParam<int> {};

TEST_P(ShortSoak, NoRuleIsBroken) {
    log::setLevel(log::Level::off);
    const check::Folder folder;
    Options options;
    options.program = PROGRAM;
    options.shim = SHIM;
    options.folder = folder.path + "/soak";
    options.seed = static_cast<std::uint64_t>(GetParam());
    options.span = milliseconds(6000);
    options.senders = 10;
    options.clients = 2;
    // A machine that builds and tests may stall; by hand the rules' own times hold.
    options.tolerance.finalAnswer = milliseconds(1500);
    options.tolerance.drainGrace = milliseconds(1000);
    options.tolerance.waitLetThrough = milliseconds(500);
    options.tolerance.keyWindow = milliseconds(700);
    options.tolerance.stop = milliseconds(5000);
    options.tolerance.restart = milliseconds(3000);
    const auto report = play(options);
    EXPECT_TRUE(report.clean()) << text(options, report);
    EXPECT_GT(report.counts.delivered, 50u) << text(options, report);
    EXPECT_GT(report.injected, 50u);
    EXPECT_GE(report.most, 3u);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShortSoak, testing::Values(11, 12, 13));

// ---- the troubles ----

TEST(Troubles, OneSeedDrawsTheSame) {
    const Draw wanted{7, milliseconds(20000), 12, 4, {}};
    const auto first = draw(wanted), second = draw(wanted);
    ASSERT_EQ(first.size(), second.size());
    std::set<Kind> kinds;
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(text(first[i]), text(second[i]));
        kinds.insert(first[i].kind);
    }
    EXPECT_EQ(kinds.size(), static_cast<std::size_t>(kKinds));
}

// ---- the oracle ----

class OracleTest : public testing::Test {
  protected:
    HandIn hand(const std::string& id, Effect effect, milliseconds deadline = milliseconds(1000)) {
        HandIn in;
        in.id = id;
        in.key = "key-" + id;
        in.body = "body";
        in.sender = 1;
        in.destination = 7;
        in.effect = effect;
        in.sentAt = Steady::now();
        in.deadline = deadline;
        oracle_.handed(in);
        oracle_.answered(id, 202, Steady::now());
        return in;
    }
    std::uint64_t call(const std::string& id, bool open = true) {
        return oracle_.callBegan(id, "key-" + id, "body", "e", 7, [open] { return open; });
    }
    std::set<std::string> broken() {
        std::set<std::string> rules;
        for (const auto& violation : oracle_.violations()) rules.insert(violation.rule);
        return rules;
    }
    using Rules = std::set<std::string>;
    Oracle oracle_{{milliseconds(1500), 2, {}}};
};

TEST_F(OracleTest, SeesOverlapsAndAttempts) {
    hand("m", Effect::pure);
    call("m", false);
    EXPECT_EQ(broken(), Rules{}) << "a call whose connection is gone is given up";
    call("m");
    EXPECT_EQ(broken(), Rules{});
    call("m");
    EXPECT_EQ(broken(), (Rules{"overlap", "attempts"}));
}

TEST_F(OracleTest, SeesRepeatsOfWhatMayNotBeRepeated) {
    hand("turned-away", Effect::unsafe);
    oracle_.callEnded(call("turned-away"), CallEnd::neverRan);
    oracle_.callEnded(call("turned-away"), CallEnd::mayHaveRun);
    EXPECT_EQ(broken(), Rules{});
    hand("ran", Effect::unsafe);
    oracle_.callEnded(call("ran"), CallEnd::mayHaveRun);
    call("ran");
    EXPECT_EQ(broken(), Rules{"repeat"});
}

TEST_F(OracleTest, SeesWaitsAndDrains) {
    hand("m", Effect::pure);
    oracle_.toldEnd(1, "e", Steady::now() - milliseconds(299));
    oracle_.callEnded(call("m"), CallEnd::neverRan);
    EXPECT_EQ(broken(), Rules{});
    oracle_.toldEnd(1, "e2", Steady::now() - milliseconds(400));
    oracle_.callBegan("m", "key-m", "body", "e2", 7, [] { return true; });
    EXPECT_EQ(broken(), Rules{"drain"});
}

TEST_F(OracleTest, SeesLostLateAndTwoEnds) {
    const auto now = Steady::now();
    hand("lost", Effect::pure, milliseconds(10));
    hand("late", Effect::pure, milliseconds(10));
    hand("two", Effect::pure, milliseconds(10));
    hand("good", Effect::pure, milliseconds(10));
    oracle_.noticed("late", "failed", now + milliseconds(2000));
    oracle_.noticed("good", "failed", now + milliseconds(20));
    oracle_.noticed("good", "failed", now + milliseconds(30));
    oracle_.judge(now + milliseconds(5000));
    EXPECT_EQ(broken(), (Rules{"lost", "late"}));
    oracle_.noticed("two", "failed", now + milliseconds(20));
    oracle_.noticed("two", "returned", now + milliseconds(30));
    EXPECT_EQ(broken(), (Rules{"lost", "late", "final answer"}));
}

TEST_F(OracleTest, SeesRequestsWithoutAnAnswer) {
    hand("m", Effect::pure);
    oracle_.unanswered("m", NoAnswer::reset, true, Steady::now());
    EXPECT_EQ(broken(), Rules{});
    oracle_.unanswered("m", NoAnswer::closed, true, Steady::now());
    EXPECT_EQ(broken(), Rules{"unanswered"});
}

TEST_F(OracleTest, SeesCallsAfterAnEndAndEndsAfterADelivery) {
    hand("m", Effect::pure);
    const auto first = call("m", false);
    oracle_.callEnded(first, CallEnd::delivered);
    oracle_.surelyHeard(first);
    oracle_.noticed("m", "failed", Steady::now() + milliseconds(1000));
    EXPECT_EQ(broken(), Rules{"final answer"});
}

TEST_F(OracleTest, FollowsARestart) {
    const auto now = Steady::now();
    hand("m", Effect::pure, milliseconds(10));
    oracle_.down(1, now, true, false);
    oracle_.ready(1, now + milliseconds(3000));
    oracle_.noticed("m", "failed", now + milliseconds(4000));
    oracle_.judge(now + milliseconds(9000));
    EXPECT_EQ(broken(), Rules{}) << "no end is overdue until a while after the restart";
}

}  // namespace
