// Token bucket that limits the retries to one destination. Not thread-safe.
#pragma once

#include <algorithm>

#include "sender_constants.hpp"

namespace stoathub {

/// Pays for retries; first attempts are free. Deliveries and time refill the bucket. Time refills it only as
/// far as first attempts have earned, so that an idle destination saves up nothing for its return from an
/// outage.
class RetryBucket {
  public:
    /// Applies the refill over time. `now` must never go back.
    void refill(Seconds now) {
        const double gain = std::min(
            {kRefillTokensPerSecond * (now - refilledAt_), earnedRefill_, kBucketCapacityTokens - tokens_});
        add(gain);
        earnedRefill_ -= gain;
        refilledAt_ = now;
    }
    /// Adds tokens, up to the capacity.
    void add(double more) {
        const double before = tokens_;
        tokens_ = std::min(tokens_ + more, kBucketCapacityTokens);
        gained_ += tokens_ - before;
    }
    /// A first attempt earns part of a later refill.
    void recordFirstAttempt() {
        earnedRefill_ = std::min(earnedRefill_ + kEarnedTokens, kBucketCapacityTokens);
    }
    /// Takes back what a first attempt earned, as it was never sent.
    void revertFirstAttempt() { earnedRefill_ = std::max(0.0, earnedRefill_ - kEarnedTokens); }
    /// Returns the tokens paid for a retry that was never sent.
    void refund(double cost) {
        spent_ -= cost;
        gained_ -= cost;
        add(cost);
    }
    /// Returns false, and takes nothing, if there are too few tokens.
    bool tryPay(double cost, Seconds now) {
        refill(now);
        if (tokens_ < cost) return false;
        tokens_ -= cost;
        spent_ += cost;
        return true;
    }

    // At any time, tokens = capacity + gained - spent.
    double tokens() const { return tokens_; }
    double gained() const { return gained_; }
    double spent() const { return spent_; }

  private:
    static constexpr double kEarnedTokens = kRetryCostTokens / kFirstAttemptsPerRetry;
    double tokens_ = kBucketCapacityTokens;
    double earnedRefill_ = 0;  // tokens that time may still refill
    Seconds refilledAt_ = 0;
    double gained_ = 0, spent_ = 0;
};

}  // namespace stoathub
