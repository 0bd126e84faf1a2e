// Translates what came back for a request into the result of its attempt.
#pragma once

#include <optional>
#include <string_view>

#include "decisions/decisions.hpp"
#include "http/message.hpp"
#include "http_client/response_reader.hpp"
#include "rules/response_meaning.hpp"

namespace laurelhaven::delivery {

/// The result of an attempt without a response.
decisions::AttemptResult endedWith(decisions::AttemptStatus status);

/// Translates a response, or as much of it as was parsed, by status and headers.
decisions::AttemptResult interpretResponse(const http::Message& response,
                                           rules::Reliability reliability = rules::Reliability::proven);

/// The result of an attempt whose own response this is, as far as it was received.
decisions::AttemptResult resultOfOwn(const http_client::ReceivedResponse& response);

/// The result of an attempt for which this came, of which it can't be said what belongs to the request.
decisions::AttemptResult resultOfUnattributed(const http_client::ReceivedResponse& response,
                                              const std::optional<http_client::ReceivedResponse>& earlier);

/// The result of an attempt that ended without a response of its own. What came before its end and may have
/// been its own still counts as far as it speaks against another attempt.
decisions::AttemptResult resultWithoutOwn(decisions::AttemptStatus status,
                                          const http_client::ReceivedResponse& last,
                                          const std::optional<http_client::ReceivedResponse>& earlier);

}  // namespace laurelhaven::delivery
