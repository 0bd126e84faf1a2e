// Interprets clients' HTTP requests by the platform's protocol. Pure functions without state; safe to call
// from any thread.
#pragma once

#include <string>
#include <variant>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::front {

struct ReadinessQuery {};  ///< GET /health/ready
struct MetricsQuery {};    ///< GET /metrics
/// A request that is rejected before it reaches the sender: HTTP status and response body.
struct RequestError {
    int status = 400;
    std::string message;
};

/// Validates a request and translates it; a submission takes over the request's body. `receivedAt`: time at
/// which the request's first byte arrived. The deadline counts from it; the client's own count began before
/// that.
std::variant<decisions::Submission, ReadinessQuery, MetricsQuery, RequestError> interpretRequest(
    const config::Config& config, http::Message& request, decisions::TimePoint receivedAt);

}  // namespace laurelhaven::front
