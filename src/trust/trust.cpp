#include "trust/trust.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>

namespace laurelhaven::trust {
namespace {

// Older observations lose weight, so that the estimate follows a fleet whose rate of change is no longer the
// same within a few half-lives.
constexpr double kMaxRememberedChanges = 50;
// The prior weighs a tenth of a change, so that a fleet that changes often is recognised within minutes.
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
    // The values come from a file, which may be damaged.
    if (!std::isfinite(entrySeconds) || !std::isfinite(changes) || entrySeconds < 0 || changes < 0) return;
    entrySeconds_ = entrySeconds;
    changes_ = std::min(changes, kMaxRememberedChanges);
}

milliseconds Churn::halfLife(const Policy& policy) const {
    const double prior = kPriorChanges * toSeconds(policy.halfLife) / std::log(2.0);
    const double rate = (kPriorChanges + changes_) / (prior + entrySeconds_);
    const double learned = std::log(2.0) / rate;
    return milliseconds(static_cast<std::int64_t>(
        1000 * std::clamp(learned, toSeconds(policy.halfLifeLeast), toSeconds(policy.halfLifeMost))));
}

TrustAssessment assess(const Evidence& evidence, const Policy& policy, milliseconds halfLife, RecordMs now) {
    TrustAssessment assessment;
    const bool inFuture = evidence.confirmedAt > now;
    const bool undated = inFuture || evidence.confirmedBy == ConfirmationSource::configuration;
    // With a clock that was set back, an old list would look fresh for hours, and a list in the configuration
    // has no age at all. Neither is trusted in full.
    assessment.age = inFuture ? policy.configuredAge : milliseconds(now - evidence.confirmedAt);
    if (undated) assessment.age = std::max(assessment.age, policy.configuredAge);
    const double halfLifeSeconds = std::max(toSeconds(halfLife), 0.001);
    assessment.confidence = std::exp2(-toSeconds(assessment.age) / halfLifeSeconds);
    if (evidence.refutation != RefutationReason::none) {
        assessment.level = TrustLevel::refuted;
        assessment.confidence = 0;
        return assessment;
    }
    if (evidence.listedNow) {
        assessment.level = TrustLevel::confirmed;
        assessment.confidence = 1;
        assessment.age = milliseconds(0);
        return assessment;
    }
    const auto ageAt = [&](double confidence) {  // the age at which the confidence has fallen to this
        return milliseconds(static_cast<std::int64_t>(-std::log2(confidence) * halfLifeSeconds * 1000));
    };
    const auto confirmedUntilAge = std::min(policy.confirmedFor, ageAt(policy.confirmedAbove));
    const auto staleFromAge = ageAt(policy.staleBelow);
    const auto timeOfAge = [&](milliseconds age) { return now + (age - assessment.age).count() + 1; };
    if (assessment.age > policy.maxAge) {
        assessment.level = TrustLevel::refuted;
    } else if (assessment.age <= confirmedUntilAge && !undated) {
        assessment.level = TrustLevel::confirmed;
        assessment.validUntil = timeOfAge(confirmedUntilAge);
    } else if (assessment.age <= staleFromAge || evidence.answeredThisRun) {
        // An endpoint that has answered in this run stays in use until something refutes it: the outcomes of
        // its attempts show a change sooner than its age.
        assessment.level = TrustLevel::ageing;
        if (!evidence.answeredThisRun)
            assessment.validUntil = timeOfAge(std::min(staleFromAge, policy.maxAge));
    } else if (!policy.mayProbe && assessment.age <= policy.blindLimit) {
        assessment.level = TrustLevel::ageing;
        assessment.oneAtATime = true;
        assessment.validUntil = timeOfAge(std::min(policy.blindLimit, policy.maxAge));
    } else {
        assessment.level = TrustLevel::stale;
        assessment.validUntil = timeOfAge(policy.maxAge);
    }
    // An endpoint may drain, and its address may pass to another destination, in the seconds in which the
    // sender is down and discovery does not answer, however young the saved list is. What discovery has
    // published by then is binding from the start of the process.
    assessment.needsProof = !evidence.listedThisRun && !evidence.answeredThisRun;
    assessment.probeFirst = assessment.needsProof || assessment.level == TrustLevel::stale;
    return assessment;
}

// A release restarts half of a fleet at once. A probe counts against the rate limit like an attempt, so
// probes of every sender to every endpoint would use up the limits.
bool firstRequestsFit(const Policy& policy, double rateLimit) {
    return rateLimit <= 0 || policy.senders / 2 <= rateLimit * toSeconds(policy.probeSpread);
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

std::string explain(const Evidence& evidence, const TrustAssessment& assessment, const Policy& policy,
                    milliseconds halfLife) {
    char confidence[16];
    std::snprintf(confidence, sizeof confidence, "%.3f", assessment.confidence);
    const std::string last = std::string("last confirmed by ") + name(evidence.confirmedBy) + " " +
                             formatDuration(assessment.age) + " ago (figure " + confidence +
                             " at a half-life of " + formatDuration(halfLife) + ")";
    const std::string first =
        ", once discovery has named it, or its report has proved it, in the life of this process";
    switch (assessment.level) {
        case TrustLevel::confirmed:
            if (evidence.listedNow)
                return "confirmed: discovery names it now; it gets messages at the usual pace";
            return "confirmed: " + last + "; it gets messages at the usual pace" +
                   (assessment.needsProof ? first : "");
        case TrustLevel::ageing:
            return "ageing: " + last + "; it gets messages at a pace that its deliveries open" +
                   (assessment.oneAtATime ? ", one at a time until the first" : "") +
                   (assessment.needsProof ? first : "") + "; discovery would confirm it";
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
