// Retry-After values that the facade gives to clients where the decision module supplies none. The simulation
// of the sender uses them too.
#pragma once

#include <chrono>

namespace laurelhaven::decisions {

/// The limit on held messages is reached, the store can't accept a message, or the process is stopping. Also
/// where the module refuses a message without a time of its own.
constexpr std::chrono::milliseconds kRetryAfterWhenFull{500};
/// No endpoint of the destination is listed.
constexpr std::chrono::milliseconds kRetryAfterUnknownDestination{1000};

}  // namespace laurelhaven::decisions
