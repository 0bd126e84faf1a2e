// A sender that starts while its machine lacks something for a moment.
#include <gtest/gtest.h>

#include "program.hpp"
#include "shim/fault_host.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

// No descriptor is to be had for the first tries: it asks again, and serves.
TEST(StartFaults, ASenderWithoutASocketForAMomentStarts) {
    const Folder folder;
    lab::FaultHost faults(folder.path + "/faults", SHIM);
    Platform platform;
    Program program(folder.path, platform, entry("a", "127.0.0.1:1", 7));
    program.end(SIGKILL);
    program.setVariables(faults.environment());
    auto& socket = faults.control().socket;
    socket.error = ENFILE;
    socket.permille = 1000;
    program.start([&](pid_t pid) {
        const auto until = soon();
        while (socket.injected < 3 && net::Steady::now() < until) {
            ASSERT_EQ(waitpid(pid, nullptr, WNOHANG), 0) << "it has ended";
            std::this_thread::sleep_for(milliseconds(2));
        }
        socket.permille = 0;
    });
    EXPECT_EQ(program.end(SIGTERM), 0);
}

}  // namespace
