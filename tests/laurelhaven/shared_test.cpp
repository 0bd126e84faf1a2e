// Many threads share one decisions facade over a real journal: submissions, attempts and their results,
// updates of the endpoint list, ticks, withdrawals and a stop, on the same destinations. Counts kept outside
// the facade must match it: no retry token is lost or created, each message ends once, and no message has two
// attempts in flight. Also run under ThreadSanitizer.
#include <atomic>
#include <cmath>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include "check.hpp"
#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "log/log.hpp"
#include "store/journal.hpp"

using namespace laurelhaven;
using decisions::AttemptStatus;
using std::chrono::milliseconds;

namespace {

constexpr int kSubmitters = 4, kMessagesPerSubmitter = 120, kWorkers = 8, kDestinations = 3;

/// What happened to one message, as observed outside the facade.
struct Observed {
    std::atomic<int> inFlight{0}, delivered{0}, noticed{0}, refused{0};
    std::atomic<bool> accepted{false}, withdrawn{false};
    // Used only by the worker that has its attempt.
    double tokensDue = 0;  // tokens for its next attempt
    bool reached = false;  // some attempt reached an endpoint
};

struct Fixture {
    Fixture()
        : config(config::fromText(
              check::configuration("127.0.0.1:0", "127.0.0.1:1", entries(0), check::settings(kWorkers, 600)),
              {{"BALANCER_STATE", folder.path}})),
          journal(folder.path, 3'000'000),
          facade(config, journal,
                 {[this](const decisions::UndeliveredEnd& end) { ++seen[number(end.notice.id)].noticed; },
                  [](const std::string&) {}}) {
        journal.recover();
        facade.updateEndpoints(config.known, true);
    }
    /// The endpoints of a round. Some are replaced in later rounds, and at times one destination has none.
    static std::string entries(int round) {
        std::string all;
        for (int d = 0; d < kDestinations; ++d)
            for (int e = 0; e < 2; ++e) {
                if (d == 0 && round % 8 == 7) continue;
                const int version = e == 0 ? round / 3 : 0;
                all += (all.empty() ? "" : ",") + check::entry("e" + std::to_string(d) + std::to_string(e) +
                                                                   "-" + std::to_string(version),
                                                               "127.0.0.1:" + std::to_string(9 + e), 7 + d);
            }
        return all;
    }
    static int number(const std::string& id) { return std::stoi(id.substr(1)); }

    const check::Folder folder;
    config::Config config;
    store::Journal journal;
    std::vector<Observed> seen{static_cast<std::size_t>(kSubmitters * kMessagesPerSubmitter)};
    std::mutex paidMutex;
    std::map<std::uint64_t, double> paid;  // by destination: tokens for retries that were sent
    decisions::Decisions facade;
};

void submitMessages(Fixture& fixture, int index) {
    std::mt19937 random(static_cast<unsigned>(index));
    for (int i = 0; i < kMessagesPerSubmitter; ++i) {
        const int n = index * kMessagesPerSubmitter + i;
        decisions::Submission message;
        message.id = "m" + std::to_string(n);
        message.key = "k" + std::to_string(n);
        message.destination = 7 + random() % kDestinations;
        message.deadline = decisions::Steady::now() + milliseconds(800 + random() % 1200);
        message.body = std::make_shared<const std::string>("body");
        auto& seen = fixture.seen[static_cast<std::size_t>(n)];
        const auto submission = fixture.facade.submit(message);
        if (submission.kind == decisions::SubmissionResult::Kind::accepted) {
            seen.accepted = true;
            if (random() % 8 == 0) fixture.facade.submit(message);  // a duplicate submission
            if (random() % 16 == 0) {
                seen.withdrawn = true;
                fixture.facade.withdraw(message.id);
            }
        } else {
            ++seen.refused;
        }
        std::this_thread::sleep_for(milliseconds(random() % 25));
    }
}

void runAttempts(Fixture& fixture, int index) {
    std::mt19937 random(static_cast<unsigned>(100 + index));
    while (const auto attempt = fixture.facade.takeDueAttempt()) {
        auto& seen = fixture.seen[static_cast<std::size_t>(Fixture::number(attempt->id))];
        CHECK(++seen.inFlight == 1);  // no two attempts at a time
        decisions::AttemptResult result;
        if (fixture.facade.tryBeginAttempt(*attempt)) {
            std::this_thread::sleep_for(milliseconds(random() % 6));
            constexpr AttemptStatus kFailures[] = {AttemptStatus::error,        AttemptStatus::rejected,
                                                   AttemptStatus::rejected,     AttemptStatus::timedOut,
                                                   AttemptStatus::noConnection, AttemptStatus::reset};
            result.status = random() % 4 < 3 ? AttemptStatus::delivered : kFailures[random() % 6];
            if (result.status == AttemptStatus::rejected && random() % 2)
                result.wait = milliseconds(random() % 60);
            if (result.status == AttemptStatus::rejected) result.allowanceLeft = 0, result.allowedRate = 50;
            {
                const std::lock_guard lock(fixture.paidMutex);
                fixture.paid[attempt->destination] += seen.tokensDue;
            }
            // A message that has reached no endpoint has not been tried, and its next attempt costs nothing.
            seen.reached = seen.reached || result.status != AttemptStatus::noConnection;
            seen.tokensDue = !seen.reached ? 0 : result.status == AttemptStatus::rejected ? 10 : 5;
            seen.delivered += result.status == AttemptStatus::delivered;
        }
        --seen.inFlight;
        fixture.facade.recordResult(*attempt, result);
    }
}

void tokensAndEndsMatchTheCounts() {
    Fixture fixture;
    std::atomic<bool> done{false};
    std::vector<std::thread> submitters, workers, others;
    others.emplace_back([&] {
        while (fixture.facade.tick()) {
        }
    });
    others.emplace_back([&] {
        for (int round = 1; !done; ++round) {
            std::string why;
            fixture.facade.updateEndpoints(
                *listing::parse(check::list(round + 1, true, Fixture::entries(round)), why));
            std::this_thread::sleep_for(milliseconds(7));
        }
    });
    others.emplace_back([&] {  // reads what the roster and the operators read
        while (!done) {
            for (const auto& b : fixture.facade.retryBucketStates()) {
                CHECK(b.tokens >= 0 && b.tokens <= b.capacity);
                CHECK(std::abs(b.capacity + b.gained - b.spent - b.tokens) < 1e-6);
            }
            fixture.facade.destinationHealth();
            CHECK(fixture.facade.tableSizes().held <= 600 && fixture.facade.attemptsInFlight() <= kWorkers);
            fixture.facade.pendingLoad(7);
            std::this_thread::sleep_for(milliseconds(3));
        }
    });
    for (int i = 0; i < kWorkers; ++i) workers.emplace_back([&, i] { runAttempts(fixture, i); });
    for (int i = 0; i < kSubmitters; ++i) submitters.emplace_back([&, i] { submitMessages(fixture, i); });
    for (auto& thread : submitters) thread.join();
    while (fixture.facade.heldMessages() > 0) std::this_thread::sleep_for(milliseconds(5));
    done = true;
    for (const auto& b : fixture.facade.retryBucketStates())
        CHECK(std::abs(b.spent - fixture.paid[b.destination]) <
              1e-6);  // each debit paid for a retry that was sent
    fixture.facade.stop();
    for (auto& thread : workers) thread.join();
    for (auto& thread : others) thread.join();
    double retried = 0;
    for (const auto& [destination, tokens] : fixture.paid) retried += tokens;
    CHECK(retried > 0 && fixture.facade.attemptsInFlight() == 0);
    int delivered = 0;
    for (const auto& s : fixture.seen) {
        const int ends = s.delivered + s.noticed;
        CHECK(s.accepted ? s.refused == 0 && (s.withdrawn ? ends <= 1 : ends == 1)
                         : s.refused == 1 && ends == 0);
        delivered += s.delivered;
    }
    CHECK(delivered > kSubmitters * kMessagesPerSubmitter / 8);
    // No message is left in the journal; it may still hold notices that the platform has not acknowledged.
    CHECK(store::Journal(fixture.folder.path, 3'000'000).recover().messages.empty());
}

// After a stop under load the journal still holds every accepted message that has not ended.
void stopKeepsAcceptedMessages() {
    Fixture fixture;
    std::vector<std::thread> threads;
    threads.emplace_back([&] {
        while (fixture.facade.tick()) {
        }
    });
    for (int i = 0; i < kWorkers; ++i) threads.emplace_back([&, i] { runAttempts(fixture, i); });
    for (int i = 0; i < kSubmitters; ++i) threads.emplace_back([&, i] { submitMessages(fixture, i); });
    std::this_thread::sleep_for(milliseconds(200));
    fixture.facade.stopDispatching();
    fixture.facade.stop();
    for (auto& thread : threads) thread.join();
    std::set<std::string> left;
    const auto found = store::Journal(fixture.folder.path, 3'000'000).recover();
    for (const auto& m : found.messages) left.insert(m.id);
    int open = 0;
    for (std::size_t n = 0; n < fixture.seen.size(); ++n) {
        const auto& s = fixture.seen[n];
        if (!s.accepted || s.withdrawn || s.delivered || s.noticed) continue;
        CHECK(left.count("m" + std::to_string(n)));
        ++open;
    }
    CHECK(open > 0);
}

}  // namespace

int main() {
    log::setLevel(log::Level::off);
    tokensAndEndsMatchTheCounts();
    stopKeepsAcceptedMessages();
}
