// Ids of messages that must not be repeated, remembered over the longest day that the sender is asked to
// serve.
#include "store/ended_ids.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "check.hpp"
#include "log/log.hpp"
#include "store/ended_id_files.hpp"

namespace {

using namespace laurelhaven;
using store::EndedId;
using store::EndedIdFiles;
using store::EndedIds;
using store::EndedIdSegment;
using store::MessageEnd;

constexpr std::size_t kSegment = EndedIdSegment::kEntries;

std::string id(std::size_t number) { return "9b1f03aa" + std::to_string(10000000 + number); }
MessageEnd endOf(std::size_t number) { return static_cast<MessageEnd>(number % 4); }
std::uint64_t contentOf(std::size_t number) { return number * 7919; }

void add(EndedIds& ids, std::size_t from, std::size_t to) {
    for (auto number = from; number < to; ++number) {
        ids.add(EndedId(id(number), endOf(number), contentOf(number)));
        if (ids.canSeal()) ids.keep(ids.seal());
    }
}

void expectKnown(const EndedIds& ids, std::size_t number) {
    const auto found = ids.find(id(number));
    ASSERT_TRUE(found) << number;
    EXPECT_EQ(found->end(), endOf(number)) << number;
    EXPECT_EQ(found->content(), contentOf(number) & EndedId::kContentMask) << number;
}

// In the review's case messages that had ended before some 400 others ran a second time.
TEST(EndedIds, KnowsEveryIdOfADayAndHowItEnded) {
    constexpr std::size_t kDay = 45 * 60 * 120;
    EndedIds ids(100, EndedIds::kUnlimited);
    add(ids, 0, kDay);
    for (std::size_t number = 0; number < kDay; number += 97) expectKnown(ids, number);
    expectKnown(ids, kDay - 1);
}

// A false match would turn a fresh message away: at 2^38 fingerprints 0.015 of these in the mean.
TEST(EndedIds, KnowsNoIdThatNeverCame) {
    EndedIds ids(100, EndedIds::kUnlimited);
    add(ids, 0, 10 * kSegment);
    std::size_t matches = 0;
    for (std::size_t number = 0; number < 100'000; ++number)
        matches += ids.find("0c" + id(number)).has_value();
    EXPECT_EQ(matches, 0u);
}

TEST(EndedIds, FindsTheLastEndOfAnId) {
    EndedIds ids(1, EndedIds::kUnlimited);
    ids.add(EndedId("m", MessageEnd::returned, 1));
    ids.add(EndedId("m", MessageEnd::delivered, 1));
    EXPECT_EQ(ids.find("m")->end(), MessageEnd::delivered);
    add(ids, 0, kSegment - 2);
    ASSERT_EQ(ids.segments(), 1u);
    EXPECT_EQ(ids.find("m")->end(), MessageEnd::delivered);
}

TEST(EndedIds, DropsTheOldestFirst) {
    EndedIds ids(3, EndedIds::kUnlimited);
    add(ids, 0, 3 * kSegment);
    ids.dropOldestSegment();
    EXPECT_FALSE(ids.find(id(0)));
    expectKnown(ids, kSegment);
}

TEST(EndedIds, BoundsRecentOnesWhereThereIsNoRoomForSegments) {
    EndedIds ids(0, 100);
    for (std::size_t number = 0; number < 1000; ++number) {
        ids.add(EndedId(id(number), endOf(number), contentOf(number)));
        ASSERT_LE(ids.recent().size(), 100u);
    }
    for (std::size_t number = 926; number < 1000; ++number) expectKnown(ids, number);
    EndedIds none(0, 0);
    none.add(EndedId("m", MessageEnd::delivered, 1));
    EXPECT_FALSE(none.find("m"));
}

TEST(EndedIds, RejectsBytesThatAreNoSegment) {
    EXPECT_FALSE(EndedIdSegment::fromBytes(""));
    EXPECT_FALSE(EndedIdSegment::fromBytes(std::string(EndedIdSegment::kBytes, '\0')));
    EXPECT_FALSE(EndedIdSegment::fromBytes(std::string(EndedIdSegment::kBytes, '\xff')));
}

class EndedIdFilesTest : public testing::Test {
  protected:
    EndedIdFilesTest() { log::setLevel(log::Level::off); }
    static EndedIdSegment segment(std::size_t number) {
        EndedIds ids(1, EndedIds::kUnlimited);
        for (std::size_t i = 0; i < kSegment; ++i)
            ids.add(EndedId(id(number * kSegment + i), MessageEnd::delivered, 0));
        return ids.seal();
    }
    std::vector<EndedIdSegment> loaded() const {
        std::vector<EndedIdSegment> segments;
        EXPECT_TRUE(EndedIdFiles(folder_.path).load(segments));
        return segments;
    }
    static bool holds(const EndedIdSegment& segment, std::size_t number) {
        return segment.find(EndedId::fingerprint(id(number * kSegment))).has_value();
    }
    std::string pathOf(int number) const {
        return folder_.path + "/ended-" + std::to_string(number) + ".ids";
    }

    const check::Folder folder_;
    EndedIdFiles files_{folder_.path};
};

TEST_F(EndedIdFilesTest, AreReadInTheOrderInWhichTheyWereWritten) {
    for (std::size_t number = 0; number < 12; ++number) ASSERT_TRUE(files_.write(segment(number)));
    ASSERT_TRUE(files_.removeOldest());
    const auto segments = loaded();
    ASSERT_EQ(segments.size(), 11u);
    for (std::size_t i = 0; i < segments.size(); ++i) EXPECT_TRUE(holds(segments[i], i + 1)) << i;
    EXPECT_EQ(files_.diskBytes(), 11 * EndedIdFiles::kFileBytes);
    EXPECT_LE(std::filesystem::file_size(pathOf(2)), EndedIdFiles::kFileBytes);
}

// A process may be killed at any byte of a write, and a disk may lose some.
TEST_F(EndedIdFilesTest, PassesOverWhatIsTornOrDamaged) {
    for (std::size_t number = 0; number < 3; ++number) ASSERT_TRUE(files_.write(segment(number)));
    std::ofstream(folder_.path + "/ended-4.ids.new") << "LHE1 torn";
    std::filesystem::resize_file(pathOf(2), 1000);
    const auto segments = loaded();
    ASSERT_EQ(segments.size(), 2u);
    EXPECT_TRUE(holds(segments[0], 0) && holds(segments[1], 2));
    EXPECT_FALSE(std::filesystem::exists(folder_.path + "/ended-4.ids.new"));
    EXPECT_FALSE(std::filesystem::exists(pathOf(2))) << "it would count against the disk limit for good";
}

}  // namespace
