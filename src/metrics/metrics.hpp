// Counters and gauges of the process, rendered in the Prometheus text exposition format 0.0.4. Counters are
// created once and live as long as the process; counting is one atomic addition. Safe for use by several
// threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace laurelhaven::metrics {

/// A number that only grows.
class Counter {
  public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

  private:
    std::atomic<std::uint64_t> value_{0};
};

/// The counter with this name and label, created on the first call. The name is prefixed with "laurelhaven_".
/// Names and label values must come from a fixed set in the program, never from input, so that the number of
/// series stays bounded.
Counter& counter(std::string_view name, std::string_view label = {}, std::string_view value = {});
/// Registers a gauge whose value is read by calling `read` from renderText(), without a lock held. Replaces a
/// gauge of the same name; an empty function removes it.
void setGauge(std::string_view name, std::function<double()> read);
/// The same with a label, under the rules for labels of counters.
void setGauge(std::string_view name, std::string_view label, std::string_view value,
              std::function<double()> read);

/// All counters and gauges, one line each, with their # TYPE lines.
std::string renderText();

}  // namespace laurelhaven::metrics
