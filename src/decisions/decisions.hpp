// Facade over the decision module (stoathub::Sender). It owns the Sender, the lock around it, its clock and
// wake-up times, and the held messages; the other parts of the program exchange plain values with it. Workers
// take due attempts and record their results; one thread calls tick().
//
// Thread safety: all public functions of Decisions may be called from any thread. Unless noted otherwise they
// take the facade's lock.
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
#include "rules/end_rules.hpp"
#include "rules/response_meaning.hpp"
#include "rules/send_rules.hpp"
#include "store/store.hpp"

namespace laurelhaven::decisions {

using Steady = std::chrono::steady_clock;
using TimePoint = Steady::time_point;

/// A message as a client submits it.
struct Submission {
    std::string id, key;  ///< key: the idempotency key; empty: none
    std::uint64_t destination = 0;
    std::uint32_t messageClass = 0, tenant = 0;  ///< positions in the configured lists
    TimePoint deadline;                          ///< the client stops waiting for delivery then
    std::shared_ptr<const std::string> body;
};

/// The answer to a submission. Only after `accepted` does the sender owe the message a final answer.
struct SubmissionResult {
    /// `conflict`: the id belongs to another message.
    enum class Kind { accepted, refused, failed, conflict };
    Kind kind = Kind::accepted;
    std::chrono::milliseconds retryAfter{};  ///< for refused: when the client may submit again; 0: not said
    bool duplicate = false;                  ///< for accepted: an earlier submission was accepted already
    std::string_view reason{};               ///< for refused: why, as logs and metrics name it
};

/// One attempt that is due now.
struct DueAttempt {
    std::string id, key;
    std::shared_ptr<const std::string> body;
    std::string endpoint, address;
    std::uint64_t destination = 0;
    int attempt = 0;         ///< counted from 0 for each message
    int failedConnects = 0;  ///< of the attempts before it, those that never reached an endpoint
    TimePoint issuedAt;
    TimePoint tryUntil;           ///< the attempt is abandoned then
    TimePoint startBy;            ///< the attempt must not begin after this
    std::stop_token cancelToken;  ///< the attempt is to be abandoned at once
    bool mayBeRepeated = true;    ///< if it may have run
};

/// How one attempt ended.
enum class AttemptStatus {
    delivered,
    error,         ///< answered with an error: it may have run
    rejected,      ///< the endpoint answered that it did not process the request
    timedOut,      ///< no answer in time: it may have run
    noConnection,  ///< no connection, or it failed before the whole request was written: it did not run
    reset,         ///< the connection broke after the last byte was sent: it may have run
    cancelled,     ///< abandoned on request: it may have run
    notForwarded,  ///< an intermediary at the endpoint answered that it did not forward the request
    unsent         ///< no byte was written: no attempt was made
};
/// The status as logs and metrics write it.
std::string_view name(AttemptStatus status);

struct AttemptResult {
    AttemptStatus status = AttemptStatus::unsent;
    int responseStatus = 0;  ///< of the response, as far as one was received; 0: none
    rules::MessageFate fate = rules::MessageFate::open;  ///< what the response leaves of the message
    /// The response is incomplete or may be another request's: this one may have run, whatever it says.
    bool unproven = false;
    std::chrono::nanoseconds wait{};      ///< announced wait of the destination; 0: none
    std::optional<double> allowanceLeft;  ///< unused share of the destination's rate limit, if reported
    std::optional<double> allowedRate;    ///< rate limit in requests per second, if reported; 0: no limit
    bool unexpectedServer = false;        ///< the answer is one that no expected endpoint gives
    std::optional<TimePoint> answeredAt;  ///< for delivered: when the response began to arrive
    bool stale = false;  ///< for reset: a fault of the reused connection, which says nothing of the endpoint
};

/// What is known of a destination beyond the list of endpoints; see stoathub::DestinationHealth.
struct DestinationHealth {
    std::uint64_t destination = 0;
    bool down = false;                                       ///< in an outage
    std::optional<std::chrono::milliseconds> sinceRecovery;  ///< since the end of its last outage
    double rateLimit = 0;  ///< requests per second, for all senders together; 0: unknown
    bool unconfirmed = false;
    bool probed = false;     ///< a probe has just reached it
    bool suspected = false;  ///< it may be in an outage that was seen too briefly to show
};

/// The end of a message that was not delivered.
struct UndeliveredEnd {
    store::PendingNotice notice;
    std::optional<TimePoint> deadline;  ///< empty if it may have passed before this process run
};

/// Callbacks. They run with the facade's lock held and must not call back into the facade.
struct Hooks {
    /// A message ended undelivered and the platform is to be notified.
    std::function<void(const UndeliveredEnd&)> messageEnded;
    /// None of its idle connections is to be kept.
    std::function<void(const std::string& endpoint)> closeIdleConnections;
    /// An attempt ended: evidence of which server is at the endpoint's address.
    std::function<void(const DueAttempt&, const AttemptResult&, std::chrono::nanoseconds took)>
        attemptFinished = {};
    /// A message was accepted for a destination none of whose endpoints is serving.
    std::function<void(std::uint64_t destination)> endpointNeeded = {};
    /// A message was submitted and answered.
    std::function<void(const Submission&, const SubmissionResult&)> messageSubmitted = {};
    /// The endpoint's process was replaced or has gone: nothing that was learned of it holds any more, and no
    /// connection to it is to be kept, also none that is in use just now.
    std::function<void(const std::string& endpoint)> endpointReplaced = {};
};

class Decisions {
  public:
    /// `recordClock` is the clock of the stored records; it continues across restarts. `config`, `store` and
    /// `recordClock` must outlive the facade.
    Decisions(const config::Config& config, store::Store& store, Hooks hooks,
              clock::RecordClock& recordClock = clock::processClock());

    /// Blocks until an attempt is due. Returns nothing once dispatching has stopped.
    std::optional<DueAttempt> takeDueAttempt();
    /// Checks immediately before the first byte whether the attempt is still permitted. Returns true with the
    /// attempt on record; on false it must not be sent.
    bool tryBeginAttempt(const DueAttempt& due);
    /// Reports that the request was written, its first byte at `firstByteAt`. The attempt is checked against
    /// the send rules. Does not take the facade's lock.
    void recordSent(const DueAttempt& due, TimePoint firstByteAt);

    SubmissionResult submit(const Submission& message);
    /// Results are stored even after stop(), as the next process run needs them.
    void recordResult(const DueAttempt& due, const AttemptResult& result);
    /// The destination has announced a wait in a response to this attempt, whose result is not known yet.
    /// Does not take the facade's lock.
    void announceWait(const DueAttempt& due, std::chrono::nanoseconds wait);
    /// The attempt has begun but nothing was sent, and it will begin again: it does not count as made.
    void attemptNotSent(const DueAttempt& due);
    /// `saved`: the list was read from disk rather than reported by discovery.
    void updateEndpoints(const listing::EndpointList& list, bool saved = false);
    void updateDestinationHealth(const std::vector<DestinationHealth>& health);
    /// The platform has acknowledged the notices of these messages. Never blocks on the facade's lock: the
    /// acknowledgements are stored with the next turn at the latest.
    void acknowledgeNotices(const std::vector<std::string>& acknowledged);
    /// The answer to one accepted submission did not reach its client. The message is dropped once this holds
    /// for all its accepted submissions.
    void withdraw(const std::string& id);
    /// Takes over the messages that the previous run left unfinished. The endpoints' health up to
    /// `healthKnownUntil` came through updateDestinationHealth(); only later failures on record count as
    /// evidence. Returns the number of messages whose deadline passed meanwhile; they end at once, without
    /// an attempt.
    std::size_t restore(const std::vector<store::StoredMessage>& messages,
                        store::RecordMs healthKnownUntil = 0);

    /// Health of the destinations that are not in their normal state, for the next process run.
    std::vector<DestinationHealth> destinationHealth() const;
    /// The messages held for a destination, and until when none may be sent there.
    struct PendingLoad {
        std::size_t held = 0;
        TimePoint waitUntil{};
    };
    PendingLoad pendingLoad(std::uint64_t destination) const;

    struct TableSizes {  ///< number of entries of each table
        std::size_t held = 0, endpoints = 0, destinations = 0, waits = 0;
    };
    TableSizes tableSizes() const;
    /// Violations of the rules that were detected. Does not take the facade's lock.
    rules::Violations& violations() { return violations_; }
    const rules::Violations& violations() const { return violations_; }
    /// The rules on ends. Does not take the facade's lock.
    rules::EndRules& endRules() { return endRules_; }

    /// Retry bucket of a destination; see stoathub::RetryBucketState.
    struct RetryBucketState {
        std::uint64_t destination = 0;
        double tokens = 0, capacity = 0, gained = 0, spent = 0;
    };
    std::vector<RetryBucketState> retryBucketStates() const;

    /// Blocks until the decision module's timer is due, then runs one turn. Returns false once stopped.
    bool tick();

    /// Hands out no more attempts.
    void stopDispatching();
    /// Decides nothing more. Attempts in flight are cancelled; those cancelled without an outcome stay open
    /// in the store, as after a crash.
    void stop();
    /// Retries the writes that the store could not do. Returns true when nothing is left to write.
    bool flushRecords();
    std::size_t heldMessages() const;
    /// Attempts that are due or with a worker.
    std::size_t attemptsInFlight() const;

  private:
    struct HeldMessage {
        Submission submission;
        int attempts = 0;        // as the decision module counts them
        int failedConnects = 0;  // of these, attempts that never reached an endpoint
        bool inFlight = false;   // an attempt is due or with a worker
        /// The attempt that has begun: it is on record and may have been sent.
        std::optional<store::AttemptNumber> openAttempt;
        bool ended = false;
        bool mayBeRepeated = true;    // by its class, after an attempt that may have run
        bool recovered = false;       // from an earlier run: its deadline may have passed between the runs
        int acceptedSubmissions = 1;  // answered, or about to be answered, with `accepted`
        std::optional<TimePoint> mayHaveRunSince;  // when the first attempt that may have run was sent
        std::optional<AttemptStatus> lastStatus;   // of the last attempt in this process run
        std::stop_source cancelSource;
    };
    struct DestinationState {
        int listedEndpoints = 0, servingEndpoints = 0;
        std::size_t heldMessages = 0;
    };

    SubmissionResult admit(const Submission& message);
    std::optional<SubmissionResult> answerRepeatedId(const Submission& message) const;
    void setEndpoint(const std::string& name, const rules::Endpoint* entry, TimePoint now);
    HeldMessage& addHeldMessage(const Submission& message);
    void removeHeldMessage(const std::string& id);
    void runTurn(const struct Events& events, SubmissionResult* submissionResult = nullptr,
                 const std::string* submittedId = nullptr);
    void endUndelivered(const store::PendingNotice& notice, std::string_view reason);
    bool isCurrent(const HeldMessage& held, const DueAttempt& due) const;
    rules::Attempt rulesAttempt(const DueAttempt& due) const;
    static void logAttemptBegin(const HeldMessage& held, const DueAttempt& due);
    static AttemptResult resultInTime(const HeldMessage& held, const DueAttempt& due,
                                      const AttemptResult& result);
    void endAtStop(const std::string& id, const HeldMessage& held);
    void logOutcome(const DueAttempt& due, const AttemptResult& result) const;
    static void logFinished(const DueAttempt& due, const AttemptResult& result,
                            std::chrono::nanoseconds lateness);
    void undoBegin(HeldMessage& held, const std::string& id);
    void recordAcknowledgedNotices();
    void reportEnds(bool all);
    void purgeExpired(TimePoint now);
    void discardDueAttempts();
    void scheduleWakeUp(TimePoint at);

    const config::Config& config_;
    Hooks hooks_;
    clock::RecordClock& recordClock_;
    mutable std::mutex mutex_;
    std::condition_variable attemptDue_, wakeUp_;
    stoathub::Sender sender_;
    rules::Violations violations_;
    rules::SendRules sendRules_;
    rules::EndRules endRules_;
    Recorder recorder_;
    /// An end that is not on record yet because the store has unwritten records. It is reported at `reportBy`
    /// even if it is still unwritten.
    struct UnreportedEnd {
        UndeliveredEnd end;
        TimePoint reportBy;
    };
    std::deque<UnreportedEnd> unreportedEnds_;
    std::mutex acknowledgedMutex_;
    std::vector<std::string> acknowledgedNotices_;  // acknowledged by the platform, not on record yet
    std::unordered_map<std::string, HeldMessage> heldMessages_;
    std::map<std::string, rules::Endpoint> endpoints_;
    std::unordered_map<std::uint64_t, DestinationState> destinations_;
    std::map<std::uint64_t, TimePoint> unlistedSince_;  // destinations without listed endpoints
    std::deque<DueAttempt> dueAttempts_;                // not yet with a worker
    std::optional<TimePoint> wakeUpAt_;                 // as the decision module last requested
    std::size_t inFlight_ = 0;
    bool dispatching_ = true, stopped_ = false;
    bool storeFull_ = false;  // the store refused the last message
};

}  // namespace laurelhaven::decisions
