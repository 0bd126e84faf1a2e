#include "soak/troubles.hpp"

#include <algorithm>
#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cerrno>
#include <cstdio>

namespace laurelhaven::lab::soak {
namespace {

using Chance = boost::random::mt19937_64;

std::int64_t between(Chance& chance, std::int64_t least, std::int64_t most) {
    return boost::random::uniform_int_distribution<std::int64_t>(least, most)(chance);
}

template <std::size_t N>
std::int64_t oneOf(Chance& chance, const std::array<std::int64_t, N>& all) {
    return all[static_cast<std::size_t>(between(chance, 0, static_cast<std::int64_t>(N) - 1))];
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
        default: return between(chance, 100, 600);
    }
}

milliseconds spanOf(Chance& chance, Kind kind) {
    if (kind == Kind::holdUp) return milliseconds(between(chance, 50, 150));
    if (kind == Kind::stop || kind == Kind::kill) return milliseconds(between(chance, 50, 900));
    return milliseconds(between(chance, 400, 2500));
}

}  // namespace

std::string name(Kind kind) {
    constexpr std::array<const char*, kKinds> kNames{
        "stop",          "kill",           "reload",     "hold-up", "wall-step",    "disk",
        "accept",        "local-socket",   "interrupts", "broken",  "rude-clients", "discovery-silent",
        "discovery-cut", "discovery-slow", "refuses",    "hangs",   "garbles",      "resets",
        "turns-away",    "errors",         "drains"};
    return kNames[static_cast<std::size_t>(kind)];
}

bool ofPartner(Kind kind) { return kind >= Kind::refuses; }

std::vector<Trouble> draw(const Draw& wanted) {
    Chance chance(wanted.seed);
    std::vector<Trouble> all;
    // Enough that each sender has one now and again, and every partner, too: two or three at once for each.
    const auto parties = static_cast<std::int64_t>(wanted.senders + wanted.partners);
    const auto count = parties * wanted.span.count() / 1500;
    for (std::int64_t i = 0; i < count; ++i) {
        Trouble trouble;
        trouble.kind = wanted.only.empty()
                           ? static_cast<Kind>(between(chance, 0, kKinds - 1))
                           : wanted.only[static_cast<std::size_t>(
                                 between(chance, 0, static_cast<std::int64_t>(wanted.only.size()) - 1))];
        trouble.at = milliseconds(between(chance, 300, wanted.span.count()));
        trouble.span = spanOf(chance, trouble.kind);
        const auto targets = ofPartner(trouble.kind) ? wanted.partners : wanted.senders;
        trouble.target = static_cast<std::size_t>(between(chance, 0, static_cast<std::int64_t>(targets) - 1));
        trouble.parameter = parameter(chance, trouble.kind);
        all.push_back(trouble);
    }
    std::sort(all.begin(), all.end(), [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
    return all;
}

std::string text(const Trouble& t) {
    char line[160];
    std::snprintf(line, sizeof line, "%.3f s, %.3f s long: %s %s %zu (%lld)",
                  static_cast<double>(t.at.count()) / 1000, static_cast<double>(t.span.count()) / 1000,
                  name(t.kind).c_str(), ofPartner(t.kind) ? "partner" : "sender", t.target,
                  static_cast<long long>(t.parameter));
    return line;
}

}  // namespace laurelhaven::lab::soak
