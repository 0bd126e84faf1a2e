#include "kept/kept.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <thread>

#include "log/log.hpp"
#include "store/frame.hpp"

namespace laurelhaven::kept {
namespace {

using store::PayloadReader;
using store::PayloadWriter;
using trust::ConfirmationSource;
using trust::RefutationReason;

constexpr std::string_view kRecordMagic = "LHK1";
constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxPayloadBytes = 4096;
constexpr std::uint64_t kBlockBytes = 512;  // disk usage counts in whole blocks
// A read may fail temporarily; giving up would lose the record of which endpoints have drained.
constexpr int kMaxReadAttempts = 50;
constexpr std::chrono::milliseconds kReadRetryPause{20};
constexpr RecordMs kMaxClockCorrectionMs = 5000;  // clock steps of at most this size are not reported

enum RecordType : char {
    kHeader = 'V',
    kEntry = 'E',
    kRemoval = 'R',
    kListState = 'M',
    kDestinationHealth = 'S'
};

double finite(double value) { return std::isfinite(value) ? value : 0; }

/// Reads an entry. Returns false if it is malformed.
bool readEntry(PayloadReader& in, membership::Entry& entry) {
    entry.endpoint.name = in.text();
    entry.endpoint.address = in.text();
    entry.endpoint.zone = in.text();
    entry.endpoint.type = in.text();
    entry.endpoint.destination = in.number<std::uint64_t>();
    const auto status = in.number<std::uint64_t>();
    entry.endpoint.weight = finite(in.real());
    entry.endpoint.startedAtMs = in.number<std::int64_t>();
    entry.index = in.number<std::uint64_t>();
    entry.firstListedAt = in.number<RecordMs>();
    entry.confirmedAt = in.number<RecordMs>();
    const auto confirmedBy = in.number<std::uint64_t>();
    const auto refutation = in.number<std::uint64_t>();
    entry.refutedAt = in.number<RecordMs>();
    entry.suspended = in.number<std::uint64_t>() == 1;
    entry.deliveries = std::max(0.0, finite(in.real()));
    if (!in.complete() || entry.endpoint.name.empty() || status > 2 || confirmedBy > 3 || refutation > 6)
        return false;
    entry.endpoint.status = static_cast<listing::Status>(status);
    entry.confirmedBy = static_cast<ConfirmationSource>(confirmedBy);
    entry.refutation = static_cast<RefutationReason>(refutation);
    if (entry.refutation == RefutationReason::none) entry.suspended = false;
    // A tombstone needs no address; an endpoint that may get requests does.
    return entry.refutation != RefutationReason::none ||
           net::parseAddress(entry.endpoint.address).has_value();
}

}  // namespace

const char* name(FileState state) {
    constexpr const char* kNames[] = {"good", "absent", "torn", "damaged", "foreign", "newer", "oversized"};
    return kNames[static_cast<int>(state)];
}

std::string encodeHeader(const std::string& sender, RecordMs now) {
    return store::encodeFrame(
        kRecordMagic, PayloadWriter(kHeader).number(kFormatVersion).text(sender).number(now).finish());
}
std::string encode(const membership::Entry& entry) {
    return store::encodeFrame(kRecordMagic, PayloadWriter(kEntry)
                                                .text(entry.endpoint.name)
                                                .text(entry.endpoint.address)
                                                .text(entry.endpoint.zone)
                                                .text(entry.endpoint.type)
                                                .number(entry.endpoint.destination)
                                                .number(static_cast<int>(entry.endpoint.status))
                                                .real(entry.endpoint.weight)
                                                .number(entry.endpoint.startedAtMs)
                                                .number(entry.index)
                                                .number(entry.firstListedAt)
                                                .number(entry.confirmedAt)
                                                .number(static_cast<int>(entry.confirmedBy))
                                                .number(static_cast<int>(entry.refutation))
                                                .number(entry.refutedAt)
                                                .number(entry.suspended)
                                                .real(entry.deliveries)
                                                .finish());
}
std::string encodeRemoval(const std::string& endpoint) {
    return store::encodeFrame(kRecordMagic, PayloadWriter(kRemoval).text(endpoint).finish());
}
std::string encodeListState(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn,
                            RecordMs now) {
    return store::encodeFrame(kRecordMagic, PayloadWriter(kListState)
                                                .number(index)
                                                .number(epoch)
                                                .real(churn.entrySeconds())
                                                .real(churn.changes())
                                                .number(now)
                                                .finish());
}
std::string encode(const DestinationHealth& health) {
    return store::encodeFrame(kRecordMagic, PayloadWriter(kDestinationHealth)
                                                .number(health.destination)
                                                .number(health.down)
                                                .number(health.recoveredAt)
                                                .number(health.lastOutageAt)
                                                .real(health.rateLimit)
                                                .finish());
}

LoadResult parse(std::string_view bytes, const std::string& sender, RecordMs now) {
    LoadResult result;
    result.bytes = bytes.size();
    if (bytes.empty()) return result;
    SavedEndpointList list;
    bool headerRead = false, rejected = false, malformed = false;
    const auto handle = [&](std::string_view payload) {
        if (rejected) return;
        PayloadReader in(payload.substr(1));
        if (!headerRead) {
            const auto version = in.number<std::uint64_t>();
            if (payload[0] != kHeader || version == 0) {
                result.state = FileState::foreign;
                result.problem = "it does not begin with a header of this program";
                rejected = true;
                return;
            }
            if (version > kFormatVersion) {
                result.state = FileState::newer;
                result.problem = "its format is version " + std::to_string(version) +
                                 ", and this program reads " + std::to_string(kFormatVersion);
                rejected = true;
                return;
            }
            list.sender = in.text();
            list.writtenAt = in.number<RecordMs>();
            headerRead = in.complete();
            if (headerRead && (sender.empty() || list.sender == sender)) return;
            result.state = FileState::foreign;
            result.problem = headerRead ? "it is the list of the sender '" + list.sender.substr(0, 80) + "'"
                                        : "its header can't be read";
            rejected = true;
            return;
        }
        switch (payload[0]) {
            case kEntry: {
                membership::Entry entry;
                if (!readEntry(in, entry)) break;
                list.writtenAt = std::max(list.writtenAt, std::max(entry.confirmedAt, entry.refutedAt));
                auto id = entry.endpoint.name;
                list.entries.insert_or_assign(std::move(id), std::move(entry));
                return;
            }
            case kRemoval: {
                const auto id = in.text();
                if (!in.complete()) break;
                list.entries.erase(id);
                return;
            }
            case kListState: {
                const auto index = in.number<std::uint64_t>(), epoch = in.number<std::uint64_t>();
                const auto seconds = in.real(), changes = in.real();
                const auto at = in.number<RecordMs>();
                if (!in.complete()) break;
                list.index = index;
                list.epoch = epoch;
                list.churn.restore(seconds, changes);
                list.writtenAt = std::max(list.writtenAt, at);
                // At that time discovery confirmed all endpoints in service.
                for (auto& [id, entry] : list.entries) {
                    if (entry.refutation != RefutationReason::none || entry.confirmedAt >= at) continue;
                    entry.confirmedAt = at;
                    entry.confirmedBy = ConfirmationSource::discovery;
                }
                return;
            }
            case kDestinationHealth: {
                DestinationHealth health;
                health.destination = in.number<std::uint64_t>();
                health.down = in.number<std::uint64_t>() == 1;
                health.recoveredAt = in.number<RecordMs>();
                health.lastOutageAt = in.number<RecordMs>();
                health.rateLimit = std::max(0.0, finite(in.real()));
                if (!in.complete()) break;
                list.destinationHealth[health.destination] = health;
                return;
            }
            default: break;
        }
        malformed = true;
    };
    const auto found = store::scanFrames(bytes, kRecordMagic, kMaxPayloadBytes, handle);
    result.records = found.recordCount;
    if (rejected) return result;
    if (found.recordCount == 0) {
        result.state = FileState::foreign;
        result.problem = "no record of this program is in it";
        return result;
    }
    result.list = std::move(list);
    result.writtenInFuture = result.list.writtenAt > now + kMaxClockCorrectionMs;
    if (found.damagedBytes > 0 || malformed) {
        result.state = FileState::damaged;
        result.problem = malformed ? "a record of no known form is in it"
                                   : std::to_string(found.damagedBytes) + " bytes of it are damaged";
    } else if (found.validBytes < bytes.size()) {
        result.state = FileState::torn;
        result.problem =
            std::to_string(bytes.size() - found.validBytes) + " bytes at its end are not a whole record";
    } else {
        result.state = FileState::good;
    }
    return result;
}

std::uint64_t listBudgetBytes(std::uint64_t diskBytes, double share) {
    const auto bytes = static_cast<std::uint64_t>(static_cast<double>(diskBytes) * share);
    return bytes / (2 * kBlockBytes) * (2 * kBlockBytes);
}

SavedEndpointListFile::SavedEndpointListFile(const std::string& folder, std::uint64_t budget,
                                             std::string sender)
    : path_(folder + "/endpoints.list"), sender_(std::move(sender)), maxBytes_(budget / 2) {
    // A copy that was incomplete when the process died: the old file still has everything.
    unlink((path_ + ".new").c_str());
}

LoadResult SavedEndpointListFile::load(RecordMs now) {
    LoadResult result;
    net::Fd fd;
    for (int attempt = 0; !fd && attempt < kMaxReadAttempts; ++attempt) {
        if (attempt > 0) std::this_thread::sleep_for(kReadRetryPause);
        fd = net::Fd(open(path_.c_str(), O_RDONLY | O_CLOEXEC));
        if (!fd && errno == ENOENT) break;
    }
    if (!fd) {
        if (errno != ENOENT) {
            result.state = FileState::damaged;
            result.problem = std::string("it can't be opened: ") + std::strerror(errno);
        }
        return result;
    }
    // The file may have any size, while memory is limited: read one byte past the budget at most.
    auto file = store::readAll(fd.get(), maxBytes_ + 1);
    for (int attempt = 1; !file.complete && attempt < kMaxReadAttempts; ++attempt) {
        std::this_thread::sleep_for(kReadRetryPause);
        if (lseek(fd.get(), 0, SEEK_SET) == 0) file = store::readAll(fd.get(), maxBytes_ + 1);
    }
    const auto& bytes = file.text;
    result = parse(std::string_view(bytes).substr(0, maxBytes_), sender_, now);
    if (!file.complete && result.state == FileState::good) {
        result.state = FileState::torn;
        result.problem = std::string("it can't be read to its end: ") + std::strerror(errno);
    }
    if (bytes.size() > maxBytes_) {
        result.state = FileState::oversized;
        result.problem = "it is larger than the " + std::to_string(maxBytes_) + " bytes that it may have";
    }
    return result;
}

bool SavedEndpointListFile::append(std::string_view records) {
    if (!fd_ || fileBytes_ + records.size() > maxBytes_) return false;
    if (!store::writeAll(fd_.get(), records)) {
        log::error() << "kept list: can't append: " << std::strerror(errno);
        // Cut off a torn record, or it would damage what is written after it.
        if (ftruncate(fd_.get(), static_cast<off_t>(fileBytes_)) != 0) fd_.reset();
        return false;
    }
    fileBytes_ += records.size();
    return true;
}

bool SavedEndpointListFile::replace(const std::vector<std::string>& records, const std::string& last,
                                    RecordMs now, std::size_t& omitted) {
    const auto copyPath = path_ + ".new";
    net::Fd file(open(copyPath.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    std::string buffer = encodeHeader(sender_, now);
    bool ok = static_cast<bool>(file);
    std::uint64_t size = 0;
    omitted = 0;
    // A quarter stays free for appends; otherwise the next change would need another rewrite.
    const auto recordBytesLimit = maxBytes_ - maxBytes_ / 4 - last.size();
    const auto flush = [&] {
        ok = ok && store::writeAll(file.get(), buffer);
        size += buffer.size();
        buffer.clear();
    };
    for (const auto& record : records) {
        if (size + buffer.size() + record.size() > recordBytesLimit) {
            ++omitted;
            continue;
        }
        buffer += record;
        if (buffer.size() > 64 * 1024) flush();
    }
    buffer += last;
    flush();
    if (!ok || rename(copyPath.c_str(), path_.c_str()) != 0) {
        log::error() << "kept list: can't rewrite the file: " << std::strerror(errno);
        unlink(copyPath.c_str());
        return false;
    }
    fd_ = std::move(file);
    fileBytes_ = bytesAfterRewrite_ = size;
    return true;
}

}  // namespace laurelhaven::kept
