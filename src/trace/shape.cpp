#include "trace/shape.hpp"

#include <algorithm>
#include <boost/random/linear_congruential.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace laurelhaven::trace {

bool Cutter::keeps(const Record& record) {
    if (!first_) first_ = at(record);
    const double second = static_cast<double>(at(record) - *first_) / 1e6;
    if (cut_.from && second < *cut_.from) return false;
    if (cut_.to && second >= *cut_.to) return false;
    if (std::holds_alternative<Dropped>(record)) return true;
    const bool chosen = !cut_.tenants.empty() || !cut_.grades.empty() || !cut_.destinations.empty();
    if (!chosen) return true;
    const auto* arrival = std::get_if<Arrival>(&record);
    if (!arrival) {
        const auto id = std::visit(
            [](const auto& r) -> std::uint64_t {
                if constexpr (requires { r.id; }) return r.id;
                else return 0;
            },
            record);
        return kept_.count(id) > 0;
    }
    const bool in = (cut_.tenants.empty() || cut_.tenants.count(arrival->tenant)) &&
                    (cut_.grades.empty() || cut_.grades.count(arrival->grade)) &&
                    (cut_.destinations.empty() || cut_.destinations.count(arrival->destination));
    if (!in) return false;
    if (kept_.insert(arrival->id).second) order_.push(arrival->id);
    if (order_.size() > kMostIds) {
        kept_.erase(order_.front());
        order_.pop();
    }
    return true;
}

void Scaler::add(const Record& record) {
    if (!first_) first_ = at(record);
    const auto* arrival = std::get_if<Arrival>(&record);
    if (!arrival) {
        ++leftOut_;
        return;
    }
    const auto moved = [&](Micros t) {
        // Danger: a very slow trace would lie beyond what a number holds.
        const double there = static_cast<double>(*first_) + static_cast<double>(t - *first_) / scale_.speed;
        if (!(std::fabs(there) < static_cast<double>(kFarthest))) return there > 0 ? kFarthest : -kFarthest;
        return *first_ + static_cast<Micros>(static_cast<double>(t - *first_) / scale_.speed);
    };
    // One stream of chance for each message: what is drawn for it depends on nothing else in the trace.
    // Danger: ids may be mixed small numbers themselves. The golden ratio keeps what is drawn here off them,
    // or a copy would get the id of another message.
    constexpr std::uint64_t kGolden = 0x9e3779b97f4a7c15;
    const auto seed = mixed(arrival->id ^ mixed(scale_.seed * kGolden));
    boost::random::rand48 chance(seed);
    boost::random::uniform_01<double> uniform;
    const double whole = std::floor(scale_.load);
    const int copies = static_cast<int>(whole) + (uniform(chance) < scale_.load - whole ? 1 : 0);
    for (int i = 0; i < copies; ++i) {
        Arrival copy = *arrival;
        copy.at = moved(arrival->at);
        if (i > 0) {
            copy.id = mixed(seed + static_cast<std::uint64_t>(i) * kGolden);
            copy.at += static_cast<Micros>((2 * uniform(chance) - 1) * scale_.spread * 1e6);
            copy.at = std::max(copy.at, *first_);
        }
        waiting_.push(std::move(copy));
    }
    release(moved(arrival->at) - static_cast<Micros>(scale_.spread * 1e6));
}

void Scaler::release(Micros until) {
    while (!waiting_.empty() && waiting_.top().at <= until) {
        sink_(waiting_.top());
        waiting_.pop();
    }
}

void Scaler::finish() { release(INT64_MAX); }

Merger::Merger(std::vector<Source> sources, bool align)
    : sources_(std::move(sources)), shift_(sources_.size(), 0) {
    std::optional<Micros> begin;
    for (std::size_t i = 0; i < sources_.size(); ++i) {
        Record record;
        if (!sources_[i](record)) continue;
        if (!begin) begin = at(record);
        if (align) shift_[i] = *begin - at(record);
        push(std::move(record), i);
    }
}

void Merger::push(Record record, std::size_t source) {
    setAt(record, std::clamp(at(record) + shift_[source], -kFarthest, kFarthest));
    heads_.push_back({std::move(record), source});
    std::push_heap(heads_.begin(), heads_.end(), Later{});
}

bool Merger::next(Record& record) {
    if (heads_.empty()) return false;
    std::pop_heap(heads_.begin(), heads_.end(), Later{});
    const auto source = heads_.back().source;
    record = std::move(heads_.back().record);
    heads_.pop_back();
    if (Record more; sources_[source](more)) push(std::move(more), source);
    return true;
}

}  // namespace laurelhaven::trace
