#include "decisions/recorder.hpp"

namespace laurelhaven::decisions {

void Recorder::check(bool matched, const std::string& id, const char* violation) {
    if (!matched) violations_.count(rules::Rule::ownOutcome, id, violation);
}

// The clock's anchor must be on disk first: without it a later run could not interpret the deadline.
bool Recorder::accept(const store::StoredMessage& message) {
    return clock_.persist() && store_.accept(message);
}

std::optional<store::AttemptNumber> Recorder::beginAttempt(const std::string& id) {
    return store_.beginAttempt(id, clock_.now());
}

void Recorder::attemptNotSent(const std::string& id, std::optional<store::AttemptNumber> attempt) {
    if (attempt) check(store_.attemptNotSent(id, *attempt), id, "unsent attempt is not the open attempt");
}

// An outcome must not be recorded for another attempt. An attempt open since a previous run never gets an
// outcome, and a failed connect in this run makes no attempt. If that failure were recorded as the outcome of
// the open attempt, a message that may have run would count as one that never ran, and the next run would
// repeat it outside its key window.
void Recorder::recordOutcome(const std::string& id, std::optional<store::AttemptNumber> attempt,
                             store::AttemptOutcome outcome) {
    if (attempt)
        return check(store_.recordOutcome(id, *attempt, outcome), id, "outcome matches no open attempt");
    if (outcome.mayHaveRun)
        violations_.count(rules::Rule::record, id, "attempt may have run and is not on record");
    if (outcome.failed)
        check(store_.recordUnsentFailure(id, clock_.now()), id, "failure of a message that has ended");
}

void Recorder::remove(const std::string& id) {
    check(store_.remove(id), id, "removed message is not on record as unfinished");
}

void Recorder::recordFinalState(const store::PendingNotice& notice) {
    check(store_.recordFinalState(notice), notice.id, "ended message is not on record as unfinished");
}

void Recorder::noticeAcknowledged(const std::string& id) {
    check(store_.noticeAcknowledged(id), id, "acknowledged notice of a message that has not ended");
}

}  // namespace laurelhaven::decisions
