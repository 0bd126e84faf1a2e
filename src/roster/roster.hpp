// The one owner of the list of endpoints while the sender runs. It loads the kept list, merges what discovery
// says, judges how far each entry may be believed, offers to the facade what may be sent to, probes what only
// a probe can confirm, and writes the list back at a bounded rate. One thread; the rules are in `membership`
// and `trust`.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <stop_token>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "clock/record_clock.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "kept/kept.hpp"
#include "membership/membership.hpp"
#include "threads/thread.hpp"
#include "trust/probes.hpp"

namespace laurelhaven::roster {

using std::chrono::milliseconds;

struct Options {
    bool saveList = true;            ///< a list is kept on disk
    double diskShare = 0.06;         ///< of the state folder's bytes, both copies counted
    milliseconds writeEvery{1'000};  ///< at most one write in this time
    milliseconds confirmEvery{
        10'000};  ///< how often discovery's silence that nothing changed is written down
    milliseconds outageMemory{300'000};  ///< a partner seen down longer ago is only in doubt
    bool probesEnabled = true;           ///< where the platform permits it
    milliseconds probeTimeout{400};
    double strangerFactor = 2;  ///< a limit told by a probe, off by more, is another partner's
    membership::Policy membership;
    trust::ProbePolicy probes;
};

class Roster {
  public:
    Roster(const config::Config& config, const Options& options, decisions::Decisions& decisions,
           clock::RecordClock& recordClock = clock::processClock());
    ~Roster() { stop(); }

    /// Reads the kept list and offers what it and the configuration give. Before anything else.
    void begin();
    /// Up to when the kept list knew of outages: what was seen later is not in it. 0 without a list.
    trust::RecordMs healthKnownUntil() const { return healthKnownUntil_; }
    void start();
    /// Writes what is not yet written.
    void stop();
    /// Tries once more to write what stop() could not. True when nothing is left to write.
    bool flush();

    // -- from the watch --
    membership::ListUpdateResult applyUpdate(const listing::EndpointList& list);
    /// A whole list that was asked for when the index was `asked`. One that is older than what came meanwhile
    /// is passed over.
    membership::ListUpdateResult applyFetchedList(const listing::EndpointList& list, std::uint64_t asked);
    /// A line without news came.
    void heartbeat();
    /// The stream was confirmed to count as we do, or ended.
    void streamVerified();
    void streamLost();
    std::uint64_t index() const;

    // -- from the facade, under its lock: these only leave word --
    void attemptFinished(const decisions::DueAttempt& call, const decisions::AttemptResult& result);
    void endpointNeeded(std::uint64_t destination);

    struct Counts {
        std::size_t confirmed = 0, ageing = 0, stale = 0, refuted = 0;
        std::uint64_t probes = 0, probesAnswered = 0, writes = 0;
        bool live = false;
    };
    Counts counts() const;

  private:
    struct EndpointOutcomes {  // what came in about one endpoint, at one address
        std::string address;
        double delivered = 0;
        bool unexpectedServer = false;
    };
    using Steady = std::chrono::steady_clock;

    membership::ListUpdateResult merge(const listing::EndpointList& list);
    void run();
    void loadSavedList(trust::RecordMs now);
    void reassess(membership::Entry& entry, trust::RecordMs now, std::vector<listing::Endpoint>& news);
    void reassessAll(trust::RecordMs now);
    void reassessEndpoints(const std::vector<std::string>& endpoints, trust::RecordMs now);
    void publish(const std::unordered_set<std::uint64_t>& destinations, std::vector<listing::Endpoint> news,
                 bool saved = false);
    void updateUnconfirmed(const std::unordered_set<std::uint64_t>& destinations,
                           std::vector<decisions::DestinationHealth>& told);
    void applyOutcomes(std::unordered_map<std::string, EndpointOutcomes> word);
    std::vector<trust::ProbeCandidate> probeCandidates() const;
    void probeEndpoint(const std::string& endpoint);
    bool probeStillAllowed(const std::string& endpoint, const std::string& at) const;
    void markUnsaved(const std::string& endpoint);
    void write(trust::RecordMs now);
    std::vector<kept::DestinationHealth> changedDestinationHealth(trust::RecordMs now);
    void rewriteFile(trust::RecordMs now);

    const config::Config& config_;
    Options options_;
    decisions::Decisions& decisions_;
    clock::RecordClock& recordClock_;

    mutable std::mutex listMutex_;  // the list; held while the facade is told, never the other way round
    membership::Membership list_;
    std::unique_ptr<kept::SavedEndpointListFile> file_;
    trust::ProbeScheduler probes_;
    std::unordered_set<std::string> awaitingProbe_, unsaved_;
    std::unordered_set<std::uint64_t> unconfirmed_;
    std::unordered_map<std::uint64_t, kept::DestinationHealth> savedHealth_;  // as written
    trust::RecordMs healthKnownUntil_ = 0;
    bool longAbsence_ = false, begun_ = false, rewriteNeeded_ = true;
    Steady::time_point reassessAt_{}, writeAt_{}, nextMarkAt_{}, lastWriteAt_{};
    std::uint64_t probesAnswered_ = 0, writes_ = 0;

    std::mutex outcomesMutex_;
    std::condition_variable_any wake_;
    std::unordered_map<std::string, EndpointOutcomes> outcomes_;
    bool urgent_ = false;
    std::stop_source stop_;
    threads::Thread thread_;
};

}  // namespace laurelhaven::roster
