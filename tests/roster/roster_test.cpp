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

/// A facade, and what a roster before it wants.
class Roster : public testing::Test {
  protected:
    Roster() { log::setLevel(log::Level::off); }
    /// Nothing is kept, and nothing probed: the roster knows what it is told.
    static roster::Options seenOnly() {
        roster::Options options;
        options.saveList = options.probesEnabled = false;
        return options;
    }

    const check::Folder folder_;
    const config::Config config_ =
        config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1", "", check::settings()),
                         {{"BALANCER_STATE", folder_.path}});
    check::NoStore store_;
    decisions::Decisions facade_{config_, store_, {}};
};

// Danger: where fleets drain endpoints and never delete them, each would stay in the facade's tables for
// good.
TEST_F(Roster, WhatDrainedAndWasNeverDeletedLeavesTheFacadeWithItsTombstone) {
    auto options = seenOnly();
    options.membership.tombstones = 2;
    roster::Roster roster(config_, options, facade_);
    roster.begin();
    constexpr int kDrained = 6;
    listing::EndpointList all{10, true, {endpoint("stays", 0, listing::Status::serving)}};
    listing::EndpointList drained{11, false, {}};
    for (int i = 1; i <= kDrained; ++i) {
        const auto name = "d" + std::to_string(i);
        all.endpoints.push_back(endpoint(name, i, listing::Status::serving));
        drained.endpoints.push_back(endpoint(name, i, listing::Status::draining));
    }
    roster.applyUpdate(all);
    EXPECT_EQ(facade_.tableSizes().endpoints, kDrained + 1u);
    roster.applyUpdate(drained);
    EXPECT_EQ(facade_.tableSizes().endpoints, kDrained + 1u);
    roster.applyUpdate({12, true, {endpoint("stays", 0, listing::Status::serving)}});
    EXPECT_EQ(facade_.tableSizes().endpoints, 1 + options.membership.tombstones);
    EXPECT_EQ(facade_.tableSizes().destinations, 1u);
}

// Danger: a call may be out while the list moves its endpoint. Whoever answers like a stranger at the old
// address is one; the endpoint at its new address is not.
TEST_F(Roster, AnAnswerFromAnEndpointsOldAddressSaysNothingOfItsNewOne) {
    const auto options = seenOnly();
    roster::Roster roster(config_, options, facade_);
    roster.begin();
    roster.start();
    const auto serving = listing::Status::serving;
    roster.applyUpdate({10, true, {endpoint("moved", 1, serving), endpoint("stranger", 2, serving)}});
    roster.applyUpdate({11, false, {endpoint("moved", 3, serving)}});
    roster.streamLost();  // while discovery vouches for an endpoint, no answer says otherwise
    const auto answersLikeAStranger = [&](const listing::Endpoint& at) {
        decisions::DueAttempt call;
        call.endpoint = at.name;
        call.address = at.address;
        decisions::AttemptResult result;
        result.status = decisions::AttemptStatus::error;
        result.unexpectedServer = true;
        roster.attemptFinished(call, result);
    };
    answersLikeAStranger(endpoint("moved", 1, serving));
    answersLikeAStranger(endpoint("stranger", 2, serving));  // behind the other: both are weighed then
    for (const auto until = decisions::Steady::now() + std::chrono::seconds(30);
         roster.counts().refuted == 0 && decisions::Steady::now() < until;)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_EQ(roster.counts().refuted, 1u);
}

}  // namespace
