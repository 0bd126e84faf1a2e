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

class Front {
  public:
    /// Listens from here on; throws std::system_error where it can't.
    Front(const config::Config& config, decisions::Decisions& decisions);
    ~Front() { stop(); }
    void start();
    /// From now on /health/ready answers 503; everything else goes on.
    void drain() { ready_ = false; }
    /// What GET /metrics answers; nothing: 404. Set before start().
    void setMetrics(std::function<std::string()> text) { metrics_ = std::move(text); }
    /// No new connections; those open end after the request that they are in.
    void stop();
    std::size_t connections();
    int port() const { return net::localPort(listener_.get()); }

  private:
    struct Connection {
        net::Fd fd;
        using Phase = rules::ConnectionPhase;
        Phase phase = Phase::fresh;
        net::Deadline since;
        bool shut = false;
        threads::Thread thread;
    };
    using Connections = std::list<Connection>;
    enum class Next { request, drain, close };

    void accept();
    void admit(net::Fd fd);
    bool makeRoom(rules::CloseScope least);
    void reap(std::unique_lock<std::mutex>& lock);
    void serve(Connection& connection);
    void enter(Connection& connection, Connection::Phase phase);
    static Next closing(std::string_view reason);
    Next read(Connection& connection, http::Parser& parser, net::Deadline& came, bool first);
    void tellToGo(Connection& connection);
    bool toldToGo(const Connection& connection);
    /// `stays`: the connection may carry another request.
    Next answer(int fd, http::Message& request, net::Deadline came, bool stays);

    const config::Config& config_;
    decisions::Decisions& decisions_;
    net::Fd listener_;
    std::size_t most_;
    std::function<std::string()> metrics_;
    /// stopping: answers say that the connection ends. deaf: nobody is let in any more. closing: whoever has
    /// sent nothing since is shut.
    std::atomic<bool> ready_{false}, stopping_{false}, deaf_{false};
    bool closing_ = false;
    std::mutex mutex_;
    std::condition_variable changed_;
    Connections connections_;
    threads::Thread acceptor_;
};

}  // namespace laurelhaven::front
