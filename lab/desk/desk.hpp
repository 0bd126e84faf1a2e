// What a modelled partner decides: whether it takes a call on, when that is done, what it tells, and whether
// it is being pushed over. Pure: times come in as values. The stand-in on sockets and the model in virtual
// time both ask this one, so that they can differ in all but the partner.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace laurelhaven::lab {

using Instant = std::chrono::nanoseconds;  ///< since any moment, the same for all calls
inline double seconds(Instant span) { return std::chrono::duration<double>(span).count(); }
inline Instant span(double seconds) {
    return std::chrono::duration_cast<Instant>(std::chrono::duration<double>(seconds));
}

struct PartnerModel {
    std::uint64_t destination = 0;
    double capacity = 4;                   ///< calls a second when warm
    double limit = 0;                      ///< calls a second that it takes; 0: none but its capacity
    double told = 4;                       ///< the weight in the list
    bool refusedCount = false;             ///< refused calls use the limit up, too
    std::chrono::milliseconds serve{200};  ///< usual time of a call
    double serveSpread = 0.25;             ///< sigma of its logarithm
    /// Where there are any, these go before both: shares of the calls in rising order, the last of them 1,
    /// and the seconds within which they are answered; between two of them even on a logarithmic scale.
    std::vector<std::pair<double, double>> answers;
    std::chrono::milliseconds depth{1000};  ///< queue: longer than this is full
    double coldFrom = 0.19;                 ///< share of the capacity right after an outage
    std::chrono::milliseconds warmUp{14000};
    double fallMultiple = 2;                    ///< sent more than this times what it can do ...
    std::chrono::milliseconds fallAfter{2000};  ///< ... for so long, it falls over and stays down
    bool tellsWaits = true;
    bool tellsLoad = true;
    bool probes = true;      ///< answers /health/live
    bool oneSender = false;  ///< what comes during a wait comes from one that was told
};

class Desk {
  public:
    Desk(const PartnerModel& model, std::uint64_t seed, Instant now);

    /// What becomes of a call.
    struct Admission {
        enum class Kind { run, waiting, full } kind = Kind::run;
        Instant done{};           ///< for run
        double wait = 0;          ///< for waiting: seconds to tell; 0: none is told
        bool duringWait = false;  ///< it came while a wait held that its sender was told
    };
    /// What an answer tells of the limit.
    struct Load {
        double left = 0;   ///< share
        double limit = 0;  ///< calls a second; 0: none
    };

    /// Every call and probe weighs, refused ones too. False once it has fallen over.
    bool arrived(Instant now);
    /// A call that arrived.
    Admission call(Instant now);
    Load load(Instant now) const;

    /// Cold from now on, with an empty queue: it is back, or came back a moment ago.
    void coolDown(Instant now);
    /// Calls a second that it can do now.
    double present(Instant now) const;
    bool fallen() const { return fallen_; }
    /// So much of it is there: the share of its endpoints that is not down.
    void setPart(double part) { part_ = part; }
    /// Calls take so many times as long from now on.
    void setSlow(double factor) { slow_ = factor; }
    /// It takes this many times its usual limit from now on, and says so in its answers.
    void setLimit(double factor) { model_.limit = factor * usualLimit_; }
    const PartnerModel& model() const { return model_; }

  private:
    double took();

    PartnerModel model_;
    double usualLimit_ = 0;
    double part_ = 1, slow_ = 1;
    boost::random::mt19937_64 chance_;
    bool fallen_ = false;
    std::optional<Instant> coldAt_;  ///< when it came back; none: long ago
    Instant busyUntil_;
    double credit_ = 1;
    Instant creditAt_;
    Instant waitFrom_{}, waitTo_{};  ///< a wait was told: nothing may come between them
    std::deque<Instant> recent_;     ///< arrivals of the last fallAfter
};

}  // namespace laurelhaven::lab
