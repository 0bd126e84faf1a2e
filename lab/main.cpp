// laurelhaven-lab: plays scenarios with real senders and stand-in partners and discovery, all on loopback.
#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "agree/agree.hpp"
#include "log/log.hpp"
#include "plan/words.hpp"
#include "rig/matrix.hpp"

using namespace laurelhaven;

namespace {

/// `seed` above 0 goes before the scenario's own.
lab::Scenario seeded(const std::string& file, std::uint64_t seed) {
    auto scenario = lab::scenarioFile(file);
    if (seed > 0) scenario.seed = seed;
    return scenario;
}

/// Days on the model: independent, so all cores have some. The exit status.
int models(const std::vector<std::string>& files, std::uint64_t seed, int days, bool json) {
    int status = 0;
    for (const auto& file : files) {
        const auto scenario = seeded(file, seed);
        std::vector<std::string> told(static_cast<std::size_t>(days));
        std::atomic<std::size_t> next{0};
        std::atomic<bool> kept{true};
        std::exception_ptr failure;
        std::mutex mutex;
        const auto work = [&] {
            try {
                for (auto i = next++; i < told.size(); i = next++) {
                    auto one = scenario;
                    one.seed += i;
                    if (days > 1) one.name += " #" + std::to_string(one.seed);
                    const auto begun = std::chrono::steady_clock::now();
                    const auto day = agree::modelled(one);
                    const double took =
                        std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
                    told[i] = json ? agree::json(one.name, day, took) : agree::text(one.name, day, took);
                    if (!day.rules.kept()) kept = false;
                }
            } catch (...) {
                const std::lock_guard lock(mutex);
                failure = std::current_exception();
            }
        };
        std::vector<std::thread> threads;
        const auto cores =
            std::min<std::size_t>(std::max(1u, std::thread::hardware_concurrency()), told.size());
        for (std::size_t i = 0; i < cores; ++i) threads.emplace_back(work);
        for (auto& thread : threads) thread.join();
        if (failure) std::rethrow_exception(failure);
        for (const auto& text : told) std::cout << text;
        if (!kept) status = 1;
    }
    return status;
}

/// True where neither the model nor loopback broke a rule.
bool agreed(const std::vector<std::string>& files, std::uint64_t seed, lab::Options options, bool json) {
    std::vector<agree::Pair> pairs;
    const auto folder = options.folder;
    bool kept = true;
    for (const auto& file : files) {
        const auto scenario = seeded(file, seed);
        options.folder = folder + "/" + std::to_string(pairs.size());
        if (options.progress) options.progress(scenario.name);
        pairs.push_back({scenario.name, agree::modelled(scenario), lab::play(scenario, options)});
        kept = kept && pairs.back().model.rules.kept() && pairs.back().loopback.clean();
    }
    std::cout << (json ? agree::json(pairs) : agree::table(pairs));
    return kept;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("Plays a scenario with real senders and stand-in partners and discovery, on loopback only.",
                 "laurelhaven-lab");
    app.require_subcommand(1);
    std::vector<std::string> files;
    lab::Options options;
    options.program = (std::filesystem::path(argv[0]).parent_path() / "laurelhaven").string();
    options.folder =
        (std::filesystem::temp_directory_path() / ("laurelhaven-lab-" + std::to_string(getpid()))).string();
    bool json = false, keep = false, plain = false;
    std::uint64_t seed = 0;
    auto* run = app.add_subcommand("run", "play scenarios; exits with 1 where a rule was broken");
    run->add_option("scenario", files, "scenario files (YAML)")->required()->check(CLI::ExistingFile);
    run->add_option("--sender", options.program, "the sender's program (default: beside this one)");
    run->add_option("--settings", options.settings, "our settings for the senders");
    run->add_option("--log-level", options.logLevel, "of the senders");
    run->add_option("--folder", options.folder, "where state and logs go");
    run->add_option("--seed", seed, "in place of the scenarios' own");
    run->add_flag("--json", json, "a report a line, as JSON");
    run->add_flag("--keep", keep, "leave the folder, with the senders' logs");
    run->add_flag("--no-kept-list", plain,
                  "for a program that has none: the configuration gives the old list");
    auto* check = app.add_subcommand("check", "read scenarios, play nothing");
    check->add_option("scenario", files, "scenario files (YAML)")->required();
    std::string against;
    int side = 4;
    auto* table = app.add_subcommand("matrix", "the table of starts: ages of the list x fleets x discovery");
    table->add_option("--sender", options.program, "the sender's program (default: beside this one)");
    table->add_option("--against", against, "another program, without a kept list, played beside it");
    table->add_option("--side", side, "so many runs at once")->check(CLI::Range(1, 32));
    table->add_option("--seed", seed, "of the first run");
    table->add_option("--folder", options.folder, "where state and logs go");
    auto* model =
        app.add_subcommand("model", "play scenarios in virtual time, on a model of all but the decisions");
    model->add_option("scenario", files, "scenario files (YAML)")->required()->check(CLI::ExistingFile);
    int days = 1;
    model->add_option("--days", days, "so many days of each, by seeds on end, on all cores")
        ->check(CLI::Range(1, 100000));
    model->add_option("--seed", seed, "of the first day, in place of the scenarios' own");
    model->add_flag("--json", json, "as JSON");
    auto* pairs = app.add_subcommand("agree", "play scenarios on the model and on loopback, side by side");
    pairs->add_option("scenario", files, "scenario files (YAML)")->required()->check(CLI::ExistingFile);
    pairs->add_option("--sender", options.program, "the sender's program (default: beside this one)");
    pairs->add_option("--folder", options.folder, "where state and logs go");
    pairs->add_option("--seed", seed, "in place of the scenarios' own");
    pairs->add_flag("--json", json, "as JSON");
    plan::Words planning(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    signal(SIGPIPE, SIG_IGN);
    log::setLevel(log::Level::error);
    options.keptList = !plain;
    if (!json) options.progress = [](const std::string& line) { std::cerr << "  " << line << std::endl; };
    int status = 0;
    try {
        if (const auto planned = planning.run(std::cout, std::cerr)) return *planned;
        if (table->parsed()) {
            lab::MatrixOptions matrix{options, against, side, seed > 0 ? seed : 1};
            bool clean = false;
            std::cout << lab::matrix(matrix, clean);
            return clean ? 0 : 1;
        }
        if (model->parsed()) return models(files, seed, days, json);
        if (pairs->parsed()) {
            const bool kept = agreed(files, seed, options, json);
            if (kept) std::filesystem::remove_all(options.folder);
            else std::cerr << "state and logs are in " << options.folder << '\n';
            return kept ? 0 : 1;
        }
        for (const auto& file : files) {
            const auto scenario = seeded(file, seed);
            if (check->parsed()) {
                std::cout << file << ": " << scenario.name << '\n';
                continue;
            }
            const auto report = lab::play(scenario, options);
            std::cout << (json ? report.json() + "\n" : report.text()) << std::flush;
            if (!report.clean()) status = 1;
        }
    } catch (const lab::Bad& e) {
        std::cerr << "laurelhaven-lab: " << e.what() << '\n';
        return 2;
    } catch (const std::exception& e) {
        std::cerr << "laurelhaven-lab: " << e.what() << '\n';
        return 1;
    }
    if (!keep && status == 0) std::filesystem::remove_all(options.folder);
    else if (run->parsed()) std::cerr << "state and logs are in " << options.folder << '\n';
    return status;
}
