// Which response belongs to which request, by what a connection has carried and how its endpoint responds.
#include "rules/response_rules.hpp"

#include <gtest/gtest.h>

#include "log/log.hpp"

namespace {

using namespace laurelhaven;
using namespace std::chrono_literals;
using http_client::Completeness;
using http_client::Resemblance;
using rules::ArrivedResponse;
using rules::CarriedResponses;
using rules::ResponseVerdict;
using rules::SentRequest;

constexpr CarriedResponses kNothing{}, kDelivery{true, false}, kRejection{false, true};
constexpr bool kCloseAnnounced = true, kSaysClose = true, kUnsafe = false;

/// A complete response that differs from all before it; `content`: what it says.
ArrivedResponse different(int status, std::size_t content, bool saysClose = false) {
    return {Completeness::complete, Resemblance::none, status, content, saysClose};
}
ArrivedResponse duplicate(int status) {
    return {Completeness::complete, Resemblance::duplicate, status, 0, false};
}
ArrivedResponse nothing() { return {}; }
ArrivedResponse part(Resemblance resemblance, int status = 200) {
    return {Completeness::partial, resemblance, status, 0, false};
}
ArrivedResponse noise() { return {Completeness::malformed, Resemblance::none, 0, 0, false}; }

class ResponseRulesTest : public testing::Test {
  protected:
    ResponseRulesTest() { log::setLevel(log::Level::off); }

    static SentRequest request(const CarriedResponses& before, bool mayBeRepeated = true,
                               bool closeAnnounced = false, const std::string& endpoint = "e") {
        return {endpoint, "a:1", before, mayBeRepeated, closeAnnounced, {}};
    }
    /// The verdict on a response behind a delivery; the one before it, with this status, repeated an earlier
    /// one.
    ResponseVerdict judge(const ArrivedResponse& response, int repeatedStatus = 0,
                          bool closeAnnounced = false) {
        return rules_.judge(request(kDelivery, true, closeAnnounced), response, repeatedStatus, now_);
    }
    /// The first response on a connection, a delivery.
    void deliver(std::size_t content, const std::string& endpoint = "e") {
        rules_.judge(request(kNothing, true, false, endpoint), different(200, content), 0, now_);
    }
    void makeDistinct(const std::string& endpoint = "e") {
        deliver(1, endpoint);
        deliver(2, endpoint);
    }
    void makeRepeating(const std::string& endpoint = "e") {
        deliver(1, endpoint);
        deliver(1, endpoint);
    }
    bool mayCarry(const CarriedResponses& before, bool mayBeRepeated = true,
                  const std::string& endpoint = "e") {
        return rules_.mayCarry(request(before, mayBeRepeated, false, endpoint));
    }
    bool announces(const CarriedResponses& before, bool mayBeRepeated = true) {
        return rules_.mustAnnounceClose(request(before, mayBeRepeated));
    }
    bool mayReuse() { return rules_.mayReuse(request(kNothing)); }

    rules::Violations violations_;
    rules::ResponseRules rules_{violations_};
    net::Deadline now_ = net::Steady::now();
};

TEST_F(ResponseRulesTest, AResponseThatDiffersIsOwn) {
    EXPECT_EQ(judge(different(200, 1)), ResponseVerdict::own);
    EXPECT_EQ(judge(different(503, 2)), ResponseVerdict::own);
    EXPECT_EQ(judge(nothing()), ResponseVerdict::own) << "none came: nothing to mistake";
}

TEST_F(ResponseRulesTest, AfterARepeatedResponseTheNextOneThatDiffersCounts) {
    EXPECT_EQ(judge(duplicate(200)), ResponseVerdict::repeated);
    for (const int status : {200, 410, 429, 500, 503, 504}) {
        EXPECT_EQ(judge(duplicate(status), 0, kCloseAnnounced), ResponseVerdict::repeated) << status;
        EXPECT_EQ(judge(different(503, 1), status, kCloseAnnounced), ResponseVerdict::own) << status;
        EXPECT_EQ(judge(duplicate(status), status, kCloseAnnounced), ResponseVerdict::repeated) << status;
    }
}

// A request was given up at a copy of a rejection, and its own 410, or the wait that it was told, was not
// read.
TEST_F(ResponseRulesTest, ARepeatedRejectionIsReadOnBehindForAWhile) {
    for (const int status : {410, 429, 500, 503, 504}) {
        EXPECT_EQ(judge(duplicate(status)), ResponseVerdict::repeated) << status;
        EXPECT_EQ(judge(different(410, 1), status), ResponseVerdict::own) << status;
        EXPECT_EQ(judge(nothing(), status), ResponseVerdict::noneProven) << status;
    }
    auto sent = request(kRejection);
    sent.deadline = now_ + 10s;
    const auto until = rules::ResponseRules::readOnUntil(sent, 503, now_);
    EXPECT_GE(until, now_ + 100ms) << "a rejection comes at once, and a round trip may take as long";
    EXPECT_LE(until, now_ + 250ms) << "it takes a slot";
    EXPECT_EQ(rules::ResponseRules::readOnUntil(sent, 200, now_), sent.deadline);
    sent.closeAnnounced = true;
    EXPECT_EQ(rules::ResponseRules::readOnUntil(sent, 503, now_), sent.deadline) << "the end tells it";
    sent.closeAnnounced = false;
    sent.deadline = now_ + 20ms;
    EXPECT_EQ(rules::ResponseRules::readOnUntil(sent, 503, now_), sent.deadline);
}

// A message that reached nobody was held for delivered: an end of the connection had crossed its request.
TEST_F(ResponseRulesTest, NoEndBehindARepeatedResponseProvesIt) {
    for (const bool announced : {false, kCloseAnnounced})
        for (const int status : {200, 410, 429, 500, 503, 504})
            EXPECT_EQ(judge(nothing(), status, announced), ResponseVerdict::noneProven) << status;
    makeDistinct("e");
    EXPECT_EQ(judge(nothing(), 200), ResponseVerdict::noneProven);
}

// A message that ran was held for turned away: the noise behind a copy was its own response.
TEST_F(ResponseRulesTest, NoNoiseBehindARepeatedResponseProvesIt) {
    for (const bool announced : {false, kCloseAnnounced})
        for (const int status : {200, 410, 429, 500, 503, 504}) {
            EXPECT_EQ(judge(noise(), status, announced), ResponseVerdict::unattributable) << status;
            for (const auto resemblance : {Resemblance::none, Resemblance::truncated, Resemblance::spliced})
                EXPECT_EQ(judge(part(resemblance, status), status, announced),
                          ResponseVerdict::unattributable)
                    << status;
        }
    makeDistinct("e");
    EXPECT_EQ(judge(part(Resemblance::none), 200), ResponseVerdict::unattributable);
}

TEST_F(ResponseRulesTest, APartOfAnEarlierResponseProvesNothing) {
    EXPECT_EQ(judge(part(Resemblance::truncated)), ResponseVerdict::unattributable);
    EXPECT_EQ(judge(part(Resemblance::spliced)), ResponseVerdict::unattributable);
    EXPECT_EQ(judge({Completeness::complete, Resemblance::spliced, 200, 1, false}),
              ResponseVerdict::unattributable);
}

TEST_F(ResponseRulesTest, AResponseThatMayBeginWithAPartOfAnEarlierOneProvesNothing) {
    for (const auto completeness : {Completeness::partial, Completeness::malformed, Completeness::complete})
        for (const int repeatedStatus : {0, 200, 503}) {
            ArrivedResponse response{completeness, Resemblance::none, 200, 1, false};
            response.mayBeginWithPart = true;
            EXPECT_EQ(judge(response, repeatedStatus), ResponseVerdict::unattributable);
        }
}

TEST_F(ResponseRulesTest, AResponseThatIsNotWholeIsOwnIfItIsNoPartOfAnother) {
    for (const int status : {200, 410, 503}) {
        EXPECT_EQ(judge(part(Resemblance::none, status)), ResponseVerdict::own) << status;
        EXPECT_EQ(rules_.judge(request(kNothing), part(Resemblance::none, status), 0, now_),
                  ResponseVerdict::own)
            << status;
    }
}

TEST_F(ResponseRulesTest, ADeliveryIsFollowedByARequestWhereDeliveriesAreDistinct) {
    EXPECT_TRUE(mayCarry(kNothing));
    EXPECT_FALSE(mayCarry(kDelivery)) << "nothing is known yet";
    makeDistinct();
    EXPECT_TRUE(mayCarry(kDelivery));
    EXPECT_TRUE(mayCarry(kDelivery, kUnsafe));
    EXPECT_FALSE(announces(kDelivery));
    EXPECT_TRUE(mayCarry(kDelivery, true, "another")) << "expected to be like the first one";
    EXPECT_FALSE(mayCarry(kDelivery, kUnsafe, "another")) << "not risked on that";
    deliver(2);
    EXPECT_FALSE(mayCarry(kDelivery)) << "two deliveries were the same";
    EXPECT_FALSE(mayCarry(kDelivery, true, "another"));
    deliver(3);
    EXPECT_FALSE(mayCarry(kDelivery)) << "they may be again";
    EXPECT_TRUE(mayCarry(kNothing));
}

TEST_F(ResponseRulesTest, ARejectionIsFollowedByNoRequestThatMayNotBeRepeated) {
    makeDistinct();
    EXPECT_TRUE(mayCarry(kRejection));
    EXPECT_FALSE(mayCarry(kRejection, kUnsafe));
    EXPECT_TRUE(mayCarry(kNothing, kUnsafe));
}

TEST_F(ResponseRulesTest, WhereDeliveriesRepeatAConnectionCarriesOneRequestAndSaysSo) {
    EXPECT_FALSE(announces(kNothing));
    EXPECT_TRUE(mayReuse());
    makeRepeating();
    EXPECT_TRUE(announces(kNothing));
    EXPECT_FALSE(mayCarry(kDelivery));
    EXPECT_TRUE(mayReuse()) << "it may yet say that it closes";
    rules_.judge(request(kNothing, true, kCloseAnnounced), different(200, 1), 0, now_);
    EXPECT_TRUE(announces(kNothing));
    EXPECT_FALSE(mayCarry(kDelivery));
    EXPECT_FALSE(mayReuse());
    EXPECT_FALSE(rules_.mayReuse(request(kNothing, true, kCloseAnnounced, "other")));
    EXPECT_TRUE(rules_.mayReuse({"e", "another:1", kNothing, true, false, {}}))
        << "another server has that address";
}

TEST_F(ResponseRulesTest, AResponseThatSaysCloseIsToldApartByThat) {
    makeRepeating();
    rules_.judge(request(kNothing, true, kCloseAnnounced), different(200, 1, kSaysClose), 0, now_);
    EXPECT_FALSE(announces(kNothing));
    EXPECT_TRUE(mayReuse());
    for (const bool mayBeRepeated : {true, kUnsafe})
        for (const auto& before : {kDelivery, kRejection}) EXPECT_TRUE(mayCarry(before, mayBeRepeated));
    EXPECT_TRUE(announces(kDelivery));
    EXPECT_TRUE(announces(kRejection, kUnsafe));
}

// The endpoint may have been replaced by another one, with its name and address.
TEST_F(ResponseRulesTest, AResponseThatDoesNotSayCloseAnyMoreIsNotCountedOn) {
    makeRepeating();
    rules_.judge(request(kNothing, true, kCloseAnnounced), different(200, 1, kSaysClose), 0, now_);
    EXPECT_EQ(judge(duplicate(200), 0, kCloseAnnounced), ResponseVerdict::repeated);
    EXPECT_EQ(judge(nothing(), 200, kCloseAnnounced), ResponseVerdict::noneProven);
    EXPECT_FALSE(mayCarry(kDelivery));
    EXPECT_TRUE(announces(kNothing));
}

TEST_F(ResponseRulesTest, AnEndpointWhoseDeliveriesBeginToRepeatIsNotTakenForDistinct) {
    makeDistinct();
    EXPECT_EQ(judge(duplicate(200)), ResponseVerdict::repeated);
    EXPECT_EQ(judge(different(200, 3), 200), ResponseVerdict::own);
    EXPECT_TRUE(mayCarry(kDelivery)) << "it was a duplicate";
    EXPECT_EQ(judge(duplicate(200)), ResponseVerdict::repeated);
    EXPECT_EQ(judge(nothing(), 200), ResponseVerdict::noneProven);
    EXPECT_FALSE(mayCarry(kDelivery));
}

// A message that was delivered ended as failed: its endpoint's deliveries were held for distinct, as those
// that repeated came on different connections.
TEST_F(ResponseRulesTest, ADeliveryThatRepeatsOneOfAnotherConnectionShowsThatTheyMayRepeat) {
    for (std::size_t content = 1; content <= 20; ++content) deliver(content);
    EXPECT_TRUE(mayCarry(kDelivery, kUnsafe));
    deliver(7);
    EXPECT_FALSE(mayCarry(kDelivery, kUnsafe));
    EXPECT_FALSE(mayCarry(kDelivery));
}

TEST_F(ResponseRulesTest, EndpointsThatAreNotUsedAreForgotten) {
    makeRepeating();
    EXPECT_TRUE(announces(kNothing));
    now_ += 61s;
    rules_.judge({"other", "b:1", kDelivery, true, false, {}}, different(200, 1), 0, now_);
    deliver(1);
    EXPECT_FALSE(announces(kNothing));
}

TEST_F(ResponseRulesTest, AResponseThatComesUnaskedAndIsNoDuplicateIsAViolation) {
    rules_.unsolicited("m", 200, Resemblance::duplicate);
    rules_.unsolicited("m", 408, Resemblance::none);
    rules_.unsolicited("m", 0, Resemblance::none);
    EXPECT_EQ(violations_.total(), 0u);
    rules_.unsolicited("m", 503, Resemblance::none);
    EXPECT_EQ(violations_.countOf(rules::Rule::ownResponse), 1u);
}

}  // namespace
