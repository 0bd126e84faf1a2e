// The table of starts: kept lists of several ages, fleets that have changed in several ways, discovery down
// throughout or back after a while; two programs side by side.
#pragma once

#include <string>

#include "rig/world.hpp"

namespace laurelhaven::lab {

struct MatrixOptions {
    Options with;         ///< the program and folder
    std::string against;  ///< another program without a kept list, played beside it; or empty
    int side = 4;         ///< so many runs at once
    std::uint64_t seed = 1;
};

/// A Markdown table; progress goes to `with.progress`. `clean` tells whether `with` broke no rule.
std::string matrix(const MatrixOptions& options, bool& clean);

}  // namespace laurelhaven::lab
