#include "rules/resubmission_rules.hpp"

#include <array>
#include <cstddef>

namespace laurelhaven::rules {

ResubmissionAnswer answerResubmission(PriorSubmission prior, bool sameContent, RepeatEffect effect) {
    if (!sameContent) return ResubmissionAnswer::conflict;
    switch (prior) {
        case PriorSubmission::held:
        case PriorSubmission::delivered: return ResubmissionAnswer::accepted;
        // A repeat in a while does no harm; one that may have run and must not be repeated has no other end.
        case PriorSubmission::withdrawnInFlight:
            return effect == RepeatEffect::unsafe ? ResubmissionAnswer::failed : ResubmissionAnswer::refused;
        // The key's window began with the first run, of which nothing more is known than that.
        case PriorSubmission::abandoned:
            return effect == RepeatEffect::pure ? ResubmissionAnswer::submitAnew : ResubmissionAnswer::failed;
        case PriorSubmission::returned: return ResubmissionAnswer::refused;
        case PriorSubmission::failed: break;
    }
    return ResubmissionAnswer::failed;
}

std::string_view name(PriorSubmission prior) {
    static constexpr std::array<std::string_view, 6> kNames{
        "held", "withdrawn_in_flight", "delivered", "abandoned", "failed", "returned"};
    return kNames[static_cast<std::size_t>(prior)];
}

}  // namespace laurelhaven::rules
