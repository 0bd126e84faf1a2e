#include "rules/send_rules.hpp"

#include <algorithm>
#include <array>

#include "metrics/metrics.hpp"

namespace laurelhaven::rules {
namespace {

// Attempts that were in flight when a destination announced a wait are not violations.
constexpr milliseconds kInFlightAllowance{100};
// Time that the process may be descheduled between the check and the first byte.
constexpr milliseconds kSchedulingAllowance{150};
// How long an endpoint off the list is remembered after it stopped serving, to detect attempts sent to it.
constexpr std::chrono::seconds kNotServingMemory{60};
// How long a message that is over is remembered, to detect attempts of it.
constexpr std::chrono::seconds kForbiddenMemory{60};
constexpr std::size_t kMaxForbidden = 4096;
constexpr std::size_t kMaxNotServing = 8192;  // endpoints that left, and those that are listed

/// The delay for the detail of a violation, as "12 ms after".
std::string delayText(TimePoint at, TimePoint since) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(at - since).count()) + " ms after";
}

}  // namespace

std::string_view name(Refusal refusal) {
    constexpr std::array<std::string_view, 9> kNames{"none",
                                                     "deadline_passed",
                                                     "window_passed",
                                                     "endpoint_not_listed",
                                                     "endpoint_not_serving",
                                                     "address_changed",
                                                     "told_to_wait",
                                                     "already_open",
                                                     "message_over"};
    return kNames[static_cast<std::size_t>(refusal)];
}

void SendRules::setEndpoint(const std::string& name, const Endpoint& endpoint) {
    const std::lock_guard lock(mutex_);
    endpoints_[name] = endpoint;
    if (endpoint.serving) notServingSince_.erase(name);
}

void SendRules::markNotServing(const std::string& name, TimePoint now) {
    const std::lock_guard lock(mutex_);
    const auto it = endpoints_.find(name);
    if (it == endpoints_.end() || !it->second.serving) return;
    it->second.serving = false;
    rememberNotServing(name, now);
}

void SendRules::removeEndpoint(const std::string& name, TimePoint now) {
    const std::lock_guard lock(mutex_);
    if (endpoints_.erase(name) > 0) rememberNotServing(name, now);
}

void SendRules::rememberNotServing(const std::string& name, TimePoint now) {
    if (notServingSince_.size() < kMaxNotServing) notServingSince_.try_emplace(name, now);
}

void SendRules::extendWait(std::uint64_t destination, TimePoint until, TimePoint now) {
    const std::lock_guard lock(mutex_);
    const auto [it, added] = waits_.try_emplace(destination, Wait{now, until});
    if (added || it->second.until <= now) it->second = {now, until};
    else it->second.until = std::max(it->second.until, until);
}

void SendRules::forbidAttempts(const std::string& message, TimePoint now) {
    const std::lock_guard lock(mutex_);
    // Bounded, as every message may be answered so: the check is only for attempts that are about to begin.
    if (forbiddenSince_.size() >= kMaxForbidden) forbiddenSince_.clear();
    forbiddenSince_.try_emplace(message, now);
}

void SendRules::allowAttempts(const std::string& message) {
    const std::lock_guard lock(mutex_);
    forbiddenSince_.erase(message);
}

TimePoint SendRules::waitUntil(std::uint64_t destination) const {
    const std::lock_guard lock(mutex_);
    const auto it = waits_.find(destination);
    return it == waits_.end() ? TimePoint{} : it->second.until;
}

void SendRules::pruneExpired(TimePoint now) {
    const std::lock_guard lock(mutex_);
    std::erase_if(waits_, [&](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(notServingSince_, [&](const auto& entry) {
        return !endpoints_.count(entry.first) && now - entry.second > kNotServingMemory;
    });
    std::erase_if(forbiddenSince_, [&](const auto& entry) { return now - entry.second > kForbiddenMemory; });
}

Refusal SendRules::checkLocked(const Attempt& attempt, TimePoint now) const {
    if (forbiddenSince_.count(attempt.message)) return Refusal::messageOver;
    if (now >= attempt.attemptDeadline) return Refusal::deadlinePassed;
    if (now >= attempt.keyWindowEnd) return Refusal::keyWindowPassed;
    const auto endpoint = endpoints_.find(attempt.endpoint);
    if (endpoint == endpoints_.end() || endpoint->second.destination != attempt.destination)
        return Refusal::endpointNotListed;
    if (!endpoint->second.serving) return Refusal::endpointNotServing;
    if (endpoint->second.address != attempt.address) return Refusal::addressChanged;
    const auto wait = waits_.find(attempt.destination);
    if (wait != waits_.end() && now < wait->second.until) return Refusal::waitAnnounced;
    return Refusal::none;
}

Refusal SendRules::check(const Attempt& attempt, TimePoint now) const {
    const std::lock_guard lock(mutex_);
    return checkLocked(attempt, now);
}

Refusal SendRules::begin(const Attempt& attempt, TimePoint now) {
    const std::lock_guard lock(mutex_);
    auto refusal = checkLocked(attempt, now);
    if (refusal == Refusal::none && openAttempts_.count(attempt.message)) refusal = Refusal::alreadyOpen;
    if (refusal == Refusal::alreadyOpen)
        violations_.count(Rule::overlap, attempt.message, "another attempt is open");
    if (refusal == Refusal::none) openAttempts_.insert(attempt.message);
    else metrics::counter("attempts_refused_total", "reason", name(refusal)).add();
    return refusal;
}

void SendRules::sent(const Attempt& attempt, TimePoint at) {
    const std::lock_guard lock(mutex_);
    const auto subject = attempt.message + " to " + attempt.endpoint;
    if (!openAttempts_.count(attempt.message))
        violations_.count(Rule::record, subject, "sent without a journal record");
    if (attempt.number > limits_.maxAttempts)
        violations_.count(Rule::attempts, subject, "attempt " + std::to_string(attempt.number));
    if (at >= attempt.attemptDeadline + kSchedulingAllowance)
        violations_.count(Rule::deadline, subject, delayText(at, attempt.attemptDeadline));
    if (attempt.keyWindowEnd != TimePoint::max() && at >= attempt.keyWindowEnd + kSchedulingAllowance)
        violations_.count(Rule::keyWindow, subject, delayText(at, attempt.keyWindowEnd));
    const auto forbidden = forbiddenSince_.find(attempt.message);
    if (forbidden != forbiddenSince_.end())
        violations_.count(Rule::afterEnd, subject, delayText(at, forbidden->second));
    const auto stopped = notServingSince_.find(attempt.endpoint);
    if (stopped != notServingSince_.end() && at >= stopped->second + limits_.drainGrace)
        violations_.count(Rule::drain, subject, delayText(at, stopped->second));
    const auto wait = waits_.find(attempt.destination);
    if (wait != waits_.end() && at < wait->second.until &&
        at >= wait->second.announcedAt + kInFlightAllowance)
        violations_.count(Rule::wait, subject, delayText(at, wait->second.announcedAt));
}

void SendRules::end(const std::string& message) {
    const std::lock_guard lock(mutex_);
    openAttempts_.erase(message);
}

std::size_t SendRules::waitCount() const {
    const std::lock_guard lock(mutex_);
    return waits_.size();
}

}  // namespace laurelhaven::rules
