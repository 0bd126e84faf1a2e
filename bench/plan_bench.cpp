// What the model and the planner cost: plan_bench [SCALE]. Events a second on one core and on four, a common
// day, fleets that grow tenfold, and a search for sizes beside a sweep. SCALE 1 goes to 5,000 endpoints, 500
// senders and a million messages; less is a part of that.
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <thread>

#include "plan/size.hpp"

using namespace laurelhaven;
using namespace std::chrono_literals;

namespace {

fleet::Description wide(int partners, int endpoints, int senders, double rate, double seconds) {
    fleet::Description d;
    d.name = "wide";
    d.load.span = lab::span(seconds);
    d.senders.count = senders;
    for (int i = 0; i < partners; ++i) {
        fleet::Partner p;
        p.name = "p" + std::to_string(i);
        p.is.does.destination = 100 + static_cast<std::uint64_t>(i);
        p.perEndpoint = 2 * rate / partners / endpoints;
        p.setEndpoints(endpoints);
        p.asked = rate / partners;
        d.partners.push_back(p);
    }
    return d;
}

double megabytes() {
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    return static_cast<double>(use.ru_maxrss) / 1024;
}

double clocked(const auto& work) {
    const auto begun = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
}

/// What settings of the module do on a rough day: partners of unlike size, a tenth over what they take, one
/// down and one slow for a while, one of two senders dead for a while.
void settings() {
    auto d = wide(12, 2, 2, 66, 48);
    for (std::size_t p = 0; p < d.partners.size(); ++p) {
        auto& partner = d.partners[p];
        partner.perEndpoint = p < 4 ? 4.5 : 1.5;
        partner.setEndpoints(2);
        auto& does = partner.is.does;
        if (p % 2 == 0) does.limit = does.told = does.capacity / 1.3;
        partner.asked = 1.1 * (does.limit > 0 ? does.limit : does.capacity);
        does.serve = std::chrono::milliseconds(p % 3 == 0 ? 600 : 150);
    }
    using Kind = model::Trouble::Kind;
    d.troubles = {{Kind::outage, 8s, 1, 1}, {Kind::back, 14s, 1, 1}, {Kind::slow, 18s, 3, 6},
                  {Kind::slow, 26s, 3, 1},  {Kind::kill, 30s, 1, 1}, {Kind::start, 34s, 1, 1}};
    plan::Runs runs(plan::drawn(d));
    constexpr int kDays = 32;
    const auto base = runs.values(d, 1, kDays);
    std::printf("a rough day on the model: score %.3f\n", plan::interval(base).mean);
    const auto with = [&](const char* name, const auto& change) {
        auto other = d;
        change(other.senders);
        const auto values = runs.values(other, 1, kDays);
        std::vector<double> differences;
        for (std::size_t i = 0; i < values.size(); ++i) differences.push_back(values[i] - base[i]);
        const auto i = plan::interval(differences);
        std::printf("  %-34s %+.4f (%+.4f to %+.4f)\n", name, i.mean, i.least, i.most);
    };
    with("8 slots in place of 24", [](auto& s) { s.slots = 8; });
    with("40 held in place of 400", [](auto& s) { s.held = 40; });
    with("1 attempt in place of 8", [](auto& s) { s.attempts = 1; });
    with("2 attempts in place of 8", [](auto& s) { s.attempts = 2; });
    with("no rates in the list", [](auto& s) { s.weighed = false; });
    with("calls can't be called off", [](auto& s) { s.cancels = false; });
}

}  // namespace

int main(int argc, char** argv) {
    const double scale = argc > 1 ? std::atof(argv[1]) : 1;
    const auto common = wide(8, 2, 2, 75, 60);
    model::Day day;
    const auto load = common.messages(1, 1);
    const double once = clocked([&] { day = model::play(common.fleet(), load, 1); });
    std::printf("60 s at 75/s: %zu messages, %llu events in %.3f s\n", load.size(),
                static_cast<unsigned long long>(day.events), once);
    for (const unsigned cores : {1u, 4u}) {
        plan::Runs runs(plan::drawn(common), cores);
        std::uint64_t events = 0;
        const double took = clocked([&] {
            for (const auto& d : runs.days(common, 1, 64)) events += d.events;
        });
        std::printf("64 such days on %u core%s: %.2f s, %.2f million events a second\n", cores,
                    cores > 1 ? "s" : "", took, static_cast<double>(events) / took / 1e6);
    }
    std::printf("%10s %10s %8s %10s %12s %8s %10s %10s\n", "endpoints", "partners", "senders", "messages",
                "events", "seconds", "events/s", "MB at most");
    const auto row = [&](int partners, int endpoints, int senders, double messages) {
        // Some 60 a second for each sender, which its slots carry.
        const double rate = 60.0 * senders;
        const auto d = wide(partners, endpoints, senders, rate, messages / rate);
        model::Day one;
        const double took = clocked([&] { one = model::play(d.fleet(), d.messages(1, 1), 1); });
        std::printf("%10d %10d %8d %10llu %12llu %8.2f %10.0f %10.0f\n", partners * endpoints, partners,
                    senders, static_cast<unsigned long long>(one.messages),
                    static_cast<unsigned long long>(one.events), took, static_cast<double>(one.events) / took,
                    megabytes());
        std::fflush(stdout);
    };
    const auto part = [&](double n) { return std::max(1, static_cast<int>(n * scale)); };
    row(20, 2, 4, 10000 * scale);
    row(20, 2, 4, 100000 * scale);
    row(20, 2, 4, 1000000 * scale);
    row(250, 2, 4, 100000 * scale);
    row(2500, 2, 4, 100000 * scale);
    row(250, 2, part(50), 100000 * scale);
    row(250, 2, part(500), 100000 * scale);
    row(part(2500), 2, part(500), 1000000 * scale);

    settings();
    auto d = wide(6, 1, 1, 30, 30);
    plan::Runs runs(plan::drawn(d));
    plan::SizeOptions options;
    options.mostEndpoints = 16;
    options.mostSenders = 8;
    plan::Size found;
    const double took = clocked([&] { found = plan::size(d, runs, options); });
    std::printf("size of 6 partners: %llu days played in %.2f s; one number at a time would take %llu\n",
                static_cast<unsigned long long>(found.played), took,
                static_cast<unsigned long long>(found.sweep));
}
