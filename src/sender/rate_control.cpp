#include "sender/rate_control.hpp"

#include <algorithm>
#include <cmath>

namespace stoathub {

bool reportsLimit(const Outcome& outcome) {
    return outcome.allowedRate && *outcome.allowedRate > 0 && outcome.allowanceLeft;
}

RateControl::RateControl(const Settings& settings, RandomSource& random)
    : settings_(settings), random_(random) {
    double meanTimeToLive = 0;
    for (const auto& messageClass : settings_.messageClasses)
        meanTimeToLive +=
            toSeconds(messageClass.timeToLive) / static_cast<double>(settings_.messageClasses.size());
    rareMessageRate_ = kRareMessagesPerLifetime / meanTimeToLive;
    if (settings_.overloadMultiple > 0)
        recoveryDeliveryTokens_ =
            std::clamp(settings_.overloadMultiple - kRecoveryRateFactor - kOverloadMargin, 0.0,
                       kMaxRecoveryDeliveryTokens);
}

void RateControl::observe(RouteState& route, const Outcome& outcome, Seconds now) {
    if (usesFairShares(route, now)) updateFairShare(route, outcome, now);
    else adaptRate(route, outcome.result, now);
}

// Adapts the rate to rejections and successes. Attempts above a rate limit lead to the most expensive
// retries, empty the retry bucket and, at some destinations, use up the limit themselves. So first
// attempts are limited as well: to this sender's share of a known limit, or to the rate at which
// rejections began; less after rejections, more with successes. The cost: where other senders are idle,
// part of the limit stays unused until the rate has grown.
void RateControl::adaptRate(RouteState& route, Result result, Seconds now) {
    if (route.down) return;
    if (route.rateCap == kNever && route.rateLimit > 0) route.rateCap = route.rateLimit / settings_.senders;
    if (result == Result::rejected) {
        route.paceTokens = std::min(route.paceTokens, 0.0);  // saved-up attempts would be rejected too
        if (now < route.rateCutAt + kRateCutPauseSeconds) return;
        if (isSparse(route) && now > route.rateCutAt + kRecentRejectionSeconds) route.rateCap = kNever;
        route.rateCutAt = now;
        const double decayed =
            route.sendRate * std::exp(-(now - route.sendRateAt) / kSendRateSmoothingSeconds);
        route.rateCap = std::max(
            kMinRatePerSecond, kRateCutFactor * std::min(route.rateCap, std::max(decayed, fairRate(route))));
    } else if (result == Result::delivered && route.rateCap != kNever) {
        // A rate limit that was low for a while leaves the rate far too low once it is restored. Below
        // the fair share the rate catches up, the faster the longer there has been no rejection.
        const double rejectionFree =
            std::min((now - route.rateCutAt) / kRecentRejectionSeconds, kMaxCatchUpFactor);
        route.rateCap +=
            kRateGrowthPerSuccess * route.rateCap +
            kRateCatchUpPerSuccess * rejectionFree * std::max(0.0, fairRate(route) - route.rateCap);
        if (route.rateLimit > 0) route.rateCap = std::min(route.rateCap, route.rateLimit);
    }
}

// Adapts this sender's share of a rate limit in a large fleet. Hundreds of senders with a few attempts
// each can together exceed a limit, and if rejected attempts use it up, nothing gets through, although
// each sender sees only a few rejections. So the equal shares add up to less than the limit, and senders
// with more messages get the rest: an answer that reports an unused part of the limit allows further
// attempts. The cost: a sender with a burst of messages is held back for a few seconds.
void RateControl::updateFairShare(RouteState& route, const Outcome& outcome, Seconds now) {
    if (route.down) return;
    if (outcome.result == Result::rejected) {
        // Senders that are rejected at the same time would otherwise send their next attempts at the same
        // time, and be rejected together again. A random offset within the interval between two attempts
        // spreads them.
        route.paceTokens = random_.uniform() - 0.5;
        if (now < route.rateCutAt + kRateCutPauseSeconds) return;
        route.fairShares = std::max(kMinFairShares, kFairShareCutFactor * fairShares(route, now));
        route.rateCutAt = route.fairSharesAt = now;
    } else if (outcome.result == Result::delivered && now > route.recoveredAt + toSeconds(settings_.warmUp)) {
        const double left = reportsLimit(outcome) ? *outcome.allowanceLeft : kDefaultAllowanceLeft;
        route.paceTokens = std::min(1.0, route.paceTokens + kDeliveryTokens * left);
        route.fairShares = std::min(kMaxFairShares, fairShares(route, now) + kFairShareGrowth * left);
        route.fairSharesAt = now;
    } else if (outcome.result == Result::delivered) {
        // During a warm-up, the equal shares of senders without messages are unused, so a delivery allows
        // part of a further attempt. Deliveries come no faster than the destination can make them, so
        // together with kRecoveryRateFactor the total stays below the overload multiple even if every
        // sender has a backlog. After an outage with rejections only, the destination may be short of
        // capacity rather than cold, and more attempts would be rejected too: there the part is smaller.
        route.paceTokens = std::min(1.0, route.paceTokens + (route.wasUnresponsive ? recoveryDeliveryTokens_
                                                                                   : kWarmUpDeliveryTokens));
    } else if (outcome.result == Result::connectFailed) {
        route.paceTokens = std::min(1.0, route.paceTokens + 1);  // a failed connect puts no load on it
    }
}

// The current multiple of the fair share; it decays to 1.
double RateControl::fairShares(const RouteState& route, Seconds now) const {
    return 1 + (route.fairShares - 1) * std::exp(-(now - route.fairSharesAt) / kFairShareDecaySeconds);
}

double RateControl::fairRate(const RouteState& route) const {
    return std::max(route.rateLimit > 0 ? route.rateLimit / settings_.senders : route.bestDeliveryRate,
                    kMinFairRatePerSecond / settings_.senders);
}

// Current limit in attempts per second; kNever if only the window limits the sending.
double RateControl::pacedRate(const RouteState& route, int routes, Seconds now) const {
    // A single message gets more than the equal share of a sparse rate, as few other senders hold a
    // message at the same time. Separate routes divide this among them, so that one message is not sent
    // to each of them.
    const double share =
        isSparse(route) ? std::max(fairRate(route), rareMessageRate_ / routes) : fairRate(route);
    if (route.down || route.unansweredAttempts >= kSilentAttempts)
        return kOutageRateFactor * coldRateShare() * share;
    const double warmUp = toSeconds(settings_.warmUp);
    if (now < route.recoveredAt + warmUp)
        return kRecoveryRateFactor * share *
               (settings_.coldCapacityShare +
                (1 - settings_.coldCapacityShare) * (now - route.recoveredAt) / warmUp);
    if (usesFairShares(route, now)) return kFairShareLimitFraction * fairRate(route) * fairShares(route, now);
    // In a large fleet the fair share of one sender is so small that messages, which arrive at random,
    // would nearly all be delayed by it. So only recent rejections slow the sending down. The cost:
    // simultaneous bursts at all senders can exceed the rate limit.
    if (isSparse(route) && now > route.rateCutAt + kRecentRejectionSeconds) return kNever;
    return route.rateCap;
}

bool RateControl::isSparse(const RouteState& route) const {
    return settings_.senders > kSmallFleetSenders && fairRate(route) < kSparseRatePerSecond;
}

// Whether updateFairShare() controls the rate rather than adaptRate(): for sparse traffic, and in a large
// fleet during a warm-up.
bool RateControl::usesFairShares(const RouteState& route, Seconds now) const {
    const bool warming =
        settings_.senders > kSmallFleetSenders && now < route.recoveredAt + toSeconds(settings_.warmUp);
    return (isSparse(route) || warming) && route.rateLimit > 0;
}

// Refills the tokens over time, and returns them; an attempt needs a whole one.
double RateControl::refillPaceTokens(RouteState& route, int routes, Seconds now) {
    if (pacedRate(route, routes, now) == kNever) {
        route.paceTokensAt = now;
        return route.paceTokens = 1;
    }
    // An announced wait ends for all senders at once, so nothing is saved up during it.
    route.paceTokensAt = std::max(route.paceTokensAt, std::min(route.waitUntil, now));
    route.paceTokens = std::min(
        std::max(1.0, kBurstSeconds * std::min(pacedRate(route, routes, now), kMaxBurstRatePerSecond)),
        route.paceTokens + pacedRate(route, routes, now) * (now - route.paceTokensAt));
    route.paceTokensAt = now;
    return route.paceTokens;
}

Seconds RateControl::pacedAttemptAt(RouteState& route, int routes, Seconds now) {
    if (refillPaceTokens(route, routes, now) >= 1) return now;
    return now + std::min((1 - route.paceTokens) / pacedRate(route, routes, now), kMaxPaceCheckSeconds) +
           kRoundingMarginSeconds;
}

void RateControl::limitUntilConfirmed(RouteState& route, double attempts, Seconds now) const {
    route.unconfirmed = true;
    route.firstDeliveryAt = kNever;
    route.unconfirmedTokens = attempts;
    route.unconfirmedTokensAt = now;
}

// Time saves up one attempt at most; only deliveries save up more. Where an outage is suspected, what time
// allows grows with the capacity that the destination has at least by then: one with a low rate limit, whose
// rejections use up the attempts, would starve otherwise.
double RateControl::unconfirmedRate(const RouteState& route, Seconds now) const {
    if (route.firstDeliveryAt == kNever) return kOutageRateFactor * coldRateShare() * fairRate(route);
    const Seconds warmUp = toSeconds(settings_.warmUp);
    const bool grows = route.outageSuspected && warmUp > 0;
    const double warm = grows ? std::min(1.0, (now - route.firstDeliveryAt) / warmUp) : 0;
    return kUnconfirmedRateFactor * (coldRateShare() + (1 - coldRateShare()) * warm) * fairRate(route);
}

Seconds RateControl::unconfirmedAttemptAt(RouteState& route, Seconds now) {
    if (!route.unconfirmed) return now;
    // Attempts that were out before the suspicion may be slow for other causes.
    if (route.firstDeliveryAt == kNever && route.attemptsOut > 0 && !route.outageSuspected) return kNever;
    const double base = unconfirmedRate(route, now);
    if (route.unconfirmedTokens < 1)
        route.unconfirmedTokens =
            std::min(1.0, route.unconfirmedTokens + base * (now - route.unconfirmedTokensAt));
    route.unconfirmedTokensAt = now;
    if (route.unconfirmedTokens >= 1) return now;
    return now + std::min((1 - route.unconfirmedTokens) / base, kMaxPaceCheckSeconds) +
           kRoundingMarginSeconds;
}

// The share of its rate at which a cold destination fails.
double RateControl::coldRateShare() const {
    if (settings_.overloadMultiple <= 0) return 1.0;
    return std::min(1.0, settings_.overloadMultiple * settings_.coldCapacityShare);
}

}  // namespace stoathub
