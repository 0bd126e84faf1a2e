#include "soak/partner.hpp"

#include <algorithm>
#include <cstdio>

#include "http/message.hpp"

namespace laurelhaven::lab::soak {
namespace {

constexpr milliseconds kSurelyHeard{
    20};  // behind an answer, after which its sender did not give up just then
constexpr milliseconds kHangStep{50};
constexpr int kLeastTakes = 5, kMostTakes = 250;  // milliseconds, of a call
constexpr int kLeastLater = 1, kMostLater = 150;  // milliseconds, from a response to what comes behind it
constexpr int kFailed = 500, kUnavailable = 503, kOver = 410, kExhausted = 504,
              kUnknown = 400;        // status codes
constexpr int kLeastPermille = 300;  // of a partner's calls, that a trouble of its answers befalls

enum class Spoilt { noise, halfStatus, wrongLength, wrongChunk };
constexpr int kSpoilt = static_cast<int>(Spoilt::wrongChunk) + 1;
constexpr std::size_t kMostCopies = 1000;  // connections that end without another request leave theirs

std::string spoilt(Spoilt how, int status) {
    const auto line = "HTTP/1.1 " + std::to_string(status) + " Broken\r\n";
    switch (how) {
        case Spoilt::noise: return "\x01\x02 noise that is no answer\r\n\r\n";
        case Spoilt::halfStatus: return "HTTP/1.1 20";
        case Spoilt::wrongLength: return line + "Content-Length: 100\r\n\r\nshort";
        case Spoilt::wrongChunk: break;
    }
    return line + "Transfer-Encoding: chunked\r\n\r\nzz\r\n";
}

std::string header(const http::Message& request, const char* name) {
    const auto* value = request.headers.find(name);
    return value ? *value : std::string();
}

}  // namespace

void Partner::close(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    servers_.erase(endpoint);
}

listing::Endpoint Partner::open(const std::string& address) {
    const std::lock_guard lock(mutex_);
    const auto name = "e" + std::to_string(number_) + "-" + std::to_string(++opened_);
    auto& server = servers_[name];
    server = std::make_unique<Server>(
        address.empty() ? host_ + ":0" : address,
        [this, name](const http::Message& m, Connection& c) { return answer(name, m, c); });
    server->start();
    current_.push_back(name);
    return {name,
            server->address(),
            "z",
            "partner",
            destination(),
            listing::Status::serving,
            slowStart_.settings().capacity,
            0};
}

std::optional<listing::Endpoint> Partner::drainOldest() {
    const std::lock_guard lock(mutex_);
    if (current_.size() < kEndpointsEach) return {};
    const auto name = current_.front();
    current_.pop_front();
    return listing::Endpoint{name,
                             servers_[name]->address(),
                             "z",
                             "partner",
                             destination(),
                             listing::Status::draining,
                             slowStart_.settings().capacity,
                             0};
}

void Partner::refuse(bool refuses) {
    const std::lock_guard lock(mutex_);
    for (auto& [name, server] : servers_) {
        if (refuses) server->stop();
        else server->start();
    }
}

/// Every second refusal tells when it opens.
bool Partner::turnAwayShut(std::uint64_t call, Connection& connection, milliseconds opensIn) {
    return draw(0, 1) == 0 ? turnAway(call, connection, opensIn) : turnAwayFull(call, connection);
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
    const bool written = send(connection, http::formatResponse(429, {{"Retry-After", seconds}}, "", true));
    if (isReadable(connection)) oracle_.toldWait(call, wait, writtenFrom);
    return written;
}

bool Partner::turnAwayFull(std::uint64_t call, Connection& connection) {
    oracle_.callEnded(call, CallEnd::neverRan);
    return send(connection, http::formatResponse(kUnavailable, {}, "", true));
}

/// The connection stays open behind it, and is of no further use.
bool Partner::answerWithNoise(std::uint64_t call, Connection& connection) {
    const bool written = connection.pause(milliseconds(draw(0, kLeastTakes))) &&
                         connection.send(spoilt(Spoilt::noise, kFailed));
    oracle_.callEnded(call, CallEnd::mayHaveRun);
    if (written) connection.pause(milliseconds(kMostTakes));
    return false;
}

bool Partner::send(Connection& connection, const std::string& text) {
    if (happens(Kind::copies)) keepCopy(copies_, connection, text);
    if (happens(Kind::lateCopies)) keepCopy(lateCopies_, connection, text);
    return connection.send(text);
}

void Partner::keepCopy(Copies& copies, const Connection& connection, const std::string& text) {
    const std::lock_guard lock(chanceMutex_);
    if (copies.size() >= kMostCopies) copies.erase(copies.begin());
    copies[connection.number()] = text;
}

std::string Partner::takeCopy(Copies& copies, const Connection& connection) {
    const std::lock_guard lock(chanceMutex_);
    const auto it = copies.find(connection.number());
    if (it == copies.end()) return {};
    const auto text = std::move(it->second);
    copies.erase(it);
    return text;
}

void Partner::markUnreadable(const Connection& connection) {
    const std::lock_guard lock(chanceMutex_);
    if (unreadable_.size() >= kMostCopies) unreadable_.erase(unreadable_.begin());
    unreadable_.insert(connection.number());
}

bool Partner::isReadable(const Connection& connection) {
    const std::lock_guard lock(chanceMutex_);
    return unreadable_.count(connection.number()) == 0;
}

bool Partner::rest(Connection& connection) {
    const auto later = [&] { return connection.pause(milliseconds(draw(kLeastLater, kMostLater))); };
    if (const auto copy = takeCopy(lateCopies_, connection); !copy.empty())
        if (!later() || !connection.send(copy)) return false;
    if (happens(Kind::noises)) {
        if (!later()) return false;
        markUnreadable(connection);
        if (!connection.send(spoilt(Spoilt::noise, kFailed))) return false;
    }
    if (!happens(Kind::closes)) return true;
    later();
    return false;
}

bool Partner::sendSpoilt(Connection& connection, int status) {
    connection.send(spoilt(static_cast<Spoilt>(draw(0, kSpoilt - 1)), status));
    if (draw(0, 1) == 0) connection.reset();
    return false;
}

/// A spoilt answer counts where its status can be read.
bool Partner::endAttempts(std::uint64_t call, Connection& connection, int status) {
    const bool spoils = happens(Kind::garbles);
    const auto text = spoils ? spoilt(draw(0, 1) == 0 ? Spoilt::wrongLength : Spoilt::wrongChunk, status)
                             : http::formatResponse(status, {}, "", true);
    oracle_.callEnded(call, spoils ? CallEnd::mayHaveRun : CallEnd::neverRan);
    const bool networkFails = switches_.on(Kind::broken, oracle_.senderOf(call)).has_value();
    const bool heard = !networkFails && connection.open() && isReadable(connection);
    const bool written = spoils ? connection.send(text) : send(connection, text);
    oracle_.endsAttempts(call, status == kExhausted, heard && written);
    return written && !spoils;
}

bool Partner::answer(const std::string& name, const http::Message& request, Connection& connection) {
    if (const auto copy = takeCopy(copies_, connection); !copy.empty()) connection.send(copy);
    return respond(name, request, connection) && (!request.keepsAlive() || rest(connection));
}

bool Partner::respond(const std::string& name, const http::Message& request, Connection& connection) {
    if (request.target != "/hook") return connection.send(http::formatResponse(404, {}, "", true));
    const auto call =
        oracle_.callBegan(header(request, "Req-Id"), header(request, "Idempotency-Key"), request.body, name,
                          destination(), [&connection] { return connection.open(); });
    if (oracle_.isMisdirected(call)) {
        oracle_.callEnded(call, CallEnd::neverRan);
        return send(connection, http::formatResponse(kUnknown, {}, "", true));
    }
    const auto sender = oracle_.senderOf(call);
    const auto verdict = slowStart_.arrived(sender, Steady::now());
    if (!verdict.overload.empty()) oracle_.violated("slow start", verdict.overload);
    if (verdict.answer == SlowStart::Answer::shut) return turnAwayShut(call, connection, verdict.opensIn);
    if (verdict.answer == SlowStart::Answer::full) return turnAwayFull(call, connection);
    // The connection is gone with this handler: nobody may ask for it behind that.
    const auto end = [&](CallEnd how) { oracle_.callEnded(call, how); };
    if (happens(Kind::withdrawn)) return endAttempts(call, connection, kOver);
    if (happens(Kind::exhausted)) return endAttempts(call, connection, kExhausted);
    if (const auto wait = switches_.on(Kind::turnsAway, number_))
        return turnAway(call, connection, milliseconds(*wait));
    if (happens(Kind::full)) return turnAwayFull(call, connection);
    if (happens(Kind::noises) && draw(0, 1) == 0) return answerWithNoise(call, connection);
    const int mostTakes = switches_.on(Kind::lateRepeats, sender)
                              ? kLeastTakes
                              : static_cast<int>(slowStart_.settings().longestCall.count());
    if (!connection.pause(verdict.queued + milliseconds(draw(kLeastTakes, mostTakes))))
        return end(CallEnd::mayHaveRun), false;
    if (happens(Kind::hangs)) {
        while (connection.pause(kHangStep) && switches_.on(Kind::hangs, number_)) {
        }
        return end(CallEnd::mayHaveRun), false;
    }
    if (happens(Kind::resets)) {
        end(CallEnd::mayHaveRun);
        if (draw(0, 1) == 0) connection.reset();
        return false;
    }
    if (happens(Kind::garbles)) return end(CallEnd::mayHaveRun), sendSpoilt(connection, kFailed);
    if (happens(Kind::errors))
        return end(CallEnd::mayHaveRun), send(connection, http::formatResponse(kFailed, {}, "", true));
    const bool heard = connection.open() && send(connection, http::formatResponse(200, {}, "", true));
    end(heard ? CallEnd::delivered : CallEnd::mayHaveRun);
    // A close that was announced follows at once; a late one would leave open whose response this is.
    if (heard && request.keepsAlive() && connection.pause(kSurelyHeard)) oracle_.surelyHeard(call);
    return heard;
}

}  // namespace laurelhaven::lab::soak
