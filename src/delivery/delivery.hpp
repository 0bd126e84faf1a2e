// Sends due attempts to the endpoints over HTTP: one worker thread per slot, with idle connections kept open
// between requests.
#pragma once

#include <vector>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "delivery/idle.hpp"
#include "http/message.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::delivery {

/// Translates an endpoint's response into the result of the attempt, by status and headers.
decisions::AttemptResult interpretResponse(const http::Message& response);

/// Thread pool that takes due attempts from `decisions`, sends them and reports the results. start() and
/// stop() are called by one thread; closeIdleConnections() may be called by any.
class Delivery {
  public:
    Delivery(const config::Config& config, decisions::Decisions& decisions);
    ~Delivery() { stop(); }
    void start();
    /// Waits for the workers, which return once `decisions` has no more attempts to give out.
    void stop();
    void closeIdleConnections(const std::string& endpoint) { idleConnections_.closeEndpoint(endpoint); }

  private:
    decisions::AttemptResult deliver(const decisions::DueAttempt& dueAttempt);
    /// Makes one try on the connection `fd`. `keep`: set if the connection can carry another request.
    decisions::AttemptResult sendRequest(const decisions::DueAttempt& dueAttempt, const net::Address& address,
                                         int fd, bool reused, bool& keep);
    decisions::AttemptResult receiveResponse(const decisions::DueAttempt& dueAttempt, int fd, bool& keep);

    const config::Config& config_;
    decisions::Decisions& decisions_;
    IdleConnections idleConnections_;
    std::vector<threads::Thread> threads_;
};

}  // namespace laurelhaven::delivery
