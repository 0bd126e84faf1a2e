// Which endpoints there are, merged from three sources: the list kept on disk, the list in the configuration,
// and discovery. Says for each whether anything may go there now. Pure: times come in as values, lists and
// entries go in and out, and nothing here does I/O.
//
// Invariants: what discovery said last in its own numbering wins; an endpoint that drained or went is never
// raised by an older source; an endpoint that is missing from a whole list of discovery gets nothing more,
// however odd that list looks.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "listing/listing.hpp"
#include "trust/trust.hpp"

namespace laurelhaven::membership {

using std::chrono::milliseconds;
using trust::RecordMs;

struct Policy {
    trust::Policy trust;
    double shrinkShare = 0.5;         ///< a whole list under this share of the one before is suspicious ...
    std::size_t shrinkLeast = 4;      ///< ... where that one had so many entries at least
    milliseconds shrinkHold{30'000};  ///< what it leaves out is remembered, without messages, for so long
    milliseconds tombstoneHold{600'000};    ///< so long a source of lost history can't raise what has gone
    milliseconds tombstoneAge{86'400'000};  ///< older tombstones are forgotten
    std::size_t tombstones = 512;           ///< at most so many are kept, the newest
};

/// One endpoint, and all that is known of how far it may be believed.
struct Entry {
    listing::Endpoint endpoint;  ///< as it was told last
    std::uint64_t index = 0;     ///< of the list that told it, in discovery's numbering
    RecordMs firstListedAt = 0;
    RecordMs confirmedAt = 0;  ///< but see Membership::evidence() while discovery is heard
    RecordMs refutedAt = 0;    ///< since when something speaks against it
    double deliveries = 0;     ///< calls it delivered, as far as remembered
    trust::ConfirmationSource confirmedBy = trust::ConfirmationSource::configuration;
    trust::RefutationReason refutation = trust::RefutationReason::none;
    bool listedNow = false;        ///< discovery named it, or stood by it, on the stream that is heard now
    bool answeredThisRun = false;  ///< it delivered or answered a probe in this life
    bool listedThisRun = false;    ///< discovery named it in this life
    bool suspended = false;        ///< missing from a suspiciously small list
    trust::TrustLevel trustLevel =
        trust::TrustLevel::refuted;  ///< as judged last; see Membership::judgeAll()
    bool probeFirst = false;
    bool isTombstone() const { return refutation != trust::RefutationReason::none && !suspended; }
};

/// Orders entries by name, and finds them by it: the name is held once.
struct OrderByName {
    using is_transparent = void;
    static std::string_view key(std::string_view name) { return name; }
    static std::string_view key(const std::unique_ptr<Entry>& entry) { return entry->endpoint.name; }
    bool operator()(const auto& a, const auto& b) const { return key(a) < key(b); }
};
using Entries = std::set<std::unique_ptr<Entry>, OrderByName>;

/// What became of a list that discovery sent.
struct ListUpdateResult {
    enum class Kind {
        merged,          ///< merged
        unchanged,       ///< nothing new in it
        fullListNeeded,  ///< its numbering does not fit what is known: only the whole list makes it good
        lostHistory      ///< a whole list of lower index: discovery has lost its history; merged
    };
    Kind kind = Kind::merged;
    std::vector<std::string> touched;  ///< endpoints whose entries changed
    std::size_t suspended = 0;         ///< entries that a suspiciously small list left out
};

class Membership {
  public:
    explicit Membership(const Policy& policy) : policy_(policy) {}

    // -- at the start, in this order --
    /// An entry of the kept list, as it was.
    void restore(Entry entry);
    void restore(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn);
    /// The list of the configuration. A newer index than the kept one's replaces it; an older one adds only
    /// what no kept list could have known to be gone.
    void applyConfiguration(const listing::EndpointList& list, RecordMs now);

    // -- while it runs --
    ListUpdateResult applyUpdate(const listing::EndpointList& list, RecordMs now);
    /// Discovery is heard, and has nothing new. `verified`: its numbering is known to be ours.
    void discoverySeen(RecordMs now, bool verified);
    /// The stream ended: from now on entries age.
    void discoveryLost(RecordMs now);
    /// A call was delivered, or a probe answered, there.
    void recordAnswer(const std::string& endpoint, trust::ConfirmationSource by, RecordMs now,
                      double calls = 1);
    /// What answered at the address is not the endpoint. Passed over while discovery stands by it.
    bool refuteByAnswer(const std::string& endpoint, trust::RefutationReason refutation, RecordMs now);
    /// Ends what is only held for a time. Returns the endpoints touched.
    std::vector<std::string> expire(RecordMs now);

    // -- looking --
    trust::Evidence evidence(const Entry& entry) const;
    trust::TrustAssessment assess(const Entry& entry, RecordMs now) const;
    milliseconds halfLife() const { return churn_.halfLife(policy_.trust); }
    const Entry* find(const std::string& endpoint) const;
    Entry* find(const std::string& endpoint);
    /// The endpoints of a destination, in no order.
    const std::vector<Entry*>& endpointsOf(std::uint64_t destination) const;
    const Entries& entries() const { return entries_; }
    std::size_t tombstoneCount() const;
    std::uint64_t index() const { return index_; }
    std::uint64_t epoch() const { return epoch_; }
    const trust::Churn& churn() const { return churn_; }
    bool discoveryLive() const { return discoveryLive_; }
    RecordMs discoverySeenAt() const { return discoverySeenAt_; }

  private:
    Entry& findOrCreate(const listing::Endpoint& told);
    void remove(const std::string& endpoint);
    bool mergeEndpoint(const listing::Endpoint& said, std::uint64_t index, RecordMs now, bool lostHistory,
                       std::vector<std::string>& touched);
    void refute(Entry& entry, trust::RefutationReason why, RecordMs now, std::vector<std::string>& touched);
    void claimAddress(Entry& entry, RecordMs now, std::vector<std::string>& touched);
    void removeFromDestination(const Entry& entry);
    void releaseAddress(const Entry& entry);
    void pruneTombstones(RecordMs now, std::vector<std::string>& touched);
    void updateChurn(RecordMs now);

    Policy policy_;
    Entries entries_;
    std::unordered_map<std::uint64_t, std::vector<Entry*>> byDestination_;
    // Who has an address, as far as known; by the hash of the address, which saves a second copy of it. Where
    // two have one hash the younger stands there, and a reuse of the older's address would go unseen.
    std::unordered_map<std::size_t, Entry*> byAddress_;
    trust::Churn churn_;
    std::uint64_t index_ = 0, epoch_ = 0;
    bool discoveryLive_ = false;  // discovery is heard, in our numbering
    bool listReceived_ = false;   // a list of discovery was merged in this life
    RecordMs discoverySeenAt_ = 0, churnUpdatedAt_ = 0;
    double changesSinceUpdate_ = 0;  // since churnUpdatedAt_
    std::size_t presentCount_ = 0, tombstoneCount_ = 0;
};

}  // namespace laurelhaven::membership
