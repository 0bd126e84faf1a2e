// What the sender knows of its messages, destinations and endpoints. All times are in seconds since its first
// turn.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "retry_bucket.hpp"
#include "sender_constants.hpp"
#include "stoathub/stoathub.hpp"

namespace stoathub {

inline Seconds toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
inline Duration toDuration(Seconds seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e9)); }

/// State of a route: of a destination, or of a single endpoint where endpoints have separate routes. Rate
/// limits, announced waits and outages belong to a route.
struct RouteState {
    double window = 0;        // concurrency limit
    int attemptsOut = 0;      // in flight
    Seconds waitUntil = 0;    // end of the announced wait
    double latency = 0;       // smoothed; 0: unknown
    double bestLatency = 0;   // best recent value of the smoothed latency
    double successShare = 1;  // smoothed share of successes
    Seconds windowHalvedAt = -1;
    int failureStreak = 0;    // failures and rejections since the last success
    int rejectionStreak = 0;  // rejections among them
    Seconds streakStartedAt = 0;
    bool down = false;              // in an outage
    Seconds recoveredAt = -kNever;  // end of the last outage
    bool wasUnresponsive = false;   // in the last outage it failed or did not answer, rather than reject
    double rateLimit = 0;           // attempts per second, for all senders together; 0: unknown
    double reportedRateLimit = -1;  // as last reported in an answer, 0 for no limit; -1: never reported
    double bestDeliveryRate = 0;    // of this sender, per second
    double deliveriesInBin = 0;     // deliveries in the current interval of a second
    Seconds binStartedAt = 0;
    int unansweredAttempts = 0;            // overdue attempts, with no answer to any later attempt
    Seconds lastAnsweredSendAt = -kNever;  // when the latest answered attempt was sent
    double rateCap = kNever;  // attempts per second, learnt from rejections and the rate limit; kNever: none
    double sendRate = 0;      // smoothed, attempts per second, at sendRateAt
    Seconds sendRateAt = 0, rateCutAt = -kNever;
    Seconds lastObservedAt = 0;        // last outcome or health report
    Seconds deliveredAt = -kNever;     // last delivery, or since when the route is known
    bool failedSinceDelivery = false;  // an attempt failed or was rejected after it
    bool outageSuspected = false;      // unconfirmed for that reason; see OutageDetector::suspectOutage()
    double fairShares = 1;             // multiple of the fair share that this sender may use, at fairSharesAt
    Seconds fairSharesAt = 0;
    double paceTokens = 1;  // attempts that the rate allows, at paceTokensAt
    Seconds paceTokensAt = 0;
    bool unconfirmed = false;          // see DestinationHealth::unconfirmed
    Seconds firstDeliveryAt = kNever;  // since it became unconfirmed
    double unconfirmedTokens = 1;      // attempts allowed while unconfirmed, at unconfirmedTokensAt
    Seconds unconfirmedTokensAt = 0;

    void recordDelivery(Seconds now) {
        if (now >= binStartedAt + 1) {
            bestDeliveryRate = std::max(
                deliveriesInBin / (now - binStartedAt),
                bestDeliveryRate * (1 - kBestRateDecayPerSecond * std::min(now - binStartedAt, 10.0)));
            deliveriesInBin = 0;
            binStartedAt = now;
        }
        ++deliveriesInBin;
    }
    bool isDegraded() const {
        return successShare < kDegradedSuccessShare || latency > kShrinkLatencyRatio * bestLatency;
    }
};

struct EndpointEntry {
    EndpointId id;
    DestinationId destinationId = 0;
    int kind = 0;
    int zone = 0;
    double tieBreaker = 0;  // lowest first among equally busy endpoints: random, plus 1 per full queue
    bool separateRoute = false;
    bool usable = false;
    std::uint64_t listGeneration = 0;  // of the last full list that named it
    int attemptsOut = 0;
    int failureStreak = 0;            // failures since its last success
    bool unresponsive = false;        // has an overdue attempt, and no answer to any later one
    Seconds idleConnectionUntil = 0;  // while no attempt is in flight, an idle connection exists until then
    Seconds lastAnsweredSendAt = -kNever;  // when the latest answered attempt was sent
    Seconds avoidUntil = 0;  // set after failures; ignored if all endpoints of the destination fail
    RouteState route;        // used with separate routes
};

struct DestinationEntry {
    RouteState route;  // shared by its endpoints unless they have separate routes
    RetryBucket bucket;
    int attemptsOut = 0;
    int heldMessages = 0;
    std::vector<EndpointEntry*> endpoints;
};

struct ActiveAttempt {
    bool reusedConnection = false;
    EndpointEntry* endpoint = nullptr;
    Seconds sentAt = 0;
};

struct Message {
    MessageId id;
    DestinationEntry* destination = nullptr;
    int classIndex = 0;
    Effect effect = Effect::pure;  // of its class, or stricter
    std::optional<OrderKey> orderKey;
    Seconds acceptedAt = 0, deliveryTargetAt = 0, deadline = 0;
    Seconds notBefore = 0;     // end of the backoff
    Seconds sentAt = 0;        // last attempt
    double pendingTokens = 0;  // to be paid before the next attempt
    double paidTokens = 0;     // paid for an attempt that has not been sent yet
    int attempts = 0;          // sent so far
    int failedConnects = 0;    // of these, attempts that never reached an endpoint
    int consecutiveUnsent = 0;
    bool mayHaveRun = false;
    Seconds keyWindowStart = 0;        // when the first attempt that may have run was sent
    int keyZone = 0;                   // zone of that attempt; -1: unknown
    bool untriedSinceRestart = false;  // accepted by a previous run, and not attempted since
    bool ended = false;                // has its final answer; kept while an attempt is in flight
    bool cancelRequested = false;
    std::uint64_t attemptId = 0;  // of the attempt in flight; 0: none
    bool hasActiveAttempt() const { return attemptId != 0; }
    /// Attempts that reached an endpoint, or are in flight. Only these count against the attempt limit.
    int countedAttempts() const { return attempts - failedConnects; }
};

}  // namespace stoathub
