#include "store/journal.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <system_error>
#include <thread>
#include <utility>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::store {
namespace {

constexpr std::string_view kMark = "LHR1";
constexpr std::size_t kHead = kFrameHead;
constexpr std::size_t kLongest = 80 * 1024;    // no record is longer: a body and its names
constexpr std::uint64_t kBlock = 512;          // files count in whole blocks
constexpr std::uint64_t kMargin = 8 * kBlock;  // two files, and what the folder may count besides
// Kept back for each live message, so that its attempts and its end always find room.
constexpr std::uint64_t kReserve = 256;
constexpr std::uint64_t kStale = 256 * 1024;  // records of what is over, beyond which a fresh file is written
constexpr std::chrono::milliseconds kCompactPause{200};  // after a compaction that failed
// At a start what is owed must be read: a failing folder is asked again for so long, in such steps.
constexpr std::chrono::seconds kRetryAtStart{8};
constexpr std::chrono::milliseconds kRetryPause{20};

enum Type : char {
    kTake = 'K',
    kBegin = 'B',
    kNeverLeft = 'L',
    kSettled = 'S',
    kFailed = 'F',
    kDone = 'D',
    kEnded = 'E',
    kNoticed = 'N',
    // Of earlier versions, read only: classes by position, and attempts without numbers.
    kTakeByPosition = 'T',
    kTakeWithoutNumbers = 'M',
    kBeginWithoutNumber = 'A',
    kNeverLeftWithoutNumber = 'U',
    kSettledWithoutNumber = 'O'
};

/// Repeats a step of the start until it succeeds. Throws std::system_error where it fails for too long: a
/// sender that does not know what it owes must not serve.
template <class Step>
void retryWhileFailing(const std::string& path, Step step) {
    const auto until = std::chrono::steady_clock::now() + kRetryAtStart;
    while (!step()) {
        const int error = errno;
        if (error == ENOENT || error == ENOTDIR || std::chrono::steady_clock::now() >= until)
            throw std::system_error(error, std::generic_category(), "can't open or read " + path);
        std::this_thread::sleep_for(kRetryPause);
    }
}

template <class T>
T at(const std::vector<T>& all, std::uint64_t position) {
    return position < all.size() ? all[position] : T{};
}

}  // namespace

Journal::Journal(const std::string& folder, std::uint64_t diskBytes, Positions positions)
    : path_(folder + "/messages.log"),
      budget_(diskBytes - std::min(diskBytes / 2, kMargin)),
      positions_(std::move(positions)) {
    // A copy that was not finished when the process died: the old file still holds everything.
    unlink((path_ + ".new").c_str());
    retryWhileFailing(path_, [this] { return openFile(); });
}

/// True when the file is open, or can't be created because the disk is full: then nothing is owed yet.
bool Journal::openFile() {
    do {
        file_ = net::Fd(open(path_.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    } while (!file_ && errno == EINTR);
    if (file_) return true;
    const int error = errno;
    struct stat found {};
    const bool absent = stat(path_.c_str(), &found) != 0 && errno == ENOENT;
    errno = error;
    return absent && error == ENOSPC;
}

Recovered Journal::recover() {
    std::string text;
    retryWhileFailing(path_, [&] {
        if (!file_) return true;
        auto read = lseek(file_.get(), 0, SEEK_SET) == 0 ? readAll(file_.get()) : ReadText{{}, false};
        text = std::move(read.text);
        return read.complete;
    });
    const char* next = text.data();
    const auto [good, damaged, records] = scan(text, kMark, kLongest, [&](std::string_view payload) {
        if (payload.data() - kHead != next) doubt();
        next = payload.data() + payload.size();
        apply(payload);
    });
    if (damaged > 0) log::error() << "journal: skipped " << damaged << " damaged bytes";
    if (good < text.size())
        log::warning() << "journal: dropped a torn tail of " << text.size() - good << " bytes";
    size_ = good;
    tornTail_ = good < text.size();
    if (!cutTornTail()) log::error() << "journal: can't cut the torn tail yet: " << std::strerror(errno);
    // What the positions mean holds for this configuration: by the next start they must be names.
    if (firstForm_) compact();
    // What was open when the earlier life ended has no outcome any more, and may have run.
    for (auto& live : order_) live.message.attempts.endLife();
    Recovered found;
    for (const auto& live : order_) {
        if (live.over) found.notices.push_back(live.notice);
        else found.messages.push_back(live.message);
    }
    return found;
}

// Danger: what can't be read may have been an attempt. A message that was alive then may have run, nobody
// knows when; sent again it might take effect twice.
void Journal::doubt() {
    for (auto& live : order_) live.message.attempts.doubt();
}

std::string Journal::record(const Live& live) {
    if (live.over)
        return Writer(kEnded)
            .text(live.notice.id)
            .number(static_cast<int>(live.notice.end))
            .number(live.notice.afterMs)
            .take();
    const Taken& m = live.message;
    const auto& attempts = m.attempts.state();
    return Writer(kTake)
        .text(m.id)
        .text(m.key)
        .number(m.destination)
        .text(m.grade)
        .text(m.tenant)
        .number(m.effect)
        .number(m.deadline)
        .number(attempts.made)
        .number(attempts.failures)
        .number(attempts.last)
        .number(attempts.open)
        .number(attempts.sentAt)
        .number(attempts.failedAt)
        .number(attempts.mayHaveRunSince)
        .text(*m.body)
        .take();
}

void Journal::weigh(Live& live) {
    liveBytes_ -= live.bytes;
    live.bytes = kHead + record(live).size() + kReserve;
    liveBytes_ += live.bytes;
}

void Journal::remember(Live live) {
    const std::string id = live.over ? live.notice.id : live.message.id;
    forget(id);
    order_.push_back(std::move(live));
    live_[id] = std::prev(order_.end());
    weigh(order_.back());
}

void Journal::forget(const std::string& id) {
    const auto it = live_.find(id);
    if (it == live_.end()) return;
    liveBytes_ -= it->second->bytes;
    order_.erase(it->second);
    live_.erase(it);
}

namespace {

AttemptHistory::State readAttempts(Reader& in) {
    AttemptHistory::State attempts;
    attempts.made = in.number<std::uint32_t>();
    attempts.failures = in.number<std::uint32_t>();
    attempts.last = in.number<AttemptNumber>();
    attempts.open = in.number<AttemptNumber>();
    attempts.sentAt = in.number<RecordMs>();
    attempts.failedAt = in.number<RecordMs>();
    attempts.mayHaveRunSince = in.number<RecordMs>();
    return attempts;
}

/// As an earlier version wrote it: whether an attempt is open, and no number of it.
AttemptHistory::State readAttemptsWithoutNumbers(Reader& in) {
    AttemptHistory::State attempts;
    attempts.made = attempts.last = in.number<std::uint32_t>();
    attempts.failures = in.number<std::uint32_t>();
    const bool open = in.number<int>() != 0;
    attempts.mayHaveRunSince = in.number<RecordMs>();
    attempts.sentAt = attempts.failedAt = in.number<RecordMs>();
    if (open) attempts.open = attempts.last;
    return attempts;
}

/// What a record says of an attempt, or of a call that made none.
struct AttemptRecord {
    std::string id;
    AttemptNumber number = 0;
    RecordMs at = 0;
    AttemptOutcome outcome;
};

AttemptRecord readAttempt(char type, Reader& in) {
    AttemptRecord record;
    record.id = in.text();
    if (type == kBegin || type == kNeverLeft || type == kSettled) record.number = in.number<AttemptNumber>();
    if (type == kBegin || type == kBeginWithoutNumber || type == kFailed) record.at = in.number<RecordMs>();
    if (type == kSettled || type == kSettledWithoutNumber) {
        record.outcome.mayHaveRun = in.number<int>() != 0;
        record.outcome.failed = in.number<int>() != 0;
    }
    return record;
}

/// Danger: an earlier version wrote the failure of a connect, which had made no attempt, like the outcome of
/// one that surely did not run. Where an attempt was open then, it may be either; so it may have run.
void settleWithoutNumber(AttemptHistory& attempts, AttemptOutcome outcome) {
    if (const auto open = attempts.open()) {
        outcome.mayHaveRun = outcome.mayHaveRun || outcome.failed;
        attempts.settle(*open, outcome);
    } else if (outcome.failed) {
        attempts.failWithoutAttempt(attempts.state().sentAt);
    }
}

void applyTo(AttemptHistory& attempts, char type, const AttemptRecord& record) {
    switch (type) {
        case kBegin: return attempts.begin(record.number, record.at);
        case kNeverLeft: return void(attempts.neverLeft(record.number));
        case kSettled: return void(attempts.settle(record.number, record.outcome));
        case kFailed: return attempts.failWithoutAttempt(record.at);
        case kBeginWithoutNumber: return attempts.begin(attempts.next(), record.at);
        case kNeverLeftWithoutNumber: return void(attempts.neverLeft(attempts.open().value_or(0)));
        default: return settleWithoutNumber(attempts, record.outcome);
    }
}

}  // namespace

/// Brings what is alive up to a record, written just now or read back.
void Journal::apply(std::string_view payload) {
    const char type = payload[0];
    Reader in(payload.substr(1));
    bool known = false;
    switch (type) {
        case kTake:
        case kTakeWithoutNumbers:
        case kTakeByPosition: known = applyTake(type, in); break;
        case kBegin:
        case kNeverLeft:
        case kSettled:
        case kFailed:
        case kBeginWithoutNumber:
        case kNeverLeftWithoutNumber:
        case kSettledWithoutNumber: known = applyAttempt(type, in); break;
        case kDone:
        case kEnded:
        case kNoticed: known = applyEnd(type, in); break;
        default: break;
    }
    if (!known) log::error() << "journal: skipped a record of no known form";
}

bool Journal::applyTake(char type, Reader& in) {
    Live live;
    Taken& m = live.message;
    m.id = in.text();
    m.key = in.text();
    m.destination = in.number<std::uint64_t>();
    if (type == kTakeByPosition) {
        const auto grade = in.number<std::uint64_t>();
        m.grade = at(positions_.grades, grade);
        m.effect = at(positions_.effects, grade);
        m.tenant = at(positions_.tenants, in.number<std::uint64_t>());
        firstForm_ = true;
    } else {
        m.grade = in.text();
        m.tenant = in.text();
        m.effect = in.number<int>();
    }
    m.deadline = in.number<RecordMs>();
    m.attempts = AttemptHistory(type == kTake ? readAttempts(in) : readAttemptsWithoutNumbers(in));
    m.body = std::make_shared<const std::string>(in.text());
    if (in.whole()) remember(std::move(live));
    return in.whole();
}

bool Journal::applyAttempt(char type, Reader& in) {
    const auto record = readAttempt(type, in);
    if (!in.whole()) return false;
    if (Taken* found = message(record.id)) applyTo(found->attempts, type, record);
    return true;
}

bool Journal::applyEnd(char type, Reader& in) {
    Live live;
    live.over = true;
    live.notice.id = in.text();
    if (type == kEnded) {
        live.notice.end = in.number<int>() == 0 ? End::failed : End::returned;
        live.notice.afterMs = in.number<std::int64_t>();
    }
    if (!in.whole()) return false;
    if (type == kEnded) remember(std::move(live));
    else forget(live.notice.id);
    return true;
}

Taken* Journal::message(const std::string& id) {
    const auto it = live_.find(id);
    return it == live_.end() || it->second->over ? nullptr : &it->second->message;
}

bool Journal::isOpen(const std::string& id, AttemptNumber attempt) {
    const Taken* found = message(id);
    return found && found->attempts.open() == attempt;
}

/// A record that asks for something: false, and nothing has changed, where it can't be written now.
bool Journal::append(std::string_view payload) {
    if (!writeUnwritten() || !write(payload)) return false;
    apply(payload);
    return true;
}

/// A record of what has happened: it holds from now on, and is written as soon as that can be done.
void Journal::tell(std::string payload) {
    apply(payload);
    unwritten_.push_back(std::move(payload));
    writeUnwritten();
}

bool Journal::flush() { return writeUnwritten(); }

// Danger: written out of order, an attempt would stand in front of the outcome of the one before it. So what
// waits goes first, whatever is to be written.
bool Journal::writeUnwritten() {
    while (!unwritten_.empty()) {
        if (!write(unwritten_.front())) return false;
        if (!unwritten_.empty()) unwritten_.pop_front();  // a compaction has written them all
    }
    return true;
}

/// One record at the end of the file.
bool Journal::write(std::string_view payload) {
    const std::string bytes = framed(kMark, payload);
    const bool waited = !unwritten_.empty();
    if (!makeRoom(bytes.size())) return false;
    if (waited && unwritten_.empty()) return true;  // the fresh file tells it already
    if (!writeAll(file_.get(), bytes)) {
        noteFailure("write");
        tornTail_ = true;
        cutTornTail();
        return false;
    }
    if (std::exchange(failing_, false)) log::info() << "journal: writes succeed again";
    size_ += bytes.size();
    return true;
}

/// The file is open, ends with a whole record, and has room for a record of so many bytes.
bool Journal::makeRoom(std::size_t bytes) {
    if (!file_ && !(openFile() && file_)) {
        noteFailure("open");
        return false;
    }
    // Danger: what is written behind half a record makes all before it look damaged, and so as if it might
    // have run. Either the half goes or a fresh file takes the place of this one.
    if (!cutTornTail() && !compact()) return false;
    // The file, the copy that must still fit beside it, and this record in both.
    const bool full = size_ + liveBytes_ + 2 * bytes > budget_ && size_ > liveBytes_;
    // The folder counts as memory: what is long over is not kept until the disk is full.
    if (full || size_ > liveBytes_ + kStale) compact();
    return size_ + bytes <= budget_;
}

/// False while bytes of a failed write still lie behind the last whole record.
bool Journal::cutTornTail() {
    if (!tornTail_ || !file_) return !tornTail_;
    int result = 0;
    do {
        result = ftruncate(file_.get(), static_cast<off_t>(size_));
    } while (result != 0 && errno == EINTR);
    if (result != 0) return false;
    tornTail_ = false;
    return true;
}

/// One line when the trouble begins, not one for each record.
void Journal::noteFailure(const char* what) {
    static auto& failures = metrics::counter("journal_failures_total");
    failures.add();
    if (!std::exchange(failing_, true))
        log::error() << "journal: can't " << what << ": " << std::strerror(errno);
}

/// Writes a fresh file of what is alive, with everything that waits to be written in it. After a failure it
/// is not tried again at once: it may be long, and it is asked for with every record.
bool Journal::compact() {
    const auto now = std::chrono::steady_clock::now();
    if (now < compactAgainAt_) return false;
    const std::string fresh = path_ + ".new";
    net::Fd file(open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    std::uint64_t size = 0;
    bool good = static_cast<bool>(file);
    for (const auto& live : order_) {
        if (!good) break;
        const auto bytes = framed(kMark, record(live));
        good = writeAll(file.get(), bytes);
        size += bytes.size();
    }
    if (!good || rename(fresh.c_str(), path_.c_str()) != 0) {
        noteFailure("compact");
        unlink(fresh.c_str());
        compactAgainAt_ = now + kCompactPause;
        return false;
    }
    log::debug() << "journal: compacted " << size_ << " to " << size << " bytes";
    file_ = std::move(file);
    size_ = size;
    tornTail_ = false;
    unwritten_.clear();
    return true;
}

bool Journal::take(const Taken& message) {
    // Danger: an id whose end is still owed, handed in again: the two would share one record, and the word
    // that the platform knows the first one's end would strike out the second.
    if (live_.count(message.id)) return false;
    Live live;
    live.message = message;
    const auto payload = record(live);
    // Twice what is alive must fit, or no compaction could ever be made again.
    if (payload.size() > kLongest || 2 * (liveBytes_ + kHead + payload.size() + kReserve) > budget_)
        return false;
    return append(payload);
}

std::optional<AttemptNumber> Journal::beginAttempt(const std::string& id, RecordMs at) {
    const Taken* found = message(id);
    if (!found) return {};
    const auto number = found->attempts.next();
    if (!append(Writer(kBegin).text(id).number(number).number(at).take())) return {};
    return number;
}

bool Journal::neverLeft(const std::string& id, AttemptNumber attempt) {
    if (!isOpen(id, attempt)) return false;
    tell(Writer(kNeverLeft).text(id).number(attempt).take());
    return true;
}

bool Journal::settle(const std::string& id, AttemptNumber attempt, AttemptOutcome outcome) {
    if (!isOpen(id, attempt)) return false;
    tell(Writer(kSettled).text(id).number(attempt).number(outcome.mayHaveRun).number(outcome.failed).take());
    return true;
}

bool Journal::failWithoutAttempt(const std::string& id, RecordMs at) {
    if (!message(id)) return false;
    tell(Writer(kFailed).text(id).number(at).take());
    return true;
}

bool Journal::done(const std::string& id) {
    if (!message(id)) return false;
    tell(Writer(kDone).text(id).take());
    return true;
}

bool Journal::ended(const Owed& notice) {
    if (!message(notice.id)) return false;
    Live live;
    live.over = true;
    live.notice = notice;
    tell(record(live));
    return true;
}

bool Journal::noticed(const std::string& id) {
    if (message(id)) return false;  // it has not ended
    if (live_.count(id)) tell(Writer(kNoticed).text(id).take());
    return true;
}

}  // namespace laurelhaven::store
