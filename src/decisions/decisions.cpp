#include "decisions/decisions.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include "decisions/recovered_messages.hpp"
#include "decisions/retry_after.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"
#include "rules/resubmission_rules.hpp"
#include "stoathub/stoathub.hpp"

namespace laurelhaven::decisions {

struct Events {
    std::vector<stoathub::Event> all;
};

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLateWakeUp{50};           // a wake-up that is later is logged
constexpr milliseconds kRecordRetryInterval{20};  // between attempts to write records the store could not
// An end that the store can't write is reported to the platform after this time all the same.
constexpr milliseconds kUnrecordedEndDelay{150};
// A destination without listed endpoints still accepts messages for this long.
constexpr std::chrono::seconds kUnlistedRetention{60};

stoathub::Time moduleTime(TimePoint at) {
    return stoathub::Time(std::chrono::duration_cast<stoathub::Duration>(at.time_since_epoch()));
}
TimePoint steadyTime(stoathub::Time at) {
    return TimePoint(std::chrono::duration_cast<Steady::duration>(at.time_since_epoch()));
}
milliseconds ceilMs(stoathub::Duration span) { return std::chrono::ceil<milliseconds>(span); }

stoathub::Result moduleResult(AttemptStatus status) {
    switch (status) {
        case AttemptStatus::delivered: return stoathub::Result::delivered;
        case AttemptStatus::error: return stoathub::Result::error;
        case AttemptStatus::rejected: return stoathub::Result::rejected;
        case AttemptStatus::timedOut: return stoathub::Result::timeout;
        case AttemptStatus::noConnection: return stoathub::Result::connectFailed;
        case AttemptStatus::reset: return stoathub::Result::reset;
        case AttemptStatus::cancelled: return stoathub::Result::cancelled;
        case AttemptStatus::unsent: return stoathub::Result::unsent;
        case AttemptStatus::notForwarded: break;
    }
    return stoathub::Result::notForwarded;
}

bool mayHaveRun(const AttemptResult& result) {
    const auto status = result.status;
    return result.unproven || status == AttemptStatus::error || status == AttemptStatus::timedOut ||
           status == AttemptStatus::reset || status == AttemptStatus::cancelled;
}

bool failed(const AttemptResult& result) {
    return mayHaveRun(result) || result.status == AttemptStatus::noConnection;
}

/// Whether the message has got its end by the response to this attempt.
bool nothingOwed(const AttemptResult& result) {
    return result.status == AttemptStatus::delivered || result.fate == rules::MessageFate::over;
}

bool endsAttempts(const AttemptResult& result) {
    return result.fate == rules::MessageFate::over || result.fate == rules::MessageFate::endOwed;
}

SubmissionResult refused(std::string_view reason, milliseconds after) {
    metrics::counter("refusals_total", "reason", reason).add();
    return {SubmissionResult::Kind::refused, after, false, reason};
}

/// `accepted` must refer to the message that was submitted: the same id may come with a different one.
bool hasContentOf(const Submission& held, const Submission& message) {
    return held.key == message.key && held.destination == message.destination &&
           held.messageClass == message.messageClass && *held.body == *message.body;
}

/// Messages that may have run are logged at level info, as their repeats are subject to rules that span
/// restarts. The others are only counted, and logged at level debug.
void logRecovered(const store::StoredMessage& message, const RecoveredMessage& recovered) {
    metrics::counter("found_messages_total", "state", name(recovered.state)).add();
    const bool lost = recovered.state == RecoveryState::unknownClass;
    auto line = lost ? log::error() : recovered.mayHaveRun ? log::info() : log::debug();
    (line << "recovered a message of a previous run")
        .kv("id", message.id)
        .kv("state", name(recovered.state))
        .kv("destination", message.destination)
        .kv("class", message.messageClass)
        .kv("attempts", message.attempts.attemptCount())
        .kv("failures", message.attempts.failures())
        .kv("left_ms", recovered.timeLeft.count());
    if (recovered.mayHaveRun) line.kv("may_have_run_ms_ago", recovered.sinceMayHaveRun.count());
}

}  // namespace

std::string_view name(AttemptStatus status) {
    static constexpr std::array<std::string_view, 9> kNames{"delivered", "error",         "turned_away",
                                                            "timed_out", "no_connection", "reset",
                                                            "cancelled", "not_sent",      "unsent"};
    return kNames[static_cast<std::size_t>(status)];
}

Decisions::Decisions(const config::Config& config, store::Store& store, Hooks hooks,
                     clock::RecordClock& recordClock)
    : config_(config),
      hooks_(std::move(hooks)),
      recordClock_(recordClock),
      sender_(config.settings, config.seed),
      sendRules_({config.drainGrace, config.settings.maxAttempts}, violations_),
      endRules_(violations_),
      recorder_(store, recordClock, violations_) {}

// ---- attempts ----

std::optional<DueAttempt> Decisions::takeDueAttempt() {
    std::unique_lock lock(mutex_);
    attemptDue_.wait(lock, [this] { return !dispatching_ || !dueAttempts_.empty(); });
    if (!dispatching_) return {};
    DueAttempt due = std::move(dueAttempts_.front());
    dueAttempts_.pop_front();
    return due;
}

rules::Attempt Decisions::rulesAttempt(const DueAttempt& due) const {
    const int number = due.attempt + 1 - due.failedConnects;
    return {due.id, due.endpoint, due.address, due.destination, number, due.tryUntil, due.startBy};
}

bool Decisions::isCurrent(const HeldMessage& held, const DueAttempt& due) const {
    return !held.ended && held.inFlight && held.attempts == due.attempt + 1 &&
           !held.cancelSource.stop_requested();
}

// Between the decision and the first byte a connect may take up to a second. Meanwhile the destination may
// have announced a wait in its answer to another attempt, the endpoint may be draining or gone, or the
// message may have ended. The key window may have passed as well, and a repeat would then take effect twice.
bool Decisions::tryBeginAttempt(const DueAttempt& due) {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !dispatching_) return false;
    const auto it = heldMessages_.find(due.id);
    if (it == heldMessages_.end() || !isCurrent(it->second, due)) return false;
    HeldMessage& held = it->second;
    const auto attempt = rulesAttempt(due);
    if (held.openAttempt) return sendRules_.check(attempt, Steady::now()) == rules::Refusal::none;
    const auto refusal = sendRules_.begin(attempt, Steady::now());
    if (refusal != rules::Refusal::none) {
        (log::debug() << "attempt refused")
            .kv("id", due.id)
            .kv("call", due.attempt + 1)
            .kv("endpoint", due.endpoint)
            .kv("reason", rules::name(refusal));
        return false;
    }
    held.openAttempt = recorder_.beginAttempt(due.id);
    // Writing the record may have taken a while, so the rules are checked again.
    if (held.openAttempt && sendRules_.check(attempt, Steady::now()) == rules::Refusal::none) {
        logAttemptBegin(held, due);
        return true;
    }
    undoBegin(held, due.id);
    return false;
}

/// Repeats of messages from a previous run are logged at level info, as they are subject to rules that span
/// restarts.
void Decisions::logAttemptBegin(const HeldMessage& held, const DueAttempt& due) {
    const char* kind = held.mayHaveRunSince ? "repeat" : due.attempt > 0 ? "retry" : "first";
    metrics::counter("attempts_total", "kind", kind).add();
    auto line = held.recovered && held.mayHaveRunSince ? log::info() : log::debug();
    (line << "attempt begins")
        .kv("id", due.id)
        .kv("call", due.attempt + 1)
        .kv("kind", kind)
        .kv("endpoint", due.endpoint)
        .kv("destination", due.destination);
    if (held.lastStatus) line.kv("after", name(*held.lastStatus));
    if (held.mayHaveRunSince)
        line.kv("may_have_run_ms_ago", (Steady::now() - *held.mayHaveRunSince) / milliseconds(1));
}

void Decisions::recordSent(const DueAttempt& due, TimePoint firstByteAt) {
    sendRules_.sent(rulesAttempt(due), firstByteAt);
}

void Decisions::attemptNotSent(const DueAttempt& due) {
    const std::lock_guard lock(mutex_);
    const auto it = heldMessages_.find(due.id);
    if (it == heldMessages_.end() || !it->second.openAttempt || it->second.attempts != due.attempt + 1)
        return;
    undoBegin(it->second, due.id);
}

/// Closes the open attempt, if there is one, as not sent.
void Decisions::undoBegin(HeldMessage& held, const std::string& id) {
    sendRules_.end(id);
    const auto attempt = std::exchange(held.openAttempt, std::nullopt);
    if (!held.ended) recorder_.attemptNotSent(id, attempt);
}

// ---- events ----

SubmissionResult Decisions::submit(const Submission& message) {
    const std::lock_guard lock(mutex_);
    const auto result = admit(message);
    static constexpr std::array<std::string_view, 4> kKinds{"taken", "refused", "failed", "conflict"};
    const auto kind = kKinds[static_cast<std::size_t>(result.kind)];
    auto line = log::debug();
    (line << "message submitted")
        .kv("id", message.id)
        .kv("destination", message.destination)
        .kv("verdict", kind)
        .kv("after_ms", result.retryAfter.count());
    if (!result.reason.empty()) line.kv("reason", result.reason);
    metrics::counter("messages_total", "verdict", kind).add();
    if (hooks_.messageSubmitted) hooks_.messageSubmitted(message, result);
    return result;
}

SubmissionResult Decisions::admit(const Submission& message) {
    using Kind = SubmissionResult::Kind;
    const auto now = Steady::now();
    if (stopped_) return refused("stopping", kRetryAfterWhenFull);
    if (const auto answered = answerRepeatedId(message)) {
        const auto it = heldMessages_.find(message.id);
        if (answered->kind == Kind::accepted && it != heldMessages_.end()) ++it->second.acceptedSubmissions;
        return *answered;
    }
    if (message.deadline <= now) return refused("late", {});
    // A message for an unknown destination could never be delivered, and each invented destination number
    // would leave an entry in the tables. The list of endpoints arrives with a delay of seconds, so the
    // client is asked to retry.
    purgeExpired(now);
    if (!destinations_.count(message.destination))
        return refused("unknown_destination", kRetryAfterUnknownDestination);
    if (heldMessages_.size() >= static_cast<std::size_t>(config_.settings.maxHeld))
        return refused("held_full", kRetryAfterWhenFull);
    store::StoredMessage record;
    record.id = message.id;
    record.key = message.key;
    record.destination = message.destination;
    record.messageClass = config_.classes[message.messageClass];
    if (message.tenant < config_.tenants.size()) record.tenant = config_.tenants[message.tenant];
    record.effect = static_cast<int>(config_.settings.messageClasses[message.messageClass].effect);
    record.deadline =
        recordClock_.now() + std::chrono::duration_cast<milliseconds>(message.deadline - now).count();
    record.body = message.body;
    const bool stored = recorder_.accept(record);
    if (stored == storeFull_) {
        storeFull_ = !stored;
        if (storeFull_)
            log::warning() << "store refuses new messages at " << heldMessages_.size() << " messages held";
        else log::info() << "store accepts messages again at " << heldMessages_.size() << " messages held";
    }
    if (!stored) return refused("store", kRetryAfterWhenFull);
    addHeldMessage(message);
    sendRules_.allowAttempts(message.id);
    if (destinations_[message.destination].servingEndpoints == 0 && hooks_.endpointNeeded)
        hooks_.endpointNeeded(message.destination);
    stoathub::MessageAccepted accepted;
    accepted.id = message.id;
    accepted.destination = message.destination;
    accepted.messageClass = static_cast<int>(message.messageClass);
    accepted.timeLeft = message.deadline - now;
    SubmissionResult result;
    runTurn({{std::move(accepted)}}, &result, &message.id);
    return result;
}

namespace {

rules::RepeatEffect repeatEffect(int effect) {
    return effect == 0   ? rules::RepeatEffect::pure
           : effect == 1 ? rules::RepeatEffect::keyed
                         : rules::RepeatEffect::unsafe;
}

rules::PriorSubmission priorSubmission(store::MessageEnd end) {
    switch (end) {
        case store::MessageEnd::delivered: return rules::PriorSubmission::delivered;
        case store::MessageEnd::abandoned: return rules::PriorSubmission::abandoned;
        case store::MessageEnd::returned: return rules::PriorSubmission::returned;
        case store::MessageEnd::failed: break;
    }
    return rules::PriorSubmission::failed;
}

std::optional<SubmissionResult> resultOf(rules::ResubmissionAnswer answer, std::string_view reason,
                                         milliseconds retryAfter) {
    using Kind = SubmissionResult::Kind;
    switch (answer) {
        case rules::ResubmissionAnswer::accepted: return SubmissionResult{Kind::accepted, {}, true};
        case rules::ResubmissionAnswer::failed: return SubmissionResult{Kind::failed, {}};
        case rules::ResubmissionAnswer::refused:
            return refused(reason, std::max(retryAfter, kRetryAfterWhenFull));
        case rules::ResubmissionAnswer::conflict: return SubmissionResult{Kind::conflict, {}};
        case rules::ResubmissionAnswer::submitAnew: break;
    }
    return {};
}

}  // namespace

/// Answers a submission whose id has come before; empty if it is to be handled as a new one.
std::optional<SubmissionResult> Decisions::answerRepeatedId(const Submission& message) const {
    using Prior = rules::PriorSubmission;
    const auto it = heldMessages_.find(message.id);
    const bool isHeld = it != heldMessages_.end();
    const auto finished = recorder_.findEnd(message.id);
    if (!isHeld && !finished) return {};
    const auto& messageClass = config_.classes[message.messageClass];
    const bool same = isHeld ? hasContentOf(it->second.submission, message)
                             : finished->hasContent(store::contentDigest(message.key, message.destination,
                                                                         messageClass, *message.body));
    const bool ended = finished && finished->end != store::MessageEnd::abandoned;
    const auto prior = isHeld && !it->second.ended ? Prior::held
                       : isHeld && !ended          ? Prior::withdrawnInFlight
                                                   : priorSubmission(finished->end);
    const auto answer = rules::answerResubmission(prior, same, repeatEffect(finished ? finished->effect : 0));
    metrics::counter("submissions_repeated_total", "prior", rules::name(prior)).add();
    return resultOf(answer, rules::name(prior), milliseconds(finished ? finished->retryAfterMs : 0));
}

void Decisions::announceWait(const DueAttempt& due, std::chrono::nanoseconds wait) {
    if (wait.count() <= 0) return;
    const auto receivedAt = Steady::now();
    sendRules_.extendWait(due.destination, receivedAt + std::chrono::duration_cast<Steady::duration>(wait),
                          receivedAt);
}

// A delivery that comes after the deadline, or so close to it that it may have, is none: the message may have
// run, and it is owed an end by a notice. A notice for a message that was delivered after all does no harm.
AttemptResult Decisions::resultInTime(const HeldMessage& held, const DueAttempt& due,
                                      const AttemptResult& result) {
    const bool delivered = result.status == AttemptStatus::delivered && result.answeredAt;
    if (!delivered || rules::deliversInTime(*result.answeredAt, held.submission.deadline)) return result;
    static auto& lateDeliveries = metrics::counter("late_deliveries_total");
    lateDeliveries.add();
    (log::info() << "delivered too late to count")
        .kv("id", due.id)
        .kv("call", due.attempt + 1)
        .kv("endpoint", due.endpoint)
        .kv("late_ms", (*result.answeredAt - held.submission.deadline) / milliseconds(1));
    AttemptResult late = result;
    late.status = AttemptStatus::timedOut;
    late.fate = rules::MessageFate::open;
    return late;
}

void Decisions::recordResult(const DueAttempt& due, const AttemptResult& received) {
    // On an overloaded machine this thread may wait long for the facade's lock while other threads begin
    // attempts. The announced wait must apply from the time the answer was received, so it is set before
    // locking.
    announceWait(due, received.wait);
    if (endsAttempts(received)) sendRules_.forbidAttempts(due.id, Steady::now());
    const std::lock_guard lock(mutex_);
    sendRules_.end(due.id);
    const auto it = heldMessages_.find(due.id);
    if (it == heldMessages_.end() || !it->second.inFlight) return;
    HeldMessage& held = it->second;
    const auto result = resultInTime(held, due, received);
    --inFlight_;
    held.inFlight = false;
    held.lastStatus = result.status;
    if (result.status == AttemptStatus::unsent) --held.attempts;
    if (result.status == AttemptStatus::noConnection) ++held.failedConnects;
    const bool finished = nothingOwed(result);
    const bool endOwed = result.fate == rules::MessageFate::endOwed;
    // An answer may arrive while the process stops. Without a record of it the next run would repeat a
    // delivered message, or give up one that certainly never ran. Attempts cancelled by the stop itself have
    // no outcome.
    const bool cancelledByStop = stopped_ && result.status == AttemptStatus::cancelled;
    const auto attempt = std::exchange(held.openAttempt, std::nullopt);
    if (finished && !held.ended) {
        logFinished(due, result, Steady::now() - held.submission.deadline);
        recorder_.remove(due.id);
    } else if (!held.ended && !endOwed && !cancelledByStop) {
        recorder_.recordOutcome(due.id, attempt, {mayHaveRun(result), failed(result)});
    }
    if (mayHaveRun(result) && !held.mayHaveRunSince) held.mayHaveRunSince = due.issuedAt;
    if (stopped_) {  // results are recorded, but nothing more is decided
        if (endOwed && !held.ended) endAtStop(due.id, held);
        else if (finished || held.ended) removeHeldMessage(due.id);
        return;
    }
    const auto now = Steady::now();
    metrics::counter("calls_total", "ending", name(result.status)).add();
    if (hooks_.attemptFinished) hooks_.attemptFinished(due, result, now - due.issuedAt);
    stoathub::Outcome outcome;
    outcome.id = due.id;
    outcome.endpoint = due.endpoint;
    outcome.attempt = due.attempt;
    outcome.result = moduleResult(result.status);
    outcome.took = now - due.issuedAt;
    outcome.retryAfter = result.wait;
    outcome.concluded = finished;
    outcome.noFurtherAttempt = endOwed;
    outcome.unproven = result.unproven;
    outcome.stale = result.stale;
    outcome.allowanceLeft = result.allowanceLeft;
    outcome.allowedRate = result.allowedRate;
    if (finished || held.ended) removeHeldMessage(due.id);
    runTurn({{std::move(outcome)}});
    logOutcome(due, result);
}

/// Ends a message that must not be sent again, as the next process run would send it. The module decides
/// nothing any more, so the client is asked to submit it again only if it can't have run.
void Decisions::endAtStop(const std::string& id, const HeldMessage& held) {
    const auto state = held.mayHaveRunSince ? store::FinalState::failed : store::FinalState::returned;
    endUndelivered({id, state, 0}, stoathub::name(stoathub::EndReason::endedByEndpoint));
}

/// What became of the message by the outcome of an attempt.
void Decisions::logOutcome(const DueAttempt& due, const AttemptResult& result) const {
    const auto it = heldMessages_.find(due.id);
    const std::string_view next = it == heldMessages_.end() ? "over"
                                  : it->second.inFlight     ? "next_attempt"
                                                            : "held_for_retry";
    metrics::counter("outcomes_total", "next", next).add();
    if (!log::enabled(log::Level::debug)) return;
    (log::debug() << "outcome of an attempt")
        .kv("id", due.id)
        .kv("call", due.attempt + 1)
        .kv("ending", name(result.status))
        .kv("status", result.responseStatus)
        .kv("may_have_run", mayHaveRun(result) ? "yes" : "no")
        .kv("fate", rules::name(result.fate))
        .kv("next", next);
}

/// A message that needs no final answer any more. `lateness`: after its deadline; before it if negative.
void Decisions::logFinished(const DueAttempt& due, const AttemptResult& result,
                            std::chrono::nanoseconds lateness) {
    (log::debug() << "message finished")
        .kv("id", due.id)
        .kv("call", due.attempt + 1)
        .kv("by", name(result.status))
        .kv("late_ms", lateness / milliseconds(1));
}

void Decisions::updateEndpoints(const listing::EndpointList& list, bool saved) {
    // As for announced waits: endpoints that drain or go must get no new attempts while this thread waits for
    // the lock.
    const auto receivedAt = Steady::now();
    for (const auto& e : list.endpoints)
        if (e.status != listing::Status::serving) sendRules_.markNotServing(e.name, receivedAt);
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    stoathub::EndpointListUpdate news;
    news.kind = saved           ? stoathub::ListUpdateKind::saved
                : list.snapshot ? stoathub::ListUpdateKind::full
                                : stoathub::ListUpdateKind::delta;
    const auto now = Steady::now();
    if (saved || list.snapshot) {  // endpoints missing from a complete list are gone
        std::set<std::string_view> named;
        for (const auto& e : list.endpoints) named.insert(e.name);
        std::vector<std::string> gone;
        for (const auto& [name, entry] : endpoints_)
            if (!named.count(name)) gone.push_back(name);
        for (const auto& name : gone) setEndpoint(name, nullptr, now);
    }
    for (const auto& e : list.endpoints) {
        stoathub::Endpoint entry;
        entry.id = e.name;
        entry.destination = e.destination;
        if (e.status == listing::Status::deleted) {  // a deletion may carry only the name
            const auto known = endpoints_.find(e.name);
            if (known == endpoints_.end()) continue;
            entry.destination = known->second.destination;
        }
        entry.kind = config::position(config_.kinds, e.type, -1);
        entry.zone = config::position(config_.zones, e.zone, 0);
        entry.weight = e.weight;
        entry.state = e.status == listing::Status::serving    ? stoathub::EndpointState::inService
                      : e.status == listing::Status::draining ? stoathub::EndpointState::draining
                                                              : stoathub::EndpointState::removed;
        news.entries.push_back(std::move(entry));
        const rules::Endpoint listed{e.address, e.destination, e.status == listing::Status::serving,
                                     e.startedAtMs};
        setEndpoint(e.name, e.status == listing::Status::deleted ? nullptr : &listed, now);
    }
    purgeExpired(now);
    runTurn({{std::move(news)}});
}

/// Updates the tables of endpoints and destinations; nothing else changes them. `entry` is null for an
/// endpoint that is gone.
void Decisions::setEndpoint(const std::string& name, const rules::Endpoint* entry, TimePoint now) {
    const auto it = endpoints_.find(name);
    const bool known = it != endpoints_.end();
    if (!entry) sendRules_.removeEndpoint(name, now);
    else if (!entry->serving) sendRules_.markNotServing(name, now);
    if (entry) sendRules_.setEndpoint(name, *entry);
    const bool unchanged = known && entry && entry->serving && it->second.isSameProcess(*entry);
    if (known && !unchanged && hooks_.endpointReplaced) hooks_.endpointReplaced(name);
    if (known) {
        DestinationState& destination = destinations_[it->second.destination];
        destination.servingEndpoints -= it->second.serving;
        if (--destination.listedEndpoints == 0) unlistedSince_[it->second.destination] = now;
    }
    if (entry) {
        DestinationState& destination = destinations_[entry->destination];
        destination.servingEndpoints += entry->serving;
        if (++destination.listedEndpoints == 1) unlistedSince_.erase(entry->destination);
        endpoints_[name] = *entry;
    } else if (known) {
        endpoints_.erase(it);
    }
}

Decisions::HeldMessage& Decisions::addHeldMessage(const Submission& message) {
    HeldMessage& held = heldMessages_[message.id];
    held.submission = message;
    held.mayBeRepeated =
        message.messageClass >= config_.settings.messageClasses.size() ||
        config_.settings.messageClasses[message.messageClass].effect != stoathub::Effect::unsafe;
    ++destinations_[message.destination].heldMessages;
    return held;
}

void Decisions::removeHeldMessage(const std::string& id) {
    const auto it = heldMessages_.find(id);
    if (it == heldMessages_.end()) return;
    --destinations_[it->second.submission.destination].heldMessages;
    heldMessages_.erase(it);
}

void Decisions::updateDestinationHealth(const std::vector<DestinationHealth>& health) {
    const std::lock_guard lock(mutex_);
    if (stopped_ || health.empty()) return;
    Events events;
    for (const auto& s : health) {
        stoathub::DestinationHealth event{s.destination, s.down, {}, s.rateLimit, s.unconfirmed, s.probed};
        if (s.sinceRecovery) event.sinceRecovery = *s.sinceRecovery;
        events.all.push_back(std::move(event));
    }
    runTurn(events);
}

std::vector<DestinationHealth> Decisions::destinationHealth() const {
    const std::lock_guard lock(mutex_);
    std::vector<DestinationHealth> all;
    for (const auto& s : sender_.destinationHealth()) {
        all.push_back({s.destination, s.down, {}, s.rateLimit, s.unconfirmed, false, s.suspected});
        if (s.sinceRecovery) all.back().sinceRecovery = ceilMs(*s.sinceRecovery);
    }
    return all;
}

Decisions::PendingLoad Decisions::pendingLoad(std::uint64_t destination) const {
    const std::lock_guard lock(mutex_);
    PendingLoad load;
    if (const auto it = destinations_.find(destination); it != destinations_.end())
        load.held = it->second.heldMessages;
    load.waitUntil = sendRules_.waitUntil(destination);
    return load;
}

// The thread that sends notices must not wait for the facade's lock, as the next notice may be close to its
// deadline.
void Decisions::acknowledgeNotices(const std::vector<std::string>& acknowledged) {
    {
        const std::lock_guard lock(acknowledgedMutex_);
        acknowledgedNotices_.insert(acknowledgedNotices_.end(), acknowledged.begin(), acknowledged.end());
    }
    const std::unique_lock lock(mutex_, std::try_to_lock);
    if (!lock) return;  // the holder records them before it unlocks, or the next turn does
    recordAcknowledgedNotices();
    if (recorder_.hasUnwrittenRecords()) wakeUp_.notify_one();
}

void Decisions::recordAcknowledgedNotices() {
    std::vector<std::string> acknowledged;
    {
        const std::lock_guard lock(acknowledgedMutex_);
        acknowledged.swap(acknowledgedNotices_);
    }
    for (const auto& id : acknowledged) recorder_.noticeAcknowledged(id);
}

void Decisions::withdraw(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto it = heldMessages_.find(id);
    if (stopped_ || it == heldMessages_.end() || it->second.ended) return;
    // The client may have submitted it again and received `accepted`. A lost answer to one submission must
    // not drop the message while another accepted submission depends on it.
    const int remaining = --it->second.acceptedSubmissions;
    (log::debug() << "submission withdrawn").kv("id", id).kv("accepted_submissions", remaining);
    if (remaining > 0) return;
    // An attempt that goes on may have run, which the record of the removal has to show.
    if (const auto attempt = std::exchange(it->second.openAttempt, std::nullopt))
        recorder_.recordOutcome(id, attempt, {true, false});
    recorder_.remove(id);
    it->second.ended = true;
    if (!it->second.inFlight) removeHeldMessage(id);
    runTurn({{stoathub::MessageWithdrawn{id}}});
}

std::size_t Decisions::restore(const std::vector<store::StoredMessage>& messages,
                               store::RecordMs healthKnownUntil) {
    const std::lock_guard lock(mutex_);
    const auto now = Steady::now();
    const auto recordNow = recordClock_.now();
    std::size_t late = 0;
    Events events;
    for (const auto& message : messages) {
        auto recovered = interpret(message, config_, recordNow, healthKnownUntil);
        late += recovered.timeLeft.count() <= 0;
        logRecovered(message, recovered);
        HeldMessage& held = addHeldMessage(
            {message.id, message.key, message.destination, static_cast<std::uint32_t>(recovered.messageClass),
             static_cast<std::uint32_t>(recovered.tenant), now + recovered.timeLeft, message.body});
        held.recovered = true;
        held.mayBeRepeated = held.mayBeRepeated && recovered.event.minimumEffect != stoathub::Effect::unsafe;
        if (recovered.mayHaveRun) held.mayHaveRunSince = now - recovered.sinceMayHaveRun;
        // The new configuration may lack the message's class. The decision module ignores messages of unknown
        // classes, so such a message would never end.
        if (recovered.state == RecoveryState::unknownClass) {
            endUndelivered(
                {message.id, recovered.mayHaveRun ? store::FinalState::failed : store::FinalState::returned,
                 0},
                "unknown_class");
            continue;
        }
        // Until the list names the destination, it is treated as one that has just been unlisted.
        if (destinations_[message.destination].listedEndpoints == 0)
            unlistedSince_.try_emplace(message.destination, now);
        held.attempts = recovered.event.priorAttempts->attempts;
        events.all.push_back(std::move(recovered.event));
    }
    if (!events.all.empty()) runTurn(events);
    return late;
}

// ---- tick ----

bool Decisions::tick() {
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        const auto now = Steady::now();
        const bool behind = !recorder_.flush();
        reportEnds(false);
        const auto next = std::min(wakeUpAt_.value_or(TimePoint::max()),
                                   behind ? now + kRecordRetryInterval : TimePoint::max());
        if (next == TimePoint::max()) {
            wakeUp_.wait(lock);
        } else if (now < next) {
            wakeUp_.wait_until(lock, next);
        } else {
            // A late wake-up delays every decision that depends on time, so it is worth a warning.
            const auto late = std::chrono::duration_cast<milliseconds>(Steady::now() - next);
            if (late > kLateWakeUp) {
                static auto& lateTimers = metrics::counter("timers_late_total");
                lateTimers.add();
                log::warning() << "timer ran " << late.count() << " ms late";
            }
            wakeUpAt_.reset();
            runTurn({{stoathub::TimerFired{}}});
            return true;
        }
    }
    return false;
}

// The decision module needs one wake-up at a time: it requests an earlier one, or a new one after the last
// has passed. So each request replaces the previous one; keeping them all would cause turns without work.
void Decisions::scheduleWakeUp(TimePoint at) {
    const bool sooner = !wakeUpAt_ || at < *wakeUpAt_;
    wakeUpAt_ = at;
    if (sooner) wakeUp_.notify_one();
}

// Destinations come and go during a process run, so the tables would grow without bound. Destinations
// without held messages that have been unlisted for kUnlistedRetention are dropped, and waits that have
// passed.
void Decisions::purgeExpired(TimePoint now) {
    std::erase_if(unlistedSince_, [&](const auto& entry) {
        const auto it = destinations_.find(entry.first);
        if (it != destinations_.end() &&
            (it->second.heldMessages > 0 || now - entry.second < kUnlistedRetention))
            return false;
        if (it != destinations_.end()) destinations_.erase(it);
        return true;
    });
    sendRules_.pruneExpired(now);
}

void Decisions::runTurn(const Events& events, SubmissionResult* submissionResult,
                        const std::string* submittedId) {
    const auto now = Steady::now();
    for (const auto& action : sender_.turn(moduleTime(now), events.all)) {
        if (const auto* send = std::get_if<stoathub::Send>(&action)) {
            const auto it = heldMessages_.find(send->id);
            if (it == heldMessages_.end()) continue;  // does not happen: the module sends only held messages
            if (!dispatching_) continue;              // left to the next process run, without an attempt
            HeldMessage& held = it->second;
            held.inFlight = true;
            held.cancelSource = std::stop_source();
            ++inFlight_;
            const auto endpoint = endpoints_.find(send->endpoint);
            dueAttempts_.push_back({send->id, held.submission.key, held.submission.body, send->endpoint,
                                    endpoint == endpoints_.end() ? std::string() : endpoint->second.address,
                                    held.submission.destination, held.attempts++, held.failedConnects, now,
                                    steadyTime(send->attemptDeadline), steadyTime(send->sendBy),
                                    held.cancelSource.get_token(), held.mayBeRepeated});
            attemptDue_.notify_one();
        } else if (const auto* refuse = std::get_if<stoathub::Refuse>(&action)) {
            const auto after = ceilMs(refuse->retryIn);
            if (submissionResult && refuse->id == *submittedId) {
                *submissionResult = refused("module", after.count() > 0 ? after : kRetryAfterWhenFull);
                recorder_.remove(refuse->id);
                removeHeldMessage(refuse->id);
            } else {
                endUndelivered({refuse->id, store::FinalState::returned, after.count()},
                               stoathub::name(refuse->reason));
            }
        } else if (const auto* fail = std::get_if<stoathub::Fail>(&action)) {
            if (submissionResult && fail->id == *submittedId) {
                *submissionResult = {SubmissionResult::Kind::failed, {}};
                recorder_.remove(fail->id);
                removeHeldMessage(fail->id);
            } else {
                endUndelivered({fail->id, store::FinalState::failed, 0}, stoathub::name(fail->reason));
            }
        } else if (const auto* cancel = std::get_if<stoathub::Cancel>(&action)) {
            const auto it = heldMessages_.find(cancel->id);
            if (it != heldMessages_.end() && it->second.inFlight &&
                it->second.attempts == cancel->attempt + 1)
                it->second.cancelSource.request_stop();
        } else if (const auto* wake = std::get_if<stoathub::SetTimer>(&action)) {
            scheduleWakeUp(now + std::chrono::duration_cast<Steady::duration>(wake->after));
        } else if (const auto* close = std::get_if<stoathub::CloseIdleConnections>(&action)) {
            if (hooks_.closeIdleConnections) hooks_.closeIdleConnections(close->endpoint);
        }
        // Follow needs no action: the watch on discovery always runs.
    }
    recordAcknowledgedNotices();
    if (recorder_.hasUnwrittenRecords()) wakeUp_.notify_one();
}

void Decisions::endUndelivered(const store::PendingNotice& notice, std::string_view reason) {
    const std::string& id = notice.id;
    const auto it = heldMessages_.find(id);
    if (it == heldMessages_.end()) return;
    if (it->second.ended) return violations_.count(rules::Rule::finalAnswer, id, "second end of one message");
    const HeldMessage& held = it->second;
    const auto lateness = Steady::now() - held.submission.deadline;
    if (!held.recovered) endRules_.taken(rules::EndStep::decided, id, lateness);
    const char* state = notice.finalState == store::FinalState::failed ? "failed" : "returned";
    metrics::counter("ends_total", "state", state).add();
    metrics::counter("ends_by_reason_total", "reason", reason).add();
    (log::debug() << "message ended undelivered")
        .kv("id", id)
        .kv("state", state)
        .kv("reason", reason)
        .kv("attempts", held.attempts)
        .kv("in_flight", held.inFlight ? "yes" : "no")
        .kv("late_ms", lateness / milliseconds(1))
        .kv("after_ms", notice.retryAfterMs);
    const std::optional<TimePoint> deadline =
        held.recovered ? std::nullopt : std::optional(held.submission.deadline);
    recorder_.recordFinalState(notice);
    if (it->second.inFlight) it->second.ended = true;
    else removeHeldMessage(id);
    unreportedEnds_.push_back({{notice, deadline}, Steady::now() + kUnrecordedEndDelay});
    reportEnds(false);
}

// An end that is reported but not on record would be decided again, perhaps differently, by the next run.
// So ends are recorded before they are reported. If the store can't write, they are reported after
// kUnrecordedEndDelay, so that a failing disk does not delay notices for long.
void Decisions::reportEnds(bool all) {
    const bool recorded = !recorder_.hasUnwrittenRecords();
    const auto now = Steady::now();
    while (!unreportedEnds_.empty() && (all || recorded || now >= unreportedEnds_.front().reportBy)) {
        const auto end = std::move(unreportedEnds_.front().end);
        unreportedEnds_.pop_front();
        (log::debug() << "end reported to the notices module")
            .kv("id", end.notice.id)
            .kv("recorded", recorded ? "yes" : "no");
        if (hooks_.messageEnded) hooks_.messageEnded(end);
    }
}

void Decisions::stopDispatching() {
    const std::lock_guard lock(mutex_);
    discardDueAttempts();
    attemptDue_.notify_all();
}

/// Attempts that no worker has taken are not made; their messages are left to the next process run.
void Decisions::discardDueAttempts() {
    dispatching_ = false;
    for (const auto& due : dueAttempts_) {
        const auto it = heldMessages_.find(due.id);
        if (it == heldMessages_.end()) continue;
        it->second.inFlight = false;
        --inFlight_;
        if (it->second.ended) removeHeldMessage(due.id);
    }
    dueAttempts_.clear();
}

void Decisions::stop() {
    const std::lock_guard lock(mutex_);
    discardDueAttempts();
    recorder_.flush();
    reportEnds(true);
    stopped_ = true;
    for (auto& [id, held] : heldMessages_)
        if (held.inFlight) held.cancelSource.request_stop();
    attemptDue_.notify_all();
    wakeUp_.notify_all();
}

bool Decisions::flushRecords() {
    const std::lock_guard lock(mutex_);
    recordAcknowledgedNotices();
    return recorder_.flush();
}

Decisions::TableSizes Decisions::tableSizes() const {
    const std::lock_guard lock(mutex_);
    return {heldMessages_.size(), endpoints_.size(), destinations_.size(), sendRules_.waitCount()};
}
std::vector<Decisions::RetryBucketState> Decisions::retryBucketStates() const {
    const std::lock_guard lock(mutex_);
    std::vector<RetryBucketState> all;
    for (const auto& b : sender_.retryBuckets())
        all.push_back({b.destination, b.tokens, b.capacity, b.gained, b.spent});
    return all;
}
std::size_t Decisions::heldMessages() const {
    const std::lock_guard lock(mutex_);
    return heldMessages_.size();
}
std::size_t Decisions::attemptsInFlight() const {
    const std::lock_guard lock(mutex_);
    return inFlight_;
}

}  // namespace laurelhaven::decisions
