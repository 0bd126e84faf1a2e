// What the facade tells clients, where the module has no say. Also for whoever models it.
#pragma once

#include <chrono>

namespace laurelhaven::decisions {

constexpr std::chrono::milliseconds kRetryAfterWhenFull{500};  ///< when the hold or the store is full
constexpr std::chrono::milliseconds kRetryAfterUnknownDestination{
    1000};  ///< when no endpoint of the destination is listed

}  // namespace laurelhaven::decisions
