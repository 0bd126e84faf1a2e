// Reports the ends of messages to the platform. One thread posts the notices, several per request, and
// repeats each until the platform acknowledges it.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <stop_token>
#include <string>
#include <vector>

#include "discovery/discovery.hpp"
#include "net/socket.hpp"
#include "store/store.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::notices {

/// The notice as one line of JSON, with the line break; a request body holds one or more of them.
std::string formatNotice(const store::PendingNotice& notice);

/// A queue of notices and the thread that posts them, oldest first. add() and pendingCount() may be called
/// from any thread.
class NoticeDispatcher {
  public:
    /// `onAcknowledged` is called on the dispatcher's thread with the ids of notices that need no repeat:
    /// those that the platform acknowledged, and one that it rejected as unreadable.
    /// `onLateness` is called there too, for each acknowledged notice with a deadline: how long after it the
    /// acknowledgement came, or before it if negative.
    NoticeDispatcher(const discovery::Discovery& discovery,
                     std::function<void(const std::vector<std::string>&)> onAcknowledged,
                     std::function<void(const std::string& id, std::chrono::nanoseconds)> onLateness = {})
        : discovery_(discovery),
          onAcknowledged_(std::move(onAcknowledged)),
          onLateness_(std::move(onLateness)) {}
    ~NoticeDispatcher() { stop(); }
    void start();
    /// Waits until the queue is empty or a request fails, then ends the thread. Notices still queued are not
    /// posted.
    void stop();
    /// `deadline`: of the message, if it is known.
    void add(const store::PendingNotice& notice, std::optional<net::Deadline> deadline = {});
    /// Notices that the platform has not acknowledged yet.
    std::size_t pendingCount() const;

  private:
    enum class PostResult {
        acknowledged,
        rejected,   ///< status 400: the platform cannot read the body
        noAnswer,   ///< no connection, no complete response in time, or a status other than 2xx and 400
        localError  ///< this machine lacked a socket, a port, a route or a buffer
    };
    struct QueuedNotice {
        store::PendingNotice notice;
        std::optional<net::Deadline> deadline;
    };
    void run();
    void reportLateness(std::size_t acknowledged);
    PostResult post(const discovery::Location& location, const std::string& body);
    static PostResult interpretStatus(int status);

    const discovery::Discovery& discovery_;
    std::function<void(const std::vector<std::string>&)> onAcknowledged_;
    std::function<void(const std::string&, std::chrono::nanoseconds)> onLateness_;
    mutable std::mutex mutex_;
    std::condition_variable_any wake_;
    std::deque<QueuedNotice> queue_;
    bool oneByOne_ = false;  // one notice per request, to find the one that the platform rejects
    std::stop_source stop_;
    threads::Thread thread_;
};

}  // namespace laurelhaven::notices
