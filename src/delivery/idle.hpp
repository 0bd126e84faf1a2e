// Connections that stand idle, by endpoint and address.
#pragma once

#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <string>

#include "net/socket.hpp"

namespace laurelhaven::delivery {

// A connection is shut well before the endpoint's idle time ends: a request that crosses its close is a
// reset.
constexpr double kKeepAliveShare = 0.9;
constexpr std::chrono::milliseconds kReuseDelay{10};  ///< before it carries another call; see Idle

// Danger: an endpoint goes and another takes over its address. What was connected to the first must not carry
// calls to the second, so the endpoint's id counts, not the address alone.
// Danger: a second copy of an answer may come right behind it, and would be taken for the answer to the next
// call; that call's own answer would go to the one after it, and so on. So a connection rests first, and is
// used again only if nothing has come meanwhile.
class IdleConnections {
  public:
    /// A connection rests for `rest` before it is used again, and is kept for `keep`.
    IdleConnections(std::chrono::nanoseconds reuseDelay, std::chrono::nanoseconds keepAlive,
                    std::size_t maxConnections)
        : reuseDelay_(reuseDelay), keepAlive_(keepAlive), maxConnections_(maxConnections) {}
    /// The one used last that has rested, still open as far as can be seen; or empty.
    net::Fd acquire(const std::string& endpoint, const std::string& address);
    void release(const std::string& endpoint, const std::string& address, net::Fd fd);
    /// Closes those to the endpoint.
    void closeEndpoint(const std::string& endpoint);
    /// Closes each connection when it has stood idle for its time; returns once stopped.
    void runExpiry();
    void stop();

  private:
    struct Entry {
        std::string endpoint, address;
        net::Fd fd;
        net::Deadline reusableAt, expiresAt;
    };
    std::chrono::nanoseconds reuseDelay_, keepAlive_;
    std::size_t maxConnections_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::list<Entry> entries_;  // the one that stood longest first
    bool stopped_ = false;
};

}  // namespace laurelhaven::delivery
