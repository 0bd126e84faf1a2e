#include "membership/membership.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace laurelhaven::membership {

using trust::ConfirmationSource;
using trust::RefutationReason;
using trust::TrustLevel;

namespace {

std::size_t hashOf(const std::string& address) { return std::hash<std::string>{}(address); }

}  // namespace

// ---- the tables ----

Entry& Membership::findOrCreate(const listing::Endpoint& told) {
    if (Entry* has = find(told.name)) {
        if (has->endpoint.destination != told.destination) {
            removeFromDestination(*has);
            byDestination_[told.destination].push_back(has);
        }
        return *has;
    }
    auto made = std::make_unique<Entry>();
    made->endpoint = told;
    Entry& entry = **entries_.insert(std::move(made)).first;
    byDestination_[told.destination].push_back(&entry);
    ++presentCount_;
    return entry;
}

/// Takes it from its destination's endpoints.
void Membership::removeFromDestination(const Entry& entry) {
    const auto it = byDestination_.find(entry.endpoint.destination);
    std::erase(it->second, &entry);
    if (it->second.empty()) byDestination_.erase(it);
}

void Membership::remove(const std::string& endpoint) {
    const auto it = entries_.find(endpoint);
    if (it == entries_.end()) return;
    const Entry* entry = it->get();
    removeFromDestination(*entry);
    releaseAddress(*entry);
    if (entry->isTombstone()) --tombstoneCount_;
    else --presentCount_;
    entries_.erase(it);
}

const Entry* Membership::find(const std::string& endpoint) const {
    const auto it = entries_.find(endpoint);
    return it == entries_.end() ? nullptr : it->get();
}
Entry* Membership::find(const std::string& endpoint) {
    return const_cast<Entry*>(std::as_const(*this).find(endpoint));
}
const std::vector<Entry*>& Membership::endpointsOf(std::uint64_t destination) const {
    static const std::vector<Entry*> none;
    const auto it = byDestination_.find(destination);
    return it == byDestination_.end() ? none : it->second;
}
std::size_t Membership::tombstoneCount() const { return tombstoneCount_; }

void Membership::refute(Entry& entry, RefutationReason why, RecordMs now, std::vector<std::string>& touched) {
    const bool was = entry.isTombstone();
    if (entry.refutation == RefutationReason::none) changesSinceUpdate_ += 1;
    entry.refutation = why;
    entry.refutedAt = now;
    entry.suspended = false;
    entry.answeredThisRun = entry.listedNow = entry.listedThisRun = false;
    if (!was) --presentCount_, ++tombstoneCount_;
    touched.push_back(entry.endpoint.name);
}

/// Nobody is known at its address any more, if it was the one.
void Membership::releaseAddress(const Entry& entry) {
    const auto it = byAddress_.find(hashOf(entry.endpoint.address));
    if (it != byAddress_.end() && it->second == &entry) byAddress_.erase(it);
}

// Danger: an endpoint goes and a new one takes over its address. Whoever had it before is not there any more,
// whatever a list says that is older than the one which names the new one.
void Membership::claimAddress(Entry& entry, RecordMs now, std::vector<std::string>& touched) {
    if (entry.endpoint.address.empty()) return;
    auto& has = byAddress_[hashOf(entry.endpoint.address)];
    if (has && has != &entry && !has->isTombstone() && has->endpoint.address == entry.endpoint.address) {
        if (has->index > entry.index) {
            if (entry.refutation == RefutationReason::none)
                refute(entry, RefutationReason::addressReassigned, now, touched);
            return;
        }
        if (has->index < entry.index) refute(*has, RefutationReason::addressReassigned, now, touched);
    }
    has = &entry;
}

// ---- at the start ----

void Membership::restore(Entry entry) {
    const bool fresh = !entries_.count(entry.endpoint.name);
    if (!fresh) remove(entry.endpoint.name);
    Entry& made = findOrCreate(entry.endpoint);
    made = std::move(entry);
    made.listedNow = made.answeredThisRun = made.listedThisRun = false;
    if (made.isTombstone()) --presentCount_, ++tombstoneCount_;
    // A kept list never holds two of one address, but a damaged one may.
    std::vector<std::string> touched;
    if (!made.isTombstone()) claimAddress(made, made.confirmedAt, touched);
}

void Membership::restore(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn) {
    index_ = index;
    epoch_ = epoch;
    churn_ = churn;
}

void Membership::applyConfiguration(const listing::EndpointList& list, RecordMs now) {
    const bool empty = entries_.empty();
    const bool newer = empty || list.index > index_;
    std::vector<std::string> touched;
    std::set<std::string_view> named;
    for (const auto& told : list.endpoints) {
        named.insert(told.name);
        Entry* has = find(told.name);
        if (has && (has->index >= list.index || !newer)) continue;
        // The kept list is younger and does not know it: it was deleted since, and its tombstone forgotten.
        if (!has && !newer) continue;
        Entry& entry = findOrCreate(told);
        const bool was = has && has->isTombstone();
        entry.endpoint = told;
        entry.index = list.index;
        if (entry.firstListedAt == 0) entry.firstListedAt = now;
        entry.confirmedBy = ConfirmationSource::configuration;
        entry.confirmedAt = now;
        entry.suspended = false;
        if (told.status == listing::Status::serving) {
            entry.refutation = RefutationReason::none;
            if (was) ++presentCount_, --tombstoneCount_;
            claimAddress(entry, now, touched);
        } else {
            refute(entry,
                   told.status == listing::Status::draining ? RefutationReason::drained
                                                            : RefutationReason::deleted,
                   now, touched);
        }
    }
    if (!newer) return;
    // It is a whole list, and younger than the kept one: what it leaves out has gone.
    if (!empty)
        for (const auto& entry : entries_)
            if (!named.count(entry->endpoint.name) && !entry->isTombstone())
                refute(*entry, RefutationReason::missing, now, touched);
    index_ = std::max(index_, list.index);
    changesSinceUpdate_ = 0;
}

// ---- while it runs ----

/// One entry of a list of discovery. True where anything is new.
bool Membership::mergeEndpoint(const listing::Endpoint& said, std::uint64_t index, RecordMs now,
                               bool lostHistory, std::vector<std::string>& touched) {
    Entry* has = find(said.name);
    auto told = said;
    if (has && told.status == listing::Status::deleted) {  // a deletion need not tell more than the name
        told = has->endpoint;
        told.status = listing::Status::deleted;
    }
    const bool serving = told.status == listing::Status::serving;
    if (has && serving && has->isTombstone() &&
        (has->refutation == RefutationReason::drained || has->refutation == RefutationReason::deleted ||
         has->refutation == RefutationReason::missing)) {
        // Danger: a discovery that lost its history, or an agent that is behind, lists what has drained since
        // as serving. Only what is younger may raise it: a newer index, a start after that, or a long time.
        const bool restarted = told.startedAtMs > has->refutedAt;
        const bool longAgo = now - has->refutedAt > policy_.tombstoneHold.count();
        if (!(index > has->index && !lostHistory) && !restarted && !longAgo) return false;
    }
    if (!has && !serving && told.status == listing::Status::deleted) return false;
    Entry& entry = findOrCreate(told);
    const bool fresh = !has;
    const bool same = !fresh && entry.endpoint == told && entry.refutation == RefutationReason::none;
    const bool moved = !fresh && entry.endpoint.address != told.address && serving;
    if (fresh) entry.firstListedAt = now;
    if (moved) {
        changesSinceUpdate_ += 1;
        entry.answeredThisRun = entry.listedThisRun = false;  // whatever answered did so at another address
        releaseAddress(entry);
    }
    entry.endpoint = told;
    entry.index = index;
    entry.confirmedAt = now;
    entry.confirmedBy = ConfirmationSource::discovery;
    if (!serving) {
        const auto why =
            told.status == listing::Status::draining ? RefutationReason::drained : RefutationReason::deleted;
        if (entry.refutation != why) refute(entry, why, now, touched);
        return true;
    }
    if (entry.isTombstone()) ++presentCount_, --tombstoneCount_;
    entry.refutation = RefutationReason::none;
    entry.suspended = false;
    const bool wasNamed = entry.listedNow;
    entry.listedNow = entry.listedThisRun = true;
    claimAddress(entry, now, touched);
    if (!same || !wasNamed) touched.push_back(told.name);
    return !same;
}

ListUpdateResult Membership::applyUpdate(const listing::EndpointList& list, RecordMs now) {
    ListUpdateResult result;
    updateChurn(now);
    const bool lower = list.index < index_;
    if (!list.snapshot) {
        if (lower) {
            result.kind = ListUpdateResult::Kind::fullListNeeded;
            return result;
        }
        if (list.index == index_ && listReceived_) {
            result.kind = ListUpdateResult::Kind::unchanged;
            discoverySeen(now, true);
            return result;
        }
        for (const auto& told : list.endpoints) mergeEndpoint(told, list.index, now, false, result.touched);
        index_ = list.index;
        listReceived_ = true;
        const bool was = discoveryLive_;
        discoverySeen(now, true);
        // Changes after a version that is known stand by everything else that is known.
        if (!was)
            for (const auto& entry : entries_)
                if (entry->listedNow) result.touched.push_back(entry->endpoint.name);
        return result;
    }
    if (lower) {
        result.kind = ListUpdateResult::Kind::lostHistory;
        ++epoch_;
    }
    const auto before = presentCount_;
    std::set<std::string_view> named;
    std::size_t listed = 0;
    for (const auto& told : list.endpoints) {
        named.insert(told.name);
        listed += told.status == listing::Status::serving;
        mergeEndpoint(told, list.index, now, lower, result.touched);
    }
    // Danger: a discovery that starts empty, or with half its list, would at one stroke take all partners
    // away for good. What it does not name gets nothing more, as the rules ask, but stays known for a while:
    // its messages are held, and when it is named again it is as before.
    const bool suspicious = listReceived_ && before >= policy_.shrinkLeast &&
                            static_cast<double>(listed) < policy_.shrinkShare * static_cast<double>(before);
    for (const auto& entry : entries_) {
        if (named.count(entry->endpoint.name) || entry->isTombstone()) continue;
        if (entry->suspended && suspicious) continue;
        refute(*entry, RefutationReason::missing, now, result.touched);
        if (!suspicious) continue;
        entry->suspended = true;
        ++presentCount_, --tombstoneCount_;
        ++result.suspended;
    }
    if (lower)  // the new numbering counts from here
        for (const auto& entry : entries_) entry->index = std::min(entry->index, list.index);
    index_ = list.index;
    listReceived_ = true;
    discoverySeen(now, true);
    pruneTombstones(now, result.touched);
    return result;
}

void Membership::discoverySeen(RecordMs now, bool verified) {
    if (verified && !discoveryLive_) {
        discoveryLive_ = true;
        for (const auto& entry : entries_)
            if (entry->refutation == RefutationReason::none) entry->listedNow = entry->listedThisRun = true;
    }
    if (!discoveryLive_) return;
    updateChurn(now);
    discoverySeenAt_ = std::max(discoverySeenAt_, now);
}

void Membership::discoveryLost(RecordMs now) {
    if (!discoveryLive_) return;
    updateChurn(now);
    discoveryLive_ = false;
    for (const auto& entry : entries_) {
        if (entry->listedNow && discoverySeenAt_ > entry->confirmedAt) {
            entry->confirmedAt = discoverySeenAt_;
            entry->confirmedBy = ConfirmationSource::discovery;
        }
        entry->listedNow = false;
    }
}

/// What was watched since the last time teaches how long entries live.
void Membership::updateChurn(RecordMs now) {
    if (discoveryLive_ && churnUpdatedAt_ > 0 && now > churnUpdatedAt_)
        churn_.observe(static_cast<double>(presentCount_), milliseconds(now - churnUpdatedAt_),
                       changesSinceUpdate_);
    churnUpdatedAt_ = now;
    changesSinceUpdate_ = 0;
}

void Membership::recordAnswer(const std::string& endpoint, ConfirmationSource by, RecordMs now,
                              double calls) {
    Entry* entry = find(endpoint);
    if (!entry || entry->isTombstone()) return;
    entry->answeredThisRun = true;
    if (by == ConfirmationSource::delivery) entry->deliveries += calls;
    if (now < entry->confirmedAt) return;
    entry->confirmedAt = now;
    entry->confirmedBy = by;
}

bool Membership::refuteByAnswer(const std::string& endpoint, RefutationReason why, RecordMs now) {
    Entry* entry = find(endpoint);
    if (!entry || entry->isTombstone() || (discoveryLive_ && entry->listedNow)) return false;
    std::vector<std::string> touched;
    refute(*entry, why, now, touched);
    return true;
}

std::vector<std::string> Membership::expire(RecordMs now) {
    std::vector<std::string> touched;
    for (const auto& entry : entries_) {
        if (!entry->suspended || now - entry->refutedAt <= policy_.shrinkHold.count()) continue;
        entry->suspended = false;
        --presentCount_, ++tombstoneCount_;
        touched.push_back(entry->endpoint.name);
    }
    pruneTombstones(now, touched);
    return touched;
}

void Membership::pruneTombstones(RecordMs now, std::vector<std::string>& touched) {
    std::vector<std::pair<RecordMs, std::string>> graves;
    for (const auto& entry : entries_)
        if (entry->isTombstone()) graves.emplace_back(entry->refutedAt, entry->endpoint.name);
    std::sort(graves.begin(), graves.end());
    std::size_t left = graves.size();
    for (const auto& [at, name] : graves) {
        if (left <= policy_.tombstones && now - at <= policy_.tombstoneAge.count()) break;
        touched.push_back(name);
        remove(name);
        --left;
    }
}

// ---- looking ----

trust::Evidence Membership::evidence(const Entry& entry) const {
    trust::Evidence e;
    e.listedNow = discoveryLive_ && entry.listedNow;
    e.confirmedAt = e.listedNow ? std::max(discoverySeenAt_, entry.confirmedAt) : entry.confirmedAt;
    e.confirmedBy = e.listedNow ? ConfirmationSource::discovery : entry.confirmedBy;
    e.refutation = entry.refutation;
    e.answeredThisRun = entry.answeredThisRun;
    e.listedThisRun = entry.listedThisRun;
    e.rateLimit = entry.endpoint.weight;
    return e;
}

trust::TrustAssessment Membership::assess(const Entry& entry, RecordMs now) const {
    return trust::assess(evidence(entry), policy_.trust, halfLife(), now);
}

}  // namespace laurelhaven::membership
