// The endpoint list saved on disk, with the health of each destination: a versioned file of checksummed
// records (store/frame.hpp) that is appended to and from time to time rewritten. It survives SIGKILL at any
// byte without fsync: a torn record is recognized and dropped, and a rewritten file replaces the old one by
// rename. Unreadable content is reported and lost, but never prevents a start.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/membership.hpp"
#include "net/socket.hpp"
#include "trust/trust.hpp"

namespace laurelhaven::kept {

using trust::RecordMs;

/// What a later run needs to know of a destination. Holds times where decisions::DestinationHealth holds
/// durations.
struct DestinationHealth {
    std::uint64_t destination = 0;
    bool down = false;          ///< in an outage when this was written
    RecordMs recoveredAt = 0;   ///< when its last outage ended, during its warm-up; 0: not warming up
    RecordMs lastOutageAt = 0;  ///< when an outage was last seen; 0: never seen
    double rateLimit = 0;       ///< its announced limit in requests per second; 0: unknown
    bool operator==(const DestinationHealth&) const = default;
};

/// The content of a file.
struct SavedEndpointList {
    std::string sender;                  ///< name of the sender that wrote it
    RecordMs writtenAt = 0;              ///< the latest time in any record
    std::uint64_t index = 0, epoch = 0;  ///< of discovery; the epoch counts how often its index fell
    trust::Churn churn;
    std::map<std::string, membership::Entry, std::less<>> entries;
    std::map<std::uint64_t, DestinationHealth> destinationHealth;
};

/// The condition of a file. All but `good` and `absent` are logged.
enum class FileState {
    good,
    absent,    ///< no file, or an empty one
    torn,      ///< bytes at its end are no complete record, or its end can't be read
    damaged,   ///< a part inside can't be read, or it can't be opened
    foreign,   ///< not written by this program, or by another sender
    newer,     ///< written in a later version of the format
    oversized  ///< larger than its budget
};
const char* name(FileState state);

/// What could be read of a file.
struct LoadResult {
    FileState state = FileState::absent;
    std::string problem;  ///< what is wrong, unless it is good or absent
    SavedEndpointList list;
    std::size_t bytes = 0, records = 0;
    bool writtenInFuture = false;  ///< a record is later than now: the clock was set back
};

/// Decodes the bytes of a file. Accepts any bytes without throwing. An empty `sender` accepts the list of any
/// sender. No I/O.
LoadResult parse(std::string_view bytes, const std::string& sender, RecordMs now);

// Each returns one framed record.

/// The first record of a file.
std::string encodeHeader(const std::string& sender, RecordMs now);
std::string encode(const membership::Entry& entry);
/// Removes an endpoint that an earlier record added.
std::string encodeRemoval(const std::string& endpoint);
/// The state of the list as a whole. When it is read, the endpoints of earlier records that are not refuted
/// count as confirmed by discovery at `now`, unless confirmed later; with `now` 0 it confirms none.
std::string encodeListState(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn,
                            RecordMs now);
std::string encode(const DestinationHealth& health);

/// The file endpoints.list in the state folder. Not thread-safe: callers serialize access.
class SavedEndpointListFile {
  public:
    /// The file and the copy that replaces it together use at most `budget` bytes.
    SavedEndpointListFile(const std::string& folder, std::uint64_t budget, std::string sender);
    /// Reads the file. Retries failing reads for about a second.
    LoadResult load(RecordMs now);
    /// Appends records. Returns false if there is no room or they could not be written; then call replace().
    bool append(std::string_view records);
    /// Replaces the file by one with `records`, the most important first, and `last` at its end. Records
    /// without room are left out and counted in `omitted`; there is always room for `last`. Returns false if
    /// the new file could not be written; the old one then stays.
    bool replace(const std::vector<std::string>& records, const std::string& last, RecordMs now,
                 std::size_t& omitted);
    /// True if more than half of the file is out of date or it is nearly full.
    bool needsRewrite() const {
        return fileBytes_ > 2 * bytesAfterRewrite_ + kRewriteSlackBytes ||
               fileBytes_ > maxBytes_ - maxBytes_ / 8;
    }
    std::uint64_t bytes() const { return fileBytes_; }
    const std::string& path() const { return path_; }

  private:
    static constexpr std::uint64_t kRewriteSlackBytes = 8 * 1024;
    std::string path_, sender_;
    std::uint64_t maxBytes_;  // budget of one copy
    std::uint64_t fileBytes_ = 0, bytesAfterRewrite_ = 0;
    net::Fd fd_;
};

/// The budget of the list, in bytes: `share` of the disk space of the state folder, rounded down so that each
/// of two copies fills whole blocks.
std::uint64_t listBudgetBytes(std::uint64_t diskBytes, double share);

}  // namespace laurelhaven::kept
