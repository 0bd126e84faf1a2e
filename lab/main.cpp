// laurelhaven-lab: plays scenarios with real senders and stand-in partners and discovery, all on loopback.
#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "log/log.hpp"
#include "rig/matrix.hpp"

using namespace laurelhaven;

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
        if (table->parsed()) {
            lab::MatrixOptions matrix{options, against, side, seed > 0 ? seed : 1};
            bool clean = false;
            std::cout << lab::matrix(matrix, clean);
            return clean ? 0 : 1;
        }
        for (const auto& file : files) {
            auto scenario = lab::scenarioFile(file);
            if (check->parsed()) {
                std::cout << file << ": " << scenario.name << '\n';
                continue;
            }
            if (seed > 0) scenario.seed = seed;
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
