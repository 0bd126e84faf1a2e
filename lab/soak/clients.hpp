// The clients of one sender: each hands in messages over connections that it keeps, and some are rude.
#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <string>
#include <thread>
#include <vector>

#include "net/socket.hpp"
#include "soak/chance.hpp"
#include "soak/machine.hpp"
#include "soak/message_class.hpp"
#include "soak/oracle.hpp"
#include "soak/switches.hpp"

namespace laurelhaven::lab::soak {

struct ClientPlan {
    std::uint64_t seed = 1;
    std::size_t number = 0;    ///< among the clients of its sender
    std::size_t partners = 1;  ///< destinations that it hands in for
    int longestPauseMs = 200;  ///< between two messages
};

class Client {
  public:
    Client(const ClientPlan& plan, const Machine& machine, Oracle& oracle, const Switches& switches)
        : plan_(plan),
          machine_(machine),
          oracle_(oracle),
          switches_(switches),
          chance_(plan.seed * 10007 + machine.number() * 101 + plan.number) {}

    /// Hands in until told to end.
    void run(const std::atomic<bool>& handing);

  private:
    static constexpr std::size_t kConnections = 3;

    const MessageClass& anyClass();
    HandIn message(const std::string& id, const MessageClass& its);
    std::string request(const HandIn& in, const MessageClass& its) const;
    net::Fd connect() const;
    /// Hands one message in, once more on a new connection where it crossed the end of a kept one. Returns
    /// the connection where it may be used again.
    net::Fd handIn(const std::string& id, net::Fd kept);
    struct Heard {
        int status = 0;  ///< 0: no answer
        bool keepsAlive = false;
        bool written = false;
        net::IoResult io = net::IoResult::done;
    };
    static Heard exchange(int fd, const std::string& text, Moment until, bool endsSending);
    /// The state of the sender's machine, as far as it bears on its connections.
    struct Surroundings {
        bool networkFails = false, crowded = false;
    };
    Surroundings surroundings() const;
    NoAnswer lost(const Heard& heard, const Surroundings& before) const;
    void beRude(const std::string& id);
    /// Sends a request again that was accepted, as after a connection that broke behind its answer.
    void repeatEarlier();
    /// Sends one of the first requests that were accepted again.
    void repeatFirst();
    void sendAgain(const std::string& text) const;
    void sendHalfAndStay(const std::string& id, int fd, const std::string& half);
    void sendAndLeave(HandIn& in, int fd, const std::string& text);
    void halfClose(HandIn& in, int fd, const std::string& text);

    ClientPlan plan_;
    const Machine& machine_;
    Oracle& oracle_;
    const Switches& switches_;
    Chance chance_;
    std::array<net::Fd, kConnections> kept_;
    std::deque<std::string> accepted_;        // the last requests that were
    std::vector<std::string> firstAccepted_;  // the first ones
};

}  // namespace laurelhaven::lab::soak
