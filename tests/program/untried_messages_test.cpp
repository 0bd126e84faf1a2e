// Messages that a sender has accepted and no endpoint has seen, for a destination in an outage: neither a
// restart nor the outage alone gives them up early, and the destination is not pushed over when it returns.
#include <gtest/gtest.h>

#include <array>
#include <ostream>
#include <vector>

#include "discovery_agent.hpp"
#include "failing_endpoint.hpp"
#include "log/log.hpp"
#include "message_table.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

enum class Restart { none, killed, terminated, killedTwice, killedBefore, killedAfter };

struct Cell {
    Sign sign;
    Restart restart;
    int messages;
    Effect effect;
    bool discoverySilent = false;
};
std::string name(const Cell& cell) {
    constexpr std::array kRestartNames{"",           "Killed", "Terminated", "KilledTwice", "KilledBefore",
                                       "KilledAfter"};
    constexpr std::array kEffectNames{"Pure", "Keyed", "Unsafe"};
    return std::string(name(cell.sign)) + kRestartNames[static_cast<std::size_t>(cell.restart)] +
           std::to_string(cell.messages) + kEffectNames[static_cast<std::size_t>(cell.effect)] +
           (cell.discoverySilent ? "WithoutDiscovery" : "");
}
std::ostream& operator<<(std::ostream& out, const Cell& cell) { return out << name(cell); }

std::vector<Cell> cells() {
    std::vector<Cell> all;
    constexpr std::array kRestarts{Restart::none, Restart::killed, Restart::terminated, Restart::killedTwice};
    constexpr std::array kEffects{Effect::pure, Effect::keyed, Effect::unsafe};
    std::size_t number = 0;
    for (const auto sign : {Sign::connectRefused, Sign::reset, Sign::hang, Sign::error, Sign::longWait})
        for (const auto restart : kRestarts) all.push_back({sign, restart, 20, kEffects[number++ % 3]});
    for (const auto effect : kEffects)
        for (const int messages : {1, 300})
            all.push_back({Sign::connectRefused, Restart::killed, messages, effect});
    all.push_back({Sign::connectRefused, Restart::none, 300, Effect::keyed});
    all.push_back({Sign::connectRefused, Restart::killedBefore, 20, Effect::keyed});
    all.push_back({Sign::connectRefused, Restart::killedAfter, 20, Effect::keyed});
    all.push_back({Sign::connectRefused, Restart::killed, 20, Effect::unsafe, true});
    all.push_back({Sign::connectRefused, Restart::killedTwice, 20, Effect::keyed, true});
    return all;
}

/// Two destinations: 7 has an outage, 8 is well. Three senders share their capacity, and one of them runs.
class UntriedMessages : public testing::TestWithParam<Cell> {
  protected:
    static constexpr int kDeadlineMs = 26000;
    static constexpr milliseconds kOutage{4000};
    static constexpr milliseconds kBeforeTheKill{300};
    static constexpr milliseconds kSilence{2500};

    UntriedMessages() {
        log::setLevel(log::Level::off);
        agent_.set({"a", struck_.address(), 7, kCapacity});
        agent_.set({"b", well_.address(), 8, kCapacity});
        const auto text = inFleetOf(kSenders, settingsFor(GetParam().effect, 54, 400));
        program_ = std::make_unique<Program>(folder_.path, [&](const std::string& listen) {
            return configuration(listen, agent_.address(), agent_.entries(), text);
        });
    }
    void submit(const std::string& kind, std::uint64_t destination, int count) {
        const auto connection = program_->connection();
        for (int i = 0; i < count; ++i)
            ASSERT_EQ(
                Program::status(connection, requestFor(kind + std::to_string(i), destination, kDeadlineMs)),
                202);
    }
    void restart(int signal) {
        if (GetParam().discoverySilent) agent_.setSilent(true);
        program_->end(signal);
        program_->start();
    }
    /// What happens within the outage, whose length is the case; so are the pauses in it.
    void playOutage() {
        const auto failedAt = net::Steady::now();
        const auto restartKind = GetParam().restart;
        if (restartKind == Restart::killedBefore) program_->end(SIGKILL);
        struck_.fail(GetParam().sign);
        if (restartKind == Restart::killedBefore) program_->start();
        submit("m", 7, GetParam().messages);
        std::this_thread::sleep_for(kBeforeTheKill);
        if (restartKind == Restart::killed || restartKind == Restart::killedTwice) restart(SIGKILL);
        if (restartKind == Restart::terminated) restart(SIGTERM);
        if (restartKind == Restart::killedTwice) restart(SIGKILL);
        submit("well", 8, 20);
        std::this_thread::sleep_until(failedAt + kOutage);
        struck_.recover();
        if (restartKind == Restart::killedAfter) restart(SIGKILL);
        if (!GetParam().discoverySilent) return;
        std::this_thread::sleep_for(kSilence);
        agent_.setSilent(false);
    }
    int askedOf(const std::string& kind, int count, FailingEndpoint& endpoint) {
        int asked = 0;
        for (int i = 0; i < count; ++i) asked += endpoint.wasAsked(kind + std::to_string(i));
        return asked;
    }

    Folder folder_;
    DiscoveryAgent agent_;
    FailingEndpoint struck_, well_;
    std::unique_ptr<Program> program_;
};

TEST_P(UntriedMessages, AreNotGivenUpEarly) {
    submit("first", 7, 10);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return metric(*program_, "messages_held") == 0; }));
    playOutage();
    // The deadline ends what the destination can't take in its slow start.
    EXPECT_TRUE(within(milliseconds(kDeadlineMs), [&] { return metric(*program_, "messages_held") == 0; }));
    const int messages = GetParam().messages;
    const int asked = askedOf("m", messages, struck_);
    // All that its slow start takes in the time left: well over a hundred.
    EXPECT_GE(asked, std::min(messages, 100));
    if (GetParam().sign == Sign::connectRefused && messages <= 20) {
        EXPECT_EQ(agent_.notices(), 0u) << "ended undelivered";
        EXPECT_EQ(asked, messages);
    }
    EXPECT_EQ(askedOf("well", 20, well_), 20);
    EXPECT_LE(struck_.overload(), 1.0) << "of what pushes it over";
}

INSTANTIATE_TEST_SUITE_P(Cells, UntriedMessages, testing::ValuesIn(cells()),
                         [](const auto& cell) { return name(cell.param); });

}  // namespace
