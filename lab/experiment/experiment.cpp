#include "experiment/experiment.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>

#include "agree/ladder.hpp"
#include "experiment/schema.hpp"
#include "yaml/checked.hpp"

namespace laurelhaven::experiment {

Experiment read(const std::string& path) {
    Experiment made;
    try {
        const auto root = yaml::checked(yaml::readFile(path), path, kSchema);
        if (!root) throw lab::Bad(path + ": it is empty; an experiment names a fleet and variants");
        const auto folder = std::filesystem::path(path).parent_path();
        const auto file = [&](const YAML::Node& node) {
            const auto found = folder / node.as<std::string>();
            if (!std::filesystem::exists(found))
                yaml::bad(path, node.Mark(), "there is no file " + found.string());
            return found.string();
        };
        if (root["name"]) made.name = root["name"].as<std::string>();
        if (root["repeats"]) made.repeats = root["repeats"].as<int>();
        if (root["seed"]) made.seed = root["seed"].as<std::uint64_t>();
        if (root["on"]) {
            made.model = made.loopback = false;
            for (const auto& place : root["on"])
                (place.as<std::string>() == "model" ? made.model : made.loopback) = true;
            if (!made.model && !made.loopback)
                yaml::bad(path, root["on"].Mark(), "'on' names neither model nor loopback");
        }
        const auto base = fleet::readFile(file(root["fleet"]));
        for (const auto& node : root["variants"]) {
            Variant v;
            v.name = node["name"].as<std::string>();
            for (const auto& other : made.variants)
                if (other.name == v.name)
                    yaml::bad(path, node.Mark(), "there are two variants '" + v.name + "'");
            if (node["load"]) v.load = node["load"].as<double>();
            v.fleet = node["fleet"] ? fleet::readFile(file(node["fleet"])) : base;
            if (node["sender"]) v.sender = file(node["sender"]);
            if (node["settings"]) v.settings = file(node["settings"]);
            if (node["senders"]) v.fleet.senders.count = node["senders"].as<int>();
            if (node["slots"]) v.fleet.senders.slots = node["slots"].as<int>();
            if (root["for"]) v.fleet.load.span = yaml::time(root["for"].as<std::string>());
            if (v.fleet.partners.size() != base.partners.size())
                yaml::bad(path, node.Mark(), "its fleet has other partners than the experiment's");
            made.variants.push_back(std::move(v));
        }
        if (made.variants.empty())
            yaml::bad(path, root["variants"].Mark(), "there must be a variant at least");
    } catch (const yaml::Bad& e) {
        throw lab::Bad(e.what());
    }
    return made;
}

namespace {

Run modelled(const Variant& v, std::uint64_t seed) {
    const auto day = model::play(v.fleet.fleet(), v.fleet.messages(v.load, seed), seed);
    Run run;
    run.worth = day.worth;
    run.messages = day.messages;
    run.delivered = day.delivered;
    run.calls = day.calls;
    run.refusedCalls = day.refusedCalls;
    run.kept = day.rules.kept();
    for (std::size_t p = 0; p < day.asked.size(); ++p)
        run.partners.push_back({day.asked[p], day.lost[p], static_cast<double>(day.turnedAway[p])});
    return run;
}

Run real(const Variant& v, std::uint64_t seed, const lab::Options& options) {
    const auto report = lab::play(agree::scenario(v.fleet, v.load, seed), options);
    Run run;
    run.loopback = true;
    run.worth = report.worth;
    run.messages = report.messages;
    run.delivered = report.delivered;
    run.calls = report.ledger.calls;
    run.refusedCalls = report.ledger.full;
    run.kept = report.clean();
    for (const auto& p : report.partners)
        run.partners.push_back({p.asked, p.lost, static_cast<double>(p.waiting + p.full)});
    const auto& t = report.times;
    run.p50 = t.sinceDue.quantile(0.5);
    run.p99 = t.sinceDue.quantile(0.99);
    run.most = t.sinceDue.greatest();
    run.p99Sent = t.sinceSent.quantile(0.99);
    run.lateP99 = t.late.quantile(0.99);
    run.corePerMessage = report.coreSeconds / std::max(1.0, static_cast<double>(report.messages));
    run.residentMb = static_cast<double>(report.residentMost) / 1e6;
    run.tail = t.sinceDue.tail();
    run.tailSent = t.sinceSent.tail();
    return run;
}

}  // namespace

Outcome play(const Experiment& experiment, const Options& options) {
    Outcome out;
    out.experiment = experiment;
    const auto begun = std::chrono::steady_clock::now();
    const auto all = experiment.variants.size() * static_cast<std::size_t>(experiment.repeats) *
                     static_cast<std::size_t>(experiment.model + experiment.loopback);
    // Variants by turns: what drifts on the machine meets all of them alike.
    for (int i = 0; i < experiment.repeats; ++i)
        for (std::size_t v = 0; v < experiment.variants.size(); ++v)
            for (const bool loopback : {false, true}) {
                if (loopback ? !experiment.loopback : !experiment.model) continue;
                const auto& variant = experiment.variants[v];
                const auto seed = experiment.seed + static_cast<std::uint64_t>(i);
                auto how = options.lab;
                how.folder += fmt::format("/{}-{}", v, seed);
                if (!variant.sender.empty()) how.program = variant.sender;
                if (!variant.settings.empty()) how.settings = variant.settings;
                how.live = options.live;
                auto run = loopback ? real(variant, seed, how) : modelled(variant, seed);
                run.variant = v;
                run.seed = seed;
                out.runs.push_back(std::move(run));
                if (options.progress)
                    options.progress(fmt::format("{} of {}: {}, seed {}, {}: {:.3f}", out.runs.size(), all,
                                                 variant.name, seed, loopback ? "loopback" : "model",
                                                 out.runs.back().worth.score()));
            }
    out.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    return out;
}

bool Outcome::kept() const {
    return std::all_of(runs.begin(), runs.end(), [](const auto& r) { return r.kept; });
}

plan::Interval Outcome::score(std::size_t variant, bool loopback) const {
    std::vector<double> values;
    for (const auto& r : runs)
        if (r.variant == variant && r.loopback == loopback) values.push_back(r.worth.score());
    return plan::interval(values);
}

namespace {

/// Differences of the runs that `a` and `b` pick, of the same seed.
template <class A, class B>
plan::Interval paired(const std::vector<Run>& runs, const A& a, const B& b) {
    std::vector<double> values;
    for (const auto& x : runs)
        for (const auto& y : runs)
            if (x.seed == y.seed && a(x) && b(y)) values.push_back(x.worth.score() - y.worth.score());
    return plan::interval(values);
}

}  // namespace

plan::Interval Outcome::difference(std::size_t variant, bool loopback) const {
    return paired(
        runs, [&](const Run& r) { return r.variant == variant && r.loopback == loopback; },
        [&](const Run& r) { return r.variant == 0 && r.loopback == loopback; });
}

plan::Interval Outcome::disagreement(std::size_t variant) const {
    return paired(
        runs, [&](const Run& r) { return r.variant == variant && r.loopback; },
        [&](const Run& r) { return r.variant == variant && !r.loopback; });
}

void write(const Outcome& outcome, const std::string& folder) {
    std::filesystem::create_directories(folder);
    for (const auto& [name, bytes] :
         {std::pair{"results.json", json(outcome)}, {"report.html", page(outcome)}}) {
        const auto path = folder + "/" + name;
        std::ofstream file(path);
        if (!(file << bytes << std::flush)) throw std::runtime_error(path + " can't be written");
    }
}

}  // namespace laurelhaven::experiment
