// What a start makes of a message that an earlier life left unfinished: how much time it has left, whether it
// may have run, and what the decision module is told of it. Pure.
#pragma once

#include <chrono>
#include <string_view>

#include "config/config.hpp"
#include "stoathub/stoathub.hpp"
#include "store/store.hpp"

namespace laurelhaven::decisions {

/// How far an earlier life came with a message.
enum class FoundState {
    untried,      ///< no attempt has left
    neverRan,     ///< attempts were made, and surely none of them ran
    mayHaveRun,   ///< one may have run
    unknownClass  ///< the configuration knows its class no more: nobody can deliver it
};
std::string_view name(FoundState state);

struct FoundMessage {
    FoundState state = FoundState::untried;
    int grade = -1, tenant = 0;            ///< positions in the settings; -1: not known any more
    std::chrono::milliseconds left{};      ///< until its deadline; negative: passed meanwhile
    std::chrono::milliseconds sinceRan{};  ///< since the first attempt that may have run was sent
    bool mayHaveRun = false;
    stoathub::MessageAccepted handed;  ///< for the module, where the class is known
};

/// `now` on the time line of the record. Up to `healthKnownUntil` what was learnt of partners' health is
/// known from elsewhere; only later failures speak of it.
FoundMessage interpret(const store::StoredMessage& message, const config::Config& config, store::RecordMs now,
                       store::RecordMs healthKnownUntil);

}  // namespace laurelhaven::decisions
