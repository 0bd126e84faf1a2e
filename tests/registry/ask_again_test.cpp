// How soon discovery is asked again: what it tells counts 6 s after it could be reached, whatever was
// refused before, in a fleet of any size.
#include <gtest/gtest.h>

#include "registry/registry.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

// The next call itself takes its time as well: up to a second for its connect.
constexpr milliseconds kMostBetweenCalls{4500};

void expectSoon(int senders, int failures, bool refused, milliseconds took = {}) {
    registry::Options options;
    options.senders = senders;
    const auto pause = registry::reconnectPause(options, {failures, refused, took}, 0.999);
    EXPECT_LE(took + pause, std::max(kMostBetweenCalls, took + 2 * options.pauseLeast))
        << senders << " senders, " << failures << " failures, refused " << refused << ", the last call took "
        << took.count() << " ms";
}

TEST(AskAgain, NeverLaterThanWhatIsToldCounts) {
    for (const int senders : {1, 8, 80, 100, 300, 900})
        for (int failures = 0; failures <= 12; ++failures) {
            expectSoon(senders, failures, false);
            if (senders <= 80) expectSoon(senders, failures, true);
        }
}

// A refused call frees from nothing, in a fleet of any size.
TEST(AskAgain, NeverLaterInALargeFleetThatWasRefused) {
    for (const int senders : {100, 300, 900})
        for (int failures = 1; failures <= 12; ++failures) expectSoon(senders, failures, true);
}

// A refusal may be long in coming, and what is told counts from when discovery could be reached.
TEST(AskAgain, NeverLaterAfterARefusalThatTookLong) {
    for (const int senders : {1, 100, 900})
        for (const auto took :
             {milliseconds(500), milliseconds(2000), milliseconds(4400), milliseconds(9000)})
            for (int failures = 1; failures <= 12; ++failures) expectSoon(senders, failures, true, took);
}

}  // namespace
