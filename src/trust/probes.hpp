// Which endpoint is probed next, and when: a budget for the sender and for each destination, demand first,
// jitter at the start, back off after silence. Pure: times come in, chance comes from a seed.
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
    double perSecond = 20;        ///< probes of this sender, all destinations together
    double coldShare = 0.15;      ///< of the calls a second that a cold partner may be sent by this sender
    double coldBudget = 0.38;     ///< that budget, as a share of the told rate: fall-multiple x cold-from
    int senders = 1;              ///< who share it
    milliseconds jitter{400};     ///< the first probes of a life spread over this
    milliseconds backOff{1'000};  ///< after a probe in vain, doubled each time
    milliseconds backOffMost{60'000};
};

/// An endpoint that only a probe could confirm.
struct ProbeCandidate {
    std::string endpoint;
    std::uint64_t destination = 0;
    double rateLimit = 0;             ///< told calls a second of the destination; 0: not known
    std::size_t waitingMessages = 0;  ///< messages that wait for the destination now
    double traffic = 0;               ///< calls that it got in the past, as far as remembered
    TimePoint waitUntil{};            ///< a told wait: no probe before
    bool destinationUsable = true;    ///< another endpoint of the destination gets messages
};

class ProbeScheduler {
  public:
    ProbeScheduler(const ProbePolicy& policy, std::uint64_t seed) : policy_(policy), random_(seed) {}
    /// The moment that the jitter of the first probes counts from. A destination for which a message waits is
    /// jittered by a fifth of it only.
    void begin(TimePoint now) { startedAt_ = now; }

    /// What is to be probed now, if anything; else when to ask again (nothing: not before something changes).
    struct Next {
        std::optional<std::string> endpoint;
        std::optional<TimePoint> checkAgainAt;
    };
    Next next(const std::vector<ProbeCandidate>& candidates, TimePoint now);
    void recordAnswer(const std::string& endpoint, bool good, TimePoint now);
    /// Forgets what is no candidate any more, so that the tables stay as small as the list.
    void retain(const std::vector<ProbeCandidate>& candidates);

    std::uint64_t sent() const { return sent_; }

  private:
    struct ProbeHistory {
        int failures = 0;
        TimePoint notBefore{};
        bool jitterDrawn = false;
        double jitterShare = 0;  // its part of the jitter
    };
    TimePoint earliestProbe(const ProbeCandidate& c);

    ProbePolicy policy_;
    std::mt19937_64 random_;
    TimePoint startedAt_{};
    TimePoint nextSenderProbeAt_{};
    std::map<std::uint64_t, TimePoint> lastProbeAt_;
    std::map<std::string, ProbeHistory> history_;
    std::uint64_t sent_ = 0;
};

}  // namespace laurelhaven::trust
