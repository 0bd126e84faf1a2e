// The roster together with the decisions facade: what both hold about endpoints stays consistent.
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

/// Provides a facade, and what a roster in front of it needs.
class Roster : public testing::Test {
  protected:
    Roster() { log::setLevel(log::Level::off); }
    /// Without a saved list and without probes, so that a roster knows only what the test tells it.
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

// Some fleets drain endpoints and never delete them. Unless the facade drops an endpoint together with its
// tombstone, its tables grow without bound.
TEST_F(Roster, ADrainedEndpointLeavesTheFacadeWithItsTombstone) {
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

// An attempt may be in flight while the list moves its endpoint to another address. If an unexpected server
// answers at the old address, the endpoint at its new address must not be refuted.
TEST_F(Roster, AnAnswerFromTheOldAddressDoesNotRefuteAMovedEndpoint) {
    const auto options = seenOnly();
    roster::Roster roster(config_, options, facade_);
    roster.begin();
    roster.start();
    const auto serving = listing::Status::serving;
    roster.applyUpdate({10, true, {endpoint("moved", 1, serving), endpoint("replaced", 2, serving)}});
    roster.applyUpdate({11, false, {endpoint("moved", 3, serving)}});
    roster.streamLost();  // while discovery lists an endpoint, no answer can refute it
    const auto reportUnexpectedServer = [&](const listing::Endpoint& at) {
        decisions::DueAttempt attempt;
        attempt.endpoint = at.name;
        attempt.address = at.address;
        decisions::AttemptResult result;
        result.status = decisions::AttemptStatus::error;
        result.unexpectedServer = true;
        roster.attemptFinished(attempt, result);
    };
    reportUnexpectedServer(endpoint("moved", 1, serving));
    reportUnexpectedServer(endpoint("replaced", 2, serving));  // applied after the other, or with it
    for (const auto until = decisions::Steady::now() + std::chrono::seconds(30);
         roster.counts().refuted == 0 && decisions::Steady::now() < until;)
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    EXPECT_EQ(roster.counts().refuted, 1u);
}

}  // namespace
