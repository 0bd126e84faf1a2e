// What the tables of responses share: the class of their messages, and a destination for each cell.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "program.hpp"

namespace check {

/// What a repeat of a message does, by its class.
enum class Effect { pure, keyed, unsafe };

/// The settings of a sender with that one class, and room for a whole table.
inline std::string settingsFor(Effect effect, int slots, int held) {
    auto text = settings(slots, held);
    const std::string usual = R"("effect":"token")";
    const std::string wanted = effect == Effect::pure    ? R"("effect":"pure")"
                               : effect == Effect::keyed ? usual
                                                         : R"("effect":"side_effect")";
    return text.replace(text.find(usual), usual.size(), wanted);
}

/// The request that hands a message for this destination in.
inline std::string requestFor(const std::string& id, std::uint64_t destination, int deadlineMs) {
    auto text = handIn(id, deadlineMs);
    const std::string usual = "dest=7";
    return text.replace(text.find(usual), usual.size(), "dest=" + std::to_string(destination));
}

/// Waits for something that has to come within the span. False if it does not.
inline bool within(milliseconds span, const std::function<bool()>& done) {
    for (const auto until = net::Steady::now() + span; !done();) {
        if (net::Steady::now() > until) return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

}  // namespace check
