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
struct Positions {
    std::vector<std::string> grades, tenants;
    std::vector<int> effects;  ///< by class
};

class Journal : public Store {
  public:
    /// Throws std::system_error where the folder can't be used.
    Journal(const std::string& folder, std::uint64_t diskBytes, Positions positions = {});

    Recovered recover() override;
    bool take(const Taken& message) override;
    std::optional<AttemptNumber> beginAttempt(const std::string& id, RecordMs at) override;
    bool neverLeft(const std::string& id, AttemptNumber attempt) override;
    bool settle(const std::string& id, AttemptNumber attempt, AttemptOutcome outcome) override;
    bool failWithoutAttempt(const std::string& id, RecordMs at) override;
    bool done(const std::string& id) override;
    bool ended(const Owed& notice) override;
    bool noticed(const std::string& id) override;
    bool behind() const override { return !unwritten_.empty(); }
    bool flush() override;

    std::uint64_t fileBytes() const { return size_; }

  private:
    struct Live {
        bool over = false;  // ended, with its notice owed
        Taken message;
        Owed notice;
        std::uint64_t bytes = 0;  // of its record in a fresh file
    };
    using Order = std::list<Live>;

    bool openFile();
    bool append(std::string_view payload);
    void tell(std::string payload);
    bool writeUnwritten();
    bool write(std::string_view payload);
    bool makeRoom(std::size_t bytes);
    bool cutTornTail();
    bool compact();
    void noteFailure(const char* what);
    void apply(std::string_view payload);
    bool applyTake(char type, Reader& in);
    bool applyAttempt(char type, Reader& in);
    bool applyEnd(char type, Reader& in);
    /// The message of that id that is not over; null where there is none.
    Taken* message(const std::string& id);
    bool isOpen(const std::string& id, AttemptNumber attempt);
    void remember(Live live);
    void forget(const std::string& id);
    void doubt();
    void weigh(Live& live);
    static std::string record(const Live& live);

    std::string path_;
    std::uint64_t budget_;
    Positions positions_;
    bool firstForm_ = false;  // such a record was read
    net::Fd file_;
    std::uint64_t size_ = 0;             // of the file, up to the end of its last whole record
    bool tornTail_ = false;              // bytes of a failed write may lie behind that
    std::deque<std::string> unwritten_;  // payloads of what has happened, applied and not yet in the file
    std::chrono::steady_clock::time_point compactAgainAt_{};  // after a compaction that failed
    bool failing_ = false;                                    // the last write failed, and was logged
    std::uint64_t liveBytes_ = 0;                             // of a fresh file
    Order order_;
    std::unordered_map<std::string, Order::iterator> live_;
};

}  // namespace laurelhaven::store
