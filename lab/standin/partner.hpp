// One partner: a destination with endpoints on loopback addresses that share its capacity, queue and limit.
// It answers calls and probes, tells waits and load, can be down, come back cold, drain, hand an address on,
// and be pushed over.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "desk/desk.hpp"
#include "listing/listing.hpp"
#include "standin/ledger.hpp"
#include "standin/server.hpp"

namespace laurelhaven::lab {

class Partner {
  public:
    Partner(const PartnerModel& model, Ledger& ledger, std::uint64_t seed);
    ~Partner();

    /// An endpoint of it; listens at once.
    void open(const std::string& endpoint, const std::string& address, int zone = 0);
    /// The endpoint drains: it answers 503, probes too.
    void drain(const std::string& endpoint);
    /// Nobody is there any more.
    void close(const std::string& endpoint);
    bool has(const std::string& endpoint) const { return endpoints_.count(endpoint) > 0; }

    /// All endpoints refuse connections.
    void down();
    /// Back, with `coldFrom` of its capacity.
    void up();
    /// Its endpoints in that zone refuse connections; its capacity is what the others have.
    void down(int zone);
    /// They are back: cold, where none of the others was there.
    void up(int zone);
    /// Calls take so many times as long from now on.
    void slow(double factor);
    /// It takes this many times its usual limit from now on, and tells so.
    void limit(double factor);
    /// Cold since now, without having been down: it came back a moment ago.
    void coolDown();
    bool fallen() const;
    bool isDown() const;
    const PartnerModel& model() const { return desk_.model(); }

  private:
    struct Point {
        std::string id;
        int zone = 0;
        bool draining = false, down = false;
        std::unique_ptr<Server> server;
    };
    bool answer(Point& point, const http::Message& message, Connection& connection);
    bool call(Point& point, const http::Message& message, Connection& connection);
    void settle();
    bool arrived(Moment now);
    http::Fields load(Moment now) const;

    Ledger& ledger_;
    mutable std::mutex mutex_;
    Desk desk_;
    std::map<std::string, std::unique_ptr<Point>> endpoints_;
    bool isDown_ = false;
};

}  // namespace laurelhaven::lab
