// Pool of idle keep-alive connections, by endpoint and address.
#pragma once

#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "delivery/endpoint_connection.hpp"
#include "rules/response_rules.hpp"

namespace laurelhaven::delivery {

/// Share of the endpoint's keep-alive time after which an idle connection is closed. A request that is sent
/// while the endpoint closes the connection ends as a reset.
constexpr double kKeepAliveShare = 0.9;
constexpr std::chrono::milliseconds kReuseDelay{10};  ///< before the next request; see IdleConnections

/// Pool of idle connections. Thread-safe.
///
/// A duplicate of a response may arrive right after it. So a connection is reused only after a delay, and
/// only if nothing has been received on it in the meantime; one that arrives later still is judged by
/// rules::ResponseRules, which also decide which request a connection may carry.
class IdleConnections {
  public:
    /// A connection may be reused from `reuseDelay` after its release, and is closed after `keepAlive`.
    /// Beyond `maxConnections`, the connection that has been idle longest is closed.
    IdleConnections(std::chrono::nanoseconds reuseDelay, std::chrono::nanoseconds keepAlive,
                    std::size_t maxConnections, rules::ResponseRules& responseRules)
        : reuseDelay_(reuseDelay),
          keepAlive_(keepAlive),
          maxConnections_(maxConnections),
          responseRules_(responseRules) {}
    /// Returns the most recently used connection that may carry such a request, whose reuse delay has passed
    /// and that has neither been closed by the endpoint nor received anything; empty if there is none.
    std::optional<EndpointConnection> acquire(const std::string& endpoint, const std::string& address,
                                              bool mayBeRepeated);
    void release(EndpointConnection connection);
    /// Closes all idle connections to the endpoint.
    void closeEndpoint(const std::string& endpoint);
    /// Closes all connections to the endpoint, and from now on those that are in use when they are released.
    void dropEndpoint(const std::string& endpoint);
    /// Closes each connection when its keep-alive time has passed. Returns after stop().
    void runExpiry();
    void stop();

  private:
    struct Entry {
        EndpointConnection connection;
        net::Deadline reusableAt, expiresAt;
    };
    bool isDropped(const EndpointConnection& connection) const;
    void closeIdleOf(const std::string& endpoint, std::string_view reason);
    bool mayCarry(const EndpointConnection& connection, bool mayBeRepeated) const;

    std::chrono::nanoseconds reuseDelay_, keepAlive_;
    std::size_t maxConnections_;
    rules::ResponseRules& responseRules_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::list<Entry> entries_;  // longest idle first
    /// When the process of an endpoint was last replaced: a connection made before goes to the old one.
    std::unordered_map<std::string, net::Deadline> droppedAt_;
    net::Deadline allDroppedAt_{};  // instead of those that are no longer in droppedAt_
    bool stopped_ = false;
};

}  // namespace laurelhaven::delivery
