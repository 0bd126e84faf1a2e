// Decides how far an entry of the endpoint list can be trusted: by the time since it was last confirmed, by
// what confirmed it, and by how often endpoints of this fleet change. Pure functions and values: times are
// passed in and nothing does I/O, so everything here may be used from any thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace laurelhaven::trust {

/// Milliseconds of clock::RecordClock, which continues across restarts, so that ages span them.
using RecordMs = std::int64_t;
using std::chrono::milliseconds;

/// What confirmed an entry last. The numbers are stored in the saved endpoint list.
enum class ConfirmationSource : std::uint8_t { configuration, discovery, delivery, probe };
/// The name as printed by `laurelhaven list`; a delivery is printed as "call".
const char* name(ConfirmationSource source);

/// How an endpoint is used.
enum class TrustLevel : std::uint8_t {
    confirmed,  ///< at the usual pace
    ageing,     ///< at a capped pace, which successful deliveries raise
    stale,      ///< not used before a probe or discovery confirms it
    refuted     ///< not used until discovery lists it again
};
const char* name(TrustLevel level);

/// Why an entry is refuted whatever its age. The numbers are stored in the saved endpoint list.
enum class RefutationReason : std::uint8_t {
    none,               ///< printed as "nothing"
    drained,            ///< discovery reported it as draining; printed as "draining"
    deleted,            ///< discovery reported it as deleted
    missing,            ///< a full list of discovery, or a newer configured list, left it out
    addressReassigned,  ///< a younger entry has its address; printed as "address-taken"
    rateLimitMismatch,  ///< a probe announced the rate limit of another destination; "other-partner"
    unexpectedServer    ///< it answered as a server that does not know such messages; "not-ours"
};
const char* name(RefutationReason refutation);

/// The thresholds, in the settings section "trust" except for the last three.
struct Policy {
    milliseconds confirmedFor{30'000};          ///< an entry is `confirmed` for at most this long ...
    double confirmedAbove = 0.9;                ///< ... and while its confidence is at least this
    double staleBelow = 0.5;                    ///< below this confidence an entry is stale
    milliseconds halfLife{6 * 3'600'000};       ///< assumed while nothing is known about the fleet
    milliseconds halfLifeLeast{120'000};        ///< lower bound of the learnt half-life
    milliseconds halfLifeMost{7 * 86'400'000};  ///< upper bound of the learnt half-life
    milliseconds maxAge{7 * 86'400'000};        ///< older entries are refuted
    /// Where probes are not permitted, entries below `staleBelow` are ageing up to this age, with one attempt
    /// at a time, and stale after it.
    milliseconds blindLimit{3'600'000};
    milliseconds configuredAge{600'000};  ///< least age of entries whose real age is unknown
    bool mayProbe = false;                ///< the platform permits probes
    int senders = 1;                      ///< senders that share the endpoints
    milliseconds probeSpread{400};        ///< senders that restart together probe within this time
};

/// What is known about one entry.
struct Evidence {
    RecordMs confirmedAt = 0;
    ConfirmationSource confirmedBy = ConfirmationSource::configuration;
    RefutationReason refutation = RefutationReason::none;
    bool listedNow = false;  ///< the watch on discovery is open, and discovery lists the endpoint
    /// Delivered, or answered a probe as the expected server, since this process started.
    bool answeredThisRun = false;
    bool listedThisRun = false;  ///< listed by discovery since this process started
    double rateLimit = 0;        ///< announced requests per second of its destination; 0: unknown
};

struct TrustAssessment {
    TrustLevel level = TrustLevel::stale;
    double confidence = 0;  ///< probability that the entry is still right, in [0, 1]
    milliseconds age{};     ///< since the confirmation; 0 while listed; at least `configuredAge` if undated
    /// Neither discovery nor an answer has shown in this process run that the address still belongs to the
    /// endpoint. It gets no message, whatever the level, and the answer to a probe alone changes nothing.
    bool needsProof = false;
    bool probeFirst = false;  ///< no message before that proof, or before the answer to a probe
    bool oneAtATime = false;  ///< the first message stands in for a probe, so attempts go out one by one
    RecordMs validUntil = 0;  ///< when the passing of time alone changes the level; 0: never
};

/// Learns the half-life of the entries of a fleet from the number of entries that changed in a given time.
/// It is the posterior mean of a Poisson rate under a Gamma prior (Gelman et al., Bayesian Data Analysis, 3rd
/// ed., 2.6) that weighs a tenth of a change. So the estimate for a fleet without changes rises slowly, and
/// that for a fleet with many changes falls at once.
class Churn {
  public:
    /// `entries` entries were watched for a span in which `changes` of them drained, were removed or moved to
    /// another address.
    void observe(double entries, milliseconds span, double changes);
    milliseconds halfLife(const Policy& policy) const;
    /// Sum of the times for which entries were watched, in seconds.
    double entrySeconds() const { return entrySeconds_; }
    double changes() const { return changes_; }
    /// Continues from stored values. Ignores values that are negative or not finite.
    void restore(double entrySeconds, double changes);

  private:
    double entrySeconds_ = 0, changes_ = 0;
};

/// Whether the first requests of all senders that restart together are within the rate limit.
bool firstRequestsFit(const Policy& policy, double rateLimit);

/// Assesses an entry at the time `now`. Where the clock was set back and a confirmation lies in the future,
/// the age is unknown, and the entry is treated as if it were as old as one of the configuration.
TrustAssessment assess(const Evidence& evidence, const Policy& policy, milliseconds halfLife, RecordMs now);

/// One sentence for operators that gives the reason for an assessment and what would change it.
std::string explain(const Evidence& evidence, const TrustAssessment& assessment, const Policy& policy,
                    milliseconds halfLife);

/// A duration in its two largest units, such as "3 d 4 h", "5 min 2 s" or "250 ms".
std::string formatDuration(milliseconds time);

}  // namespace laurelhaven::trust
