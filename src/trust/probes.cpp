#include "trust/probes.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace laurelhaven::trust {
namespace {

constexpr double kDefaultRateLimit = 0.5;  // calls a second, of a destination that told none
constexpr double kDemandJitterShare = 0.2;
constexpr double kUnusableDestinationShare = 0.9;

milliseconds intervalFor(double perSecond) {
    return milliseconds(static_cast<std::int64_t>(std::ceil(1000 / std::max(perSecond, 1e-3))));
}

}  // namespace

TimePoint ProbeScheduler::earliestProbe(const ProbeCandidate& c) {
    auto& one = history_[c.endpoint];
    if (!one.jitterDrawn) {
        one.jitterDrawn = true;
        one.jitterShare = std::uniform_real_distribution<double>(0, 1)(random_);
    }
    // Danger: senders that restart together would all knock in the same instant, at the same endpoint.
    const double part = one.jitterShare * (c.waitingMessages > 0 ? kDemandJitterShare : 1);
    const auto spread =
        milliseconds(static_cast<std::int64_t>(part * static_cast<double>(policy_.jitter.count())));
    auto at = std::max({startedAt_ + spread, one.notBefore, nextSenderProbeAt_, c.waitUntil});
    if (const auto it = lastProbeAt_.find(c.destination); it != lastProbeAt_.end()) {
        // Where no call may go, probes have the calls' part of the cold budget too.
        const double share = c.destinationUsable ? policy_.coldShare : kUnusableDestinationShare;
        const double rate = c.rateLimit > 0 ? c.rateLimit : kDefaultRateLimit;
        at = std::max(
            at, it->second + intervalFor(share * policy_.coldBudget * rate / std::max(1, policy_.senders)));
    }
    return at;
}

ProbeScheduler::Next ProbeScheduler::next(const std::vector<ProbeCandidate>& candidates, TimePoint now) {
    Next found;
    const ProbeCandidate* best = nullptr;
    for (const auto& c : candidates) {
        const auto at = earliestProbe(c);
        if (at > now) {
            if (!found.checkAgainAt || at < *found.checkAgainAt) found.checkAgainAt = at;
            continue;
        }
        const auto rank = [this](const ProbeCandidate& x) {
            return std::make_tuple(x.waitingMessages > 0, -history_[x.endpoint].failures, x.waitingMessages,
                                   x.traffic);
        };
        if (!best || rank(c) > rank(*best)) best = &c;
    }
    if (!best) return found;
    found.endpoint = best->endpoint;
    found.checkAgainAt.reset();
    ++sent_;
    nextSenderProbeAt_ = now + intervalFor(policy_.perSecond);
    lastProbeAt_[best->destination] = now;
    return found;
}

void ProbeScheduler::recordAnswer(const std::string& endpoint, bool good, TimePoint now) {
    auto& one = history_[endpoint];
    if (good) {
        one.failures = 0;
        return;
    }
    const double factor = std::pow(2.0, std::min(one.failures++, 16));
    const double chance = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    const double wait = std::min(static_cast<double>(policy_.backOffMost.count()),
                                 factor * static_cast<double>(policy_.backOff.count()));
    one.notBefore = now + milliseconds(static_cast<std::int64_t>(chance * wait));
}

void ProbeScheduler::retain(const std::vector<ProbeCandidate>& candidates) {
    std::set<std::string> endpoints;
    std::set<std::uint64_t> destinations;
    for (const auto& c : candidates) {
        endpoints.insert(c.endpoint);
        destinations.insert(c.destination);
    }
    std::erase_if(history_, [&](const auto& t) { return !endpoints.count(t.first); });
    std::erase_if(lastProbeAt_, [&](const auto& d) { return !destinations.count(d.first); });
}

}  // namespace laurelhaven::trust
