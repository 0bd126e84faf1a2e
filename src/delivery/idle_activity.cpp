#include "delivery/idle_activity.hpp"

#include "http/message.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::delivery {
namespace {

/// The status of the response that these bytes begin with; 0: they hold no whole response.
int statusOf(std::string_view bytes) {
    http::Parser parser(http::Parser::Role::response);
    return parser.feed(bytes) == http::Parser::State::complete ? parser.message().status : 0;
}

void reportBytes(const EndpointConnection& connection, rules::ResponseRules& responseRules) {
    const auto bytes = net::peekArrived(connection.fd());
    const auto resemblance = connection.history().compare(bytes);
    const int status = statusOf(bytes);
    metrics::counter("unsolicited_responses_total", "resemblance", name(resemblance)).add();
    (log::debug() << "bytes arrived on an idle connection")
        .kv("connection", connection.id())
        .kv("endpoint", connection.endpoint())
        .kv("status", status)
        .kv("resemblance", name(resemblance));
    responseRules.unsolicited(connection.lastMessage(), status, resemblance);
}

}  // namespace

std::string_view activityOnIdle(const EndpointConnection& connection, rules::ResponseRules& responseRules) {
    switch (net::unreadState(connection.fd())) {
        case net::UnreadState::nothing: return {};
        case net::UnreadState::end: return "ended_by_endpoint";
        case net::UnreadState::broken: return "broken";
        case net::UnreadState::bytes: break;
    }
    reportBytes(connection, responseRules);
    return "unsolicited_bytes";
}

}  // namespace laurelhaven::delivery
