// Waits for events of one descriptor until a point in time, however often and long the process is stopped
// meanwhile. Nothing else in the program calls poll() with a time.
#pragma once

#include <chrono>

namespace laurelhaven::net {

/// Waits for any of the poll() events. False if the deadline passes first.
bool waitForEvents(int fd, short events, std::chrono::steady_clock::time_point until);

}  // namespace laurelhaven::net
