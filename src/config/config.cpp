#include "config/config.hpp"

#include <json/value.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace laurelhaven::config {
namespace {

using stoathub::Duration;

// What holds where a figure is missing; README lists them.
constexpr int kSlots = 8, kHeld = 100, kAttempts = 8;
constexpr std::chrono::seconds kConnect{1}, kKeepAlive{5};
constexpr std::size_t kBytesPerMb = 1'000'000;
// A share of a core outside this range is taken for the nearest one inside it.
constexpr double kMinCores = 0.01, kMaxCores = 64;

[[noreturn]] void bad(const std::string& what) { throw Bad(what); }

const Json::Value& member(const Json::Value& object, const char* name) {
    static const Json::Value nothing;
    return object.isObject() && object.isMember(name) ? object[name] : nothing;
}

double number(const Json::Value& o, const char* name, double otherwise) {
    const auto& v = member(o, name);
    if (v.isNull()) return otherwise;
    if (!v.isNumeric()) bad(std::string("settings: '") + name + "' is not a number");
    return v.asDouble();
}

std::int64_t whole(const Json::Value& o, const char* name, std::int64_t otherwise) {
    const auto& v = member(o, name);
    if (v.isNull()) return otherwise;
    if (!v.isInt64()) bad(std::string("settings: '") + name + "' is not a whole number");
    return v.asInt64();
}

int count(const Json::Value& o, const char* name, int otherwise, int least = 0) {
    const auto v = whole(o, name, otherwise);
    if (v < least || v > 1000000) bad(std::string("settings: '") + name + "' is out of range");
    return static_cast<int>(v);
}

Duration span(const Json::Value& o, const char* name, std::chrono::nanoseconds otherwise = {}) {
    return Duration(whole(o, name, otherwise.count()));
}

bool flag(const Json::Value& o, const char* name, bool otherwise) {
    const auto& v = member(o, name);
    if (v.isNull()) return otherwise;
    if (!v.isBool()) bad(std::string("settings: '") + name + "' is not true or false");
    return v.asBool();
}

std::string word(const Json::Value& o, const char* name, const std::string& otherwise) {
    const auto& v = member(o, name);
    if (v.isNull()) return otherwise;
    if (!v.isString()) bad(std::string("'") + name + "' is not a text");
    return v.asString();
}

const Json::Value& list(const Json::Value& o, const char* name) {
    static const Json::Value empty(Json::arrayValue);
    const auto& v = member(o, name);
    if (v.isNull()) return empty;
    if (!v.isArray()) bad(std::string("settings: '") + name + "' is not a list");
    return v;
}

/// Names of plain texts or of objects with a name.
std::vector<std::string> names(const Json::Value& entries) {
    std::vector<std::string> all;
    for (const auto& entry : entries)
        all.push_back(entry.isString() ? entry.asString() : word(entry, "name", ""));
    return all;
}

stoathub::MessageClass grade(const Json::Value& g) {
    stoathub::MessageClass made;
    const auto effect = word(g, "effect", "");
    if (effect == "pure") made.effect = stoathub::Effect::pure;
    else if (effect == "token") made.effect = stoathub::Effect::keyed;
    else if (effect == "side_effect") made.effect = stoathub::Effect::unsafe;
    else bad("settings: a class has the unknown effect '" + effect + "'");
    made.keyScope = word(g, "key-scope", "all") == "all" ? stoathub::KeyScope::all : stoathub::KeyScope::zone;
    made.keyWindow = span(g, "key-ttl-ns");
    made.timeToLive = span(g, "give-up-ns");
    made.deliveryTarget = span(g, "slo-ns", made.timeToLive);
    made.value = number(g, "credit", 1);
    made.lateValueShare = number(g, "late-share", 0);
    made.inOrder = flag(g, "in-turn", false);
    return made;
}

stoathub::Settings settings(const Json::Value& p) {
    stoathub::Settings s;
    for (const auto& g : list(p, "grades")) s.messageClasses.push_back(grade(g));
    const auto& domain = member(p, "domain");
    const auto& apart = list(domain, "separate-routes");
    s.kinds.resize(std::max(list(p, "kinds").size(), apart.size()));
    for (Json::ArrayIndex i = 0; i < apart.size(); ++i)
        s.kinds[i].separateRoutes = apart[i].isBool() && apart[i].asBool();
    s.senders = count(p, "balancers", 1, 1);
    s.slots = count(domain, "max-calls", kSlots, 1);
    s.decay = word(domain, "loses-worth", "even") == "by_half" ? stoathub::Decay::exponential
                                                               : stoathub::Decay::linear;
    const auto& limits = member(p, "limits");
    s.maxHeld = count(limits, "max-open", kHeld, 1);
    s.maxAttempts = count(limits, "attempts-cap", kAttempts, 1);
    s.mayCancel = flag(limits, "cancelling", false);
    s.maxRetryAfter = span(limits, "max-retry-after-ns");
    s.connectTimeout = span(limits, "connect-timeout-ns", kConnect);
    s.keepAlive = span(limits, "keepalive-ns", kKeepAlive);
    const auto weights = word(p, "weights", "none");
    s.weights = weights == "nominal" ? stoathub::Weights::nominal
                : weights == "rough" ? stoathub::Weights::rough
                                     : stoathub::Weights::none;
    const auto& safety = member(p, "safety");
    s.coldCapacityShare = number(safety, "cold-from", 1);
    s.warmUp = span(safety, "warm-up-ns");
    s.overloadMultiple = number(safety, "fall-multiple", 0);
    s.orderingPause = span(safety, "order-settle-ns");
    return s;
}

net::Address address(const std::string& text, const char* what) {
    auto found = net::parseAddress(text);
    if (!found) bad(std::string(what) + " is not an address and port: '" + text + "'");
    return *found;
}

}  // namespace

Config fromText(const std::string& json, const std::map<std::string, std::string>& environment) {
    std::string why;
    const auto root = listing::parseJson(json, why);
    if (!root || !root->isObject()) bad("the configuration is not a JSON object: " + why);
    // What the environment says goes before what the file says.
    const auto told = [&](const char* variable, const char* name) {
        const auto it = environment.find(variable);
        return it != environment.end() && !it->second.empty() ? it->second : word(*root, name, "");
    };
    Config c;
    c.name = told("BALANCER_NAME", "name");
    c.listen = address(told("BALANCER_LISTEN", "listen"), "BALANCER_LISTEN");
    // Discovery moves while the sender runs, and then only the file is written anew: a variable would name
    // the old place, at a reload as at the restart after one.
    const auto moved = word(*root, "discovery", "");
    c.discovery = address(moved.empty() ? told("BALANCER_DISCOVERY", "discovery") : moved, "discovery");
    c.state = told("BALANCER_STATE", "state");
    if (c.state.empty()) bad("BALANCER_STATE names no folder");
    const auto seed = word(*root, "seed", "0");
    const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), c.seed, 16);
    if (error != std::errc{} || end != seed.data() + seed.size()) bad("the seed is not a hexadecimal number");
    const auto& limits = member(*root, "limits");
    c.cores = std::clamp(number(limits, "cores", 1.0), kMinCores, kMaxCores);
    c.sockets = static_cast<std::size_t>(count(limits, "sockets", 1024, 32));
    c.memoryMb = static_cast<std::size_t>(std::max(16.0, number(limits, "memory_mb", 192)));
    c.limitsText = limits.toStyledString();
    c.diskBytes = static_cast<std::uint64_t>(std::max(0.0, number(limits, "disk_mb", 3)) * 1e6);
    if (c.diskBytes < 65536) bad("limits: disk_mb is too little");
    const auto& known = member(*root, "known");
    if (!known.isNull()) {
        auto list = listing::fromJson(known, why);
        if (!list) bad("the known list of endpoints can't be read: " + why);
        c.known = std::move(*list);
    }
    const auto& set = member(*root, "settings");
    if (!set.isObject()) bad("the settings are missing");
    c.settings = settings(set);
    c.mayProbe = flag(member(set, "limits"), "may-probe", false);
    const auto grace = span(member(set, "safety"), "drain-grace-ns", c.drainGrace);
    if (grace < Duration{}) bad("settings: 'drain-grace-ns' is out of range");
    c.drainGrace = std::chrono::duration_cast<std::chrono::milliseconds>(grace);
    c.settingsText = set.toStyledString();
    try {
        stoathub::Sender(c.settings, 0);
    } catch (const std::invalid_argument& e) {
        bad(e.what());
    }
    c.classes = names(list(set, "grades"));
    // Requests and records tell a class by its name.
    for (std::size_t i = 0; i < c.classes.size(); ++i)
        if (c.classes[i].empty() ||
            std::find(c.classes.begin(), c.classes.begin() + static_cast<std::ptrdiff_t>(i), c.classes[i]) !=
                c.classes.begin() + static_cast<std::ptrdiff_t>(i))
            bad("settings: a class has no name, or one that another has");
    c.tenants = names(list(set, "accounts"));
    c.kinds = names(list(set, "kinds"));
    c.zones = names(list(set, "zones"));
    return c;
}

int position(const std::vector<std::string>& names, std::string_view name, int otherwise) {
    const auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? otherwise : static_cast<int>(it - names.begin());
}

// Clients hold at most a third of the descriptors for requests; whatever else connects needs room beside
// them, or it would keep them out.
Shares shares(const Config& config) {
    constexpr std::size_t kAside = 48;
    Shares s;
    // Where there are few, each gets a part of what is left.
    auto left = config.sockets - std::min(kAside, config.sockets / 2);
    s.calls = std::min({static_cast<std::size_t>(config.settings.slots), config.sockets / 3, left / 2});
    left -= s.calls;
    s.idle = std::min({2 * s.calls, config.sockets / 5, left / 2});
    left -= s.idle;
    s.clients = left;
    return s;
}

overload::MemoryPlan memoryPlan(const Config& config) {
    const auto split = shares(config);
    return overload::planMemory({config.memoryMb * kBytesPerMb, config.diskBytes, split.calls, split.clients,
                                 static_cast<std::size_t>(config.settings.maxHeld)});
}

std::vector<std::string> needRestart(const Config& running, const Config& fresh) {
    std::vector<std::string> changed;
    if (fresh.name != running.name) changed.push_back("name");
    if (fresh.listen.text != running.listen.text) changed.push_back("listen");
    if (fresh.state != running.state) changed.push_back("state");
    if (fresh.limitsText != running.limitsText) changed.push_back("limits");
    if (fresh.settingsText != running.settingsText) changed.push_back("settings");
    return changed;
}

Config fromEnvironment() {
    std::map<std::string, std::string> environment;
    for (const char* name :
         {"BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_STATE", "BALANCER_CONFIG"}) {
        if (const char* value = std::getenv(name)) environment[name] = value;
    }
    const auto path = environment["BALANCER_CONFIG"];
    if (path.empty()) bad("BALANCER_CONFIG names no file");
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) bad("can't read the configuration '" + path + "'");
    return fromText(text.str(), environment);
}

}  // namespace laurelhaven::config
