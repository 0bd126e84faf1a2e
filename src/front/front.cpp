#include "front/front.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <iterator>
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
constexpr milliseconds kRejectWriteTimeout{5};      // an empty send buffer takes the response at once
constexpr milliseconds kAcceptQueueTimeout{400};    // at a stop, for connections still in the listen queue
constexpr milliseconds kLastRequestTimeout{300};    // at a stop, for a last request or the rest of one
constexpr milliseconds kRetryPause{20};             // where descriptors, memory or connection slots are short
// A client that has waited this long for its answer has left.
constexpr milliseconds kClientPatience{400};
// A wait for events that took longer than this was for events that had not come yet.
constexpr milliseconds kWaitedAtAll{2};
// A request that occupies less is not refused for memory: that would free hardly any.
constexpr std::size_t kSmallRequestBytes = 1024;
constexpr int kMaxAccepts = 256;  // before other connections have their turn
constexpr int kMaxThrottledAccepts = 8;
constexpr int kMaxReads = 21;  // of 4 KiB: enough for the largest request
// While processor time is short: enough for a usual request, whatever others send.
constexpr int kMaxThrottledReads = 2;
// The longest pause before some connections are accepted. Clients give up 400 ms after they began to connect.
constexpr milliseconds kMaxAcceptDelay{150};
constexpr std::size_t kMaxDrainedBytes = 80 << 20;
// The longest pause before requests are served where processor time is short. Work with a deadline may use up
// everything for long, and client work must go on slowly.
constexpr milliseconds kMaxRequestDelay{50};

// A client whose next request comes sooner after an answer asks as fast as it can.
constexpr milliseconds kAsksAtOnce{10};

/// Formats a Retry-After value in seconds, with decimals.
std::string formatSeconds(milliseconds span) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span.count()) / 1000);
    return text;
}

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
      throttle_(config.cores),
      requestMemory_("client_requests", config::memoryPlan(config).clientRequests),
      listener_(net::listenOn(config.listen, kBacklog, kListenRetryTimeout)),
      maxConnections_(config::shares(config).clients) {
    fcntl(listener_.get(), F_SETFL, fcntl(listener_.get(), F_GETFL) | O_NONBLOCK);
    poller_.add(listener_.get(), net::Interest::readable, &listener_);
}

void HttpServer::start() {
    ready_ = true;
    polledAt_ = arrivedSince_ = net::Steady::now();
    thread_ = threads::Thread("clients", [this] { run(); });
}

// A request that a client has sent completely must be answered, unless the response before it announced that
// the connection closes. Closing a listener resets the connections in its queue, so these are accepted first
// and served like any other. Clients reuse connections that were kept open, so these get kLastRequestTimeout
// for one more request, whose response announces the close. Connections closed after that have sent nothing
// since.
void HttpServer::stop() {
    if (stopRequested_.exchange(true)) return;
    poller_.wake();
    thread_.join();
    listener_.reset();
}

// ---- the thread ----

void HttpServer::run() {
    for (;;) {
        const auto& ready = awaitEvents();
        advanceStop();
        throttle();
        serveReady(ready);
        serveExpired(net::Steady::now());
        resumeAccepting(net::Steady::now());
        if (stopStage_ == StopStage::closing && connections_.empty()) return;
    }
}

/// Events come while this thread waits, or have come since it last did: it may have been busy, or held back,
/// for so long that requests would be given more time than their clients gave them.
const std::vector<void*>& HttpServer::awaitEvents() {
    const auto begunAt = net::Steady::now();
    const auto& ready = poller_.wait(nextWakeUp());
    const auto now = net::Steady::now();
    const bool waited = now - begunAt > kWaitedAtAll;
    if (waited) arrivedSince_ = now;
    else if (!poller_.hadMore()) arrivedSince_ = polledAt_;
    arrivedSince_ = std::max(arrivedSince_, now - kClientPatience);
    polledAt_ = now;
    const bool listenerReady = std::find(ready.begin(), ready.end(), &listener_) != ready.end();
    if (listening_ && (waited || !(listenerReady || poller_.hadMore()))) queuedSince_.reset();
    return ready;
}

/// Waits while the process is near its share of processor time: briefly, as clients wait for answers. New
/// connections are left to the system for longer, as each brings more work with it; but some are accepted all
/// the same, as the connections that are open may keep the process there for as long as they like.
void HttpServer::throttle() {
    throttled_ = false;
    if (stopRequested_) return;
    const auto now = net::Steady::now();
    const auto delay = throttle_.delay(now);
    if (delay.count() <= 0) return;
    throttled_ = true;
    const auto acceptAt = std::min<net::Deadline>(now + delay, lastAcceptedAt_ + kMaxAcceptDelay);
    if (acceptAt > now) pauseAccepting(acceptAt);
    std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(delay, kMaxRequestDelay));
}

/// One turn alone may use up the process's share for a while: then the rest of it is throttled, too.
void HttpServer::noteProcessorTime() {
    throttled_ = throttled_ || (!stopRequested_ && throttle_.delay(net::Steady::now()).count() > 0);
}

void HttpServer::serveReady(const std::vector<void*>& ready) {
    for (void* tag : ready) {
        if (tag == &listener_) {
            acceptPending();
            continue;
        }
        Entry& entry = *static_cast<Entry*>(tag);
        if (entry.refusedForMemory) continue;
        noteProcessorTime();
        const auto arrivedSince = entry.arrivedSince.value_or(arrivedSince_);
        entry.arrivedSince = mustWait(entry) ? std::optional(arrivedSince) : std::nullopt;
        if (entry.arrivedSince) continue;
        entry.connection.onReady(net::Steady::now(), arrivedSince);
        settle(entry);
        if (requestMemory_.isOver()) freeRequestMemory(net::Steady::now());
    }
    settleRefused();
}

void HttpServer::serveExpired(net::Deadline now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        Entry& entry = *deadlines_.begin()->second;
        entry.connection.onDeadline(now, arrivedSince_);
        settle(entry);
    }
}

net::Deadline HttpServer::nextWakeUp() const {
    auto next = deadlines_.empty() ? net::Deadline::max() : deadlines_.begin()->first;
    if (!listening_) next = std::min(next, acceptAgainAt_);
    if (stopStage_ != StopStage::running) next = std::min(next, stageEnd_);
    return next;
}

/// Takes over what the last call changed: the memory in use, the deadline, the events to wait for, or the
/// end.
void HttpServer::settle(Entry& entry) {
    const ClientConnection& connection = entry.connection;
    account(entry);
    if (connection.isClosed() || connection.deadline() != entry.deadline)
        deadlines_.erase({entry.deadline, &entry});
    if (connection.isClosed()) {
        poller_.remove(connection.fd());
        connections_.erase(entry.position);
        connectionCount_ = connections_.size();
        return;
    }
    if (connection.deadline() != entry.deadline) {
        entry.deadline = connection.deadline();
        deadlines_.emplace(entry.deadline, &entry);
    }
    if (connection.interest() == entry.interest) return;
    entry.interest = connection.interest();
    poller_.change(connection.fd(), entry.interest, &entry);
}

// ---- memory ----

void HttpServer::account(Entry& entry) {
    const auto bytes = entry.connection.isClosed() ? 0 : entry.connection.allocatedBytes();
    requestMemory_.account(std::exchange(entry.accountedBytes, bytes), bytes);
}

// A request arrives without a pause, unless its client is slow or has stopped. So the one of which nothing
// has arrived for longest is refused first. Its connection is not settled, which may destroy it, as it may
// still be among the events at hand.
void HttpServer::freeRequestMemory(net::Deadline now) {
    while (requestMemory_.isOver()) {
        Entry* entry = stalledRequest();
        if (!entry) return;
        entry->connection.refuseForMemory(now);
        account(*entry);
        entry->refusedForMemory = true;
        refusedForMemory_.push_back(entry);
    }
}

/// While processor time is short, a client that asks again at once leaves the others their turn. Its request
/// is reported again with the next events.
bool HttpServer::mustWait(const Entry& entry) const {
    if (!throttled_ || entry.connection.phase() != ClientConnection::Phase::idle) return false;
    const auto sinceAnswer = net::Steady::now() - entry.connection.phaseSince();
    return sinceAnswer < (entry.arrivedSince ? kMaxRequestDelay : kAsksAtOnce);
}

void HttpServer::settleRefused() {
    for (Entry* entry : std::exchange(refusedForMemory_, {})) {
        entry->refusedForMemory = false;
        settle(*entry);
    }
}

HttpServer::Entry* HttpServer::stalledRequest() {
    Entry* stalled = nullptr;
    for (auto& entry : connections_) {
        if (entry.connection.phase() != ClientConnection::Phase::reading) continue;
        if (entry.accountedBytes < kSmallRequestBytes) continue;
        if (!stalled || entry.connection.lastReadAt() < stalled->connection.lastReadAt()) stalled = &entry;
    }
    return stalled;
}

// ---- new connections ----

void HttpServer::acceptPending() {
    if (!queuedSince_) queuedSince_ = arrivedSince_;
    for (int i = 0; i < (throttled_ ? kMaxThrottledAccepts : kMaxAccepts) && listening_; ++i) {
        noteProcessorTime();
        if (!acceptOne()) return;
        lastAcceptedAt_ = net::Steady::now();
    }
}

/// Returns false if no connection was accepted.
bool HttpServer::acceptOne() {
    net::Fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    if (fd) {
        admit(std::move(fd));
        return true;
    }
    const int error = errno;
    if (error == EAGAIN || error == EWOULDBLOCK) {
        queuedSince_.reset();
        return false;
    }
    if (error == EINTR || error == ECONNABORTED) return true;
    log::warning() << "accepting a client connection failed: " << std::strerror(error);
    if (error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM)
        closeOneConnection(rules::CloseScope::all);
    pauseAccepting(net::Steady::now() + kRetryPause);
    return false;
}

void HttpServer::pauseAccepting(net::Deadline until) {
    if (!listener_) return;
    acceptAgainAt_ = std::max(acceptAgainAt_, until);
    if (!queuedSince_) queuedSince_ = polledAt_;
    if (std::exchange(listening_, false)) poller_.change(listener_.get(), net::Interest::none, &listener_);
}

void HttpServer::resumeAccepting(net::Deadline now) {
    if (listening_ || !listener_ || now < acceptAgainAt_) return;
    listening_ = true;
    poller_.change(listener_.get(), net::Interest::readable, &listener_);
}

void HttpServer::admit(net::Fd fd) {
    const auto closingCount = static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const Entry& entry) { return entry.connection.isAskedToClose(); }));
    const auto openCount = connections_.size() - closingCount;
    const bool room = connections_.size() < maxConnections_ + kMaxClosingConnections &&
                      (openCount < maxConnections_ || closeOneConnection(rules::CloseScope::all));
    // Clients that send one request and keep their connection add up. From a quarter of the limit on, each
    // new connection closes one that has been idle for long.
    if (openCount < maxConnections_ && openCount >= maxConnections_ / 4)
        closeOneConnection(rules::CloseScope::longIdle);
    if (!room) return rejectConnection(fd);
    const auto now = net::Steady::now();
    connections_.push_back({ClientConnection(std::move(fd), *this, now), {}, {}});
    Entry& entry = connections_.back();
    entry.position = std::prev(connections_.end());
    entry.deadline = entry.connection.deadline();
    if (!poller_.add(entry.connection.fd(), entry.interest, &entry)) {
        log::error() << "waiting for a client connection failed: " << std::strerror(errno);
        connections_.pop_back();
        return;
    }
    deadlines_.emplace(entry.deadline, &entry);
    connectionCount_ = connections_.size();
    // The request may be there already, and have waited with its connection.
    entry.connection.onReady(now, std::max(queuedSince_.value_or(arrivedSince_), now - kClientPatience));
    settle(entry);
    if (requestMemory_.isOver()) freeRequestMemory(net::Steady::now());
}

/// Asks the connection with the highest rules::closePriority() to close. Returns false if none may be closed.
bool HttpServer::closeOneConnection(rules::CloseScope scope) {
    const auto now = net::Steady::now();
    ClientConnection* candidate = nullptr;
    int highest = 0;
    for (auto& entry : connections_) {
        auto& connection = entry.connection;
        const int priority = rules::closePriority(connection.phase(), now - connection.phaseSince(),
                                                  connection.isAskedToClose());
        if (!rules::mayClose(priority, scope)) continue;
        if (candidate && (priority < highest ||
                          (priority == highest && connection.phaseSince() >= candidate->phaseSince())))
            continue;
        // Bytes that have not been read yet may be a complete request.
        if (connection.phase() != ClientConnection::Phase::draining &&
            net::unreadState(connection.fd()) == net::UnreadState::bytes)
            continue;
        candidate = &connection;
        highest = priority;
    }
    if (!candidate) return false;
    static auto& closedForRoom = metrics::counter("connections_told_to_go_total", "reason", "room");
    closedForRoom.add();
    candidate->askToClose();
    return true;
}

// ---- the stop ----

void HttpServer::advanceStop() {
    using Phase = ClientConnection::Phase;
    if (!stopRequested_) return;
    const auto now = net::Steady::now();
    if (stopStage_ == StopStage::running) {
        stopStage_ = StopStage::emptyQueue;
        stageEnd_ = now + kAcceptQueueTimeout;
        acceptAgainAt_ = now;
        resumeAccepting(now);
    }
    if (stopStage_ == StopStage::emptyQueue &&
        (now >= stageEnd_ || !net::hasPendingConnection(listener_.get()))) {
        closeListener();
        for (auto& entry : connections_)
            if (entry.connection.phase() == Phase::draining) entry.connection.askToClose();
        stopStage_ = StopStage::lastRequests;
        stageEnd_ = now + kLastRequestTimeout;
    }
    if (stopStage_ == StopStage::lastRequests && (now >= stageEnd_ || connections_.empty())) {
        for (auto& entry : connections_) entry.connection.askToClose();
        stopStage_ = StopStage::closing;
        stageEnd_ = net::Deadline::max();
    }
}

void HttpServer::closeListener() {
    listening_ = false;
    acceptAgainAt_ = net::Deadline::max();
    poller_.remove(listener_.get());
    listener_.reset();
}

// ---- requests ----

int HttpServer::maxReads() const { return throttled_ ? kMaxThrottledReads : kMaxReads; }

Response HttpServer::respond(http::Message& request, net::Deadline receivedAt) {
    const auto query = interpretRequest(config_, request, receivedAt);
    // A client whose request is wrong may get the start of its next request wrong too.
    if (const auto* denied = std::get_if<RequestError>(&query))
        return {denied->status, {}, denied->message + "\n", false, {}};
    if (std::holds_alternative<MetricsQuery>(query) && requestMemory_.isOver())
        return {503, {{"Retry-After", kRetryAfterSeconds}}, "no room for the answer\n", false, {}};
    if (std::holds_alternative<MetricsQuery>(query))
        return metrics_ ? Response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_(), true, {}}
                        : Response{404, {}, "no such path\n", true, {}};
    if (std::holds_alternative<ReadinessQuery>(query))
        return ready_ ? Response{200, {}, "ready\n", true, {}} : Response{503, {}, "stopping\n", true, {}};
    return submit(std::get<decisions::Submission>(query));
}

Response HttpServer::submit(const decisions::Submission& message) {
    using Kind = decisions::SubmissionResult::Kind;
    const auto result = decisions_.submit(message);
    switch (result.kind) {
        // If the response does not reach the client, it may submit the message again, so this submission is
        // withdrawn.
        case Kind::accepted: return {202, {}, "", true, message.id};
        case Kind::refused:
            if (result.retryAfter.count() <= 0) return {503, {}, "refused\n", true, {}};
            return {503, {{"Retry-After", formatSeconds(result.retryAfter)}}, "refused\n", true, {}};
        case Kind::failed: return {500, {}, "failed\n", true, {}};
        case Kind::conflict: break;
    }
    return {409, {}, "the id is another message's\n", true, {}};
}

}  // namespace laurelhaven::front
