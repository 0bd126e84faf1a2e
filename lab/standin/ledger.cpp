#include "standin/ledger.hpp"

#include <algorithm>

namespace laurelhaven::lab {

const char* name(Outcome outcome) {
    constexpr const char* kNames[] = {"delivered", "repeat",      "full",    "waiting", "drained",
                                      "error",     "misdirected", "unknown", "broken"};
    return kNames[static_cast<int>(outcome)];
}

void Ledger::expect(const std::string& id, const std::string& key, std::uint64_t destination) {
    const std::lock_guard lock(mutex_);
    messages_[id] = {key, destination, {}};
}

Ledger::Verdict Ledger::begun(const std::string& endpoint, std::uint64_t destination, const std::string& id,
                              std::function<bool()> open) {
    const std::lock_guard lock(mutex_);
    Verdict verdict;
    verdict.call = ++begun_;
    ++counts_.calls;
    if (const auto it = drains_.find(endpoint); it != drains_.end()) {
        ++counts_.atDrained;
        if (Steady::now() > it->second + grace_) ++counts_.toDrained;
    }
    const auto it = messages_.find(id);
    if (it == messages_.end()) {
        ++counts_.unknown;
        return verdict;
    }
    verdict.known = true;
    verdict.fits = it->second.destination == destination;
    if (!verdict.fits) ++counts_.misdirected;
    auto& others = it->second.open;
    verdict.overlap =
        std::any_of(others.begin(), others.end(), [](const auto& other) { return other.second(); });
    others[verdict.call] = std::move(open);
    if (verdict.overlap) ++counts_.overlaps;
    return verdict;
}

bool Ledger::run(const std::string& id, Moment now) {
    const std::lock_guard lock(mutex_);
    const auto it = messages_.find(id);
    if (it == messages_.end()) return false;
    const auto [ran, first] = ran_.try_emplace(it->second.key, now);
    if (first) return true;
    if (now - ran->second <= window_) {
        ++counts_.repeats;
        return false;
    }
    ++counts_.doubles;
    ran->second = now;
    return true;
}

void Ledger::ended(const CallRecord& record) {
    const std::lock_guard lock(mutex_);
    if (const auto it = messages_.find(record.id); it != messages_.end()) it->second.open.erase(record.call);
    counts_.delivered += record.outcome == Outcome::delivered;
    const bool refused = record.outcome == Outcome::full || record.outcome == Outcome::waiting;
    counts_.errors += record.outcome == Outcome::error || record.outcome == Outcome::broken;
    auto& side = counts_.byDestination[record.destination];
    ++side.calls;
    side.delivered += record.outcome == Outcome::delivered;
    side.refused += refused;
    counts_.full += refused;
    calls_.push_back(record);
}

void Ledger::probed(const std::string&, std::uint64_t destination) {
    const std::lock_guard lock(mutex_);
    ++counts_.probes[destination];
}

void Ledger::told(const std::string& endpoint, Moment at) {
    const std::lock_guard lock(mutex_);
    drains_.try_emplace(endpoint, at);
}
void Ledger::raised(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    drains_.erase(endpoint);
}
void Ledger::fellOver(std::uint64_t) {
    const std::lock_guard lock(mutex_);
    ++counts_.fallOvers;
}
void Ledger::waitBroken() {
    const std::lock_guard lock(mutex_);
    ++counts_.duringWait;
}

Ledger::Counts Ledger::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}

bool Ledger::deliveredAt(const std::string& key, Moment& at) const {
    const std::lock_guard lock(mutex_);
    const auto it = ran_.find(key);
    if (it == ran_.end()) return false;
    at = it->second;
    return true;
}

std::vector<CallRecord> Ledger::calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
}

}  // namespace laurelhaven::lab
