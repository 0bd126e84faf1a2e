// Judges how late the ends of messages are: every accepted message is to be delivered, or ended by a notice
// to the platform, at its deadline or shortly after it. Counts and logs; decides nothing. Safe for use by
// several threads.
#pragma once

#include <chrono>
#include <string_view>

#include "rules/violations.hpp"

namespace laurelhaven::rules {

/// An end that is later than this after the deadline of its message violates the rule late_end.
inline constexpr std::chrono::milliseconds kMaxEndLateness{300};
/// An end that is later than this is worth a line in the log.
inline constexpr std::chrono::milliseconds kNotableEndLateness{50};

/// A delivery counts if its response arrived this long before the deadline of its message at the latest. The
/// client counts the message's time from when it wrote the request, and a delivery from when the endpoint
/// wrote the response; here only their arrival is known.
inline constexpr std::chrono::milliseconds kDeliveryMargin{20};

/// Whether a response with status 200 that arrived then delivers a message with this deadline.
inline bool deliversInTime(std::chrono::steady_clock::time_point arrivedAt,
                           std::chrono::steady_clock::time_point deadline) {
    return arrivedAt + kDeliveryMargin <= deadline;
}

/// A step of an end on its way to the platform.
enum class EndStep { decided, acknowledged };

class EndRules {
  public:
    explicit EndRules(Violations& violations) : violations_(violations) {}
    /// The step was taken this long after the deadline of the message; before it if negative. Only a decision
    /// is held against the rule: an acknowledgement also depends on the platform.
    void taken(EndStep step, std::string_view id, std::chrono::nanoseconds lateness);

  private:
    Violations& violations_;
};

}  // namespace laurelhaven::rules
