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
decisions::AttemptResult meaning(const http::Message& answer);

class Delivery {
  public:
    Delivery(const config::Config& config, decisions::Decisions& decisions);
    ~Delivery() { stop(); }
    void start();
    /// The workers return once the facade gives out no more calls.
    void stop();
    void closeIdle(const std::string& endpoint) { idle_.close(endpoint); }

  private:
    decisions::AttemptResult deliver(const decisions::DueAttempt& call);
    decisions::AttemptResult attempt(const decisions::DueAttempt& call, const net::Address& address, int fd,
                                     bool warm, bool& keep);
    decisions::AttemptResult answer(const decisions::DueAttempt& call, int fd, bool& keep);

    const config::Config& config_;
    decisions::Decisions& decisions_;
    Idle idle_;
    std::vector<threads::Thread> threads_;
};

}  // namespace laurelhaven::delivery
