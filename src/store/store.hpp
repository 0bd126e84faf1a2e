// The interface to durable storage: the messages that the sender has accepted and the notices that the
// platform has not acknowledged, across restarts. journal.hpp implements it with a file; another store, such
// as a database, can replace that behind this interface.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/attempt_history.hpp"
#include "store/finished_messages.hpp"

namespace laurelhaven::store {

/// A message as it was accepted, with the history of its attempts.
struct StoredMessage {
    std::string id, key;
    std::uint64_t destination = 0;
    /// Names rather than positions, as a later run may list them in another order. Empty: no longer known.
    std::string messageClass, tenant;
    /// Effect of its class when it was accepted: 0 may be repeated, 1 repeatable with its key, 2 must not be
    /// repeated.
    int effect = 0;
    RecordMs deadline = 0;
    std::shared_ptr<const std::string> body;
    AttemptHistory attempts;
};

/// How an undelivered message ended: failed, or returned (refused after it was accepted) to the platform,
/// which may submit it again.
enum class FinalState { failed, returned };

/// The end of an undelivered message that the platform has not acknowledged yet.
struct PendingNotice {
    std::string id;
    FinalState finalState = FinalState::failed;
    std::int64_t retryAfterMs = 0;  ///< for `returned`: when the platform may submit it again; 0: not set
};

/// What a previous run left in the store.
struct RecoveredState {
    std::vector<StoredMessage> messages;  ///< in the order in which they were accepted
    std::vector<PendingNotice> notices;
};

/// Not thread-safe: callers serialize access.
///
/// accept() and beginAttempt() are requests; they fail if the record can't be written. The other functions
/// report what has already happened and can't be refused: a store that can't write such a record keeps it in
/// memory, in order, until it can. Each report belongs to one attempt, or to one message in a certain state;
/// if there is none, the function changes nothing and returns false, which is an error of the caller.
class Store {
  public:
    virtual ~Store() = default;
    /// Returns what a previous run left. Called once, before any other function.
    virtual RecoveredState recover() = 0;
    /// Stores a message. Returns false, with nothing stored, if there is no room, if the record could not be
    /// written, or if the id is in use.
    virtual bool accept(const StoredMessage& message) = 0;
    /// Called before the first byte of an attempt is sent. Empty if the record could not be written; then the
    /// attempt must not be sent.
    virtual std::optional<AttemptNumber> beginAttempt(const std::string& id, RecordMs at) = 0;
    /// No byte of the open attempt was sent, for example because its connection broke first: it does not
    /// count.
    virtual bool attemptNotSent(const std::string& id, AttemptNumber attempt) = 0;
    /// Closes the open attempt with its outcome.
    virtual bool recordOutcome(const std::string& id, AttemptNumber attempt, AttemptOutcome outcome) = 0;
    /// A delivery failed before anything was sent, such as in connecting.
    virtual bool recordUnsentFailure(const std::string& id, RecordMs at) = 0;
    /// Removes a message that needs no notice: it was delivered, withdrawn, or its submission was refused.
    virtual bool remove(const std::string& id) = 0;
    /// The message ended undelivered; its notice is pending until noticeAcknowledged().
    virtual bool recordFinalState(const PendingNotice& notice) = 0;
    /// The platform has acknowledged the notice. A repeated acknowledgement changes nothing and returns true.
    virtual bool noticeAcknowledged(const std::string& id) = 0;
    /// How the message of this id ended, if that is remembered.
    virtual std::optional<KnownEnd> findEnd(const std::string&) const { return {}; }
    /// True while reports wait in memory because they could not be written yet.
    virtual bool hasUnwrittenRecords() const { return false; }
    /// Tries again to write them. Returns true if none is left.
    virtual bool flush() { return true; }
};

}  // namespace laurelhaven::store
