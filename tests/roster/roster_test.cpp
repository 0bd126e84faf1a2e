// The owner of the list, with the facade behind it: what the two know of endpoints stays in step.
#include "roster/roster.hpp"

#include <gtest/gtest.h>

#include <thread>

#include "check.hpp"
#include "config/config.hpp"
#include "log/log.hpp"
#include "no_store.hpp"

namespace {

using namespace laurelhaven;

listing::Endpoint endpoint(const std::string& name, int i, listing::Status status) {
    return {name, "127.0.0.1:" + std::to_string(1000 + i), "z", "big", 7, status, 4, 0};
}

// Danger: where fleets drain endpoints and never delete them, each would stay in the facade's tables for
// good.
TEST(Roster, WhatDrainedAndWasNeverDeletedLeavesTheFacadeWithItsTombstone) {
    log::setLevel(log::Level::error);
    const check::Folder folder;
    const auto config =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1", "", check::settings()),
                         {{"BALANCER_STATE", folder.path}});
    check::NoStore store;
    decisions::Decisions facade(config, store, {});
    roster::Options options;
    options.keep = options.probe = false;
    options.membership.tombstones = 2;
    roster::Roster roster(config, options, facade);
    roster.begin();
    constexpr int kDrained = 6;
    listing::Listing all{10, true, {endpoint("stays", 0, listing::Status::serving)}};
    listing::Listing drained{11, false, {}};
    for (int i = 1; i <= kDrained; ++i) {
        const auto name = "d" + std::to_string(i);
        all.endpoints.push_back(endpoint(name, i, listing::Status::serving));
        drained.endpoints.push_back(endpoint(name, i, listing::Status::draining));
    }
    roster.heard(all);
    EXPECT_EQ(facade.counts().endpoints, kDrained + 1u);
    roster.heard(drained);
    EXPECT_EQ(facade.counts().endpoints, kDrained + 1u);
    roster.heard({12, true, {endpoint("stays", 0, listing::Status::serving)}});
    EXPECT_EQ(facade.counts().endpoints, 1 + options.membership.tombstones);
    EXPECT_EQ(facade.counts().destinations, 1u);
}

// Danger: a call may be out while the list moves its endpoint. Whoever answers like a stranger at the old
// address is one; the endpoint at its new address is not.
TEST(Roster, AnAnswerFromAnEndpointsOldAddressSaysNothingOfItsNewOne) {
    log::setLevel(log::Level::off);
    const check::Folder folder;
    const auto config =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1", "", check::settings()),
                         {{"BALANCER_STATE", folder.path}});
    check::NoStore store;
    decisions::Decisions facade(config, store, {});
    roster::Options options;
    options.keep = options.probe = false;
    roster::Roster roster(config, options, facade);
    roster.begin();
    roster.start();
    const auto serving = listing::Status::serving;
    roster.heard({10, true, {endpoint("moved", 1, serving), endpoint("stranger", 2, serving)}});
    roster.heard({11, false, {endpoint("moved", 3, serving)}});
    roster.lost();  // while discovery vouches for an endpoint, no answer says otherwise
    const auto answersLikeAStranger = [&](const listing::Endpoint& at) {
        decisions::Call call;
        call.endpoint = at.name;
        call.address = at.address;
        decisions::Result result;
        result.ending = decisions::Ending::error;
        result.foreign = true;
        roster.answered(call, result);
    };
    answersLikeAStranger(endpoint("moved", 1, serving));
    answersLikeAStranger(endpoint("stranger", 2, serving));  // behind the other: both are weighed then
    for (const auto until = decisions::Steady::now() + std::chrono::seconds(30);
         roster.counts().refuted == 0 && decisions::Steady::now() < until;)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_EQ(roster.counts().refuted, 1u);
}

}  // namespace
