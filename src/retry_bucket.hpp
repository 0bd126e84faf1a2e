// The token bucket that pays for the retries to one destination.
#pragma once

#include <algorithm>

#include "sender_constants.hpp"

namespace stoathub {

/// Pays for retries, never for first tries. Successes and time refill it, time only as far as first tries
/// have earned it; so an idle destination saves nothing up for its return from an outage.
class RetryBucket {
  public:
    /// Lets time refill it. Times never go back.
    void refill(Sec now) {
        const double gain =
            std::min({kRefillPerSecond * (now - refilledAt_), allowance_, kBucketCapacity - tokens_});
        add(gain);
        allowance_ -= gain;
        refilledAt_ = now;
    }
    /// Tokens for a success.
    void add(double more) {
        const double before = tokens_;
        tokens_ = std::min(tokens_ + more, kBucketCapacity);
        gained_ += tokens_ - before;
    }
    /// A first try earns a part of a later refill.
    void firstTry() { allowance_ = std::min(allowance_ + kEarned, kBucketCapacity); }
    /// That first try never left.
    void takeBackFirstTry() { allowance_ = std::max(0.0, allowance_ - kEarned); }
    /// Gives back what was paid for a retry that was never sent.
    void giveBack(double cost) {
        spent_ -= cost;
        gained_ -= cost;
        add(cost);
    }
    /// False, and nothing is paid, where there are too few tokens.
    bool pay(double cost, Sec now) {
        refill(now);
        if (tokens_ < cost) return false;
        tokens_ -= cost;
        spent_ += cost;
        return true;
    }

    // The books: the tokens are the capacity, plus what was gained, less what was spent.
    double tokens() const { return tokens_; }
    double gained() const { return gained_; }
    double spent() const { return spent_; }

  private:
    static constexpr double kEarned = kRetryCost / kFirstTriesPerRetry;
    double tokens_ = kBucketCapacity;
    double allowance_ = 0;  // what time may still refill: earned by first tries
    Sec refilledAt_ = 0;
    double gained_ = 0, spent_ = 0;
};

}  // namespace stoathub
