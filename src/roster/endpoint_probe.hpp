// Asks one endpoint whether it is alive, over a connection of its own.
#pragma once

#include <chrono>
#include <functional>
#include <stop_token>
#include <string>

namespace laurelhaven::roster {

/// What came back for a probe.
struct ProbeAnswer {
    bool withdrawn = false;         ///< `mayAsk` refused, and nothing was written
    int status = 0;                 ///< 0: no answer
    double announcedRateLimit = 0;  ///< requests per second; 0: none was announced
    /// A server that does not support probes answers 404.
    bool isAlive() const { return status == 200 || status == 404; }
};

/// Sends one probe and waits for the answer, at most until the timeout or a stop. `mayAsk` is called just
/// before the first byte.
ProbeAnswer sendProbe(const std::string& address, std::chrono::milliseconds timeout,
                      const std::stop_token& stopped, const std::function<bool()>& mayAsk);

}  // namespace laurelhaven::roster
