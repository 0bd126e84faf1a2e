// What an endpoint has done on a connection that waits for no response.
#pragma once

#include <string_view>

#include "delivery/endpoint_connection.hpp"
#include "rules/response_rules.hpp"

namespace laurelhaven::delivery {

/// Bytes have arrived that no request waits for: they belong to an earlier one. They are logged, and judged
/// by the rules.
void reportUnsolicited(const EndpointConnection& connection, std::string_view bytes,
                       rules::ResponseRules& responseRules);

/// Looks without waiting. Empty if the connection is as it was left and may carry a request; otherwise the
/// reason to close it. Bytes that have arrived are reported.
std::string_view activityOnIdle(const EndpointConnection& connection, rules::ResponseRules& responseRules);

}  // namespace laurelhaven::delivery
