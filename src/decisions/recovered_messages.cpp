#include "decisions/recovered_messages.hpp"

#include <algorithm>
#include <array>

#include "rules/repeat_rules.hpp"

namespace laurelhaven::decisions {
namespace {

using std::chrono::milliseconds;

FoundState stateOf(const store::StoredMessage& message, int grade, bool mayHaveRun) {
    if (grade < 0) return FoundState::unknownClass;
    if (mayHaveRun) return FoundState::mayHaveRun;
    return message.attempts.attemptCount() > 0 ? FoundState::neverRan : FoundState::untried;
}

stoathub::PriorAttempts pastOf(const store::StoredMessage& message, const FoundMessage& found,
                               store::RecordMs healthKnownUntil) {
    stoathub::PriorAttempts past;
    past.attempts = static_cast<int>(message.attempts.attemptCount());
    // Danger: a failure on record may be long ago, and the partner well since; a few of them together would
    // make an outage of nothing, and ease the busiest partners in while the backlog waits.
    const bool unknownYet = message.attempts.lastFailureAt() > healthKnownUntil;
    past.failures = unknownYet ? static_cast<int>(message.attempts.failures()) : 0;
    past.mayHaveRun = found.mayHaveRun;
    past.sinceMayHaveRun = found.sinceRan;
    return past;
}

}  // namespace

std::string_view name(FoundState state) {
    static constexpr std::array<std::string_view, 4> kNames{"untried", "never_ran", "may_have_run",
                                                            "unknown_class"};
    return kNames[static_cast<std::size_t>(state)];
}

FoundMessage interpret(const store::StoredMessage& message, const config::Config& config, store::RecordMs now,
                       store::RecordMs healthKnownUntil) {
    FoundMessage found;
    found.grade = config::position(config.classes, message.messageClass, -1);
    found.tenant = config::position(config.tenants, message.tenant, 0);
    found.left = milliseconds(message.deadline - now);
    const auto since = message.attempts.mayHaveRunSince();
    found.mayHaveRun = since.has_value();
    if (since) found.sinceRan = milliseconds(std::max<store::RecordMs>(0, now - *since));
    found.state = stateOf(message, found.grade, found.mayHaveRun);
    if (found.state == FoundState::unknownClass) return found;
    auto& handed = found.handed;
    handed.id = message.id;
    handed.destination = message.destination;
    handed.messageClass = found.grade;
    const auto then = static_cast<stoathub::Effect>(std::clamp(message.effect, 0, 2));
    const auto today = config.settings.messageClasses[static_cast<std::size_t>(found.grade)].effect;
    handed.minimumEffect = rules::effectAfterRestart(then, today, !message.key.empty());
    handed.timeLeft = found.left;
    handed.priorAttempts = pastOf(message, found, healthKnownUntil);
    return found;
}

}  // namespace laurelhaven::decisions
