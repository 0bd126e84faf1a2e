// The known endpoints, merged from three sources: the endpoint list saved on disk, the list in the
// configuration, and discovery. Assesses for each endpoint whether messages may go there now. No I/O and no
// clock: times are passed in. Not synchronized.
//
// Invariants: changes from discovery with an index below the known one are not merged, a full list is, as
// discovery has lost its history then; an endpoint that drained, was deleted or was left out returns to
// service only by a higher index, by a later start of the endpoint or after tombstoneHold, as long as its
// tombstone is kept; an endpoint missing from a full list of discovery gets no more messages, however
// implausible that list is.
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

/// Limits for implausible lists and for tombstones, the entries of endpoints that left service.
struct Policy {
    trust::Policy trust;
    /// After the first list of a run, a full list with fewer serving endpoints than this share of the known
    /// ones is suspicious ...
    double shrinkShare = 0.5;
    std::size_t shrinkLeast = 4;          ///< ... if at least this many were known
    milliseconds shrinkHold{30'000};      ///< how long the endpoints it leaves out stay suspended
    milliseconds tombstoneHold{600'000};  ///< after it, any update that lists the endpoint as serving ends it
    milliseconds tombstoneAge{86'400'000};  ///< older tombstones are deleted
    std::size_t tombstones = 512;           ///< the maximum number; the oldest are deleted first
};

/// One endpoint with the evidence for and against it.
struct Entry {
    listing::Endpoint endpoint;  ///< as last listed
    std::uint64_t index = 0;     ///< index of the list that last contained it
    RecordMs firstListedAt = 0;
    RecordMs confirmedAt = 0;  ///< see Membership::evidence() for the time while discovery is live
    RecordMs refutedAt = 0;    ///< when `refutation` was set
    double deliveries = 0;     ///< messages it accepted; halved at each start
    trust::ConfirmationSource confirmedBy = trust::ConfirmationSource::configuration;
    trust::RefutationReason refutation = trust::RefutationReason::none;
    bool listedNow = false;         ///< discovery listed or confirmed it on the present stream
    bool answeredThisRun = false;   ///< see trust::Evidence
    bool deliveredThisRun = false;  ///< it accepted a message in this process run
    bool awaitsDiscovery = false;   ///< no answer can prove it in this process run, only discovery
    bool listedThisRun = false;     ///< discovery listed it in this process run
    bool suspended = false;         ///< left out by a suspiciously small list; gets no messages
    trust::TrustLevel trustLevel = trust::TrustLevel::refuted;  ///< as last assessed; set by the roster
    bool probeFirst = false;  ///< as last assessed: no message before a probe or proof; set by the roster
    bool needsProof = false;  ///< as last assessed: no message before a proof; set by the roster
    /// True if the endpoint left service; suspended endpoints have not.
    bool isTombstone() const { return refutation != trust::RefutationReason::none && !suspended; }
};

/// Orders and finds entries by the name that they hold, so that no second copy of it is stored.
struct OrderByName {
    using is_transparent = void;
    static std::string_view key(std::string_view name) { return name; }
    static std::string_view key(const std::unique_ptr<Entry>& entry) { return entry->endpoint.name; }
    bool operator()(const auto& a, const auto& b) const { return key(a) < key(b); }
};
using Entries = std::set<std::unique_ptr<Entry>, OrderByName>;

/// The result of merging a list from discovery.
struct ListUpdateResult {
    enum class Kind {
        merged,          ///< the list was merged
        unchanged,       ///< it has nothing new
        fullListNeeded,  ///< its index does not fit the known one; request the full list
        lostHistory      ///< a full list of lower index was merged: discovery lost its history
    };
    Kind kind = Kind::merged;
    std::vector<std::string> touched;  ///< names of endpoints whose entries changed
    std::size_t suspended = 0;         ///< number of endpoints that a suspiciously small list left out
};

/// The entries of all known endpoints, by name, destination and address.
class Membership {
  public:
    explicit Membership(const Policy& policy) : policy_(policy) {}

    // At the start, in this order:

    /// Restores an entry of the saved endpoint list.
    void restore(Entry entry);
    /// Restores the saved index, epoch (how often discovery's index fell) and churn (rate of changes).
    void restore(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn);
    /// Merges the list of the configuration: it replaces older entries if its index is higher than that of
    /// the saved list or if there is no saved list, and is ignored otherwise.
    void applyConfiguration(const listing::EndpointList& list, RecordMs now);

    // While running:

    /// Merges a list from discovery, full or only of changes.
    ListUpdateResult applyUpdate(const listing::EndpointList& list, RecordMs now);
    /// Discovery is reachable and has nothing new. `verified`: its index is known to continue ours.
    void discoverySeen(RecordMs now, bool verified);
    /// The stream from discovery ended: from now on, confirmations age.
    void discoveryLost(RecordMs now);
    /// The endpoint accepted `count` messages or answered a probe.
    void recordAnswer(const std::string& endpoint, trust::ConfirmationSource by, RecordMs now,
                      double count = 1);
    /// The server at the address turned out not to be the endpoint. Ignored, returning false, while discovery
    /// lists the endpoint.
    bool refuteByAnswer(const std::string& endpoint, trust::RefutationReason reason, RecordMs now);
    /// The endpoint's answer contradicts a proof that was not discovery's, so only discovery can prove it
    /// from now on. Ignored, returning false, if discovery has named it in this process run, or if it has
    /// accepted a message.
    bool withdrawProof(const std::string& endpoint);
    /// The endpoint answers without a report, so no answer can prove it in this process run.
    void expectNoProof(const std::string& endpoint);
    /// Turns expired suspensions into tombstones and deletes expired tombstones. Returns the changed
    /// endpoints.
    std::vector<std::string> expire(RecordMs now);

    // Queries:

    trust::Evidence evidence(const Entry& entry) const;
    trust::TrustAssessment assess(const Entry& entry, RecordMs now) const;
    milliseconds halfLife() const { return churn_.halfLife(policy_.trust); }
    const Entry* find(const std::string& endpoint) const;
    Entry* find(const std::string& endpoint);
    /// Returns the endpoints of a destination, in no particular order.
    const std::vector<Entry*>& endpointsOf(std::uint64_t destination) const;
    const Entries& entries() const { return entries_; }
    std::size_t tombstoneCount() const;
    std::uint64_t index() const { return index_; }
    std::uint64_t epoch() const { return epoch_; }
    const trust::Churn& churn() const { return churn_; }
    bool discoveryLive() const { return discoveryLive_; }
    /// A list from discovery was merged in this process run.
    bool listReceived() const { return listReceived_; }
    RecordMs discoverySeenAt() const { return discoverySeenAt_; }

  private:
    Entry& findOrCreate(const listing::Endpoint& listed);
    void remove(const std::string& endpoint);
    bool mergeEndpoint(const listing::Endpoint& update, std::uint64_t index, RecordMs now, bool lostHistory,
                       std::vector<std::string>& touched);
    void refute(Entry& entry, trust::RefutationReason reason, RecordMs now,
                std::vector<std::string>& touched);
    void claimAddress(Entry& entry, RecordMs now, std::vector<std::string>& touched);
    void removeFromDestination(const Entry& entry);
    void releaseAddress(const Entry& entry);
    void pruneTombstones(RecordMs now, std::vector<std::string>& touched);
    void updateChurn(RecordMs now);

    Policy policy_;
    Entries entries_;
    std::unordered_map<std::uint64_t, std::vector<Entry*>> byDestination_;
    // The endpoint at each address, by the hash of the address, which saves a second copy of it. If two
    // hashes collide, only the later entry is found, and a reuse of the other one's address goes unnoticed.
    std::unordered_map<std::size_t, Entry*> byAddress_;
    trust::Churn churn_;
    std::uint64_t index_ = 0, epoch_ = 0;
    bool discoveryLive_ = false;  // discovery is reachable and its index continues ours
    bool listReceived_ = false;   // a list from discovery was merged in this process run
    RecordMs discoverySeenAt_ = 0, churnUpdatedAt_ = 0;
    double changesSinceUpdate_ = 0;  // entries that changed since churnUpdatedAt_
    std::size_t presentCount_ = 0;   // entries that are no tombstones
    std::size_t tombstoneCount_ = 0;
};

}  // namespace laurelhaven::membership
