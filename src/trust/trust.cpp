#include "trust/trust.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>

namespace laurelhaven::trust {
namespace {

// What was learnt fades, so that a fleet that changes its habits is followed within some half-lives.
constexpr double kMaxRememberedChanges = 50;
// The prior stands for a tenth of a change: a fleet that is in fact busy must be known as that within
// minutes.
constexpr double kPriorChanges = 0.1;

double toSeconds(milliseconds time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

const char* name(ConfirmationSource source) {
    constexpr const char* kNames[] = {"configuration", "discovery", "call", "probe"};
    return kNames[static_cast<int>(source)];
}
const char* name(TrustLevel level) {
    constexpr const char* kNames[] = {"confirmed", "ageing", "stale", "refuted"};
    return kNames[static_cast<int>(level)];
}
const char* name(RefutationReason refutation) {
    constexpr const char* kNames[] = {"nothing",       "draining",      "deleted", "missing",
                                      "address-taken", "other-partner", "not-ours"};
    return kNames[static_cast<int>(refutation)];
}

void Churn::observe(double entries, milliseconds span, double changes) {
    entrySeconds_ += std::max(0.0, entries) * std::max(0.0, toSeconds(span));
    changes_ += std::max(0.0, changes);
    if (changes_ <= kMaxRememberedChanges) return;
    entrySeconds_ *= kMaxRememberedChanges / changes_;
    changes_ = kMaxRememberedChanges;
}

void Churn::restore(double entrySeconds, double changes) {
    // What comes from a file may be anything.
    if (!std::isfinite(entrySeconds) || !std::isfinite(changes) || entrySeconds < 0 || changes < 0) return;
    entrySeconds_ = entrySeconds;
    changes_ = std::min(changes, kMaxRememberedChanges);
}

milliseconds Churn::halfLife(const Policy& policy) const {
    const double prior = kPriorChanges * toSeconds(policy.halfLife) / std::log(2.0);
    const double rate = (kPriorChanges + changes_) / (prior + entrySeconds_);
    const double learnt = std::log(2.0) / rate;
    return milliseconds(static_cast<std::int64_t>(
        1000 * std::clamp(learnt, toSeconds(policy.halfLifeLeast), toSeconds(policy.halfLifeMost))));
}

TrustAssessment assess(const Evidence& evidence, const Policy& policy, milliseconds halfLife, RecordMs now) {
    TrustAssessment made;
    const bool ahead = evidence.confirmedAt > now;
    const bool undated = ahead || evidence.confirmedBy == ConfirmationSource::configuration;
    // Danger: with a clock set back, an old list would look fresh for hours, and one that the configuration
    // gives tells no age at all. Neither is believed in full.
    made.age = ahead ? policy.configuredAge : milliseconds(now - evidence.confirmedAt);
    if (undated) made.age = std::max(made.age, policy.configuredAge);
    const double half = std::max(toSeconds(halfLife), 0.001);
    made.confidence = std::exp2(-toSeconds(made.age) / half);
    if (evidence.refutation != RefutationReason::none) {
        made.level = TrustLevel::refuted;
        made.confidence = 0;
        return made;
    }
    if (evidence.listedNow) {
        made.level = TrustLevel::confirmed;
        made.confidence = 1;
        made.age = milliseconds(0);
        return made;
    }
    const auto at = [&](double figure) {  // when the figure has come down to that
        return milliseconds(static_cast<std::int64_t>(-std::log2(figure) * half * 1000));
    };
    const auto confirmedTill = std::min(policy.confirmedFor, at(policy.confirmedAbove));
    const auto staleFrom = at(policy.staleBelow);
    const auto when = [&](milliseconds age) { return now + (age - made.age).count() + 1; };
    if (made.age > policy.maxAge) {
        made.level = TrustLevel::refuted;
    } else if (made.age <= confirmedTill && !undated) {
        made.level = TrustLevel::confirmed;
        made.validUntil = when(confirmedTill);
    } else if (made.age <= staleFrom || evidence.answeredThisRun) {
        // What has answered in this life goes on as long as nothing speaks against it: its own outcomes tell
        // sooner than any age.
        made.level = TrustLevel::ageing;
        if (!evidence.answeredThisRun) made.validUntil = when(std::min(staleFrom, policy.maxAge));
    } else if (!policy.mayProbe && made.age <= policy.blindLimit) {
        made.level = TrustLevel::ageing;
        made.oneAtATime = true;
        made.validUntil = when(std::min(policy.blindLimit, policy.maxAge));
    } else {
        made.level = TrustLevel::stale;
        made.validUntil = when(policy.maxAge);
    }
    // Danger: an endpoint drains in the seconds for which the sender is dead and discovery silent, and the
    // list is as young as can be. Where a probe may tell, it is asked first.
    // Danger: a release kills half of a fleet in one moment, a probe weighs like a call, and where each asks
    // for each endpoint the limits are used up by that alone. Where the probes would not fit, the first
    // message asks in their place: it is turned away as they would be.
    const bool fit =
        evidence.rateLimit <= 0 || policy.senders / 2 <= evidence.rateLimit * toSeconds(policy.probeSpread);
    made.probeFirst = made.level == TrustLevel::stale ||
                      (policy.mayProbe && fit && !evidence.listedThisRun && !evidence.answeredThisRun);
    return made;
}

std::string formatDuration(milliseconds time) {
    const auto ms = time.count();
    if (ms < 1000) return std::to_string(ms) + " ms";
    struct Unit {
        std::int64_t ms;
        const char* name;
    };
    constexpr Unit kUnits[] = {{86'400'000, "d"}, {3'600'000, "h"}, {60'000, "min"}, {1000, "s"}};
    for (const auto* unit = std::begin(kUnits); unit != std::end(kUnits); ++unit) {
        if (ms < unit->ms) continue;
        std::string text = std::to_string(ms / unit->ms) + " " + unit->name;
        const auto rest = ms % unit->ms;
        if (unit + 1 != std::end(kUnits) && rest >= unit[1].ms)
            text += " " + std::to_string(rest / unit[1].ms) + " " + unit[1].name;
        return text;
    }
    return std::to_string(ms) + " ms";
}

std::string explain(const Evidence& evidence, const TrustAssessment& judgement, const Policy& policy,
                    milliseconds halfLife) {
    char figure[16];
    std::snprintf(figure, sizeof figure, "%.3f", judgement.confidence);
    const std::string last = std::string("last confirmed by ") + name(evidence.confirmedBy) + " " +
                             formatDuration(judgement.age) + " ago (figure " + figure +
                             " at a half-life of " + formatDuration(halfLife) + ")";
    const std::string first = ", once a probe has answered in the life of this process";
    switch (judgement.level) {
        case TrustLevel::confirmed:
            if (evidence.listedNow)
                return "confirmed: discovery names it now; it gets messages at the usual pace";
            return "confirmed: " + last + "; it gets messages at the usual pace" +
                   (judgement.probeFirst ? first : "");
        case TrustLevel::ageing:
            return "ageing: " + last + "; it gets messages at a pace that its deliveries open" +
                   (judgement.oneAtATime ? ", one at a time until the first" : "") +
                   (judgement.probeFirst ? first : "") + "; discovery would confirm it";
        case TrustLevel::stale:
            return "stale: " + last + "; it gets no message before " +
                   (policy.mayProbe ? "a probe answers or " : "") + "discovery names it" +
                   (policy.mayProbe ? ""
                                    : " (probes are not permitted, and it is past the blind limit of " +
                                          formatDuration(policy.blindLimit) + ")");
        case TrustLevel::refuted: break;
    }
    if (evidence.refutation == RefutationReason::none)
        return "refuted: " + last + ", past the most that any entry may be (" +
               formatDuration(policy.maxAge) + "); only discovery can name it again";
    return std::string("refuted: ") + name(evidence.refutation) + ", " + last +
           "; only discovery can name it again";
}

}  // namespace laurelhaven::trust
