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
constexpr double kKeepShare = 0.9;
constexpr std::chrono::milliseconds kRestBetween{10};  ///< before it carries another call; see Idle

// Danger: an endpoint goes and another takes over its address. What was connected to the first must not carry
// calls to the second, so the endpoint's id counts, not the address alone.
// Danger: a second copy of an answer may come right behind it, and would be taken for the answer to the next
// call; that call's own answer would go to the one after it, and so on. So a connection rests first, and is
// used again only if nothing has come meanwhile.
class Idle {
  public:
    /// A connection rests for `rest` before it is used again, and is kept for `keep`.
    Idle(std::chrono::nanoseconds rest, std::chrono::nanoseconds keep, std::size_t most)
        : rest_(rest), keep_(keep), most_(most) {}
    /// The one used last that has rested, still open as far as can be seen; or empty.
    net::Fd take(const std::string& endpoint, const std::string& address);
    void give(const std::string& endpoint, const std::string& address, net::Fd fd);
    /// Closes those to the endpoint.
    void close(const std::string& endpoint);
    /// Closes each connection when it has stood idle for its time; returns once stopped.
    void expire();
    void stop();

  private:
    struct Entry {
        std::string endpoint, address;
        net::Fd fd;
        net::Deadline from, until;
    };
    std::chrono::nanoseconds rest_, keep_;
    std::size_t most_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::list<Entry> entries_;  // the one that stood longest first
    bool stopped_ = false;
};

}  // namespace laurelhaven::delivery
