#include "rules/response_meaning.hpp"

#include <array>
#include <charconv>

namespace laurelhaven::rules {
namespace {

constexpr std::string_view kVersion = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

/// The status in a status line that begins with its version; 0: there is none.
int statusOf(std::string_view line) {
    const auto space = line.find(' ');
    if (space != kVersion.size() + 1) return 0;
    const auto digits = line.substr(space + 1, kStatusDigits);
    int status = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), status);
    const bool whole = error == std::errc{} && end == digits.data() + kStatusDigits;
    return whole ? status : 0;
}

/// Whether the status says that the message has not run.
bool neverRan(int status) {
    return status == kTooManyRequests || status == kUnavailable || endsAttempts(status);
}

}  // namespace

std::string_view name(MessageFate fate) {
    static constexpr std::array<std::string_view, 4> kNames{"open", "delivered", "over", "end_owed"};
    return kNames[static_cast<std::size_t>(fate)];
}

ResponseMeaning meaningOf(int status, Reliability reliability) {
    const bool proven = reliability == Reliability::proven;
    if (status == kDelivered) {
        // The status line alone reports the delivery.
        const bool delivered = reliability != Reliability::unattributed;
        return {delivered ? MessageFate::delivered : MessageFate::open, true};
    }
    ResponseMeaning meaning;
    meaning.mayHaveRun = !(proven && neverRan(status));
    if (endsAttempts(status))
        meaning.fate = proven && status == kMessageOver ? MessageFate::over : MessageFate::endOwed;
    return meaning;
}

bool endsAttempts(int status) { return status == kMessageOver || status == kAttemptsExhausted; }

bool anyEndsAttempts(std::string_view bytes) {
    for (auto at = bytes.find(kVersion); at != std::string_view::npos; at = bytes.find(kVersion, at + 1))
        if (endsAttempts(statusOf(bytes.substr(at)))) return true;
    return false;
}

}  // namespace laurelhaven::rules
