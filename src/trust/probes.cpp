#include "trust/probes.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace laurelhaven::trust {
namespace {

constexpr double kUnknownRate = 0.5;  // calls a second, of a destination that told none
constexpr double kDemandSpread = 0.2;
constexpr double kUnservedShare = 0.9;

milliseconds every(double perSecond) {
    return milliseconds(static_cast<std::int64_t>(std::ceil(1000 / std::max(perSecond, 1e-3))));
}

}  // namespace

Moment Probes::due(const Candidate& c) {
    auto& one = tries_[c.endpoint];
    if (!one.drawn) {
        one.drawn = true;
        one.spread = std::uniform_real_distribution<double>(0, 1)(chance_);
    }
    // Danger: senders that restart together would all knock in the same instant, at the same endpoint.
    const double part = one.spread * (c.held > 0 ? kDemandSpread : 1);
    const auto spread =
        milliseconds(static_cast<std::int64_t>(part * static_cast<double>(policy_.jitter.count())));
    auto at = std::max({begun_ + spread, one.notBefore, senderNext_, c.holdUntil});
    if (const auto it = destinationLast_.find(c.destination); it != destinationLast_.end()) {
        // Where no call may go, probes have the calls' part of the cold budget too.
        const double share = c.served ? policy_.coldShare : kUnservedShare;
        const double rate = c.rate > 0 ? c.rate : kUnknownRate;
        at = std::max(at,
                      it->second + every(share * policy_.coldBudget * rate / std::max(1, policy_.senders)));
    }
    return at;
}

Probes::Next Probes::next(const std::vector<Candidate>& candidates, Moment now) {
    Next found;
    const Candidate* best = nullptr;
    for (const auto& c : candidates) {
        const auto at = due(c);
        if (at > now) {
            if (!found.at || at < *found.at) found.at = at;
            continue;
        }
        const auto rank = [this](const Candidate& x) {
            return std::make_tuple(x.held > 0, -tries_[x.endpoint].inVain, x.held, x.traffic);
        };
        if (!best || rank(c) > rank(*best)) best = &c;
    }
    if (!best) return found;
    found.endpoint = best->endpoint;
    found.at.reset();
    ++sent_;
    senderNext_ = now + every(policy_.perSecond);
    destinationLast_[best->destination] = now;
    return found;
}

void Probes::answered(const std::string& endpoint, bool good, Moment now) {
    auto& one = tries_[endpoint];
    if (good) {
        one.inVain = 0;
        return;
    }
    const double factor = std::pow(2.0, std::min(one.inVain++, 16));
    const double chance = std::uniform_real_distribution<double>(0.75, 1.25)(chance_);
    const double wait = std::min(static_cast<double>(policy_.backOffMost.count()),
                                 factor * static_cast<double>(policy_.backOff.count()));
    one.notBefore = now + milliseconds(static_cast<std::int64_t>(chance * wait));
}

void Probes::forget(const std::vector<Candidate>& candidates) {
    std::set<std::string> endpoints;
    std::set<std::uint64_t> destinations;
    for (const auto& c : candidates) {
        endpoints.insert(c.endpoint);
        destinations.insert(c.destination);
    }
    std::erase_if(tries_, [&](const auto& t) { return !endpoints.count(t.first); });
    std::erase_if(destinationLast_, [&](const auto& d) { return !destinations.count(d.first); });
}

}  // namespace laurelhaven::trust
