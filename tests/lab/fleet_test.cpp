// Descriptions of fleets: what is read is what was written, every mistake is named with its line and what
// would be right, and the load of one seed is nested.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <tuple>

#include "fleet/description.hpp"

namespace {

using namespace laurelhaven;
using namespace std::chrono_literals;
using fleet::Description;

const std::string kGood = R"(name: small
zones: [west, east]
service: {goal: 90%, wanted: 4 s, deadline: 10 s}
senders: {count: 2, slots: 12, memory: 64 MB, core-per-message: 120 us}
load: {for: 30 s, tenants: 2, clumped: 20%, clump: 5, bursts: [{at: 10 s, for: 5 s, factor: 3, partner: big}]}
partners:
  - {name: big, endpoints: 4, zones: [west], capacity: 300/min, limit: 14/s, serve: 150 ms, asked: 6/s}
  - {name: town, count: 2, endpoints: 2, capacity: 2/s, answers: {p50: 80 ms, p99: 1.2 s, most: 4 s}}
troubles:
  - {at: 20 s, what: slow, partner: town-1, factor: 4}
  - {at: 25 s, what: limit, partner: big, factor: 0.5}
  - {at: 5 s, what: zone-lost, zone: east}
)";

TEST(Fleet, ReadsUnitsZonesAndTroubles) {
    const auto d = fleet::read(kGood, "small.yaml");
    ASSERT_EQ(d.partners.size(), 3u);
    EXPECT_DOUBLE_EQ(d.partners[0].is.does.capacity, 20);
    EXPECT_DOUBLE_EQ(d.partners[0].is.does.told, 14);
    EXPECT_EQ(d.partners[0].is.zone(3), 0);
    EXPECT_EQ(d.partners[1].name, "town-0");
    EXPECT_EQ(d.partners[2].is.zone(1), 1);
    EXPECT_EQ(d.partners[2].is.does.destination, 102u);
    EXPECT_EQ(d.partners[1].is.does.serve, 80ms);
    EXPECT_EQ(d.senders.perMessage, 120us);
    EXPECT_DOUBLE_EQ(d.goal, 0.9);
    ASSERT_EQ(d.troubles.size(), 3u);
    EXPECT_EQ(d.troubles[0].kind, model::Trouble::Kind::zoneLost);
    EXPECT_EQ(d.troubles[0].which, 1u);
    EXPECT_DOUBLE_EQ(d.troubles[1].factor, 4);
    EXPECT_EQ(d.troubles[2].kind, model::Trouble::Kind::limit);
    EXPECT_DOUBLE_EQ(d.troubles[2].factor, 0.5);
}

TEST(Fleet, WhatIsWrittenIsReadAgain) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto d = fleet::drawn(seed);
        const auto again = fleet::read(fleet::written(d, {"a note"}), "drawn.yaml");
        ASSERT_EQ(again.partners.size(), d.partners.size());
        EXPECT_EQ(again.senders.slots, d.senders.slots);
        for (std::size_t p = 0; p < d.partners.size(); ++p) {
            const auto &a = d.partners[p].is.does, &b = again.partners[p].is.does;
            EXPECT_NEAR(b.capacity, a.capacity, 0.002 * a.capacity);
            EXPECT_NEAR(b.limit, a.limit, 0.002 * a.limit);
            EXPECT_EQ(b.serve, a.serve);
            EXPECT_NEAR(again.partners[p].asked, d.partners[p].asked, 0.002 * d.partners[p].asked);
        }
    }
}

TEST(Fleet, EveryMistakeIsNamedWithItsLine) {
    const auto with = [](const std::string& from, const std::string& to) {
        auto text = kGood;
        const auto at = text.find(from);
        EXPECT_NE(at, std::string::npos) << from;
        return text.replace(at, from.size(), to);
    };
    const std::vector<std::tuple<std::string, std::string, std::string>> kBroken{
        // Units.
        {with("serve: 150 ms", "serve: 150"), "f.yaml:7:", "a time with its unit"},
        {with("serve: 150 ms", "serve: 150 s"), "f.yaml:7:", "is a unit wrong?"},
        {with("serve: 150 ms", "serve: 150ms"), "f.yaml:7:", "such as 250 ms"},
        {with("limit: 14/s", "limit: 14 s"), "f.yaml:7:", "a rate with its unit"},
        {with("capacity: 300/min", "capacity: 300"), "f.yaml:7:", "a rate with its unit"},
        {with("asked: 6/s", "asked: 360000/s"), "f.yaml:7:", "is a unit wrong?"},
        {with("wanted: 4 s", "wanted: 4 min"), "f.yaml:3:", "is a unit wrong?"},
        {with("goal: 90%", "goal: 0.9"), "f.yaml:3:", "a share in percent"},
        {with("memory: 64 MB", "memory: 64 KB"), "f.yaml:4:", "a sender without load takes"},
        {with("memory: 64 MB", "memory: 64"), "f.yaml:4:", "a size with its unit"},
        // Names.
        {with("zones: [west]", "zones: [wets]"), "f.yaml:7:", "there is no zone 'wets': they are west, east"},
        {with("partner: town-1", "partner: town-2"), "f.yaml:10:", "there is no partner 'town-2'"},
        {with("endpoints: 4", "endpoint: 4"), "f.yaml:7:", "did you mean 'endpoints'?"},
        {with("name: town", "name: big, destination: 7"), "f.yaml:8:", "can't stand beside 'count'"},
        {with("name: town, count: 2", "name: big"), "f.yaml:8:", "there are two partners 'big'"},
        // Sense.
        {with("limit: 14/s", "limit: 0/s"), "f.yaml:7:", "leave it out where there is none"},
        {with("p99: 1.2 s", "p99: 20 ms"), "f.yaml:8:", "is below the one before it"},
        {with("p50: 80 ms, ", ""), "f.yaml:8:", "needs 'p50' and 'most'"},
        {with("factor: 3", "factor: 0.5"), "f.yaml:5:", "must be above 1"},
        {with("{at: 10 s, for", "{at: 40 s, for"), "f.yaml:5:", "after the load has ended"},
        {with(", partner: town-1, factor: 4", ", partner: town-1"), "f.yaml:10:", "needs a 'factor'"},
        {with("what: slow", "what: slower"), "f.yaml:10:", "one of outage, back"},
        {with("clumped: 20%", "clumped: 120%"), "f.yaml:5:", "can't be above 100%"},
        {"name: nobody\n", "f.yaml", "partners"},
        {"partners: []\n", "f.yaml:1:", "a partner at least"},
        {"partners: [\n", "f.yaml", "not YAML"},
        {"", "f.yaml", "it is empty"},
    };
    for (const auto& [text, place, says] : kBroken) {
        try {
            fleet::read(text, "f.yaml");
            ADD_FAILURE() << "read without complaint, expected: " << says << "\n" << text;
        } catch (const fleet::Bad& e) {
            const std::string what = e.what();
            EXPECT_EQ(what.rfind(place, 0), 0u) << what << "\nexpected at " << place;
            EXPECT_NE(what.find(says), std::string::npos) << what << "\nexpected: " << says;
        }
    }
}

std::multiset<std::pair<std::int64_t, std::uint32_t>> set(const std::vector<model::Handing>& all) {
    std::multiset<std::pair<std::int64_t, std::uint32_t>> made;
    for (const auto& h : all) made.emplace(h.at.count(), h.partner);
    return made;
}

TEST(Fleet, MoreLoadContainsLessOfTheSameSeed) {
    auto d = fleet::read(kGood, "small.yaml");
    d.load.span = 300s;
    auto less = set(d.messages(0.3, 5));
    for (const double factor : {0.8, 1.0, 1.4, 2.0, 2.7}) {
        const auto more = set(d.messages(factor, 5));
        EXPECT_TRUE(std::includes(more.begin(), more.end(), less.begin(), less.end())) << factor;
        // 6 a second for 300 s, and the burst's 12 a second for 5 s.
        EXPECT_NEAR(static_cast<double>(more.size()), factor * 1860, 0.15 * factor * 1860) << factor;
        less = more;
    }
    EXPECT_NE(set(d.messages(1, 6)), set(d.messages(1, 5)));
}

}  // namespace
