// Holds the current address of discovery for its clients, the watch and the notices, and tells them when it
// changes.
#pragma once

#include <mutex>
#include <stop_token>

#include "net/socket.hpp"

namespace laurelhaven::discovery {

/// An address, and whether it is still the current one.
struct Location {
    net::Address address;
    std::stop_token moved;  ///< stop is requested when discovery moves; connections to the address end then
};

/// Thread-safe.
class Discovery {
  public:
    explicit Discovery(net::Address at) : address_(std::move(at)) {}
    Location location() const;
    /// Changes the address, and ends the connections to the old one. False if the address is the same.
    bool moveTo(const net::Address& to);

  private:
    mutable std::mutex mutex_;
    net::Address address_;
    std::stop_source moved_;
};

}  // namespace laurelhaven::discovery
