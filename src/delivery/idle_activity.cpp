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

}  // namespace

void reportUnsolicited(const EndpointConnection& connection, std::string_view bytes,
                       rules::ResponseRules& responseRules) {
    const auto resemblance = connection.history().compare(bytes);
    const int status = statusOf(bytes);
    metrics::counter("unsolicited_responses_total", "resemblance", name(resemblance)).add();
    (log::debug() << "bytes arrived that no request waits for")
        .kv("connection", connection.id())
        .kv("endpoint", connection.endpoint())
        .kv("status", status)
        .kv("resemblance", name(resemblance));
    responseRules.unsolicited(connection.lastMessage(), status, resemblance);
}

std::string_view activityOnIdle(const EndpointConnection& connection, rules::ResponseRules& responseRules) {
    switch (net::unreadState(connection.fd())) {
        case net::UnreadState::nothing: return {};
        case net::UnreadState::end: return "ended_by_endpoint";
        case net::UnreadState::broken: return "broken";
        case net::UnreadState::bytes: break;
    }
    reportUnsolicited(connection, net::peekArrived(connection.fd()), responseRules);
    return "unsolicited_bytes";
}

}  // namespace laurelhaven::delivery
