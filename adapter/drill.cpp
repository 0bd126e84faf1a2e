// stoathub_drill: adapter between the bench's protocol and stoathub.
//
// Reads events from standard input, one JSON object per line, and writes the actions of the senders to
// standard output at the end of each batch. Malformed input ends the program with exit code 1 and one line on
// standard error that names the input line. The adapter makes no decisions of its own.

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "stoathub/stoathub.hpp"

namespace {

using nlohmann::json;
using namespace stoathub;

[[noreturn]] void throwError(const std::string& what) { throw std::runtime_error(what); }

template <class T>
T as(const json& value, const std::string& name) {
    const bool typeMatches = [&] {
        if constexpr (std::is_same_v<T, bool>) return value.is_boolean();
        else if constexpr (std::is_same_v<T, std::string>) return value.is_string();
        else if constexpr (std::is_floating_point_v<T>) return value.is_number();
        else return value.is_number_integer();
    }();
    if (!typeMatches) throwError("field '" + name + "' is of the wrong type");
    if constexpr (std::is_same_v<T, int>) {
        const auto number = value.get<std::int64_t>();
        if (number < INT32_MIN || number > INT32_MAX) throwError("field '" + name + "' is out of range");
        return static_cast<int>(number);
    } else {
        return value.get<T>();
    }
}

template <class T>
T required(const json& fields, const char* name) {
    const auto it = fields.find(name);
    if (it == fields.end() || it->is_null()) throwError(std::string("field '") + name + "' is missing");
    return as<T>(*it, name);
}

template <class T>
T valueOr(const json& fields, const char* name, T fallback) {
    const auto it = fields.find(name);
    return it == fields.end() || it->is_null() ? fallback : as<T>(*it, name);
}

Duration durationOr0(const json& fields, const char* name) {
    return Duration(valueOr<std::int64_t>(fields, name, 0));
}

const json& child(const json& fields, const char* name, json::value_t type) {
    static const json object = json::object();
    static const json array = json::array();
    const auto it = fields.find(name);
    if (it == fields.end() || it->is_null()) return type == json::value_t::object ? object : array;
    if (it->type() != type) throwError(std::string("field '") + name + "' is of the wrong type");
    return *it;
}
const json& object(const json& fields, const char* name) {
    return child(fields, name, json::value_t::object);
}
const json& array(const json& fields, const char* name) { return child(fields, name, json::value_t::array); }

template <class T>
T enumValue(const json& fields, const char* name, const std::map<std::string, T>& values) {
    const auto word = required<std::string>(fields, name);
    const auto it = values.find(word);
    if (it == values.end())
        throwError(std::string("field '") + name + "' has the unknown value '" + word + "'");
    return it->second;
}

Settings settings(const json& params) {
    Settings s;
    for (const auto& entry : array(params, "grades")) {
        MessageClass messageClass;
        messageClass.effect = enumValue<Effect>(
            entry, "effect",
            {{"pure", Effect::pure}, {"token", Effect::keyed}, {"side_effect", Effect::unsafe}});
        messageClass.keyScope =
            valueOr<std::string>(entry, "key-scope", "all") == "all" ? KeyScope::all : KeyScope::zone;
        messageClass.keyWindow = durationOr0(entry, "key-ttl-ns");
        messageClass.deliveryTarget = durationOr0(entry, "slo-ns");
        messageClass.timeToLive = durationOr0(entry, "give-up-ns");
        messageClass.value = valueOr(entry, "credit", 1.0);
        messageClass.lateValueShare = valueOr(entry, "late-share", 0.0);
        messageClass.inOrder = valueOr(entry, "in-turn", false);
        s.messageClasses.push_back(messageClass);
    }
    const json& domain = object(params, "domain");
    const json& separateRoutes = array(domain, "separate-routes");
    s.kinds.resize(std::max(array(params, "kinds").size(), separateRoutes.size()));
    for (std::size_t i = 0; i < separateRoutes.size(); ++i)
        s.kinds[i].separateRoutes = as<bool>(separateRoutes[i], "separate-routes");
    s.senders = valueOr(params, "balancers", 1);
    s.slots = required<int>(domain, "max-calls");
    s.decay =
        valueOr<std::string>(domain, "loses-worth", "even") == "by_half" ? Decay::exponential : Decay::linear;
    const json& limits = object(params, "limits");
    s.maxHeld = required<int>(limits, "max-open");
    s.maxAttempts = required<int>(limits, "attempts-cap");
    s.mayCancel = valueOr(limits, "cancelling", false);
    s.maxRetryAfter = durationOr0(limits, "max-retry-after-ns");
    s.connectTimeout = durationOr0(limits, "connect-timeout-ns");
    s.keepAlive = durationOr0(limits, "keepalive-ns");
    s.listOnRequest = valueOr<std::string>(params, "membership-mode", "pushed") == "on_request";
    const auto weights = valueOr<std::string>(params, "weights", "none");
    s.weights = weights == "nominal" ? Weights::nominal : weights == "rough" ? Weights::rough : Weights::none;
    const json& safety = object(params, "safety");
    s.coldCapacityShare = valueOr(safety, "cold-from", 1.0);
    s.warmUp = durationOr0(safety, "warm-up-ns");
    s.overloadMultiple = valueOr(safety, "fall-multiple", 0.0);
    s.orderingPause = durationOr0(safety, "order-settle-ns");
    return s;
}

Outcome outcome(const json& fields) {
    static const std::map<std::string, Result> results{
        {"delivered", Result::delivered}, {"app_error", Result::error},
        {"shed", Result::rejected},       {"expired", Result::timeout},
        {"dropped", Result::reset},       {"dial_failed", Result::connectFailed},
        {"revoked", Result::cancelled},   {"unused", Result::notForwarded}};
    Outcome out;
    out.id = required<std::string>(fields, "handle");
    out.endpoint = required<std::string>(fields, "receiver");
    out.attempt = valueOr(fields, "go", 0);
    out.result = enumValue(fields, "result", results);
    out.took = durationOr0(fields, "cost-time-ns");
    const auto waitMs = valueOr<std::int64_t>(fields, "wait-ms", 0);
    if (out.result == Result::rejected) out.retryAfter = std::chrono::milliseconds(waitMs);
    out.concluded = valueOr(fields, "over", false);
    const json& usage = object(fields, "usage");
    if (usage.contains("x0")) out.allowanceLeft = as<double>(usage["x0"], "x0");
    if (usage.contains("x1")) out.allowedRate = as<double>(usage["x1"], "x1");
    return out;
}

MessageAccepted messageAccepted(const json& fields) {
    MessageAccepted accepted;
    accepted.id = required<std::string>(fields, "handle");
    accepted.destination = required<std::uint64_t>(fields, "to-exchange");
    accepted.messageClass = valueOr(fields, "service", 0);
    accepted.timeLeft = Duration(required<std::int64_t>(fields, "grace-ns"));
    if (fields.contains("entity") && !fields["entity"].is_null())
        accepted.orderKey = as<std::uint64_t>(fields["entity"], "entity");
    return accepted;
}

std::vector<Endpoint> endpoints(const json& fields) {
    std::vector<Endpoint> list;
    for (const auto& entry : array(fields, "elements")) {
        Endpoint endpoint;
        endpoint.id = required<std::string>(entry, "receiver");
        endpoint.destination = required<std::uint64_t>(entry, "destination");
        endpoint.kind = valueOr(entry, "kind", 0);
        endpoint.zone = valueOr(entry, "region-part", 0);
        endpoint.state = enumValue<EndpointState>(entry, "state",
                                                  {{"in_service", EndpointState::inService},
                                                   {"terminating", EndpointState::draining},
                                                   {"terminated", EndpointState::removed}});
        endpoint.weight = valueOr(entry, "capacity-hint", 0.0);
        list.push_back(std::move(endpoint));
    }
    return list;
}

/// One sender, with its events in the current batch.
struct Instance {
    std::unique_ptr<Sender> sender;
    std::vector<Event> events;
    bool active = false;
};

class Adapter {
  public:
    void handleLine(const std::string& text) {
        const json message = json::parse(text);
        if (!message.is_object() || message.size() != 1) throwError("not an object with a single key");
        const std::string name = message.begin().key();
        const json& body = message.begin().value();
        if (!body.is_object()) throwError("'" + name + "' is not an object");
        if (name == "BeginBatch") {
            if (inBatch_) throwError("'BeginBatch' inside a batch");
            inBatch_ = true;
            now_ = Time(Duration(required<std::int64_t>(body, "wall-ns")));
            return;
        }
        if (!inBatch_) throwError("'" + name + "' outside a batch");
        if (name == "EofBatch") return endBatch();
        if (name == "Manifest") {
            lists_[required<int>(body, "set-id")] = endpoints(body);
            return;
        }
        const int i = required<int>(body, "i");
        if (name == "Attach") {
            instances_[i] = {std::make_unique<Sender>(settings(object(body, "params")),
                                                      required<std::uint64_t>(body, "init-seed")),
                             {},
                             false};
            markActive(i, instances_[i]);
            return;
        }
        const auto instance = instances_.find(i);
        if (instance == instances_.end())
            throwError("'" + name + "' for the unknown instance " + std::to_string(i));
        if (name == "PowerOff") {
            instances_.erase(instance);
            return;
        }
        markActive(i, instance->second);
        if (auto event = read(name, body)) instance->second.events.push_back(std::move(*event));
    }
    bool inBatch() const { return inBatch_; }

  private:
    void markActive(int i, Instance& instance) {
        if (!instance.active) active_.push_back(i);
        instance.active = true;
    }

    std::optional<Event> read(const std::string& name, const json& body) {
        if (name == "Order") return messageAccepted(body);
        if (name == "Response") return outcome(body);
        if (name == "TimedOutClient") return MessageWithdrawn{required<std::string>(body, "handle")};
        if (name == "Fired") return TimerFired{};
        if (name == "Fleet") {
            EndpointListUpdate update;
            update.kind = enumValue<ListUpdateKind>(body, "kind",
                                                    {{"diff", ListUpdateKind::delta},
                                                     {"snapshot", ListUpdateKind::full},
                                                     {"disk", ListUpdateKind::saved},
                                                     {"error", ListUpdateKind::failed}});
            if (update.kind != ListUpdateKind::failed) {
                const int id = required<int>(body, "set-id");
                const auto list = lists_.find(id);
                if (list == lists_.end()) throwError("'Fleet' names the unknown list " + std::to_string(id));
                update.entries = list->second;
            }
            return update;
        }
        // The module does not use streams, probes and notes of other senders.
        if (name == "Streaming" || name == "ProbeDone" || name == "Whisper") return std::nullopt;
        throwError("unknown message '" + name + "'");
    }

    void writeAction(int i, const char* name, json body) {
        body["i"] = i;
        out_ += json{{name, std::move(body)}}.dump();
        out_ += '\n';
    }
    void write(int i, const Action& action) {
        if (const auto* send = std::get_if<Send>(&action))
            writeAction(i, "Forward",
                        {{"handle", send->id},
                         {"receiver", send->endpoint},
                         {"try-until-ns", send->attemptDeadline.time_since_epoch().count()}});
        else if (const auto* refuse = std::get_if<Refuse>(&action))
            writeAction(i, "Decline", {{"handle", refuse->id}, {"retry-in-ns", refuse->retryIn.count()}});
        else if (const auto* fail = std::get_if<Fail>(&action))
            writeAction(i, "RespondError", {{"handle", fail->id}});
        else if (const auto* cancel = std::get_if<Cancel>(&action))
            writeAction(i, "Withdraw", {{"handle", cancel->id}, {"go", cancel->attempt}});
        else if (const auto* timer = std::get_if<SetTimer>(&action))
            writeAction(i, "Timer", {{"offset-ns", timer->after.count()}, {"handle", "wake"}});
        else if (const auto* close = std::get_if<CloseIdleConnections>(&action))
            writeAction(i, "HangUp", {{"receiver", close->endpoint}});
        else writeAction(i, "Follow", {{"on", true}});
    }

    void endBatch() {
        out_.clear();
        std::sort(active_.begin(), active_.end());
        for (const int i : active_) {
            const auto found = instances_.find(i);
            if (found == instances_.end() || !found->second.active) continue;
            Instance& instance = found->second;
            for (const auto& action : instance.sender->turn(now_, instance.events)) write(i, action);
            instance.events.clear();
            instance.active = false;
        }
        active_.clear();
        out_ += "{\"Yield\":{}}\n";
        std::cout << out_ << std::flush;
        inBatch_ = false;
    }

    bool inBatch_ = false;
    Time now_{};
    std::map<int, Instance> instances_;
    std::vector<int> active_;  // instances with events in this batch
    std::map<int, std::vector<Endpoint>> lists_;
    std::string out_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    Adapter adapter;
    std::string text;
    for (std::size_t number = 1; std::getline(std::cin, text); ++number) {
        if (text.empty()) continue;
        try {
            adapter.handleLine(text);
        } catch (const std::exception& e) {
            std::cerr << "stoathub_drill: line " << number << ": " << e.what() << '\n';
            return 1;
        }
    }
    if (adapter.inBatch()) {
        std::cerr << "stoathub_drill: input ended inside a batch\n";
        return 1;
    }
    return 0;
}
