// Reads the configuration anew while the sender runs. A file that can't be read is read again for a while:
// the signal may come while it is being written.
#pragma once

#include <chrono>
#include <optional>

#include "config/config.hpp"
#include "discovery/discovery.hpp"

namespace laurelhaven::serve {

using Steady = std::chrono::steady_clock;

class Reloader {
  public:
    Reloader(const config::Config& running, discovery::Discovery& discovery)
        : running_(running), discovery_(discovery) {}
    /// A signal asks for it.
    void reload();
    /// When the file is to be read once more; nothing where it need not be.
    std::optional<Steady::time_point> retryAt() const { return retryAt_; }
    /// Reads it. One that is bad changes nothing.
    void readConfig();

  private:
    const config::Config& running_;
    discovery::Discovery& discovery_;
    Steady::time_point retryUntil_{};
    std::optional<Steady::time_point> retryAt_;
};

}  // namespace laurelhaven::serve
