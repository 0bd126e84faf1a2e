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

constexpr std::size_t kMostBody = 32 * 1024;
constexpr milliseconds kAnswer{
    250};  // the answer comes at once; a dead connection must not make notices late
constexpr milliseconds kFirstPause{20};
constexpr milliseconds kLongestPause{100};  // an end is late 350 ms after its time

}  // namespace

// The id was checked at the front: it holds nothing that JSON would have to escape.
std::string line(const store::PendingNotice& notice) {
    std::string text = "{\"id\":\"" + notice.id + "\",\"state\":\"";
    text += notice.finalState == store::FinalState::failed ? "failed\"" : "returned\"";
    if (notice.finalState == store::FinalState::returned && notice.retryAfterMs > 0)
        text += ",\"after_ms\":" + std::to_string(notice.retryAfterMs);
    return text + "}\n";
}

void Notices::start() {
    thread_ = threads::Thread("notices", [this] { run(); });
}

void Notices::stop() {
    stop_.request_stop();
    thread_.join();
}

void Notices::add(const store::PendingNotice& notice) {
    const std::lock_guard lock(mutex_);
    queue_.push_back(notice);
    wake_.notify_one();
}

std::size_t Notices::owed() const {
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

void Notices::run() {
    const auto stopped = stop_.get_token();
    auto pause = kFirstPause;
    for (;;) {
        std::string body;
        std::vector<std::string> ids;
        {
            std::unique_lock lock(mutex_);
            if (!wake_.wait(lock, stopped, [this] { return !queue_.empty(); })) return;
            for (const auto& notice : queue_) {
                if (!ids.empty() && (oneByOne_ || body.size() > kMostBody)) break;
                body += line(notice);
                ids.push_back(notice.id);
            }
        }
        const auto location = discovery_.location();
        const Answer answer = post(location, body);
        static constexpr std::array<std::string_view, 4> kAnswers{"heard", "unreadable", "none", "local"};
        const auto word = kAnswers[static_cast<std::size_t>(answer)];
        metrics::counter("notice_posts_total", "answer", word).add();
        (log::debug() << "notices posted")
            .kv("answer", word)
            .kv("first", ids.front())
            .kv("count", ids.size());
        if (answer == Answer::unreadable && ids.size() > 1) {
            oneByOne_ = true;  // one bad line must not hold up the others
            continue;
        }
        if (answer == Answer::unreadable) log::error() << "notices: the platform can't read " << body;
        if (answer == Answer::heard || answer == Answer::unreadable) {
            pause = kFirstPause;
            heard_(ids);
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
        pause = moved || answer == Answer::local ? kFirstPause : std::min(2 * pause, kLongestPause);
    }
}

// A notice whose answer was cut off by a move is told again at the new address: told twice does no harm.
Notices::Answer Notices::post(const discovery::Location& location, const std::string& body) {
    if (fd_ && (at_ != location.address.text || !net::isIdle(fd_.get()))) fd_.reset();
    const bool warm = static_cast<bool>(fd_);
    if (!warm) fd_ = net::tcpSocket();
    at_ = location.address.text;
    bool keep = false;
    const Answer answer = fd_ ? exchange(location, body, warm, keep) : Answer::local;
    if (!keep) fd_.reset();  // only now, when a move can't shut it any more
    return answer;
}

Notices::Answer Notices::exchange(const discovery::Location& location, const std::string& body, bool warm,
                                  bool& keep) {
    const int fd = fd_.get();
    const auto until = net::Steady::now() + kAnswer;
    const auto start = warm ? net::ConnectStart::started : net::beginConnect(fd, location.address);
    if (start == net::ConnectStart::localFailure) return Answer::local;
    if (start != net::ConnectStart::started) return Answer::none;
    const std::stop_callback shutIt(location.moved, [fd] { net::shutdownBoth(fd); });
    if (!warm && !net::finishConnect(fd, until)) return Answer::none;
    if (net::sendAll(fd, http::formatRequest("POST", "/v1/notices", at_, {}, body), until) !=
        net::IoResult::done)
        return Answer::none;
    http::Parser parser(http::Parser::Role::response);
    for (std::string got; parser.state() != http::Parser::State::complete; got.clear())
        if (net::receive(fd, got, until) != net::IoResult::done ||
            parser.feed(got) == http::Parser::State::bad)
            return Answer::none;
    keep = parser.message().keepsAlive();
    const int status = parser.message().status;
    if (status / 100 != 2) log::warning() << "notices: answered " << status;
    return status / 100 == 2 ? Answer::heard : status == 400 ? Answer::unreadable : Answer::none;
}

}  // namespace laurelhaven::notices
