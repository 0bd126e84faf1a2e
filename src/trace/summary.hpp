// What a trace says of the load and of the partners: rates, clumps, and the tails of the times they take.
// Pure: one record at a time, in bounded memory, however long the trace is.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "trace/record.hpp"

namespace laurelhaven::trace {

/// A histogram over a logarithmic axis: a quantile is right within 6%.
class Spread {
  public:
    /// Between `least` and `most`, both above 0; what lies outside counts as the nearer end.
    Spread(double least, double most);
    void add(double value);
    /// One of the same bounds.
    void merge(const Spread& other);
    std::uint64_t count() const { return count_; }
    double sum() const { return sum_; }
    double greatest() const { return greatest_; }
    /// 0 where there is nothing. `q` in [0, 1].
    double quantile(double q) const;
    /// Pairs of a value and the share of all that lies above it: the tail, from the first occupied step on.
    std::vector<std::pair<double, double>> tail() const;

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint32_t>> bins_;
    double least_, most_, greatest_ = 0, sum_ = 0;
    std::uint64_t count_ = 0;
};

/// Arrivals by second of one stream: how much they come in clumps. The index of dispersion for counts
/// (variance over mean of the counts; Cox and Lewis, The Statistical Analysis of Series of Events, 1966, 4.5)
/// is 1 for a Poisson process and grows with clumping.
class Clumps {
  public:
    void add(std::int64_t second);
    std::uint64_t count() const { return count_; }
    std::uint64_t greatest() const;  ///< in one second
    double mean(std::int64_t seconds) const;
    double dispersion(std::int64_t seconds) const;

  private:
    std::int64_t second_ = INT64_MIN;
    std::uint64_t now_ = 0, count_ = 0, greatest_ = 0;
    double squares_ = 0;  // of the seconds that are over
};

struct Partner {
    Clumps arrivals;
    std::array<std::uint64_t, kEndings> endings{};
    Spread took{1e-4, 100};  ///< seconds, of delivered calls
    std::uint64_t waits = 0, waitMs = 0;
    double toldLeast = 0, toldMost = 0;              ///< limits told, calls a second; 0: none was told
    std::map<std::string, std::uint64_t> endpoints;  ///< calls by endpoint
    std::uint64_t calls() const;
};

/// Load over time, in steps that widen as the trace grows: at most kSteps of them.
class Series {
  public:
    static constexpr std::size_t kSteps = 1024;
    void add(double second);
    double step() const { return step_; }  ///< seconds
    const std::vector<std::uint64_t>& counts() const { return counts_; }

  private:
    double step_ = 1;
    std::vector<std::uint64_t> counts_;
};

class Summary {
  public:
    /// Records come in the order of their time, or nearly.
    void add(const Record& record);

    Micros first() const { return first_; }
    Micros last() const { return last_; }
    double seconds() const;
    /// Whole seconds touched, one at least.
    std::int64_t wholeSeconds() const;

    std::uint64_t records = 0, arrivals = 0, dropped = 0, failed = 0, returned = 0, delivered = 0;
    std::uint64_t backwards = 0;  ///< records that lie before the one in front of them
    std::array<std::uint64_t, 4> verdicts{};
    Clumps all;
    Series series;
    Spread bytes{1, 1e8}, deadlines{1e-3, 1e5};  ///< bytes; seconds
    std::map<std::string, std::uint64_t> grades, tenants;
    std::map<std::uint64_t, Partner> partners;
    std::uint64_t unplaced = 0;  ///< records of partners beyond the bound

    static constexpr std::size_t kMostPartners = 20000;
    static constexpr std::size_t kMostNames = 4096;

  private:
    Partner* partner(std::uint64_t destination);
    Micros first_ = 0, last_ = 0;
};

}  // namespace laurelhaven::trace
