#include "roster/roster.hpp"

#include <algorithm>
#include <cmath>

#include "http/message.hpp"
#include "log/log.hpp"
#include "net/socket.hpp"

namespace laurelhaven::roster {
namespace {

using trust::ConfirmationSource;
using trust::RecordMs;
using trust::RefutationReason;
using trust::TrustLevel;

constexpr milliseconds kOutcomeBatchTime{1000};     // word of deliveries is taken in at most so often
constexpr milliseconds kMinReassessInterval{1000};  // time alone is looked at at most so often
constexpr milliseconds kWarmUpStartTolerance{500};  // a warm-up's start is known about so well
constexpr milliseconds kWriteRetryPause{100};       // after a write that failed
constexpr double kTrafficDecay = 0.5;               // of the past traffic, at each start
constexpr std::size_t kMaxProbeResponseBytes = 16 * 1024;

/// The entry as the facade is told of it.
listing::Endpoint endpointToPublish(const membership::Entry& entry) {
    auto told = entry.endpoint;
    if (entry.isTombstone())
        told.status = entry.refutation == RefutationReason::drained ? listing::Status::draining
                                                                    : listing::Status::deleted;
    else if (entry.suspended || entry.probeFirst) told.status = listing::Status::draining;
    else if (entry.trustLevel == TrustLevel::refuted) told.status = listing::Status::deleted;
    else told.status = listing::Status::serving;
    return told;
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

// ---- the start ----

void Roster::loadSavedList(RecordMs now) {
    auto loaded = file_->load(now);
    if (loaded.state == kept::FileState::absent) return;
    if (loaded.state != kept::FileState::good)
        log::warning() << "kept list: " << kept::name(loaded.state) << ": " << loaded.problem << "; "
                       << loaded.list.entries.size() << " entries of it are used";
    if (loaded.writtenInFuture)
        log::warning()
            << "kept list: written later than now by the clock, which was set back; its ages count "
               "as those of a configured list";
    auto& image = loaded.list;
    if (image.entries.empty()) return;
    list_.restore(image.index, image.epoch, image.churn);
    for (auto& [name, entry] : image.entries) {
        entry.deliveries *= kTrafficDecay;
        list_.restore(std::move(entry));
    }
    const milliseconds absence(std::max<RecordMs>(0, now - image.writtenAt));
    longAbsence_ = loaded.writtenInFuture || absence > options_.membership.trust.confirmedFor;
    (log::info() << "kept list: read")
        .kv("entries", image.entries.size())
        .kv("index", image.index)
        .kv("age", trust::formatDuration(absence));
    // A list in use is written so often at least, and at once where an outage begins.
    if (!loaded.writtenInFuture)
        healthKnownUntil_ = image.writtenAt + (options_.confirmEvery + options_.writeEvery).count();
    std::vector<decisions::DestinationHealth> told;
    const auto warmUp = std::chrono::ceil<milliseconds>(config_.settings.warmUp);
    for (const auto& [destination, s] : image.destinationHealth) {
        savedHealth_[destination] = s;
        decisions::DestinationHealth standing{destination, false, {}, s.rateLimit, false, false};
        standing.down = s.down && now - s.lastOutageAt <= options_.outageMemory.count();
        const milliseconds cold(std::max<RecordMs>(0, now - s.recoveredAt));
        if (s.recoveredAt > 0 && cold < warmUp) standing.sinceRecovery = cold;
        if (standing.down || standing.sinceRecovery || standing.rateLimit > 0) told.push_back(standing);
    }
    decisions_.updateDestinationHealth(told);
}

void Roster::begin() {
    const std::lock_guard lock(listMutex_);
    const auto now = recordClock_.now();
    if (file_) loadSavedList(now);
    const auto before = list_.entries().size();
    list_.applyConfiguration(config_.known, now);
    std::vector<listing::Endpoint> news;
    std::unordered_set<std::uint64_t> destinations;
    for (const auto& entry : list_.entries()) {
        reassess(*entry, now, news);
        destinations.insert(entry->endpoint.destination);
    }
    news.clear();
    for (const auto& entry : list_.entries())
        if (const auto told = endpointToPublish(*entry); told.status != listing::Status::deleted)
            news.push_back(told);
    publish(destinations, std::move(news), true);
    begun_ = true;
    probes_.begin(Steady::now());
    reassessAt_ = Steady::now() + kMinReassessInterval;
    if (file_) writeAt_ = Steady::now() + options_.writeEvery;
    if (before > 0 || !config_.known.endpoints.empty())
        (log::info() << "list at the start")
            .kv("entries", list_.entries().size())
            .kv("stale", awaitingProbe_.size())
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

// ---- judging and offering ----

void Roster::reassess(membership::Entry& entry, RecordMs now, std::vector<listing::Endpoint>& news) {
    const auto judged = list_.assess(entry, now);
    const auto before = endpointToPublish(entry).status;
    entry.trustLevel = judged.level;
    entry.probeFirst = judged.probeFirst;
    if (judged.validUntil > 0)
        reassessAt_ = std::min(reassessAt_, Steady::now() + std::max(kMinReassessInterval,
                                                                     milliseconds(judged.validUntil - now)));
    if (judged.probeFirst && entry.refutation == RefutationReason::none)
        awaitingProbe_.insert(entry.endpoint.name);
    else awaitingProbe_.erase(entry.endpoint.name);
    if (endpointToPublish(entry).status != before) news.push_back(endpointToPublish(entry));
}

// A destination is in doubt while nobody vouches for an endpoint of it, and after a long absence, when
// whatever befell it went unseen. Danger: its doubt is lifted only while it has not been capped, or a
// confirmation of its address, which says nothing of its health, would let the whole backlog go at once.
void Roster::updateUnconfirmed(const std::unordered_set<std::uint64_t>& destinations,
                               std::vector<decisions::DestinationHealth>& told) {
    for (const auto destination : destinations) {
        bool any = false, vouched = false;
        for (const auto* entry : list_.endpointsOf(destination)) {
            any = any || usable(*entry);
            // A probe says that somebody is there, and nothing of how much it can take.
            vouched = vouched || (usable(*entry) && entry->trustLevel == TrustLevel::confirmed &&
                                  (list_.discoveryLive() || entry->confirmedBy != ConfirmationSource::probe));
        }
        const bool doubt = any && (!vouched || (longAbsence_ && !begun_));
        if (doubt && unconfirmed_.insert(destination).second) {
            told.push_back({destination, false, {}, 0, true, false});
        } else if (any && list_.discoveryLive() && vouched && !longAbsence_ &&
                   unconfirmed_.erase(destination) > 0) {
            told.push_back({destination, false, {}, 0, false, false});
        }
    }
}

/// Tells the facade what became of some endpoints: doubts first, so that nothing new is called at full pace.
void Roster::publish(const std::unordered_set<std::uint64_t>& destinations,
                     std::vector<listing::Endpoint> news, bool saved) {
    std::vector<decisions::DestinationHealth> doubts;
    updateUnconfirmed(destinations, doubts);
    decisions_.updateDestinationHealth(doubts);
    if (news.empty() && !saved) return;
    listing::EndpointList list;
    list.index = list_.index();
    list.snapshot = saved;
    list.endpoints = std::move(news);
    decisions_.updateEndpoints(list, saved);
}

void Roster::reassessAll(RecordMs now) {
    reassessAt_ = Steady::time_point::max();
    std::vector<listing::Endpoint> news;
    std::unordered_set<std::uint64_t> destinations;
    for (const auto& entry : list_.entries()) {
        const auto was = entry->trustLevel;
        reassess(*entry, now, news);
        if (entry->trustLevel != was) destinations.insert(entry->endpoint.destination);
    }
    publish(destinations, std::move(news));
}

void Roster::reassessEndpoints(const std::vector<std::string>& endpoints, RecordMs now) {
    std::vector<listing::Endpoint> news;
    std::unordered_set<std::uint64_t> destinations;
    for (const auto& name : endpoints) {
        markUnsaved(name);
        auto* entry = list_.find(name);
        if (!entry) {
            // Its tombstone is forgotten. Danger: what drained and was never deleted would stay in the tables
            // of the facade and the module for good.
            awaitingProbe_.erase(name);
            news.push_back({name, {}, {}, {}, 0, listing::Status::deleted, 0, 0});
            continue;
        }
        reassess(*entry, now, news);
        if (news.empty() || news.back().name != name) news.push_back(endpointToPublish(*entry));
        destinations.insert(entry->endpoint.destination);
    }
    publish(destinations, std::move(news));
}

// ---- from the watch ----

membership::ListUpdateResult Roster::applyUpdate(const listing::EndpointList& list) {
    const std::lock_guard lock(listMutex_);
    return merge(list);
}

membership::ListUpdateResult Roster::applyFetchedList(const listing::EndpointList& list,
                                                      std::uint64_t asked) {
    const std::lock_guard lock(listMutex_);
    if (list.index < list_.index() && list_.index() != asked)
        return {membership::ListUpdateResult::Kind::unchanged, {}, 0};
    return merge(list);
}

membership::ListUpdateResult Roster::merge(const listing::EndpointList& list) {
    const auto now = recordClock_.now();
    auto result = list_.applyUpdate(list, now);
    using Kind = membership::ListUpdateResult::Kind;
    if (result.kind == Kind::lostHistory)
        log::warning() << "registry: the list's index fell to " << list.index
                       << ": discovery has lost its history; its whole list is taken";
    if (result.suspended > 0)
        log::warning() << "registry: the whole list names " << list.endpoints.size()
                       << " endpoints and leaves out " << result.suspended
                       << "; these get no message, and are remembered for "
                       << trust::formatDuration(options_.membership.shrinkHold);
    if (result.suspended > 0)
        reassessAt_ = std::min(reassessAt_, Steady::now() + options_.membership.shrinkHold);
    reassessEndpoints(result.touched, now);
    // Danger: a process that is killed right now and comes back without discovery knows only what is on disk,
    // and would call what has just been told to drain. Whatever ends an endpoint is written at once.
    const bool ends = std::any_of(result.touched.begin(), result.touched.end(), [&](const auto& name) {
        const auto* entry = list_.find(name);
        return !entry || endpointToPublish(*entry).status != listing::Status::serving;
    });
    if (file_ && begun_ && ends) write(now);
    return result;
}

void Roster::streamVerified() {
    const std::lock_guard lock(listMutex_);
    const bool was = list_.discoveryLive();
    list_.discoverySeen(recordClock_.now(), true);
    if (!was) reassessAll(recordClock_.now());
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
    const std::lock_guard in(outcomesMutex_);
    wake_.notify_all();
}

std::uint64_t Roster::index() const {
    const std::lock_guard lock(listMutex_);
    return list_.index();
}

// ---- from the facade ----

void Roster::attemptFinished(const decisions::DueAttempt& call, const decisions::AttemptResult& result) {
    const bool good = result.status == decisions::AttemptStatus::delivered;
    if (!good && !result.unexpectedServer) return;
    const std::lock_guard lock(outcomesMutex_);
    const bool first = outcomes_.empty();
    auto& word = outcomes_[call.endpoint];  // bounded: one for each endpoint that gets calls
    if (word.address != call.address) word = {call.address, 0, false};
    word.delivered += good;
    if (result.unexpectedServer && !word.unexpectedServer) word.unexpectedServer = urgent_ = true;
    if (first || urgent_) wake_.notify_all();
}

void Roster::endpointNeeded(std::uint64_t) {
    const std::lock_guard lock(outcomesMutex_);
    urgent_ = true;
    wake_.notify_all();
}

void Roster::applyOutcomes(std::unordered_map<std::string, EndpointOutcomes> word) {
    const auto now = recordClock_.now();
    std::vector<std::string> touched;
    for (const auto& [endpoint, one] : word) {
        // Danger: the list may have moved the endpoint since the call went out. What answered at its old
        // address, well or like a stranger, says nothing of the new one.
        const auto* entry = list_.find(endpoint);
        if (!entry || entry->endpoint.address != one.address) continue;
        if (one.delivered > 0) {
            const bool first = !entry->answeredThisRun;
            list_.recordAnswer(endpoint, ConfirmationSource::delivery, now, one.delivered);
            if (first && !list_.discoveryLive()) touched.push_back(endpoint);
        }
        if (one.unexpectedServer && list_.refuteByAnswer(endpoint, RefutationReason::unexpectedServer, now)) {
            (log::warning() << "list: an endpoint answers like a stranger; only discovery can name it again")
                .kv("endpoint", endpoint);
            touched.push_back(endpoint);
        }
    }
    reassessEndpoints(touched, now);
}

// ---- probes ----

std::vector<trust::ProbeCandidate> Roster::probeCandidates() const {
    std::vector<trust::ProbeCandidate> all;
    const bool may = options_.probesEnabled && config_.mayProbe;
    if (!may || list_.discoveryLive()) return all;
    for (const auto& name : awaitingProbe_) {
        const auto* entry = list_.find(name);
        if (!entry) continue;
        const auto demand = decisions_.pendingLoad(entry->endpoint.destination);
        const auto& fellows = list_.endpointsOf(entry->endpoint.destination);
        const bool served =
            std::any_of(fellows.begin(), fellows.end(), [](const auto* x) { return usable(*x); });
        all.push_back({name, entry->endpoint.destination, entry->endpoint.weight, demand.held,
                       entry->deliveries, demand.waitUntil, served});
    }
    return all;
}

/// Asked once more just before the first byte. Danger: a connect takes its time, and meanwhile the endpoint
/// may drain, or its partner tell a call to wait.
bool Roster::probeStillAllowed(const std::string& endpoint, const std::string& at) const {
    const std::lock_guard lock(listMutex_);
    const auto* entry = list_.find(endpoint);
    return entry && entry->probeFirst && entry->endpoint.address == at &&
           decisions_.pendingLoad(entry->endpoint.destination).waitUntil <= Steady::now();
}

void Roster::probeEndpoint(const std::string& endpoint) {
    std::string at;
    double weight = 0;
    {
        const std::lock_guard lock(listMutex_);
        const auto* entry = list_.find(endpoint);
        if (!entry || !entry->probeFirst) return;
        at = entry->endpoint.address;
        weight = entry->endpoint.weight;
    }
    int status = 0;
    bool stranger = false;
    const auto until = net::Steady::now() + options_.probeTimeout;
    if (const auto address = net::address(at)) {
        net::Fd fd = net::tcpSocket();
        const int raw = fd.get();
        const bool begun = fd && net::beginConnect(raw, *address) == net::ConnectStart::begun;
        const std::stop_callback shut(stop_.get_token(), [raw] { net::shut(raw); });
        const auto ask = http::request("GET", "/health/live", at, {{"Connection", "close"}}, {});
        const bool connected = begun && net::connected(raw, until);
        if (connected && !probeStillAllowed(endpoint, at)) return;
        if (connected && net::sendAll(raw, ask, until) == net::Io::done) {
            http::Parser parser(http::Parser::Role::response);
            std::size_t bytes = 0;
            for (std::string got;
                 parser.state() != http::Parser::State::complete &&
                 parser.state() != http::Parser::State::bad && bytes < kMaxProbeResponseBytes;
                 got.clear()) {
                if (net::receive(raw, got, until) != net::Io::done) break;
                bytes += got.size();
                parser.feed(got);
                while (parser.state() == http::Parser::State::complete && parser.message().status < 200)
                    parser.next();
            }
            if (parser.state() == http::Parser::State::complete ||
                parser.finish() == http::Parser::State::complete)
                status = parser.message().status;
            // A probe tells no name. Where the answer tells a limit that is not this partner's, somebody else
            // has its address.
            if (const auto* load = parser.message().headers.find("Srv-Load"); load && weight > 0) {
                for (const auto part : http::split(*load, ",")) {
                    if (part.substr(0, 3) != "x1=") continue;
                    const auto told = http::decimal(part.substr(3));
                    if (told && *told > 0)
                        stranger = *told > weight * options_.strangerFactor ||
                                   *told < weight / options_.strangerFactor;
                }
            }
        }
    }
    const std::lock_guard lock(listMutex_);
    const auto* entry = list_.find(endpoint);
    // Moved meanwhile, or gone: what answered at the old address says nothing of it.
    if (!entry || entry->endpoint.address != at) return;
    // Whoever knows no probes tells nothing by that; what the list says has to do.
    const bool good = (status == 200 || status == 404) && !stranger;
    probes_.recordAnswer(endpoint, good, Steady::now());
    (log::info() << "list: probed")
        .kv("endpoint", endpoint)
        .kv("address", at)
        .kv("status", status)
        .kv("stranger", stranger ? "yes" : "no")
        .kv("probes", probes_.sent());
    // What reached the partner weighs there like a call: it is taken off what calls may go. So it is in doubt
    // before it is offered.
    if (status > 0) {
        unconfirmed_.insert(entry->endpoint.destination);
        decisions_.updateDestinationHealth(
            {decisions::DestinationHealth{entry->endpoint.destination, false, {}, 0, true, true}});
    }
    const auto now = recordClock_.now();
    std::vector<std::string> touched{endpoint};
    if (good) {
        ++probesAnswered_;
        list_.recordAnswer(endpoint, ConfirmationSource::probe, now);
    } else if (!stranger || !list_.refuteByAnswer(endpoint, RefutationReason::rateLimitMismatch, now)) {
        return;
    }
    reassessEndpoints(touched, now);
}

// ---- writing ----

void Roster::markUnsaved(const std::string& endpoint) {
    if (!file_) return;
    unsaved_.insert(endpoint);
    const auto at = std::max(Steady::now(), lastWriteAt_ + options_.writeEvery);
    if (writeAt_ == Steady::time_point{} || at < writeAt_) writeAt_ = at;
}

/// The standings that differ from what is on disk by more than chance.
std::vector<kept::DestinationHealth> Roster::changedDestinationHealth(RecordMs now) {
    std::unordered_map<std::uint64_t, kept::DestinationHealth> fresh;
    for (const auto& s : decisions_.destinationHealth()) {
        kept::DestinationHealth one{s.destination, s.down, 0, 0, s.rateLimit};
        if (s.sinceRecovery) one.recoveredAt = now - s.sinceRecovery->count();
        const auto it = savedHealth_.find(s.destination);
        if (it != savedHealth_.end()) one.lastOutageAt = it->second.lastOutageAt;
        if (s.down) one.lastOutageAt = now;
        if (it != savedHealth_.end()) {
            const auto& old = it->second;
            if (std::abs(old.recoveredAt - one.recoveredAt) < kWarmUpStartTolerance.count())
                one.recoveredAt = old.recoveredAt;
            if (old.down && s.down && now - old.lastOutageAt < options_.outageMemory.count() / 4)
                one.lastOutageAt = old.lastOutageAt;
            if (std::abs(old.rateLimit - one.rateLimit) < 0.1 * old.rateLimit) one.rateLimit = old.rateLimit;
        }
        fresh[s.destination] = one;
    }
    std::vector<kept::DestinationHealth> changed;
    for (const auto& [destination, one] : fresh) {
        const auto it = savedHealth_.find(destination);
        if (it == savedHealth_.end() || !(it->second == one)) changed.push_back(one);
    }
    for (const auto& [destination, old] : savedHealth_) {
        if (fresh.count(destination)) continue;
        kept::DestinationHealth over{destination, false, 0, old.lastOutageAt, old.rateLimit};
        if (!list_.endpointsOf(destination).empty()) fresh[destination] = over;
        if (!(over == old)) changed.push_back(over);
    }
    savedHealth_ = std::move(fresh);
    return changed;
}

void Roster::write(RecordMs now) {
    writeAt_ = {};
    lastWriteAt_ = Steady::now();
    if (!recordClock_.persist()) {  // its times would mean nothing to a later life
        writeAt_ = Steady::now() + kWriteRetryPause;
        return;
    }
    std::string records;
    for (const auto& s : changedDestinationHealth(now)) records += kept::encode(s);
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
    // In the order of worth, where there is not room for all: what is in trouble, who gets most of the
    // traffic, and who must not be called any more.
    std::vector<const membership::Entry*> order;
    for (const auto& entry : list_.entries()) order.push_back(entry.get());
    std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
        if (a->isTombstone() != b->isTombstone()) return b->isTombstone();
        return a->isTombstone() ? a->refutedAt > b->refutedAt : a->deliveries > b->deliveries;
    });
    std::vector<std::string> records;
    for (const auto& [destination, s] : savedHealth_) records.push_back(kept::encode(s));
    for (const auto* entry : order) records.push_back(kept::encode(*entry));
    std::size_t left = 0;
    const auto last = kept::encodeListState(list_.index(), list_.epoch(), list_.churn(),
                                            list_.discoveryLive() ? list_.discoverySeenAt() : 0);
    const bool written = file_->replace(records, last, now, left);
    if (!written) {
        rewriteNeeded_ = true;
        writeAt_ = Steady::now() + kWriteRetryPause;  // what has drained meanwhile must not be forgotten
        return;
    }
    if (left > 0)
        log::warning() << "kept list: no room for " << left << " of " << records.size() << " records in "
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
                const auto waiting = probeCandidates();
                probes_.retain(waiting);
                const auto probe = probes_.next(waiting, now);
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
        std::unordered_map<std::string, EndpointOutcomes> word;
        {
            std::unique_lock lock(outcomesMutex_);
            if (next == Steady::time_point::max()) next = Steady::now() + std::chrono::hours(1);
            wake_.wait_until(lock, stopped, next, [&] { return urgent_ || !outcomes_.empty(); });
            // Word of deliveries may gather for a moment; what is urgent or due may not.
            if (!urgent_ && !outcomes_.empty())
                wake_.wait_until(lock, stopped, std::min(next, Steady::now() + kOutcomeBatchTime),
                                 [&] { return urgent_; });
            urgent_ = false;
            word.swap(outcomes_);
        }
        if (word.empty()) continue;
        const std::lock_guard lock(listMutex_);
        applyOutcomes(std::move(word));
        if (file_ &&
            writeAt_ == Steady::time_point{})  // what the module has learnt meanwhile is worth a look
            writeAt_ = std::max(Steady::now(), lastWriteAt_ + options_.writeEvery);
    }
}

Roster::Counts Roster::counts() const {
    const std::lock_guard lock(listMutex_);
    Counts found;
    for (const auto& entry : list_.entries()) {
        switch (entry->trustLevel) {
            case TrustLevel::confirmed: ++found.confirmed; break;
            case TrustLevel::ageing: ++found.ageing; break;
            case TrustLevel::stale: ++found.stale; break;
            case TrustLevel::refuted: ++found.refuted; break;
        }
    }
    found.probes = probes_.sent();
    found.probesAnswered = probesAnswered_;
    found.writes = writes_;
    found.live = list_.discoveryLive();
    return found;
}

}  // namespace laurelhaven::roster
