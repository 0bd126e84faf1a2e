// Reloads the configuration while the sender runs. Only the address of discovery takes effect at once; other
// changes need a restart, and are logged.
#pragma once

#include <chrono>
#include <optional>

#include "config/config.hpp"
#include "discovery/discovery.hpp"

namespace laurelhaven::serve {

using Steady = std::chrono::steady_clock;

/// A file that cannot be read or is invalid is read again for 3 s, because the signal may arrive while the
/// file is being written. Not thread-safe; the caller waits until retryAt() and then calls readConfig().
class Reloader {
  public:
    Reloader(const config::Config& running, discovery::Discovery& discovery)
        : running_(running), discovery_(discovery) {}
    /// Starts a reload, as SIGHUP asks for: reads the configuration and, if that fails, schedules a retry.
    void reload();
    /// The time of the next retry; empty if none is scheduled.
    std::optional<Steady::time_point> retryAt() const { return retryAt_; }
    /// Reads the configuration and applies it. An invalid one changes nothing, and is logged on the first
    /// failure and on the last.
    void readConfig();

  private:
    const config::Config& running_;
    discovery::Discovery& discovery_;
    Steady::time_point retryUntil_{};
    std::optional<Steady::time_point> retryAt_;
};

}  // namespace laurelhaven::serve
