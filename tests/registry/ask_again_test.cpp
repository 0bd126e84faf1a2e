// How soon discovery is asked again: what it tells counts 6 s after it could be reached, whatever was
// refused before, in a fleet of any size.
#include <gtest/gtest.h>

#include "registry/registry.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

TEST(AskAgain, NeverLaterThanWhatIsToldCounts) {
    for (const int senders : {1, 8, 100, 300, 900}) {
        registry::Options options;
        options.senders = senders;
        for (int failures = 0; failures <= 12; ++failures)
            for (const bool refused : {false, true}) {
                const auto pause = registry::pauseBefore(options, failures, refused, 0.999);
                // The call itself takes its time as well: up to a second for the connect.
                EXPECT_LE(pause, milliseconds(4500))
                    << senders << " senders, " << failures << " failures, refused " << refused;
            }
    }
}

}  // namespace
