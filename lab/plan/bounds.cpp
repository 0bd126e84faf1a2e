#include "plan/bounds.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace laurelhaven::plan {
namespace {

constexpr double kBeyond = 0.05;
constexpr double kNever = std::numeric_limits<double>::infinity();

/// Mean of the answers' times in seconds.
double meanServe(const lab::PartnerModel& does) {
    // Of a lognormal: the median times exp(sigma^2 / 2).
    if (does.answers.empty())
        return lab::seconds(does.serve) * std::exp(does.serveSpread * does.serveSpread / 2);
    double mean = does.answers.front().first * does.answers.front().second;
    for (std::size_t i = 1; i < does.answers.size(); ++i) {
        const auto &a = does.answers[i - 1], &b = does.answers[i];
        // Even on a logarithmic scale: the logarithmic mean of both ends.
        const double ratio = std::log(b.second / a.second);
        mean += (b.first - a.first) * (ratio > 1e-9 ? (b.second - a.second) / ratio : b.second);
    }
    return mean;
}

/// The greatest load below `full` at which `beyond` stays within kBeyond.
template <class Beyond>
double strained(double full, const Beyond& beyond) {
    double least = 0, most = full;
    for (int i = 0; i < 40; ++i) {
        const double middle = (least + most) / 2;
        (beyond(middle) <= kBeyond ? least : most) = middle;
    }
    return least;
}

}  // namespace

double erlangC(double offered, int servers) {
    if (servers < 1 || offered >= servers) return 1;
    if (offered <= 0) return 0;
    double inverse = 1;  // of the loss formula
    for (int n = 1; n <= servers; ++n) inverse = 1 + inverse * n / offered;
    const double loss = 1 / inverse, use = offered / servers;
    return loss / (1 - use * (1 - loss));
}

double kingmanWait(double use, double rate, double arrivals, double services) {
    if (use >= 1) return kNever;
    return use / (1 - use) * (arrivals + services) / 2 / rate;
}

double kingmanBeyond(double use, double rate, double arrivals, double services, double longest) {
    if (use >= 1) return 1;
    return use * std::exp(-2 * (1 - use) * rate * longest / std::max(1e-9, arrivals + services));
}

double dispersion(double clumped, double size) {
    // N = 1 + Poisson(m): E[N^2]/E[N] = ((1 + m)^2 + m) / (1 + m).
    const double m = std::max(0.0, size - 1);
    return (1 - clumped) + clumped * ((1 + m) * (1 + m) + m) / (1 + m);
}

std::vector<Bound> bounds(const fleet::Description& d) {
    std::vector<Bound> all;
    const double lumpy = dispersion(d.load.clumped, d.load.clump);
    double asked = 0, busy = 0;  // messages a second; calls out on average
    for (const auto& p : d.partners) {
        const auto& does = p.is.does;
        asked += p.asked;
        const double serve = meanServe(does) + 2 * lab::seconds(d.network.delay);
        busy += p.asked * serve;
        if (p.asked <= 0) continue;
        if (does.limit > 0) {
            const double use = p.asked / does.limit;
            // The allowance holds a second's worth, as a queue would of that length.
            const double depth = 1 + lab::seconds(d.service.wanted);
            const auto beyond = [&](double f) { return kingmanBeyond(f * use, does.limit, lumpy, 0, depth); };
            all.push_back(
                {"limit of " + p.name, use, 1 / use, strained(1 / use, beyond),
                 fmt::format("{:.3g}/s asked of {:.3g}/s allowed; counts vary {:.1f} times as much as "
                             "independent ones (Kingman)",
                             p.asked, does.limit, lumpy)});
        }
        const double use = p.asked / does.capacity;
        const double depth = lab::seconds(does.depth) + lab::seconds(d.service.wanted);
        const auto beyond = [&](double f) { return kingmanBeyond(f * use, does.capacity, lumpy, 0, depth); };
        all.push_back(
            {"capacity of " + p.name, use, 1 / use, strained(1 / use, beyond),
             fmt::format("{:.3g}/s asked of {:.3g}/s done by {} endpoints; mean wait {:.3g} s (Kingman)",
                         p.asked, does.capacity, p.is.endpoints, kingmanWait(use, does.capacity, lumpy, 0))});
    }
    const auto& s = d.senders;
    const double each = busy / s.count;
    const int slots = std::min(s.slots, s.sockets / 3);
    if (each > 0) {
        const double use = each / slots;
        all.push_back(
            {slots < s.slots ? "descriptors of a sender" : "slots of a sender", use, 1 / use,
             strained(1 / use, [&](double f) { return erlangC(f * each, slots); }),
             fmt::format("{:.3g} calls out on average (Little) of {} slots; {:.2g} of them wait (Erlang C)",
                         each, slots, erlangC(each, slots))});
        const double held = each / s.held;
        all.push_back(
            {"held messages of a sender", held, 1 / held, 1 / held,
             fmt::format("{:.3g} held on average while nothing waits (Little) of {}", each, s.held)});
    }
    const double core = asked * lab::seconds(s.perMessage + s.perCall) / s.count;
    if (core > 0)
        all.push_back({"core of a sender", core, 1 / core, 0.95 / core,
                       fmt::format("{:.3g} messages a second at {:.0f} us each", asked / s.count,
                                   1e6 * lab::seconds(s.perMessage + s.perCall))});
    const double most = s.baseMb + (s.held * s.messageKb + s.connections * s.connectionKb) / 1000;
    all.push_back(
        {"memory of a sender", most / s.memoryMb, kNever, kNever,
         fmt::format("{:.0f} MB at the most, with all {} held, of {} MB", most, s.held, s.memoryMb)});
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& a, const auto& b) { return a.strained < b.strained; });
    return all;
}

}  // namespace laurelhaven::plan
