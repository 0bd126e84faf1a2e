#include "delivery/delivery.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::delivery {
namespace {

using decisions::AttemptResult;
using decisions::AttemptStatus;
using decisions::DueAttempt;
using std::chrono::milliseconds;

// Responses arrive in one piece, or nearly: the rest of one that takes longer than this after its first byte
// is not expected any more.
constexpr milliseconds kResponseRemainderTimeout{250};
// A reused connection that breaks within this time after a request was written to it had been closed by the
// endpoint, or dropped by a device on the way, before the request arrived (RFC 9112, 9.3.1). Where endpoints
// often do that, three such resets in a row would look like an outage, and a healthy destination would go
// through a whole warm-up under peak load; so they are marked as stale. An endpoint that has died is still
// detected, because the next attempt needs a new connection.
constexpr milliseconds kStaleConnectionWindow{25};
constexpr std::size_t kMaxResponseBytes = 128 * 1024;  // larger than any response with its 1xx responses

/// Returns a numeric field of the Srv-Load header ("name=value,...").
std::optional<double> loadField(std::string_view header, std::string_view name) {
    for (const auto part : http::split(header, ",")) {
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
            return http::parseDecimal(part.substr(equals + 1));
    }
    return {};
}

}  // namespace

AttemptResult interpretResponse(const http::Message& response) {
    AttemptResult result;
    const auto& headers = response.headers;
    switch (response.status) {
        case 200: result.status = AttemptStatus::delivered; break;
        case 429: result.status = AttemptStatus::rejected; break;
        case 503: {
            // All slots of this sender were in use: that says nothing about the destination.
            const auto* egressFull = headers.find("X-Egress-Full");
            result.status =
                egressFull && *egressFull == "1" ? AttemptStatus::notForwarded : AttemptStatus::rejected;
            break;
        }
        case 504: result.status = AttemptStatus::notForwarded; break;
        case 410:
            result.status = AttemptStatus::notForwarded;
            result.messageFinished = true;
            break;
        default:
            result.status = AttemptStatus::error;
            // The destination's endpoints never reject a request as unknown: another server has the address.
            result.unexpectedServer =
                response.status >= 400 && response.status < 500 && response.status != 408;
    }
    if (result.status == AttemptStatus::rejected) {
        if (const auto* wait = headers.find("Retry-After")) {
            const auto seconds = http::parseDecimal(*wait);
            if (seconds)
                result.wait = std::chrono::nanoseconds(static_cast<long>(std::min(*seconds, 3600.0) * 1e9));
            else log::warning() << "ignored a Retry-After header that is not a number";
        }
    }
    if (const auto* load = headers.find("Srv-Load")) {
        result.allowanceLeft = loadField(*load, "x0");
        result.allowedRate = loadField(*load, "x1");
        if (!result.allowanceLeft && !result.allowedRate)
            log::warning() << "ignored a Srv-Load header without a valid x0 or x1 field";
    }
    return result;
}

Delivery::Delivery(const config::Config& config, decisions::Decisions& decisions)
    : config_(config),
      decisions_(decisions),
      idleConnections_(
          kReuseDelay,
          std::chrono::nanoseconds(static_cast<long>(config.settings.keepAlive.count() * kKeepAliveShare)),
          config::shares(config).idle) {}

void Delivery::start() {
    threads_.emplace_back("idle", [this] { idleConnections_.runExpiry(); });
    for (std::size_t i = 0; i < config::shares(config_).calls; ++i)
        threads_.emplace_back("call", [this] {
            while (const auto dueAttempt = decisions_.takeDueAttempt()) {
                const auto startedAt = net::Steady::now();
                const AttemptResult result = deliver(*dueAttempt);
                const auto tookMs =
                    std::chrono::duration_cast<milliseconds>(net::Steady::now() - startedAt).count();
                (log::debug() << "attempt ended")
                    .kv("id", dueAttempt->id)
                    .kv("call", dueAttempt->attempt + 1)
                    .kv("endpoint", dueAttempt->endpoint)
                    .kv("destination", dueAttempt->destination)
                    .kv("ending", decisions::name(result.status))
                    .kv("wait_ms", result.wait.count() / 1000000)
                    .kv("left", result.allowanceLeft.value_or(-1))
                    .kv("limit", result.allowedRate.value_or(-1))
                    .kv("took_ms", tookMs);
                decisions_.recordResult(*dueAttempt, result);
            }
        });
}

void Delivery::stop() {
    idleConnections_.stop();
    threads_.clear();
}

AttemptResult Delivery::deliver(const DueAttempt& dueAttempt) {
    const auto address = net::parseAddress(dueAttempt.address);
    if (!address) return {};
    net::Fd fd = idleConnections_.acquire(dueAttempt.endpoint, dueAttempt.address);
    for (;;) {
        const bool reused = static_cast<bool>(fd);
        bool keep = false;
        if (!reused) fd = net::tcpSocket();
        if (!fd)
            return AttemptResult{AttemptStatus::unsent, false, {}, {}, {}};  // no file descriptor is free
        const AttemptResult result = sendRequest(dueAttempt, *address, fd.get(), reused, keep);
        // The connection is released only here, where a cancellation of this attempt can't shut it any more.
        if (keep) {
            idleConnections_.release(dueAttempt.endpoint, dueAttempt.address, std::move(fd));
        } else {
            const auto reason = decisions::name(result.status);
            metrics::counter("attempt_connections_closed_total", "after", reason).add();
            (log::debug() << "closing connection after an attempt")
                .kv("id", dueAttempt.id)
                .kv("endpoint", dueAttempt.endpoint)
                .kv("after", reason);
        }
        fd.reset();
        // An endpoint starts on a request only after its last byte: a reused connection that broke before
        // that is no failure, and the request is sent again on a new one.
        if (!reused || result.status != AttemptStatus::noConnection ||
            dueAttempt.cancelToken.stop_requested())
            return result;
        // Connecting may take long. If the process were killed meanwhile, the attempt, which has not been
        // sent, would stand in the journal as one that may have run.
        decisions_.attemptNotSent(dueAttempt);
    }
}

AttemptResult Delivery::sendRequest(const DueAttempt& dueAttempt, const net::Address& address, int fd,
                                    bool reused, bool& keep) {
    const auto endedWith = [](AttemptStatus status) { return AttemptResult{status, false, {}, {}, {}}; };
    if (dueAttempt.cancelToken.stop_requested()) return endedWith(AttemptStatus::unsent);
    const auto until = std::min(dueAttempt.tryUntil, net::Steady::now() + config_.settings.connectTimeout);
    const auto start = reused ? net::ConnectStart::started : net::beginConnect(fd, address);
    if (start == net::ConnectStart::localFailure) {
        log::debug() << "attempt for message " << dueAttempt.id
                     << ": connect failed locally: " << std::strerror(errno);
        return endedWith(AttemptStatus::unsent);
    }
    const bool begun = start == net::ConnectStart::started;
    // Set up after the connect has begun: shutting a socket before that has no effect, and a connect to an
    // address that does not respond would delay a planned stop.
    const std::stop_callback shutOnCancel(dueAttempt.cancelToken, [fd] { net::shutdownBoth(fd); });
    if (!reused && !(begun && net::finishConnect(fd, until)))
        return endedWith(dueAttempt.cancelToken.stop_requested() ? AttemptStatus::unsent
                                                                 : AttemptStatus::noConnection);
    // Bytes that arrived on an idle connection belong to an earlier request. Checked before the attempt is
    // recorded, so that an attempt that was never sent is not recorded, and again after it, as recording may
    // have taken long.
    if (reused && !net::isIdle(fd)) return endedWith(AttemptStatus::noConnection);
    if (!decisions_.tryBeginAttempt(dueAttempt)) {
        keep = !dueAttempt.cancelToken.stop_requested();
        return endedWith(AttemptStatus::unsent);
    }
    if (reused && !net::isIdle(fd)) return endedWith(AttemptStatus::noConnection);
    const auto leftMs = std::chrono::ceil<milliseconds>(dueAttempt.tryUntil - net::Steady::now()).count();
    http::Fields fields{{"Req-Id", dueAttempt.id},
                        {"Req-Deadline-Ms", std::to_string(std::max<long>(leftMs, 1))}};
    if (!dueAttempt.key.empty()) fields.emplace_back("Idempotency-Key", dueAttempt.key);
    const auto request = http::formatRequest("POST", "/hook", dueAttempt.address, fields, *dueAttempt.body);
    const auto firstByteAt = net::Steady::now();
    if (net::sendAll(fd, request, dueAttempt.tryUntil) != net::IoResult::done)
        return endedWith(AttemptStatus::noConnection);
    const auto sentAt = net::Steady::now();
    decisions_.recordSent(dueAttempt, firstByteAt);
    auto result = receiveResponse(dueAttempt, fd, keep);
    result.stale = reused && result.status == AttemptStatus::reset &&
                   net::Steady::now() - sentAt < kStaleConnectionWindow;
    return result;
}

// A response may be malformed: noise, a head that can't be parsed or never ends, a wrong length, an endless
// body. The request has run by then, and a connection left open would give the rest of this response to the
// next request. So a response must end within kResponseRemainderTimeout of its first byte and within
// kMaxResponseBytes; otherwise its status line alone decides and the connection is closed. A status of 200
// counts as delivered whatever follows it.
AttemptResult Delivery::receiveResponse(const DueAttempt& dueAttempt, int fd, bool& keep) {
    using State = http::Parser::State;
    http::Parser parser(http::Parser::Role::response);
    auto until = dueAttempt.tryUntil;
    auto io = net::IoResult::done;
    std::size_t bytes = 0;
    bool begun = false;
    while (parser.state() != State::complete && parser.state() != State::bad && bytes < kMaxResponseBytes) {
        std::string received;
        io = net::receive(fd, received, until);
        if (io != net::IoResult::done) break;
        bytes += received.size();
        parser.feed(received);
        // 1xx responses are interim; the final response may still take until the end of the attempt.
        while (parser.state() == State::complete && parser.message().status < 200) parser.next();
        if (!begun && parser.begun()) until = std::min(until, net::Steady::now() + kResponseRemainderTimeout);
        begun = parser.begun();
        if (!begun) until = dueAttempt.tryUntil;
    }
    const auto endedWith = [](AttemptStatus status) { return AttemptResult{status, false, {}, {}, {}}; };
    keep = parser.state() == State::complete && parser.message().keepsAlive() && parser.leftover() == 0;
    // Without a length the body would last until the connection closes; only the head matters.
    if (parser.state() == State::complete || parser.finish() == State::complete)
        return interpretResponse(parser.message());
    if (parser.message().status == 200) return endedWith(AttemptStatus::delivered);
    if (dueAttempt.cancelToken.stop_requested()) return endedWith(AttemptStatus::cancelled);
    if (!begun)
        return endedWith(io == net::IoResult::timedOut ? AttemptStatus::timedOut : AttemptStatus::reset);
    if (io == net::IoResult::closed || io == net::IoResult::broken) return endedWith(AttemptStatus::reset);
    log::info() << "the response of endpoint " << dueAttempt.endpoint << " is malformed";
    return endedWith(AttemptStatus::error);
}

}  // namespace laurelhaven::delivery
