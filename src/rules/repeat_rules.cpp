#include "rules/repeat_rules.hpp"

#include <algorithm>

namespace laurelhaven::rules {

stoathub::Effect effectAfterRestart(stoathub::Effect then, stoathub::Effect now, bool hasKey) {
    using stoathub::Effect;
    const auto stricter = std::max(then, now);
    if (stricter != Effect::keyed) return then;
    const bool keyIsOfUse = hasKey && now == Effect::keyed;
    return keyIsOfUse ? then : Effect::unsafe;
}

}  // namespace laurelhaven::rules
