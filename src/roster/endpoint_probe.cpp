#include "roster/endpoint_probe.hpp"

#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::roster {
namespace {

constexpr std::size_t kMaxResponseBytes = 16 * 1024;

/// Reads until the response is whole, malformed or too long.
void readResponse(int fd, net::Deadline deadline, http::Parser& parser) {
    using State = http::Parser::State;
    std::size_t bytes = 0;
    while (parser.state() != State::complete && parser.state() != State::bad && bytes < kMaxResponseBytes) {
        std::string chunk;
        if (net::receive(fd, chunk, deadline) != net::IoResult::done) break;
        bytes += chunk.size();
        parser.feed(chunk);
        while (parser.state() == State::complete && parser.message().status < 200) parser.next();
    }
}

/// The limit in the load report of a response; 0 where there is none.
double announcedRateLimit(const http::Message& message) {
    const auto* load = message.headers.find("Srv-Load");
    if (!load) return 0;
    for (const auto part : http::split(*load, ",")) {
        constexpr std::string_view kLimit = "x1=";
        if (part.substr(0, kLimit.size()) != kLimit) continue;
        return http::parseDecimal(part.substr(kLimit.size())).value_or(0);
    }
    return 0;
}

}  // namespace

ProbeAnswer sendProbe(const std::string& address, std::chrono::milliseconds timeout,
                      const std::stop_token& stopped, const std::function<bool()>& mayAsk) {
    ProbeAnswer answer;
    const auto deadline = net::Steady::now() + timeout;
    const auto parsed = net::parseAddress(address);
    if (!parsed) return answer;
    net::Fd fd = net::tcpSocket();
    if (!fd) return answer;
    const int raw = fd.get();
    const bool begun = net::beginConnect(raw, *parsed) == net::ConnectStart::started;
    const std::stop_callback shut(stopped, [raw] { net::shutdownBoth(raw); });
    if (!begun || !net::finishConnect(raw, deadline)) return answer;
    answer.withdrawn = !mayAsk();
    if (answer.withdrawn) return answer;
    const auto request = http::formatRequest("GET", "/health/live", address, {{"Connection", "close"}}, {});
    if (net::sendAll(raw, request, deadline) != net::IoResult::done) return answer;
    http::Parser parser(http::Parser::Role::response);
    readResponse(raw, deadline, parser);
    const bool whole =
        parser.state() == http::Parser::State::complete || parser.finish() == http::Parser::State::complete;
    if (!whole) return answer;
    answer.status = parser.message().status;
    answer.announcedRateLimit = announcedRateLimit(parser.message());
    return answer;
}

}  // namespace laurelhaven::roster
