#include "delivery/idle.hpp"

#include <iterator>
#include <string_view>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::delivery {
namespace {

/// Counts and logs why an idle connection is closed.
void logClose(const std::string& endpoint, std::string_view reason) {
    metrics::counter("idle_connections_closed_total", "reason", reason).add();
    (log::debug() << "closing idle connection").kv("endpoint", endpoint).kv("reason", reason);
}

}  // namespace

net::Fd IdleConnections::acquire(const std::string& endpoint, const std::string& address) {
    const std::lock_guard lock(mutex_);
    const auto now = net::Steady::now();
    for (auto it = entries_.end(); it != entries_.begin();) {
        --it;
        if (it->endpoint != endpoint || it->address != address || now < it->reusableAt) continue;
        net::Fd fd = std::move(it->fd);
        const bool fresh = now < it->expiresAt;
        it = entries_.erase(it);
        // A connection that the endpoint has closed or reset would end the next request as a reset.
        if (fresh && net::isIdle(fd.get())) return fd;
        logClose(endpoint, fresh ? "by_endpoint" : "expired");
    }
    return {};
}

void IdleConnections::release(const std::string& endpoint, const std::string& address, net::Fd fd) {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    const auto now = net::Steady::now();
    entries_.push_back({endpoint, address, std::move(fd), now + reuseDelay_, now + keepAlive_});
    if (entries_.size() > maxConnections_) {
        logClose(entries_.front().endpoint, "pool_full");
        entries_.pop_front();
    }
    if (entries_.size() == 1) changed_.notify_one();
}

void IdleConnections::closeEndpoint(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    std::erase_if(entries_, [&](const Entry& e) {
        if (e.endpoint != endpoint) return false;
        logClose(endpoint, "not_wanted");
        return true;
    });
}

void IdleConnections::runExpiry() {
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        const auto now = net::Steady::now();
        while (!entries_.empty() && entries_.front().expiresAt <= now) {
            logClose(entries_.front().endpoint, "expired");
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
    entries_.clear();
}

void IdleConnections::stop() {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
}

}  // namespace laurelhaven::delivery
