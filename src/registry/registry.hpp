// The watch on discovery's list of endpoints: one thread that reads the stream, and connects again when it
// ends.
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

/// The lists of a stream, one JSON object each, in one line or indented over several; empty lines between
/// them say only that it lives. Pure: bytes in, lists out.
class ListStreamParser {
  public:
    explicit ListStreamParser(std::size_t longest = 1 << 20) : maxBytes_(longest) {}
    /// Calls `news` for each list, and `beat` for each empty line. What can't be read is logged and skipped.
    /// True where any of these ended: bytes that end nothing are no sign of life.
    bool feed(std::string_view bytes, const std::function<void(const listing::EndpointList&)>& news,
              const std::function<void()>& beat = {});
    /// Something was skipped: only the whole list makes it good.
    bool hasGap() const { return gap_; }

  private:
    bool startsNewObject(std::string_view line) const;
    void scanLine(std::string_view line);
    void parseObject(std::string_view text, const std::function<void(const listing::EndpointList&)>& news);
    void skip(const std::string& why);

    std::size_t maxBytes_;
    bool gap_ = false;
    std::string buffer_;         // what has begun and not ended
    std::size_t lineStart_ = 0;  // where in it the last line begins
    int depth_ = 0;              // brackets open up to there
    bool inString_ = false;      // the line ended inside a text
    char lastNonBlank_ = 0;      // the last sign before it that is no blank
};

struct Options {
    std::size_t longestLine = 1000000;           ///< bytes of one line of the stream, or of a whole list
    std::chrono::milliseconds pauseLeast{50};    ///< before the address is tried again
    std::chrono::milliseconds pauseMost{1'000};  ///< and at most, where discovery refuses nothing
    double fleetRate = 20;                       ///< times a second that all senders together ask, about
    int senders = 1;                             ///< that ask the same discovery; the platform tells
    std::chrono::milliseconds drainGrace{250};   ///< after which what was told holds; the platform tells
};

/// What became of one watch.
enum class WatchResult {
    useful,   ///< a line came that counts as we do
    refused,  ///< discovery answered that it won't
    silent,   ///< it says nothing any more, or never did
    failed    ///< it could not be reached, or said nothing of use
};

/// How the last call for the list went.
struct LastRequest {
    int failures = 0;      ///< on end, this one counted
    bool refused = false;  ///< it was refused, rather than not answered
    std::chrono::milliseconds duration{};
};

/// How long to wait before discovery is asked again: some part of a span, by `chance` in [0, 1) (full jitter:
/// M. Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog, 2015). The span begins short, within
/// three fifths of the drain grace, as what discovery tells counts whether or not a watch is open, and
/// doubles with each failure. After refusals it begins with one in which all senders ask once at `fleetRate`,
/// since they mostly lose discovery in the same moment. From the beginning of one call to that of the next it
/// is never longer than news may go unheard, in a fleet of any size.
std::chrono::milliseconds reconnectPause(const Options& options, const LastRequest& last, double chance);

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
    /// False once stopped. True at the pause's end, or once discovery is elsewhere.
    bool waitBeforeConnect(std::chrono::milliseconds pause, const discovery::Location& location);
    std::chrono::milliseconds drawPause(const LastRequest& last);
    /// One connection, until it ends.
    WatchResult watchOnce(const discovery::Location& location, std::stop_token stopped);
    /// Asks for the whole list, on a connection of its own. What became of it; nothing where none came.
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
