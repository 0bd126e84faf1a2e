// Hands messages in at senders over HTTP/1.1, open-loop: each at its own moment, whatever the answers to
// others are doing, over as many connections as that takes. Times are counted from the moment at which a
// message was due, so that a sender that stalls can't hide it by holding the load back (coordinated omission:
// Tene, How NOT to Measure Latency, 2013); the times since the send are kept beside them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "trace/summary.hpp"

namespace laurelhaven::load {

using Steady = std::chrono::steady_clock;
using Moment = Steady::time_point;
using Instant = std::chrono::nanoseconds;  ///< since the run's beginning

/// A message that a client wants handed in.
struct Message {
    Instant at{};
    std::uint64_t destination = 0;
    std::string tenant = "acme", grade = "notice", key;
    std::size_t bytes = 200;
    std::chrono::milliseconds deadline{10000};
};

/// What a client does that is not served.
struct Policy {
    int tries = 4;                               ///< of one message, the first included
    std::chrono::milliseconds pause{400};        ///< after a refusal that advises nothing, or no answer
    std::chrono::milliseconds patience{400};     ///< for an answer
    std::chrono::milliseconds adviceMost{3000};  ///< they come again after so long at most
};

struct Options {
    std::vector<std::string> senders;  ///< addresses, used by turns
    int threads = 1;
    int connections = 256;  ///< at the most, all threads together
    Policy policy;
    /// Called before the first byte of a try, from any of the threads.
    std::function<void(const std::string& id, std::size_t message)> trying;
    /// Called about once a second from one of the threads.
    std::function<void(const struct Progress&)> progress;
};

struct Progress {
    double seconds = 0;
    std::uint64_t due = 0, taken = 0, refused = 0, unanswered = 0;
};

/// What became of one message, at the senders' front.
struct Handed {
    Moment due, answered;            ///< answered: the last answer
    int tries = 0, status = 0;       ///< of the last try; 0: no answer
    std::vector<std::string> taken;  ///< ids under which a sender took it on
};

/// Times in seconds. All answers count, refusals too.
struct Times {
    trace::Spread sinceDue{1e-5, 100}, sinceSent{1e-5, 100};
    trace::Spread late{1e-6, 100};  ///< between the moment at which a try was due and its send
};

struct Result {
    std::vector<Handed> messages;  ///< in the order given
    Times times;
    std::uint64_t tries = 0, connects = 0;
    double seconds = 0;      ///< until the last message was due
    std::uint64_t most = 0;  ///< connections at once
};

/// Plays the load and returns when every message has had its last answer or its deadline. Messages are in the
/// order of their moments. Throws std::invalid_argument for an address that can't be read, and
/// std::system_error.
Result play(const std::vector<Message>& messages, const Options& options, Moment begin = Steady::now());

}  // namespace laurelhaven::load
