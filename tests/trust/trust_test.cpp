// Trust in the entries of the endpoint list, and the schedule of probes.
#include "trust/trust.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

#include "trust/listed_limits.hpp"
#include "trust/probes.hpp"

namespace {

using namespace laurelhaven::trust;
using namespace std::chrono_literals;

constexpr RecordMs kNow = 1'800'000'000'000;
constexpr milliseconds kHalfLife = 6h;

Evidence confirmedAgo(milliseconds ago, ConfirmationSource source = ConfirmationSource::discovery) {
    Evidence evidence;
    evidence.confirmedAt = kNow - ago.count();
    evidence.confirmedBy = source;
    return evidence;
}
Policy probesPermitted() {
    Policy policy;
    policy.mayProbe = true;
    return policy;
}
TrustLevel level(const Evidence& evidence, const Policy& policy = probesPermitted(),
                 milliseconds halfLife = kHalfLife) {
    return assess(evidence, policy, halfLife, kNow).level;
}

TEST(Trust, LevelFallsWithAge) {
    EXPECT_EQ(level(confirmedAgo(5s)), TrustLevel::confirmed);
    EXPECT_EQ(level(confirmedAgo(1h)), TrustLevel::ageing);
    EXPECT_EQ(level(confirmedAgo(24h)), TrustLevel::stale);
    EXPECT_EQ(level(confirmedAgo(8 * 24h)), TrustLevel::refuted);
    EXPECT_NEAR(assess(confirmedAgo(6h), probesPermitted(), kHalfLife, kNow).confidence, 0.5, 1e-9);
}

TEST(Trust, EntriesOfAFleetThatChangesOftenAgeSooner) {
    // After 5 minutes at a half-life of 2 minutes the confidence is 18%: stale. At the usual half-life of 6
    // hours an entry of that age is ageing.
    EXPECT_EQ(level(confirmedAgo(5min), probesPermitted(), 2min), TrustLevel::stale);
    EXPECT_EQ(level(confirmedAgo(5min)), TrustLevel::ageing);
    EXPECT_EQ(level(confirmedAgo(29s), probesPermitted(), 2min),
              TrustLevel::ageing);  // only 29 s old, but below 90%
}

TEST(Trust, LevelHoldsUntilItsValidUntilTime) {
    for (const auto age : {5s, 3600s, 86400s}) {
        const auto assessment = assess(confirmedAgo(age), probesPermitted(), kHalfLife, kNow);
        ASSERT_GT(assessment.validUntil, kNow);
        EXPECT_EQ(assess(confirmedAgo(age), probesPermitted(), kHalfLife, assessment.validUntil - 2).level,
                  assessment.level);
        EXPECT_NE(assess(confirmedAgo(age), probesPermitted(), kHalfLife, assessment.validUntil + 1).level,
                  assessment.level);
    }
}

TEST(Trust, ListingByDiscoveryConfirmsAtAnyAge) {
    auto evidence = confirmedAgo(24h * 30);
    evidence.listedNow = true;
    EXPECT_EQ(level(evidence), TrustLevel::confirmed);
    evidence.refutation = RefutationReason::drained;
    EXPECT_EQ(level(evidence), TrustLevel::refuted);
}

TEST(Trust, EveryRefutationReasonRefutesAtAnyAge) {
    for (const auto reason : {RefutationReason::drained, RefutationReason::deleted, RefutationReason::missing,
                              RefutationReason::addressReassigned, RefutationReason::rateLimitMismatch,
                              RefutationReason::unexpectedServer}) {
        auto evidence = confirmedAgo(0s);
        evidence.refutation = reason;
        EXPECT_EQ(level(evidence), TrustLevel::refuted) << name(reason);
    }
}

TEST(Trust, AnEntryOfUnknownAgeIsNeverConfirmed) {
    EXPECT_EQ(level(confirmedAgo(0s, ConfirmationSource::configuration)), TrustLevel::ageing);
    const auto ahead =
        assess(confirmedAgo(-1h), probesPermitted(), kHalfLife, kNow);  // the clock was set back
    EXPECT_EQ(ahead.level, TrustLevel::ageing);
    EXPECT_EQ(ahead.age, Policy{}.configuredAge);
}

TEST(Trust, WithoutProbesEntriesWithinTheBlindLimitGetOneMessageAtATime) {
    Policy blind;
    const auto young = assess(confirmedAgo(30min), blind, 10min, kNow);
    EXPECT_EQ(young.level, TrustLevel::ageing);
    EXPECT_TRUE(young.oneAtATime);
    EXPECT_EQ(level(confirmedAgo(61min), blind, 10min), TrustLevel::stale);
    EXPECT_EQ(level(confirmedAgo(30min), probesPermitted(), 10min), TrustLevel::stale);
}

TEST(Trust, AnEndpointThatAnsweredInThisRunStaysInUse) {
    auto evidence = confirmedAgo(24h, ConfirmationSource::probe);
    EXPECT_EQ(level(evidence), TrustLevel::stale);
    evidence.answeredThisRun = true;
    EXPECT_EQ(level(evidence), TrustLevel::ageing);
}

TEST(Trust, ChurnLearnsTheHalfLife) {
    Policy policy;
    Churn quiet, busy;
    EXPECT_EQ(quiet.halfLife(policy), policy.halfLife);
    quiet.observe(100, 24h, 0);
    EXPECT_GT(quiet.halfLife(policy), 24h);
    // 20 entries, each replaced once in ten minutes: a half-life of 7 minutes without the prior.
    busy.observe(20, 10min, 20);
    EXPECT_LT(busy.halfLife(policy), 30min);
    EXPECT_GT(busy.halfLife(policy), 5min);
    busy.observe(20, 100min, 2000);
    EXPECT_EQ(busy.halfLife(policy), policy.halfLifeLeast);
    Churn back;
    back.restore(busy.entrySeconds(), busy.changes());
    EXPECT_EQ(back.halfLife(policy), busy.halfLife(policy));
    back.restore(-1, 3);
    EXPECT_EQ(back.halfLife(policy), busy.halfLife(policy));
}

TEST(Trust, ExplainGivesTheReasonAndWhatWouldChangeIt) {
    const auto policy = probesPermitted();
    const auto stale =
        explain(confirmedAgo(24h), assess(confirmedAgo(24h), policy, kHalfLife, kNow), policy, kHalfLife);
    EXPECT_NE(stale.find("stale"), std::string::npos);
    EXPECT_NE(stale.find("1 d ago"), std::string::npos);
    EXPECT_NE(stale.find("probe"), std::string::npos);
    auto gone = confirmedAgo(1s);
    gone.refutation = RefutationReason::drained;
    const auto text = explain(gone, assess(gone, policy, kHalfLife, kNow), policy, kHalfLife);
    EXPECT_NE(text.find("refuted: draining"), std::string::npos);
}

// The address may have passed to another destination while the process was away, however short that was.
TEST(Trust, AfterARestartNoAgeSparesTheProof) {
    for (const auto age : {0s, 1s, 60s, 86400s})
        for (const auto& policy : {probesPermitted(), Policy{}})
            for (const auto source : {ConfirmationSource::configuration, ConfirmationSource::discovery,
                                      ConfirmationSource::delivery, ConfirmationSource::probe}) {
                auto evidence = confirmedAgo(age, source);
                EXPECT_TRUE(assess(evidence, policy, kHalfLife, kNow).needsProof) << age.count();
                EXPECT_TRUE(assess(evidence, policy, kHalfLife, kNow).probeFirst) << age.count();
                evidence.listedThisRun = true;
                EXPECT_FALSE(assess(evidence, policy, kHalfLife, kNow).needsProof) << age.count();
                evidence.listedThisRun = false;
                evidence.answeredThisRun = true;
                EXPECT_FALSE(assess(evidence, policy, kHalfLife, kNow).needsProof) << age.count();
                EXPECT_FALSE(assess(evidence, policy, kHalfLife, kNow).probeFirst) << age.count();
            }
}

TEST(Trust, AnEntryThatDiscoveryNamedInThisRunNeedsAProbeOnceItIsStale) {
    auto evidence = confirmedAgo(1s);
    evidence.listedThisRun = true;
    EXPECT_FALSE(assess(evidence, probesPermitted(), kHalfLife, kNow).probeFirst);
    evidence.confirmedAt = kNow - 8 * kHalfLife.count();
    EXPECT_TRUE(assess(evidence, probesPermitted(), kHalfLife, kNow).probeFirst);
    EXPECT_FALSE(assess(evidence, probesPermitted(), kHalfLife, kNow).needsProof);
}

// When a release restarted 70 of 100 senders at once, each probed every endpoint within its first half
// second. That made 666 probes in one second, to destinations with limits of 26 to 120 requests per second,
// so the probes alone used up the limits.
TEST(Trust, FirstRequestsFitWhereThoseOfAllSendersAreWithinTheRateLimit) {
    const auto fit = [](int senders, double rate) {
        auto policy = probesPermitted();
        policy.senders = senders;
        return firstRequestsFit(policy, rate);
    };
    for (const double rate : {2.5, 33.0, 120.0}) EXPECT_TRUE(fit(2, rate)) << rate;
    // Half of the senders probe within 400 ms, which must not exceed the rate limit for that time.
    EXPECT_TRUE(fit(24, 31));
    EXPECT_FALSE(fit(26, 31));
    EXPECT_FALSE(fit(100, 33));
    EXPECT_FALSE(fit(300, 120));
    EXPECT_TRUE(fit(300, 1000));
    EXPECT_TRUE(fit(300, 0));  // the rate limit is unknown
}

// ---- proof by a report ----

const ListedLimits kThreeDestinations({{50, 1}, {50, 1}, {60, 2}, {200, 3}, {0, 4}}, 2);

TEST(ListedLimits, ALimitThatOneDestinationHasProvesItsServers) {
    EXPECT_TRUE(kThreeDestinations.canProve({200, 3}));
    for (const double announced : {200.0, 180.0, 225.0})
        EXPECT_EQ(kThreeDestinations.identify({200, 3}, announced), ServerIdentity::proven) << announced;
    for (const double announced : {150.0, 260.0})
        EXPECT_EQ(kThreeDestinations.identify({200, 3}, announced), ServerIdentity::unknown) << announced;
}

TEST(ListedLimits, LimitsThatAreAlikeProveNothing) {
    EXPECT_FALSE(kThreeDestinations.canProve({50, 1}));
    EXPECT_EQ(kThreeDestinations.identify({50, 1}, 50), ServerIdentity::unknown);
    EXPECT_EQ(kThreeDestinations.identify({60, 2}, 60), ServerIdentity::unknown);
    // Where it is far enough from the other it proves, though the two are close.
    EXPECT_EQ(kThreeDestinations.identify({50, 1}, 42), ServerIdentity::proven);
}

TEST(ListedLimits, WhatIsNotToldOrNotListedProvesNothing) {
    EXPECT_EQ(kThreeDestinations.identify({200, 3}, 0), ServerIdentity::unknown);
    EXPECT_EQ(kThreeDestinations.identify({0, 4}, 200), ServerIdentity::unknown);
    EXPECT_FALSE(kThreeDestinations.canProve({0, 4}));
}

TEST(ListedLimits, ALimitFarOffIsAnotherDestinations) {
    EXPECT_EQ(kThreeDestinations.identify({200, 3}, 50), ServerIdentity::foreign);
    EXPECT_EQ(kThreeDestinations.identify({50, 1}, 200), ServerIdentity::foreign);
}

// Whatever a server of another destination announces, with an error of up to 13%, it proves nothing.
TEST(ListedLimits, NoDestinationIsTakenForAnotherWithinTheErrorOfReports) {
    std::mt19937 random(7);
    std::uniform_real_distribution<double> rate(1, 100), error(0.87, 1.13);
    for (int round = 0; round < 200; ++round) {
        std::vector<ListedLimits::Limit> limits;
        for (std::uint64_t destination = 0; destination < 12; ++destination)
            limits.push_back({rate(random), destination});
        const ListedLimits listed(limits, 2);
        for (const auto& expected : limits)
            for (const auto& actual : limits) {
                if (expected.destination == actual.destination) continue;
                EXPECT_NE(listed.identify(expected, actual.perSecond * error(random)),
                          ServerIdentity::proven);
            }
    }
}

// ---- probes ----

const TimePoint kStart = TimePoint(std::chrono::hours(100));

ProbeCandidate stale(const std::string& endpoint, std::uint64_t destination, std::size_t waitingMessages = 0,
                     double traffic = 0) {
    return {endpoint, destination, 4, waitingMessages, traffic, {}};
}

/// Sends the probes that next() asks for until `until`, each with the result `answer`. Returns when each went
/// out.
std::multimap<std::string, TimePoint> runProbes(ProbeScheduler& probes,
                                                const std::vector<ProbeCandidate>& candidates,
                                                TimePoint until, bool answer) {
    std::multimap<std::string, TimePoint> sent;
    for (auto now = kStart; now < until;) {
        const auto next = probes.next(candidates, now);
        if (next.endpoint) {
            sent.emplace(*next.endpoint, now);
            probes.recordAnswer(*next.endpoint, answer, now);
        } else if (next.checkAgainAt) {
            EXPECT_GT(*next.checkAgainAt, now);  // otherwise the caller would loop without a pause
            now = std::max(now + 1ms, *next.checkAgainAt);
        } else {
            break;
        }
    }
    return sent;
}

TEST(ProbeScheduler, WaitingMessagesGoFirstThenTraffic) {
    ProbePolicy policy;
    policy.jitter = 0ms;
    policy.perSecond = 4;
    ProbeScheduler probes(policy, 1);
    probes.begin(kStart);
    const std::vector<ProbeCandidate> all{stale("idle", 1, 0, 5), stale("busy", 2, 0, 500),
                                          stale("wanted", 3, 2, 0)};
    EXPECT_EQ(probes.next(all, kStart).endpoint, "wanted");
    const auto later = probes.next(all, kStart);
    ASSERT_FALSE(later.endpoint);  // limited by the sender's budget
    ASSERT_TRUE(later.checkAgainAt);
    EXPECT_EQ(probes.next(all, *later.checkAgainAt).endpoint, "busy");
}

TEST(ProbeScheduler, ProbesStayWithinTheBudgetsOfSenderAndDestination) {
    ProbePolicy policy;
    policy.senders = 2;
    policy.perSecond = 4;
    ProbeScheduler probes(policy, 7);
    probes.begin(kStart);
    std::vector<ProbeCandidate> all;
    for (int i = 0; i < 8; ++i) all.push_back(stale("a" + std::to_string(i), 1, 3));
    for (int i = 0; i < 40; ++i)
        all.push_back(stale("b" + std::to_string(i), 100 + static_cast<unsigned>(i)));
    const auto sent = runProbes(probes, all, kStart + 60s, false);
    std::size_t first = 0;
    for (const auto& [endpoint, at] : sent) first += endpoint[0] == 'a';
    EXPECT_LE(sent.size(), 4 * 60 + 1u);
    // 38% of the limit of 4/s during warm-up, 15% of that for probes, shared by two senders: one in 8.8 s.
    EXPECT_LE(first, 60 / 8 + 1);
    EXPECT_GE(first, 4u);
}

TEST(ProbeScheduler, AnUnusableDestinationGetsMostOfTheColdBudgetForProbes) {
    ProbePolicy policy;
    policy.backOff = 1ms;
    policy.backOffMost = 1ms;
    const auto count = [&](bool usable) {
        ProbeScheduler probes(policy, 3);
        probes.begin(kStart);
        auto candidate = stale("a", 1, 1);
        candidate.otherEndpointUsable = usable;
        return runProbes(probes, {candidate}, kStart + 60s, false).size();
    };
    EXPECT_LE(count(true), 15u);   // 0.15 x 0.38 x 4/s: one in 4.4 s
    EXPECT_LE(count(false), 83u);  // 0.9 x 0.38 x 4/s: 1.4/s, which does not overload it in warm-up
    EXPECT_GE(count(false), 60u);
}

TEST(ProbeScheduler, FailedProbesBackOff) {
    ProbePolicy policy;
    policy.coldShare = 0.25;
    ProbeScheduler probes(policy, 3);
    probes.begin(kStart);
    auto candidate = stale("a", 1, 1);
    candidate.rateLimit = 1000;
    const auto sent = runProbes(probes, {candidate}, kStart + 10min, false);
    EXPECT_LT(sent.size(), 20u);  // 1, 2, 4, ... 60, 60 s
    EXPECT_GT(sent.size(), 10u);
}

TEST(ProbeScheduler, AnAnnouncedWaitHoldsForProbes) {
    ProbeScheduler probes({}, 3);
    probes.begin(kStart);
    auto candidate = stale("a", 1, 1);
    candidate.waitUntil = kStart + 5s;
    const auto sent = runProbes(probes, {candidate}, kStart + 6s, false);
    ASSERT_FALSE(sent.empty());
    for (const auto& [endpoint, at] : sent) EXPECT_GE(at, candidate.waitUntil);
}

TEST(ProbeScheduler, JitterSpreadsTheFirstProbesOfSeveralSenders) {
    std::set<TimePoint> first;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        ProbeScheduler probes({}, seed);
        probes.begin(kStart);
        const auto sent = runProbes(probes, {stale("a", 1)}, kStart + 1s, true);
        ASSERT_FALSE(sent.empty());
        first.insert(sent.begin()->second);
    }
    EXPECT_GT(first.size(), 15u);
    EXPECT_GT(*first.rbegin() - *first.begin(), 200ms);
}

}  // namespace
