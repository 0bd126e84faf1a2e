#include "http_client/response_reader.hpp"

#include <algorithm>
#include <array>
#include <utility>

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

ReceivedResponse ResponseReader::next(net::Deadline until) {
    ReceivedResponse response;
    if (parser_.state() == State::complete) parser_.next();
    response.bytes = std::exchange(following_, {});
    readUntilOver(response, until);
    response.completeness = completenessOf(parser_);
    // A body without a length lasts until the connection closes. What has come of it by now is enough, as
    // only the head matters.
    if (response.completeness == Completeness::partial && parser_.finish() == State::complete) {
        response.completeness = Completeness::complete;
        response.untilClose = true;
    }
    if (response.isComplete()) response.leftover = parser_.leftover();
    following_ = response.bytes.substr(response.bytes.size() - response.leftover);
    response.bytes.resize(response.bytes.size() - response.leftover);
    response.message = std::move(parser_.message());
    return response;
}

void ResponseReader::readUntilOver(ReceivedResponse& response, net::Deadline until) {
    std::size_t total = response.bytes.size();
    for (;;) {
        skipInterimResponses(response);
        if (parser_.begun() && !response.firstByteAt) response.firstByteAt = net::Steady::now();
        if (isOver(parser_) || total >= limits_.totalBytes) return;
        const auto deadline =
            response.firstByteAt ? std::min(until, *response.firstByteAt + limits_.remainder) : until;
        std::string received;
        response.lastIo = net::receive(fd_, received, deadline);
        if (response.lastIo != net::IoResult::done) return;
        total += received.size();
        response.bytes += received;
        parser_.feed(received);
    }
}

void ResponseReader::skipInterimResponses(ReceivedResponse& response) {
    while (parser_.state() == State::complete && parser_.message().status < 200) {
        response.bytes.erase(0, response.bytes.size() - parser_.leftover());
        response.firstByteAt.reset();
        parser_.next();
    }
}

}  // namespace laurelhaven::http_client
