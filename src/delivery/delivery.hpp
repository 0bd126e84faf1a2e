// Sends due attempts to the endpoints over HTTP: one worker thread per slot, with idle connections kept open
// between requests.
#pragma once

#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "delivery/endpoint_connection.hpp"
#include "delivery/idle.hpp"
#include "http/message.hpp"
#include "rules/response_rules.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::delivery {

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
    /// The endpoint's process was replaced or has gone.
    void endpointReplaced(const std::string& endpoint) {
        idleConnections_.dropEndpoint(endpoint);
        responseRules_.forget(endpoint);
    }

  private:
    decisions::AttemptResult deliver(const decisions::DueAttempt& dueAttempt);
    /// Makes one try on the connection. `keep`: set if the connection can carry another request.
    decisions::AttemptResult sendRequest(const decisions::DueAttempt& dueAttempt, const net::Address& address,
                                         EndpointConnection& connection, bool& keep);
    /// `sentAt`: when the last byte of the request was written.
    decisions::AttemptResult receiveResponse(const decisions::DueAttempt& dueAttempt,
                                             EndpointConnection& connection,
                                             const rules::SentRequest& request, net::Deadline sentAt,
                                             bool& keep);
    static void logConnect(const decisions::DueAttempt& dueAttempt, const EndpointConnection& connection,
                           std::string_view outcome, net::Deadline begunAt);

    const config::Config& config_;
    decisions::Decisions& decisions_;
    rules::ResponseRules responseRules_;
    overload::MemoryPool responseMemory_;
    IdleConnections idleConnections_;
    std::vector<threads::Thread> threads_;
};

}  // namespace laurelhaven::delivery
