// Membership: merging the saved endpoint list, the configuration and discovery.
#include "membership/membership.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace {

using namespace laurelhaven;
using namespace std::chrono_literals;
using listing::Status;
using membership::Entry;
using membership::ListUpdateResult;
using membership::Membership;
using std::chrono::milliseconds;
using trust::RecordMs;
using trust::RefutationReason;
using trust::TrustLevel;

constexpr RecordMs kNow = 1'800'000'000'000;

listing::Endpoint endpoint(const std::string& name, const std::string& address, std::uint64_t group = 1,
                           Status status = Status::serving) {
    return {name, address, "z", "big", group, status, 4, 0};
}
listing::EndpointList list(std::uint64_t index, bool full, std::vector<listing::Endpoint> endpoints) {
    return {index, full, std::move(endpoints)};
}
listing::EndpointList fleet(std::uint64_t index, int n) {
    std::vector<listing::Endpoint> all;
    for (int i = 0; i < n; ++i)
        all.push_back(endpoint("e" + std::to_string(i), "127.0.0.1:" + std::to_string(1000 + i)));
    return list(index, true, std::move(all));
}
Entry saved(const std::string& name, const std::string& address, std::uint64_t index, milliseconds ago,
            RefutationReason against = RefutationReason::none) {
    Entry e;
    e.endpoint = endpoint(name, address);
    e.index = index;
    e.confirmedAt = e.firstListedAt = kNow - ago.count();
    e.confirmedBy = trust::ConfirmationSource::discovery;
    e.refutation = against;
    if (against != RefutationReason::none) e.refutedAt = e.confirmedAt;
    return e;
}
TrustLevel level(const Membership& m, const std::string& name, RecordMs now = kNow) {
    const auto* e = m.find(name);
    return e ? m.assess(*e, now).level : TrustLevel::refuted;
}
bool usable(const Membership& m, const std::string& name, RecordMs now = kNow) {
    const auto l = level(m, name, now);
    return l == TrustLevel::confirmed || l == TrustLevel::ageing;
}

TEST(Membership, ConfigurationDoesNotReviveEndpointsDrainedInThePreviousRun) {
    Membership m({});
    m.restore(41, 0, {});
    m.restore(saved("a", "127.0.0.1:1", 41, 5s, RefutationReason::drained));
    m.restore(saved("b", "127.0.0.1:2", 30, 5s));
    m.applyConfiguration(
        list(35, true,
             {endpoint("a", "127.0.0.1:1"), endpoint("b", "127.0.0.1:2"), endpoint("old", "127.0.0.1:3")}),
        kNow);
    EXPECT_FALSE(usable(m, "a"));
    EXPECT_TRUE(usable(m, "b"));
    EXPECT_EQ(m.find("old"), nullptr);  // the newer saved list does not contain it
    EXPECT_EQ(m.index(), 41u);
}

TEST(Membership, NewerConfigurationReplacesTheSavedList) {
    Membership m({});
    m.restore(41, 0, {});
    m.restore(saved("a", "127.0.0.1:1", 41, 5s));
    m.restore(saved("b", "127.0.0.1:2", 41, 5s, RefutationReason::drained));
    m.applyConfiguration(list(50, true, {endpoint("b", "127.0.0.1:2"), endpoint("c", "127.0.0.1:3")}), kNow);
    EXPECT_FALSE(usable(m, "a"));
    EXPECT_TRUE(usable(m, "b"));
    EXPECT_TRUE(usable(m, "c"));
    EXPECT_EQ(m.index(), 50u);
}

TEST(Membership, NewEndpointTakesOverTheAddressOfAnOldOne) {
    Membership m({});
    m.restore(41, 0, {});
    m.restore(saved("a", "127.0.0.1:1", 41, 5s));
    const auto result = m.applyUpdate(list(42, false, {endpoint("b", "127.0.0.1:1")}), kNow);
    EXPECT_EQ(result.kind, ListUpdateResult::Kind::merged);
    EXPECT_EQ(m.find("a")->refutation, RefutationReason::addressReassigned);
    EXPECT_FALSE(usable(m, "a"));
    EXPECT_TRUE(usable(m, "b"));
    // Two endpoints at one address in one list, of the same index, both stay in service.
    Membership both({});
    both.applyUpdate(list(5, true, {endpoint("a", "127.0.0.1:1"), endpoint("b", "127.0.0.1:1")}), kNow);
    EXPECT_TRUE(usable(both, "a") && usable(both, "b"));
}

TEST(Membership, MovedEndpointIsNoLongerKnownToAnswer) {
    Membership m({});
    m.applyUpdate(list(5, true, {endpoint("a", "127.0.0.1:1")}), kNow);
    m.recordAnswer("a", trust::ConfirmationSource::delivery, kNow);
    m.applyUpdate(list(6, false, {endpoint("a", "127.0.0.1:9")}), kNow);
    EXPECT_EQ(m.find("a")->endpoint.address, "127.0.0.1:9");
    EXPECT_FALSE(m.find("a")->answeredThisRun);
    // Its old address is free for another endpoint.
    m.applyUpdate(list(7, false, {endpoint("b", "127.0.0.1:1")}), kNow);
    EXPECT_TRUE(usable(m, "a") && usable(m, "b"));
}

TEST(Membership, OnlyANewerUpdateRevivesADrainedOrDeletedEndpoint) {
    Membership m({});
    m.applyUpdate(fleet(5, 3), kNow);
    m.applyUpdate(list(6, false,
                       {endpoint("e0", "127.0.0.1:1000", 1, Status::draining),
                        endpoint("e1", "127.0.0.1:1001", 1, Status::deleted)}),
                  kNow);
    EXPECT_FALSE(usable(m, "e0") || usable(m, "e1"));
    EXPECT_EQ(m.applyUpdate(list(6, false, {endpoint("e0", "127.0.0.1:1000")}), kNow).kind,
              ListUpdateResult::Kind::unchanged);
    EXPECT_FALSE(usable(m, "e0"));
    m.applyUpdate(list(7, false, {endpoint("e0", "127.0.0.1:1000")}), kNow);
    EXPECT_TRUE(usable(m, "e0"));
}

TEST(Membership, DiscoveryThatLostItsHistoryIsDetectedAndRevivesNothing) {
    Membership m({});
    m.applyUpdate(fleet(50, 6), kNow);
    m.applyUpdate(list(51, false, {endpoint("e0", "127.0.0.1:1000", 1, Status::draining)}), kNow);
    m.discoveryLost(kNow);
    EXPECT_EQ(m.applyUpdate(list(3, false, {endpoint("e9", "127.0.0.1:2000")}), kNow).kind,
              ListUpdateResult::Kind::fullListNeeded);
    EXPECT_EQ(m.find("e9"), nullptr);
    auto full = fleet(3, 6);
    const auto result = m.applyUpdate(full, kNow + 1000);
    EXPECT_EQ(result.kind, ListUpdateResult::Kind::lostHistory);
    EXPECT_EQ(m.index(), 3u);
    EXPECT_EQ(m.epoch(), 1u);
    // It drained, and a source without history lists it as serving.
    EXPECT_FALSE(usable(m, "e0", kNow + 1000));
    EXPECT_TRUE(usable(m, "e1", kNow + 1000));
    // From now on the new numbering applies, and updates are merged.
    EXPECT_EQ(m.applyUpdate(list(4, false, {endpoint("e7", "127.0.0.1:3000")}), kNow + 2000).kind,
              ListUpdateResult::Kind::merged);
    EXPECT_TRUE(usable(m, "e7", kNow + 2000));
    // It was started again after it drained, so it may serve.
    full.index = 2;
    full.endpoints[0].startedAtMs = kNow + 500;
    m.applyUpdate(full, kNow + 3000);
    EXPECT_TRUE(usable(m, "e0", kNow + 3000));
}

TEST(Membership, EndpointsLeftOutByASuspiciouslySmallListAreSuspendedForAWhile) {
    Membership m({});
    m.applyUpdate(fleet(5, 10), kNow);
    const auto result = m.applyUpdate(list(6, true, {}), kNow);
    EXPECT_EQ(result.suspended, 10u);
    EXPECT_FALSE(usable(m, "e0"));
    EXPECT_EQ(m.endpointsOf(1).size(), 10u);
    EXPECT_FALSE(m.find("e0")->isTombstone());
    m.applyUpdate(fleet(7, 10), kNow + 2000);  // listed again: in service as before
    EXPECT_TRUE(usable(m, "e0", kNow + 2000));
    EXPECT_EQ(m.applyUpdate(list(8, true, {}), kNow + 3000).suspended, 10u);
    EXPECT_TRUE(m.expire(kNow + 4000).empty());
    EXPECT_EQ(m.expire(kNow + 40000).size(), 10u);
    EXPECT_TRUE(m.find("e0")->isTombstone());
}

TEST(Membership, SlightlySmallerListIsMergedAsItIs) {
    Membership m({});
    m.applyUpdate(fleet(5, 10), kNow);
    EXPECT_EQ(m.applyUpdate(fleet(6, 8), kNow).suspended, 0u);
    EXPECT_TRUE(m.find("e9")->isTombstone());
    // The first list of a process run is not compared with older data.
    Membership fresh({});
    fresh.applyConfiguration(fleet(5, 10), kNow);
    EXPECT_EQ(fresh.applyUpdate(fleet(6, 2), kNow).suspended, 0u);
}

TEST(Membership, ChangesRelativeToAKnownIndexConfirmAllOtherEndpoints) {
    Membership m({});
    m.restore(41, 0, {});
    m.restore(saved("a", "127.0.0.1:1", 41, 24h));
    m.restore(saved("b", "127.0.0.1:2", 41, 24h));
    EXPECT_EQ(level(m, "a"), TrustLevel::stale);
    m.applyUpdate(list(42, false, {endpoint("c", "127.0.0.1:3")}), kNow);
    EXPECT_EQ(level(m, "a"), TrustLevel::confirmed);
    EXPECT_EQ(level(m, "c"), TrustLevel::confirmed);
    m.discoveryLost(kNow + 1000);
    EXPECT_EQ(level(m, "a", kNow + 2000), TrustLevel::confirmed);
    EXPECT_EQ(level(m, "a", kNow + 60000), TrustLevel::ageing);
}

TEST(Membership, AnswersCountOnlyWhileDiscoveryIsDown) {
    Membership m({});
    m.restore(41, 0, {});
    m.restore(saved("a", "127.0.0.1:1", 41, 24h));
    m.recordAnswer("a", trust::ConfirmationSource::probe, kNow);
    EXPECT_TRUE(usable(m, "a"));
    EXPECT_TRUE(m.refuteByAnswer("a", RefutationReason::unexpectedServer, kNow));
    EXPECT_FALSE(usable(m, "a"));
    m.applyUpdate(list(42, true, {endpoint("a", "127.0.0.1:1")}), kNow);
    EXPECT_TRUE(usable(m, "a"));
    EXPECT_FALSE(m.refuteByAnswer("a", RefutationReason::unexpectedServer, kNow));
}

TEST(Membership, TombstonesAreBoundedInNumberAndAge) {
    membership::Policy policy;
    policy.tombstones = 20;
    Membership m(policy);
    std::uint64_t index = 1;
    RecordMs now = kNow;
    for (int i = 0; i < 500; ++i) {
        const auto name = "e" + std::to_string(i);
        m.applyUpdate(list(++index, false, {endpoint(name, "127.0.0.1:1")}), now);
        m.applyUpdate(list(++index, false, {endpoint(name, "127.0.0.1:1", 1, Status::deleted)}), now);
        now += 1000;
        m.expire(now);
    }
    EXPECT_EQ(m.tombstoneCount(), 20u);
    EXPECT_EQ(m.entries().size(), 20u);
    m.expire(now + milliseconds(25h).count());
    EXPECT_EQ(m.entries().size(), 0u);
}

// Random updates in random order: an endpoint that drained or was deleted in the latest update of discovery,
// by index, is never usable, and the tables stay consistent.
TEST(Membership, RandomUpdatesNeverReviveWhatIsGone) {
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 generator(seed);
        const auto below = [&](std::uint64_t n) { return generator() % n; };
        Membership m({});
        std::map<std::string, bool> gone;  // by the latest update of discovery
        std::uint64_t index = 10;
        RecordMs now = kNow;
        for (int step = 0; step < 60; ++step) {
            now += static_cast<RecordMs>(below(5000));
            const auto name = "e" + std::to_string(below(8));
            const auto at = "127.0.0.1:" + std::to_string(100 + below(10));
            const auto action = below(10);
            if (action < 6) {
                const auto status = static_cast<Status>(below(3));
                m.applyUpdate(list(++index, false, {endpoint(name, at, 1 + below(3), status)}), now);
                if (status != Status::deleted || gone.count(name)) gone[name] = status != Status::serving;
            } else if (action < 7) {
                std::set<std::string> named;
                std::vector<listing::Endpoint> all;
                for (int i = 0; i < 8; ++i)
                    if (below(2)) {
                        all.push_back(
                            endpoint("e" + std::to_string(i), "127.0.0.1:" + std::to_string(200 + i)));
                        named.insert(all.back().name);
                    }
                m.applyUpdate(list(++index, true, all), now);
                for (int i = 0; i < 8; ++i)
                    if (const auto n = "e" + std::to_string(i); named.count(n) || gone.count(n))
                        gone[n] = !named.count(n);
            } else if (action < 8) {  // an update from an agent that lags behind
                m.applyUpdate(list(index - 5, false, {endpoint(name, at)}), now);
            } else if (action < 9) {
                m.discoveryLost(now);
            } else {
                m.recordAnswer(name, trust::ConfirmationSource::delivery, now);
                m.expire(now);
            }
            std::size_t tombstones = 0, members = 0;
            for (const auto& entry : m.entries()) {
                tombstones += entry->isTombstone();
                const auto& endpoints = m.endpointsOf(entry->endpoint.destination);
                members +=
                    static_cast<std::size_t>(std::count(endpoints.begin(), endpoints.end(), entry.get()));
                const auto& id = entry->endpoint.name;
                const bool leftService = gone.count(id) && gone[id];
                ASSERT_FALSE(leftService && usable(m, id, now))
                    << "seed " << seed << " step " << step << " " << id;
            }
            ASSERT_EQ(tombstones, m.tombstoneCount()) << "seed " << seed;
            ASSERT_EQ(members, m.entries().size()) << "seed " << seed;
        }
    }
}

}  // namespace
