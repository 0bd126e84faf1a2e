#include "rig/scenario.hpp"

#include <algorithm>

#include "rig/schema.hpp"
#include "yaml/checked.hpp"

namespace laurelhaven::lab {
namespace {

using yaml::Section;

Event event(const YAML::Node& node, const std::string& name) {
    Event made;
    made.at = yaml::time(node["at"].as<std::string>());
    const auto what = node["what"].as<std::string>();
    const auto number = [&](const char* key) -> std::size_t {
        if (!node[key]) yaml::bad(name, node.Mark(), "the event '" + what + "' needs a '" + key + "'");
        return node[key].as<std::size_t>();
    };
    if (what == "discovery") {
        made.kind = Event::Kind::discovery;
        if (!node["mode"]) yaml::bad(name, node.Mark(), "the event 'discovery' needs a 'mode'");
        made.mode = Discovery::mode(node["mode"].as<std::string>());
    } else if (what == "lose-history") {
        made.kind = Event::Kind::loseHistory;
    } else if (what == "move") {
        made.kind = Event::Kind::move;
    } else if (what == "outage" || what == "back" || what == "drain") {
        made.kind = what == "outage" ? Event::Kind::outage
                    : what == "back" ? Event::Kind::back
                                     : Event::Kind::drain;
        made.which = number("partner");
    } else {
        made.kind = what == "kill"   ? Event::Kind::kill
                    : what == "stop" ? Event::Kind::stop
                                     : Event::Kind::start;
        made.which = node["sender"] ? node["sender"].as<std::size_t>() : 0;
    }
    return made;
}

}  // namespace

Scenario scenario(const std::string& text, const std::string& name) {
    Scenario s;
    YAML::Node root;
    try {
        root = yaml::checked(text, name, kScenarioSchema);
        if (!root) return s;
        if (root["name"]) s.name = root["name"].as<std::string>();
        if (root["seed"]) s.seed = root["seed"].as<std::uint64_t>();
        Section(root, "senders")
            .plain("count", s.senders)
            .plain("may-probe", s.mayProbe)
            .plain("disk-mb", s.diskMb);
        Section(root, "fleet")
            .plain("partners", s.partners)
            .plain("endpoints", s.endpoints)
            .take("rate-least", s.rateLeast, yaml::rate)
            .take("rate-most", s.rateMost, yaml::rate)
            .plain("limits", s.limits)
            .take("serve", s.serve, yaml::time);
        Section(root, "remembered")
            .plain("kept", s.kept)
            .take("age", s.keptAge, yaml::time)
            .plain("known", s.known);
        Section(root, "since")
            .take("drained", s.drained, yaml::share)
            .take("readdressed", s.readdressed, yaml::share)
            .plain("cold", s.cold);
        if (root["discovery"]) s.discovery = Discovery::mode(root["discovery"].as<std::string>());
        Section(root, "load")
            .take("of-limits", s.load, yaml::share)
            .take("clumped", s.clumped, yaml::share)
            .plain("clump", s.clump)
            .take("for", s.duration, yaml::time)
            .take("deadline", s.deadline, yaml::time)
            .take("wanted", s.wanted, yaml::time);
        for (const auto& node : root["events"]) s.events.push_back(event(node, name));
        for (std::size_t i = 0; i < s.events.size(); ++i) {
            const auto& e = s.events[i];
            const bool partner =
                e.kind == Event::Kind::outage || e.kind == Event::Kind::back || e.kind == Event::Kind::drain;
            const bool sender =
                e.kind == Event::Kind::kill || e.kind == Event::Kind::stop || e.kind == Event::Kind::start;
            if (partner && e.which >= static_cast<std::size_t>(s.partners))
                yaml::bad(name, root["events"][i].Mark(),
                          "there is no partner " + std::to_string(e.which) + ": they are 0 to " +
                              std::to_string(s.partners - 1));
            if (sender && e.which >= static_cast<std::size_t>(s.senders))
                yaml::bad(name, root["events"][i].Mark(),
                          "there is no sender " + std::to_string(e.which) + ": they are 0 to " +
                              std::to_string(s.senders - 1));
        }
        if (s.senders < 1 || s.partners < 1 || s.endpoints < 1)
            yaml::bad(name, root.Mark(), "there must be a sender, a partner and an endpoint at least");
        if (s.rateLeast <= 0 || s.rateLeast > s.rateMost)
            yaml::bad(name, root["fleet"].Mark(),
                      "'fleet.rate-least' must be above 0/s and at most rate-most");
    } catch (const yaml::Bad& e) {
        throw Bad(e.what());
    }
    std::stable_sort(s.events.begin(), s.events.end(),
                     [](const Event& a, const Event& b) { return a.at < b.at; });
    return s;
}

Scenario scenarioFile(const std::string& path) {
    try {
        return scenario(yaml::readFile(path), path);
    } catch (const yaml::Bad& e) {
        throw Bad(e.what());
    }
}

}  // namespace laurelhaven::lab
