#include "membership/membership.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace laurelhaven::membership {

using trust::Against;
using trust::Level;
using trust::Source;

namespace {

std::size_t hashOf(const std::string& address) { return std::hash<std::string>{}(address); }

}  // namespace

// ---- the tables ----

Entry& Membership::at(const listing::Endpoint& told) {
    if (Entry* has = find(told.name)) {
        if (has->is.group != told.group) {
            leave(*has);
            byDestination_[told.group].push_back(has);
        }
        return *has;
    }
    auto made = std::make_unique<Entry>();
    made->is = told;
    Entry& entry = **entries_.insert(std::move(made)).first;
    byDestination_[told.group].push_back(&entry);
    ++present_;
    return entry;
}

/// Takes it from its destination's endpoints.
void Membership::leave(const Entry& entry) {
    const auto it = byDestination_.find(entry.is.group);
    std::erase(it->second, &entry);
    if (it->second.empty()) byDestination_.erase(it);
}

void Membership::drop(const std::string& endpoint) {
    const auto it = entries_.find(endpoint);
    if (it == entries_.end()) return;
    const Entry* entry = it->get();
    leave(*entry);
    vacate(*entry);
    if (entry->tombstone()) --tombstones_;
    else --present_;
    entries_.erase(it);
}

const Entry* Membership::find(const std::string& endpoint) const {
    const auto it = entries_.find(endpoint);
    return it == entries_.end() ? nullptr : it->get();
}
Entry* Membership::find(const std::string& endpoint) {
    return const_cast<Entry*>(std::as_const(*this).find(endpoint));
}
const std::vector<Entry*>& Membership::of(std::uint64_t destination) const {
    static const std::vector<Entry*> none;
    const auto it = byDestination_.find(destination);
    return it == byDestination_.end() ? none : it->second;
}
std::size_t Membership::tombstones() const { return tombstones_; }

void Membership::against(Entry& entry, Against why, RecordMs now, std::vector<std::string>& touched) {
    const bool was = entry.tombstone();
    if (entry.against == Against::nothing) changes_ += 1;
    entry.against = why;
    entry.againstAt = now;
    entry.heldBack = false;
    entry.answered = entry.named = entry.seenLive = false;
    if (!was) --present_, ++tombstones_;
    touched.push_back(entry.is.name);
}

/// Nobody is known at its address any more, if it was the one.
void Membership::vacate(const Entry& entry) {
    const auto it = byAddress_.find(hashOf(entry.is.address));
    if (it != byAddress_.end() && it->second == &entry) byAddress_.erase(it);
}

// Danger: an endpoint goes and a new one takes over its address. Whoever had it before is not there any more,
// whatever a list says that is older than the one which names the new one.
void Membership::takeAddress(Entry& entry, RecordMs now, std::vector<std::string>& touched) {
    if (entry.is.address.empty()) return;
    auto& has = byAddress_[hashOf(entry.is.address)];
    if (has && has != &entry && !has->tombstone() && has->is.address == entry.is.address) {
        if (has->index > entry.index) {
            if (entry.against == Against::nothing) against(entry, Against::addressTaken, now, touched);
            return;
        }
        if (has->index < entry.index) against(*has, Against::addressTaken, now, touched);
    }
    has = &entry;
}

// ---- at the start ----

void Membership::restore(Entry entry) {
    const bool fresh = !entries_.count(entry.is.name);
    if (!fresh) drop(entry.is.name);
    Entry& made = at(entry.is);
    made = std::move(entry);
    made.named = made.answered = made.seenLive = false;
    if (made.tombstone()) --present_, ++tombstones_;
    // A kept list never holds two of one address, but a damaged one may.
    std::vector<std::string> touched;
    if (!made.tombstone()) takeAddress(made, made.confirmedAt, touched);
}

void Membership::restore(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn) {
    index_ = index;
    epoch_ = epoch;
    churn_ = churn;
}

void Membership::configured(const listing::Listing& list, RecordMs now) {
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
        Entry& entry = at(told);
        const bool was = has && has->tombstone();
        entry.is = told;
        entry.index = list.index;
        if (entry.firstTold == 0) entry.firstTold = now;
        entry.by = Source::configuration;
        entry.confirmedAt = now;
        entry.heldBack = false;
        if (told.status == listing::Status::serving) {
            entry.against = Against::nothing;
            if (was) ++present_, --tombstones_;
            takeAddress(entry, now, touched);
        } else {
            against(entry, told.status == listing::Status::draining ? Against::drained : Against::deleted,
                    now, touched);
        }
    }
    if (!newer) return;
    // It is a whole list, and younger than the kept one: what it leaves out has gone.
    if (!empty)
        for (const auto& entry : entries_)
            if (!named.count(entry->is.name) && !entry->tombstone())
                against(*entry, Against::missing, now, touched);
    index_ = std::max(index_, list.index);
    changes_ = 0;
}

// ---- while it runs ----

/// One entry of a list of discovery. True where anything is new.
bool Membership::tell(const listing::Endpoint& said, std::uint64_t index, RecordMs now, bool lostHistory,
                      std::vector<std::string>& touched) {
    Entry* has = find(said.name);
    auto told = said;
    if (has && told.status == listing::Status::deleted) {  // a deletion need not tell more than the name
        told = has->is;
        told.status = listing::Status::deleted;
    }
    const bool serving = told.status == listing::Status::serving;
    if (has && serving && has->tombstone() &&
        (has->against == Against::drained || has->against == Against::deleted ||
         has->against == Against::missing)) {
        // Danger: a discovery that lost its history, or an agent that is behind, lists what has drained since
        // as serving. Only what is younger may raise it: a newer index, a start after that, or a long time.
        const bool restarted = told.sinceMs > has->againstAt;
        const bool longAgo = now - has->againstAt > policy_.tombstoneHold.count();
        if (!(index > has->index && !lostHistory) && !restarted && !longAgo) return false;
    }
    if (!has && !serving && told.status == listing::Status::deleted) return false;
    Entry& entry = at(told);
    const bool fresh = !has;
    const bool same = !fresh && entry.is == told && entry.against == Against::nothing;
    const bool moved = !fresh && entry.is.address != told.address && serving;
    if (fresh) entry.firstTold = now;
    if (moved) {
        changes_ += 1;
        entry.answered = entry.seenLive = false;  // whatever answered did so at another address
        vacate(entry);
    }
    entry.is = told;
    entry.index = index;
    entry.confirmedAt = now;
    entry.by = Source::discovery;
    if (!serving) {
        const auto why = told.status == listing::Status::draining ? Against::drained : Against::deleted;
        if (entry.against != why) against(entry, why, now, touched);
        return true;
    }
    if (entry.tombstone()) ++present_, --tombstones_;
    entry.against = Against::nothing;
    entry.heldBack = false;
    const bool wasNamed = entry.named;
    entry.named = entry.seenLive = true;
    takeAddress(entry, now, touched);
    if (!same || !wasNamed) touched.push_back(told.name);
    return !same;
}

Heard Membership::heard(const listing::Listing& list, RecordMs now) {
    Heard result;
    watched(now);
    const bool lower = list.index < index_;
    if (!list.whole) {
        if (lower) {
            result.kind = Heard::Kind::askWhole;
            return result;
        }
        if (list.index == index_ && heardOnce_) {
            result.kind = Heard::Kind::known;
            alive(now, true);
            return result;
        }
        for (const auto& told : list.endpoints) tell(told, list.index, now, false, result.touched);
        index_ = list.index;
        heardOnce_ = true;
        const bool was = live_;
        alive(now, true);
        // Changes after a version that is known stand by everything else that is known.
        if (!was)
            for (const auto& entry : entries_)
                if (entry->named) result.touched.push_back(entry->is.name);
        return result;
    }
    if (lower) {
        result.kind = Heard::Kind::lostHistory;
        ++epoch_;
    }
    const auto before = present_;
    std::set<std::string_view> named;
    std::size_t listed = 0;
    for (const auto& told : list.endpoints) {
        named.insert(told.name);
        listed += told.status == listing::Status::serving;
        tell(told, list.index, now, lower, result.touched);
    }
    // Danger: a discovery that starts empty, or with half its list, would at one stroke take all partners
    // away for good. What it does not name gets nothing more, as the rules ask, but stays known for a while:
    // its messages are held, and when it is named again it is as before.
    const bool suspicious = heardOnce_ && before >= policy_.shrinkLeast &&
                            static_cast<double>(listed) < policy_.shrinkShare * static_cast<double>(before);
    for (const auto& entry : entries_) {
        if (named.count(entry->is.name) || entry->tombstone()) continue;
        if (entry->heldBack && suspicious) continue;
        against(*entry, Against::missing, now, result.touched);
        if (!suspicious) continue;
        entry->heldBack = true;
        ++present_, --tombstones_;
        ++result.heldBack;
    }
    if (lower)  // the new numbering counts from here
        for (const auto& entry : entries_) entry->index = std::min(entry->index, list.index);
    index_ = list.index;
    heardOnce_ = true;
    alive(now, true);
    prune(now, result.touched);
    return result;
}

void Membership::alive(RecordMs now, bool verified) {
    if (verified && !live_) {
        live_ = true;
        for (const auto& entry : entries_)
            if (entry->against == Against::nothing) entry->named = entry->seenLive = true;
    }
    if (!live_) return;
    watched(now);
    aliveAt_ = std::max(aliveAt_, now);
}

void Membership::lost(RecordMs now) {
    if (!live_) return;
    watched(now);
    live_ = false;
    for (const auto& entry : entries_) {
        if (entry->named && aliveAt_ > entry->confirmedAt) {
            entry->confirmedAt = aliveAt_;
            entry->by = Source::discovery;
        }
        entry->named = false;
    }
}

/// What was watched since the last time teaches how long entries live.
void Membership::watched(RecordMs now) {
    if (live_ && watchedAt_ > 0 && now > watchedAt_)
        churn_.saw(static_cast<double>(present_), milliseconds(now - watchedAt_), changes_);
    watchedAt_ = now;
    changes_ = 0;
}

void Membership::answered(const std::string& endpoint, Source by, RecordMs now, double calls) {
    Entry* entry = find(endpoint);
    if (!entry || entry->tombstone()) return;
    entry->answered = true;
    if (by == Source::call) entry->traffic += calls;
    if (now < entry->confirmedAt) return;
    entry->confirmedAt = now;
    entry->by = by;
}

bool Membership::contradict(const std::string& endpoint, Against why, RecordMs now) {
    Entry* entry = find(endpoint);
    if (!entry || entry->tombstone() || (live_ && entry->named)) return false;
    std::vector<std::string> touched;
    against(*entry, why, now, touched);
    return true;
}

std::vector<std::string> Membership::expire(RecordMs now) {
    std::vector<std::string> touched;
    for (const auto& entry : entries_) {
        if (!entry->heldBack || now - entry->againstAt <= policy_.shrinkHold.count()) continue;
        entry->heldBack = false;
        --present_, ++tombstones_;
        touched.push_back(entry->is.name);
    }
    prune(now, touched);
    return touched;
}

void Membership::prune(RecordMs now, std::vector<std::string>& touched) {
    std::vector<std::pair<RecordMs, std::string>> graves;
    for (const auto& entry : entries_)
        if (entry->tombstone()) graves.emplace_back(entry->againstAt, entry->is.name);
    std::sort(graves.begin(), graves.end());
    std::size_t left = graves.size();
    for (const auto& [at, name] : graves) {
        if (left <= policy_.tombstones && now - at <= policy_.tombstoneAge.count()) break;
        touched.push_back(name);
        drop(name);
        --left;
    }
}

// ---- looking ----

trust::Evidence Membership::evidence(const Entry& entry) const {
    trust::Evidence e;
    e.live = live_ && entry.named;
    e.confirmedAt = e.live ? std::max(aliveAt_, entry.confirmedAt) : entry.confirmedAt;
    e.by = e.live ? Source::discovery : entry.by;
    e.against = entry.against;
    e.offered = entry.answered;
    e.thisLife = entry.seenLive;
    e.rate = entry.is.weight;
    return e;
}

trust::Judgement Membership::judge(const Entry& entry, RecordMs now) const {
    return trust::judge(evidence(entry), policy_.trust, halfLife(), now);
}

}  // namespace laurelhaven::membership
