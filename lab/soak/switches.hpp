// Which troubles are on just now, for whoever behaves by them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "soak/troubles.hpp"

namespace laurelhaven::lab::soak {

class Switches {
  public:
    /// One more of the kind begins (`change` 1) or ends (-1).
    void set(Kind kind, std::size_t target, std::int64_t parameter, int change) {
        const std::lock_guard lock(mutex_);
        auto& one = on_[{kind, target}];
        one.count += change;
        one.parameter = parameter;
    }
    /// The parameter of the one that began last, while any is on.
    std::optional<std::int64_t> on(Kind kind, std::size_t target) const {
        const std::lock_guard lock(mutex_);
        const auto it = on_.find({kind, target});
        if (it == on_.end() || it->second.count <= 0) return {};
        return it->second.parameter;
    }

  private:
    struct One {
        int count = 0;
        std::int64_t parameter = 0;
    };
    mutable std::mutex mutex_;
    std::map<std::pair<Kind, std::size_t>, One> on_;
};

}  // namespace laurelhaven::lab::soak
