// laurelhaven: sub-commands, wiring and signals.
#include <getopt.h>
#include <malloc.h>
#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <functional>
#include <iostream>
#include <string>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "delivery/delivery.hpp"
#include "discovery/discovery.hpp"
#include "front/front.hpp"
#include "log/log.hpp"
#include "notices/notices.hpp"
#include "registry/registry.hpp"
#include "store/journal.hpp"
#include "threads/thread.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

constexpr const char* kVersion = "laurelhaven 0.1.0";
constexpr const char* kUsage =
    "usage: laurelhaven [--log-level LEVEL] COMMAND\n"
    "  serve         run the sender, as the BALANCER_ variables say; SIGHUP reads the configuration anew\n"
    "  check-config  read the configuration, say what it holds, and start nothing\n"
    "  version       print the version\n"
    "  help          print this\n"
    "options:\n"
    "  -l, --log-level LEVEL  debug, info, warning, error or off (default: info)\n"
    "  -h, --help             as help\n"
    "  -V, --version          as version\n";

// A planned restart kills 3.7 s after SIGTERM. Clients use the connections they have for as long as those
// stay open, so they stay open nearly to the end, and calls get the rest of the time to finish.
constexpr milliseconds kServeOn{2600};
constexpr milliseconds kLeastServeOn{600};
constexpr milliseconds kFinish{3000};
constexpr milliseconds kLook{20};

sigset_t ourSignals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

/// Reads the configuration anew. One that is bad changes nothing.
void reload(const config::Config& running, discovery::Discovery& discovery) {
    try {
        const auto fresh = config::fromEnvironment();
        const bool moved = discovery.moveTo(fresh.discovery);
        log::info() << "configuration read anew, discovery " << (moved ? "now" : "still") << " at "
                    << fresh.discovery.text;
        for (const auto& part : config::needRestart(running, fresh))
            log::warning() << "configuration: the new " << part << " holds from the next start on";
    } catch (const std::exception& e) {
        log::error() << "the new configuration is not taken over: " << e.what();
    }
}

/// True when a signal to stop comes within that time; one to reload is carried out meanwhile.
bool stopWithin(milliseconds span, const std::function<void()>& reloadNow) {
    const auto set = ourSignals();
    const auto until = std::chrono::steady_clock::now() + span;
    for (auto left = span; left.count() >= 0;
         left = std::chrono::ceil<milliseconds>(until - std::chrono::steady_clock::now())) {
        const timespec time{left.count() / 1000, (left.count() % 1000) * 1000000};
        const int signal = sigtimedwait(&set, nullptr, &time);
        if (signal == SIGHUP) reloadNow();
        else if (signal > 0) return true;
        else if (errno == EAGAIN) return false;
    }
    return false;
}

int serve() {
    // Before the configuration is read and any thread begins: none of these signals ends the program, and all
    // threads leave them to this one.
    const auto set = ourSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    signal(SIGPIPE, SIG_IGN);
    // Danger: with an arena for each of many threads, memory that one has freed is of no use to the next, and
    // the process grows for as long as threads come and go.
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, 256 * 1024);
    mallopt(M_MMAP_THRESHOLD, 256 * 1024);
    const auto config = config::fromEnvironment();
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) == 0) {
        files.rlim_cur = std::min<rlim_t>(files.rlim_max, config.sockets);
        setrlimit(RLIMIT_NOFILE, &files);
    }

    store::Journal store(config.state, config.diskBytes);
    const auto recovered = store.recover();
    decisions::Decisions* facade = nullptr;
    delivery::Delivery* calls = nullptr;
    discovery::Discovery discovery(config.discovery);
    notices::Notices notices(discovery, [&](const auto& ids) { facade->report(ids); });
    decisions::Decisions decisions(config, store,
                                   {[&](const store::Owed& notice) { notices.add(notice); },
                                    [&](const std::string& endpoint) { calls->closeIdle(endpoint); }});
    delivery::Delivery delivery(config, decisions);
    facade = &decisions;
    calls = &delivery;
    registry::Registry registry(discovery, config.known.index, decisions);
    front::Front front(config, decisions);

    decisions.report(config.known, true);
    for (const auto& notice : recovered.notices) notices.add(notice);
    decisions.restore(recovered.messages);
    notices.start();
    registry.start();
    delivery.start();
    threads::Thread ticker("tick", [&] {
        while (decisions.tick()) {
        }
    });
    front.start();
    log::info() << config.name << " serves on " << config.listen.text << " port " << front.port() << ", "
                << recovered.messages.size() << " messages and " << recovered.notices.size()
                << " notices from before";

    const auto stopIn = [&](milliseconds span) {
        return stopWithin(span, [&] { reload(config, discovery); });
    };
    while (!stopIn(std::chrono::hours(1))) {
    }
    log::info() << "stopping, " << decisions.held() << " messages held";
    const auto begun = std::chrono::steady_clock::now();
    const auto since = [&] { return std::chrono::steady_clock::now() - begun; };
    front.drain();
    bool hurry = false;  // a second signal
    const auto nothingLeft = [&] {
        return since() > kLeastServeOn && front.connections() == 0 && decisions.held() == 0 &&
               notices.owed() == 0;
    };
    while (!hurry && since() < kServeOn && !nothingLeft()) hurry = stopIn(kLook);
    front.stop();
    decisions.stopPicking();  // calls out may finish; those that have not begun are left to the next start
    while (!hurry && since() < kFinish && (decisions.out() > 0 || notices.owed() > 0)) hurry = stopIn(kLook);
    decisions.stop();
    notices.stop();
    registry.stop();
    delivery.stop();
    log::info() << "stopped, " << decisions.held() << " messages left to the store";
    return 0;
}

int checkConfig(const config::Config& config) {
    std::cout << "name " << config.name << ", listen " << config.listen.text << ", discovery "
              << config.discovery.text << ", state " << config.state << '\n'
              << config.settings.slots << " slots, " << config.settings.maxHeld << " messages held at most, "
              << config.known.endpoints.size() << " endpoints known at index " << config.known.index << '\n';
    return 0;
}

int run(int argc, char** argv) {
    const option options[] = {{"log-level", required_argument, nullptr, 'l'},
                              {"help", no_argument, nullptr, 'h'},
                              {"version", no_argument, nullptr, 'V'},
                              {nullptr, 0, nullptr, 0}};
    for (int c; (c = getopt_long(argc, argv, "l:hV", options, nullptr)) != -1;) {
        if (c == 'h') return std::cout << kUsage, 0;
        if (c == 'V') return std::cout << kVersion << '\n', 0;
        if (c == 'l' && log::setLevel(std::string_view(optarg))) continue;
        if (c == 'l') std::cerr << "laurelhaven: no such log level: " << optarg << '\n';
        return 2;
    }
    const std::string command = optind < argc ? argv[optind] : "";
    if (optind + 1 < argc) return std::cerr << "laurelhaven: too many arguments\n", 2;
    if (command == "help") return std::cout << kUsage, 0;
    if (command == "version") return std::cout << kVersion << '\n', 0;
    if (command == "check-config") return checkConfig(config::fromEnvironment());
    if (command == "serve") return serve();
    std::cerr << kUsage;
    return 2;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const config::Bad& e) {
        std::cerr << "laurelhaven: " << e.what() << '\n';
        return 2;
    } catch (const std::exception& e) {
        std::cerr << "laurelhaven: " << e.what() << '\n';
        return 1;
    }
}
