#include "metrics/metrics.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <sstream>

namespace laurelhaven::metrics {
namespace {

constexpr std::string_view kPrefix = "laurelhaven_";

struct Registry {
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters;  // key: prefixed name and label
    std::map<std::string, std::function<double()>, std::less<>> gauges;
};

Registry& registry() {
    static Registry instance;
    return instance;
}

std::string seriesOf(std::string_view name, std::string_view label, std::string_view value) {
    std::string series(kPrefix);
    series.append(name);
    if (!label.empty()) series.append("{").append(label).append("=\"").append(value).append("\"}");
    return series;
}

/// The part of a series before its label: the name of the metric.
std::string_view metricName(std::string_view series) { return series.substr(0, series.find('{')); }

}  // namespace

Counter& counter(std::string_view name, std::string_view label, std::string_view value) {
    const auto series = seriesOf(name, label, value);
    Registry& registered = registry();
    const std::lock_guard lock(registered.mutex);
    auto& entry = registered.counters[series];
    if (!entry) entry = std::make_unique<Counter>();
    return *entry;
}

void setGauge(std::string_view name, std::function<double()> read) {
    setGauge(name, {}, {}, std::move(read));
}

void setGauge(std::string_view name, std::string_view label, std::string_view value,
              std::function<double()> read) {
    Registry& registered = registry();
    const std::lock_guard lock(registered.mutex);
    const auto key = seriesOf(name, label, value);
    if (read) registered.gauges[key] = std::move(read);
    else registered.gauges.erase(key);
}

// Gauges are read after the registry's mutex has been released: a gauge locks its owner's mutex, and owners
// create counters while holding that mutex, so reading under the registry's mutex could deadlock.
std::string renderText() {
    std::ostringstream out;
    Registry& registered = registry();
    std::map<std::string, std::function<double()>, std::less<>> gauges;
    {
        const std::lock_guard lock(registered.mutex);
        std::string_view previousName;
        for (const auto& [series, counter] : registered.counters) {
            if (metricName(series) != previousName) out << "# TYPE " << metricName(series) << " counter\n";
            previousName = metricName(series);
            out << series << ' ' << counter->value() << '\n';
        }
        gauges = registered.gauges;
    }
    std::string_view previousGauge;
    for (const auto& [series, read] : gauges) {
        if (metricName(series) != previousGauge) out << "# TYPE " << metricName(series) << " gauge\n";
        previousGauge = metricName(series);
        out << series << ' ' << read() << '\n';
    }
    return out.str();
}

}  // namespace laurelhaven::metrics
