#include "fleet/description.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <charconv>
#include <cmath>
#include <set>

#include "fleet/schema.hpp"
#include "trace/record.hpp"
#include "yaml/checked.hpp"

namespace laurelhaven::fleet {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using yaml::Section;

// Texts whose form the schema has seen to.

double leading(const std::string& text) {
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}
microseconds micros(const std::string& text) {
    if (text.ends_with(" us")) return microseconds(std::llround(leading(text)));
    return text.ends_with(" ms") ? microseconds(std::llround(leading(text) * 1000)) : yaml::time(text);
}
milliseconds millis(const std::string& text) { return duration_cast<milliseconds>(micros(text)); }
Instant instant(const std::string& text) { return micros(text); }
double rate(const std::string& text) {
    const auto unit = text.substr(text.find('/') + 1);
    return leading(text) / (unit == "s" ? 1 : unit == "min" ? 60 : 3600);
}
double megabytes(const std::string& text) { return static_cast<double>(yaml::size(text)) / 1e6; }

/// One document on its way to a description; remembers the file's name for errors.
class Reading {
  public:
    Reading(const YAML::Node& root, const std::string& name) : root_(root), name_(name) {}

    Description made() {
        if (root_["name"]) d_.name = root_["name"].as<std::string>();
        if (root_["zones"]) d_.zones = root_["zones"].as<std::vector<std::string>>();
        if (d_.zones.empty()) wrong(root_["zones"], "there must be a zone at least");
        service();
        for (const auto& node : root_["partners"]) partner(node);
        if (d_.partners.empty()) wrong(root_["partners"], "there must be a partner at least");
        senders();
        load();
        for (const auto& node : root_["troubles"]) d_.troubles.push_back(trouble(node));
        std::stable_sort(d_.troubles.begin(), d_.troubles.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        return std::move(d_);
    }

  private:
    [[noreturn]] void wrong(const YAML::Node& at, const std::string& what) const {
        yaml::bad(name_, at ? at.Mark() : root_.Mark(), what);
    }

    void service() {
        Section(root_, "service")
            .take("goal", d_.goal, yaml::share)
            .take("wanted", d_.service.wanted, millis)
            .take("deadline", d_.service.deadline, millis)
            .take("late-share", d_.service.lateShare, yaml::share)
            .take("give-up", d_.service.giveUp, millis)
            .take("repeat-window", d_.service.keyWindow, millis);
        const auto at = root_["service"];
        if (d_.goal <= 0 || d_.goal > 1) wrong(at, "'service.goal' must be above 0% and at most 100%");
        if (d_.service.wanted > d_.service.deadline)
            wrong(at, "'service.wanted' is later than 'service.deadline'; is a unit wrong?");
        Section(root_, "clients")
            .plain("tries", d_.clients.tries)
            .take("pause", d_.clients.pause, millis)
            .take("patience", d_.clients.patience, millis)
            .take("advice-most", d_.clients.adviceMost, millis)
            .plain("connections", d_.senders.connections);
        Section(root_, "network")
            .take("delay", d_.network.delay, micros)
            .take("connect", d_.network.connect, micros)
            .take("list", d_.network.list, millis);
    }

    std::vector<int> zones(const YAML::Node& node) const {
        std::vector<int> made;
        if (!node) {
            for (std::size_t i = 0; i < d_.zones.size(); ++i) made.push_back(static_cast<int>(i));
            return made;
        }
        for (const auto& one : node) made.push_back(static_cast<int>(zone(one)));
        return made;
    }
    std::size_t zone(const YAML::Node& node) const {
        const auto name = node.as<std::string>();
        const auto it = std::find(d_.zones.begin(), d_.zones.end(), name);
        if (it == d_.zones.end()) wrong(node, "there is no zone '" + name + "': " + list(d_.zones));
        return static_cast<std::size_t>(it - d_.zones.begin());
    }
    static std::string list(const std::vector<std::string>& names) {
        std::string text = "they are";
        for (std::size_t i = 0; i < names.size() && i < 12; ++i) text += (i ? ", " : " ") + names[i];
        return text + (names.size() > 12 ? ", ..." : "");
    }

    void partner(const YAML::Node& node) {
        Partner p;
        auto& does = p.is.does;
        int count = 1;
        p.name = node["name"].as<std::string>();
        const auto has = [&](const char* key) { return static_cast<bool>(node[key]); };
        const auto text = [&](const char* key) { return node[key].as<std::string>(); };
        if (has("count")) count = node["count"].as<int>();
        if (has("endpoints")) p.is.endpoints = node["endpoints"].as<int>();
        p.is.zones = zones(node["zones"]);
        if (has("capacity")) p.perEndpoint = rate(text("capacity"));
        if (p.perEndpoint <= 0) wrong(node["capacity"], "'capacity' must be above 0/s");
        p.setEndpoints(p.is.endpoints);
        if (has("at-least")) p.atLeast = node["at-least"].as<bool>();
        if (has("limit")) does.limit = rate(text("limit"));
        if (has("limit") && does.limit <= 0)
            wrong(node["limit"], "'limit' must be above 0/s; leave it out where there is none");
        does.told = has("listed") ? rate(text("listed")) : does.limit > 0 ? does.limit : does.capacity;
        if (has("tells-limit")) does.tellsLoad = node["tells-limit"].as<bool>();
        if (has("tells-waits")) does.tellsWaits = node["tells-waits"].as<bool>();
        if (has("serve")) does.serve = millis(text("serve"));
        if (has("spread")) does.serveSpread = node["spread"].as<double>();
        if (does.serve.count() < 1) wrong(node["serve"], "'serve' must be 1 ms at least");
        // A call that takes longer than its message may is a unit mistake far more often than a slow partner.
        if (does.serve >= d_.service.deadline)
            wrong(node["serve"],
                  fmt::format("'serve' of {} ms is not below the deadline of {} ms: no call could "
                              "deliver; is a unit wrong?",
                              does.serve.count(), d_.service.deadline.count()));
        if (has("answers")) answers(node["answers"], does);
        if (has("queue")) does.depth = millis(text("queue"));
        const Section cold(node, "cold");
        cold.plain("at-start", p.is.coldAtStart)
            .take("from", does.coldFrom, yaml::share)
            .take("warm-up", does.warmUp, millis)
            .plain("falls-at", does.fallMultiple)
            .take("after", does.fallAfter, millis);
        if (does.coldFrom <= 0 || does.coldFrom > 1)
            wrong(node["cold"], "'cold.from' must be above 0% and at most 100%");
        if (has("asked")) p.asked = rate(text("asked"));
        if (p.asked > 1000 * std::max(does.capacity, 1.0))
            wrong(node["asked"],
                  fmt::format("'asked' is {:.0f} times what the partner does; is a unit wrong?",
                              p.asked / does.capacity));
        if (has("destination") && count > 1)
            wrong(node["destination"], "'destination' can't stand beside 'count': each needs one of its own");
        for (int i = 0; i < count; ++i) {
            auto one = p;
            if (count > 1) one.name += "-" + std::to_string(i);
            // Without a number of its own a partner has one by position, as the laboratory's stand-ins do.
            one.is.does.destination =
                has("destination") ? node["destination"].as<std::uint64_t>() : 100 + d_.partners.size();
            if (!names_.insert(one.name).second) wrong(node, "there are two partners '" + one.name + "'");
            if (!destinations_.insert(one.is.does.destination).second)
                wrong(node, fmt::format("the destination {} stands twice", one.is.does.destination));
            d_.partners.push_back(std::move(one));
        }
    }

    void answers(const YAML::Node& node, lab::PartnerModel& does) const {
        static constexpr std::pair<const char*, double> kKeys[] = {
            {"p10", 0.1}, {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"most", 1}};
        for (const auto& [key, share] : kKeys) {
            if (!node[key]) continue;
            const double s = std::chrono::duration<double>(micros(node[key].as<std::string>())).count();
            if (s <= 0) wrong(node[key], fmt::format("'answers.{}' must be above 0", key));
            if (!does.answers.empty() && s < does.answers.back().second)
                wrong(node[key], fmt::format("'answers.{}' is below the one before it", key));
            does.answers.emplace_back(share, s);
        }
        if (!node["p50"] || !node["most"]) wrong(node, "'answers' needs 'p50' and 'most' at least");
        does.serve = milliseconds(std::max<long>(
            1, std::lround(1000 * std::find_if(does.answers.begin(), does.answers.end(), [](const auto& a) {
                                      return a.first == 0.5;
                                  })->second)));
    }

    void senders() {
        auto& s = d_.senders;
        Section(root_, "senders")
            .plain("count", s.count)
            .plain("slots", s.slots)
            .plain("held", s.held)
            .plain("attempts", s.attempts)
            .take("advice-most", s.adviceMost, millis)
            .plain("sockets", s.sockets)
            .take("memory", s.memoryMb, [](const std::string& t) { return static_cast<int>(megabytes(t)); })
            .take("base", s.baseMb, megabytes)
            .take("message", s.messageKb, [](const std::string& t) { return 1000 * megabytes(t); })
            .take("core-per-message", s.perMessage, micros)
            .take("core-per-call", s.perCall, micros);
        const auto node = root_["senders"];
        s.zones = zones(node ? node["zones"] : YAML::Node(YAML::NodeType::Undefined));
        if (s.sockets < 64) wrong(node, "'senders.sockets' must be 64 at least: 48 are kept aside");
        if (s.memoryMb <= s.baseMb)
            wrong(node, fmt::format("'senders.memory' is {} MB, and a sender without load takes {:.0f} MB",
                                    s.memoryMb, s.baseMb));
    }

    void load() {
        auto& l = d_.load;
        Section(root_, "load")
            .take("for", l.span, instant)
            .plain("tenants", l.tenants)
            .take("clumped", l.clumped, yaml::share)
            .plain("clump", l.clump)
            .take("within", l.within, millis);
        const auto node = root_["load"];
        if (l.clumped > 1) wrong(node, "'load.clumped' can't be above 100%");
        if (l.span < std::chrono::seconds(1)) wrong(node, "'load.for' must be 1 s at least");
        if (!node) return;
        for (const auto& one : node["bursts"]) {
            Burst b;
            b.at = instant(one["at"].as<std::string>());
            b.span = instant(one["for"].as<std::string>());
            b.factor = one["factor"].as<double>();
            if (b.factor <= 1) wrong(one["factor"], "a burst's 'factor' must be above 1");
            if (b.at >= l.span) wrong(one["at"], "the burst begins after the load has ended");
            if (one["partner"]) b.partner = partnerOf(one["partner"]);
            l.bursts.push_back(b);
        }
    }

    std::size_t partnerOf(const YAML::Node& node) const {
        const auto name = node.as<std::string>();
        for (std::size_t i = 0; i < d_.partners.size(); ++i)
            if (d_.partners[i].name == name) return i;
        std::vector<std::string> names;
        for (const auto& p : d_.partners) names.push_back(p.name);
        wrong(node, "there is no partner '" + name + "': " + list(names));
    }

    model::Trouble trouble(const YAML::Node& node) const {
        using Kind = model::Trouble::Kind;
        static constexpr std::pair<const char*, Kind> kKinds[] = {{"outage", Kind::outage},
                                                                  {"back", Kind::back},
                                                                  {"drain", Kind::drain},
                                                                  {"slow", Kind::slow},
                                                                  {"limit", Kind::limit},
                                                                  {"kill", Kind::kill},
                                                                  {"start", Kind::start},
                                                                  {"zone-lost", Kind::zoneLost},
                                                                  {"zone-back", Kind::zoneBack},
                                                                  {"discovery-down", Kind::discoveryDown},
                                                                  {"discovery-up", Kind::discoveryUp}};
        model::Trouble t;
        t.at = instant(node["at"].as<std::string>());
        const auto what = node["what"].as<std::string>();
        for (const auto& [name, kind] : kKinds)
            if (what == name) t.kind = kind;
        const auto needs = [&](const char* key) {
            if (!node[key]) wrong(node, "the trouble '" + what + "' needs a '" + key + "'");
            return node[key];
        };
        switch (t.kind) {
            case Kind::outage:
            case Kind::back:
            case Kind::drain: t.which = partnerOf(needs("partner")); break;
            case Kind::slow:
            case Kind::limit:
                t.which = partnerOf(needs("partner"));
                t.factor = needs("factor").as<double>();
                break;
            case Kind::kill:
            case Kind::start:
                t.which = needs("sender").as<std::size_t>();
                if (t.which >= static_cast<std::size_t>(d_.senders.count))
                    wrong(node["sender"], fmt::format("there is no sender {}: they are 0 to {}", t.which,
                                                      d_.senders.count - 1));
                break;
            case Kind::zoneLost:
            case Kind::zoneBack: t.which = zone(needs("zone")); break;
            case Kind::discoveryDown:
            case Kind::discoveryUp: break;
        }
        return t;
    }

    const YAML::Node root_;
    const std::string name_;
    Description d_;
    std::set<std::string> names_;
    std::set<std::uint64_t> destinations_;
};

std::string time(double seconds) {
    if (seconds < 0.001) return fmt::format("{:.0f} us", seconds * 1e6);
    return seconds < 1 ? fmt::format("{:.6g} ms", seconds * 1e3) : fmt::format("{:.6g} s", seconds);
}
std::string time(Instant span) { return time(lab::seconds(span)); }

}  // namespace

void Partner::setEndpoints(int n) {
    is.endpoints = n;
    is.does.capacity = perEndpoint * n;
    if (is.does.limit <= 0) is.does.told = is.does.capacity;
}

model::Fleet Description::fleet() const {
    model::Fleet made;
    for (const auto& p : partners) made.partners.push_back(p.is);
    for (auto& p : made.partners) p.does.oneSender = senders.count == 1;
    made.senders = senders;
    made.clients = clients;
    made.network = network;
    made.service = service;
    made.troubles = troubles;
    return made;
}

std::vector<model::Handing> Description::messages(double factor, std::uint64_t seed) const {
    std::vector<model::Handing> all;
    model::Shape shape;
    shape.clumped = load.clumped;
    shape.clump = load.clump;
    shape.within = load.within;
    shape.tenants = load.tenants;
    const auto layer = [&](Instant from, Instant span, double part, std::uint64_t number) {
        shape.span = span;
        const auto salt = trace::mixed(seed * 1000003 + number);
        for (auto h : model::draw(shape, salt)) {
            // A clump goes or stays as one: more load is more clumps, not larger ones.
            const double u = static_cast<double>(trace::mixed(salt ^ (h.clump + 1ULL)) >> 11) * 0x1p-53;
            if (u >= part) continue;
            h.at += from;
            if (h.at < load.span) all.push_back(h);
        }
    };
    const auto layers = [&](Instant from, Instant span, double times, std::uint64_t first) {
        if (std::all_of(shape.weights.begin(), shape.weights.end(), [](double w) { return w <= 0; })) return;
        for (std::uint64_t k = 0; static_cast<double>(k) < times; ++k)
            layer(from, span, std::min(1.0, times - static_cast<double>(k)), first + k);
    };
    shape.rate = 0;
    for (const auto& p : partners) shape.weights.push_back(p.asked), shape.rate += p.asked;
    layers(Instant{}, load.span, factor, 0);
    for (std::size_t i = 0; i < load.bursts.size(); ++i) {
        const auto& b = load.bursts[i];
        shape.rate = 0;
        for (std::size_t p = 0; p < partners.size(); ++p) {
            shape.weights[p] = !b.partner || *b.partner == p ? partners[p].asked : 0;
            shape.rate += shape.weights[p];
        }
        layers(b.at, b.span, factor * (b.factor - 1), 10000 * (i + 1));
    }
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return all;
}

Description read(const std::string& text, const std::string& name) {
    try {
        const auto root = yaml::checked(text, name, kSchema);
        if (!root) throw Bad(name + ": it is empty; a description names the partners at least");
        return Reading(root, name).made();
    } catch (const yaml::Bad& e) {
        throw Bad(e.what());
    }
}

Description readFile(const std::string& path) {
    try {
        return read(yaml::readFile(path), path);
    } catch (const yaml::Bad& e) {
        throw Bad(e.what());
    }
}

std::string written(const Description& d, const std::vector<std::string>& notes) {
    std::string out = fmt::format("name: {}\n", YAML::Dump(YAML::Node(d.name)));
    const auto names = [&](const std::vector<int>& which) {
        std::string text;
        for (const int z : which) text += (text.empty() ? "" : ", ") + d.zones[static_cast<std::size_t>(z)];
        return "[" + text + "]";
    };
    std::vector<int> all;
    for (std::size_t i = 0; i < d.zones.size(); ++i) all.push_back(static_cast<int>(i));
    out += "zones: " + names(all) + "\n";
    out += fmt::format(
        "service: {{goal: {:.4g}%, wanted: {}, deadline: {}, late-share: {:.4g}%, give-up: {}, "
        "repeat-window: {}}}\n",
        100 * d.goal, time(d.service.wanted), time(d.service.deadline), 100 * d.service.lateShare,
        time(d.service.giveUp), time(d.service.keyWindow));
    const auto& s = d.senders;
    out += fmt::format("senders: {{count: {}, slots: {}, held: {}, attempts: {}, sockets: {}, memory: {} MB",
                       s.count, s.slots, s.held, s.attempts, s.sockets, s.memoryMb);
    if (!s.zones.empty()) out += ", zones: " + names(s.zones);
    if (s.perMessage.count() > 0) out += ", core-per-message: " + time(s.perMessage);
    if (s.perCall.count() > 0) out += ", core-per-call: " + time(s.perCall);
    out += "}\n";
    out += fmt::format("clients: {{tries: {}, pause: {}, patience: {}, connections: {}}}\n", d.clients.tries,
                       time(d.clients.pause), time(d.clients.patience), s.connections);
    out += fmt::format("load: {{for: {}, tenants: {}, clumped: {:.4g}%, clump: {:.4g}, within: {}}}\n",
                       time(d.load.span), d.load.tenants, 100 * d.load.clumped, d.load.clump,
                       time(d.load.within));
    out += "partners:\n";
    for (std::size_t i = 0; i < d.partners.size(); ++i) {
        const auto& p = d.partners[i];
        const auto& does = p.is.does;
        if (i < notes.size() && !notes[i].empty()) out += "  # " + notes[i] + "\n";
        out += fmt::format("  - {{name: {}, destination: {}, endpoints: {}, capacity: {:.4g}/s", p.name,
                           does.destination, p.is.endpoints, p.perEndpoint);
        if (p.atLeast) out += ", at-least: true";
        if (!p.is.zones.empty()) out += ", zones: " + names(p.is.zones);
        if (does.limit > 0) out += fmt::format(", limit: {:.4g}/s", does.limit);
        if (does.told != (does.limit > 0 ? does.limit : does.capacity))
            out += fmt::format(", listed: {:.4g}/s", does.told);
        if (!does.tellsLoad) out += ", tells-limit: false";
        if (!does.tellsWaits) out += ", tells-waits: false";
        if (does.answers.empty()) {
            out += fmt::format(", serve: {}, spread: {:.3g}", time(does.serve), does.serveSpread);
        } else {
            out += ", answers: {";
            for (const auto& [share, seconds] : does.answers)
                out += share == 1 ? "most: " + time(seconds) + "}"
                                  : fmt::format("p{:.4g}: {}, ", 100 * share, time(seconds));
        }
        out += fmt::format(", queue: {}, asked: {:.4g}/s}}\n", time(does.depth), p.asked);
    }
    return out;
}

Description drawn(std::uint64_t seed) {
    boost::random::mt19937_64 chance(trace::mixed(seed));
    const auto real = [&](double least, double most) {
        return boost::random::uniform_real_distribution<double>(least, most)(chance);
    };
    const auto whole = [&](int least, int most) {
        return boost::random::uniform_int_distribution<int>(least, most)(chance);
    };
    Description d;
    d.name = fmt::format("drawn {}", seed);
    const int partners = whole(3, 8);
    d.senders.count = whole(1, 3);
    d.senders.slots = whole(0, 2) == 0 ? whole(3, 8) : 24;
    d.load.span = std::chrono::seconds(20);
    if (whole(0, 1) == 0) d.load.clumped = real(0.2, 0.7), d.load.clump = real(5, 20);
    d.load.tenants = static_cast<std::uint32_t>(whole(1, 3));
    for (int i = 0; i < partners; ++i) {
        Partner p;
        p.name = fmt::format("p{}", i);
        auto& does = p.is.does;
        does.destination = 100 + static_cast<std::uint64_t>(i);
        p.perEndpoint = real(1.5, 7);
        p.setEndpoints(whole(1, 3));
        if (whole(0, 2) > 0) does.limit = does.told = does.capacity * real(0.5, 0.95);
        // Answer times that differ tenfold and more between partners.
        does.serve = milliseconds(std::lround(1000 * 0.06 * std::pow(20, real(0, 1))));
        does.serveSpread = real(0.1, 0.5);
        p.asked = (does.limit > 0 ? does.limit : does.capacity) * real(0.25, 0.6);
        d.partners.push_back(p);
    }
    return d;
}

}  // namespace laurelhaven::fleet
