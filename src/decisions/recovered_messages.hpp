// Evaluates a message that a previous process run left unfinished: how much time it has left, whether it may
// have run, and the event that hands it to the decision module. No I/O and no state.
#pragma once

#include <chrono>
#include <string_view>

#include "config/config.hpp"
#include "stoathub/stoathub.hpp"
#include "store/store.hpp"

namespace laurelhaven::decisions {

/// How far the previous runs came with a message.
enum class RecoveryState {
    untried,      ///< no attempt was sent
    neverRan,     ///< attempts were made, and none of them can have run
    mayHaveRun,   ///< an attempt may have run
    unknownClass  ///< its class is no longer configured, so it can't be delivered
};
/// The state as logs and metrics write it.
std::string_view name(RecoveryState state);

struct RecoveredMessage {
    RecoveryState state = RecoveryState::untried;
    int messageClass = -1, tenant = 0;     ///< positions in the settings; class -1: no longer configured
    std::chrono::milliseconds timeLeft{};  ///< until its deadline; negative: passed between the runs
    std::chrono::milliseconds sinceMayHaveRun{};  ///< since the first attempt that may have run was sent
    bool mayHaveRun = false;
    stoathub::MessageAccepted event;  ///< for the decision module; set only if the class is known
};

/// `now` is the time of the record clock. The endpoints' health up to `healthKnownUntil` is known from
/// another source; only failures after it count as evidence.
RecoveredMessage interpret(const store::StoredMessage& message, const config::Config& config,
                           store::RecordMs now, store::RecordMs healthKnownUntil);

}  // namespace laurelhaven::decisions
