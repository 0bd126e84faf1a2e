#include "overload/cpu_budget.hpp"

#include <algorithm>

namespace laurelhaven::overload {
namespace {

double seconds(std::chrono::nanoseconds span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

std::chrono::nanoseconds CpuBudget::delay(TimePoint now, std::chrono::nanoseconds used) {
    const double mostSaved = ratePerSecond_ * seconds(kBurstTime);
    const double mostOwed = ratePerSecond_ * seconds(kMaxDelay);
    if (!started_) {
        started_ = true;
        balanceSeconds_ = mostSaved;
    } else {
        const double gained = ratePerSecond_ * seconds(now - lastAt_);
        const double spent = seconds(used - lastUsed_);
        balanceSeconds_ = std::clamp(balanceSeconds_ + gained - spent, -mostOwed, mostSaved);
    }
    lastAt_ = now;
    lastUsed_ = used;
    if (balanceSeconds_ >= 0) return {};
    return std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * -balanceSeconds_ / ratePerSecond_));
}

}  // namespace laurelhaven::overload
