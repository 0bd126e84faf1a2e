// Where discovery is just now. One owner of the address, for all that speak with it: the watch and the
// notices.
#pragma once

#include <mutex>
#include <stop_token>

#include "net/socket.hpp"

namespace laurelhaven::discovery {

/// One address, for as long as it holds.
struct Location {
    net::Address address;
    std::stop_token moved;  ///< requested once discovery is elsewhere: what is open there is of no more use
};

class Discovery {
  public:
    explicit Discovery(net::Address at) : address_(std::move(at)) {}
    Location location() const;
    /// Breaks what goes on at the old address. False where it is the same one.
    bool moveTo(const net::Address& to);

  private:
    mutable std::mutex mutex_;
    net::Address address_;
    std::stop_source moved_;
};

}  // namespace laurelhaven::discovery
