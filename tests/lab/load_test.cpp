// The load tool against a stand-in front: every message has its last answer, refusals and silence are taken
// as clients take them, and a stall can't hide behind the load that it holds back.
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "load/loader.hpp"
#include "standin/server.hpp"

namespace {

using namespace laurelhaven;
using namespace std::chrono_literals;

std::string address() {
    static std::atomic<int> next{0};
    const int n = getpid() * 8 + next++;
    return "127.81." + std::to_string(n / 250 % 250) + "." + std::to_string(1 + n % 250) + ":18500";
}

std::vector<load::Message> even(int n, std::chrono::milliseconds gap) {
    std::vector<load::Message> all(static_cast<std::size_t>(n));
    for (std::size_t i = 0; i < all.size(); ++i) {
        all[i].at = i * gap;
        all[i].key = "k" + std::to_string(i);
        all[i].destination = 100;
        all[i].deadline = 60s;
    }
    return all;
}

/// A front that answers by `decide`, given the id and how often it was asked.
class Front {
  public:
    using Decide = std::function<int(const std::string& id, const std::string& key)>;
    explicit Front(Decide decide)
        : server(address(), [this, decide](const http::Message& m, lab::Connection& c) {
              const auto* id = m.headers.find("Req-Id");
              const auto* key = m.headers.find("Idempotency-Key");
              if (!id || !key) return c.send(http::formatResponse(400, {}, "", true)) && false;
              {
                  const std::lock_guard lock(mutex);
                  ids.insert(*id);
                  ++asked[*key];
                  retries += m.headers.find("Req-Retry") != nullptr;
              }
              const int status = decide(*id, *key);
              if (status == 0) return c.pause(60s), false;  // silent until the client goes
              if (status < 0) return false;                 // closes without a word
              http::Fields fields;
              if (status == 503) fields.emplace_back("Retry-After", "0.01");
              return c.send(http::formatResponse(status, fields, "", true));
          }) {
        server.start();
    }
    std::mutex mutex;
    std::set<std::string> ids;
    std::map<std::string, int> asked;
    int retries = 0;
    lab::Server server;
};

TEST(Load, EveryMessageIsTakenOnceByTurns) {
    Front a([](auto&, auto&) { return 202; }), b([](auto&, auto&) { return 202; });
    load::Options options;
    options.senders = {a.server.address(), b.server.address()};
    options.threads = 2;
    options.policy.patience = 20s;
    std::mutex mutex;
    std::set<std::string> tried;
    options.trying = [&](const std::string& id, std::size_t) {
        const std::lock_guard lock(mutex);
        tried.insert(id);
    };
    const auto result = load::play(even(400, 1ms), options);
    std::set<std::string> seen = a.ids;
    seen.insert(b.ids.begin(), b.ids.end());
    EXPECT_EQ(seen.size(), 400u);
    EXPECT_EQ(seen, tried);
    EXPECT_EQ(a.ids.size(), 200u);
    for (const auto& m : result.messages) EXPECT_EQ(m.taken.size(), 1u);
    EXPECT_EQ(result.times.sinceDue.count(), 400u);
    EXPECT_GE(result.times.sinceDue.sum(), result.times.sinceSent.sum());
}

TEST(Load, RefusalsComeAgainAndOthersAreFinal) {
    Front front([](const std::string& id, const std::string& key) {
        if (key == "k1") return 409;
        if (key == "k2") return 503;
        return id.ends_with("-0") ? 503 : 202;
    });
    load::Options options;
    options.senders = {front.server.address()};
    options.policy.patience = 5s;
    const auto result = load::play(even(5, 1ms), options);
    EXPECT_EQ(result.messages[0].tries, 2);
    EXPECT_EQ(result.messages[0].status, 202);
    EXPECT_EQ(result.messages[0].taken, std::vector<std::string>{"k0-1"});
    EXPECT_EQ(result.messages[1].tries, 1);
    EXPECT_EQ(result.messages[1].status, 409);
    EXPECT_EQ(result.messages[2].tries, 4);
    EXPECT_TRUE(result.messages[2].taken.empty());
    EXPECT_EQ(front.retries, 3 + 3);
}

TEST(Load, SilenceAndABrokenConnectionAreAskedAgainAtTheNext) {
    Front silent([](auto&, auto&) { return 0; }), breaks([](auto&, auto&) { return -1; }),
        well([](auto&, auto&) { return 202; });
    load::Options options;
    options.senders = {silent.server.address(), breaks.server.address(), well.server.address()};
    options.policy.patience = 2s;
    options.policy.pause = 5ms;
    const auto result = load::play(even(1, 1ms), options);
    EXPECT_EQ(result.messages[0].tries, 3);
    EXPECT_EQ(result.messages[0].taken.size(), 1u);
    // Nobody listens at all.
    options.senders = {address()};
    const auto nobody = load::play(even(3, 1ms), options);
    for (const auto& m : nobody.messages) {
        EXPECT_EQ(m.status, 0);
        EXPECT_EQ(m.tries, 4);
    }
    options.senders = {"nowhere"};
    EXPECT_THROW(load::play(even(1, 1ms), options), std::invalid_argument);
}

TEST(Load, AKeptConnectionThatWasClosedCostsNoTry) {
    std::atomic<int> answers{0};
    lab::Server server(address(), [&](const http::Message&, lab::Connection& c) {
        // Every answer promises to keep the connection, and none does.
        ++answers;
        return c.send(http::formatResponse(202, {}, "", true)) && false;
    });
    server.start();
    load::Options options;
    options.senders = {server.address()};
    options.connections = 1;
    options.policy.patience = 20s;
    const auto result = load::play(even(50, 2ms), options);
    for (const auto& m : result.messages) {
        EXPECT_EQ(m.taken.size(), 1u);
        EXPECT_EQ(m.tries, 1);
    }
    EXPECT_EQ(answers, 50);
}

TEST(Load, AStallCountsForAllThatWereDueMeanwhile) {
    std::atomic<int> n{0};
    Front front([&](auto&, auto&) {
        if (n++ == 50) std::this_thread::sleep_for(1s);
        return 202;
    });
    load::Options options;
    options.senders = {front.server.address()};
    options.connections = 1;  // as a tool would that waits for each answer
    options.policy.patience = 20s;
    const auto result = load::play(even(200, 5ms), options);
    for (const auto& m : result.messages) EXPECT_EQ(m.taken.size(), 1u);
    // One call saw the stall; of the others, some hundred and fifty were due while it lasted.
    EXPECT_GT(result.times.sinceDue.sum(), 20);
    EXPECT_GT(result.times.sinceDue.sum(), 5 * result.times.sinceSent.sum());
}

TEST(Load, ADeadlineEndsAMessageThatFindsNoConnection) {
    Front front([&](auto&, auto&) { return 0; });
    load::Options options;
    options.senders = {front.server.address()};
    options.connections = 1;
    options.policy.patience = 400ms;
    auto messages = even(20, 1ms);
    for (auto& m : messages) m.deadline = 300ms;
    const auto result = load::play(messages, options);
    int untried = 0;
    for (const auto& m : result.messages) {
        EXPECT_TRUE(m.taken.empty());
        untried += m.tries == 0;
    }
    EXPECT_GT(untried, 10);
}

}  // namespace
