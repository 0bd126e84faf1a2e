// Token bucket of processor time. It tells client work how long to wait, so that the process stays below its
// share of a core and what has a deadline finds processor time at once. Pure: reads no clock. Not
// thread-safe.
#pragma once

#include <chrono>

namespace laurelhaven::overload {

/// The share of the process's processor time that client work may use up.
inline constexpr double kClientShare = 0.75;
/// Processor time that may be saved up while there is little work, as a time at the refill rate.
inline constexpr std::chrono::milliseconds kBurstTime{50};
/// The longest delay. What was used up beyond that is forgotten.
inline constexpr std::chrono::milliseconds kMaxDelay{400};

class CpuBudget {
  public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// `cores`: share of a core that the process may use.
    explicit CpuBudget(double cores) : ratePerSecond_(cores * kClientShare) {}
    /// Takes note of the processor time that the process has used so far, all work included. Returns how long
    /// client work is to wait from `now` on; 0: not at all.
    std::chrono::nanoseconds delay(TimePoint now, std::chrono::nanoseconds used);

  private:
    double ratePerSecond_;  // of refill, in seconds of processor time
    bool started_ = false;
    TimePoint lastAt_;
    std::chrono::nanoseconds lastUsed_{};
    double balanceSeconds_ = 0;
};

}  // namespace laurelhaven::overload
