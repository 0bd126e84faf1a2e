#include "overload/client_throttle.hpp"

#include <algorithm>
#include <ctime>

#include "metrics/metrics.hpp"

namespace laurelhaven::overload {
namespace {

// Reading the processor time costs more the more threads there are.
constexpr std::chrono::milliseconds kCheckInterval{2};

}  // namespace

std::chrono::nanoseconds processCpuTime() {
    timespec used{};
    if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return {};
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

std::chrono::nanoseconds ClientThrottle::delay(CpuBudget::TimePoint now) {
    using std::chrono::nanoseconds;
    if (now >= checkedAt_ + kCheckInterval) {
        checkedAt_ = now;
        clearAt_ = now + budget_.delay(now, processCpuTime());
        static auto& delays = metrics::counter("client_work_delays_total");
        if (clearAt_ > now) delays.add();
    }
    return std::max<nanoseconds>(clearAt_ - now, nanoseconds{});
}

}  // namespace laurelhaven::overload
