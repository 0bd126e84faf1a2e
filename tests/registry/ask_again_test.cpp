// How soon discovery is asked again. Its updates are binding 6 s after it could be reached, whatever it
// refused before and however large the fleet is.
#include <gtest/gtest.h>

#include "registry/registry.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

// The rest of the 6 s is for the next request itself, which may take a second to connect.
constexpr milliseconds kMaxRequestInterval{4500};

void expectSoon(int senders, int failures, bool refused, milliseconds took = {}) {
    registry::Options options;
    options.senders = senders;
    const auto pause = registry::reconnectPause(options, {failures, refused, took}, 0.999);
    EXPECT_LE(took + pause, std::max(kMaxRequestInterval, took + 2 * options.pauseLeast))
        << senders << " senders, " << failures << " failures, refused " << refused
        << ", the last request took " << took.count() << " ms";
}

TEST(AskAgain, PauseEndsBeforeUpdatesAreBinding) {
    for (const int senders : {1, 8, 80, 100, 300, 900})
        for (int failures = 0; failures <= 12; ++failures) {
            expectSoon(senders, failures, false);
            if (senders <= 80) expectSoon(senders, failures, true);
        }
}

// Updates are binding for a sender whose requests were refused, too.
TEST(AskAgain, PauseEndsInTimeInALargeFleetAfterRefusals) {
    for (const int senders : {100, 300, 900})
        for (int failures = 1; failures <= 12; ++failures) expectSoon(senders, failures, true);
}

// A refusal may take long, and the 6 s count from when discovery could be reached.
TEST(AskAgain, PauseEndsInTimeAfterASlowRefusal) {
    for (const int senders : {1, 100, 900})
        for (const auto took :
             {milliseconds(500), milliseconds(2000), milliseconds(4400), milliseconds(9000)})
            for (int failures = 1; failures <= 12; ++failures) expectSoon(senders, failures, true, took);
}

}  // namespace
