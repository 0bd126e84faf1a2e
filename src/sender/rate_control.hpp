// Limits the rate of attempts on a route: to a share of its rate limit, to what rejections show to be
// possible, and to what a destination can take in an outage, during its warm-up, or while nothing confirms
// that it is well.
//
// No I/O and no clock: `now` is the time of the turn, in seconds.
#pragma once

#include "sender/random.hpp"
#include "sender/state.hpp"

namespace stoathub {

/// Returns true if the answer reports a rate limit and how much of it is unused.
bool reportsLimit(const Outcome& outcome);

class RateControl {
  public:
    /// Both must outlive this object.
    RateControl(const Settings& settings, RandomSource& random);

    /// Returns this sender's equal share of the rate limit or, if that is unknown, its own best delivery
    /// rate.
    double fairRate(const RouteState& route) const;
    /// Returns true if traffic is sparse: in a large fleet, where the fair rate of one sender is too small to
    /// space its attempts by, and too few outcomes are seen for streaks and averages.
    bool isSparse(const RouteState& route) const;
    /// Adapts the rate to an outcome.
    void observe(RouteState& route, const Outcome& outcome, Seconds now);
    /// Returns when the rate allows the next attempt; at most `now`: at once. `routes`: among which the
    /// attempts of the destination are divided.
    Seconds pacedAttemptAt(RouteState& route, int routes, Seconds now);
    /// Returns when the next attempt is allowed as far as the destination is unconfirmed; at most `now`: at
    /// once; kNever: not before an outcome.
    Seconds unconfirmedAttemptAt(RouteState& route, Seconds now);
    /// Makes the route unconfirmed, with this number of attempts allowed at once.
    void limitUntilConfirmed(RouteState& route, double attempts, Seconds now) const;

  private:
    void adaptRate(RouteState& route, Result result, Seconds now);
    void updateFairShare(RouteState& route, const Outcome& outcome, Seconds now);
    bool usesFairShares(const RouteState& route, Seconds now) const;
    double fairShares(const RouteState& route, Seconds now) const;
    double pacedRate(const RouteState& route, int routes, Seconds now) const;
    double refillPaceTokens(RouteState& route, int routes, Seconds now);
    double unconfirmedRate(const RouteState& route, Seconds now) const;
    double coldRateShare() const;

    const Settings& settings_;
    RandomSource& random_;
    double rareMessageRate_ = 0;  // least rate, per second, while a message waits for sparse traffic
    double recoveryDeliveryTokens_ = kMaxRecoveryDeliveryTokens;
};

}  // namespace stoathub
