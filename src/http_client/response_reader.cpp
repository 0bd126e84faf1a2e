#include "http_client/response_reader.hpp"

#include <algorithm>
#include <array>

namespace laurelhaven::http_client {
namespace {

using State = http::Parser::State;

bool isOver(const http::Parser& parser) {
    return parser.state() == State::complete || parser.state() == State::bad;
}

Completeness completenessOf(const http::Parser& parser) {
    if (parser.state() == State::complete) return Completeness::complete;
    if (parser.state() == State::bad) return Completeness::malformed;
    return parser.begun() ? Completeness::partial : Completeness::none;
}

}  // namespace

std::string_view name(Completeness completeness) {
    static constexpr std::array<std::string_view, 4> kNames{"none", "partial", "malformed", "complete"};
    return kNames[static_cast<std::size_t>(completeness)];
}

ReceivedResponse receiveResponse(int fd, net::Deadline until, const ReadLimits& limits) {
    http::Parser parser(http::Parser::Role::response, limits.http);
    ReceivedResponse response;
    auto deadline = until;
    std::size_t total = 0;
    while (!isOver(parser) && total < limits.totalBytes) {
        std::string received;
        response.lastIo = net::receive(fd, received, deadline);
        if (response.lastIo != net::IoResult::done) break;
        total += received.size();
        response.bytes += received;
        parser.feed(received);
        while (parser.state() == State::complete && parser.message().status < 200) {
            response.bytes.erase(0, response.bytes.size() - parser.leftover());
            response.firstByteAt.reset();
            parser.next();
        }
        if (!parser.begun()) {
            deadline = until;
        } else if (!response.firstByteAt) {
            response.firstByteAt = net::Steady::now();
            deadline = std::min(until, *response.firstByteAt + limits.remainder);
        }
    }
    response.completeness = completenessOf(parser);
    // A body without a length lasts until the connection closes. What has come of it by now is enough, as
    // only the head matters.
    if (response.completeness == Completeness::partial && parser.finish() == State::complete) {
        response.completeness = Completeness::complete;
        response.untilClose = true;
    }
    if (response.isComplete()) response.leftover = parser.leftover();
    response.bytes.resize(response.bytes.size() - response.leftover);
    response.message = std::move(parser.message());
    return response;
}

}  // namespace laurelhaven::http_client
