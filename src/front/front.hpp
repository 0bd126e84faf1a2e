// HTTP server for clients: a listener, and one thread per connection within a fixed number of connections.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "http/message.hpp"
#include "net/socket.hpp"
#include "rules/connection_rules.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::front {

/// Accepts client connections, interprets their requests and submits messages to `decisions`. start(), stop()
/// and the setters are called by the owner's thread; connectionCount() may be called by any.
class HttpServer {
  public:
    /// Opens the listening socket. Throws std::system_error on failure.
    HttpServer(const config::Config& config, decisions::Decisions& decisions);
    ~HttpServer() { stop(); }
    void start();
    /// From now on /health/ready is answered with 503; all other requests are served as before.
    void setNotReady() { ready_ = false; }
    /// Sets the source of the response to GET /metrics; without one it is 404. Call before start().
    void setMetrics(std::function<std::string()> text) { metrics_ = std::move(text); }
    /// Accepts no new connections and closes each open one after its current request.
    void stop();
    std::size_t connectionCount();
    int port() const { return net::localPort(listener_.get()); }

  private:
    struct Connection {
        net::Fd fd;
        using Phase = rules::ConnectionPhase;
        Phase phase = Phase::fresh;
        net::Deadline since;        ///< start of the phase
        bool askedToClose = false;  ///< reading has been shut down
        threads::Thread thread;
    };
    using Connections = std::list<Connection>;
    /// What a connection's thread does after a step.
    enum class NextStep { request, drain, close };

    void accept();
    void admit(net::Fd fd);
    bool closeOneConnection(rules::CloseScope scope);
    void removeClosed(std::unique_lock<std::mutex>& lock);
    void serve(Connection& connection);
    void setPhase(Connection& connection, Connection::Phase phase);
    static NextStep closeWithoutResponse(std::string_view reason);
    NextStep readRequest(Connection& connection, http::Parser& parser, net::Deadline& receivedAt, bool first);
    void askToClose(Connection& connection);
    bool isAskedToClose(const Connection& connection);
    /// Responds to a request. `mayKeepAlive`: the connection may carry another request.
    NextStep respond(int fd, http::Message& request, net::Deadline receivedAt, bool mayKeepAlive);

    const config::Config& config_;
    decisions::Decisions& decisions_;
    net::Fd listener_;
    std::size_t maxConnections_;
    std::function<std::string()> metrics_;
    /// stopping_: responses announce that the connection closes. acceptStopped_: no connection is accepted
    /// any more. closingIdle_: connections that become idle are asked to close.
    std::atomic<bool> ready_{false}, stopping_{false}, acceptStopped_{false};
    bool closingIdle_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    Connections connections_;
    threads::Thread acceptor_;
};

}  // namespace laurelhaven::front
