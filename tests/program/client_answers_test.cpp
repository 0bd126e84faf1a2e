// Every request that has come whole gets an answer, whatever its client does with its own side.
#include <gtest/gtest.h>

#include "program.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

// A client may end its sending behind a whole request and wait for the answer (RFC 9112, 9.6).
TEST(ClientAnswers, AClientThatEndsItsSendingIsAnswered) {
    const Folder folder;
    Platform platform;
    Stub endpoint([](http::Message&) { return answer(200); });
    platform.watch = list(9, true, entry("a", endpoint.at(), 7)) + "\n";
    Program program(folder.path, platform, entry("a", endpoint.at(), 7));
    constexpr int kClients = 20;
    int answered = 0;
    for (int i = 0; i < kClients; ++i) {
        const auto fd = program.connection();
        const auto request = handIn("m" + std::to_string(i));
        ASSERT_EQ(net::sendAll(fd.get(), request, soon()), net::Io::done);
        net::shutWriting(fd.get());
        std::string got;
        while (net::receive(fd.get(), got, soon()) == net::Io::done) {
        }
        answered += got.starts_with("HTTP/1.1 202") || got.starts_with("HTTP/1.1 503");
    }
    EXPECT_EQ(answered, kClients);
    EXPECT_EQ(program.end(SIGTERM), 0);
}

}  // namespace
