#include "rules/repeat_rules.hpp"

#include <algorithm>

namespace laurelhaven::rules {

stoathub::Effect effectAfterRestart(stoathub::Effect recorded, stoathub::Effect configured, bool hasKey) {
    using stoathub::Effect;
    const auto stricter = std::max(recorded, configured);
    if (stricter != Effect::keyed) return recorded;
    const bool keyIsUsable = hasKey && configured == Effect::keyed;
    return keyIsUsable ? recorded : Effect::unsafe;
}

}  // namespace laurelhaven::rules
