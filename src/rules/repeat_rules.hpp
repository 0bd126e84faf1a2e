// Whether a message accepted by a previous run of the process may still be repeated. Pure.
#pragma once

#include "stoathub/stoathub.hpp"

namespace laurelhaven::rules {

/// The minimum effect to assume for a message recovered from the journal. `recorded`: the effect of its
/// message class when it was accepted; `configured`: the one configured now. The sender applies the stricter
/// of the result and `configured`, so a message is repeated only if both allow it. A repeat by idempotency
/// key also needs a key on the message and a class that is still configured as keyed: otherwise the key
/// window and its scope are unknown, and the result is Effect::unsafe.
stoathub::Effect effectAfterRestart(stoathub::Effect recorded, stoathub::Effect configured, bool hasKey);

}  // namespace laurelhaven::rules
