// Detects outages of destinations and their end.
//
// A destination in an outage comes back with reduced capacity, and senders that kept sending at the full rate
// would overload it again. From the first evidence of an outage until the end of the warm-up, RateControl
// limits the attempts. This also protects slots and retry buckets against any destination that answers
// without success. The cost: after a short run of random failures a destination gets one warm-up at a reduced
// rate.
//
// No I/O and no clock: `now` is the time of the turn, in seconds.
#pragma once

#include "sender/random.hpp"
#include "sender/rate_control.hpp"
#include "sender/state.hpp"

namespace stoathub {

class OutageDetector {
  public:
    /// All must outlive this object.
    OutageDetector(const Settings& settings, const RateControl& rateControl, RandomSource& random)
        : settings_(settings), rateControl_(rateControl), random_(random) {}

    /// Takes the outcome of an attempt at this endpoint into account. `route`: of the endpoint.
    void observe(RouteState& route, DestinationEntry& destination, const EndpointEntry& endpoint,
                 const Outcome& outcome, Seconds now);

    /// Limits the route as an unconfirmed one if it may have been in an outage that was seen too briefly to
    /// show. Called before each attempt that may be sent.
    void suspectOutage(RouteState& route, Seconds now) const;
    /// Whether it may be in such an outage now.
    bool mayBeInOutage(const RouteState& route, Seconds now) const;

  private:
    void recordDelivery(RouteState& route, RouteState& destinationRoute, Seconds now) const;
    void markDown(RouteState& route, Result result, Seconds now);
    bool rejectionsShowOutage(const RouteState& route, const RouteState& destinationRoute, Seconds now) const;
    bool allEndpointsFailed(const RouteState& route, const DestinationEntry& destination,
                            const EndpointEntry& endpoint, Result result, bool rejectionShowsOutage) const;

    const Settings& settings_;
    const RateControl& rateControl_;
    RandomSource& random_;
};

}  // namespace stoathub
