#include "delivery/idle_activity.hpp"

#include "http/message.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::delivery {
namespace {

/// The response that these bytes begin with.
struct FirstResponse {
    std::string_view bytes;  ///< all of them, if they hold no whole response
    int status = 0;          ///< 0: they hold no whole response
};

FirstResponse firstOf(std::string_view bytes) {
    http::Parser parser(http::Parser::Role::response);
    if (parser.feed(bytes) != http::Parser::State::complete) return {bytes, 0};
    return {bytes.substr(0, bytes.size() - parser.leftover()), parser.message().status};
}

}  // namespace

void reportUnsolicited(const EndpointConnection& connection, std::string_view bytes,
                       rules::ResponseRules& responseRules) {
    const auto response = firstOf(bytes);
    const auto resemblance = connection.history().compare(response.bytes);
    metrics::counter("unsolicited_responses_total", "resemblance", name(resemblance)).add();
    (log::debug() << "bytes arrived that no request waits for")
        .kv("connection", connection.id())
        .kv("endpoint", connection.endpoint())
        .kv("status", response.status)
        .kv("resemblance", name(resemblance));
    responseRules.unsolicited(connection.lastMessage(), response.status, resemblance);
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
