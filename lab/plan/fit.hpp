// A draft of a fleet's description out of a trace, with how sure each figure is; and whether a description
// explains a trace at all. Pure: records go in one by one, in bounded memory.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "plan/runs.hpp"
#include "trace/summary.hpp"

namespace laurelhaven::plan {

/// What a trace says of one partner, beyond trace::Summary.
struct Fitted {
    double calls = 0, delivered = 0, full = 0, waits = 0, errors = 0, broken = 0;
    double logSum = 0, logSquares = 0;  ///< of the seconds that delivered calls took
    double told = 0;                    ///< the greatest limit told
    std::vector<double> saturated;      ///< calls admitted in each second in which it told waits throughout
    std::vector<double> crowded;        ///< the same where it was full otherwise
    double most = 0;                    ///< calls admitted in any second
};

class Fit {
  public:
    void add(const trace::Record& record);
    /// The draft, and a line for each partner that says how sure its figures are. Throws Bad where the trace
    /// holds no messages.
    struct Draft {
        Description description;
        std::vector<std::string> notes;
    };
    Draft draft();
    const std::map<std::uint64_t, Fitted>& partners() const { return partners_; }
    const trace::Summary& summary() const { return summary_; }

  private:
    struct Second {
        std::int64_t at = -1;
        double admitted = 0, waits = 0, full = 0;
        bool refusedBefore = false;  ///< in the second before, too
    };
    void close(Fitted& fitted, Second& second);

    trace::Summary summary_;
    std::map<std::uint64_t, Fitted> partners_;
    std::unordered_map<std::uint64_t, Second> seconds_;
};

/// How a trace's partners did beside the model's at the same load.
struct Unexplained {
    std::string partner;
    std::string what;  ///< for a person
};
/// What the trace shows and the description does not explain: a partner whose calls fail with errors, resets
/// or time-outs, or deliver a smaller part, by more than chance (normal approximation of the binomial, 99.9%)
/// and more than 5% of them. Empty where the description will do.
std::vector<Unexplained> unexplained(const Fit& fit, const Description& description, Runs& runs);

}  // namespace laurelhaven::plan
