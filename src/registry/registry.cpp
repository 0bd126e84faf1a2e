#include "registry/registry.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

#include "http/message.hpp"
#include "log/log.hpp"

namespace laurelhaven::registry {
namespace {

using std::chrono::milliseconds;
using Kind = membership::Heard::Kind;

constexpr milliseconds kConnect{1000};
constexpr milliseconds kSilence{3500};  // an empty line comes every 2 s; news counts as told 6 s late at most

void logNews(const listing::Listing& list) {
    (log::info() << "registry: " << (list.whole ? "whole list" : "changes"))
        .kv("index", list.index)
        .kv("entries", list.endpoints.size());
}

}  // namespace

milliseconds nextPause(const Options& options, milliseconds before, double chance) {
    const auto least = static_cast<double>(options.pauseLeast.count());
    const auto most = 3 * static_cast<double>(std::max(before, options.pauseLeast).count());
    const auto drawn = static_cast<std::int64_t>(least + chance * (most - least));
    return std::clamp(milliseconds(drawn), options.pauseLeast,
                      std::max(options.pauseLeast, options.pauseMost));
}

void Lines::feed(std::string_view bytes, const std::function<void(const listing::Listing&)>& news,
                 const std::function<void()>& beat) {
    rest_.append(bytes);
    std::size_t at = 0;
    for (auto end = rest_.find('\n'); end != std::string::npos; end = rest_.find('\n', at)) {
        line(std::string_view(rest_).substr(at, end - at), news, beat);
        at = end + 1;
    }
    rest_.erase(0, at);
    if (rest_.size() > longest_) {
        log::error() << "registry: skipped a line of over " << longest_ << " bytes";
        rest_.clear();
        gap_ = true;
    }
}

void Lines::line(std::string_view text, const std::function<void(const listing::Listing&)>& news,
                 const std::function<void()>& beat) {
    if (text.find_first_not_of(" \t\r") == std::string_view::npos) {
        if (beat) beat();
        return;
    }
    std::string why;
    const auto list = listing::parse(text, why);
    if (!list) {
        log::error() << "registry: skipped a line: " << why.substr(0, 200);
        gap_ = true;
        return;
    }
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
    auto pause = options_.pauseLeast;
    while (!stopped.stop_requested()) {
        const auto place = discovery_.place();
        const bool heard = follow(place, stopped);
        roster_.lost();
        const double chance = std::uniform_real_distribution<double>(0, 1)(chance_);
        pause = heard ? options_.pauseLeast : nextPause(options_, pause, chance);
        // A new address is asked at once, and with short pauses again: what it tells counts soon.
        const std::stop_callback wake(place.left, [this] {
            const std::lock_guard lock(mutex_);
            wake_.notify_all();
        });
        std::unique_lock lock(mutex_);
        if (wake_.wait_for(lock, stopped, pause, [&] { return place.left.stop_requested(); }))
            pause = options_.pauseLeast;
    }
}

std::optional<Kind> Registry::fetch(const discovery::Place& place, std::stop_token stopped) {
    const auto asked = roster_.index();
    net::Fd fd = net::tcpSocket();
    if (!fd) return {};
    const int raw = fd.get();
    const auto shut = [raw] { net::shut(raw); };
    const std::stop_callback whenStopped(stopped, shut), whenLeft(place.left, shut);
    const auto until = net::Steady::now() + kConnect;
    if (!net::connectBy(raw, place.address, until)) return {};
    const auto ask = http::request("GET", "/registry/instances", place.address.text, {}, {});
    if (net::sendAll(raw, ask, until) != net::Io::done) return {};
    http::Limits limits;
    limits.body = options_.longestLine;
    http::Parser parser(http::Parser::Role::response, limits);
    const auto last = net::Steady::now() + kSilence;
    while (parser.state() != http::Parser::State::complete && parser.state() != http::Parser::State::bad) {
        std::string got;
        if (net::receive(raw, got, last) != net::Io::done) break;
        parser.feed(got);
    }
    if (parser.state() != http::Parser::State::complete && parser.finish() != http::Parser::State::complete) {
        log::warning() << "registry: no whole list came";
        return {};
    }
    if (parser.message().status != 200) {
        log::warning() << "registry: answered " << parser.message().status << " to the whole list";
        return {};
    }
    std::optional<Kind> merged;
    Lines lines(options_.longestLine);
    lines.feed(parser.message().body + "\n", [&](const listing::Listing& list) {
        if (!list.whole) return;
        logNews(list);
        merged = roster_.fetched(list, asked).kind;
    });
    return merged;
}

bool Registry::follow(const discovery::Place& place, std::stop_token stopped) {
    net::Fd fd = net::tcpSocket();
    if (!fd) return false;
    const int raw = fd.get();
    const auto shut = [raw] { net::shut(raw); };
    const std::stop_callback whenStopped(stopped, shut), whenLeft(place.left, shut);
    if (!net::connectBy(raw, place.address, net::Steady::now() + kConnect)) return false;
    const auto target = "/registry/instances?watch=1&after=" + std::to_string(roster_.index());
    const auto ask = http::request("GET", target, place.address.text, {}, {});
    if (net::sendAll(raw, ask, net::Steady::now() + kConnect) != net::Io::done) return false;
    http::Limits limits;
    limits.body = options_.longestLine;
    http::Parser parser(http::Parser::Role::response, limits);
    Lines lines(options_.longestLine);
    bool heard = false;
    std::atomic<bool> verified{false};  // its numbering is ours
    std::atomic<bool> asking{false};
    std::stop_source over;
    threads::Thread asker;
    // Danger: a discovery that lost its history and counts below the version that was asked for has nothing
    // to say on a watch, for ever; nor does one that has nothing new. Only the whole list tells them apart.
    // And where a line was skipped, or counts lower, the changes after it don't make the list good. Danger:
    // the answer may take long, and meanwhile a drain may come over the stream that holds at once. So it is
    // asked for beside the stream.
    const auto askWhole = [&](bool thenAgain) {
        if (asking.exchange(true)) return;
        asker = threads::Thread("whole list", [&, thenAgain] {
            const auto merged = fetch(place, over.get_token());
            if (merged) verified = true;
            asking = false;
            // The stream was asked for what comes after another version.
            if (merged && (thenAgain || *merged == Kind::lostHistory)) net::shut(raw);
        });
    };
    const auto news = [&](const listing::Listing& list) {
        logNews(list);
        if (roster_.heard(list).kind == Kind::askWhole) askWhole(true);
        else verified = true;
    };
    bool beaten = false;
    for (std::string got; !stopped.stop_requested() && !place.left.stop_requested(); got.clear()) {
        const auto io = net::receive(raw, got, net::Steady::now() + kSilence);
        if (io != net::Io::done) break;
        const auto state = parser.feed(got);
        auto& message = parser.message();
        if (state == http::Parser::State::bad || (message.status != 200 && message.status != 0)) {
            if (state == http::Parser::State::bad) log::error() << "registry: the answer can't be read";
            else log::warning() << "registry: answered " << message.status;
            heard = false;
            break;
        }
        if (message.status == 200) {
            heard = heard || !message.body.empty();
            lines.feed(message.body, news, [&] { beaten = true; });
            message.body.clear();
        }
        if (lines.gap()) askWhole(true);
        else if (std::exchange(beaten, false)) {
            if (!verified) askWhole(false);
            roster_.beat();
        }
        if (state == http::Parser::State::complete) break;
    }
    over.request_stop();
    asker.join();
    return heard && verified;  // one that answers nothing of use is not asked all the time
}

}  // namespace laurelhaven::registry
