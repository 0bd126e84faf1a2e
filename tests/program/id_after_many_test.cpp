// An id that comes again behind many others, over restarts of every kind: its message does not run again.
#include <gtest/gtest.h>

#include <array>
#include <ostream>
#include <thread>

#include "log/log.hpp"
#include "message_table.hpp"
#include "scripted_endpoint.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

enum class Restart { none, terminated, killed, killedTwice, terminatedThenKilled };
constexpr std::array kRestarts{Restart::none, Restart::terminated, Restart::killed, Restart::killedTwice,
                               Restart::terminatedThenKilled};
constexpr std::array kEffects{Effect::keyed, Effect::unsafe};
constexpr std::array kOthers{10, 300, 5000};

struct Cell {
    Effect effect;
    int others;  // messages between the first and the second time that the id comes
    Restart restart;
};
std::string name(const Cell& cell) {
    constexpr std::array kNames{"", "Terminated", "Killed", "KilledTwice", "TerminatedThenKilled"};
    return (cell.effect == Effect::keyed ? "Keyed" : "Unsafe") + std::to_string(cell.others) +
           kNames[static_cast<std::size_t>(cell.restart)];
}
std::ostream& operator<<(std::ostream& out, const Cell& cell) { return out << name(cell); }

std::vector<Cell> cells() {
    std::vector<Cell> all;
    for (const auto effect : kEffects)
        for (const auto others : kOthers)
            for (const auto restart : kRestarts) all.push_back({effect, others, restart});
    return all;
}

class IdAfterMany : public testing::TestWithParam<Cell> {
  protected:
    static constexpr milliseconds kSettles{20000};
    static constexpr int kRepeated = 20, kClients = 4;
    // The others go to many destinations, as each takes 50 messages a second.
    static constexpr int kDestination = 7, kOtherDestinations = 60, kFirstOther = 100;

    IdAfterMany() {
        log::setLevel(log::Level::off);
        auto entries = entry("a", endpoint_.address(), kDestination);
        for (int other = 0; other < kOtherDestinations; ++other)
            entries += "," + entry(id("e", other), endpoint_.address(), kFirstOther + other);
        program_ = startWithSettings(folder_.path, platform_, platform_.stub.at(), entries,
                                     settingsFor(GetParam().effect, 8, 200));
    }
    static std::string id(const char* prefix, int number) { return prefix + std::to_string(number); }
    bool settled() {
        return within(kSettles, [this] { return metric(*program_, "messages_held") == 0; });
    }
    /// Over kept connections, as one for each would be a test of another kind. Refused ones come again.
    void submit(const char* prefix, int count, int destinations, int firstDestination) {
        std::vector<std::thread> clients;
        for (int client = 0; client < kClients; ++client)
            clients.emplace_back([=, this] {
                auto connection = program_->connection();
                for (int i = client; i < count; i += kClients) {
                    const auto destination = static_cast<std::uint64_t>(firstDestination + i % destinations);
                    const auto request = requestFor(id(prefix, i), destination, 20000);
                    for (int status = 0; status != 202;) {
                        status = Program::status(connection, request);
                        if (status == 0) connection = program_->connection();
                        if (status == 503) std::this_thread::sleep_for(milliseconds(20));
                    }
                }
            });
        for (auto& client : clients) client.join();
    }
    void restart() {
        const auto again = [this](int signal) {
            program_->end(signal);
            program_->start();
        };
        switch (GetParam().restart) {
            case Restart::none: return;
            case Restart::terminated: return again(SIGTERM);
            case Restart::killed: return again(SIGKILL);
            case Restart::killedTwice: return again(SIGKILL), again(SIGKILL);
            case Restart::terminatedThenKilled: return again(SIGTERM), again(SIGKILL);
        }
    }
    void expectAnswers(int number) const {
        EXPECT_EQ(program_->status(requestFor(id("r", number), kDestination, 20000)), 202);
        EXPECT_EQ(program_->status(requestFor(id("r", number), kDestination, 20000, "other")), 409)
            << "other content";
    }

    Folder folder_;
    Platform platform_;
    ScriptedEndpoint endpoint_;
    std::unique_ptr<Program> program_;
};

// In the review's case all of 20 messages ran again: behind some 1,500 others and a kill, and behind 4,096
// without one.
TEST_P(IdAfterMany, RunsOnce) {
    submit("r", kRepeated, 1, kDestination);
    ASSERT_TRUE(settled());
    submit("other", GetParam().others, kOtherDestinations, kFirstOther);
    ASSERT_TRUE(settled());
    restart();
    for (int number = 0; number < kRepeated; ++number) expectAnswers(number);
    // Twice at once: over two connections whose answers are read only later.
    const auto one = program_->connection(), two = program_->connection();
    for (const auto* fd : {&one, &two})
        net::sendAll(fd->get(), requestFor("r0", kDestination, 20000), soon());
    ASSERT_TRUE(settled());
    for (int number = 0; number < kRepeated; ++number) EXPECT_EQ(endpoint_.requests(id("r", number)), 1);
}

INSTANTIATE_TEST_SUITE_P(Cells, IdAfterMany, testing::ValuesIn(cells()),
                         [](const auto& cell) { return name(cell.param); });

}  // namespace
