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
constexpr int kMaxNesting = 16;                // nested brackets; a list has four levels
constexpr milliseconds kSilenceTimeout{3500};  // heartbeats come every 2 s; updates are binding after 6 s
constexpr milliseconds kReconnectSpread{100};  // maximum spread of the first requests after a lost watch
// Prevents a busy loop where streams end at once and the drain grace is short.
constexpr milliseconds kMinFirstPauseLimit{20};
// Maximum time from one request to the next. An update is binding 6 s after discovery could be reached, also
// if requests were refused, and the next request itself may take a second to connect.
constexpr milliseconds kMaxRequestInterval{4400};
// After refusals, requests are spread over this many rounds in which every sender asks once.
constexpr int kMaxFleetRounds = 8;

void logList(const listing::EndpointList& list) {
    (log::info() << "registry: " << (list.snapshot ? "full list" : "changes"))
        .kv("index", list.index)
        .kv("entries", list.endpoints.size());
}

}  // namespace

namespace {

/// `minPause` plus a share of the span.
milliseconds jittered(milliseconds minPause, milliseconds span, double chance) {
    return minPause + milliseconds(static_cast<std::int64_t>(chance * static_cast<double>(span.count())));
}

/// A drain is binding after the drain grace even if no watch was open to receive it. So the first request
/// after a lost watch goes out well within the drain grace, however large the fleet is.
milliseconds pauseAfterLoss(const Options& options, milliseconds fleetRound, double chance) {
    const auto firstPauseLimit = std::max(3 * options.drainGrace / 5, kMinFirstPauseLimit);
    const auto minPause = std::min(options.pauseLeast, firstPauseLimit / 3);
    const auto span = std::max(options.pauseLeast, std::min(fleetRound, kReconnectSpread));
    return jittered(minPause, std::min({span, options.pauseMost, firstPauseLimit - minPause}), chance);
}

/// An overloaded discovery answers no request in time, and the requests that it refuses keep it overloaded.
/// If many senders each ask once a second, none of them learns of a drain. So after refusals they ask as
/// rarely as allowed, but no more rarely, because updates are binding all the same.
milliseconds pauseAfterFailure(const Options& options, const LastRequest& last, milliseconds fleetRound,
                               double chance) {
    const auto maxPause = std::max(options.pauseLeast, kMaxRequestInterval - last.duration);
    const auto maxSpanAfterRefusal =
        last.refused ? std::min(kMaxFleetRounds * fleetRound, kMaxRequestInterval) : milliseconds{};
    const auto maxSpan = std::max(std::min(options.pauseMost, kMaxRequestInterval), maxSpanAfterRefusal);
    auto span =
        std::max(options.pauseLeast, last.refused ? fleetRound : std::min(fleetRound, kReconnectSpread));
    for (int i = 0; i < last.failures && span < maxSpan; ++i) span *= 2;
    span = std::min({span, maxSpan, maxPause});
    // The first pause spreads the requests of a fleet that was refused at once; later ones keep them spread.
    const bool spread = last.refused && last.failures > 1;
    const auto minPause =
        std::min(spread ? std::max(options.pauseLeast, span * 3 / 4) : options.pauseLeast, maxPause);
    return jittered(minPause, std::min(spread ? span / 4 : span, maxPause - minPause), chance);
}

}  // namespace

milliseconds reconnectPause(const Options& options, const LastRequest& last, double chance) {
    const milliseconds fleetRound(static_cast<std::int64_t>(1000.0 * options.senders / options.fleetRate));
    const bool lost = last.failures == 0 && !last.refused;
    return lost ? pauseAfterLoss(options, fleetRound, chance)
                : pauseAfterFailure(options, last, fleetRound, chance);
}

bool ListStreamParser::feed(std::string_view bytes,
                            const std::function<void(const listing::EndpointList&)>& onList,
                            const std::function<void()>& onHeartbeat) {
    bool ended = false;
    std::size_t from = buffer_.size();  // earlier bytes hold no line end
    buffer_.append(bytes);
    for (auto end = buffer_.find('\n', from); end != std::string::npos; end = buffer_.find('\n', from)) {
        const auto line = std::string_view(buffer_).substr(lineStart_, end - lineStart_);
        const bool blank = line.find_first_not_of(" \t\r") == std::string_view::npos;
        if (depth_ > 0 && (blank || startsNewObject(line))) {
            skip("an incomplete object");
            buffer_.erase(0, std::exchange(lineStart_, 0));
            from = 0;  // parse the line again, as the start of an object
            ended = true;
            continue;
        }
        from = end + 1;
        const bool begun = depth_ > 0 || (!blank && line[line.find_first_not_of(" \t\r")] == '{');
        if (begun) scanLine(line);
        if (depth_ > 0 && depth_ < kMaxNesting && !inString_) {  // the object continues on the next line
            lineStart_ = from;
            continue;
        }
        if (!blank) parseObject(std::string_view(buffer_).substr(0, end), onList);
        else if (onHeartbeat) onHeartbeat();
        buffer_.erase(0, from);
        from = lineStart_ = 0;
        depth_ = 0, inString_ = false, lastNonBlank_ = 0;
        ended = true;
    }
    if (buffer_.size() > maxBytes_) {
        skip("a line of more than " + std::to_string(maxBytes_) + " bytes");
        buffer_.clear();
        lineStart_ = 0;
    }
    return ended;
}

/// True if the line cannot continue the open object. An object that was cut off leaves its brackets open, and
/// would swallow everything after it. Inside a complete object, a line starts with a brace only after one of
/// these characters.
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
                                   const std::function<void(const listing::EndpointList&)>& onList) {
    std::string error;
    const auto list = listing::parse(text, error);
    if (!list) return skip(error.substr(0, 200));
    if (list->snapshot) gap_ = false;
    onList(*list);
}

void ListStreamParser::skip(const std::string& error) {
    log::error() << "registry: skipped unreadable input: " << error;
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
    // Updates that discovery published while the sender was down are binding from the start of the process,
    // drains above all. So the first request goes out at once, however young the saved list is.
    milliseconds pause{};
    for (auto location = discovery_.location(); waitBeforeConnect(pause, location);) {
        // Refusals at the old address do not delay requests to the new one, whose updates are binding soon.
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
        // A silent watch is not a failure for the backoff: its silence has already taken as long as a pause.
        failures = watch == WatchResult::useful || watch == WatchResult::silent ? 0 : failures + 1;
        // An update that a silent stream missed is binding 6 s after the stream's last line. The silence has
        // taken most of that time, so after one refusal none is left to spread the requests of the fleet.
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
    if (net::beginConnect(raw, location.address) != net::ConnectStart::started) return {};
    const auto shut = [raw] { net::shutdownBoth(raw); };
    const std::stop_callback whenStopped(stopped, shut), whenMoved(location.moved, shut);
    if (!net::finishConnect(raw, until)) return {};
    const auto request = http::formatRequest("GET", "/registry/instances", location.address.text, {}, {});
    if (net::sendAll(raw, request, until) != net::IoResult::done) return {};
    http::Limits limits;
    limits.body = options_.longestLine;
    http::Parser parser(http::Parser::Role::response, limits);
    const auto last = net::Steady::now() + kSilenceTimeout;
    while (parser.state() != http::Parser::State::complete && parser.state() != http::Parser::State::bad) {
        std::string bytes;
        if (net::receive(raw, bytes, last) != net::IoResult::done) break;
        parser.feed(bytes);
    }
    if (parser.state() != http::Parser::State::complete && parser.finish() != http::Parser::State::complete) {
        log::warning() << "registry: discovery sent no full list";
        return {};
    }
    if (parser.message().status != 200) {
        log::warning() << "registry: discovery answered " << parser.message().status
                       << " instead of the full list";
        return {};
    }
    std::string error;
    const auto list = listing::parse(parser.message().body, error);
    if (!list || !list->snapshot) {
        log::error() << "registry: can't parse the full list: " << error.substr(0, 200);
        return {};
    }
    logList(*list);
    return roster_.applyFetchedList(*list, asked).kind;
}

WatchResult DiscoveryWatch::watchOnce(const discovery::Location& location, std::stop_token stopped) {
    net::Fd fd = net::tcpSocket();
    if (!fd) return WatchResult::failed;
    const int raw = fd.get();
    if (net::beginConnect(raw, location.address) != net::ConnectStart::started) return WatchResult::failed;
    const auto shut = [raw] { net::shutdownBoth(raw); };
    const std::stop_callback whenStopped(stopped, shut), whenMoved(location.moved, shut);
    if (!net::finishConnect(raw, net::Steady::now() + kConnectTimeout)) return WatchResult::failed;
    const auto target = "/registry/instances?watch=1&after=" + std::to_string(roster_.watchAfter());
    const auto request = http::formatRequest("GET", target, location.address.text, {}, {});
    if (net::sendAll(raw, request, net::Steady::now() + kConnectTimeout) != net::IoResult::done)
        return WatchResult::failed;
    http::Limits limits;
    limits.body = options_.longestLine;
    http::Parser parser(http::Parser::Role::response, limits);
    ListStreamParser listParser(options_.longestLine);
    bool received = false, refused = false, silent = false;
    std::atomic<bool> verified{false};  // the stream uses the numbering of the known list
    std::atomic<bool> fetching{false};
    std::stop_source fetchStop;
    threads::Thread fetcher;
    // A discovery that lost its history, and whose index is below the requested one, sends nothing on a
    // watch; nor does one without changes. Only the full list tells the two apart. It is also needed after a
    // skipped or lower-numbered line, since later changes do not repair the list. Its answer may take long,
    // and meanwhile the stream may report a drain that is binding at once. So another thread fetches it while
    // this one reads the stream.
    const auto fetchInBackground = [&](bool reconnectAfter) {
        if (fetching.exchange(true)) return;
        const auto fetchTask = [&, reconnectAfter] {
            const auto merged = fetchFullList(location, fetchStop.get_token());
            if (merged) verified = true;
            fetching = false;
            // The stream was requested after an index that no longer applies.
            if (merged && (reconnectAfter || *merged == Kind::lostHistory)) net::shutdownBoth(raw);
        };
        try {
            fetcher = threads::Thread("whole list", fetchTask);
        } catch (const std::system_error& e) {
            // The numbering of this watch stays unverified, so it ends, and the next one tries again.
            log::warning() << "registry: can't start a thread to fetch the full list: " << e.what();
            net::shutdownBoth(raw);
        }
    };
    const auto onList = [&](const listing::EndpointList& list) {
        logList(list);
        if (roster_.applyUpdate(list).kind == Kind::fullListNeeded) fetchInBackground(true);
        else verified = true;
    };
    bool heartbeatSeen = false;
    // A stream may stall within a line, or trickle bytes that never complete one, while updates that it
    // misses are binding all the same. So only complete lines extend the time-out.
    auto silenceDeadline = net::Steady::now() + kSilenceTimeout;
    for (std::string bytes; !stopped.stop_requested() && !location.moved.stop_requested(); bytes.clear()) {
        const auto io = net::receive(raw, bytes, silenceDeadline);
        if (io != net::IoResult::done) {
            silent = io == net::IoResult::timedOut;
            break;
        }
        const auto state = parser.feed(bytes);
        auto& message = parser.message();
        if (state == http::Parser::State::bad || (message.status != 200 && message.status != 0)) {
            if (state == http::Parser::State::bad)
                log::error() << "registry: malformed answer of discovery to the watch";
            else log::warning() << "registry: discovery answered the watch with status " << message.status;
            received = false;
            refused = state != http::Parser::State::bad;
            break;
        }
        if (message.status == 200) {
            received = received || !message.body.empty();
            if (listParser.feed(message.body, onList, [&] { heartbeatSeen = true; }))
                silenceDeadline = net::Steady::now() + kSilenceTimeout;
            message.body.clear();
        }
        if (listParser.hasGap()) fetchInBackground(true);
        else if (std::exchange(heartbeatSeen, false)) {
            if (!verified) fetchInBackground(false);
            roster_.heartbeat();
        }
        if (state == http::Parser::State::complete) break;
    }
    fetchStop.request_stop();
    fetcher.join();
    if (refused) return WatchResult::refused;
    if (silent) return WatchResult::silent;
    return received && verified ? WatchResult::useful : WatchResult::failed;
}

}  // namespace laurelhaven::registry
