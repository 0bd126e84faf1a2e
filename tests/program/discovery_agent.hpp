// Discovery as the agent on the sender's machine has it: a list that changes, a choice of how it tells
// changes, and silence. Notices are answered at any time.
#pragma once

#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "check.hpp"
#include "http/message.hpp"
#include "standin/server.hpp"

namespace check {

using namespace laurelhaven;

class DiscoveryAgent {
  public:
    /// How a new watch begins. `olderIndex`: discovery has lost its history, so it counts lower than before
    /// and has nothing to say on a watch; only its full list tells.
    enum class Tells { changes, fullList, olderIndex };
    struct Endpoint {
        std::string name, address;
        int destination = 0;
        double weight = 50;
        std::string status = "SERVING";
        long startedAtMs = 0;
    };

    DiscoveryAgent() { server_.start(); }
    std::string address() const { return server_.address(); }
    void set(const Endpoint& endpoint) {
        const std::lock_guard lock(mutex_);
        endpoints_[endpoint.name] = endpoint;
        changedAt_[endpoint.name] = ++index_;
    }
    void remove(const std::string& name) {
        const std::lock_guard lock(mutex_);
        endpoints_[name].status = "DELETED";
        changedAt_[name] = ++index_;
    }
    void setSilent(bool silent) { silent_ = silent; }
    void setTells(Tells tells) { tells_ = tells; }
    /// The entries that serve, as a configuration names them.
    std::string entries() {
        const std::lock_guard lock(mutex_);
        return textOf([](const Endpoint& e) { return e.status == "SERVING"; });
    }
    /// Messages whose undelivered end was reported.
    std::size_t notices() {
        const std::lock_guard lock(mutex_);
        return notices_.size();
    }

  private:
    using Milliseconds = std::chrono::milliseconds;
    static constexpr Milliseconds kStep{5};
    static constexpr Milliseconds kHeartbeat{500};
    static constexpr std::uint64_t kFirstIndex = 41, kLowerIndex = 5;

    template <class Which>
    std::string textOf(Which which) const {
        std::string text;
        for (const auto& [name, e] : endpoints_)
            if (which(e))
                text += std::string(text.empty() ? "" : ",") + R"({"name":")" + name + R"(","address":")" +
                        e.address + R"(","zone":"z","type":"big","group":)" + std::to_string(e.destination) +
                        R"(,"status":")" + e.status + R"(","weight":)" + std::to_string(e.weight) +
                        R"(,"since_ms":)" + std::to_string(e.startedAtMs) + "}";
        return text;
    }
    std::string fullList() {
        const std::lock_guard lock(mutex_);
        const auto index = tells_ == Tells::olderIndex ? kLowerIndex : index_;
        return list(static_cast<int>(index), true,
                    textOf([](const Endpoint& e) { return e.status != "DELETED"; }));
    }
    std::string changesAfter(std::uint64_t index) {
        const std::lock_guard lock(mutex_);
        return list(static_cast<int>(index_), false,
                    textOf([&](const Endpoint& e) { return changedAt_[e.name] > index; }));
    }
    std::uint64_t index() {
        const std::lock_guard lock(mutex_);
        return index_;
    }
    static std::string chunk(const std::string& text) {
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        return size + text + "\r\n";
    }
    bool answer(const http::Message& request, lab::Connection& connection) {
        if (request.target == "/v1/notices") return takeNotices(request.body, connection);
        while (silent_)
            if (!connection.pause(kStep)) return false;
        if (request.target == "/registry/instances")
            return connection.send(http::formatResponse(200, {}, fullList(), true));
        const auto after = request.target.rfind('=');
        std::uint64_t told = 0;
        std::from_chars(request.target.data() + after + 1, request.target.data() + request.target.size(),
                        told);
        return watch(told, connection);
    }
    bool takeNotices(const std::string& body, lab::Connection& connection) {
        {
            const std::lock_guard lock(mutex_);
            for (const auto line : http::split(body, "\n"))
                if (!line.empty()) notices_.emplace(line);
        }
        return connection.send(http::formatResponse(204, {}, "", true));
    }
    bool watch(std::uint64_t told, lab::Connection& connection) {
        if (!connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return false;
        auto beatAt = net::Steady::now() + kHeartbeat;
        for (; connection.pause(kStep);) {
            if (silent_) continue;
            const bool hasNews = told < index() && tells_ != Tells::olderIndex;
            if (!hasNews && net::Steady::now() < beatAt) continue;
            const auto line = !hasNews ? "" : tells_ == Tells::fullList ? fullList() : changesAfter(told);
            told = hasNews ? index() : told;
            beatAt = net::Steady::now() + kHeartbeat;
            if (!connection.send(chunk(line + "\n"))) return false;
        }
        return false;
    }

    std::mutex mutex_;
    std::map<std::string, Endpoint> endpoints_;
    std::map<std::string, std::uint64_t> changedAt_;
    std::uint64_t index_ = kFirstIndex;
    std::set<std::string> notices_;
    std::atomic<bool> silent_{false};
    std::atomic<Tells> tells_{Tells::changes};
    lab::Server server_{"127.0.0.1:0", [this](const http::Message& request, lab::Connection& connection) {
                            return answer(request, connection);
                        }};
};

}  // namespace check
