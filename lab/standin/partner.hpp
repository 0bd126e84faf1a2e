// One partner: a destination with endpoints on loopback addresses that share its capacity, queue and limit.
// It answers calls and probes, tells waits and load, can be down, come back cold, drain, hand an address on,
// and be pushed over.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "listing/listing.hpp"
#include "standin/ledger.hpp"
#include "standin/server.hpp"

namespace laurelhaven::lab {

struct PartnerModel {
    std::uint64_t destination = 0;
    double capacity = 4;                    ///< calls a second when warm
    double limit = 0;                       ///< calls a second that it takes; 0: none but its capacity
    double told = 4;                        ///< the weight in the list
    std::chrono::milliseconds serve{200};   ///< usual time of a call
    double serveSpread = 0.25;              ///< sigma of its logarithm
    std::chrono::milliseconds depth{1000};  ///< queue: longer than this is full
    double coldFrom = 0.19;                 ///< share of the capacity right after an outage
    std::chrono::milliseconds warmUp{14000};
    double fallMultiple = 2;                    ///< sent more than this times what it can do ...
    std::chrono::milliseconds fallAfter{2000};  ///< ... for so long, it falls over and stays down
    bool tellsWaits = true;
    bool tellsLoad = true;
    bool probes = true;      ///< answers /health/live
    bool oneSender = false;  ///< what comes during a wait comes from one that was told
};

class Partner {
  public:
    Partner(const PartnerModel& model, Ledger& ledger, std::uint64_t seed);
    ~Partner();

    /// An endpoint of it; listens at once.
    void open(const std::string& endpoint, const std::string& address);
    /// The endpoint drains: it answers 503, probes too.
    void drain(const std::string& endpoint);
    /// Nobody is there any more.
    void close(const std::string& endpoint);
    bool has(const std::string& endpoint) const { return endpoints_.count(endpoint) > 0; }

    /// All endpoints refuse connections.
    void down();
    /// Back, with `coldFrom` of its capacity.
    void up();
    /// Cold since now, without having been down: it came back a moment ago.
    void coolDown();
    bool fallen() const;
    const PartnerModel& model() const { return model_; }

  private:
    struct Point {
        std::string id;
        bool draining = false;
        std::unique_ptr<Server> server;
    };
    bool answer(Point& point, const http::Message& message, Connection& connection);
    bool call(Point& point, const http::Message& message, Connection& connection);
    double present(Moment now) const;
    bool arrived(Moment now);
    http::Fields load(Moment now);
    void fallOver();

    PartnerModel model_;
    Ledger& ledger_;
    mutable std::mutex mutex_;
    std::mt19937_64 chance_;
    std::map<std::string, std::unique_ptr<Point>> endpoints_;
    bool isDown_ = false, fallen_ = false;
    Moment coldAt_{};  // when it came back; long ago: warm
    bool everCold_ = false;
    Moment busyUntil_{};
    double credit_ = 1;
    Moment creditAt_{};
    Moment waitFrom_{}, waitTo_{};  // a wait was told: nothing may come between them
    std::vector<Moment> recent_;    // arrivals of the last fallAfter
};

}  // namespace laurelhaven::lab
