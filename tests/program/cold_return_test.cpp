// A sender that saw one failure of a destination in an outage, whatever it was, keeps what it sends below
// what would push the destination over when it returns cold; also over a restart between the two.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <mutex>
#include <optional>
#include <ostream>
#include <vector>

#include "log/log.hpp"
#include "message_table.hpp"
#include "standin/server.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

enum class Sign { shortWait, longWait, noWait, connectRefused, reset, hang, error };
constexpr std::array kSigns{Sign::shortWait, Sign::longWait, Sign::noWait, Sign::connectRefused,
                            Sign::reset,     Sign::hang,     Sign::error};
enum class Between { nothing, killed, terminated, reloaded, killedWithoutDiscovery };
constexpr std::array kBetween{Between::nothing, Between::killed, Between::terminated, Between::reloaded,
                              Between::killedWithoutDiscovery};

struct Cell {
    Sign sign;
    Between between;
};
std::string name(const Cell& cell) {
    constexpr std::array kSignNames{"ShortWait", "LongWait", "NoWait", "ConnectRefused",
                                    "Reset",     "Hang",     "Error"};
    constexpr std::array kBetweenNames{"", "Killed", "Terminated", "Reloaded", "KilledWithoutDiscovery"};
    return std::string(kSignNames[static_cast<std::size_t>(cell.sign)]) +
           kBetweenNames[static_cast<std::size_t>(cell.between)];
}
std::ostream& operator<<(std::ostream& out, const Cell& cell) { return out << name(cell); }

std::vector<Cell> cells() {
    std::vector<Cell> all;
    for (const auto sign : kSigns)
        for (const auto between : kBetween) all.push_back({sign, between});
    return all;
}

constexpr int kSenders = 3;
constexpr double kCapacity = 50;  // requests a second, as the list says, from all senders together

/// The share of its capacity that a destination has so long after its return.
double shareAt(double secondsSinceReturn) {
    return std::min(1.0, 0.19 + 0.81 * std::max(0.0, secondsSinceReturn) / 14);
}

/// An endpoint that delivers as fast as one sender's part of its capacity lets it, or fails as it is told to.
class Endpoint {
  public:
    using Moment = net::Deadline;

    Endpoint() { server_.start(); }
    std::string address() const { return server_.address(); }
    void fail(Sign sign) {
        sign_ = sign;
        failing_ = true;
        if (sign == Sign::connectRefused) server_.stop();
    }
    void recover() {
        {
            const std::lock_guard lock(mutex_);
            returnedAt_ = freeAt_ = net::Steady::now();
        }
        failing_ = false;
        if (sign_ == Sign::connectRefused) server_.start();
    }
    int failures() const { return failures_; }
    std::vector<Moment> arrivals() {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }

  private:
    static constexpr milliseconds kTakes{180};
    static constexpr milliseconds kLongestQueue{600};

    /// How long this request takes; nothing where the queue is full.
    std::optional<std::chrono::nanoseconds> queueFor() {
        const std::lock_guard lock(mutex_);
        const auto now = net::Steady::now();
        if (returnedAt_ == Moment{}) return kTakes;
        const double rate =
            kCapacity / kSenders * shareAt(std::chrono::duration<double>(now - returnedAt_).count());
        freeAt_ = std::max(freeAt_, now);
        if (freeAt_ - now > kLongestQueue) return {};
        const auto wait = freeAt_ - now;
        freeAt_ += std::chrono::duration_cast<net::Steady::duration>(std::chrono::duration<double>(1 / rate));
        return wait + kTakes;
    }

    bool answer(const http::Message& request, lab::Connection& connection) {
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(net::Steady::now());
        }
        if (failing_) {
            ++failures_;
            return failOne(connection);
        }
        const auto takes = queueFor();
        if (!takes) return connection.send(http::formatResponse(503, {}, "full", true));
        const auto* id = request.headers.find("Req-Id");
        return connection.pause(*takes) &&
               connection.send(http::formatResponse(200, {}, "run " + (id ? *id : ""), true));
    }
    bool failOne(lab::Connection& connection) {
        const auto respond = [&](int status, const http::Fields& fields = {}) {
            return connection.send(http::formatResponse(status, fields, "full", true));
        };
        switch (sign_) {
            case Sign::shortWait: return respond(429, {{"Retry-After", "0.5"}});
            case Sign::longWait: return respond(429, {{"Retry-After", "2.6"}});
            case Sign::noWait: return respond(503);
            case Sign::error: return respond(500);
            case Sign::reset: connection.reset(); return false;
            case Sign::hang: connection.pause(std::chrono::seconds(20)); return false;
            case Sign::connectRefused: break;
        }
        return false;
    }

    std::atomic<Sign> sign_{Sign::noWait};
    std::atomic<bool> failing_{false};
    std::atomic<int> failures_{0};
    std::mutex mutex_;
    std::vector<Moment> arrivals_;
    Moment returnedAt_{}, freeAt_{};
    lab::Server server_{"127.0.0.1:0", [this](const http::Message& request, lab::Connection& connection) {
                            return answer(request, connection);
                        }};
};

class ColdReturnTable : public testing::TestWithParam<Cell> {
  protected:
    static constexpr int kClump = 60;
    static constexpr milliseconds kOutage{2600};
    static constexpr std::chrono::seconds kSpan{2};

    ColdReturnTable() {
        log::setLevel(log::Level::off);
        auto text = settingsFor(Effect::keyed, 54, 400);
        const std::string usual = R"("balancers":2)";
        text.replace(text.find(usual), usual.size(), R"("balancers":)" + std::to_string(kSenders));
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
            case Between::killedWithoutDiscovery: platform_.watch.clear(); return restart(SIGKILL);
        }
    }
    void submit(int from, int count) {
        const auto connection = program_->connection();
        for (int i = from; i < from + count; ++i)
            Program::status(connection, requestFor("m" + std::to_string(i), 7, 20000));
    }
    /// What one sender may send in the span from then on: its third of what pushes the destination over.
    static double allowed(double secondsSinceReturn) {
        const double attempts =
            2 * kCapacity * shareAt(secondsSinceReturn + 1) * std::chrono::duration<double>(kSpan).count();
        return (attempts + 2 * std::sqrt(attempts) + 2) / kSenders;
    }

    Folder folder_;
    Platform platform_;
    Endpoint endpoint_;
    std::unique_ptr<Program> program_;
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
    const auto returnedAt = net::Steady::now();
    endpoint_.recover();
    submit(100, kClump);
    ASSERT_TRUE(within(milliseconds(15000), [&] { return metric(*program_, "messages_held") == 0; }));
    const auto arrivals = endpoint_.arrivals();
    for (const auto from : arrivals) {
        if (from < returnedAt) continue;
        const auto count = std::count_if(arrivals.begin(), arrivals.end(),
                                         [&](const auto at) { return at >= from && at < from + kSpan; });
        const auto since = std::chrono::duration<double>(from - returnedAt).count();
        EXPECT_LE(static_cast<double>(count), allowed(since)) << since << " s behind the return";
    }
}

INSTANTIATE_TEST_SUITE_P(Cells, ColdReturnTable, testing::ValuesIn(cells()),
                         [](const auto& cell) { return name(cell.param); });

}  // namespace
