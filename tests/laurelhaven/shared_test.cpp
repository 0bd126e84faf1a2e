// Many threads at one facade, over the real journal: hand-ins, calls and their outcomes, list changes, ticks,
// withdrawals and a stop, on the same destinations. What is counted outside must fit the books: no token is
// lost or made, each message has one end, no two attempts of one are out. Meant for ThreadSanitizer too.
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

constexpr int kHanders = 4, kEach = 120, kWorkers = 8, kDestinations = 3;

/// What one message came to, as seen from outside.
struct Seen {
    std::atomic<int> out{0}, delivered{0}, noticed{0}, refused{0};
    std::atomic<bool> taken{false}, withdrawn{false};
    double due = 0;  // tokens for its next attempt; by whoever has its call
};

struct Rig {
    Rig()
        : config(config::fromText(
              check::configuration("127.0.0.1:0", "127.0.0.1:1", entries(0), check::settings(kWorkers, 600)),
              {{"BALANCER_STATE", folder.path}})),
          journal(folder.path, 3'000'000),
          facade(config, journal,
                 {[this](const store::PendingNotice& notice) { ++seen[number(notice.id)].noticed; },
                  [](const std::string&) {}}) {
        journal.recover();
        facade.updateEndpoints(config.known, true);
    }
    /// The endpoints of a round: some of them are replaced in the next, and one destination loses its all.
    static std::string entries(int round) {
        std::string all;
        for (int d = 0; d < kDestinations; ++d)
            for (int e = 0; e < 2; ++e) {
                if (d == 0 && round % 8 == 7) continue;
                const int life = e == 0 ? round / 3 : 0;
                all += (all.empty() ? "" : ",") +
                       check::entry("e" + std::to_string(d) + std::to_string(e) + "-" + std::to_string(life),
                                    "127.0.0.1:" + std::to_string(9 + e), 7 + d);
            }
        return all;
    }
    static int number(const std::string& id) { return std::stoi(id.substr(1)); }

    const check::Folder folder;
    config::Config config;
    store::Journal journal;
    std::vector<Seen> seen{static_cast<std::size_t>(kHanders * kEach)};
    std::mutex books;
    std::map<std::uint64_t, double> paid;  // by destination: for retries that went out
    decisions::Decisions facade;
};

void hand(Rig& rig, int which) {
    std::mt19937 chance(static_cast<unsigned>(which));
    for (int i = 0; i < kEach; ++i) {
        const int n = which * kEach + i;
        decisions::Submission message;
        message.id = "m" + std::to_string(n);
        message.key = "k" + std::to_string(n);
        message.destination = 7 + chance() % kDestinations;
        message.deadline = decisions::Steady::now() + milliseconds(800 + chance() % 1200);
        message.body = std::make_shared<const std::string>("body");
        auto& seen = rig.seen[static_cast<std::size_t>(n)];
        const auto verdict = rig.facade.submit(message);
        if (verdict.kind == decisions::SubmissionResult::Kind::accepted) {
            seen.taken = true;
            if (chance() % 8 == 0) rig.facade.submit(message);  // the same request once more
            if (chance() % 16 == 0) {
                seen.withdrawn = true;
                rig.facade.withdraw(message.id);
            }
        } else {
            ++seen.refused;
        }
        std::this_thread::sleep_for(milliseconds(chance() % 25));
    }
}

void work(Rig& rig, int which) {
    std::mt19937 chance(static_cast<unsigned>(100 + which));
    while (const auto call = rig.facade.takeDueAttempt()) {
        auto& seen = rig.seen[static_cast<std::size_t>(Rig::number(call->id))];
        CHECK(++seen.out == 1);  // no two attempts at once
        decisions::AttemptResult result;
        if (rig.facade.tryBeginAttempt(*call)) {
            std::this_thread::sleep_for(milliseconds(chance() % 6));
            constexpr AttemptStatus kEndings[] = {AttemptStatus::error,        AttemptStatus::rejected,
                                                  AttemptStatus::rejected,     AttemptStatus::timedOut,
                                                  AttemptStatus::noConnection, AttemptStatus::reset};
            result.status = chance() % 4 < 3 ? AttemptStatus::delivered : kEndings[chance() % 6];
            if (result.status == AttemptStatus::rejected && chance() % 2)
                result.wait = milliseconds(chance() % 60);
            if (result.status == AttemptStatus::rejected) result.allowanceLeft = 0, result.allowedRate = 50;
            {
                const std::lock_guard lock(rig.books);
                rig.paid[call->destination] += seen.due;
            }
            seen.due = result.status == AttemptStatus::rejected ? 10 : 5;
            seen.delivered += result.status == AttemptStatus::delivered;
        }
        --seen.out;
        rig.facade.recordResult(*call, result);
    }
}

void booksAndEndsFit() {
    Rig rig;
    std::atomic<bool> over{false};
    std::vector<std::thread> handers, workers, others;
    others.emplace_back([&] {
        while (rig.facade.tick()) {
        }
    });
    others.emplace_back([&] {
        for (int round = 1; !over; ++round) {
            std::string why;
            rig.facade.updateEndpoints(
                *listing::parse(check::list(round + 1, true, Rig::entries(round)), why));
            std::this_thread::sleep_for(milliseconds(7));
        }
    });
    others.emplace_back([&] {  // what the roster and the operators read
        while (!over) {
            for (const auto& b : rig.facade.retryBucketStates()) {
                CHECK(b.tokens >= 0 && b.tokens <= b.capacity);
                CHECK(std::abs(b.capacity + b.gained - b.spent - b.tokens) < 1e-6);
            }
            rig.facade.destinationHealth();
            CHECK(rig.facade.tableSizes().held <= 600 && rig.facade.attemptsInFlight() <= kWorkers);
            rig.facade.pendingLoad(7);
            std::this_thread::sleep_for(milliseconds(3));
        }
    });
    for (int i = 0; i < kWorkers; ++i) workers.emplace_back([&, i] { work(rig, i); });
    for (int i = 0; i < kHanders; ++i) handers.emplace_back([&, i] { hand(rig, i); });
    for (auto& thread : handers) thread.join();
    while (rig.facade.heldMessages() > 0) std::this_thread::sleep_for(milliseconds(5));
    over = true;
    for (const auto& b : rig.facade.retryBucketStates())
        CHECK(std::abs(b.spent - rig.paid[b.destination]) <
              1e-6);  // each debit paid for a retry that went out
    rig.facade.stop();
    for (auto& thread : workers) thread.join();
    for (auto& thread : others) thread.join();
    double retried = 0;
    for (const auto& [destination, tokens] : rig.paid) retried += tokens;
    CHECK(retried > 0 && rig.facade.attemptsInFlight() == 0);
    int delivered = 0;
    for (const auto& s : rig.seen) {
        const int ends = s.delivered + s.noticed;
        CHECK(s.taken ? s.refused == 0 && (s.withdrawn ? ends <= 1 : ends == 1)
                      : s.refused == 1 && ends == 0);
        delivered += s.delivered;
    }
    CHECK(delivered > kHanders * kEach / 8);
    // Nothing but the ends that the platform has yet to hear of is on record.
    CHECK(store::Journal(rig.folder.path, 3'000'000).recover().messages.empty());
}

// Stopped in the midst of it: nothing that was taken is lost to the store.
void aStopLosesNothing() {
    Rig rig;
    std::vector<std::thread> threads;
    threads.emplace_back([&] {
        while (rig.facade.tick()) {
        }
    });
    for (int i = 0; i < kWorkers; ++i) threads.emplace_back([&, i] { work(rig, i); });
    for (int i = 0; i < kHanders; ++i) threads.emplace_back([&, i] { hand(rig, i); });
    std::this_thread::sleep_for(milliseconds(200));
    rig.facade.stopDispatching();
    rig.facade.stop();
    for (auto& thread : threads) thread.join();
    std::set<std::string> left;
    const auto found = store::Journal(rig.folder.path, 3'000'000).recover();
    for (const auto& m : found.messages) left.insert(m.id);
    int open = 0;
    for (std::size_t n = 0; n < rig.seen.size(); ++n) {
        const auto& s = rig.seen[n];
        if (!s.taken || s.withdrawn || s.delivered || s.noticed) continue;
        CHECK(left.count("m" + std::to_string(n)));
        ++open;
    }
    CHECK(open > 0);
}

}  // namespace

int main() {
    log::setLevel(log::Level::off);
    booksAndEndsFit();
    aStopLosesNothing();
}
