// A described fleet on the model and on loopback at rising loads: where and by what the planner says that it
// breaks first, and where and by what it did with real senders. One day's messages are planned with and
// replayed, as a captured day's would be.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "agree/agree.hpp"
#include "plan/breaks.hpp"

namespace laurelhaven::agree {

/// The description's day at that load, for real senders.
lab::Scenario scenario(const fleet::Description& description, double factor, std::uint64_t seed);

struct Rung {
    double load = 0;
    double model = 0, loopback = 0;  ///< score
    bool kept = true;                ///< no rule was broken on loopback
};

struct Ladder {
    std::string name;
    double goal = 0;
    plan::Breaks plan;
    std::vector<std::string> planned;  ///< names of the causes
    std::vector<Rung> rungs;           ///< in order of load
    /// Where the score crosses the goal, evenly between two rungs; nothing where it does not.
    std::optional<double> model, loopback;
    std::string measured;  ///< what bound on loopback, on the first rung under the goal
    bool sameCause = false;
    /// What the planner names, lifted: the score on the rung under the goal with it bound,
    /// and not. Nothing where no rung lies under the goal.
    struct Lift {
        double load = 0, model = 0, modelLifted = 0, loopback = 0, loopbackLifted = 0;
        /// Loopback gains half of what the model does, or more.
        bool confirmed() const { return loopbackLifted - loopback >= (modelLifted - model) / 2; }
    };
    std::optional<Lift> lift;
};

struct LadderOptions {
    lab::Options lab;
    std::vector<double> rungs{0.8, 0.9, 1.0, 1.1, 1.25};  ///< times the load that the planner says
    std::uint64_t day = 1;  ///< the day that is planned with and replayed: its messages
    int side = 4;           ///< runs at once
    int seeds = 8;          ///< the planner's days
};

/// What bound, as far as receivers and clients can see it: the partner whose messages lost most, by what it
/// turned away, or the senders' slots where they were all out for a tenth of the time and more.
plan::Resource measured(const lab::Report& report, const fleet::Description& description);

std::vector<Ladder> ladders(const std::vector<fleet::Description>& fleets, const LadderOptions& options);

std::string table(const std::vector<Ladder>& ladders);
std::string json(const std::vector<Ladder>& ladders);

}  // namespace laurelhaven::agree
