#include "rules/connection_rules.hpp"

namespace laurelhaven::rules {
namespace {

using std::chrono::milliseconds;

// Idle connections go after so long, silent ones, and those in the middle of a request. A usual client sends
// its request whole, as soon as it has connected.
constexpr milliseconds kRested{2000};
constexpr milliseconds kSilent{300};
constexpr milliseconds kSlow{600};

// In the order in which they go.
constexpr int kStays = 0;
constexpr int kIdleOfLate = 1;
constexpr int kSlowRequest = 2;
constexpr int kSilentSoFar = 3;
constexpr int kRestedLong = 4;
constexpr int kDoneWith = 5;

}  // namespace

// Those that have had their last answer go first, then the one that stood longest between requests (its
// client sends again on a new one), then the one silent longest since it connected, then the one slowest with
// its request. Where usual clients connect anew for each message and stay, none has rested yet: a newcomer's
// request is worth more than any connection between requests, so the one used longest ago goes then. None
// goes whose request has come whole, and none so young that a usual client might still be at it.
int closePriority(ConnectionPhase phase, std::chrono::nanoseconds age, bool askedToClose) {
    if (askedToClose) return kStays;
    switch (phase) {
        case ConnectionPhase::draining: return kDoneWith;
        case ConnectionPhase::idle: return age >= kRested ? kRestedLong : kIdleOfLate;
        case ConnectionPhase::fresh: return age >= kSilent ? kSilentSoFar : kStays;
        case ConnectionPhase::reading: return age >= kSlow ? kSlowRequest : kStays;
        case ConnectionPhase::answering:
        case ConnectionPhase::closed: break;
    }
    return kStays;
}

bool mayClose(int rank, CloseScope least) {
    return rank >= (least == CloseScope::longIdle ? kRestedLong : kIdleOfLate);
}

// Danger: a length that is too short leaves the rest of the body where the next request would begin, and
// whoever wrote that body chose it. Clients send one request at a time, so bytes behind it are no request.
// Danger: where room is short, or at a stop, we end a connection's reading ourselves. A request may have come
// whole before that while its thread had no turn on a busy core; its client is still there, and would get no
// answer at all.
// Danger: a client may end its sending behind a request and wait for the answer. It can't be told from one
// that has given up, whose message would be delivered for nothing; so it is asked to come again.
RequestDisposition requestDisposition(std::size_t leftover, net::Unread behind, bool askedToClose) {
    if (leftover > 0 || behind == net::Unread::bytes) return RequestDisposition::rejectTrailingBytes;
    if (behind == net::Unread::broken) return RequestDisposition::drop;
    return behind == net::Unread::end && !askedToClose ? RequestDisposition::askToRetry
                                                       : RequestDisposition::answer;
}

}  // namespace laurelhaven::rules
