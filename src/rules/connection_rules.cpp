#include "rules/connection_rules.hpp"

namespace laurelhaven::rules {
namespace {

using std::chrono::milliseconds;

// Age in its phase from which an idle, a silent and a half-received connection may be closed. A normal client
// sends its whole request as soon as it has connected.
constexpr milliseconds kLongIdleAge{2000};
constexpr milliseconds kSilentAge{300};
constexpr milliseconds kSlowRequestAge{600};

// Close priorities, lowest first.
constexpr int kKeep = 0;
constexpr int kRecentlyIdle = 1;
constexpr int kSlowRequest = 2;
constexpr int kSilent = 3;
constexpr int kLongIdle = 4;
constexpr int kDraining = 5;

}  // namespace

// Order of closing: connections whose last response has been written; then those idle longest, since their
// clients reconnect for the next request; then those silent longest since connecting; then those slowest to
// send their request. Where clients open a connection per message and keep it, none is idle for long yet: a
// new client's request matters more than any idle connection, so the one idle longest is closed. Never closed
// are connections with a complete request and those too young to tell from a normal client.
int closePriority(ConnectionPhase phase, std::chrono::nanoseconds age, bool askedToClose) {
    if (askedToClose) return kKeep;
    switch (phase) {
        case ConnectionPhase::draining: return kDraining;
        case ConnectionPhase::idle: return age >= kLongIdleAge ? kLongIdle : kRecentlyIdle;
        case ConnectionPhase::fresh: return age >= kSilentAge ? kSilent : kKeep;
        case ConnectionPhase::reading: return age >= kSlowRequestAge ? kSlowRequest : kKeep;
        case ConnectionPhase::answering:
        case ConnectionPhase::closed: break;
    }
    return kKeep;
}

bool mayClose(int priority, CloseScope scope) {
    return priority >= (scope == CloseScope::longIdle ? kLongIdle : kRecentlyIdle);
}

// Trailing bytes: if the request gives a length that is too short, the rest of the body, which the sender of
// the body controls, stands where the next request would begin (request smuggling). Clients send one request
// at a time, so bytes after it are never taken for another request.
//
// Reading ended by this side, for lack of room or at a stop: the request may have been received completely
// before that, while its thread got no time on a busy core. The client still waits, so it is answered.
//
// Sending ended by the client: it may still wait for the answer, but can't be distinguished from one that has
// given up, whose message would be delivered for nothing. So it is asked to retry.
RequestDisposition requestDisposition(std::size_t leftover, net::UnreadState unread, bool askedToClose) {
    if (leftover > 0 || unread == net::UnreadState::bytes) return RequestDisposition::rejectTrailingBytes;
    if (unread == net::UnreadState::broken) return RequestDisposition::drop;
    return unread == net::UnreadState::end && !askedToClose ? RequestDisposition::askToRetry
                                                            : RequestDisposition::answer;
}

}  // namespace laurelhaven::rules
