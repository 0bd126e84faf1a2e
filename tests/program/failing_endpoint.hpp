// An endpoint that fails as it is told to, and comes back with the part of its capacity that a destination
// has after an outage.
#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "net/socket.hpp"
#include "standin/server.hpp"

namespace check {

using namespace laurelhaven;
using std::chrono::milliseconds;

/// How its requests fail.
enum class Sign { shortWait, longWait, noWait, connectRefused, reset, hang, error };
inline constexpr std::array kSigns{Sign::shortWait, Sign::longWait, Sign::noWait, Sign::connectRefused,
                                   Sign::reset,     Sign::hang,     Sign::error};
inline const char* name(Sign sign) {
    constexpr std::array kNames{"ShortWait", "LongWait", "NoWait", "ConnectRefused",
                                "Reset",     "Hang",     "Error"};
    return kNames[static_cast<std::size_t>(sign)];
}

inline constexpr int kSenders = 3;
inline constexpr double kCapacity = 50;  // requests a second, as the list says, from all senders together

/// The share of its capacity that a destination has so long after its return.
inline double shareAt(double secondsSinceReturn) {
    return std::min(1.0, 0.19 + 0.81 * std::max(0.0, secondsSinceReturn) / 14);
}

/// What one sender may send in kOverloadSpan from then on: its part of what pushes the destination over.
inline constexpr std::chrono::seconds kOverloadSpan{2};
inline double allowedFrom(double secondsSinceReturn) {
    const double attempts = 2 * kCapacity * shareAt(secondsSinceReturn + 1) *
                            std::chrono::duration<double>(kOverloadSpan).count();
    return (attempts + 2 * std::sqrt(attempts) + 2) / kSenders;
}

/// An endpoint that delivers as fast as one sender's part of its capacity lets it, or fails as it is told to.
class FailingEndpoint {
  public:
    using Moment = net::Deadline;

    FailingEndpoint() { server_.start(); }
    std::string address() const { return server_.address(); }
    void fail(Sign sign) {
        sign_ = sign;
        failing_ = true;
        if (sign == Sign::connectRefused) server_.stop();
    }
    void recover() {
        {
            const std::lock_guard lock(mutex_);
            returnedAt_ = freeAt_ = net::Steady::now();
        }
        failing_ = false;
        if (sign_ == Sign::connectRefused) server_.start();
    }
    int failures() const { return failures_; }
    std::vector<Moment> arrivals() {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    /// Whether a request for this message has come.
    bool wasAsked(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return asked_.count(id) > 0;
    }
    /// The most requests of one overload span since the return, as a share of what is allowed then.
    double overload() {
        const std::lock_guard lock(mutex_);
        double most = 0;
        for (const auto from : arrivals_) {
            if (from < returnedAt_) continue;
            const auto count = std::count_if(arrivals_.begin(), arrivals_.end(), [&](const auto at) {
                return at >= from && at < from + kOverloadSpan;
            });
            const double since = std::chrono::duration<double>(from - returnedAt_).count();
            most = std::max(most, static_cast<double>(count) / allowedFrom(since));
        }
        return most;
    }

  private:
    static constexpr milliseconds kTakes{180};
    static constexpr milliseconds kLongestQueue{600};

    /// How long this request takes; nothing where the queue is full.
    std::optional<std::chrono::nanoseconds> queueFor() {
        const std::lock_guard lock(mutex_);
        const auto now = net::Steady::now();
        if (returnedAt_ == Moment{}) return kTakes;
        const double rate =
            kCapacity / kSenders * shareAt(std::chrono::duration<double>(now - returnedAt_).count());
        freeAt_ = std::max(freeAt_, now);
        if (freeAt_ - now > kLongestQueue) return {};
        const auto wait = freeAt_ - now;
        freeAt_ += std::chrono::duration_cast<net::Steady::duration>(std::chrono::duration<double>(1 / rate));
        return wait + kTakes;
    }

    bool answer(const http::Message& request, lab::Connection& connection) {
        {
            const std::lock_guard lock(mutex_);
            arrivals_.push_back(net::Steady::now());
            if (const auto* id = request.headers.find("Req-Id")) asked_.insert(*id);
        }
        if (failing_) {
            ++failures_;
            return failOne(connection);
        }
        const auto takes = queueFor();
        if (!takes) return connection.send(http::formatResponse(503, {}, "full", true));
        const auto* id = request.headers.find("Req-Id");
        return connection.pause(*takes) &&
               connection.send(http::formatResponse(200, {}, "run " + (id ? *id : ""), true));
    }
    bool failOne(lab::Connection& connection) {
        const auto respond = [&](int status, const http::Fields& fields = {}) {
            return connection.send(http::formatResponse(status, fields, "full", true));
        };
        switch (sign_) {
            case Sign::shortWait: return respond(429, {{"Retry-After", "0.5"}});
            case Sign::longWait: return respond(429, {{"Retry-After", "2.6"}});
            case Sign::noWait: return respond(503);
            case Sign::error: return respond(500);
            case Sign::reset: connection.reset(); return false;
            case Sign::hang: connection.pause(std::chrono::seconds(20)); return false;
            case Sign::connectRefused: break;
        }
        return false;
    }

    std::atomic<Sign> sign_{Sign::noWait};
    std::atomic<bool> failing_{false};
    std::atomic<int> failures_{0};
    std::mutex mutex_;
    std::vector<Moment> arrivals_;
    std::set<std::string> asked_;
    Moment returnedAt_{}, freeAt_{};
    lab::Server server_{"127.0.0.1:0", [this](const http::Message& request, lab::Connection& connection) {
                            return answer(request, connection);
                        }};
};

}  // namespace check
