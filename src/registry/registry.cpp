#include "registry/registry.hpp"

#include <algorithm>
#include <chrono>

#include "http/message.hpp"
#include "log/log.hpp"

namespace laurelhaven::registry {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLongestLine = 1 << 20;
constexpr milliseconds kConnect{1000};
constexpr milliseconds kSilence{3500};  // an empty line comes every 2 s; news counts as told 6 s late at most
constexpr milliseconds kFirstPause{50};
constexpr milliseconds kLongestPause{1000};

}  // namespace

void Lines::feed(std::string_view bytes, const std::function<void(const listing::Listing&)>& news) {
    rest_.append(bytes);
    std::size_t at = 0;
    for (auto end = rest_.find('\n'); end != std::string::npos; end = rest_.find('\n', at)) {
        line(std::string_view(rest_).substr(at, end - at), news);
        at = end + 1;
    }
    rest_.erase(0, at);
    if (rest_.size() > kLongestLine) {
        log::error() << "registry: skipped a line of over " << kLongestLine << " bytes";
        rest_.clear();
        gap_ = true;
    }
}

void Lines::line(std::string_view text, const std::function<void(const listing::Listing&)>& news) {
    if (text.find_first_not_of(" \t\r") == std::string_view::npos) return;
    std::string why;
    const auto list = listing::parse(text, why);
    if (!list) {
        log::error() << "registry: skipped a line: " << why.substr(0, 200);
        gap_ = true;
        return;
    }
    if (!list->whole && list->index <= index_) return;  // known already
    index_ = list->index;
    if (list->whole) gap_ = false;
    news(*list);
}

void Registry::start() {
    thread_ = threads::Thread("registry", [this] { run(); });
}

void Registry::stop() {
    stop_.request_stop();
    thread_.join();
}

void Registry::run() {
    const auto stopped = stop_.get_token();
    auto pause = kFirstPause;
    while (!stopped.stop_requested()) {
        const auto place = discovery_.place();
        pause = follow(place, stopped) ? kFirstPause : std::min(2 * pause, kLongestPause);
        // A new address is asked at once, and with short pauses again: what it tells counts soon.
        const std::stop_callback wake(place.left, [this] {
            const std::lock_guard lock(mutex_);
            wake_.notify_all();
        });
        std::unique_lock lock(mutex_);
        if (wake_.wait_for(lock, stopped, pause, [&] { return place.left.stop_requested(); }))
            pause = kFirstPause;
    }
}

bool Registry::follow(const discovery::Place& place, std::stop_token stopped) {
    net::Fd fd = net::tcpSocket();
    if (!fd) return false;
    const int raw = fd.get();
    const auto shut = [raw] { net::shut(raw); };
    const std::stop_callback whenStopped(stopped, shut), whenLeft(place.left, shut);
    if (!net::connectBy(raw, place.address, net::Steady::now() + kConnect)) return false;
    // Where a line was skipped, the changes since would not make the list good: ask for the whole one.
    const std::uint64_t after = gap_ ? 0 : index_;
    const auto target = gap_ ? std::string("/registry/instances")
                             : "/registry/instances?watch=1&after=" + std::to_string(after);
    const bool watch = !gap_;
    const auto ask = http::request("GET", target, place.address.text, {}, {});
    if (net::sendAll(raw, ask, net::Steady::now() + kConnect) != net::Io::done) return false;
    http::Limits limits;
    limits.body = kLongestLine;
    http::Parser parser(http::Parser::Role::response, limits);
    Lines lines(after);
    bool heard = false;
    const auto take = [&] {
        auto& message = parser.message();
        if (message.status != 200) return;
        heard = heard || !message.body.empty();
        lines.feed(message.body, [this](const listing::Listing& list) {
            log::info() << "registry: " << (list.whole ? "whole list " : "changes ") << list.index << ", "
                        << list.endpoints.size() << " entries";
            decisions_.report(list);
        });
        message.body.clear();
        index_ = std::max(index_, lines.index());
    };
    for (std::string got; !stopped.stop_requested() && !place.left.stop_requested(); got.clear()) {
        const auto io = net::receive(raw, got, net::Steady::now() + kSilence);
        if (io != net::Io::done) break;
        const auto state = parser.feed(got);
        if (state == http::Parser::State::bad) {
            log::error() << "registry: the answer can't be read";
            gap_ = true;
            return false;
        }
        take();
        if (watch && lines.gap()) {
            gap_ = true;
            return heard;
        }
        if (state == http::Parser::State::complete) break;
    }
    if (!watch && parser.state() == http::Parser::State::complete && parser.message().status == 200) {
        lines.feed("\n", [this](const listing::Listing& list) { decisions_.report(list); });
        if (!lines.gap()) gap_ = false;
        index_ = lines.index();
    }
    if (parser.message().status != 200 && parser.message().status != 0)
        log::warning() << "registry: answered " << parser.message().status;
    return heard;
}

}  // namespace laurelhaven::registry
