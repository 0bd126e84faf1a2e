// How soon discovery is asked again: what it tells counts 6 s after it could be reached, whatever was
// refused before, in a fleet of any size.
#include <gtest/gtest.h>

#include "registry/registry.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

// The call itself takes its time as well: up to a second for the connect.
constexpr milliseconds kMostPause{4500};

void expectSoon(int senders, int failures, bool refused) {
    registry::Options options;
    options.senders = senders;
    EXPECT_LE(registry::pauseBefore(options, failures, refused, 0.999), kMostPause)
        << senders << " senders, " << failures << " failures, refused " << refused;
}

TEST(AskAgain, NeverLaterThanWhatIsToldCounts) {
    for (const int senders : {1, 8, 80, 100, 300, 900})
        for (int failures = 0; failures <= 12; ++failures) {
            expectSoon(senders, failures, false);
            if (senders <= 80) expectSoon(senders, failures, true);
        }
}

// A discovery that works off fewer calls than a fleet makes every 4.5 s answers hardly any of them in time
// (RegistryFleet shows it); so a large fleet that was refused spreads its calls further.
TEST(AskAgain, NeverLaterInALargeFleetThatWasRefused) {
    for (const int senders : {100, 300, 900})
        for (int failures = 1; failures <= 12; ++failures) expectSoon(senders, failures, true);
}

}  // namespace
