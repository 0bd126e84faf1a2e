// A store that takes everything and keeps nothing: for tests and benches of what stands above one.
#pragma once

#include <string>

#include "store/store.hpp"

namespace check {

struct NoStore : laurelhaven::store::Store {
    laurelhaven::store::Recovered recover() override { return {}; }
    bool take(const laurelhaven::store::Taken&) override { return true; }
    bool attempt(const std::string&, laurelhaven::store::RecordMs) override { return true; }
    void unsent(const std::string&) override {}
    void outcome(const std::string&, bool, bool) override {}
    void done(const std::string&) override {}
    void ended(const laurelhaven::store::Owed&) override {}
    void noticed(const std::string&) override {}
};

}  // namespace check
