// Traces: what is written comes back, damage costs only what it touches, and what is made of a trace keeps
// its shape.
#include "commands/trace.hpp"

#include <gtest/gtest.h>
#include <json/reader.h>
#include <json/value.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "check.hpp"
#include "log/log.hpp"
#include "trace/capture.hpp"
#include "trace/file.hpp"
#include "trace/shape.hpp"
#include "trace/summary.hpp"

namespace {

using namespace laurelhaven;
using namespace laurelhaven::trace;
using std::chrono::milliseconds;

constexpr Micros kBegin = 1'800'000'000'000'000;

Arrival arrival(std::uint64_t id, double second, std::uint64_t destination = 7) {
    Arrival r;
    r.id = mixed(id);
    r.at = kBegin + static_cast<Micros>(second * 1e6);
    r.grade = "notice";
    r.tenant = id % 3 == 0 ? "btp" : "odet";
    r.destination = destination;
    r.bytes = 100 + id % 900;
    r.deadlineMs = 12000;
    return r;
}

Answer answer(std::uint64_t id, double second, double took, Ending ending = Ending::delivered) {
    Answer r;
    r.id = mixed(id);
    r.at = kBegin + static_cast<Micros>(second * 1e6);
    r.destination = 7;
    r.endpoint = "s-" + std::to_string(id % 4);
    r.ending = ending;
    r.tookUs = static_cast<std::uint64_t>(took * 1e6);
    return r;
}

/// Records of every kind with any values, the greatest ones too.
Record anyRecord(std::mt19937_64& chance) {
    const auto any = [&] { return chance() >> (chance() % 64); };
    const auto text = [&] { return std::string(chance() % 20, static_cast<char>('a' + chance() % 26)); };
    const auto at = kBegin + static_cast<Micros>(chance() % 2'000'000) - 1'000'000;
    switch (chance() % 4) {
        case 0:
            return Arrival{
                at, any(), text(), text(), any(), any(), any(), static_cast<Verdict>(chance() % 4), any()};
        case 1:
            return Answer{at,    any(), any(), text(), any(), static_cast<Ending>(chance() % kEndings),
                          any(), any(), any()};
        case 2: return End{at, any(), chance() % 2 == 0};
        default: return Dropped{at, any()};
    }
}

class OnDisk : public testing::Test {
  protected:
    OnDisk() { log::setLevel(log::Level::off); }
    std::string at(const std::string& name) const { return folder.path + "/" + name; }
    std::string write(const std::string& name, const std::vector<Record>& records) const {
        Writer writer(at(name), {kVersion, "n0", kBegin});
        for (const auto& r : records) writer.add(r);
        writer.close();
        return at(name);
    }
    static std::vector<Record> read(const std::string& path) {
        Reader reader(path);
        std::vector<Record> all;
        for (Record r; reader.next(r);) all.push_back(r);
        return all;
    }
    static std::string bytes(const std::string& path) {
        std::ifstream file(path, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), {}};
    }
    void put(const std::string& name, const std::string& text) const {
        std::ofstream(at(name), std::ios::binary) << text;
    }
    check::Folder folder;
};

using Trace = OnDisk;

TEST_F(Trace, WhatIsWrittenComesBack) {
    std::mt19937_64 chance(3);
    std::vector<Record> records;
    for (int i = 0; i < 20000; ++i) records.push_back(anyRecord(chance));
    const auto path = write("t.lht", records);
    EXPECT_EQ(read(path), records);
    Reader reader(path);
    EXPECT_EQ(reader.header().sender, "n0");
    EXPECT_GT(std::filesystem::file_size(path), 10 * kBlockFull);  // many blocks, each read by itself
    for (Record r; reader.next(r);) {
    }
    EXPECT_EQ(reader.damagedBytes(), 0u);
    EXPECT_FALSE(reader.cut());
}

TEST_F(Trace, DamageAndCutsCostOnlyTheBlocksTheyTouch) {
    std::mt19937_64 chance(4);
    std::vector<Record> records;
    for (int i = 0; i < 8000; ++i) records.push_back(anyRecord(chance));
    const auto path = write("t.lht", records);
    const auto whole = bytes(path);
    const auto head = framed(Header{kVersion, "n0", kBegin}).size();
    std::vector<std::size_t> blocks;  // where they begin
    for (auto p = whole.find(kMark, 1); p != std::string::npos; p = whole.find(kMark, p + 1))
        blocks.push_back(p);
    ASSERT_GE(blocks.size(), 5u);
    EXPECT_EQ(blocks.front(), head);
    for (int round = 0; round < 200; ++round) {
        auto damaged = whole;
        const auto where = head + chance() % (whole.size() - head);
        damaged[where] = static_cast<char>(damaged[where] ^ (1 + chance() % 255));
        put("d.lht", damaged);
        Reader reader(at("d.lht"));
        std::vector<Record> got;
        for (Record r; reader.next(r);) got.push_back(r);
        EXPECT_GT(reader.damagedBytes(), 0u) << where;
        const auto lost = records.size() - got.size();
        EXPECT_GT(lost, 0u);
        EXPECT_LE(lost, 2000u);
        // What is left is the records before the block, and those behind it.
        std::size_t same = 0;
        while (same < got.size() && got[same] == records[same]) ++same;
        EXPECT_TRUE(std::equal(got.begin() + static_cast<long>(same), got.end(),
                               records.end() - static_cast<long>(got.size() - same)));
    }
    for (int round = 0; round < 100; ++round) {
        const auto size = head + chance() % (whole.size() - head);
        put("c.lht", whole.substr(0, size));
        Reader reader(at("c.lht"));
        std::size_t got = 0;
        for (Record r; reader.next(r); ++got) ASSERT_EQ(r, records[got]);
        const bool onEdge = size == head || std::count(blocks.begin(), blocks.end(), size) > 0;
        EXPECT_EQ(reader.cut(), !onEdge) << size;
    }
}

TEST_F(Trace, WhatIsNoTraceOrANewerOneIsRefusedWithTheReason) {
    const auto why = [&](const std::string& text) {
        put("x.lht", text);
        try {
            Reader reader(at("x.lht"));
        } catch (const Bad& e) {
            return std::string(e.what());
        }
        return std::string();
    };
    EXPECT_NE(why("").find("is no trace"), std::string::npos);
    EXPECT_NE(why("time,destination\n1,2\n").find("is no trace"), std::string::npos);
    EXPECT_NE(why(framed(Header{kVersion + 1, "n0", 0})).find("version 2"), std::string::npos);
    auto damaged = framed(Header{kVersion, "n0", 0});
    damaged.back() ^= 1;
    EXPECT_NE(why(damaged).find("header is damaged"), std::string::npos);
    EXPECT_THROW(Reader(at("absent.lht")), Bad);
    EXPECT_THROW(Writer("/nowhere/t.lht", {}), Bad);
}

TEST(Decode, EndsOnWhateverBytes) {
    std::mt19937_64 chance(5);
    Block block;
    for (int i = 0; i < 50; ++i) block.add(anyRecord(chance));
    const auto good = block.take().substr(12);
    ASSERT_TRUE(decode(good));
    ASSERT_EQ(decode(good)->records.size(), 50u);
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
        auto bad = good;
        for (auto n = 1 + chance() % 4; n > 0; --n) bad[chance() % bad.size()] = static_cast<char>(chance());
        if (chance() % 4 == 0) bad.resize(chance() % bad.size());
        const auto got = decode(bad);
        refused += !got;
        EXPECT_LE(got ? got->records.size() : 0, bad.size());
    }
    EXPECT_GT(refused, 1000);
}

// Found by fuzzing: what reckons with times must not overflow, so none that lies too far off comes in.
TEST(Decode, TimesLieWithinThreeHundredYears) {
    const std::vector<Record> far{End{-kFarthest, 1, true}, End{kFarthest, 2, false},
                                  End{-kFarthest, 3, true}};
    Block block;
    for (const auto& record : far) block.add(record);
    const auto got = decode(block.take().substr(12));
    ASSERT_TRUE(got);
    EXPECT_EQ(got->records, far);
    for (const Micros beyond : {kFarthest + 1, -kFarthest - 1, INT64_MAX, INT64_MIN}) {
        block.add(End{beyond, 1, true});
        EXPECT_FALSE(decode(block.take().substr(12))) << beyond;
    }
}

TEST(Scale, TimesStayWithinWhatATraceMayHold) {
    std::vector<Record> all;
    Scale slow;
    slow.speed = 1e-30;
    Scaler scaler(slow, [&](const Record& record) { all.push_back(record); });
    scaler.add(arrival(1, 0));
    scaler.add(arrival(2, 1e6));
    scaler.finish();
    ASSERT_EQ(all.size(), 2u);
    EXPECT_LE(at(all.back()), kFarthest);
    EXPECT_GT(at(all.back()), at(all.front()));
}

TEST(Cut, TakesATimeAndTheMessagesOfATenantWithTheirAnswers) {
    Cutter time({1.0, 2.0, {}, {}, {}});
    EXPECT_FALSE(time.keeps(arrival(1, 0)));
    EXPECT_TRUE(time.keeps(arrival(2, 1.0)));
    EXPECT_TRUE(time.keeps(answer(1, 1.5, 0.1)));
    EXPECT_FALSE(time.keeps(arrival(3, 2.0)));
    Cutter tenant({{}, {}, {}, {"btp"}, {}});
    EXPECT_TRUE(tenant.keeps(arrival(3, 0)));
    EXPECT_FALSE(tenant.keeps(arrival(4, 0)));
    EXPECT_TRUE(tenant.keeps(answer(3, 0.2, 0.1)));
    EXPECT_FALSE(tenant.keeps(answer(4, 0.2, 0.1)));
    EXPECT_TRUE(tenant.keeps(End{kBegin, mixed(3), true}));
    EXPECT_FALSE(tenant.keeps(End{kBegin, mixed(4), true}));
}

std::vector<Arrival> scaled(const std::vector<Arrival>& from, Scale scale) {
    std::vector<Arrival> made;
    Scaler scaler(scale, [&](const Record& r) { made.push_back(std::get<Arrival>(r)); });
    for (const auto& a : from) scaler.add(a);
    scaler.finish();
    return made;
}

TEST(Scale, KeepsTheShapeAndEachLoadHoldsTheSmallerOnes) {
    std::vector<Arrival> all;
    for (int i = 0; i < 20000; ++i) all.push_back(arrival(static_cast<std::uint64_t>(i), i * 0.005));
    std::set<std::uint64_t> before;
    for (const double load : {0.25, 0.5, 1.0, 1.5, 3.0}) {
        const auto made = scaled(all, {load, 1, 1, 9});
        EXPECT_NEAR(static_cast<double>(made.size()), load * 20000, 5 * std::sqrt(20000 * 0.25)) << load;
        EXPECT_TRUE(std::is_sorted(made.begin(), made.end(),
                                   [](const auto& a, const auto& b) { return a.at < b.at; }));
        std::set<std::uint64_t> ids;
        for (const auto& a : made) ids.insert(a.id);
        EXPECT_EQ(ids.size(), made.size());
        EXPECT_TRUE(std::includes(ids.begin(), ids.end(), before.begin(), before.end())) << load;
        before = std::move(ids);
    }
    EXPECT_EQ(scaled(all, {1, 1, 1, 9}), all);
    EXPECT_EQ(scaled(all, {2.5, 1, 1, 9}), scaled(all, {2.5, 1, 1, 9}));
    EXPECT_NE(scaled(all, {0.5, 1, 1, 9}), scaled(all, {0.5, 1, 1, 10}));
    const auto fast = scaled(all, {1, 4, 1, 9});
    EXPECT_EQ(fast.size(), all.size());
    EXPECT_NEAR(static_cast<double>(fast.back().at - fast.front().at), 25e6, 1e4);
}

TEST(Merge, GoesByTimeAndMayAlign) {
    const auto source = [](std::vector<Record> records) {
        return [records = std::move(records), next = std::size_t{0}](Record& r) mutable {
            if (next >= records.size()) return false;
            r = records[next++];
            return true;
        };
    };
    const std::vector<Record> a{arrival(1, 0), arrival(2, 2), arrival(3, 4)}, b{arrival(4, 1), arrival(5, 3)};
    const auto seconds = [&](bool align) {
        std::vector<double> found;
        Merger merger({source(a), source(b), source({})}, align);
        for (Record r; merger.next(r);) found.push_back(static_cast<double>(at(r) - kBegin) / 1e6);
        return found;
    };
    EXPECT_EQ(seconds(false), (std::vector<double>{0, 1, 2, 3, 4}));
    EXPECT_EQ(seconds(true), (std::vector<double>{0, 0, 2, 2, 4}));
}

TEST(Spread, QuantilesAreNearTheTrueOnes) {
    std::mt19937_64 chance(6);
    std::lognormal_distribution<double> took(-2, 1);
    Spread spread(1e-4, 100);
    std::vector<double> all;
    for (int i = 0; i < 50000; ++i) all.push_back(took(chance)), spread.add(all.back());
    std::sort(all.begin(), all.end());
    for (const double q : {0.01, 0.5, 0.9, 0.99, 0.999})
        EXPECT_NEAR(spread.quantile(q) / all[static_cast<std::size_t>(q * 50000)], 1, 0.07) << q;
    EXPECT_EQ(spread.greatest(), all.back());
    const auto tail = spread.tail();
    EXPECT_TRUE(
        std::is_sorted(tail.begin(), tail.end(), [](auto& x, auto& y) { return x.second > y.second; }));
    EXPECT_EQ(Spread(1, 2).quantile(0.5), 0);
    Spread outside(1, 10);  // nothing is lost that lies outside
    outside.add(0.001), outside.add(1e9);
    EXPECT_EQ(outside.count(), 2u);
    EXPECT_EQ(outside.greatest(), 1e9);
}

TEST(Clumps, TellClumpsFromASteadyStream) {
    Clumps steady, clumped;
    for (int s = 0; s < 100; ++s)
        for (int i = 0; i < 10; ++i) {
            steady.add(s);
            if (s % 10 == 0)
                for (int k = 0; k < 10; ++k) clumped.add(s);
        }
    EXPECT_EQ(steady.count(), clumped.count());
    EXPECT_NEAR(steady.dispersion(100), 0, 1e-9);
    // Counts of 100 in every tenth second: variance 909.1 over a mean of 10.
    EXPECT_NEAR(clumped.dispersion(100), 90.9, 0.1);
    EXPECT_EQ(steady.greatest(), 10u);
    EXPECT_EQ(clumped.greatest(), 100u);
}

TEST(Summary, StaysSmallHoweverLongTheTraceIs) {
    Summary summary;
    for (std::uint64_t i = 0; i < 60000; ++i) {
        auto a = arrival(i, static_cast<double>(i), i);
        a.tenant = "t" + std::to_string(i);
        summary.add(a);
    }
    EXPECT_EQ(summary.partners.size(), Summary::kMostPartners);
    EXPECT_EQ(summary.unplaced, 60000 - Summary::kMostPartners);
    EXPECT_LE(summary.tenants.size(), Summary::kMostNames + 1);
    EXPECT_LE(summary.series.counts().size(), Series::kSteps);
    std::uint64_t all = 0;
    for (const auto n : summary.series.counts()) all += n;
    EXPECT_EQ(all, 60000u);
}

// ---- capturing ----

class Capturing : public OnDisk {
  protected:
    Capturing()
        : config(config::fromText(check::configuration("127.0.0.1:0", "127.0.0.1:1", "", check::settings()),
                                  {{"BALANCER_STATE", folder.path}})) {
        options.enabled = true;
        options.folder = at("capture");
        options.flushEvery = milliseconds(5);
    }
    static void arrive(Capture& capture, int i) {
        decisions::Submission message;
        message.id = "m" + std::to_string(i);
        message.destination = 7;
        message.deadline = decisions::Steady::now() + std::chrono::seconds(5);
        message.body = std::make_shared<const std::string>("a body that no trace holds");
        capture.arrived(message, {decisions::SubmissionResult::Kind::refused, milliseconds(250)});
    }
    std::vector<std::string> files() const {
        std::vector<std::string> all;
        for (const auto& f : std::filesystem::directory_iterator(options.folder))
            all.push_back(f.path().string());
        std::sort(all.begin(), all.end());
        return all;
    }
    config::Config config;
    CaptureOptions options;
};

TEST_F(Capturing, HoldsWhatCameAndWhatWasAnsweredWithoutIdsOrBodies) {
    {
        Capture capture(options, config);
        capture.start();
        arrive(capture, 1);
        decisions::DueAttempt call;
        call.id = "m1", call.endpoint = "s-1", call.destination = 7, call.attempt = 2;
        decisions::AttemptResult result;
        result.status = decisions::AttemptStatus::rejected;
        result.wait = milliseconds(1500);
        result.allowedRate = 4.5;
        capture.answered(call, result, milliseconds(30));
        capture.ended({"m1", store::FinalState::failed, 0});
    }
    ASSERT_EQ(files().size(), 1u);
    const auto records = read(files()[0]);
    ASSERT_EQ(records.size(), 3u);
    const auto& came = std::get<Arrival>(records[0]);
    const auto& told = std::get<Answer>(records[1]);
    const auto& end = std::get<End>(records[2]);
    EXPECT_EQ(came.grade, "notice");
    EXPECT_EQ(came.tenant, "acme");
    EXPECT_EQ(came.bytes, 26u);
    EXPECT_EQ(came.verdict, Verdict::refused);
    EXPECT_EQ(came.retryAfterMs, 250u);
    EXPECT_LE(came.deadlineMs, 5000u);
    EXPECT_EQ(told.id, came.id);
    EXPECT_EQ(end.id, came.id);
    EXPECT_TRUE(end.failed);
    EXPECT_EQ(told.ending, Ending::turnedAway);
    EXPECT_EQ(told.waitMs, 1500u);
    EXPECT_EQ(told.allowedMilli, 4500u);
    EXPECT_EQ(told.tookUs, 30000u);
    EXPECT_EQ(told.attempt, 2u);
    const auto text = bytes(files()[0]);
    EXPECT_EQ(text.find("m1"), std::string::npos);
    EXPECT_EQ(text.find("body"), std::string::npos);
}

TEST_F(Capturing, RotatesAndKeepsTheNewest) {
    options.fileBytes = 2000;
    options.files = 3;
    options.buffer = 64;
    Capture::Counts counts;
    {
        Capture capture(options, config);
        capture.start();
        for (int i = 0; i < 3000; ++i) {
            arrive(capture, i);
            if (i % 32 == 0) std::this_thread::sleep_for(milliseconds(1));
        }
        capture.stop();
        counts = capture.counts();
    }
    EXPECT_EQ(counts.written + counts.dropped, 3000u);
    EXPECT_GT(counts.files, 3u);
    ASSERT_EQ(files().size(), 3u);
    for (const auto& file : files()) EXPECT_FALSE(read(file).empty());
}

TEST_F(Capturing, DropsAndCountsWhatHasNoRoomAndSaysSoInTheTrace) {
    options.buffer = 64;
    Capture capture(options, config);
    for (int i = 0; i < 100; ++i) arrive(capture, i);  // nobody writes yet
    EXPECT_EQ(capture.counts().dropped, 36u);
    capture.start();
    capture.stop();
    Summary summary;
    for (const auto& r : read(files().at(0))) summary.add(r);
    EXPECT_EQ(summary.arrivals, 64u);
    EXPECT_EQ(summary.dropped, 36u);
}

TEST_F(Capturing, AFolderThatCanNotBeWrittenCostsOnlyTheTrace) {
    options.folder = "/dev/null/capture";
    Capture capture(options, config);
    capture.start();
    for (int i = 0; i < 10; ++i) arrive(capture, i);
    capture.stop();
    EXPECT_EQ(capture.counts().written, 0u);
    EXPECT_EQ(capture.counts().dropped, 10u);
}

TEST_F(Capturing, AKilledProcessLeavesWhatWasWritten) {
    const pid_t child = fork();
    if (child == 0) {
        Capture capture(options, config);
        capture.start();
        for (int i = 0;; ++i) {
            arrive(capture, i);
            if (i % 8 == 0) std::this_thread::sleep_for(milliseconds(1));
        }
    }
    const auto enough = [&] {
        std::error_code none;
        std::uint64_t size = 0;
        if (std::filesystem::exists(options.folder))
            for (const auto& f : std::filesystem::directory_iterator(options.folder, none))
                size += f.file_size(none);
        return size > 4000;
    };
    while (!enough()) std::this_thread::sleep_for(milliseconds(2));
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    Reader reader(files().at(0));
    std::uint64_t records = 0;
    for (Record r; reader.next(r);) ++records;
    EXPECT_GT(records, 50u);
}

// ---- the words ----

class Words : public OnDisk {
  protected:
    int import(const std::string& csv, const std::string& to = "csv.lht") {
        put("in.csv", csv);
        out.str(""), err.str("");
        return commands::traceImportCsv(at("in.csv"), at(to), out, err);
    }
    std::ostringstream out, err;
};

TEST_F(Words, CsvComesInAndIsSummarised) {
    ASSERT_EQ(import("time,destination,tenant,bytes,class\n0.5,7,\"Le Goff, \"\"Fils\"\"\",300,notice\r\n"
                     "0.75,7,odet,20,notice\n\n12,9,odet,,notice\n"),
              0)
        << err.str();
    out.str("");
    ASSERT_EQ(commands::traceSummarise({{at("csv.lht")}}, true, "", out, err), 0);
    Json::Value root;
    std::istringstream(out.str()) >> root;
    EXPECT_EQ(root["arrivals"].asInt(), 3);
    EXPECT_EQ(root["tenants"]["Le Goff, \"Fils\""].asInt(), 1);
    EXPECT_EQ(root["destinations"].size(), 2u);
    EXPECT_NEAR(root["seconds"].asDouble(), 11.5, 1e-6);
    out.str("");
    ASSERT_EQ(commands::traceSummarise({{at("csv.lht")}}, false, "", out, err), 0);
    EXPECT_NE(out.str().find("3 messages: 3 taken"), std::string::npos);
}

TEST_F(Words, ABadTableIsRefusedWithLineAndRemedy) {
    const std::vector<std::array<std::string, 3>> cases{
        {"", ":1:", "names of the columns"},
        {"time,place\n", ":1:", "no column 'place' is known; use time, destination"},
        {"time,time,destination\n", ":1:", "'time' is there twice"},
        {"time,bytes\n1,2\n", ":1:", "'destination' is missing"},
        {"time,destination\n1,2\nsoon,2\n", ":3:", "time 'soon' is no number of seconds"},
        {"time,destination\n1,here\n", ":2:", "destination 'here' is no whole number"},
        {"time,destination\n1,\n", ":2:", "destination is empty"},
        {"time,destination\n2,1\n1,1\n", ":3:", "sort the lines by time"},
        {"time,destination\n1,2,3\n", ":2:", "3 fields where there are 2"},
        {"time,destination,tenant\n1,2,\"open\n", ":2:", "a quote stays open"},
    };
    for (const auto& [text, place, what] : cases) {
        EXPECT_EQ(import(text), 2) << text;
        EXPECT_NE(err.str().find(place), std::string::npos) << err.str();
        EXPECT_NE(err.str().find(what), std::string::npos) << err.str();
        EXPECT_FALSE(std::filesystem::exists(at("csv.lht"))) << text;
        EXPECT_FALSE(std::filesystem::exists(at("csv.lht.part"))) << text;
    }
}

TEST_F(Words, CutScaleAndMergeWriteTraces) {
    std::vector<Record> records;
    for (int i = 0; i < 1000; ++i) {
        records.push_back(arrival(static_cast<std::uint64_t>(i), i * 0.01));
        records.push_back(answer(static_cast<std::uint64_t>(i), i * 0.01 + 0.005, 0.1));
    }
    const auto path = write("a.lht", records);
    ASSERT_EQ(commands::traceCut({{path}}, {2.0, 4.0, {}, {}, {}}, at("cut.lht"), out, err), 0);
    EXPECT_EQ(read(at("cut.lht")).size(), 400u);
    ASSERT_EQ(commands::traceScale({{path}}, {2, 1, 1, 1}, at("double.lht"), out, err), 0);
    EXPECT_EQ(read(at("double.lht")).size(), 2000u);
    EXPECT_NE(out.str().find("1000 answers and ends were left out"), std::string::npos);
    ASSERT_EQ(commands::traceMerge({{path, at("double.lht")}}, true, at("both.lht"), out, err), 0);
    const auto both = read(at("both.lht"));
    EXPECT_EQ(both.size(), 4000u);
    EXPECT_TRUE(std::is_sorted(both.begin(), both.end(),
                               [](const auto& a, const auto& b) { return trace::at(a) < trace::at(b); }));
    // Over its own input.
    ASSERT_EQ(commands::traceCut({{path}}, {{}, 1.0, {}, {}, {}}, path, out, err), 0);
    EXPECT_EQ(read(path).size(), 200u);
}

TEST_F(Words, ADamagedTraceIsUsedAndNamed) {
    std::vector<Record> records;
    for (int i = 0; i < 5000; ++i) records.push_back(arrival(static_cast<std::uint64_t>(i), i * 0.01));
    const auto path = write("a.lht", records);
    const auto whole = bytes(path);
    put("a.lht", whole.substr(0, whole.size() - 10));
    EXPECT_EQ(commands::traceSummarise({{path}}, false, "", out, err), 1);
    EXPECT_NE(err.str().find("ends inside a block; the rest is used"), std::string::npos);
    EXPECT_EQ(commands::traceSummarise({{at("absent.lht")}}, false, "", out, err), 2);
    // A folder that can't be made: the table has come, and the remedy is named.
    EXPECT_EQ(commands::traceSummarise({{path}}, false, "/dev/null/plots", out, err), 2);
    EXPECT_NE(err.str().find("can't be made"), std::string::npos);
}

}  // namespace
