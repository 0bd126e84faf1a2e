// How far an entry of the list may be believed: from its age since somebody last confirmed it, from who that
// was, and from how often this fleet changes. Pure: times come in as values, and nothing here does I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace laurelhaven::trust {

using RecordMs = std::int64_t;  ///< milliseconds on the time line of src/clock: ages span restarts
using std::chrono::milliseconds;

/// Who confirmed an entry last.
enum class ConfirmationSource : std::uint8_t { configuration, discovery, delivery, probe };
const char* name(ConfirmationSource source);

/// What is done with an endpoint: as today; offered at a capped pace; nothing before a probe or discovery
/// confirms it; nothing until discovery names it.
enum class TrustLevel : std::uint8_t { confirmed, ageing, stale, refuted };
const char* name(TrustLevel level);

/// Why an entry is not believed whatever its age.
enum class RefutationReason : std::uint8_t {
    none,
    drained,
    deleted,
    missing,
    addressReassigned,
    rateLimitMismatch,
    unexpectedServer
};
const char* name(RefutationReason refutation);

struct Policy {
    milliseconds confirmedFor{30'000};          ///< a confirmation holds in full for so long
    double confirmedAbove = 0.9;                ///< and only while the figure is above this
    double staleBelow = 0.5;                    ///< figure under which nothing goes without a probe
    milliseconds halfLife{6 * 3'600'000};       ///< expected before anything of the fleet is known
    milliseconds halfLifeLeast{120'000};        ///< bounds of what is learnt
    milliseconds halfLifeMost{7 * 86'400'000};  ///< -"-
    milliseconds maxAge{7 * 86'400'000};        ///< older entries are refuted
    milliseconds blindLimit{3'600'000};         ///< without probes, older entries get nothing
    milliseconds configuredAge{600'000};        ///< taken as the age of a list in the configuration
    bool mayProbe = false;                      ///< the platform permits probes
    int senders = 1;                            ///< that hold such a list
    milliseconds probeSpread{400};              ///< within which those that restart together probe
};

struct Evidence {
    RecordMs confirmedAt = 0;
    ConfirmationSource confirmedBy = ConfirmationSource::configuration;
    RefutationReason refutation = RefutationReason::none;
    bool listedNow = false;        ///< discovery is heard now, and names it
    bool answeredThisRun = false;  ///< it has delivered or answered a probe in this life
    bool listedThisRun = false;    ///< discovery has named it in this life
    double rateLimit = 0;          ///< told calls a second of its destination; 0: not known
};

struct TrustAssessment {
    TrustLevel level = TrustLevel::stale;
    double confidence = 0;    ///< chance that the entry still holds, in [0, 1]
    milliseconds age{};       ///< since the confirmation; 0 where that lies in the future
    bool probeFirst = false;  ///< nothing before a probe, whatever the level: what befell it went unseen
    bool oneAtATime = false;  ///< ageing in the place of a probe: the destination is in doubt
    RecordMs validUntil = 0;  ///< when time alone changes the level; 0: never
};

/// The half-life of an entry in a fleet, learnt from how many entries changed in how long. The posterior mean
/// of a Poisson rate under a Gamma prior (Gelman et al., Bayesian Data Analysis, 3rd ed., 2.6) whose weight
/// is one change in a prior half-life; so a quiet fleet drifts up slowly and a busy one comes down at once.
class Churn {
  public:
    /// `entries` entries were watched for a span in which `changes` of them drained, went or moved.
    void observe(double entries, milliseconds span, double changes);
    milliseconds halfLife(const Policy& policy) const;
    double entrySeconds() const { return entrySeconds_; }
    double changes() const { return changes_; }
    void restore(double entrySeconds, double changes);

  private:
    double entrySeconds_ = 0, changes_ = 0;
};

/// A clock that was set back makes a confirmation lie in the future: its age is unknown then, and the entry
/// is judged as if it were as old as a list in the configuration.
TrustAssessment assess(const Evidence& evidence, const Policy& policy, milliseconds halfLife, RecordMs now);

/// One sentence for people: why, and what would change it.
std::string explain(const Evidence& evidence, const TrustAssessment& judgement, const Policy& policy,
                    milliseconds halfLife);

/// "3 d 4 h", "5 min 2 s", "250 ms".
std::string formatDuration(milliseconds time);

}  // namespace laurelhaven::trust
