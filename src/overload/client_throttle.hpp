// Delays work for clients while the process is near its share of a core. Ends of messages, attempts and
// notices have deadlines; accepting connections and requests has none and can be refused, but clients can ask
// for any amount of it.
#pragma once

#include <chrono>

#include "overload/cpu_budget.hpp"

namespace laurelhaven::overload {

/// A CpuBudget with the clocks of this process. Not thread-safe.
class ClientThrottle {
  public:
    /// `cores`: share of a core that the process may use.
    explicit ClientThrottle(double cores) : budget_(cores) {}
    /// How long client work is to wait from `now` on; 0: not at all.
    std::chrono::nanoseconds delay(CpuBudget::TimePoint now);

  private:
    CpuBudget budget_;
    CpuBudget::TimePoint checkedAt_{}, clearAt_{};
};

/// Processor time that all threads of this process have used.
std::chrono::nanoseconds processCpuTime();

}  // namespace laurelhaven::overload
