#include "decisions/recovered_messages.hpp"

#include <algorithm>
#include <array>

#include "rules/repeat_rules.hpp"

namespace laurelhaven::decisions {
namespace {

using std::chrono::milliseconds;

RecoveryState stateOf(const store::StoredMessage& message, int messageClass, bool mayHaveRun) {
    if (messageClass < 0) return RecoveryState::unknownClass;
    if (mayHaveRun) return RecoveryState::mayHaveRun;
    return message.attempts.attemptCount() > 0 ? RecoveryState::neverRan : RecoveryState::untried;
}

stoathub::PriorAttempts priorAttemptsOf(const store::StoredMessage& message,
                                        const RecoveredMessage& recovered, store::RecordMs healthKnownUntil) {
    stoathub::PriorAttempts prior;
    prior.attempts = static_cast<int>(message.attempts.attemptCount());
    // A failure on record may be old and the destination healthy since. A few such failures together would be
    // taken for an outage, and the busiest destinations would go through warm-up while their backlog waits.
    const bool newFailure = message.attempts.lastFailureAt() > healthKnownUntil;
    prior.failures = newFailure ? static_cast<int>(message.attempts.failures()) : 0;
    prior.sawFailure = message.attempts.failures() > 0 || recovered.state == RecoveryState::neverRan;
    prior.mayHaveRun = recovered.mayHaveRun;
    prior.sinceMayHaveRun = recovered.sinceMayHaveRun;
    return prior;
}

}  // namespace

std::string_view name(RecoveryState state) {
    static constexpr std::array<std::string_view, 4> kNames{"untried", "never_ran", "may_have_run",
                                                            "unknown_class"};
    return kNames[static_cast<std::size_t>(state)];
}

RecoveredMessage interpret(const store::StoredMessage& message, const config::Config& config,
                           store::RecordMs now, store::RecordMs healthKnownUntil) {
    RecoveredMessage recovered;
    recovered.messageClass = config::position(config.classes, message.messageClass, -1);
    recovered.tenant = config::position(config.tenants, message.tenant, 0);
    recovered.timeLeft = milliseconds(message.deadline - now);
    const auto since = message.attempts.mayHaveRunSince();
    recovered.mayHaveRun = since.has_value();
    if (since) recovered.sinceMayHaveRun = milliseconds(std::max<store::RecordMs>(0, now - *since));
    recovered.state = stateOf(message, recovered.messageClass, recovered.mayHaveRun);
    if (recovered.state == RecoveryState::unknownClass) return recovered;
    auto& event = recovered.event;
    event.id = message.id;
    event.destination = message.destination;
    event.messageClass = recovered.messageClass;
    const auto storedEffect = static_cast<stoathub::Effect>(std::clamp(message.effect, 0, 2));
    const auto configuredEffect =
        config.settings.messageClasses[static_cast<std::size_t>(recovered.messageClass)].effect;
    event.minimumEffect = rules::effectAfterRestart(storedEffect, configuredEffect, !message.key.empty());
    event.timeLeft = recovered.timeLeft;
    event.priorAttempts = priorAttemptsOf(message, recovered, healthKnownUntil);
    return recovered;
}

}  // namespace laurelhaven::decisions
