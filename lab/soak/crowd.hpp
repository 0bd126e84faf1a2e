// A crowd of idle clients, more than a sender has descriptors for. What the sender closes connects again.
#pragma once

#include <poll.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "net/socket.hpp"

namespace laurelhaven::lab::soak {

class Crowd {
  public:
    /// Holds `connections` to the address for as long as the object lives. They say nothing, or ask for
    /// readiness once, or send half a request. New ones are made only while `mayConnect` is true.
    Crowd(const std::string& address, std::size_t connections, std::function<bool()> mayConnect);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Connections made so far.
    std::uint64_t connected() const { return connected_; }

  private:
    struct Member {
        net::Fd fd;
        bool connected = false;
    };
    void run();
    void connectAbsent();
    void attend(Member& member, short events);

    net::Address address_;
    std::function<bool()> mayConnect_;
    std::atomic<bool> over_{false};
    std::atomic<std::uint64_t> connected_{0};
    std::vector<Member> members_;
    std::thread thread_;
};

}  // namespace laurelhaven::lab::soak
