// stoathub: the delivery decisions of one sender of outbound messages.
//
// A Sender is built from settings and a seed. The caller collects events, passes them to turn() together with
// the current time, and carries out the returned actions in order before the next turn. The library does no
// I/O, reads no clock, starts no threads and has no global state: the same settings, seed and turns give the
// same actions. A Sender is not thread-safe; separate Senders share nothing. The implementation is in
// src/sender.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace stoathub {

using Duration = std::chrono::nanoseconds;
/// The caller's clock. Its epoch is arbitrary, and it must never go back.
struct Clock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock, duration>;
    static constexpr bool is_steady = true;
};
using Time = Clock::time_point;

using MessageId = std::string;   ///< unique for the lifetime of a Sender
using EndpointId = std::string;  ///< as in the list of endpoints
using DestinationId = std::uint64_t;
using OrderKey = std::uint64_t;

/// Effect of delivering a message repeatedly. `pure`: repeats are harmless. `keyed`: repeats have no effect
/// while the receiver remembers the message's idempotency key. `unsafe`: each repeat may take effect again.
enum class Effect { pure, keyed, unsafe };
/// Which endpoints of a destination drop repeats of a keyed message: all, or those of one zone.
enum class KeyScope { all, zone };
/// How the value of a delivery falls after the delivery target. `linear`: down to the late value share at the
/// deadline. `exponential`: by half with each further delivery target, and never below the late value share.
enum class Decay { linear, exponential };
/// Meaning of Endpoint::weight. `none`: unused. `nominal`: the rate limit of the destination in requests per
/// second. `rough`: the same, but wrong by up to half.
enum class Weights { none, nominal, rough };

/// Delivery requirements shared by a class of messages.
struct MessageClass {
    Effect effect = Effect::pure;
    KeyScope keyScope = KeyScope::all;
    Duration keyWindow{};       ///< how long repeats are dropped, from the first attempt that may have run
    Duration deliveryTarget{};  ///< time within which a message earns its full value
    Duration timeToLive{};      ///< how long a message may be delivered, from its first submission
    double value = 1;           ///< of a message delivered within the delivery target
    double lateValueShare = 0;  ///< share of the value left at the deadline
    bool inOrder = false;       ///< messages with the same order key are sent one at a time, in order
};

/// Properties shared by a kind of destinations.
struct DestinationKind {
    /// Its endpoints are separate routes: each has a rate limit, announced waits and outages of its own.
    bool separateRoutes = false;
};

/// Configuration of a Sender. A default value means "not configured".
struct Settings {
    std::vector<MessageClass> messageClasses;  ///< at least one
    std::vector<DestinationKind> kinds;        ///< may be empty: all destinations use the defaults
    int senders = 1;                           ///< number of senders that share the destinations
    int slots = 1;                             ///< attempts in flight at once
    int maxHeld = 1;                           ///< messages held at once
    int maxAttempts = 1;                       ///< per message
    bool mayCancel = false;                    ///< Cancel actions are allowed
    bool listOnRequest = false;                ///< the list of endpoints arrives only after SubscribeToList
    Duration maxRetryAfter{};                  ///< longest Refuse::retryIn that clients honour; 0: no bound
    Duration connectTimeout{};
    Duration keepAlive{};  ///< how long an idle connection stays open
    Decay decay = Decay::linear;
    Weights weights = Weights::none;
    double coldCapacityShare = 1;  ///< share of its capacity that a destination has right after an outage
    Duration warmUp{};             ///< time after an outage until it has its full capacity again
    /// A destination that is warming up fails when it receives this multiple of its current capacity; 0: it
    /// never does.
    double overloadMultiple = 0;
    Duration orderingPause{};  ///< pause of an order key after an attempt that may still be running
};

enum class EndpointState { inService, draining, removed };
struct Endpoint {
    EndpointId id;
    DestinationId destination = 0;
    int kind = 0;
    int zone = 0;
    EndpointState state = EndpointState::inService;
    double weight = 0;  ///< see Weights
};

// ---- events ----

/// What a previous run of the sender did with a message that has no final answer yet.
struct PriorAttempts {
    /// Sent, or possibly sent; the attempt limit holds across restarts. Failed connects are not counted,
    /// although they count within a run.
    int attempts = 0;
    int failures = 0;            ///< known failures, failed connects included, rejections not
    bool sawFailure = false;     ///< an attempt failed or was rejected, however long ago
    bool mayHaveRun = false;     ///< at least one of them may have run
    Duration sinceMayHaveRun{};  ///< since the first such attempt was sent; the key window spans restarts
};

/// A message was accepted. The sender must give it exactly one final answer.
struct MessageAccepted {
    MessageId id;
    DestinationId destination = 0;
    int messageClass = 0;  ///< index into Settings::messageClasses
    Duration timeLeft{};   ///< from now until its deadline
    std::optional<OrderKey> orderKey{};
    std::optional<PriorAttempts> priorAttempts{};  ///< set if a previous run accepted the message
    Effect minimumEffect = Effect::pure;  ///< the stricter of this and the effect of its class applies
};

enum class Result {
    delivered,      ///< the endpoint confirmed the delivery
    error,          ///< answered with an error; it may have run
    rejected,       ///< refused before processing, for lack of capacity or because of a rate limit
    timeout,        ///< no answer in time; it may have run
    connectFailed,  ///< no connection, or it failed before the whole request was written: it did not run
    reset,          ///< the connection broke; it may have run
    cancelled,      ///< cancelled by the sender; it may have run
    notForwarded,   ///< an intermediary answered that it did not pass the request on; counts as an attempt
    unsent          ///< never left this machine, by a local failure or a rule; does not count as an attempt
};
/// How one attempt ended. Each Send is answered by exactly one Outcome.
struct Outcome {
    MessageId id;
    EndpointId endpoint;
    int attempt = 0;  ///< counted from 0 for each message
    Result result = Result::delivered;
    Duration took{};                        ///< since the attempt was sent
    Duration retryAfter{};                  ///< announced wait of the destination; 0: none announced
    bool concluded = false;                 ///< the message needs no final answer any more
    std::optional<double> allowanceLeft{};  ///< reported share of the destination's rate limit that is unused
    std::optional<double> allowedRate{};    ///< reported rate limit, requests per second; 0: no limit
    /// For `reset`: a reused connection broke on first use. The endpoint may close an idle connection at any
    /// time, so this says nothing about its health.
    bool stale = false;
    /// The answer is incomplete, or may belong to another message: this one may have run, whatever it says.
    bool unproven = false;
    /// The endpoint wants no further attempt of this message, which is still owed its final answer.
    bool noFurtherAttempt = false;
};

/// The client withdrew the message, or its time is up. It needs no final answer any more.
struct MessageWithdrawn {
    MessageId id;
};
/// The timer of a SetTimer action expired.
struct TimerFired {};

enum class ListUpdateKind { delta, full, saved, failed };
/// An update of the list of endpoints. `delta`: only the entries that changed. `full`: the whole list.
/// `saved`: the whole list as a previous run stored it. `failed`: a SubscribeToList failed; no entries.
struct EndpointListUpdate {
    ListUpdateKind kind = ListUpdateKind::full;
    std::vector<Endpoint> entries;
};

/// What a previous run knew about a destination, or whether that knowledge has been confirmed. As an event it
/// never ends an outage or a warm-up, and sets the rate limit only where none is known. `unconfirmed` = false
/// lifts the mark only while nothing has been delivered under it and no attempt is in flight.
struct DestinationHealth {
    DestinationId destination = 0;
    bool down = false;                        ///< in an outage
    std::optional<Duration> sinceRecovery{};  ///< since its last outage ended
    double rateLimit = 0;  ///< in requests per second, for all senders together; 0: unknown
    /// Its health has not been confirmed recently, so it may be down or warming up: the sender makes a single
    /// attempt first, then little more than what the destination delivers, until the warm-up time has passed.
    bool unconfirmed = false;
    bool probed = false;  ///< a probe has just reached it, which loads it like an attempt
    /// It failed lately, and nothing has been delivered for as long as an outage takes. Only reported.
    bool suspected = false;
};

using Event = std::variant<MessageAccepted, Outcome, MessageWithdrawn, TimerFired, EndpointListUpdate,
                           DestinationHealth>;

// ---- actions ----

/// Send the message to the endpoint, and abandon the attempt at `attemptDeadline`. An attempt that has not
/// been sent by `sendBy` must not be sent; its result is then `unsent`. The caller may also report
/// `notForwarded`, which counts as an attempt.
struct Send {
    MessageId id;
    EndpointId endpoint;
    Time attemptDeadline;
    Time sendBy = Time::max();
};
/// Why a message ended undelivered.
enum class EndReason {
    expired,            ///< its time is up, or that in which it may be repeated
    attemptsExhausted,  ///< it has been attempted as often as configured
    waitTooLong,        ///< its destination's announced wait outlasts it
    notRepeatable,      ///< its attempt may have run, and its effect is unsafe
    retryTooLate,       ///< the next attempt would come after its deadline
    retryNotPaid,       ///< the retry bucket of its destination is empty
    holdsUpOrder,       ///< it is past its delivery target and others wait for its order key
    endedByEndpoint     ///< its endpoint has answered that it wants no further attempt
};
/// The name used in logs and metrics.
std::string_view name(EndReason reason);

/// Final answer: not delivered, and safe to submit again, after `retryIn` if that is above 0.
struct Refuse {
    MessageId id;
    Duration retryIn{};
    EndReason reason = EndReason::expired;
};
/// Final answer: not delivered as far as known, but it may have taken effect.
struct Fail {
    MessageId id;
    EndReason reason = EndReason::expired;
};
/// Cancel one attempt: stop waiting for its answer. Its Outcome still has to be reported.
struct Cancel {
    MessageId id;
    int attempt = 0;
};
/// Report TimerFired after this time.
struct SetTimer {
    Duration after{};
};
/// Subscribe to changes of the list of endpoints. An EndpointListUpdate answers.
struct SubscribeToList {};
/// Close the idle connections to the endpoint; connections with an attempt in flight are not affected.
struct CloseIdleConnections {
    EndpointId endpoint;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, SubscribeToList, CloseIdleConnections>;

/// Accounts of a destination's retry bucket: tokens = capacity + gained - spent, within [0, capacity].
struct RetryBucketState {
    DestinationId destination = 0;
    double tokens = 0, capacity = 0;
    double gained = 0;  ///< by deliveries and by time; what exceeds the capacity is not counted
    double spent = 0;   ///< on retries, less refunds for retries that were never sent
};

/// The decisions of one sender.
class Sender {
  public:
    /// Throws std::invalid_argument, naming the field, if the settings are invalid.
    Sender(const Settings& settings, std::uint64_t seed);
    ~Sender();
    Sender(Sender&&) noexcept;
    Sender& operator=(Sender&&) noexcept;

    /// Processes the events, in order, as of `now`, and returns the actions to carry out, in order. Events
    /// that name unknown messages, endpoints or message classes are ignored.
    std::vector<Action> turn(Time now, const std::vector<Event>& events);

    /// State that should survive a restart, as of the last turn: of destinations that are down, warming up,
    /// rate-limited or unconfirmed.
    std::vector<DestinationHealth> destinationHealth() const;

    /// The retry buckets, as of the last turn, for monitoring and tests.
    std::vector<RetryBucketState> retryBuckets() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace stoathub
