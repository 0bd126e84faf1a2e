// What a trace holds: the load that came in and what partners answered, without bodies and with ids that are
// hashed. Plain values, independent of the sender that captured them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace laurelhaven::trace {

using Micros = std::int64_t;  ///< Unix time in microseconds
/// No record of a trace lies further from 1970 than 285 years, so that times may be added and taken from one
/// another; what a file says beyond that is damage.
constexpr Micros kFarthest = Micros{1} << 53;

enum class Verdict : std::uint8_t { taken, refused, failed, conflict };
const char* name(Verdict verdict);

/// How one call ended, as the README names it.
enum class Ending : std::uint8_t {
    delivered,
    error,
    turnedAway,
    timedOut,
    noConnection,
    reset,
    cancelled,
    notSent
};
constexpr std::size_t kEndings = 8;
const char* name(Ending ending);

/// A message was handed in.
struct Arrival {
    Micros at = 0;
    std::uint64_t id = 0;  ///< salted hash
    std::string grade, tenant;
    std::uint64_t destination = 0;
    std::uint64_t bytes = 0, deadlineMs = 0;
    Verdict verdict = Verdict::taken;
    std::uint64_t retryAfterMs = 0;  ///< what a refusal told its client; 0: nothing
    bool operator==(const Arrival&) const = default;
};

/// A call ended.
struct Answer {
    Micros at = 0;
    std::uint64_t id = 0;
    std::uint64_t destination = 0;
    std::string endpoint;
    std::uint64_t attempt = 0;  ///< from 0
    Ending ending = Ending::delivered;
    std::uint64_t tookUs = 0;        ///< since it was sent
    std::uint64_t waitMs = 0;        ///< told with a refusal
    std::uint64_t allowedMilli = 0;  ///< the limit told, in thousandths of a call a second; 0: not told
    bool operator==(const Answer&) const = default;
};

/// A message ended undelivered.
struct End {
    Micros at = 0;
    std::uint64_t id = 0;
    bool failed = false;  ///< else returned
    bool operator==(const End&) const = default;
};

/// So many records were dropped rather than delay a message.
struct Dropped {
    Micros at = 0;
    std::uint64_t records = 0;
    bool operator==(const Dropped&) const = default;
};

using Record = std::variant<Arrival, Answer, End, Dropped>;

/// Spreads a number over all 64 bits (the finaliser of SplitMix64; Steele, Lea and Flood, OOPSLA 2014).
constexpr std::uint64_t mixed(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
    value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

Micros at(const Record& record);
void setAt(Record& record, Micros at);

}  // namespace laurelhaven::trace
