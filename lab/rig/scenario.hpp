// A scenario: a fleet, what the senders remember of it, what has changed since, what discovery does, the load
// and the troubles; read from YAML and checked by a schema.
#pragma once

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/day.hpp"
#include "standin/discovery.hpp"

namespace laurelhaven::lab {

using std::chrono::milliseconds;

struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Event {
    milliseconds at{};
    enum class Kind {
        discovery,
        loseHistory,
        outage,
        back,
        drain,
        kill,
        stop,
        start,
        move,
        slow,
        limit,
        zoneLost,
        zoneBack
    } kind = Kind::discovery;
    Discovery::Mode mode = Discovery::Mode::up;
    std::size_t which = 0;  ///< partner, sender or zone
    double factor = 1;      ///< for slow: calls take so many times as long
};

/// A day that is given whole, as a description of a fleet says it: its partners, senders and messages go
/// before what a scenario says of them.
struct Given {
    model::Fleet fleet;
    std::vector<model::Handing> messages;
    std::vector<std::string> names;  ///< of the partners, for whoever watches
};

struct Scenario {
    std::shared_ptr<const Given> given;  ///< or none
    std::string name = "unnamed";
    std::uint64_t seed = 1;
    std::size_t block = 0;  ///< runs side by side in one process each have their own
    int senders = 1;
    bool mayProbe = true;
    int diskMb = 3;

    int partners = 8;
    int endpoints = 2;                    ///< of each partner
    double rateLeast = 3, rateMost = 12;  ///< calls a second that a partner takes, spread evenly over them
    bool limits = true;                   ///< every other partner has a limit that it tells
    milliseconds serve{150};

    bool kept = true;  ///< the senders have a kept list
    milliseconds keptAge{0};
    bool known = false;      ///< the configuration gives the list of that time, too
    double drained = 0;      ///< share of the endpoints that have drained since
    double readdressed = 0;  ///< share whose address another endpoint has now
    int cold = 0;            ///< so many of the largest partners are cold at the start

    Discovery::Mode discovery = Discovery::Mode::up;
    std::vector<Event> events;  ///< in order of time

    double load = 0.5;   ///< of what the partners take together
    double clumped = 0;  ///< share of the messages that comes in clumps for one partner ...
    double clump = 20;   ///< ... of so many on average
    milliseconds duration{15000};
    milliseconds deadline{10000};
    milliseconds wanted{4000};
};

/// Throws Bad, with file, line and what would be right.
Scenario scenario(const std::string& yaml, const std::string& name);
Scenario scenarioFile(const std::string& path);

}  // namespace laurelhaven::lab
