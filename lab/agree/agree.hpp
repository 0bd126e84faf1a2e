// The same day twice: in the model's virtual time, and on loopback with real senders. What differs is the
// network, the processes and the clients' threads; the partners decide by the same rules, and the load is the
// same message by message.
#pragma once

#include <string>
#include <vector>

#include "model/day.hpp"
#include "rig/world.hpp"

namespace laurelhaven::agree {

/// What a scenario says, for the model. The model knows no kept list and no discovery that is down: throws
/// lab::Bad for a scenario that has these, or a sender that is stopped rather than killed.
model::Fleet fleet(const lab::Scenario& scenario);
model::Day modelled(const lab::Scenario& scenario);

struct Pair {
    std::string name;
    model::Day model;
    lab::Report loopback;
    /// Of the service over the whole run: model less loopback.
    double difference() const { return model.worth.whole - loopback.whole; }
};

/// A table, or one JSON list.
std::string table(const std::vector<Pair>& pairs);
std::string json(const std::vector<Pair>& pairs);
std::string text(const std::string& name, const model::Day& day, double tookSeconds);
std::string json(const std::string& name, const model::Day& day, double tookSeconds);

}  // namespace laurelhaven::agree
