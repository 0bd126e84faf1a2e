// stoathub_drill: carries the bench's wire to Senders and back. It decides nothing.

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

[[noreturn]] void bad(const std::string& what) { throw std::runtime_error(what); }

template <class T>
T as(const json& v, const std::string& name) {
    const bool fits = [&] {
        if constexpr (std::is_same_v<T, bool>) return v.is_boolean();
        else if constexpr (std::is_same_v<T, std::string>) return v.is_string();
        else if constexpr (std::is_floating_point_v<T>) return v.is_number();
        else return v.is_number_integer();
    }();
    if (!fits) bad("field '" + name + "' is of the wrong type");
    if constexpr (std::is_same_v<T, int>) {
        const auto wide = v.get<std::int64_t>();
        if (wide < INT32_MIN || wide > INT32_MAX) bad("field '" + name + "' is out of range");
        return static_cast<int>(wide);
    } else {
        return v.get<T>();
    }
}

template <class T>
T need(const json& o, const char* name) {
    const auto it = o.find(name);
    if (it == o.end() || it->is_null()) bad(std::string("field '") + name + "' is missing");
    return as<T>(*it, name);
}

template <class T>
T get(const json& o, const char* name, T otherwise) {
    const auto it = o.find(name);
    return it == o.end() || it->is_null() ? otherwise : as<T>(*it, name);
}

Duration span(const json& o, const char* name) { return Duration(get<std::int64_t>(o, name, 0)); }

const json& child(const json& o, const char* name, json::value_t type) {
    static const json object = json::object();
    static const json array = json::array();
    const auto it = o.find(name);
    if (it == o.end() || it->is_null()) return type == json::value_t::object ? object : array;
    if (it->type() != type) bad(std::string("field '") + name + "' is of the wrong type");
    return *it;
}
const json& object(const json& o, const char* name) { return child(o, name, json::value_t::object); }
const json& array(const json& o, const char* name) { return child(o, name, json::value_t::array); }

template <class T>
T oneOf(const json& o, const char* name, const std::map<std::string, T>& words) {
    const auto word = need<std::string>(o, name);
    const auto it = words.find(word);
    if (it == words.end()) bad(std::string("field '") + name + "' has the unknown value '" + word + "'");
    return it->second;
}

Settings settings(const json& p) {
    Settings s;
    for (const auto& g : array(p, "grades")) {
        MessageClass grade;
        grade.effect = oneOf<Effect>(
            g, "effect", {{"pure", Effect::pure}, {"token", Effect::keyed}, {"side_effect", Effect::unsafe}});
        grade.keyScope = get<std::string>(g, "key-scope", "all") == "all" ? KeyScope::all : KeyScope::zone;
        grade.keyWindow = span(g, "key-ttl-ns");
        grade.deliveryTarget = span(g, "slo-ns");
        grade.timeToLive = span(g, "give-up-ns");
        grade.value = get(g, "credit", 1.0);
        grade.lateValueShare = get(g, "late-share", 0.0);
        grade.inOrder = get(g, "in-turn", false);
        s.messageClasses.push_back(grade);
    }
    const json& domain = object(p, "domain");
    const json& apart = array(domain, "separate-routes");
    s.kinds.resize(std::max(array(p, "kinds").size(), apart.size()));
    for (std::size_t i = 0; i < apart.size(); ++i)
        s.kinds[i].separateRoutes = as<bool>(apart[i], "separate-routes");
    s.senders = get(p, "balancers", 1);
    s.slots = need<int>(domain, "max-calls");
    s.decay =
        get<std::string>(domain, "loses-worth", "even") == "by_half" ? Decay::exponential : Decay::linear;
    const json& limits = object(p, "limits");
    s.maxHeld = need<int>(limits, "max-open");
    s.maxAttempts = need<int>(limits, "attempts-cap");
    s.mayCancel = get(limits, "cancelling", false);
    s.maxRetryAfter = span(limits, "max-retry-after-ns");
    s.connectTimeout = span(limits, "connect-timeout-ns");
    s.keepAlive = span(limits, "keepalive-ns");
    s.listOnRequest = get<std::string>(p, "membership-mode", "pushed") == "on_request";
    const auto weights = get<std::string>(p, "weights", "none");
    s.weights = weights == "nominal" ? Weights::nominal : weights == "rough" ? Weights::rough : Weights::none;
    const json& safety = object(p, "safety");
    s.coldCapacityShare = get(safety, "cold-from", 1.0);
    s.warmUp = span(safety, "warm-up-ns");
    s.overloadMultiple = get(safety, "fall-multiple", 0.0);
    s.orderingPause = span(safety, "order-settle-ns");
    return s;
}

Outcome outcome(const json& o) {
    static const std::map<std::string, Result> results{
        {"delivered", Result::delivered}, {"app_error", Result::error},
        {"shed", Result::rejected},       {"expired", Result::timeout},
        {"dropped", Result::reset},       {"dial_failed", Result::connectFailed},
        {"revoked", Result::cancelled},   {"unused", Result::notForwarded}};
    Outcome out;
    out.id = need<std::string>(o, "handle");
    out.endpoint = need<std::string>(o, "receiver");
    out.attempt = get(o, "go", 0);
    out.result = oneOf(o, "result", results);
    out.took = span(o, "cost-time-ns");
    const auto note = get<std::int64_t>(o, "wait-ms", 0);
    if (out.result == Result::rejected) out.retryAfter = std::chrono::milliseconds(note);
    out.concluded = get(o, "over", false);
    const json& usage = object(o, "usage");
    if (usage.contains("x0")) out.allowanceLeft = as<double>(usage["x0"], "x0");
    if (usage.contains("x1")) out.allowedRate = as<double>(usage["x1"], "x1");
    return out;
}

MessageAccepted handed(const json& o) {
    MessageAccepted h;
    h.id = need<std::string>(o, "handle");
    h.destination = need<std::uint64_t>(o, "to-exchange");
    h.messageClass = get(o, "service", 0);
    h.timeLeft = Duration(need<std::int64_t>(o, "grace-ns"));
    if (o.contains("entity") && !o["entity"].is_null()) h.orderKey = as<std::uint64_t>(o["entity"], "entity");
    return h;
}

std::vector<Endpoint> endpoints(const json& o) {
    std::vector<Endpoint> list;
    for (const auto& e : array(o, "elements")) {
        Endpoint ep;
        ep.id = need<std::string>(e, "receiver");
        ep.destination = need<std::uint64_t>(e, "destination");
        ep.kind = get(e, "kind", 0);
        ep.zone = get(e, "region-part", 0);
        ep.state = oneOf<EndpointState>(e, "state",
                                        {{"in_service", EndpointState::inService},
                                         {"terminating", EndpointState::draining},
                                         {"terminated", EndpointState::removed}});
        ep.weight = get(e, "capacity-hint", 0.0);
        list.push_back(std::move(ep));
    }
    return list;
}

/// One sender with the events of the batch now being read.
struct Seat {
    std::unique_ptr<Sender> sender;
    std::vector<Event> events;
    bool touched = false;
};

class Drill {
  public:
    void line(const std::string& text) {
        const json message = json::parse(text);
        if (!message.is_object() || message.size() != 1) bad("not an object with a single key");
        const std::string name = message.begin().key();
        const json& body = message.begin().value();
        if (!body.is_object()) bad("'" + name + "' is not an object");
        if (name == "BeginBatch") {
            if (open_) bad("'BeginBatch' inside a batch");
            open_ = true;
            now_ = Time(Duration(need<std::int64_t>(body, "wall-ns")));
            return;
        }
        if (!open_) bad("'" + name + "' outside a batch");
        if (name == "EofBatch") return reply();
        if (name == "Manifest") {
            lists_[need<int>(body, "set-id")] = endpoints(body);
            return;
        }
        const int i = need<int>(body, "i");
        if (name == "Attach") {
            seats_[i] = {std::make_unique<Sender>(settings(object(body, "params")),
                                                  need<std::uint64_t>(body, "init-seed")),
                         {},
                         false};
            touch(i, seats_[i]);
            return;
        }
        const auto seat = seats_.find(i);
        if (seat == seats_.end()) bad("'" + name + "' for the unknown instance " + std::to_string(i));
        if (name == "PowerOff") {
            seats_.erase(seat);
            return;
        }
        touch(i, seat->second);
        if (auto event = read(name, body)) seat->second.events.push_back(std::move(*event));
    }
    bool inBatch() const { return open_; }

  private:
    void touch(int i, Seat& seat) {
        if (!seat.touched) touched_.push_back(i);
        seat.touched = true;
    }

    std::optional<Event> read(const std::string& name, const json& body) {
        if (name == "Order") return handed(body);
        if (name == "Response") return outcome(body);
        if (name == "TimedOutClient") return MessageWithdrawn{need<std::string>(body, "handle")};
        if (name == "Fired") return TimerFired{};
        if (name == "Fleet") {
            EndpointListUpdate news;
            news.kind = oneOf<ListUpdateKind>(body, "kind",
                                              {{"diff", ListUpdateKind::delta},
                                               {"snapshot", ListUpdateKind::full},
                                               {"disk", ListUpdateKind::saved},
                                               {"error", ListUpdateKind::failed}});
            if (news.kind != ListUpdateKind::failed) {
                const int id = need<int>(body, "set-id");
                const auto list = lists_.find(id);
                if (list == lists_.end()) bad("'Fleet' names the unknown list " + std::to_string(id));
                news.entries = list->second;
            }
            return news;
        }
        // Streams, probes and notes of other senders are not used by this module: they are passed over.
        if (name == "Streaming" || name == "ProbeDone" || name == "Whisper") return std::nullopt;
        bad("unknown message '" + name + "'");
    }

    void put(int i, const char* name, json body) {
        body["i"] = i;
        out_ += json{{name, std::move(body)}}.dump();
        out_ += '\n';
    }
    void write(int i, const Action& action) {
        if (const auto* send = std::get_if<Send>(&action))
            put(i, "Forward",
                {{"handle", send->id},
                 {"receiver", send->endpoint},
                 {"try-until-ns", send->attemptDeadline.time_since_epoch().count()}});
        else if (const auto* refuse = std::get_if<Refuse>(&action))
            put(i, "Decline", {{"handle", refuse->id}, {"retry-in-ns", refuse->retryIn.count()}});
        else if (const auto* fail = std::get_if<Fail>(&action))
            put(i, "RespondError", {{"handle", fail->id}});
        else if (const auto* cancel = std::get_if<Cancel>(&action))
            put(i, "Withdraw", {{"handle", cancel->id}, {"go", cancel->attempt}});
        else if (const auto* wake = std::get_if<SetTimer>(&action))
            put(i, "Timer", {{"offset-ns", wake->after.count()}, {"handle", "wake"}});
        else if (const auto* close = std::get_if<CloseIdleConnections>(&action))
            put(i, "HangUp", {{"receiver", close->endpoint}});
        else put(i, "Follow", {{"on", true}});
    }

    void reply() {
        out_.clear();
        std::sort(touched_.begin(), touched_.end());
        for (const int i : touched_) {
            const auto found = seats_.find(i);
            if (found == seats_.end() || !found->second.touched) continue;
            Seat& seat = found->second;
            for (const auto& action : seat.sender->turn(now_, seat.events)) write(i, action);
            seat.events.clear();
            seat.touched = false;
        }
        touched_.clear();
        out_ += "{\"Yield\":{}}\n";
        std::cout << out_ << std::flush;
        open_ = false;
    }

    bool open_ = false;
    Time now_{};
    std::map<int, Seat> seats_;
    std::vector<int> touched_;  // seats with events in this batch
    std::map<int, std::vector<Endpoint>> lists_;
    std::string out_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    Drill drill;
    std::string text;
    for (std::size_t number = 1; std::getline(std::cin, text); ++number) {
        if (text.empty()) continue;
        try {
            drill.line(text);
        } catch (const std::exception& e) {
            std::cerr << "stoathub_drill: line " << number << ": " << e.what() << '\n';
            return 1;
        }
    }
    if (drill.inBatch()) {
        std::cerr << "stoathub_drill: input ended inside a batch\n";
        return 1;
    }
    return 0;
}
