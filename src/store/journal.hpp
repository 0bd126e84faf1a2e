// The durable store in one append-only file.
//
// Each record is a frame (store/frame.hpp) and is written with one write(), so the records that a killed
// process had written are complete in the file. Compaction writes a copy of the live records and renames it
// over the file. File and copy together stay within the byte budget: the journal compacts before the file
// grows so large that a copy would no longer fit.
//
// While writes fail, reports of what has already happened wait in memory and are written before any other
// record. Their number is bounded, since meanwhile no message is accepted and no attempt begins.
//
// How messages ended that must not be repeated freely is kept for longer: a compaction moves their
// fingerprints, once there are enough of them, to files of their own (store/ended_id_files.hpp), which are
// within the budget too. Only then does it drop their records.
//
// Not thread-safe: callers serialize access.
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
#include "store/ended_id_files.hpp"
#include "store/ended_ids.hpp"
#include "store/frame.hpp"
#include "store/store.hpp"

namespace laurelhaven::store {

/// The names behind the positions by which records of the first format refer to classes and tenants.
struct LegacyPositions {
    std::vector<std::string> messageClasses, tenants;
    std::vector<int> effects;  ///< of each class, see StoredMessage::effect
};

/// The store in the file messages.log of a folder.
class Journal : public Store {
  public:
    /// Throws std::system_error if the file can't be opened: at once if the folder is missing, otherwise
    /// after 8 s of retries.
    Journal(const std::string& folder, std::uint64_t diskBytes, LegacyPositions positions = {});

    /// Throws std::system_error if the file can't be read for 8 s.
    RecoveredState recover() override;
    bool accept(const StoredMessage& message) override;
    std::optional<AttemptNumber> beginAttempt(const std::string& id, RecordMs at) override;
    bool attemptNotSent(const std::string& id, AttemptNumber attempt) override;
    bool recordOutcome(const std::string& id, AttemptNumber attempt, AttemptOutcome outcome) override;
    bool recordUnsentFailure(const std::string& id, RecordMs at) override;
    bool remove(const std::string& id) override;
    bool recordFinalState(const PendingNotice& notice) override;
    bool noticeAcknowledged(const std::string& id) override;
    std::optional<KnownEnd> findEnd(const std::string& id) const override;
    /// The entry of the messages that ended last; null if it is not among them. Valid until the next call.
    const FinishedMessage* findFinished(const std::string& id) const { return finished_.find(id); }
    bool hasUnwrittenRecords() const override { return !unwritten_.empty(); }
    bool flush() override;

    /// Size of the file up to the end of its last complete record.
    std::uint64_t fileBytes() const { return fileBytes_; }
    /// How many ids of ended messages are remembered at least, once that many have ended.
    std::size_t endedIdCapacity() const;

  private:
    struct LiveRecord {
        bool ended = false;  // `notice` is pending; otherwise `message` is live
        StoredMessage message;
        PendingNotice notice;
        std::uint64_t bytes = 0;  // of its record after a compaction, with the reserve
    };
    using LiveRecords = std::list<LiveRecord>;

    bool openFile();
    bool tryAppend(std::string_view payload);
    void appendOrQueue(std::string payload);
    bool writeUnwritten();
    bool write(std::string_view payload);
    bool makeRoom(std::size_t bytes);
    bool truncateTornTail();
    bool compact(bool withFinished = true);
    static std::string encodeFinished(const FinishedMessage& finished);
    void remember(FinishedMessage finished);
    void rememberRemoved(const StoredMessage& message);
    void rememberEnded(const StoredMessage& message, const PendingNotice& notice);
    void dropUnendedFinished();
    void loadEndedIds();
    bool sealEndedIds();
    std::string encodeEndedIds() const;
    bool applyEndedIds(PayloadReader& in);
    /// Bytes of the records that every compaction keeps.
    std::uint64_t keptBytes() const;
    /// What the file and its copy may occupy together.
    std::uint64_t logBudgetBytes() const;
    void reportFailure(const char* what);
    void apply(std::string_view payload);
    bool applyAccepted(char type, PayloadReader& in);
    bool applyAttempt(char type, PayloadReader& in);
    bool applyEnd(char type, PayloadReader& in);
    /// Returns the message of that id unless it has ended; null if there is none.
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
    bool hasLegacyPositions_ = false;  // a record of the first format was read
    net::Fd file_;
    std::uint64_t fileBytes_ = 0;        // up to the end of the last complete record
    bool tornTail_ = false;              // bytes of a failed write may follow it
    std::deque<std::string> unwritten_;  // payloads already applied, not yet in the file
    std::chrono::steady_clock::time_point nextCompactionAt_{};  // after a failed compaction
    bool writesFail_ = false;                                   // the last write failed and was logged
    std::uint64_t liveBytes_ = 0;                               // the sum of LiveRecord::bytes
    LiveRecords liveRecords_;  // in the order in which they were accepted or ended
    std::unordered_map<std::string, LiveRecords::iterator> liveById_;
    FinishedMessages finished_;
    bool recovering_ = false;  // records of an earlier run are applied
    EndedIds endedIds_;
    EndedIdFiles endedIdFiles_;
};

}  // namespace laurelhaven::store
