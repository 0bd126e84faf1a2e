// The classes of messages that a soak's clients hand in.
#pragma once

#include <array>
#include <chrono>
#include <string>

#include "soak/oracle.hpp"

namespace laurelhaven::lab::soak {

struct MessageClass {
    const char* name;
    Effect effect;
    milliseconds longest;  ///< from handing in to its deadline
};

/// Keyed messages outlive their key's window by far, and more than one restart: what a repeat outside the
/// window takes is a message that is still held then.
inline constexpr milliseconds kKeyWindow{2500};
inline constexpr std::array<MessageClass, 3> kClasses{{{"ping", Effect::pure, milliseconds(3000)},
                                                       {"notice", Effect::keyed, milliseconds(9000)},
                                                       {"order", Effect::unsafe, milliseconds(4000)}}};
/// The same as a sender's configuration has them.
std::string gradesJson();

}  // namespace laurelhaven::lab::soak
