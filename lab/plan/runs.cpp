#include "plan/runs.hpp"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "trace/shape.hpp"

namespace laurelhaven::plan {

Messages drawn(const Description& description) {
    return [description](double factor, std::uint64_t seed) { return description.messages(factor, seed); };
}

Messages captured(std::shared_ptr<const std::vector<trace::Arrival>> arrivals,
                  const Description& description) {
    std::map<std::uint64_t, std::uint32_t> partners;
    for (std::size_t i = 0; i < description.partners.size(); ++i)
        partners[description.partners[i].is.does.destination] = static_cast<std::uint32_t>(i);
    std::map<std::string, std::uint32_t> tenants;
    std::set<std::uint64_t> strangers;
    for (const auto& a : *arrivals) {
        tenants.emplace(a.tenant, static_cast<std::uint32_t>(tenants.size()));
        if (!partners.count(a.destination)) strangers.insert(a.destination);
    }
    if (!strangers.empty()) {
        std::string names;
        for (const auto d : strangers) names += (names.empty() ? "" : ", ") + std::to_string(d);
        throw Bad("the trace has load for destinations that the description does not name: " + names +
                  "; add them, or leave them out with 'laurelhaven trace cut'");
    }
    if (arrivals->empty()) throw Bad("the trace holds no messages that came in");
    return [arrivals, partners, tenants](double factor, std::uint64_t seed) {
        std::vector<model::Handing> all;
        const auto begun = arrivals->front().at;
        trace::Scale scale;
        scale.load = factor;
        scale.seed = seed;
        trace::Scaler scaler(scale, [&](const trace::Record& record) {
            const auto& a = std::get<trace::Arrival>(record);
            const auto at = std::chrono::microseconds(std::max<trace::Micros>(0, a.at - begun));
            all.push_back({at, partners.at(a.destination), tenants.at(a.tenant),
                           static_cast<std::uint32_t>(all.size())});
        });
        for (const auto& a : *arrivals) scaler.add(a);
        scaler.finish();
        return all;
    };
}

Interval interval(const std::vector<double>& values) {
    Interval made;
    if (values.empty()) return made;
    const auto n = static_cast<double>(values.size());
    for (const double v : values) made.mean += v / n;
    made.least = made.most = made.mean;
    if (values.size() < 2) return made;
    double squares = 0;
    for (const double v : values) squares += (v - made.mean) * (v - made.mean);
    const boost::math::students_t student(n - 1);
    const double half = boost::math::quantile(student, 0.975) * std::sqrt(squares / (n - 1) / n);
    made.least -= half;
    made.most += half;
    return made;
}

double value(const model::Day& day) { return day.memory.share() > 1 ? 0 : day.score(); }

Runs::Runs(Messages messages, unsigned cores)
    : messages_(std::move(messages)),
      cores_(cores > 0 ? cores : std::max(1u, std::thread::hardware_concurrency())) {}

void Runs::each(std::size_t n, const std::function<void(std::size_t)>& work) const {
    std::atomic<std::size_t> next{0};
    std::exception_ptr failure;
    std::mutex mutex;
    const auto some = [&] {
        try {
            for (auto i = next++; i < n; i = next++) work(i);
        } catch (...) {
            const std::lock_guard lock(mutex);
            if (!failure) failure = std::current_exception();
            next = n;
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < std::min<std::size_t>(cores_, n); ++i) threads.emplace_back(some);
    some();
    for (auto& thread : threads) thread.join();
    if (failure) std::rethrow_exception(failure);
}

model::Day Runs::day(const Description& description, double factor, std::uint64_t seed) {
    ++played_;
    return model::play(description.fleet(), messages_(factor, seed), seed);
}

std::vector<model::Day> Runs::days(const Description& description, double factor, int seeds,
                                   std::uint64_t first) {
    std::vector<model::Day> all(static_cast<std::size_t>(seeds));
    each(all.size(), [&](std::size_t i) { all[i] = day(description, factor, first + i); });
    return all;
}

std::vector<double> Runs::values(const Description& description, double factor, int seeds,
                                 std::uint64_t first) {
    std::vector<double> all;
    for (const auto& d : days(description, factor, seeds, first)) all.push_back(value(d));
    return all;
}

double Runs::mean(const Description& description, double factor, int seeds) {
    return interval(values(description, factor, seeds)).mean;
}

std::vector<double> Runs::greatest(const Description& description, int seeds, const Search& search) {
    std::vector<double> all(static_cast<std::size_t>(seeds));
    each(all.size(), [&](std::size_t i) {
        const auto holds = [&](double factor) {
            return value(day(description, factor, 1 + i)) >= description.goal;
        };
        double good = 1, bad = 1;
        if (holds(1)) {
            do {
                good = bad;
                if (good >= search.most) return void(all[i] = search.most);
                bad = std::min(search.most, 2 * good);
            } while (holds(bad));
        } else {
            do {
                bad = good;
                if (bad <= search.least) return void(all[i] = search.least);
                good = std::max(search.least, bad / 2);
            } while (!holds(good));
        }
        while (bad / good > 1 + search.tolerance) {
            const double middle = std::sqrt(good * bad);
            (holds(middle) ? good : bad) = middle;
        }
        all[i] = std::sqrt(good * bad);
    });
    return all;
}

}  // namespace laurelhaven::plan
