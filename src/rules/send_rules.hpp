// The one place that decides whether an attempt may begin now: it knows which endpoints serve, which
// destinations told a wait and which attempts are open, from the moment at which that was heard.
//
// It has a lock of its own, held for a few instructions. What an answer or discovery tells is noted here
// before anything waits for the facade, whose lock may be held for long where the processor is short; so no
// attempt slips in between hearing and acting. Afterwards each attempt that was sent is held against the
// rules, and what does not fit is counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "rules/violations.hpp"

namespace laurelhaven::rules {

using Steady = std::chrono::steady_clock;
using TimePoint = Steady::time_point;
using std::chrono::milliseconds;

/// An endpoint as the list has it.
struct Endpoint {
    std::string address;
    std::uint64_t destination = 0;
    bool serving = false;
};

/// What an attempt is about to do.
struct Attempt {
    std::string message, endpoint, address;
    std::uint64_t destination = 0;
    int number = 0;          ///< from 1 on
    TimePoint deadline;      ///< its answer is not waited for any longer
    TimePoint keyWindowEnd;  ///< the end of its key's window, where it is a repeat by key
};

/// Why an attempt may not begin.
enum class Refusal {
    none,
    deadlinePassed,
    keyWindowPassed,
    endpointNotListed,
    endpointNotServing,
    addressChanged,
    waitAnnounced,
    alreadyOpen
};
std::string_view name(Refusal refusal);

struct Limits {
    milliseconds drainGrace{250};  ///< after which nothing new may go to an endpoint that was told to end
    int maxAttempts = 8;           ///< for one message
};

class SendRules {
  public:
    SendRules(const Limits& limits, Violations& violations) : limits_(limits), violations_(violations) {}

    // -- what has been told --
    void setEndpoint(const std::string& name, const Endpoint& endpoint);
    /// It drains, or has gone: nothing new may begin there from now on.
    void markNotServing(const std::string& name, TimePoint now);
    void removeEndpoint(const std::string& name, TimePoint now);
    /// Nothing may go to the destination until then. The later of two waits holds.
    void extendWait(std::uint64_t destination, TimePoint until, TimePoint now);
    /// The end of the wait that the destination told last; in the past where there is none.
    TimePoint waitUntil(std::uint64_t destination) const;
    /// Drops waits that are over and endpoints that ended long ago.
    void pruneExpired(TimePoint now);

    // -- deciding --
    Refusal check(const Attempt& attempt, TimePoint now) const;
    /// Checks, and opens the attempt where nothing speaks against it.
    Refusal begin(const Attempt& attempt, TimePoint now);
    /// It has been written, its first byte at that moment: that is held against the rules.
    void sent(const Attempt& attempt, TimePoint at);
    /// The attempt has its outcome, or never left.
    void end(const std::string& message);

    std::size_t waitCount() const;

  private:
    struct Wait {
        TimePoint announcedAt, until;
    };
    Refusal checkLocked(const Attempt& attempt, TimePoint now) const;

    Limits limits_;
    Violations& violations_;
    mutable std::mutex mutex_;
    std::unordered_map<std::string, Endpoint> endpoints_;
    std::unordered_map<std::string, TimePoint>
        notServingSince_;                           ///< endpoints that drain or have gone, since when
    std::map<std::uint64_t, Wait> waits_;           ///< by destination
    std::unordered_set<std::string> openAttempts_;  ///< messages with an attempt that has no outcome
};

}  // namespace laurelhaven::rules
