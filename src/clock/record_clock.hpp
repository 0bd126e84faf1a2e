// The time scale of everything stored on disk: milliseconds that continue across restarts of the process,
// like the monotonic clock, and that steps of the wall clock do not change.
//
// A stored deadline or attempt must mean the same span of real time to a later run of the process. The wall
// clock may be stepped by an hour in between, and the monotonic clock starts at zero with each boot. So the
// offset between the two is fixed once, written to the state folder (the anchor), and used by every later run
// until the machine reboots. After a reboot only the wall clock is left, and a new anchor is made from it.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "store/store.hpp"

namespace laurelhaven::clock {

/// Milliseconds on this time scale. Close to Unix time as the wall clock showed it when the anchor was made.
using store::RecordMs;

/// Relates the time scale to the monotonic clock of one boot of the machine.
struct Anchor {
    std::string bootId;            ///< empty if the system has no boot id
    std::int64_t offsetMs = 0;     ///< time scale minus monotonic clock
    std::int64_t monotonicMs = 0;  ///< monotonic clock when the anchor was made
};

/// The system clocks and the boot id, read together.
struct ClockReadings {
    std::string bootId;
    std::int64_t wallMs = 0, monotonicMs = 0;
};
ClockReadings readClocks();

/// The anchor to use from now on: the stored one if the machine has not been rebooted since, otherwise a new
/// one that starts at the wall clock's time. Pure.
Anchor chooseAnchor(const std::optional<Anchor>& stored, const ClockReadings& now);

/// The only source of times stored on disk. Safe for use by several threads.
class RecordClock {
  public:
    /// A time scale for this process only, for callers that store nothing.
    RecordClock();
    /// The time scale of a state folder. Reads its anchor and writes nothing. Logs, and falls back to the
    /// wall clock, if the anchor can't be read or belongs to an earlier boot.
    explicit RecordClock(const std::string& folder);

    /// The current time on the time scale.
    RecordMs now() const;
    /// Writes the anchor unless it is on disk already. No time may be stored before this has returned true: a
    /// later run of the process could not interpret it. Returns false if writing failed; may be called again.
    bool persist();

  private:
    std::string path_;  // of the anchor; empty if for this process only
    Anchor anchor_;
    std::mutex persistMutex_;
    bool persisted_ = false;
};

/// A time scale for this process, shared by all callers that store nothing.
RecordClock& processClock();

}  // namespace laurelhaven::clock
