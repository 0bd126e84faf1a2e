#include "store/attempt_history.hpp"

#include <algorithm>

namespace laurelhaven::store {
namespace {

constexpr RecordMs kEarliestTime = 1;  // 0 means that no attempt may have run

}  // namespace

void AttemptHistory::begin(AttemptNumber number, RecordMs at) {
    // An attempt that a previous run left open may have run; a rejection of this one must not revoke that.
    closeAsMayHaveRun();
    // Skipped numbers belong to attempts whose records are damaged.
    if (!registerUnknownNumber(number)) ++state_.attemptCount;
    state_.openNumber = number;
    state_.beganAt = at;
}

bool AttemptHistory::attemptNotSent(AttemptNumber number) {
    if (!isOpenAttempt(number)) {
        registerUnknownNumber(number);
        return false;
    }
    state_.openNumber = 0;
    --state_.attemptCount;
    return true;
}

bool AttemptHistory::recordOutcome(AttemptNumber number, AttemptOutcome outcome) {
    if (outcome.failed) recordFailure(state_.beganAt);
    const bool isOpen = isOpenAttempt(number);
    if (!isOpen && !registerUnknownNumber(number)) return false;
    if (isOpen && outcome.mayHaveRun) closeAsMayHaveRun();
    if (!isOpen && outcome.mayHaveRun) markUncertain();
    state_.openNumber = 0;
    return isOpen;
}

void AttemptHistory::recordUnsentFailure(RecordMs at) { recordFailure(at); }

void AttemptHistory::recordFailure(RecordMs at) {
    ++state_.failures;
    state_.failedAt = std::max(state_.failedAt, at);
}

bool AttemptHistory::isOpenAttempt(AttemptNumber number) const {
    return state_.openNumber != 0 && state_.openNumber == number;
}

/// Returns true for a number above the last one: the record that began this attempt is damaged, and perhaps
/// the outcome of the attempt that was open before it too.
bool AttemptHistory::registerUnknownNumber(AttemptNumber number) {
    if (number <= state_.lastNumber) return false;
    closeAsMayHaveRun();
    state_.attemptCount += number - state_.lastNumber;
    state_.lastNumber = number;
    return true;
}

void AttemptHistory::closeAsMayHaveRun() {
    if (state_.openNumber == 0) return;
    if (state_.mayHaveRunSince == 0) state_.mayHaveRunSince = state_.beganAt;
    state_.openNumber = 0;
}

// An open attempt stays open: it already counts as one that may have run, and the number in the next record
// shows whether its outcome is among the missing records.
void AttemptHistory::markUncertain() {
    if (state_.openNumber == 0 && state_.mayHaveRunSince == 0) state_.mayHaveRunSince = kEarliestTime;
}

std::optional<AttemptNumber> AttemptHistory::openAttempt() const {
    if (state_.openNumber == 0) return {};
    return state_.openNumber;
}

std::optional<RecordMs> AttemptHistory::mayHaveRunSince() const {
    if (state_.mayHaveRunSince != 0) return state_.mayHaveRunSince;
    if (state_.openNumber != 0) return state_.beganAt;
    return {};
}

}  // namespace laurelhaven::store
