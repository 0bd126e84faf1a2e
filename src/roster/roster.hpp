// Owns the list of endpoints while the sender runs. It loads the saved endpoint list, merges the updates of
// discovery, assesses how far each entry can be trusted, publishes the endpoints that may be used to the
// decisions facade, probes those that only a probe can confirm, and saves the list at a bounded rate. The
// rules are in `membership` and `trust`; this module adds the I/O, one thread and the locks.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
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
#include "roster/endpoint_probe.hpp"
#include "threads/thread.hpp"
#include "trust/listed_limits.hpp"
#include "trust/probes.hpp"

namespace laurelhaven::roster {

using std::chrono::milliseconds;

/// The settings sections "kept-list" and "probes", and those of the modules below.
struct Options {
    bool saveList = true;                ///< the list is saved on disk
    double diskShare = 0.06;             ///< of the state folder's bytes, for the file and its replacement
    milliseconds writeEvery{1'000};      ///< at most one write in this time, unless an endpoint ends
    milliseconds confirmEvery{10'000};   ///< how often it is saved that discovery still confirms the list
    milliseconds outageMemory{300'000};  ///< after a restart, older outages count as unconfirmed only
    bool probesEnabled = true;           ///< probes are sent, provided that the platform permits them
    milliseconds probeTimeout{400};
    /// See trust::ListedLimits.
    double strangerFactor = 2;
    membership::Policy membership;
    trust::ProbePolicy probes;
};

/// Thread-safe. Calls the facade with its own lock held, so the facade must not call back except through
/// attemptFinished() and endpointNeeded().
class Roster {
  public:
    Roster(const config::Config& config, const Options& options, decisions::Decisions& decisions,
           clock::RecordClock& recordClock = clock::processClock());
    ~Roster() { stop(); }

    /// Loads the saved list, merges the configured one and publishes the result. Must be called first.
    void begin();
    /// The time up to which the saved list holds the outages that were seen; 0 without a list.
    trust::RecordMs healthKnownUntil() const { return healthKnownUntil_; }
    void start();
    /// Stops the thread and writes what is not saved yet.
    void stop();
    /// Tries again to write what stop() could not. True when nothing is left to write.
    bool flush();

    // -- called by the watch on discovery --
    /// Merges a full list or changes that came over the stream.
    membership::ListUpdateResult applyUpdate(const listing::EndpointList& list);
    /// Merges a full list that was requested when the index was `requestedAfter`. Ignores it if it is older
    /// than what came over the stream meanwhile.
    membership::ListUpdateResult applyFetchedList(const listing::EndpointList& list,
                                                  std::uint64_t requestedAfter);
    /// An empty line came: discovery is reachable and nothing changed.
    void heartbeat();
    /// The stream is known to use the same numbering as the list.
    void streamVerified();
    /// The stream ended. From now on entries age.
    void streamLost();
    /// The index of the list, in discovery's numbering.
    std::uint64_t index() const;
    /// The index after which a watch asks for changes. Before the first list of this process run it lies
    /// below index(), so that discovery answers at once.
    std::uint64_t watchAfter() const;

    // -- called by the facade with its lock held: these only queue work for the thread --
    void attemptFinished(const decisions::DueAttempt& attempt, const decisions::AttemptResult& result);
    /// A message came for a destination none of whose endpoints is serving, so a probe may be due now.
    void endpointNeeded(std::uint64_t destination);

    /// The number of entries of each trust level, and what was done for them.
    struct Counts {
        std::size_t confirmed = 0, ageing = 0, stale = 0, refuted = 0;
        std::uint64_t probes = 0, probesAnswered = 0, writes = 0;
        bool live = false;
    };
    Counts counts() const;

  private:
    struct EndpointOutcomes {  // of the attempts at one endpoint, at one address
        std::string address;
        double delivered = 0;
        bool unexpectedServer = false;
        bool turnedAway = false;  // without a reason that the answer would tell
    };
    using Steady = std::chrono::steady_clock;

    membership::ListUpdateResult merge(const listing::EndpointList& list);
    void run();
    void loadSavedList(trust::RecordMs now);
    void reassess(membership::Entry& entry, trust::RecordMs now, std::vector<listing::Endpoint>& changes);
    void reassessAll(trust::RecordMs now);
    void reassessEndpoints(const std::vector<std::string>& endpoints, trust::RecordMs now);
    void publish(const std::unordered_set<std::uint64_t>& destinations,
                 std::vector<listing::Endpoint> changes, bool saved = false);
    void updateUnconfirmed(const std::unordered_set<std::uint64_t>& destinations,
                           std::vector<decisions::DestinationHealth>& changes);
    void applyOutcomes(std::unordered_map<std::string, EndpointOutcomes> outcomes);
    bool isFirstUseAfterLongGap(std::uint64_t destination);
    std::size_t unprovenCount() const;
    std::vector<trust::ProbeCandidate> probeCandidates() const;
    void probeEndpoint(const std::string& endpoint);
    void applyProbe(const membership::Entry& entry, const ProbeAnswer& answer);
    trust::ListedLimits::Limit listedLimit(const membership::Entry& entry) const;
    const trust::ListedLimits& listedLimits();
    bool probeMayHelp(const membership::Entry& entry);
    bool probeStillAllowed(const std::string& endpoint, const std::string& address) const;
    void markUnsaved(const std::string& endpoint);
    void scheduleWrite();
    void retryWriteSoon();
    void write(trust::RecordMs now);
    std::vector<kept::DestinationHealth> changedDestinationHealth(trust::RecordMs now);
    void rewriteFile(trust::RecordMs now);

    const config::Config& config_;
    Options options_;
    decisions::Decisions& decisions_;
    clock::RecordClock& recordClock_;

    mutable std::mutex listMutex_;  // guards the list; taken before the facade's lock, never after it
    membership::Membership list_;
    std::unique_ptr<kept::SavedEndpointListFile> file_;
    trust::ProbeScheduler probes_;
    std::unordered_set<std::string> awaitingProbe_, unsaved_;
    std::optional<trust::ListedLimits> listedLimits_;  // of the entries as they are
    std::unordered_set<std::uint64_t> unconfirmed_;
    std::unordered_set<std::uint64_t> heldDestinations_;  // known at the start, and not usable since
    Steady::time_point begunAt_{};
    std::atomic<bool> listReceived_{false};  // from discovery, in this process run
    std::unordered_map<std::uint64_t, kept::DestinationHealth> savedHealth_;  // as on disk
    trust::RecordMs healthKnownUntil_ = 0;
    bool longAbsence_ = false, begun_ = false, rewriteNeeded_ = true;
    Steady::time_point reassessAt_{}, writeAt_{}, nextMarkAt_{}, lastWriteAt_{};
    std::uint64_t probesAnswered_ = 0, writes_ = 0;

    std::mutex outcomesMutex_;
    std::condition_variable_any wake_;
    std::unordered_map<std::string, EndpointOutcomes> outcomes_;
    bool urgent_ = false;
    // Attempts failed since the last write, so what is known of health may differ; a write is scheduled for
    // it.
    bool failureSeen_ = false, failureScheduled_ = false;
    bool isFailureUnscheduled() const { return failureSeen_ && !failureScheduled_; }
    std::stop_source stop_;
    threads::Thread thread_;
};

}  // namespace laurelhaven::roster
