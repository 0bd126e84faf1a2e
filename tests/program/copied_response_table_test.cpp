// The table of what may follow a response: a copy of the response that its connection carried before, a part
// of one, one behind a blank line, or the request's own one, and behind it nothing, an end, a reset, noise or
// another response, at once or late. Each cell is played with a real sender, for each class of message, with
// and without a kill, at endpoints whose deliveries are all alike and at others whose deliveries are
// distinct. It guards against a lost message that was held for delivered, and an unsafe one that ran and was
// held for turned away.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

#include "log/log.hpp"
#include "message_table.hpp"
#include "program.hpp"
#include "standin/server.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

constexpr int kSlots = 260, kHeld = 800;  // room for all cells of a group
constexpr int kDeadlineMs = 6000;
constexpr milliseconds kPatience{kDeadlineMs + 3000};
constexpr milliseconds kRest{40};        // after which a connection may be used again
constexpr milliseconds kAftermath{800};  // in which a message is sent on that should not be
constexpr milliseconds kSettled{600};    // after which what has come is on record
constexpr int kWarmUps = 3;              // deliveries of each endpoint before, which show how they compare

enum class Pattern { alike, distinct };
enum class Restart { none, kill };
enum class Group { copies, parts };  ///< of the cells; a sender has room for the connections of one
/// What is written first.
enum class Before {
    copy,
    blankAndCopy,  ///< a blank line and the copy
    partOfHead,    ///< a copy that breaks off behind its status
    partAtEnd,     ///< a copy that breaks off before its last bytes
    own
};
enum class Behind { nothing, end, reset, noise, response };

struct Status {
    int code;
    http::Fields fields;
    std::string_view name;
};
const std::array<Status, 6> kStatuses{{{200, {}, "200"},
                                       {500, {}, "500"},
                                       {429, {{"Retry-After", "0.050"}}, "429"},
                                       {503, {}, "503"},
                                       {504, {}, "504"},
                                       {410, {}, "410"}}};
constexpr std::array<std::pair<Before, std::string_view>, 5> kBefore{
    {{Before::copy, "copy"},
     {Before::blankAndCopy, "blank-and-copy"},
     {Before::partOfHead, "part-of-head"},
     {Before::partAtEnd, "part-at-end"},
     {Before::own, "own"}}};
constexpr std::array<std::pair<Behind, std::string_view>, 5> kBehind{{{Behind::nothing, "nothing"},
                                                                      {Behind::end, "end"},
                                                                      {Behind::reset, "reset"},
                                                                      {Behind::noise, "noise"},
                                                                      {Behind::response, "response"}}};
constexpr std::array<milliseconds, 4> kDelays{milliseconds(0), milliseconds(20), milliseconds(70),
                                              milliseconds(300)};
constexpr milliseconds kDelayBehindPart{70};  // the one late delay that is played behind these
constexpr std::size_t kPartOfHead = std::string_view("HTTP/1.1 200 O").size();
constexpr std::size_t kLastBytes = 3;
constexpr std::string_view kNoise = "\x01\x02 noise that is no response\r\n\r\n";

/// One cell of the table. It has a destination of its own.
struct Cell {
    const Status* status;
    Before before;
    Behind behind;
    milliseconds delay;
    std::string id;
    std::uint64_t destination;
    bool isCopied() const { return before != Before::own; }
    std::string earlierId() const { return "before-" + id; }
    bool neverRan() const { return status->code == 429 || status->code == 503; }
    bool endsAttempts() const { return status->code == 410 || status->code == 504; }
};

/// What is written first in place of a response of its own.
std::string copied(Before before, const std::string& response) {
    switch (before) {
        case Before::blankAndCopy: return "\r\n" + response;
        case Before::partOfHead: return response.substr(0, kPartOfHead);
        case Before::partAtEnd: return response.substr(0, response.size() - kLastBytes);
        default: return response;
    }
}

bool isPlayed(Before before, Behind behind, milliseconds delay) {
    if (delay.count() == 0) return true;
    if (behind == Behind::nothing || before == Before::blankAndCopy) return false;
    const bool part = before == Before::partOfHead || before == Before::partAtEnd;
    return !part || delay == kDelayBehindPart;
}

Group groupOf(Before before) {
    return before == Before::copy || before == Before::own ? Group::copies : Group::parts;
}

std::vector<Cell> cellsOf(Group group) {
    std::vector<Cell> cells;
    for (const auto& status : kStatuses)
        for (const auto& [before, beforeName] : kBefore)
            for (const auto& [behind, behindName] : kBehind)
                for (const auto delay : kDelays) {
                    if (groupOf(before) != group || !isPlayed(before, behind, delay)) continue;
                    const auto id = std::string(status.name) + "." + std::string(beforeName) + "." +
                                    std::string(behindName) + "." + std::to_string(delay.count());
                    cells.push_back({&status, before, behind, delay, id, cells.size() + 1});
                }
    return cells;
}

/// All endpoints of the table. What a call's connection carried before decides whether a copy can be played;
/// without that the call is delivered.
class Endpoints {
  public:
    explicit Endpoints(Pattern pattern) : pattern_(pattern) { server_.start(); }
    std::string address() const { return server_.address(); }
    /// Which response the first call for this message gets.
    void respond(const std::string& id, const Status* status) {
        const std::lock_guard lock(mutex_);
        statuses_[id] = status;
    }
    void play(const Cell& cell) {
        const std::lock_guard lock(mutex_);
        cells_[cell.id] = &cell;
    }
    int calls(const std::string& id) { return of(calls_, id); }
    int runs(const std::string& id) { return of(runs_, id); }
    int deliveries(const std::string& id) { return of(deliveries_, id); }
    /// Cells that had their responses as the table has them.
    int played() const { return played_; }

  private:
    int of(std::map<std::string, int>& counts, const std::string& id) {
        const std::lock_guard lock(mutex_);
        return counts[id];
    }
    std::string text(const Status& status, const std::string& id) const {
        const bool differs = status.code == 200 && pattern_ == Pattern::distinct;
        return http::formatResponse(status.code, status.fields, differs ? "run " + id : "", true);
    }
    void ran(const std::string& id, bool delivered) {
        const std::lock_guard lock(mutex_);
        ++runs_[id];
        deliveries_[id] += delivered;
    }
    bool deliver(const std::string& id, lab::Connection& connection) {
        ran(id, true);
        return send(kStatuses[0], id, connection);
    }
    bool send(const Status& status, const std::string& id, lab::Connection& connection) {
        const auto response = text(status, id);
        {
            const std::lock_guard lock(mutex_);
            carried_[{connection.number(), status.code}] = response;
        }
        return connection.send(response);
    }
    bool answer(const http::Message& request, lab::Connection& connection) {
        const auto* field = request.headers.find("Req-Id");
        const std::string id = field ? *field : "";
        const Status* status = nullptr;
        const Cell* cell = nullptr;
        std::string copy;
        {
            const std::lock_guard lock(mutex_);
            const bool first = ++calls_[id] == 1;
            if (const auto it = statuses_.find(id); first && it != statuses_.end()) status = it->second;
            if (const auto it = cells_.find(id); first && it != cells_.end()) cell = it->second;
            if (cell) copy = carried_[{connection.number(), cell->status->code}];
        }
        if (cell && cell->before == Before::own) return playOwn(*cell, connection);
        if (cell && !copy.empty()) return playCopy(*cell, copy, connection);
        if (!status || status->code == 200) return deliver(id, connection);
        return send(*status, id, connection);
    }
    /// The copy comes when the request has been written; an end or a reset leaves the request unread.
    bool playCopy(const Cell& cell, const std::string& copy, lab::Connection& connection) {
        ++played_;
        connection.send(copied(cell.before, copy));
        if (cell.behind == Behind::noise) ran(cell.id, false);
        return follow(cell, connection);
    }
    bool playOwn(const Cell& cell, lab::Connection& connection) {
        ++played_;
        if (cell.status->code == 200 || cell.status->code == 500) ran(cell.id, cell.status->code == 200);
        send(*cell.status, cell.id, connection);
        return follow(cell, connection);
    }
    bool follow(const Cell& cell, lab::Connection& connection) {
        if (cell.delay.count() > 0) std::this_thread::sleep_for(cell.delay);
        switch (cell.behind) {
            case Behind::nothing: return connection.pause(std::chrono::seconds(30)), false;
            case Behind::end: return false;
            case Behind::reset: return connection.reset(), false;
            case Behind::noise:
                connection.send(kNoise);
                return connection.pause(std::chrono::seconds(30)), false;
            case Behind::response:
                if (cell.before == Before::own) return connection.send(text(*cell.status, cell.id));
                ran(cell.id, true);
                return connection.send(http::formatResponse(200, {}, "own run " + cell.id, true));
        }
        return false;
    }

    const Pattern pattern_;
    std::mutex mutex_;
    std::map<std::string, const Status*> statuses_;
    std::map<std::string, const Cell*> cells_;
    std::map<std::string, int> calls_, runs_, deliveries_;
    std::map<std::pair<std::uint64_t, int>, std::string> carried_;  ///< by connection and status
    std::atomic<int> played_{0};
    lab::Server server_{"127.0.0.1:0",
                        [this](const http::Message& m, lab::Connection& c) { return answer(m, c); }};
};

class CopiedResponseTable : public testing::TestWithParam<std::tuple<Pattern, Effect, Restart, Group>> {
  protected:
    CopiedResponseTable() {
        log::setLevel(log::Level::off);
        program_ =
            startWithSettings(folder_.path, platform_, platform_.stub.at(),
                              entriesFor(cells_, endpoints_.address()), settingsFor(effect(), kSlots, kHeld));
    }
    ~CopiedResponseTable() override { EXPECT_EQ(program_->end(SIGTERM), 0); }

    static Pattern pattern() { return std::get<0>(GetParam()); }
    static Effect effect() { return std::get<1>(GetParam()); }
    static Restart restart() { return std::get<2>(GetParam()); }

    void handInMessage(const std::string& id, const Cell& cell) {
        ASSERT_EQ(program_->status(requestFor(id, cell.destination, kDeadlineMs)), 202) << id;
    }
    bool isEnded(const std::string& id) { return endpoints_.deliveries(id) > 0 || platform_.of(id) > 0; }

    /// The sender learns how the deliveries of each endpoint compare.
    void warmUp() {
        for (int i = 0; i < kWarmUps; ++i) {
            const auto idOf = [&](const Cell& cell) { return "warm-" + std::to_string(i) + "-" + cell.id; };
            for (const auto& cell : cells_) handInMessage(idOf(cell), cell);
            for (const auto& cell : cells_)
                EXPECT_TRUE(within(kPatience, [&] { return isEnded(idOf(cell)); })) << idOf(cell);
            std::this_thread::sleep_for(kRest);
        }
    }
    /// The response that is to be copied: each cell's message follows before its predecessor is tried again.
    void carryEarlier() {
        for (const auto& cell : cells_) {
            endpoints_.respond(cell.earlierId(), cell.status);
            if (cell.isCopied()) handInMessage(cell.earlierId(), cell);
        }
        for (const auto& cell : cells_)
            if (cell.isCopied()) {
                EXPECT_TRUE(within(kPatience, [&] { return endpoints_.calls(cell.earlierId()) > 0; }));
            }
        std::this_thread::sleep_for(kRest);
    }

    void checkCell(const Cell& cell) {
        const bool over = cell.status->code == 410 && cell.before == Before::own;
        EXPECT_TRUE(over || isEnded(cell.id)) << "lost, " << endpoints_.calls(cell.id) << " calls";
        if (effect() == Effect::unsafe) {
            EXPECT_LE(endpoints_.runs(cell.id), 1) << "an unsafe message ran twice";
        }
        if (restart() == Restart::kill || cell.isCopied()) return;
        if (cell.status->code == 200) {
            EXPECT_EQ(endpoints_.calls(cell.id), 1) << "it was delivered";
        } else if (cell.endsAttempts()) {
            EXPECT_EQ(endpoints_.calls(cell.id), 1) << "sent on after its end";
        } else if (cell.neverRan() || effect() != Effect::unsafe) {
            EXPECT_GE(endpoints_.deliveries(cell.id), 1) << "it may be sent again";
            // A second response may come with the next call for the message, which then is unknown in turn.
            EXPECT_LE(endpoints_.deliveries(cell.id), cell.behind == Behind::response ? 2 : 1);
        }
    }

    const std::vector<Cell> cells_ = cellsOf(std::get<3>(GetParam()));
    const Folder folder_;
    Endpoints endpoints_{pattern()};
    Platform platform_;
    std::unique_ptr<Program> program_;
};

TEST_P(CopiedResponseTable, NoMessageIsLostAndNoUnsafeOneRunsTwice) {
    warmUp();
    carryEarlier();
    for (const auto& cell : cells_) {
        endpoints_.play(cell);
        handInMessage(cell.id, cell);
    }
    for (const auto& cell : cells_)
        EXPECT_TRUE(within(kPatience, [&] { return endpoints_.calls(cell.id) > 0 || isEnded(cell.id); }))
            << cell.id;
    if (restart() == Restart::kill) {
        std::this_thread::sleep_for(kSettled);
        program_->end(SIGKILL);
        program_->start();
    }
    const auto until = net::Steady::now() + kPatience;
    for (const auto& cell : cells_) {
        const bool over = cell.status->code == 410 && cell.before == Before::own;
        while (!over && !isEnded(cell.id) && net::Steady::now() < until)
            std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(kAftermath);
    for (const auto& cell : cells_) {
        SCOPED_TRACE(cell.id);
        checkCell(cell);
    }
    RecordProperty("played", endpoints_.played());
    const auto own = static_cast<int>(
        std::count_if(cells_.begin(), cells_.end(), [](const Cell& c) { return c.before == Before::own; }));
    EXPECT_GE(endpoints_.played(), own);
    // Where deliveries are all alike no connection carries another request.
    if (pattern() == Pattern::alike) {
        EXPECT_EQ(endpoints_.played(), own);
    } else {
        EXPECT_GT(endpoints_.played(), own) << "no copy was played";
    }
}

std::string nameOf(const testing::TestParamInfo<CopiedResponseTable::ParamType>& info) {
    constexpr std::array<const char*, 2> kPatterns{"Alike", "Distinct"};
    constexpr std::array<const char*, 3> kEffects{"Pure", "Keyed", "Unsafe"};
    constexpr std::array<const char*, 2> kRestarts{"", "OverAKill"};
    constexpr std::array<const char*, 2> kGroups{"", "Parts"};
    return std::string(kPatterns[static_cast<std::size_t>(std::get<0>(info.param))]) +
           kEffects[static_cast<std::size_t>(std::get<1>(info.param))] +
           kRestarts[static_cast<std::size_t>(std::get<2>(info.param))] +
           kGroups[static_cast<std::size_t>(std::get<3>(info.param))];
}

INSTANTIATE_TEST_SUITE_P(Classes, CopiedResponseTable,
                         testing::Combine(testing::Values(Pattern::alike, Pattern::distinct),
                                          testing::Values(Effect::pure, Effect::keyed, Effect::unsafe),
                                          testing::Values(Restart::none, Restart::kill),
                                          testing::Values(Group::copies, Group::parts)),
                         nameOf);

}  // namespace
