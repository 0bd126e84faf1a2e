#include "agree/ladder.hpp"

#include <json/value.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <numeric>

#include "plan/runs.hpp"

namespace laurelhaven::agree {
namespace {

/// Every run has addresses and a folder of its own.
std::atomic<std::size_t> blocks{500};

std::optional<double> crossing(const std::vector<Rung>& rungs, double goal, double Rung::*score) {
    for (std::size_t i = 0; i < rungs.size(); ++i) {
        if (rungs[i].*score >= goal) continue;
        if (i == 0) return std::nullopt;
        const auto &a = rungs[i - 1], &b = rungs[i];
        return a.load + (b.load - a.load) * (a.*score - goal) / (a.*score - b.*score);
    }
    return std::nullopt;
}

}  // namespace

lab::Scenario scenario(const fleet::Description& d, double factor, std::uint64_t seed) {
    lab::Scenario s;
    s.name = d.name;
    s.seed = seed;
    s.block = ++blocks;
    s.senders = d.senders.count;
    s.partners = static_cast<int>(d.partners.size());
    s.wanted = d.service.wanted;
    s.deadline = d.service.deadline;
    s.duration = std::chrono::duration_cast<lab::milliseconds>(d.load.span);
    auto given = std::make_shared<lab::Given>();
    given->fleet = d.fleet();
    given->messages = d.messages(factor, seed);
    for (const auto& p : d.partners) given->names.push_back(p.name);
    s.given = given;
    using From = model::Trouble::Kind;
    using To = lab::Event::Kind;
    for (const auto& t : d.troubles) {
        lab::Event e;
        e.at = std::chrono::duration_cast<lab::milliseconds>(t.at);
        e.which = t.which;
        e.factor = t.factor;
        switch (t.kind) {
            case From::outage: e.kind = To::outage; break;
            case From::back: e.kind = To::back; break;
            case From::drain: e.kind = To::drain; break;
            case From::slow: e.kind = To::slow; break;
            case From::limit: e.kind = To::limit; break;
            case From::kill: e.kind = To::kill; break;
            case From::start: e.kind = To::start; break;
            case From::zoneLost: e.kind = To::zoneLost; break;
            case From::zoneBack: e.kind = To::zoneBack; break;
            case From::discoveryDown:
            case From::discoveryUp:
                e.kind = To::discovery;
                e.mode =
                    t.kind == From::discoveryUp ? lab::Discovery::Mode::up : lab::Discovery::Mode::silent;
                break;
        }
        s.events.push_back(e);
    }
    return s;
}

namespace {

/// As plan::relaxed, with numbers that real senders can have.
fleet::Description lifted(const fleet::Description& d, const plan::Resource& resource) {
    auto made = plan::relaxed(d, resource);
    if (resource.kind == plan::Resource::Kind::slots) made.senders.slots = std::max(200, 4 * d.senders.slots);
    if (resource.kind == plan::Resource::Kind::held) made.senders.held = 10 * d.senders.held;
    return made;
}

double modelled(const fleet::Description& d, double factor, std::uint64_t day) {
    std::vector<double> scores;
    // Chance of the partners differs from run to run; the messages don't.
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        scores.push_back(plan::value(model::play(d.fleet(), d.messages(factor, day), seed)));
    return plan::interval(scores).mean;
}

}  // namespace

plan::Resource measured(const lab::Report& report, const fleet::Description& d) {
    using Kind = plan::Resource::Kind;
    if (report.slotsOutShare > 0.1) return {Kind::slots, 0};
    std::size_t worst = 0;
    for (std::size_t p = 0; p < report.partners.size(); ++p)
        if (report.partners[p].lost > report.partners[worst].lost) worst = p;
    const auto& does = d.partners.at(worst).is.does;
    const auto& seen = report.partners.at(worst);
    // Senders that know its pace hold back rather than be turned away: then the lower of the two bounds it.
    if (does.limit <= 0 || seen.full > seen.waiting) return {Kind::capacity, worst};
    return {does.limit <= does.capacity ? Kind::limit : Kind::capacity, worst};
}

std::vector<Ladder> ladders(const std::vector<fleet::Description>& fleets, const LadderOptions& options) {
    std::vector<Ladder> all;
    struct Run {
        std::size_t ladder = 0, rung = 0;
    };
    std::vector<Run> runs;
    for (const auto& d : fleets) {
        plan::Runs model([&](double factor, std::uint64_t) { return d.messages(factor, options.day); });
        plan::BreakOptions how;
        how.seeds = options.seeds;
        how.later = 0;
        Ladder ladder;
        ladder.name = d.name;
        ladder.goal = d.goal;
        ladder.plan = plan::breaks(d, model, how);
        for (const auto& c : ladder.plan.causes) ladder.planned.push_back(plan::name(c.resource, d));
        for (const double part : options.rungs) {
            Rung rung;
            rung.load = part * ladder.plan.load.mean;
            rung.model = modelled(d, rung.load, options.day);
            runs.push_back({all.size(), ladder.rungs.size()});
            ladder.rungs.push_back(rung);
        }
        if (options.lab.progress)
            options.lab.progress(fmt::format("{}: the planner says {:.2f}", d.name, ladder.plan.load.mean));
        all.push_back(std::move(ladder));
    }
    std::vector<plan::Resource> bound(runs.size());
    std::mutex mutex;
    const plan::Runs pool(plan::Messages{}, static_cast<unsigned>(options.side));
    pool.each(runs.size(), [&](std::size_t i) {
        auto& ladder = all[runs[i].ladder];
        auto& rung = ladder.rungs[runs[i].rung];
        const auto& d = fleets[runs[i].ladder];
        auto how = options.lab;
        how.folder += "/" + std::to_string(i);
        // Runs side by side share the machine: what is late by a hair is no broken rule here.
        how.exact = false;
        how.progress = {};
        const auto report = lab::play(scenario(d, rung.load, options.day), how);
        rung.loopback = report.worth.score();
        rung.kept = report.clean();
        bound[i] = measured(report, d);
        if (options.lab.progress) {
            const std::lock_guard lock(mutex);
            options.lab.progress(fmt::format("{} at {:.2f}: {:.3f} on the model, {:.3f} on loopback", d.name,
                                             rung.load, rung.model, rung.loopback));
        }
    });
    pool.each(all.size(), [&](std::size_t l) {
        auto& ladder = all[l];
        const auto under = std::find_if(ladder.rungs.begin(), ladder.rungs.end(),
                                        [&](const auto& r) { return r.loopback < ladder.goal; });
        if (under == ladder.rungs.end() || ladder.plan.causes.empty()) return;
        auto without = fleets[l];
        for (const auto& cause : ladder.plan.causes) without = lifted(without, cause.resource);
        auto how = options.lab;
        how.folder += "/lift-" + std::to_string(l);
        how.exact = false;
        how.progress = {};
        const auto report = lab::play(scenario(without, under->load, options.day), how);
        ladder.lift = {under->load, under->model, modelled(without, under->load, options.day),
                       under->loopback, report.worth.score()};
    });
    for (std::size_t l = 0; l < all.size(); ++l) {
        auto& ladder = all[l];
        ladder.model = crossing(ladder.rungs, ladder.goal, &Rung::model);
        ladder.loopback = crossing(ladder.rungs, ladder.goal, &Rung::loopback);
        for (std::size_t i = 0; i < runs.size(); ++i) {
            if (runs[i].ladder != l || ladder.rungs[runs[i].rung].loopback >= ladder.goal) continue;
            ladder.measured = plan::name(bound[i], fleets[l]);
            ladder.sameCause = std::any_of(ladder.plan.causes.begin(), ladder.plan.causes.end(),
                                           [&](const auto& c) { return c.resource == bound[i]; });
            break;
        }
    }
    return all;
}

std::string table(const std::vector<Ladder>& ladders) {
    const auto load = [](const std::optional<double>& l) {
        return l ? fmt::format("{:.2f}", *l) : std::string("none");
    };
    std::string out =
        fmt::format("{:<14} {:>20} {:>8} {:>9} {:>7} {:>9}  {}\n", "fleet", "planner (95%)", "model",
                    "loopback", "off by", "score", "first failure: planned / measured");
    for (const auto& l : ladders) {
        double most = 0;
        bool kept = true;
        for (const auto& r : l.rungs)
            most = std::max(most, std::fabs(r.model - r.loopback)), kept = kept && r.kept;
        std::string planned;
        for (const auto& p : l.planned) planned += (planned.empty() ? "" : " and ") + p;
        out += fmt::format(
            "{:<14} {:>5.2f} ({:.2f} to {:.2f}) {:>8} {:>9} {:>7} {:>9.3f}  {} / {}{}{}\n", l.name,
            l.plan.load.mean, l.plan.load.least, l.plan.load.most, load(l.model), load(l.loopback),
            l.loopback ? fmt::format("{:+.0f}%", 100 * (l.plan.load.mean / *l.loopback - 1)) : "-", most,
            planned, l.measured.empty() ? "none" : l.measured,
            l.sameCause || l.measured.empty() ? "" : " (differs)", kept ? "" : "  RULES BROKEN");
        if (l.lift)
            out += fmt::format(
                "{:>36} at {:.2f}, with that lifted: model {:.3f} to {:.3f}, loopback {:.3f} to {:.3f}: {}\n",
                "", l.lift->load, l.lift->model, l.lift->modelLifted, l.lift->loopback,
                l.lift->loopbackLifted, l.lift->confirmed() ? "confirmed" : "NOT CONFIRMED");
    }
    return out +
           "planner, model, loopback: where the same messages' score crosses the goal; off by: planner "
           "against "
           "loopback; "
           "score: the\ngreatest difference of model and loopback on any rung\n";
}

std::string json(const std::vector<Ladder>& ladders) {
    Json::Value all(Json::arrayValue);
    for (const auto& l : ladders) {
        Json::Value one;
        one["fleet"] = l.name;
        one["goal"] = l.goal;
        one["planned"] = l.plan.load.mean;
        one["planned_least"] = l.plan.load.least;
        one["planned_most"] = l.plan.load.most;
        for (const auto& p : l.planned) one["planned_causes"].append(p);
        if (l.model) one["model"] = *l.model;
        if (l.loopback) one["loopback"] = *l.loopback;
        one["measured_cause"] = l.measured;
        one["same_cause"] = l.sameCause;
        if (l.lift) {
            one["lifted"]["load"] = l.lift->load;
            one["lifted"]["model"] = l.lift->model;
            one["lifted"]["model_lifted"] = l.lift->modelLifted;
            one["lifted"]["loopback"] = l.lift->loopback;
            one["lifted"]["loopback_lifted"] = l.lift->loopbackLifted;
            one["lifted"]["confirmed"] = l.lift->confirmed();
        }
        for (const auto& r : l.rungs) {
            Json::Value rung;
            rung["load"] = r.load;
            rung["model"] = r.model;
            rung["loopback"] = r.loopback;
            rung["rules_kept"] = r.kept;
            one["rungs"].append(rung);
        }
        all.append(one);
    }
    return lab::written(all) + "\n";
}

}  // namespace laurelhaven::agree
