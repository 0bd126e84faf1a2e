// The rules that a sender keeps towards endpoints, clients and the platform, and counters of violations seen
// at run time. Nothing is decided here: the code that acts checks the result afterwards, and counts and logs
// each rule that was violated. A count above zero is a fault of the program.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace laurelhaven::rules {

/// A rule, named as in logs and metrics by name().
enum class Rule {
    drain,        ///< no new attempt to an endpoint after the drain grace
    wait,         ///< no attempt to a destination during a wait that it announced
    overlap,      ///< no two attempts of one message at the same time
    attempts,     ///< no more attempts of one message than configured
    record,       ///< no first byte of an attempt before the attempt is in the journal
    deadline,     ///< no attempt begins after it would be abandoned, at its message's deadline or earlier
    keyWindow,    ///< no repeat outside the key window
    finalAnswer,  ///< exactly one final answer for each accepted message
    lateEnd,      ///< no end over 300 ms after the deadline, for messages accepted in this run
    ownOutcome,   ///< an outcome or an end is recorded only for the attempt or message it belongs to
    ownResponse,  ///< a response is taken only for the request it belongs to
    afterEnd      ///< no attempt after an endpoint has answered that the message is over or exhausted
};
constexpr std::size_t kRuleCount = 12;
/// The name used in logs and metrics.
std::string_view name(Rule rule);

/// Counters of violations. Safe for use by several threads.
class Violations {
  public:
    /// Counts one violation and logs it. `subject`: the message or attempt concerned.
    void count(Rule rule, std::string_view subject, std::string_view detail);
    std::uint64_t countOf(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
    /// The sum over all rules.
    std::uint64_t total() const;

  private:
    std::array<std::atomic<std::uint64_t>, kRuleCount> counts_{};
};

}  // namespace laurelhaven::rules
