#include "plan/whatif.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <numeric>

namespace laurelhaven::plan {

std::vector<WhatIf> whatIf(const Description& description, Runs& runs, const WhatIfOptions& options) {
    using Kind = model::Trouble::Kind;
    const lab::Instant third = description.load.span / 3;
    std::vector<double> base;
    std::vector<WhatIf> all;
    const auto add = [&](const std::string& name, const Description& d, double factor, Runs& on) {
        if (options.progress) options.progress(name);
        WhatIf one;
        one.name = name;
        std::vector<double> scores, differences;
        for (const auto& day : on.days(d, factor, options.seeds)) {
            scores.push_back(value(day));
            one.fallOvers += day.rules.fallOvers;
        }
        if (base.empty()) base = scores;
        for (std::size_t i = 0; i < scores.size(); ++i) differences.push_back(scores[i] - base[i]);
        one.score = interval(scores);
        one.difference = interval(differences);
        one.reached = one.score.mean >= description.goal;
        all.push_back(std::move(one));
    };
    const auto troubled = [&](const std::string& name, const std::vector<model::Trouble>& troubles) {
        auto d = description;
        d.troubles.insert(d.troubles.end(), troubles.begin(), troubles.end());
        std::stable_sort(d.troubles.begin(), d.troubles.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        add(name, d, options.factor, runs);
    };

    add("as described", description, options.factor, runs);
    if (description.zones.size() > 1)
        for (std::size_t z = 0; z < description.zones.size(); ++z)
            troubled(fmt::format("zone {} is lost for a third of the day", description.zones[z]),
                     {{Kind::zoneLost, third, z, 1}, {Kind::zoneBack, 2 * third, z, 1}});
    std::vector<std::size_t> order(description.partners.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](auto a, auto b) {
        return description.partners[a].asked > description.partners[b].asked;
    });
    if (order.size() > options.partners) order.resize(options.partners);
    for (const auto p : order)
        troubled(
            fmt::format("{} is down for a third of the day and returns cold", description.partners[p].name),
            {{Kind::outage, third, p, 1}, {Kind::back, 2 * third, p, 1}});
    {
        auto d = description;
        for (const auto p : order) d.partners[p].is.coldAtStart = true;
        add(fmt::format("the {} busiest partners are cold at the start, unseen", order.size()), d,
            options.factor, runs);
    }
    if (!order.empty())
        troubled(fmt::format("{} answers five times as slowly for a third of the day",
                             description.partners[order.front()].name),
                 {{Kind::slow, third, order.front(), 5}, {Kind::slow, 2 * third, order.front(), 1}});
    if (description.senders.count > 1) troubled("a sender dies and stays away", {{Kind::kill, third, 0, 1}});
    for (const double growth : options.growth)
        add(fmt::format("{:.3g} times the load", growth), description, options.factor * growth, runs);
    if (options.tenant > 0 && !order.empty()) {
        const auto busiest = static_cast<std::uint32_t>(order.front());
        double asked = 0;
        for (const auto& p : description.partners) asked += p.asked;
        Runs with([&, busiest, asked](double factor, std::uint64_t seed) {
            auto messages = runs.messages()(factor, seed);
            model::Shape shape;
            shape.rate = options.tenant * asked * factor;
            shape.span = description.load.span;
            shape.weights.assign(description.partners.size(), 0);
            shape.weights[busiest] = 1;
            for (auto h : model::draw(shape, trace::mixed(seed + 77))) {
                h.tenant = description.load.tenants;
                messages.push_back(h);
            }
            std::stable_sort(messages.begin(), messages.end(),
                             [](const auto& a, const auto& b) { return a.at < b.at; });
            return messages;
        });
        add(fmt::format("a new tenant with {:.0f}% of the load, all for {}", 100 * options.tenant,
                        description.partners[busiest].name),
            description, options.factor, with);
    }
    return all;
}

}  // namespace laurelhaven::plan
