#include "trust/probes.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace laurelhaven::trust {
namespace {

constexpr double kDefaultRateLimit = 0.5;          // requests per second, where the limit is unknown
constexpr double kDemandJitterShare = 0.2;         // of the jitter, where a message waits
constexpr double kUnusableDestinationShare = 0.9;  // of the cold budget, where no message may be sent

/// The time between two requests at this rate.
milliseconds intervalFor(double perSecond) {
    return milliseconds(static_cast<std::int64_t>(std::ceil(1000 / std::max(perSecond, 1e-3))));
}

}  // namespace

TimePoint ProbeScheduler::earliestProbe(const ProbeCandidate& candidate) {
    auto& history = history_[candidate.endpoint];
    if (!history.jitterDrawn) {
        history.jitterDrawn = true;
        history.jitterShare = std::uniform_real_distribution<double>(0, 1)(random_);
    }
    // Without jitter, senders that restart together would all probe the same endpoint at the same instant.
    const double jitterShare = history.jitterShare * (candidate.waitingMessages > 0 ? kDemandJitterShare : 1);
    const auto spread =
        milliseconds(static_cast<std::int64_t>(jitterShare * static_cast<double>(policy_.jitter.count())));
    auto at = std::max({startedAt_ + spread, history.notBefore, nextSenderProbeAt_, candidate.waitUntil});
    if (const auto it = lastProbeAt_.find(candidate.destination); it != lastProbeAt_.end()) {
        // Where no endpoint of the destination may be used, probes also get the attempts' part of the budget.
        const double share = candidate.otherEndpointUsable ? policy_.coldShare : kUnusableDestinationShare;
        const double rate = candidate.rateLimit > 0 ? candidate.rateLimit : kDefaultRateLimit;
        at = std::max(
            at, it->second + intervalFor(share * policy_.coldBudget * rate / std::max(1, policy_.senders)));
    }
    return at;
}

ProbeScheduler::Next ProbeScheduler::next(const std::vector<ProbeCandidate>& candidates, TimePoint now) {
    Next result;
    const ProbeCandidate* best = nullptr;
    for (const auto& candidate : candidates) {
        const auto at = earliestProbe(candidate);
        if (at > now) {
            if (!result.checkAgainAt || at < *result.checkAgainAt) result.checkAgainAt = at;
            continue;
        }
        const auto rank = [this](const ProbeCandidate& other) {
            return std::make_tuple(other.waitingMessages > 0, -history_[other.endpoint].failures,
                                   other.waitingMessages, other.traffic);
        };
        if (!best || rank(candidate) > rank(*best)) best = &candidate;
    }
    if (!best) return result;
    result.endpoint = best->endpoint;
    result.checkAgainAt.reset();
    ++sent_;
    nextSenderProbeAt_ = now + intervalFor(policy_.perSecond);
    lastProbeAt_[best->destination] = now;
    return result;
}

void ProbeScheduler::recordAnswer(const std::string& endpoint, bool good, TimePoint now) {
    auto& history = history_[endpoint];
    if (good) {
        history.failures = 0;
        return;
    }
    const double factor = std::pow(2.0, std::min(history.failures++, 16));
    const double chance = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    const double wait = std::min(static_cast<double>(policy_.backOffMost.count()),
                                 factor * static_cast<double>(policy_.backOff.count()));
    history.notBefore = now + milliseconds(static_cast<std::int64_t>(chance * wait));
}

void ProbeScheduler::retain(const std::vector<ProbeCandidate>& candidates) {
    std::set<std::string> endpoints;
    std::set<std::uint64_t> destinations;
    for (const auto& candidate : candidates) {
        endpoints.insert(candidate.endpoint);
        destinations.insert(candidate.destination);
    }
    std::erase_if(history_, [&](const auto& t) { return !endpoints.count(t.first); });
    std::erase_if(lastProbeAt_, [&](const auto& d) { return !destinations.count(d.first); });
}

}  // namespace laurelhaven::trust
