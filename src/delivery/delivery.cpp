#include "delivery/delivery.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>
#include <utility>

#include "delivery/idle_activity.hpp"
#include "delivery/response_result.hpp"
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

std::string formatAttempt(const DueAttempt& dueAttempt, bool announceClose) {
    const auto leftMs = std::chrono::ceil<milliseconds>(dueAttempt.tryUntil - net::Steady::now()).count();
    http::Fields fields{{"Req-Id", dueAttempt.id},
                        {"Req-Deadline-Ms", std::to_string(std::max<long>(leftMs, 1))}};
    if (!dueAttempt.key.empty()) fields.emplace_back("Idempotency-Key", dueAttempt.key);
    if (announceClose) fields.emplace_back("Connection", "close");
    return http::formatRequest("POST", "/hook", dueAttempt.address, fields, *dueAttempt.body);
}

/// What came back for a request, and what it was taken for.
struct JudgedResponse {
    const http_client::ReceivedResponse& response;
    net::Deadline sentAt;
    http_client::Resemblance resemblance;
    rules::ResponseVerdict verdict;
};

void logResponse(const DueAttempt& dueAttempt, const EndpointConnection& connection,
                 const JudgedResponse& judged) {
    const auto& response = judged.response;
    if (connection.hasCarriedResponse())
        metrics::counter("responses_on_reused_connections_total", "resemblance", name(judged.resemblance))
            .add();
    metrics::counter("response_verdicts_total", "verdict", name(judged.verdict)).add();
    const bool incomplete =
        !response.isComplete() && response.completeness != http_client::Completeness::none;
    const bool unattributed = judged.verdict == rules::ResponseVerdict::unattributable;
    auto line = incomplete || unattributed ? log::info() : log::debug();
    if (incomplete) line << "the response of endpoint " << dueAttempt.endpoint << " is malformed";
    else if (unattributed)
        line << "the response of endpoint " << dueAttempt.endpoint << " may be an earlier one";
    else line << "response received";
    line.kv("id", dueAttempt.id)
        .kv("call", dueAttempt.attempt + 1)
        .kv("connection", connection.id())
        .kv("request", connection.requests())
        .kv("endpoint", dueAttempt.endpoint)
        .kv("status", response.message.status)
        .kv("received", name(response.completeness))
        .kv("resemblance", name(judged.resemblance))
        .kv("verdict", name(judged.verdict))
        .kv("bytes", response.bytes.size())
        .kv("leftover", response.leftover);
    if (response.firstByteAt)
        line.kv("first_byte_ms", (*response.firstByteAt - judged.sentAt) / milliseconds(1));
}

}  // namespace

Delivery::Delivery(const config::Config& config, decisions::Decisions& decisions)
    : config_(config),
      decisions_(decisions),
      responseRules_(decisions.violations()),
      responseMemory_("endpoint_responses", config::memoryPlan(config).endpointResponses),
      idleConnections_(
          kReuseDelay,
          std::chrono::nanoseconds(static_cast<long>(config.settings.keepAlive.count() * kKeepAliveShare)),
          config::shares(config).idle, responseRules_) {}

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
                    .kv("status", result.responseStatus)
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

/// Counts and logs a connect to an endpoint.
void Delivery::logConnect(const DueAttempt& dueAttempt, const EndpointConnection& connection,
                          std::string_view outcome, net::Deadline begunAt) {
    metrics::counter("endpoint_connects_total", "outcome", outcome).add();
    (log::debug() << "connect to an endpoint")
        .kv("id", dueAttempt.id)
        .kv("connection", connection.id())
        .kv("endpoint", dueAttempt.endpoint)
        .kv("outcome", outcome)
        .kv("took_ms", (net::Steady::now() - begunAt) / milliseconds(1));
}

AttemptResult Delivery::deliver(const DueAttempt& dueAttempt) {
    const auto address = net::parseAddress(dueAttempt.address);
    if (!address) return {};
    auto idle = idleConnections_.acquire(dueAttempt.endpoint, dueAttempt.address, dueAttempt.mayBeRepeated);
    for (;;) {
        auto connection = idle
                              ? std::move(*std::exchange(idle, std::nullopt))
                              : EndpointConnection(dueAttempt.endpoint, dueAttempt.address, net::tcpSocket());
        if (connection.fd() < 0) return endedWith(AttemptStatus::unsent);  // no file descriptor is free
        const bool reused = connection.isConnected();
        bool keep = false;
        const AttemptResult result = sendRequest(dueAttempt, *address, connection, keep);
        // The connection is released only here, where a cancellation of this attempt can't shut it any more.
        if (keep) {
            idleConnections_.release(std::move(connection));
        } else {
            const auto reason = decisions::name(result.status);
            metrics::counter("attempt_connections_closed_total", "after", reason).add();
            connection.close(reason);
        }
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

AttemptResult Delivery::sendRequest(const DueAttempt& dueAttempt, const net::Address& address,
                                    EndpointConnection& connection, bool& keep) {
    const int fd = connection.fd();
    const bool reused = connection.isConnected();
    if (dueAttempt.cancelToken.stop_requested()) return endedWith(AttemptStatus::unsent);
    const auto begunAt = net::Steady::now();
    const auto until = std::min(dueAttempt.tryUntil, begunAt + config_.settings.connectTimeout);
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
    if (!reused) {
        const bool connected = begun && net::finishConnect(fd, until);
        const bool cancelled = dueAttempt.cancelToken.stop_requested();
        logConnect(dueAttempt, connection,
                   connected   ? "connected"
                   : cancelled ? "cancelled"
                               : "failed",
                   begunAt);
        if (!connected) return endedWith(cancelled ? AttemptStatus::unsent : AttemptStatus::noConnection);
        connection.setConnected();
    }
    // Bytes that arrived on an idle connection belong to an earlier request. Checked before the attempt is
    // recorded, so that an attempt that was never sent is not recorded, and again after it, as recording may
    // have taken long.
    const auto stillIdle = [&] { return activityOnIdle(connection, responseRules_).empty(); };
    rules::SentRequest request{
        dueAttempt.endpoint, dueAttempt.address, connection.carried(), dueAttempt.mayBeRepeated, false,
        dueAttempt.tryUntil};
    // Another response may have shown meanwhile how the endpoint responds.
    if (reused && !(stillIdle() && responseRules_.mayCarry(request)))
        return endedWith(AttemptStatus::noConnection);
    if (!decisions_.tryBeginAttempt(dueAttempt)) {
        keep = !dueAttempt.cancelToken.stop_requested();
        return endedWith(AttemptStatus::unsent);
    }
    if (reused && !stillIdle()) return endedWith(AttemptStatus::noConnection);
    request.closeAnnounced = responseRules_.mustAnnounceClose(request);
    const auto text = formatAttempt(dueAttempt, request.closeAnnounced);
    const auto firstByteAt = net::Steady::now();
    if (net::sendAll(fd, text, dueAttempt.tryUntil) != net::IoResult::done)
        return endedWith(AttemptStatus::noConnection);
    const auto sentAt = net::Steady::now();
    connection.requestSent(dueAttempt.id);
    decisions_.recordSent(dueAttempt, firstByteAt);
    auto result = receiveResponse(dueAttempt, connection, request, sentAt, keep);
    result.stale = result.stale || (reused && result.status == AttemptStatus::reset &&
                                    net::Steady::now() - sentAt < kStaleConnectionWindow);
    return result;
}

// Reads responses until one is the request's own by rules::ResponseRules, or none can be.
AttemptResult Delivery::receiveResponse(const DueAttempt& dueAttempt, EndpointConnection& connection,
                                        const rules::SentRequest& request, net::Deadline sentAt, bool& keep) {
    using rules::ResponseVerdict;
    http_client::ResponseReader reader(connection.fd(),
                                       {{}, kMaxResponseBytes, &responseMemory_, kResponseRemainderTimeout});
    std::optional<http_client::ReceivedResponse> repeated;
    auto readUntil = request.deadline;
    for (;;) {
        auto response = reader.next(readUntil);
        // A cancellation shuts the connection, which must not count as an end by the endpoint.
        if (dueAttempt.cancelToken.stop_requested() && !response.isComplete() &&
            (repeated || response.message.status != rules::kDelivered))
            return resultWithoutOwn(AttemptStatus::cancelled, response, repeated);
        const auto resemblance = connection.history().compare(response.bytes);
        const rules::ArrivedResponse arrived{
            response.completeness,
            resemblance,
            response.message.status,
            http_client::contentHash(response.message),
            !response.message.keepsAlive(),
            connection.history().mayBeginWithPart(response, reader.following())};
        const auto verdict = responseRules_.judge(request, arrived, repeated ? repeated->message.status : 0,
                                                  net::Steady::now());
        logResponse(dueAttempt, connection, {response, sentAt, resemblance, verdict});
        // If it is the request's own, the wait that it announces runs from now.
        if (verdict != ResponseVerdict::own && response.isComplete())
            decisions_.announceWait(dueAttempt, interpretResponse(response.message).wait);
        switch (verdict) {
            case ResponseVerdict::own:
                connection.responseReceived(response);
                if (response.leftover > 0) reportUnsolicited(connection, reader.following(), responseRules_);
                keep = response.keepsAlive() && !connection.history().isFull() &&
                       responseRules_.mayReuse(request);
                return resultOfOwn(response);
            case ResponseVerdict::repeated:
                repeated = std::move(response);
                readUntil = rules::ResponseRules::readOnUntil(request, repeated->message.status,
                                                              repeated->firstByteAt.value());
                break;
            case ResponseVerdict::noneProven:
                if (repeated->message.status != rules::kDelivered && !request.closeAnnounced)
                    return resultOfUnattributed(*repeated, response);
                return resultWithoutOwn(response.lastIo == net::IoResult::timedOut ? AttemptStatus::timedOut
                                                                                   : AttemptStatus::reset,
                                        response, repeated);
            case ResponseVerdict::unattributable: return resultOfUnattributed(response, repeated);
        }
    }
}

}  // namespace laurelhaven::delivery
