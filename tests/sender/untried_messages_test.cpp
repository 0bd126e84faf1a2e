// Messages that have never reached an endpoint: refused connects cost no tokens and end none of them early,
// the rate of an outage bounds them whatever the backlog, and the return is not a storm.
#include <gtest/gtest.h>

#include <string>

#include "sender/harness.hpp"

namespace {

using namespace stoathub;
using namespace stoathub::test;

constexpr double kLimit = 30;

Settings outageSettings() {
    auto settings = testSettings();
    settings.weights = Weights::nominal;
    settings.senders = 2;
    settings.slots = 40;
    settings.maxHeld = 400;
    for (auto& messageClass : settings.messageClasses) messageClass.timeToLive = seconds(28);
    return settings;
}

/// How a destination in an outage treats attempts.
struct Outage {
    Result result = Result::connectFailed;
    Duration retryAfter{};
};

/// A destination that fails for a while. Messages wait for it, accepted in this run or in an earlier one.
class OutageHarness : public Harness {
  public:
    explicit OutageHarness(const Settings& settings = outageSettings()) : Harness(settings, 0) {
        turn({EndpointListUpdate{ListUpdateKind::full, {{"e0", 1, 0, 0, EndpointState::inService, kLimit}}}});
    }
    void acceptBacklog(int count, int messageClass, Duration timeLeft, std::optional<PriorAttempts> prior) {
        std::vector<Event> backlog;
        for (int i = 0; i < count; ++i)
            backlog.push_back(
                MessageAccepted{"m" + std::to_string(accepted_++), 1, messageClass, timeLeft, {}, prior});
        turn(backlog);
    }
    void play(Duration span, const std::optional<Outage>& outage) {
        for (const auto until = now + span; now < until;) {
            advance(milliseconds(20));
            for (; answered_ < sent.size(); ++answered_) {
                const auto id = sent[answered_].id;
                if (ended(id)) continue;
                if (!outage) report(id, Result::delivered);
                else report(id, outage->result, outage->retryAfter);
                delivered_ += !outage;
                reached_.insert(id);
                if (outage && outage->result == Result::connectFailed) reached_.erase(id);
            }
        }
    }
    /// Messages that were ended without any attempt that reached the endpoint.
    int endedUncalled() const {
        int count = 0;
        for (const auto& [id, retryIn] : refused) count += reached_.count(id) == 0;
        for (const auto& id : failed) count += reached_.count(id) == 0;
        return count;
    }
    double tokensSpent() const {
        double spent = 0;
        for (const auto& bucket : sender.retryBuckets()) spent += bucket.spent;
        return spent;
    }
    int delivered() const { return delivered_; }

  private:
    int accepted_ = 0, delivered_ = 0;
    std::size_t answered_ = 0;
    std::set<std::string> reached_;
};

/// Attempts a second during an outage, and those that may go out before the outage is known.
double outageRate() {
    const auto settings = outageSettings();
    return settings.overloadMultiple * settings.coldCapacityShare * kLimit / settings.senders;
}
constexpr seconds kOutage{14};
constexpr int kBeforeItIsKnown = 30;  // three quarters of the slots

struct Backlog {
    int count;
    bool recovered;
    seconds timeLeft, outage;
};

class RefusedConnects : public testing::TestWithParam<Backlog> {};

TEST_P(RefusedConnects, EndNoMessageAndCostNoTokens) {
    for (int messageClass = 0; messageClass < 3; ++messageClass) {
        OutageHarness harness;
        harness.acceptBacklog(GetParam().count, messageClass, GetParam().timeLeft,
                              GetParam().recovered ? std::optional(PriorAttempts{}) : std::nullopt);
        const auto outage = GetParam().outage;
        harness.play(outage, Outage{});
        EXPECT_EQ(harness.endedUncalled(), 0) << "class " << messageClass;
        EXPECT_EQ(harness.tokensSpent(), 0);
        const double seconds = std::chrono::duration<double>(outage).count();
        EXPECT_LE(static_cast<double>(harness.sent.size()), outageRate() * seconds + kBeforeItIsKnown);
        harness.play(GetParam().timeLeft - outage, std::nullopt);
        EXPECT_GE(harness.delivered(), std::min(GetParam().count, 20));
    }
}

INSTANTIATE_TEST_SUITE_P(
    Backlogs, RefusedConnects,
    testing::Values(Backlog{1, true, seconds(22), seconds(14)}, Backlog{20, true, seconds(22), seconds(14)},
                    Backlog{300, true, seconds(22), seconds(14)}, Backlog{1, true, seconds(14), seconds(4)},
                    Backlog{20, true, seconds(14), seconds(4)}, Backlog{300, true, seconds(14), seconds(4)},
                    Backlog{1, false, seconds(28), seconds(14)}, Backlog{20, false, seconds(28), seconds(14)},
                    Backlog{300, false, seconds(28), seconds(14)}),
    [](const auto& backlog) {
        const auto& its = backlog.param;
        return std::string(its.recovered ? "Recovered" : "Fresh") + std::to_string(its.count) + "With" +
               std::to_string(its.timeLeft / seconds(1)) + "s";
    });

// More than any limit on attempts would allow: a connect that is refused is no attempt at the endpoint.
TEST(RefusedConnects, DoNotCountAsAttempts) {
    auto settings = outageSettings();
    settings.maxAttempts = 2;
    OutageHarness harness(settings);
    harness.acceptBacklog(1, 0, seconds(28), PriorAttempts{});
    harness.play(kOutage, Outage{});
    EXPECT_GT(harness.attemptCount("m0"), settings.maxAttempts);
    EXPECT_EQ(harness.endedUncalled(), 0);
    harness.play(seconds(5), std::nullopt);
    EXPECT_EQ(harness.delivered(), 1);
}

// The intermediary of the simulator counts each attempt that it is given.
TEST(RefusedConnects, CountWhereAnIntermediaryForwardsNoMore) {
    auto settings = outageSettings();
    settings.maxAttempts = 2;
    OutageHarness harness(settings);
    harness.acceptBacklog(1, 0, seconds(28), std::nullopt);
    for (int i = 0; i < 2; ++i) {
        ASSERT_EQ(harness.attemptCount("m0"), i + 1);
        harness.report("m0", Result::connectFailed);
        for (int step = 0; step < 500 && harness.attemptCount("m0") == i + 1; ++step)
            harness.advance(milliseconds(10));
    }
    harness.report("m0", Result::notForwarded);
    EXPECT_TRUE(harness.ended("m0"));
}

// Short of its deadline a message that reached no endpoint ends, as late as another connect fits.
TEST(RefusedConnects, EndAMessageOnlyAtItsDeadline) {
    for (const auto timeLeft : {seconds(3), seconds(9)}) {
        OutageHarness harness;
        harness.acceptBacklog(5, 0, timeLeft, PriorAttempts{});
        harness.play(timeLeft - milliseconds(500), Outage{});
        EXPECT_EQ(harness.endedUncalled(), 0) << timeLeft.count() << " s";
        harness.play(milliseconds(500), Outage{});
        EXPECT_EQ(harness.endedUncalled(), 5) << timeLeft.count() << " s";
    }
}

// What has reached an endpoint once pays for its further attempts, failed connects included.
TEST(RefusedConnects, ArePaidForByAMessageThatWasTried) {
    OutageHarness harness;
    harness.acceptBacklog(20, 0, seconds(22), PriorAttempts{1, 0, true});
    harness.play(seconds(5), Outage{});
    EXPECT_GT(harness.tokensSpent(), 0);
    EXPECT_GT(harness.refused.size(), 0u);
}

// A wait that outlasts a message ends it: nothing may be sent before.
TEST(RefusedConnects, LeaveTheOtherEndsAsTheyAre) {
    OutageHarness harness;
    harness.acceptBacklog(2, 0, seconds(4), PriorAttempts{});
    harness.play(milliseconds(100), Outage{Result::rejected, seconds(9)});
    EXPECT_EQ(harness.refused.size(), 2u);
}

// Every outage that lets requests through has called the messages that it ends.
TEST(Outage, EndsNoMessageThatReachedNoEndpoint) {
    for (const auto& outage : {Outage{Result::reset}, Outage{Result::timeout}, Outage{Result::error},
                               Outage{Result::rejected, seconds(2)}, Outage{Result::rejected}}) {
        OutageHarness harness;
        harness.acceptBacklog(20, 1, seconds(22), PriorAttempts{});
        harness.play(kOutage, outage);
        EXPECT_EQ(harness.endedUncalled(), 0) << static_cast<int>(outage.result);
    }
}

}  // namespace
