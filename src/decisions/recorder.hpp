// Writes the outcomes of attempts and messages to the store; nothing else in the facade does. A record that
// matches no open attempt, or no message that is still unfinished, changes nothing: it is a bug in the
// program and is counted and logged as a rule violation.
#pragma once

#include <optional>
#include <string>

#include "clock/record_clock.hpp"
#include "rules/violations.hpp"
#include "store/store.hpp"

namespace laurelhaven::decisions {

/// All functions are called with the facade's lock held.
class Recorder {
  public:
    Recorder(store::Store& store, clock::RecordClock& clock, rules::Violations& violations)
        : store_(store), clock_(clock), violations_(violations) {}

    /// Returns false if the message can't be stored now; it must not be accepted then.
    bool accept(const store::StoredMessage& message);
    /// Called before the first byte of an attempt. Returns nothing if the record can't be written; the
    /// attempt must not begin then.
    std::optional<store::AttemptNumber> beginAttempt(const std::string& id);
    /// The attempt, if there is one, was not sent.
    void attemptNotSent(const std::string& id, std::optional<store::AttemptNumber> attempt);
    /// The outcome of `attempt`. Without a number, delivery failed before an attempt was made.
    void recordOutcome(const std::string& id, std::optional<store::AttemptNumber> attempt,
                       store::AttemptOutcome outcome);
    /// The message needs no final answer any more and is removed from the store.
    void remove(const std::string& id);
    /// The message ended undelivered; its notice is pending until the platform acknowledges it.
    void recordFinalState(const store::PendingNotice& notice);
    void noticeAcknowledged(const std::string& id);

    /// How the message of this id ended, if that is remembered.
    std::optional<store::KnownEnd> findEnd(const std::string& id) const { return store_.findEnd(id); }

    bool hasUnwrittenRecords() const { return store_.hasUnwrittenRecords(); }
    /// Retries the writes that failed. Returns true when nothing is left to write.
    bool flush() { return store_.flush(); }

  private:
    /// Counts a violation if the store found nothing that the record belongs to.
    void check(bool matched, const std::string& id, const char* violation);

    store::Store& store_;
    clock::RecordClock& clock_;
    rules::Violations& violations_;
};

}  // namespace laurelhaven::decisions
