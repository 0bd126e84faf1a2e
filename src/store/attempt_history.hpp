// The delivery attempts of one message across restarts of the sender. This class alone decides whether a
// message may have run at its destination, and since when.
//
// Each attempt has a number that is never reused. Outcomes name the attempt's number, so an outcome never
// closes an attempt that it does not belong to. Once a message may have run, that is never revoked. No I/O;
// not synchronized.
#pragma once

#include <cstdint>
#include <optional>

namespace laurelhaven::store {

using RecordMs = std::int64_t;        ///< milliseconds of clock::RecordClock, which continue across restarts
using AttemptNumber = std::uint32_t;  ///< numbers the attempts of one message, from 1

/// How an attempt ended.
struct AttemptOutcome {
    bool mayHaveRun = false;
    bool failed = false;  ///< false: it was rejected, not forwarded or not sent
};

/// The attempts of one message: how many, which one is open, and whether any may have run.
class AttemptHistory {
  public:
    /// The fields that a record stores.
    struct State {
        std::uint32_t attemptCount = 0;  ///< attempts that were sent, or may have been
        std::uint32_t failures = 0;      ///< known failures, including those before anything was sent
        AttemptNumber lastNumber = 0;    ///< the last number in use; 0: none yet
        AttemptNumber openNumber = 0;    ///< the attempt without an outcome; 0: none
        RecordMs beganAt = 0;            ///< when the last attempt began
        RecordMs failedAt = 0;           ///< time of the latest known failure; for an attempt, when it began
        RecordMs mayHaveRunSince = 0;    ///< when the first attempt that may have run began; 0: none has
    };

    AttemptHistory() = default;
    explicit AttemptHistory(const State& state) : state_(state) {}
    const State& state() const { return state_; }

    /// The number of the next attempt.
    AttemptNumber nextNumber() const { return state_.lastNumber + 1; }
    /// Opens an attempt. If another is still open, its outcome is lost and it may have run.
    void begin(AttemptNumber number, RecordMs at);
    /// No byte of the open attempt was sent, so it does not count. Returns false if `number` is not the open
    /// attempt; a number above the last one then counts as an attempt whose record is missing.
    bool attemptNotSent(AttemptNumber number);
    /// Closes the open attempt with its outcome. Returns false if `number` is not the open attempt; a number
    /// above the last one then counts as an attempt whose record is missing.
    bool recordOutcome(AttemptNumber number, AttemptOutcome outcome);
    /// Counts a failure before anything was sent, such as a failed connect. It changes no attempt.
    void recordUnsentFailure(RecordMs at);
    /// Closes the open attempt, if any, as one that may have run: by its outcome, or as its outcome is lost.
    void closeAsMayHaveRun();
    /// Records are missing, and any of them may have been an attempt, made at an unknown time.
    void markUncertain();

    /// The open attempt, if any.
    std::optional<AttemptNumber> openAttempt() const;
    /// When the first attempt that may have run began; empty if it is certain that none has.
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
