#include "notices/notices.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include "http/message.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::notices {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxBodyBytes = 32 * 1024;
constexpr milliseconds kExchangeTimeout{
    250};  // the answer comes at once; a dead connection must not make notices late
constexpr milliseconds kMinRetryPause{20};
constexpr milliseconds kMaxRetryPause{100};  // an end is late 350 ms after its time

}  // namespace

// The id was checked at the front: it holds nothing that JSON would have to escape.
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

void NoticeDispatcher::add(const store::PendingNotice& notice) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(notice);
    wake_.notify_one();
}

std::size_t NoticeDispatcher::pendingCount() const {
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

void NoticeDispatcher::run() {
    const auto stopped = stop_.get_token();
    auto pause = kMinRetryPause;
    for (;;) {
        std::string body;
        std::vector<std::string> ids;
        {
            std::unique_lock lock(mutex_);
            if (!wake_.wait(lock, stopped, [this] { return !queue_.empty(); })) return;
            for (const auto& notice : queue_) {
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
        (log::debug() << "notices posted")
            .kv("answer", resultName)
            .kv("first", ids.front())
            .kv("count", ids.size());
        if (result == PostResult::rejected && ids.size() > 1) {
            oneByOne_ = true;  // one bad line must not hold up the others
            continue;
        }
        if (result == PostResult::rejected) log::error() << "notices: the platform can't read " << body;
        if (result == PostResult::acknowledged || result == PostResult::rejected) {
            pause = kMinRetryPause;
            onAcknowledged_(ids);
            const std::lock_guard lock(mutex_);
            queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(ids.size()));
            oneByOne_ = oneByOne_ && !queue_.empty();
            continue;
        }
        if (stopped.stop_requested()) return;
        const std::stop_callback wake(location.moved, [this] {
            const std::lock_guard lock(mutex_);
            wake_.notify_all();
        });
        std::unique_lock lock(mutex_);
        const bool moved =
            wake_.wait_for(lock, stopped, pause, [&] { return location.moved.stop_requested(); });
        // What this machine lacks for a moment is no reason to spare the platform.
        pause =
            moved || result == PostResult::localError ? kMinRetryPause : std::min(2 * pause, kMaxRetryPause);
    }
}

// A notice whose answer was cut off by a move is told again at the new address: told twice does no harm.
NoticeDispatcher::PostResult NoticeDispatcher::post(const discovery::Location& location,
                                                    const std::string& body) {
    if (fd_ && (connectedAddress_ != location.address.text || !net::isIdle(fd_.get()))) fd_.reset();
    const bool reused = static_cast<bool>(fd_);
    if (!reused) fd_ = net::tcpSocket();
    connectedAddress_ = location.address.text;
    bool keepOpen = false;
    const PostResult result = fd_ ? exchange(location, body, reused, keepOpen) : PostResult::localError;
    if (!keepOpen) fd_.reset();  // only now, when a move can't shut it any more
    return result;
}

NoticeDispatcher::PostResult NoticeDispatcher::exchange(const discovery::Location& location,
                                                        const std::string& body, bool reused,
                                                        bool& keepOpen) {
    const int fd = fd_.get();
    const auto deadline = net::Steady::now() + kExchangeTimeout;
    const auto start = reused ? net::ConnectStart::started : net::beginConnect(fd, location.address);
    if (start == net::ConnectStart::localFailure) return PostResult::localError;
    if (start != net::ConnectStart::started) return PostResult::noAnswer;
    const std::stop_callback shutOnMove(location.moved, [fd] { net::shutdownBoth(fd); });
    if (!reused && !net::finishConnect(fd, deadline)) return PostResult::noAnswer;
    if (net::sendAll(fd, http::formatRequest("POST", "/v1/notices", connectedAddress_, {}, body), deadline) !=
        net::IoResult::done)
        return PostResult::noAnswer;
    http::Parser parser(http::Parser::Role::response);
    for (std::string received; parser.state() != http::Parser::State::complete; received.clear())
        if (net::receive(fd, received, deadline) != net::IoResult::done ||
            parser.feed(received) == http::Parser::State::bad)
            return PostResult::noAnswer;
    keepOpen = parser.message().keepsAlive();
    const int status = parser.message().status;
    if (status / 100 != 2) log::warning() << "notices: answered " << status;
    return status / 100 == 2 ? PostResult::acknowledged
           : status == 400   ? PostResult::rejected
                             : PostResult::noAnswer;
}

}  // namespace laurelhaven::notices
