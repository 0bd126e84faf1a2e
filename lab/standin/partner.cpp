#include "standin/partner.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace laurelhaven::lab {

using std::chrono::milliseconds;

namespace {

Instant instant(Moment at) { return at.time_since_epoch(); }

std::string decimal(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

}  // namespace

Partner::Partner(const PartnerModel& model, Ledger& ledger, std::uint64_t seed)
    : ledger_(ledger), desk_(model, seed, instant(Steady::now())) {}

Partner::~Partner() {
    for (auto& [id, point] : endpoints_) point->server->stop();
}

void Partner::open(const std::string& endpoint, const std::string& address, int zone) {
    auto point = std::make_unique<Point>();
    point->id = endpoint;
    point->zone = zone;
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
    desk_.coolDown(instant(Steady::now()));
}

void Partner::up() {
    coolDown();
    {
        const std::lock_guard lock(mutex_);
        if (desk_.fallen()) return;
        isDown_ = false;
    }
    for (auto& [id, point] : endpoints_)
        if (!point->down) point->server->start();
}

void Partner::down(int zone) {
    for (auto& [id, point] : endpoints_)
        if (point->zone == zone && !point->down) {
            {
                const std::lock_guard lock(mutex_);
                point->down = true;
            }
            point->server->stop();
        }
    settle();
}

void Partner::up(int zone) {
    const bool none =
        std::all_of(endpoints_.begin(), endpoints_.end(), [](const auto& p) { return p.second->down; });
    if (none) coolDown();
    std::vector<Point*> back;
    for (auto& [id, point] : endpoints_)
        if (point->zone == zone && point->down) {
            const std::lock_guard lock(mutex_);
            point->down = false;
            back.push_back(point.get());
        }
    settle();
    for (auto* point : back)
        if (!isDown_) point->server->start();
}

/// Its capacity is what its endpoints that are there have of it.
void Partner::settle() {
    const std::lock_guard lock(mutex_);
    const auto there =
        std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& p) { return !p.second->down; });
    desk_.setPart(static_cast<double>(there) /
                  static_cast<double>(std::max<std::size_t>(1, endpoints_.size())));
}

void Partner::slow(double factor) {
    const std::lock_guard lock(mutex_);
    desk_.setSlow(factor);
}

void Partner::limit(double factor) {
    const std::lock_guard lock(mutex_);
    desk_.setLimit(factor);
}

bool Partner::isDown() const {
    const std::lock_guard lock(mutex_);
    return isDown_;
}

bool Partner::fallen() const {
    const std::lock_guard lock(mutex_);
    return desk_.fallen();
}

/// False once it has fallen over.
bool Partner::arrived(Moment now) {
    const bool was = desk_.fallen();
    if (desk_.arrived(instant(now))) return true;
    if (!was) ledger_.fellOver(model().destination);
    return false;
}

http::Fields Partner::load(Moment now) const {
    if (!model().tellsLoad) return {};
    const auto load = desk_.load(instant(now));
    if (load.limit <= 0) return {{"Srv-Load", "x0=0,x1=0"}};
    return {{"Srv-Load", "x0=" + decimal(load.left) + ",x1=" + decimal(load.limit)}};
}

bool Partner::answer(Point& point, const http::Message& message, Connection& connection) {
    if (message.target == "/health/live" || message.target == "/stats") {
        if (!model().probes) return connection.send(http::formatResponse(404, {}, "", true));
        ledger_.probed(point.id, model().destination);
        const std::lock_guard lock(mutex_);
        const auto now = Steady::now();
        const bool up = arrived(now) && !point.draining;
        return connection.send(http::formatResponse(up ? 200 : 503, load(now), "", message.keepsAlive())) &&
               message.keepsAlive();
    }
    if (message.method != "POST" || message.target != "/hook")
        return connection.send(http::formatResponse(404, {}, "", true));
    return call(point, message, connection);
}

bool Partner::call(Point& point, const http::Message& message, Connection& connection) {
    CallRecord record;
    record.begun = Steady::now();
    record.endpoint = point.id;
    record.destination = model().destination;
    if (const auto* id = message.headers.find("Req-Id")) record.id = *id;
    const auto verdict =
        ledger_.begun(point.id, model().destination, record.id, [&] { return connection.open(); });
    record.call = verdict.call;
    const auto finish = [&](Outcome outcome, int status, http::Fields fields) {
        record.outcome = outcome;
        record.at = Steady::now();
        ledger_.ended(record);
        return connection.send(http::formatResponse(status, fields, "", true));
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
        const auto admission = desk_.call(instant(now));
        using Kind = Desk::Admission::Kind;
        if (admission.duringWait) ledger_.waitBroken();
        if (admission.kind == Kind::waiting) {
            if (admission.wait > 0) fields.emplace_back("Retry-After", decimal(admission.wait));
            lock.unlock();
            return finish(Outcome::waiting, admission.wait > 0 ? 429 : 503, fields);
        }
        if (admission.kind == Kind::full) {
            lock.unlock();
            return finish(Outcome::full, 503, fields);
        }
        done = Moment(std::chrono::duration_cast<Moment::duration>(admission.done));
    }
    // The work goes on whether or not the caller waits for it.
    std::this_thread::sleep_until(done);
    {
        const std::lock_guard lock(mutex_);
        if (isDown_ || point.down || desk_.fallen()) {
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
