#include "model/day.hpp"

#include <algorithm>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/poisson_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <charconv>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <stdexcept>
#include <unordered_map>

#include "config/config.hpp"
#include "decisions/retry_after.hpp"
#include "delivery/idle.hpp"
#include "stoathub/stoathub.hpp"

namespace laurelhaven::model {
namespace {

using lab::Desk;
using lab::seconds;
using std::chrono::milliseconds;
using Handle = std::uint32_t;

constexpr Handle kNone = UINT32_MAX;
// The rule's 250 ms, and 50 more, as sockets have it.
constexpr milliseconds kDrainGrace{300};
constexpr milliseconds kPeakSpan{2000};
constexpr milliseconds kKeepAlive{5000};

enum class What : std::uint8_t { hand, intake, wake, reach, done, answer, expire, cancelled, told, trouble };

struct Event {
    Instant at{};
    std::uint64_t order = 0;  // of two at one moment the first made goes first
    What what = What::hand;
    Handle which = kNone, extra = 0;
};
struct Later {
    bool operator()(const Event& a, const Event& b) const {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

struct Message {  // as its client sees it
    Handing wants;
    int tries = 0;
    bool ended = false;            // by a notice, or refused for good
    std::optional<Instant> ranAt;  // at the partner
};

struct HandIn {  // one id, at one sender
    Handle message = kNone, sender = kNone;
    Handle out = kNone;  // the call that is out
    int attempts = 0;
    bool mayHaveRun = false, over = false, ended = false;
    Instant sentAt{}, ranAt{};
};

struct Call {
    Handle handIn = kNone, sender = kNone, endpoint = kNone;
    std::uint32_t life = 0;  // of the sender
    int attempt = 0;
    Instant sentAt{}, until{};
    bool reached = false, over = false, admitted = false;
    stoathub::Result result = stoathub::Result::delivered;
    Instant wait{};
    int pending = 0;  // events that still name it
};

struct Endpoint {
    Handle partner = 0;
    int zone = 0;
    bool draining = false, down = false;
    std::string id;
};

struct Sender {
    std::unique_ptr<stoathub::Sender> module;
    bool alive = false;
    std::uint32_t life = 0;
    std::optional<Instant> wakeAt;
    int held = 0, out = 0;
    std::vector<Handle> holds;                   // hand-ins that are owed, some of them over
    std::vector<std::optional<Instant>> drains;  // by endpoint, when it was told
    std::vector<Instant> waits;                  // by partner, until when
    std::vector<std::vector<Instant>> idle;      // by endpoint, since when; the longest first
    std::size_t resting = 0;                     // idle connections, all endpoints together
    Instant busyUntil{};                         // its core
    std::int64_t second = -1;
    double busy = 0;  // seconds of its core in that second
};

struct Side {  // a partner
    Desk desk;
    bool down = false;
    std::size_t endpointsDown = 0;
    std::vector<Handle> endpoints;
    std::deque<Instant> recent;
};

class World {
  public:
    World(const Fleet& fleet, const std::vector<Handing>& load, std::uint64_t seed, const Sink& sink)
        : fleet_(fleet), load_(load), seed_(seed), sink_(sink) {
        if (fleet.partners.empty()) throw std::invalid_argument("a fleet without partners");
        if (fleet.senders.count < 1) throw std::invalid_argument("a fleet without senders");
        for (std::size_t p = 0; p < fleet.partners.size(); ++p) {
            const auto& partner = fleet.partners[p];
            sides_.push_back({Desk(partner.does, seed * 1000 + p, Instant{}), false, 0, {}, {}});
            if (partner.coldAtStart) sides_.back().desk.coolDown(Instant{});
            for (int k = 0; k < partner.endpoints; ++k) {
                sides_.back().endpoints.push_back(static_cast<Handle>(endpoints_.size()));
                endpoints_.push_back({static_cast<Handle>(p), partner.zone(k), false, false,
                                      "s-" + std::to_string(p) + "-" + std::to_string(k)});
                byId_[endpoints_.back().id] = static_cast<Handle>(endpoints_.size() - 1);
            }
            day_.partners.push_back({0, partner.does.capacity * seconds(kPeakSpan), {}});
        }
        day_.callsTo.resize(sides_.size());
        day_.turnedAway.resize(sides_.size());
        day_.broken.resize(sides_.size());
        // Descriptors are dealt out as the sender does it.
        config::Config dealt;
        dealt.sockets = static_cast<std::size_t>(fleet.senders.sockets);
        dealt.memoryMb = static_cast<std::size_t>(fleet.senders.memoryMb);
        dealt.settings.slots = fleet.senders.slots;
        const auto shares = config::shares(dealt);
        slots_ = static_cast<int>(shares.calls);
        restMost_ = shares.idle;
        day_.slots.bound = slots_;
        day_.held.bound = fleet.senders.held;
        day_.descriptors.bound = fleet.senders.sockets;
        day_.memory.bound = fleet.senders.memoryMb;
        day_.core.bound = 1;
        day_.asked.resize(sides_.size());
        day_.lost.resize(sides_.size());
        senders_.resize(static_cast<std::size_t>(fleet.senders.count));
    }

    Day run() {
        for (Handle s = 0; s < senders_.size(); ++s) begin(s);
        for (std::size_t i = 0; i < fleet_.troubles.size(); ++i)
            add(fleet_.troubles[i].at, What::trouble, static_cast<Handle>(i));
        messages_.reserve(load_.size());
        // Arrivals are fed in one by one: the queue holds what is near, not the whole day.
        feed();
        while (!queue_.empty()) {
            const auto event = queue_.top();
            queue_.pop();
            now_ = event.at;
            ++day_.events;
            carryOut(event);
        }
        return judge();
    }

  private:
    stoathub::Time moduleTime() const { return stoathub::Time(now_); }
    void add(Instant at, What what, Handle which, Handle extra = 0) {
        queue_.push({std::max(at, now_), order_++, what, which, extra});
    }

    void feed() {
        if (messages_.size() >= load_.size()) return;
        const auto next = static_cast<Handle>(messages_.size());
        if (load_[next].partner >= sides_.size())
            throw std::invalid_argument("load for a partner that is not there");
        messages_.push_back({load_[next], 0, false, {}});
        add(load_[next].at, What::hand, next, 1);
    }

    void carryOut(const Event& e) {
        switch (e.what) {
            case What::hand:
                if (e.extra == 1) feed();
                handIn(e.which);
                break;
            case What::intake: intake(e.which, e.extra); break;
            case What::wake: {
                auto& sender = senders_[e.which];
                if (!sender.alive || e.extra != sender.life || sender.wakeAt != e.at) break;
                sender.wakeAt.reset();
                turn(e.which, {stoathub::TimerFired{}});
                break;
            }
            case What::reach: reach(e.which); break;
            case What::done: done(e.which); break;
            case What::answer: answer(e.which); break;
            case What::expire: expire(e.which); break;
            case What::cancelled: cancelled(e.which); break;
            case What::told: told(e.which, e.extra); break;
            case What::trouble: trouble(fleet_.troubles[e.which]); break;
        }
    }

    // ---- senders ----

    stoathub::Settings settings() const {
        stoathub::Settings s;
        stoathub::MessageClass messageClass;
        messageClass.effect = stoathub::Effect::keyed;
        messageClass.keyWindow = fleet_.service.keyWindow;
        messageClass.deliveryTarget = fleet_.service.wanted;
        messageClass.timeToLive = fleet_.service.giveUp;
        messageClass.lateValueShare = fleet_.service.lateShare;
        s.messageClasses = {messageClass};
        s.kinds.resize(1);
        s.senders = fleet_.senders.count;
        s.slots = slots_;
        s.maxHeld = fleet_.senders.held;
        s.maxAttempts = fleet_.senders.attempts;
        s.mayCancel = fleet_.senders.cancels;
        s.maxRetryAfter = fleet_.senders.adviceMost;
        s.connectTimeout = std::chrono::seconds(1);
        s.keepAlive = kKeepAlive;
        s.weights = fleet_.senders.weighed ? stoathub::Weights::nominal : stoathub::Weights::none;
        // What is told of the fleet is what holds for its partners on average.
        const auto& first = fleet_.partners.front().does;
        s.coldCapacityShare = first.coldFrom;
        s.warmUp = first.warmUp;
        s.overloadMultiple = first.fallMultiple;
        return s;
    }
    stoathub::Endpoint listed(const Endpoint& e) const {
        return {e.id,
                e.partner,
                0,
                e.zone,
                e.draining ? stoathub::EndpointState::draining : stoathub::EndpointState::inService,
                fleet_.senders.weighed ? fleet_.partners[e.partner].does.told : 0};
    }

    void begin(Handle s) {
        auto& sender = senders_[s];
        sender.alive = true;
        ++sender.life;
        sender.module = std::make_unique<stoathub::Sender>(settings(), seed_ + s + 7919 * sender.life);
        sender.wakeAt.reset();
        sender.out = 0;
        sender.drains.assign(endpoints_.size(), {});
        sender.waits.assign(sides_.size(), {});
        sender.idle.assign(endpoints_.size(), {});
        sender.resting = 0;
        sender.busyUntil = now_;
        stoathub::EndpointListUpdate news;
        for (std::size_t e = 0; e < endpoints_.size(); ++e) {
            news.entries.push_back(listed(endpoints_[e]));
            if (endpoints_[e].draining) sender.drains[e] = now_;
        }
        std::vector<stoathub::Event> events{std::move(news)};
        // What the life before left in its store.
        std::vector<Handle> kept;
        for (const auto h : sender.holds) {
            auto& in = handIns_[h];
            if (in.over) continue;
            kept.push_back(h);
            stoathub::MessageAccepted handed;
            handed.id = std::to_string(h);
            const auto& m = messages_[in.message];
            handed.destination = m.wants.partner;
            handed.timeLeft = m.wants.at + fleet_.service.deadline - now_;
            stoathub::PriorAttempts past;
            past.attempts = in.attempts;
            past.mayHaveRun = in.mayHaveRun || in.out != kNone;
            if (past.mayHaveRun && !in.mayHaveRun) in.ranAt = in.sentAt;
            if (past.mayHaveRun) past.sinceMayHaveRun = now_ - in.ranAt;
            in.mayHaveRun = past.mayHaveRun;
            in.out = kNone;
            handed.priorAttempts = past;
            events.emplace_back(std::move(handed));
        }
        sender.holds = std::move(kept);
        sender.held = static_cast<int>(sender.holds.size());
        turn(s, events);
    }

    void peak(Peak& peak, double value) {
        if (value > peak.most) peak.most = value, peak.at = now_;
    }

    void release(Handle h) {
        auto& in = handIns_[h];
        if (in.over) return;
        in.over = true;
        auto& sender = senders_[in.sender];
        --sender.held;
        // Now and then the list of what is held is cleared of what is over.
        if (sender.holds.size() > 64 && sender.holds.size() > 4 * static_cast<std::size_t>(sender.held + 1))
            std::erase_if(sender.holds, [&](Handle x) { return handIns_[x].over; });
    }

    struct Verdict {
        bool refused = false, failed = false;
        Instant after{};
    };

    Verdict turn(Handle s, const std::vector<stoathub::Event>& events, Handle own = kNone) {
        Verdict verdict;
        auto& sender = senders_[s];
        for (const auto& action : sender.module->turn(moduleTime(), events)) {
            if (const auto* send = std::get_if<stoathub::Send>(&action)) {
                place(s, *send);
            } else if (const auto* refuse = std::get_if<stoathub::Refuse>(&action)) {
                const auto h = number(refuse->id);
                if (h == own) {
                    verdict.refused = true;
                    verdict.after = refuse->retryIn;
                    release(h);
                } else {
                    conclude(h, false);
                }
            } else if (const auto* fail = std::get_if<stoathub::Fail>(&action)) {
                const auto h = number(fail->id);
                if (h == own) verdict.failed = true, release(h);
                else conclude(h, true);
            } else if (const auto* cancel = std::get_if<stoathub::Cancel>(&action)) {
                const auto h = number(cancel->id);
                const auto c = handIns_[h].out;
                if (c != kNone && calls_[c].attempt == cancel->attempt) later(now_, What::cancelled, c);
            } else if (const auto* wake = std::get_if<stoathub::SetTimer>(&action)) {
                sender.wakeAt = now_ + wake->after;
                add(*sender.wakeAt, What::wake, s, sender.life);
            } else if (const auto* close = std::get_if<stoathub::CloseIdleConnections>(&action)) {
                shut(sender, byId_.at(close->endpoint));
            }
        }
        return verdict;
    }

    static Handle number(const std::string& id) {
        Handle h = kNone;
        std::from_chars(id.data(), id.data() + id.size(), h);
        return h;
    }

    /// A notice: the message ends undelivered.
    void conclude(Handle h, bool failed) {
        auto& in = handIns_[h];
        auto& m = messages_[in.message];
        if (in.ended || in.over) {
            ++day_.rules.secondEnds;
            return;
        }
        in.ended = true;
        m.ended = true;
        ++(failed ? day_.failed : day_.returned);
        if (in.out == kNone) release(h);
    }

    // ---- clients ----

    void again(Handle m, Instant after) {
        auto& message = messages_[m];
        if (message.tries < fleet_.clients.tries &&
            now_ + after < message.wants.at + fleet_.service.deadline) {
            add(now_ + after, What::hand, m);
        } else if (!message.ended) {
            message.ended = true;
            ++day_.refused;
        }
    }

    void handIn(Handle m) {
        auto& message = messages_[m];
        ++message.tries;
        const auto& deal = fleet_.senders.deal;
        const auto turn = next_++;
        const auto s = static_cast<Handle>(deal.empty() ? turn % senders_.size() : deal[turn % deal.size()]);
        auto& sender = senders_[s];
        if (!sender.alive) return again(m, fleet_.clients.pause);
        const auto begins = work(s, fleet_.senders.perMessage);
        if (begins <= now_) return intake(m, s);
        add(begins, What::intake, m, s);
        // A client that hears nothing for so long hands the message in elsewhere; the first copy stands.
        if (begins - now_ > fleet_.clients.patience) {
            ++day_.impatient;
            again(m, fleet_.clients.patience);
        }
    }

    /// The sender's core takes `cost` more on. When it begins with that.
    Instant work(Handle s, std::chrono::microseconds cost) {
        if (cost.count() <= 0) return now_;
        auto& sender = senders_[s];
        const auto begins = std::max(now_, sender.busyUntil);
        sender.busyUntil = begins + cost;
        const auto second = begins / std::chrono::seconds(1);
        if (second != sender.second) sender.second = second, sender.busy = 0;
        sender.busy += seconds(cost);
        peak(day_.core, sender.busy);
        return begins;
    }

    void intake(Handle m, Handle s) {
        auto& message = messages_[m];
        auto& sender = senders_[s];
        const Instant pause = fleet_.clients.pause;
        if (!sender.alive) return again(m, pause);
        const auto heed = [&](Instant after) {
            return std::min<Instant>(after > Instant{} ? after : pause, fleet_.clients.adviceMost);
        };
        if (sender.held >= fleet_.senders.held) {
            ++day_.heldFull;
            return again(m, heed(decisions::kRetryAfterWhenFull));
        }
        const auto h = static_cast<Handle>(handIns_.size());
        handIns_.push_back({});
        handIns_.back().message = m;
        handIns_.back().sender = s;
        sender.holds.push_back(h);
        ++sender.held;
        peak(day_.held, sender.held);
        const auto& has = fleet_.senders;
        peak(day_.memory,
             has.baseMb + (sender.held * has.messageKb + has.connections * has.connectionKb) / 1000);
        stoathub::MessageAccepted handed;
        handed.id = std::to_string(h);
        handed.destination = message.wants.partner;
        handed.timeLeft = message.wants.at + fleet_.service.deadline - now_;
        // Its place may move while the module's actions are carried out.
        const auto verdict = turn(s, {std::move(handed)}, h);
        if (sink_) arrived(h, verdict);
        if (verdict.refused)
            again(m,
                  heed(verdict.after > Instant{} ? verdict.after : Instant(decisions::kRetryAfterWhenFull)));
        else if (verdict.failed) messages_[m].ended = true, ++day_.failed;
        else ++day_.taken;
    }

    // ---- what would be captured ----

    trace::Micros micros() const {
        return std::chrono::duration_cast<std::chrono::microseconds>(now_).count();
    }

    void arrived(Handle h, const Verdict& verdict) {
        const auto& m = messages_[handIns_[h].message];
        trace::Arrival a;
        a.at = micros();
        a.id = h;
        a.grade = "notice";
        a.tenant = "t" + std::to_string(m.wants.tenant);
        a.destination = fleet_.partners[m.wants.partner].does.destination;
        a.deadlineMs = static_cast<std::uint64_t>(fleet_.service.deadline.count());
        a.verdict = verdict.refused  ? trace::Verdict::refused
                    : verdict.failed ? trace::Verdict::failed
                                     : trace::Verdict::taken;
        sink_(a);
    }

    void answered(const Call& call, stoathub::Result result) {
        using stoathub::Result;
        const auto& does = fleet_.partners[endpoints_[call.endpoint].partner].does;
        trace::Answer a;
        a.at = micros();
        a.id = call.handIn;
        a.destination = does.destination;
        a.endpoint = endpoints_[call.endpoint].id;
        a.attempt = static_cast<std::uint64_t>(call.attempt);
        switch (result) {
            case Result::delivered: a.ending = trace::Ending::delivered; break;
            case Result::error: a.ending = trace::Ending::error; break;
            case Result::rejected: a.ending = trace::Ending::turnedAway; break;
            case Result::timeout: a.ending = trace::Ending::timedOut; break;
            case Result::connectFailed: a.ending = trace::Ending::noConnection; break;
            case Result::reset: a.ending = trace::Ending::reset; break;
            case Result::cancelled: a.ending = trace::Ending::cancelled; break;
            case Result::unsent:
            case Result::notForwarded: a.ending = trace::Ending::notSent; break;
        }
        a.tookUs = static_cast<std::uint64_t>((now_ - call.sentAt) / std::chrono::microseconds(1));
        a.waitMs = static_cast<std::uint64_t>(call.wait / milliseconds(1));
        if (does.tellsLoad && (result == Result::delivered || result == Result::rejected))
            a.allowedMilli = static_cast<std::uint64_t>(does.limit * 1000);
        sink_(a);
    }

    // ---- calls ----

    void later(Instant at, What what, Handle c) {
        ++calls_[c].pending;
        add(at, what, c);
    }

    void place(Handle s, const stoathub::Send& send) {
        const auto h = number(send.id);
        auto& in = handIns_[h];
        if (in.over || in.ended || in.sender != s) return;
        if (in.out != kNone) ++day_.rules.overlaps;
        Handle c = kNone;
        if (!free_.empty()) {
            c = free_.back();
            free_.pop_back();
            calls_[c] = {};
        } else {
            c = static_cast<Handle>(calls_.size());
            calls_.emplace_back();
        }
        auto& sender = senders_[s];
        auto& call = calls_[c];
        call.handIn = h;
        call.sender = s;
        call.endpoint = byId_.at(send.endpoint);
        call.life = sender.life;
        call.attempt = in.attempts++;
        call.sentAt = now_;
        call.until = std::chrono::duration_cast<Instant>(send.attemptDeadline.time_since_epoch());
        in.out = c;
        peak(day_.slots, ++sender.out);
        const bool warm = take(sender, call.endpoint);
        constexpr double kAside = 48;  // as config::shares keeps them
        peak(day_.descriptors,
             kAside + sender.out + static_cast<double>(sender.resting) + fleet_.senders.connections);
        work(s, fleet_.senders.perCall);
        const auto& net = fleet_.network;
        later(now_ + net.delay + (warm ? Instant{} : Instant(net.connect)), What::reach, c);
        later(call.until, What::expire, c);
    }

    /// An idle connection to the endpoint: the one used last that has rested. False where there is none.
    bool take(Sender& sender, Handle e) {
        auto& idle = sender.idle[e];
        const auto keep =
            std::chrono::duration_cast<Instant>(delivery::kKeepAliveShare * Instant(kKeepAlive));
        sender.resting -= std::erase_if(idle, [&](Instant since) { return now_ - since > keep; });
        for (auto it = idle.rbegin(); it != idle.rend(); ++it) {
            if (now_ - *it < delivery::kReuseDelay) continue;
            idle.erase(std::next(it).base());
            --sender.resting;
            return true;
        }
        return false;
    }
    void rest(Sender& sender, Handle e) {
        if (sender.resting >= restMost_) return;
        sender.idle[e].push_back(now_);
        ++sender.resting;
    }
    void shut(Sender& sender, Handle e) {
        if (sender.idle.empty()) return;
        sender.resting -= sender.idle[e].size();
        sender.idle[e].clear();
    }

    bool live(const Call& call) const {
        const auto& sender = senders_[call.sender];
        return !call.over && sender.alive && sender.life == call.life;
    }

    /// The last event that names a call gives its place back.
    void drop(Handle c) {
        if (--calls_[c].pending == 0) free_.push_back(c);
    }

    void reach(Handle c) {
        auto& call = calls_[c];
        if (live(call)) arrive(c);
        drop(c);
    }

    void arrive(Handle c) {
        auto& call = calls_[c];
        auto& sender = senders_[call.sender];
        auto& in = handIns_[call.handIn];
        const auto& endpoint = endpoints_[call.endpoint];
        auto& side = sides_[endpoint.partner];
        const auto back = now_ + fleet_.network.delay;
        // Asked again just before the first byte, as the facade does.
        if (sender.drains[call.endpoint] || now_ < sender.waits[endpoint.partner] || in.ended ||
            now_ >= call.until)
            return outcome(c, stoathub::Result::notForwarded);
        call.reached = true;
        in.sentAt = now_;
        ++day_.calls;
        ++day_.callsTo[endpoint.partner];
        if (side.down || endpoint.down) {
            call.result = stoathub::Result::connectFailed;
            return later(back, What::answer, c);
        }
        if (endpoint.draining && sender.drains[call.endpoint] &&
            now_ - *sender.drains[call.endpoint] > kDrainGrace)
            ++day_.rules.toDrained;
        const bool was = side.desk.fallen();
        if (!side.desk.arrived(now_)) {
            day_.rules.fallOvers += !was;
            call.result = stoathub::Result::rejected;
            return later(back, What::answer, c);
        }
        if (endpoint.draining) {
            call.result = stoathub::Result::rejected;
            return later(back, What::answer, c);
        }
        const auto admission = side.desk.call(now_);
        using Kind = Desk::Admission::Kind;
        day_.rules.duringWait += admission.duringWait;
        if (admission.kind != Kind::run) {
            call.result = stoathub::Result::rejected;
            call.wait = lab::span(admission.wait);
            ++day_.refusedCalls;
            ++day_.turnedAway[endpoint.partner];
            return later(back, What::answer, c);
        }
        call.admitted = true;
        side.recent.push_back(now_);
        while (now_ - side.recent.front() > kPeakSpan) side.recent.pop_front();
        peak(day_.partners[endpoint.partner], static_cast<double>(side.recent.size()));
        later(admission.done, What::done, c);
    }

    /// The work is done, whether or not anybody waits for it.
    void done(Handle c) {
        auto& call = calls_[c];
        auto& side = sides_[endpoints_[call.endpoint].partner];
        if (side.down || endpoints_[call.endpoint].down || side.desk.fallen()) {
            call.result = stoathub::Result::reset;
        } else {
            auto& m = messages_[handIns_[call.handIn].message];
            if (!m.ranAt) m.ranAt = now_;
            // Receivers drop a repeat inside the window; later it is a second effect.
            else if (now_ - *m.ranAt > fleet_.service.keyWindow) ++day_.rules.doubles;
            call.result = stoathub::Result::delivered;
        }
        later(now_ + fleet_.network.delay, What::answer, c);
        drop(c);
    }

    void answer(Handle c) {
        auto& call = calls_[c];
        if (live(call)) {
            if (call.result == stoathub::Result::delivered || call.result == stoathub::Result::rejected)
                rest(senders_[call.sender], call.endpoint);
            outcome(c, call.result);
        }
        drop(c);
    }

    void expire(Handle c) {
        if (live(calls_[c]))
            outcome(c, calls_[c].reached ? stoathub::Result::timeout : stoathub::Result::connectFailed);
        drop(c);
    }

    void cancelled(Handle c) {
        if (live(calls_[c]))
            outcome(c, calls_[c].reached ? stoathub::Result::cancelled : stoathub::Result::notForwarded);
        drop(c);
    }

    void outcome(Handle c, stoathub::Result result) {
        using stoathub::Result;
        auto& call = calls_[c];
        auto& sender = senders_[call.sender];
        auto& in = handIns_[call.handIn];
        const auto& does = fleet_.partners[endpoints_[call.endpoint].partner].does;
        call.over = true;
        in.out = kNone;
        day_.broken[endpoints_[call.endpoint].partner] +=
            call.reached &&
            (result == Result::connectFailed || result == Result::reset || result == Result::timeout);
        --sender.out;
        if (result == Result::error || result == Result::timeout || result == Result::reset ||
            result == Result::cancelled) {
            if (!in.mayHaveRun) in.ranAt = call.sentAt;
            in.mayHaveRun = true;
        }
        stoathub::Outcome o;
        o.id = std::to_string(call.handIn);
        o.endpoint = endpoints_[call.endpoint].id;
        o.attempt = call.attempt;
        o.result = result;
        o.took = now_ - call.sentAt;
        o.retryAfter = call.wait;
        o.concluded = result == Result::delivered;
        if (call.wait > Instant{}) {
            auto& until = sender.waits[endpoints_[call.endpoint].partner];
            until = std::max(until, now_ + call.wait);
        }
        if (does.tellsLoad && (result == Result::delivered || result == Result::rejected)) {
            const auto load = sides_[endpoints_[call.endpoint].partner].desk.load(now_);
            o.allowanceLeft = load.left;
            o.allowedRate = load.limit;
        }
        if (sink_) answered(call, result);
        if (o.concluded || in.ended) release(call.handIn);
        turn(call.sender, {std::move(o)});
    }

    // ---- troubles ----

    void told(Handle s, Handle e) {
        auto& sender = senders_[s];
        if (!sender.alive) return;
        if (!sender.drains[e]) sender.drains[e] = now_;
        shut(sender, e);
        turn(s, {stoathub::EndpointListUpdate{stoathub::ListUpdateKind::delta, {listed(endpoints_[e])}}});
    }

    void trouble(const Trouble& t) {
        switch (t.kind) {
            case Trouble::Kind::outage:
                sides_.at(t.which).down = true;
                breakOff([&](const Endpoint& e) { return e.partner == t.which; });
                break;
            case Trouble::Kind::back: {
                auto& side = sides_.at(t.which);
                side.desk.coolDown(now_);
                if (!side.desk.fallen()) side.down = false;
                break;
            }
            case Trouble::Kind::drain:
                for (const auto e : sides_.at(t.which).endpoints) {
                    if (endpoints_[e].draining) continue;
                    endpoints_[e].draining = true;
                    tell(e);
                    break;
                }
                break;
            case Trouble::Kind::slow: sides_.at(t.which).desk.setSlow(t.factor); break;
            case Trouble::Kind::limit: sides_.at(t.which).desk.setLimit(t.factor); break;
            case Trouble::Kind::kill: kill(senders_.at(t.which)); break;
            case Trouble::Kind::start:
                if (!senders_.at(t.which).alive) begin(static_cast<Handle>(t.which));
                break;
            case Trouble::Kind::zoneLost:
            case Trouble::Kind::zoneBack:
                zone(static_cast<int>(t.which), t.kind == Trouble::Kind::zoneLost);
                break;
            case Trouble::Kind::discoveryDown: discoveryUp_ = false; break;
            case Trouble::Kind::discoveryUp:
                discoveryUp_ = true;
                for (const auto e : std::exchange(untold_, {})) tell(e);
                break;
        }
    }

    static void kill(Sender& sender) {
        sender.alive = false;
        sender.module.reset();
    }

    /// The connections to these endpoints are reset: who waits for an answer knows at once.
    template <class Which>
    void breakOff(const Which& which) {
        for (Handle c = 0; c < calls_.size(); ++c) {
            auto& call = calls_[c];
            if (call.pending == 0 || call.over || !call.admitted) continue;
            if (!which(endpoints_[call.endpoint]) || !live(call)) continue;
            outcome(c, stoathub::Result::reset);
        }
        for (Handle e = 0; e < endpoints_.size(); ++e)
            if (which(endpoints_[e]))
                for (auto& sender : senders_) shut(sender, e);
    }

    void zone(int which, bool lost) {
        for (auto& endpoint : endpoints_) {
            if (endpoint.zone != which || endpoint.down == lost) continue;
            auto& side = sides_[endpoint.partner];
            const auto all = side.endpoints.size();
            // Nobody was there to keep it warm.
            if (!lost && side.endpointsDown == all) side.desk.coolDown(now_);
            endpoint.down = lost;
            side.endpointsDown += lost ? 1 : -1;
            side.desk.setPart(static_cast<double>(all - side.endpointsDown) / static_cast<double>(all));
        }
        if (lost) breakOff([&](const Endpoint& e) { return e.zone == which; });
        for (Handle s = 0; s < senders_.size(); ++s) {
            if (fleet_.senders.zone(static_cast<int>(s)) != which) continue;
            if (lost) kill(senders_[s]);
            else if (!senders_[s].alive) begin(s);
        }
    }

    /// What has changed of an endpoint comes to the senders, once discovery is there.
    void tell(Handle e) {
        if (!discoveryUp_) return untold_.push_back(e);
        for (Handle s = 0; s < senders_.size(); ++s) add(now_ + fleet_.network.list, What::told, s, e);
    }

    // ---- the verdict ----

    Day judge() {
        day_.messages = messages_.size();
        Tally tally;
        for (const auto& m : messages_) {
            double worth = 0;
            if (m.ranAt) {
                ++day_.delivered;
                worth = fleet_.service.worth(*m.ranAt - m.wants.at);
            } else if (!m.ended) {
                ++day_.rules.lost;
            }
            tally.add(m.wants.at, m.wants.tenant, worth);
            day_.asked[m.wants.partner] += 1;
            day_.lost[m.wants.partner] += 1 - worth;
        }
        day_.worth = tally.worth();
        return std::move(day_);
    }

    const Fleet& fleet_;
    const std::vector<Handing>& load_;
    std::uint64_t seed_;
    const Sink& sink_;
    std::priority_queue<Event, std::vector<Event>, Later> queue_;
    std::uint64_t order_ = 0, next_ = 0;
    Instant now_{};
    std::vector<Message> messages_;
    std::vector<HandIn> handIns_;
    std::vector<Call> calls_;
    std::vector<Handle> free_;
    std::vector<Endpoint> endpoints_;
    std::unordered_map<std::string, Handle> byId_;
    int slots_ = 0;             // of a sender, as its descriptors allow
    std::size_t restMost_ = 0;  // idle connections of a sender
    bool discoveryUp_ = true;
    std::vector<Handle> untold_;  // endpoints that changed meanwhile
    std::vector<Sender> senders_;
    std::vector<Side> sides_;
    Day day_;
};

}  // namespace

double Service::worth(Instant took) const {
    const double late = seconds(took - wanted), span = seconds(deadline - wanted);
    return 1 - (1 - lateShare) * std::clamp(late / std::max(0.001, span), 0.0, 1.0);
}

void Tally::add(Instant handedIn, std::uint32_t tenant, double worth) {
    const auto second =
        static_cast<std::size_t>(std::max<std::int64_t>(0, handedIn / std::chrono::seconds(1)));
    if (asked_.size() <= second) asked_.resize(second + 1), got_.resize(second + 1);
    asked_[second] += 1, got_[second] += worth;
    auto& sums = byTenant_[tenant];
    sums.first += 1, sums.second += worth;
}

Worth Tally::worth() const {
    Worth made;
    double a = 0, g = 0;
    for (std::size_t i = 0; i < asked_.size(); ++i) {
        a += asked_[i], g += got_[i];
        made.service.push_back(asked_[i] > 0 ? got_[i] / asked_[i] : -1);
    }
    made.whole = a > 0 ? g / a : 1;
    made.worst10 = made.whole;
    constexpr std::size_t kWindow = 10;
    for (std::size_t i = 0; i + kWindow <= asked_.size(); ++i) {
        double wa = 0, wg = 0;
        for (std::size_t k = i; k < i + kWindow; ++k) wa += asked_[k], wg += got_[k];
        if (wa > 0) made.worst10 = std::min(made.worst10, wg / wa);
    }
    for (const auto& [tenant, sums] : byTenant_)
        made.worstTenant = std::min(made.worstTenant, sums.second / sums.first);
    return made;
}

Day play(const Fleet& fleet, const std::vector<Handing>& load, std::uint64_t seed, const Sink& sink) {
    return World(fleet, load, seed, sink).run();
}

std::vector<Handing> draw(const Shape& shape, std::uint64_t seed) {
    boost::random::mt19937_64 chance(seed);
    const boost::random::discrete_distribution<std::uint32_t> which(shape.weights.begin(),
                                                                    shape.weights.end());
    boost::random::uniform_01<double> uniform;
    std::vector<Handing> all;
    std::uint32_t clumps = 0;
    const double span = seconds(shape.span);
    const auto tenant = [&] {
        return static_cast<std::uint32_t>(uniform(chance) * shape.tenants) % shape.tenants;
    };
    const auto stream = [&](double rate, const auto& each) {
        if (rate <= 0) return;
        const boost::random::exponential_distribution<double> gap(rate);
        for (double t = gap(chance); t < span; t += gap(chance)) each(t);
    };
    stream(shape.rate * (1 - shape.clumped), [&](double t) {
        const auto partner = which(chance);
        all.push_back({lab::span(t), partner, tenant(), clumps++});
    });
    // A clump has its size by chance too, one at least.
    const boost::random::poisson_distribution<int> more(std::max(0.001, shape.clump - 1));
    stream(shape.rate * shape.clumped / std::max(1.0, shape.clump), [&](double t) {
        const auto partner = which(chance);
        const auto owner = tenant();
        const int n = 1 + more(chance);
        const auto clump = clumps++;
        for (int i = 0; i < n; ++i) {
            const double off = uniform(chance) * seconds(shape.within);
            if (t + off < span) all.push_back({lab::span(t + off), partner, owner, clump});
        }
    });
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return all;
}

}  // namespace laurelhaven::model
