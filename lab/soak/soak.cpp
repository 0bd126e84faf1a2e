#include "soak/soak.hpp"

#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>

#include "http/message.hpp"
#include "net/socket.hpp"
#include "rig/sender.hpp"
#include "shim/fault_host.hpp"
#include "standin/discovery.hpp"
#include "standin/server.hpp"

namespace laurelhaven::lab::soak {
namespace {

using Chance = boost::random::mt19937_64;

constexpr milliseconds kPatience{400};  // of a client for its answer
constexpr milliseconds kWatchdog{5};    // steps in which the soak looks whether it is held up itself
constexpr milliseconds kReadyWithin{10000};
constexpr int kStartTries = 3;
constexpr milliseconds kAftermath{2000};  // for which a trouble that is over still stands in the report
constexpr milliseconds kSurelyHeard{
    20};  // behind an answer, after which its sender did not give up just then
constexpr std::size_t kEndpointsEach = 2;
constexpr double kWeight = 400;  // calls a second that a partner takes: its limit is not what is looked at
constexpr int kMemoryMb = 192;

// Deadlines, windows and worths of the three classes; the oracle has the same window.
constexpr const char* kGrades =
    R"([{"name":"ping","effect":"pure","give-up-ns":3000000000,"slo-ns":1000000000,"key-scope":"all",)"
    R"("key-ttl-ns":0,"credit":1.0,"late-share":0.5},)"
    R"({"name":"notice","effect":"token","give-up-ns":4000000000,"slo-ns":1500000000,"key-scope":"all",)"
    R"("key-ttl-ns":1500000000,"credit":1.0,"late-share":0.5},)"
    R"({"name":"order","effect":"side_effect","give-up-ns":4000000000,"slo-ns":1500000000,)"
    R"("key-scope":"all","key-ttl-ns":0,"credit":1.0,"late-share":0.5}])";
struct Class {
    const char* name;
    Effect effect;
    int mostMs;
};
constexpr std::array<Class, 3> kClasses{
    {{"ping", Effect::pure, 3000}, {"notice", Effect::keyed, 4000}, {"order", Effect::unsafe, 4000}}};

int between(Chance& chance, int least, int most) {
    return boost::random::uniform_int_distribution<int>(least, most)(chance);
}

/// Addresses of this soak's own: ports that it gives up for a while are taken by nobody else.
std::string host(std::size_t part = 0) {
    return "127." + std::to_string(64 + getpid() % 128) + "." + std::to_string(part) + ".1";
}

/// Whether a trouble is on just now, for whoever behaves by it.
class Switches {
  public:
    void set(Kind kind, std::size_t target, std::int64_t parameter, int change) {
        const std::lock_guard lock(mutex_);
        auto& one = on_[{kind, target}];
        one.count += change;
        one.parameter = parameter;
    }
    std::optional<std::int64_t> on(Kind kind, std::size_t target) const {
        const std::lock_guard lock(mutex_);
        const auto it = on_.find({kind, target});
        if (it == on_.end() || it->second.count <= 0) return {};
        return it->second.parameter;
    }

  private:
    struct One {
        int count = 0;
        std::int64_t parameter = 0;
    };
    mutable std::mutex mutex_;
    std::map<std::pair<Kind, std::size_t>, One> on_;
};

/// The fault proxy in front of nothing: endpoints whose answers are as bad as their partner's troubles say.
class Partner {
  public:
    Partner(std::size_t number, const Switches& switches, Oracle& oracle, std::uint64_t seed)
        : number_(number), switches_(switches), oracle_(oracle), chance_(seed) {}

    std::uint64_t destination() const { return number_ + 1; }

    listing::Endpoint open() {
        const std::lock_guard lock(mutex_);
        const auto name = "e" + std::to_string(number_) + "-" + std::to_string(++opened_);
        auto& server = servers_[name];
        server = std::make_unique<Server>(host() + ":0", [this, name](const http::Message& m, Connection& c) {
            return answer(name, m, c);
        });
        server->start();
        current_.push_back(name);
        return {name, server->address(), "z", "partner", destination(), listing::Status::serving, kWeight, 0};
    }
    /// The endpoint that has stood longest, which drains from now on; it still answers what comes.
    std::optional<listing::Endpoint> drainOldest() {
        const std::lock_guard lock(mutex_);
        if (current_.size() < kEndpointsEach) return {};
        const auto name = current_.front();
        current_.pop_front();
        return listing::Endpoint{name,          servers_[name]->address(), "z", "partner",
                                 destination(), listing::Status::draining, 40,  0};
    }
    void refuse(bool refuses) {
        const std::lock_guard lock(mutex_);
        for (auto& [name, server] : servers_) {
            if (refuses) server->stop();
            else server->start();
        }
    }
    void cut() {
        const std::lock_guard lock(mutex_);
        for (auto& [name, server] : servers_) server->cut();
    }

  private:
    int draw(int least, int most) {
        const std::lock_guard lock(chanceMutex_);
        return between(chance_, least, most);
    }
    bool happens(Kind kind) {
        const auto permille = switches_.on(kind, number_);
        return permille && draw(0, 999) < std::max<std::int64_t>(*permille, 300);
    }
    static bool spoilt(Connection& c, int how) {
        switch (how) {
            case 0: c.send("\x01\x02 noise that is no answer\r\n\r\n"); return false;
            case 1: c.send("HTTP/1.1 20"); return false;
            case 2: c.send("HTTP/1.1 500 Broken\r\nContent-Length: 100\r\n\r\nshort"); return false;
            default: c.send("HTTP/1.1 500 Broken\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"); return false;
        }
    }
    bool answer(const std::string& name, const http::Message& m, Connection& c) {
        if (m.target != "/hook") return c.send(http::response(404, {}, "", true));
        const auto header = [&](const char* field) {
            const auto* value = m.headers.find(field);
            return value ? *value : std::string();
        };
        const auto call = oracle_.callBegan(header("Req-Id"), header("Idempotency-Key"), m.body, name,
                                            destination(), [&c] { return c.open(); });
        // The connection is gone with this handler: nobody may ask for it behind that.
        const auto end = [&](CallEnd how) { oracle_.callEnded(call, how); };
        if (switches_.on(Kind::turnsAway, number_)) {
            const milliseconds wait(*switches_.on(Kind::turnsAway, number_));
            char seconds[16];
            std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(wait.count()) / 1000);
            end(CallEnd::neverRan);
            const bool written = c.send(http::response(429, {{"Retry-After", seconds}}, "", true));
            oracle_.toldWait(call, wait);
            return written;
        }
        if (!c.pause(milliseconds(draw(5, 120)))) return end(CallEnd::mayHaveRun), false;
        if (happens(Kind::hangs)) {
            while (c.pause(milliseconds(50)) && switches_.on(Kind::hangs, number_)) {
            }
            return end(CallEnd::mayHaveRun), false;
        }
        if (happens(Kind::resets)) return end(CallEnd::mayHaveRun), false;
        if (happens(Kind::garbles)) return end(CallEnd::mayHaveRun), spoilt(c, draw(0, 3));
        if (happens(Kind::errors)) return end(CallEnd::mayHaveRun), c.send(http::response(500, {}, "", true));
        const bool heard = c.open() && c.send(http::response(200, {}, "", true));
        end(heard ? CallEnd::delivered : CallEnd::mayHaveRun);
        if (heard && c.pause(kSurelyHeard)) oracle_.surelyHeard(call);
        return heard;
    }

    std::size_t number_;
    const Switches& switches_;
    Oracle& oracle_;
    std::mutex mutex_, chanceMutex_;
    Chance chance_;
    std::map<std::string, std::unique_ptr<Server>> servers_;
    std::deque<std::string> current_;
    int opened_ = 0;
};

/// One sender, the machine's faults that it meets, and the discovery that it knows.
struct Machine {
    std::unique_ptr<FaultHost> faults;
    std::unique_ptr<Discovery> discovery, elsewhere;
    std::unique_ptr<SenderProcess> process;
    bool moved = false;  // to `elsewhere`; its driver's
    std::mutex queueMutex;
    std::condition_variable due;
    std::deque<Trouble> queue;  // of its process, one after another
    bool over = false;
    std::thread driver;
};

class World {
  public:
    explicit World(const Options& options)
        : options_(options), oracle_({milliseconds(1500), 8, options.tolerance}) {
        report_.troubles = draw({options.seed, options.span, options.senders, kPartners, options.only});
    }

    Report play() {
        setUp();
        begun_ = Steady::now();
        report_.begun = begun_;
        oracle_.setTroubleNames(
            [this](Moment at, const Oracle::Parties& parties) { return overlapping(at, parties); });
        std::thread watchdog([this] { watch(); });
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < options_.senders; ++i)
            for (int k = 0; k < options_.clients; ++k) clients.emplace_back([this, i, k] { client(i, k); });
        for (auto& machine : machines_)
            machine->driver = std::thread([this, &machine] { drive(*machine, number(*machine)); });
        schedule();
        handing_ = false;
        for (auto& client : clients) client.join();
        for (auto& machine : machines_) {
            {
                const std::lock_guard lock(machine->queueMutex);
                machine->over = true;
            }
            machine->due.notify_all();
            machine->driver.join();
        }
        settle();
        finish();
        over_ = true;
        watchdog.join();
        oracle_.judge(Steady::now());
        report_.counts = oracle_.counts();
        report_.violations = oracle_.violations();
        return report_;
    }

  private:
    static constexpr std::size_t kPartners = 4;

    std::size_t number(const Machine& machine) const {
        return static_cast<std::size_t>(std::find_if(machines_.begin(), machines_.end(),
                                                     [&](const auto& m) { return m.get() == &machine; }) -
                                        machines_.begin());
    }

    // ---- set-up ----

    std::unique_ptr<Discovery> discoveryOf(std::size_t sender) {
        auto made = std::make_unique<Discovery>(host() + ":0");
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

    void setUp() {
        std::filesystem::remove_all(options_.folder);
        std::filesystem::create_directories(options_.folder);
        for (std::size_t i = 0; i < kPartners; ++i) {
            partners_.push_back(std::make_unique<Partner>(i, switches_, oracle_, options_.seed * 100 + i));
            for (std::size_t k = 0; k < kEndpointsEach; ++k) endpoints_.push_back(partners_[i]->open());
        }
        for (std::size_t i = 0; i < options_.senders; ++i) {
            auto machine = std::make_unique<Machine>();
            machine->discovery = discoveryOf(i);
            machine->elsewhere = discoveryOf(i);
            SenderPlan plan;
            plan.name = "n" + std::to_string(i);
            plan.program = options_.program;
            plan.logLevel = options_.logLevel;
            plan.folder = options_.folder + "/" + plan.name;
            plan.listen = host(i + 1) + ":8443";
            plan.discovery = machine->discovery->address();
            plan.known = machine->discovery->whole();
            plan.senders = static_cast<int>(options_.senders);
            plan.self = static_cast<int>(i);
            plan.slots = 8;
            plan.held = 100;
            plan.sockets = 256;
            plan.memoryMb = kMemoryMb;
            plan.grades = kGrades;
            plan.seed = options_.seed + i;
            std::filesystem::create_directories(plan.folder);
            machine->faults = std::make_unique<FaultHost>(plan.folder + "/faults", options_.shim);
            machine->faults->control().seed = options_.seed * 1000 + i + 1;
            plan.environment = machine->faults->environment();
            machine->process = std::make_unique<SenderProcess>(plan);
            if (!machine->process->start(kReadyWithin))
                throw std::runtime_error("sender " + plan.name + " did not get ready");
            machines_.push_back(std::move(machine));
        }
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

    static bool ofProcess(Kind kind) {
        return kind == Kind::stop || kind == Kind::kill || kind == Kind::reload || kind == Kind::holdUp;
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
                auto& machine = *machines_[step.trouble->target];
                {
                    const std::lock_guard lock(machine.queueMutex);
                    machine.queue.push_back(*step.trouble);
                }
                machine.due.notify_all();
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
        if (ofPartner(t.kind)) return applyToPartner(t, begins, on);
        auto& machine = *machines_[t.target];
        auto& control = machine.faults->control();
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
            default: break;
        }
    }

    static void mode(Machine& machine, Discovery::Mode mode) {
        machine.discovery->setMode(mode);
        machine.elsewhere->setMode(mode);
    }

    void applyToPartner(const Trouble& t, bool begins, bool on) {
        auto& partner = *partners_[t.target];
        if (t.kind == Kind::refuses) partner.refuse(on);
        if (t.kind == Kind::resets && begins) partner.cut();
        if (t.kind != Kind::drains || !begins) return;
        const auto drained = partner.drainOldest();
        if (!drained) return;
        const auto fresh = partner.open();
        for (auto& machine : machines_)
            for (auto* discovery : {machine->discovery.get(), machine->elsewhere.get()}) {
                discovery->tell(*drained);
                discovery->tell(fresh);
            }
    }

    // ---- a sender's process ----

    void drive(Machine& machine, std::size_t sender) {
        for (;;) {
            Trouble trouble;
            {
                std::unique_lock lock(machine.queueMutex);
                machine.due.wait(lock, [&] { return machine.over || !machine.queue.empty(); });
                if (machine.queue.empty()) return;
                trouble = machine.queue.front();
                machine.queue.pop_front();
            }
            if (trouble.kind == Kind::reload) reload(machine, trouble);
            else if (trouble.kind == Kind::holdUp) holdUp(machine, sender, trouble);
            else restart(machine, sender, trouble);
        }
    }

    void restart(Machine& machine, std::size_t sender, const Trouble& trouble) {
        if (machine.process->died()) oracle_.violated("crash", "sender " + std::to_string(sender), sender);
        oracle_.down(sender, Steady::now(), trouble.kind == Kind::kill,
                     switches_.on(Kind::disk, sender).has_value());
        if (trouble.kind == Kind::kill) {
            machine.process->kill();
        } else {
            const auto begun = Steady::now();
            const int status = machine.process->stop();
            oracle_.stopped(sender, std::chrono::duration_cast<milliseconds>(Steady::now() - begun), status);
        }
        std::this_thread::sleep_for(trouble.span);
        begin(machine, sender);
    }

    void begin(Machine& machine, std::size_t sender) {
        for (int tries = 0; tries < kStartTries && !machine.process->start(kReadyWithin); ++tries) {
            oracle_.violated("start", "sender " + std::to_string(sender) + " did not get ready", sender);
            machine.process->kill();
        }
        oracle_.ready(sender, Steady::now());
    }

    /// The file is half written when the signal comes; the whole file stands there a little later.
    void reload(Machine& machine, const Trouble& trouble) {
        machine.moved = !machine.moved;
        const auto path = machine.process->configPath();
        if (trouble.parameter % 2 == 0) {
            std::ostringstream whole;
            whole << std::ifstream(path).rdbuf();
            std::ofstream(path) << whole.str().substr(0, whole.str().size() / 2);
            machine.process->signal(SIGHUP);
            std::this_thread::sleep_for(milliseconds(100));
        }
        const auto& now = machine.moved ? machine.elsewhere : machine.discovery;
        machine.process->moveDiscovery(now->address());
    }

    void holdUp(Machine& machine, std::size_t sender, const Trouble& trouble) {
        const auto from = Steady::now();
        machine.process->signal(SIGSTOP);
        std::this_thread::sleep_for(trouble.span);
        machine.process->signal(SIGCONT);
        oracle_.heldUp(sender, from, Steady::now());
    }

    // ---- clients ----

    void client(std::size_t sender, int which) {
        Chance chance(options_.seed * 10007 + sender * 101 + static_cast<std::uint64_t>(which));
        net::Fd kept;
        for (int i = 0; handing_; ++i) {
            const auto id =
                "n" + std::to_string(sender) + "-" + std::to_string(which) + "-" + std::to_string(i);
            const bool rude = switches_.on(Kind::rudeClients, sender) && between(chance, 0, 1) == 0;
            if (rude) beRude(sender, id, chance);
            else kept = handIn(sender, id, chance, std::move(kept));
            std::this_thread::sleep_for(milliseconds(between(chance, 10, 200)));
            if (between(chance, 0, 4) == 0) kept.reset();
        }
    }

    HandIn message(std::size_t sender, const std::string& id, const Class& its, Chance& chance) const {
        HandIn in;
        in.id = id;
        in.key = "key-" + id;
        in.body = std::string(static_cast<std::size_t>(between(chance, 0, 400)), 'b') + id;
        in.sender = sender;
        in.destination = static_cast<std::uint64_t>(between(chance, 1, kPartners));
        in.effect = its.effect;
        in.deadline = milliseconds(between(chance, 0, 9) == 0 ? between(chance, 1, 30)
                                                              : between(chance, 300, its.mostMs));
        return in;
    }

    std::string request(const HandIn& in, const Class& its) const {
        return http::request("POST", "/" + std::string(its.name), "service.internal",
                             {{"Req-Id", in.id},
                              {"Req-Kind", its.name},
                              {"Req-Owner", "acme"},
                              {"Req-Deadline-Ms", std::to_string(in.deadline.count())},
                              {"Idempotency-Key", in.key},
                              {"X-Route-To", "dest=" + std::to_string(in.destination)}},
                             in.body);
    }

    net::Fd connectTo(std::size_t sender) const {
        net::Fd fd = net::tcpSocket();
        const auto address = net::address(machines_[sender]->process->plan().listen);
        if (!fd || !net::connectBy(fd.get(), *address, Steady::now() + kPatience)) return {};
        return fd;
    }

    /// Hands one message in, once more on a new connection where it crossed the end of a kept one. Returns
    /// the connection where it may be used again.
    net::Fd handIn(std::size_t sender, const std::string& id, Chance& chance, net::Fd kept) {
        const auto& its = kClasses[static_cast<std::size_t>(between(chance, 0, 2))];
        auto in = message(sender, id, its, chance);
        const auto text = request(in, its);
        in.sentAt = Steady::now();
        const auto until = in.sentAt + kPatience;
        oracle_.handed(in);
        for (bool fresh = !kept;; fresh = true) {
            if (fresh) kept = connectTo(sender);
            if (!kept) return oracle_.unanswered(id, NoAnswer::refused, fresh, Steady::now()), net::Fd{};
            // What breaks on a faulty network is not the sender's doing.
            const bool faulty = switches_.on(Kind::broken, sender).has_value();
            const bool written = net::sendAll(kept.get(), text, until) == net::Io::done;
            http::Parser parser(http::Parser::Role::response);
            auto io = net::Io::done;
            while (written && io == net::Io::done && parser.state() != http::Parser::State::complete) {
                std::string got;
                io = net::receive(kept.get(), got, until);
                parser.feed(got);
            }
            if (parser.state() == http::Parser::State::complete) {
                oracle_.answered(id, parser.message().status, Steady::now());
                if (!parser.message().keepsAlive()) kept.reset();
                return kept;
            }
            kept.reset();
            if (!fresh && io != net::Io::timedOut) continue;  // it crossed the end of a kept connection
            const bool broken =
                !written || io == net::Io::broken || faulty || switches_.on(Kind::broken, sender).has_value();
            const auto how = io == net::Io::timedOut ? NoAnswer::gaveUp
                             : broken                ? NoAnswer::reset
                                                     : NoAnswer::closed;
            return oracle_.unanswered(id, how, fresh, Steady::now()), net::Fd{};
        }
    }

    void beRude(std::size_t sender, const std::string& id, Chance& chance) {
        const auto fd = connectTo(sender);
        if (!fd) return;
        const auto& its = kClasses[static_cast<std::size_t>(between(chance, 0, 2))];
        auto in = message(sender, id, its, chance);
        const auto text = request(in, its);
        const auto until = Steady::now() + kPatience;
        switch (between(chance, 0, 4)) {
            case 0:  // half a request, and a client that stays
                net::sendAll(fd.get(), text.substr(0, text.size() / 2), until);
                net::waitReadable(fd.get(), Steady::now() + milliseconds(3000));
                // What has not been accepted yet can't be shut.
                if (net::unread(fd.get()) == net::Unread::nothing && !switches_.on(Kind::accept, sender))
                    slowToShut(sender, id);
                return;
            case 1:  // half a request, and gone
                net::sendAll(fd.get(), text.substr(0, text.size() / 2), until);
                return;
            case 2:  // noise
                net::sendAll(fd.get(), "\x01\x02\x03 no request\r\n\r\n" + text, until);
                return;
            case 3:  // a whole one, and gone at once: its message counts for nothing
                in.sentAt = Steady::now();
                oracle_.handed(in);
                net::sendAll(fd.get(), text, until);
                return oracle_.unanswered(id, NoAnswer::gaveUp, true, Steady::now());
            default: halfClose(in, text, fd);
        }
    }

    void slowToShut(std::size_t sender, const std::string& id) {
        oracle_.violated("bad client", id + " with half a request heard nothing for 3 s at sender " +
                                           std::to_string(sender));
    }

    /// A whole request, and an end of the client's sending behind it.
    void halfClose(HandIn& in, const std::string& text, const net::Fd& fd) {
        in.sentAt = Steady::now();
        oracle_.handed(in);
        const bool faulty = switches_.on(Kind::broken, in.sender).has_value();
        const bool written = net::sendAll(fd.get(), text, in.sentAt + kPatience) == net::Io::done;
        net::shutWriting(fd.get());
        http::Parser parser(http::Parser::Role::response);
        auto io = net::Io::done;
        while (written && io == net::Io::done && parser.state() != http::Parser::State::complete) {
            std::string got;
            io = net::receive(fd.get(), got, in.sentAt + kPatience);
            parser.feed(got);
        }
        if (parser.state() == http::Parser::State::complete)
            return oracle_.answered(in.id, parser.message().status, Steady::now());
        const bool broken = !written || io == net::Io::broken || faulty;
        oracle_.unanswered(in.id,
                           io == net::Io::timedOut ? NoAnswer::gaveUp
                           : broken                ? NoAnswer::reset
                                                   : NoAnswer::closed,
                           true, Steady::now());
    }

    // ---- the end ----

    /// All troubles are over: whatever is owed gets its time.
    void settle() {
        const auto until = Steady::now() + std::chrono::seconds(12);
        while (oracle_.owed(Steady::now()) > 0 && Steady::now() < until)
            std::this_thread::sleep_for(milliseconds(20));
    }

    void finish() {
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            auto& machine = *machines_[i];
            const auto name = "sender " + std::to_string(i);
            if (machine.process->died()) oracle_.violated("crash", name, i);
            if (machine.process->residentMost() > static_cast<std::size_t>(kMemoryMb) << 20)
                oracle_.violated("memory", name);
            const auto begun = Steady::now();
            oracle_.down(i, begun, false, false);
            const int status = machine.process->stop();
            oracle_.stopped(i, std::chrono::duration_cast<milliseconds>(Steady::now() - begun), status);
            readLog(machine.process->log(), name);
            const auto& control = machine.faults->control();
            for (const auto* fault :
                 {&control.diskWrite, &control.accept, &control.socket, &control.connect,
                  &control.brokenConnection, &control.interrupted, &control.shortTransfer})
                report_.injected += fault->injected;
        }
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
    Oracle oracle_;
    Report report_;
    Switches switches_;
    std::vector<std::unique_ptr<Partner>> partners_;
    std::vector<listing::Endpoint> endpoints_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::atomic<bool> handing_{true}, over_{false};
    Moment begun_;
};

}  // namespace

Report play(const Options& options) { return World(options).play(); }

std::string text(const Options& options, const Report& report) {
    std::ostringstream out;
    const auto& c = report.counts;
    out << "soak seed " << options.seed << ", " << options.senders << " senders, "
        << options.span.count() / 1000.0 << " s, " << report.troubles.size() << " troubles, " << report.most
        << " at once at most, " << report.injected << " system calls failed, held up itself for "
        << report.stall.count() << " ms\n  " << c.handed << " handed in: " << c.taken << " taken on, "
        << c.refused << " refused, " << c.failed << " failed, " << c.abandoned << " given up by clients, "
        << c.crossed << " without an answer; " << c.calls << " calls, " << c.delivered << " delivered, "
        << c.notices << " notices\n";
    for (const auto& v : report.violations) {
        const auto at = std::chrono::duration_cast<milliseconds>(v.at - report.begun).count();
        out << "  VIOLATION at " << static_cast<double>(at) / 1000 << " s: " << v.rule << ": " << v.detail;
        if (!v.during.empty()) out << "\n    overlapping:" << v.during;
        out << "\n";
    }
    out << (report.clean() ? "  no rule broken\n"
                           : "  replay: laurelhaven-lab soak --seed " + std::to_string(options.seed) +
                                 " --seconds " + std::to_string(options.span.count() / 1000) + " --senders " +
                                 std::to_string(options.senders) + "\n");
    return out.str();
}

}  // namespace laurelhaven::lab::soak
