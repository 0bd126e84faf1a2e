#include "store/journal.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <system_error>
#include <thread>
#include <utility>

#include "log/log.hpp"
#include "metrics/metrics.hpp"

namespace laurelhaven::store {
namespace {

constexpr std::string_view kRecordMagic = "LHR1";
constexpr std::size_t kHeaderBytes = kFrameHeaderBytes;
constexpr std::size_t kMaxPayloadBytes = 80 * 1024;  // bounds a body with its names
constexpr std::uint64_t kBlockBytes = 512;           // disk usage counts in whole blocks
// For rounding two files up to whole blocks, and for whatever else is counted in the folder.
constexpr std::uint64_t kFolderMarginBytes = 8 * kBlockBytes;
// Reserved for each live message, so that there is always room for its attempts and its end.
constexpr std::uint64_t kReservedBytesPerMessage = 256;
// Records of finished messages beyond this cause a compaction.
constexpr std::uint64_t kMaxStaleBytes = 256 * 1024;
constexpr std::chrono::milliseconds kCompactionRetryPause{200};  // after a failed compaction
// The journal must be read at the start, so failing I/O is retried at this interval until the timeout.
constexpr std::chrono::seconds kStartupRetryTimeout{8};
constexpr std::chrono::milliseconds kStartupRetryPause{20};

// Finished messages that a compaction keeps. Each is stored as its acceptance without a body, and its end.
constexpr std::size_t kMaxStoredFinished = 256;
/// The deadline in the acceptance of such a message, whose key is the digest of its content.
constexpr RecordMs kFinishedDeadline = -(RecordMs{1} << 40);
constexpr RecordMs kFinishedAttemptAt = 1;  // 0 means that none may have run

// The part of the budget that the fingerprints of ended messages may take from live ones.
constexpr double kEndedIdsShare = 0.65;
// Where the budget has no room for a segment, so much of it goes to the newest fingerprints.
constexpr double kRecentEndedIdsShare = 0.1;
constexpr std::size_t kEndedIdBytes = sizeof(std::uint64_t);
// A segment is full before a compaction writes it, which is not due for the shortest records of so many more.
constexpr std::size_t kMaxRecentEndedIds = EndedIdSegment::kEntries + 1200;

std::size_t maxEndedIdSegments(std::uint64_t budgetBytes) {
    // The newest fingerprints are in the journal and in its copy, and there is room to write one more file.
    constexpr std::uint64_t kAside = 2 * kMaxRecentEndedIds * kEndedIdBytes + EndedIdFiles::kFileBytes;
    const auto bytes = static_cast<std::uint64_t>(kEndedIdsShare * static_cast<double>(budgetBytes));
    return static_cast<std::size_t>((bytes - std::min(bytes, kAside)) / EndedIdFiles::kFileBytes);
}

/// Without segments the newest fingerprints make room for each other.
std::size_t maxRecentEndedIds(std::uint64_t budgetBytes) {
    if (maxEndedIdSegments(budgetBytes) > 0) return EndedIds::kUnlimited;
    return static_cast<std::size_t>(kRecentEndedIdsShare * static_cast<double>(budgetBytes)) / kEndedIdBytes;
}

enum RecordType : char {
    kAccepted = 'K',
    kAttemptBegun = 'B',
    kAttemptNotSent = 'L',
    kAttemptOutcome = 'S',
    kUnsentFailure = 'F',
    kRemoved = 'D',
    kFinalState = 'E',
    kNoticeAcknowledged = 'N',
    kEndedIds = 'I',
    // Formats of earlier versions, only read: classes by position, and attempts without numbers.
    kAcceptedByPosition = 'T',
    kAcceptedWithoutNumbers = 'M',
    kAttemptBegunWithoutNumber = 'A',
    kAttemptNotSentWithoutNumber = 'U',
    kAttemptOutcomeWithoutNumber = 'O'
};

/// Repeats a step of the start until it succeeds. Throws std::system_error after kStartupRetryTimeout: a
/// sender that can't read its pending messages must not serve.
template <class Step>
void retryWhileFailing(const std::string& path, Step step) {
    const auto until = std::chrono::steady_clock::now() + kStartupRetryTimeout;
    while (!step()) {
        const int error = errno;
        if (error == ENOENT || error == ENOTDIR || std::chrono::steady_clock::now() >= until)
            throw std::system_error(error, std::generic_category(), "can't open or read " + path);
        std::this_thread::sleep_for(kStartupRetryPause);
    }
}

template <class T>
T valueAt(const std::vector<T>& values, std::uint64_t position) {
    return position < values.size() ? values[position] : T{};
}

}  // namespace

Journal::Journal(const std::string& folder, std::uint64_t diskBytes, LegacyPositions positions)
    : path_(folder + "/messages.log"),
      budgetBytes_(diskBytes - std::min(diskBytes / 2, kFolderMarginBytes)),
      positions_(std::move(positions)),
      endedIds_(maxEndedIdSegments(budgetBytes_), maxRecentEndedIds(budgetBytes_)),
      endedIdFiles_(folder) {
    // A copy that was incomplete when the process died: the old file still has everything.
    unlink((path_ + ".new").c_str());
    retryWhileFailing(path_, [this] { return openFile(); });
}

/// Returns true if the file is open, or if it does not exist and can't be created on a full disk: then
/// nothing is pending, and the sender can start.
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

void Journal::loadEndedIds() {
    std::vector<EndedIdSegment> segments;
    try {
        retryWhileFailing(path_, [&] { return endedIdFiles_.load(segments); });
    } catch (const std::system_error& error) {
        // The messages that are owed an end weigh more than ids that may come again.
        log::error() << "journal: some ended ids can't be read: " << error.what();
        endedIdFiles_.load(segments, EndedIdFiles::Unreadable::skip);
    }
    // The disk limit may have been lowered since they were written.
    std::size_t surplus = segments.size() - std::min(segments.size(), endedIds_.maxSegments());
    for (auto& segment : segments) {
        if (surplus > 0 && endedIdFiles_.removeOldest()) --surplus;
        else endedIds_.restore(std::move(segment));
    }
}

RecoveredState Journal::recover() {
    loadEndedIds();
    recovering_ = true;
    std::string text;
    retryWhileFailing(path_, [&] {
        if (!file_) return true;
        auto read = lseek(file_.get(), 0, SEEK_SET) == 0 ? readAll(file_.get()) : ReadResult{{}, false};
        text = std::move(read.text);
        return read.complete;
    });
    const char* next = text.data();
    const auto [validBytes, damagedBytes, recordCount] =
        scanFrames(text, kRecordMagic, kMaxPayloadBytes, [&](std::string_view payload) {
            if (payload.data() - kHeaderBytes != next) markUncertain();
            next = payload.data() + payload.size();
            apply(payload);
        });
    if (damagedBytes > 0) log::error() << "journal: skipped " << damagedBytes << " damaged bytes";
    if (validBytes < text.size())
        log::warning() << "journal: dropped a torn tail of " << text.size() - validBytes << " bytes";
    fileBytes_ = validBytes;
    tornTail_ = validBytes < text.size();
    if (!truncateTornTail())
        log::error() << "journal: can't truncate the torn tail yet, will retry: " << std::strerror(errno);
    // Positions refer to the present configuration, so rewrite them as names before the next start.
    if (hasLegacyPositions_) compact();
    dropUnendedFinished();
    recovering_ = false;
    // The outcomes of attempts that were open when the previous run ended are lost, so these may have run.
    for (auto& live : liveRecords_) live.message.attempts.closeAsMayHaveRun();
    RecoveredState found;
    for (const auto& live : liveRecords_) {
        if (live.ended) found.notices.push_back(live.notice);
        else found.messages.push_back(live.message);
    }
    return found;
}

// Its end was damaged. It had ended all the same.
void Journal::dropUnendedFinished() {
    std::vector<std::string> ids;
    for (const auto& live : liveRecords_)
        if (!live.ended && live.message.deadline == kFinishedDeadline) ids.push_back(live.message.id);
    for (const auto& id : ids) {
        rememberRemoved(liveById_.at(id)->message);
        eraseLive(id);
    }
}

// A damaged record may have been an attempt of any message that was live at that point. All these may have
// run at an unknown time; otherwise a repeat could take effect twice.
void Journal::markUncertain() {
    for (auto& live : liveRecords_) live.message.attempts.markUncertain();
}

std::string Journal::encode(const LiveRecord& live) {
    if (live.ended)
        return PayloadWriter(kFinalState)
            .text(live.notice.id)
            .number(static_cast<int>(live.notice.finalState))
            .number(live.notice.retryAfterMs)
            .finish();
    const StoredMessage& m = live.message;
    const auto& attempts = m.attempts.state();
    return PayloadWriter(kAccepted)
        .text(m.id)
        .text(m.key)
        .number(m.destination)
        .text(m.messageClass)
        .text(m.tenant)
        .number(m.effect)
        .number(m.deadline)
        .number(attempts.attemptCount)
        .number(attempts.failures)
        .number(attempts.lastNumber)
        .number(attempts.openNumber)
        .number(attempts.beganAt)
        .number(attempts.failedAt)
        .number(attempts.mayHaveRunSince)
        .text(*m.body)
        .finish();
}

void Journal::updateLiveBytes(LiveRecord& live) {
    liveBytes_ -= live.bytes;
    live.bytes = kHeaderBytes + encode(live).size() + kReservedBytesPerMessage;
    liveBytes_ += live.bytes;
}

void Journal::insertLive(LiveRecord live) {
    const std::string id = live.ended ? live.notice.id : live.message.id;
    eraseLive(id);
    liveRecords_.push_back(std::move(live));
    liveById_[id] = std::prev(liveRecords_.end());
    updateLiveBytes(liveRecords_.back());
}

void Journal::eraseLive(const std::string& id) {
    const auto it = liveById_.find(id);
    if (it == liveById_.end()) return;
    liveBytes_ -= it->second->bytes;
    liveRecords_.erase(it->second);
    liveById_.erase(it);
}

namespace {

AttemptHistory::State readAttempts(PayloadReader& in) {
    AttemptHistory::State attempts;
    attempts.attemptCount = in.number<std::uint32_t>();
    attempts.failures = in.number<std::uint32_t>();
    attempts.lastNumber = in.number<AttemptNumber>();
    attempts.openNumber = in.number<AttemptNumber>();
    attempts.beganAt = in.number<RecordMs>();
    attempts.failedAt = in.number<RecordMs>();
    attempts.mayHaveRunSince = in.number<RecordMs>();
    return attempts;
}

/// Reads the format of an earlier version, which stored whether an attempt is open but not its number.
AttemptHistory::State readAttemptsWithoutNumbers(PayloadReader& in) {
    AttemptHistory::State attempts;
    attempts.attemptCount = attempts.lastNumber = in.number<std::uint32_t>();
    attempts.failures = in.number<std::uint32_t>();
    const bool open = in.number<int>() != 0;
    attempts.mayHaveRunSince = in.number<RecordMs>();
    attempts.beganAt = attempts.failedAt = in.number<RecordMs>();
    if (open) attempts.openNumber = attempts.lastNumber;
    return attempts;
}

/// The content of a record about an attempt or an unsent failure.
struct AttemptRecord {
    std::string id;
    AttemptNumber number = 0;
    RecordMs at = 0;
    AttemptOutcome outcome;
};

AttemptRecord readAttempt(char type, PayloadReader& in) {
    AttemptRecord record;
    record.id = in.text();
    if (type == kAttemptBegun || type == kAttemptNotSent || type == kAttemptOutcome)
        record.number = in.number<AttemptNumber>();
    if (type == kAttemptBegun || type == kAttemptBegunWithoutNumber || type == kUnsentFailure)
        record.at = in.number<RecordMs>();
    if (type == kAttemptOutcome || type == kAttemptOutcomeWithoutNumber) {
        record.outcome.mayHaveRun = in.number<int>() != 0;
        record.outcome.failed = in.number<int>() != 0;
    }
    return record;
}

/// An earlier version wrote a failed connect, for which no attempt was sent, like the outcome of an attempt
/// that did not run. If an attempt was open, the record may mean either, so the attempt counts as one that
/// may have run.
void recordOutcomeWithoutNumber(AttemptHistory& attempts, AttemptOutcome outcome) {
    if (const auto open = attempts.openAttempt()) {
        outcome.mayHaveRun = outcome.mayHaveRun || outcome.failed;
        attempts.recordOutcome(*open, outcome);
    } else if (outcome.failed) {
        attempts.recordUnsentFailure(attempts.state().beganAt);
    }
}

void applyTo(AttemptHistory& attempts, char type, const AttemptRecord& record) {
    switch (type) {
        case kAttemptBegun: return attempts.begin(record.number, record.at);
        case kAttemptNotSent: return void(attempts.attemptNotSent(record.number));
        case kAttemptOutcome: return void(attempts.recordOutcome(record.number, record.outcome));
        case kUnsentFailure: return attempts.recordUnsentFailure(record.at);
        case kAttemptBegunWithoutNumber: return attempts.begin(attempts.nextNumber(), record.at);
        case kAttemptNotSentWithoutNumber:
            return void(attempts.attemptNotSent(attempts.openAttempt().value_or(0)));
        default: return recordOutcomeWithoutNumber(attempts, record.outcome);
    }
}

}  // namespace

/// Applies a record, just written or read back, to the live records.
void Journal::apply(std::string_view payload) {
    const char type = payload[0];
    PayloadReader in(payload.substr(1));
    bool valid = false;
    switch (type) {
        case kAccepted:
        case kAcceptedWithoutNumbers:
        case kAcceptedByPosition: valid = applyAccepted(type, in); break;
        case kAttemptBegun:
        case kAttemptNotSent:
        case kAttemptOutcome:
        case kUnsentFailure:
        case kAttemptBegunWithoutNumber:
        case kAttemptNotSentWithoutNumber:
        case kAttemptOutcomeWithoutNumber: valid = applyAttempt(type, in); break;
        case kRemoved:
        case kFinalState:
        case kNoticeAcknowledged: valid = applyEnd(type, in); break;
        case kEndedIds: valid = applyEndedIds(in); break;
        default: break;
    }
    if (!valid) log::error() << "journal: skipped a record of unknown type or malformed content";
}

bool Journal::applyAccepted(char type, PayloadReader& in) {
    LiveRecord live;
    StoredMessage& m = live.message;
    m.id = in.text();
    m.key = in.text();
    m.destination = in.number<std::uint64_t>();
    if (type == kAcceptedByPosition) {
        const auto position = in.number<std::uint64_t>();
        m.messageClass = valueAt(positions_.messageClasses, position);
        m.effect = valueAt(positions_.effects, position);
        m.tenant = valueAt(positions_.tenants, in.number<std::uint64_t>());
        hasLegacyPositions_ = true;
    } else {
        m.messageClass = in.text();
        m.tenant = in.text();
        m.effect = in.number<int>();
    }
    m.deadline = in.number<RecordMs>();
    m.attempts = AttemptHistory(type == kAccepted ? readAttempts(in) : readAttemptsWithoutNumbers(in));
    m.body = std::make_shared<const std::string>(in.text());
    if (!in.complete()) return false;
    finished_.erase(m.id);
    insertLive(std::move(live));
    return true;
}

bool Journal::applyAttempt(char type, PayloadReader& in) {
    const auto record = readAttempt(type, in);
    if (!in.complete()) return false;
    if (StoredMessage* found = findMessage(record.id)) applyTo(found->attempts, type, record);
    return true;
}

bool Journal::applyEnd(char type, PayloadReader& in) {
    LiveRecord live;
    live.ended = true;
    live.notice.id = in.text();
    if (type == kFinalState) {
        live.notice.finalState = in.number<int>() == 0 ? FinalState::failed : FinalState::returned;
        live.notice.retryAfterMs = in.number<std::int64_t>();
    }
    if (!in.complete()) return false;
    if (const StoredMessage* message = findMessage(live.notice.id)) {
        if (type == kFinalState) rememberEnded(*message, live.notice);
        if (type == kRemoved) rememberRemoved(*message);
    }
    if (type == kFinalState) insertLive(std::move(live));
    else eraseLive(live.notice.id);
    return true;
}

namespace {

constexpr int kHexadecimal = 16;
constexpr int kStrictestEffect = 2;  // must not be repeated

FinishedMessage finishedFrom(const StoredMessage& message, MessageEnd end) {
    const bool stored = message.deadline == kFinishedDeadline;
    return {message.id, end, message.effect,
            stored ? std::strtoull(message.key.c_str(), nullptr, kHexadecimal) : contentDigest(message), 0};
}

std::string hexadecimal(std::uint64_t value) {
    char text[2 * sizeof value + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

}  // namespace

/// A message is removed with its attempt open if that delivered it. One that was never sent leaves nothing
/// that a repeat could do twice.
void Journal::rememberRemoved(const StoredMessage& message) {
    if (message.attempts.openAttempt()) remember(finishedFrom(message, MessageEnd::delivered));
    else if (message.attempts.mayHaveRunSince()) remember(finishedFrom(message, MessageEnd::abandoned));
}

void Journal::rememberEnded(const StoredMessage& message, const PendingNotice& notice) {
    const bool failed = notice.finalState == FinalState::failed;
    auto finished = finishedFrom(message, failed ? MessageEnd::failed : MessageEnd::returned);
    finished.retryAfterMs = notice.retryAfterMs;
    remember(std::move(finished));
}

/// What may be repeated at any time needs no fingerprint. A record that a restart reads may have its own.
void Journal::remember(FinishedMessage finished) {
    const bool mayBeRepeated = finished.effect == 0;
    const bool known = recovering_ && endedIds_.find(finished.id);
    if (!mayBeRepeated && !known) endedIds_.add(EndedId(finished.id, finished.end, finished.contentDigest));
    finished_.add(std::move(finished));
}

std::optional<KnownEnd> Journal::findEnd(const std::string& id) const {
    if (const auto* finished = finished_.find(id))
        return KnownEnd{finished->end, finished->effect, finished->retryAfterMs, finished->contentDigest,
                        ~std::uint64_t{0}};
    const auto ended = endedIds_.find(id);
    if (!ended) return {};
    return KnownEnd{ended->end(), kStrictestEffect, 0, ended->content(), EndedId::kContentMask};
}

std::size_t Journal::endedIdCapacity() const {
    return endedIds_.maxSegments() > 0 ? endedIds_.maxSegments() * EndedIdSegment::kEntries
                                       : maxRecentEndedIds(budgetBytes_);
}

/// Moves the fingerprints of ended messages to files, the oldest first. Returns false if a file could not be
/// written: what is not in one is still in the journal.
bool Journal::sealEndedIds() {
    while (endedIds_.maxSegments() > 0 && endedIds_.canSeal()) {
        if (endedIds_.segments() >= endedIds_.maxSegments()) {
            if (!endedIdFiles_.removeOldest()) return false;
            endedIds_.dropOldestSegment();
            log::warning() << "journal: forgot the " << EndedIdSegment::kEntries << " ids that ended first";
        }
        auto segment = endedIds_.seal();
        if (!endedIdFiles_.write(segment)) return false;
        endedIds_.keep(std::move(segment));
    }
    return true;
}

std::string Journal::encodeEndedIds() const {
    PayloadWriter out(kEndedIds);
    for (const auto& entry : endedIds_.recent()) out.number(entry.value());
    return out.finish();
}

/// A segment may have been written before its compaction failed: its entries are in both.
bool Journal::applyEndedIds(PayloadReader& in) {
    while (!in.complete()) {
        const EndedId entry(in.number<std::uint64_t>());
        if (in.failed()) return false;
        if (!endedIds_.isSealed(entry)) endedIds_.add(entry);
    }
    return true;
}

std::uint64_t Journal::keptBytes() const {
    return liveBytes_ + kHeaderBytes + 1 + endedIds_.recent().size() * kEndedIdBytes;
}

/// There is always room for one more file of fingerprints.
std::uint64_t Journal::logBudgetBytes() const {
    const auto segments = endedIds_.maxSegments() > 0 ? endedIds_.segments() + 1 : 0;
    return budgetBytes_ - std::min(budgetBytes_, segments * EndedIdFiles::kFileBytes);
}

/// The frames of its acceptance and its end.
std::string Journal::encodeFinished(const FinishedMessage& finished) {
    LiveRecord accepted;
    StoredMessage& message = accepted.message;
    message.id = finished.id;
    message.key = hexadecimal(finished.contentDigest);
    message.effect = finished.effect;
    message.deadline = kFinishedDeadline;
    message.body = std::make_shared<const std::string>();
    const AttemptNumber number = message.attempts.nextNumber();
    message.attempts.begin(number, kFinishedAttemptAt);
    if (finished.end == MessageEnd::abandoned) message.attempts.recordOutcome(number, {true, false});
    auto frames = encodeFrame(kRecordMagic, encode(accepted));
    if (finished.end == MessageEnd::delivered || finished.end == MessageEnd::abandoned)
        return frames + encodeFrame(kRecordMagic, PayloadWriter(kRemoved).text(finished.id).finish());
    LiveRecord ended;
    ended.ended = true;
    const auto state = finished.end == MessageEnd::failed ? FinalState::failed : FinalState::returned;
    ended.notice = {finished.id, state, finished.retryAfterMs};
    return frames + encodeFrame(kRecordMagic, encode(ended)) +
           encodeFrame(kRecordMagic, PayloadWriter(kNoticeAcknowledged).text(finished.id).finish());
}

StoredMessage* Journal::findMessage(const std::string& id) {
    const auto it = liveById_.find(id);
    return it == liveById_.end() || it->second->ended ? nullptr : &it->second->message;
}

bool Journal::isOpenAttempt(const std::string& id, AttemptNumber attempt) {
    const StoredMessage* found = findMessage(id);
    return found && found->attempts.openAttempt() == attempt;
}

/// Writes and applies the record of a request. Returns false, with nothing changed, if it can't be written
/// now.
bool Journal::tryAppend(std::string_view payload) {
    if (!writeUnwritten() || !write(payload)) return false;
    apply(payload);
    return true;
}

/// Applies the record of an event at once and writes it as soon as possible.
void Journal::appendOrQueue(std::string payload) {
    apply(payload);
    unwritten_.push_back(std::move(payload));
    writeUnwritten();
}

bool Journal::flush() { return writeUnwritten(); }

// Waiting records are written before any new one: out of order, the start of an attempt would precede the
// outcome of the attempt before it.
bool Journal::writeUnwritten() {
    while (!unwritten_.empty()) {
        if (!write(unwritten_.front())) return false;
        if (!unwritten_.empty()) unwritten_.pop_front();  // unless a compaction wrote them all
    }
    return true;
}

/// Writes one record at the end of the file.
bool Journal::write(std::string_view payload) {
    const std::string bytes = encodeFrame(kRecordMagic, payload);
    const bool wasQueued = !unwritten_.empty();
    if (!makeRoom(bytes.size())) return false;
    if (wasQueued && unwritten_.empty()) return true;  // the compaction wrote it
    if (!writeAll(file_.get(), bytes)) {
        reportFailure("write");
        tornTail_ = true;
        truncateTornTail();
        return false;
    }
    if (std::exchange(writesFail_, false)) log::info() << "journal: writes succeed again";
    fileBytes_ += bytes.size();
    return true;
}

/// Returns true if the file is open, ends with a complete record, and has room for a record of `bytes` bytes.
bool Journal::makeRoom(std::size_t bytes) {
    if (!file_ && !(openFile() && file_)) {
        reportFailure("open");
        return false;
    }
    // A record after a torn one would make all messages before it look as if they may have run, as after
    // damage. So either the torn record is cut off or a compacted file replaces this one.
    if (!truncateTornTail() && !compact()) return false;
    // Room for the file, a compacted copy beside it, and this record in both.
    const auto kept = keptBytes();
    const bool full = fileBytes_ + kept + 2 * bytes > logBudgetBytes() && fileBytes_ > kept;
    // The platform counts the folder as memory, so finished messages are not kept until the budget is used
    // up.
    if (full || fileBytes_ > kept + kMaxStaleBytes) compact(!full);
    return fileBytes_ + bytes <= logBudgetBytes();
}

/// Returns false while bytes of a failed write still follow the last complete record.
bool Journal::truncateTornTail() {
    if (!tornTail_ || !file_) return !tornTail_;
    int result = 0;
    do {
        result = ftruncate(file_.get(), static_cast<off_t>(fileBytes_));
    } while (result != 0 && errno == EINTR);
    if (result != 0) return false;
    tornTail_ = false;
    return true;
}

/// Counts a failure. Logs only the first in a row, not one for each record.
void Journal::reportFailure(const char* what) {
    static auto& failures = metrics::counter("journal_failures_total");
    failures.add();
    if (!std::exchange(writesFail_, true))
        log::error() << "journal: can't " << what << ": " << std::strerror(errno);
}

/// Replaces the file by one of the live records, which include everything in unwritten_, and of messages that
/// finished last if there is room for them. After a failure it
/// does nothing for kCompactionRetryPause: a compaction may take long, and every record may ask for one.
bool Journal::compact(bool withFinished) {
    const auto now = std::chrono::steady_clock::now();
    if (now < nextCompactionAt_) return false;
    if (!sealEndedIds()) {
        reportFailure("write ended ids");
        nextCompactionAt_ = now + kCompactionRetryPause;
        return false;
    }
    const std::string copyPath = path_ + ".new";
    net::Fd file(open(copyPath.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    std::uint64_t size = 0;
    bool good = static_cast<bool>(file);
    // Before the finished messages, whose fingerprints are not added again then.
    if (good && !endedIds_.recent().empty()) {
        const auto bytes = encodeFrame(kRecordMagic, encodeEndedIds());
        good = writeAll(file.get(), bytes);
        size += bytes.size();
    }
    for (const auto& live : liveRecords_) {
        if (!good) break;
        const auto bytes = encodeFrame(kRecordMagic, encode(live));
        good = writeAll(file.get(), bytes);
        size += bytes.size();
    }
    for (const auto& finished : finished_.latest(withFinished ? kMaxStoredFinished : 0)) {
        // One whose notice is pending is among the live records.
        if (!good || liveById_.count(finished.id)) continue;
        const auto bytes = encodeFinished(finished);
        good = writeAll(file.get(), bytes);
        size += bytes.size();
    }
    if (!good || rename(copyPath.c_str(), path_.c_str()) != 0) {
        reportFailure("compact");
        unlink(copyPath.c_str());
        nextCompactionAt_ = now + kCompactionRetryPause;
        return false;
    }
    log::debug() << "journal: compacted " << fileBytes_ << " to " << size << " bytes";
    file_ = std::move(file);
    fileBytes_ = size;
    tornTail_ = false;
    unwritten_.clear();
    return true;
}

bool Journal::accept(const StoredMessage& message) {
    // An id whose notice is still pending must not be reused: both messages would share one record, and the
    // acknowledgement of the first one's notice would remove the second message.
    if (liveById_.count(message.id)) return false;
    LiveRecord live;
    live.message = message;
    const auto payload = encode(live);
    // The live records must fit twice, or no compaction would ever be possible again.
    if (payload.size() > kMaxPayloadBytes ||
        2 * (keptBytes() + kHeaderBytes + payload.size() + kReservedBytesPerMessage) > logBudgetBytes())
        return false;
    if (!tryAppend(payload)) return false;
    liveById_.at(message.id)->message.body = message.body;  // not a second copy
    return true;
}

std::optional<AttemptNumber> Journal::beginAttempt(const std::string& id, RecordMs at) {
    const StoredMessage* found = findMessage(id);
    if (!found) return {};
    const auto number = found->attempts.nextNumber();
    if (!tryAppend(PayloadWriter(kAttemptBegun).text(id).number(number).number(at).finish())) return {};
    return number;
}

bool Journal::attemptNotSent(const std::string& id, AttemptNumber attempt) {
    if (!isOpenAttempt(id, attempt)) return false;
    appendOrQueue(PayloadWriter(kAttemptNotSent).text(id).number(attempt).finish());
    return true;
}

bool Journal::recordOutcome(const std::string& id, AttemptNumber attempt, AttemptOutcome outcome) {
    if (!isOpenAttempt(id, attempt)) return false;
    appendOrQueue(PayloadWriter(kAttemptOutcome)
                      .text(id)
                      .number(attempt)
                      .number(outcome.mayHaveRun)
                      .number(outcome.failed)
                      .finish());
    return true;
}

bool Journal::recordUnsentFailure(const std::string& id, RecordMs at) {
    if (!findMessage(id)) return false;
    appendOrQueue(PayloadWriter(kUnsentFailure).text(id).number(at).finish());
    return true;
}

bool Journal::remove(const std::string& id) {
    if (!findMessage(id)) return false;
    appendOrQueue(PayloadWriter(kRemoved).text(id).finish());
    return true;
}

bool Journal::recordFinalState(const PendingNotice& notice) {
    if (!findMessage(notice.id)) return false;
    LiveRecord live;
    live.ended = true;
    live.notice = notice;
    appendOrQueue(encode(live));
    return true;
}

bool Journal::noticeAcknowledged(const std::string& id) {
    if (findMessage(id)) return false;  // it has not ended
    if (liveById_.count(id)) appendOrQueue(PayloadWriter(kNoticeAcknowledged).text(id).finish());
    return true;
}

}  // namespace laurelhaven::store
