// The source of all random numbers of a sender.
#pragma once

#include <cstdint>
#include <random>

namespace stoathub {

/// Draws the same numbers for the same seed. Not thread-safe.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
    /// Returns a number of at least 0 and less than 1.
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(engine_); }

  private:
    std::mt19937_64 engine_;
};

}  // namespace stoathub
