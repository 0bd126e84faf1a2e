#include "store/attempt_history.hpp"

#include <algorithm>

namespace laurelhaven::store {
namespace {

constexpr RecordMs kEarliestTime = 1;

}  // namespace

void AttemptHistory::begin(AttemptNumber number, RecordMs at) {
    // Danger: the attempt before this one was open when an earlier life ended. That this one is turned away
    // does not undo it.
    closeAfterRestart();
    // Numbers that were passed over are attempts whose records are damaged.
    if (!registerUnknownNumber(number)) ++state_.attemptCount;
    state_.openNumber = number;
    state_.sentAt = at;
}

bool AttemptHistory::attemptNotSent(AttemptNumber number) {
    if (!isOpenAttempt(number)) return registerUnknownNumber(number), false;
    state_.openNumber = 0;
    --state_.attemptCount;
    return true;
}

bool AttemptHistory::recordOutcome(AttemptNumber number, AttemptOutcome outcome) {
    if (outcome.failed) recordFailure(state_.sentAt);
    const bool own = isOpenAttempt(number);
    if (!own && !registerUnknownNumber(number)) return false;
    if (own && outcome.mayHaveRun) closeAfterRestart();
    if (!own && outcome.mayHaveRun) markUncertain();
    state_.openNumber = 0;
    return own;
}

void AttemptHistory::recordUnsentFailure(RecordMs at) { recordFailure(at); }

void AttemptHistory::recordFailure(RecordMs at) {
    ++state_.failures;
    state_.failedAt = std::max(state_.failedAt, at);
}

bool AttemptHistory::isOpenAttempt(AttemptNumber number) const {
    return state_.openNumber != 0 && state_.openNumber == number;
}

/// True for a number that was never begun here: the record of its beginning is damaged, and with it the
/// outcome of whichever attempt was open before.
bool AttemptHistory::registerUnknownNumber(AttemptNumber number) {
    if (number <= state_.lastNumber) return false;
    closeAfterRestart();
    state_.attemptCount += number - state_.lastNumber;
    state_.lastNumber = number;
    return true;
}

void AttemptHistory::closeAfterRestart() {
    if (state_.openNumber == 0) return;
    if (state_.mayHaveRunSince == 0) state_.mayHaveRunSince = state_.sentAt;
    state_.openNumber = 0;
}

// What is open stays so: it may have been sent before anything that is missing, and the number of the next
// record tells whether its own outcome is among that.
void AttemptHistory::markUncertain() {
    if (state_.openNumber == 0 && state_.mayHaveRunSince == 0) state_.mayHaveRunSince = kEarliestTime;
}

std::optional<AttemptNumber> AttemptHistory::openAttempt() const {
    if (state_.openNumber == 0) return {};
    return state_.openNumber;
}

std::optional<RecordMs> AttemptHistory::mayHaveRunSince() const {
    if (state_.mayHaveRunSince != 0) return state_.mayHaveRunSince;
    if (state_.openNumber != 0) return state_.sentAt;
    return {};
}

}  // namespace laurelhaven::store
