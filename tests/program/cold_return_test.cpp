// A sender that saw one failure of a destination in an outage, whatever it was, keeps what it sends below
// what would push the destination over when it returns cold; also over a restart between the two.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <ostream>
#include <utility>
#include <vector>

#include "failing_endpoint.hpp"
#include "log/log.hpp"
#include "message_table.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

enum class Between { nothing, killed, terminated, reloaded, killedWithoutDiscovery };
constexpr std::array kBetween{Between::nothing, Between::killed, Between::terminated, Between::reloaded,
                              Between::killedWithoutDiscovery};

struct Cell {
    Sign sign;
    Between between;
};
std::string name(const Cell& cell) {
    constexpr std::array kBetweenNames{"", "Killed", "Terminated", "Reloaded", "KilledWithoutDiscovery"};
    return std::string(name(cell.sign)) + kBetweenNames[static_cast<std::size_t>(cell.between)];
}
std::ostream& operator<<(std::ostream& out, const Cell& cell) { return out << name(cell); }

std::vector<Cell> cells() {
    std::vector<Cell> all;
    for (const auto sign : kSigns)
        for (const auto between : kBetween) all.push_back({sign, between});
    return all;
}

class ColdReturnTable : public testing::TestWithParam<Cell> {
  protected:
    static constexpr int kClump = 60;
    static constexpr milliseconds kOutage{2600};
    static constexpr milliseconds kSilence{500};

    ColdReturnTable() {
        log::setLevel(log::Level::off);
        const auto text = inFleetOf(kSenders, settingsFor(Effect::keyed, 54, 400));
        program_ = startWithSettings(folder_.path, platform_, platform_.stub.at(),
                                     entry("a", endpoint_.address(), 7), text);
    }
    /// What comes between the sign and the return.
    void interfere() {
        const auto restart = [this](int signal) {
            program_->end(signal);
            program_->start();
        };
        switch (GetParam().between) {
            case Between::nothing: return;
            case Between::killed: return restart(SIGKILL);
            case Between::terminated: return restart(SIGTERM);
            case Between::reloaded: kill(program_->pid(), SIGHUP); return;
            case Between::killedWithoutDiscovery:
                discoveryText_ = std::exchange(platform_.watch, "");
                return restart(SIGKILL);
        }
    }
    void submitClump() { submit(100, kClump); }
    /// Nothing proves the endpoint before discovery speaks again, which it does on the next watch. Until then
    /// the clump waits; the destination returns in that moment.
    void recoverAsDiscoverySpeaks() {
        const auto arrivals = endpoint_.arrivals().size();
        submitClump();
        std::this_thread::sleep_for(kSilence);  // its length is the case
        EXPECT_EQ(endpoint_.arrivals().size(), arrivals) << "while nothing proved the endpoint";
        platform_.beforeTold = [this] {
            if (!hasRecovered_.exchange(true)) endpoint_.recover();
        };
        platform_.watch = discoveryText_;
        ASSERT_TRUE(within(milliseconds(6000), [&] { return hasRecovered_.load(); }));
    }
    void submit(int from, int count) {
        const auto connection = program_->connection();
        for (int i = from; i < from + count; ++i)
            Program::status(connection, requestFor("m" + std::to_string(i), 7, 20000));
    }

    Folder folder_;
    Platform platform_;
    FailingEndpoint endpoint_;
    std::unique_ptr<Program> program_;
    std::string discoveryText_;
    std::atomic<bool> hasRecovered_{false};
};

TEST_P(ColdReturnTable, IsNotPushedOver) {
    submit(0, 10);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return metric(*program_, "messages_held") == 0; }));
    endpoint_.fail(GetParam().sign);
    const auto failedAt = net::Steady::now();
    submit(10, 1);
    if (GetParam().sign == Sign::connectRefused)
        ASSERT_TRUE(within(milliseconds(2000),
                           [&] { return metric(*program_, "calls_total{ending=\"no_connection\"}") > 0; }));
    else ASSERT_TRUE(within(milliseconds(2000), [&] { return endpoint_.failures() > 0; }));
    std::this_thread::sleep_until(failedAt + kOutage);  // the length of the outage is the case
    interfere();
    if (GetParam().between == Between::killedWithoutDiscovery) {
        recoverAsDiscoverySpeaks();
    } else {
        endpoint_.recover();
        submitClump();
    }
    ASSERT_TRUE(within(milliseconds(15000), [&] { return metric(*program_, "messages_held") == 0; }));
    EXPECT_LE(endpoint_.overload(), 1.0) << "of what pushes it over";
}

INSTANTIATE_TEST_SUITE_P(Cells, ColdReturnTable, testing::ValuesIn(cells()),
                         [](const auto& cell) { return name(cell.param); });

}  // namespace
