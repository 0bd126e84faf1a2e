#include "http_client/response_reader.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "metrics/metrics.hpp"

namespace laurelhaven::http_client {
namespace {

using State = http::Parser::State;

constexpr std::size_t kUnsharedBytes = 16 * 1024;

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
    previousBytes_ = http::allocatedBytes(response.bytes) + parser_.allocatedBytes();
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
        http::appendWithin(response.bytes, received, limits_.totalBytes + received.size());
        parser_.feed(received);
        if (!reserveMemory(response)) return;
    }
}

/// Every response may occupy a little; only large ones take from what all share.
bool ResponseReader::reserveMemory(const ReceivedResponse& response) {
    const auto bytes = http::allocatedBytes(response.bytes) + parser_.allocatedBytes() + previousBytes_;
    if (memory_.growTo(bytes - std::min(bytes, kUnsharedBytes))) return true;
    metrics::counter("responses_cut_total", "reason", "memory").add();
    return false;
}

void ResponseReader::skipInterimResponses(ReceivedResponse& response) {
    while (parser_.state() == State::complete && parser_.message().status < 200) {
        response.bytes.erase(0, response.bytes.size() - parser_.leftover());
        response.firstByteAt.reset();
        parser_.next();
    }
}

}  // namespace laurelhaven::http_client
