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
    std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters;  // by name and label
    std::map<std::string, std::function<double()>, std::less<>> gauges;
};

Registry& registry() {
    static Registry all;
    return all;
}

std::string_view family(std::string_view series) { return series.substr(0, series.find('{')); }

}  // namespace

Counter& counter(std::string_view name, std::string_view label, std::string_view value) {
    std::string series(kPrefix);
    series.append(name);
    if (!label.empty()) series.append("{").append(label).append("=\"").append(value).append("\"}");
    Registry& all = registry();
    const std::lock_guard lock(all.mutex);
    auto& found = all.counters[series];
    if (!found) found = std::make_unique<Counter>();
    return *found;
}

void setGauge(std::string_view name, std::function<double()> read) {
    Registry& all = registry();
    const std::lock_guard lock(all.mutex);
    const auto key = std::string(kPrefix) + std::string(name);
    if (read) all.gauges[key] = std::move(read);
    else all.gauges.erase(key);
}

// Danger: a gauge takes the lock of its owner, who counts under that very lock. Read with the counters
// locked, the two would wait for each other for good.
std::string renderText() {
    std::ostringstream out;
    Registry& all = registry();
    std::map<std::string, std::function<double()>, std::less<>> gauges;
    {
        const std::lock_guard lock(all.mutex);
        std::string_view last;
        for (const auto& [series, counter] : all.counters) {
            if (family(series) != last) out << "# TYPE " << family(series) << " counter\n";
            last = family(series);
            out << series << ' ' << counter->value() << '\n';
        }
        gauges = all.gauges;
    }
    for (const auto& [name, read] : gauges)
        out << "# TYPE " << name << " gauge\n" << name << ' ' << read() << '\n';
    return out.str();
}

}  // namespace laurelhaven::metrics
