// laurelhaven-lab: plays scenarios with real senders and stand-in partners and discovery, all on loopback.
#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "agree/agree.hpp"
#include "agree/ladder.hpp"
#include "experiment/experiment.hpp"
#include "load/loader.hpp"
#include "log/log.hpp"
#include "plan/words.hpp"
#include "rig/matrix.hpp"
#include "rig/sender.hpp"
#include "soak/words.hpp"
#include "trace/file.hpp"
#include "trace/shape.hpp"
#include "view/view.hpp"

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
        std::atomic<bool> kept{true};
        plan::Runs(plan::Messages{}).each(told.size(), [&](std::size_t i) {
            auto one = scenario;
            one.seed += i;
            if (days > 1) one.name += " #" + std::to_string(one.seed);
            const auto begun = std::chrono::steady_clock::now();
            const auto day = agree::modelled(one);
            const double took =
                std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
            told[i] = json ? agree::json(one.name, day, took) : agree::text(one.name, day, took);
            if (!day.rules.kept()) kept = false;
        });
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

/// Fleets drawn by these seeds, on the model and on loopback at rising loads.
int drawnFleets(std::uint64_t first, int count, const std::vector<std::string>& files,
                agree::LadderOptions options, bool json) {
    std::vector<fleet::Description> fleets;
    for (const auto& file : files) fleets.push_back(fleet::readFile(file));
    for (int i = 0; i < count; ++i) fleets.push_back(fleet::drawn(first + static_cast<std::uint64_t>(i)));
    const auto all = agree::ladders(fleets, options);
    std::cout << (json ? agree::json(all) : agree::table(all));
    for (const auto& ladder : all)
        for (const auto& rung : ladder.rungs)
            if (!rung.kept) return 1;
    return 0;
}

int experimentOf(const std::string& file, const std::string& out, lab::Options options, bool json,
                 bool plain) {
    const auto experiment = experiment::read(file);
    options.folder = out + "/runs";
    experiment::Outcome outcome;
    {
        view::View view(plain || json);
        experiment::Options how;
        how.lab = options;
        how.lab.progress = {};
        if (!json) {
            how.progress = [&](const std::string& line) { view.say(line); };
            how.live = [&](const lab::Live& live) { view.show(live); };
        }
        outcome = experiment::play(experiment, how);
    }
    experiment::write(outcome, out);
    std::cout << (json ? experiment::json(outcome) : experiment::text(outcome));
    if (!json) std::cout << out << "/report.html\n";
    return outcome.kept() ? 0 : 1;
}

/// `load`: a trace, or the load of a described fleet, at senders that run already.
class LoadWords {
  public:
    explicit LoadWords(CLI::App& app) {
        word_ = app.add_subcommand("load", "hand messages in at running senders, open-loop");
        word_->add_option("--at", options_.senders, "addresses of the senders")->required();
        word_->add_option("traces", traces_, "captured load (default: what the fleet's description draws)");
        word_->add_option("-f,--fleet", fleet_, "a fleet's description");
        word_->add_option("--load", factor_, "times the load")->check(CLI::Range(0.001, 1000.0));
        word_->add_option("--seed", seed_, "of what is drawn");
        word_->add_option("--connections", options_.connections, "at the most")
            ->check(CLI::Range(1, 20000))
            ->capture_default_str();
        word_->add_option("--threads", options_.threads)->check(CLI::Range(1, 64))->capture_default_str();
        word_->add_option("--tries", options_.policy.tries, "of one message")->capture_default_str();
        word_->add_flag("--json", json_, "as JSON");
    }
    bool parsed() const { return word_->parsed(); }
    int run() {
        const auto messages = traces_.empty() ? drawn() : captured();
        if (!json_)
            options_.progress = [](const load::Progress& p) {
                std::cerr << "  " << p.seconds << " s: " << p.due << " due, " << p.taken << " taken, "
                          << p.refused << " not taken, " << p.unanswered << " unanswered" << std::endl;
            };
        const auto result = load::play(messages, options_);
        std::size_t taken = 0;
        for (const auto& m : result.messages) taken += !m.taken.empty();
        const auto& t = result.times;
        const auto ms = [](double s) { return s * 1000; };
        Json::Value root;
        root["messages"] = Json::UInt64(messages.size());
        root["taken"] = Json::UInt64(taken);
        root["tries"] = Json::UInt64(result.tries);
        root["connections"] = Json::UInt64(result.most);
        root["rate"] = static_cast<double>(messages.size()) / std::max(0.001, result.seconds);
        for (const auto& [name, q] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
            root["since_due_ms"][name] = ms(t.sinceDue.quantile(q));
            root["since_sent_ms"][name] = ms(t.sinceSent.quantile(q));
            root["sent_late_ms"][name] = ms(t.late.quantile(q));
        }
        root["since_due_ms"]["most"] = ms(t.sinceDue.greatest());
        root["since_sent_ms"]["most"] = ms(t.sinceSent.greatest());
        root["sent_late_ms"]["most"] = ms(t.late.greatest());
        std::cout << lab::written(root) << '\n';
        return taken == messages.size() ? 0 : 1;
    }

  private:
    std::vector<load::Message> drawn() const {
        if (fleet_.empty()) throw lab::Bad("load: give a trace, or a fleet's description (--fleet FILE)");
        const auto d = fleet::readFile(fleet_);
        std::vector<load::Message> all;
        for (const auto& h : d.messages(factor_, seed_)) {
            load::Message m;
            m.at = h.at;
            m.destination = d.partners[h.partner].is.does.destination;
            m.tenant = lab::tenant(h.tenant);
            m.key = "d" + std::to_string(seed_) + "-" + std::to_string(all.size());
            m.deadline = d.service.deadline;
            all.push_back(std::move(m));
        }
        return all;
    }
    std::vector<load::Message> captured() const {
        std::vector<load::Message> all;
        std::vector<trace::Reader> readers;
        for (const auto& path : traces_) readers.emplace_back(path);
        std::vector<trace::Merger::Source> sources;
        for (auto& reader : readers)
            sources.push_back([&reader](trace::Record& r) { return reader.next(r); });
        trace::Merger merged(std::move(sources), false);
        std::optional<trace::Micros> begun;
        trace::Scale scale;
        scale.load = factor_;
        scale.seed = seed_;
        trace::Scaler scaler(scale, [&](const trace::Record& record) {
            const auto& a = std::get<trace::Arrival>(record);
            if (!begun) begun = a.at;
            load::Message m;
            m.at = std::chrono::microseconds(std::max<trace::Micros>(0, a.at - *begun));
            m.destination = a.destination;
            m.tenant = a.tenant;
            m.grade = a.grade;
            m.bytes = std::min<std::uint64_t>(a.bytes, 1u << 20);
            m.key = "c" + std::to_string(a.id) + "-" + std::to_string(all.size());
            m.deadline = std::chrono::milliseconds(
                std::max<std::uint64_t>(1, std::min<std::uint64_t>(a.deadlineMs, 600000)));
            all.push_back(std::move(m));
        });
        for (trace::Record record; merged.next(record);) scaler.add(record);
        scaler.finish();
        return all;
    }

    CLI::App* word_;
    load::Options options_;
    std::vector<std::string> traces_;
    std::string fleet_;
    double factor_ = 1;
    std::uint64_t seed_ = 1;
    bool json_ = false;
};

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
    auto* ladder = app.add_subcommand(
        "ladder",
        "fleets at rising loads, planned, on the model and on loopback: where they break, and by what");
    agree::LadderOptions ladders;
    std::vector<std::string> fleets;
    int drawn = 0;
    ladder->add_option("fleet", fleets, "fleets' descriptions (YAML)")->check(CLI::ExistingFile);
    ladder->add_option("--drawn", drawn, "so many fleets drawn by seed")->check(CLI::Range(0, 1000));
    ladder->add_option("--seed", seed, "of the first that is drawn (default: 1)");
    ladder->add_option("--day", ladders.day, "the day whose messages are planned with and replayed");
    ladder->add_option("--side", ladders.side, "so many runs at once")->check(CLI::Range(1, 32));
    ladder->add_option("--sender", options.program, "the sender's program (default: beside this one)");
    ladder->add_option("--folder", options.folder, "where state and logs go");
    ladder->add_flag("--json", json, "as JSON");
    auto* trial = app.add_subcommand("experiment", "variants side by side, with a report; see docs/LAB.md");
    std::string trialFile, out = "experiment";
    bool plainLines = false;
    trial->add_option("experiment", trialFile, "the experiment (YAML)")->required()->check(CLI::ExistingFile);
    trial->add_option("-o,--output", out, "the folder for results.json and report.html")
        ->capture_default_str();
    trial->add_option("--sender", options.program, "the sender's program (default: beside this one)");
    trial->add_flag("--plain", plainLines, "lines of text even on a terminal");
    trial->add_flag("--json", json, "as JSON");
    LoadWords loading(app);
    plan::Words planning(app);
    lab::soak::Words soaking(app, std::filesystem::path(argv[0]).parent_path());
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
        if (loading.parsed()) return loading.run();
        if (trial->parsed()) return experimentOf(trialFile, out, options, json, plainLines);
        if (ladder->parsed()) {
            ladders.lab = options;
            return drawnFleets(seed > 0 ? seed : 1, drawn, fleets, ladders, json);
        }
        if (const auto soaked = soaking.run(std::cout, std::cerr)) return *soaked;
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
    } catch (const fleet::Bad& e) {
        std::cerr << "laurelhaven-lab: " << e.what() << '\n';
        return 2;
    } catch (const trace::Bad& e) {
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
