// A partner of the soak: endpoints whose answers are as bad as the partner's troubles say.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "listing/listing.hpp"
#include "soak/chance.hpp"
#include "soak/oracle.hpp"
#include "soak/slow_start.hpp"
#include "soak/switches.hpp"
#include "standin/server.hpp"

namespace laurelhaven::lab::soak {

inline constexpr std::size_t kEndpointsEach = 2;

class Partner {
  public:
    /// `host`: the address on which its endpoints listen.
    Partner(std::size_t number, std::string host, const Switches& switches, Oracle& oracle,
            const SlowStartSettings& slowStart, std::uint64_t seed)
        : slowStart_(slowStart),
          number_(number),
          host_(std::move(host)),
          switches_(switches),
          oracle_(oracle),
          chance_(seed) {}

    std::uint64_t destination() const { return number_ + 1; }
    /// Starts one more endpoint, at an address of its own or at one that nobody has any more.
    listing::Endpoint open(const std::string& address = {});
    /// The process of an endpoint ends.
    void close(const std::string& endpoint);
    /// The endpoint that has stood longest, which drains from now on; it still answers what comes.
    std::optional<listing::Endpoint> drainOldest();
    /// All endpoints refuse connections, or listen again.
    void refuse(bool refuses);
    /// Breaks all open connections.
    void cut();
    /// It refuses all for this long, and comes back cold.
    void shut(milliseconds span) { slowStart_.shut(Steady::now(), Steady::now() + span); }

  private:
    bool turnAwayShut(std::uint64_t call, Connection& connection, milliseconds opensIn);
    int draw(int least, int most);
    bool happens(Kind kind);
    bool answer(const std::string& name, const http::Message& request, Connection& connection);
    bool respond(const std::string& name, const http::Message& request, Connection& connection);
    bool turnAway(std::uint64_t call, Connection& connection, milliseconds wait);
    bool turnAwayFull(std::uint64_t call, Connection& connection);
    bool answerWithNoise(std::uint64_t call, Connection& connection);
    /// Behind noise nothing on a connection can be told apart any more.
    void markUnreadable(const Connection& connection);
    bool isReadable(const Connection& connection);
    bool endAttempts(std::uint64_t call, Connection& connection, int status);
    /// Texts that are to be sent again, by connection; guarded by chanceMutex_.
    using Copies = std::map<std::uint64_t, std::string>;
    /// Writes a response, and keeps it where it is to come again.
    bool send(Connection& connection, const std::string& text);
    bool sendSpoilt(Connection& connection, int status);
    void keepCopy(Copies& copies, const Connection& connection, const std::string& text);
    std::string takeCopy(Copies& copies, const Connection& connection);
    /// What comes behind a response while its connection rests. False closes the connection.
    bool rest(Connection& connection);

    SlowStart slowStart_;
    std::size_t number_;
    std::string host_;
    const Switches& switches_;
    Oracle& oracle_;
    std::mutex mutex_, chanceMutex_;
    Chance chance_;
    std::map<std::string, std::unique_ptr<Server>> servers_;
    std::deque<std::string> current_;
    Copies copies_, lateCopies_;
    std::set<std::uint64_t> unreadable_;  ///< numbers of connections; guarded by chanceMutex_
    int opened_ = 0;
};

}  // namespace laurelhaven::lab::soak
