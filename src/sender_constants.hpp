// Constants of the decision module. Durations are in seconds, rates in attempts per second unless a comment
// says otherwise. docs/audit-findings.md lists the source and the sensitivity of each value.
#pragma once

namespace stoathub {

using Seconds = double;  // since the sender's first turn
inline constexpr Seconds kNever = 1e18;

// ---- retries ----
// Values of the retry design; a reason stands with those that it leaves open.
inline constexpr double kBucketCapacityTokens = 50;     // of the retry bucket of one destination
inline constexpr double kRetryCostTokens = 5;           // for a retry
inline constexpr double kRejectedRetryCostTokens = 10;  // for a retry after a rejected attempt
inline constexpr double kSuccessRefundTokens = 1;       // refilled by a delivery
// Each first attempt lets time refill kRetryCostTokens divided by this.
inline constexpr double kFirstAttemptsPerRetry = 3;
inline constexpr double kRefillTokensPerSecond = 5;  // refilled over time, within what first attempts earn
// The backoff after attempt n (from 1) is at most this times 2 to the power of n ...
inline constexpr Seconds kBackoffBaseSeconds = 0.2;
// ... and is drawn at random between this fraction of that and the whole: never an immediate retry.
inline constexpr double kBackoffMinFraction = 0.25;
inline constexpr double kLateBackoffFactor = 4;  // on the backoff past the delivery target
// Longest backoff of a message whose connects have all failed.
inline constexpr Seconds kMaxReconnectBackoffSeconds = 4;
inline constexpr Seconds kUnsentPauseSeconds = 0.05;  // before the next attempt after one that was not sent,
inline constexpr int kMaxUnsentDoublings = 4;         // doubled each time, up to this many times

// ---- concurrency window ----
// Initial and largest window of a destination, as a share of the sender's slots.
inline constexpr double kMaxWindowSlotShare = 0.75;
// The window halves when the smoothed latency is over this multiple of the best recent one ...
inline constexpr double kShrinkLatencyRatio = 3;
inline constexpr double kGrowLatencyRatio = 2;           // ... and grows again when it is below this multiple
inline constexpr double kWindowGrowthPerSuccess = 0.5;   // attempts
inline constexpr double kSmoothingWeight = 0.15;         // of a new latency or outcome in its moving average
inline constexpr double kBestLatencyDriftWeight = 0.02;  // of the current latency in the best, per success
// Smoothed share of successes below which the window is limited to half of its largest size; so it is while
// the latency is over kShrinkLatencyRatio.
inline constexpr double kDegradedSuccessShare = 0.5;

// ---- outages and recovery ----
// Traffic to a destination is sparse where there are more than kSmallFleetSenders senders and the fair rate
// is below kSparseRatePerSecond. The fair rate is this sender's equal share of the rate limit or, if the
// limit is unknown, its best delivery rate.
inline constexpr int kOutageFailures = 3;  // consecutive failures that show an outage
// Consecutive attempts without an answer that show an outage where traffic is sparse. A single one may only
// have been slow.
inline constexpr int kSparseOutageTimeouts = 2;
// Consecutive rejections show an outage if there are this many of them ...
inline constexpr int kOutageRejections = 4;
// ... over more than this time. That is longer than the period over which destinations count their rate
// limit, so a limit that was merely reached does not qualify.
inline constexpr Seconds kOutageRejectionSeconds = 2.2;
// No outage is shorter. A failure with no delivery for this long lets one be suspected.
inline constexpr Seconds kSuspicionSeconds = 2.2;
// The same where traffic is sparse: rejections this far apart are unlikely to come from a rate limit, which
// would have admitted some of the attempts.
inline constexpr int kSparseOutageRejections = 2;
inline constexpr Seconds kSparseOutageSeconds = 0.8;
// A rejection without an announced wait that reports more than this unused share of the rate limit counts as
// a failure; where traffic is sparse, it shows an outage on its own. An announced wait decides instead: one
// over kOutageRejectionSeconds counts as such.
inline constexpr double kAmpleAllowance = 0.5;
inline constexpr double kOutageSuccessShare = 0.4;     // smoothed share of successes that shows an outage
inline constexpr double kRecoveredSuccessShare = 0.5;  // least share assumed when a success ends an outage
// Send rate during an outage, as a fraction of the rate at which a cold destination fails: the overload
// multiple times the cold capacity share.
inline constexpr double kOutageRateFactor = 0.8;
inline constexpr double kRecoveryRateFactor = 1.25;   // send rate over the capacity while warming up
inline constexpr double kMinFairRatePerSecond = 0.5;  // least fair rate, of all senders together
// Where traffic is sparse, the fair rate in an outage or a warm-up is taken to be at least this many attempts
// per mean time to live of the message classes, divided among separate routes. The factors of the outage or
// the warm-up apply to it.
inline constexpr double kRareMessagesPerLifetime = 1.5;
inline constexpr double kBestRateDecayPerSecond = 0.03;  // fraction of the best delivery rate lost

// ---- unconfirmed destinations ----
// Until its first delivery an unconfirmed destination is sent to at the rate of an outage. After that all
// senders together must stay below the rate at which it fails: with an overload multiple of 2 and a cold
// capacity share of 19%, it fails at 38% of its capacity, and receives 0.25 times 38% plus 1.4 times what it
// delivers.
inline constexpr double kUnconfirmedRateFactor = 0.25;        // of the rate at which it fails
inline constexpr double kUnconfirmedTokensPerDelivery = 1.4;  // further attempts that a delivery allows
inline constexpr double kMaxUnconfirmedTokens = 8;            // attempts saved up from deliveries

// ---- rate below a limit ----
inline constexpr Seconds kBurstSeconds = 0.3;          // attempts saved up, as a time at the paced rate ...
inline constexpr double kMaxBurstRatePerSecond = 20;   // ... of at most this rate
inline constexpr double kRateCutFactor = 0.85;         // applied to the rate after a rejection ...
inline constexpr Seconds kRateCutPauseSeconds = 1.0;   // ... at most once in this time
inline constexpr double kRateGrowthPerSuccess = 0.02;  // of the rate
// Each success also closes this fraction of the gap to the fair rate, multiplied by the time since the last
// rejection over kRecentRejectionSeconds, which is at most kMaxCatchUpFactor.
inline constexpr double kRateCatchUpPerSuccess = 0.1;
inline constexpr Seconds kRecentRejectionSeconds = 3;
inline constexpr double kMaxCatchUpFactor = 3;
inline constexpr Seconds kSendRateSmoothingSeconds = 2.0;  // time constant of the smoothed send rate
inline constexpr double kMinRatePerSecond = 0.3;           // least rate, however many rejections
// In a fleet of up to this many senders each one sees a destination often enough for streaks and averages.
inline constexpr int kSmallFleetSenders = 8;
inline constexpr double kSparseRatePerSecond = 1;  // in larger fleets, a smaller fair rate is sparse

// ---- fair shares of a rate limit in a large fleet ----
inline constexpr double kFairShareLimitFraction = 0.9;  // of the limit, dealt out in equal shares
// Pace tokens, each for a further attempt, that a delivery allows, multiplied by the reported unused share of
// the limit.
inline constexpr double kDeliveryTokens = 0.5;
// The same during a warm-up after an outage that a rejection showed, whatever share is unused ...
inline constexpr double kWarmUpDeliveryTokens = 0.25;
// ... and after one that another failure showed, as far as the overload multiple allows.
inline constexpr double kMaxRecoveryDeliveryTokens = 0.6;
// Those tokens are at most the overload multiple less kRecoveryRateFactor less this.
inline constexpr double kOverloadMargin = 0.15;
inline constexpr double kDefaultAllowanceLeft = 0.6;  // unused share assumed if a delivery reports none
inline constexpr double kFairShareGrowth = 0.15;  // fair shares gained by a delivery, times the unused share
inline constexpr double kMaxFairShares = 5;       // that one sender may use
inline constexpr double kFairShareCutFactor = 0.7;    // applied to the shares in use after a rejection
inline constexpr double kMinFairShares = 0.4;         // that one sender keeps
inline constexpr Seconds kFairShareDecaySeconds = 8;  // time constant of the return to one fair share

// ---- single endpoints ----
// Consecutive failures after which an endpoint is avoided; a failed connect is enough on its own.
inline constexpr int kEndpointBackoffFailures = 2;
inline constexpr Seconds kEndpointBackoffSeconds = 0.5;  // at first, then doubled
inline constexpr Seconds kMaxEndpointBackoffSeconds = 4;

// ---- order of messages ----
// Messages are ordered by the value that is lost if they are sent this much later.
inline constexpr Seconds kValueHorizonSeconds = 3;
inline constexpr Seconds kMinAttemptSeconds = 0.1;  // least duration assumed for an attempt

// ---- timeouts ----
// An attempt that may be repeated times out after this multiple of the smoothed latency ...
inline constexpr double kTimeoutLatencyFactor = 6;
inline constexpr Seconds kMinTimeoutSeconds = 1.5;  // ... and not before this time
// A timeout is final for a message with an unsafe effect, so its attempts get this many times as long.
inline constexpr double kUnsafeTimeoutFactor = 4;
// An attempt is overdue after this multiple of the smoothed latency, and at least kMinSilenceSeconds. An
// endpoint with an overdue attempt and no delivery of one sent later is unresponsive; a destination, with
// kSilentAttempts of them.
inline constexpr double kSilenceLatencyFactor = 4;
inline constexpr int kSilentAttempts = 2;
inline constexpr Seconds kMinSilenceSeconds = 1.2;
inline constexpr Seconds kDefaultLatencySeconds = 0.4;  // assumed until a destination has answered
// An attempt at an unresponsive endpoint may be cancelled after this time if another message needs its slot.
inline constexpr Seconds kStuckAttemptSeconds = 2;
inline constexpr double kUnsafeStuckFactor = 2;  // times that for an attempt that may not be repeated

// ---- timers ----
inline constexpr Seconds kMinTimerSeconds = 0.01;  // least time between two timers
// A message that is held back by the rate is checked again after at most this time.
inline constexpr Seconds kMaxPaceCheckSeconds = 0.25;
// A destination without endpoints and held messages is removed when the warm-up time and this have passed
// since its last outcome or recovery, and no announced wait is running.
inline constexpr Seconds kForgetAfterSeconds = 30;
inline constexpr Seconds kRoundingMarginSeconds = 1e-6;  // keeps rounding from ending a wait early
inline constexpr Seconds kAnswerMarginSeconds = 0.005;   // final answers precede the deadline by this time

// ---- connections ----
// Idle connections are closed only where traffic is sparse.
// None is kept for half of kConnectionsScarceSeconds if the share of attempts without an answer is higher by
// this much on reused connections than on new ones.
inline constexpr double kUnansweredShareGap = 0.5;
// None is kept at a kind of destinations for this long after a connect there failed in less than half of the
// connect timeout. If failures have gone on for kSparseOutageSeconds, such a connect ends this time instead.
inline constexpr Seconds kConnectionsScarceSeconds = 60;
// Nor for this long after a destination rejected a new connection, which one in an outage does as well.
inline constexpr Seconds kConnectionsRejectedSeconds = 8;
inline constexpr Seconds kResubscribeSeconds = 1.0;  // first pause before subscribing to the list again
inline constexpr Seconds kMaxResubscribeSeconds = 8.0;

}  // namespace stoathub
