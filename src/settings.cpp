#include "settings.hpp"

#include <stdexcept>

namespace stoathub {
namespace {

void require(bool ok, const char* what) {
    if (!ok) throw std::invalid_argument(std::string("stoathub::Settings: ") + what);
}

}  // namespace

void validate(const Settings& settings) {
    require(!settings.messageClasses.empty(), "messageClasses is empty");
    for (const auto& messageClass : settings.messageClasses) {
        require(messageClass.deliveryTarget > Duration{} &&
                    messageClass.timeToLive >= messageClass.deliveryTarget,
                "messageClasses: deliveryTarget must be above 0 and timeToLive at least deliveryTarget");
        require(messageClass.keyWindow >= Duration{}, "messageClasses: keyWindow is negative");
        require(
            messageClass.value >= 0 && messageClass.lateValueShare >= 0 && messageClass.lateValueShare <= 1,
            "messageClasses: value is negative or lateValueShare is not between 0 and 1");
    }
    require(settings.senders >= 1, "senders must be at least 1");
    require(settings.slots >= 1, "slots must be at least 1");
    require(settings.maxHeld >= 1, "maxHeld must be at least 1");
    require(settings.maxAttempts >= 1, "maxAttempts must be at least 1");
    require(settings.orderingPause >= Duration{} && settings.warmUp >= Duration{} &&
                settings.maxRetryAfter >= Duration{} && settings.connectTimeout >= Duration{} &&
                settings.keepAlive >= Duration{},
            "orderingPause, warmUp, maxRetryAfter, connectTimeout or keepAlive is negative");
    require(
        settings.coldCapacityShare >= 0 && settings.coldCapacityShare <= 1 && settings.overloadMultiple >= 0,
        "coldCapacityShare is not between 0 and 1 or overloadMultiple is negative");
}

}  // namespace stoathub
