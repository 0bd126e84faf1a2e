// A listener on a loopback address with a thread for each connection: what all stand-ins are built on. It can
// refuse (nobody listens), go silent (it accepts and reads, and says nothing) and come back.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::lab {

/// One connection, as a handler sees it.
class Connection {
  public:
    Connection(int fd, const std::atomic<bool>& ending);
    bool send(std::string_view bytes);
    /// False once the server ends or the other side has gone.
    bool open() const;
    /// Sleeps, in pieces, while the connection is open.
    bool pause(std::chrono::nanoseconds span) const;
    /// Resets it: what the other side has not read yet stays readable there.
    void reset();
    /// Differs from that of every other connection in this process.
    std::uint64_t number() const { return number_; }

  private:
    int fd_;
    const std::atomic<bool>& ending_;
    std::uint64_t number_;
};

class Server {
  public:
    /// False from the handler closes the connection.
    using Handler = std::function<bool(const http::Message&, Connection&)>;
    Server(std::string address, Handler handler);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Listens; throws std::system_error where the address is taken.
    void start();
    /// Resets what is open and refuses what comes: the process has died.
    void stop();
    void setSilent(bool silent) { silent_ = silent; }
    /// Connections stay open behind requests that announce their close.
    void setIgnoresClose(bool ignores) { ignoresClose_ = ignores; }
    /// Breaks all open connections, and goes on listening.
    void cut();
    const std::string& address() const { return address_; }

  private:
    struct Peer {
        net::Fd fd;
        std::thread thread;
        std::atomic<bool> done{false};
    };
    void accept(int listener);
    void serve(Peer& peer);
    void reap();

    std::string address_;
    Handler handler_;
    std::atomic<bool> silent_{false}, ending_{false}, ignoresClose_{false};
    net::Fd listener_;
    std::thread acceptor_;
    std::mutex mutex_;
    std::list<Peer> peers_;
};

}  // namespace laurelhaven::lab
