// One message: accepted, rejected by the destination, retried after a backoff, delivered.
#include <cstdio>
#include <stoathub/stoathub.hpp>

using namespace stoathub;
using namespace std::chrono_literals;

int main() {
    Settings settings;
    settings.messageClasses = {{.effect = Effect::unsafe, .deliveryTarget = 4s, .timeToLive = 28s}};
    settings.slots = 8;
    settings.maxHeld = 100;
    settings.maxAttempts = 6;
    Sender sender(settings, 42);

    Time now{};
    std::vector<Event> events{
        EndpointListUpdate{ListUpdateKind::full, {{.id = "gateway-1", .destination = 7}}},
        MessageAccepted{.id = "m1", .destination = 7, .timeLeft = 28s}};
    for (int attempt = 0; now < Time(28s); now += 10ms) {
        auto actions = sender.turn(now, events);
        // A real caller reports TimerFired when its SetTimer is due, and other events as they come.
        events = {TimerFired{}};
        for (const auto& action : actions) {
            const auto* send = std::get_if<Send>(&action);
            if (!send) continue;
            const bool good = attempt > 0;
            std::printf("attempt %d to %s: %s\n", attempt, send->endpoint.c_str(),
                        good ? "delivered" : "rejected");
            Outcome outcome{.id = send->id, .endpoint = send->endpoint, .attempt = attempt++, .took = 5ms};
            outcome.result = good ? Result::delivered : Result::rejected;
            outcome.concluded = good;
            events.push_back(outcome);
            if (good) return 0;
        }
    }
    return 1;
}
