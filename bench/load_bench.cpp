// What the load tool holds: load_bench [RATE...]. Each rate for five seconds on two threads against a
// stand-in that answers 202 at once; then a server that stalls for a second, as one connection and as open
// load see it.
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "load/loader.hpp"
#include "standin/server.hpp"

using namespace laurelhaven;
using namespace std::chrono_literals;

namespace {

std::vector<load::Message> even(double rate, double seconds) {
    std::vector<load::Message> all;
    for (double t = 0; t < seconds; t += 1 / rate) {
        load::Message m;
        m.at = std::chrono::nanoseconds(static_cast<std::int64_t>(t * 1e9));
        m.key = "k" + std::to_string(all.size());
        m.destination = 100;
        m.bytes = 200;
        all.push_back(std::move(m));
    }
    return all;
}

void line(const char* name, const load::Result& r) {
    std::size_t taken = 0;
    for (const auto& m : r.messages) taken += !m.taken.empty();
    const auto ms = [](double s) { return 1000 * s; };
    std::printf(
        "%-26s %8zu taken of %8zu; sent late p50 %.3f p99 %.3f most %.1f ms; answer since due p50 %.2f p99 "
        "%.1f most %.0f ms, since sent p50 %.2f p99 %.1f most %.0f ms\n",
        name, taken, r.messages.size(), ms(r.times.late.quantile(0.5)), ms(r.times.late.quantile(0.99)),
        ms(r.times.late.greatest()), ms(r.times.sinceDue.quantile(0.5)), ms(r.times.sinceDue.quantile(0.99)),
        ms(r.times.sinceDue.greatest()), ms(r.times.sinceSent.quantile(0.5)),
        ms(r.times.sinceSent.quantile(0.99)), ms(r.times.sinceSent.greatest()));
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    std::atomic<bool> stall{false};
    std::atomic<std::int64_t> until{0};
    lab::Server server("127.77.0.1:18443", [&](const http::Message&, lab::Connection& c) {
        // A stall holds up every connection, as a stopped process would.
        if (stall) std::this_thread::sleep_until(load::Moment(std::chrono::nanoseconds(until.load())));
        return c.send(http::formatResponse(202, {}, "", true));
    });
    server.start();
    std::vector<double> rates;
    for (int i = 1; i < argc; ++i) rates.push_back(std::atof(argv[i]));
    if (rates.empty()) rates = {1000, 5000, 10000, 20000, 40000};
    load::Options options;
    options.senders = {server.address()};
    options.threads = 2;
    options.connections = 64;
    for (const double rate : rates)
        line((std::to_string(static_cast<int>(rate)) + "/s, two threads").c_str(),
             load::play(even(rate, 5), options));
    options.policy.patience = 5s;
    for (const int connections : {1, 64}) {
        options.threads = 1;
        options.connections = connections;
        const auto begin = load::Steady::now() + 10ms;
        std::thread stalls([&] {
            std::this_thread::sleep_until(begin + 2s);
            until = (begin + 3s).time_since_epoch().count();
            stall = true;
            std::this_thread::sleep_until(begin + 3s);
            stall = false;
        });
        line(connections == 1 ? "stall of 1 s, 1 connection" : "stall of 1 s, 64",
             load::play(even(500, 6), options, begin));
        stalls.join();
    }
}
