#include "rules/end_rules.hpp"

#include <string>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::rules {
namespace {

/// The range that a lateness falls into, as metrics name it.
std::string_view latenessRange(std::chrono::nanoseconds lateness) {
    if (lateness > kMaxEndLateness) return "over_300_ms";
    return lateness > kNotableEndLateness ? "over_50_ms" : "in_time";
}

}  // namespace

void EndRules::taken(EndStep step, std::string_view id, std::chrono::nanoseconds lateness) {
    const bool decided = step == EndStep::decided;
    metrics::counter(decided ? "ends_decided_total" : "ends_acknowledged_total", "lateness",
                     latenessRange(lateness))
        .add();
    if (lateness <= kNotableEndLateness) return;
    const auto lateMs = lateness / std::chrono::milliseconds(1);
    if (decided && lateness > kMaxEndLateness)
        return violations_.count(Rule::lateEnd, id, std::to_string(lateMs) + " ms late");
    (log::warning() << "late end of a message")
        .kv("id", id)
        .kv("step", decided ? "decided" : "acknowledged")
        .kv("late_ms", lateMs);
}

}  // namespace laurelhaven::rules
