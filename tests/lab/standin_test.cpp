// The stand-ins themselves: a ledger that misses a double, or a partner that can't be pushed over, would let
// every scenario pass.
#include <gtest/gtest.h>

#include <thread>

#include "http/message.hpp"
#include "net/socket.hpp"
#include "places.hpp"
#include "standin/discovery.hpp"
#include "standin/partner.hpp"

namespace {

using namespace laurelhaven;
using namespace lab;
using std::chrono::milliseconds;

struct Answer {
    int status = 0;
    std::string body;
    http::Headers headers;
};

Answer ask(const std::string& address, const std::string& request) {
    const auto until = net::Steady::now() + std::chrono::seconds(10);
    net::Fd fd = net::tcpSocket();
    if (!net::connectBy(fd.get(), *net::parseAddress(address), until)) return {};
    net::sendAll(fd.get(), request, until);
    http::Parser parser(http::Parser::Role::response);
    for (std::string got; net::receive(fd.get(), got, until) == net::IoResult::done; got.clear())
        if (parser.feed(got) == http::Parser::State::complete) break;
    return {parser.message().status, parser.message().body, parser.message().headers};
}

std::string call(const std::string& id, const std::string& address) {
    return http::formatRequest("POST", "/hook", address, {{"Req-Id", id}, {"Idempotency-Key", "k"}}, "body");
}

struct Rig {
    Ledger ledger{std::chrono::seconds(15)};
    std::string at = check::freeAddress();
    PartnerModel model;
    std::unique_ptr<Partner> partner;
    void make() {
        model.destination = 7;
        model.serve = milliseconds(5);
        partner = std::make_unique<Partner>(model, ledger, 1);
        partner->open("a", at);
    }
};

TEST(Ledger, ACallThatItsSenderHasClosedIsNoSecondCopy) {
    Ledger ledger(milliseconds(1000));
    ledger.expect("m", "k", 7);
    bool open = true;
    const auto first = ledger.begun("a", 7, "m", [&] { return open; });
    EXPECT_TRUE(ledger.begun("b", 7, "m", [] { return false; }).overlap);
    open = false;
    EXPECT_FALSE(ledger.begun("b", 7, "m").overlap);
    open = true;
    CallRecord record;
    record.id = "m";
    record.call = first.call;
    ledger.ended(record);
    EXPECT_TRUE(ledger.begun("b", 7, "m").overlap);  // the third is out
    EXPECT_EQ(ledger.counts().overlaps, 2u);
}

TEST(Ledger, CountsDoublesRepeatsAndOverlaps) {
    Ledger ledger(milliseconds(1000));
    ledger.expect("m1", "k", 7);
    ledger.expect("m2", "k", 7);
    const auto now = Steady::now();
    EXPECT_TRUE(ledger.begun("a", 7, "m1").fits);
    EXPECT_TRUE(ledger.begun("b", 7, "m1").overlap);
    EXPECT_TRUE(ledger.run("m1", now));
    EXPECT_FALSE(ledger.run("m2", now + milliseconds(900)));  // dropped, inside the window
    EXPECT_TRUE(ledger.run("m2", now + milliseconds(1100)));  // and that is a second effect
    EXPECT_FALSE(ledger.begun("a", 8, "m2").fits);
    EXPECT_FALSE(ledger.begun("a", 7, "nobody's").known);
    const auto counts = ledger.counts();
    EXPECT_EQ(counts.overlaps, 1u);
    EXPECT_EQ(counts.repeats, 1u);
    EXPECT_EQ(counts.doubles, 1u);
    EXPECT_EQ(counts.misdirected, 1u);
    EXPECT_EQ(counts.unknown, 1u);
    ledger.told("a", now - std::chrono::seconds(1));
    ledger.begun("a", 7, "m2");
    EXPECT_EQ(ledger.counts().toDrained, 1u);
}

TEST(Partner, AnswersDrainsAndTellsItsLoad) {
    Rig rig;
    rig.model.limit = 3;
    rig.make();
    rig.ledger.expect("m", "k", 7);
    const auto first = ask(rig.at, call("m", rig.at));
    EXPECT_EQ(first.status, 200);
    ASSERT_TRUE(first.headers.find("Srv-Load"));
    EXPECT_NE(first.headers.find("Srv-Load")->find("x1=3.000"), std::string::npos);
    EXPECT_EQ(ask(rig.at, call("other", rig.at)).status, 400);
    EXPECT_EQ(ask(rig.at, http::formatRequest("GET", "/health/live", rig.at, {}, {})).status, 200);
    rig.partner->drain("a");
    EXPECT_EQ(ask(rig.at, call("m", rig.at)).status, 503);
    EXPECT_EQ(ask(rig.at, http::formatRequest("GET", "/health/live", rig.at, {}, {})).status, 503);
    EXPECT_EQ(rig.ledger.counts().probes.at(7), 2u);
    rig.partner->close("a");
    EXPECT_EQ(ask(rig.at, call("m", rig.at)).status, 0);
}

TEST(Partner, AboveItsLimitItTellsToWait) {
    Rig rig;
    rig.model.limit = 1;
    rig.make();
    int waits = 0;
    for (int i = 0; i < 4; ++i) {
        const auto id = "m" + std::to_string(i);
        rig.ledger.expect(id, id, 7);
        const auto answer = ask(rig.at, call(id, rig.at));
        if (answer.status == 429) waits += answer.headers.find("Retry-After") != nullptr;
    }
    EXPECT_GE(waits, 2);
}

TEST(Partner, ColdAndSentTooMuchItFallsOverAndStaysDown) {
    Rig rig;
    rig.model.capacity = 10;
    rig.make();
    rig.partner->coolDown();
    for (int i = 0; i < 20; ++i) ask(rig.at, http::formatRequest("GET", "/health/live", rig.at, {}, {}));
    EXPECT_TRUE(rig.partner->fallen());
    EXPECT_EQ(rig.ledger.counts().fallOvers, 1u);
    EXPECT_EQ(ask(rig.at, http::formatRequest("GET", "/health/live", rig.at, {}, {})).status, 503);
    Rig warm;
    warm.model.capacity = 10;
    warm.make();
    for (int i = 0; i < 40; ++i) ask(warm.at, http::formatRequest("GET", "/health/live", warm.at, {}, {}));
    EXPECT_FALSE(warm.partner->fallen());
}

TEST(Discovery, ShowsItsModes) {
    Discovery discovery("127.0.0.1:0");
    for (int i = 0; i < 4; ++i)
        discovery.tell({"e" + std::to_string(i), "127.0.0.1:1", "z", "t", 1, listing::Status::serving, 1, 0});
    discovery.start();
    const auto at = discovery.address();
    const auto whole = [&] {
        std::string why;
        const auto answer = ask(at, http::formatRequest("GET", "/registry/instances", at, {}, {}));
        return listing::parse(answer.body, why);
    };
    ASSERT_TRUE(whole());
    EXPECT_EQ(whole()->endpoints.size(), 4u);
    EXPECT_EQ(whole()->index, 5u);
    discovery.setMode(Discovery::Mode::half);
    EXPECT_EQ(whole()->endpoints.size(), 2u);
    discovery.setMode(Discovery::Mode::empty);
    EXPECT_EQ(whole()->endpoints.size(), 0u);
    discovery.setMode(Discovery::Mode::stale);
    discovery.remove("e0");
    EXPECT_EQ(whole()->endpoints.size(), 4u);
    discovery.setMode(Discovery::Mode::up);
    EXPECT_EQ(whole()->endpoints.size(), 3u);
    discovery.setMode(Discovery::Mode::cut);
    EXPECT_FALSE(whole());
    discovery.setMode(Discovery::Mode::refusing);
    EXPECT_EQ(ask(at, http::formatRequest("GET", "/registry/instances", at, {}, {})).status, 0);
    discovery.setMode(Discovery::Mode::up);
    discovery.loseHistory();
    EXPECT_EQ(whole()->index, 2u);
    EXPECT_EQ(
        ask(at, http::formatRequest("POST", "/v1/notices", at, {}, "{\"id\":\"m\",\"state\":\"failed\"}\n"))
            .status,
        204);
    EXPECT_EQ(discovery.notices().at("m").state, "failed");
    EXPECT_EQ(ask(at, http::formatRequest("POST", "/v1/notices", at, {}, "nonsense\n")).status, 400);
}

}  // namespace
