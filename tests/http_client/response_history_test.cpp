// What a response has in common with those that its connection carried before.
#include "http_client/response_history.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using laurelhaven::http_client::Resemblance;
using laurelhaven::http_client::ResponseHistory;

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kFull = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

TEST(ResponseHistory, TellsDuplicatesFromOtherResponses) {
    ResponseHistory history;
    EXPECT_EQ(history.compare(kOk), Resemblance::none) << "the first response of a connection";
    history.add(kOk, 0);
    EXPECT_EQ(history.compare(""), Resemblance::none) << "nothing was received";
    EXPECT_EQ(history.compare(kOk), Resemblance::duplicate);
    EXPECT_EQ(history.compare(kFull), Resemblance::none);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"), Resemblance::none);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx"), Resemblance::none);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nX: never ends"), Resemblance::none);
    history.add(kFull, 0);
    EXPECT_EQ(history.compare(kOk), Resemblance::duplicate) << "any earlier response may be sent again";
}

TEST(ResponseHistory, RecognisesEachPlaceWhereADuplicateMayBreakOff) {
    ResponseHistory history;
    history.add(kOk, 0);
    for (std::size_t cut = 1; cut < kOk.size(); ++cut) {
        const auto beginning = kOk.substr(0, cut);
        EXPECT_EQ(history.compare(beginning), Resemblance::truncated) << cut;
        EXPECT_EQ(history.compare(beginning + kFull), Resemblance::spliced) << cut;
    }
}

TEST(ResponseHistory, ComparesLongResponsesByTheirBeginningAndSize) {
    ResponseHistory history;
    const std::string longOne = kOk + std::string(5000, 'x');
    history.add(longOne, 0);
    EXPECT_EQ(history.compare(longOne), Resemblance::duplicate);
    EXPECT_EQ(history.compare(longOne + "x"), Resemblance::none);
}

TEST(ResponseHistory, KeepsOnlyTheLastFew) {
    ResponseHistory history;
    history.add(kOk, 0);
    for (int i = 0; i < 9; ++i)
        history.add("HTTP/1.1 200 OK\r\nSrv-Load: x0=0." + std::to_string(i) + "\r\n\r\n", 0);
    EXPECT_EQ(history.compare(kOk), Resemblance::none);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nSrv-Load: x0=0.8\r\n\r\n"), Resemblance::duplicate);
}

}  // namespace
