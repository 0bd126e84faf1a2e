#include "settings.hpp"

#include <stdexcept>

namespace stoathub {
namespace {

void require(bool ok, const char* what) {
    if (!ok) throw std::invalid_argument(std::string("stoathub::Settings: ") + what);
}

}  // namespace

void check(const Settings& s) {
    require(!s.messageClasses.empty(), "grades is empty");
    for (const auto& g : s.messageClasses) {
        require(g.deliveryTarget > Duration{} && g.timeToLive >= g.deliveryTarget,
                "grades: aim must be above 0 and giveUp at least aim");
        require(g.keyWindow >= Duration{}, "grades: keyWindow is negative");
        require(g.value >= 0 && g.lateValueShare >= 0 && g.lateValueShare <= 1,
                "grades: worth or lateShare out of range");
    }
    require(s.senders >= 1, "senders must be at least 1");
    require(s.slots >= 1, "slots must be at least 1");
    require(s.maxHeld >= 1, "maxHeld must be at least 1");
    require(s.maxAttempts >= 1, "maxAttempts must be at least 1");
    require(s.orderingPause >= Duration{} && s.warmUp >= Duration{} && s.maxRetryAfter >= Duration{} &&
                s.connectTimeout >= Duration{} && s.keepAlive >= Duration{},
            "a time is negative");
    require(s.coldCapacityShare >= 0 && s.coldCapacityShare <= 1 && s.overloadMultiple >= 0,
            "coldFrom or fallMultiple out of range");
}

}  // namespace stoathub
