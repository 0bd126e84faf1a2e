// Decides how a submission is answered whose id has come before: at every moment of the first one's life, an
// id runs once, and its client is told the truth about it. Pure functions without state.
#pragma once

#include <string_view>

namespace laurelhaven::rules {

/// What has become of the message that was first submitted under the id.
enum class PriorSubmission {
    held,               ///< accepted, and not ended
    withdrawnInFlight,  ///< its client left without an answer while an attempt was out, which goes on
    delivered,
    abandoned,  ///< its client left without an answer; it may have run, and nothing goes on
    failed,     ///< it ended so
    returned    ///< it ended so: it may be submitted again
};

/// What a further run of the same message would do.
enum class RepeatEffect { pure, keyed, unsafe };

enum class ResubmissionAnswer {
    accepted,   ///< as the first was: nothing more is done
    conflict,   ///< the id is another message's
    failed,     ///< this message has failed, or may have run and can't be run again
    refused,    ///< the client may submit it again
    submitAnew  ///< it is handled as if its id had never come
};

ResubmissionAnswer answerResubmission(PriorSubmission prior, bool sameContent, RepeatEffect effect);

/// The name used in logs and metrics.
std::string_view name(PriorSubmission prior);

}  // namespace laurelhaven::rules
