// An id that comes again, at each moment of its life: it never runs twice, and its client hears the truth.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <ostream>

#include "log/log.hpp"
#include "message_table.hpp"
#include "scripted_endpoint.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

// In the incident a client whose answer had crossed its leaving handed the same id in again.
TEST(IdComesAgain, RunsOnceThoughItComesAgainAfterItsDelivery) {
    log::setLevel(log::Level::off);
    const Folder folder;
    Platform platform;
    ScriptedEndpoint endpoint;
    const auto program =
        startWithSettings(folder.path, platform, platform.stub.at(), entry("a", endpoint.address(), 7),
                          settingsFor(Effect::unsafe, 4, 50));
    const auto request = requestFor("m", 7, 20000);
    ASSERT_EQ(program->status(request), 202);
    ASSERT_TRUE(within(milliseconds(5000), [&] { return endpoint.deliveries("m") == 1; }));
    ASSERT_TRUE(within(milliseconds(5000), [&] { return metric(*program, "messages_held") == 0; }));
    EXPECT_EQ(program->status(request), 202);
    ASSERT_TRUE(within(milliseconds(5000), [&] { return metric(*program, "messages_held") == 0; }));
    EXPECT_EQ(endpoint.requests("m"), 1);
}

// ---- the table: each moment x class x same or other content x over a kill or not ----

enum class Moment { held, inFlight, answerUnread, delivered, failed, returned };
constexpr std::array kMoments{Moment::held,      Moment::inFlight, Moment::answerUnread,
                              Moment::delivered, Moment::failed,   Moment::returned};
constexpr std::array kEffects{Effect::pure, Effect::keyed, Effect::unsafe};

std::string name(Moment moment) {
    constexpr std::array kNames{"Held", "InFlight", "AnswerUnread", "Delivered", "Failed", "Returned"};
    return kNames[static_cast<std::size_t>(moment)];
}
std::string name(Effect effect) {
    constexpr std::array kNames{"Pure", "Keyed", "Unsafe"};
    return kNames[static_cast<std::size_t>(effect)];
}

struct Cell {
    Moment moment;
    Effect effect;
    bool sameContent, killed;
};
std::string name(const Cell& cell) {
    return name(cell.effect) + name(cell.moment) + (cell.sameContent ? "Same" : "Other") +
           (cell.killed ? "OverAKill" : "");
}
std::ostream& operator<<(std::ostream& out, const Cell& cell) { return out << name(cell); }

std::vector<Cell> cells() {
    std::vector<Cell> all;
    for (const auto moment : kMoments)
        for (const auto effect : kEffects)
            for (const bool same : {true, false})
                for (const bool killed : {false, true}) all.push_back({moment, effect, same, killed});
    return all;
}

constexpr milliseconds kSettles{8000};
constexpr int kLongDeadlineMs = 20000, kShortDeadlineMs = 500;

class IdTable : public testing::TestWithParam<Cell> {
  protected:
    IdTable() {
        log::setLevel(log::Level::off);
        program_ =
            startWithSettings(folder_.path, platform_, platform_.stub.at(),
                              entry("a", endpoint_.address(), 7), settingsFor(GetParam().effect, 4, 50));
    }
    std::string request(const std::string& body = "body") const {
        const bool ends = GetParam().moment == Moment::failed || GetParam().moment == Moment::returned;
        return requestFor("m", 7, ends ? kShortDeadlineMs : kLongDeadlineMs, body);
    }
    bool nothingHeld() const { return metric(*program_, "messages_held") == 0; }
    bool isRequested() { return endpoint_.requests("m") == 1; }
    /// Submits the message, and leaves with its answer unread: the connection is reset.
    void submitAndLeave() const {
        const auto fd = program_->connection();
        net::sendAll(fd.get(), request(), soon());
        net::waitReadable(fd.get(), soon());
        const linger reset{1, 0};
        setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    void reachMoment() {
        const Reply heldBack{200, Form::whole, milliseconds(5), {}, "run m", true};
        const auto wait = [](const char* seconds) {
            return Reply{429, Form::whole, milliseconds(5), {{"Retry-After", seconds}}};
        };
        switch (GetParam().moment) {
            case Moment::held:
                endpoint_.reply("m", {wait("1.5")});
                ASSERT_EQ(program_->status(request()), 202);
                // Once the rejection is on record: a kill before that leaves an attempt that may have run.
                ASSERT_TRUE(within(
                    kSettles, [&] { return metric(*program_, "calls_total{ending=\"turned_away\"}") == 1; }));
                return;
            case Moment::inFlight:
                endpoint_.reply("m", {heldBack});
                ASSERT_EQ(program_->status(request()), 202);
                ASSERT_TRUE(within(kSettles, [&] { return isRequested(); }));
                return;
            case Moment::answerUnread:
                endpoint_.reply("m", {heldBack});
                submitAndLeave();
                ASSERT_TRUE(within(kSettles, [&] { return isRequested(); }));
                return;
            case Moment::delivered:
                ASSERT_EQ(program_->status(request()), 202);
                ASSERT_TRUE(
                    within(kSettles, [&] { return endpoint_.deliveries("m") == 1 && nothingHeld(); }));
                return;
            case Moment::failed: endpoint_.reply("m", {heldBack, heldBack, heldBack}); break;
            case Moment::returned: endpoint_.reply("m", {wait("9")}); break;
        }
        ASSERT_EQ(program_->status(request()), 202);
        ASSERT_TRUE(within(kSettles, [&] { return platform_.of("m") > 0 && nothingHeld(); }));
    }
    void restartByKill() {
        program_->end(SIGKILL);
        program_->start();
        // One that may have run and must not be repeated ends now.
        if (mayHaveRunAndEnds()) {
            ASSERT_TRUE(within(kSettles, [&] { return platform_.of("m") > 0 && nothingHeld(); }));
        }
    }
    static bool mayHaveRunAndEnds() {
        const bool open = GetParam().moment == Moment::inFlight || GetParam().moment == Moment::answerUnread;
        return open && GetParam().killed && GetParam().effect == Effect::unsafe;
    }
    bool isToldAs(const std::string& state) {
        const std::lock_guard lock(platform_.mutex);
        return std::any_of(platform_.notices.begin(), platform_.notices.end(),
                           [&](const auto& line) { return line.find(state) != std::string::npos; });
    }
    int expectedStatus() {
        if (!GetParam().sameContent) return 409;
        if (isToldAs("failed")) return 500;
        return isToldAs("returned") ? 503 : 202;
    }
    /// A process that was killed while an attempt was out makes another one, where the class allows it.
    static int expectedDeliveries() {
        if (GetParam().moment == Moment::failed || GetParam().moment == Moment::returned) return 0;
        return mayHaveRunAndEnds() ? 0 : 1;
    }

    Folder folder_;
    Platform platform_;
    ScriptedEndpoint endpoint_;
    std::unique_ptr<Program> program_;
};

TEST_P(IdTable, RunsOnceAndItsClientHearsTheTruth) {
    ASSERT_NO_FATAL_FAILURE(reachMoment());
    if (GetParam().killed) {
        ASSERT_NO_FATAL_FAILURE(restartByKill());
    }
    const auto before = endpoint_.requests("m");
    EXPECT_EQ(program_->status(request(GetParam().sameContent ? "body" : "another body")), expectedStatus());
    const bool over = platform_.of("m") > 0 || GetParam().moment == Moment::delivered;
    if (!over) endpoint_.release();
    ASSERT_TRUE(within(kSettles, [&] { return nothingHeld(); }));
    if (over) {
        EXPECT_EQ(endpoint_.requests("m"), before) << "it is over";
    }
    EXPECT_EQ(endpoint_.deliveries("m"), expectedDeliveries());
    EXPECT_EQ(platform_.of("m") > 0, expectedDeliveries() == 0) << "one end";
}

INSTANTIATE_TEST_SUITE_P(Cells, IdTable, testing::ValuesIn(cells()),
                         [](const auto& cell) { return name(cell.param); });

}  // namespace
