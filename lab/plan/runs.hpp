// Days on the model for planning: where their messages come from, many seeds at once on all cores, and what a
// figure is worth that was seen on so many of them.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/description.hpp"
#include "trace/record.hpp"

namespace laurelhaven::plan {

using fleet::Description;

/// What can't be planned, and why, for a person.
struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// The messages of one day at `factor` times the load. For one seed the messages at one factor are among
/// those at every greater one.
using Messages = std::function<std::vector<model::Handing>(double factor, std::uint64_t seed)>;

/// As the description draws them.
Messages drawn(const Description& description);
/// As a trace has them, scaled as `laurelhaven trace scale` does. Throws Bad where the trace has load for a
/// destination that the description does not name.
Messages captured(std::shared_ptr<const std::vector<trace::Arrival>> arrivals,
                  const Description& description);

/// A mean and where it lies with 95% (Student 1908); over one value, or none, the interval is the value.
struct Interval {
    double mean = 0, least = 0, most = 0;
};
Interval interval(const std::vector<double>& values);

/// What a day is worth for the goal: its score, and nothing where a sender needed more memory than it has.
double value(const model::Day& day);

class Runs {
  public:
    /// `cores` 0: all there are.
    explicit Runs(Messages messages, unsigned cores = 0);

    /// One day for each seed from `first` on.
    std::vector<model::Day> days(const Description& description, double factor, int seeds,
                                 std::uint64_t first = 1);
    std::vector<double> values(const Description& description, double factor, int seeds,
                               std::uint64_t first = 1);
    double mean(const Description& description, double factor, int seeds);

    /// For each seed the greatest load at which the goal is still reached, within `tolerance`: by doubling
    /// and halving from 1, then by bisection. `least` where it is not reached at that, `most` where it is at
    /// that.
    struct Search {
        double least = 0.05, most = 16, tolerance = 0.005;
    };
    std::vector<double> greatest(const Description& description, int seeds, const Search& search);

    std::uint64_t played() const { return played_; }
    const Messages& messages() const { return messages_; }
    /// One piece of work for each number below n, on all cores. The first exception is thrown here.
    void each(std::size_t n, const std::function<void(std::size_t)>& work) const;

  private:
    model::Day day(const Description& description, double factor, std::uint64_t seed);

    Messages messages_;
    unsigned cores_;
    std::atomic<std::uint64_t> played_{0};
};

}  // namespace laurelhaven::plan
