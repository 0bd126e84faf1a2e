#include "delivery/idle.hpp"

#include <iterator>
#include <string_view>
#include <utility>

#include "delivery/idle_activity.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::delivery {
namespace {

constexpr std::size_t kMaxDropped = 4096;

/// Counts and logs why an idle connection is closed. `detail`: for the log, if it says more than the reason.
void closeIdle(EndpointConnection& connection, std::string_view reason, std::string_view detail = {}) {
    metrics::counter("idle_connections_closed_total", "reason", reason).add();
    connection.close(detail.empty() ? reason : detail);
}

}  // namespace

bool IdleConnections::mayCarry(const EndpointConnection& connection, bool mayBeRepeated) const {
    return responseRules_.mayCarry(
        {connection.endpoint(), connection.address(), connection.carried(), mayBeRepeated, false, {}});
}

std::optional<EndpointConnection> IdleConnections::acquire(const std::string& endpoint,
                                                           const std::string& address, bool mayBeRepeated) {
    const std::lock_guard lock(mutex_);
    const auto now = net::Steady::now();
    for (auto it = entries_.end(); it != entries_.begin();) {
        --it;
        if (it->connection.endpoint() != endpoint || it->connection.address() != address ||
            now < it->reusableAt || !mayCarry(it->connection, mayBeRepeated))
            continue;
        auto connection = std::move(it->connection);
        const bool expired = now >= it->expiresAt;
        it = entries_.erase(it);
        if (expired) {
            closeIdle(connection, "expired");
            continue;
        }
        // A connection that the endpoint has closed or reset would end the next request as a reset.
        if (const auto activity = activityOnIdle(connection, responseRules_); !activity.empty())
            closeIdle(connection, "by_endpoint", activity);
        else return connection;
    }
    return {};
}

void IdleConnections::release(EndpointConnection connection) {
    const std::lock_guard lock(mutex_);
    if (stopped_) return connection.close("stopping");
    if (isDropped(connection)) return closeIdle(connection, "endpoint_replaced");
    const auto now = net::Steady::now();
    entries_.push_back({std::move(connection), now + reuseDelay_, now + keepAlive_});
    if (entries_.size() > maxConnections_) {
        closeIdle(entries_.front().connection, "pool_full");
        entries_.pop_front();
    }
    if (entries_.size() == 1) changed_.notify_one();
}

void IdleConnections::closeEndpoint(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    closeIdleOf(endpoint, "not_wanted");
}

void IdleConnections::dropEndpoint(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    closeIdleOf(endpoint, "not_wanted");
    const auto now = net::Steady::now();
    if (droppedAt_.size() >= kMaxDropped) {
        droppedAt_.clear();
        allDroppedAt_ = now;
    }
    droppedAt_[endpoint] = now;
}

bool IdleConnections::isDropped(const EndpointConnection& connection) const {
    const auto it = droppedAt_.find(connection.endpoint());
    const auto droppedAt = it == droppedAt_.end() ? allDroppedAt_ : it->second;
    return connection.openedAt() <= droppedAt;
}

void IdleConnections::closeIdleOf(const std::string& endpoint, std::string_view reason) {
    std::erase_if(entries_, [&](Entry& entry) {
        if (entry.connection.endpoint() != endpoint) return false;
        closeIdle(entry.connection, reason);
        return true;
    });
}

void IdleConnections::runExpiry() {
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        const auto now = net::Steady::now();
        while (!entries_.empty() && entries_.front().expiresAt <= now) {
            closeIdle(entries_.front().connection, "expired");
            entries_.pop_front();
        }
        if (entries_.empty()) {
            changed_.wait(lock);
            continue;
        }
        // A copy: wait_until() reads the time again after waiting, when acquire() may have freed the entry.
        const auto next = entries_.front().expiresAt;
        changed_.wait_until(lock, next);
    }
    for (auto& entry : entries_) entry.connection.close("stopping");
    entries_.clear();
}

void IdleConnections::stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
}

}  // namespace laurelhaven::delivery
