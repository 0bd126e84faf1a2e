// Every decision of a sender. The types, events and actions are in include/stoathub/stoathub.hpp.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "retry_bucket.hpp"
#include "sender_constants.hpp"
#include "settings.hpp"
#include "stoathub/stoathub.hpp"

namespace stoathub {
namespace {

Sec seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration duration(Sec s) { return Duration(static_cast<std::int64_t>(s * 1e9)); }

/// What limits, waits and outages belong to: a destination, or one route where routes are apart.
struct Owner {
    double window = 0;
    int calls = 0;  // out now
    Sec waitUntil = 0;
    double latency = 0;  // smoothed
    double best = 0;     // the best that the smoothed latency was of late
    double share = 1;    // smoothed share of successes
    Sec halvedAt = -1;
    int streak = 0;        // failures and refusals since the last success
    int fullStreak = 0;    // refusals among them
    Sec streakAt = 0;      // when it began
    bool down = false;     // in an outage
    Sec coldAt = -kNever;  // when the last outage ended, as far as seen
    bool gone = false;     // in the last outage it did not answer, rather than refuse
    double told = 0;       // limit in calls a second for all senders; 0: none known
    double heard = -1;     // the same as heard in answers; -1: never
    double best1s = 0;     // best delivered rate of this sender
    double bin = 0;        // deliveries in the second now counted
    Sec binAt = 0;
    int silent = 0;            // calls out for too long with no answer since
    Sec answeredAt = -kNever;  // when a call sent after it last had an answer
    double rate = kNever;      // calls a second at most, learnt from refusals and the told limit
    double sent = 0;           // smoothed rate of calls sent
    Sec sentAt = 0, cutAt = -kNever;
    Sec learntAt = 0;  // when anything was last seen of it
    double parts = 1;  // equal parts of the limit that this sender may send, at partsAt
    Sec partsAt = 0;
    double credit = 1;  // calls that the pace allows now
    Sec creditAt = 0;
    bool doubted = false;
    Sec provenAt = kNever;  // when one in doubt first delivered
    double belief = 1;      // calls that one in doubt may be sent now
    Sec beliefAt = 0;

    void delivered(Sec t) {
        if (t >= binAt + 1) {
            best1s = std::max(bin / (t - binAt), best1s * (1 - kRateFade * std::min(t - binAt, 10.0)));
            bin = 0;
            binAt = t;
        }
        ++bin;
    }
    bool troubled() const { return share < kFailing || latency > kLongRun * best; }
};

struct Target {  // an endpoint
    EndpointId id;
    DestinationId destination = 0;
    int kind = 0;
    int zone = 0;
    double order = 0;  // among endpoints as busy: drawn by chance, then by whose queue was found full
    bool apart = false;
    bool usable = false;
    std::uint64_t listed = 0;  // the last whole list that named it
    int calls = 0;
    int streak = 0;            // failures since its last success
    bool silent = false;       // a call to it is out for too long
    Sec keptUntil = 0;         // until then a connection stands idle when no call is out
    Sec answeredAt = -kNever;  // when a call sent after it last had an answer
    Sec avoidUntil = 0;        // after failures, while others of the destination are well
    Owner own;                 // used where routes are apart
};

struct Place {  // a destination
    Owner own;
    RetryBucket bucket;
    int calls = 0;
    int held = 0;  // messages
    std::vector<Target*> targets;
};

struct Call {
    bool kept = false;  // on a connection that was idle before
    Target* target = nullptr;
    Sec sentAt = 0;
};

struct Message {
    MessageId id;
    Place* place = nullptr;  // its destination
    int grade = 0;
    Effect effect = Effect::pure;  // its class's, or a stricter one
    std::optional<OrderKey> key;
    Sec taken = 0, aimAt = 0, deadline = 0;
    Sec notBefore = 0;  // end of the backoff
    Sec sentAt = 0;     // when its last attempt went out
    double price = 0;   // tokens due before the next try
    double paid = 0;    // tokens taken for a try that has not gone out
    int attempts = 0;   // sent so far
    int unsent = 0;     // calls on end that never left
    bool mayHaveRun = false;
    Sec keyedFrom = 0;  // first send that may have run
    int keyedZone = 0;
    bool found = false;  // untried when an earlier life ended, and since
    bool ended = false;  // answered; kept until its attempt has its outcome
    bool calledOff = false;
    std::uint64_t call = 0;  // the call that it is out in, or 0
    bool out() const { return call != 0; }
};

}  // namespace

class Sender::Impl {
  public:
    Impl(const Settings& settings, std::uint64_t seed) : set_(settings), chance_(seed) {
        check(settings);
        double life = 0;
        for (const auto& g : set_.messageClasses)
            life += seconds(g.timeToLive) / static_cast<double>(set_.messageClasses.size());
        lone_ = kLone / life;
        if (set_.overloadMultiple > 0)
            coldRoom_ = std::clamp(set_.overloadMultiple - kRamp - kFallSlack, 0.0, kColdRoom);
    }

    std::vector<Action> turn(Time now, const std::vector<Event>& events) {
        if (!started_) start_ = now, started_ = true;
        t_ = seconds(now - start_);
        actions_.clear();
        lookAt_ = kNever;
        for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
        follow();
        sweep();
        listen();
        pump();
        relieve();
        part();
        wake();
        return std::move(actions_);
    }

    std::vector<DestinationHealth> destinationHealth() const {
        std::vector<DestinationHealth> all;
        for (const auto& [id, dest] : places_) {
            const Owner& own = dest.own;
            const bool warming = t_ < own.coldAt + seconds(set_.warmUp);
            if (!own.down && !warming && own.heard <= 0 && !own.doubted) continue;
            all.push_back({id, own.down, {}, own.told, own.doubted, false});
            if (warming) all.back().sinceRecovery = duration(t_ - own.coldAt);
        }
        return all;
    }

    std::vector<RetryBucketState> retryBuckets() const {
        std::vector<RetryBucketState> all;
        for (const auto& [id, dest] : places_)
            all.push_back(
                {id, dest.bucket.tokens(), kBucketCapacity, dest.bucket.gained(), dest.bucket.spent()});
        return all;
    }

  private:
    // ---- events ----
    void on(const MessageAccepted& h) {
        if (h.messageClass < 0 || h.messageClass >= static_cast<int>(set_.messageClasses.size()) ||
            byId_.count(h.id))
            return;
        const MessageClass& g = set_.messageClasses[h.messageClass];
        Message m;
        m.id = h.id;
        m.grade = h.messageClass;
        m.effect = std::max(g.effect, h.minimumEffect);
        if (g.inOrder) m.key = h.orderKey;
        m.taken = m.notBefore = t_;
        m.deadline = t_ + seconds(h.timeLeft);
        m.aimAt = m.deadline - seconds(g.timeToLive - g.deliveryTarget);
        const std::uint64_t seq = ++lastSeq_;
        if (m.key) turns_[*m.key].line.push_back(seq);
        byId_[m.id] = seq;
        m.place = &place(h.destination);
        ++m.place->held;
        if (h.priorAttempts) resume(m, *h.priorAttempts);
        messages_.emplace(seq, std::move(m));
    }

    // Danger: what an earlier life held comes back all at once, and what that life had learnt of outages is
    // gone: a partner that is down or cold would get the whole backlog. What was sent before counts as a
    // retry, so backoff spreads it and the bucket pays; what never left is tried for the first time, or a
    // bucket would give most of it up untried; failures count as if seen now; and the pace holds from the
    // first call. The zone of an earlier attempt is no longer known.
    void resume(Message& m, const PriorAttempts& past) {
        m.attempts = past.attempts;
        m.found = past.attempts == 0;
        m.mayHaveRun = past.mayHaveRun;
        m.keyedFrom = t_ - seconds(past.sinceMayHaveRun);
        m.keyedZone = -1;
        if (past.attempts + past.failures > 0) {
            m.notBefore = t_ + kBackoffBase * (kBackoffFloor + (1 - kBackoffFloor) * random());
            m.price = past.attempts > 0 ? kRetryCost : 0;
        }
        Owner& own = m.place->own;
        if (own.streak == 0) own.streakAt = t_;
        own.streak += past.failures;
        if (own.streak - own.fullStreak >= kStreak) own.down = true;
        if (own.rate == kNever && own.told > 0 && !sparse(own)) own.rate = own.told / set_.senders;
    }

    void on(const MessageWithdrawn& gone) {
        const auto it = byId_.find(gone.id);
        if (it == byId_.end()) return;
        messages_.at(it->second).ended = true;
        settle(it->second);
    }

    void on(const TimerFired&) {}

    // Danger: after a restart a partner may be down or cold and nothing in hand tells; the first burst would
    // push it over. It may hurt a partner that is well, for the few calls until its deliveries have opened
    // the pace.
    void on(const DestinationHealth& s) {
        Owner& own = place(s.destination).own;
        if (own.told <= 0) own.told = s.rateLimit;
        own.down = own.down || s.down;
        own.learntAt = t_;
        if (s.sinceRecovery) own.coldAt = std::max(own.coldAt, t_ - seconds(*s.sinceRecovery));
        if (s.unconfirmed && !own.doubted) {
            // Senders that restart together must not make their first calls together.
            own.provenAt = kNever, own.beliefAt = t_;
            own.belief = s.probed ? 1 : set_.senders > 1 ? random() : 1;
        }
        if (s.probed) own.belief -= 1;
        // Who has been capped stays so until it has had the time to warm up: no jump in pace.
        own.doubted = s.unconfirmed || (own.doubted && (own.calls > 0 || own.provenAt != kNever));
    }

    void on(const EndpointListUpdate& news) {
        if (news.kind == ListUpdateKind::failed) {
            followPause_ = std::min(std::max(kRefollow, 2 * followPause_), kRefollowMost);
            followAt_ = t_ + followPause_ * (0.5 + random());
            return;
        }
        if (news.kind != ListUpdateKind::saved) followPause_ = 0;
        if (news.kind != ListUpdateKind::delta) ++lists_, later_.clear();
        for (const auto& e : news.entries) list(e);
        if (news.kind != ListUpdateKind::delta)
            for (auto& [id, target] : targets_) target.usable = target.usable && target.listed == lists_;
        forget();
    }

    // Closed endpoints with no call out, and destinations left without an endpoint, a message, or a wait or
    // outage to remember: fleets change all the time, and what is gone for good must not be carried along.
    // Danger: an outage that began long ago, or a wait, is as true of the endpoints that come after these.
    void forget() {
        unhush();  // it points to owners
        for (auto it = targets_.begin(); it != targets_.end();) {
            Target& target = it->second;
            if (target.usable || target.calls > 0) {
                ++it;
                continue;
            }
            std::erase(place(target.destination).targets, &target);
            it = targets_.erase(it);
        }
        std::erase_if(places_, [this](const auto& entry) {
            const Place& dest = entry.second;
            const Sec quiet = std::max(dest.own.learntAt, dest.own.coldAt) + seconds(set_.warmUp) + kForget;
            return dest.targets.empty() && dest.held == 0 && t_ > std::max(quiet, dest.own.waitUntil);
        });
    }

    void list(const Endpoint& e) {
        auto& target = targets_[e.id];
        later_.erase(e.id);
        // Danger: an id that stands for another destination now would get the old one's messages for good.
        // It is another endpoint, which begins once the calls to the one before have ended.
        if (!target.id.empty() && target.destination != e.destination) {
            target.usable = false;
            if (target.calls > 0) return void(later_[e.id] = e);
            std::erase(place(target.destination).targets, &target);
            unhush();
            target = {};
        }
        if (target.id.empty()) {
            target.id = e.id;
            target.destination = e.destination;
            target.zone = e.zone;
            target.order = random();
            target.kind = e.kind;
            if (e.kind >= 0 && e.kind < static_cast<int>(set_.kinds.size()))
                target.apart = set_.kinds[e.kind].separateRoutes;
            target.own.window = windowMost();
            place(e.destination).targets.push_back(&target);
        }
        if (set_.weights != Weights::none && e.weight > 0) owner(target).told = e.weight;
        target.usable = e.state == EndpointState::inService;
        target.listed = lists_;
    }

    // The one way for every outcome, and so for every refusal and failure.
    void on(const Outcome& o) {
        const auto it = byId_.find(o.id);
        if (it == byId_.end()) return;
        const std::uint64_t seq = it->second;
        Message& m = messages_.at(seq);
        if (!m.out() || o.attempt != m.attempts - 1) return;
        Target& target = *calls_.at(m.call).target;
        const bool ran = o.result == Result::error || o.result == Result::timeout ||
                         o.result == Result::reset || o.result == Result::cancelled ||
                         o.result == Result::delivered;
        const bool kept = calls_.at(m.call).kept;
        if (ran) {
            double& failed = failed_[kept];
            const bool answered = o.result == Result::delivered || o.result == Result::error;
            failed += kSmooth * ((answered ? 0 : 1) - failed);
        }
        hangUp(m);
        if (o.result == Result::unsent) return takeBack(seq, m, target);
        m.unsent = 0;
        if (o.result != Result::notForwarded) m.paid = 0;
        if (ran || o.result == Result::rejected) m.found = false;
        observe(target, o, kept);
        if (ran && !m.mayHaveRun) {
            m.mayHaveRun = true;
            m.keyedFrom = m.sentAt;
            m.keyedZone = target.zone;
        }
        if (m.key &&
            (o.result == Result::timeout || o.result == Result::reset || o.result == Result::cancelled))
            turns_[*m.key].restUntil = t_ + seconds(set_.orderingPause) + kGuard;
        if (o.concluded || m.ended) {
            m.ended = true;
            return settle(seq);
        }
        retry(seq, m, o.result);
    }

    // A call that never left says nothing of the destination, and was no attempt: all that it took is given
    // back. Danger: what this machine lacks it may lack for a while, so the next try waits a little.
    void takeBack(std::uint64_t seq, Message& m, Target& target) {
        Owner& own = owner(target);
        own.credit += 1;
        if (own.doubted) own.belief += 1;
        if (--m.attempts == 0) m.place->bucket.takeBackFirstTry();
        if (m.ended) return settle(seq);
        const double doubled = std::pow(2.0, std::min(m.unsent++, kUnsentDoubles));
        m.notBefore = t_ + kUnsentPause * doubled * (kBackoffFloor + (1 - kBackoffFloor) * random());
    }

    void hangUp(Message& m) {
        const auto call = calls_.find(m.call);
        m.call = 0;
        m.calledOff = false;
        Target& target = *call->second.target;
        --slotsUsed_;
        --target.calls;
        --owner(target).calls;
        --place(target.destination).calls;
        target.silent = false;
        if (target.calls == 0) idle_.push_back(target.id);
        calls_.erase(call);
    }

    void observe(Target& target, const Outcome& o, bool kept) {
        Owner& own = owner(target);
        if (o.result == Result::notForwarded || o.stale) return;
        own.learntAt = t_;
        if (o.allowedRate && *o.allowedRate > 0) own.told = *o.allowedRate;
        if (o.allowedRate) own.heard = *o.allowedRate, reports_ = true;
        const bool good = o.result == Result::delivered;
        // What never connected weighs nothing.
        if (own.doubted && (good || o.result == Result::connectFailed))
            own.belief = std::min(kDoubtMost, own.belief + (good ? kDoubtGain : 1));
        if (own.doubted && good) own.provenAt = std::min(own.provenAt, t_);
        if (t_ > own.provenAt + seconds(set_.warmUp)) own.doubted = false;
        // Turned away on a new connection, without the report that answers have here: it holds too many.
        Sec& scarce = scarceUntil_[target.kind];
        if (o.result == Result::rejected && !kept && reports_ && !o.allowedRate && o.retryAfter <= Duration{})
            scarce = std::max(scarce, t_ + kScarceTold);
        if (o.result == Result::connectFailed && 2 * o.took < set_.connectTimeout) {
            const bool outage = own.streak > 0 && t_ > own.streakAt + kFewSpan;
            scarce = outage ? 0 : t_ + kScarce;
        }
        if (!good && o.result != Result::rejected) ++target.streak;
        // Refused with room left: its queue is full, or it holds too many connections. That says nothing of
        // its fellows, which go first from then on.
        if (o.result == Result::rejected && tellsRoom(o) && *o.allowanceLeft > kAmple) target.order += 1;
        health(own, target, o);
        if (inParts(own)) share(own, o);
        else adapt(own, o.result);
        shun(target, o.result);
        if (o.result == Result::rejected) {
            if (o.retryAfter > Duration{})
                own.waitUntil = std::max(own.waitUntil, t_ + seconds(o.retryAfter) + kGuard);
            return;
        }
        own.share += kSmooth * ((good ? 1 : 0) - own.share);
        if (good) {
            own.answeredAt = std::max(own.answeredAt, t_ - seconds(o.took));
            target.answeredAt = std::max(target.answeredAt, t_ - seconds(o.took));
            place(target.destination).bucket.add(kRefund);
            own.delivered(t_);
            const double took = seconds(o.took);
            own.latency += own.latency == 0 ? took : kSmooth * (took - own.latency);
            if (own.best == 0) own.best = own.latency;
            own.best += (own.latency < own.best ? kSmooth : kBestDrift) * (own.latency - own.best);
        }
        // The window: halves as calls run long, regrows near the best recent latency.
        if (own.latency > kLongRun * own.best && t_ > own.halvedAt + own.latency) {
            own.window = std::max(1.0, own.window / 2);
            own.halvedAt = t_;
        } else if (good && own.latency < kShortRun * own.best) {
            own.window = std::min<double>(windowMost(), own.window + kWindowStep);
        }
    }

    // Danger: a destination that is down, silent, shut or failing comes back cold and is pushed over by those
    // who kept sending. From the first sight of an outage until it is warm again, sends are paced (pace()).
    // Also guards slots and buckets against any destination that answers nothing good. It may hurt where
    // chance alone makes a short run of failures: then the destination is eased in for one warm-up.
    void health(Owner& own, const Target& target, const Outcome& o) {
        const Result result = o.result;
        if (result == Result::delivered) {
            if (own.down) own.down = false, own.coldAt = t_, own.share = std::max(own.share, kRegained);
            own.streak = own.fullStreak = 0;
            place(target.destination).own.streak = place(target.destination).own.fullStreak = 0;
            return;
        }
        // Danger: at a limit reached, refusals on end look like a shut destination, and the other way round.
        // Where the refusal itself tells them apart (the wait, or how much of the limit is left), that
        // decides.
        const bool told = tellsRoom(o);
        const bool closed =
            result == Result::rejected && (o.retryAfter > Duration{} ? seconds(o.retryAfter) > kFullSpan
                                                                     : told && *o.allowanceLeft > kAmple);
        if (result == Result::rejected && !closed && told) return;
        // An outage mostly takes all routes of a destination: what one route refuses speaks of its fellows
        // too.
        Owner& whole = place(target.destination).own;
        if (target.apart && whole.streak++ == 0) whole.streakAt = t_;
        if (target.apart && result == Result::rejected) ++whole.fullStreak;
        if (own.streak++ == 0) own.streakAt = t_;
        if (result == Result::rejected && !closed) ++own.fullStreak;
        // Danger: where many senders each hold one message for a shut destination, backoff alone adds up to
        // far more than it can take when it opens. Met seldom, two refusals that tell nothing, apart, are
        // enough.
        const bool shut = sparse(own) ? whole.fullStreak >= kFewFull && t_ - whole.streakAt > kFewSpan
                                      : own.fullStreak >= kFullStreak && t_ - own.streakAt > kFullSpan;
        // Where a destination is met seldom, a streak never fills: there one failure at each endpoint is
        // enough, and what is saved up is drawn by chance, so that many senders don't come back together.
        const auto& fellows = place(target.destination).targets;
        const bool vague = result == Result::timeout || result == Result::cancelled;
        const bool spent =
            sparse(own) && (closed || result != Result::rejected) && (!vague || own.streak >= kVague) &&
            (target.apart || closed || std::all_of(fellows.begin(), fellows.end(), [](const Target* x) {
                 return !x->usable || x->streak > 0;
             }));
        const bool was = own.down;
        if (own.streak - own.fullStreak >= kStreak || shut || own.share < kMostFail || spent) own.down = true;
        if (own.down && !was)
            own.gone = result != Result::rejected || (own.gone && t_ < own.coldAt + seconds(set_.warmUp));
        if (own.down && !was && sparse(own)) own.credit = random(), own.creditAt = t_;
    }

    // Danger: refusals above a limit cost the dearest retries, empty the bucket and, at some destinations,
    // use the limit up. First tries are paced too: from this sender's part of a told limit, or the rate at
    // which refusals began, down after refusals and up with successes. It may hurt where other senders are
    // idle, until the pace has grown.
    void adapt(Owner& own, Result result) {
        if (own.down) return;
        if (own.rate == kNever && own.told > 0) own.rate = own.told / set_.senders;
        if (result == Result::rejected) {
            own.credit = std::min(own.credit, 0.0);  // what was saved up would be refused as well
            if (t_ < own.cutAt + kCutPause) return;
            if (sparse(own) && t_ > own.cutAt + kCalm) own.rate = kNever;
            own.cutAt = t_;
            const double decayed = own.sent * std::exp(-(t_ - own.sentAt) / kRateSpan);
            own.rate = std::max(kPaceFloor, kCut * std::min(own.rate, std::max(decayed, fair(own))));
        } else if (result == Result::delivered && own.rate != kNever) {
            // Danger: a limit that was low for a while leaves the pace far down when it is back. Below this
            // sender's part the pace catches up, the faster the longer no refusal has come.
            const double calm = std::min((t_ - own.cutAt) / kCalm, kCalmMost);
            own.rate += kGrow * own.rate + kCatchUp * calm * std::max(0.0, fair(own) - own.rate);
            if (own.told > 0) own.rate = std::min(own.rate, own.told);
        }
    }

    // Danger: one endpoint of several is dead and each try there is wasted, since the list does not tell.
    // After failures it is left alone for a growing while, then tried with one call that may be repeated.
    // Also catches entries of a stale list. Where all endpoints fail, health() decides and none is left out.
    void shun(Target& target, Result result) {
        if (result == Result::delivered) target.streak = 0, target.avoidUntil = 0;
        if (result == Result::delivered || result == Result::rejected) return;
        if (target.streak >= kShunAfter || result == Result::connectFailed)
            target.avoidUntil = t_ + std::min(kShunMost, kShun * std::pow(2.0, target.streak - 1));
    }

    // Danger: hundreds of senders that each try now and then add up to more than a limit; where refused calls
    // use it up, nothing gets through any more, and each of them sees only its few refusals. So what they may
    // send unasked adds up to less than the limit, and what lies idle of it goes to those that have more: an
    // answer that tells room allows further calls. It may hurt a sender with a clump, for a few seconds.
    void share(Owner& own, const Outcome& o) {
        if (own.down) return;
        if (o.result == Result::rejected) {
            // Danger: senders that are refused together would all have their next call due at one moment,
            // and be refused together again. Each goes on from its own place in the span between two calls.
            own.credit = random() - 0.5;
            if (t_ < own.cutAt + kCutPause) return;
            own.parts = std::max(kLeastPart, kEase * parts(own));
            own.cutAt = own.partsAt = t_;
        } else if (o.result == Result::delivered && t_ > own.coldAt + seconds(set_.warmUp)) {
            const double left = tellsRoom(o) ? *o.allowanceLeft : kUntoldRoom;
            own.credit = std::min(1.0, own.credit + kRoom * left);
            own.parts = std::min(kMostParts, parts(own) + kMore * left);
            own.partsAt = t_;
        } else if (o.result == Result::delivered) {
            // Danger: equal parts of what a cold destination can do lie idle with those who hold nothing for
            // it. A delivery there allows a part of a call more. Deliveries come no faster than it can, so
            // with kRamp the sum stays under the fall multiple even where every sender holds plenty. Danger:
            // after refusals alone it may not be cold but short of room, and more calls would be refused as
            // well.
            own.credit = std::min(1.0, own.credit + (own.gone ? coldRoom_ : kWornRoom));
        } else if (o.result == Result::connectFailed) {
            own.credit = std::min(1.0, own.credit + 1);  // what never connected weighs nothing
        }
    }
    double parts(const Owner& own) const {
        return 1 + (own.parts - 1) * std::exp(-(t_ - own.partsAt) / kPartFades);
    }

    // This sender's part of what the destination can take, in calls a second.
    double fair(const Owner& own) const {
        return std::max(own.told > 0 ? own.told / set_.senders : own.best1s, kFairFloor / set_.senders);
    }

    // Calls a second that may be sent now; kNever where nothing bounds it but the window.
    double pace(const Owner& own, int routes) const {
        const double budget =
            set_.overloadMultiple > 0 ? std::min(1.0, set_.overloadMultiple * set_.coldCapacityShare) : 1.0;
        // A lone message stands for a larger part than the equal one: few of the senders hold one just then.
        // Routes apart share it, or one message would knock at each of them.
        const double part = sparse(own) ? std::max(fair(own), lone_ / routes) : fair(own);
        if (own.down || own.silent >= kSilentCalls) return kTrickle * budget * part;
        const double warm = seconds(set_.warmUp);
        if (t_ < own.coldAt + warm)
            return kRamp * part *
                   (set_.coldCapacityShare + (1 - set_.coldCapacityShare) * (t_ - own.coldAt) / warm);
        if (inParts(own)) return kEqual * fair(own) * parts(own);
        // Danger: one of very many senders meets a destination seldom; its equal part of the limit is less
        // than chance brings it, and a pace at that part holds nearly all. There only refusals slow it down,
        // for as long as they are fresh. It may hurt where all senders burst together.
        if (sparse(own) && t_ > own.cutAt + kCalm) return kNever;
        return own.rate;
    }
    bool sparse(const Owner& own) const { return set_.senders > kFewSenders && fair(own) < kSparse; }
    // Paced by share(), not by adapt(): where met seldom, and where many share a warm-up.
    bool inParts(const Owner& own) const {
        const bool warming = set_.senders > kFewSenders && t_ < own.coldAt + seconds(set_.warmUp);
        return (sparse(own) || warming) && own.told > 0;
    }
    static bool tellsRoom(const Outcome& o) { return o.allowedRate && *o.allowedRate > 0 && o.allowanceLeft; }

    double credit(Owner& own, int routes) {
        if (pace(own, routes) == kNever) return own.creditAt = t_, own.credit = 1;
        // A told wait ends for all senders at once: nothing is saved up meanwhile.
        own.creditAt = std::max(own.creditAt, std::min(own.waitUntil, t_));
        own.credit = std::min(std::max(1.0, kBurst * std::min(pace(own, routes), kBurstMost)),
                              own.credit + pace(own, routes) * (t_ - own.creditAt));
        own.creditAt = t_;
        return own.credit;
    }

    // What one in doubt may be sent beside its pace; only deliveries save up more than a call.
    bool believed(Owner& own) {
        if (!own.doubted) return true;
        if (own.provenAt == kNever && own.calls > 0) return false;
        const double budget =
            set_.overloadMultiple > 0 ? std::min(1.0, set_.overloadMultiple * set_.coldCapacityShare) : 1.0;
        const double base = (own.provenAt == kNever ? kTrickle : kDoubtBase) * budget * fair(own);
        if (own.belief < 1) own.belief = std::min(1.0, own.belief + base * (t_ - own.beliefAt));
        own.beliefAt = t_;
        return own.belief >= 1 || lookAt(t_ + std::min((1 - own.belief) / base, kSoon) + kGuard);
    }

    // The retry design: may it be tried again, after what pause and at what cost?
    void retry(std::uint64_t seq, Message& m, Result result) {
        const bool again = result == Result::rejected || result == Result::connectFailed ||
                           result == Result::notForwarded || m.effect != Effect::unsafe;
        if (!again || m.attempts >= set_.maxAttempts) return end(seq);
        // Danger: what could not go in time keeps trying, takes the room of fresh messages that are worth
        // more, and the load stays up long after its cause has gone. PriorAttempts its aim a message waits
        // longer between tries, and does not hold up a line of its key. It may hurt where a destination is
        // back just then.
        const bool old = set_.senders > kFewSenders && t_ > m.aimAt;
        if (old && m.key && turns_.at(*m.key).line.size() > 1) return end(seq);
        const Sec range = kBackoffBase * std::pow(2.0, m.attempts) * (old ? kOldWaits : 1);
        m.notBefore = t_ + range * (kBackoffFloor + (1 - kBackoffFloor) * random());
        m.price = result == Result::notForwarded ? 0
                  : result == Result::rejected   ? kThrottledCost
                                                 : kRetryCost;
        if (m.notBefore + owner(m).latency > m.deadline) end(seq);
    }

    // ---- final answers ----
    bool mayRefuse(const Message& m) const {
        const MessageClass& g = set_.messageClasses[m.grade];
        return !m.mayHaveRun || m.effect == Effect::pure ||
               (m.effect == Effect::keyed && g.keyScope == KeyScope::all);
    }

    void end(std::uint64_t seq) {
        Message& m = messages_.at(seq);
        if (mayRefuse(m)) {
            Sec advice = std::max(owner(m).waitUntil - t_, 0.0);
            if (set_.maxRetryAfter > Duration{}) advice = std::min(advice, seconds(set_.maxRetryAfter));
            actions_.push_back(Refuse{m.id, duration(advice)});
        } else {
            actions_.push_back(Fail{m.id});
        }
        m.ended = true;
        settle(seq);
    }

    // Forgets a message that is answered and has no attempt out. Danger: what it paid for a try that never
    // went out (behind a wait, a pace or a full window) would be lost to the others, just when most retries
    // stand there.
    void settle(std::uint64_t seq) {
        const auto it = messages_.find(seq);
        if (it->second.out()) return;
        it->second.place->bucket.giveBack(it->second.paid);
        if (it->second.key) {
            auto& line = turns_[*it->second.key].line;
            line.erase(std::find(line.begin(), line.end(), seq));
        }
        --it->second.place->held;
        byId_.erase(it->second.id);
        messages_.erase(it);
    }

    // ---- each turn ----
    void follow() {
        if (!set_.listOnRequest || t_ < followAt_) return;
        followAt_ = kNever;
        actions_.push_back(SubscribeToList{});
    }

    // Until when another attempt may be sent, as far as the message's class goes.
    Sec lastSend(const Message& m) const {
        const MessageClass& g = set_.messageClasses[m.grade];
        if (!m.mayHaveRun || m.effect == Effect::pure) return kNever;
        return m.effect == Effect::unsafe ? m.taken - kTick : m.keyedFrom + seconds(g.keyWindow);
    }

    // Until when each way to the destination is told to wait.
    Sec waitOver(Place& dest) {
        Sec soonest = dest.targets.empty() ? dest.own.waitUntil : kNever;
        for (Target* target : dest.targets) soonest = std::min(soonest, owner(*target).waitUntil);
        return soonest;
    }

    // Ends what can no longer be delivered, before the deadline.
    void sweep() {
        std::vector<std::uint64_t> late;
        for (const auto& [seq, m] : messages_) {
            if (m.ended || m.out()) continue;
            // Nothing is sent past the attempt limit or the key's window: what got there ends at once.
            const bool spent = m.attempts >= set_.maxAttempts;
            const Sec last = spent ? m.taken : std::min(lastSend(m), m.deadline);
            const Sec due = last - kAnswerMargin - kTick;
            // Danger: a wait that outlasts the message leaves nothing to hope for; held to its end it would
            // only keep its client from hearing when to come back.
            if (t_ > due || waitOver(*m.place) > due) late.push_back(seq);
            else lookAt(due + kGuard);
        }
        for (const auto seq : late) end(seq);
        for (auto it = turns_.begin(); it != turns_.end();)
            it = it->second.line.empty() && it->second.restUntil < t_ ? turns_.erase(it) : std::next(it);
    }

    // Danger: a destination that takes calls and answers none holds their slots until the time-out, and no
    // outcome tells. While calls are out for long with no answer since, sends are held to the outage's
    // trickle; an answer lifts that at once, a time-out goes to health(). Also catches vanished machines. It
    // may hurt where a very slow destination answers in the end. The same tells a silent endpoint from its
    // fellows: choose() passes it over.
    void listen() {
        unhush();
        for (auto& [id, call] : calls_) call.target->silent = false;
        for (const auto& [id, call] : calls_) {
            Owner& own = owner(*call.target);
            const Sec silentAt =
                call.sentAt + std::max(kLeastSilence, kSilent * std::max(own.latency, kFirstLatency));
            if (own.answeredAt >= call.sentAt && call.target->answeredAt >= call.sentAt) continue;
            if (t_ < silentAt) {
                lookAt(silentAt);
                continue;
            }
            if (call.target->answeredAt < call.sentAt) call.target->silent = true;
            if (own.answeredAt < call.sentAt && own.silent++ == 0) hushed_.push_back(&own);
        }
    }

    void unhush() {
        for (Owner* own : hushed_) own->silent = 0;
        hushed_.clear();
    }

    // Worth of the message if it is delivered then.
    double worth(const Message& m, Sec at) const {
        const MessageClass& g = set_.messageClasses[m.grade];
        if (at > m.deadline) return 0;
        const Sec late = std::max(0.0, at - m.aimAt);
        if (set_.decay == Decay::exponential)
            return g.value * std::max(g.lateValueShare, std::exp2(-late / seconds(g.deliveryTarget)));
        return g.value * (1 - (1 - g.lateValueShare) * late /
                                  std::max(seconds(g.timeToLive - g.deliveryTarget), kTick));
    }

    // What sending now rather than a little later saves, for each second that a slot is held for it.
    double gain(const Message& m) {
        const Sec takes = std::max(owner(m).latency, kLeastTakes);
        return (worth(m, t_ + takes) - worth(m, t_ + takes + kHorizon)) / takes;
    }

    // Danger: what waited through a restart is mostly past its aim, and a steady load of fresh messages, each
    // worth more, would pass it by until its deadline. Its client can't hand it in again, so it goes first
    // until it has been tried. It may hurt the fresh ones, for as long as that lasts.
    void pump() {
        struct Ready {
            std::uint64_t seq;
            bool found;
            double gain;
            Sec aimAt;
        };
        std::vector<Ready> ready;
        for (const auto& [seq, m] : messages_) {
            if (m.ended || m.out()) continue;
            if (t_ < m.notBefore) lookAt(m.notBefore);
            else ready.push_back({seq, m.found, gain(m), m.aimAt});
        }
        std::stable_sort(ready.begin(), ready.end(), [](const Ready& a, const Ready& b) {
            if (a.found != b.found) return a.found;
            return a.gain != b.gain ? a.gain > b.gain : a.aimAt < b.aimAt;
        });
        starved_ = false;
        for (const auto& [seq, found, gain, aimAt] : ready) {
            Message& m = messages_.at(seq);
            if (m.price > 0) {
                if (!m.place->bucket.pay(m.price, t_)) {
                    end(seq);
                    continue;
                }
                m.paid += std::exchange(m.price, 0.0);
            }
            if (Target* target = choose(seq, m)) send(m, *target);
        }
    }

    // The one gate: every send passes here, or waits.
    bool open(std::uint64_t seq, const Message& m, Target& target) {
        const MessageClass& g = set_.messageClasses[m.grade];
        if (!target.usable) return false;
        Owner& own = owner(target);
        if (t_ < own.waitUntil) return lookAt(own.waitUntil);
        if (m.key) {
            const auto& turns = turns_.at(*m.key);
            if (turns.line.front() != seq) return false;
            if (m.attempts == 0 && t_ < turns.restUntil) return lookAt(turns.restUntil);
        }
        if (m.mayHaveRun) {
            if (m.effect == Effect::unsafe) return false;
            if (m.effect == Effect::keyed && (t_ + kTick > m.keyedFrom + seconds(g.keyWindow) ||
                                              (g.keyScope == KeyScope::zone && target.zone != m.keyedZone)))
                return false;
        }
        if (m.attempts >= set_.maxAttempts || t_ >= m.deadline) return false;
        if (!believed(own)) return false;
        const double cap = own.troubled() ? std::min(own.window, windowMost() / 2.0) : own.window;
        const int routes = target.apart ? static_cast<int>(m.place->targets.size()) : 1;
        if (credit(own, routes) < 1)
            return lookAt(t_ + std::min((1 - own.credit) / pace(own, routes), kSoon) + kGuard);
        if (own.calls >= std::max(1, static_cast<int>(cap)) || m.place->calls >= windowMost()) return false;
        starved_ = starved_ || slotsUsed_ >= set_.slots;
        return slotsUsed_ < set_.slots;
    }

    Target* choose(std::uint64_t seq, const Message& m) {
        const auto& targets = m.place->targets;
        const bool unsafe = m.effect == Effect::unsafe;
        const bool spoilt = std::none_of(targets.begin(), targets.end(), [](const Target* x) {
            return x->usable && x->streak == 0 && !x->silent;
        });
        Target* found = nullptr;
        std::pair<int, double> best;
        for (Target* target : targets) {
            const bool doubtful = (target->streak > 0 || target->silent) && !spoilt;
            if (doubtful && t_ < target->avoidUntil) lookAt(target->avoidUntil);
            if (doubtful && (t_ < target->avoidUntil || unsafe || target->calls > 0)) continue;
            if (!open(seq, m, *target)) continue;
            // Danger: all senders hold one list in one order; the first of equals would get all lone calls,
            // of a few senders' as of hundreds', and its fellows none. Each sender has an order of its own,
            // and keeps to it: so connections are used again.
            const auto rank = std::make_pair(target->calls, target->order);
            if (!found || rank < best) found = target, best = rank;
        }
        return found;
    }

    void send(Message& m, Target& target) {
        Place& dest = *m.place;
        Owner& own = owner(target);
        m.call = ++lastCall_;
        calls_[m.call] = {target.calls == 0 && t_ < target.keptUntil, &target, t_};
        ++slotsUsed_;
        ++target.calls;
        ++own.calls;
        ++dest.calls;
        own.credit -= 1;
        own.belief -= 1;
        own.sent = own.sent * std::exp(-(t_ - own.sentAt) / kRateSpan) + 1 / kRateSpan;
        own.sentAt = t_;
        if (m.attempts++ == 0) dest.bucket.firstTry();
        m.sentAt = t_;
        const double usual = std::max(own.latency, kFirstLatency);
        const double extra = m.effect == Effect::unsafe ? kUnsafePatience : 1;
        const Sec until = std::min(m.deadline, t_ + extra * std::max(kLeastPatience, kPatience * usual));
        const Sec last = lastSend(m);
        actions_.push_back(Send{m.id, target.id, start_ + duration(until),
                                last == kNever ? Time::max() : start_ + duration(last)});
    }

    // Danger: calls that get no answer, each at another destination, hold all slots and the well destinations
    // starve, from whatever cause. While a message waits for nothing but a slot, one call a turn is called
    // off: the longest out, at an endpoint silent since, one that may be repeated before one that may not. It
    // may hurt a message that would still have been answered.
    void relieve() {
        if (!starved_ || !set_.mayCancel) return;
        Message* worst = nullptr;
        for (auto& [seq, m] : messages_) {
            if (!m.out() || m.ended || m.calledOff) continue;
            const Call& call = calls_.at(m.call);
            const bool unsafe = m.effect == Effect::unsafe;
            const Sec jamAt = call.sentAt + kJamPatience * (unsafe ? kJamUnsafe : 1);
            if (t_ < jamAt) lookAt(jamAt);
            if (!call.target->silent || t_ < jamAt) continue;
            if (!worst || call.sentAt < calls_.at(worst->call).sentAt) worst = &m;
        }
        if (!worst) return;
        worst->calledOff = true;
        actions_.push_back(Cancel{worst->id, worst->attempts - 1});
    }

    // Danger: some endpoints take few connections, idle ones counted, and senders that each keep one
    // shut each other out. A connection refused at once, or turned away, shows such a kind: none is kept
    // there where met seldom. Those who keep one learn it from the kind's other endpoints. A crash refuses
    // at once too, but goes on doing so: refusals on end mean that, and a fleet that then kept none would
    // pay for a new one with every call long after.
    // Danger: what stands between may drop idle connections unseen, and the next call on one gets no answer.
    // Once many more calls get none on kept connections than on new ones, none is kept for a while. It may
    // hurt where chance alone makes the difference, for the price of new connections.
    void part() {
        if (failed_[true] > kDropped + failed_[false]) droppedUntil_ = t_ + kScarce / 2, failed_[true] = 0;
        for (const auto& id : idle_) {
            const auto it = targets_.find(id);
            if (it == targets_.end() || it->second.calls > 0) continue;
            Target& target = it->second;
            if (const auto next = later_.find(id); next != later_.end()) {
                list(Endpoint(next->second));
                lookAt(t_);
                continue;
            }
            const Sec until = std::max(droppedUntil_, scarceUntil_[target.kind]);
            const bool close = sparse(owner(target)) && t_ < until;
            target.keptUntil = close ? 0 : t_ + seconds(set_.keepAlive);
            if (close) actions_.push_back(CloseIdleConnections{id});
        }
        idle_.clear();
    }

    // Asks to be woken when the first thing that time alone changes falls due.
    void wake() {
        if (set_.listOnRequest) lookAt(followAt_);
        if (wakeAt_ <= t_ + kTick / 2) wakeAt_ = kNever;  // rounding may bring it a little early
        const Sec next = std::max(lookAt_, t_ + kTick);
        if (next >= wakeAt_) return;
        wakeAt_ = next;
        actions_.push_back(SetTimer{duration(next - t_)});
    }
    bool lookAt(Sec at) {
        lookAt_ = std::min(lookAt_, at);
        return false;
    }

    // ---- helpers ----
    int windowMost() const { return std::max(1, static_cast<int>(kWindowPart * set_.slots)); }
    double random() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
    Place& place(DestinationId id) {
        auto [it, fresh] = places_.try_emplace(id);
        if (fresh) it->second.own.window = windowMost();
        return it->second;
    }
    Owner& owner(Target& target) { return target.apart ? target.own : place(target.destination).own; }
    const Owner& owner(const Message& m) {
        const Place& dest = *m.place;
        return dest.targets.empty() || !dest.targets.front()->apart ? dest.own : dest.targets.front()->own;
    }

    struct Turns {
        std::deque<std::uint64_t> line;
        Sec restUntil = 0;
    };

    Settings set_;
    std::mt19937_64 chance_;
    double lone_ = 0;  // calls a second that a rare message stands for
    double coldRoom_ = kColdRoom;
    bool started_ = false;
    Time start_{};
    Sec t_ = 0;
    std::uint64_t lastSeq_ = 0, lastCall_ = 0;
    int slotsUsed_ = 0;
    bool starved_ = false;  // a message waits for nothing but a slot
    Sec lookAt_ = kNever;   // when time alone changes something next
    Sec wakeAt_ = kNever, followAt_ = 0, followPause_ = 0;
    std::map<std::uint64_t, Message> messages_;
    std::unordered_map<MessageId, std::uint64_t> byId_;
    std::map<EndpointId, Target> targets_;
    std::unordered_map<DestinationId, Place> places_;
    std::map<std::uint64_t, Call> calls_;
    std::map<OrderKey, Turns> turns_;
    std::vector<Owner*> hushed_;  // owners with silent calls
    double failed_[2] = {0, 0};  // smoothed shares of calls without an answer, on new and on kept connections
    bool reports_ = false;       // an answer has told of a limit, or that there is none
    Sec droppedUntil_ = 0;
    std::map<int, Sec> scarceUntil_;        // by kind: its endpoints take few connections
    std::map<EndpointId, Endpoint> later_;  // ids that stand for another destination once their calls end
    std::vector<EndpointId> idle_;          // endpoints whose last call ended in this turn
    std::uint64_t lists_ = 0;               // whole lists heard
    std::vector<Action> actions_;
};

Sender::Sender(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;
std::vector<DestinationHealth> Sender::destinationHealth() const { return impl_->destinationHealth(); }
std::vector<RetryBucketState> Sender::retryBuckets() const { return impl_->retryBuckets(); }
std::vector<Action> Sender::turn(Time now, const std::vector<Event>& events) {
    return impl_->turn(now, events);
}

}  // namespace stoathub
