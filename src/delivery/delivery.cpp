#include "delivery/delivery.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>

#include "log/log.hpp"

namespace laurelhaven::delivery {
namespace {

using decisions::AttemptResult;
using decisions::AttemptStatus;
using decisions::DueAttempt;
using std::chrono::milliseconds;

// An answer comes in one piece, or nearly: what has not come so long after its first byte never will.
constexpr milliseconds kResponseRemainderTimeout{250};
// A kept connection that breaks so soon after a request was written to it had been closed, or dropped by
// something on the way, before the request came (RFC 9112, 9.3.1). Danger: where partners do that often,
// three on end look like an outage, and a partner that is well is eased in for a whole warm-up, on the day of
// the highest load. An endpoint that died is seen all the same: the next call needs a new connection.
constexpr milliseconds kStaleConnectionWindow{25};
constexpr std::size_t kMaxResponseBytes =
    128 * 1024;  // more bytes than any answer has, 1xx ones before it included

std::optional<double> loadField(std::string_view report, std::string_view name) {
    for (const auto part : http::split(report, ",")) {
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
            return http::parseDecimal(part.substr(equals + 1));
    }
    return {};
}

}  // namespace

AttemptResult interpretResponse(const http::Message& answer) {
    AttemptResult result;
    const auto& headers = answer.headers;
    switch (answer.status) {
        case 200: result.status = AttemptStatus::delivered; break;
        case 429: result.status = AttemptStatus::rejected; break;
        case 503: {
            // All slots of this sender were taken: that says nothing about the partner.
            const auto* ours = headers.find("X-Egress-Full");
            result.status = ours && *ours == "1" ? AttemptStatus::notForwarded : AttemptStatus::rejected;
            break;
        }
        case 504: result.status = AttemptStatus::notForwarded; break;
        case 410:
            result.status = AttemptStatus::notForwarded;
            result.messageFinished = true;
            break;
        default:
            result.status = AttemptStatus::error;
            // One of ours never says that it does not know such a message: the address is somebody else's.
            result.unexpectedServer = answer.status >= 400 && answer.status < 500 && answer.status != 408;
    }
    if (result.status == AttemptStatus::rejected) {
        if (const auto* wait = headers.find("Retry-After")) {
            const auto seconds = http::parseDecimal(*wait);
            if (seconds)
                result.wait = std::chrono::nanoseconds(static_cast<long>(std::min(*seconds, 3600.0) * 1e9));
            else log::warning() << "skipped a Retry-After that is no number";
        }
    }
    if (const auto* load = headers.find("Srv-Load")) {
        result.allowanceLeft = loadField(*load, "x0");
        result.allowedRate = loadField(*load, "x1");
        if (!result.allowanceLeft && !result.allowedRate)
            log::warning() << "skipped a Srv-Load that can't be read";
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
                const auto begun = net::Steady::now();
                const AttemptResult result = deliver(*dueAttempt);
                const auto took =
                    std::chrono::duration_cast<milliseconds>(net::Steady::now() - begun).count();
                (log::debug() << "call ended")
                    .kv("id", dueAttempt->id)
                    .kv("call", dueAttempt->attempt + 1)
                    .kv("endpoint", dueAttempt->endpoint)
                    .kv("destination", dueAttempt->destination)
                    .kv("ending", decisions::name(result.status))
                    .kv("wait_ms", result.wait.count() / 1000000)
                    .kv("left", result.allowanceLeft.value_or(-1))
                    .kv("limit", result.allowedRate.value_or(-1))
                    .kv("took_ms", took);
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
            return AttemptResult{AttemptStatus::unsent, false, {}, {}, {}};  // no descriptor is to be had
        const AttemptResult result = sendRequest(dueAttempt, *address, fd.get(), reused, keep);
        // Only now, when no call-off can shut it any more, may another call have the connection.
        if (keep) idleConnections_.release(dueAttempt.endpoint, dueAttempt.address, std::move(fd));
        fd.reset();
        // Before the last byte the endpoint has not begun: a warm connection found dead is no failure yet.
        if (!reused || result.status != AttemptStatus::noConnection ||
            dueAttempt.cancelToken.stop_requested())
            return result;
        // Danger: the new connection may take long, and a kill meanwhile would leave an attempt that never
        // left on record as one that may have run.
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
        log::debug() << "call " << dueAttempt.id << ": no connect can begin: " << std::strerror(errno);
        return endedWith(AttemptStatus::unsent);
    }
    const bool begun = start == net::ConnectStart::started;
    // Danger: set up before the connect has begun, this would shut nothing, and a connect to a silent address
    // would outlast a planned stop.
    const std::stop_callback shutOnCancel(dueAttempt.cancelToken, [fd] { net::shutdownBoth(fd); });
    if (!reused && !(begun && net::finishConnect(fd, until)))
        return endedWith(dueAttempt.cancelToken.stop_requested() ? AttemptStatus::unsent
                                                                 : AttemptStatus::noConnection);
    // What came meanwhile on a connection that stood idle belongs to an earlier call. Looked at before the
    // attempt is on record, or one that surely never left would be; and again after, as that may have taken
    // its time.
    if (reused && !net::isIdle(fd)) return endedWith(AttemptStatus::noConnection);
    if (!decisions_.tryBeginAttempt(dueAttempt)) {
        keep = !dueAttempt.cancelToken.stop_requested();
        return endedWith(AttemptStatus::unsent);
    }
    if (reused && !net::isIdle(fd)) return endedWith(AttemptStatus::noConnection);
    const auto left = std::chrono::ceil<milliseconds>(dueAttempt.tryUntil - net::Steady::now()).count();
    http::Fields fields{{"Req-Id", dueAttempt.id},
                        {"Req-Deadline-Ms", std::to_string(std::max<long>(left, 1))}};
    if (!dueAttempt.key.empty()) fields.emplace_back("Idempotency-Key", dueAttempt.key);
    const auto bytes = http::formatRequest("POST", "/hook", dueAttempt.address, fields, *dueAttempt.body);
    const auto firstByteAt = net::Steady::now();
    if (net::sendAll(fd, bytes, dueAttempt.tryUntil) != net::IoResult::done)
        return endedWith(AttemptStatus::noConnection);
    const auto sentAt = net::Steady::now();
    decisions_.recordSent(dueAttempt, firstByteAt);
    auto result = receiveResponse(dueAttempt, fd, keep);
    result.stale = reused && result.status == AttemptStatus::reset &&
                   net::Steady::now() - sentAt < kStaleConnectionWindow;
    return result;
}

// Danger: an answer may be spoilt: noise, a head that can't be read or never ends, a length that does not
// fit, a body that keeps coming. The request has run then, and the connection, open as it may be, would give
// the next call the rest of this answer. So: what has begun must end soon, in few bytes; where it does not,
// the first line decides alone, and the connection goes. A 200 there is a delivery whatever follows it.
AttemptResult Delivery::receiveResponse(const DueAttempt& dueAttempt, int fd, bool& keep) {
    using State = http::Parser::State;
    http::Parser parser(http::Parser::Role::response);
    auto until = dueAttempt.tryUntil;
    auto io = net::IoResult::done;
    std::size_t bytes = 0;
    bool begun = false;
    while (parser.state() != State::complete && parser.state() != State::bad && bytes < kMaxResponseBytes) {
        std::string got;
        io = net::receive(fd, got, until);
        if (io != net::IoResult::done) break;
        bytes += got.size();
        parser.feed(got);
        // 1xx answers say nothing yet; the answer proper may still take its time.
        while (parser.state() == State::complete && parser.message().status < 200) parser.next();
        if (!begun && parser.begun()) until = std::min(until, net::Steady::now() + kResponseRemainderTimeout);
        begun = parser.begun();
        if (!begun) until = dueAttempt.tryUntil;
    }
    const auto endedWith = [](AttemptStatus status) { return AttemptResult{status, false, {}, {}, {}}; };
    keep = parser.state() == State::complete && parser.message().keepsAlive() && parser.leftover() == 0;
    // A body without a length, or one that would go on to the connection's end: the head is all that counts.
    if (parser.state() == State::complete || parser.finish() == State::complete)
        return interpretResponse(parser.message());
    if (parser.message().status == 200) return endedWith(AttemptStatus::delivered);
    if (dueAttempt.cancelToken.stop_requested()) return endedWith(AttemptStatus::cancelled);
    if (!begun)
        return endedWith(io == net::IoResult::timedOut ? AttemptStatus::timedOut : AttemptStatus::reset);
    if (io == net::IoResult::closed || io == net::IoResult::broken) return endedWith(AttemptStatus::reset);
    log::info() << "an answer of " << dueAttempt.endpoint << " can't be read";
    return endedWith(AttemptStatus::error);
}

}  // namespace laurelhaven::delivery
