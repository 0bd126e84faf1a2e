#include "plan/fit.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "plan/bounds.hpp"

namespace laurelhaven::plan {
namespace {

using trace::Ending;

constexpr std::size_t kMostSeconds = 100'000;  // of each partner that are kept
constexpr double kMuch = 0.05;
constexpr double kSure = 3.29;  // standard deviations: one in a thousand

/// "+-3%", of a mean.
std::string margin(const Interval& i) {
    return i.mean > 0 ? fmt::format("+-{:.0f}%", 50 * (i.most - i.least) / i.mean) : "";
}

}  // namespace

void Fit::close(Fitted& f, Second& s) {
    if (s.at < 0) return;
    f.most = std::max(f.most, s.admitted);
    const bool refused = s.waits + s.full > 0;
    // In the first second of refusals it may have spent what it had saved up.
    if (s.waits > 0 && s.refusedBefore && f.saturated.size() < kMostSeconds)
        f.saturated.push_back(s.admitted);
    if (s.full > 0 && s.waits == 0 && s.refusedBefore && f.crowded.size() < kMostSeconds)
        f.crowded.push_back(s.admitted);
    s.refusedBefore = refused;
    s.admitted = s.waits = s.full = 0;
}

void Fit::add(const trace::Record& record) {
    summary_.add(record);
    const auto* answer = std::get_if<trace::Answer>(&record);
    if (!answer) return;
    if (partners_.size() >= trace::Summary::kMostPartners && !partners_.count(answer->destination)) return;
    auto& f = partners_[answer->destination];
    const bool sent = answer->ending != Ending::notSent;
    f.calls += sent;
    if (answer->ending == Ending::delivered) {
        ++f.delivered;
        const double log = std::log(std::max(1e-5, static_cast<double>(answer->tookUs) / 1e6));
        f.logSum += log;
        f.logSquares += log * log;
    }
    f.full += answer->ending == Ending::turnedAway && answer->waitMs == 0;
    f.waits += answer->ending == Ending::turnedAway && answer->waitMs > 0;
    f.errors += answer->ending == Ending::error;
    f.broken += answer->ending == Ending::reset || answer->ending == Ending::timedOut ||
                answer->ending == Ending::noConnection;
    f.told = std::max(f.told, static_cast<double>(answer->allowedMilli) / 1000);
    // By the moment at which the partner saw the call.
    const auto begun =
        answer->at - static_cast<trace::Micros>(std::min<std::uint64_t>(answer->tookUs, 1u << 30));
    const auto second = begun / 1'000'000;
    auto& s = seconds_[answer->destination];
    if (second > s.at) {
        if (s.at >= 0) close(f, s);
        if (s.at >= 0 && second > s.at + 1) s.refusedBefore = false;
        s.at = second;
    }
    // Answers come by the time of their end: what began a little earlier counts to the second that is open.
    s.admitted += sent && answer->ending != Ending::turnedAway && answer->ending != Ending::noConnection;
    s.waits += answer->ending == Ending::turnedAway && answer->waitMs > 0;
    s.full += answer->ending == Ending::turnedAway && answer->waitMs == 0;
}

Fit::Draft Fit::draft() {
    if (summary_.arrivals == 0) throw Bad("the trace holds no messages that came in");
    for (auto& [destination, second] : seconds_) close(partners_[destination], second);
    seconds_.clear();
    Draft made;
    auto& d = made.description;
    d.name = "drafted from a trace";
    const double seconds = std::max(1.0, summary_.seconds());
    d.load.span = lab::span(std::min(seconds, 600.0));
    d.load.tenants = static_cast<std::uint32_t>(std::clamp<std::size_t>(summary_.tenants.size(), 1, 1000));
    d.service.deadline = std::chrono::milliseconds(
        std::clamp<long>(std::lround(1000 * summary_.deadlines.quantile(0.5)), 100, 28000));
    d.service.wanted = std::min(d.service.wanted, d.service.deadline);
    // Clumps: as many as explain how much the counts of the partners vary, weighted by their messages.
    double vary = 0;
    for (const auto& [destination, p] : summary_.partners)
        vary += p.arrivals.dispersion(summary_.wholeSeconds()) * static_cast<double>(p.arrivals.count()) /
                static_cast<double>(summary_.arrivals);
    const double whole = dispersion(1, d.load.clump);
    d.load.clumped = std::clamp((vary - 1) / (whole - 1), 0.0, 1.0);
    for (const auto& [destination, seen] : summary_.partners) {
        fleet::Partner p;
        p.name = fmt::format("d{}", destination);
        p.asked = static_cast<double>(seen.arrivals.count()) / seconds;
        auto& does = p.is.does;
        does.destination = destination;
        p.is.endpoints = static_cast<int>(std::clamp<std::size_t>(seen.endpoints.size(), 1, 1000));
        const auto it = partners_.find(destination);
        if (it == partners_.end() || it->second.calls == 0) {
            p.setEndpoints(p.is.endpoints);
            d.partners.push_back(p);
            made.notes.push_back("no answers: capacity and times are guesses");
            continue;
        }
        const auto& f = it->second;
        std::string note = fmt::format("{:.0f} calls", f.calls);
        if (f.delivered >= 2) {
            const double mean = f.logSum / f.delivered;
            const double sigma = std::sqrt(std::max(0.0, f.logSquares / f.delivered - mean * mean) *
                                           f.delivered / (f.delivered - 1));
            does.serve = std::chrono::milliseconds(std::max<long>(1, std::lround(1000 * std::exp(mean))));
            does.serveSpread = std::min(5.0, sigma);
            note +=
                fmt::format("; serve +-{:.0f}%", 100 * (std::exp(1.96 * sigma / std::sqrt(f.delivered)) - 1));
            // A lognormal's 99th part lies 2.33 sigma above its median. What has another tail is given as it
            // is.
            const double p99 = seen.took.quantile(0.99), p10 = seen.took.quantile(0.1);
            const double expected = std::exp(mean + 2.326 * sigma);
            if (f.delivered >= 200 && (p99 > 1.3 * expected || p99 < expected / 1.3)) {
                const double p50 = std::max(p10, seen.took.quantile(0.5)),
                             p90 = std::max(p50, seen.took.quantile(0.9));
                does.answers = {{0.1, p10},
                                {0.5, p50},
                                {0.9, p90},
                                {0.99, std::max(p90, p99)},
                                {1, std::max({p90, p99, seen.took.greatest()})}};
                note += "; times are no lognormal, so given by quantiles (each within 6%)";
            }
        }
        if (f.told > 0) {
            does.limit = f.told;
            note += "; limit as told";
        } else if (f.saturated.size() >= 2) {
            const auto rate = interval(f.saturated);
            does.limit = std::max(0.01, rate.mean);
            does.tellsLoad = false;
            note += fmt::format("; limit told nowhere, taken from {} s of refusals: {}", f.saturated.size(),
                                margin(rate));
        } else if (f.waits > 0) {
            note += "; it told waits, too few to know its limit";
        }
        double capacity = std::max({f.most, does.limit, p.asked});
        if (f.crowded.size() >= 2) {
            const auto rate = interval(f.crowded);
            capacity = std::max(rate.mean, does.limit);
            note += fmt::format("; capacity from {} s of a full queue: {}", f.crowded.size(), margin(rate));
        } else {
            p.atLeast = true;
            note += "; never seen full for long: capacity is AT LEAST this, and a break by it is no finding";
        }
        if (f.errors + f.broken > kMuch * f.calls)
            note += fmt::format("; {:.0f}% of its calls failed otherwise, which no key here describes",
                                100 * (f.errors + f.broken) / f.calls);
        p.perEndpoint = capacity / p.is.endpoints;
        const auto listed = does.limit;
        p.setEndpoints(p.is.endpoints);
        does.told = listed > 0 ? std::min(listed, does.capacity) : does.capacity;
        d.partners.push_back(p);
        made.notes.push_back(note);
    }
    return made;
}

std::vector<Unexplained> unexplained(const Fit& fit, const Description& description, Runs& runs) {
    std::vector<Unexplained> all;
    const auto days = runs.days(description, 1, 4);
    for (std::size_t p = 0; p < description.partners.size(); ++p) {
        const auto& partner = description.partners[p];
        const auto it = fit.partners().find(partner.is.does.destination);
        if (it == fit.partners().end() || it->second.calls < 20) continue;
        const auto& seen = it->second;
        double calls = 0, refused = 0, broken = 0;
        for (const auto& day : days) {
            calls += static_cast<double>(day.callsTo[p]);
            refused += static_cast<double>(day.turnedAway[p]);
            broken += static_cast<double>(day.broken[p]);
        }
        if (calls <= 0) continue;
        const auto more = [&](double count, double expected, const std::string& how) {
            const double share = count / seen.calls;
            const double sigma = std::sqrt(std::max(expected * (1 - expected), 1e-4) / seen.calls);
            if (share - expected < kMuch || share - expected < kSure * sigma) return;
            all.push_back({partner.name,
                           fmt::format("{:.0f}% of {:.0f} calls {}, where the description explains {:.0f}%",
                                       100 * share, seen.calls, how, 100 * expected)});
        };
        more(seen.errors, 0, "were answered with an error");
        more(seen.broken, broken / calls, "broke off, timed out or found nobody");
        more(seen.full + seen.waits, refused / calls, "were turned away");
    }
    return all;
}

}  // namespace laurelhaven::plan
