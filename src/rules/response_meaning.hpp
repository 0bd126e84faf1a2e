// What a response means for the message that was sent: the end that it gives the message, and whether the
// message may have run.
//
// A response speaks in favour of its message where it says that the message has not run, or is owed nothing
// more. That counts only if it is proven to be the request's own and complete. It speaks against another
// attempt where it says that the message is over or has had all its attempts. That counts in any case: an
// attempt that is not made does no harm, while one that must not be made can't be taken back.
//
// Pure functions.
#pragma once

#include <string_view>

namespace laurelhaven::rules {

/// Status codes with which an endpoint answers.
inline constexpr int kDelivered = 200, kMessageOver = 410, kTooManyRequests = 429, kUnavailable = 503,
                     kAttemptsExhausted = 504;

/// How far a response can be relied on.
enum class Reliability {
    proven,       ///< complete, and the request's own
    incomplete,   ///< the request's own, but it broke off, or its rest can't be parsed
    unattributed  ///< it may belong to an earlier request on its connection
};

/// What a response leaves of its message.
enum class MessageFate {
    open,       ///< it may be sent again, as its class allows
    delivered,  ///< nothing is owed any more
    over,       ///< it was not delivered, and nothing is owed any more
    endOwed     ///< it must not be sent again, and is still owed its end
};
/// The name used in logs and metrics.
std::string_view name(MessageFate fate);

struct ResponseMeaning {
    MessageFate fate = MessageFate::open;
    bool mayHaveRun = true;
};

/// The meaning of a response with this status; 0: it broke off before its status.
ResponseMeaning meaningOf(int status, Reliability reliability);

/// Whether the status says that no attempt may follow.
bool endsAttempts(int status);
/// The same for what was received of responses that can't be told apart: whether the status of any of them
/// says so.
bool anyEndsAttempts(std::string_view bytes);

}  // namespace laurelhaven::rules
