// What the facade puts on record: the one place that tells the store what became of attempts and messages. A
// record that belongs to no open attempt, or to no message that is owed, changes nothing; it is a fault of
// the program, and is counted and logged.
#pragma once

#include <optional>
#include <string>

#include "clock/record_clock.hpp"
#include "rules/violations.hpp"
#include "store/store.hpp"

namespace laurelhaven::decisions {

/// Calls are made with the facade's lock held.
class Recorder {
  public:
    Recorder(store::Store& store, clock::RecordClock& clock, rules::Violations& violations)
        : store_(store), clock_(clock), violations_(violations) {}

    /// False: it can't be kept now, and is not taken on.
    bool take(const store::StoredMessage& message);
    /// Before an attempt's first byte. Nothing: it can't be written, and the attempt must not begin.
    std::optional<store::AttemptNumber> begin(const std::string& id);
    /// The attempt, if there is one, never left.
    void neverLeft(const std::string& id, std::optional<store::AttemptNumber> attempt);
    /// A call's outcome: of its attempt, or of none where it failed before it made one.
    void outcome(const std::string& id, std::optional<store::AttemptNumber> attempt,
                 store::AttemptOutcome outcome);
    /// Nothing more is owed for the message.
    void done(const std::string& id);
    void ended(const store::PendingNotice& notice);
    /// The platform knows its end.
    void noticed(const std::string& id);

    bool behind() const { return store_.hasUnwrittenRecords(); }
    bool flush() { return store_.flush(); }

  private:
    void check(bool own, const std::string& id, const char* what);

    store::Store& store_;
    clock::RecordClock& clock_;
    rules::Violations& violations_;
};

}  // namespace laurelhaven::decisions
