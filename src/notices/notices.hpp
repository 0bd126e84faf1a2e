// Notices of ends to the platform: one thread, several lines a request, told again until they are heard.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <stop_token>
#include <string>
#include <vector>

#include "discovery/discovery.hpp"
#include "net/socket.hpp"
#include "store/store.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::notices {

/// One line of the body.
std::string formatNotice(const store::PendingNotice& notice);

class NoticeDispatcher {
  public:
    /// `heard` is told the ids that the platform has answered for.
    NoticeDispatcher(const discovery::Discovery& discovery,
                     std::function<void(const std::vector<std::string>&)> onAcknowledged)
        : discovery_(discovery), onAcknowledged_(std::move(onAcknowledged)) {}
    ~NoticeDispatcher() { stop(); }
    void start();
    void stop();
    void add(const store::PendingNotice& notice);
    std::size_t pendingCount() const;

  private:
    enum class PostResult {
        acknowledged,
        rejected,
        noAnswer,   ///< nobody answered
        localError  ///< this machine could not even ask
    };
    void run();
    PostResult post(const discovery::Location& location, const std::string& body);
    PostResult exchange(const discovery::Location& location, const std::string& body, bool reused,
                        bool& keepOpen);

    const discovery::Discovery& discovery_;
    std::function<void(const std::vector<std::string>&)> onAcknowledged_;
    mutable std::mutex mutex_;
    std::condition_variable_any wake_;
    std::deque<store::PendingNotice> queue_;
    bool oneByOne_ = false;
    net::Fd fd_;                    // used by the thread alone, as the next
    std::string connectedAddress_;  // the address that it leads to
    std::stop_source stop_;
    threads::Thread thread_;
};

}  // namespace laurelhaven::notices
