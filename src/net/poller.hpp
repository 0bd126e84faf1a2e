// Waits for events on many sockets at once.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "net/socket.hpp"

namespace laurelhaven::net {

/// What to wait for on a socket. `readable` includes the end of the peer's sending.
enum class Interest { none, readable, writable };

/// An epoll instance. One thread waits; wake() may be called by any.
class Poller {
  public:
    /// Throws std::system_error on failure.
    Poller();
    /// Waits for events on the socket from now on; wait() returns `tag` for them. False on failure.
    bool add(int fd, Interest interest, void* tag);
    /// Changes what to wait for. Errors are always reported, also with Interest::none.
    void change(int fd, Interest interest, void* tag);
    /// Waits for nothing more on the socket. To be called before it is closed.
    void remove(int fd);
    /// The tags of the sockets with events, each once. Returns an empty list at the deadline and after
    /// wake().
    const std::vector<void*>& wait(Deadline until);
    /// True if the last wait() may have left out sockets with events, as there were many.
    bool hadMore() const { return hadMore_; }
    /// Ends the current or the next wait().
    void wake();

  private:
    Fd epoll_, wakeEvent_;
    std::vector<void*> ready_;
    bool hadMore_ = false;
};

}  // namespace laurelhaven::net
