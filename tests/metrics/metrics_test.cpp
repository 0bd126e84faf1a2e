// Metrics are read while whoever counts goes on: nobody waits for the other in a circle.
#include "metrics/metrics.hpp"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace {

using namespace laurelhaven;

// Danger: a gauge is read under the lock of whoever owns it, and its owner counts under the same lock. Where
// the reader keeps the counters locked meanwhile, the two wait for each other for good.
TEST(Metrics, ACounterCanBeHadWhileAGaugeIsRead) {
    std::mutex mutex;
    std::condition_variable changed;
    bool counted = false, inTime = false;
    std::thread owner;
    metrics::setGauge("test_gauge", [&] {
        owner = std::thread([&] {
            metrics::counter("test_while_reading_total").add();
            const std::lock_guard lock(mutex);
            counted = true;
            changed.notify_all();
        });
        std::unique_lock lock(mutex);
        inTime = changed.wait_for(lock, std::chrono::seconds(5), [&] { return counted; });
        return 1.0;
    });
    const auto text = metrics::renderText();
    owner.join();
    metrics::setGauge("test_gauge", {});
    EXPECT_TRUE(inTime) << "whoever counts waits until the gauge has been read";
    EXPECT_NE(text.find("laurelhaven_test_gauge 1\n"), std::string::npos);
}

}  // namespace
