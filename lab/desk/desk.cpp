#include "desk/desk.hpp"

#include <algorithm>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <cmath>

namespace laurelhaven::lab {

using std::chrono::milliseconds;

namespace {

constexpr double kSlack = 2;              // calls over the budget that chance may bring
constexpr milliseconds kLetThrough{100};  // what was on its way when the wait was told
constexpr milliseconds kRounding{2};
constexpr double kWaitMost = 0.9;  // seconds that a refusal tells to wait, at most

}  // namespace

Desk::Desk(const PartnerModel& model, std::uint64_t seed, Instant now)
    : model_(model), usualLimit_(model.limit), chance_(seed), busyUntil_(now), creditAt_(now) {}

void Desk::coolDown(Instant now) {
    coldAt_ = busyUntil_ = now;
    recent_.clear();
}

double Desk::present(Instant now) const {
    // Danger: nobody is left in a partner that lost all its zones; nothing may be divided by that.
    const double whole = model_.capacity * std::max(part_, 1e-6);
    if (!coldAt_) return whole;
    const double part = std::min(1.0, seconds(now - *coldAt_) / std::max(0.001, seconds(model_.warmUp)));
    return whole * (model_.coldFrom + (1 - model_.coldFrom) * part);
}

bool Desk::arrived(Instant now) {
    if (fallen_) return false;
    recent_.push_back(now);
    while (now - recent_.front() > model_.fallAfter) recent_.pop_front();
    const bool warm = !coldAt_ || now - *coldAt_ > model_.warmUp;
    if (warm) return true;
    const double budget = model_.fallMultiple * present(now) * seconds(model_.fallAfter) + kSlack;
    fallen_ = static_cast<double>(recent_.size()) > budget;
    return !fallen_;
}

Desk::Load Desk::load(Instant now) const {
    if (model_.limit <= 0) return {};
    const double left = std::clamp(credit_ + model_.limit * seconds(now - creditAt_), 0.0, model_.limit);
    return {left / model_.limit, model_.limit};
}

Desk::Admission Desk::call(Instant now) {
    Admission result;
    if (model_.limit > 0) {
        result.duringWait = model_.oneSender && now > waitFrom_ && now < waitTo_;
        credit_ = std::min(model_.limit, credit_ + model_.limit * seconds(now - creditAt_));
        creditAt_ = now;
        if (credit_ < 1) {
            result.kind = Admission::Kind::waiting;
            if (model_.refusedCount) credit_ = std::max(-model_.limit, credit_ - 1);
            if (!model_.tellsWaits) return result;
            result.wait = std::min(kWaitMost, (1 - credit_) / model_.limit + 0.05);
            waitFrom_ = now + kLetThrough;
            waitTo_ = std::max(waitTo_, now + span(result.wait) - kRounding);
            return result;
        }
        credit_ -= 1;
    }
    const auto from = std::max(now, busyUntil_);
    if (from - now > model_.depth) {
        result.kind = Admission::Kind::full;
        return result;
    }
    busyUntil_ = from + span(1 / present(now));
    result.done = from + span(slow_ * took());
    return result;
}

double Desk::took() {
    const auto& answers = model_.answers;
    if (answers.empty()) {
        boost::random::lognormal_distribution<double> usual(std::log(seconds(model_.serve)),
                                                            model_.serveSpread);
        return usual(chance_);
    }
    const double u = boost::random::uniform_01<double>()(chance_);
    const auto above =
        std::find_if(answers.begin(), answers.end(), [&](const auto& a) { return u < a.first; });
    if (above == answers.begin()) return above->second;
    if (above == answers.end()) return answers.back().second;
    const auto& below = *std::prev(above);
    const double part = (u - below.first) / std::max(1e-9, above->first - below.first);
    return below.second * std::pow(above->second / below.second, part);
}

}  // namespace laurelhaven::lab
