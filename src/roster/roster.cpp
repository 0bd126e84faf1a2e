#include "roster/roster.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::roster {
namespace {

using trust::ConfirmationSource;
using trust::RecordMs;
using trust::RefutationReason;
using trust::TrustLevel;

constexpr milliseconds kOutcomeBatchTime{1000};     // outcomes of attempts are applied at most this often
constexpr milliseconds kMinReassessInterval{1000};  // between reassessments because of age
constexpr milliseconds kWarmUpStartTolerance{500};  // smaller changes of a warm-up's start are not saved
constexpr milliseconds kWriteRetryPause{100};       // after a failed write
constexpr milliseconds kLongHold{2200};             // no outage is shorter
constexpr double kAmpleAllowance = 0.5;             // unused share of a rate limit that was not reached
constexpr double kTrafficDecay = 0.5;               // of the earlier deliveries, at each start

/// The endpoint as it is published to the facade. One that must not be used now is draining or deleted there.
listing::Endpoint endpointToPublish(const membership::Entry& entry) {
    auto published = entry.endpoint;
    if (entry.isTombstone())
        published.status = entry.refutation == RefutationReason::drained ? listing::Status::draining
                                                                         : listing::Status::deleted;
    else if (entry.suspended || entry.probeFirst) published.status = listing::Status::draining;
    else if (entry.trustLevel == TrustLevel::refuted) published.status = listing::Status::deleted;
    else published.status = listing::Status::serving;
    return published;
}

/// A rejection that neither a wait nor a used-up limit explains: the endpoint may be draining.
bool refusesWithoutReason(const decisions::AttemptResult& result) {
    return result.status == decisions::AttemptStatus::rejected && result.wait.count() <= 0 &&
           result.allowanceLeft.value_or(1) > kAmpleAllowance;
}

bool usable(const membership::Entry& entry) {
    return entry.refutation == RefutationReason::none && !entry.probeFirst &&
           (entry.trustLevel == TrustLevel::confirmed || entry.trustLevel == TrustLevel::ageing);
}

}  // namespace

Roster::Roster(const config::Config& config, const Options& options, decisions::Decisions& decisions,
               clock::RecordClock& recordClock)
    : config_(config),
      options_(options),
      decisions_(decisions),
      recordClock_(recordClock),
      list_(options.membership),
      probes_(options.probes, config.seed ^ 0x9e3779b97f4a7c15) {
    if (options_.saveList)
        file_ = std::make_unique<kept::SavedEndpointListFile>(
            config.state, kept::listBudgetBytes(config.diskBytes, options.diskShare), config.name);
}

// ---- start and stop ----

void Roster::loadSavedList(RecordMs now) {
    auto loaded = file_->load(now);
    if (loaded.state == kept::FileState::absent) return;
    if (loaded.state != kept::FileState::good)
        log::warning() << "kept list: " << kept::name(loaded.state) << ": " << loaded.problem << "; "
                       << loaded.list.entries.size() << " of its entries are loaded";
    if (loaded.writtenInFuture)
        log::warning()
            << "kept list: written at a later time than the clock shows, so the clock was set back; its "
               "entries are taken to be as old as configured ones";
    auto& saved = loaded.list;
    if (saved.entries.empty()) return;
    list_.restore(saved.index, saved.epoch, saved.churn);
    for (auto& [name, entry] : saved.entries) {
        entry.deliveries *= kTrafficDecay;
        list_.restore(std::move(entry));
    }
    const milliseconds absence(std::max<RecordMs>(0, now - saved.writtenAt));
    longAbsence_ = loaded.writtenInFuture || absence > options_.membership.trust.confirmedFor;
    (log::info() << "kept list: loaded from disk")
        .kv("entries", saved.entries.size())
        .kv("index", saved.index)
        .kv("age", trust::formatDuration(absence));
    // A list in use is written at least this often, and at once when an outage begins.
    if (!loaded.writtenInFuture)
        healthKnownUntil_ = saved.writtenAt + (options_.confirmEvery + options_.writeEvery).count();
    std::vector<decisions::DestinationHealth> report;
    const auto warmUp = std::chrono::ceil<milliseconds>(config_.settings.warmUp);
    for (const auto& [destination, health] : saved.destinationHealth) {
        savedHealth_[destination] = health;
        decisions::DestinationHealth known{destination, false, {}, health.rateLimit, false, false};
        known.down = health.down && now - health.lastOutageAt <= options_.outageMemory.count();
        const milliseconds sinceRecovery(std::max<RecordMs>(0, now - health.recoveredAt));
        if (health.recoveredAt > 0 && sinceRecovery < warmUp) known.sinceRecovery = sinceRecovery;
        if (known.down || known.sinceRecovery || known.rateLimit > 0) report.push_back(known);
    }
    decisions_.updateDestinationHealth(report);
}

void Roster::begin() {
    const std::lock_guard lock(listMutex_);
    const auto now = recordClock_.now();
    if (file_) loadSavedList(now);
    const auto savedEntries = list_.entries().size();
    list_.applyConfiguration(config_.known, now);
    std::vector<listing::Endpoint> changes;
    std::unordered_set<std::uint64_t> destinations;
    for (const auto& entry : list_.entries()) {
        reassess(*entry, now, changes);
        destinations.insert(entry->endpoint.destination);
    }
    begunAt_ = Steady::now();
    heldDestinations_ = destinations;
    changes.clear();
    for (const auto& entry : list_.entries())
        if (const auto published = endpointToPublish(*entry); published.status != listing::Status::deleted)
            changes.push_back(published);
    publish(destinations, std::move(changes), true);
    begun_ = true;
    probes_.begin(Steady::now());
    reassessAt_ = Steady::now() + kMinReassessInterval;
    if (file_) writeAt_ = Steady::now() + options_.writeEvery;
    if (savedEntries > 0 || !config_.known.endpoints.empty())
        (log::info() << "endpoint list: loaded")
            .kv("entries", list_.entries().size())
            .kv("stale", awaitingProbe_.size())
            .kv("unproven", unprovenCount())
            .kv("gone", list_.tombstoneCount())
            .kv("half_life", trust::formatDuration(list_.halfLife()));
}

void Roster::start() {
    thread_ = threads::Thread("roster", [this] { run(); });
}

void Roster::stop() {
    stop_.request_stop();
    thread_.join();
    const std::lock_guard lock(listMutex_);
    if (file_ && begun_) write(recordClock_.now());
    begun_ = false;
}

bool Roster::flush() {
    const std::lock_guard lock(listMutex_);
    if (file_ && writeAt_ != Steady::time_point{}) write(recordClock_.now());
    return writeAt_ == Steady::time_point{};
}

// ---- trust and publication ----

void Roster::reassess(membership::Entry& entry, RecordMs now, std::vector<listing::Endpoint>& changes) {
    const auto assessment = list_.assess(entry, now);
    const auto statusBefore = endpointToPublish(entry).status;
    entry.trustLevel = assessment.level;
    entry.probeFirst = assessment.probeFirst;
    if (std::exchange(entry.needsProof, assessment.needsProof) && !assessment.needsProof)
        metrics::counter("endpoint_proofs_total", "by", entry.listedThisRun ? "discovery" : "report").add();
    if (assessment.validUntil > 0)
        reassessAt_ = std::min(
            reassessAt_,
            Steady::now() + std::max(kMinReassessInterval, milliseconds(assessment.validUntil - now)));
    if (probeMayHelp(entry)) awaitingProbe_.insert(entry.endpoint.name);
    else awaitingProbe_.erase(entry.endpoint.name);
    if (endpointToPublish(entry).status != statusBefore) changes.push_back(endpointToPublish(entry));
}

/// Collects the destinations that become unconfirmed or confirmed. A destination is unconfirmed while none of
/// its usable endpoints is confirmed, and after a long gap, in which changes of its state went unseen.
/// The decision module drops the mark early only while no attempt was made under it. Otherwise a confirmation
/// of an address, which says nothing about health, would release the whole backlog at once.
void Roster::updateUnconfirmed(const std::unordered_set<std::uint64_t>& destinations,
                               std::vector<decisions::DestinationHealth>& changes) {
    for (const auto destination : destinations) {
        bool usableExists = false, confirmed = false;
        for (const auto* entry : list_.endpointsOf(destination)) {
            usableExists = usableExists || usable(*entry);
            // An answered probe shows that the server is there, but not how much load it can take.
            confirmed =
                confirmed || (usable(*entry) && entry->trustLevel == TrustLevel::confirmed &&
                              (list_.discoveryLive() || entry->confirmedBy != ConfirmationSource::probe));
        }
        const bool unconfirmed = usableExists && !confirmed;
        if (usableExists && isFirstUseAfterLongGap(destination)) {
            changes.push_back({destination, false, {}, 0, true, false});
            continue;
        }
        if (unconfirmed && unconfirmed_.insert(destination).second) {
            changes.push_back({destination, false, {}, 0, true, false});
        } else if (usableExists && list_.discoveryLive() && confirmed && !longAbsence_ &&
                   unconfirmed_.erase(destination) > 0) {
            changes.push_back({destination, false, {}, 0, false, false});
        }
    }
}

/// Whether the destination can be used for the first time in this process run, after a time in which it may
/// have had an outage that nobody saw. Its backlog must not be released at once: it stays unconfirmed until
/// its deliveries have raised the limit, however its address was proven.
bool Roster::isFirstUseAfterLongGap(std::uint64_t destination) {
    if (heldDestinations_.erase(destination) == 0) return false;
    const double rateLimit = list_.endpointsOf(destination).front()->endpoint.weight;
    const bool heldLong = Steady::now() - begunAt_ >= kLongHold;
    return longAbsence_ || (heldLong && trust::firstRequestsFit(options_.membership.trust, rateLimit));
}

/// Publishes changed endpoints to the facade. Unconfirmed destinations go first, so that a new endpoint is
/// not used at full pace.
void Roster::publish(const std::unordered_set<std::uint64_t>& destinations,
                     std::vector<listing::Endpoint> changes, bool saved) {
    std::vector<decisions::DestinationHealth> healthChanges;
    updateUnconfirmed(destinations, healthChanges);
    decisions_.updateDestinationHealth(healthChanges);
    if (changes.empty() && !saved) return;
    listing::EndpointList list;
    list.index = list_.index();
    list.snapshot = saved;
    list.endpoints = std::move(changes);
    decisions_.updateEndpoints(list, saved);
}

void Roster::reassessAll(RecordMs now) {
    reassessAt_ = Steady::time_point::max();
    std::vector<listing::Endpoint> changes;
    std::unordered_set<std::uint64_t> destinations;
    for (const auto& entry : list_.entries()) {
        const auto levelBefore = entry->trustLevel;
        reassess(*entry, now, changes);
        if (entry->trustLevel != levelBefore) destinations.insert(entry->endpoint.destination);
    }
    publish(destinations, std::move(changes));
}

void Roster::reassessEndpoints(const std::vector<std::string>& endpoints, RecordMs now) {
    if (!endpoints.empty()) listedLimits_.reset();
    std::vector<listing::Endpoint> changes;
    std::unordered_set<std::uint64_t> destinations;
    for (const auto& name : endpoints) {
        markUnsaved(name);
        auto* entry = list_.find(name);
        if (!entry) {
            // Its tombstone was dropped. Without a deletion here, an endpoint that drained and was never
            // reported as deleted would stay in the tables of the facade and the decision module for ever.
            awaitingProbe_.erase(name);
            changes.push_back({name, {}, {}, {}, 0, listing::Status::deleted, 0, 0});
            continue;
        }
        reassess(*entry, now, changes);
        if (changes.empty() || changes.back().name != name) changes.push_back(endpointToPublish(*entry));
        destinations.insert(entry->endpoint.destination);
    }
    publish(destinations, std::move(changes));
}

// ---- calls of the watch on discovery ----

membership::ListUpdateResult Roster::applyUpdate(const listing::EndpointList& list) {
    const std::lock_guard lock(listMutex_);
    return merge(list);
}

membership::ListUpdateResult Roster::applyFetchedList(const listing::EndpointList& list,
                                                      std::uint64_t requestedAfter) {
    const std::lock_guard lock(listMutex_);
    if (list.index < list_.index() && list_.index() != requestedAfter)
        return {membership::ListUpdateResult::Kind::unchanged, {}, 0};
    return merge(list);
}

membership::ListUpdateResult Roster::merge(const listing::EndpointList& list) {
    const auto now = recordClock_.now();
    auto result = list_.applyUpdate(list, now);
    if (list_.listReceived() && !listReceived_.exchange(true))
        (log::info() << "endpoint list: discovery has named the endpoints for the first time in this run")
            .kv("after_ms", (Steady::now() - begunAt_) / milliseconds(1))
            .kv("unproven_before", unprovenCount());
    using Kind = membership::ListUpdateResult::Kind;
    if (result.kind == Kind::lostHistory)
        log::warning() << "registry: the list's index fell to " << list.index
                       << ": discovery has lost its history; its full list is merged";
    if (result.suspended > 0)
        log::warning() << "registry: the full list has " << list.endpoints.size()
                       << " endpoints and leaves out " << result.suspended
                       << " known ones; these get no messages, and are remembered for "
                       << trust::formatDuration(options_.membership.shrinkHold);
    if (result.suspended > 0)
        reassessAt_ = std::min(reassessAt_, Steady::now() + options_.membership.shrinkHold);
    reassessEndpoints(result.touched, now);
    // If the process is killed now and restarts while discovery is down, it knows only what is on disk, and
    // would use an endpoint that was just reported as draining. So the end of an endpoint is written at once.
    const bool ends = std::any_of(result.touched.begin(), result.touched.end(), [&](const auto& name) {
        const auto* entry = list_.find(name);
        return !entry || endpointToPublish(*entry).status != listing::Status::serving;
    });
    if (file_ && begun_ && ends) write(now);
    return result;
}

void Roster::streamVerified() {
    const std::lock_guard lock(listMutex_);
    const bool wasLive = list_.discoveryLive();
    list_.discoverySeen(recordClock_.now(), true);
    if (!wasLive) reassessAll(recordClock_.now());
}

void Roster::heartbeat() {
    const std::lock_guard lock(listMutex_);
    list_.discoverySeen(recordClock_.now(), false);
}

void Roster::streamLost() {
    const std::lock_guard lock(listMutex_);
    if (!list_.discoveryLive()) return;
    list_.discoveryLost(recordClock_.now());
    nextMarkAt_ = {};
    reassessAll(recordClock_.now());
    const std::lock_guard outcomesLock(outcomesMutex_);
    wake_.notify_all();
}

std::uint64_t Roster::index() const {
    const std::lock_guard lock(listMutex_);
    return list_.index();
}

// Where nothing has changed since the saved list, discovery would say nothing for as long as its heartbeat
// takes, and until it speaks no endpoint is proven.
std::uint64_t Roster::watchAfter() const {
    const std::lock_guard lock(listMutex_);
    const bool answersAtOnce = list_.listReceived() || list_.index() == 0;
    return answersAtOnce ? list_.index() : list_.index() - 1;
}

// ---- calls of the facade ----

void Roster::attemptFinished(const decisions::DueAttempt& attempt, const decisions::AttemptResult& result) {
    const bool delivered = result.status == decisions::AttemptStatus::delivered;
    const std::lock_guard lock(outcomesMutex_);
    if (!delivered && !std::exchange(failureSeen_, true)) wake_.notify_all();
    const bool turnedAway = !listReceived_ && refusesWithoutReason(result);
    if (!delivered && !result.unexpectedServer && !turnedAway) return;
    const bool first = outcomes_.empty();
    auto& outcomes = outcomes_[attempt.endpoint];  // bounded by the number of endpoints in use
    if (outcomes.address != attempt.address) outcomes = {attempt.address, 0, false, false};
    outcomes.delivered += delivered;
    if (result.unexpectedServer && !outcomes.unexpectedServer) outcomes.unexpectedServer = urgent_ = true;
    if (turnedAway && !outcomes.turnedAway) outcomes.turnedAway = urgent_ = true;
    if (first || urgent_) wake_.notify_all();
}

void Roster::endpointNeeded(std::uint64_t) {
    const std::lock_guard lock(outcomesMutex_);
    urgent_ = true;
    wake_.notify_all();
}

void Roster::applyOutcomes(std::unordered_map<std::string, EndpointOutcomes> outcomes) {
    const auto now = recordClock_.now();
    std::vector<std::string> touched;
    for (const auto& [endpoint, outcome] : outcomes) {
        // The list may have moved the endpoint to another address since the attempt was sent. An answer from
        // the old address, good or bad, does not apply to the new one.
        const auto* entry = list_.find(endpoint);
        if (!entry || entry->endpoint.address != outcome.address) continue;
        if (outcome.delivered > 0) {
            const bool first = !entry->answeredThisRun;
            list_.recordAnswer(endpoint, ConfirmationSource::delivery, now, outcome.delivered);
            if (first && !list_.discoveryLive()) touched.push_back(endpoint);
        }
        if (outcome.turnedAway && list_.withdrawProof(endpoint)) {
            (log::info()
             << "endpoint list: an endpoint that only its report proved turns messages away; it is "
                "not used until discovery names it")
                .kv("endpoint", endpoint);
            touched.push_back(endpoint);
        }
        if (outcome.unexpectedServer &&
            list_.refuteByAnswer(endpoint, RefutationReason::unexpectedServer, now)) {
            (log::warning() << "endpoint list: an unexpected server answers at this endpoint; it is not used "
                               "until discovery lists it again")
                .kv("endpoint", endpoint);
            touched.push_back(endpoint);
        }
    }
    reassessEndpoints(touched, now);
}

// ---- probes ----

std::vector<trust::ProbeCandidate> Roster::probeCandidates() const {
    std::vector<trust::ProbeCandidate> candidates;
    const bool permitted = options_.probesEnabled && config_.mayProbe;
    if (!permitted || list_.discoveryLive()) return candidates;
    for (const auto& name : awaitingProbe_) {
        const auto* entry = list_.find(name);
        if (!entry) continue;
        const auto demand = decisions_.pendingLoad(entry->endpoint.destination);
        const auto& siblings = list_.endpointsOf(entry->endpoint.destination);
        const bool otherEndpointUsable = std::any_of(siblings.begin(), siblings.end(),
                                                     [](const auto* sibling) { return usable(*sibling); });
        candidates.push_back({name, entry->endpoint.destination, entry->endpoint.weight, demand.held,
                              entry->deliveries, demand.waitUntil, otherEndpointUsable});
    }
    return candidates;
}

/// Checked again just before the first byte: while the connection was set up, the endpoint may have drained,
/// or its destination may have announced a wait.
bool Roster::probeStillAllowed(const std::string& endpoint, const std::string& address) const {
    const std::lock_guard lock(listMutex_);
    const auto* entry = list_.find(endpoint);
    return entry && entry->probeFirst && entry->endpoint.address == address &&
           decisions_.pendingLoad(entry->endpoint.destination).waitUntil <= Steady::now();
}

void Roster::probeEndpoint(const std::string& endpoint) {
    std::string address;
    const membership::Entry* entry = nullptr;
    {
        const std::lock_guard lock(listMutex_);
        entry = list_.find(endpoint);
        if (!entry || !entry->probeFirst) return;
        address = entry->endpoint.address;
    }
    const auto answer = sendProbe(address, options_.probeTimeout, stop_.get_token(),
                                  [&] { return probeStillAllowed(endpoint, address); });
    if (answer.withdrawn) return;
    const std::lock_guard lock(listMutex_);
    entry = list_.find(endpoint);
    // The endpoint was moved or removed meanwhile, so an answer from the old address does not apply to it.
    if (!entry || entry->endpoint.address != address) return;
    applyProbe(*entry, answer);
}

/// A server that answers is the expected one only if its report or discovery says so.
void Roster::applyProbe(const membership::Entry& entry, const ProbeAnswer& answer) {
    using trust::ServerIdentity;
    const auto& endpoint = entry.endpoint.name;
    const auto identity = listedLimits().identify(listedLimit(entry), answer.announcedRateLimit);
    const bool isExpected =
        identity == ServerIdentity::proven || (identity == ServerIdentity::unknown && !entry.needsProof);
    const bool accepted = answer.isAlive() && isExpected;
    probes_.recordAnswer(endpoint, accepted, Steady::now());
    (log::info() << "endpoint list: probe finished")
        .kv("endpoint", endpoint)
        .kv("address", entry.endpoint.address)
        .kv("status", answer.status)
        .kv("announced_limit", answer.announcedRateLimit)
        .kv("identity", name(identity))
        .kv("stranger", identity == ServerIdentity::foreign ? "yes" : "no")
        .kv("probes", probes_.sent());
    // A probe that reached the server counts against its limit like an attempt, and is taken off the attempts
    // that may be sent. So the destination becomes unconfirmed before its endpoint is published.
    if (answer.status > 0) {
        unconfirmed_.insert(entry.endpoint.destination);
        decisions_.updateDestinationHealth(
            {decisions::DestinationHealth{entry.endpoint.destination, false, {}, 0, true, true}});
    }
    const auto now = recordClock_.now();
    const bool saysNothing = answer.isAlive() && answer.announcedRateLimit <= 0;
    if (entry.needsProof && saysNothing) {
        list_.expectNoProof(endpoint);
    } else if (accepted) {
        ++probesAnswered_;
        list_.recordAnswer(endpoint, ConfirmationSource::probe, now);
    } else if (identity != ServerIdentity::foreign ||
               !list_.refuteByAnswer(endpoint, RefutationReason::rateLimitMismatch, now)) {
        return;
    }
    reassessEndpoints({endpoint}, now);
}

// ---- proof by a report ----

/// Endpoints that get no message before discovery or a report proves them.
std::size_t Roster::unprovenCount() const {
    const auto& entries = list_.entries();
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const auto& entry) {
        return entry->needsProof && entry->refutation == RefutationReason::none;
    }));
}

/// The rate limit by which a server of the endpoint's destination can be told from others, if the list has
/// it.
trust::ListedLimits::Limit Roster::listedLimit(const membership::Entry& entry) const {
    const bool listed = config_.settings.weights == stoathub::Weights::nominal;
    return {listed ? entry.endpoint.weight : 0, entry.endpoint.destination};
}

const trust::ListedLimits& Roster::listedLimits() {
    if (!listedLimits_) {
        std::vector<trust::ListedLimits::Limit> limits;
        for (const auto& entry : list_.entries()) limits.push_back(listedLimit(*entry));
        listedLimits_.emplace(std::move(limits), options_.strangerFactor);
    }
    return *listedLimits_;
}

/// Whether the answer to a probe could make the endpoint usable.
bool Roster::probeMayHelp(const membership::Entry& entry) {
    if (!entry.probeFirst || entry.refutation != RefutationReason::none) return false;
    if (!entry.needsProof) return true;
    return !entry.awaitsDiscovery && listedLimits().canProve(listedLimit(entry)) &&
           trust::firstRequestsFit(options_.membership.trust, entry.endpoint.weight);
}

// ---- saving ----

void Roster::markUnsaved(const std::string& endpoint) {
    if (!file_) return;
    unsaved_.insert(endpoint);
    scheduleWrite();
}

/// At most one write in `writeEvery`.
void Roster::scheduleWrite() {
    const auto at = std::max(Steady::now(), lastWriteAt_ + options_.writeEvery);
    if (writeAt_ == Steady::time_point{} || at < writeAt_) writeAt_ = at;
}

/// The thread may be waiting for something later, and the write that failed may have been another thread's.
void Roster::retryWriteSoon() {
    writeAt_ = Steady::now() + kWriteRetryPause;
    const std::lock_guard lock(outcomesMutex_);
    urgent_ = true;
    wake_.notify_all();
}

/// The health of the destinations for which it differs from what is on disk by more than noise. From then on
/// it counts as saved.
std::vector<kept::DestinationHealth> Roster::changedDestinationHealth(RecordMs now) {
    std::unordered_map<std::uint64_t, kept::DestinationHealth> fresh;
    for (const auto& health : decisions_.destinationHealth()) {
        // What is only suspected counts as an outage for the next process, which can't know of a delivery
        // since.
        const bool down = health.down || health.suspected;
        kept::DestinationHealth current{health.destination, down, 0, 0, health.rateLimit};
        if (health.sinceRecovery) current.recoveredAt = now - health.sinceRecovery->count();
        const auto it = savedHealth_.find(health.destination);
        if (it != savedHealth_.end()) current.lastOutageAt = it->second.lastOutageAt;
        if (down) current.lastOutageAt = now;
        if (it != savedHealth_.end()) {
            const auto& saved = it->second;
            if (std::abs(saved.recoveredAt - current.recoveredAt) < kWarmUpStartTolerance.count())
                current.recoveredAt = saved.recoveredAt;
            if (saved.down && down && now - saved.lastOutageAt < options_.outageMemory.count() / 4)
                current.lastOutageAt = saved.lastOutageAt;
            if (std::abs(saved.rateLimit - current.rateLimit) < 0.1 * saved.rateLimit)
                current.rateLimit = saved.rateLimit;
        }
        fresh[health.destination] = current;
    }
    std::vector<kept::DestinationHealth> changed;
    for (const auto& [destination, current] : fresh) {
        const auto it = savedHealth_.find(destination);
        if (it == savedHealth_.end() || !(it->second == current)) changed.push_back(current);
    }
    for (const auto& [destination, saved] : savedHealth_) {
        if (fresh.count(destination)) continue;
        kept::DestinationHealth cleared{destination, false, 0, saved.lastOutageAt, saved.rateLimit};
        if (!list_.endpointsOf(destination).empty()) fresh[destination] = cleared;
        if (!(cleared == saved)) changed.push_back(cleared);
    }
    savedHealth_ = std::move(fresh);
    return changed;
}

void Roster::write(RecordMs now) {
    {
        const std::lock_guard lock(outcomesMutex_);
        failureSeen_ = failureScheduled_ = false;
    }
    writeAt_ = {};
    lastWriteAt_ = Steady::now();
    if (!recordClock_.persist()) {  // without it a later run could not interpret the times
        retryWriteSoon();
        return;
    }
    std::string records;
    for (const auto& health : changedDestinationHealth(now)) records += kept::encode(health);
    for (const auto& name : unsaved_) {
        const auto* entry = list_.find(name);
        records += entry ? kept::encode(*entry) : kept::encodeRemoval(name);
    }
    unsaved_.clear();
    if (list_.discoveryLive() && Steady::now() >= nextMarkAt_) {
        records +=
            kept::encodeListState(list_.index(), list_.epoch(), list_.churn(), list_.discoverySeenAt());
        nextMarkAt_ = Steady::now() + options_.confirmEvery;
    }
    if (records.empty() && !rewriteNeeded_) return;
    ++writes_;
    if (rewriteNeeded_ || file_->needsRewrite() || !file_->append(records)) rewriteFile(now);
}

void Roster::rewriteFile(RecordMs now) {
    // In the order of importance, as there may not be room for all: the health of destinations, the endpoints
    // by their deliveries, and the tombstones from the youngest on.
    std::vector<const membership::Entry*> entries;
    for (const auto& entry : list_.entries()) entries.push_back(entry.get());
    std::sort(entries.begin(), entries.end(), [](const auto* a, const auto* b) {
        if (a->isTombstone() != b->isTombstone()) return b->isTombstone();
        return a->isTombstone() ? a->refutedAt > b->refutedAt : a->deliveries > b->deliveries;
    });
    std::vector<std::string> records;
    for (const auto& [destination, health] : savedHealth_) records.push_back(kept::encode(health));
    for (const auto* entry : entries) records.push_back(kept::encode(*entry));
    std::size_t dropped = 0;
    const auto listState = kept::encodeListState(list_.index(), list_.epoch(), list_.churn(),
                                                 list_.discoveryLive() ? list_.discoverySeenAt() : 0);
    const bool written = file_->replace(records, listState, now, dropped);
    if (!written) {
        rewriteNeeded_ = true;
        retryWriteSoon();  // a drain reported meanwhile must not be lost
        return;
    }
    if (dropped > 0)
        log::warning() << "kept list: no room for " << dropped << " of " << records.size() << " records in "
                       << file_->bytes() << " bytes; raise kept-list.disk-share";
    rewriteNeeded_ = false;
}

// ---- the thread ----

void Roster::run() {
    const auto stopped = stop_.get_token();
    while (!stopped.stop_requested()) {
        std::optional<std::string> target;
        auto next = Steady::time_point::max();
        {
            const std::lock_guard lock(listMutex_);
            const auto now = Steady::now();
            if (now >= reassessAt_) {
                reassessEndpoints(list_.expire(recordClock_.now()), recordClock_.now());
                reassessAll(recordClock_.now());
            }
            const bool mark = file_ && list_.discoveryLive() && now >= nextMarkAt_ &&
                              now >= lastWriteAt_ + options_.writeEvery;
            if (file_ && (mark || (writeAt_ != Steady::time_point{} && now >= writeAt_)))
                write(recordClock_.now());
            if (!awaitingProbe_.empty()) {
                const auto candidates = probeCandidates();
                probes_.retain(candidates);
                const auto probe = probes_.next(candidates, now);
                target = probe.endpoint;
                if (probe.checkAgainAt) next = std::min(next, *probe.checkAgainAt);
            }
            next = std::min(next, reassessAt_);
            if (writeAt_ != Steady::time_point{}) next = std::min(next, writeAt_);
            if (file_ && list_.discoveryLive())
                next = std::min(next, std::max(nextMarkAt_, lastWriteAt_ + options_.writeEvery));
        }
        if (target) {
            probeEndpoint(*target);
            continue;
        }
        std::unordered_map<std::string, EndpointOutcomes> outcomes;
        bool failed = false;
        {
            std::unique_lock lock(outcomesMutex_);
            if (next == Steady::time_point::max()) next = Steady::now() + std::chrono::hours(1);
            wake_.wait_until(lock, stopped, next,
                             [&] { return urgent_ || isFailureUnscheduled() || !outcomes_.empty(); });
            // Deliveries are collected for a while; urgent outcomes and due work are not delayed.
            if (!urgent_ && !isFailureUnscheduled() && !outcomes_.empty())
                wake_.wait_until(lock, stopped, std::min(next, Steady::now() + kOutcomeBatchTime),
                                 [&] { return urgent_ || isFailureUnscheduled(); });
            urgent_ = false;
            failed = isFailureUnscheduled();
            failureScheduled_ = failureSeen_;
            outcomes.swap(outcomes_);
        }
        if (outcomes.empty() && !failed) continue;
        const std::lock_guard lock(listMutex_);
        applyOutcomes(std::move(outcomes));
        if (file_) scheduleWrite();  // the health of destinations may have changed
    }
}

Roster::Counts Roster::counts() const {
    const std::lock_guard lock(listMutex_);
    Counts counts;
    for (const auto& entry : list_.entries()) {
        switch (entry->trustLevel) {
            case TrustLevel::confirmed: ++counts.confirmed; break;
            case TrustLevel::ageing: ++counts.ageing; break;
            case TrustLevel::stale: ++counts.stale; break;
            case TrustLevel::refuted: ++counts.refuted; break;
        }
    }
    counts.probes = probes_.sent();
    counts.probesAnswered = probesAnswered_;
    counts.writes = writes_;
    counts.live = list_.discoveryLive();
    return counts;
}

}  // namespace laurelhaven::roster
