// Decides whether an attempt may begin now. Knows which endpoints serve, which destinations have announced a
// wait and which attempts are open, each from the time at which that was reported.
//
// Safe for use by several threads: it has a mutex of its own, held for a few instructions. Reports by
// responses and by discovery are entered here before anything waits for the lock of decisions::Decisions,
// which can be held for long on a busy processor; so no attempt begins between a report and its processing.
// After an attempt has been sent it is checked against the rules once more, and violations are counted.
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

/// An endpoint of the current list of endpoints.
struct Endpoint {
    std::string address;
    std::uint64_t destination = 0;
    bool serving = false;
    std::int64_t startedAtMs = 0;  ///< identifies its process, at one address

    bool isSameProcess(const Endpoint& other) const {
        return address == other.address && destination == other.destination &&
               startedAtMs == other.startedAtMs;
    }
};

/// An attempt that is about to begin.
struct Attempt {
    std::string message;  ///< id of the message
    std::string endpoint, address;
    std::uint64_t destination = 0;
    int number = 0;             ///< from 1, without failed connects; used again after an unsent attempt, and
                                ///< not a store::AttemptNumber
    TimePoint attemptDeadline;  ///< when the attempt is abandoned: at the deadline of the message or earlier
    TimePoint keyWindowEnd;     ///< end of the key window if this is a repeat by key, else TimePoint::max()
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
    alreadyOpen,
    messageOver
};
/// The name used in logs and metrics.
std::string_view name(Refusal refusal);

/// Limits on attempts, from the configuration.
struct Limits {
    milliseconds drainGrace{250};  ///< time within which new attempts to a draining endpoint must stop
    int maxAttempts = 8;           ///< per message
};

/// Keeps what was reported and decides about attempts; see the head of this file.
class SendRules {
  public:
    SendRules(const Limits& limits, Violations& violations) : limits_(limits), violations_(violations) {}

    // -- reported state --
    /// Adds or replaces the endpoint with this name.
    void setEndpoint(const std::string& name, const Endpoint& endpoint);
    /// The endpoint is draining or gone: no attempt may begin there from now on.
    void markNotServing(const std::string& name, TimePoint now);
    /// The endpoint is no longer on the list.
    void removeEndpoint(const std::string& name, TimePoint now);
    /// The destination has announced a wait: no attempt to it may begin before `until`. A shorter wait does
    /// not replace a longer one that is still running.
    void extendWait(std::uint64_t destination, TimePoint until, TimePoint now);
    /// The end of the destination's announced wait; a time in the past if there is none.
    TimePoint waitUntil(std::uint64_t destination) const;
    /// Removes waits that are over, and what was reported more than 60 s ago of endpoints off the list and of
    /// messages that are over.
    void pruneExpired(TimePoint now);

    /// An endpoint has answered that this message is over or has had all its attempts: none may begin any
    /// more.
    void forbidAttempts(const std::string& message, TimePoint now);
    /// The message has been accepted, perhaps under the id of an earlier one.
    void allowAttempts(const std::string& message);

    // -- decisions --
    /// Checks an attempt without opening it: before it begins, or again while it is open.
    Refusal check(const Attempt& attempt, TimePoint now) const;
    /// Checks the attempt, and opens it if it may begin. A message with an open attempt gets no second one.
    Refusal begin(const Attempt& attempt, TimePoint now);
    /// The attempt has been written, its first byte at time `at`. Counts each rule that this violates.
    void sent(const Attempt& attempt, TimePoint at);
    /// The open attempt of this message has an outcome, or was not sent.
    void end(const std::string& message);

    /// Number of announced waits, including those that are over until pruneExpired() removes them.
    std::size_t waitCount() const;

  private:
    struct Wait {
        TimePoint announcedAt, until;
    };
    void rememberNotServing(const std::string& name, TimePoint now);
    Refusal checkLocked(const Attempt& attempt, TimePoint now) const;

    Limits limits_;
    Violations& violations_;
    mutable std::mutex mutex_;
    std::unordered_map<std::string, Endpoint> endpoints_;
    /// Endpoints that are draining or gone, and since when.
    std::unordered_map<std::string, TimePoint> notServingSince_;
    std::map<std::uint64_t, Wait> waits_;           ///< by destination
    std::unordered_set<std::string> openAttempts_;  ///< ids of messages with an attempt without outcome
    std::unordered_map<std::string, TimePoint> forbiddenSince_;  ///< by message
};

}  // namespace laurelhaven::rules
