// Client work waits while the process uses more than its part of the processor time, and only then.
#include "overload/cpu_budget.hpp"

#include <gtest/gtest.h>

namespace {

using namespace laurelhaven::overload;
using namespace std::chrono_literals;
using std::chrono::nanoseconds;

constexpr double kCores = 0.2;
constexpr nanoseconds kStep = 10ms;

class CpuBudgetTest : public testing::Test {
  protected:
    /// One step of time in which the process uses this much processor time.
    nanoseconds step(nanoseconds usedInStep) {
        now_ += kStep;
        used_ += usedInStep;
        return budget_.delay(now_, used_);
    }

    CpuBudget budget_{kCores};
    CpuBudget::TimePoint now_{1h};
    nanoseconds used_ = 5s;
};

TEST_F(CpuBudgetTest, DoesNotDelayBelowTheClientShare) {
    budget_.delay(now_, used_);
    const auto below = nanoseconds(static_cast<std::int64_t>(0.99 * kClientShare * kCores * 1e7));
    for (int i = 0; i < 1000; ++i) ASSERT_EQ(step(below), 0ns);
}

TEST_F(CpuBudgetTest, LetsABurstPassAfterAQuietTime) {
    for (int i = 0; i < 100; ++i) step(0ns);
    EXPECT_EQ(step(nanoseconds(static_cast<std::int64_t>(0.9 * kClientShare * kCores * 5e7))), 0ns);
}

TEST_F(CpuBudgetTest, DelaysForAsLongAsTheExcessTakesToEarn) {
    budget_.delay(now_, used_);
    // A whole step of processor time earns back at the client share of the cores.
    const double excess = 0.010 - 0.010 * kClientShare * kCores - 0.050 * kClientShare * kCores;
    EXPECT_NEAR(std::chrono::duration<double>(step(kStep)).count(), excess / (kClientShare * kCores), 1e-6);
}

// Work with a deadline may use up everything for long; clients are served again soon after it.
TEST_F(CpuBudgetTest, ForgetsWhatWasUsedUpBeyondTheLongestDelay) {
    budget_.delay(now_, used_);
    for (int i = 0; i < 100; ++i) EXPECT_LE(step(kStep), kMaxDelay);
    now_ += kMaxDelay;
    EXPECT_EQ(budget_.delay(now_, used_), 0ns);
}

}  // namespace
