#include "front/client_connection.hpp"

#include <atomic>
#include <chrono>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::front {
namespace {

using std::chrono::milliseconds;

// Clients give up after 400 ms, so a request that is incomplete by then stays incomplete. A client that sends
// part of a request, or sends it byte by byte, is answered or closed this long after it connected, or after
// the first byte of a later request.
constexpr milliseconds kReadTimeout{2000};
constexpr milliseconds kWriteTimeout{1000};
constexpr milliseconds kIdleTimeout{10000};
// Limits for input discarded after the last response: closing with unread bytes would reset the connection
// and lose the response.
constexpr milliseconds kDrainTimeout{1000};
constexpr std::size_t kMaxDrainedBytes = 80 << 20;

constexpr Rejection kTooSlow{408, "too_slow", "the request took too long\n"};
constexpr Rejection kClosing{503, "closing", "no room, or stopping\n"};
constexpr Rejection kClientEnded{503, "client_ended_sending", "come again\n"};
constexpr Rejection kTrailingBytes{400, "trailing_bytes", "more follows than the request's length says\n"};
constexpr Rejection kNoMemory{503, "memory", "no room for the request\n"};

/// A request that can't be parsed, or is over a limit.
Rejection unreadable(int status) { return {status, "unreadable", "the request can't be taken\n"}; }

/// Counts a response, with one counter per status.
void countAnswer(int status) { metrics::counter("answers_total", "status", std::to_string(status)).add(); }

std::uint64_t nextId() {
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

}  // namespace

ClientConnection::ClientConnection(net::Fd fd, RequestHandler& handler, net::Deadline now)
    : id_(nextId()),
      fd_(std::move(fd)),
      handler_(handler),
      since_(now),
      deadline_(now + kReadTimeout),
      receivedAt_(now) {}

void ClientConnection::setPhase(Phase phase, net::Deadline now) {
    phase_ = phase;
    since_ = now;
}

void ClientConnection::askToClose() {
    askedToClose_ = true;
    net::shutdownRead(fd_.get());
}

void ClientConnection::onReady(net::Deadline now, net::Deadline arrivedSince) {
    if (!output_.empty()) return writeOutput(now);
    if (phase_ == Phase::draining) return discardInput();
    readInput(now, arrivedSince);
}

void ClientConnection::onDeadline(net::Deadline now, net::Deadline arrivedSince) {
    if (!output_.empty()) return outputLost();
    if (phase_ == Phase::draining) return close();
    // On a busy processor bytes may have arrived in time that have not been read yet.
    if (net::unreadState(fd_.get()) == net::UnreadState::bytes) readInput(now, arrivedSince);
    if (isClosed() || deadline_ > now || !output_.empty()) return;
    if (phase_ == Phase::reading) return reject(kTooSlow, now);
    closeWithoutResponse("silent");
}

void ClientConnection::beginRequest(net::Deadline now, net::Deadline arrivedSince) {
    deadline_ = (firstRequest_ ? since_ : now) + kReadTimeout;
    receivedAt_ = arrivedSince;
    setPhase(Phase::reading, now);
}

/// Reads what has arrived, and answers once a whole request is there.
void ClientConnection::readInput(net::Deadline now, net::Deadline arrivedSince) {
    using State = http::Parser::State;
    for (int reads = 0; parser_.state() == State::head || parser_.state() == State::body; ++reads) {
        if (parser_.state() == State::body && !continued_ &&
            parser_.message().headers.lists("Expect", "100-continue")) {
            continued_ = true;
            return write("HTTP/1.1 100 Continue\r\n\r\n", AfterWrite::readOn, now);
        }
        if (reads == handler_.maxReads() || !readArrived(now, arrivedSince)) return;
    }
    answerOrReject(now);
}

/// Feeds the parser. Returns false if nothing has arrived or the connection has ended.
bool ClientConnection::readArrived(net::Deadline now, net::Deadline arrivedSince) {
    // Kept, as an allocation for each read would scatter the connections over the heap.
    thread_local std::string bytes;
    bytes.clear();
    const auto io = net::receiveArrived(fd_.get(), bytes);
    if (io == net::IoResult::timedOut) return false;
    if (io == net::IoResult::done) {
        if (phase_ == Phase::fresh || phase_ == Phase::idle) beginRequest(now, arrivedSince);
        lastReadAt_ = now;
        parser_.feed(bytes);
        return true;
    }
    // This side ended reading, and the client may be writing the last byte of its request, which would
    // otherwise get no response.
    if (io == net::IoResult::closed && (firstRequest_ || parser_.begun()) && askedToClose_) {
        reject(kClosing, now);
        return false;
    }
    const bool ended = io == net::IoResult::closed;
    closeWithoutResponse(parser_.begun() ? (ended ? "half_request" : "broken_request") : "by_client");
    return false;
}

/// Decides about a request that is complete or malformed.
void ClientConnection::answerOrReject(net::Deadline now) {
    if (parser_.state() == http::Parser::State::bad) return reject(unreadable(parser_.errorStatus()), now);
    switch (rules::requestDisposition(parser_.leftover(), net::unreadState(fd_.get()), askedToClose_)) {
        case rules::RequestDisposition::answer: return answer(now);
        case rules::RequestDisposition::rejectTrailingBytes: return reject(kTrailingBytes, now);
        case rules::RequestDisposition::askToRetry: return reject(kClientEnded, now);
        case rules::RequestDisposition::drop: break;
    }
    closeWithoutResponse("gone_before_answer");
}

void ClientConnection::answer(net::Deadline now) {
    setPhase(Phase::answering, now);
    http::Message& request = parser_.message();
    auto response = handler_.respond(request, receivedAt_);
    const bool keep =
        !askedToClose_ && response.mayKeepAlive && request.keepsAlive() && !handler_.isStopping();
    countAnswer(response.status);
    const auto* messageId = request.headers.find("Req-Id");
    (log::debug() << "client request answered")
        .kv("client_connection", id_)
        .kv("id", messageId ? std::string_view(*messageId) : std::string_view())
        .kv("status", response.status)
        .kv("keeps_alive", keep ? "yes" : "no");
    acceptedId_ = std::move(response.acceptedId);
    const std::string_view body = request.method == "HEAD" ? std::string_view() : response.body;
    auto text = http::formatResponse(response.status, response.fields, body, keep);
    if (!keep) parser_.discard();
    write(std::move(text), keep ? AfterWrite::nextRequest : AfterWrite::drain, net::Steady::now());
}

void ClientConnection::refuseForMemory(net::Deadline now) { reject(kNoMemory, now); }

/// Answers a request that is not taken; the connection closes.
void ClientConnection::reject(const Rejection& rejection, net::Deadline now) {
    setPhase(Phase::answering, now);
    parser_.discard();
    countAnswer(rejection.status);
    metrics::counter("client_requests_rejected_total", "reason", rejection.reason).add();
    (log::debug() << "rejecting client request")
        .kv("client_connection", id_)
        .kv("status", rejection.status)
        .kv("reason", rejection.reason);
    http::Fields fields;
    if (rejection.status == 503) fields.emplace_back("Retry-After", kRetryAfterSeconds);
    write(http::formatResponse(rejection.status, fields, rejection.text, false), AfterWrite::drain, now);
}

void ClientConnection::write(std::string text, AfterWrite after, net::Deadline now) {
    output_ = std::move(text);
    afterWrite_ = after;
    if (after != AfterWrite::readOn) deadline_ = now + kWriteTimeout;
    writeOutput(now);
}

void ClientConnection::writeOutput(net::Deadline now) {
    const auto sent = net::sendSome(fd_.get(), output_);
    if (!sent) return outputLost();
    output_.erase(0, *sent);
    if (!output_.empty()) return;
    http::release(output_);
    outputWritten(now);
}

void ClientConnection::outputWritten(net::Deadline now) {
    acceptedId_.clear();
    switch (afterWrite_) {
        case AfterWrite::readOn: return readInput(now, now);
        case AfterWrite::nextRequest:
            parser_.next();
            firstRequest_ = continued_ = false;
            deadline_ = now + kIdleTimeout;
            setPhase(Phase::idle, now);
            // The response may have taken so long that a stop has already gone through all connections.
            if (handler_.closesIdle()) askToClose();
            return;
        case AfterWrite::drain: break;
    }
    deadline_ = now + kDrainTimeout;
    setPhase(Phase::draining, now);
    net::shutdownWrite(fd_.get());
}

void ClientConnection::outputLost() {
    if (!acceptedId_.empty()) handler_.responseLost(acceptedId_);
    closeWithoutResponse("unwritten");
}

void ClientConnection::discardInput() {
    const auto bytes = net::discardArrived(fd_.get());
    if (bytes) discardedBytes_ += *bytes;
    if (!bytes || discardedBytes_ >= kMaxDrainedBytes) close();
}

/// Counts and logs a connection that is closed without a response.
void ClientConnection::closeWithoutResponse(std::string_view reason) {
    metrics::counter("connections_closed_total", "reason", reason).add();
    (log::debug() << "closing client connection without a response: " << reason)
        .kv("client_connection", id_)
        .kv("id", acceptedId_);
    close();
}

void ClientConnection::close() {
    phase_ = Phase::closed;
    output_.clear();
}

}  // namespace laurelhaven::front
