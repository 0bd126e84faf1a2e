// A sender that is held up over a message's deadline finds its 200 behind it, and still owes the message an
// end.
#include <gtest/gtest.h>
#include <signal.h>

#include "log/log.hpp"
#include "program.hpp"
#include "standin/server.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

constexpr milliseconds kTimeToLive{800};

TEST(HeldUpOverADeadline, ADeliveryBehindItLosesNoMessage) {
    log::setLevel(log::Level::off);
    std::atomic<int> calls{0};
    std::atomic<bool> answers{false}, answered{false};
    lab::Server endpoint("127.0.0.1:0", [&](const http::Message& m, lab::Connection& c) {
        if (m.target != "/hook") return c.send(answer(404));
        ++calls;
        while (!answers) std::this_thread::sleep_for(milliseconds(1));
        c.send(answer(200));
        answered = true;
        return true;
    });
    endpoint.start();
    const Folder folder;
    Platform platform;
    platform.watch = list(9, true, entry("a", endpoint.address(), 7)) + "\n";
    Program program(folder.path, platform, entry("a", endpoint.address(), 7));
    const auto deadline = net::Steady::now() + kTimeToLive;
    ASSERT_EQ(program.status(handIn("m", static_cast<int>(kTimeToLive.count()))), 202);
    await([&] { return calls == 1; });
    kill(program.pid(), SIGSTOP);
    std::this_thread::sleep_until(deadline + milliseconds(100));
    answers = true;
    await([&] { return answered.load(); });
    kill(program.pid(), SIGCONT);
    for (const auto until = net::Steady::now() + milliseconds(2000);
         platform.of("m") == 0 && net::Steady::now() < until;)
        std::this_thread::sleep_for(milliseconds(2));
    EXPECT_EQ(platform.of("m"), 1u) << "it was delivered only after its time";
    EXPECT_EQ(program.end(SIGTERM), 0);
}

}  // namespace
