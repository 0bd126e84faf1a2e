// A crowd of clients, more than a sender has descriptors for. What the sender closes connects again.
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

/// What the members of an idle crowd send: nothing, one question for readiness, or half a request.
std::vector<std::string> idleTexts();
/// What the members of a hoarding crowd send: as much of a request as the sender may have to keep, without
/// its end. Heads of many short fields, bodies that stop before their last byte, and both at once.
std::vector<std::string> hoardingTexts();

class Crowd {
  public:
    /// Holds `connections` to the address for as long as the object lives. They send `texts`, in turn, and
    /// stay. New ones are made only while `mayConnect` is true.
    Crowd(const std::string& address, std::size_t connections, std::function<bool()> mayConnect,
          std::vector<std::string> texts = idleTexts());
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Connections made so far.
    std::uint64_t connected() const { return connected_; }

  private:
    struct Member {
        net::Fd fd;
        bool connected = false;
        std::string_view unsent{};
    };
    void run();
    void connectAbsent();
    void attend(Member& member, short events);

    net::Address address_;
    std::function<bool()> mayConnect_;
    std::vector<std::string> texts_;
    std::atomic<bool> over_{false};
    std::atomic<std::uint64_t> connected_{0};
    std::vector<Member> members_;
    std::thread thread_;
};

}  // namespace laurelhaven::lab::soak
