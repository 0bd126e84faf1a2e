#include "decisions/recorder.hpp"

namespace laurelhaven::decisions {

void Recorder::check(bool own, const std::string& id, const char* what) {
    if (!own) violations_.count(rules::Rule::ownOutcome, id, what);
}

// Without the clock's anchor on disk a later life could not tell what the deadline means.
bool Recorder::take(const store::StoredMessage& message) {
    return clock_.persist() && store_.accept(message);
}

std::optional<store::AttemptNumber> Recorder::begin(const std::string& id) {
    return store_.beginAttempt(id, clock_.now());
}

void Recorder::neverLeft(const std::string& id, std::optional<store::AttemptNumber> attempt) {
    if (attempt) check(store_.attemptNotSent(id, *attempt), id, "an attempt that never left and is not open");
}

// Danger: what is recorded of one attempt must not settle another. An attempt of an earlier life has no
// outcome and never gets one; a call of this life whose connect failed has made no attempt. Taken for the
// outcome of the earlier one, its failure would make a message that may have run one that never did, and the
// next life would repeat it outside its key's window.
void Recorder::outcome(const std::string& id, std::optional<store::AttemptNumber> attempt,
                       store::AttemptOutcome outcome) {
    if (attempt)
        return check(store_.recordOutcome(id, *attempt, outcome), id, "an outcome of no open attempt");
    if (outcome.mayHaveRun) violations_.count(rules::Rule::record, id, "ran, and not on record");
    if (outcome.failed)
        check(store_.recordUnsentFailure(id, clock_.now()), id, "a failure of a message that is over");
}

void Recorder::done(const std::string& id) { check(store_.remove(id), id, "done, and not owed"); }

void Recorder::ended(const store::PendingNotice& notice) {
    check(store_.recordFinalState(notice), notice.id, "an end of what is not owed");
}

void Recorder::noticed(const std::string& id) {
    check(store_.noticeAcknowledged(id), id, "its end is known, and it has not ended");
}

}  // namespace laurelhaven::decisions
