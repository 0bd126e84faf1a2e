// A fleet as people describe it for planning: partners, senders, clients, the service that is wanted, the
// load and the troubles of a day. Read from YAML with units, checked by a schema and then for sense; and
// drawn by seed, for tests of the planner that nobody chose.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "model/day.hpp"

namespace laurelhaven::fleet {

using lab::Instant;

/// Says what is wrong with a description: file, line, and what would be right.
struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Partner {
    std::string name;
    model::Partner is;
    double perEndpoint = 4;  ///< calls a second that each of its endpoints does; its capacity is their sum
    bool atLeast = false;    ///< that is only a lower bound: it was never seen full
    double asked = 0;        ///< messages a second for it, at a load of 1
    /// Its capacity follows from its endpoints.
    void setEndpoints(int n);
};

/// For a time there is so many times the usual load: for one partner, or for all.
struct Burst {
    Instant at{}, span{};
    double factor = 2;
    std::optional<std::size_t> partner;
};

struct Load {
    Instant span = std::chrono::seconds(60);
    std::uint32_t tenants = 1;
    double clumped = 0, clump = 20;  ///< see model::Shape
    std::chrono::milliseconds within{500};
    std::vector<Burst> bursts;
};

struct Description {
    std::string name = "unnamed";
    std::vector<std::string> zones{"z"};
    std::vector<Partner> partners;
    model::Senders senders;
    model::Clients clients;
    model::Network network;
    model::Service service;
    double goal = 0.95;  ///< the score that is wanted; see model::Worth
    Load load;
    std::vector<model::Trouble> troubles;

    /// For the model.
    model::Fleet fleet() const;
    /// The day's messages at `factor` times the load. For one seed the messages at one factor are among those
    /// at every greater one (common random numbers), whole clumps of them.
    std::vector<model::Handing> messages(double factor, std::uint64_t seed) const;
};

/// Throws Bad.
Description read(const std::string& yaml, const std::string& name);
Description readFile(const std::string& path);
/// What `read` takes, with a line of comment for each partner where `notes` has one.
std::string written(const Description& description, const std::vector<std::string>& notes = {});

/// A fleet that nobody chose: partners of unlike size, speed and limits, load with or without clumps, few or
/// many slots. Its load is near what it can bear at some factor between 0.5 and 4.
Description drawn(std::uint64_t seed);

}  // namespace laurelhaven::fleet
