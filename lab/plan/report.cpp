#include "plan/report.hpp"

#include <json/value.h>
#include <spdlog/fmt/fmt.h>

#include <cmath>

#include "rig/world.hpp"

namespace laurelhaven::plan {
namespace {

std::string range(const Interval& i) {
    return i.least < i.most ? fmt::format("{:.2f} ({:.2f} to {:.2f})", i.mean, i.least, i.most)
                            : fmt::format("{:.2f}", i.mean);
}

Json::Value values(const std::vector<Bound>& bounds) {
    Json::Value all(Json::arrayValue);
    for (const auto& b : bounds) {
        Json::Value one;
        one["resource"] = b.resource;
        one["use"] = b.use;
        // Infinity is no JSON number: what load never uses up has none.
        if (std::isfinite(b.full)) one["full_at"] = b.full;
        if (std::isfinite(b.strained)) one["strained_at"] = b.strained;
        one["why"] = b.why;
        all.append(one);
    }
    return all;
}

/// Only a lower bound of it is known.
bool atLeast(const Resource& r, const Description& d) {
    return r.kind == Resource::Kind::capacity && d.partners.at(r.which).atLeast;
}

Json::Value values(const std::vector<Cause>& causes, const Description& d) {
    Json::Value all(Json::arrayValue);
    for (const auto& c : causes) {
        Json::Value one;
        one["resource"] = name(c.resource, d);
        one["gain"] = c.gain;
        one["next_load"] = value(c.next);
        one["only_a_lower_bound"] = atLeast(c.resource, d);
        all.append(one);
    }
    return all;
}

}  // namespace

Json::Value value(const Interval& i) {
    Json::Value one;
    one["mean"] = i.mean;
    one["least"] = i.least;
    one["most"] = i.most;
    return one;
}

std::string text(const std::vector<Bound>& bounds) {
    std::string out =
        fmt::format("{:<32} {:>6} {:>11} {:>9}  {}\n", "by formula", "use", "strained at", "full at", "why");
    for (const auto& b : bounds) {
        const auto load = [](double l) {
            return std::isfinite(l) ? fmt::format("{:.2f}", l) : std::string("-");
        };
        out += fmt::format("{:<32} {:>5.0f}% {:>11} {:>9}  {}\n", b.resource, 100 * b.use, load(b.strained),
                           load(b.full), b.why);
    }
    return out;
}

std::string json(const std::vector<Bound>& bounds) { return lab::written(values(bounds)) + "\n"; }

std::string text(const Breaks& b, const Description& d) {
    using Verdict = Breaks::Verdict;
    std::string out = d.name + ": ";
    if (b.verdict == Verdict::never)
        return out + fmt::format("nothing breaks up to {:.3g} times the load ({} days played)\n", b.load.mean,
                                 b.played);
    if (b.unnamed) {
        out += fmt::format("the goal of {:.3g} is missed, and not for a reason that the description names.\n",
                           d.goal);
        out += fmt::format(
            "  At a load of {:.2f} the score is {:.3f}, and {:.3f} with every bound described lifted: "
            "no load is stated.\n  Look at what is not described: the goal itself, clients' tries and "
            "patience, tenants' quotas, the network, failures of a partner ('plan check TRACE').\n",
            1.1 * b.load.mean, b.score, b.scoreBoundless);
        return out;
    }
    if (b.verdict == Verdict::always)
        out += fmt::format("the goal of {:.3g} is missed at any load that was looked at, down to {:.2f}\n",
                           d.goal, b.load.mean);
    else
        out +=
            fmt::format("the goal of {:.3g} is first missed at {} times the load\n", d.goal, range(b.load));
    for (std::size_t i = 0; i < b.causes.size(); ++i) {
        const auto& c = b.causes[i];
        out += fmt::format(
            "  {} {}{}\n", i == 0 ? "by" : "and, as near as can be told, at the same load by",
            name(c.resource, d),
            atLeast(c.resource, d) ? ", of which only a lower bound is known: it may bear more" : "");
    }
    out += fmt::format("  a tenth above that the score is {:.3f}", b.score);
    if (b.second) out += fmt::format(", and falls under the goal first in second {} of the day", *b.second);
    out += "\n";
    if (!b.causes.empty())
        out += fmt::format("  were that boundless, the fleet would bear {}\n", range(b.causes.back().next));
    for (const auto& c : b.later)
        out += fmt::format("  next by {}; without it {}\n", name(c.resource, d), range(c.next));
    return out + fmt::format("  {} days played\n", b.played);
}

std::string json(const Breaks& b, const Description& d, const std::vector<Bound>& bounds) {
    Json::Value one;
    one["name"] = d.name;
    one["goal"] = d.goal;
    one["verdict"] = b.unnamed                              ? "unnamed"
                     : b.verdict == Breaks::Verdict::never  ? "never"
                     : b.verdict == Breaks::Verdict::always ? "always"
                                                            : "breaks";
    if (!b.unnamed) one["load"] = value(b.load);
    one["causes"] = values(b.causes, d);
    one["later"] = values(b.later, d);
    one["score_above"] = b.score;
    one["score_boundless"] = b.scoreBoundless;
    if (b.second) one["second"] = *b.second;
    one["days"] = Json::UInt64(b.played);
    one["bounds"] = values(bounds);
    return lab::written(one) + "\n";
}

std::string text(const Size& s, const Description& d) {
    std::string out;
    if (s.reached) {
        out = fmt::format("{}: a score of {:.3f} ({:.3f} to {:.3f}; the goal is {:.3g}) with {} sender{}\n",
                          d.name, s.score.mean, s.score.least, s.score.most, d.goal, s.senders,
                          s.senders == 1 ? "" : "s");
        for (std::size_t p = 0; p < s.endpoints.size(); ++p)
            if (s.endpoints[p] != d.partners[p].is.endpoints)
                out += fmt::format("  {}: {} endpoints, {} now\n", d.partners[p].name, s.endpoints[p],
                                   d.partners[p].is.endpoints);
    } else {
        out = fmt::format(
            "{}: the goal of {:.3g} can't be reached at any size looked at: {:.3f} ({:.3f} to {:.3f}) with "
            "{} senders and {} endpoints for each partner\n",
            d.name, d.goal, s.score.mean, s.score.least, s.score.most, s.senders,
            s.endpoints.empty() ? 0 : s.endpoints.front());
    }
    for (const auto& why : s.useless) out += "  no use: more " + why + "\n";
    return out + fmt::format("  {} days played; a sweep would take {}\n", s.played, s.sweep);
}

std::string json(const Size& s, const Description& d) {
    Json::Value one;
    one["name"] = d.name;
    one["goal"] = d.goal;
    one["reached"] = s.reached;
    one["senders"] = s.senders;
    for (std::size_t p = 0; p < s.endpoints.size(); ++p)
        one["endpoints"][d.partners[p].name] = s.endpoints[p];
    one["score"] = value(s.score);
    one["no_use"] = Json::Value(Json::arrayValue);
    for (const auto& why : s.useless) one["no_use"].append(why);
    one["days"] = Json::UInt64(s.played);
    one["days_of_a_sweep"] = Json::UInt64(s.sweep);
    return lab::written(one) + "\n";
}

std::string text(const std::vector<WhatIf>& all, const Description& d) {
    std::string out = fmt::format("{:<62} {:>6} {:>22} {:>6}\n", d.name, "score", "difference (95%)", "goal");
    for (const auto& w : all) {
        out += fmt::format("{:<62} {:>6.3f} {:>+7.3f} ({:+.3f}, {:+.3f}) {:>6}", w.name, w.score.mean,
                           w.difference.mean, w.difference.least, w.difference.most,
                           w.reached ? "held" : "MISSED");
        if (w.fallOvers > 0) out += fmt::format("  {} pushed over", w.fallOvers);
        out += "\n";
    }
    return out;
}

std::string json(const std::vector<WhatIf>& all, const Description& d) {
    Json::Value list(Json::arrayValue);
    for (const auto& w : all) {
        Json::Value one;
        one["what"] = w.name;
        one["score"] = value(w.score);
        one["difference"] = value(w.difference);
        one["goal_held"] = w.reached;
        one["fall_overs"] = Json::UInt64(w.fallOvers);
        list.append(one);
    }
    Json::Value root;
    root["name"] = d.name;
    root["goal"] = d.goal;
    root["what_if"] = list;
    return lab::written(root) + "\n";
}

std::string text(const std::vector<Unexplained>& all) {
    std::string out;
    for (const auto& u : all) out += u.partner + ": " + u.what + "\n";
    return all.empty() ? "the description explains what the trace shows\n" : out;
}

std::string json(const std::vector<Unexplained>& all) {
    Json::Value list(Json::arrayValue);
    for (const auto& u : all) {
        Json::Value one;
        one["partner"] = u.partner;
        one["what"] = u.what;
        list.append(one);
    }
    return lab::written(list) + "\n";
}

}  // namespace laurelhaven::plan
