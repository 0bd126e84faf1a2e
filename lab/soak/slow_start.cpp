#include "soak/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace laurelhaven::lab::soak {
namespace {

constexpr milliseconds kLongestQueue{300};
constexpr double kFewCalls = 30;  // fewer have more room for chance
constexpr int kSteps = 20;        // in which the growing capacity is summed up

double seconds(std::chrono::nanoseconds span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

void SlowStart::shut(Moment now, Moment until) {
    const std::lock_guard lock(mutex_);
    if (!everShut_ || now >= opensAt_) refused_.clear();
    everShut_ = true;
    told_ = false;
    opensAt_ = std::max(opensAt_, until);
    freeAt_ = opensAt_;
    arrivals_.clear();
}

double SlowStart::shareAt(Moment at) const {
    const double warm = std::clamp(seconds(at - opensAt_) / seconds(settings_.warmUp), 0.0, 1.0);
    return settings_.coldShare + (1 - settings_.coldShare) * warm;
}

/// How many calls may come in the span from then on.
double SlowStart::allowedFrom(Moment from) const {
    double share = 0;
    for (int i = 0; i < kSteps; ++i) share += shareAt(from + settings_.overloadSpan * i / kSteps) / kSteps;
    const double calls =
        settings_.overloadMultiple * share * settings_.capacity * seconds(settings_.overloadSpan);
    const double slack = calls < kFewCalls ? 3 : 2;
    return calls + slack * std::sqrt(calls) + slack;
}

std::string SlowStart::overloadAt(Moment now) const {
    std::size_t count = 0, ofRefused = 0;
    for (auto it = arrivals_.rbegin(); it != arrivals_.rend(); ++it) {
        ++count;
        ofRefused += refused_.count(it->sender);
        const double most = allowedFrom(it->at);
        if (static_cast<double>(count) <= most || 3 * ofRefused <= 2 * count) continue;
        return std::to_string(count) + " calls, " + std::to_string(ofRefused) +
               " of them of senders that were refused, within " +
               std::to_string(static_cast<int>(1000 * seconds(now - it->at))) + " ms, " +
               std::to_string(static_cast<int>(1000 * seconds(it->at - opensAt_))) +
               " ms behind the return; at most " + std::to_string(most);
    }
    return {};
}

SlowStart::Verdict SlowStart::arrived(std::size_t sender, Moment now) {
    const std::lock_guard lock(mutex_);
    Verdict verdict;
    if (!everShut_ || now >= opensAt_ + settings_.warmUp) return verdict;
    if (now < opensAt_) {
        refused_.insert(sender);
        verdict.answer = Answer::shut;
        verdict.opensIn = std::chrono::ceil<milliseconds>(opensAt_ - now);
        return verdict;
    }
    arrivals_.push_back({now, sender});
    while (now - arrivals_.front().at > settings_.overloadSpan) arrivals_.pop_front();
    if (!told_) verdict.overload = overloadAt(now);
    told_ = told_ || !verdict.overload.empty();
    freeAt_ = std::max(freeAt_, now);
    if (freeAt_ - now > kLongestQueue) {
        verdict.answer = Answer::full;
        return verdict;
    }
    verdict.queued = std::chrono::ceil<milliseconds>(freeAt_ - now);
    freeAt_ += std::chrono::duration_cast<Moment::duration>(
        std::chrono::duration<double>(1 / (settings_.capacity * shareAt(now))));
    return verdict;
}

}  // namespace laurelhaven::lab::soak
