#include "trace/summary.hpp"

#include <algorithm>
#include <cmath>

namespace laurelhaven::trace {
namespace {

constexpr unsigned kBins = 128;

void count(std::map<std::string, std::uint64_t>& table, const std::string& name) {
    if (table.size() >= Summary::kMostNames && !table.count(name)) ++table["(others)"];
    else ++table[name];
}

}  // namespace

Spread::Spread(double least, double most)
    : bins_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint32_t>(),
                                                  Axis(kBins, least, most))),
      least_(least),
      most_(most) {}

void Spread::add(double value) {
    bins_(std::clamp(value, least_, most_ * (1 - 1e-9)));
    ++count_;
    sum_ += value;
    greatest_ = std::max(greatest_, value);
}

void Spread::merge(const Spread& other) {
    bins_ += other.bins_;
    count_ += other.count_;
    sum_ += other.sum_;
    greatest_ = std::max(greatest_, other.greatest_);
}

double Spread::quantile(double q) const {
    if (count_ == 0) return 0;
    const double wanted = q * static_cast<double>(count_);
    double seen = 0;
    for (int i = 0; i < static_cast<int>(kBins); ++i) {
        seen += bins_.at(i);
        if (seen < wanted || seen <= 0) continue;
        const auto& axis = bins_.axis();
        return std::min(std::sqrt(axis.value(i) * axis.value(i + 1)), greatest_);
    }
    return greatest_;
}

std::vector<std::pair<double, double>> Spread::tail() const {
    std::vector<std::pair<double, double>> points;
    double above = static_cast<double>(count_);
    for (int i = 0; i < static_cast<int>(kBins) && above > 0.5; ++i) {
        const double here = bins_.at(i);
        above -= here;
        if (here > 0 || !points.empty())
            points.emplace_back(bins_.axis().value(i + 1), above / static_cast<double>(count_));
    }
    return points;
}

void Clumps::add(std::int64_t second) {
    ++count_;
    // A record that lies a little back counts for the second that is open.
    if (second > second_) {
        squares_ += static_cast<double>(now_) * static_cast<double>(now_);
        greatest_ = std::max(greatest_, now_);
        second_ = second;
        now_ = 0;
    }
    ++now_;
}

std::uint64_t Clumps::greatest() const { return std::max(greatest_, now_); }

double Clumps::mean(std::int64_t seconds) const {
    return seconds > 0 ? static_cast<double>(count_) / static_cast<double>(seconds) : 0;
}

double Clumps::dispersion(std::int64_t seconds) const {
    if (seconds < 2 || count_ == 0) return 0;
    const double n = static_cast<double>(seconds), m = mean(seconds);
    const double squares = squares_ + static_cast<double>(now_) * static_cast<double>(now_);
    return std::max(0.0, (squares - n * m * m) / (n - 1)) / m;
}

std::uint64_t Partner::calls() const {
    std::uint64_t all = 0;
    for (const auto n : endings) all += n;
    return all;
}

void Series::add(double second) {
    if (!(second >= 0)) second = 0;
    while (second >= step_ * kSteps) {
        step_ *= 2;
        for (std::size_t i = 0; i < counts_.size(); i += 2)
            counts_[i / 2] = counts_[i] + (i + 1 < counts_.size() ? counts_[i + 1] : 0);
        counts_.resize((counts_.size() + 1) / 2);
    }
    const auto at = static_cast<std::size_t>(second / step_);
    if (counts_.size() <= at) counts_.resize(at + 1);
    ++counts_[at];
}

double Summary::seconds() const { return static_cast<double>(last_ - first_) / 1e6; }
std::int64_t Summary::wholeSeconds() const { return records == 0 ? 0 : (last_ - first_) / 1'000'000 + 1; }

Partner* Summary::partner(std::uint64_t destination) {
    const auto it = partners.find(destination);
    if (it != partners.end()) return &it->second;
    if (partners.size() >= kMostPartners) return ++unplaced, nullptr;
    return &partners[destination];
}

void Summary::add(const Record& record) {
    const auto t = at(record);
    if (records == 0) first_ = last_ = t;
    backwards += t < last_;
    last_ = std::max(last_, t);
    ++records;
    // Seconds count from the trace's beginning. Danger: a damaged record may lie far off.
    const auto second = std::max<Micros>(0, t - first_) / 1'000'000;
    if (const auto* a = std::get_if<Arrival>(&record)) {
        ++arrivals;
        ++verdicts[static_cast<std::size_t>(a->verdict)];
        all.add(second);
        series.add(static_cast<double>(std::max<Micros>(0, t - first_)) / 1e6);
        bytes.add(static_cast<double>(a->bytes));
        deadlines.add(static_cast<double>(a->deadlineMs) / 1000);
        count(grades, a->grade);
        count(tenants, a->tenant);
        if (auto* p = partner(a->destination)) p->arrivals.add(second);
    } else if (const auto* c = std::get_if<Answer>(&record)) {
        auto* p = partner(c->destination);
        delivered += c->ending == Ending::delivered;
        if (!p) return;
        ++p->endings[static_cast<std::size_t>(c->ending)];
        if (c->ending == Ending::delivered) p->took.add(static_cast<double>(c->tookUs) / 1e6);
        if (c->waitMs > 0) ++p->waits, p->waitMs += c->waitMs;
        if (const double told = static_cast<double>(c->allowedMilli) / 1000; told > 0) {
            p->toldLeast = p->toldLeast == 0 ? told : std::min(p->toldLeast, told);
            p->toldMost = std::max(p->toldMost, told);
        }
        count(p->endpoints, c->endpoint);
    } else if (const auto* e = std::get_if<End>(&record)) {
        ++(e->failed ? failed : returned);
    } else {
        dropped += std::get<Dropped>(record).records;
    }
}

}  // namespace laurelhaven::trace
