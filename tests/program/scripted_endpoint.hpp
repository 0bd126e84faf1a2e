// An endpoint whose replies are scripted for each message: their status, their form and what happens to the
// connection behind them. It serves any number of endpoint names and destinations at one address.
#pragma once

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "net/socket.hpp"
#include "standin/server.hpp"

namespace check {

/// How much of a response leaves the endpoint, and what follows it.
enum class Form {
    whole,
    malformed,   ///< a length that is no number
    cutByClose,  ///< it breaks off in its head, and the connection is closed
    cutByReset,  ///< ... and the connection is reset
    wholeThenClose,
    wholeThenReset,
    slow,  ///< its second half comes when nobody waits for it any more
    late   ///< it comes when the attempt has been given up
};

struct Reply {
    int status = 200;
    Form form = Form::whole;
    std::chrono::milliseconds takes{5};
    laurelhaven::http::Fields fields{};
    std::string body{};
    bool held = false;  ///< it is not written before release()
};

class ScriptedEndpoint {
  public:
    using Moment = laurelhaven::net::Deadline;

    ScriptedEndpoint() { server_.start(); }
    std::string address() const { return server_.address(); }

    /// The replies to the requests for this message; once they are used up, 200.
    void reply(const std::string& id, std::deque<Reply> replies) {
        const std::lock_guard lock(mutex_);
        messages_[id].replies = std::move(replies);
    }
    /// From now on held replies are written.
    void release() { released_ = true; }
    int requests(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(messages_[id].requestedAt.size());
    }
    int deliveries(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return messages_[id].deliveries;
    }
    /// When the requests for this message came, and when each of its replies was written.
    std::vector<Moment> requestedAt(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return messages_[id].requestedAt;
    }
    std::vector<Moment> repliedAt(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return messages_[id].repliedAt;
    }
    /// The number of the connection on which its first request came; 0: none came.
    std::uint64_t connectionOf(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return messages_[id].connection;
    }
    /// Whether its first request came on a connection that had carried another one.
    bool cameLater(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return messages_[id].later;
    }

  private:
    using Milliseconds = std::chrono::milliseconds;
    static constexpr Milliseconds kPauseInSlowReply{600};

    struct Message {
        std::deque<Reply> replies;
        std::vector<Moment> requestedAt, repliedAt;
        int deliveries = 0;
        bool later = false;
        std::uint64_t connection = 0;
    };

    Reply begin(const std::string& id, const laurelhaven::lab::Connection& connection) {
        const std::lock_guard lock(mutex_);
        auto& message = messages_[id];
        const bool used = !usedConnections_.insert(connection.number()).second;
        if (message.requestedAt.empty()) {
            message.later = used;
            message.connection = connection.number();
        }
        message.requestedAt.push_back(laurelhaven::net::Steady::now());
        if (message.replies.empty()) return {200, Form::whole, Milliseconds(5), {}, "run " + id};
        const auto reply = message.replies.front();
        message.replies.pop_front();
        return reply;
    }
    void replied(const std::string& id, const Reply& reply) {
        const std::lock_guard lock(mutex_);
        messages_[id].repliedAt.push_back(laurelhaven::net::Steady::now());
        messages_[id].deliveries += reply.status == 200;
    }
    bool answer(const laurelhaven::http::Message& request, laurelhaven::lab::Connection& connection) {
        const auto* field = request.headers.find("Req-Id");
        const std::string id = field ? *field : "";
        const auto reply = begin(id, connection);
        while (reply.held && !released_)
            if (!connection.pause(Milliseconds(5))) return false;
        if (!connection.pause(reply.takes)) return false;
        const auto text = textOf(reply);
        const auto written = isCut(reply.form) ? text.find("Content-Length") : text.size();
        if (!connection.send(text.substr(0, written))) return false;
        replied(id, reply);
        return finish(reply.form, text.substr(written), connection);
    }
    static std::string textOf(const Reply& reply) {
        auto text = laurelhaven::http::formatResponse(reply.status, reply.fields, reply.body, true);
        if (reply.form != Form::malformed) return text;
        return text.replace(text.find("Content-Length"), std::string::npos, "Content-Length: many\r\n\r\n");
    }
    static bool isCut(Form form) {
        return form == Form::cutByClose || form == Form::cutByReset || form == Form::slow;
    }
    /// What follows the part of the response that has been written. False closes the connection.
    static bool finish(Form form, const std::string& rest, laurelhaven::lab::Connection& connection) {
        switch (form) {
            case Form::cutByClose:
            case Form::wholeThenClose: return false;
            case Form::cutByReset:
            case Form::wholeThenReset: return connection.reset(), false;
            case Form::slow: return connection.pause(kPauseInSlowReply) && connection.send(rest);
            default: return true;
        }
    }

    std::atomic<bool> released_{false};
    std::mutex mutex_;
    std::map<std::string, Message> messages_;
    std::set<std::uint64_t> usedConnections_;
    laurelhaven::lab::Server server_{
        "127.0.0.1:0", [this](const laurelhaven::http::Message& m, laurelhaven::lab::Connection& c) {
            return answer(m, c);
        }};
};

}  // namespace check
