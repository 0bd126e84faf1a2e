#include "rig/world.hpp"

#include <json/value.h>
#include <json/writer.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/network_v4.hpp>
#include <cmath>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <memory>
#include <random>
#include <thread>

#include "http/message.hpp"
#include "kept/kept.hpp"
#include "net/socket.hpp"
#include "rig/sender.hpp"
#include "standin/partner.hpp"

namespace laurelhaven::lab {
namespace {

// Each run has a block of loopback addresses of its own, so that runs side by side don't meet.
constexpr const char* kBlock = "127.64.0.0/12";
constexpr int kClientThreads = 96;
constexpr milliseconds kClientWaits{400};
constexpr int kClientTries = 3;  // after a refusal

trust::WallMs wallNow() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Addresses of the block, one after the other.
class Addresses {
  public:
    explicit Addresses(std::size_t block)
        : network_(boost::asio::ip::make_network_v4(kBlock)), next_(network_.hosts().begin()) {
        // A run begins at a place of its own, by its process and its number there.
        const auto skip = (static_cast<std::size_t>(getpid()) * 37 + block) % 4000 * 256;
        next_ = network_.hosts().find(
            boost::asio::ip::address_v4(network_.network().to_uint() + 1 + static_cast<unsigned>(skip)));
    }
    std::string next(int port) { return (next_++)->to_string() + ":" + std::to_string(port); }

  private:
    boost::asio::ip::network_v4 network_;
    boost::asio::ip::address_v4_iterator next_;
};

struct Wanted {  // a message, as its client sees it
    std::uint64_t destination = 0;
    std::string key;
    Moment at;
    std::vector<std::string> taken;  // ids under which a sender took it on
    int tries = 0;
};

/// Clients: each hands one message in at a time, again after a refusal, at another sender where one is dead.
class Clients {
  public:
    Clients(std::vector<std::string> senders, Ledger& ledger, milliseconds deadline)
        : senders_(std::move(senders)), ledger_(ledger), deadline_(deadline) {
        for (int i = 0; i < kClientThreads; ++i) threads_.emplace_back([this] { work(); });
    }
    ~Clients() { finish(); }

    void hand(Wanted message) {
        const std::lock_guard lock(mutex_);
        due_.push_back(std::move(message));
        changed_.notify_one();
    }
    void finish() {
        {
            const std::lock_guard lock(mutex_);
            ending_ = true;
            changed_.notify_all();
        }
        for (auto& thread : threads_)
            if (thread.joinable()) thread.join();
    }
    std::vector<Wanted> done;  // after finish()

  private:
    void work() {
        std::map<std::string, net::Fd> kept;
        for (;;) {
            Wanted message;
            {
                std::unique_lock lock(mutex_);
                changed_.wait(lock, [&] { return ending_ || !due_.empty(); });
                if (due_.empty()) return;
                message = std::move(due_.front());
                due_.pop_front();
            }
            handIn(message, kept);
            const std::lock_guard lock(mutex_);
            done.push_back(std::move(message));
        }
    }

    void handIn(Wanted& message, std::map<std::string, net::Fd>& kept) {
        const auto until = message.at + deadline_;
        bool again = false;
        while (message.tries <= kClientTries && Steady::now() < until) {
            const auto n = count_++;
            const auto& sender = senders_[n % senders_.size()];
            const auto id = message.key + "-" + std::to_string(message.tries++);
            ledger_.expect(id, message.key, message.destination);
            milliseconds after{400};
            const int status = ask(message, id, sender, again, kept, after);
            if (status == 202 || status == 200) {
                message.taken.push_back(id);
                return;
            }
            if (status >= 400 && status != 429 && status != 503) return;
            again = status == 0;
            std::this_thread::sleep_for(std::min(after, milliseconds(3000)));
        }
    }

    int ask(const Wanted& message, const std::string& id, const std::string& sender, bool again,
            std::map<std::string, net::Fd>& kept, milliseconds& after) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(message.at + deadline_ - Steady::now()).count();
        http::Fields fields{{"Req-Id", id},
                            {"Req-Kind", "notice"},
                            {"Req-Owner", "acme"},
                            {"Req-Deadline-Ms", std::to_string(std::max<long>(1, left))},
                            {"Idempotency-Key", message.key},
                            {"X-Route-To", "dest=" + std::to_string(message.destination)}};
        if (message.tries > 1) fields.emplace_back("Req-Retry", again ? "again" : "1");
        const auto bytes = http::request("POST", "/notice", sender, fields, std::string(200, 'b'));
        for (int round = 0; round < 2; ++round) {
            net::Fd fd = std::move(kept[sender]);
            const bool warm = static_cast<bool>(fd) && net::quiet(fd.get());
            const auto until = net::Steady::now() + kClientWaits;
            if (!warm) {
                fd = net::tcpSocket();
                if (!fd || !net::connectBy(fd.get(), *net::address(sender), until)) return 0;
            }
            http::Parser parser(http::Parser::Role::response);
            bool begun = false;
            if (net::sendAll(fd.get(), bytes, until) == net::Io::done) {
                for (std::string got; net::receive(fd.get(), got, until) == net::Io::done; got.clear()) {
                    begun = true;
                    if (parser.feed(got) == http::Parser::State::complete) break;
                }
            }
            if (parser.state() == http::Parser::State::complete) {
                const auto& answer = parser.message();
                if (const auto* wait = answer.headers.find("Retry-After"))
                    if (const auto seconds = http::decimal(*wait))
                        after = milliseconds(static_cast<long>(*seconds * 1000));
                if (answer.keepsAlive()) kept[sender] = std::move(fd);
                return answer.status;
            }
            // A kept connection that the sender closed between requests: once more, on a new one.
            if (!warm || begun || net::Steady::now() >= until) return 0;
        }
        return 0;
    }

    std::vector<std::string> senders_;
    Ledger& ledger_;
    milliseconds deadline_;
    std::atomic<std::size_t> count_{0};
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Wanted> due_;
    bool ending_ = false;
    std::vector<std::thread> threads_;
};

class World {
  public:
    World(const Scenario& scenario, const Options& options)
        : set_(scenario),
          options_(options),
          chance_(scenario.seed),
          addresses_(scenario.block),
          ledger_(milliseconds(15000), milliseconds(options.exact ? 300 : 2000)),
          discovery_(addresses_.next(8500)),
          elsewhere_(addresses_.next(8500)) {}

    Report play() {
        makeFleet();
        makeSenders();
        change();
        discovery_.onTold = elsewhere_.onTold = [this](const listing::Endpoint& e) {
            if (e.status != listing::Status::serving) ledger_.told(e.name, Steady::now());
        };
        discovery_.start();
        if (set_.discovery != Discovery::Mode::up) discovery_.setMode(set_.discovery);
        for (auto& sender : senders_)
            if (!sender->start())
                throw std::runtime_error("a sender did not get ready; see " + sender->log());
        drive();
        return settle();
    }

  private:
    void say(const std::string& line) const {
        if (options_.progress) options_.progress(line);
    }

    void makeFleet() {
        for (int i = 0; i < set_.partners; ++i) {
            auto model = partner(set_, i);
            model.oneSender = options_.exact && set_.senders == 1;
            partners_.push_back(
                std::make_unique<Partner>(model, ledger_, set_.seed * 1000 + static_cast<unsigned>(i)));
            for (int k = 0; k < set_.endpoints; ++k) {
                const auto name = fmt::format("s-{}-{}", i, k);
                const auto address = addresses_.next(8443);
                discovery_.tell({name, address, "z", "partner", model.destination, listing::Status::serving,
                                 model.told, 0});
                partners_.back()->open(name, address);
            }
        }
        before_ = discovery_.endpoints();
        beforeIndex_ = discovery_.index();
        known_ = discovery_.whole();
    }

    void makeSenders() {
        for (int i = 0; i < set_.senders; ++i) {
            SenderPlan plan;
            plan.program = options_.program;
            plan.settings = options_.settings;
            plan.logLevel = options_.logLevel;
            plan.name = "n" + std::to_string(i);
            plan.folder = options_.folder + "/" + plan.name;
            std::filesystem::remove_all(plan.folder);
            plan.listen = addresses_.next(8443);
            plan.discovery = discovery_.address();
            plan.senders = set_.senders;
            plan.self = i;
            plan.mayProbe = set_.mayProbe;
            plan.diskMb = set_.diskMb;
            plan.seed = set_.seed + static_cast<std::uint64_t>(i);
            if (set_.known || (set_.kept && !options_.keptList)) plan.known = known_;
            senders_.push_back(std::make_unique<SenderProcess>(plan));
            if (set_.kept && options_.keptList) writeKept(*senders_.back());
        }
    }

    /// The list as a sender that died `keptAge` ago would have left it.
    void writeKept(const SenderProcess& sender) {
        const auto then = wallNow() - set_.keptAge.count();
        std::vector<std::string> records;
        for (const auto& e : before_) {
            membership::Entry entry;
            entry.is = e;
            entry.index = beforeIndex_;
            entry.firstTold = then - 3'600'000;
            entry.confirmedAt = then;
            entry.by = trust::Source::discovery;
            entry.traffic = e.weight * 100;
            records.push_back(kept::record(entry));
        }
        kept::File file(sender.state(), kept::share(static_cast<std::uint64_t>(set_.diskMb) * 1000000, 0.06),
                        sender.plan().name);
        std::size_t left = 0;
        if (!file.replace(records, kept::mark(beforeIndex_, 0, {}, then), then, left) || left > 0)
            throw std::runtime_error("the kept list could not be written to " + sender.state());
    }

    /// What has happened to the fleet since the senders last heard of it.
    void change() {
        std::vector<listing::Endpoint> order = before_;
        std::shuffle(order.begin(), order.end(), chance_);
        const auto share = [&](double part) {
            return static_cast<std::size_t>(std::lround(part * static_cast<double>(order.size())));
        };
        std::size_t at = 0;
        std::map<std::uint64_t, int> left;
        for (const auto& e : order) ++left[e.group];
        // Each partner keeps one endpoint as it was: else its service would say nothing about the list.
        const auto next = [&]() -> const listing::Endpoint* {
            while (at < order.size()) {
                const auto& e = order[at++];
                if (left[e.group] > 1) return --left[e.group], &e;
            }
            return nullptr;
        };
        for (std::size_t i = 0; i < share(set_.drained); ++i)
            if (const auto* e = next()) {
                drain(*e);
                // The senders were not told, and break no rule there; but what is drained wants nothing.
                ledger_.told(e->name, Steady::now());
            }
        for (std::size_t i = 0; i < share(set_.readdressed); ++i)
            if (const auto* e = next()) {
                // It has gone; another partner's new endpoint has its address.
                auto& owner = partnerOf(e->group);
                owner.close(e->name);
                discovery_.remove(e->name);
                ledger_.told(e->name, Steady::now());
                auto fresh = *e;
                const auto other = (e->group - 100 + 1) % static_cast<std::uint64_t>(set_.partners);
                fresh.name = "r-" + e->name;
                fresh.group = 100 + other;
                fresh.weight = partners_[other]->model().told;
                fresh.sinceMs = wallNow();
                partners_[other]->open(fresh.name, fresh.address);
                discovery_.tell(fresh);
            }
        for (int i = 0; i < set_.cold && i < set_.partners; ++i)
            partners_[static_cast<std::size_t>(i)]->coolDown();
    }

    void drain(listing::Endpoint e) {
        partnerOf(e.group).drain(e.name);
        e.status = listing::Status::draining;
        (moved_ ? elsewhere_ : discovery_).tell(e);
    }

    Partner& partnerOf(std::uint64_t destination) { return *partners_.at(destination - 100); }

    void carryOut(const Event& event) {
        switch (event.kind) {
            case Event::Kind::discovery: discovery_.setMode(event.mode); break;
            case Event::Kind::loseHistory: discovery_.loseHistory(); break;
            case Event::Kind::outage: partners_[event.which]->down(); break;
            case Event::Kind::back: partners_[event.which]->up(); break;
            case Event::Kind::drain:
                for (const auto& e : (moved_ ? elsewhere_ : discovery_).endpoints())
                    if (e.group == 100 + event.which && e.status == listing::Status::serving) {
                        drain(e);
                        break;
                    }
                break;
            case Event::Kind::move:
                // Another discovery, which counts from 1 and has the same list; the old one is gone.
                for (const auto& e : discovery_.endpoints()) elsewhere_.tell(e);
                elsewhere_.start();
                moved_ = true;
                for (auto& sender : senders_) sender->moveDiscovery(elsewhere_.address());
                discovery_.setMode(Discovery::Mode::refusing);
                break;
            case Event::Kind::kill: senders_[event.which]->kill(); break;
            case Event::Kind::stop: stopped(senders_[event.which]->stop()); break;
            case Event::Kind::start:
                if (!senders_[event.which]->start())
                    throw std::runtime_error("a sender did not get ready again; see " +
                                             senders_[event.which]->log());
                break;
        }
    }

    void stopped(int status) {
        if (status == 0) ++report_.cleanExits;
        else ++report_.badExits;
    }

    /// Hands messages in at their moments, and carries out the events at theirs.
    void drive() {
        std::vector<std::string> addresses;
        for (const auto& sender : senders_) addresses.push_back(sender->plan().listen);
        clients_ = std::make_unique<Clients>(addresses, ledger_, set_.deadline);
        const auto load = model::draw(shape(set_), set_.seed);
        begun_ = Steady::now();
        auto event = set_.events.begin();
        auto spoken = begun_;
        for (std::size_t n = 0; n < load.size();) {
            const auto next = begun_ + std::chrono::duration_cast<Moment::duration>(load[n].at);
            const auto eventAt = event != set_.events.end() ? begun_ + event->at : Moment::max();
            std::this_thread::sleep_until(std::min(next, eventAt));
            if (eventAt <= next) {
                // Its own thread: a stop takes seconds, and the load goes on meanwhile.
                events_.emplace_back([this, e = *event] {
                    try {
                        const std::lock_guard lock(eventMutex_);
                        carryOut(e);
                    } catch (const std::exception& error) {
                        const std::lock_guard lock(failMutex_);
                        failure_ = error.what();
                    }
                });
                ++event;
                continue;
            }
            Wanted message;
            message.destination = partners_[load[n].partner]->model().destination;
            message.key = fmt::format("{:08x}{:06d}", set_.seed, n++);
            message.at = Steady::now();
            clients_->hand(std::move(message));
            if (Steady::now() - spoken > std::chrono::seconds(2)) {
                spoken = Steady::now();
                const auto seconds =
                    std::chrono::duration_cast<std::chrono::seconds>(spoken - begun_).count();
                say(fmt::format("{} s: {} handed in, {} delivered", seconds, n, ledger_.counts().delivered));
            }
        }
        for (; event != set_.events.end(); ++event) {
            std::this_thread::sleep_until(begun_ + event->at);
            const std::lock_guard lock(eventMutex_);
            carryOut(*event);
        }
        for (auto& thread : events_) thread.join();
        if (!failure_.empty()) throw std::runtime_error(failure_);
    }

    /// Waits until every message has its end, and judges.
    Report settle() {
        clients_->finish();
        const auto last = Steady::now() + set_.deadline + milliseconds(1000);
        const auto ends = [&] {
            auto all = discovery_.notices();
            for (const auto& [id, notice] : elsewhere_.notices()) all.emplace(id, notice);
            return all;
        };
        const auto open = [&] {
            const auto notices = ends();
            std::size_t left = 0;
            Moment at;
            for (const auto& m : clients_->done)
                for (const auto& id : m.taken) left += !notices.count(id) && !ledger_.deliveredAt(m.key, at);
            return left;
        };
        while (Steady::now() < last && open() > 0) std::this_thread::sleep_for(milliseconds(50));
        report_.name = set_.name;
        const auto notices = ends();
        const auto service = lab::service(set_);
        std::vector<double> asked(static_cast<std::size_t>(set_.duration.count() / 1000 + 1)),
            got(asked.size());
        for (const auto& m : clients_->done) {
            ++report_.messages;
            Moment at;
            const bool delivered = ledger_.deliveredAt(m.key, at);
            report_.delivered += delivered;
            if (m.taken.empty()) ++report_.refused;
            for (const auto& id : m.taken) {
                ++report_.taken;
                const auto it = notices.find(id);
                if (it != notices.end() && !delivered)
                    (it->second.state == "failed" ? report_.failed : report_.returned)++;
                if (it == notices.end() && !delivered) ++report_.lost;
                if (it != notices.end() && it->second.contradicted) ++report_.contradicted;
            }
            const auto second = std::chrono::duration_cast<std::chrono::seconds>(m.at - begun_).count();
            const auto bucket =
                std::min(static_cast<std::size_t>(std::max<long>(0, second)), asked.size() - 1);
            asked[bucket] += 1;
            if (!delivered) continue;
            got[bucket] += service.worth(at - m.at);
        }
        double a = 0, g = 0;
        for (std::size_t i = 0; i < asked.size(); ++i) {
            a += asked[i];
            g += got[i];
            if (i == std::min<std::size_t>(9, asked.size() - 1)) report_.first10 = a > 0 ? g / a : 0;
            if (asked[i] > 0) report_.service.push_back(got[i] / asked[i]);
        }
        report_.whole = a > 0 ? g / a : 0;
        report_.ledger = ledger_.counts();
        for (const auto& sender : senders_)
            report_.readyMs[sender->plan().name] = static_cast<std::size_t>(sender->readyAfter().count());
        if (senders_.front()->running()) report_.residentBytes = senders_.front()->resident();
        for (auto& sender : senders_)
            if (sender->running()) stopped(sender->stop());
        return report_;
    }

    const Scenario& set_;
    const Options& options_;
    std::mt19937_64 chance_;
    Addresses addresses_;
    Ledger ledger_;
    Discovery discovery_, elsewhere_;
    bool moved_ = false;
    std::vector<std::unique_ptr<Partner>> partners_;
    std::vector<std::unique_ptr<SenderProcess>> senders_;
    std::unique_ptr<Clients> clients_;
    std::vector<listing::Endpoint> before_;
    std::uint64_t beforeIndex_ = 0;
    std::string known_;
    Moment begun_;
    std::vector<std::thread> events_;
    std::mutex eventMutex_, failMutex_;
    std::string failure_;
    Report report_;
};

std::size_t sum(const std::map<std::uint64_t, std::size_t>& all) {
    std::size_t n = 0;
    for (const auto& [key, value] : all) n += value;
    return n;
}

}  // namespace

PartnerModel partner(const Scenario& scenario, int i) {
    PartnerModel model;
    model.destination = static_cast<std::uint64_t>(100 + i);
    const double part = scenario.partners > 1 ? static_cast<double>(i) / (scenario.partners - 1) : 0;
    // The first are the largest.
    const double rate = scenario.rateMost - part * (scenario.rateMost - scenario.rateLeast);
    model.told = rate;
    model.limit = scenario.limits && i % 2 == 0 ? rate : 0;
    model.capacity = model.limit > 0 ? 1.3 * rate : rate;
    model.serve = scenario.serve;
    model.probes = scenario.mayProbe;
    return model;
}

model::Service service(const Scenario& scenario) {
    model::Service made;
    made.wanted = scenario.wanted;
    made.deadline = scenario.deadline;
    return made;
}

model::Shape shape(const Scenario& scenario) {
    model::Shape made;
    double all = 0;
    for (int i = 0; i < scenario.partners; ++i) {
        made.weights.push_back(partner(scenario, i).told);
        all += made.weights.back();
    }
    made.rate = std::max(0.001, scenario.load * all);
    made.span = scenario.duration;
    made.clumped = scenario.clumped;
    made.clump = scenario.clump;
    return made;
}

Report play(const Scenario& scenario, const Options& options) { return World(scenario, options).play(); }

bool Report::clean() const {
    return lost == 0 && contradicted == 0 && ledger.doubles == 0 && ledger.overlaps == 0 &&
           ledger.toDrained == 0 && ledger.fallOvers == 0 && ledger.unknown == 0 && ledger.duringWait == 0 &&
           badExits == 0;
}

std::string written(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    builder["precision"] = 4;
    builder["precisionType"] = "decimal";
    return Json::writeString(builder, value);
}

std::string Report::json() const {
    Json::Value root;
    root["name"] = name;
    root["clean"] = clean();
    const auto number = [](std::size_t n) { return Json::UInt64(n); };
    root["messages"] = number(messages);
    root["taken"] = number(taken);
    root["delivered"] = number(delivered);
    root["failed"] = number(failed);
    root["returned"] = number(returned);
    root["refused"] = number(refused);
    root["lost"] = number(lost);
    root["contradicted"] = number(contradicted);
    root["doubles"] = number(ledger.doubles);
    root["overlaps"] = number(ledger.overlaps);
    root["to_drained"] = number(ledger.toDrained);
    root["at_drained"] = number(ledger.atDrained);
    root["misdirected"] = number(ledger.misdirected);
    root["unknown"] = number(ledger.unknown);
    root["during_wait"] = number(ledger.duringWait);
    root["fall_overs"] = number(ledger.fallOvers);
    root["calls"] = number(ledger.calls);
    root["refused_calls"] = number(ledger.full);
    root["probes"] = number(sum(ledger.probes));
    std::size_t most = 0;
    for (const auto& [destination, n] : ledger.probes) most = std::max(most, n);
    root["probes_most_of_a_destination"] = number(most);
    root["service"] = whole;
    root["service_first_10_s"] = first10;
    for (const double s : service) root["service_by_second"].append(s);
    for (const auto& [sender, ms] : readyMs) root["ready_ms"][sender] = number(ms);
    root["resident_bytes"] = number(residentBytes);
    root["bad_exits"] = number(badExits);
    return written(root);
}

std::string Report::text() const {
    std::string out = fmt::format("{}: {}\n", name, clean() ? "clean" : "NOT CLEAN");
    out += fmt::format("  {} messages: {} delivered, {} returned, {} failed, {} never taken, {} lost\n",
                       messages, delivered, returned, failed, refused, lost);
    out += fmt::format(
        "  {} calls, {} refused; {} overlaps, {} doubles, {} to drained endpoints ({} before it was "
        "told), {} misdirected, {} during a wait, {} fall-overs\n",
        ledger.calls, ledger.full, ledger.overlaps, ledger.doubles, ledger.toDrained,
        ledger.atDrained - std::min(ledger.atDrained, ledger.toDrained), ledger.misdirected,
        ledger.duringWait, ledger.fallOvers);
    out +=
        fmt::format("  {} probes; service {:.3f}, in the first 10 s {:.3f}; by second:", sum(ledger.probes),
                    whole, first10);
    for (const double s : service) out += fmt::format(" {:.2f}", s);
    return out + "\n";
}

}  // namespace laurelhaven::lab
