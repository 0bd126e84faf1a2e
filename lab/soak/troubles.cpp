#include "soak/troubles.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <optional>

#include "soak/chance.hpp"

namespace laurelhaven::lab::soak {
namespace {

constexpr std::uint64_t kCrowdInRuns = 3;    // one run in so many has crowds ...
constexpr std::size_t kSendersPerCrowd = 2;  // ... one for so many senders, and those drawn besides
// Alone: enough that each sender has one now and again, and every partner, too.
constexpr std::int64_t kSpanOfOneMs = 3000;
constexpr int kLeastLifeMs = 500, kMostLifeMs = 2400;  // from one restart of a cluster to the next
constexpr int kOutageTimes = 2;  // an outage in a cluster lasts longer than one that comes alone
constexpr std::int64_t kSpanOfClusterMs = 6000;  // of one sender's time, in which a cluster befalls it

template <std::size_t N>
std::int64_t oneOf(Chance& chance, const std::array<std::int64_t, N>& all) {
    return all[between<std::size_t>(chance, 0, N - 1)];
}

std::int64_t parameter(Chance& chance, Kind kind) {
    constexpr std::array<std::int64_t, 2> kDisk{ENOSPC, EIO};
    constexpr std::array<std::int64_t, 5> kAccept{ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM};
    constexpr std::array<std::int64_t, 4> kLocal{EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ENFILE};
    constexpr std::array<std::int64_t, 2> kBroken{ETIMEDOUT, EHOSTUNREACH};
    constexpr std::array<std::int64_t, 4> kSteps{-3'600'000, -2'000, 2'000, 3'600'000};
    switch (kind) {
        case Kind::disk: return oneOf(chance, kDisk);
        case Kind::accept: return oneOf(chance, kAccept);
        case Kind::localSocket: return oneOf(chance, kLocal);
        case Kind::broken: return oneOf(chance, kBroken);
        case Kind::wallStep: return oneOf(chance, kSteps);
        case Kind::turnsAway: return between(chance, 200, 900);
        case Kind::series: return between(chance, 0, kSeries - 1);
        default: return between(chance, 100, 600);
    }
}

milliseconds spanOf(Chance& chance, Kind kind) {
    if (kind == Kind::holdUp) return milliseconds(between(chance, 50, 150));
    if (kind == Kind::takeovers) return milliseconds(between(chance, 1500, 2500));
    if (kind == Kind::outages) return milliseconds(between(chance, 3000, 4500));
    if (ofProcess(kind)) return milliseconds(between(chance, 50, 900));
    if (kind == Kind::hoarders) return milliseconds(between(chance, 1500, 3000));
    if (kind == Kind::lateRepeats) return milliseconds(between(chance, 1500, 3000));
    // No shorter outage is looked for, see kSuspicionSeconds of the module.
    if (kind == Kind::shuts) return milliseconds(between(chance, 2600, 4000));
    if (kind == Kind::crowd) return milliseconds(between(chance, 4000, 9000));
    return milliseconds(between(chance, 400, 2500));
}

bool isRestart(Kind kind) { return kind == Kind::stop || kind == Kind::kill || kind == Kind::series; }
bool isScene(Kind kind) {
    return kind == Kind::lateRepeats || kind == Kind::shuts || kind == Kind::outages ||
           kind == Kind::takeovers;
}
bool isOutage(Kind kind) { return kind == Kind::refuses || kind == Kind::hangs; }

/// Draws troubles of the kinds that are wanted.
class Drawing {
  public:
    explicit Drawing(const Draw& wanted) : wanted_(wanted), chance_(wanted.seed) {}

    std::vector<Trouble> all() {
        const auto span = wanted_.span.count();
        const auto parties = static_cast<std::int64_t>(wanted_.senders + wanted_.partners);
        if (playsScenes()) {
            scenes();
        } else {
            for (std::int64_t i = 0; i < parties * span / kSpanOfOneMs; ++i) alone();
            for (std::int64_t i = 0; i < static_cast<std::int64_t>(wanted_.senders) * span / kSpanOfClusterMs;
                 ++i)
                cluster();
        }
        if (wants(Kind::crowd))
            for (std::size_t i = 0; i < wanted_.senders; i += kSendersPerCrowd)
                add(Kind::crowd, anySender(), anyTime());
        // Drawn last, so that one seed draws all other kinds as it did without these.
        if (wanted_.only.empty()) {
            add(Kind::lateRepeats, anySender(), anyTime());
            add(Kind::shuts, anyPartner(), anyTime());
            add(Kind::outages, anyPartner(), anyTime());
            add(Kind::takeovers, anySender(), anyTime());
        }
        std::stable_sort(all_.begin(), all_.end(),
                         [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
        return std::move(all_);
    }

  private:
    bool playsScenes() const { return std::any_of(wanted_.only.begin(), wanted_.only.end(), isScene); }

    /// What only shows where nothing else comes between: each partner is shut once or has an outage, each
    /// sender's first ids come again behind many others, or each sender finds an address taken over; one
    /// restart of each sender where restarts are wanted.
    void scenes() {
        const auto third = wanted_.span.count() / 3;
        const auto within = [&](std::int64_t from, std::int64_t to) {
            return milliseconds(between<std::int64_t>(chance_, from, to));
        };
        if (named(Kind::shuts))
            for (std::size_t i = 0; i < wanted_.partners; ++i) add(Kind::shuts, i, within(third / 2, third));
        if (named(Kind::outages))
            for (std::size_t i = 0; i < wanted_.partners; ++i)
                add(Kind::outages, i, within(third / 2, third));
        for (std::size_t i = 0; i < wanted_.senders; ++i) {
            if (named(Kind::lateRepeats)) {
                add(Kind::lateRepeats, i, within(500, 900), 2);
                add(Kind::lateRepeats, i, within(2 * third, 2 * third + 500));
            }
            if (named(Kind::takeovers)) add(Kind::takeovers, i, within(third / 2, 2 * third));
            const bool withinOutage = named(Kind::shuts) || named(Kind::outages);
            const auto at = withinOutage ? within(third, 2 * third) : within(2 * third - 900, 2 * third);
            add(any(isRestart), i, at);
        }
    }
    bool named(Kind kind) const {
        return std::find(wanted_.only.begin(), wanted_.only.end(), kind) != wanted_.only.end();
    }

    bool wants(Kind kind) const {
        if ((kind == Kind::crowd || kind == Kind::hoarders) && wanted_.seed % kCrowdInRuns != 0 &&
            wanted_.only.empty())
            return false;
        return wanted_.only.empty() || named(kind);
    }

    /// Any of those kinds that is wanted; nothing where none is.
    template <class Which>
    std::optional<Kind> any(Which which) {
        std::vector<Kind> some;
        for (int i = 0; i < kKinds; ++i)
            if (const auto kind = static_cast<Kind>(i); !isScene(kind) && wants(kind) && which(kind))
                some.push_back(kind);
        if (some.empty()) return {};
        return some[between<std::size_t>(chance_, 0, some.size() - 1)];
    }

    milliseconds anyTime() { return milliseconds(between<std::int64_t>(chance_, 300, wanted_.span.count())); }
    std::size_t anySender() { return between<std::size_t>(chance_, 0, wanted_.senders - 1); }
    std::size_t anyPartner() { return between<std::size_t>(chance_, 0, wanted_.partners - 1); }

    void add(std::optional<Kind> kind, std::size_t target, milliseconds at, int times = 1) {
        if (!kind) return;
        Trouble trouble;
        trouble.kind = *kind;
        trouble.at = std::clamp(at, milliseconds(0), wanted_.span);
        trouble.span = times * spanOf(chance_, *kind);
        trouble.target = target;
        trouble.parameter = parameter(chance_, *kind);
        all_.push_back(trouble);
    }

    void alone() {
        const auto kind = any([](Kind) { return true; });
        if (kind) add(kind, ofPartner(*kind) ? anyPartner() : anySender(), anyTime());
    }

    /// Restarts of one sender on end, with the one before it hardly over. Meanwhile one partner has an
    /// outage, which begins a little earlier or later and may outlast them, and other troubles; and so may
    /// the sender's machine have.
    void cluster() {
        const auto from = anyTime();
        const auto sender = anySender(), partner = anyPartner();
        auto at = from;
        for (int i = between(chance_, 2, 3); i > 0; --i) {
            add(any(isRestart), sender, at);
            at += milliseconds(between(chance_, kLeastLifeMs, kMostLifeMs));
        }
        add(any(isOutage), partner, from + milliseconds(between(chance_, -400, 600)), kOutageTimes);
        for (int i = between(chance_, 0, 2); i > 0; --i)
            add(any(ofPartner), partner, from + milliseconds(between(chance_, -1200, 600)));
        for (int i = between(chance_, 0, 2); i > 0; --i)
            add(any([](Kind kind) { return !ofPartner(kind) && !ofProcess(kind); }), sender,
                from + milliseconds(between(chance_, -800, 1500)));
    }

    const Draw& wanted_;
    Chance chance_;
    std::vector<Trouble> all_;
};

}  // namespace

std::string name(Kind kind) {
    constexpr std::array<const char*, kKinds> kNames{"stop",          "kill",
                                                     "reload",        "hold-up",
                                                     "series",        "wall-step",
                                                     "disk",          "accept",
                                                     "local-socket",  "interrupts",
                                                     "broken",        "rude-clients",
                                                     "crowd",         "discovery-silent",
                                                     "discovery-cut", "discovery-slow",
                                                     "notice-copies", "refuses",
                                                     "hangs",         "garbles",
                                                     "resets",        "turns-away",
                                                     "errors",        "drains",
                                                     "withdrawn",     "exhausted",
                                                     "copies",        "late-copies",
                                                     "noises",        "closes",
                                                     "full",          "hoarders",
                                                     "repeats",       "late-repeats",
                                                     "shuts",         "outages",
                                                     "takeovers"};
    return kNames[static_cast<std::size_t>(kind)];
}

bool ofPartner(Kind kind) {
    return (kind >= Kind::refuses && kind <= Kind::full) || kind == Kind::shuts || kind == Kind::outages;
}

bool ofProcess(Kind kind) {
    return kind == Kind::stop || kind == Kind::kill || kind == Kind::reload || kind == Kind::holdUp ||
           kind == Kind::series || kind == Kind::takeovers;
}

std::vector<Trouble> draw(const Draw& wanted) { return Drawing(wanted).all(); }

std::string text(const Trouble& t) {
    char line[160];
    std::snprintf(line, sizeof line, "%.3f s, %.3f s long: %s %s %zu (%lld)",
                  static_cast<double>(t.at.count()) / 1000, static_cast<double>(t.span.count()) / 1000,
                  name(t.kind).c_str(), ofPartner(t.kind) ? "partner" : "sender", t.target,
                  static_cast<long long>(t.parameter));
    return line;
}

}  // namespace laurelhaven::lab::soak
