// How far an entry is believed, and which endpoint is probed when.
#include "trust/trust.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

#include "trust/probes.hpp"

namespace {

using namespace laurelhaven::trust;
using namespace std::chrono_literals;

constexpr RecordMs kNow = 1'800'000'000'000;
constexpr milliseconds kHalf = 6h;

Evidence seen(milliseconds ago, ConfirmationSource by = ConfirmationSource::discovery) {
    Evidence e;
    e.confirmedAt = kNow - ago.count();
    e.confirmedBy = by;
    return e;
}
Policy probing() {
    Policy p;
    p.mayProbe = true;
    return p;
}
TrustLevel level(const Evidence& e, const Policy& p = probing(), milliseconds half = kHalf) {
    return assess(e, p, half, kNow).level;
}

TEST(Trust, FallsWithAge) {
    EXPECT_EQ(level(seen(5s)), TrustLevel::confirmed);
    EXPECT_EQ(level(seen(1h)), TrustLevel::ageing);
    EXPECT_EQ(level(seen(24h)), TrustLevel::stale);
    EXPECT_EQ(level(seen(8 * 24h)), TrustLevel::refuted);
    EXPECT_NEAR(assess(seen(6h), probing(), kHalf, kNow).confidence, 0.5, 1e-9);
}

TEST(Trust, AFleetThatChangesFastIsBelievedForShort) {
    // 5 minutes at a half-life of 2 are 18%: stale, where a quiet fleet's entry would be ageing.
    EXPECT_EQ(level(seen(5min), probing(), 2min), TrustLevel::stale);
    EXPECT_EQ(level(seen(5min)), TrustLevel::ageing);
    EXPECT_EQ(level(seen(29s), probing(), 2min), TrustLevel::ageing);  // under 90% though it is only 29 s old
}

TEST(Trust, EachLevelLastsUntilTheMomentItSays) {
    for (const auto age : {5s, 3600s, 86400s}) {
        const auto judged = assess(seen(age), probing(), kHalf, kNow);
        ASSERT_GT(judged.validUntil, kNow);
        EXPECT_EQ(assess(seen(age), probing(), kHalf, judged.validUntil - 2).level, judged.level);
        EXPECT_NE(assess(seen(age), probing(), kHalf, judged.validUntil + 1).level, judged.level);
    }
}

TEST(Trust, LiveDiscoveryConfirmsWhateverTheAge) {
    auto e = seen(24h * 30);
    e.listedNow = true;
    EXPECT_EQ(level(e), TrustLevel::confirmed);
    e.refutation = RefutationReason::drained;
    EXPECT_EQ(level(e), TrustLevel::refuted);
}

TEST(Trust, WhatSpeaksAgainstItRefutesAtAnyAge) {
    for (const auto against : {RefutationReason::drained, RefutationReason::deleted,
                               RefutationReason::missing, RefutationReason::addressReassigned,
                               RefutationReason::rateLimitMismatch, RefutationReason::unexpectedServer}) {
        auto e = seen(0s);
        e.refutation = against;
        EXPECT_EQ(level(e), TrustLevel::refuted) << name(against);
    }
}

TEST(Trust, AListWithoutAnAgeIsNeverFullyBelieved) {
    EXPECT_EQ(level(seen(0s, ConfirmationSource::configuration)), TrustLevel::ageing);
    const auto ahead = assess(seen(-1h), probing(), kHalf, kNow);  // the clock was set back
    EXPECT_EQ(ahead.level, TrustLevel::ageing);
    EXPECT_EQ(ahead.age, Policy{}.configuredAge);
}

TEST(Trust, WhereProbesAreNotPermittedOneMessageIsTheProbeWithinTheBlindLimit) {
    Policy blind;
    const auto young = assess(seen(30min), blind, 10min, kNow);
    EXPECT_EQ(young.level, TrustLevel::ageing);
    EXPECT_TRUE(young.oneAtATime);
    EXPECT_EQ(level(seen(61min), blind, 10min), TrustLevel::stale);
    EXPECT_EQ(level(seen(30min), probing(), 10min), TrustLevel::stale);
}

TEST(Trust, WhatAnsweredInThisLifeGoesOn) {
    auto e = seen(24h, ConfirmationSource::probe);
    EXPECT_EQ(level(e), TrustLevel::stale);
    e.answeredThisRun = true;
    EXPECT_EQ(level(e), TrustLevel::ageing);
}

TEST(Trust, HalfLifeIsLearnt) {
    Policy p;
    Churn quiet, busy;
    EXPECT_EQ(quiet.halfLife(p), p.halfLife);
    quiet.observe(100, 24h, 0);
    EXPECT_GT(quiet.halfLife(p), 24h);
    // 20 entries each replaced once in ten minutes: a half-life of 7 minutes, were it not for the prior.
    busy.observe(20, 10min, 20);
    EXPECT_LT(busy.halfLife(p), 30min);
    EXPECT_GT(busy.halfLife(p), 5min);
    busy.observe(20, 100min, 2000);
    EXPECT_EQ(busy.halfLife(p), p.halfLifeLeast);
    Churn back;
    back.restore(busy.entrySeconds(), busy.changes());
    EXPECT_EQ(back.halfLife(p), busy.halfLife(p));
    back.restore(-1, 3);
    EXPECT_EQ(back.halfLife(p), busy.halfLife(p));
}

TEST(Trust, ExplainsWhyAndWhatWouldChangeIt) {
    const auto p = probing();
    const auto stale = explain(seen(24h), assess(seen(24h), p, kHalf, kNow), p, kHalf);
    EXPECT_NE(stale.find("stale"), std::string::npos);
    EXPECT_NE(stale.find("1 d ago"), std::string::npos);
    EXPECT_NE(stale.find("probe"), std::string::npos);
    auto gone = seen(1s);
    gone.refutation = RefutationReason::drained;
    const auto text = explain(gone, assess(gone, p, kHalf, kNow), p, kHalf);
    EXPECT_NE(text.find("refuted: draining"), std::string::npos);
}

TEST(Trust, AfterARestartAProbeGoesFirstHoweverYoungTheList) {
    EXPECT_TRUE(assess(seen(1s), probing(), kHalf, kNow).probeFirst);
    EXPECT_FALSE(assess(seen(1s), Policy{}, kHalf, kNow).probeFirst);  // where probes are not permitted
    auto e = seen(1s);
    e.listedThisRun = true;
    EXPECT_FALSE(assess(e, probing(), kHalf, kNow).probeFirst);
    e = seen(24h);
    e.answeredThisRun = true;
    EXPECT_FALSE(assess(e, probing(), kHalf, kNow).probeFirst);
}

// Danger: a release killed 70 of 100 senders at once, and each probed each endpoint in its first half second:
// 666 probes in one second, at partners that take 26 to 120 calls. The limits were used up by that alone.
TEST(Trust, AFleetWhoseProbesWouldNotFitIsAskedByItsFirstMessages) {
    const auto probed = [](int senders, double rate, milliseconds age) {
        auto policy = probing();
        policy.senders = senders;
        auto e = seen(age);
        e.rateLimit = rate;
        return assess(e, policy, kHalf, kNow).probeFirst;
    };
    for (const double rate : {2.5, 33.0, 120.0}) EXPECT_TRUE(probed(2, rate, 1s)) << rate;
    // Half of the fleet asks within 400 ms; what the partner takes in that time is the most there may be.
    EXPECT_TRUE(probed(24, 31, 1s));
    EXPECT_FALSE(probed(26, 31, 1s));
    EXPECT_FALSE(probed(100, 33, 1s));
    EXPECT_FALSE(probed(300, 120, 1s));
    EXPECT_TRUE(probed(300, 1000, 1s));
    EXPECT_TRUE(probed(300, 0, 1s));          // nothing is told: as ever
    EXPECT_TRUE(probed(300, 33, 8 * kHalf));  // what is likely wrong is probed in any fleet
}

// ---- probes ----

const TimePoint kStart = TimePoint(std::chrono::hours(100));

ProbeCandidate stale(const std::string& endpoint, std::uint64_t destination, std::size_t held = 0,
                     double traffic = 0) {
    return {endpoint, destination, 4, held, traffic, {}};
}

/// Plays `next` until `until`, answering each probe by `answer`; gives when each went out.
std::multimap<std::string, TimePoint> play(ProbeScheduler& probes,
                                           const std::vector<ProbeCandidate>& candidates, TimePoint until,
                                           bool answer) {
    std::multimap<std::string, TimePoint> sent;
    for (auto now = kStart; now < until;) {
        const auto next = probes.next(candidates, now);
        if (next.endpoint) {
            sent.emplace(*next.endpoint, now);
            probes.recordAnswer(*next.endpoint, answer, now);
        } else if (next.checkAgainAt) {
            EXPECT_GT(*next.checkAgainAt, now);  // or the caller would spin
            now = std::max(now + 1ms, *next.checkAgainAt);
        } else {
            break;
        }
    }
    return sent;
}

TEST(ProbeScheduler, DemandGoesFirstThenTraffic) {
    ProbePolicy policy;
    policy.jitter = 0ms;
    policy.perSecond = 4;
    ProbeScheduler probes(policy, 1);
    probes.begin(kStart);
    const std::vector<ProbeCandidate> all{stale("idle", 1, 0, 5), stale("busy", 2, 0, 500),
                                          stale("wanted", 3, 2, 0)};
    EXPECT_EQ(probes.next(all, kStart).endpoint, "wanted");
    const auto later = probes.next(all, kStart);
    ASSERT_FALSE(later.endpoint);  // the sender's own budget
    ASSERT_TRUE(later.checkAgainAt);
    EXPECT_EQ(probes.next(all, *later.checkAgainAt).endpoint, "busy");
}

TEST(ProbeScheduler, StayWithinTheBudgetOfTheSenderAndOfADestination) {
    ProbePolicy policy;
    policy.senders = 2;
    policy.perSecond = 4;
    ProbeScheduler probes(policy, 7);
    probes.begin(kStart);
    std::vector<ProbeCandidate> all;
    for (int i = 0; i < 8; ++i) all.push_back(stale("a" + std::to_string(i), 1, 3));
    for (int i = 0; i < 40; ++i)
        all.push_back(stale("b" + std::to_string(i), 100 + static_cast<unsigned>(i)));
    const auto sent = play(probes, all, kStart + 60s, false);
    std::size_t first = 0;
    for (const auto& [endpoint, at] : sent) first += endpoint[0] == 'a';
    EXPECT_LE(sent.size(), 4 * 60 + 1u);
    // 4/s told, 38% of it while cold, 15% of that for probes, half of that ours: one in 8.8 s.
    EXPECT_LE(first, 60 / 8 + 1);
    EXPECT_GE(first, 4u);
}

TEST(ProbeScheduler, WhereNoCallMayGoTheyHaveTheCallsPartOfTheBudget) {
    ProbePolicy policy;
    policy.backOff = 1ms;
    policy.backOffMost = 1ms;
    const auto count = [&](bool served) {
        ProbeScheduler probes(policy, 3);
        probes.begin(kStart);
        auto one = stale("a", 1, 1);
        one.destinationUsable = served;
        return play(probes, {one}, kStart + 60s, false).size();
    };
    EXPECT_LE(count(true), 15u);   // 0.15 x 0.38 x 4/s: one in 4.4 s
    EXPECT_LE(count(false), 83u);  // 0.9 of it: 1.4 a second, under what pushes a cold partner over
    EXPECT_GE(count(false), 60u);
}

TEST(ProbeScheduler, BackOffFromSilence) {
    ProbePolicy policy;
    policy.coldShare = 0.25;
    ProbeScheduler probes(policy, 3);
    probes.begin(kStart);
    auto one = stale("a", 1, 1);
    one.rateLimit = 1000;
    const auto sent = play(probes, {one}, kStart + 10min, false);
    EXPECT_LT(sent.size(), 20u);  // 1, 2, 4, ... 60, 60 s
    EXPECT_GT(sent.size(), 10u);
}

TEST(ProbeScheduler, AToldWaitHoldsThemToo) {
    ProbeScheduler probes({}, 3);
    probes.begin(kStart);
    auto one = stale("a", 1, 1);
    one.waitUntil = kStart + 5s;
    const auto sent = play(probes, {one}, kStart + 6s, false);
    ASSERT_FALSE(sent.empty());
    for (const auto& [endpoint, at] : sent) EXPECT_GE(at, one.waitUntil);
}

TEST(ProbeScheduler, SendersThatRestartTogetherComeApart) {
    std::set<TimePoint> first;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        ProbeScheduler probes({}, seed);
        probes.begin(kStart);
        const auto sent = play(probes, {stale("a", 1)}, kStart + 1s, true);
        ASSERT_FALSE(sent.empty());
        first.insert(sent.begin()->second);
    }
    EXPECT_GT(first.size(), 15u);
    EXPECT_GT(*first.rbegin() - *first.begin(), 200ms);
}

}  // namespace
