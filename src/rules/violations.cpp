#include "rules/violations.hpp"

#include <numeric>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::rules {

std::string_view name(Rule rule) {
    constexpr std::array<std::string_view, kRuleCount> kNames{
        "drain",      "wait",         "overlap",  "attempts",    "record",       "deadline",
        "key_window", "final_answer", "late_end", "own_outcome", "own_response", "after_end"};
    return kNames[static_cast<std::size_t>(rule)];
}

void Violations::count(Rule rule, std::string_view subject, std::string_view detail) {
    ++counts_[static_cast<std::size_t>(rule)];
    metrics::counter("rule_violations_total", "rule", name(rule)).add();
    (log::error() << "rule violated").kv("rule", name(rule)).kv("subject", subject).kv("detail", detail);
}

std::uint64_t Violations::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& count) { return sum + count.load(); });
}

}  // namespace laurelhaven::rules
