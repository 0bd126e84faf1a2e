// How many servers a goal needs: senders, and endpoints for each partner. One day judges all partners at
// once, so that the search needs as many days as bisecting one of them, not as all of them.
#pragma once

#include <string>
#include <vector>

#include "plan/breaks.hpp"

namespace laurelhaven::plan {

struct SizeOptions {
    double factor = 1;  ///< times the load
    int seeds = 6;
    int mostSenders = 32;
    int mostEndpoints = 64;  ///< of a partner
    std::function<void(const std::string&)> progress;
};

struct Size {
    bool reached = false;
    int senders = 0;
    std::vector<int> endpoints;  ///< by partner
    Interval score;              ///< at that size; at the greatest one where the goal can't be reached
    /// Partners and senders for which more servers change nothing, and what binds there.
    std::vector<std::string> useless;
    std::uint64_t played = 0;  ///< days
    /// Days that trying each number of senders and of endpoints by itself would take.
    std::uint64_t sweep = 0;
};

Size size(const Description& description, Runs& runs, const SizeOptions& options);

}  // namespace laurelhaven::plan
