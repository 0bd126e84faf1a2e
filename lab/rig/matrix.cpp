#include "rig/matrix.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <mutex>
#include <thread>
#include <vector>

namespace laurelhaven::lab {
namespace {

struct Cell {
    std::string age, fleet, discovery, program;
    Scenario scenario;
    Options options;
    Report report;
    std::string error;
};

/// Seconds until every later second of the first ten has 95% of what a fresh list gives.
int secondsUntil(const Report& report, const Report& fresh) {
    const auto n = std::min<std::size_t>(10, std::min(report.service.size(), fresh.service.size()));
    int until = 0;
    for (std::size_t i = 0; i < n; ++i)
        if (report.service[i] < 0.95 * std::min(1.0, fresh.service[i])) until = static_cast<int>(i) + 1;
    return until;
}

}  // namespace

std::string matrix(const MatrixOptions& options, bool& clean) {
    std::vector<Cell> cells;
    const std::pair<const char*, milliseconds> ages[] = {
        {"5 s", milliseconds(5000)}, {"1 h", milliseconds(3'600'000)}, {"1 d", milliseconds(86'400'000)}};
    const char* const fleets[] = {"all well", "20% drained", "one cold", "a third re-addressed"};
    const auto add = [&](const std::string& age, milliseconds keptAge, const std::string& fleet,
                         const std::string& discovery, bool ours) {
        Cell cell;
        cell.age = age, cell.fleet = fleet, cell.discovery = discovery;
        cell.program = ours ? "kept list" : "before";
        auto& s = cell.scenario;
        s.name = age + ", " + fleet + ", " + discovery;
        s.seed = options.seed;
        s.senders = 2;
        s.partners = 8;
        s.endpoints = 3;
        s.rateLeast = 3;
        s.rateMost = 12;
        s.load = 0.5;
        s.duration = milliseconds(12000);
        s.keptAge = keptAge;
        if (fleet == fleets[1]) s.drained = 0.2;
        if (fleet == fleets[2]) s.cold = 1;
        if (fleet == fleets[3]) s.readdressed = 0.34;
        s.discovery = discovery == "up" ? Discovery::Mode::up : Discovery::Mode::silent;
        if (discovery == "back after 10 s")
            s.events.push_back({milliseconds(10000), Event::Kind::discovery, Discovery::Mode::up, 0});
        cell.options = options.with;
        cell.options.progress = {};
        if (!ours)
            cell.options.program = options.against, cell.options.settings.clear(),
            cell.options.keptList = false;
        cells.push_back(std::move(cell));
    };
    const auto both = [&](auto... what) {
        add(what..., true);
        if (!options.against.empty()) add(what..., false);
    };
    for (const char* fleet : fleets) both("fresh", milliseconds(5000), fleet, "up");
    for (const auto& [age, span] : ages)
        for (const char* fleet : fleets)
            for (const char* discovery : {"down throughout", "back after 10 s"})
                both(age, span, fleet, discovery);
    std::atomic<std::size_t> next{0};
    std::mutex mutex;
    std::vector<std::thread> workers;
    for (int w = 0; w < options.side; ++w)
        workers.emplace_back([&] {
            for (std::size_t i; (i = next++) < cells.size();) {
                auto& cell = cells[i];
                cell.options.folder = options.with.folder + "/" + std::to_string(i);
                // The addresses of a run follow from its seed: side by side they must differ.
                cell.scenario.seed = options.seed + i / (options.against.empty() ? 1 : 2);
                cell.scenario.block = i;
                try {
                    cell.report = play(cell.scenario, cell.options);
                } catch (const std::exception& e) {
                    cell.error = e.what();
                }
                const std::lock_guard lock(mutex);
                if (options.with.progress)
                    options.with.progress(fmt::format(
                        "{}/{} {} ({}): {}", i + 1, cells.size(), cell.scenario.name, cell.program,
                        cell.error.empty() ? fmt::format("service {:.3f}", cell.report.first10)
                                           : cell.error));
            }
        });
    for (auto& worker : workers) worker.join();
    clean = true;
    std::string out =
        "| list | fleet | discovery | program | service 10 s | of fresh | s until 95% | at drained | "
        "fall-overs | doubles | "
        "lost | misdirected | probes (most of one) "
        "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto& cell : cells) {
        if (!cell.error.empty()) {
            out += fmt::format("| {} | {} | {} | {} | {} |\n", cell.age, cell.fleet, cell.discovery,
                               cell.program, cell.error);
            clean = false;
            continue;
        }
        const auto& r = cell.report;
        const auto fresh = std::find_if(cells.begin(), cells.end(), [&](const Cell& c) {
            return c.age == "fresh" && c.fleet == cell.fleet && c.program == cell.program;
        });
        std::size_t probes = 0, most = 0;
        for (const auto& [destination, n] : r.ledger.probes) probes += n, most = std::max(most, n);
        out +=
            fmt::format("| {} | {} | {} | {} | {:.3f} | {:.2f} | {} | {} | {} | {} | {} | {} | {} ({}) |\n",
                        cell.age, cell.fleet, cell.discovery, cell.program, r.first10,
                        fresh->report.first10 > 0 ? r.first10 / fresh->report.first10 : 0,
                        secondsUntil(r, fresh->report), r.ledger.toDrained, r.ledger.fallOvers,
                        r.ledger.doubles, r.lost, r.ledger.misdirected, probes, most);
        if (cell.program == "kept list" && !r.clean()) clean = false;
    }
    return out;
}

}  // namespace laurelhaven::lab
