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
        ASSERT_EQ(net::sendAll(fd.get(), request, soon()), net::IoResult::done);
        net::shutdownWrite(fd.get());
        std::string got;
        while (net::receive(fd.get(), got, soon()) == net::IoResult::done) {
        }
        answered += got.starts_with("HTTP/1.1 202") || got.starts_with("HTTP/1.1 503");
    }
    EXPECT_EQ(answered, kClients);
    EXPECT_EQ(program.end(SIGTERM), 0);
}

// Counters can be read where clients connect, and tell what the process has done.
TEST(ClientAnswers, MetricsAreAnswered) {
    const Folder folder;
    Platform platform;
    Stub endpoint([](http::Message&) { return answer(200); });
    platform.watch = list(9, true, entry("a", endpoint.at(), 7)) + "\n";
    Program program(folder.path, platform, entry("a", endpoint.at(), 7));
    ASSERT_EQ(program.status(handIn("m")), 202);
    const auto metrics = [&] {
        const auto fd = program.connection();
        net::sendAll(fd.get(), "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n", soon());
        std::string got;
        while (net::receive(fd.get(), got, soon()) == net::IoResult::done) {
        }
        return got;
    };
    await([&] {
        return metrics().find("laurelhaven_calls_total{ending=\"delivered\"} 1") != std::string::npos;
    });
    const auto text = metrics();
    EXPECT_NE(text.find("laurelhaven_messages_total{verdict=\"taken\"} 1"), std::string::npos) << text;
    EXPECT_NE(text.find("laurelhaven_messages_held 0"), std::string::npos) << text;
    EXPECT_EQ(text.find("rule_violations_total"), std::string::npos) << text;
    EXPECT_EQ(program.status("POST /metrics HTTP/1.1\r\nContent-Length: 0\r\n\r\n"), 405);
    EXPECT_EQ(program.end(SIGTERM), 0);
}

}  // namespace
