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
constexpr milliseconds kListen{8000};  // for a socket, where the machine has none at the start
constexpr std::size_t kLeaving = 16;   // connections beyond the most, while those told to go are going
// A client waits 400 ms: what is not whole by then never will be. Whoever sends less, or byte by byte, is
// answered or shut this long after connecting, or after its next request's first byte.
constexpr milliseconds kRead{2000};
constexpr milliseconds kWrite{1000};
constexpr milliseconds kTurnAway{5};  // an empty buffer takes an answer at once
constexpr milliseconds kIdle{10000};
constexpr milliseconds kQueue{400};  // for what a listener has in its queue at a stop
constexpr milliseconds kLast{300};   // for a last request, or the rest of one, at a stop
constexpr milliseconds kPause{20};   // between tries where no descriptor or thread is to be had
// After the last answer, so long and so much is dropped: a close with bytes unread would reset it away.
constexpr milliseconds kDrain{1000};
constexpr std::size_t kMostDrained = 80 << 20;
constexpr const char* kComeAgain = "0.3";  // seconds, for whoever found no room or a stop

std::string seconds(milliseconds span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span.count()) / 1000);
    return text;
}

/// The statuses that there are, each a counter.
void countAnswer(int status) { metrics::counter("answers_total", "status", std::to_string(status)).add(); }

/// No room: told so at once, without a thread, and never waited for.
void turnAway(const net::Fd& fd) {
    static auto& turnedAway = metrics::counter("connections_turned_away_total");
    turnedAway.add();
    static const auto text = http::formatResponse(503, {{"Retry-After", kComeAgain}}, "no room\n", false);
    net::sendAll(fd.get(), text, net::Steady::now() + kTurnAway);
    net::shutdownWrite(fd.get());
    net::discardUnread(fd.get(), kMostDrained);
}

}  // namespace

Front::Front(const config::Config& config, decisions::Decisions& decisions)
    : config_(config),
      decisions_(decisions),
      listener_(net::listenOn(config.listen, kBacklog, kListen)),
      most_(config::shares(config).clients) {}

void Front::start() {
    ready_ = true;
    acceptor_ = threads::Thread("accept", [this] { accept(); });
}

// Danger: a request whose last byte is written must be answered, or its connection have been told to end by
// the answer before. A shut listener resets what stands in its queue, so that is taken first, and served like
// any other. Clients send on whatever stays open, so those told before that it stays get the time to send
// once more, and hear then that it ends. What is shut in the end has said nothing since.
void Front::stop() {
    std::unique_lock lock(mutex_);
    if (stopping_.exchange(true)) return;
    if (acceptor_.joinable())
        changed_.wait_for(lock, kQueue, [this] { return !net::hasPendingConnection(listener_.get()); });
    lock.unlock();
    deaf_ = true;
    net::shutdownBoth(listener_.get());
    changed_.notify_all();
    acceptor_.join();
    listener_.reset();
    lock.lock();
    for (auto& c : connections_)
        if (c.phase == Connection::Phase::draining) tellToGo(c);
    changed_.wait_for(lock, kLast, [this] {
        return std::all_of(connections_.begin(), connections_.end(),
                           [](const Connection& c) { return c.phase == Connection::Phase::closed; });
    });
    closing_ = true;
    for (auto& c : connections_)
        if (c.phase != Connection::Phase::closed) tellToGo(c);
    reap(lock);
    while (!connections_.empty()) {
        changed_.wait_for(lock, milliseconds(100));
        reap(lock);
    }
}

std::size_t Front::connections() {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& c) { return c.phase != Connection::Phase::closed; }));
}

void Front::accept() {
    for (;;) {
        net::Fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (fd) {
            admit(std::move(fd));
            if (stopping_) changed_.notify_all();
        } else if (deaf_) {  // and no sooner: a stop takes what stands in the queue first
            return;
        } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            log::warning() << "front: accept: " << std::strerror(errno);
            std::unique_lock lock(mutex_);
            makeRoom(rules::CloseScope::all);
            changed_.wait_for(lock, kPause, [this] { return deaf_.load(); });
        } else if (errno != EINTR && errno != ECONNABORTED) {
            log::warning() << "front: accept: " << std::strerror(errno);
            std::this_thread::sleep_for(kPause);
        }
    }
}

void Front::admit(net::Fd fd) {
    std::unique_lock lock(mutex_);
    reap(lock);
    if (connections_.size() >= most_ + kLeaving) {  // those told to go have not gone yet
        changed_.wait_for(lock, kPause);
        reap(lock);
    }
    const auto leaving = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto& c) { return c.shut; }));
    const auto staying = connections_.size() - leaving;
    const bool room =
        connections_.size() < most_ + kLeaving && (staying < most_ || makeRoom(rules::CloseScope::all));
    // Danger: clients that ask once and keep their connection add up, and with each goes a thread whose stack
    // stays in memory. Long before room is short, those that have rested make way one by one.
    if (staying < most_ && staying >= most_ / 4) makeRoom(rules::CloseScope::longIdle);
    if (!room) {
        lock.unlock();
        return turnAway(fd);
    }
    Connection& c = connections_.emplace_back();
    c.fd = std::move(fd);
    c.since = net::Steady::now();
    try {
        c.thread = threads::Thread("client", [this, &c] { serve(c); });
    } catch (const std::exception& e) {
        log::error() << "front: " << e.what();
        turnAway(c.fd);
        connections_.pop_back();
    }
}

/// Tells the one connection to go that may best be done without: see rules::closePriority().
bool Front::makeRoom(rules::CloseScope least) {
    using Phase = Connection::Phase;
    const auto now = net::Steady::now();
    const auto rank = [now](const Connection& c) {
        return rules::closePriority(c.phase, now - c.since, c.shut);
    };
    Connection* worst = nullptr;
    for (auto& c : connections_) {
        const int its = rank(c);
        if (!rules::mayClose(its, least)) continue;
        if (worst && std::make_pair(its, worst->since) <= std::make_pair(rank(*worst), c.since)) continue;
        // Bytes that its thread has not come to yet may be a whole request.
        if (c.phase != Phase::draining && net::unreadState(c.fd.get()) == net::UnreadState::bytes) continue;
        worst = &c;
    }
    if (!worst) return false;
    static auto& madeRoom = metrics::counter("connections_told_to_go_total", "reason", "room");
    madeRoom.add();
    tellToGo(*worst);
    return true;
}

/// Wakes its thread, which answers what has come whole and ends. With the lock held.
void Front::tellToGo(Connection& connection) {
    connection.shut = true;
    net::shutdownRead(connection.fd.get());
}

void Front::reap(std::unique_lock<std::mutex>& lock) {
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

void Front::enter(Connection& connection, Connection::Phase phase) {
    const std::lock_guard lock(mutex_);
    connection.phase = phase;
    connection.since = net::Steady::now();
    // Danger: its last answer may have taken so long that the stop has passed it by.
    if (phase == Connection::Phase::idle && closing_) tellToGo(connection);
    if (phase == Connection::Phase::closed) {
        connection.fd.reset();
        changed_.notify_all();
    }
}

void Front::serve(Connection& connection) {
    using Phase = Connection::Phase;
    const int fd = connection.fd.get();
    http::Parser parser(http::Parser::Role::request);
    net::Deadline came = connection.since;
    Next next = read(connection, parser, came, true);
    while (next == Next::request) {
        enter(connection, Phase::answering);
        next = answer(fd, parser.message(), came, !toldToGo(connection));
        if (next != Next::request) break;
        parser.next();
        enter(connection, Phase::idle);
        next = read(connection, parser, came, false);
    }
    if (next == Next::drain) {
        enter(connection, Phase::draining);
        net::shutdownWrite(fd);
        net::discard(fd, kMostDrained, net::Steady::now() + kDrain);
    }
    enter(connection, Phase::closed);
}

bool Front::toldToGo(const Connection& connection) {
    const std::lock_guard lock(mutex_);
    return connection.shut;
}

/// The connection ends without an answer, for that reason.
Front::Next Front::closing(std::string_view reason) {
    metrics::counter("connections_closed_total", "reason", reason).add();
    log::debug() << "front: closing without an answer: " << reason;
    return Next::close;
}

/// One whole request, and nothing behind it. `came`: when it began; a first one is timed from the connect on.
Front::Next Front::read(Connection& connection, http::Parser& parser, net::Deadline& came, bool first) {
    using State = http::Parser::State;
    const int fd = connection.fd.get();
    const auto begun = net::Steady::now();
    if (!net::waitReadable(fd, first ? came + kRead : begun + kIdle)) return closing("silent");
    const auto until = (first ? came : net::Steady::now()) + kRead;
    came = net::Steady::now();
    enter(connection, Connection::Phase::reading);
    const auto refuse = [&](int status, const char* why) {
        enter(connection, Connection::Phase::answering);
        const http::Fields again{{"Retry-After", kComeAgain}};
        countAnswer(status);
        log::debug() << "front: " << status << ": " << std::string_view(why).substr(0, std::strlen(why) - 1);
        const auto text = http::formatResponse(status, status == 503 ? again : http::Fields{}, why, false);
        const bool heard = net::sendAll(fd, text, net::Steady::now() + kWrite) == net::IoResult::done;
        return heard ? Next::drain : closing("unwritten");
    };
    bool continued = false;
    while (parser.state() == State::head || parser.state() == State::body) {
        if (parser.state() == State::body && !continued &&
            parser.message().headers.lists("Expect", "100-continue")) {
            continued = true;
            if (net::sendAll(fd, "HTTP/1.1 100 Continue\r\n\r\n", until) != net::IoResult::done)
                return closing("unwritten");
        }
        std::string bytes;
        const auto io = net::receive(fd, bytes, until);
        if (io == net::IoResult::timedOut) return refuse(408, "the request took too long\n");
        // Danger: we ended its reading, and its client may write the last byte just now. It would get no
        // answer.
        if (io == net::IoResult::closed && (first || parser.begun()) && toldToGo(connection))
            return refuse(503, "no room, or stopping\n");
        if (io != net::IoResult::done) {
            const bool ended = io == net::IoResult::closed;
            return closing(parser.begun() ? (ended ? "half_request" : "broken_request") : "by_client");
        }
        parser.feed(bytes);
    }
    if (parser.state() == State::bad) return refuse(parser.errorStatus(), "the request can't be taken\n");
    switch (rules::requestDisposition(parser.leftover(), net::unreadState(fd), toldToGo(connection))) {
        case rules::RequestDisposition::answer: return Next::request;
        case rules::RequestDisposition::rejectTrailingBytes:
            return refuse(400, "more follows than the request's length says\n");
        case rules::RequestDisposition::askToRetry: return refuse(503, "come again\n");
        case rules::RequestDisposition::drop: break;
    }
    return closing("gone_before_answer");
}

Front::Next Front::answer(int fd, http::Message& request, net::Deadline came, bool stays) {
    bool keep = stays && request.keepsAlive();
    const auto until = net::Steady::now() + kWrite;
    const auto say = [&](int status, const http::Fields& fields, std::string_view body) {
        keep = keep && !stopping_;  // asked last: a stop may have come since
        countAnswer(status);
        const auto text = http::formatResponse(status, fields, request.method == "HEAD" ? "" : body, keep);
        if (net::sendAll(fd, text, until) != net::IoResult::done) return closing("unwritten");
        return keep ? Next::request : Next::drain;
    };
    const auto asked = intake(config_, request, came);
    if (const auto* denied = std::get_if<Denied>(&asked)) {
        keep = false;  // who gets that wrong may get the next one's beginning wrong too
        return say(denied->status, {}, denied->why + "\n");
    }
    if (std::holds_alternative<Metrics>(asked))
        return metrics_ ? say(200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_())
                        : say(404, {}, "no such path\n");
    if (std::holds_alternative<Ready>(asked))
        return ready_ ? say(200, {}, "ready\n") : say(503, {}, "stopping\n");
    const auto& message = std::get<decisions::Submission>(asked);
    const auto verdict = decisions_.submit(message);
    switch (verdict.kind) {
        case decisions::SubmissionResult::Kind::accepted: {
            const auto next = say(202, {}, "");
            // The client closed the connection: it may hand the message in again, and this one counts for
            // nothing.
            if (next == Next::close) decisions_.withdraw(message.id);
            return next;
        }
        case decisions::SubmissionResult::Kind::refused:
            if (verdict.retryAfter.count() <= 0) return say(503, {}, "refused\n");
            return say(503, {{"Retry-After", seconds(verdict.retryAfter)}}, "refused\n");
        case decisions::SubmissionResult::Kind::failed: return say(500, {}, "failed\n");
        case decisions::SubmissionResult::Kind::conflict:
            return say(409, {}, "the id is another message's\n");
    }
    return Next::close;
}

}  // namespace laurelhaven::front
