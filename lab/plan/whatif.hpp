// What if a zone, a partner or a sender goes, one comes back cold, load grows, a tenant comes: each beside
// the same days without it, so that the difference is known better than either.
#pragma once

#include <string>
#include <vector>

#include "plan/runs.hpp"

namespace laurelhaven::plan {

struct WhatIf {
    std::string name;
    Interval score, difference;   ///< the difference to the day as described, seed by seed
    bool reached = false;         ///< the goal is, on average
    std::uint64_t fallOvers = 0;  ///< partners pushed over, on all days together
};

struct WhatIfOptions {
    double factor = 1;
    int seeds = 8;
    std::size_t partners = 5;  ///< so many of the busiest are lost in turn
    std::vector<double> growth{1.5, 2};
    double tenant = 0.2;  ///< a new one, with so much of the load, all at the busiest partner
    std::function<void(const std::string&)> progress;
};

/// The first is the day as described.
std::vector<WhatIf> whatIf(const Description& description, Runs& runs, const WhatIfOptions& options);

}  // namespace laurelhaven::plan
