#include "decisions/decisions.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include "decisions/recovered_messages.hpp"
#include "decisions/retry_after.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"
#include "stoathub/stoathub.hpp"

namespace laurelhaven::decisions {

struct Events {
    std::vector<stoathub::Event> all;
};

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLate{50};
constexpr milliseconds kLateEnd{300};         // an end is late so long after its message's time
constexpr milliseconds kFlush{20};            // between tries to write what the store could not
constexpr milliseconds kTellUnrecorded{150};  // an end that the store can't write is told so long after it
constexpr std::chrono::seconds kDestinations{60};  // so long a destination without endpoints stays one

stoathub::Time moduleTime(TimePoint at) {
    return stoathub::Time(std::chrono::duration_cast<stoathub::Duration>(at.time_since_epoch()));
}
TimePoint moment(stoathub::Time at) {
    return TimePoint(std::chrono::duration_cast<Steady::duration>(at.time_since_epoch()));
}
milliseconds wholeMs(stoathub::Duration span) { return std::chrono::ceil<milliseconds>(span); }

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

bool mayHaveRun(AttemptStatus status) {
    return status == AttemptStatus::error || status == AttemptStatus::timedOut ||
           status == AttemptStatus::reset || status == AttemptStatus::cancelled;
}

bool failed(AttemptStatus status) { return mayHaveRun(status) || status == AttemptStatus::noConnection; }

SubmissionResult refused(std::string_view reason, milliseconds after) {
    metrics::counter("refusals_total", "reason", reason).add();
    log::debug() << "refused: " << reason;
    return {SubmissionResult::Kind::refused, after};
}

/// A line for each that may have run, as its repeats have to keep rules over several lives; the others are
/// counted, and told at level debug.
void logFound(const store::StoredMessage& message, const FoundMessage& found) {
    metrics::counter("found_messages_total", "state", name(found.state)).add();
    const bool lost = found.state == FoundState::unknownClass;
    auto line = lost ? log::error() : found.mayHaveRun ? log::info() : log::debug();
    (line << "found a message of an earlier life")
        .kv("id", message.id)
        .kv("state", name(found.state))
        .kv("destination", message.destination)
        .kv("class", message.messageClass)
        .kv("attempts", message.attempts.attemptCount())
        .kv("failures", message.attempts.failures())
        .kv("left_ms", found.left.count());
    if (found.mayHaveRun) line.kv("may_have_run_ms_ago", found.sinceRan.count());
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
      recorder_(store, recordClock, violations_) {}

// ---- pick ----

std::optional<DueAttempt> Decisions::takeDueAttempt() {
    std::unique_lock lock(mutex_);
    due_.wait(lock, [this] { return !picking_ || !calls_.empty(); });
    if (!picking_) return {};
    DueAttempt call = std::move(calls_.front());
    calls_.pop_front();
    return call;
}

rules::Attempt Decisions::attemptOf(const DueAttempt& call) const {
    return {call.id,          call.endpoint, call.address, call.destination,
            call.attempt + 1, call.tryUntil, call.startBy};
}

bool Decisions::holds(const Held& held, const DueAttempt& call) const {
    return !held.over && held.out && held.attempts == call.attempt + 1 && !held.cancel.stop_requested();
}

// Between the decision and the first byte lies a connect of up to a second. Meanwhile the partner may have
// told another call to wait, the endpoint may be draining or gone, or the message over. Danger: the receivers
// may forget its key meanwhile, and a repeat would take effect twice.
bool Decisions::tryBeginAttempt(const DueAttempt& call) {
    const std::lock_guard lock(mutex_);
    if (stopped_ || !picking_) return false;
    const auto it = held_.find(call.id);
    if (it == held_.end() || !holds(it->second, call)) return false;
    Held& held = it->second;
    const auto attempt = attemptOf(call);
    if (held.attempt) return sendRules_.check(attempt, Steady::now()) == rules::Refusal::none;
    const auto refusal = sendRules_.begin(attempt, Steady::now());
    if (refusal != rules::Refusal::none) {
        (log::debug() << "attempt refused")
            .kv("id", call.id)
            .kv("call", call.attempt + 1)
            .kv("endpoint", call.endpoint)
            .kv("reason", rules::name(refusal));
        return false;
    }
    held.attempt = recorder_.begin(call.id);
    // The record may have taken its time.
    if (held.attempt && sendRules_.check(attempt, Steady::now()) == rules::Refusal::none) {
        logBegun(held, call);
        return true;
    }
    takeBack(held, call.id);
    return false;
}

/// Repeats over a restart are told at level info, as they have to keep rules over several lives.
void Decisions::logBegun(const Held& held, const DueAttempt& call) {
    const char* kind = held.mayHaveRunSince ? "repeat" : call.attempt > 0 ? "retry" : "first";
    metrics::counter("attempts_total", "kind", kind).add();
    auto line = held.found && held.mayHaveRunSince ? log::info() : log::debug();
    (line << "attempt begins")
        .kv("id", call.id)
        .kv("call", call.attempt + 1)
        .kv("kind", kind)
        .kv("endpoint", call.endpoint)
        .kv("destination", call.destination);
    if (held.mayHaveRunSince)
        line.kv("may_have_run_ms_ago", (Steady::now() - *held.mayHaveRunSince) / milliseconds(1));
}

void Decisions::recordSent(const DueAttempt& call, TimePoint firstByteAt) {
    sendRules_.sent(attemptOf(call), firstByteAt);
}

void Decisions::attemptNotSent(const DueAttempt& call) {
    const std::lock_guard lock(mutex_);
    const auto it = held_.find(call.id);
    if (it == held_.end() || !it->second.attempt || it->second.attempts != call.attempt + 1) return;
    takeBack(it->second, call.id);
}

/// The attempt that is on record, if any, never left.
void Decisions::takeBack(Held& held, const std::string& id) {
    sendRules_.end(id);
    const auto attempt = std::exchange(held.attempt, std::nullopt);
    if (!held.over) recorder_.neverLeft(id, attempt);
}

// ---- report ----

SubmissionResult Decisions::submit(const Submission& message) {
    const std::lock_guard lock(mutex_);
    const auto verdict = decide(message);
    static constexpr std::array<std::string_view, 4> kKinds{"taken", "refused", "failed", "conflict"};
    const auto kind = kKinds[static_cast<std::size_t>(verdict.kind)];
    (log::debug() << "handed in")
        .kv("id", message.id)
        .kv("destination", message.destination)
        .kv("verdict", kind)
        .kv("after_ms", verdict.retryAfter.count());
    metrics::counter("messages_total", "verdict", kind).add();
    if (hooks_.messageSubmitted) hooks_.messageSubmitted(message, verdict);
    return verdict;
}

SubmissionResult Decisions::decide(const Submission& message) {
    using Kind = SubmissionResult::Kind;
    const auto now = Steady::now();
    if (stopped_) return refused("stopping", kRetryAfterWhenFull);
    if (const auto it = held_.find(message.id); it != held_.end()) {
        // Danger: the id may come with another message, and either of the two first. Whoever is told that a
        // message was taken on must be owed that very one; what is held goes on undisturbed.
        const auto& in = it->second.in;
        const bool same = in.key == message.key && in.destination == message.destination &&
                          in.messageClass == message.messageClass && *in.body == *message.body;
        if (!same || it->second.over) return {Kind::conflict, {}};
        ++it->second.handIns;
        return {Kind::accepted, {}, true};  // the same request once more, on a new connection
    }
    if (message.deadline <= now) return refused("late", {});
    // Danger: a message for no destination would be held in vain, and one entry for each number that anybody
    // makes up would stay in the tables. The list comes seconds late, so the client may try again.
    forget(now);
    if (!destinations_.count(message.destination))
        return refused("unknown_destination", kRetryAfterUnknownDestination);
    if (held_.size() >= static_cast<std::size_t>(config_.settings.maxHeld))
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
    const bool stored = recorder_.take(record);
    if (stored == noRoom_) {
        noRoom_ = !stored;
        if (noRoom_) log::warning() << "no room in the store at " << held_.size() << " messages held";
        else log::info() << "room in the store again at " << held_.size() << " messages held";
    }
    if (!stored) return refused("store", kRetryAfterWhenFull);
    hold(message);
    if (destinations_[message.destination].serving == 0 && hooks_.endpointNeeded)
        hooks_.endpointNeeded(message.destination);
    stoathub::MessageAccepted handed;
    handed.id = message.id;
    handed.destination = message.destination;
    handed.messageClass = static_cast<int>(message.messageClass);
    handed.timeLeft = message.deadline - now;
    SubmissionResult verdict;
    turn({{std::move(handed)}}, &verdict, &message.id);
    return verdict;
}

void Decisions::recordResult(const DueAttempt& call, const AttemptResult& result) {
    // Danger: where the processor is short the facade's lock may be long in coming, and others begin calls
    // meanwhile. What a partner has told holds from now on, not from when there is time for it.
    const auto heardAt = Steady::now();
    if (result.status == AttemptStatus::rejected && result.wait.count() > 0)
        sendRules_.extendWait(call.destination,
                              heardAt + std::chrono::duration_cast<Steady::duration>(result.wait), heardAt);
    const std::lock_guard lock(mutex_);
    sendRules_.end(call.id);
    const auto it = held_.find(call.id);
    if (it == held_.end() || !it->second.out) return;
    Held& held = it->second;
    --out_;
    held.out = false;
    if (result.status == AttemptStatus::unsent) --held.attempts;
    const bool over = result.messageFinished || result.status == AttemptStatus::delivered;
    // Danger: an answer may be heard in the moment of a stop. Off the record, the next life would repeat what
    // was delivered, and give up for nothing what surely never ran. What the stop itself called off has no
    // outcome.
    const bool unheard = stopped_ && result.status == AttemptStatus::cancelled;
    const auto attempt = std::exchange(held.attempt, std::nullopt);
    if (over && !held.over) recorder_.done(call.id);
    else if (!held.over && !unheard)
        recorder_.outcome(call.id, attempt, {mayHaveRun(result.status), failed(result.status)});
    if (mayHaveRun(result.status) && !held.mayHaveRunSince) held.mayHaveRunSince = call.issuedAt;
    if (stopped_) {  // nothing is decided any more
        if (over || held.over) release(call.id);
        return;
    }
    const auto now = Steady::now();
    metrics::counter("calls_total", "ending", name(result.status)).add();
    if (hooks_.attemptFinished) hooks_.attemptFinished(call, result, now - call.issuedAt);
    stoathub::Outcome outcome;
    outcome.id = call.id;
    outcome.endpoint = call.endpoint;
    outcome.attempt = call.attempt;
    outcome.result = moduleResult(result.status);
    outcome.took = now - call.issuedAt;
    outcome.retryAfter = result.wait;
    outcome.concluded = over;
    outcome.stale = result.stale;
    outcome.allowanceLeft = result.allowanceLeft;
    outcome.allowedRate = result.allowedRate;
    if (over || held.over) release(call.id);
    turn({{std::move(outcome)}});
}

void Decisions::updateEndpoints(const listing::EndpointList& list, bool saved) {
    // As for waits: what drains or goes gets nothing more, whoever holds the lock.
    const auto heardAt = Steady::now();
    for (const auto& e : list.endpoints)
        if (e.status != listing::Status::serving) sendRules_.markNotServing(e.name, heardAt);
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    stoathub::EndpointListUpdate news;
    news.kind = saved           ? stoathub::ListUpdateKind::saved
                : list.snapshot ? stoathub::ListUpdateKind::full
                                : stoathub::ListUpdateKind::delta;
    const auto now = Steady::now();
    if (saved || list.snapshot) {  // what it does not name is gone
        std::set<std::string_view> named;
        for (const auto& e : list.endpoints) named.insert(e.name);
        std::vector<std::string> gone;
        for (const auto& [name, seen] : endpoints_)
            if (!named.count(name)) gone.push_back(name);
        for (const auto& name : gone) setEndpoint(name, nullptr, now);
    }
    for (const auto& e : list.endpoints) {
        stoathub::Endpoint entry;
        entry.id = e.name;
        entry.destination = e.destination;
        if (e.status == listing::Status::deleted) {  // a deletion need not tell more than the name
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
        const rules::Endpoint seen{e.address, e.destination, e.status == listing::Status::serving};
        setEndpoint(e.name, e.status == listing::Status::deleted ? nullptr : &seen, now);
    }
    forget(now);
    turn({{std::move(news)}});
}

/// The one place where the tables of endpoints and destinations change; `seen` is null for one that is gone.
void Decisions::setEndpoint(const std::string& name, const rules::Endpoint* seen, TimePoint now) {
    const auto it = endpoints_.find(name);
    const bool had = it != endpoints_.end();
    if (!seen) sendRules_.removeEndpoint(name, now);
    else if (!seen->serving) sendRules_.markNotServing(name, now);
    if (seen) sendRules_.setEndpoint(name, *seen);
    // Nothing more goes there: its connections are of no use.
    const bool same = had && seen && seen->serving && it->second.address == seen->address;
    if (had && !same && hooks_.closeIdleConnections) hooks_.closeIdleConnections(name);
    if (had) {
        Group& group = destinations_[it->second.destination];
        group.serving -= it->second.serving;
        if (--group.listed == 0) unlisted_[it->second.destination] = now;
    }
    if (seen) {
        Group& group = destinations_[seen->destination];
        group.serving += seen->serving;
        if (++group.listed == 1) unlisted_.erase(seen->destination);
        endpoints_[name] = *seen;
    } else if (had) {
        endpoints_.erase(it);
    }
}

Decisions::Held& Decisions::hold(const Submission& message) {
    Held& held = held_[message.id];
    held.in = message;
    ++destinations_[message.destination].held;
    return held;
}

void Decisions::release(const std::string& id) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    --destinations_[it->second.in.destination].held;
    held_.erase(it);
}

void Decisions::updateDestinationHealth(const std::vector<DestinationHealth>& standings) {
    const std::lock_guard lock(mutex_);
    if (stopped_ || standings.empty()) return;
    Events events;
    for (const auto& s : standings) {
        stoathub::DestinationHealth event{s.destination, s.down, {}, s.rateLimit, s.unconfirmed, s.probed};
        if (s.sinceRecovery) event.sinceRecovery = *s.sinceRecovery;
        events.all.push_back(std::move(event));
    }
    turn(events);
}

std::vector<DestinationHealth> Decisions::destinationHealth() const {
    const std::lock_guard lock(mutex_);
    std::vector<DestinationHealth> all;
    for (const auto& s : sender_.destinationHealth()) {
        all.push_back({s.destination, s.down, {}, s.rateLimit, s.unconfirmed, false});
        if (s.sinceRecovery) all.back().sinceRecovery = wholeMs(*s.sinceRecovery);
    }
    return all;
}

Decisions::PendingLoad Decisions::pendingLoad(std::uint64_t destination) const {
    const std::lock_guard lock(mutex_);
    PendingLoad found;
    if (const auto it = destinations_.find(destination); it != destinations_.end())
        found.held = it->second.held;
    found.waitUntil = sendRules_.waitUntil(destination);
    return found;
}

// Danger: whoever tells the platform of ends must not stand behind the facade's lock: the next end may have
// little time left.
void Decisions::acknowledgeNotices(const std::vector<std::string>& noticed) {
    {
        const std::lock_guard lock(noticedMutex_);
        noticed_.insert(noticed_.end(), noticed.begin(), noticed.end());
    }
    const std::unique_lock lock(mutex_, std::try_to_lock);
    if (!lock) return;  // whoever holds it puts them on record before it lets go, or the next turn does
    recordNoticed();
    if (recorder_.behind()) wake_.notify_one();
}

void Decisions::recordNoticed() {
    std::vector<std::string> noticed;
    {
        const std::lock_guard lock(noticedMutex_);
        noticed.swap(noticed_);
    }
    for (const auto& id : noticed) recorder_.noticed(id);
}

void Decisions::withdraw(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto it = held_.find(id);
    if (stopped_ || it == held_.end() || it->second.over) return;
    // Danger: its client may have sent it once more and been told that it is taken. It is owed to whichever
    // hand-in was told so; an answer that was lost takes nothing back from another.
    if (--it->second.handIns > 0) return;
    recorder_.done(id);
    it->second.over = true;
    if (!it->second.out) release(id);
    turn({{stoathub::MessageWithdrawn{id}}});
}

std::size_t Decisions::restore(const std::vector<store::StoredMessage>& messages,
                               store::RecordMs healthKnownUntil) {
    const std::lock_guard lock(mutex_);
    const auto now = Steady::now();
    const auto recordNow = recordClock_.now();
    std::size_t late = 0;
    Events events;
    for (const auto& message : messages) {
        auto found = interpret(message, config_, recordNow, healthKnownUntil);
        late += found.left.count() <= 0;
        logFound(message, found);
        Held& held =
            hold({message.id, message.key, message.destination, static_cast<std::uint32_t>(found.grade),
                  static_cast<std::uint32_t>(found.tenant), now + found.left, message.body});
        held.found = true;
        if (found.mayHaveRun) held.mayHaveRunSince = now - found.sinceRan;
        // Danger: a configuration with fewer classes; the module takes no message of one that it does not
        // know, and nobody would ever end it.
        if (found.state == FoundState::unknownClass) {
            conclude(
                message.id,
                {message.id, found.mayHaveRun ? store::FinalState::failed : store::FinalState::returned, 0});
            continue;
        }
        // Until the list names it, as for any that it named a moment ago.
        if (destinations_[message.destination].listed == 0) unlisted_.try_emplace(message.destination, now);
        held.attempts = found.handed.priorAttempts->attempts;
        events.all.push_back(std::move(found.handed));
    }
    if (!events.all.empty()) turn(events);
    return late;
}

// ---- tick ----

bool Decisions::tick() {
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        const auto now = Steady::now();
        const bool behind = !recorder_.flush();
        tellEnds(false);
        const auto next =
            std::min(wakeAt_.value_or(TimePoint::max()), behind ? now + kFlush : TimePoint::max());
        if (next == TimePoint::max()) {
            wake_.wait(lock);
        } else if (now < next) {
            wake_.wait_until(lock, next);
        } else {
            // Whatever is decided on time counts for little where the machine holds the process up.
            const auto late = std::chrono::duration_cast<milliseconds>(Steady::now() - next);
            if (late > kLate) log::warning() << "woken " << late.count() << " ms late";
            wakeAt_.reset();
            turn({{stoathub::TimerFired{}}});
            return true;
        }
    }
    return false;
}

// The module waits for one time: it asks for a sooner one, or anew once the last has passed, and so each
// takes the place of the one before. Keeping them all would turn the module for nothing.
void Decisions::wakeAt(TimePoint at) {
    const bool sooner = !wakeAt_ || at < *wakeAt_;
    wakeAt_ = at;
    if (sooner) wake_.notify_one();
}

// Danger: destinations come and go for as long as the process lives. What has long been unlisted, and waits
// that are over, are not kept.
void Decisions::forget(TimePoint now) {
    std::erase_if(unlisted_, [&](const auto& entry) {
        const auto it = destinations_.find(entry.first);
        if (it != destinations_.end() && (it->second.held > 0 || now - entry.second < kDestinations))
            return false;
        if (it != destinations_.end()) destinations_.erase(it);
        return true;
    });
    sendRules_.pruneExpired(now);
}

void Decisions::turn(const Events& events, SubmissionResult* own, const std::string* ownId) {
    const auto now = Steady::now();
    for (const auto& action : sender_.turn(moduleTime(now), events.all)) {
        if (const auto* send = std::get_if<stoathub::Send>(&action)) {
            const auto it = held_.find(send->id);
            if (it == held_.end()) continue;  // the module sends only what it holds
            if (!picking_) continue;          // left to the next start, untried
            Held& held = it->second;
            held.out = true;
            held.cancel = std::stop_source();
            ++out_;
            const auto seen = endpoints_.find(send->endpoint);
            calls_.push_back({send->id, held.in.key, held.in.body, send->endpoint,
                              seen == endpoints_.end() ? std::string() : seen->second.address,
                              held.in.destination, held.attempts++, now, moment(send->attemptDeadline),
                              moment(send->sendBy), held.cancel.get_token()});
            due_.notify_one();
        } else if (const auto* refuse = std::get_if<stoathub::Refuse>(&action)) {
            const auto after = wholeMs(refuse->retryIn);
            if (own && refuse->id == *ownId) {
                *own = refused("module", after.count() > 0 ? after : kRetryAfterWhenFull);
                recorder_.done(refuse->id);
                release(refuse->id);
            } else {
                conclude(refuse->id, {refuse->id, store::FinalState::returned, after.count()});
            }
        } else if (const auto* fail = std::get_if<stoathub::Fail>(&action)) {
            if (own && fail->id == *ownId) {
                *own = {SubmissionResult::Kind::failed, {}};
                recorder_.done(fail->id);
                release(fail->id);
            } else {
                conclude(fail->id, {fail->id, store::FinalState::failed, 0});
            }
        } else if (const auto* cancel = std::get_if<stoathub::Cancel>(&action)) {
            const auto it = held_.find(cancel->id);
            if (it != held_.end() && it->second.out && it->second.attempts == cancel->attempt + 1)
                it->second.cancel.request_stop();
        } else if (const auto* wake = std::get_if<stoathub::SetTimer>(&action)) {
            wakeAt(now + std::chrono::duration_cast<Steady::duration>(wake->after));
        } else if (const auto* close = std::get_if<stoathub::CloseIdleConnections>(&action)) {
            if (hooks_.closeIdleConnections) hooks_.closeIdleConnections(close->endpoint);
        }
        // Follow has no place on sockets: the watch always runs.
    }
    recordNoticed();
    if (recorder_.behind()) wake_.notify_one();
}

void Decisions::conclude(const std::string& id, const store::PendingNotice& notice) {
    const auto it = held_.find(id);
    if (it == held_.end()) return;
    if (it->second.over) return violations_.count(rules::Rule::finalAnswer, id, "a second end");
    const auto late = Steady::now() - it->second.in.deadline;
    if (late > kLateEnd && !it->second.found)
        violations_.count(rules::Rule::lateEnd, id, std::to_string(late / milliseconds(1)) + " ms late");
    const char* state = notice.finalState == store::FinalState::failed ? "failed" : "returned";
    metrics::counter("ends_total", "state", state).add();
    (log::debug() << "ended undelivered").kv("id", id).kv("state", state).kv("after_ms", notice.retryAfterMs);
    recorder_.ended(notice);
    if (it->second.out) it->second.over = true;
    else release(id);
    untold_.push_back({notice, Steady::now() + kTellUnrecorded});
    tellEnds(false);
}

// Danger: an end that is told and not on record would be decided once more by the next life, and perhaps
// otherwise. So it is on record first; but where the store can't write, it does not wait for long.
void Decisions::tellEnds(bool all) {
    const bool recorded = !recorder_.behind();
    const auto now = Steady::now();
    while (!untold_.empty() && (all || recorded || now >= untold_.front().tellBy)) {
        const auto notice = std::move(untold_.front().notice);
        untold_.pop_front();
        (log::debug() << "end handed to the notices")
            .kv("id", notice.id)
            .kv("recorded", recorded ? "yes" : "no");
        if (hooks_.messageEnded) hooks_.messageEnded(notice);
    }
}

void Decisions::stopDispatching() {
    const std::lock_guard lock(mutex_);
    dropDue();
    due_.notify_all();
}

/// Calls that no worker has are none: they are left to the next start, untried.
void Decisions::dropDue() {
    picking_ = false;
    for (const auto& call : calls_) {
        const auto it = held_.find(call.id);
        if (it == held_.end()) continue;
        it->second.out = false;
        --out_;
        if (it->second.over) release(call.id);
    }
    calls_.clear();
}

void Decisions::stop() {
    const std::lock_guard lock(mutex_);
    dropDue();
    recorder_.flush();
    tellEnds(true);
    stopped_ = true;
    for (auto& [id, held] : held_)
        if (held.out) held.cancel.request_stop();
    due_.notify_all();
    wake_.notify_all();
}

bool Decisions::flushRecords() {
    const std::lock_guard lock(mutex_);
    recordNoticed();
    return recorder_.flush();
}

Decisions::TableSizes Decisions::tableSizes() const {
    const std::lock_guard lock(mutex_);
    return {held_.size(), endpoints_.size(), destinations_.size(), sendRules_.waitCount()};
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
    return held_.size();
}
std::size_t Decisions::attemptsInFlight() const {
    const std::lock_guard lock(mutex_);
    return out_;
}

}  // namespace laurelhaven::decisions
