#include "soak/partner.hpp"

#include <algorithm>
#include <cstdio>

#include "http/message.hpp"

namespace laurelhaven::lab::soak {
namespace {

constexpr milliseconds kSurelyHeard{
    20};  // behind an answer, after which its sender did not give up just then
constexpr milliseconds kHangStep{50};
constexpr double kWeight = 4000;  // calls a second that a partner takes: its limit is not what is looked at
constexpr int kLeastTakes = 5, kMostTakes = 250;  // milliseconds, of a call
constexpr int kLeastPermille = 300;  // of a partner's calls, that a trouble of its answers befalls

bool spoilt(Connection& connection, int how) {
    switch (how) {
        case 0: connection.send("\x01\x02 noise that is no answer\r\n\r\n"); return false;
        case 1: connection.send("HTTP/1.1 20"); return false;
        case 2: connection.send("HTTP/1.1 500 Broken\r\nContent-Length: 100\r\n\r\nshort"); return false;
        default:
            connection.send("HTTP/1.1 500 Broken\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
            return false;
    }
}

std::string header(const http::Message& request, const char* name) {
    const auto* value = request.headers.find(name);
    return value ? *value : std::string();
}

}  // namespace

listing::Endpoint Partner::open() {
    const std::lock_guard lock(mutex_);
    const auto name = "e" + std::to_string(number_) + "-" + std::to_string(++opened_);
    auto& server = servers_[name];
    server = std::make_unique<Server>(
        host_ + ":0", [this, name](const http::Message& m, Connection& c) { return answer(name, m, c); });
    server->start();
    current_.push_back(name);
    return {name, server->address(), "z", "partner", destination(), listing::Status::serving, kWeight, 0};
}

std::optional<listing::Endpoint> Partner::drainOldest() {
    const std::lock_guard lock(mutex_);
    if (current_.size() < kEndpointsEach) return {};
    const auto name = current_.front();
    current_.pop_front();
    return listing::Endpoint{name,          servers_[name]->address(), "z",     "partner",
                             destination(), listing::Status::draining, kWeight, 0};
}

void Partner::refuse(bool refuses) {
    const std::lock_guard lock(mutex_);
    for (auto& [name, server] : servers_) {
        if (refuses) server->stop();
        else server->start();
    }
}

void Partner::cut() {
    const std::lock_guard lock(mutex_);
    for (auto& [name, server] : servers_) server->cut();
}

int Partner::draw(int least, int most) {
    const std::lock_guard lock(chanceMutex_);
    return between(chance_, least, most);
}

bool Partner::happens(Kind kind) {
    const auto permille = switches_.on(kind, number_);
    return permille && draw(0, 999) < std::max<std::int64_t>(*permille, kLeastPermille);
}

bool Partner::turnAway(std::uint64_t call, Connection& connection, milliseconds wait) {
    char seconds[16];
    std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(wait.count()) / 1000);
    oracle_.callEnded(call, CallEnd::neverRan);
    const auto writtenFrom = Steady::now();
    const bool written = connection.send(http::formatResponse(429, {{"Retry-After", seconds}}, "", true));
    oracle_.toldWait(call, wait, writtenFrom);
    return written;
}

bool Partner::answer(const std::string& name, const http::Message& request, Connection& connection) {
    if (request.target != "/hook") return connection.send(http::formatResponse(404, {}, "", true));
    const auto call =
        oracle_.callBegan(header(request, "Req-Id"), header(request, "Idempotency-Key"), request.body, name,
                          destination(), [&connection] { return connection.open(); });
    // The connection is gone with this handler: nobody may ask for it behind that.
    const auto end = [&](CallEnd how) { oracle_.callEnded(call, how); };
    if (const auto wait = switches_.on(Kind::turnsAway, number_))
        return turnAway(call, connection, milliseconds(*wait));
    if (!connection.pause(milliseconds(draw(kLeastTakes, kMostTakes))))
        return end(CallEnd::mayHaveRun), false;
    if (happens(Kind::hangs)) {
        while (connection.pause(kHangStep) && switches_.on(Kind::hangs, number_)) {
        }
        return end(CallEnd::mayHaveRun), false;
    }
    if (happens(Kind::resets)) return end(CallEnd::mayHaveRun), false;
    if (happens(Kind::garbles)) return end(CallEnd::mayHaveRun), spoilt(connection, draw(0, 3));
    if (happens(Kind::errors))
        return end(CallEnd::mayHaveRun), connection.send(http::formatResponse(500, {}, "", true));
    const bool heard = connection.open() && connection.send(http::formatResponse(200, {}, "", true));
    end(heard ? CallEnd::delivered : CallEnd::mayHaveRun);
    if (heard && connection.pause(kSurelyHeard)) oracle_.surelyHeard(call);
    return heard;
}

}  // namespace laurelhaven::lab::soak
