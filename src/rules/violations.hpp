// The rules that a sender keeps towards its partners, clients and platform, and a count of the times that
// one was seen broken while running. Nothing is decided here: whoever acts checks the act afterwards, and
// what does not hold is counted and logged. A count above zero is a fault of the program.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace laurelhaven::rules {

enum class Rule {
    drain,        ///< nothing new to an endpoint past the drain grace
    wait,         ///< nothing to a destination during a wait that it told
    overlap,      ///< no two attempts of one message at once
    attempts,     ///< no more attempts than the settings allow
    record,       ///< no first byte without its attempt on record
    deadline,     ///< no call begins after its message's deadline
    keyWindow,    ///< no repeat outside its key's window
    finalAnswer,  ///< one end for each message that was taken on
    lateEnd,      ///< and that in time
    ownOutcome    ///< an outcome or an end is recorded only for the very attempt or message that it is of
};
constexpr std::size_t kRuleCount = 10;
std::string_view name(Rule rule);

/// Counts violations. Safe for use by several threads.
class Violations {
  public:
    /// Counts one, and logs it with what it concerns.
    void count(Rule rule, std::string_view subject, std::string_view detail);
    std::uint64_t countOf(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
    std::uint64_t total() const;

  private:
    std::array<std::atomic<std::uint64_t>, kRuleCount> counts_{};
};

}  // namespace laurelhaven::rules
