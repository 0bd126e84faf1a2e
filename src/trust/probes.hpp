// Decides which endpoint is probed next, and when. Endpoints of destinations with waiting messages go first;
// a rate limit of the sender and one of each destination bound the probes; the first probes are spread by
// jitter, and those after a failure by exponential backoff. No I/O: times are passed in and random numbers
// come from a seed. Not thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laurelhaven::trust {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

struct ProbePolicy {
    double perSecond = 20;             ///< probes of this sender, to all destinations together
    double coldShare = 0.15;           ///< share of the cold budget of a destination that probes may use
    double coldBudget = 0.38;          ///< requests per second that a destination in warm-up may get from all
                                       ///< senders, as a share of its rate limit: overload multiple x cold
                                       ///< capacity share, at most 1
    int senders = 1;                   ///< senders that share the cold budget
    milliseconds jitter{400};          ///< the first probes after a start are spread over this time
    milliseconds backOff{1'000};       ///< pause after a failed probe, doubled with each further failure
    milliseconds backOffMost{60'000};  ///< upper bound of that pause
};

/// An endpoint that must answer a probe before it gets messages.
struct ProbeCandidate {
    std::string endpoint;
    std::uint64_t destination = 0;
    double rateLimit = 0;             ///< announced requests per second of the destination; 0: unknown
    std::size_t waitingMessages = 0;  ///< messages that wait for the destination now
    double traffic = 0;               ///< earlier deliveries to the endpoint, halved at each start
    TimePoint waitUntil{};            ///< end of an announced wait, which holds for probes too
    bool otherEndpointUsable = true;  ///< another endpoint of the destination gets messages
};

/// Schedules the probes of one sender.
class ProbeScheduler {
  public:
    ProbeScheduler(const ProbePolicy& policy, std::uint64_t seed) : policy_(policy), random_(seed) {}
    /// Sets the time from which the jitter of the first probes counts. Where a message waits for the
    /// destination, only a fifth of the jitter applies.
    void begin(TimePoint now) { startedAt_ = now; }

    /// Either the endpoint to probe now, or when to call next() again. Empty: when the candidates change.
    struct Next {
        std::optional<std::string> endpoint;
        std::optional<TimePoint> checkAgainAt;
    };
    /// Chooses the endpoint to probe now, and counts that probe as sent.
    Next next(const std::vector<ProbeCandidate>& candidates, TimePoint now);
    /// The result of a probe. A failure starts or doubles the backoff of the endpoint; a success ends it.
    void recordAnswer(const std::string& endpoint, bool good, TimePoint now);
    /// Drops the history of everything that is not among the candidates, which bounds the memory used.
    void retain(const std::vector<ProbeCandidate>& candidates);

    std::uint64_t sent() const { return sent_; }

  private:
    struct ProbeHistory {
        int failures = 0;  // in a row
        TimePoint notBefore{};
        bool jitterDrawn = false;
        double jitterShare = 0;  // random share of the jitter, in [0, 1)
    };
    /// When the endpoint may be probed at the earliest.
    TimePoint earliestProbe(const ProbeCandidate& candidate);

    ProbePolicy policy_;
    std::mt19937_64 random_;
    TimePoint startedAt_{};
    TimePoint nextSenderProbeAt_{};
    std::map<std::uint64_t, TimePoint> lastProbeAt_;
    std::map<std::string, ProbeHistory> history_;
    std::uint64_t sent_ = 0;
};

}  // namespace laurelhaven::trust
