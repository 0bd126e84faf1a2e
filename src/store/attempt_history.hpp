// The attempts of one message over all lives of its sender: the one place that knows whether it may have run,
// and since when.
//
// Each attempt has a number of its own, which is never given twice. What an attempt came to is told by its
// number, and changes nothing about any other: an outcome can't settle an attempt that it does not belong to.
// That a message may have run is never taken back. Pure.
#pragma once

#include <cstdint>
#include <optional>

namespace laurelhaven::store {

using RecordMs = std::int64_t;        ///< milliseconds on the time line of src/clock: it spans restarts
using AttemptNumber = std::uint32_t;  ///< of one message, from 1 on

/// What an attempt came to.
struct AttemptOutcome {
    bool mayHaveRun = false;
    bool failed = false;  ///< rather than turned away
};

class AttemptHistory {
  public:
    /// Everything that a record has to hold.
    struct State {
        std::uint32_t attemptCount = 0;  ///< attempts that have left, or may have
        std::uint32_t failures = 0;      ///< calls known to have failed, with or without an attempt
        AttemptNumber lastNumber = 0;    ///< the number given last; 0: none yet
        AttemptNumber openNumber = 0;    ///< the attempt that has no outcome yet; 0: none
        RecordMs sentAt = 0;             ///< when the last attempt was sent
        RecordMs failedAt = 0;           ///< when the call that failed last was made
        RecordMs mayHaveRunSince = 0;    ///< when the first that may have run was sent; 0: none has
    };

    AttemptHistory() = default;
    explicit AttemptHistory(const State& state) : state_(state) {}
    const State& state() const { return state_; }

    /// The number of the next attempt.
    AttemptNumber nextNumber() const { return state_.lastNumber + 1; }
    /// Opens an attempt. One that is open still has lost its outcome, and may have run.
    void begin(AttemptNumber number, RecordMs at);
    /// It never left: it was none. False, and nothing has changed, where it is not the open attempt.
    bool attemptNotSent(AttemptNumber number);
    /// It has its outcome. False where it is not the open attempt: then that one is as open as before.
    bool recordOutcome(AttemptNumber number, AttemptOutcome outcome);
    /// A call failed before it made an attempt: that says nothing about any attempt.
    void recordUnsentFailure(RecordMs at);
    /// The process that made the open attempt is gone, and with it the attempt's outcome.
    void closeAfterRestart();
    /// Records are missing: any of them may have been an attempt, at any time.
    void markUncertain();

    /// The open attempt, if any.
    std::optional<AttemptNumber> openAttempt() const;
    /// When the first attempt that may have run was sent; nothing where surely none has.
    std::optional<RecordMs> mayHaveRunSince() const;
    std::uint32_t attemptCount() const { return state_.attemptCount; }
    std::uint32_t failures() const { return state_.failures; }
    RecordMs lastFailureAt() const { return state_.failedAt; }

  private:
    bool isOpenAttempt(AttemptNumber number) const;
    bool registerUnknownNumber(AttemptNumber number);
    void recordFailure(RecordMs at);

    State state_{};
};

}  // namespace laurelhaven::store
