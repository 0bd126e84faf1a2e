// A keyed message whose attempt was open when its sender was killed may have run, whatever the next life of
// the sender comes to: played with real processes, over two kills.
#include <gtest/gtest.h>

#include "log/log.hpp"
#include "program.hpp"
#include "standin/server.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

constexpr milliseconds kKeyWindow{4000};
constexpr int kDeadlineMs = 20'000;
// Behind the window's end, so that no repeat is a matter of milliseconds.
constexpr milliseconds kWellPast{300};

std::string withKeyWindow(milliseconds window) {
    auto text = settings();
    const std::string usual = R"("key-ttl-ns":15000000000)";
    const auto nanoseconds = std::chrono::nanoseconds(window).count();
    return text.replace(text.find(usual), usual.size(), R"("key-ttl-ns":)" + std::to_string(nanoseconds));
}

std::string metrics(const Program& program) {
    const auto fd = program.connection();
    net::sendAll(fd.get(), "GET /metrics HTTP/1.1\r\n\r\n", soon());
    http::Parser parser(http::Parser::Role::response);
    for (std::string got; parser.state() != http::Parser::State::complete; got.clear()) {
        if (net::receive(fd.get(), got, soon()) != net::IoResult::done) return {};
        parser.feed(got);
    }
    return parser.message().body;
}

class RepeatAfterKills : public testing::Test {
  protected:
    RepeatAfterKills() {
        log::setLevel(log::Level::off);
        platform_.watch = list(9, true, entry("a", endpoint_.address(), 7)) + "\n";
        endpoint_.start();
        program_ = std::make_unique<Program>(folder_.path, platform_, entry("a", endpoint_.address(), 7));
        program_->end(SIGKILL);
        program_->configure(configuration(local(program_->port()), platform_.stub.at(),
                                          entry("a", endpoint_.address(), 7), withKeyWindow(kKeyWindow)));
        program_->start();
    }
    /// One message, whose call is read by the endpoint and never answered; then a kill.
    void killWithAnOpenAttempt() {
        ASSERT_EQ(program_->status(handIn("m", kDeadlineMs)), 202);
        await([this] { return calls_ == 1; });
        calledBy_ = net::Steady::now();
        program_->end(SIGKILL);
    }
    /// A life in which no connection to the endpoint comes up; then another kill.
    void liveWithoutAConnection() {
        endpoint_.stop();
        program_->start();
        await([this] {
            return metrics(*program_).find(R"(calls_total{ending="no_connection"})") != std::string::npos;
        });
        program_->end(SIGKILL);
    }

    const Folder folder_;
    std::atomic<int> calls_{0};
    std::atomic<bool> answers_{false};
    // Apart from where connections begin, or one of theirs might take the port while it is given up.
    lab::Server endpoint_{"127.0.7.2:" + std::to_string(freePort()),
                          [this](const http::Message& m, lab::Connection& c) {
                              if (m.target != "/hook") return c.send(answer(404));
                              ++calls_;
                              if (answers_) return c.send(answer(200));
                              while (c.pause(milliseconds(20))) {
                              }
                              return false;
                          }};
    Platform platform_;
    std::unique_ptr<Program> program_;
    net::Deadline calledBy_;
};

TEST_F(RepeatAfterKills, AKeyedMessageIsNotSentAgainOutsideItsWindow) {
    killWithAnOpenAttempt();
    liveWithoutAConnection();
    ASSERT_LT(net::Steady::now(), calledBy_ + kKeyWindow) << "the second life was to try within the window";
    std::this_thread::sleep_until(calledBy_ + kKeyWindow + kWellPast);
    answers_ = true;
    endpoint_.start();
    program_->start();
    await([this] { return calls_ > 1 || platform_.of("m") > 0; });
    EXPECT_EQ(calls_, 1) << "sent again outside its key's window";
    EXPECT_EQ(platform_.of("m"), 1u) << "it ends instead";
}

// Within the window the third life still sends it.
TEST_F(RepeatAfterKills, AKeyedMessageIsSentAgainWithinItsWindow) {
    killWithAnOpenAttempt();
    liveWithoutAConnection();
    answers_ = true;
    endpoint_.start();
    program_->start();
    await([this] { return calls_ > 1 || platform_.of("m") > 0; });
    EXPECT_EQ(calls_, 2);
    EXPECT_EQ(platform_.of("m"), 0u);
}

}  // namespace
