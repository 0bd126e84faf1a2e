// Calls to the endpoints: one worker for each slot, idle connections kept between calls.
#pragma once

#include <vector>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "delivery/idle.hpp"
#include "http/message.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::delivery {

/// What an endpoint's answer means, by the protocol's table.
decisions::AttemptResult interpretResponse(const http::Message& answer);

class Delivery {
  public:
    Delivery(const config::Config& config, decisions::Decisions& decisions);
    ~Delivery() { stop(); }
    void start();
    /// The workers return once the facade gives out no more calls.
    void stop();
    void closeIdleConnections(const std::string& endpoint) { idleConnections_.closeEndpoint(endpoint); }

  private:
    decisions::AttemptResult deliver(const decisions::DueAttempt& dueAttempt);
    decisions::AttemptResult sendRequest(const decisions::DueAttempt& dueAttempt, const net::Address& address,
                                         int fd, bool reused, bool& keep);
    decisions::AttemptResult receiveResponse(const decisions::DueAttempt& dueAttempt, int fd, bool& keep);

    const config::Config& config_;
    decisions::Decisions& decisions_;
    IdleConnections idleConnections_;
    std::vector<threads::Thread> threads_;
};

}  // namespace laurelhaven::delivery
