// Reading one response from a socket, whole or in pieces, good or not.
#include "http_client/response_reader.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <string>
#include <thread>

namespace {

using namespace laurelhaven;
using http_client::Completeness;
using http_client::ReceivedResponse;

/// What is read where the peer writes these bytes, one at a time, and then ends its sending or stays.
ReceivedResponse readFrom(const std::string& bytes, bool ends,
                          std::chrono::milliseconds limit = std::chrono::seconds(20)) {
    int ends2[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends2), 0);
    const net::Fd reader(ends2[0]), writer(ends2[1]);
    std::thread peer([&] {
        for (const char byte : bytes)
            net::sendAll(writer.get(), std::string_view(&byte, 1), net::Steady::now() + limit);
        if (ends) net::shutdownWrite(writer.get());
    });
    const auto response = http_client::ResponseReader(reader.get(), {}).next(net::Steady::now() + limit);
    peer.join();
    return response;
}

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kFull = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

TEST(ResponseReader, SkipsInterimResponses) {
    const auto response =
        readFrom("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + kOk, false);
    EXPECT_EQ(response.completeness, Completeness::complete);
    EXPECT_EQ(response.message.status, 200);
    EXPECT_EQ(response.bytes, kOk);
    EXPECT_TRUE(response.keepsAlive());
}

TEST(ResponseReader, ABodyWithoutALengthLeavesNothingForAnotherRequest) {
    const auto response = readFrom("HTTP/1.1 200 OK\r\n\r\nbody", true);
    EXPECT_EQ(response.completeness, Completeness::complete);
    EXPECT_FALSE(response.keepsAlive());
}

TEST(ResponseReader, NamesWhatIsNoWholeResponse) {
    using std::chrono::milliseconds;
    EXPECT_EQ(readFrom("", true).completeness, Completeness::none);
    EXPECT_EQ(readFrom("", false, milliseconds(20)).lastIo, net::IoResult::timedOut);
    EXPECT_EQ(readFrom("HTTP/1.1 100 Continue\r\n\r\n", true).completeness, Completeness::none);
    EXPECT_EQ(readFrom("HTTP/1.1 200 OK\r\nConte", true).completeness, Completeness::partial);
    EXPECT_EQ(readFrom("HTTP/1.1 200 OK\r\nConte", true).message.status, 200);
    EXPECT_EQ(readFrom("noise\r\n\r\n", false).completeness, Completeness::malformed);
}

TEST(ResponseReader, BytesBehindTheResponseAreTheNextOne) {
    int ends[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    const net::Fd reader(ends[0]), writer(ends[1]);
    net::sendAll(writer.get(), kOk + kFull, net::Steady::now() + std::chrono::seconds(20));
    const auto until = net::Steady::now() + std::chrono::seconds(20);
    http_client::ResponseReader responses(reader.get(), {});
    const auto response = responses.next(until);
    EXPECT_EQ(response.bytes, kOk);
    EXPECT_EQ(response.leftover, kFull.size());
    EXPECT_FALSE(response.keepsAlive());
    const auto second = responses.next(until);
    EXPECT_EQ(second.bytes, kFull);
    EXPECT_EQ(second.message.status, 503);
    EXPECT_EQ(responses.next(net::Steady::now()).completeness, Completeness::none);
}

}  // namespace
