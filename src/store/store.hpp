// The store of record: what the sender has taken on and still owes, beyond the life of its process. Another
// store (a database, say) takes the place of the file journal behind this interface.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "store/attempt_history.hpp"

namespace laurelhaven::store {

/// A message as it was taken on, with what its attempts have come to.
struct StoredMessage {
    std::string id, key;
    std::uint64_t destination = 0;
    /// By name: a later life may list them in another order. Empty: not known any more.
    std::string messageClass, tenant;
    int effect = 0;  ///< of its class when it was taken: 0 may be repeated, 1 by its key, 2 may not
    RecordMs deadline = 0;
    std::shared_ptr<const std::string> body;
    AttemptHistory attempts;
};

enum class FinalState { failed, returned };
/// An end that the platform has not yet been heard to know.
struct PendingNotice {
    std::string id;
    FinalState finalState = FinalState::failed;
    std::int64_t retryAfterMs = 0;  ///< for returned: come again after so long; 0: not told
};

struct RecoveredState {
    std::vector<StoredMessage> messages;  ///< in the order in which they were taken
    std::vector<PendingNotice> notices;
};

/// Calls are made by one thread at a time.
///
/// take() and beginAttempt() ask for something to be done, and are refused while the record can't be written.
/// The others tell what has happened already: they can't be refused, and a store that can't write them keeps
/// them, in order, until it can. What they tell belongs to one attempt, or to one message in one state. Where
/// there is no such thing they change nothing and return false: that is a fault of whoever tells.
class Store {
  public:
    virtual ~Store() = default;
    /// What an earlier life left. Called once, before anything else.
    virtual RecoveredState recover() = 0;
    /// False: there is no room for it, or it could not be written; then it is not on record.
    virtual bool accept(const StoredMessage& message) = 0;
    /// Before the first byte of a call. Nothing: it could not be written, so the call must not go out.
    virtual std::optional<AttemptNumber> beginAttempt(const std::string& id, RecordMs at) = 0;
    /// The attempt never left, and its call goes on: it was none.
    virtual bool attemptNotSent(const std::string& id, AttemptNumber attempt) = 0;
    virtual bool recordOutcome(const std::string& id, AttemptNumber attempt, AttemptOutcome outcome) = 0;
    /// A call failed before it made an attempt.
    virtual bool recordUnsentFailure(const std::string& id, RecordMs at) = 0;
    /// Delivered, over, or refused in its own turn: nothing more is owed.
    virtual bool remove(const std::string& id) = 0;
    /// Ended undelivered; owed until `noticed`.
    virtual bool recordFinalState(const PendingNotice& notice) = 0;
    /// The platform knows its end. Told twice, the second time changes nothing, and is no fault.
    virtual bool noticeAcknowledged(const std::string& id) = 0;
    /// True while something that has happened could not be written yet.
    virtual bool hasUnwrittenRecords() const { return false; }
    /// Tries again to write that. True when nothing is left to write.
    virtual bool flush() { return true; }
};

}  // namespace laurelhaven::store
