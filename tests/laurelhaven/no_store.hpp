// A store that takes everything and keeps nothing: for tests and benches of what stands above one.
#pragma once

#include <string>

#include "store/store.hpp"

namespace check {

struct NoStore : laurelhaven::store::Store {
    laurelhaven::store::Recovered recover() override { return {}; }
    bool take(const laurelhaven::store::Taken&) override { return true; }
    std::optional<laurelhaven::store::AttemptNumber> beginAttempt(const std::string&,
                                                                  laurelhaven::store::RecordMs) override {
        return 1;
    }
    bool neverLeft(const std::string&, laurelhaven::store::AttemptNumber) override { return true; }
    bool settle(const std::string&, laurelhaven::store::AttemptNumber,
                laurelhaven::store::AttemptOutcome) override {
        return true;
    }
    bool failWithoutAttempt(const std::string&, laurelhaven::store::RecordMs) override { return true; }
    bool done(const std::string&) override { return true; }
    bool ended(const laurelhaven::store::Owed&) override { return true; }
    bool noticed(const std::string&) override { return true; }
};

}  // namespace check
