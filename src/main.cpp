// The program laurelhaven: parses the command line, builds the sender out of its modules, handles signals.
#include <malloc.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "clock/record_clock.hpp"
#include "commands/list.hpp"
#include "commands/trace.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "delivery/delivery.hpp"
#include "discovery/discovery.hpp"
#include "front/front.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"
#include "notices/notices.hpp"
#include "overload/client_throttle.hpp"
#include "registry/registry.hpp"
#include "roster/roster.hpp"
#include "serve/reloader.hpp"
#include "settings/settings.hpp"
#include "store/journal.hpp"
#include "threads/thread.hpp"
#include "trace/capture.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

constexpr const char* kVersion = "laurelhaven 0.1.0";
// Shutdown phases, each as the time since SIGTERM. A planned restart sends SIGKILL 3.7 s after SIGTERM.
// Clients use their open connections until these close, so connections stay open for most of that time, and
// attempts in flight get the rest of it.
constexpr milliseconds kMaxClientDrain{2400};
constexpr milliseconds kMinClientDrain{600};
constexpr milliseconds kAttemptsDeadline{3000};  // for attempts in flight and pending notices
constexpr milliseconds kFlushDeadline{3300};     // for records that could not be written yet
constexpr milliseconds kPollInterval{20};

sigset_t handledSignals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

/// Waits for at most `span`. True if a stop signal arrived; reloads on SIGHUP meanwhile.
bool stopSignalWithin(milliseconds span, serve::Reloader& reloader) {
    using std::chrono::steady_clock;
    const auto signals = handledSignals();
    const auto deadline = steady_clock::now() + span;
    for (auto now = steady_clock::now(); now <= deadline; now = steady_clock::now()) {
        const auto wakeAt = std::min(deadline, reloader.retryAt().value_or(deadline));
        const auto remaining = std::max(std::chrono::ceil<milliseconds>(wakeAt - now), milliseconds(0));
        const timespec timeout{remaining.count() / 1000, (remaining.count() % 1000) * 1000000};
        const int signal = sigtimedwait(&signals, nullptr, &timeout);
        if (signal == SIGHUP) reloader.reload();
        else if (signal > 0) return true;
        else if (reloader.retryAt() && steady_clock::now() >= *reloader.retryAt()) reloader.readConfig();
        else if (errno == EAGAIN && wakeAt == deadline) return false;
    }
    return false;
}

/// Blocks the handled signals for all threads from the start of the program; the first thread receives them
/// in stopSignalWithin(). A reload sent to all senders may reach one that has only just started, and
/// unblocked SIGHUP would end that process. A blocked signal stays pending, and the configuration is read
/// after it is received.
void blockSignals() {
    const auto set = handledSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int serveUntilStopped(settings::Settings localSettings) {
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);  // a write beyond the file size limit fails as on a full disk
    // With one malloc arena per thread, memory freed by one thread is not reused by others, and the process
    // grows as threads come and go.
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, 64 * 1024);
    mallopt(M_MMAP_THRESHOLD, 16 * 1024);
    const auto config = config::fromEnvironment();
    settings::fit(localSettings, config);
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = std::min<rlim_t>(files.rlim_max, config.sockets);
        setrlimit(RLIMIT_NOFILE, &files);
    }

    // The saved endpoint list and the journal share the disk quota of the state folder. Each budget includes
    // the copy that replaces the file.
    const auto listBytes = localSettings.roster.saveList
                               ? kept::listBudgetBytes(config.diskBytes, localSettings.roster.diskShare)
                               : 0;
    clock::RecordClock recordClock(config.state);
    store::LegacyPositions positions{config.classes, config.tenants, {}};
    for (const auto& messageClass : config.settings.messageClasses)
        positions.effects.push_back(static_cast<int>(messageClass.effect));
    const auto memoryPlan = config::memoryPlan(config);
    store::Journal store(config.state, memoryPlan.files - std::min(memoryPlan.files / 2, listBytes),
                         std::move(positions));
    const auto recovered = store.recover();
    // The callbacks below refer to modules that are constructed later; none is called before all of them
    // exist.
    decisions::Decisions* decisionsPtr = nullptr;
    delivery::Delivery* deliveryPtr = nullptr;
    roster::Roster* rosterPtr = nullptr;
    discovery::Discovery discovery(config.discovery);
    notices::NoticeDispatcher notices(
        discovery, [&](const auto& ids) { decisionsPtr->acknowledgeNotices(ids); },
        [&](const std::string& id, std::chrono::nanoseconds lateness) {
            decisionsPtr->endRules().taken(rules::EndStep::acknowledged, id, lateness);
        });
    trace::Capture capture(localSettings.capture, config);
    decisions::Decisions decisions(
        config, store,
        {[&](const decisions::UndeliveredEnd& end) {
             notices.add(end.notice, end.deadline);
             capture.ended(end.notice);
         },
         [&](const std::string& endpoint) { deliveryPtr->closeIdleConnections(endpoint); },
         [&](const decisions::DueAttempt& attempt, const decisions::AttemptResult& result, auto duration) {
             rosterPtr->attemptFinished(attempt, result);
             capture.answered(attempt, result, duration);
         },
         [&](std::uint64_t destination) { rosterPtr->endpointNeeded(destination); },
         [&](const decisions::Submission& message, const decisions::SubmissionResult& submissionResult) {
             capture.arrived(message, submissionResult);
         },
         [&](const std::string& endpoint) { deliveryPtr->endpointReplaced(endpoint); }},
        recordClock);
    delivery::Delivery delivery(config, decisions);
    decisionsPtr = &decisions;
    deliveryPtr = &delivery;
    roster::Roster roster(config, localSettings.roster, decisions, recordClock);
    rosterPtr = &roster;
    registry::DiscoveryWatch registry(discovery, roster, localSettings.registry, config.seed);
    front::HttpServer front(config, decisions);

    metrics::setGauge("messages_held", [&] { return static_cast<double>(decisions.heldMessages()); });
    metrics::setGauge("attempts_out", [&] { return static_cast<double>(decisions.attemptsInFlight()); });
    metrics::setGauge("notices_owed", [&] { return static_cast<double>(notices.pendingCount()); });
    metrics::setGauge("process_cpu_seconds",
                      [] { return std::chrono::duration<double>(overload::processCpuTime()).count(); });
    metrics::setGauge("process_cpu_limit_cores", [&] { return config.cores; });
    front.setMetrics(metrics::renderText);
    roster.begin();
    for (const auto& notice : recovered.notices) notices.add(notice);
    const auto late = decisions.restore(recovered.messages, roster.healthKnownUntil());
    capture.start();
    notices.start();
    roster.start();
    registry.start();
    delivery.start();
    threads::Thread ticker("tick", [&] {
        while (decisions.tick()) {
        }
    });
    front.start();
    log::info() << config.name << " listening on " << config.listen.text << ", port " << front.port()
                << "; restored " << recovered.messages.size() << " messages (" << late
                << " past their deadline) and " << recovered.notices.size() << " notices";

    serve::Reloader reloader(config, discovery);
    const auto stopRequestedWithin = [&](milliseconds span) { return stopSignalWithin(span, reloader); };
    while (!stopRequestedWithin(std::chrono::hours(1))) {
    }
    log::info() << "stopping, " << decisions.heldMessages() << " messages held";
    const auto stopBegan = std::chrono::steady_clock::now();
    const auto sinceStop = [&] { return std::chrono::steady_clock::now() - stopBegan; };
    front.setNotReady();
    bool stopNow = false;  // set by a second stop signal: skips the waits
    const auto drained = [&] {
        return sinceStop() > kMinClientDrain && front.connectionCount() == 0 &&
               decisions.heldMessages() == 0 && notices.pendingCount() == 0;
    };
    while (!stopNow && sinceStop() < kMaxClientDrain && !drained())
        stopNow = stopRequestedWithin(kPollInterval);
    front.stop();
    decisions.stopDispatching();  // attempts in flight may finish; the others wait for the next start
    while (!stopNow && sinceStop() < kAttemptsDeadline &&
           (decisions.attemptsInFlight() > 0 || notices.pendingCount() > 0))
        stopNow = stopRequestedWithin(kPollInterval);
    decisions.stop();
    notices.stop();
    registry.stop();
    roster.stop();
    delivery.stop();
    // Records of the last outcomes must reach the disk, also if writes fail at first.
    const auto allWritten = [&] {
        const bool messages = decisions.flushRecords();
        const bool endpoints = roster.flush();
        return messages && endpoints;
    };
    while (!allWritten() && sinceStop() < kFlushDeadline) std::this_thread::sleep_for(kPollInterval);
    capture.stop();
    if (const auto counts = capture.counts(); localSettings.capture.enabled)
        (log::info() << "capture: stopped")
            .kv("written", counts.written)
            .kv("dropped", counts.dropped)
            .kv("bytes", counts.bytes);
    (log::info() << "stopped, " << decisions.heldMessages() << " messages remain in the journal")
        .kv("rule_violations", decisions.violations().total());
    return 0;
}

int checkConfig(const config::Config& config, const settings::Settings& localSettings) {
    std::cout << "name " << config.name << ", listen " << config.listen.text << ", discovery "
              << config.discovery.text << ", state " << config.state << '\n'
              << config.settings.slots << " slots, " << config.settings.maxHeld << " messages held at most, "
              << config.known.endpoints.size() << " endpoints known at index " << config.known.index << '\n'
              << "kept list " << (localSettings.roster.saveList ? "on" : "off") << ", "
              << kept::listBudgetBytes(config.diskBytes, localSettings.roster.diskShare) << " of "
              << config.diskBytes << " bytes of disk; probes "
              << (!config.mayProbe                      ? "not permitted here"
                  : !localSettings.roster.probesEnabled ? "off"
                                                        : "on")
              << '\n';
    return 0;
}

std::string environmentVariable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

/// The sub-commands of `trace`: declares their options and runs the one given.
class TraceCommands {
  public:
    explicit TraceCommands(CLI::App& app) {
        auto* trace = app.add_subcommand("trace", "look at captured load, and make traces out of traces");
        trace->require_subcommand(1);
        trace->fallthrough();
        const auto addInputs = [&](CLI::App* command) {
            command
                ->add_option("files", input_.files, "trace files: rotated ones, or those of several senders")
                ->required()
                ->check(CLI::ExistingFile);
            return command;
        };
        const auto addOutput = [&](CLI::App* command) {
            command->add_option("-o,--output", outputPath_, "the trace to write")->required();
            return command;
        };
        summarise_ =
            addInputs(trace->add_subcommand("summarise", "rates, clumps by destination, tails by partner"));
        summarise_->add_flag("--json", json_, "as JSON");
        summarise_->add_option("--plot", plotFolder_, "draw rate, tails and clumps as SVG into this folder");
        cut_ = addOutput(addInputs(trace->add_subcommand("cut", "a part of a trace")));
        cut_->add_option("--from", cutOptions_.from, "seconds since its beginning");
        cut_->add_option("--to", cutOptions_.to, "seconds since its beginning, left out itself");
        cut_->add_option("--destination", cutOptions_.destinations, "only messages for these");
        cut_->add_option("--tenant", cutOptions_.tenants, "only messages of these");
        cut_->add_option("--class", cutOptions_.grades, "only messages of these classes");
        scale_ = addOutput(addInputs(trace->add_subcommand("scale", "more or less load of the same shape")));
        scale_->add_option("--load", scaleOptions_.load, "arrivals for each that was captured")
            ->check(CLI::Range(0.001, 1000.0));
        scale_->add_option("--speed", scaleOptions_.speed, "how much faster it goes by")
            ->check(CLI::Range(0.001, 1000.0));
        scale_
            ->add_option("--spread", scaleOptions_.spread, "seconds by which further copies lie off at most")
            ->check(CLI::Range(0.0, 60.0));
        scale_->add_option("--seed", scaleOptions_.seed, "which messages go or come again");
        merge_ = addOutput(addInputs(trace->add_subcommand("merge", "several traces as one, by time")));
        merge_->add_flag("--align", align_, "let all of them begin together");
        import_ = addOutput(trace->add_subcommand("import-csv", "a trace out of a table; see docs/TRACE.md"));
        import_->add_option("from", csvPath_, "the CSV file")->required();
    }
    /// Runs the parsed sub-command and returns its exit status. Empty if none of them was given.
    std::optional<int> run() {
        input_.progress = true;
        if (summarise_->parsed())
            return commands::traceSummarise(input_, json_, plotFolder_, std::cout, std::cerr);
        if (cut_->parsed()) return commands::traceCut(input_, cutOptions_, outputPath_, std::cout, std::cerr);
        if (scale_->parsed())
            return commands::traceScale(input_, scaleOptions_, outputPath_, std::cout, std::cerr);
        if (merge_->parsed()) return commands::traceMerge(input_, align_, outputPath_, std::cout, std::cerr);
        if (import_->parsed()) return commands::traceImportCsv(csvPath_, outputPath_, std::cout, std::cerr);
        return {};
    }

  private:
    commands::TraceIn input_;
    std::string outputPath_, csvPath_, plotFolder_;
    bool json_ = false, align_ = false;
    trace::Cut cutOptions_;
    trace::Scale scaleOptions_;
    CLI::App *summarise_, *cut_, *scale_, *merge_, *import_;
};

/// Replaces this process by `laurelhaven-lab plan`, which must be in the same folder: the simulation behind
/// it is not linked into the sender. Returns only if that program cannot be executed.
int runPlanner(const std::vector<std::string>& arguments) {
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "laurelhaven-lab";
    std::vector<std::string> command{program.string(), "plan"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    for (auto& argument : command) argv.push_back(argument.data());
    argv.push_back(nullptr);
    execv(program.c_str(), argv.data());
    std::cerr << "laurelhaven: " << program.string() << ": " << std::strerror(errno)
              << "; planning wants the laboratory: build with -DLAURELHAVEN_LAB=ON ('make demo' does)\n";
    return 2;
}

int run(int argc, char** argv) {
    // Everything after `plan` belongs to laurelhaven-lab, even options that this program has too.
    if (argc > 1 && std::string(argv[1]) == "plan") return runPlanner({argv + 2, argv + argc});
    CLI::App app("The outbound message sender. `serve` is told by the BALANCER_ variables; see README.md.",
                 "laurelhaven");
    app.failure_message(CLI::FailureMessage::simple);
    app.require_subcommand(0, 1);
    std::string level, format, settingsPath;
    bool version = false;
    app.add_option("-l,--log-level", level, "least level of the lines in the log")
        ->check(CLI::IsMember({"debug", "info", "warning", "error", "off"}));
    app.add_option("--log-format", format, "form of the lines in the log")
        ->check(CLI::IsMember({"text", "json"}));
    app.add_option("--settings", settingsPath,
                   "our own settings, YAML (default: none, all at their defaults)");
    app.add_flag("-V,--version", version, "as the word version");
    // Options of the program are accepted after the sub-command too.
    app.fallthrough();
    auto* serveCommand = app.add_subcommand("serve", "run the sender; SIGHUP reads the configuration anew");
    auto* checkCommand = app.add_subcommand("check-config", "read configuration and settings, start nothing");
    auto* versionCommand = app.add_subcommand("version", "print the version");
    auto* helpCommand = app.add_subcommand("help", "print what --help prints");
    auto* list = app.add_subcommand("list", "look at the kept list of endpoints");
    list->require_subcommand(1);
    commands::ListFile file;
    std::string endpoint, from, name;
    bool json = false;
    double diskMb = 3;
    list->add_option("--file", file.path, "the kept list (default: endpoints.list in $BALANCER_STATE)");
    list->add_option("--name", name, "the sender whose list it is (default: $BALANCER_NAME, or anybody's)");
    list->fallthrough();
    auto* show = list->add_subcommand("show", "all entries, with how far each may be believed now");
    show->add_flag("--json", json, "as JSON");
    auto* explain = list->add_subcommand("explain", "why an endpoint is or is not trusted");
    explain->add_option("endpoint", endpoint, "its id")->required();
    auto* check = list->add_subcommand("check", "is the file sound? Exits with 1 where it is not");
    check->add_option("path", file.path, "the kept list");
    check->add_flag("--json", json, "as JSON");
    auto* exportCommand = list->add_subcommand("export", "print the list in discovery's form");
    auto* import = list->add_subcommand("import",
                                        "make or merge a list from one in discovery's form; the sender "
                                        "must not be running");
    import->add_option("from", from, "the JSON file")->required();
    import->add_option("--disk-mb", diskMb, "the platform's disk_mb, of which the list gets its share");
    TraceCommands traces(app);
    // Listed for the help only; laurelhaven-lab parses its options and prints its help.
    auto* plan = app.add_subcommand("plan", "judge whether senders and partners will hold (laurelhaven-lab)");
    plan->allow_extras();
    plan->set_help_flag();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    if (helpCommand->parsed()) return std::cout << app.help(), 0;
    if (version || versionCommand->parsed()) return std::cout << kVersion << '\n', 0;
    if (plan->parsed()) return runPlanner(plan->remaining());
    auto localSettings = settings::fromFile(settingsPath);
    if (!level.empty()) localSettings.level = *log::parseLevel(level);
    if (format == "json") localSettings.format = log::Format::json;
    if (format == "text") localSettings.format = log::Format::text;
    log::setLevel(localSettings.level);
    log::setFormat(localSettings.format);
    if (serveCommand->parsed()) return serveUntilStopped(std::move(localSettings));
    if (checkCommand->parsed()) {
        const auto config = config::fromEnvironment();
        settings::fit(localSettings, config);
        return checkConfig(config, localSettings);
    }
    if (list->parsed()) {
        if (file.path.empty()) file.path = environmentVariable("BALANCER_STATE") + "/endpoints.list";
        file.sender = name.empty() ? environmentVariable("BALANCER_NAME") : name;
        file.now = clock::RecordClock(std::filesystem::path(file.path).parent_path().string()).now();
        // The platform's configuration, if given, says whether probes are permitted.
        if (!environmentVariable("BALANCER_CONFIG").empty())
            settings::fit(localSettings, config::fromEnvironment());
        if (show->parsed()) return commands::listShow(file, localSettings, json, std::cout, std::cerr);
        if (explain->parsed())
            return commands::listExplain(file, localSettings, endpoint, std::cout, std::cerr);
        if (check->parsed()) return commands::listCheck(file, json, std::cout, std::cerr);
        if (exportCommand->parsed()) return commands::listExport(file, std::cout, std::cerr);
        if (import->parsed())
            return commands::listImport(file, from,
                                        kept::listBudgetBytes(static_cast<std::uint64_t>(diskMb * 1e6),
                                                              localSettings.roster.diskShare),
                                        std::cout, std::cerr);
    }
    if (const auto status = traces.run()) return *status;
    std::cerr << app.help();
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    // Only `serve` handles signals; the other sub-commands keep the default actions.
    if (std::any_of(argv, argv + argc, [](std::string_view argument) { return argument == "serve"; }))
        blockSignals();
    try {
        return run(argc, argv);
    } catch (const settings::Bad& e) {
        std::cerr << "laurelhaven: " << e.what() << '\n';
        return 2;
    } catch (const config::Bad& e) {
        std::cerr << "laurelhaven: " << e.what() << '\n';
        return 2;
    } catch (const std::exception& e) {
        std::cerr << "laurelhaven: " << e.what() << '\n';
        return 1;
    }
}
