#include "front/front.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <thread>

#include "front/intake.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::front {
namespace {

using std::chrono::milliseconds;

constexpr int kBacklog = 512;
constexpr milliseconds kListenRetryTimeout{8000};   // where no socket is available at the start
constexpr std::size_t kMaxClosingConnections = 16;  // allowed beyond the limit while they close
// Clients give up after 400 ms, so a request that is incomplete by then stays incomplete. A client that sends
// part of a request, or sends it byte by byte, is answered or closed this long after it connected, or after
// the first byte of a later request.
constexpr milliseconds kReadTimeout{2000};
constexpr milliseconds kWriteTimeout{1000};
constexpr milliseconds kRejectWriteTimeout{5};  // an empty send buffer takes the response at once
constexpr milliseconds kIdleTimeout{10000};
constexpr milliseconds kAcceptQueueTimeout{400};  // at a stop, for connections still in the listen queue
constexpr milliseconds kLastRequestTimeout{300};  // at a stop, for a last request or the rest of one
constexpr milliseconds kRetryPause{20};           // where descriptors, memory or connection slots are short
// Limits for input discarded after the last response: closing with unread bytes would reset the connection
// and lose the response.
constexpr milliseconds kDrainTimeout{1000};
constexpr std::size_t kMaxDrainedBytes = 80 << 20;
constexpr const char* kRetryAfterSeconds = "0.3";  // where connections are short, or at a stop

/// Formats a Retry-After value in seconds, with decimals.
std::string formatSeconds(milliseconds span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span.count()) / 1000);
    return text;
}

/// Counts a response, with one counter per status.
void countAnswer(int status) { metrics::counter("answers_total", "status", std::to_string(status)).add(); }

/// Answers 503 for lack of capacity, without a thread of its own and without waiting for the client.
void rejectConnection(const net::Fd& fd) {
    static auto& rejectedConnections = metrics::counter("connections_turned_away_total");
    rejectedConnections.add();
    static const auto text =
        http::formatResponse(503, {{"Retry-After", kRetryAfterSeconds}}, "no room\n", false);
    net::sendAll(fd.get(), text, net::Steady::now() + kRejectWriteTimeout);
    net::shutdownWrite(fd.get());
    net::discardUnread(fd.get(), kMaxDrainedBytes);
}

}  // namespace

HttpServer::HttpServer(const config::Config& config, decisions::Decisions& decisions)
    : config_(config),
      decisions_(decisions),
      listener_(net::listenOn(config.listen, kBacklog, kListenRetryTimeout)),
      maxConnections_(config::shares(config).clients) {}

void HttpServer::start() {
    ready_ = true;
    acceptor_ = threads::Thread("accept", [this] { accept(); });
}

// A request that a client has sent completely must be answered, unless the response before it announced that
// the connection closes. Shutting a listener resets the connections in its queue, so these are accepted first
// and served like any other. Clients reuse connections that were kept open, so these get kLastRequestTimeout
// for one more request, whose response announces the close. Connections closed after that have sent nothing
// since.
void HttpServer::stop() {
    std::unique_lock lock(mutex_);
    if (stopping_.exchange(true)) return;
    if (acceptor_.joinable())
        changed_.wait_for(lock, kAcceptQueueTimeout,
                          [this] { return !net::hasPendingConnection(listener_.get()); });
    lock.unlock();
    acceptStopped_ = true;
    net::shutdownBoth(listener_.get());
    changed_.notify_all();
    acceptor_.join();
    listener_.reset();
    lock.lock();
    for (auto& c : connections_)
        if (c.phase == Connection::Phase::draining) askToClose(c);
    changed_.wait_for(lock, kLastRequestTimeout, [this] {
        return std::all_of(connections_.begin(), connections_.end(),
                           [](const Connection& c) { return c.phase == Connection::Phase::closed; });
    });
    closingIdle_ = true;
    for (auto& c : connections_)
        if (c.phase != Connection::Phase::closed) askToClose(c);
    removeClosed(lock);
    while (!connections_.empty()) {
        changed_.wait_for(lock, milliseconds(100));
        removeClosed(lock);
    }
}

std::size_t HttpServer::connectionCount() {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& c) { return c.phase != Connection::Phase::closed; }));
}

void HttpServer::accept() {
    for (;;) {
        net::Fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (fd) {
            admit(std::move(fd));
            if (stopping_) changed_.notify_all();
        } else if (acceptStopped_) {  // checked only after a failure: a stop first empties the listen queue
            return;
        } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            log::warning() << "accepting a client connection failed: " << std::strerror(errno);
            std::unique_lock lock(mutex_);
            closeOneConnection(rules::CloseScope::all);
            changed_.wait_for(lock, kRetryPause, [this] { return acceptStopped_.load(); });
        } else if (errno != EINTR && errno != ECONNABORTED) {
            log::warning() << "accepting a client connection failed: " << std::strerror(errno);
            std::this_thread::sleep_for(kRetryPause);
        }
    }
}

void HttpServer::admit(net::Fd fd) {
    std::unique_lock lock(mutex_);
    removeClosed(lock);
    if (connections_.size() >= maxConnections_ + kMaxClosingConnections) {  // closing ones not closed yet
        changed_.wait_for(lock, kRetryPause);
        removeClosed(lock);
    }
    const auto closingCount = static_cast<std::size_t>(std::count_if(
        connections_.begin(), connections_.end(), [](const auto& c) { return c.askedToClose; }));
    const auto openCount = connections_.size() - closingCount;
    const bool room = connections_.size() < maxConnections_ + kMaxClosingConnections &&
                      (openCount < maxConnections_ || closeOneConnection(rules::CloseScope::all));
    // Clients that send one request and keep their connection add up, each with a thread whose stack stays in
    // memory. From a quarter of the limit on, each new connection closes one that has been idle for long.
    if (openCount < maxConnections_ && openCount >= maxConnections_ / 4)
        closeOneConnection(rules::CloseScope::longIdle);
    if (!room) {
        lock.unlock();
        return rejectConnection(fd);
    }
    Connection& c = connections_.emplace_back();
    c.fd = std::move(fd);
    c.since = net::Steady::now();
    try {
        c.thread = threads::Thread("client", [this, &c] { serve(c); });
    } catch (const std::exception& e) {
        log::error() << "starting a client connection's thread failed: " << e.what();
        rejectConnection(c.fd);
        connections_.pop_back();
    }
}

/// Asks the connection with the highest rules::closePriority() to close. Returns false if none may be closed.
bool HttpServer::closeOneConnection(rules::CloseScope scope) {
    using Phase = Connection::Phase;
    const auto now = net::Steady::now();
    const auto priority = [now](const Connection& c) {
        return rules::closePriority(c.phase, now - c.since, c.askedToClose);
    };
    Connection* candidate = nullptr;
    for (auto& c : connections_) {
        const int candidatePriority = priority(c);
        if (!rules::mayClose(candidatePriority, scope)) continue;
        if (candidate && std::make_pair(candidatePriority, candidate->since) <=
                             std::make_pair(priority(*candidate), c.since))
            continue;
        // Bytes that its thread has not read yet may be a complete request.
        if (c.phase != Phase::draining && net::unreadState(c.fd.get()) == net::UnreadState::bytes) continue;
        candidate = &c;
    }
    if (!candidate) return false;
    static auto& closedForRoom = metrics::counter("connections_told_to_go_total", "reason", "room");
    closedForRoom.add();
    askToClose(*candidate);
    return true;
}

/// Wakes the connection's thread, which answers a request already received completely and ends. Requires the
/// lock.
void HttpServer::askToClose(Connection& connection) {
    connection.askedToClose = true;
    net::shutdownRead(connection.fd.get());
}

void HttpServer::removeClosed(std::unique_lock<std::mutex>& lock) {
    Connections done;
    for (auto it = connections_.begin(); it != connections_.end();) {
        const auto next = std::next(it);
        if (it->phase == Connection::Phase::closed) done.splice(done.end(), connections_, it);
        it = next;
    }
    if (done.empty()) return;
    lock.unlock();
    done.clear();  // joins
    lock.lock();
}

void HttpServer::setPhase(Connection& connection, Connection::Phase phase) {
    const std::lock_guard lock(mutex_);
    connection.phase = phase;
    connection.since = net::Steady::now();
    // Its last response may have taken so long that the stop has already gone through all connections.
    if (phase == Connection::Phase::idle && closingIdle_) askToClose(connection);
    if (phase == Connection::Phase::closed) {
        connection.fd.reset();
        changed_.notify_all();
    }
}

void HttpServer::serve(Connection& connection) {
    using Phase = Connection::Phase;
    const int fd = connection.fd.get();
    http::Parser parser(http::Parser::Role::request);
    net::Deadline receivedAt = connection.since;
    NextStep next = readRequest(connection, parser, receivedAt, true);
    while (next == NextStep::request) {
        setPhase(connection, Phase::answering);
        next = respond(fd, parser.message(), receivedAt, !isAskedToClose(connection));
        if (next != NextStep::request) break;
        parser.next();
        setPhase(connection, Phase::idle);
        next = readRequest(connection, parser, receivedAt, false);
    }
    if (next == NextStep::drain) {
        setPhase(connection, Phase::draining);
        net::shutdownWrite(fd);
        net::discard(fd, kMaxDrainedBytes, net::Steady::now() + kDrainTimeout);
    }
    setPhase(connection, Phase::closed);
}

bool HttpServer::isAskedToClose(const Connection& connection) {
    const std::lock_guard lock(mutex_);
    return connection.askedToClose;
}

/// Counts and logs a connection that is closed without a response.
HttpServer::NextStep HttpServer::closeWithoutResponse(std::string_view reason) {
    metrics::counter("connections_closed_total", "reason", reason).add();
    log::debug() << "closing client connection without a response: " << reason;
    return NextStep::close;
}

/// Reads one complete request with nothing after it. `receivedAt`: in, the time of connecting, from which the
/// first request's time limit counts; out, the time at which the request began to arrive.
HttpServer::NextStep HttpServer::readRequest(Connection& connection, http::Parser& parser,
                                             net::Deadline& receivedAt, bool first) {
    using State = http::Parser::State;
    const int fd = connection.fd.get();
    const auto begun = net::Steady::now();
    if (!net::waitReadable(fd, first ? receivedAt + kReadTimeout : begun + kIdleTimeout))
        return closeWithoutResponse("silent");
    const auto until = (first ? receivedAt : net::Steady::now()) + kReadTimeout;
    receivedAt = net::Steady::now();
    setPhase(connection, Connection::Phase::reading);
    const auto refuse = [&](int status, const char* reason) {
        setPhase(connection, Connection::Phase::answering);
        const http::Fields retryFields{{"Retry-After", kRetryAfterSeconds}};
        countAnswer(status);
        log::debug() << "rejecting client request with status " << status << ": "
                     << std::string_view(reason).substr(0, std::strlen(reason) - 1);
        const auto text =
            http::formatResponse(status, status == 503 ? retryFields : http::Fields{}, reason, false);
        const bool written =
            net::sendAll(fd, text, net::Steady::now() + kWriteTimeout) == net::IoResult::done;
        return written ? NextStep::drain : closeWithoutResponse("unwritten");
    };
    bool continued = false;
    while (parser.state() == State::head || parser.state() == State::body) {
        if (parser.state() == State::body && !continued &&
            parser.message().headers.lists("Expect", "100-continue")) {
            continued = true;
            if (net::sendAll(fd, "HTTP/1.1 100 Continue\r\n\r\n", until) != net::IoResult::done)
                return closeWithoutResponse("unwritten");
        }
        std::string bytes;
        const auto io = net::receive(fd, bytes, until);
        if (io == net::IoResult::timedOut) return refuse(408, "the request took too long\n");
        // This side ended reading, and the client may be writing the last byte of its request, which would
        // otherwise get no response.
        if (io == net::IoResult::closed && (first || parser.begun()) && isAskedToClose(connection))
            return refuse(503, "no room, or stopping\n");
        if (io != net::IoResult::done) {
            const bool ended = io == net::IoResult::closed;
            return closeWithoutResponse(parser.begun() ? (ended ? "half_request" : "broken_request")
                                                       : "by_client");
        }
        parser.feed(bytes);
    }
    if (parser.state() == State::bad) return refuse(parser.errorStatus(), "the request can't be taken\n");
    switch (rules::requestDisposition(parser.leftover(), net::unreadState(fd), isAskedToClose(connection))) {
        case rules::RequestDisposition::answer: return NextStep::request;
        case rules::RequestDisposition::rejectTrailingBytes:
            return refuse(400, "more follows than the request's length says\n");
        case rules::RequestDisposition::askToRetry: return refuse(503, "come again\n");
        case rules::RequestDisposition::drop: break;
    }
    return closeWithoutResponse("gone_before_answer");
}

HttpServer::NextStep HttpServer::respond(int fd, http::Message& request, net::Deadline receivedAt,
                                         bool mayKeepAlive) {
    bool keep = mayKeepAlive && request.keepsAlive();
    const auto until = net::Steady::now() + kWriteTimeout;
    const auto sendResponse = [&](int status, const http::Fields& fields, std::string_view body) {
        keep = keep && !stopping_;  // checked last: a stop may have begun meanwhile
        countAnswer(status);
        const auto text = http::formatResponse(status, fields, request.method == "HEAD" ? "" : body, keep);
        if (net::sendAll(fd, text, until) != net::IoResult::done) return closeWithoutResponse("unwritten");
        return keep ? NextStep::request : NextStep::drain;
    };
    const auto query = interpretRequest(config_, request, receivedAt);
    if (const auto* denied = std::get_if<RequestError>(&query)) {
        keep = false;  // the client may get the start of its next request wrong too
        return sendResponse(denied->status, {}, denied->message + "\n");
    }
    if (std::holds_alternative<MetricsQuery>(query))
        return metrics_ ? sendResponse(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_())
                        : sendResponse(404, {}, "no such path\n");
    if (std::holds_alternative<ReadinessQuery>(query))
        return ready_ ? sendResponse(200, {}, "ready\n") : sendResponse(503, {}, "stopping\n");
    const auto& message = std::get<decisions::Submission>(query);
    const auto result = decisions_.submit(message);
    switch (result.kind) {
        case decisions::SubmissionResult::Kind::accepted: {
            const auto next = sendResponse(202, {}, "");
            // The client has closed the connection without the response and may submit the message again, so
            // this submission is withdrawn.
            if (next == NextStep::close) decisions_.withdraw(message.id);
            return next;
        }
        case decisions::SubmissionResult::Kind::refused:
            if (result.retryAfter.count() <= 0) return sendResponse(503, {}, "refused\n");
            return sendResponse(503, {{"Retry-After", formatSeconds(result.retryAfter)}}, "refused\n");
        case decisions::SubmissionResult::Kind::failed: return sendResponse(500, {}, "failed\n");
        case decisions::SubmissionResult::Kind::conflict:
            return sendResponse(409, {}, "the id is another message's\n");
    }
    return NextStep::close;
}

}  // namespace laurelhaven::front
