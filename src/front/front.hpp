// HTTP server for clients: a listener and a fixed number of connections, all served by one thread that never
// waits for a client. However many clients are ready at a time, work that has a deadline competes with that
// one thread only.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "front/client_connection.hpp"
#include "net/poller.hpp"
#include "overload/client_throttle.hpp"
#include "overload/memory_pool.hpp"
#include "rules/connection_rules.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::front {

/// Accepts client connections, interprets their requests and submits messages to `decisions`. start(), stop()
/// and the setters are called by the owner's thread; connectionCount() may be called by any.
class HttpServer : private RequestHandler {
  public:
    /// Opens the listening socket. Throws std::system_error on failure.
    HttpServer(const config::Config& config, decisions::Decisions& decisions);
    ~HttpServer() override { stop(); }
    void start();
    /// From now on /health/ready is answered with 503; all other requests are served as before.
    void setNotReady() { ready_ = false; }
    /// Sets the source of the response to GET /metrics; without one it is 404. Call before start().
    void setMetrics(std::function<std::string()> text) { metrics_ = std::move(text); }
    /// Accepts no new connections and closes each open one after its current request.
    void stop();
    std::size_t connectionCount() const { return connectionCount_; }
    bool isStopping() const override { return stopRequested_; }
    int port() const { return net::localPort(listener_.get()); }

  private:
    /// A connection with what the poller and the order of deadlines know of it.
    struct Entry {
        ClientConnection connection;
        std::list<Entry>::iterator position;
        net::Deadline deadline;
        net::Interest interest = net::Interest::readable;
        std::size_t accountedBytes = 0;               // in requestMemory_
        std::optional<net::Deadline> arrivedSince{};  // of a request that has to wait for its turn
        bool refusedForMemory = false;                // and not settled since
    };
    /// What a stop waits for next.
    enum class StopStage { running, emptyQueue, lastRequests, closing };

    Response respond(http::Message& request, net::Deadline receivedAt) override;
    Response submit(const decisions::Submission& message);
    void responseLost(const std::string& acceptedId) override { decisions_.withdraw(acceptedId); }
    int maxReads() const override;
    bool closesIdle() const override { return stopStage_ == StopStage::closing; }

    void run();
    const std::vector<void*>& awaitEvents();
    void noteProcessorTime();
    void settleRefused();
    bool mustWait(const Entry& entry) const;
    void serveReady(const std::vector<void*>& ready);
    void serveExpired(net::Deadline now);
    net::Deadline nextWakeUp() const;
    void throttle();
    void acceptPending();
    bool acceptOne();
    void pauseAccepting(net::Deadline until);
    void resumeAccepting(net::Deadline now);
    void admit(net::Fd fd);
    bool closeOneConnection(rules::CloseScope scope);
    void settle(Entry& entry);
    void account(Entry& entry);
    void freeRequestMemory(net::Deadline now);
    Entry* stalledRequest();
    void advanceStop();
    void closeListener();

    const config::Config& config_;
    decisions::Decisions& decisions_;
    overload::ClientThrottle throttle_;
    overload::MemoryPool requestMemory_;
    net::Fd listener_;
    std::size_t maxConnections_;
    std::function<std::string()> metrics_;
    std::atomic<bool> ready_{false}, stopRequested_{false};
    std::atomic<std::size_t> connectionCount_{0};
    net::Poller poller_;
    // Used by the thread only.
    std::list<Entry> connections_;  // longest open first
    std::set<std::pair<net::Deadline, Entry*>> deadlines_;
    std::vector<Entry*> refusedForMemory_;  // to be settled after the events at hand
    bool throttled_ = false;                // processor time is short
    net::Deadline lastAcceptedAt_{};
    bool listening_ = true;  // the poller reports new connections
    net::Deadline acceptAgainAt_{};
    net::Deadline polledAt_{};      // end of the last wait for events
    net::Deadline arrivedSince_{};  // the events being handled came after this
    /// Connections may have been waiting in the listen queue since then; empty if none is left there.
    std::optional<net::Deadline> queuedSince_;
    StopStage stopStage_ = StopStage::running;
    net::Deadline stageEnd_{};
    threads::Thread thread_;
};

}  // namespace laurelhaven::front
