// The time line of everything that is kept on disk: milliseconds that go on over restarts of the process, as
// the monotonic clock does, and that no step of the wall clock touches.
//
// A record of a deadline or of an attempt must mean the same span of real time to a later process. The wall
// clock may be stepped by an hour meanwhile, and the monotonic clock counts from the machine's start. So the
// distance between the two is fixed once, written to the state folder (the anchor), and used by every later
// process for as long as the machine runs. After a restart of the machine the wall clock is all there is, and
// the line is anchored anew.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "store/store.hpp"

namespace laurelhaven::clock {

/// Milliseconds on the time line. Close to Unix time, as the wall clock was when the line was anchored.
using store::RecordMs;

/// What ties the time line to the monotonic clock of one boot of the machine.
struct Anchor {
    std::string bootId;            ///< the id of that boot; empty where the system tells none
    std::int64_t offsetMs = 0;     ///< the time line less the monotonic clock
    std::int64_t monotonicMs = 0;  ///< the monotonic clock when the line was anchored
};

/// The clocks of the system, as they stand now.
struct ClockReadings {
    std::string bootId;
    std::int64_t wallMs = 0, monotonicMs = 0;
};
ClockReadings readClocks();

/// The anchor that holds from now on: the kept one while the machine has not been restarted since, otherwise
/// one that begins at the wall clock's time. Pure.
Anchor chooseAnchor(const std::optional<Anchor>& kept, const ClockReadings& now);

/// The one source of times that are kept on disk. Safe for use by several threads.
class RecordClock {
  public:
    /// A time line of this process alone: for whoever keeps nothing.
    RecordClock();
    /// The time line of a state folder. Reads its anchor, and writes nothing yet.
    explicit RecordClock(const std::string& folder);

    RecordMs now() const;
    /// Writes the anchor where that has not been done. Nothing that tells a time may be kept before this is
    /// true: a later process could not tell what the time means.
    bool persist();

  private:
    std::string path_;  // of the anchor; empty: of this process alone
    Anchor anchor_;
    std::mutex writing_;
    bool persisted_ = false;
};

/// A time line of this process, shared by all that keep nothing.
RecordClock& processClock();

}  // namespace laurelhaven::clock
