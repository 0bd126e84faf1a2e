// What arrives on an idle connection, and which request may use the connection again.
#include "delivery/idle_activity.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "delivery/idle.hpp"
#include "log/log.hpp"

namespace {

using namespace laurelhaven;
using delivery::EndpointConnection;

const std::string kFull = http::formatResponse(503, {}, "", true);
const std::string kOk = http::formatResponse(200, {}, "", true);
constexpr bool kSafe = true, kUnsafe = false;

class IdleActivity : public testing::Test {
  protected:
    IdleActivity() { log::setLevel(log::Level::off); }

    /// A connection that has carried these responses.
    EndpointConnection carried(const std::vector<std::string>& responses) {
        int fds[2];
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
        peer_ = net::Fd(fds[1]);
        EndpointConnection connection("e", "a:1", net::Fd(fds[0]));
        connection.setConnected();
        for (const auto& text : responses) {
            http::Parser parser(http::Parser::Role::response);
            parser.feed(text);
            http_client::ReceivedResponse response;
            response.message = parser.message();
            response.completeness = http_client::Completeness::complete;
            response.bytes = text;
            connection.responseReceived(response);
        }
        return connection;
    }
    std::size_t counted(const EndpointConnection& connection, const std::string& bytes) {
        net::sendAll(peer_.get(), bytes, net::Steady::now() + std::chrono::seconds(5));
        EXPECT_EQ(delivery::activityOnIdle(connection, rules_), "unsolicited_bytes");
        return violations_.countOf(rules::Rule::ownResponse);
    }
    bool isAcquired(EndpointConnection connection, bool mayBeRepeated) {
        delivery::IdleConnections idle(std::chrono::seconds(0), std::chrono::hours(1), 4, rules_);
        idle.release(std::move(connection));
        return idle.acquire("e", "a:1", mayBeRepeated).has_value();
    }

    net::Fd peer_;
    rules::Violations violations_;
    rules::ResponseRules rules_{violations_};
};

// A copy with noise behind it was counted as the response to another request.
TEST_F(IdleActivity, ACopyWithNoiseBehindItIsACopy) {
    for (const auto& behind : std::vector<std::string>{"", "noise", kOk, kFull})
        EXPECT_EQ(counted(carried({kOk}), kOk + behind), 0u) << behind;
}

TEST_F(IdleActivity, AnotherResponseIsCounted) { EXPECT_EQ(counted(carried({kOk}), kFull + "noise"), 1u); }

TEST_F(IdleActivity, AConnectionIsUsedAgainOnlyByRequestsItMayCarry) {
    EXPECT_FALSE(isAcquired(carried({kOk}), kSafe)) << "deliveries may all be alike";
    EXPECT_TRUE(isAcquired(carried({kFull}), kSafe));
    EXPECT_FALSE(isAcquired(carried({kFull}), kUnsafe));
}

}  // namespace
