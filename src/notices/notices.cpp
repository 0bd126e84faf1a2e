#include "notices/notices.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include "http/message.hpp"
#include "http_client/response_reader.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::notices {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxBodyBytes = 32 * 1024;
// The platform answers at once. A longer wait on a dead connection would make notices late.
constexpr milliseconds kExchangeTimeout{250};
constexpr milliseconds kMinRetryPause{20};
constexpr milliseconds kMaxRetryPause{100};  // an end is late 350 ms after its due time

}  // namespace

// The HTTP server accepts only ids without characters that JSON has to escape.
std::string formatNotice(const store::PendingNotice& notice) {
    std::string text = "{\"id\":\"" + notice.id + "\",\"state\":\"";
    text += notice.finalState == store::FinalState::failed ? "failed\"" : "returned\"";
    if (notice.finalState == store::FinalState::returned && notice.retryAfterMs > 0)
        text += ",\"after_ms\":" + std::to_string(notice.retryAfterMs);
    return text + "}\n";
}

void NoticeDispatcher::start() {
    thread_ = threads::Thread("notices", [this] { run(); });
}

void NoticeDispatcher::stop() {
    stop_.request_stop();
    thread_.join();
}

void NoticeDispatcher::add(const store::PendingNotice& notice, std::optional<net::Deadline> deadline) {
    const std::lock_guard lock(mutex_);
    queue_.push_back({notice, deadline});
    wake_.notify_one();
}

std::size_t NoticeDispatcher::pendingCount() const {
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

void NoticeDispatcher::run() {
    const auto stopToken = stop_.get_token();
    auto pause = kMinRetryPause;
    for (;;) {
        std::string body;
        std::vector<std::string> ids;
        {
            std::unique_lock lock(mutex_);
            if (!wake_.wait(lock, stopToken, [this] { return !queue_.empty(); })) return;
            for (const auto& [notice, deadline] : queue_) {
                if (!ids.empty() && (oneByOne_ || body.size() > kMaxBodyBytes)) break;
                body += formatNotice(notice);
                ids.push_back(notice.id);
            }
        }
        const auto location = discovery_.location();
        const PostResult result = post(location, body);
        static constexpr std::array<std::string_view, 4> kResultNames{"heard", "unreadable", "none", "local"};
        const auto resultName = kResultNames[static_cast<std::size_t>(result)];
        metrics::counter("notice_posts_total", "answer", resultName).add();
        if (log::enabled(log::Level::debug))
            for (const auto& id : ids)
                (log::debug() << "notice posted")
                    .kv("id", id)
                    .kv("answer", resultName)
                    .kv("in_one_post", ids.size());
        if (result == PostResult::rejected && ids.size() > 1) {
            oneByOne_ = true;  // an unreadable notice must not hold up the others
            continue;
        }
        if (result == PostResult::rejected)
            log::error() << "notices: the platform rejected as unreadable: " << body;
        if (result == PostResult::acknowledged || result == PostResult::rejected) {
            pause = kMinRetryPause;
            reportLateness(ids.size());
            onAcknowledged_(ids);
            const std::lock_guard lock(mutex_);
            queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(ids.size()));
            oneByOne_ = oneByOne_ && !queue_.empty();
            continue;
        }
        if (stopToken.stop_requested()) return;
        const std::stop_callback wakeOnMove(location.moved, [this] {
            const std::lock_guard lock(mutex_);
            wake_.notify_all();
        });
        std::unique_lock lock(mutex_);
        const bool moved =
            wake_.wait_for(lock, stopToken, pause, [&] { return location.moved.stop_requested(); });
        // A temporary shortage on this machine is no sign of an overloaded platform, so no backoff.
        pause =
            moved || result == PostResult::localError ? kMinRetryPause : std::min(2 * pause, kMaxRetryPause);
    }
}

/// Reports how late the first notices of the queue have been acknowledged.
void NoticeDispatcher::reportLateness(std::size_t acknowledged) {
    if (!onLateness_) return;
    const auto now = net::Steady::now();
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < acknowledged; ++i)
        if (queue_[i].deadline) onLateness_(queue_[i].notice.id, now - *queue_[i].deadline);
}

// If discovery moves during an exchange, the notices are posted again at the new address. Duplicates are
// harmless.
//
// Each request has a connection of its own. The platform's acknowledgements are all the same, so on a shared
// connection a second copy of one would acknowledge the next request's notices.
NoticeDispatcher::PostResult NoticeDispatcher::post(const discovery::Location& location,
                                                    const std::string& body) {
    const net::Fd socket = net::tcpSocket();
    if (!socket) return PostResult::localError;
    const int fd = socket.get();
    const auto deadline = net::Steady::now() + kExchangeTimeout;
    const auto connectStart = net::beginConnect(fd, location.address);
    if (connectStart == net::ConnectStart::localFailure) return PostResult::localError;
    if (connectStart != net::ConnectStart::started) return PostResult::noAnswer;
    const std::stop_callback shutOnMove(location.moved, [fd] { net::shutdownBoth(fd); });
    if (!net::finishConnect(fd, deadline)) return PostResult::noAnswer;
    const auto request =
        http::formatRequest("POST", "/v1/notices", location.address.text, {{"Connection", "close"}}, body);
    if (net::sendAll(fd, request, deadline) != net::IoResult::done) return PostResult::noAnswer;
    const auto response = http_client::ResponseReader(fd, {}).next(deadline);
    return response.isComplete() ? interpretStatus(response.message.status) : PostResult::noAnswer;
}

NoticeDispatcher::PostResult NoticeDispatcher::interpretStatus(int status) {
    if (status / 100 == 2) return PostResult::acknowledged;
    log::warning() << "notices: the platform answered with status " << status;
    return status == 400 ? PostResult::rejected : PostResult::noAnswer;
}

}  // namespace laurelhaven::notices
