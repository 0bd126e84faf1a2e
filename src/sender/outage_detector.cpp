#include "sender/outage_detector.hpp"

#include <algorithm>

namespace stoathub {
namespace {

/// Whether a single rejection shows an outage: by the announced wait, or by the unused share of the limit.
bool showsOutage(const Outcome& outcome) {
    if (outcome.result != Result::rejected) return false;
    if (outcome.retryAfter > Duration{}) return toSeconds(outcome.retryAfter) > kOutageRejectionSeconds;
    return reportsLimit(outcome) && *outcome.allowanceLeft > kAmpleAllowance;
}

}  // namespace

void OutageDetector::observe(RouteState& route, DestinationEntry& destination, const EndpointEntry& endpoint,
                             const Outcome& outcome, Seconds now) {
    const Result result = outcome.result;
    RouteState& destinationRoute = destination.route;
    if (result == Result::delivered) return recordDelivery(route, destinationRoute, now);
    // Consecutive rejections occur both in an outage and at a rate limit. Where the rejection itself tells
    // them apart, that decides.
    const bool rejectionShowsOutage = showsOutage(outcome);
    if (result == Result::rejected && !rejectionShowsOutage && reportsLimit(outcome)) return;
    // An outage usually affects all routes of a destination, so a rejection on one counts for the others.
    if (endpoint.separateRoute && destinationRoute.failureStreak++ == 0)
        destinationRoute.streakStartedAt = now;
    if (endpoint.separateRoute && result == Result::rejected) ++destinationRoute.rejectionStreak;
    if (route.failureStreak++ == 0) route.streakStartedAt = now;
    if (result == Result::rejected && !rejectionShowsOutage) ++route.rejectionStreak;
    if (route.failureStreak - route.rejectionStreak >= kOutageFailures ||
        rejectionsShowOutage(route, destinationRoute, now) || route.successShare < kOutageSuccessShare ||
        allEndpointsFailed(route, destination, endpoint, result, rejectionShowsOutage))
        markDown(route, result, now);
}

void OutageDetector::recordDelivery(RouteState& route, RouteState& destinationRoute, Seconds now) const {
    if (route.down) {
        route.down = false;
        route.recoveredAt = now;
        route.successShare = std::max(route.successShare, kRecoveredSuccessShare);
    }
    route.failureStreak = route.rejectionStreak = 0;
    destinationRoute.failureStreak = destinationRoute.rejectionStreak = 0;
}

// A sender that is told how long an outage lasts, or that has little to send, sees one or two failures of it:
// too few to tell it from a rate limit or a single fault. But nothing is delivered in an outage, and none
// ends within kSuspicionSeconds. So a failure with no delivery for that long before and after it is enough
// for caution at the return, and deliveries then raise the limit within a few latencies. The cost: a healthy
// destination with such a gap gets its next messages by one at first. Sparse traffic has gaps at any time;
// there a single failure decides, see allEndpointsFailed().
bool OutageDetector::mayBeInOutage(const RouteState& route, Seconds now) const {
    return route.failedSinceDelivery &&
           std::max(now, route.waitUntil) - route.deliveredAt >= kSuspicionSeconds &&
           !rateControl_.isSparse(route);
}

void OutageDetector::suspectOutage(RouteState& route, Seconds now) const {
    if (route.unconfirmed || route.down || !mayBeInOutage(route, now)) return;
    route.outageSuspected = true;
    // In a large fleet the first attempts of all senders would be too many at once.
    const bool spread = settings_.senders > kSmallFleetSenders;
    rateControl_.limitUntilConfirmed(route, spread ? random_.uniform() : 1, now);
}

void OutageDetector::markDown(RouteState& route, Result result, Seconds now) {
    if (route.down) return;
    route.down = true;
    const bool warming = now < route.recoveredAt + toSeconds(settings_.warmUp);
    route.wasUnresponsive = result != Result::rejected || (route.wasUnresponsive && warming);
    if (!rateControl_.isSparse(route)) return;
    // The tokens saved up are drawn at random, so that many senders do not return at the same time.
    route.paceTokens = random_.uniform();
    route.paceTokensAt = now;
}

// In a large fleet many senders hold one message each for a destination in an outage, and backoff alone lets
// through far more than it can take when it comes back. Where traffic is sparse, two rejections that report
// nothing, some time apart, are enough evidence.
bool OutageDetector::rejectionsShowOutage(const RouteState& route, const RouteState& destinationRoute,
                                          Seconds now) const {
    if (rateControl_.isSparse(route))
        return destinationRoute.rejectionStreak >= kSparseOutageRejections &&
               now - destinationRoute.streakStartedAt > kSparseOutageSeconds;
    return route.rejectionStreak >= kOutageRejections &&
           now - route.streakStartedAt > kOutageRejectionSeconds;
}

// Sparse traffic never completes a streak of failures, so one failure at each endpoint is enough.
bool OutageDetector::allEndpointsFailed(const RouteState& route, const DestinationEntry& destination,
                                        const EndpointEntry& endpoint, Result result,
                                        bool rejectionShowsOutage) const {
    if (!rateControl_.isSparse(route)) return false;
    if (result == Result::rejected && !rejectionShowsOutage) return false;
    const bool noAnswer = result == Result::timeout || result == Result::cancelled;
    if (noAnswer && route.failureStreak < kSparseOutageTimeouts) return false;
    if (endpoint.separateRoute || rejectionShowsOutage) return true;
    return std::all_of(
        destination.endpoints.begin(), destination.endpoints.end(),
        [](const EndpointEntry* candidate) { return !candidate->usable || candidate->failureStreak > 0; });
}

}  // namespace stoathub
