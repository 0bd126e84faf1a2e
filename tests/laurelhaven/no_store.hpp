// A store that accepts everything and keeps nothing, for tests and benchmarks of code that needs a store.
#pragma once

#include <string>

#include "store/store.hpp"

namespace check {

struct NoStore : laurelhaven::store::Store {
    laurelhaven::store::RecoveredState recover() override { return {}; }
    bool accept(const laurelhaven::store::StoredMessage&) override { return true; }
    std::optional<laurelhaven::store::AttemptNumber> beginAttempt(const std::string&,
                                                                  laurelhaven::store::RecordMs) override {
        return 1;
    }
    bool attemptNotSent(const std::string&, laurelhaven::store::AttemptNumber) override { return true; }
    bool recordOutcome(const std::string&, laurelhaven::store::AttemptNumber,
                       laurelhaven::store::AttemptOutcome) override {
        return true;
    }
    bool recordUnsentFailure(const std::string&, laurelhaven::store::RecordMs) override { return true; }
    bool remove(const std::string&) override { return true; }
    bool recordFinalState(const laurelhaven::store::PendingNotice&) override { return true; }
    bool noticeAcknowledged(const std::string&) override { return true; }
};

}  // namespace check
