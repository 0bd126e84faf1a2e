// What a response has in common with those that its connection carried before.
#include "http_client/response_history.hpp"

#include <gtest/gtest.h>

#include <string>

namespace {

using laurelhaven::http_client::Completeness;
using laurelhaven::http_client::ReceivedResponse;
using laurelhaven::http_client::Resemblance;
using laurelhaven::http_client::ResponseHistory;

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string kFull = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";

TEST(ResponseHistory, TellsDuplicatesFromOtherResponses) {
    ResponseHistory history;
    EXPECT_EQ(history.compare(kOk), Resemblance::none) << "the first response of a connection";
    history.add(kOk);
    EXPECT_EQ(history.compare(""), Resemblance::none) << "nothing was received";
    EXPECT_EQ(history.compare(kOk), Resemblance::duplicate);
    EXPECT_EQ(history.compare(kFull), Resemblance::none);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"), Resemblance::none);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx"), Resemblance::none);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nX: never ends"), Resemblance::none);
    history.add(kFull);
    EXPECT_EQ(history.compare(kOk), Resemblance::duplicate) << "any earlier response may be sent again";
}

TEST(ResponseHistory, RecognisesEachPlaceWhereADuplicateMayBreakOff) {
    ResponseHistory history;
    history.add(kOk);
    for (std::size_t cut = 1; cut < kOk.size(); ++cut) {
        const auto beginning = kOk.substr(0, cut);
        EXPECT_EQ(history.compare(beginning), Resemblance::truncated) << cut;
        EXPECT_EQ(history.compare(beginning + kFull), Resemblance::spliced) << cut;
    }
}

TEST(ResponseHistory, ComparesLongResponsesByTheirBeginningAndSize) {
    ResponseHistory history;
    const std::string longOne = kOk + std::string(5000, 'x');
    history.add(longOne);
    EXPECT_EQ(history.compare(longOne), Resemblance::duplicate);
    EXPECT_EQ(history.compare(longOne + "x"), Resemblance::none);
}

// What is cut behind the bytes that are kept was held for a response that differs, and its first line
// counted.
TEST(ResponseHistory, TakesNoPartOfALongResponseForAnother) {
    ResponseHistory history;
    const std::string longOne = "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x');
    history.add(longOne);
    for (const std::size_t cut : {1023u, 1024u, 1025u, 3000u}) {
        const auto beginning = longOne.substr(0, cut);
        EXPECT_EQ(history.compare(beginning), Resemblance::truncated) << cut;
        EXPECT_EQ(history.compare(beginning + kFull + std::string(6000, ' ')), Resemblance::spliced) << cut;
    }
}

TEST(ResponseHistory, SeesAPartWhoseNextByteWouldHaveBeenTheSame) {
    ResponseHistory history;
    history.add("HTTP/1.1 200 OK\r\nX-Host: Here\r\n\r\n");
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nX-Host: " + kFull), Resemblance::spliced);
    EXPECT_EQ(history.compare("HTTP/1.1 200 OK\r\nX-Host: H" + kFull), Resemblance::spliced);
}

TEST(ResponseHistory, AVersionWithinWhatIsSharedIsNoPart) {
    ResponseHistory history;
    const std::string begin = "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 front\r\nX: ";
    history.add(begin + "1\r\n\r\n");
    EXPECT_EQ(history.compare(begin + "2\r\n\r\n"), Resemblance::none);
}

TEST(ResponseHistory, KnowsDuplicatesOfOldResponsesUntilItIsFull) {
    ResponseHistory history;
    const auto numbered = [](int i) {
        return "HTTP/1.1 200 OK\r\nSrv-Load: x0=" + std::to_string(i) + "\r\n\r\n";
    };
    history.add(kOk);
    int count = 0;
    for (; !history.isFull(); ++count) {
        ASSERT_LT(count, 1000) << "it must be bounded";
        history.add(numbered(count));
        history.add(numbered(count));
    }
    EXPECT_GT(count, 200);
    EXPECT_EQ(history.compare(kOk), Resemblance::duplicate);
    for (int i = 0; i < count; ++i) EXPECT_EQ(history.compare(numbered(i)), Resemblance::duplicate) << i;
    EXPECT_EQ(history.compare(numbered(count)), Resemblance::none);
}

// A copy behind a blank line was held for a response that differs, and its message for delivered.
TEST(ResponseHistory, BlankLinesInFrontOfADuplicateMakeNoOtherResponse) {
    ResponseHistory history;
    history.add(kOk);
    for (const std::string blank : {"\r\n", "\n", "\r\n\r\n"}) {
        EXPECT_EQ(history.compare(blank + kOk), Resemblance::duplicate);
        EXPECT_EQ(history.compare(blank + kOk.substr(0, 20)), Resemblance::truncated);
        EXPECT_EQ(history.compare(blank + kOk.substr(0, 20) + kFull), Resemblance::spliced);
        EXPECT_EQ(history.compare(blank + kFull), Resemblance::none);
    }
    EXPECT_EQ(history.compare("\r\n"), Resemblance::none);
    ResponseHistory other;
    other.add("\r\n" + kOk);
    EXPECT_EQ(other.compare(kOk), Resemblance::duplicate);
}

/// What a reader returns of these bytes.
ReceivedResponse received(const std::string& bytes) {
    laurelhaven::http::Parser parser(laurelhaven::http::Parser::Role::response);
    const auto state = parser.feed(bytes);
    ReceivedResponse response;
    response.completeness = state == laurelhaven::http::Parser::State::complete ? Completeness::complete
                            : state == laurelhaven::http::Parser::State::bad    ? Completeness::malformed
                                                                                : Completeness::partial;
    if (response.completeness == Completeness::partial &&
        parser.finish() == laurelhaven::http::Parser::State::complete) {
        response.completeness = Completeness::complete;
        response.untilClose = true;
    }
    response.leftover = response.isComplete() ? parser.leftover() : 0;
    response.bytes = bytes.substr(0, bytes.size() - response.leftover);
    return response;
}

// The 200 of a part of a copy, with the noise behind it that was the request's own response, was held for its
// delivery; and the 503 of such a part for its rejection.
TEST(ResponseHistory, APartOfADuplicateWithOtherBytesBehindItMayBeAnyResponse) {
    ResponseHistory history;
    const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nnumber";
    const auto mayBeginWithPart = [&](const std::string& bytes) {
        const auto response = received(bytes);
        return history.mayBeginWithPart(response, bytes.substr(response.bytes.size()));
    };
    EXPECT_FALSE(mayBeginWithPart("HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n")) << "the first one";
    for (const std::string& original : {kOk, other, kFull}) {
        history.add(original);
        for (const std::string noise :
             {"\x01\x02 noise that is no response\r\n\r\n", "\x07\x1b#noise that nobody can read#\x02\x03"})
            for (std::size_t cut = 12; cut < original.size(); ++cut)
                EXPECT_TRUE(mayBeginWithPart(original.substr(0, cut) + noise)) << cut << ' ' << original;
    }
    EXPECT_FALSE(mayBeginWithPart("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nthesix")) << "whole";
    EXPECT_FALSE(mayBeginWithPart("HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 2\r\n\r\nok and more"))
        << "its head is no earlier one's";
    EXPECT_FALSE(mayBeginWithPart("HTTP/1.1 200 OK\r\nSrv-Load: \x01\xff\r\nContent-Length: 0\r\n\r\n"))
        << "a load report that can't be read, and the rest of the head behind it";
    const std::string again = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers";
    EXPECT_FALSE(mayBeginWithPart(again + again)) << "its second copy shows that it was whole";
    EXPECT_FALSE(mayBeginWithPart("HTTP/1.1 500 Error\r\nContent-Length: many\r\n\r\n"))
        << "its status is new";
}

/// The content hash of a 200 with these headers and this body.
std::size_t contentOf(const std::string& headers, const std::string& body = "ok") {
    laurelhaven::http::Parser parser(laurelhaven::http::Parser::Role::response);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers +
                "\r\n" + body);
    return laurelhaven::http_client::contentHash(parser.message());
}

// Responses that differ in their second alone were held for distinct, and those of one second are not.
TEST(ContentHash, IsThatOfWhatAResponseSaysWheneverItIsSent) {
    const auto plain = contentOf("");
    EXPECT_EQ(contentOf("Date: Sat, 05 Dec 2026 10:00:00 GMT\r\n"), plain);
    EXPECT_EQ(contentOf("date: Sat, 05 Dec 2026 10:00:01 GMT\r\n"), plain);
    EXPECT_EQ(contentOf("Connection: close\r\n"), plain);
    EXPECT_NE(contentOf("X-Date: Sat, 05 Dec 2026 10:00:00 GMT\r\n"), plain);
    EXPECT_NE(contentOf("X-Number: 1\r\n"), plain);
    EXPECT_NE(contentOf("", "no"), plain);
}

}  // namespace
