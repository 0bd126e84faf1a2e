#include "standin/partner.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace laurelhaven::lab {

using std::chrono::milliseconds;

namespace {

double seconds(std::chrono::nanoseconds span) { return std::chrono::duration<double>(span).count(); }
Moment::duration span(double s) {
    return std::chrono::duration_cast<Moment::duration>(std::chrono::duration<double>(s));
}

std::string decimal(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

constexpr double kSlack = 2;              // calls over the budget that chance may bring
constexpr milliseconds kLetThrough{100};  // what was on its way when the wait was told
constexpr milliseconds kRounding{2};
constexpr double kWaitMost = 0.9;  // seconds that a refusal tells to wait, at most

}  // namespace

Partner::Partner(const PartnerModel& model, Ledger& ledger, std::uint64_t seed)
    : model_(model), ledger_(ledger), chance_(seed), busyUntil_(Steady::now()), creditAt_(Steady::now()) {}

Partner::~Partner() {
    for (auto& [id, point] : endpoints_) point->server->stop();
}

void Partner::open(const std::string& endpoint, const std::string& address) {
    auto point = std::make_unique<Point>();
    point->id = endpoint;
    Point* raw = point.get();
    point->server = std::make_unique<Server>(
        address, [this, raw](const http::Message& m, Connection& c) { return answer(*raw, m, c); });
    if (!isDown_) point->server->start();
    endpoints_[endpoint] = std::move(point);
}

void Partner::drain(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    if (const auto it = endpoints_.find(endpoint); it != endpoints_.end()) it->second->draining = true;
}

void Partner::close(const std::string& endpoint) {
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end()) return;
    it->second->server->stop();
    endpoints_.erase(it);
}

void Partner::down() {
    {
        const std::lock_guard lock(mutex_);
        isDown_ = true;
    }
    for (auto& [id, point] : endpoints_) point->server->stop();
}

void Partner::coolDown() {
    const std::lock_guard lock(mutex_);
    coldAt_ = busyUntil_ = Steady::now();
    everCold_ = true;
    recent_.clear();
}

void Partner::up() {
    coolDown();
    {
        const std::lock_guard lock(mutex_);
        if (fallen_) return;
        isDown_ = false;
    }
    for (auto& [id, point] : endpoints_) point->server->start();
}

bool Partner::fallen() const {
    const std::lock_guard lock(mutex_);
    return fallen_;
}

/// Calls a second that it can do now.
double Partner::present(Moment now) const {
    if (!everCold_) return model_.capacity;
    const double part = std::min(1.0, seconds(now - coldAt_) / std::max(0.001, seconds(model_.warmUp)));
    return model_.capacity * (model_.coldFrom + (1 - model_.coldFrom) * part);
}

/// Every call and probe weighs, refused ones too. False once it has fallen over.
bool Partner::arrived(Moment now) {
    if (fallen_) return false;
    recent_.push_back(now);
    std::erase_if(recent_, [&](Moment at) { return now - at > model_.fallAfter; });
    const bool warm = !everCold_ || now - coldAt_ > model_.warmUp;
    if (warm) return true;
    const double budget = model_.fallMultiple * present(now) * seconds(model_.fallAfter) + kSlack;
    if (static_cast<double>(recent_.size()) <= budget) return true;
    fallen_ = true;
    ledger_.fellOver(model_.destination);
    return false;
}

http::Fields Partner::load(Moment now) {
    if (!model_.tellsLoad) return {};
    if (model_.limit <= 0) return {{"Srv-Load", "x0=0,x1=0"}};
    const double left = std::clamp(credit_ + model_.limit * seconds(now - creditAt_), 0.0, model_.limit);
    return {{"Srv-Load", "x0=" + decimal(left / model_.limit) + ",x1=" + decimal(model_.limit)}};
}

bool Partner::answer(Point& point, const http::Message& message, Connection& connection) {
    if (message.target == "/health/live" || message.target == "/stats") {
        if (!model_.probes) return connection.send(http::response(404, {}, "", true));
        ledger_.probed(point.id, model_.destination);
        const std::lock_guard lock(mutex_);
        const auto now = Steady::now();
        const bool up = arrived(now) && !point.draining;
        return connection.send(http::response(up ? 200 : 503, load(now), "", message.keepsAlive())) &&
               message.keepsAlive();
    }
    if (message.method != "POST" || message.target != "/hook")
        return connection.send(http::response(404, {}, "", true));
    return call(point, message, connection);
}

bool Partner::call(Point& point, const http::Message& message, Connection& connection) {
    CallRecord record;
    record.endpoint = point.id;
    record.destination = model_.destination;
    if (const auto* id = message.headers.find("Req-Id")) record.id = *id;
    const auto verdict = ledger_.begun(point.id, model_.destination, record.id);
    const auto finish = [&](Outcome outcome, int status, http::Fields fields) {
        record.outcome = outcome;
        record.at = Steady::now();
        ledger_.ended(record);
        return connection.send(http::response(status, fields, "", true));
    };
    if (!verdict.known || !verdict.fits)
        return finish(verdict.known ? Outcome::misdirected : Outcome::unknown, 400, {});
    Moment done;
    {
        std::unique_lock lock(mutex_);
        const auto now = Steady::now();
        if (!arrived(now)) {
            lock.unlock();
            finish(Outcome::broken, 503, {});
            return false;
        }
        if (point.draining) return lock.unlock(), finish(Outcome::drained, 503, {});
        auto fields = load(now);
        if (model_.limit > 0) {
            if (model_.oneSender && now > waitFrom_ && now < waitTo_) ledger_.waitBroken();
            credit_ = std::min(model_.limit, credit_ + model_.limit * seconds(now - creditAt_));
            creditAt_ = now;
            if (credit_ < 1) {
                const double wait = std::min(kWaitMost, (1 - credit_) / model_.limit + 0.05);
                if (model_.tellsWaits) {
                    fields.emplace_back("Retry-After", decimal(wait));
                    waitFrom_ = now + kLetThrough;
                    waitTo_ = std::max(waitTo_, now + span(wait) - kRounding);
                }
                lock.unlock();
                return finish(Outcome::waiting, model_.tellsWaits ? 429 : 503, fields);
            }
            credit_ -= 1;
        }
        const auto from = std::max(now, busyUntil_);
        if (from - now > model_.depth) {
            lock.unlock();
            return finish(Outcome::full, 503, fields);
        }
        busyUntil_ = from + span(1 / present(now));
        std::lognormal_distribution<double> took(std::log(seconds(model_.serve)), model_.serveSpread);
        done = from + span(took(chance_));
    }
    // The work goes on whether or not the caller waits for it.
    std::this_thread::sleep_until(done);
    {
        const std::lock_guard lock(mutex_);
        if (isDown_ || fallen_) {
            record.outcome = Outcome::broken;
            record.at = Steady::now();
            ledger_.ended(record);
            return false;
        }
    }
    const bool fresh = ledger_.run(record.id, Steady::now());
    http::Fields fields;
    {
        const std::lock_guard lock(mutex_);
        fields = load(Steady::now());
    }
    return finish(fresh ? Outcome::delivered : Outcome::repeat, 200, fields);
}

}  // namespace laurelhaven::lab
