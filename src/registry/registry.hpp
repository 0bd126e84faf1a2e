// The watch on discovery's list of endpoints: a thread that reads the stream of updates, passes them to the
// roster, and connects again when the stream ends.
//
// The platform's rules bind a sender to the updates that discovery published whether or not it has read them:
// to a drain after the drain grace, and to any update at the latest 6 s after discovery could be reached.
// From then on the update is binding.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <stop_token>
#include <string>
#include <string_view>

#include "discovery/discovery.hpp"
#include "listing/listing.hpp"
#include "net/socket.hpp"
#include "roster/roster.hpp"
#include "threads/thread.hpp"

namespace laurelhaven::registry {

/// Splits a stream into endpoint lists. Each is one JSON object, on one line or indented over several. Empty
/// lines between them are heartbeats. No I/O; not thread-safe.
class ListStreamParser {
  public:
    explicit ListStreamParser(std::size_t maxBytes = 1 << 20) : maxBytes_(maxBytes) {}
    /// Calls `onList` for each list, and `onHeartbeat` for each empty line. Logs and skips unreadable input.
    /// True if a list, a heartbeat or unreadable input ended in these bytes; other bytes do not show that
    /// discovery still works.
    bool feed(std::string_view bytes, const std::function<void(const listing::EndpointList&)>& onList,
              const std::function<void()>& onHeartbeat = {});
    /// True if input was skipped and no full list came since, so that changes may be missing.
    bool hasGap() const { return gap_; }

  private:
    bool startsNewObject(std::string_view line) const;
    void scanLine(std::string_view line);
    void parseObject(std::string_view text, const std::function<void(const listing::EndpointList&)>& onList);
    void skip(const std::string& error);

    std::size_t maxBytes_;
    bool gap_ = false;
    std::string buffer_;         // an object that is not complete yet
    std::size_t lineStart_ = 0;  // offset in buffer_ at which the last line begins
    int depth_ = 0;              // open brackets before lineStart_
    bool inString_ = false;      // the last line ended inside a string
    char lastNonBlank_ = 0;      // last character before it that is not blank
};

/// The settings section "discovery"; the last two come from the platform.
struct Options {
    std::size_t longestLine = 2000000;  ///< maximum bytes of one object of the stream, over all its lines
    std::chrono::milliseconds pauseLeast{50};    ///< minimum pause before a reconnect
    std::chrono::milliseconds pauseMost{1'000};  ///< maximum pause, unless discovery refuses requests
    double fleetRate = 20;                       ///< target requests per second of all senders together
    int senders = 1;                             ///< senders that use the same discovery
    std::chrono::milliseconds drainGrace{250};   ///< after which a reported drain is binding
};

/// How one watch ended. The order is that of the metric's labels.
enum class WatchResult {
    useful,   ///< a list or heartbeat came, in the numbering of the known list
    refused,  ///< discovery answered with an error status
    silent,   ///< the stream stayed open, but nothing came in time
    failed    ///< discovery could not be reached, or sent nothing usable
};

/// How the last request for the list went.
struct LastRequest {
    int failures = 0;      ///< in a row, up to and including this request
    bool refused = false;  ///< discovery answered with an error status
    std::chrono::milliseconds duration{};
};

/// How long to wait before discovery is asked again. The pause is drawn from a span by `chance` in [0, 1)
/// (full jitter: M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). The first span
/// lies within three fifths of the drain grace (20 ms if that is less), because updates of discovery are
/// binding whether or not a watch is open. It doubles with each failure. After refusals it starts at the time
/// in which all senders ask once at `fleetRate`, since they usually lose discovery at the same time. From the
/// start of one request to the start of the next it never exceeds the time for which an update may go
/// unnoticed (4.4 s), however large the fleet is.
std::chrono::milliseconds reconnectPause(const Options& options, const LastRequest& last, double chance);

/// Keeps the roster up to date with discovery. start() and stop() must be called from the same thread.
class DiscoveryWatch {
  public:
    DiscoveryWatch(const discovery::Discovery& discovery, roster::Roster& roster, const Options& options,
                   std::uint64_t seed)
        : discovery_(discovery), roster_(roster), options_(options), random_(seed) {}
    ~DiscoveryWatch() { stop(); }
    void start();
    void stop();

  private:
    void run();
    /// Waits for the pause, or until discovery moves. False once stopped.
    bool waitBeforeConnect(std::chrono::milliseconds pause, const discovery::Location& location);
    std::chrono::milliseconds drawPause(const LastRequest& last);
    /// Opens one watch, and reads it until it ends.
    WatchResult watchOnce(const discovery::Location& location, std::stop_token stopped);
    /// Fetches the full list on a separate connection. Returns how it was merged, or no value if none came.
    std::optional<membership::ListUpdateResult::Kind> fetchFullList(const discovery::Location& location,
                                                                    std::stop_token stopped);

    const discovery::Discovery& discovery_;
    roster::Roster& roster_;
    Options options_;
    std::mt19937_64 random_;
    std::stop_source stop_;
    std::mutex mutex_;
    std::condition_variable_any wake_;
    threads::Thread thread_;
};

}  // namespace laurelhaven::registry
