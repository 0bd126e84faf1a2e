// The facade over the decision module, in blocking style: pick, report, tick. It owns the Sender, its lock,
// its clock and wake times, and the held messages; everything round it sees plain values only.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "clock/record_clock.hpp"
#include "config/config.hpp"
#include "decisions/recorder.hpp"
#include "listing/listing.hpp"
#include "rules/send_rules.hpp"
#include "store/store.hpp"

namespace laurelhaven::decisions {

using Steady = std::chrono::steady_clock;
using TimePoint = Steady::time_point;

/// A message as a front hands it in.
struct Submission {
    std::string id, key;
    std::uint64_t destination = 0;
    std::uint32_t messageClass = 0, tenant = 0;  ///< positions in the settings
    TimePoint deadline;                          ///< when its client gives it up
    std::shared_ptr<const std::string> body;
};

/// What becomes of a hand-in. Only `taken` leaves anything owed.
struct SubmissionResult {
    enum class Kind { accepted, refused, failed, conflict };  ///< conflict: the id is another message's
    Kind kind = Kind::accepted;
    std::chrono::milliseconds retryAfter{};  ///< for refused: come again after so long
    bool duplicate = false;                  ///< for taken: it was taken already, from an earlier hand-in
};

/// One call that is due.
struct DueAttempt {
    std::string id, key;
    std::shared_ptr<const std::string> body;
    std::string endpoint, address;
    std::uint64_t destination = 0;
    int attempt = 0;
    TimePoint issuedAt, tryUntil;  ///< given up then
    TimePoint startBy;             ///< and not begun any more after this
    std::stop_token cancelToken;
};

enum class AttemptStatus {
    delivered,
    error,     ///< answered with an error: it may have run
    rejected,  ///< unseen
    timedOut,  ///< it may have run
    noConnection,
    reset,  ///< the connection broke after the last byte: it may have run
    cancelled,
    notForwarded,  ///< the endpoint's machine says that it did not pass it on
    unsent         ///< no byte of it was written: no attempt was made
};
std::string_view name(AttemptStatus status);
struct AttemptResult {
    AttemptStatus status = AttemptStatus::unsent;
    bool messageFinished = false;  ///< nothing more is owed for the message
    std::chrono::nanoseconds wait{};
    std::optional<double> allowanceLeft, allowedRate;
    bool unexpectedServer = false;  ///< answered as by one that does not know such messages
    bool stale = false;             ///< a kept connection broke as soon as it was used
};

/// What is known of a destination beyond the list: see stoathub::DestinationHealth.
struct DestinationHealth {
    std::uint64_t destination = 0;
    bool down = false;
    std::optional<std::chrono::milliseconds> sinceRecovery;
    double rateLimit = 0;  ///< calls a second; 0: not known
    bool unconfirmed = false;
    bool probed = false;
};

/// All are called with the facade's lock held, and must not call back into it.
struct Hooks {
    std::function<void(const store::PendingNotice&)> messageEnded;
    std::function<void(const std::string& endpoint)> closeIdleConnections;
    /// A call ended: evidence of what is at the endpoint's address.
    std::function<void(const DueAttempt&, const AttemptResult&, std::chrono::nanoseconds took)>
        attemptFinished = {};
    /// A message was taken for a destination of which no endpoint may be sent to just now.
    std::function<void(std::uint64_t destination)> endpointNeeded = {};
    /// A message was handed in, and what became of that.
    std::function<void(const Submission&, const SubmissionResult&)> messageSubmitted = {};
};

class Decisions {
  public:
    /// `recordClock`: the time line of what the store keeps.
    Decisions(const config::Config& config, store::Store& store, Hooks hooks,
              clock::RecordClock& recordClock = clock::processClock());

    /// Blocks until a call is due. Nothing once picking has stopped.
    std::optional<DueAttempt> takeDueAttempt();
    /// Asked just before the call's first byte: does it still hold? If so the attempt is on record.
    bool tryBeginAttempt(const DueAttempt& call);
    /// It has been written, its first byte at that moment: the attempt is held against the rules.
    void recordSent(const DueAttempt& call, TimePoint firstByteAt);

    SubmissionResult submit(const Submission& message);
    /// Put on record also once stopped: a later life must know what was heard.
    void recordResult(const DueAttempt& call, const AttemptResult& result);
    /// The call that has begun did not leave, and is to begin once more: no attempt has been made yet.
    void attemptNotSent(const DueAttempt& call);
    void updateEndpoints(const listing::EndpointList& list, bool saved = false);
    void updateDestinationHealth(const std::vector<DestinationHealth>& standings);
    /// The platform knows these ends. Never waits: they are put on record with the next turn.
    void acknowledgeNotices(const std::vector<std::string>& noticed);
    /// A client left before it heard that its message was taken: one of the hand-ins that were told so.
    void withdraw(const std::string& id);
    /// What an earlier life left unfinished. Up to `healthKnownUntil` what that life had learnt of its
    /// partners' health was told by report() of standings; only later failures speak of it. The number of
    /// those whose deadline has passed meanwhile: they end at once, uncalled.
    std::size_t restore(const std::vector<store::StoredMessage>& messages,
                        store::RecordMs healthKnownUntil = 0);

    /// What a later life ought to know, and which waits are on: of the destinations that stand out.
    std::vector<DestinationHealth> destinationHealth() const;
    /// How much waits for a destination, and until when nothing may go there.
    struct PendingLoad {
        std::size_t held = 0;
        TimePoint waitUntil{};
    };
    PendingLoad pendingLoad(std::uint64_t destination) const;

    struct TableSizes {  ///< entries, table by table
        std::size_t held = 0, endpoints = 0, destinations = 0, waits = 0;
    };
    TableSizes tableSizes() const;
    /// Rules that were seen broken.
    const rules::Violations& violations() const { return violations_; }

    /// A destination's retry bucket: see stoathub::RetryBucketState.
    struct RetryBucketState {
        std::uint64_t destination = 0;
        double tokens = 0, capacity = 0, gained = 0, spent = 0;
    };
    std::vector<RetryBucketState> retryBucketStates() const;

    /// Blocks until the module wants to be woken, and turns it. False once stopped.
    bool tick();

    /// No call is given out any more.
    void stopDispatching();
    /// Nothing is decided or recorded any more: calls still out stay so in the store, as for a crash.
    void stop();
    /// Tries once more to write what the store could not. True when nothing is left to write.
    bool flushRecords();
    std::size_t heldMessages() const;
    std::size_t attemptsInFlight() const;

  private:
    struct Held {
        Submission in;
        int attempts = 0;  // as the module counts them
        bool out = false;  // a call is with a worker
        std::optional<store::AttemptNumber>
            attempt;  // that has begun: it is on record, and may have gone out
        bool over = false;
        bool found = false;  // on record at the start: its time may have passed while nothing ran
        int handIns = 1;     // that were told, or are just being told, that it is taken
        std::optional<TimePoint> mayHaveRunSince;  // when the first attempt that may have run was sent
        std::stop_source cancel;
    };
    struct Group {                    // a destination
        int listed = 0, serving = 0;  // endpoints
        std::size_t held = 0;         // messages
    };

    SubmissionResult decide(const Submission& message);
    void setEndpoint(const std::string& name, const rules::Endpoint* seen, TimePoint now);
    Held& hold(const Submission& message);
    void release(const std::string& id);
    void turn(const struct Events& events, SubmissionResult* own = nullptr,
              const std::string* ownId = nullptr);
    void conclude(const std::string& id, const store::PendingNotice& notice);
    bool holds(const Held& held, const DueAttempt& call) const;
    rules::Attempt attemptOf(const DueAttempt& call) const;
    static void logBegun(const Held& held, const DueAttempt& call);
    void takeBack(Held& held, const std::string& id);
    void recordNoticed();
    void tellEnds(bool all);
    void forget(TimePoint now);
    void dropDue();
    void wakeAt(TimePoint at);

    const config::Config& config_;
    Hooks hooks_;
    clock::RecordClock& recordClock_;
    mutable std::mutex mutex_;
    std::condition_variable due_, wake_;
    stoathub::Sender sender_;
    rules::Violations violations_;
    rules::SendRules sendRules_;
    Recorder recorder_;
    /// Ends that are not on record yet, as the store is behind, and when they are told all the same.
    struct Untold {
        store::PendingNotice notice;
        TimePoint tellBy;
    };
    std::deque<Untold> untold_;
    std::mutex noticedMutex_;
    std::vector<std::string> noticed_;  // ends that the platform knows, not on record yet
    std::unordered_map<std::string, Held> held_;
    std::map<std::string, rules::Endpoint> endpoints_;
    std::unordered_map<std::uint64_t, Group> destinations_;
    std::map<std::uint64_t, TimePoint> unlisted_;  // destinations left without endpoints, since when
    std::deque<DueAttempt> calls_;                 // due, and not yet picked
    std::optional<TimePoint> wakeAt_;              // as the module asked for last
    std::size_t out_ = 0;
    bool picking_ = true, stopped_ = false;
    bool noRoom_ = false;  // the store took no message the last time
};

}  // namespace laurelhaven::decisions
