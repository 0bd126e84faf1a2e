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
#include "load/loader.hpp"
#include "net/socket.hpp"
#include "rig/sender.hpp"
#include "standin/partner.hpp"

namespace laurelhaven::lab {
namespace {

// Each run has a block of loopback addresses of its own, so that runs side by side don't meet.
constexpr const char* kBlock = "127.64.0.0/12";
constexpr int kClientConnections = 384;

trust::RecordMs wallNow() {
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
        const auto* given = set_.given.get();
        const int count = given ? static_cast<int>(given->fleet.partners.size()) : set_.partners;
        for (int i = 0; i < count; ++i) {
            auto model = given ? given->fleet.partners[static_cast<std::size_t>(i)].does : partner(set_, i);
            // Partners are found by their number.
            model.destination = 100 + static_cast<std::uint64_t>(i);
            model.oneSender = options_.exact && set_.senders == 1;
            partners_.push_back(
                std::make_unique<Partner>(model, ledger_, set_.seed * 1000 + static_cast<unsigned>(i)));
            const auto* is = given ? &given->fleet.partners[static_cast<std::size_t>(i)] : nullptr;
            for (int k = 0; k < (is ? is->endpoints : set_.endpoints); ++k) {
                const auto name = fmt::format("s-{}-{}", i, k);
                const auto address = addresses_.next(8443);
                discovery_.tell({name, address, "z", "partner", model.destination, listing::Status::serving,
                                 model.told, 0});
                partners_.back()->open(name, address, is ? is->zone(k) : 0);
            }
            if (is && is->coldAtStart) partners_.back()->coolDown();
        }
        before_ = discovery_.endpoints();
        beforeIndex_ = discovery_.index();
        known_ = discovery_.whole();
    }

    void makeSenders() {
        for (int i = 0; i < set_.senders; ++i) {
            SenderPlan plan;
            if (set_.given) {
                const auto& has = set_.given->fleet.senders;
                plan.slots = has.slots;
                plan.held = has.held;
                plan.sockets = has.sockets;
                plan.memoryMb = has.memoryMb;
                for (const auto& m : set_.given->messages)
                    plan.tenants = std::max(plan.tenants, static_cast<int>(m.tenant) + 1);
            }
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
            entry.endpoint = e;
            entry.index = beforeIndex_;
            entry.firstListedAt = then - 3'600'000;
            entry.confirmedAt = then;
            entry.confirmedBy = trust::ConfirmationSource::discovery;
            entry.deliveries = e.weight * 100;
            records.push_back(kept::encode(entry));
        }
        kept::SavedEndpointListFile file(
            sender.state(), kept::listBudgetBytes(static_cast<std::uint64_t>(set_.diskMb) * 1000000, 0.06),
            sender.plan().name);
        std::size_t left = 0;
        if (!file.replace(records, kept::encodeListState(beforeIndex_, 0, {}, then), then, left) || left > 0)
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
        for (const auto& e : order) ++left[e.destination];
        // Each partner keeps one endpoint as it was: else its service would say nothing about the list.
        const auto next = [&]() -> const listing::Endpoint* {
            while (at < order.size()) {
                const auto& e = order[at++];
                if (left[e.destination] > 1) return --left[e.destination], &e;
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
                auto& owner = partnerOf(e->destination);
                owner.close(e->name);
                discovery_.remove(e->name);
                ledger_.told(e->name, Steady::now());
                auto fresh = *e;
                const auto other = (e->destination - 100 + 1) % static_cast<std::uint64_t>(set_.partners);
                fresh.name = "r-" + e->name;
                fresh.destination = 100 + other;
                fresh.weight = partners_[other]->model().told;
                fresh.startedAtMs = wallNow();
                partners_[other]->open(fresh.name, fresh.address);
                discovery_.tell(fresh);
            }
        for (int i = 0; i < set_.cold && i < set_.partners; ++i)
            partners_[static_cast<std::size_t>(i)]->coolDown();
    }

    void drain(listing::Endpoint e) {
        partnerOf(e.destination).drain(e.name);
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
                    if (e.destination == 100 + event.which && e.status == listing::Status::serving) {
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
            case Event::Kind::slow: partners_[event.which]->slow(event.factor); break;
            case Event::Kind::limit: partners_[event.which]->limit(event.factor); break;
            case Event::Kind::zoneLost:
            case Event::Kind::zoneBack:
                zone(static_cast<int>(event.which), event.kind == Event::Kind::zoneLost);
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

    void zone(int which, bool lost) {
        for (auto& partner : partners_) lost ? partner->down(which) : partner->up(which);
        if (!set_.given) return;
        for (std::size_t s = 0; s < senders_.size(); ++s) {
            if (set_.given->fleet.senders.zone(static_cast<int>(s)) != which) continue;
            if (lost) senders_[s]->kill();
            else if (!senders_[s]->running() && !senders_[s]->start())
                throw std::runtime_error("a sender did not get ready again; see " + senders_[s]->log());
        }
    }

    void stopped(int status) {
        if (status == 0) ++report_.cleanExits;
        else ++report_.badExits;
    }

    /// Hands messages in at their moments, and carries out the events at theirs.
    void drive() {
        load::Options options;
        for (const auto& sender : senders_) options.senders.push_back(sender->plan().listen);
        options.connections = kClientConnections;
        if (set_.given) {
            const auto& clients = set_.given->fleet.clients;
            options.policy = {clients.tries, clients.pause, clients.patience, clients.adviceMost};
        }
        const auto drawn = set_.given ? set_.given->messages : model::draw(shape(set_), set_.seed);
        for (const auto& h : drawn) {
            load::Message message;
            message.at = h.at;
            message.destination = partners_.at(h.partner)->model().destination;
            message.tenant = tenant(h.tenant);
            message.key = fmt::format("{:08x}{:06d}", set_.seed, messages_.size());
            message.deadline = deadline();
            messages_.push_back(std::move(message));
            tenants_.push_back(h.tenant);
        }
        options.trying = [this](const std::string& id, std::size_t m) {
            ledger_.expect(id, messages_[m].key, messages_[m].destination);
        };
        if (options_.live) options.progress = [this](const load::Progress& now) { show(now); };
        std::mutex playing;
        std::condition_variable changed;
        bool over = false;
        begun_ = Steady::now() + milliseconds(20);
        std::thread loading([&] {
            try {
                handed_ = load::play(messages_, options, begun_);
            } catch (const std::exception& error) {
                failed(error.what());
            }
            const std::lock_guard lock(playing);
            over = true;
            changed.notify_all();
        });
        auto event = set_.events.begin();
        auto spoken = begun_;
        for (;;) {
            const auto now = Steady::now();
            if (event != set_.events.end() && begun_ + event->at <= now) {
                // Its own thread: a stop takes seconds, and the load goes on meanwhile.
                events_.emplace_back([this, e = *event] {
                    try {
                        const std::lock_guard lock(eventMutex_);
                        carryOut(e);
                    } catch (const std::exception& error) {
                        failed(error.what());
                    }
                });
                ++event;
                continue;
            }
            if (now - spoken > std::chrono::seconds(2)) {
                spoken = now;
                say(now - begun_);
            }
            std::unique_lock lock(playing);
            if (over && event == set_.events.end()) break;
            const auto next = event != set_.events.end() ? begun_ + event->at : Moment::max();
            changed.wait_until(lock, std::min(next, now + milliseconds(500)), [&] { return over; });
            if (over && event != set_.events.end()) {
                lock.unlock();
                std::this_thread::sleep_until(next);
            }
        }
        loading.join();
        for (auto& thread : events_) thread.join();
        if (!failure_.empty()) throw std::runtime_error(failure_);
    }

    void failed(const std::string& what) {
        const std::lock_guard lock(failMutex_);
        failure_ = what;
    }

    void say(Moment::duration since) const {
        if (!options_.progress) return;
        const auto counts = ledger_.counts();
        options_.progress(fmt::format("{} s: {} delivered, {} calls, {} refused",
                                      std::chrono::duration_cast<std::chrono::seconds>(since).count(),
                                      counts.delivered, counts.calls, counts.full));
    }

    /// The run as it stands, for whoever watches it.
    void show(const load::Progress& clients) {
        Live now;
        now.name = set_.name;
        now.seconds = clients.seconds;
        now.span = messages_.empty() ? 0 : std::chrono::duration<double>(messages_.back().at).count();
        now.clients = clients;
        now.ledger = ledger_.counts();
        for (const auto& partner : partners_) {
            const auto& model = partner->model();
            const auto& seen = now.ledger.byDestination[model.destination];
            const auto number = model.destination - 100;
            now.partners.push_back({set_.given ? set_.given->names.at(number) : "p" + std::to_string(number),
                                    model.capacity, model.limit, seen.calls, seen.delivered, seen.refused,
                                    partner->isDown(), partner->fallen()});
        }
        const auto note = [&](const char* what, std::size_t n, std::size_t& before) {
            if (n > before)
                failures_.push_back(fmt::format("{:6.1f} s  {} {}", now.seconds, n - before, what));
            before = n;
        };
        note("messages that no sender took", clients.refused, shown_.refused);
        note("hand-ins without an answer", clients.unanswered, shown_.unanswered);
        note("calls turned away", now.ledger.full, shown_.full);
        note("calls broken off", now.ledger.errors, shown_.errors);
        note("PARTNERS PUSHED OVER", now.ledger.fallOvers, shown_.fallOvers);
        while (failures_.size() > 12) failures_.pop_front();
        now.failed.assign(failures_.begin(), failures_.end());
        options_.live(now);
    }

    /// Share of the time of handing in during which nearly all slots of all senders were out.
    double slotsOut() const {
        const int slots = set_.given ? set_.given->fleet.senders.slots : senders_.front()->plan().slots;
        const double enough = 0.9 * slots * static_cast<double>(senders_.size());
        std::vector<std::pair<Moment, int>> steps;
        for (const auto& call : ledger_.calls()) {
            steps.emplace_back(call.begun, 1);
            steps.emplace_back(call.at, -1);
        }
        std::sort(steps.begin(), steps.end());
        const auto end = begun_ + (messages_.empty() ? Moment::duration{} : messages_.back().at);
        Moment::duration full{};
        int out = 0;
        for (std::size_t i = 0; i + 1 < steps.size(); ++i) {
            out += steps[i].second;
            if (out >= enough) full += std::min(end, steps[i + 1].first) - std::min(end, steps[i].first);
        }
        return end > begun_
                   ? std::chrono::duration<double>(full) / std::chrono::duration<double>(end - begun_)
                   : 0;
    }

    milliseconds deadline() const { return set_.given ? set_.given->fleet.service.deadline : set_.deadline; }

    /// Waits until every message has its end, and judges.
    Report settle() {
        const auto last = Steady::now() + deadline() + milliseconds(1000);
        const auto ends = [&] {
            auto all = discovery_.notices();
            for (const auto& [id, notice] : elsewhere_.notices()) all.emplace(id, notice);
            return all;
        };
        const auto open = [&] {
            const auto notices = ends();
            std::size_t left = 0;
            Moment at;
            for (std::size_t i = 0; i < messages_.size(); ++i)
                for (const auto& id : handed_.messages[i].taken)
                    left += !notices.count(id) && !ledger_.deliveredAt(messages_[i].key, at);
            return left;
        };
        while (Steady::now() < last && open() > 0) std::this_thread::sleep_for(milliseconds(50));
        report_.name = set_.name;
        const auto notices = ends();
        const auto service = set_.given ? set_.given->fleet.service : lab::service(set_);
        model::Tally tally;
        double asked10 = 0, got10 = 0;
        report_.partners.resize(partners_.size());
        for (std::size_t i = 0; i < messages_.size(); ++i) {
            const auto& m = messages_[i];
            const auto& handed = handed_.messages[i];
            ++report_.messages;
            Moment at;
            const bool delivered = ledger_.deliveredAt(m.key, at);
            report_.delivered += delivered;
            if (handed.taken.empty()) ++report_.refused;
            for (const auto& id : handed.taken) {
                ++report_.taken;
                const auto it = notices.find(id);
                if (it != notices.end() && !delivered)
                    (it->second.state == "failed" ? report_.failed : report_.returned)++;
                if (it == notices.end() && !delivered) ++report_.lost;
                if (it != notices.end() && it->second.contradicted) ++report_.contradicted;
            }
            const double worth = delivered ? service.worth(at - handed.due) : 0;
            tally.add(m.at, tenants_[i], worth);
            if (m.at < std::chrono::seconds(10)) asked10 += 1, got10 += worth;
            auto& partner = report_.partners[m.destination - 100];
            partner.asked += 1;
            partner.lost += 1 - worth;
        }
        report_.worth = tally.worth();
        for (const double s : report_.worth.service)
            if (s >= 0) report_.service.push_back(s);
        report_.first10 = asked10 > 0 ? got10 / asked10 : 0;
        report_.slotsOutShare = slotsOut();
        report_.whole = report_.worth.whole;
        report_.times = handed_.times;
        for (const auto& call : ledger_.calls()) {
            auto& partner = report_.partners[call.destination - 100];
            partner.waiting += call.outcome == Outcome::waiting;
            partner.full += call.outcome == Outcome::full;
        }
        report_.ledger = ledger_.counts();
        for (const auto& sender : senders_)
            report_.readyMs[sender->plan().name] = static_cast<std::size_t>(sender->readyAfter().count());
        if (senders_.front()->running()) report_.residentBytes = senders_.front()->resident();
        for (auto& sender : senders_) {
            if (!sender->running()) continue;
            report_.coreSeconds += sender->coreSeconds();
            report_.residentMost = std::max(report_.residentMost, sender->residentMost());
            stopped(sender->stop());
        }
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
    std::vector<load::Message> messages_;
    std::vector<std::uint32_t> tenants_;
    load::Result handed_;
    std::deque<std::string> failures_;
    struct {
        std::size_t refused = 0, unanswered = 0, full = 0, errors = 0, fallOvers = 0;
    } shown_;
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
