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

// ---- tables ----

Entry& Membership::findOrCreate(const listing::Endpoint& listed) {
    if (Entry* existing = find(listed.name)) {
        if (existing->endpoint.destination != listed.destination) {
            removeFromDestination(*existing);
            byDestination_[listed.destination].push_back(existing);
        }
        return *existing;
    }
    auto created = std::make_unique<Entry>();
    created->endpoint = listed;
    Entry& entry = **entries_.insert(std::move(created)).first;
    byDestination_[listed.destination].push_back(&entry);
    ++presentCount_;
    return entry;
}

/// Removes the entry from the endpoints of its destination.
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

void Membership::refute(Entry& entry, RefutationReason reason, RecordMs now,
                        std::vector<std::string>& touched) {
    const bool wasTombstone = entry.isTombstone();
    if (entry.refutation == RefutationReason::none) changesSinceUpdate_ += 1;
    entry.refutation = reason;
    entry.refutedAt = now;
    entry.suspended = false;
    entry.answeredThisRun = entry.listedNow = entry.listedThisRun = false;
    if (!wasTombstone) {
        --presentCount_;
        ++tombstoneCount_;
    }
    touched.push_back(entry.endpoint.name);
}

/// Forgets the entry as the one at its address, if it was.
void Membership::releaseAddress(const Entry& entry) {
    const auto it = byAddress_.find(hashOf(entry.endpoint.address));
    if (it != byAddress_.end() && it->second == &entry) byAddress_.erase(it);
}

/// Whether `a` has come to its address after `b`: by the start of its process, or else by discovery's index.
bool cameLater(const Entry& a, const Entry& b) {
    return std::pair(a.endpoint.startedAtMs, a.index) > std::pair(b.endpoint.startedAtMs, b.index);
}

// When a new endpoint takes over an address, the one that had it before is no longer there, whatever a list
// says that still names it: discovery notices only after a while that a process has vanished.
void Membership::claimAddress(Entry& entry, RecordMs now, std::vector<std::string>& touched) {
    if (entry.endpoint.address.empty()) return;
    auto& holder = byAddress_[hashOf(entry.endpoint.address)];
    if (holder && holder != &entry && !holder->isTombstone() &&
        holder->endpoint.address == entry.endpoint.address) {
        if (cameLater(*holder, entry)) {
            if (entry.refutation == RefutationReason::none)
                refute(entry, RefutationReason::addressReassigned, now, touched);
            return;
        }
        if (cameLater(entry, *holder)) refute(*holder, RefutationReason::addressReassigned, now, touched);
    }
    holder = &entry;
}

// ---- at the start ----

void Membership::restore(Entry entry) {
    const bool isNew = !entries_.count(entry.endpoint.name);
    if (!isNew) remove(entry.endpoint.name);
    Entry& created = findOrCreate(entry.endpoint);
    created = std::move(entry);
    created.listedNow = created.answeredThisRun = created.listedThisRun = false;
    created.deliveredThisRun = created.awaitsDiscovery = false;
    if (created.isTombstone()) {
        --presentCount_;
        ++tombstoneCount_;
    }
    // An intact saved list never has two endpoints at one address, but a damaged one may.
    std::vector<std::string> touched;
    if (!created.isTombstone()) claimAddress(created, created.confirmedAt, touched);
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
    std::set<std::string_view> listedNames;
    for (const auto& listed : list.endpoints) {
        listedNames.insert(listed.name);
        Entry* existing = find(listed.name);
        if (existing && (existing->index >= list.index || !newer)) continue;
        // The saved list is newer and does not contain it: it was deleted and its tombstone has expired.
        if (!existing && !newer) continue;
        Entry& entry = findOrCreate(listed);
        const bool wasTombstone = existing && existing->isTombstone();
        entry.endpoint = listed;
        entry.index = list.index;
        if (entry.firstListedAt == 0) entry.firstListedAt = now;
        entry.confirmedBy = ConfirmationSource::configuration;
        entry.confirmedAt = now;
        entry.suspended = false;
        if (listed.status == listing::Status::serving) {
            entry.refutation = RefutationReason::none;
            if (wasTombstone) {
                ++presentCount_;
                --tombstoneCount_;
            }
            claimAddress(entry, now, touched);
        } else {
            refute(entry,
                   listed.status == listing::Status::draining ? RefutationReason::drained
                                                              : RefutationReason::deleted,
                   now, touched);
        }
    }
    if (!newer) return;
    // A full list that is newer than the saved one: the endpoints that it leaves out are gone.
    if (!empty)
        for (const auto& entry : entries_)
            if (!listedNames.count(entry->endpoint.name) && !entry->isTombstone())
                refute(*entry, RefutationReason::missing, now, touched);
    index_ = std::max(index_, list.index);
    changesSinceUpdate_ = 0;
}

// ---- while it runs ----

/// Merges one endpoint of a list from discovery. Returns true if anything changed.
bool Membership::mergeEndpoint(const listing::Endpoint& update, std::uint64_t index, RecordMs now,
                               bool lostHistory, std::vector<std::string>& touched) {
    Entry* existing = find(update.name);
    auto listed = update;
    if (existing && listed.status == listing::Status::deleted) {  // a deletion may contain the name alone
        listed = existing->endpoint;
        listed.status = listing::Status::deleted;
    }
    const bool serving = listed.status == listing::Status::serving;
    if (existing && serving && existing->isTombstone() &&
        (existing->refutation == RefutationReason::drained ||
         existing->refutation == RefutationReason::deleted ||
         existing->refutation == RefutationReason::missing)) {
        // A discovery that lost its history, or an agent that lags behind, may list a drained endpoint as
        // serving. Only a higher index, a later start of the endpoint, or a long time returns it to service.
        const bool restarted = listed.startedAtMs > existing->refutedAt;
        const bool longAgo = now - existing->refutedAt > policy_.tombstoneHold.count();
        if (!(index > existing->index && !lostHistory) && !restarted && !longAgo) return false;
    }
    if (!existing && !serving && listed.status == listing::Status::deleted) return false;
    // Discovery may add names without end.
    if (!existing && presentCount_ >= listing::kMaxEndpoints) return false;
    Entry& entry = findOrCreate(listed);
    const bool isNew = !existing;
    const bool same = !isNew && entry.endpoint == listed && entry.refutation == RefutationReason::none;
    const bool moved = !isNew && entry.endpoint.address != listed.address && serving;
    if (isNew) entry.firstListedAt = now;
    const bool restarted = !isNew && entry.endpoint.startedAtMs != listed.startedAtMs && serving;
    // Those answers came from another process.
    if (moved || restarted) entry.answeredThisRun = entry.listedThisRun = entry.deliveredThisRun = false;
    if (moved) {
        changesSinceUpdate_ += 1;
        releaseAddress(entry);
    }
    entry.endpoint = listed;
    entry.index = index;
    entry.confirmedAt = now;
    entry.confirmedBy = ConfirmationSource::discovery;
    if (!serving) {
        const auto reason = listed.status == listing::Status::draining ? RefutationReason::drained
                                                                       : RefutationReason::deleted;
        if (entry.refutation != reason) refute(entry, reason, now, touched);
        return true;
    }
    if (entry.isTombstone()) {
        ++presentCount_;
        --tombstoneCount_;
    }
    entry.refutation = RefutationReason::none;
    entry.suspended = false;
    const bool wasListed = entry.listedNow;
    entry.listedNow = entry.listedThisRun = true;
    claimAddress(entry, now, touched);
    if (!same || !wasListed) touched.push_back(listed.name);
    return !same;
}

ListUpdateResult Membership::applyUpdate(const listing::EndpointList& list, RecordMs now) {
    ListUpdateResult result;
    updateChurn(now);
    const bool indexFell = list.index < index_;
    if (!list.snapshot) {
        if (indexFell) {
            result.kind = ListUpdateResult::Kind::fullListNeeded;
            return result;
        }
        if (list.index == index_ && listReceived_) {
            result.kind = ListUpdateResult::Kind::unchanged;
            discoverySeen(now, true);
            return result;
        }
        for (const auto& listed : list.endpoints)
            mergeEndpoint(listed, list.index, now, false, result.touched);
        index_ = list.index;
        listReceived_ = true;
        const bool wasLive = discoveryLive_;
        discoverySeen(now, true);
        // Changes relative to a known index confirm all other known endpoints.
        if (!wasLive)
            for (const auto& entry : entries_)
                if (entry->listedNow) result.touched.push_back(entry->endpoint.name);
        return result;
    }
    if (indexFell) {
        result.kind = ListUpdateResult::Kind::lostHistory;
        ++epoch_;
    }
    const auto countBefore = presentCount_;
    std::set<std::string_view> listedNames;
    std::size_t servingCount = 0;
    for (const auto& listed : list.endpoints) {
        listedNames.insert(listed.name);
        servingCount += listed.status == listing::Status::serving;
        mergeEndpoint(listed, list.index, now, indexFell, result.touched);
    }
    // A discovery that starts empty, or with half of its list, would remove all endpoints at once for good.
    // The endpoints that it leaves out get no more messages, as the rules require, but stay known for a
    // while: their messages wait, and once they are listed again they serve as before.
    const bool suspicious =
        listReceived_ && countBefore >= policy_.shrinkLeast &&
        static_cast<double>(servingCount) < policy_.shrinkShare * static_cast<double>(countBefore);
    for (const auto& entry : entries_) {
        if (listedNames.count(entry->endpoint.name) || entry->isTombstone()) continue;
        if (entry->suspended && suspicious) continue;
        refute(*entry, RefutationReason::missing, now, result.touched);
        if (!suspicious) continue;
        entry->suspended = true;
        ++presentCount_;
        --tombstoneCount_;
        ++result.suspended;
    }
    if (indexFell)  // the new numbering applies from now on
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

/// Feeds the changes since the last update into the estimate of how long entries stay valid.
void Membership::updateChurn(RecordMs now) {
    if (discoveryLive_ && churnUpdatedAt_ > 0 && now > churnUpdatedAt_)
        churn_.observe(static_cast<double>(presentCount_), milliseconds(now - churnUpdatedAt_),
                       changesSinceUpdate_);
    churnUpdatedAt_ = now;
    changesSinceUpdate_ = 0;
}

void Membership::recordAnswer(const std::string& endpoint, ConfirmationSource by, RecordMs now,
                              double count) {
    Entry* entry = find(endpoint);
    if (!entry || entry->isTombstone()) return;
    entry->answeredThisRun = true;
    if (by == ConfirmationSource::delivery) {
        entry->deliveredThisRun = true;
        entry->deliveries += count;
    }
    if (now < entry->confirmedAt) return;
    entry->confirmedAt = now;
    entry->confirmedBy = by;
}

bool Membership::refuteByAnswer(const std::string& endpoint, RefutationReason reason, RecordMs now) {
    Entry* entry = find(endpoint);
    if (!entry || entry->isTombstone() || (discoveryLive_ && entry->listedNow)) return false;
    std::vector<std::string> touched;
    refute(*entry, reason, now, touched);
    return true;
}

bool Membership::withdrawProof(const std::string& endpoint) {
    Entry* entry = find(endpoint);
    if (!entry || !entry->answeredThisRun || entry->listedThisRun || entry->deliveredThisRun) return false;
    entry->answeredThisRun = false;
    entry->awaitsDiscovery = true;
    return true;
}

void Membership::expectNoProof(const std::string& endpoint) {
    if (Entry* entry = find(endpoint)) entry->awaitsDiscovery = true;
}

std::vector<std::string> Membership::expire(RecordMs now) {
    std::vector<std::string> touched;
    for (const auto& entry : entries_) {
        if (!entry->suspended || now - entry->refutedAt <= policy_.shrinkHold.count()) continue;
        entry->suspended = false;
        --presentCount_;
        ++tombstoneCount_;
        touched.push_back(entry->endpoint.name);
    }
    pruneTombstones(now, touched);
    return touched;
}

void Membership::pruneTombstones(RecordMs now, std::vector<std::string>& touched) {
    std::vector<std::pair<RecordMs, std::string>> oldestFirst;
    for (const auto& entry : entries_)
        if (entry->isTombstone()) oldestFirst.emplace_back(entry->refutedAt, entry->endpoint.name);
    std::sort(oldestFirst.begin(), oldestFirst.end());
    std::size_t left = oldestFirst.size();
    for (const auto& [at, name] : oldestFirst) {
        if (left <= policy_.tombstones && now - at <= policy_.tombstoneAge.count()) break;
        touched.push_back(name);
        remove(name);
        --left;
    }
}

// ---- queries ----

trust::Evidence Membership::evidence(const Entry& entry) const {
    trust::Evidence result;
    result.listedNow = discoveryLive_ && entry.listedNow;
    result.confirmedAt = result.listedNow ? std::max(discoverySeenAt_, entry.confirmedAt) : entry.confirmedAt;
    result.confirmedBy = result.listedNow ? ConfirmationSource::discovery : entry.confirmedBy;
    result.refutation = entry.refutation;
    result.answeredThisRun = entry.answeredThisRun;
    result.listedThisRun = entry.listedThisRun;
    result.rateLimit = entry.endpoint.weight;
    return result;
}

trust::TrustAssessment Membership::assess(const Entry& entry, RecordMs now) const {
    return trust::assess(evidence(entry), policy_.trust, halfLife(), now);
}

}  // namespace laurelhaven::membership
