// The facade: what is refused, what is asked again just before the first byte, and what a restart brings
// back.
#include "decisions/decisions.hpp"

#include <algorithm>
#include <set>
#include <thread>
#include <vector>

#include "check.hpp"
#include "config/config.hpp"
#include "log/log.hpp"

using namespace laurelhaven;
using decisions::AttemptResult;
using decisions::AttemptStatus;
using decisions::DueAttempt;
using Kind = decisions::SubmissionResult::Kind;
using std::chrono::milliseconds;

namespace {

struct Memory : store::Store {
    std::set<std::string> live, owed;
    int attempts = 0, outcomes = 0, unsents = 0;
    bool room = true;
    store::RecoveredState recover() override { return {}; }
    bool accept(const store::StoredMessage& m) override { return room && live.insert(m.id).second; }
    std::optional<store::AttemptNumber> beginAttempt(const std::string&, store::RecordMs) override {
        ++attempts;
        if (!room) return {};
        return static_cast<store::AttemptNumber>(attempts);
    }
    bool attemptNotSent(const std::string&, store::AttemptNumber) override { return ++unsents > 0; }
    bool recordOutcome(const std::string&, store::AttemptNumber, store::AttemptOutcome) override {
        return ++outcomes > 0;
    }
    bool recordUnsentFailure(const std::string&, store::RecordMs) override { return ++outcomes > 0; }
    bool remove(const std::string& id) override {
        CHECK(live.erase(id) == 1);
        return true;
    }
    bool recordFinalState(const store::PendingNotice& notice) override {
        CHECK(live.erase(notice.id) == 1);
        return owed.insert(notice.id).second;
    }
    bool noticeAcknowledged(const std::string& id) override { return owed.erase(id) == 1; }
};

constexpr int kMaxOpen = 6;

struct Rig {
    explicit Rig(const std::string& entries = check::entry("a", "127.0.0.1:9", 7))
        : config(config::fromText(
              check::configuration("127.0.0.1:0", "127.0.0.1:1", entries, check::settings(4, kMaxOpen)),
              {{"BALANCER_STATE", "/tmp"}})),
          facade(config, memory,
                 {[this](const store::PendingNotice& notice) { ends.push_back(notice); },
                  [this](const std::string& endpoint) { closed.push_back(endpoint); }}) {
        facade.updateEndpoints(config.known, true);
    }
    ~Rig() { facade.stop(); }
    decisions::SubmissionResult hand(const std::string& id, milliseconds within = milliseconds(20000),
                                     int dest = 7, const std::string& body = "body") {
        decisions::Submission message;
        message.id = id;
        message.key = "k";
        message.destination = static_cast<std::uint64_t>(dest);
        message.deadline = decisions::Steady::now() + within;
        message.body = std::make_shared<const std::string>(body);
        return facade.submit(message);
    }
    void list(const std::string& entries) {
        std::string why;
        facade.updateEndpoints(*listing::parse(check::list(2, false, entries), why));
    }
    void tickUntil(const std::function<bool()>& done) {
        while (!done()) CHECK(facade.tick());
    }

    Memory memory;
    config::Config config;
    std::vector<store::PendingNotice> ends;
    std::vector<std::string> closed;
    decisions::Decisions facade;
};

AttemptResult ended(AttemptStatus ending, milliseconds wait = {}) {
    return AttemptResult{ending, false, wait, {}, {}};
}

void deliveredIsForgotten() {
    Rig rig;
    CHECK(rig.hand("m").kind == Kind::accepted && rig.memory.live.count("m"));
    CHECK(rig.hand("m").kind == Kind::accepted &&
          rig.facade.heldMessages() == 1);  // the same request once more
    const auto call = rig.facade.takeDueAttempt();
    CHECK(call->id == "m" && call->endpoint == "a" && call->address == "127.0.0.1:9" &&
          *call->body == "body");
    CHECK(rig.facade.tryBeginAttempt(*call) && rig.facade.tryBeginAttempt(*call) && rig.memory.attempts == 1);
    rig.facade.recordResult(*call, ended(AttemptStatus::delivered));
    CHECK(rig.facade.heldMessages() == 0 && rig.facade.attemptsInFlight() == 0 && rig.memory.live.empty() &&
          rig.ends.empty());
    CHECK(!rig.facade.tryBeginAttempt(*call));
}

void refusals() {
    Rig rig;
    for (int i = 0; i < kMaxOpen; ++i) CHECK(rig.hand("m" + std::to_string(i)).kind == Kind::accepted);
    const auto full = rig.hand("more");
    CHECK(full.kind == Kind::refused && full.retryAfter.count() > 0 && !rig.memory.live.count("more"));
    Rig other;
    CHECK(other.hand("late", milliseconds(0)).kind == Kind::refused);
    // Refused in its own turn: what was stored for it is over on record too.
    const auto spent = other.hand("spent", milliseconds(2));
    CHECK(spent.kind == Kind::refused && spent.retryAfter.count() > 0);
    CHECK(other.memory.live.empty() && other.ends.empty() && other.facade.heldMessages() == 0);
    other.memory.room = false;
    const auto stored = other.hand("m");
    CHECK(stored.kind == Kind::refused && stored.retryAfter.count() > 0 && other.facade.heldMessages() == 0);
}

// An id that is open already belongs to its first hand-in, and a destination must be one of the list's.
void repeatsAndUnknownDestinations() {
    Rig rig;
    CHECK(!rig.hand("m").duplicate && rig.hand("m").duplicate && rig.facade.heldMessages() == 1);
    for (int dest = 100; dest < 2100; ++dest) {
        const auto verdict = rig.hand("x" + std::to_string(dest), milliseconds(20000), dest);
        CHECK(verdict.kind == Kind::refused && verdict.retryAfter.count() > 0);
    }
    CHECK(rig.facade.heldMessages() == 1 && rig.memory.live.size() == 1 &&
          rig.facade.tableSizes().destinations == 1);
    // Another message under that id: its client must not hear that it was taken on.
    CHECK(rig.hand("m", milliseconds(20000), 7, "other").kind == Kind::conflict);
    const auto call = rig.facade.takeDueAttempt();
    CHECK(*call->body == "body" && rig.facade.tryBeginAttempt(*call));
    // It was handed in twice, and told so: it is owed until neither of the two may have heard that.
    rig.facade.withdraw("m");
    CHECK(rig.memory.live.size() == 1);
    rig.facade.withdraw("m");
    CHECK(rig.memory.live.empty());
    CHECK(rig.hand("m").kind == Kind::conflict);  // over, but its call is still out
}

// Endpoints come and go under new ids, at addresses seen before: no connection outlives its endpoint, and
// nothing is remembered of it.
void endpointsThatGoAreForgotten() {
    Rig rig;
    for (int i = 0; i < 3000; ++i) {
        const auto next = check::entry("e" + std::to_string(i + 1), "127.0.0.1:9", 7);
        rig.list(next + "," + check::entry(i ? "e" + std::to_string(i) : "a", "127.0.0.1:9", 7, "DELETED"));
    }
    CHECK(rig.facade.tableSizes().endpoints == 1 && rig.closed.size() == 3000 && rig.closed[1] == "e1");
    rig.hand("m");
    const auto call = rig.facade.takeDueAttempt();
    CHECK(call->endpoint == "e3000" && rig.facade.tryBeginAttempt(*call));
    rig.list(check::entry("e3000", "127.0.0.1:9", 7, "DRAINING"));
    CHECK(rig.closed.size() == 3001);
    rig.facade.recordResult(*call, ended(AttemptStatus::rejected, milliseconds(20)));
    CHECK(rig.facade.tableSizes().waits == 1);
    std::this_thread::sleep_for(milliseconds(30));
    rig.list(check::entry("f", "127.0.0.1:9", 7));
    CHECK(rig.facade.tableSizes().waits == 0);
}

// Each of these came between the decision and the first byte.
void askedAgainBeforeTheFirstByte() {
    for (int why = 0; why < 6; ++why) {
        Rig rig;
        rig.hand("m");
        rig.hand("n");
        const auto m = rig.facade.takeDueAttempt(), n = rig.facade.takeDueAttempt();
        if (why == 0) {
            CHECK(rig.facade.tryBeginAttempt(*m));
            rig.facade.recordResult(*m, ended(AttemptStatus::rejected, milliseconds(900)));
        }
        if (why == 1) rig.list(check::entry("a", "127.0.0.1:9", 7, "DRAINING"));
        if (why == 2) rig.list(check::entry("a", "127.0.0.1:9", 7, "DELETED"));
        if (why == 3) rig.facade.withdraw("n");
        if (why == 4) rig.list(check::entry("a", "127.0.0.1:10", 7));  // it listens elsewhere now
        if (why == 5) rig.memory.room = false;                         // its attempt can't be put on record
        const int before = rig.memory.outcomes;
        CHECK(!rig.facade.tryBeginAttempt(*n));
        rig.facade.recordResult(*n, ended(AttemptStatus::unsent));
        CHECK(rig.memory.outcomes == before && rig.facade.attemptsInFlight() == (why == 0 ? 0u : 1u));
        CHECK(rig.facade.heldMessages() == (why == 3 ? 1u : 2u));
    }
}

void toldWaitHoldsEveryMessage() {
    Rig rig;
    rig.hand("m");
    const auto call = rig.facade.takeDueAttempt();
    CHECK(rig.facade.tryBeginAttempt(*call));
    const auto told = decisions::Steady::now();
    rig.facade.recordResult(*call, ended(AttemptStatus::rejected, milliseconds(300)));
    rig.hand("n");
    std::thread ticker([&] {
        while (rig.facade.tick()) {
        }
    });
    CHECK(rig.facade.takeDueAttempt());
    CHECK(decisions::Steady::now() - told >= milliseconds(300));
    rig.facade.stop();
    ticker.join();
}

void endsComeOnceAndAtOnce() {
    Rig rig;
    rig.list(check::entry("b", "127.0.0.1:9", 8));
    rig.list(check::entry("b", "127.0.0.1:9", 8, "DELETED"));
    CHECK(rig.hand("nowhere", milliseconds(60), 8).kind == Kind::accepted);  // no endpoint is listed just now
    rig.tickUntil([&] { return !rig.ends.empty(); });
    CHECK(rig.ends.size() == 1 && rig.ends[0].id == "nowhere" &&
          rig.ends[0].finalState == store::FinalState::returned);
    CHECK(rig.memory.owed.count("nowhere") && rig.facade.heldMessages() == 0);
    rig.facade.acknowledgeNotices(std::vector<std::string>{"nowhere"});
    CHECK(rig.memory.owed.empty());
    CHECK(rig.hand("hung", milliseconds(150)).kind == Kind::accepted);
    const auto call = rig.facade.takeDueAttempt();
    CHECK(rig.facade.tryBeginAttempt(*call) &&
          call->tryUntil <= decisions::Steady::now() + milliseconds(150));
    std::this_thread::sleep_until(call->tryUntil);
    rig.facade.recordResult(*call, ended(AttemptStatus::timedOut));
    CHECK(rig.ends.size() == 2 && rig.ends[1].id == "hung" && rig.facade.heldMessages() == 0);
}

store::StoredMessage left(const std::string& id, store::RecordMs within, std::uint32_t attempts,
                          store::RecordMs ranAgo) {
    const auto now =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    store::StoredMessage m;
    m.id = id;
    m.destination = 7;
    m.messageClass = "notice";
    m.effect = 1;
    m.key = "k";
    m.deadline = now.count() + within;
    const auto sentAt = ranAgo > 0 ? now.count() - ranAgo : 0;
    m.attempts = store::AttemptHistory(
        {.attemptCount = attempts, .lastNumber = attempts, .sentAt = sentAt, .mayHaveRunSince = sentAt});
    m.body = std::make_shared<const std::string>("body");
    return m;
}

void restartKeepsWhatIsOwed() {
    Rig rig;
    const std::vector<store::StoredMessage> all{left("late", -5, 0, 0), left("spent", 9000, 8, 100),
                                                left("window", 9000, 1, 15001), left("fresh", 9000, 0, 0),
                                                left("again", 9000, 2, 5000)};
    for (const auto& m : all) rig.memory.live.insert(m.id);
    CHECK(rig.facade.restore(all) == 1);  // told apart: its deadline passed while nothing ran
    // Time, attempts or key window used up: their ends come at once, not at the deadline.
    std::set<std::string> ends;
    for (const auto& end : rig.ends) ends.insert(end.id);
    CHECK((ends == std::set<std::string>{"late", "spent", "window"}));
    CHECK(rig.facade.takeDueAttempt()->id == "fresh");
    while (rig.facade.attemptsInFlight() < 2) rig.facade.tick();  // after its backoff
    const auto call = rig.facade.takeDueAttempt();
    CHECK(call->id == "again" && call->attempt == 2 && rig.facade.tryBeginAttempt(*call));
    rig.facade.recordResult(*call, ended(AttemptStatus::delivered));
    CHECK(rig.memory.live.size() == 1 && rig.ends.size() == 3);
}

// Failures on record make an outage after a restart, unless what the last life knew of outages was kept: they
// may be long ago.
void failuresThatWereKnownDoNotCountTwice() {
    const auto down = [](store::RecordMs knownFor) {
        Rig rig;
        std::vector<store::StoredMessage> all;
        for (int i = 0; i < 3; ++i) {
            all.push_back(left("m" + std::to_string(i), 9000, 1, 5000));
            auto attempts = all.back().attempts.state();
            attempts.failures = 1;
            attempts.failedAt = attempts.sentAt;
            all.back().attempts = store::AttemptHistory(attempts);
            rig.memory.live.insert(all.back().id);
        }
        rig.facade.restore(all, knownFor == 0 ? 0 : all.back().attempts.lastFailureAt() + knownFor);
        const auto standings = rig.facade.destinationHealth();
        return std::any_of(standings.begin(), standings.end(),
                           [](const auto& s) { return s.destination == 7 && s.down; });
    };
    CHECK(down(0) && down(-1000) && !down(1000));
}

// A connect takes its time, and the receivers forget the key meanwhile.
void aRepeatThatMissedItsWindowDoesNotBegin() {
    Rig rig;
    const auto again = left("again", 9000, 1, 14200);  // of 15 s
    rig.memory.live.insert("again");
    rig.facade.restore({again});
    while (rig.facade.attemptsInFlight() < 1) rig.facade.tick();  // after its backoff
    const auto call = rig.facade.takeDueAttempt();
    CHECK(rig.facade.tryBeginAttempt(*call));
    std::this_thread::sleep_for(milliseconds(900));
    CHECK(call->tryUntil > decisions::Steady::now() && !rig.facade.tryBeginAttempt(*call));
}

// A restart with a configuration that has fewer classes: nobody would ever end what was taken for the others.
void aClassThatIsNoMoreEndsItsMessages() {
    Rig rig;
    auto ran = left("ran", 9000, 1, 5000), fresh = left("fresh", 9000, 0, 0),
         known = left("known", 9000, 0, 0);
    ran.messageClass = fresh.messageClass = "gone";
    for (const auto* m : {&ran, &fresh, &known}) rig.memory.live.insert(m->id);
    rig.facade.restore({ran, fresh, known});
    CHECK(rig.ends.size() == 2 && rig.facade.heldMessages() == 1);
    CHECK(rig.ends[0].id == "ran" && rig.ends[0].finalState == store::FinalState::failed);
    CHECK(rig.ends[1].id == "fresh" && rig.ends[1].finalState == store::FinalState::returned);
}

// The classes stand in another order than when these were taken, or have another effect: each is still of its
// own class, and repeated only if both the effect that it was taken with and that of now allow it.
void aClassIsKnownByItsNameAndRepeatedIfBothEffectsAllow() {
    struct Case {
        const char* grade;
        int effect;
        bool ran, key;
        bool called;  // or failed at once
    };
    for (const Case& c : {Case{"alert", 2, true, true, false}, Case{"alert", 2, false, true, true},
                          Case{"notice", 1, true, true, true}, Case{"notice", 2, true, true, false},
                          Case{"notice", 0, true, true, true}, Case{"notice", 0, true, false, false},
                          Case{"alert", 0, true, true, false}, Case{"plain", 0, true, false, true},
                          Case{"plain", 1, true, true, false}, Case{"plain", 2, true, true, false}}) {
        auto settings = check::settings(4, kMaxOpen);
        const std::string begin = R"("grades":[)", span = R"("give-up-ns":28000000000,"slo-ns":4000000000},)";
        settings.insert(settings.find(begin) + begin.size(),
                        R"({"name":"alert","effect":"side_effect",)" + span +
                            R"({"name":"plain","effect":"pure",)" + span);
        const auto config = config::fromText(
            check::configuration("127.0.0.1:0", "127.0.0.1:1", check::entry("a", "127.0.0.1:9", 7), settings),
            {{"BALANCER_STATE", "/tmp"}});
        Memory memory;
        std::vector<store::PendingNotice> ends;
        decisions::Decisions facade(config, memory,
                                    {[&](const store::PendingNotice& e) { ends.push_back(e); }, {}});
        facade.updateEndpoints(config.known, true);
        auto m = left("m", 9000, c.ran ? 1 : 0, c.ran ? 1000 : 0);
        m.messageClass = c.grade;
        m.effect = c.effect;
        if (!c.key) m.key.clear();
        memory.live.insert("m");
        facade.restore({m});
        while (ends.empty() && facade.attemptsInFlight() == 0) CHECK(facade.tick());
        CHECK(ends.empty() == c.called && (facade.attemptsInFlight() == 1) == c.called);
        CHECK(c.called || ends[0].finalState == store::FinalState::failed);
        facade.stop();
    }
}

// A wait that outlasts the message: its end comes at once, with the wait, and not near its deadline.
void whatIsGivenUpIsAnsweredAtOnce() {
    Rig rig;
    rig.hand("m");
    const auto call = rig.facade.takeDueAttempt();
    CHECK(rig.facade.tryBeginAttempt(*call));
    rig.facade.recordResult(*call, ended(AttemptStatus::rejected, milliseconds(60000)));
    CHECK(rig.ends.size() == 1 && rig.ends[0].finalState == store::FinalState::returned &&
          rig.ends[0].retryAfterMs == 3000);
    const auto verdict = rig.hand("n");
    CHECK(verdict.kind == Kind::refused && verdict.retryAfter == milliseconds(3000));
    CHECK(rig.facade.heldMessages() == 0 && rig.memory.live.empty());
}

void stoppingLeavesTheRestToTheStore() {
    Rig rig;
    rig.hand("m");
    const auto call = rig.facade.takeDueAttempt();
    CHECK(rig.facade.tryBeginAttempt(*call));
    rig.facade.stopDispatching();
    CHECK(!rig.facade.takeDueAttempt());
    rig.facade.stop();
    CHECK(call->cancelToken.stop_requested() && !rig.facade.tick());
    rig.facade.recordResult(*call, ended(AttemptStatus::cancelled));
    CHECK(rig.memory.live.count("m") && rig.memory.outcomes == 0 && rig.ends.empty());
    CHECK(rig.hand("n").kind == Kind::refused && !rig.memory.live.count("n"));
}

}  // namespace

int main() {
    log::setLevel(log::Level::off);
    deliveredIsForgotten();
    refusals();
    repeatsAndUnknownDestinations();
    endpointsThatGoAreForgotten();
    askedAgainBeforeTheFirstByte();
    toldWaitHoldsEveryMessage();
    endsComeOnceAndAtOnce();
    restartKeepsWhatIsOwed();
    failuresThatWereKnownDoNotCountTwice();
    aRepeatThatMissedItsWindowDoesNotBegin();
    aClassThatIsNoMoreEndsItsMessages();
    aClassIsKnownByItsNameAndRepeatedIfBothEffectsAllow();
    whatIsGivenUpIsAnsweredAtOnce();
    stoppingLeavesTheRestToTheStore();
}
