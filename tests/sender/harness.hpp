// Drives the decision module in tests: settings, and a recorder of what it sends and ends.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "stoathub/stoathub.hpp"

namespace stoathub::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Four message classes (0 pure, 1 keyed, 2 unsafe, 3 unsafe and in order) and two kinds of destination (0
/// plain, 1 with separate routes).
inline Settings testSettings() {
    Settings s;
    MessageClass pure{.deliveryTarget = seconds(1), .timeToLive = seconds(10), .lateValueShare = 0.1};
    MessageClass keyed = pure, unsafe = pure, ordered = pure;
    keyed.effect = Effect::keyed;
    keyed.keyWindow = seconds(4);
    unsafe.effect = Effect::unsafe;
    ordered.effect = Effect::unsafe;
    ordered.inOrder = true;
    s.messageClasses = {pure, keyed, unsafe, ordered};
    s.kinds = {DestinationKind{}, DestinationKind{.separateRoutes = true}};
    s.slots = 8;
    s.maxHeld = 100;
    s.maxAttempts = 6;
    s.maxRetryAfter = seconds(3);
    s.coldCapacityShare = 0.2;
    s.warmUp = seconds(8);
    s.overloadMultiple = 2.5;
    s.orderingPause = milliseconds(100);
    return s;
}

/// Drives one sender and records its actions.
struct Harness {
    explicit Harness(Settings s = testSettings(), int endpoints = 1, int kind = 0) : sender(s, 1) {
        EndpointListUpdate update;
        for (int i = 0; i < endpoints; ++i)
            update.entries.push_back({"e" + std::to_string(i), 1, kind, 0, {}, 0});
        turn({update});
    }

    std::vector<Action> turn(const std::vector<Event>& events) {
        auto actions = sender.turn(Time(now), events);
        for (const auto& a : actions) {
            if (const auto* send = std::get_if<Send>(&a)) {
                sent.push_back(*send);
                sentAt.push_back(now);
                attempts[send->id]++;
            } else if (const auto* refuse = std::get_if<Refuse>(&a)) {
                refused[refuse->id] = refuse->retryIn;
            } else if (const auto* fail = std::get_if<Fail>(&a)) {
                failed.insert(fail->id);
            }
        }
        return actions;
    }
    void accept(const std::string& id, int messageClass, Duration timeLeft = seconds(10),
                std::optional<OrderKey> orderKey = {}) {
        turn({MessageAccepted{id, 1, messageClass, timeLeft, orderKey}});
    }
    /// The outcome of the message's last attempt.
    Outcome outcome(const std::string& id, Result result, Duration retryAfter = {},
                    const std::string& endpoint = "e0") {
        Outcome o;
        o.id = id;
        o.endpoint = endpoint;
        o.attempt = attempts[id] - 1;
        o.result = result;
        o.took = milliseconds(100);
        o.retryAfter = retryAfter;
        o.concluded = result == Result::delivered;
        return o;
    }
    void report(const std::string& id, Result result, Duration retryAfter = {}) {
        turn({outcome(id, result, retryAfter)});
    }
    /// Advances the time by the span, with a turn every 10 ms.
    void advance(Duration span) {
        for (const Duration until = now + span; now < until;) {
            now += milliseconds(10);
            turn({TimerFired{}});
        }
    }
    int attemptCount(const std::string& id) const { return attempts.count(id) ? attempts.at(id) : 0; }
    bool ended(const std::string& id) const { return refused.count(id) || failed.count(id); }

    Sender sender;
    Duration now = seconds(1000);
    std::vector<Send> sent;
    std::vector<Duration> sentAt;             ///< by index in `sent`
    std::map<std::string, int> attempts;      ///< by message id
    std::map<std::string, Duration> refused;  ///< Refuse::retryIn by message id
    std::set<std::string> failed;
};

}  // namespace stoathub::test
