// The clients' side: a listener and a thread for each connection, within the number that the limits leave.
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

class HttpServer {
  public:
    /// Listens from here on; throws std::system_error where it can't.
    HttpServer(const config::Config& config, decisions::Decisions& decisions);
    ~HttpServer() { stop(); }
    void start();
    /// From now on /health/ready answers 503; everything else goes on.
    void setNotReady() { ready_ = false; }
    /// What GET /metrics answers; nothing: 404. Set before start().
    void setMetrics(std::function<std::string()> text) { metrics_ = std::move(text); }
    /// No new connections; those open end after the request that they are in.
    void stop();
    std::size_t connectionCount();
    int port() const { return net::localPort(listener_.get()); }

  private:
    struct Connection {
        net::Fd fd;
        using Phase = rules::ConnectionPhase;
        Phase phase = Phase::fresh;
        net::Deadline since;
        bool askedToClose = false;
        threads::Thread thread;
    };
    using Connections = std::list<Connection>;
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
    /// `stays`: the connection may carry another request.
    NextStep respond(int fd, http::Message& request, net::Deadline receivedAt, bool mayKeepAlive);

    const config::Config& config_;
    decisions::Decisions& decisions_;
    net::Fd listener_;
    std::size_t maxConnections_;
    std::function<std::string()> metrics_;
    /// stopping: answers say that the connection ends. deaf: nobody is let in any more. closing: whoever has
    /// sent nothing since is shut.
    std::atomic<bool> ready_{false}, stopping_{false}, acceptStopped_{false};
    bool closingIdle_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    Connections connections_;
    threads::Thread acceptor_;
};

}  // namespace laurelhaven::front
