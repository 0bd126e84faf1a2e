#include "trust/listed_limits.hpp"

#include <algorithm>

namespace laurelhaven::trust {
namespace {

// Announced limits are off by up to 13%. Within twice that, two limits are taken for the same.
constexpr double kSameLimitFactor = 1.25;

bool isWithin(double announced, double listed, double factor) {
    return announced < listed * factor && listed < announced * factor;
}

}  // namespace

const char* name(ServerIdentity identity) {
    constexpr const char* kNames[] = {"proven", "unknown", "foreign"};
    return kNames[static_cast<int>(identity)];
}

ListedLimits::ListedLimits(std::vector<Limit> limits, double foreignFactor)
    : byRate_(std::move(limits)), foreignFactor_(foreignFactor) {
    std::sort(byRate_.begin(), byRate_.end(),
              [](const Limit& a, const Limit& b) { return a.perSecond < b.perSecond; });
}

bool ListedLimits::fitsAnother(const Limit& listed, double announced) const {
    auto other =
        std::upper_bound(byRate_.begin(), byRate_.end(), announced / kSameLimitFactor,
                         [](double least, const Limit& candidate) { return least < candidate.perSecond; });
    for (; other != byRate_.end() && isWithin(announced, other->perSecond, kSameLimitFactor); ++other)
        if (other->destination != listed.destination) return true;
    return false;
}

bool ListedLimits::canProve(const Limit& listed) const {
    return listed.perSecond > 0 && !fitsAnother(listed, listed.perSecond);
}

ServerIdentity ListedLimits::identify(const Limit& listed, double announced) const {
    if (announced <= 0 || listed.perSecond <= 0) return ServerIdentity::unknown;
    if (!isWithin(announced, listed.perSecond, foreignFactor_)) return ServerIdentity::foreign;
    const bool fits = isWithin(announced, listed.perSecond, kSameLimitFactor);
    return fits && !fitsAnother(listed, announced) ? ServerIdentity::proven : ServerIdentity::unknown;
}

}  // namespace laurelhaven::trust
