// The endpoint list saved on disk: what is written can be read, and no content of a file prevents a start.
#include "kept/kept.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>

#include "check.hpp"
#include "log/log.hpp"
#include "store/frame.hpp"

namespace {

using namespace laurelhaven;
using trust::RecordMs;

constexpr RecordMs kNow = 1'800'000'000'000;
constexpr std::uint64_t kBudget = 64 * 1024;

membership::Entry entry(int i, trust::RefutationReason against = trust::RefutationReason::none) {
    membership::Entry e;
    e.endpoint = {"s-" + std::to_string(i),
                  "127.0.0.1:" + std::to_string(1000 + i),
                  "quimper",
                  "big-partners",
                  static_cast<std::uint64_t>(i / 2),
                  listing::Status::serving,
                  2.5,
                  17};
    e.index = 40 + static_cast<std::uint64_t>(i);
    e.firstListedAt = kNow - 5000;
    e.confirmedAt = kNow - 1000;
    e.confirmedBy = trust::ConfirmationSource::delivery;
    e.refutation = against;
    e.deliveries = i;
    return e;
}

std::string sample(int n = 6) {
    std::string text = kept::encodeHeader("n0", kNow - 9000);
    for (int i = 0; i < n; ++i) text += kept::encode(entry(i));
    text += kept::encode(kept::DestinationHealth{7, true, 0, kNow - 100, 4.5});
    trust::Churn churn;
    churn.restore(1000, 3);
    return text + kept::encodeListState(77, 2, churn, 0);
}

TEST(SavedEndpointList, ReadsWhatWasWritten) {
    const auto loaded = kept::parse(sample(), "n0", kNow);
    ASSERT_EQ(loaded.state, kept::FileState::good) << loaded.problem;
    EXPECT_EQ(loaded.list.index, 77u);
    EXPECT_EQ(loaded.list.epoch, 2u);
    EXPECT_EQ(loaded.list.churn.changes(), 3);
    ASSERT_EQ(loaded.list.entries.size(), 6u);
    const auto& e = loaded.list.entries.at("s-3");
    EXPECT_EQ(e.endpoint, entry(3).endpoint);
    EXPECT_EQ(e.index, 43u);
    EXPECT_EQ(e.confirmedAt, kNow - 1000);
    EXPECT_EQ(e.confirmedBy, trust::ConfirmationSource::delivery);
    EXPECT_EQ(e.deliveries, 3);
    EXPECT_EQ(loaded.list.destinationHealth.at(7), (kept::DestinationHealth{7, true, 0, kNow - 100, 4.5}));
}

TEST(SavedEndpointList, LaterRecordsReplaceAndRemove) {
    auto text = sample();
    auto gone = entry(1, trust::RefutationReason::drained);
    text += kept::encode(gone) + kept::encodeRemoval("s-2");
    const auto loaded = kept::parse(text, "n0", kNow);
    EXPECT_EQ(loaded.list.entries.at("s-1").refutation, trust::RefutationReason::drained);
    EXPECT_FALSE(loaded.list.entries.count("s-2"));
}

TEST(SavedEndpointList, ListStateConfirmsEndpointsInServiceOnly) {
    auto text = sample() + kept::encode(entry(1, trust::RefutationReason::drained)) +
                kept::encodeListState(78, 2, {}, kNow - 10);
    const auto loaded = kept::parse(text, "n0", kNow);
    EXPECT_EQ(loaded.list.entries.at("s-0").confirmedAt, kNow - 10);
    EXPECT_EQ(loaded.list.entries.at("s-0").confirmedBy, trust::ConfirmationSource::discovery);
    EXPECT_EQ(loaded.list.entries.at("s-1").confirmedAt, kNow - 1000);
}

TEST(SavedEndpointList, TruncatedFileYieldsItsCompleteRecords) {
    const auto text = sample();
    std::size_t most = 0;
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        const auto loaded = kept::parse(std::string_view(text).substr(0, cut), "n0", kNow);
        EXPECT_GE(loaded.list.entries.size(), most) << cut;  // more bytes never yield fewer entries
        most = loaded.list.entries.size();
        if (cut > 0 && cut < text.size()) {
            EXPECT_TRUE(loaded.state == kept::FileState::torn || loaded.state == kept::FileState::good ||
                        loaded.state == kept::FileState::foreign)
                << cut << kept::name(loaded.state);
        }
    }
    EXPECT_EQ(most, 6u);
}

TEST(SavedEndpointList, DamagedByteCostsAtMostItsOwnRecord) {
    const auto text = sample();
    const auto head = kept::encodeHeader("n0", kNow).size();
    for (std::size_t at = head; at < text.size(); ++at) {
        auto damaged = text;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x41);
        const auto loaded = kept::parse(damaged, "n0", kNow);
        EXPECT_GE(loaded.list.entries.size(), 5u) << at;
        EXPECT_TRUE(loaded.state == kept::FileState::damaged || loaded.state == kept::FileState::torn) << at;
    }
}

TEST(SavedEndpointList, ReportsFilesThatItCannotUse) {
    EXPECT_EQ(kept::parse("", "n0", kNow).state, kept::FileState::absent);
    EXPECT_EQ(kept::parse("#!/bin/sh\n", "n0", kNow).state, kept::FileState::foreign);
    EXPECT_EQ(kept::parse(sample(), "n1", kNow).state, kept::FileState::foreign);
    EXPECT_EQ(kept::parse(sample(), "", kNow).state, kept::FileState::good);
    const auto newer =
        store::encodeFrame("LHK1", store::PayloadWriter('V').number(9).text("n0").number(kNow).finish());
    const auto loaded = kept::parse(newer + sample(), "n0", kNow);
    EXPECT_EQ(loaded.state, kept::FileState::newer);
    EXPECT_TRUE(loaded.list.entries.empty());
    EXPECT_NE(loaded.problem.find("version 9"), std::string::npos);
    EXPECT_TRUE(kept::parse(sample(), "n0", kNow - 86'400'000).writtenInFuture);  // the clock was set back
    EXPECT_FALSE(kept::parse(sample(), "n0", kNow).writtenInFuture);
}

TEST(SavedEndpointList, MalformedRecordsAreSkippedAndReported) {
    for (const auto& malformed :
         {store::PayloadWriter('E').text("x").finish(), store::PayloadWriter('Q').finish(),
          store::PayloadWriter('M').number(1).finish(), store::PayloadWriter('S').finish()}) {
        const auto loaded = kept::parse(sample() + store::encodeFrame("LHK1", malformed), "n0", kNow);
        EXPECT_EQ(loaded.state, kept::FileState::damaged);
        EXPECT_EQ(loaded.list.entries.size(), 6u);
    }
    auto nowhere = entry(9);
    nowhere.endpoint.address = "not an address";
    EXPECT_EQ(kept::parse(sample() + kept::encode(nowhere), "n0", kNow).list.entries.count("s-9"), 0u);
}

TEST(SavedEndpointList, ReadsGarbageWithoutFailing) {
    check::Chance chance(11);
    const auto text = sample(20);
    for (int round = 0; round < 3000; ++round) {
        auto damaged = check::garbage(chance, text);
        if (round % 3 == 0) damaged += text.substr(check::below(chance, text.size()));
        const auto loaded = kept::parse(damaged, "n0", kNow);
        EXPECT_LE(loaded.list.entries.size(), 20u);
        for (const auto& [name, e] : loaded.list.entries)
            EXPECT_TRUE(e.refutation != trust::RefutationReason::none ||
                        net::parseAddress(e.endpoint.address));
    }
}

struct SavedEndpointListFile : testing::Test {
    check::Folder folder;
    std::string path = folder.path + "/endpoints.list";
    std::size_t omitted = 0;
    void SetUp() override { log::setLevel(log::Level::off); }
    std::vector<std::string> records(int n) {
        std::vector<std::string> all;
        for (int i = 0; i < n; ++i) all.push_back(kept::encode(entry(i)));
        return all;
    }
    std::uint64_t usedBytes() {
        std::uint64_t bytes = 0;
        for (const auto& f : std::filesystem::directory_iterator(folder.path))
            bytes += (std::filesystem::file_size(f) + 511) / 512 * 512;
        return bytes;
    }
};

TEST_F(SavedEndpointListFile, ReadsAppendedRecords) {
    kept::SavedEndpointListFile file(folder.path, kBudget, "n0");
    EXPECT_EQ(file.load(kNow).state, kept::FileState::absent);
    EXPECT_FALSE(file.append(kept::encode(entry(1))));  // there is no file yet
    ASSERT_TRUE(file.replace(records(3), kept::encodeListState(5, 0, {}, 0), kNow, omitted));
    EXPECT_EQ(omitted, 0u);
    ASSERT_TRUE(file.append(kept::encode(entry(8)) + kept::encodeRemoval("s-0")));
    kept::SavedEndpointListFile again(folder.path, kBudget, "n0");
    const auto loaded = again.load(kNow);
    EXPECT_EQ(loaded.state, kept::FileState::good);
    EXPECT_EQ(loaded.list.entries.size(), 3u);
    EXPECT_TRUE(loaded.list.entries.count("s-8"));
}

TEST_F(SavedEndpointListFile, BothCopiesStayWithinTheBudget) {
    kept::SavedEndpointListFile file(folder.path, kBudget, "n0");
    for (int round = 0; round < 300; ++round) {
        if (round == 0 || file.needsRewrite() || !file.append(kept::encode(entry(round)))) {
            std::ofstream(path + ".new") << std::string(100, 'x');  // like one that a crash left
            ASSERT_TRUE(file.replace(records(100), kept::encodeListState(5, 0, {}, 0), kNow, omitted));
        }
        ASSERT_LE(2 * file.bytes(), kBudget);
    }
    ASSERT_LE(usedBytes(), kBudget);
    // Records without room are omitted, the first ones are written.
    ASSERT_TRUE(file.replace(records(2000), kept::encodeListState(5, 0, {}, 0), kNow, omitted));
    EXPECT_GT(omitted, 1000u);
    const auto loaded = file.load(kNow);
    EXPECT_EQ(loaded.state, kept::FileState::good);
    EXPECT_EQ(loaded.list.entries.size() + omitted, 2000u);
    EXPECT_TRUE(loaded.list.entries.count("s-0"));
    EXPECT_EQ(loaded.list.index, 5u);
}

TEST_F(SavedEndpointListFile, OversizedFileIsReadUpToItsBudget) {
    std::ofstream(path) << sample(2000);
    kept::SavedEndpointListFile file(folder.path, kBudget, "n0");
    const auto loaded = file.load(kNow);
    EXPECT_EQ(loaded.state, kept::FileState::oversized);
    EXPECT_GT(loaded.list.entries.size(), 100u);
    EXPECT_LT(loaded.list.entries.size(), 500u);
}

// A full disk, simulated by a limit on the file size: the old file stays intact, and a later rewrite
// succeeds.
TEST_F(SavedEndpointListFile, FullDiskLeavesTheOldFile) {
    kept::SavedEndpointListFile file(folder.path, kBudget, "n0");
    ASSERT_TRUE(file.replace(records(50), kept::encodeListState(5, 0, {}, 0), kNow, omitted));
    const auto child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        signal(SIGXFSZ, SIG_IGN);
        const rlimit small{file.bytes() + 20, file.bytes() + 20};
        setrlimit(RLIMIT_FSIZE, &small);
        const bool appended = file.append(kept::encode(entry(60)));
        const bool replaced = file.replace(records(90), kept::encodeListState(6, 0, {}, 0), kNow, omitted);
        _exit(appended || replaced ? 1 : 0);
    }
    int status = 0;
    waitpid(child, &status, 0);
    EXPECT_EQ(status, 0);
    const auto loaded = file.load(kNow);
    EXPECT_EQ(loaded.state, kept::FileState::good);
    EXPECT_EQ(loaded.list.entries.size(), 50u);
    EXPECT_FALSE(std::filesystem::exists(path + ".new"));
    EXPECT_TRUE(file.replace(records(90), kept::encodeListState(6, 0, {}, 0), kNow, omitted));
}

// SIGKILL at a random time during many writes: the file is good afterwards, except for a torn last record.
TEST_F(SavedEndpointListFile, KilledWhileWriting) {
    check::Chance chance(5);
    for (int round = 0; round < 25; ++round) {
        const auto child = fork();
        ASSERT_GE(child, 0);
        if (child == 0) {
            kept::SavedEndpointListFile file(folder.path, kBudget, "n0");
            std::size_t notWritten = 0;
            file.replace(records(40), kept::encodeListState(5, 0, {}, 0), kNow, notWritten);
            for (int i = 0;; ++i)
                if (file.needsRewrite() || !file.append(kept::encode(entry(i % 40))))
                    file.replace(records(40), kept::encodeListState(5, 0, {}, 0), kNow, notWritten);
        }
        // The child writes thousands of times until then; the time of the kill is random, the expected result
        // is not.
        usleep(static_cast<useconds_t>(5000 + check::below(chance, 15000)));
        kill(child, SIGKILL);
        waitpid(child, nullptr, 0);
        kept::SavedEndpointListFile file(folder.path, kBudget, "n0");
        const auto loaded = file.load(kNow);
        if (loaded.state == kept::FileState::absent) continue;  // killed before the first file was renamed
        EXPECT_TRUE(loaded.state == kept::FileState::good || loaded.state == kept::FileState::torn)
            << kept::name(loaded.state) << " " << loaded.problem;
        EXPECT_EQ(loaded.list.entries.size(), 40u);
        EXPECT_FALSE(std::filesystem::exists(path + ".new"));
    }
}

}  // namespace
