// The list of endpoints as it is kept on disk, with what was known of each destination: a versioned file of
// checksummed records, appended to and from time to time written anew. It survives SIGKILL at any byte
// without fsync: a record is whole or not there, and a new file takes the old one's name in one step. What
// can't be read is named and costs at most its own content, never the start.
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

/// What a later life ought to know of a destination.
struct DestinationHealth {
    std::uint64_t destination = 0;
    bool down = false;          ///< in an outage when it was written
    RecordMs recoveredAt = 0;   ///< when its last outage ended, while it may still be cold; 0: it is not
    RecordMs lastOutageAt = 0;  ///< when an outage was last seen; 0: never
    double rateLimit = 0;       ///< its limit in calls a second; 0: not known
    bool operator==(const DestinationHealth&) const = default;
};

/// All that a file holds.
struct SavedEndpointList {
    std::string sender;      ///< whose it is
    RecordMs writtenAt = 0;  ///< the last time anything was written
    std::uint64_t index = 0, epoch = 0;
    trust::Churn churn;
    std::map<std::string, membership::Entry, std::less<>> entries;
    std::map<std::uint64_t, DestinationHealth> destinationHealth;
};

/// What reading came to. Everything but `good` and `absent` is named in the log.
enum class FileState { good, absent, torn, damaged, foreign, newer, oversized };
const char* name(FileState state);

struct LoadResult {
    FileState state = FileState::absent;
    std::string problem;  ///< one sentence where it is not good
    SavedEndpointList list;
    std::size_t bytes = 0, records = 0;
    bool writtenInFuture = false;  ///< it was written later than now: the clock was set back
};

/// Pure: the bytes of a file into values. Never throws, whatever the bytes are. `sender` empty: anybody's.
LoadResult parse(std::string_view bytes, const std::string& sender, RecordMs now);

// One record each, framed.
std::string encodeHeader(const std::string& sender, RecordMs now);
std::string encode(const membership::Entry& entry);
std::string encodeRemoval(const std::string& endpoint);
std::string encodeListState(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn,
                            RecordMs now);
std::string encode(const DestinationHealth& standing);

/// The file itself. Calls are made by one thread at a time.
class SavedEndpointListFile {
  public:
    /// The file and the copy that replaces it stay inside `budget` bytes together.
    SavedEndpointListFile(const std::string& folder, std::uint64_t budget, std::string sender);
    LoadResult load(RecordMs now);
    /// Adds records to the file. False where they have no room or could not be written: write it anew.
    bool append(std::string_view records);
    /// Replaces the file. Records are given in the order of their worth; those without room are left out, and
    /// their number is returned in `left`; `last` is always written. False where it could not be written; the
    /// old file stays then.
    bool replace(const std::vector<std::string>& records, const std::string& last, RecordMs now,
                 std::size_t& left);
    /// Worth writing anew: over half of it is out of date, or nearly full.
    bool needsRewrite() const {
        return fileBytes_ > 2 * bytesAfterRewrite_ + kRewriteSlackBytes ||
               fileBytes_ > maxBytes_ - maxBytes_ / 8;
    }
    std::uint64_t bytes() const { return fileBytes_; }
    const std::string& path() const { return path_; }

  private:
    static constexpr std::uint64_t kRewriteSlackBytes = 8 * 1024;
    std::string path_, sender_;
    std::uint64_t maxBytes_;  // bytes of one copy
    std::uint64_t fileBytes_ = 0, bytesAfterRewrite_ = 0;
    net::Fd fd_;
};

/// The part of the state folder's bytes that the list may have, out of what the platform gives.
std::uint64_t listBudgetBytes(std::uint64_t diskBytes, double part);

}  // namespace laurelhaven::kept
