#include "soak/machine.hpp"

#include <signal.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

namespace laurelhaven::lab::soak {
namespace {

constexpr milliseconds kReadyWithin{10000};
constexpr int kStartTries = 3;
constexpr milliseconds kNewConnections{300};  // after a SIGTERM, for which clients still connect
constexpr milliseconds kHalfFile{100};        // for which a configuration stands half written
constexpr milliseconds kBetweenReloads{15};
constexpr milliseconds kSecondTerm{120};
constexpr int kReloadsOnEnd = 3;
constexpr std::size_t kBytesPerMb = 1'000'000;

SenderPlan withFaults(SenderPlan plan, const FaultHost& faults) {
    plan.environment = faults.environment();
    return plan;
}

}  // namespace

Machine::Machine(std::size_t number, SenderPlan plan, const std::string& shim, std::uint64_t seed,
                 std::unique_ptr<Discovery> discovery, std::unique_ptr<Discovery> elsewhere, Oracle& oracle,
                 const Switches& switches, milliseconds killAfterTerm, bool residentMemoryCounts)
    : number_(number),
      faults_(plan.folder + "/faults", shim),
      process_(withFaults(std::move(plan), faults_)),
      discovery_(std::move(discovery)),
      elsewhere_(std::move(elsewhere)),
      oracle_(oracle),
      switches_(switches),
      killAfterTerm_(killAfterTerm),
      residentMemoryCounts_(residentMemoryCounts) {
    faults_.control().seed = seed;
}

Machine::~Machine() { finishTroubles(); }

void Machine::start() {
    if (!process_.start(kReadyWithin)) throw std::runtime_error(name() + " did not get ready");
    driver_ = std::thread([this] { drive(); });
}

void Machine::enqueue(const Trouble& trouble) {
    {
        const std::lock_guard lock(queueMutex_);
        queue_.push_back(trouble);
    }
    due_.notify_all();
}

void Machine::finishTroubles() {
    {
        const std::lock_guard lock(queueMutex_);
        over_ = true;
    }
    due_.notify_all();
    if (driver_.joinable()) driver_.join();
}

void Machine::stop() {
    if (process_.died()) oracle_.violated("crash", name(), number_);
    terminate();
    awaitEnd(signalledAt_);
}

bool Machine::takesNewConnections() const {
    return !stopping_ || Steady::now() < signalledAt_.load() + kNewConnections;
}

void Machine::drive() {
    for (;;) {
        Trouble trouble;
        {
            std::unique_lock lock(queueMutex_);
            due_.wait(lock, [&] { return over_ || !queue_.empty(); });
            if (queue_.empty()) return;
            trouble = queue_.front();
            queue_.pop_front();
        }
        play(trouble);
    }
}

void Machine::play(const Trouble& trouble) {
    if (process_.died()) oracle_.violated("crash", name(), number_);
    switch (trouble.kind) {
        case Kind::reload: return reload(trouble);
        case Kind::holdUp: return holdUp(trouble.span);
        case Kind::takeovers: return startBehindTakeover(trouble);
        case Kind::kill: return restartByKill(trouble.span);
        case Kind::stop: return restartByTerm(trouble.span, false);
        default: return playSeries(trouble);
    }
}

void Machine::playSeries(const Trouble& trouble) {
    switch (static_cast<Series>(trouble.parameter)) {
        case Series::killTwice:
            restartByKill(trouble.span);
            std::this_thread::sleep_for(trouble.span * 2);
            return restartByKill(trouble.span);
        case Series::killWhileStarting:
            kill();
            process_.start(trouble.span / 4);
            return restartByKill(trouble.span);
        case Series::termThenKill:
            terminate();
            std::this_thread::sleep_for(trouble.span * 3);
            return restartByKill(trouble.span);
        case Series::termTwice: return restartByTerm(trouble.span, true);
        case Series::reloadsThenKill: reloads(kReloadsOnEnd); return restartByKill(trouble.span);
        case Series::reloadsThenTerm: reloads(kReloadsOnEnd); return restartByTerm(trouble.span, false);
    }
}

void Machine::restartByKill(milliseconds down) {
    kill();
    std::this_thread::sleep_for(down);
    begin();
}

void Machine::restartByTerm(milliseconds down, bool twice) {
    terminate();
    if (twice) {
        std::this_thread::sleep_for(kSecondTerm);
        process_.signal(SIGTERM);
    }
    awaitEnd(signalledAt_);
    std::this_thread::sleep_for(down);
    begin();
}

void Machine::checkMemory() {
    if (!residentMemoryCounts_) return;
    std::size_t bytes = process_.residentMost();
    std::error_code gone;  // a file may be replaced meanwhile
    for (const auto& file : std::filesystem::directory_iterator(process_.state(), gone))
        if (const auto size = file.file_size(gone); !gone) bytes += size;
    const auto limit = static_cast<std::size_t>(process_.plan().memoryMb) * kBytesPerMb;
    if (bytes > limit)
        oracle_.violated("memory",
                         name() + " had " + std::to_string(bytes / kBytesPerMb) + " MB of " +
                             std::to_string(limit / kBytesPerMb),
                         number_);
}

void Machine::kill() {
    checkMemory();
    oracle_.down(number_, Steady::now(), true, unwritable());
    process_.kill();
    stopping_ = false;
}

void Machine::terminate() {
    checkMemory();
    oracle_.down(number_, Steady::now(), false, unwritable());
    signalledAt_ = Steady::now();
    stopping_ = true;
    process_.signal(SIGTERM);
}

void Machine::awaitEnd(Moment signalled) {
    const int status = process_.awaitEnd(signalled + killAfterTerm_);
    oracle_.stopped(number_, std::chrono::duration_cast<milliseconds>(Steady::now() - signalled), status);
    stopping_ = false;
}

/// The address passes while the process is away, and its discovery falls silent before it is back.
void Machine::startBehindTakeover(const Trouble& trouble) {
    kill();
    takeOver_(trouble.parameter);
    for (auto* discovery : discoveries()) discovery->setMode(Discovery::Mode::silent);
    begin();
    std::this_thread::sleep_for(trouble.span);
    for (auto* discovery : discoveries()) discovery->setMode(Discovery::Mode::up);
}

void Machine::begin() {
    oracle_.starting(number_, Steady::now());
    for (int tries = 0; tries < kStartTries && !process_.start(kReadyWithin); ++tries) {
        oracle_.violated("start", name() + " did not get ready", number_);
        process_.kill();
    }
    oracle_.ready(number_, Steady::now());
}

/// The file is half written when the signal comes; the whole file stands there a little later.
void Machine::reload(const Trouble& trouble) {
    moved_ = !moved_;
    const auto path = process_.configPath();
    if (trouble.parameter % 2 == 0) {
        std::ostringstream whole;
        whole << std::ifstream(path).rdbuf();
        std::ofstream(path) << whole.str().substr(0, whole.str().size() / 2);
        process_.signal(SIGHUP);
        std::this_thread::sleep_for(kHalfFile);
    }
    const auto& now = moved_ ? elsewhere_ : discovery_;
    process_.moveDiscovery(now->address());
}

void Machine::reloads(int times) {
    for (int i = 0; i < times; ++i) {
        moved_ = !moved_;
        process_.moveDiscovery((moved_ ? elsewhere_ : discovery_)->address());
        std::this_thread::sleep_for(kBetweenReloads);
    }
}

void Machine::holdUp(milliseconds span) {
    const auto from = Steady::now();
    process_.hold(true);
    std::this_thread::sleep_for(span);
    process_.hold(false);
    oracle_.heldUp(number_, from, Steady::now());
}

}  // namespace laurelhaven::lab::soak
