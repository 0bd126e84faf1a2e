// Whether a message that an earlier life took on may be repeated now. Pure.
#pragma once

#include "stoathub/stoathub.hpp"

namespace laurelhaven::rules {

/// The effect that counts for a message found on record: the stricter one of its class then and now. Its
/// class may have another effect now, and it is repeated only if both allow it; and by a key only if it has
/// one and the configuration still tells for how long, and where, that is known.
stoathub::Effect effectAfterRestart(stoathub::Effect then, stoathub::Effect now, bool hasKey);

}  // namespace laurelhaven::rules
