// laurelhaven: sub-commands, wiring and signals.
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
// A planned restart kills 3.7 s after SIGTERM. Clients use the connections they have for as long as those
// stay open, so they stay open nearly to the end, and calls get the rest of the time to finish.
constexpr milliseconds kServeOn{2400};
constexpr milliseconds kLeastServeOn{600};
constexpr milliseconds kFinish{3000};
constexpr milliseconds kRecord{3300};
constexpr milliseconds kLook{20};

sigset_t ourSignals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

/// True when a signal to stop comes within that time; one to reload is carried out meanwhile.
bool stopWithin(milliseconds span, serve::Reloader& reloader) {
    using std::chrono::steady_clock;
    const auto set = ourSignals();
    const auto until = steady_clock::now() + span;
    for (auto now = steady_clock::now(); now <= until; now = steady_clock::now()) {
        const auto next = std::min(until, reloader.retryAt().value_or(until));
        const auto left = std::max(std::chrono::ceil<milliseconds>(next - now), milliseconds(0));
        const timespec time{left.count() / 1000, (left.count() % 1000) * 1000000};
        const int signal = sigtimedwait(&set, nullptr, &time);
        if (signal == SIGHUP) reloader.reload();
        else if (signal > 0) return true;
        else if (reloader.retryAt() && steady_clock::now() >= *reloader.retryAt()) reloader.readConfig();
        else if (errno == EAGAIN && next == until) return false;
    }
    return false;
}

/// Danger: a reload sent to all senders may come in the first moment of one that was just restarted, and
/// would end it. So from the program's first line on none of these signals does: they wait for their turn,
/// and what is read after them is what they tell of. All threads leave them to the first.
void holdSignals() {
    const auto set = ourSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

int serveUntilStopped(settings::Settings own) {
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);  // a file at its limit is a full disk, not an end
    // Danger: with an arena for each of many threads, memory that one has freed is of no use to the next, and
    // the process grows for as long as threads come and go.
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, 256 * 1024);
    mallopt(M_MMAP_THRESHOLD, 256 * 1024);
    const auto config = config::fromEnvironment();
    settings::fit(own, config);
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = std::min<rlim_t>(files.rlim_max, config.sockets);
        setrlimit(RLIMIT_NOFILE, &files);
    }

    // The list and the journal share the folder, both with the copies that replace them.
    const auto listBytes =
        own.roster.saveList ? kept::listBudgetBytes(config.diskBytes, own.roster.diskShare) : 0;
    clock::RecordClock recordClock(config.state);
    store::LegacyPositions positions{config.classes, config.tenants, {}};
    for (const auto& g : config.settings.messageClasses)
        positions.effects.push_back(static_cast<int>(g.effect));
    store::Journal store(config.state, config.diskBytes - listBytes, std::move(positions));
    const auto recovered = store.recover();
    decisions::Decisions* facade = nullptr;
    delivery::Delivery* calls = nullptr;
    roster::Roster* list = nullptr;
    discovery::Discovery discovery(config.discovery);
    notices::NoticeDispatcher notices(discovery, [&](const auto& ids) { facade->acknowledgeNotices(ids); });
    trace::Capture capture(own.capture, config);
    decisions::Decisions decisions(
        config, store,
        {[&](const store::PendingNotice& notice) {
             notices.add(notice);
             capture.ended(notice);
         },
         [&](const std::string& endpoint) { calls->closeIdleConnections(endpoint); },
         [&](const decisions::DueAttempt& call, const decisions::AttemptResult& result, auto took) {
             list->attemptFinished(call, result);
             capture.answered(call, result, took);
         },
         [&](std::uint64_t destination) { list->endpointNeeded(destination); },
         [&](const decisions::Submission& message, const decisions::SubmissionResult& verdict) {
             capture.arrived(message, verdict);
         }},
        recordClock);
    delivery::Delivery delivery(config, decisions);
    facade = &decisions;
    calls = &delivery;
    roster::Roster roster(config, own.roster, decisions, recordClock);
    list = &roster;
    registry::DiscoveryWatch registry(discovery, roster, own.registry, config.seed);
    front::HttpServer front(config, decisions);

    metrics::setGauge("messages_held", [&] { return static_cast<double>(decisions.heldMessages()); });
    metrics::setGauge("attempts_out", [&] { return static_cast<double>(decisions.attemptsInFlight()); });
    metrics::setGauge("notices_owed", [&] { return static_cast<double>(notices.pendingCount()); });
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
    log::info() << config.name << " serves on " << config.listen.text << " port " << front.port() << ", "
                << recovered.messages.size() << " messages (" << late << " past their deadline) and "
                << recovered.notices.size() << " notices from before";

    serve::Reloader reloader(config, discovery);
    const auto stopIn = [&](milliseconds span) { return stopWithin(span, reloader); };
    while (!stopIn(std::chrono::hours(1))) {
    }
    log::info() << "stopping, " << decisions.heldMessages() << " messages held";
    const auto begun = std::chrono::steady_clock::now();
    const auto since = [&] { return std::chrono::steady_clock::now() - begun; };
    front.setNotReady();
    bool hurry = false;  // a second signal
    const auto nothingLeft = [&] {
        return since() > kLeastServeOn && front.connectionCount() == 0 && decisions.heldMessages() == 0 &&
               notices.pendingCount() == 0;
    };
    while (!hurry && since() < kServeOn && !nothingLeft()) hurry = stopIn(kLook);
    front.stop();
    decisions
        .stopDispatching();  // calls out may finish; those that have not begun are left to the next start
    while (!hurry && since() < kFinish && (decisions.attemptsInFlight() > 0 || notices.pendingCount() > 0))
        hurry = stopIn(kLook);
    decisions.stop();
    notices.stop();
    registry.stop();
    roster.stop();
    delivery.stop();
    // What was heard to the very end belongs on record, though the disk fails just now.
    const auto allWritten = [&] {
        const bool messages = decisions.flushRecords();
        const bool endpoints = roster.flush();
        return messages && endpoints;
    };
    while (!allWritten() && since() < kRecord) std::this_thread::sleep_for(kLook);
    capture.stop();
    if (const auto c = capture.counts(); own.capture.enabled)
        (log::info() << "capture: stopped")
            .kv("written", c.written)
            .kv("dropped", c.dropped)
            .kv("bytes", c.bytes);
    (log::info() << "stopped, " << decisions.heldMessages() << " messages left to the store")
        .kv("rule_violations", decisions.violations().total());
    return 0;
}

int checkConfig(const config::Config& config, const settings::Settings& own) {
    std::cout << "name " << config.name << ", listen " << config.listen.text << ", discovery "
              << config.discovery.text << ", state " << config.state << '\n'
              << config.settings.slots << " slots, " << config.settings.maxHeld << " messages held at most, "
              << config.known.endpoints.size() << " endpoints known at index " << config.known.index << '\n'
              << "kept list " << (own.roster.saveList ? "on" : "off") << ", "
              << kept::listBudgetBytes(config.diskBytes, own.roster.diskShare) << " of " << config.diskBytes
              << " bytes of disk; probes "
              << (!config.mayProbe            ? "not permitted here"
                  : !own.roster.probesEnabled ? "off"
                                              : "on")
              << '\n';
    return 0;
}

std::string fromVariable(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

/// `trace ...`: its options, and what carries it out.
class TraceWords {
  public:
    explicit TraceWords(CLI::App& app) {
        auto* word = app.add_subcommand("trace", "look at captured load, and make traces out of traces");
        word->require_subcommand(1);
        word->fallthrough();
        const auto in = [&](CLI::App* sub) {
            sub->add_option("files", in_.files, "trace files: rotated ones, or those of several senders")
                ->required()
                ->check(CLI::ExistingFile);
            return sub;
        };
        const auto to = [&](CLI::App* sub) {
            sub->add_option("-o,--output", to_, "the trace to write")->required();
            return sub;
        };
        summarise_ = in(word->add_subcommand("summarise", "rates, clumps by destination, tails by partner"));
        summarise_->add_flag("--json", json_, "as JSON");
        summarise_->add_option("--plot", plots_, "draw rate, tails and clumps as SVG into this folder");
        cut_ = to(in(word->add_subcommand("cut", "a part of a trace")));
        cut_->add_option("--from", part_.from, "seconds since its beginning");
        cut_->add_option("--to", part_.to, "seconds since its beginning, left out itself");
        cut_->add_option("--destination", part_.destinations, "only messages for these");
        cut_->add_option("--tenant", part_.tenants, "only messages of these");
        cut_->add_option("--class", part_.grades, "only messages of these classes");
        scale_ = to(in(word->add_subcommand("scale", "more or less load of the same shape")));
        scale_->add_option("--load", by_.load, "arrivals for each that was captured")
            ->check(CLI::Range(0.001, 1000.0));
        scale_->add_option("--speed", by_.speed, "how much faster it goes by")
            ->check(CLI::Range(0.001, 1000.0));
        scale_->add_option("--spread", by_.spread, "seconds by which further copies lie off at most")
            ->check(CLI::Range(0.0, 60.0));
        scale_->add_option("--seed", by_.seed, "which messages go or come again");
        merge_ = to(in(word->add_subcommand("merge", "several traces as one, by time")));
        merge_->add_flag("--align", align_, "let all of them begin together");
        import_ = to(word->add_subcommand("import-csv", "a trace out of a table; see docs/TRACE.md"));
        import_->add_option("from", from_, "the CSV file")->required();
    }
    /// The exit status, where one of these words was given.
    std::optional<int> run() {
        in_.progress = true;
        if (summarise_->parsed()) return commands::traceSummarise(in_, json_, plots_, std::cout, std::cerr);
        if (cut_->parsed()) return commands::traceCut(in_, part_, to_, std::cout, std::cerr);
        if (scale_->parsed()) return commands::traceScale(in_, by_, to_, std::cout, std::cerr);
        if (merge_->parsed()) return commands::traceMerge(in_, align_, to_, std::cout, std::cerr);
        if (import_->parsed()) return commands::traceImportCsv(from_, to_, std::cout, std::cerr);
        return {};
    }

  private:
    commands::TraceIn in_;
    std::string to_, from_, plots_;
    bool json_ = false, align_ = false;
    trace::Cut part_;
    trace::Scale by_;
    CLI::App *summarise_, *cut_, *scale_, *merge_, *import_;
};

/// Planning plays days on a model, which the sender's own program has no use for: the laboratory, beside it,
/// does it in this one's place. Returns only where there is none.
int planning(const std::vector<std::string>& words) {
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "laurelhaven-lab";
    std::vector<std::string> all{program.string(), "plan"};
    all.insert(all.end(), words.begin(), words.end());
    std::vector<char*> argv;
    for (auto& word : all) argv.push_back(word.data());
    argv.push_back(nullptr);
    execv(program.c_str(), argv.data());
    std::cerr << "laurelhaven: " << program.string() << ": " << std::strerror(errno)
              << "; planning wants the laboratory: build with -DLAURELHAVEN_LAB=ON ('make demo' does)\n";
    return 2;
}

int run(int argc, char** argv) {
    // Behind this word all options are the other program's, whatever their names.
    if (argc > 1 && std::string(argv[1]) == "plan") return planning({argv + 2, argv + argc});
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
    // An option of the program may also stand behind the word.
    app.fallthrough();
    auto* serveWord = app.add_subcommand("serve", "run the sender; SIGHUP reads the configuration anew");
    auto* checkWord = app.add_subcommand("check-config", "read configuration and settings, start nothing");
    auto* versionWord = app.add_subcommand("version", "print the version");
    auto* helpWord = app.add_subcommand("help", "print what --help prints");
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
    auto* exportWord = list->add_subcommand("export", "print the list in discovery's form");
    auto* import = list->add_subcommand("import",
                                        "make or merge a list from one in discovery's form; the sender "
                                        "must not be running");
    import->add_option("from", from, "the JSON file")->required();
    import->add_option("--disk-mb", diskMb, "the platform's disk_mb, of which the list gets its share");
    TraceWords traces(app);
    // Its words, options and help are the laboratory's.
    auto* plan = app.add_subcommand("plan", "judge whether senders and partners will hold (laurelhaven-lab)");
    plan->allow_extras();
    plan->set_help_flag();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : 2;
    }
    if (helpWord->parsed()) return std::cout << app.help(), 0;
    if (version || versionWord->parsed()) return std::cout << kVersion << '\n', 0;
    if (plan->parsed()) return planning(plan->remaining());
    auto own = settings::fromFile(settingsPath);
    if (!level.empty()) own.level = *log::parseLevel(level);
    if (format == "json") own.format = log::Format::json;
    if (format == "text") own.format = log::Format::text;
    log::setLevel(own.level);
    log::setFormat(own.format);
    if (serveWord->parsed()) return serveUntilStopped(std::move(own));
    if (checkWord->parsed()) {
        const auto config = config::fromEnvironment();
        settings::fit(own, config);
        return checkConfig(config, own);
    }
    if (list->parsed()) {
        if (file.path.empty()) file.path = fromVariable("BALANCER_STATE") + "/endpoints.list";
        file.sender = name.empty() ? fromVariable("BALANCER_NAME") : name;
        file.now = clock::RecordClock(std::filesystem::path(file.path).parent_path().string()).now();
        // Where the platform's configuration is at hand, it says whether probes are permitted.
        if (!fromVariable("BALANCER_CONFIG").empty()) settings::fit(own, config::fromEnvironment());
        if (show->parsed()) return commands::listShow(file, own, json, std::cout, std::cerr);
        if (explain->parsed()) return commands::listExplain(file, own, endpoint, std::cout, std::cerr);
        if (check->parsed()) return commands::listCheck(file, json, std::cout, std::cerr);
        if (exportWord->parsed()) return commands::listExport(file, std::cout, std::cerr);
        if (import->parsed())
            return commands::listImport(
                file, from,
                kept::listBudgetBytes(static_cast<std::uint64_t>(diskMb * 1e6), own.roster.diskShare),
                std::cout, std::cerr);
    }
    if (const auto status = traces.run()) return *status;
    std::cerr << app.help();
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    // The other words end by a signal as any program does.
    if (std::any_of(argv, argv + argc, [](std::string_view word) { return word == "serve"; })) holdSignals();
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
