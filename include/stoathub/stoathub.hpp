// stoathub: the decisions of one sender of an outbound gateway.
//
// A Sender is built from settings and a seed. The caller gathers what happened since the last turn, calls
// turn() with the time and these events, and carries out the returned actions in their order before the next
// turn. The library does no I/O, reads no clock, starts no thread and has no globals: the same settings, seed
// and turns give the same actions. A Sender must not be used by two threads at once; separate Senders share
// nothing. All decisions are in src/sender.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace stoathub {

using Duration = std::chrono::nanoseconds;
/// The caller's clock. It may begin anywhere, and must never go back.
struct Clock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock, duration>;
    static constexpr bool is_steady = true;
};
using Time = Clock::time_point;

using MessageId = std::string;   ///< unique for the life of a Sender
using EndpointId = std::string;  ///< as the list of endpoints names it
using DestinationId = std::uint64_t;
using OrderKey = std::uint64_t;

/// What a repeat of a message may do: nothing, nothing while its key is remembered, or a second effect.
enum class Effect { pure, keyed, unsafe };
/// Which endpoints of a destination drop repeats of a keyed message.
enum class KeyScope { all, zone };
/// How worth falls after the aim: evenly down to the late share at the deadline, or by half with each aim.
enum class Decay { linear, exponential };
/// What Endpoint::weight holds: nothing, the calls a second its destination takes, or that up to half wrong.
enum class Weights { none, nominal, rough };

/// One class of message.
struct MessageClass {
    Effect effect = Effect::pure;
    KeyScope keyScope = KeyScope::all;
    Duration keyWindow{};       ///< how long repeats are dropped, from the first attempt that may have run
    Duration deliveryTarget{};  ///< delivered within this time it earns its full worth
    Duration timeToLive{};      ///< how long it may be delivered, from when it was first handed in
    double value = 1;           ///< of a message delivered within the aim
    double lateValueShare = 0;  ///< share of the worth left at the deadline
    bool inOrder = false;       ///< messages with one key go one at a time
};

/// One kind of destination.
struct DestinationKind {
    bool separateRoutes = false;  ///< its endpoints each have a limit, pace and outages of their own
};

/// What a sender is told at its start. Defaults stand for "not told".
struct Settings {
    std::vector<MessageClass> messageClasses;  ///< at least one
    std::vector<DestinationKind> kinds;        ///< may be empty: plain destinations
    int senders = 1;                           ///< how many senders there are
    int slots = 1;                             ///< calls out at once
    int maxHeld = 1;                           ///< messages held at once
    int maxAttempts = 1;                       ///< for one message
    bool mayCancel = false;
    bool listOnRequest = false;  ///< the list of endpoints comes only when asked for
    Duration maxRetryAfter{};    ///< the longest Refuse::retryIn that a client heeds; 0: not told
    Duration connectTimeout{};
    Duration keepAlive{};
    Decay decay = Decay::linear;
    Weights weights = Weights::none;
    double coldCapacityShare = 1;  ///< share of its capacity a destination has when back from an outage
    Duration warmUp{};             ///< all of it after this
    double overloadMultiple = 0;   ///< this multiple of its capacity pushes a cold one over; 0: nothing does
    Duration orderingPause{};      ///< rest of a key after an attempt that may still be running
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

/// What an earlier life of the sender had done with a message that it still owes its end.
struct PriorAttempts {
    int attempts = 0;            ///< sent: the limit spans restarts
    int failures = 0;            ///< attempts known to have failed otherwise than as full
    bool mayHaveRun = false;     ///< one of them may have run
    Duration sinceMayHaveRun{};  ///< since the first that may have was sent: the key's window spans restarts
};

/// A message was taken; the sender owes it one final answer.
struct MessageAccepted {
    MessageId id;
    DestinationId destination = 0;
    int messageClass = 0;
    Duration timeLeft{};  ///< how long from now it may still be delivered
    std::optional<OrderKey> orderKey{};
    std::optional<PriorAttempts> priorAttempts{};  ///< it was taken by an earlier life
    Effect minimumEffect = Effect::pure;           ///< held to this, where its class is held to less
};

enum class Result {
    delivered,      ///< done
    error,          ///< answered with an error; it may have run
    rejected,       ///< turned away unseen
    timeout,        ///< no answer in time; it may have run
    connectFailed,  ///< never connected
    reset,          ///< the connection broke; it may have run
    cancelled,      ///< called off; it may have run
    notForwarded,   ///< not passed on; it counts as an attempt
    unsent          ///< never left this machine, for a cause of its own or for a rule: no attempt was made
};
/// How one attempt ended: exactly one for each Send.
struct Outcome {
    MessageId id;
    EndpointId endpoint;
    int attempt = 0;  ///< counted from 0 for each message
    Result result = Result::delivered;
    Duration took{};                        ///< since it was sent
    Duration retryAfter{};                  ///< for full: send nothing for so long; 0: not told
    bool concluded = false;                 ///< the message is concluded and owed nothing more
    std::optional<double> allowanceLeft{};  ///< share of the destination's limit left, if told
    std::optional<double> allowedRate{};    ///< the limit in calls a second, 0 for none, if told
    /// For reset: a connection kept from before broke as soon as it was used. That says nothing of the
    /// endpoint's health: it may close such a connection at any time.
    bool stale = false;
};

/// The client withdrew the message, or its time is up. Nothing more is owed for it.
struct MessageWithdrawn {
    MessageId id;
};
/// A SetTimer came due.
struct TimerFired {};

enum class ListUpdateKind { delta, full, saved, failed };
/// News of the list of endpoints. `failed` answers a SubscribeToList in vain and carries no entries.
struct EndpointListUpdate {
    ListUpdateKind kind = ListUpdateKind::full;
    std::vector<Endpoint> entries;
};

/// What an earlier life knew of a destination, or how far what is known of it may be believed. Both only ever
/// slow the sends down.
struct DestinationHealth {
    DestinationId destination = 0;
    bool down = false;                        ///< in an outage, as far as seen
    std::optional<Duration> sinceRecovery{};  ///< so long ago its last outage ended
    double rateLimit = 0;                     ///< its limit in calls a second for all senders; 0: not known
    /// Nobody has confirmed it of late, so it may be down or cold: one call first, and then little more than
    /// what it delivers, until it has had the time to warm up.
    bool unconfirmed = false;
    bool probed = false;  ///< a probe has reached it just now, and weighs like a call
};

using Event = std::variant<MessageAccepted, Outcome, MessageWithdrawn, TimerFired, EndpointListUpdate,
                           DestinationHealth>;

// ---- actions ----

/// Call the endpoint with the message; give the attempt up at tryUntil. If it has not gone out by goBy, it
/// must not go at all, and is moot.
struct Send {
    MessageId id;
    EndpointId endpoint;
    Time attemptDeadline;
    Time sendBy = Time::max();
};
/// Final answer: not delivered, and safe to hand in again, after retryIn if that is above 0.
struct Refuse {
    MessageId id;
    Duration retryIn{};
};
/// Final answer: given up, with no promise about its effect.
struct Fail {
    MessageId id;
};
/// Stop waiting for one attempt; its Outcome still comes.
struct Cancel {
    MessageId id;
    int attempt = 0;
};
/// Bring a TimerFired this long from now.
struct SetTimer {
    Duration after{};
};
/// Subscribe to changes of the list. A EndpointListUpdate answers.
struct SubscribeToList {};
/// Shut the idle connections to the endpoint; those with calls out are left as they are.
struct CloseIdleConnections {
    EndpointId endpoint;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, SubscribeToList, CloseIdleConnections>;

/// The books of a destination's retry bucket: tokens = capacity + gained - spent, in [0, capacity].
struct RetryBucketState {
    DestinationId destination = 0;
    double tokens = 0, capacity = 0;
    double gained = 0;  ///< by successes and time, as far as there was room
    double spent = 0;   ///< by retries, less what was given back for those that were never sent
};

/// The decisions of one sender.
class Sender {
  public:
    /// Throws std::invalid_argument, naming the field, if the settings make no sense.
    Sender(const Settings& settings, std::uint64_t seed);
    ~Sender();
    Sender(Sender&&) noexcept;
    Sender& operator=(Sender&&) noexcept;

    /// One turn: what happened, in order, all of it at `now`. Returns what to do, in order. Events about
    /// messages no longer held, endpoints not listed or classes not known are passed over.
    std::vector<Action> turn(Time now, const std::vector<Event>& events);

    /// What a later life ought to know of the destinations that are down, warming up, limited or doubted, as
    /// of the last turn.
    std::vector<DestinationHealth> destinationHealth() const;

    /// The retry buckets, as of the last turn, for whoever checks them.
    std::vector<RetryBucketState> retryBuckets() const;

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace stoathub
