// What a client's request asks for, by the platform's protocol. Pure: a message in, a hand-in or a status
// out.
#pragma once

#include <string>
#include <variant>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::front {

struct ReadinessQuery {};  ///< asks whether the sender serves
struct MetricsQuery {};    ///< asks for counters and gauges
/// An answer that needs no decision.
struct RequestError {
    int status = 400;
    std::string message;
};

/// `came`: when the request's first byte did; the client's time runs from before then.
std::variant<decisions::Submission, ReadinessQuery, MetricsQuery, RequestError> interpretRequest(
    const config::Config& config, http::Message& request, decisions::TimePoint receivedAt);

}  // namespace laurelhaven::front
