#include "store/attempt_history.hpp"

#include <algorithm>

namespace laurelhaven::store {
namespace {

constexpr RecordMs kLongAgo = 1;

}  // namespace

void AttemptHistory::begin(AttemptNumber number, RecordMs at) {
    // Danger: the attempt before this one was open when an earlier life ended. That this one is turned away
    // does not undo it.
    endLife();
    // Numbers that were passed over are attempts whose records are damaged.
    if (!noteUnknown(number)) ++state_.made;
    state_.open = number;
    state_.sentAt = at;
}

bool AttemptHistory::neverLeft(AttemptNumber number) {
    if (!isOpen(number)) return noteUnknown(number), false;
    state_.open = 0;
    --state_.made;
    return true;
}

bool AttemptHistory::settle(AttemptNumber number, AttemptOutcome outcome) {
    if (outcome.failed) fail(state_.sentAt);
    const bool own = isOpen(number);
    if (!own && !noteUnknown(number)) return false;
    if (own && outcome.mayHaveRun) endLife();
    if (!own && outcome.mayHaveRun) doubt();
    state_.open = 0;
    return own;
}

void AttemptHistory::failWithoutAttempt(RecordMs at) { fail(at); }

void AttemptHistory::fail(RecordMs at) {
    ++state_.failures;
    state_.failedAt = std::max(state_.failedAt, at);
}

bool AttemptHistory::isOpen(AttemptNumber number) const { return state_.open != 0 && state_.open == number; }

/// True for a number that was never begun here: the record of its beginning is damaged, and with it the
/// outcome of whichever attempt was open before.
bool AttemptHistory::noteUnknown(AttemptNumber number) {
    if (number <= state_.last) return false;
    endLife();
    state_.made += number - state_.last;
    state_.last = number;
    return true;
}

void AttemptHistory::endLife() {
    if (state_.open == 0) return;
    if (state_.mayHaveRunSince == 0) state_.mayHaveRunSince = state_.sentAt;
    state_.open = 0;
}

// What is open stays so: it may have been sent before anything that is missing, and the number of the next
// record tells whether its own outcome is among that.
void AttemptHistory::doubt() {
    if (state_.open == 0 && state_.mayHaveRunSince == 0) state_.mayHaveRunSince = kLongAgo;
}

std::optional<AttemptNumber> AttemptHistory::open() const {
    if (state_.open == 0) return {};
    return state_.open;
}

std::optional<RecordMs> AttemptHistory::mayHaveRunSince() const {
    if (state_.mayHaveRunSince != 0) return state_.mayHaveRunSince;
    if (state_.open != 0) return state_.sentAt;
    return {};
}

}  // namespace laurelhaven::store
