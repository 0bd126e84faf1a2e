#include "plan/breaks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace laurelhaven::plan {
namespace {

using Kind = Resource::Kind;

constexpr double kAbove = 1.1;  // causes are looked for at so many times the breaking load
// Without one of two bounds that lie one per cent apart the load moves by up to two: chance meets each of
// them at other moments.
constexpr double kSame = 1.02;
constexpr double kWorthNaming = 0.05;  // of what the service lacks: a smaller gain names no cause
constexpr std::size_t kMostPartners = 4;

constexpr int kBoundless = 1'000'000;

/// What may bind, of the partners that lost most only.
std::vector<Resource> candidates(const Description& d, const std::vector<double>& lost) {
    std::vector<Resource> all;
    std::vector<std::size_t> order(d.partners.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) { return lost[a] > lost[b]; });
    if (order.size() > kMostPartners) order.resize(kMostPartners);
    for (const auto p : order) {
        const auto& does = d.partners[p].is.does;
        if (lost[p] <= 0) continue;
        if (does.limit > 0) all.push_back({Kind::limit, p});
        all.push_back({Kind::capacity, p});
        if (does.told < 0.98 * (does.limit > 0 ? std::min(does.limit, does.capacity) : does.capacity))
            all.push_back({Kind::listed, p});
        all.push_back({Kind::answers, p});
        if (d.partners[p].is.coldAtStart || !d.troubles.empty()) all.push_back({Kind::cold, p});
    }
    const auto& s = d.senders;
    all.push_back({Kind::slots, 0});
    if (s.slots > s.sockets / 3) all.push_back({Kind::descriptors, 0});
    all.push_back({Kind::held, 0});
    all.push_back({Kind::memory, 0});
    if ((s.perMessage + s.perCall).count() > 0) all.push_back({Kind::core, 0});
    for (std::size_t i = 0; i < d.troubles.size(); ++i) all.push_back({Kind::trouble, i});
    return all;
}

/// Everything that a description names, boundless at once.
Description boundless(Description d) {
    for (std::size_t p = 0; p < d.partners.size(); ++p)
        for (const auto kind : {Kind::limit, Kind::capacity, Kind::listed, Kind::answers, Kind::cold})
            d = relaxed(std::move(d), {kind, p});
    for (const auto kind : {Kind::slots, Kind::descriptors, Kind::held, Kind::memory, Kind::core})
        d = relaxed(std::move(d), {kind, 0});
    d.troubles.clear();
    return d;
}

std::vector<double> lostBy(const std::vector<model::Day>& days) {
    std::vector<double> lost(days.front().lost.size());
    for (const auto& day : days)
        for (std::size_t p = 0; p < lost.size(); ++p) lost[p] += day.lost[p];
    return lost;
}

double meanValue(const std::vector<model::Day>& days) {
    double sum = 0;
    for (const auto& day : days) sum += value(day);
    return sum / static_cast<double>(days.size());
}

/// Where a trouble of `fleet` stands in the description that it was made of.
std::size_t position(const Description& fleet, std::size_t which, const Description& given) {
    const auto& t = fleet.troubles.at(which);
    const auto it = std::find_if(given.troubles.begin(), given.troubles.end(), [&](const auto& other) {
        return other.kind == t.kind && other.at == t.at && other.which == t.which;
    });
    return static_cast<std::size_t>(it - given.troubles.begin());
}

}  // namespace

std::string name(const Resource& r, const Description& d) {
    const auto partner = [&] { return d.partners.at(r.which).name; };
    switch (r.kind) {
        case Kind::limit: return "the limit of " + partner();
        case Kind::capacity: return "the capacity of " + partner() + " (its queue fills)";
        case Kind::listed: return "the rate that the list gives for " + partner();
        case Kind::answers: return "the answer times of " + partner();
        case Kind::cold: return "the cold start of " + partner();
        case Kind::slots: return "the senders' slots";
        case Kind::held: return "what the senders may hold";
        case Kind::descriptors: return "the senders' descriptors";
        case Kind::memory: return "the senders' memory";
        case Kind::core: return "the senders' core";
        case Kind::trouble: {
            using T = model::Trouble::Kind;
            const auto& t = d.troubles.at(r.which);
            const auto at = fmt::format(" at {:.4g} s", lab::seconds(t.at));
            const auto whose = [&] { return d.partners.at(t.which).name; };
            switch (t.kind) {
                case T::outage: return "the outage of " + whose() + at;
                case T::back: return "the return of " + whose() + at;
                case T::drain: return "the drain at " + whose() + at;
                case T::slow: return "the slow answers of " + whose() + at;
                case T::limit: return "the changed limit of " + whose() + at;
                case T::kill: return fmt::format("the death of sender {}{}", t.which, at);
                case T::start: return fmt::format("the start of sender {}{}", t.which, at);
                case T::zoneLost: return "the loss of zone " + d.zones.at(t.which) + at;
                case T::zoneBack: return "the return of zone " + d.zones.at(t.which) + at;
                case T::discoveryDown: return "discovery going down" + at;
                case T::discoveryUp: return "discovery coming back" + at;
            }
            break;
        }
    }
    return "?";
}

Description relaxed(Description d, const Resource& r) {
    const auto partner = [&]() -> lab::PartnerModel& { return d.partners.at(r.which).is.does; };
    // The senders pace themselves by what the list gives: it follows what the partner takes.
    const auto list = [](lab::PartnerModel& p) {
        p.told = p.limit > 0 ? std::min(p.limit, p.capacity) : p.capacity;
    };
    switch (r.kind) {
        case Kind::limit:
            partner().limit = 0;
            list(partner());
            break;
        case Kind::capacity: {
            auto& p = partner();
            const bool told = p.told < p.capacity;
            p.capacity *= 1000;
            if (!told) list(p);
            break;
        }
        case Kind::listed: list(partner()); break;
        case Kind::answers:
            partner().serve = std::chrono::milliseconds(1);
            partner().answers.clear();
            break;
        case Kind::cold:
            partner().coldFrom = 1;
            d.partners.at(r.which).is.coldAtStart = false;
            break;
        case Kind::slots: d.senders.slots = kBoundless; break;
        case Kind::held: d.senders.held = kBoundless; break;
        case Kind::descriptors: d.senders.sockets = kBoundless; break;
        case Kind::memory: d.senders.memoryMb = kBoundless; break;
        case Kind::core: d.senders.perMessage = d.senders.perCall = {}; break;
        case Kind::trouble: {
            // What only undoes it goes with it.
            using T = model::Trouble::Kind;
            const auto gone = d.troubles.at(r.which);
            const auto undone = gone.kind == T::outage          ? T::back
                                : gone.kind == T::kill          ? T::start
                                : gone.kind == T::zoneLost      ? T::zoneBack
                                : gone.kind == T::discoveryDown ? T::discoveryUp
                                                                : gone.kind;
            std::erase_if(d.troubles, [&](const auto& t) {
                return t.which == gone.which && (t.kind == gone.kind || t.kind == undone) && t.at >= gone.at;
            });
            break;
        }
    }
    return d;
}

Breaks breaks(const Description& description, Runs& runs, const BreakOptions& options) {
    Breaks result;
    const auto before = runs.played();
    const auto say = [&](const std::string& line) {
        if (options.progress) options.progress(line);
    };
    Runs::Search search;
    search.most = options.most;
    const auto greatest = [&](const Description& d) {
        return interval(runs.greatest(d, options.seeds, search));
    };
    say("raising the load until the goal is missed");
    result.load = greatest(description);
    if (result.load.mean >= 0.999 * search.most) {
        result.verdict = Breaks::Verdict::never;
        result.played = runs.played() - before;
        return result;
    }
    if (result.load.mean <= 1.001 * search.least) result.verdict = Breaks::Verdict::always;

    auto fleet = description;  // with what was named already boundless
    double at = result.load.mean;
    const int probes = std::max(2, options.seeds / 2);
    for (int round = 0; round <= options.later + 3; ++round) {
        const auto days = runs.days(fleet, kAbove * at, options.seeds);
        const double score = meanValue(days);
        if (round == 0) {
            result.score = score;
            result.scoreBoundless = meanValue(runs.days(boundless(fleet), kAbove * at, options.seeds));
            result.unnamed = result.scoreBoundless < description.goal;
            for (std::size_t i = 0; i < days.front().worth.service.size() && !result.second; ++i) {
                const double s = days.front().worth.service[i];
                if (s >= 0 && s < description.goal) result.second = static_cast<int>(i);
            }
            if (result.unnamed) break;
        }
        const auto all = candidates(fleet, lostBy(days));
        const double base = runs.mean(fleet, kAbove * at, probes);
        const auto gain = [&](const Description& without) {
            return runs.mean(without, kAbove * at, probes) - base;
        };
        std::vector<Cause> best(1);
        Cause demand;
        for (const auto& resource : all) {
            say(fmt::format("at {:.2f} times the load: what if {} did not bind", kAbove * at,
                            name(resource, fleet)));
            const double gained = gain(relaxed(fleet, resource));
            auto& place = resource.kind == Kind::answers ? demand : best[0];
            if (gained > place.gain) place = {resource, gained, {}};
        }
        // Quicker answers ease every bound on calls out: they are the cause only where no bound is.
        if (best[0].gain < demand.gain / 2) best[0] = demand;
        if (best[0].gain < kWorthNaming * (1 - score)) {
            // Two bounds at one place hide each other: only without both is there a gain.
            best.assign(2, {});
            for (std::size_t i = 0; i < all.size(); ++i)
                for (std::size_t j = i + 1; j < all.size(); ++j) {
                    if (all[i].kind == Kind::trouble || all[j].kind == Kind::trouble) continue;
                    const double gained = gain(relaxed(relaxed(fleet, all[i]), all[j]));
                    if (gained > best[0].gain) best = {{all[i], gained, {}}, {all[j], gained, {}}};
                }
            if (best[0].gain < kWorthNaming * (1 - score)) {
                result.unnamed = round == 0;
                break;
            }
        }
        for (auto& cause : best) {
            const auto resource = cause.resource;
            // Positions of troubles shift as they go: names are made against the fleet as it was given.
            if (resource.kind == Kind::trouble)
                cause.resource.which = position(fleet, resource.which, description);
            fleet = relaxed(std::move(fleet), resource);
        }
        const auto next = greatest(fleet);
        const bool together = result.causes.empty() || at <= kSame * result.load.mean;
        for (auto& cause : best) {
            cause.next = next;
            (together ? result.causes : result.later).push_back(cause);
        }
        if (next.mean >= 0.999 * search.most) break;
        at = std::max(at, next.mean);
        // What is next breaks at another load, and enough of that has been said.
        if (at > kSame * result.load.mean && static_cast<int>(result.later.size()) >= options.later) break;
    }
    result.played = runs.played() - before;
    return result;
}

}  // namespace laurelhaven::plan
