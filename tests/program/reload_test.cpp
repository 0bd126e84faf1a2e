// New configurations while the sender runs.
#include <gtest/gtest.h>

#include "program.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

// The signal comes while the file is half written, and no other one follows: the file is read once more.
TEST(Reload, AHalfWrittenConfigurationIsReadAgain) {
    const Folder folder;
    Platform old, moved;
    old.watch = moved.watch = list(9, true, entry("a", "127.0.0.1:1", 7)) + "\n";
    Program program(folder.path, old, entry("a", "127.0.0.1:1", 7));
    const auto whole = configuration(local(program.port()), moved.stub.at(), entry("a", "127.0.0.1:1", 7));
    program.configure(whole.substr(0, whole.size() / 2));
    ASSERT_EQ(kill(program.pid(), SIGHUP), 0);
    // The signal has been taken once it is no longer pending.
    const auto pending = [&] {
        std::ifstream status("/proc/" + std::to_string(program.pid()) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with("ShdPnd:")) return std::stoull(line.substr(7), nullptr, 16);
        return 0ull;
    };
    await([&] { return pending() == 0; });
    program.configure(whole);
    const auto until = net::Steady::now() + std::chrono::seconds(10);
    while (moved.asked == 0 && net::Steady::now() < until) std::this_thread::sleep_for(milliseconds(2));
    EXPECT_GT(moved.asked, 0) << "it stays with the old discovery";
    EXPECT_EQ(program.end(SIGTERM), 0);
}

}  // namespace
