// A sender over a restart while the wall clock is stepped: deadlines stay spans of real time.
#include <gtest/gtest.h>

#include "program.hpp"
#include "shim/fault_host.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

constexpr std::int64_t kHourMs = 3'600'000;

class ClockSteps : public testing::Test {
  protected:
    /// A sender with one message on record that no endpoint has been called for, killed.
    void killWithAMessage(int deadlineMs) {
        platform_.watch = list(9, true, entry("a", silent_, 7)) + "\n";
        program_ = std::make_unique<Program>(folder_.path, platform_, entry("a", silent_, 7));
        program_->end(SIGKILL);
        program_->setVariables(faults_.environment());
        program_->start();
        ASSERT_EQ(program_->status(handIn("m", deadlineMs)), 202);
        program_->end(SIGKILL);
    }

    const Folder folder_;
    lab::FaultHost faults_{folder_.path + "/faults", SHIM};
    Platform platform_;
    // Its queue is full: connects to it hang, so nothing leaves.
    net::Fd listener_ = net::listenOn(*net::parseAddress(local(0)), 0);
    const std::string silent_ = local(net::localPort(listener_.get()));
    std::vector<net::Fd> queued_ = [this] {
        std::vector<net::Fd> all;
        for (int i = 0; i < 4; ++i) {
            all.push_back(net::tcpSocket());
            net::connectBy(all.back().get(), *net::parseAddress(silent_),
                           net::Steady::now() + milliseconds(50));
        }
        return all;
    }();
    std::unique_ptr<Program> program_;
};

// An hour forward: the message has its time yet, and is called.
TEST_F(ClockSteps, AStepForwardOverARestartEndsNothing) {
    killWithAMessage(24'000);
    faults_.control().wallOffsetMs = kHourMs;
    std::atomic<int> called{0};
    Stub endpoint([&](http::Message& m) {
        if (m.target == "/hook") ++called;
        return answer(200);
    });
    {
        const std::lock_guard lock(platform_.mutex);
        platform_.notices.clear();
    }
    platform_.watch = list(10, true, entry("b", endpoint.at(), 7)) + "\n";
    program_->start();
    await([&] { return called > 0 || platform_.of("m") > 0; });
    EXPECT_EQ(called, 1);
    EXPECT_EQ(platform_.of("m"), 0u) << "it was ended uncalled";
    EXPECT_EQ(program_->end(SIGTERM), 0);
}

// An hour back: the message ends when its time is up, not an hour later.
TEST_F(ClockSteps, AStepBackOverARestartProlongsNothing) {
    killWithAMessage(3'000);
    faults_.control().wallOffsetMs = -kHourMs;
    program_->start();
    const auto until = net::Steady::now() + std::chrono::seconds(8);
    while (platform_.of("m") == 0 && net::Steady::now() < until) std::this_thread::sleep_for(milliseconds(5));
    EXPECT_EQ(platform_.of("m"), 1u) << "its end never came";
    EXPECT_EQ(program_->end(SIGKILL), -SIGKILL);
}

}  // namespace
