#include <json/value.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>

#include "experiment/experiment.hpp"
#include "plan/report.hpp"

namespace laurelhaven::experiment {
namespace {

std::string range(const plan::Interval& i) {
    return fmt::format("{:+.3f} ({:+.3f} to {:+.3f})", i.mean, i.least, i.most);
}

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '<') out += "&lt;";
        else if (c == '>') out += "&gt;";
        else if (c == '&') out += "&amp;";
        else if (c == '"') out += "&quot;";
        else out += c;
    }
    return out;
}

const char* place(bool loopback) { return loopback ? "loopback" : "model"; }

struct Line {
    std::string name;
    bool dashed = false;
    std::size_t colour = 0;
    std::vector<std::pair<double, double>> points;
};

/// A chart of lines. Colours come from the page, and so follow light and dark.
std::string chart(const std::string& title, const std::string& x, const std::string& y,
                  const std::vector<Line>& lines, bool logarithmic) {
    constexpr double kWide = 720, kHigh = 260, kLeft = 56, kBottom = 40, kTop = 12, kRight = 28;
    double x0 = 1e300, x1 = -1e300, y0 = logarithmic ? 1e-4 : 0, y1 = 1;
    const auto axis = [&](double v) { return logarithmic ? std::log10(std::max(v, 1e-6)) : v; };
    for (const auto& line : lines)
        for (const auto& [px, py] : line.points) x0 = std::min(x0, axis(px)), x1 = std::max(x1, axis(px));
    if (!(x0 < x1)) return "";
    const auto left = [&](double v) { return kLeft + (axis(v) - x0) / (x1 - x0) * (kWide - kLeft - kRight); };
    const auto up = [&](double v) {
        const double part = logarithmic ? (std::log10(std::max(v, y0)) - std::log10(y0)) / -std::log10(y0)
                                        : (v - y0) / (y1 - y0);
        return kHigh - kBottom - part * (kHigh - kBottom - kTop);
    };
    std::string out = fmt::format(
        "<figure><figcaption>{}</figcaption><svg viewBox=\"0 0 {} {}\" role=\"img\" "
        "aria-label=\"{}\">",
        escaped(title), kWide, kHigh, escaped(title));
    const std::vector<double> ticks = logarithmic ? std::vector<double>{1, 0.1, 0.01, 0.001, 0.0001}
                                                  : std::vector<double>{0, 0.25, 0.5, 0.75, 1};
    for (const double t : ticks)
        out += fmt::format(
            "<line class=\"grid\" x1=\"{}\" x2=\"{}\" y1=\"{:.1f}\" y2=\"{:.1f}\"/><text x=\"{}\" "
            "y=\"{:.1f}\" text-anchor=\"end\">{:g}</text>",
            kLeft, kWide - kRight, up(t), up(t), kLeft - 6, up(t) + 4, t);
    for (int i = 0; i <= 6; ++i) {
        const double at = x0 + (x1 - x0) * i / 6;
        const double v = logarithmic ? std::pow(10, at) : at;
        out += fmt::format("<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\">{}</text>", left(v),
                           kHigh - kBottom + 16,
                           logarithmic ? fmt::format("{:.2g}", v) : fmt::format("{:.0f}", v));
    }
    out += fmt::format(
        "<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text><text transform=\"rotate(-90)\" "
        "x=\"{}\" y=\"14\" text-anchor=\"middle\">{}</text>",
        (kWide + kLeft) / 2, kHigh - 6, escaped(x), -(kHigh - kBottom) / 2, escaped(y));
    for (const auto& line : lines) {
        std::string points;
        for (const auto& [px, py] : line.points) points += fmt::format("{:.1f},{:.1f} ", left(px), up(py));
        out += fmt::format("<polyline class=\"c{}{}\" points=\"{}\"><title>{}</title></polyline>",
                           line.colour % 6, line.dashed ? " dashed" : "", points, escaped(line.name));
    }
    out += "</svg><p class=\"legend\">";
    for (const auto& line : lines)
        out += fmt::format("<span class=\"c{}{}\"></span>{} ", line.colour % 6, line.dashed ? " dashed" : "",
                           escaped(line.name));
    return out + "</p></figure>";
}

/// Mean over the repeats of one variant at one place, by second.
Line service(const Outcome& o, std::size_t v, bool loopback) {
    Line line{fmt::format("{}, {}", o.experiment.variants[v].name, place(loopback)), loopback, v, {}};
    std::vector<double> sum, n;
    for (const auto& r : o.runs) {
        if (r.variant != v || r.loopback != loopback) continue;
        for (std::size_t i = 0; i < r.worth.service.size(); ++i) {
            if (r.worth.service[i] < 0) continue;
            if (sum.size() <= i) sum.resize(i + 1), n.resize(i + 1);
            sum[i] += r.worth.service[i], n[i] += 1;
        }
    }
    for (std::size_t i = 0; i < sum.size(); ++i)
        if (n[i] > 0) line.points.emplace_back(static_cast<double>(i), sum[i] / n[i]);
    return line;
}

constexpr const char* kHead = R"(<!doctype html><html lang="en"><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1"><title>%TITLE%</title><style>
:root{color-scheme:light dark;--ink:#1c2733;--paper:#fff;--soft:#d7dee6;
--0:#0b61a4;--1:#c4501b;--2:#2d7d46;--3:#7a3fa0;--4:#a8861b;--5:#5f6b76}
@media(prefers-color-scheme:dark){:root{--ink:#dde5ec;--paper:#12181f;--soft:#33404d;
--0:#62b0f0;--1:#f0925f;--2:#6cc68a;--3:#c292e4;--4:#dcc05f;--5:#9aa7b3}}
body{font:15px/1.5 system-ui,sans-serif;color:var(--ink);background:var(--paper);
max-width:60rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse;margin:1rem 0;display:block;overflow-x:auto}
th,td{padding:.25rem .7rem;text-align:right;border-bottom:1px solid var(--soft);
font-variant-numeric:tabular-nums}
th:first-child,td:first-child{text-align:left}
figure{margin:1.5rem 0}figcaption{font-weight:600}svg{width:100%;height:auto}
svg text{fill:var(--ink);font:11px system-ui,sans-serif}
.grid{stroke:var(--soft)}polyline{fill:none;stroke-width:2}.dashed{stroke-dasharray:6 4}
.legend span{display:inline-block;width:1.6rem;margin:0 .4rem 0 .9rem;border-top:3px solid}
.legend span.dashed{border-top-style:dashed}
.bad{color:var(--1);font-weight:600}
)";

}  // namespace

std::string text(const Outcome& o) {
    std::string out =
        fmt::format("{}: {} repeats, {:.0f} s\n", o.experiment.name, o.experiment.repeats, o.seconds);
    out += fmt::format("{:<28} {:>9} {:>22} {:>28} {:>28}\n", "variant", "where", "score (95%)",
                       "less the first (95%)", "loopback less model (95%)");
    for (std::size_t v = 0; v < o.experiment.variants.size(); ++v)
        for (const bool loopback : {false, true}) {
            if (loopback ? !o.experiment.loopback : !o.experiment.model) continue;
            const auto s = o.score(v, loopback);
            out += fmt::format("{:<28} {:>9} {:>6.3f} ({:.3f} to {:.3f}) {:>28} {:>28}\n",
                               o.experiment.variants[v].name, place(loopback), s.mean, s.least, s.most,
                               v > 0 ? range(o.difference(v, loopback)) : std::string("-"),
                               loopback && o.experiment.model ? range(o.disagreement(v)) : std::string("-"));
        }
    if (o.experiment.loopback) {
        out += fmt::format("{:<28} {:>14} {:>14} {:>16} {:>12}\n", "on loopback, mean of repeats",
                           "answer p50 ms", "answer p99 ms", "core us/message", "resident MB");
        for (std::size_t v = 0; v < o.experiment.variants.size(); ++v) {
            double n = 0, p50 = 0, p99 = 0, core = 0, resident = 0;
            for (const auto& r : o.runs)
                if (r.variant == v && r.loopback)
                    n += 1, p50 += r.p50, p99 += r.p99, core += r.corePerMessage, resident += r.residentMb;
            out +=
                fmt::format("{:<28} {:>14.2f} {:>14.2f} {:>16.0f} {:>12.1f}\n", o.experiment.variants[v].name,
                            1e3 * p50 / n, 1e3 * p99 / n, 1e6 * core / n, resident / n);
        }
    }
    return out + (o.kept() ? "" : "RULES WERE BROKEN: see the results\n");
}

std::string json(const Outcome& o) {
    Json::Value root;
    root["name"] = o.experiment.name;
    root["repeats"] = o.experiment.repeats;
    root["seed"] = Json::UInt64(o.experiment.seed);
    root["rules_kept"] = o.kept();
    for (std::size_t v = 0; v < o.experiment.variants.size(); ++v) {
        Json::Value one;
        one["name"] = o.experiment.variants[v].name;
        one["load"] = o.experiment.variants[v].load;
        for (const bool loopback : {false, true}) {
            if (loopback ? !o.experiment.loopback : !o.experiment.model) continue;
            one[place(loopback)]["score"] = plan::value(o.score(v, loopback));
            if (v > 0) one[place(loopback)]["difference"] = plan::value(o.difference(v, loopback));
        }
        if (o.experiment.loopback && o.experiment.model) one["disagreement"] = plan::value(o.disagreement(v));
        root["variants"].append(one);
    }
    for (const auto& r : o.runs) {
        Json::Value one;
        one["variant"] = o.experiment.variants[r.variant].name;
        one["where"] = place(r.loopback);
        one["seed"] = Json::UInt64(r.seed);
        one["score"] = r.worth.score();
        one["whole"] = r.worth.whole;
        one["worst_10_s"] = r.worth.worst10;
        one["worst_tenant"] = r.worth.worstTenant;
        one["messages"] = Json::UInt64(r.messages);
        one["delivered"] = Json::UInt64(r.delivered);
        one["calls"] = Json::UInt64(r.calls);
        one["refused_calls"] = Json::UInt64(r.refusedCalls);
        one["rules_kept"] = r.kept;
        for (const double s : r.worth.service) one["service_by_second"].append(s);
        if (r.loopback) {
            one["answer_p50_s"] = r.p50;
            one["answer_p99_s"] = r.p99;
            one["answer_most_s"] = r.most;
            one["answer_p99_since_sent_s"] = r.p99Sent;
            one["sent_late_p99_s"] = r.lateP99;
            one["core_us_per_message"] = 1e6 * r.corePerMessage;
            one["resident_mb"] = r.residentMb;
        }
        for (const auto& p : r.partners) {
            Json::Value side;
            side["asked"] = p.asked;
            side["lost"] = p.lost;
            side["refused_calls"] = p.refused;
            one["partners"].append(side);
        }
        root["runs"].append(one);
    }
    return lab::written(root) + "\n";
}

std::string page(const Outcome& o) {
    const auto& e = o.experiment;
    std::string out = kHead;
    out.replace(out.find("%TITLE%"), 7, escaped(e.name));
    for (int i = 0; i < 6; ++i)
        out += fmt::format("polyline.c{0}{{stroke:var(--{0})}}span.c{0}{{border-color:var(--{0})}}\n", i);
    out += fmt::format(
        "</style><h1>{}</h1><p>{} repeats with paired seeds from {} on; {:.0f} s. Score: 60% the whole "
        "day, 30% its worst ten seconds, 10% the worst client.</p>",
        escaped(e.name), e.repeats, e.seed, o.seconds);
    if (!o.kept()) out += "<p class=\"bad\">Rules were broken; the runs are marked below.</p>";
    out += "<table><tr><th>variant<th>where<th>score<th>95%<th>less the first<th>95%<th>loopback less model";
    for (std::size_t v = 0; v < e.variants.size(); ++v)
        for (const bool loopback : {false, true}) {
            if (loopback ? !e.loopback : !e.model) continue;
            const auto s = o.score(v, loopback);
            out += fmt::format("<tr><td>{}<td>{}<td>{:.3f}<td>{:.3f} to {:.3f}", escaped(e.variants[v].name),
                               place(loopback), s.mean, s.least, s.most);
            if (v > 0) {
                const auto d = o.difference(v, loopback);
                out += fmt::format("<td>{:+.3f}<td>{:+.3f} to {:+.3f}", d.mean, d.least, d.most);
            } else {
                out += "<td>-<td>-";
            }
            out += loopback && e.model ? fmt::format("<td>{:+.3f}", o.disagreement(v).mean)
                                       : std::string("<td>-");
        }
    out += "</table>";
    std::vector<Line> lines;
    for (std::size_t v = 0; v < e.variants.size(); ++v)
        for (const bool loopback : {false, true})
            if (loopback ? e.loopback : e.model) lines.push_back(service(o, v, loopback));
    out += chart("Service by second of handing in, mean of the repeats", "second of the day", "service",
                 lines, false);
    lines.clear();
    for (const auto& r : o.runs) {
        if (!r.loopback || r.seed != e.seed) continue;
        const auto& name = e.variants[r.variant].name;
        lines.push_back({name + ", since it was due", false, r.variant, r.tail});
        lines.push_back({name + ", since it was sent", true, r.variant, r.tailSent});
    }
    out += chart("Answers of the senders: share that took longer", "seconds", "share", lines, true);
    out +=
        "<h2>Partners</h2><table><tr><th>variant<th>where<th>partner<th>messages<th>worth lost<th>calls "
        "turned away";
    for (const auto& r : o.runs) {
        if (r.seed != e.seed) continue;
        for (std::size_t p = 0; p < r.partners.size(); ++p)
            if (r.partners[p].lost > 0.005 * r.partners[p].asked)
                out += fmt::format("<tr><td>{}<td>{}<td>{}<td>{:.0f}<td>{:.1f}%<td>{:.0f}",
                                   escaped(e.variants[r.variant].name), place(r.loopback),
                                   escaped(e.variants[r.variant].fleet.partners[p].name), r.partners[p].asked,
                                   100 * r.partners[p].lost / std::max(1.0, r.partners[p].asked),
                                   r.partners[p].refused);
    }
    out +=
        "</table><h2>Runs</h2><table><tr><th>variant<th>where<th>seed<th>score<th>whole<th>worst 10 "
        "s<th>worst "
        "client<th>messages<th>delivered<th>calls<th>refused<th>answer p99<th>core a message<th>rules";
    for (const auto& r : o.runs)
        out += fmt::format(
            "<tr><td>{}<td>{}<td>{}<td>{:.3f}<td>{:.3f}<td>{:.3f}<td>{:.3f}<td>{}<td>{}<td>{}<td>{}<td>{}<td>"
            "{}{}",
            escaped(e.variants[r.variant].name), place(r.loopback), r.seed, r.worth.score(), r.worth.whole,
            r.worth.worst10, r.worth.worstTenant, r.messages, r.delivered, r.calls, r.refusedCalls,
            r.loopback ? fmt::format("{:.1f} ms", 1e3 * r.p99) : std::string("-"),
            r.loopback ? fmt::format("{:.0f} us", 1e6 * r.corePerMessage) : std::string("-"),
            r.kept ? "<td>kept" : "<td class=\"bad\">BROKEN");
    return out + "</table></html>\n";
}

}  // namespace laurelhaven::experiment
