// The store of record in one append-only file.
//
// A record is a mark, the length and the checksum of its payload, and the payload; one write each, so what a
// killed process had written is there. The file and its successor are both inside the byte budget: once the
// next record would not leave room for a copy of what is alive, that copy is written and takes its place.
//
// While the file system fails, records of what has happened wait in memory, and are written before anything
// else. Their number is bounded: meanwhile nothing is taken on and no attempt begins.
#pragma once

#include <chrono>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/socket.hpp"
#include "store/frame.hpp"
#include "store/store.hpp"

namespace laurelhaven::store {

/// What records of the first form, which told classes and tenants by their positions, mean by them.
struct LegacyPositions {
    std::vector<std::string> messageClasses, tenants;
    std::vector<int> effects;  ///< by class
};

class Journal : public Store {
  public:
    /// Throws std::system_error where the folder can't be used.
    Journal(const std::string& folder, std::uint64_t diskBytes, LegacyPositions positions = {});

    RecoveredState recover() override;
    bool accept(const StoredMessage& message) override;
    std::optional<AttemptNumber> beginAttempt(const std::string& id, RecordMs at) override;
    bool attemptNotSent(const std::string& id, AttemptNumber attempt) override;
    bool recordOutcome(const std::string& id, AttemptNumber attempt, AttemptOutcome outcome) override;
    bool recordUnsentFailure(const std::string& id, RecordMs at) override;
    bool remove(const std::string& id) override;
    bool recordFinalState(const PendingNotice& notice) override;
    bool noticeAcknowledged(const std::string& id) override;
    bool hasUnwrittenRecords() const override { return !unwritten_.empty(); }
    bool flush() override;

    std::uint64_t fileBytes() const { return fileBytes_; }

  private:
    struct LiveRecord {
        bool ended = false;  // ended, with its notice owed
        StoredMessage message;
        PendingNotice notice;
        std::uint64_t bytes = 0;  // of its record in a fresh file
    };
    using LiveRecords = std::list<LiveRecord>;

    bool openFile();
    bool tryAppend(std::string_view payload);
    void appendOrQueue(std::string payload);
    bool writeUnwritten();
    bool write(std::string_view payload);
    bool makeRoom(std::size_t bytes);
    bool truncateTornTail();
    bool compact();
    void reportFailure(const char* what);
    void apply(std::string_view payload);
    bool applyAccepted(char type, PayloadReader& in);
    bool applyAttempt(char type, PayloadReader& in);
    bool applyEnd(char type, PayloadReader& in);
    /// The message of that id that is not over; null where there is none.
    StoredMessage* findMessage(const std::string& id);
    bool isOpenAttempt(const std::string& id, AttemptNumber attempt);
    void insertLive(LiveRecord live);
    void eraseLive(const std::string& id);
    void markUncertain();
    void updateLiveBytes(LiveRecord& live);
    static std::string encode(const LiveRecord& live);

    std::string path_;
    std::uint64_t budgetBytes_;
    LegacyPositions positions_;
    bool hasLegacyPositions_ = false;  // such a record was read
    net::Fd file_;
    std::uint64_t fileBytes_ = 0;        // of the file, up to the end of its last whole record
    bool tornTail_ = false;              // bytes of a failed write may lie behind that
    std::deque<std::string> unwritten_;  // payloads of what has happened, applied and not yet in the file
    std::chrono::steady_clock::time_point nextCompactionAt_{};  // after a compaction that failed
    bool writesFail_ = false;                                   // the last write failed, and was logged
    std::uint64_t liveBytes_ = 0;                               // of a fresh file
    LiveRecords liveRecords_;
    std::unordered_map<std::string, LiveRecords::iterator> liveById_;
};

}  // namespace laurelhaven::store
