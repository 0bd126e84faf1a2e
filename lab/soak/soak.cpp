#include "soak/soak.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "net/socket.hpp"
#include "rig/cpu_limiter.hpp"
#include "soak/clients.hpp"
#include "soak/crowd.hpp"
#include "soak/machine.hpp"
#include "soak/message_class.hpp"
#include "soak/partner.hpp"
#include "soak/switches.hpp"

namespace laurelhaven::lab::soak {
namespace {

constexpr milliseconds kWatchdog{5};      // steps in which the soak looks whether it is held up itself
constexpr milliseconds kAftermath{2000};  // for which a trouble that is over still stands in the report
constexpr milliseconds kKillAfterStopRule{200};
constexpr std::size_t kPartners = 4;
constexpr milliseconds kWarmUp{2000};    // short, or outages of the first seconds slow all that comes after
constexpr double kAmpleCapacity = 4000;  // calls a second of a partner
constexpr double kSlowStartCapacityEach = 13;  // for each sender: little more than it has for a partner
constexpr milliseconds kSlowStartCall{100};    // at most, so that the slots suffice
constexpr int kHurriedPauseMs = 60;            // of a client, at most
constexpr milliseconds kSlowStartWarmUp{14000};
constexpr int kLeastMemoryMb = 32, kMostMemoryMb = 192;  // every other sender has the least
constexpr int kSockets = 512;
constexpr std::size_t kCrowdSize = 2 * kSockets;
constexpr std::size_t kHoarders = 300;
constexpr milliseconds kToldBeforeTakeover{400};

/// Loopback addresses of this soak's own: ports that it gives up for a while are taken by nobody else. It
/// holds a port of its block for as long as it lives, so that no other soak takes the same one.
class AddressBlock {
  public:
    AddressBlock() {
        for (int tries = 0; !reservation_ && tries < kBlocks; ++tries) reserve((getpid() + tries) % kBlocks);
        if (!reservation_) throw std::runtime_error("all address blocks are taken by other soaks");
    }
    std::string host(std::size_t part = 0) const {
        return "127." + std::to_string(kFirst + block_) + "." + std::to_string(part) + ".1";
    }

  private:
    static constexpr int kFirst = 64, kBlocks = 128;
    void reserve(int block) {
        block_ = block;
        try {
            reservation_ = net::listenOn(*net::parseAddress(host() + ":8442"), 1);
        } catch (const std::system_error&) {  // another soak has it
        }
    }
    int block_ = 0;
    net::Fd reservation_;
};

/// A crowd takes more descriptors than a shell grants at first.
void takeAllDescriptors() {
    rlimit files{};
    if (getrlimit(RLIMIT_NOFILE, &files) != 0) return;
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

class World {
  public:
    explicit World(const Options& options) : options_(options), oracle_({kKeyWindow, 8, options.tolerance}) {
        report_.troubles = draw({options.seed, options.span, options.senders, kPartners, options.only});
    }

    Report play() {
        setUp();
        begun_ = Steady::now();
        report_.begun = begun_;
        oracle_.setTroubleNames(
            [this](Moment at, const Oracle::Parties& parties) { return overlapping(at, parties); });
        std::thread watchdog([this] { watch(); });
        auto clients = startClients();
        schedule();
        handing_ = false;
        for (auto& client : clients) client.join();
        for (auto& machine : machines_) machine->finishTroubles();
        settle();
        finish();
        over_ = true;
        watchdog.join();
        oracle_.judge(Steady::now());
        report_.stall = std::max(report_.stall, cpuLimiter_.worstDelay());
        report_.injected = injected_;
        report_.counts = oracle_.counts();
        report_.violations = oracle_.violations();
        return report_;
    }

  private:
    // ---- set-up ----

    std::unique_ptr<Discovery> discoveryOf(std::size_t sender) {
        auto made = std::make_unique<Discovery>(addresses_.host() + ":0");
        for (const auto& e : endpoints_) made->tell(e);
        made->onTold = [this, sender](const listing::Endpoint& e) {
            if (e.status != listing::Status::serving) oracle_.toldEnd(sender, e.name, Steady::now());
        };
        made->onNotice = [this](const std::string& id, const std::string& state) {
            oracle_.noticed(id, state, Steady::now());
        };
        made->start();
        return made;
    }

    /// Where it is asked for by name: capacities are ample otherwise, as limits are not what is looked at.
    bool playsSlowStart() const { return isNamed(Kind::shuts); }
    bool isNamed(Kind kind) const {
        return std::find(options_.only.begin(), options_.only.end(), kind) != options_.only.end();
    }
    /// Where many messages have to wait for one partner.
    bool clientsHurry() const { return playsSlowStart() || isNamed(Kind::outages); }
    milliseconds warmUp() const { return playsSlowStart() ? kSlowStartWarmUp : kWarmUp; }

    SenderPlan planOf(std::size_t sender, const Discovery& discovery) {
        SenderPlan plan;
        plan.name = "n" + std::to_string(sender);
        plan.program = options_.program;
        plan.logLevel = options_.logLevel;
        plan.folder = options_.folder + "/" + plan.name;
        plan.listen = addresses_.host(sender + 1) + ":8443";
        plan.discovery = discovery.address();
        plan.known = discovery.whole();
        plan.cores = options_.cores;
        plan.cpuLimiter = &cpuLimiter_;
        plan.senders = static_cast<int>(options_.senders);
        plan.self = static_cast<int>(sender);
        plan.slots = 8;
        plan.held = 100;
        plan.sockets = kSockets;
        plan.memoryMb = sender % 2 == 0 ? kLeastMemoryMb : kMostMemoryMb;
        plan.warmUp = warmUp();
        plan.grades = gradesJson();
        plan.seed = options_.seed + sender;
        return plan;
    }

    void setUp() {
        takeAllDescriptors();
        std::filesystem::remove_all(options_.folder);
        std::filesystem::create_directories(options_.folder);
        SlowStartSettings slowStart;
        slowStart.capacity = playsSlowStart() ? kSlowStartCapacityEach * static_cast<double>(options_.senders)
                                              : kAmpleCapacity;
        slowStart.warmUp = warmUp();
        if (playsSlowStart()) slowStart.longestCall = kSlowStartCall;
        for (std::size_t i = 0; i < kPartners; ++i) {
            partners_.push_back(std::make_unique<Partner>(i, addresses_.host(), switches_, oracle_, slowStart,
                                                          options_.seed * 100 + i));
            for (std::size_t k = 0; k < kEndpointsEach; ++k) endpoints_.push_back(partners_[i]->open());
        }
        const auto killAfterTerm = std::max(kKillAfterTerm, options_.tolerance.stop + kKillAfterStopRule);
        for (std::size_t i = 0; i < options_.senders; ++i) {
            auto discovery = discoveryOf(i);
            auto plan = planOf(i, *discovery);
            std::filesystem::create_directories(plan.folder);
            machines_.push_back(std::make_unique<Machine>(
                i, std::move(plan), options_.shim, options_.seed * 1000 + i + 1, std::move(discovery),
                discoveryOf(i), oracle_, switches_, killAfterTerm, options_.residentMemoryCounts));
            machines_.back()->setTakeover([this](std::int64_t parameter) { takeOver(parameter); });
            machines_.back()->start();
        }
    }

    std::vector<std::thread> startClients() {
        std::vector<std::thread> clients;
        for (const auto& machine : machines_)
            for (std::size_t k = 0; k < static_cast<std::size_t>(options_.clients); ++k)
                clients.emplace_back([this, &machine, k] {
                    ClientPlan plan{options_.seed, k, kPartners};
                    if (clientsHurry()) plan.longestPauseMs = kHurriedPauseMs;
                    Client(plan, *machine, oracle_, switches_).run(handing_);
                });
        return clients;
    }

    // ---- troubles ----

    static bool concerns(const Trouble& t, const Oracle::Parties& parties) {
        if (ofPartner(t.kind)) return !parties.destination || *parties.destination == t.target + 1;
        return !parties.sender || *parties.sender == t.target;
    }

    std::string overlapping(Moment at, const Oracle::Parties& parties) const {
        std::string all;
        const auto since = std::chrono::duration_cast<milliseconds>(at - begun_);
        for (const auto& t : report_.troubles)
            // What has just ended may show only now.
            if (t.at <= since && since <= t.at + t.span + kAftermath && concerns(t, parties))
                all += "\n      " + text(t);
        return all;
    }

    void schedule() {
        struct Step {
            milliseconds at;
            const Trouble* trouble;
            bool begins;
        };
        std::vector<Step> steps;
        for (const auto& t : report_.troubles) {
            steps.push_back({t.at, &t, true});
            if (!ofProcess(t.kind)) steps.push_back({t.at + t.span, &t, false});
        }
        std::sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
        std::size_t on = 0;
        for (const auto& step : steps) {
            std::this_thread::sleep_until(begun_ + step.at);
            if (step.begins && options_.progress) options_.progress(text(*step.trouble));
            if (ofProcess(step.trouble->kind)) {
                machines_[step.trouble->target]->enqueue(*step.trouble);
                continue;
            }
            on = step.begins ? on + 1 : on - 1;
            report_.most = std::max(report_.most, on);
            apply(*step.trouble, step.begins);
        }
    }

    void apply(const Trouble& t, bool begins) {
        switches_.set(t.kind, t.target, t.parameter, begins ? 1 : -1);
        const bool on = switches_.on(t.kind, t.target).has_value();
        if (ofPartner(t.kind)) return applyToPartner(t, begins);
        auto& machine = *machines_[t.target];
        auto& control = machine.control();
        const auto fault = [&](CallFault& call, int permille) {
            call.error = static_cast<std::int32_t>(t.parameter);
            call.permille = on ? permille : 0;
        };
        switch (t.kind) {
            case Kind::wallStep:
                if (begins) control.wallOffsetMs += t.parameter;
                break;
            case Kind::disk:
                control.halfWrites = 300;
                fault(control.diskWrite, 700);
                break;
            case Kind::accept: fault(control.accept, 500); break;
            case Kind::localSocket:
                fault(control.connect, 400);
                fault(control.socket, t.parameter == ENFILE || t.parameter == ENOBUFS ? 200 : 0);
                break;
            case Kind::interrupts:
                control.interrupted.error = EINTR;
                control.interrupted.permille = on ? 200 : 0;
                control.shortTransfer.permille = on ? 200 : 0;
                break;
            case Kind::broken: fault(control.brokenConnection, 60); break;
            case Kind::discoverySilent:
                mode(machine, on ? Discovery::Mode::silent : Discovery::Mode::up);
                break;
            case Kind::discoveryCut: mode(machine, on ? Discovery::Mode::cut : Discovery::Mode::up); break;
            case Kind::discoverySlow: mode(machine, on ? Discovery::Mode::slow : Discovery::Mode::up); break;
            case Kind::noticeCopies:
                for (auto* discovery : machine.discoveries()) discovery->setNoticeCopies(on);
                break;
            case Kind::crowd:
                if (on)
                    crowds_.try_emplace(t.target,
                                        std::make_unique<Crowd>(machine.listen(), kCrowdSize, [&machine] {
                                            return machine.takesNewConnections();
                                        }));
                else crowds_.erase(t.target);
                break;
            case Kind::hoarders:
                if (on)
                    hoarders_.try_emplace(
                        t.target, std::make_unique<Crowd>(
                                      machine.listen(), kHoarders,
                                      [&machine] { return machine.takesNewConnections(); }, hoardingTexts()));
                else hoarders_.erase(t.target);
                break;
            default: break;
        }
    }

    static void mode(Machine& machine, Discovery::Mode mode) {
        for (auto* discovery : machine.discoveries()) discovery->setMode(mode);
    }

    void applyToPartner(const Trouble& t, bool begins) {
        auto& partner = *partners_[t.target];
        if (t.kind == Kind::refuses || t.kind == Kind::outages)
            partner.refuse(switches_.on(Kind::refuses, t.target) || switches_.on(Kind::outages, t.target));
        if (t.kind == Kind::resets && begins) partner.cut();
        if (t.kind == Kind::shuts && begins) partner.shut(t.span);
        if (t.kind != Kind::drains || !begins) return;
        const auto drained = partner.drainOldest();
        if (!drained) return;
        const auto fresh = partner.open();
        for (auto& machine : machines_)
            for (auto* discovery : machine->discoveries()) {
                discovery->tell(*drained);
                discovery->tell(fresh);
            }
    }

    /// One partner's oldest endpoint goes; once everybody has been told, another partner's next one is at its
    /// address.
    void takeOver(std::int64_t parameter) {
        const std::lock_guard lock(takeoverMutex_);
        const auto from = static_cast<std::size_t>(parameter) % partners_.size();
        auto& before = *partners_[from];
        auto& after = *partners_[(from + 1) % partners_.size()];
        const auto gone = before.drainOldest();
        if (!gone) return;
        const auto fresh = before.open();
        tellAll([&](Discovery& discovery) {
            discovery.remove(gone->name);
            discovery.tell(fresh);
        });
        oracle_.agentsKnowEnd(gone->name, Steady::now());
        std::this_thread::sleep_for(kToldBeforeTakeover);
        before.close(gone->name);
        const auto successor = after.open(gone->address);
        oracle_.addressTakenOver(successor.name, gone->name);
        tellAll([&](Discovery& discovery) { discovery.tell(successor); });
    }
    void tellAll(const std::function<void(Discovery&)>& tell) {
        for (auto& machine : machines_)
            for (auto* discovery : machine->discoveries()) tell(*discovery);
    }

    // ---- the end ----

    /// All troubles are over: whatever is owed gets its time.
    void settle() {
        const auto until = Steady::now() + std::chrono::seconds(12);
        while (oracle_.owed(Steady::now()) > 0 && Steady::now() < until)
            std::this_thread::sleep_for(milliseconds(20));
    }

    void finish() {
        std::vector<std::thread> stops;
        for (auto& machine : machines_) stops.emplace_back([this, &machine] { finish(*machine); });
        for (auto& stop : stops) stop.join();
    }

    void finish(Machine& machine) {
        const auto name = "sender " + std::to_string(machine.number());
        machine.stop();
        readLog(machine.process().log(), name);
        const auto& control = machine.control();
        for (const auto* fault : {&control.diskWrite, &control.accept, &control.socket, &control.connect,
                                  &control.brokenConnection, &control.interrupted, &control.shortTransfer})
            injected_ += fault->injected;
    }

    /// What a sender has seen itself break.
    void readLog(const std::string& path, const std::string& name) {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
            if (line.find("rule violated") != std::string::npos || line.find(" died: ") != std::string::npos)
                oracle_.violated("its own check", name + ": " + line);
    }

    void watch() {
        while (!over_) {
            const auto before = Steady::now();
            std::this_thread::sleep_for(kWatchdog);
            const auto late = std::chrono::duration_cast<milliseconds>(Steady::now() - before) - kWatchdog;
            report_.stall = std::max(report_.stall, late);
        }
    }

    Options options_;
    AddressBlock addresses_;
    Oracle oracle_;
    Report report_;
    Switches switches_;
    CpuLimiter cpuLimiter_;
    std::vector<std::unique_ptr<Partner>> partners_;
    std::vector<listing::Endpoint> endpoints_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::mutex takeoverMutex_;
    std::map<std::size_t, std::unique_ptr<Crowd>> crowds_, hoarders_;  // by sender
    std::atomic<bool> handing_{true}, over_{false};
    std::atomic<std::uint64_t> injected_{0};
    Moment begun_;
};

}  // namespace

Report play(const Options& options) { return World(options).play(); }

std::string text(const Options& options, const Report& report) {
    std::ostringstream out;
    const auto& c = report.counts;
    out << "soak seed " << options.seed << ", " << options.senders << " senders of " << options.cores
        << " cores, " << options.span.count() / 1000.0 << " s, " << report.troubles.size() << " troubles, "
        << report.most << " at once at most, " << report.injected
        << " system calls failed, held up itself for " << report.stall.count() << " ms\n  " << c.handed
        << " handed in: " << c.taken << " taken on, " << c.refused << " refused, " << c.failed << " failed, "
        << c.abandoned << " given up by clients, " << c.crossed << " without an answer; " << c.calls
        << " calls, " << c.delivered << " delivered, " << c.notices << " notices\n";
    for (const auto& v : report.violations) {
        const auto at = std::chrono::duration_cast<milliseconds>(v.at - report.begun).count();
        out << "  VIOLATION at " << static_cast<double>(at) / 1000 << " s: " << v.rule << ": " << v.detail;
        if (!v.during.empty()) out << "\n    overlapping:" << v.during;
        out << "\n";
    }
    if (report.clean()) {
        out << "  no rule broken\n";
        return out.str();
    }
    out << "  replay: laurelhaven-lab soak --seed " << options.seed << " --seconds "
        << options.span.count() / 1000 << " --senders " << options.senders;
    out << " --cores " << options.cores;
    for (const auto kind : options.only) out << " --only " << name(kind);
    out << "\n";
    return out.str();
}

}  // namespace laurelhaven::lab::soak
