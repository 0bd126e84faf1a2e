#include "registry/registry.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <system_error>
#include <utility>

#include "http/message.hpp"
#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::registry {
namespace {

using std::chrono::milliseconds;
using Kind = membership::ListUpdateResult::Kind;

constexpr milliseconds kConnectTimeout{1000};
constexpr int kMaxNesting = 16;  // brackets in brackets: a list has four
constexpr milliseconds kSilenceTimeout{
    3500};  // an empty line comes every 2 s; news counts as told 6 s late at most
constexpr milliseconds kReconnectSpread{100};  // over which the first calls after a lost watch spread at most
constexpr milliseconds kMinFirstPauseLimit{
    20};  // however short a drain grace, a stream that ends at once is no spin
// From one call to the next at most: what discovery tells counts 6 s after it could be reached, refused calls
// or not, and the next call itself takes up to a second for its connect.
constexpr milliseconds kMaxRequestInterval{4400};
constexpr int kMaxFleetRounds = 8;  // of the whole fleet, over which calls are spread after refusals

void logNews(const listing::EndpointList& list) {
    (log::info() << "registry: " << (list.snapshot ? "whole list" : "changes"))
        .kv("index", list.index)
        .kv("entries", list.endpoints.size());
}

}  // namespace

namespace {

/// `least`, and a part of the span behind it.
milliseconds jittered(milliseconds least, milliseconds span, double chance) {
    return least + milliseconds(static_cast<std::int64_t>(chance * static_cast<double>(span.count())));
}

// Danger: what the machine was told counts without a watch too. The first call after a lost one goes out well
// within the drain grace, in a fleet of any size.
milliseconds pauseAfterLoss(const Options& options, milliseconds round, double chance) {
    const auto soon = std::max(3 * options.drainGrace / 5, kMinFirstPauseLimit);
    const auto least = std::min(options.pauseLeast, soon / 3);
    const auto span = std::max(options.pauseLeast, std::min(round, kReconnectSpread));
    return jittered(least, std::min({span, options.pauseMost, soon - least}), chance);
}

// Danger: a discovery with more calls than it can answer answers none in time, and calls that it refuses keep
// it so. Many senders that each ask once a second shut each other out, and none hears of a drain. So after
// refusals they ask as seldom as they may; and no less often, as what is told counts all the same.
milliseconds pauseAfterFailure(const Options& options, const LastRequest& last, milliseconds round,
                               double chance) {
    const auto longest = std::max(options.pauseLeast, kMaxRequestInterval - last.duration);
    const auto mostRefused =
        last.refused ? std::min(kMaxFleetRounds * round, kMaxRequestInterval) : milliseconds{};
    const auto most = std::max(std::min(options.pauseMost, kMaxRequestInterval), mostRefused);
    auto span = std::max(options.pauseLeast, last.refused ? round : std::min(round, kReconnectSpread));
    for (int i = 0; i < last.failures && span < most; ++i) span *= 2;
    span = std::min({span, most, longest});
    // The first pause spreads a fleet that was refused in one moment; the next ones keep it as it lies.
    const bool spread = last.refused && last.failures > 1;
    const auto least =
        std::min(spread ? std::max(options.pauseLeast, span * 3 / 4) : options.pauseLeast, longest);
    return jittered(least, std::min(spread ? span / 4 : span, longest - least), chance);
}

}  // namespace

milliseconds reconnectPause(const Options& options, const LastRequest& last, double chance) {
    const milliseconds round(static_cast<std::int64_t>(1000.0 * options.senders / options.fleetRate));
    const bool lost = last.failures == 0 && !last.refused;
    return lost ? pauseAfterLoss(options, round, chance) : pauseAfterFailure(options, last, round, chance);
}

bool ListStreamParser::feed(std::string_view bytes,
                            const std::function<void(const listing::EndpointList&)>& news,
                            const std::function<void()>& beat) {
    bool ended = false;
    std::size_t from = buffer_.size();  // no line ends before
    buffer_.append(bytes);
    for (auto end = buffer_.find('\n', from); end != std::string::npos; end = buffer_.find('\n', from)) {
        const auto line = std::string_view(buffer_).substr(lineStart_, end - lineStart_);
        const bool blank = line.find_first_not_of(" \t\r") == std::string_view::npos;
        if (depth_ > 0 && (blank || startsNewObject(line))) {
            skip("an object that does not end");
            buffer_.erase(0, std::exchange(lineStart_, 0));
            from = 0;  // the line anew, by itself
            ended = true;
            continue;
        }
        from = end + 1;
        const bool begun = depth_ > 0 || (!blank && line[line.find_first_not_of(" \t\r")] == '{');
        if (begun) scanLine(line);
        if (depth_ > 0 && depth_ < kMaxNesting && !inString_) {  // it goes on in the next line
            lineStart_ = from;
            continue;
        }
        if (!blank) parseObject(std::string_view(buffer_).substr(0, end), news);
        else if (beat) beat();
        buffer_.erase(0, from);
        from = lineStart_ = 0;
        depth_ = 0, inString_ = false, lastNonBlank_ = 0;
        ended = true;
    }
    if (buffer_.size() > maxBytes_) {
        skip("a line of over " + std::to_string(maxBytes_) + " bytes");
        buffer_.clear();
        lineStart_ = 0;
    }
    return ended;
}

// An object that was cut off leaves its brackets open, and would swallow what follows. One that goes on,
// however it is indented, begins another only behind one of these signs.
bool ListStreamParser::startsNewObject(std::string_view line) const {
    return line.front() == '{' && lastNonBlank_ != ',' && lastNonBlank_ != '[' && lastNonBlank_ != ':';
}

void ListStreamParser::scanLine(std::string_view line) {
    inString_ = false;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const char c = line[i];
        if (inString_) {
            if (c == '\\') ++i;
            else inString_ = c != '"';
        } else if (c == '"') {
            inString_ = true;
        } else if (c == '{' || c == '[') {
            ++depth_;
        } else if (c == '}' || c == ']') {
            --depth_;
        }
        if (c != ' ' && c != '\t' && c != '\r') lastNonBlank_ = c;
    }
}

void ListStreamParser::parseObject(std::string_view text,
                                   const std::function<void(const listing::EndpointList&)>& news) {
    std::string why;
    const auto list = listing::parse(text, why);
    if (!list) return skip(why.substr(0, 200));
    if (list->snapshot) gap_ = false;
    news(*list);
}

void ListStreamParser::skip(const std::string& why) {
    log::error() << "registry: skipped " << why;
    gap_ = true;
    depth_ = 0, inString_ = false, lastNonBlank_ = 0;
}

void DiscoveryWatch::start() {
    thread_ = threads::Thread("registry", [this] { run(); });
}

void DiscoveryWatch::stop() {
    stop_.request_stop();
    thread_.join();
}

milliseconds DiscoveryWatch::drawPause(const LastRequest& last) {
    return reconnectPause(options_, last, std::uniform_real_distribution<double>(0, 1)(random_));
}

bool DiscoveryWatch::waitBeforeConnect(milliseconds pause, const discovery::Location& location) {
    const std::stop_callback wake(location.moved, [this] {
        const std::lock_guard lock(mutex_);
        wake_.notify_all();
    });
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, stop_.get_token(), pause, [&] { return location.moved.stop_requested(); });
    return !stop_.stop_requested();
}

void DiscoveryWatch::run() {
    const auto stopped = stop_.get_token();
    int failures = 0;
    bool wasSilent = false;
    // Danger: what discovery has told the machine counts as told from a process's first moment, and most of
    // all a drain that came while the sender was dead. However young the kept list, the first call goes at
    // once.
    milliseconds pause{};
    for (auto location = discovery_.location(); waitBeforeConnect(pause, location);) {
        // A new address is asked without regard to what the old one refused: what it tells counts soon.
        if (location.moved.stop_requested()) {
            location = discovery_.location(), failures = 0;
            pause = drawPause({}) / 2;
            continue;
        }
        const auto begun = net::Steady::now();
        const auto watch = watchOnce(location, stopped);
        const auto took = std::chrono::duration_cast<milliseconds>(net::Steady::now() - begun);
        static constexpr std::array<std::string_view, 4> kEnds{"useful", "refused", "silent", "failed"};
        metrics::counter("watches_total", "end", kEnds[static_cast<std::size_t>(watch)]).add();
        roster_.streamLost();
        // What was silent took its time already: another call stands in wait for what discovery will tell.
        failures = watch == WatchResult::useful || watch == WatchResult::silent ? 0 : failures + 1;
        // Danger: what a silent stream misses counts as told 6 s after its last word. The silence has taken
        // most of that, so one refusal after it leaves no time to spread calls over the fleet.
        pause = drawPause({failures, watch == WatchResult::refused && !wasSilent, took});
        wasSilent = watch == WatchResult::silent;
    }
}

std::optional<Kind> DiscoveryWatch::fetchFullList(const discovery::Location& location,
                                                  std::stop_token stopped) {
    const auto asked = roster_.index();
    net::Fd fd = net::tcpSocket();
    if (!fd) return {};
    const int raw = fd.get();
    const auto until = net::Steady::now() + kConnectTimeout;
    if (net::beginConnect(raw, location.address) != net::ConnectStart::begun) return {};
    const auto shut = [raw] { net::shut(raw); };
    const std::stop_callback whenStopped(stopped, shut), whenLeft(location.moved, shut);
    if (!net::connected(raw, until)) return {};
    const auto ask = http::request("GET", "/registry/instances", location.address.text, {}, {});
    if (net::sendAll(raw, ask, until) != net::Io::done) return {};
    http::Limits limits;
    limits.body = options_.longestLine;
    http::Parser parser(http::Parser::Role::response, limits);
    const auto last = net::Steady::now() + kSilenceTimeout;
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
    std::string why;
    const auto list = listing::parse(parser.message().body, why);
    if (!list || !list->snapshot) {
        log::error() << "registry: the whole list can't be read: " << why.substr(0, 200);
        return {};
    }
    logNews(*list);
    return roster_.applyFetchedList(*list, asked).kind;
}

WatchResult DiscoveryWatch::watchOnce(const discovery::Location& location, std::stop_token stopped) {
    net::Fd fd = net::tcpSocket();
    if (!fd) return WatchResult::failed;
    const int raw = fd.get();
    if (net::beginConnect(raw, location.address) != net::ConnectStart::begun) return WatchResult::failed;
    const auto shut = [raw] { net::shut(raw); };
    const std::stop_callback whenStopped(stopped, shut), whenLeft(location.moved, shut);
    if (!net::connected(raw, net::Steady::now() + kConnectTimeout)) return WatchResult::failed;
    const auto target = "/registry/instances?watch=1&after=" + std::to_string(roster_.index());
    const auto ask = http::request("GET", target, location.address.text, {}, {});
    if (net::sendAll(raw, ask, net::Steady::now() + kConnectTimeout) != net::Io::done)
        return WatchResult::failed;
    http::Limits limits;
    limits.body = options_.longestLine;
    http::Parser parser(http::Parser::Role::response, limits);
    ListStreamParser lines(options_.longestLine);
    bool heard = false, refused = false, silent = false;
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
        const auto fetchWhole = [&, thenAgain] {
            const auto merged = fetchFullList(location, over.get_token());
            if (merged) verified = true;
            asking = false;
            // The stream was asked for what comes after another version.
            if (merged && (thenAgain || *merged == Kind::lostHistory)) net::shut(raw);
        };
        try {
            asker = threads::Thread("whole list", fetchWhole);
        } catch (const std::system_error& e) {
            // The next watch asks; this one is not known to count as we do.
            log::warning() << "registry: the whole list can't be asked for: " << e.what();
            net::shut(raw);
        }
    };
    const auto news = [&](const listing::EndpointList& list) {
        logNews(list);
        if (roster_.applyUpdate(list).kind == Kind::fullListNeeded) askWhole(true);
        else verified = true;
    };
    bool beaten = false;
    // Danger: a stream may fall silent within a line, or trickle bytes that never make one; what it misses
    // counts as told all the same. So only what has ended counts as a sign of life.
    auto silentAt = net::Steady::now() + kSilenceTimeout;
    for (std::string got; !stopped.stop_requested() && !location.moved.stop_requested(); got.clear()) {
        const auto io = net::receive(raw, got, silentAt);
        if (io != net::Io::done) {
            silent = io == net::Io::timedOut;
            break;
        }
        const auto state = parser.feed(got);
        auto& message = parser.message();
        if (state == http::Parser::State::bad || (message.status != 200 && message.status != 0)) {
            if (state == http::Parser::State::bad) log::error() << "registry: the answer can't be read";
            else log::warning() << "registry: answered " << message.status;
            heard = false;
            refused = state != http::Parser::State::bad;
            break;
        }
        if (message.status == 200) {
            heard = heard || !message.body.empty();
            if (lines.feed(message.body, news, [&] { beaten = true; }))
                silentAt = net::Steady::now() + kSilenceTimeout;
            message.body.clear();
        }
        if (lines.hasGap()) askWhole(true);
        else if (std::exchange(beaten, false)) {
            if (!verified) askWhole(false);
            roster_.heartbeat();
        }
        if (state == http::Parser::State::complete) break;
    }
    over.request_stop();
    asker.join();
    if (refused) return WatchResult::refused;
    if (silent) return WatchResult::silent;
    return heard && verified ? WatchResult::useful : WatchResult::failed;
}

}  // namespace laurelhaven::registry
