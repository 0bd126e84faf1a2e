// Rendering metrics does not deadlock with threads that count.
#include "metrics/metrics.hpp"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace {

using namespace laurelhaven;

// A gauge locks its owner's mutex, and the owner creates counters while holding that mutex. If the registry
// stayed locked while gauges are read, the two threads would deadlock.
TEST(Metrics, CounterIsAvailableWhileGaugeIsRead) {
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
    EXPECT_TRUE(inTime) << "the counter was not available until the gauge had been read";
    EXPECT_NE(text.find("laurelhaven_test_gauge 1\n"), std::string::npos);
}

}  // namespace
