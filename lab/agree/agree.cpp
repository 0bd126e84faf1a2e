#include "agree/agree.hpp"

#include <json/value.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace laurelhaven::agree {
namespace {

[[noreturn]] void unknown(const lab::Scenario& scenario, const std::string& what) {
    throw lab::Bad(scenario.name + ": the model knows no " + what +
                   "; play it on loopback: laurelhaven-lab run");
}

Json::Value value(const model::Peak& peak) {
    Json::Value one;
    one["most"] = peak.most;
    one["bound"] = peak.bound;
    one["at_s"] = lab::seconds(peak.at);
    return one;
}

Json::Value value(const model::Day& day) {
    Json::Value one;
    const auto number = [&](const char* name, std::uint64_t n) { one[name] = Json::UInt64(n); };
    number("messages", day.messages);
    number("taken", day.taken);
    number("delivered", day.delivered);
    number("failed", day.failed);
    number("returned", day.returned);
    number("refused", day.refused);
    number("calls", day.calls);
    number("refused_calls", day.refusedCalls);
    number("refused_for_room", day.heldFull);
    number("events", day.events);
    one["service"] = day.worth.whole;
    one["service_worst_10_s"] = day.worth.worst10;
    one["service_worst_tenant"] = day.worth.worstTenant;
    one["score"] = day.score();
    one["rules_kept"] = day.rules.kept();
    one["fall_overs"] = Json::UInt64(day.rules.fallOvers);
    one["peaks"]["slots"] = value(day.slots);
    one["peaks"]["held"] = value(day.held);
    for (const auto& p : day.partners) one["peaks"]["partners"].append(value(p));
    return one;
}

}  // namespace

model::Fleet fleet(const lab::Scenario& s) {
    if (s.discovery != lab::Discovery::Mode::up) unknown(s, "discovery that is down");
    if (s.drained > 0 || s.readdressed > 0) unknown(s, "fleet that has changed since its list was kept");
    model::Fleet made;
    made.senders.count = s.senders;
    made.service = lab::service(s);
    for (int i = 0; i < s.partners; ++i) {
        model::Partner one{lab::partner(s, i), s.endpoints, i < s.cold, {}};
        one.does.oneSender = s.senders == 1;
        made.partners.push_back(one);
    }
    using From = lab::Event::Kind;
    using To = model::Trouble::Kind;
    for (const auto& e : s.events) {
        const auto add = [&](To kind) { made.troubles.push_back({kind, e.at, e.which}); };
        switch (e.kind) {
            case From::outage: add(To::outage); break;
            case From::back: add(To::back); break;
            case From::drain: add(To::drain); break;
            case From::kill: add(To::kill); break;
            case From::start: add(To::start); break;
            // Only a description of a fleet has these, and that is played by itself.
            case From::slow: unknown(s, "slow answers");
            case From::limit: unknown(s, "a changed limit");
            case From::zoneLost:
            case From::zoneBack: unknown(s, "zones of a scenario");
            case From::stop: unknown(s, "planned stop");
            case From::discovery: unknown(s, "discovery that is down");
            case From::loseHistory: unknown(s, "discovery that loses its history");
            case From::move: unknown(s, "discovery that moves");
        }
    }
    return made;
}

model::Day modelled(const lab::Scenario& scenario) {
    return model::play(fleet(scenario), model::draw(lab::shape(scenario), scenario.seed), scenario.seed);
}

std::string table(const std::vector<Pair>& pairs) {
    std::string text = fmt::format("{:<28} {:>8} {:>15} {:>15} {:>15} {:>9} {:>9}\n", "day", "messages",
                                   "service m / l", "refused calls", "delivered", "diff", "rules");
    for (const auto& p : pairs)
        text +=
            fmt::format("{:<28} {:>8} {:>6.3f} / {:>6.3f} {:>6} / {:>6} {:>6} / {:>6} {:>+9.3f} {:>9}\n",
                        p.name, p.model.messages, p.model.worth.whole, p.loopback.whole, p.model.refusedCalls,
                        p.loopback.ledger.full, p.model.delivered, p.loopback.delivered, p.difference(),
                        p.model.rules.kept() && p.loopback.clean() ? "kept"
                        : p.model.rules.kept()                     ? "loopback"
                        : p.loopback.clean()                       ? "model"
                                                                   : "both");
    return text + "m: the model, l: loopback with real senders; rules: who broke one\n";
}

std::string json(const std::vector<Pair>& pairs) {
    Json::Value all(Json::arrayValue);
    for (const auto& p : pairs) {
        Json::Value one;
        one["name"] = p.name;
        one["model"] = value(p.model);
        one["loopback"]["service"] = p.loopback.whole;
        one["loopback"]["delivered"] = Json::UInt64(p.loopback.delivered);
        one["loopback"]["refused_calls"] = Json::UInt64(p.loopback.ledger.full);
        one["loopback"]["fall_overs"] = Json::UInt64(p.loopback.ledger.fallOvers);
        one["loopback"]["clean"] = p.loopback.clean();
        one["difference"] = p.difference();
        all.append(one);
    }
    return lab::written(all) + "\n";
}

std::string json(const std::string& name, const model::Day& day, double took) {
    auto one = value(day);
    one["name"] = name;
    one["took_s"] = took;
    return lab::written(one) + "\n";
}

std::string text(const std::string& name, const model::Day& day, double took) {
    std::string out = fmt::format(
        "{}: service {:.3f}, worst 10 s {:.3f}, score {:.3f}; {} messages: {} delivered, {} failed, {} "
        "returned, {} "
        "refused; {} calls, {} of them refused\n  {} events in {:.2f} s; slots at most {:.0f} of {:.0f}, "
        "held {:.0f} "
        "of {:.0f}",
        name, day.worth.whole, day.worth.worst10, day.score(), day.messages, day.delivered, day.failed,
        day.returned, day.refused, day.calls, day.refusedCalls, day.events, took, day.slots.most,
        day.slots.bound, day.held.most, day.held.bound);
    const auto nearest = std::max_element(day.partners.begin(), day.partners.end(),
                                          [](const auto& a, const auto& b) { return a.share() < b.share(); });
    if (nearest != day.partners.end())
        out += fmt::format("; the partner nearest to its bound is {} with {:.0f}% at {:.1f} s",
                           nearest - day.partners.begin(), 100 * nearest->share(), lab::seconds(nearest->at));
    return out +
           (day.rules.kept()
                ? "\n"
                : fmt::format("\n  RULES BROKEN: {} fall-overs, {} overlaps, {} doubles, {} "
                              "lost, {} to drained, {} during waits, {} second ends\n",
                              day.rules.fallOvers, day.rules.overlaps, day.rules.doubles, day.rules.lost,
                              day.rules.toDrained, day.rules.duringWait, day.rules.secondEnds));
}

}  // namespace laurelhaven::agree
