// Counters and gauges of the process, in the text format that Prometheus reads (exposition format 0.0.4).
// Counters are made once and live as long as the process; counting is one atomic addition.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace laurelhaven::metrics {

class Counter {
  public:
    void add(std::uint64_t more = 1) { value_.fetch_add(more, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

  private:
    std::atomic<std::uint64_t> value_{0};
};

/// The counter of that name and label, made at the first call. Names are bounded by the program's text:
/// nothing that comes from outside may become one.
Counter& counter(std::string_view name, std::string_view label = {}, std::string_view value = {});
/// A value that is read when somebody asks. Replaces one of the same name; an empty function removes it.
void setGauge(std::string_view name, std::function<double()> read);

/// All of them, a line each.
std::string renderText();

}  // namespace laurelhaven::metrics
