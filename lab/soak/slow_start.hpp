// A partner that is shut for a while and comes back with a part of its capacity: which calls it takes then,
// and whether the senders that had been refused push it over. Thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <set>
#include <string>

namespace laurelhaven::lab::soak {

using std::chrono::milliseconds;

/// The figures of the senders' settings, and the calls a second that the partner takes when it is warm.
struct SlowStartSettings {
    double capacity = 0;
    double coldShare = 0.19, overloadMultiple = 2;
    milliseconds warmUp{14000}, overloadSpan{2000};
    milliseconds longestCall{250};
};

class SlowStart {
  public:
    using Moment = std::chrono::steady_clock::time_point;

    explicit SlowStart(const SlowStartSettings& settings) : settings_(settings) {}
    const SlowStartSettings& settings() const { return settings_; }
    /// It is shut until that moment, unless it is longer already.
    void shut(Moment now, Moment until);

    enum class Answer { usual, shut, full };
    struct Verdict {
        Answer answer = Answer::usual;
        milliseconds opensIn{};  ///< while it is shut
        milliseconds queued{};   ///< before a call is worked on
        std::string overload;    ///< what pushed it over, told once a return
    };
    /// A call of this sender comes.
    Verdict arrived(std::size_t sender, Moment now);

  private:
    struct Arrival {
        Moment at;
        std::size_t sender;
    };
    double shareAt(Moment at) const;
    double allowedFrom(Moment from) const;
    std::string overloadAt(Moment now) const;

    SlowStartSettings settings_;
    std::mutex mutex_;
    Moment opensAt_{}, freeAt_{};
    bool everShut_ = false, told_ = false;
    std::set<std::size_t> refused_;  // senders, while it was shut
    std::deque<Arrival> arrivals_;   // since the return, of the last overloadSpan
};

}  // namespace laurelhaven::lab::soak
