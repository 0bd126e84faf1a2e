// The constants of the decision module: those of the retry design, and those that were chosen for this
// module. docs/audit-findings.md tells where each comes from and how much hangs on it.
#pragma once

namespace stoathub {

using Sec = double;  // seconds since the sender's first turn
inline constexpr Sec kNever = 1e18;

// The retry design (DESIGN gives the figures; where it says "open" the reason stands here).
inline constexpr double kBucketCapacity = 50;     // tokens
inline constexpr double kRetryCost = 5;           // tokens for a retry
inline constexpr double kThrottledCost = 10;      // tokens for a retry after a refusal as full
inline constexpr double kRefund = 1;              // tokens back for a success
inline constexpr double kFirstTriesPerRetry = 3;  // first tries that let time refill one retry's cost
inline constexpr double kRefillPerSecond = 5;     // tokens; one retry a second, as far as first tries allow
inline constexpr Sec kBackoffBase = 0.2;          // doubled with each attempt
inline constexpr double kBackoffFloor =
    0.25;  // the random fraction of the range is this or more: never at once
inline constexpr double kWindowPart = 0.75;  // of the slots, where the window starts and its upper bound
// The window's steps.
inline constexpr double kLongRun = 3;       // smoothed latency over its best: halve
inline constexpr double kShortRun = 2;      // and below this regrow
inline constexpr double kWindowStep = 0.5;  // calls regained for a success
inline constexpr double kSmooth = 0.15;     // weight of a new latency or outcome in its average
inline constexpr double kBestDrift = 0.02;  // how fast the best latency forgets, for each success
inline constexpr double kFailing = 0.5;     // success share below which a destination counts as failing
inline constexpr double kOldWaits = 4;      // times the backoff for a message past its aim
inline constexpr Sec kUnsentPause =
    0.05;  // before a message whose call never left is tried anew, doubled each time
inline constexpr int kUnsentDoubles = 4;  // at most so often
// Outages and returns.
inline constexpr int kStreak = 3;      // failures on end that make an outage
inline constexpr int kVague = 2;       // calls on end without an answer; one alone may have been merely slow
inline constexpr int kFullStreak = 4;  // refusals on end that make one, if they last as below:
inline constexpr Sec kFullSpan = 2.2;  // longer than a limit counts, so not merely a limit reached
inline constexpr int kFewFull = 2;     // refusals on end that make one where a destination is met seldom,
inline constexpr Sec kFewSpan = 0.8;   // so far apart that a limit would mostly have let one through
inline constexpr double kAmple =
    0.5;  // share of the limit left at a refusal that speaks for a shut destination
inline constexpr double kMostFail = 0.4;   // success share under which most calls fail
inline constexpr double kRegained = 0.5;   // the share taken when a success ends an outage
inline constexpr double kTrickle = 0.8;    // part of the cold budget that is spent during an outage
inline constexpr double kRamp = 1.25;      // calls over what a returning destination can do
inline constexpr double kFairFloor = 0.5;  // calls a second: least part of a destination taken as ours
inline constexpr double kLone =
    1.5;  // messages in its time to deliver, for which a rare one stands in an outage
inline constexpr double kRateFade = 0.03;  // how fast the best delivered rate is forgotten, a second
// A destination in doubt: the trickle of an outage until it first delivers. From then on the senders
// together stay under the fall multiple: it falls over at 2 times 19% of its capacity, and gets 0.25 times
// that and 1.4 times what it delivers.
inline constexpr double kDoubtBase = 0.25;  // part of the cold budget that is spent whatever comes back
inline constexpr double kDoubtGain = 1.4;   // calls that a delivery allows
inline constexpr double kDoubtMost = 8;     // of them that may be saved up
// The pace below a limit.
inline constexpr Sec kBurst = 0.3;         // seconds of the pace that may be saved up
inline constexpr double kBurstMost = 20;   // calls a second beyond which saving up stops
inline constexpr double kCut = 0.85;       // of the pace, after a refusal above the limit
inline constexpr Sec kCutPause = 1.0;      // at most once in this time
inline constexpr double kGrow = 0.02;      // of the pace regained for each success
inline constexpr double kCatchUp = 0.1;    // of the gap to this sender's part regained for each success ...
inline constexpr Sec kCalm = 3;            // ... times the time since a refusal over this,
inline constexpr double kCalmMost = 3;     // at most
inline constexpr Sec kRateSpan = 2.0;      // over which the rate of sends is smoothed
inline constexpr double kPaceFloor = 0.3;  // calls a second that are always tried
inline constexpr int kFewSenders = 8;  // so few see each destination often enough for streaks and averages
inline constexpr double kSparse = 1;   // calls a second: a smaller part is too little to be paced by
// One of very many senders at a told limit.
inline constexpr double kEqual = 0.9;      // of the limit that the senders' equal parts add up to
inline constexpr double kRoom = 0.5;       // of a call that an answer allows besides, times the share left
inline constexpr double kWornRoom = 0.25;  // the same in a warm-up after refusals, whatever share is left
inline constexpr double kColdRoom = 0.6;   // and after an outage without answers, as far as the fall multiple
inline constexpr double kFallSlack = 0.15;  // leaves so much beside kRamp
inline constexpr double kUntoldRoom = 0.6;  // taken for that share where a delivery tells none
inline constexpr double kMore = 0.15;       // of the equal part that a delivery adds, times the same
inline constexpr double kMostParts = 5;     // equal parts that one sender comes to at most
inline constexpr double kEase = 0.7;        // of the part, after a refusal above the limit
inline constexpr double kLeastPart = 0.4;   // equal parts that are left at least
inline constexpr Sec kPartFades = 8;        // over which a part comes back to the equal one
// Single endpoints.
inline constexpr int kShunAfter = 2;  // failures on end; one is enough where no connection was made
inline constexpr Sec kShun = 0.5;     // first time left alone, then doubled
inline constexpr Sec kShunMost = 4;
// The choice among messages.
inline constexpr Sec kHorizon = 3;       // how much later the alternative to sending now is taken to be
inline constexpr Sec kLeastTakes = 0.1;  // least time a call is taken to need
// Time-outs.
inline constexpr double kPatience = 6;      // times the smoothed latency until a repeatable call is given up
inline constexpr Sec kLeastPatience = 1.5;  // and at least this long
inline constexpr double kUnsafePatience = 4;  // a time-out ends an unsafe message: wait so much longer
inline constexpr double kSilent = 4;          // times the latency without an answer to anything: silence
inline constexpr Sec kJamPatience = 2;   // out so long, a silent call yields its slot to a message that waits
inline constexpr double kJamUnsafe = 2;  // times that for one that may not be repeated
inline constexpr int kSilentCalls = 2;   // calls without an answer that make it so
inline constexpr Sec kLeastSilence = 1.2;  // and at least this long
inline constexpr Sec kFirstLatency = 0.4;  // taken until a destination has answered
inline constexpr Sec kTick = 0.01;         // least time between two looks at held messages
inline constexpr Sec kSoon = 0.25;   // longest time until a message that the pace holds is looked at again
inline constexpr Sec kForget = 30;   // after a warm-up, a destination with no endpoint is forgotten
inline constexpr Sec kGuard = 1e-6;  // keeps rounding from ending a wait early
inline constexpr Sec kAnswerMargin = 0.005;  // final answers go out this long before the deadline
inline constexpr double kDropped = 0.5;  // share of calls on kept connections without an answer: none is kept
inline constexpr Sec kScarce = 60;       // after a connection was refused, none is kept at that kind
inline constexpr Sec kScarceTold = 8;  // and so long after it was turned away, as one that is shut does, too
inline constexpr Sec kRefollow = 1.0;  // first pause before the list is asked for again
inline constexpr Sec kRefollowMost = 8.0;  // and the longest

}  // namespace stoathub
