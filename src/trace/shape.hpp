// Makes one trace out of others: a part of it, more or less load of the same shape, several as one. Pure
// streams: records go in and come out in the order of their time, and little is held in between.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "trace/record.hpp"

namespace laurelhaven::trace {

using Sink = std::function<void(const Record&)>;

/// A part of a trace. What is not set lets everything through.
struct Cut {
    std::optional<double> from, to;  ///< seconds since the trace's first record; `to` is left out itself
    std::set<std::uint64_t> destinations;
    std::set<std::string> tenants, grades;  ///< of arrivals; answers and ends follow their message
};

class Cutter {
  public:
    explicit Cutter(Cut cut) : cut_(std::move(cut)) {}
    /// True where the record belongs to the part. Of a message that was left out only its id is held, and
    /// only while `tenants`, `grades` or `destinations` say anything.
    bool keeps(const Record& record);

  private:
    static constexpr std::size_t kMostIds = 4'000'000;  // then the oldest choice is forgotten
    Cut cut_;
    std::optional<Micros> first_;
    std::set<std::uint64_t> kept_;
    std::queue<std::uint64_t> order_;
};

/// Load of the same shape: each arrival stays, goes or comes several times over. Which of them is drawn from
/// its id alone, so that the arrivals at one factor are among those at every greater one (common random
/// numbers).
struct Scale {
    double load = 1;    ///< arrivals for each that was captured
    double speed = 1;   ///< the trace in this part of its time
    double spread = 1;  ///< seconds by which a further copy lies off at most, either way
    std::uint64_t seed = 1;
};

class Scaler {
  public:
    Scaler(const Scale& scale, Sink sink) : scale_(scale), sink_(std::move(sink)) {}
    /// Answers and ends are left out: they belong to the load as it was.
    void add(const Record& record);
    void finish();
    std::uint64_t leftOut() const { return leftOut_; }

  private:
    struct Later {
        bool operator()(const Arrival& a, const Arrival& b) const { return a.at > b.at; }
    };
    void release(Micros until);
    Scale scale_;
    Sink sink_;
    std::optional<Micros> first_;
    std::priority_queue<Arrival, std::vector<Arrival>, Later> waiting_;
    std::uint64_t leftOut_ = 0;
};

/// Several streams as one, by time.
class Merger {
  public:
    /// The next record of a stream; false at its end.
    using Source = std::function<bool(Record&)>;
    /// With `align` every stream begins when the first one does.
    Merger(std::vector<Source> sources, bool align);
    bool next(Record& record);

  private:
    struct Head {
        Record record;
        std::size_t source = 0;
    };
    struct Later {
        bool operator()(const Head& a, const Head& b) const {
            return trace::at(a.record) != trace::at(b.record) ? trace::at(a.record) > trace::at(b.record)
                                                              : a.source > b.source;
        }
    };
    void push(Record record, std::size_t source);
    std::vector<Source> sources_;
    std::vector<Micros> shift_;
    std::vector<Head> heads_;  // a heap: what leaves a priority_queue can only be copied
};

}  // namespace laurelhaven::trace
