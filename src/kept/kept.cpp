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
constexpr std::uint64_t kBlockBytes = 512;  // files count in whole blocks
// A read may fail for a moment; what it would cost is the memory of what has drained.
constexpr int kMaxReadAttempts = 50;
constexpr std::chrono::milliseconds kReadRetryPause{20};
constexpr RecordMs kMaxClockCorrectionMs = 5000;  // a clock may be corrected by so much without a word

enum RecordType : char {
    kHeader = 'V',
    kEntry = 'E',
    kRemoval = 'R',
    kListState = 'M',
    kDestinationHealth = 'S'
};

double finite(double value) { return std::isfinite(value) ? value : 0; }

bool readEntry(PayloadReader& in, membership::Entry& e) {
    e.endpoint.name = in.text();
    e.endpoint.address = in.text();
    e.endpoint.zone = in.text();
    e.endpoint.type = in.text();
    e.endpoint.destination = in.number<std::uint64_t>();
    const auto status = in.number<std::uint64_t>();
    e.endpoint.weight = finite(in.real());
    e.endpoint.startedAtMs = in.number<std::int64_t>();
    e.index = in.number<std::uint64_t>();
    e.firstListedAt = in.number<RecordMs>();
    e.confirmedAt = in.number<RecordMs>();
    const auto by = in.number<std::uint64_t>();
    const auto against = in.number<std::uint64_t>();
    e.refutedAt = in.number<RecordMs>();
    e.suspended = in.number<std::uint64_t>() == 1;
    e.deliveries = std::max(0.0, finite(in.real()));
    if (!in.complete() || e.endpoint.name.empty() || status > 2 || by > 3 || against > 6) return false;
    e.endpoint.status = static_cast<listing::Status>(status);
    e.confirmedBy = static_cast<ConfirmationSource>(by);
    e.refutation = static_cast<RefutationReason>(against);
    if (e.refutation == RefutationReason::none) e.suspended = false;
    // What went need not have an address; whatever may be called must.
    return e.refutation != RefutationReason::none || net::address(e.endpoint.address).has_value();
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
std::string encode(const membership::Entry& e) {
    return store::encodeFrame(kRecordMagic, PayloadWriter(kEntry)
                                                .text(e.endpoint.name)
                                                .text(e.endpoint.address)
                                                .text(e.endpoint.zone)
                                                .text(e.endpoint.type)
                                                .number(e.endpoint.destination)
                                                .number(static_cast<int>(e.endpoint.status))
                                                .real(e.endpoint.weight)
                                                .number(e.endpoint.startedAtMs)
                                                .number(e.index)
                                                .number(e.firstListedAt)
                                                .number(e.confirmedAt)
                                                .number(static_cast<int>(e.confirmedBy))
                                                .number(static_cast<int>(e.refutation))
                                                .number(e.refutedAt)
                                                .number(e.suspended)
                                                .real(e.deliveries)
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
std::string encode(const DestinationHealth& s) {
    return store::encodeFrame(kRecordMagic, PayloadWriter(kDestinationHealth)
                                                .number(s.destination)
                                                .number(s.down)
                                                .number(s.recoveredAt)
                                                .number(s.lastOutageAt)
                                                .real(s.rateLimit)
                                                .finish());
}

LoadResult parse(std::string_view bytes, const std::string& sender, RecordMs now) {
    LoadResult made;
    made.bytes = bytes.size();
    if (bytes.empty()) return made;
    SavedEndpointList image;
    bool headed = false, refused = false, odd = false;
    const auto take = [&](std::string_view payload) {
        if (refused) return;
        PayloadReader in(payload.substr(1));
        if (!headed) {
            const auto version = in.number<std::uint64_t>();
            if (payload[0] != kHeader || version == 0) {
                made.state = FileState::foreign;
                made.problem = "it does not begin with a header of this program";
                refused = true;
                return;
            }
            if (version > kFormatVersion) {
                made.state = FileState::newer;
                made.problem = "its format is version " + std::to_string(version) +
                               ", and this program reads " + std::to_string(kFormatVersion);
                refused = true;
                return;
            }
            image.sender = in.text();
            image.writtenAt = in.number<RecordMs>();
            headed = in.complete();
            if (headed && (sender.empty() || image.sender == sender)) return;
            made.state = FileState::foreign;
            made.problem = headed ? "it is the list of the sender '" + image.sender.substr(0, 80) + "'"
                                  : "its header can't be read";
            refused = true;
            return;
        }
        switch (payload[0]) {
            case kEntry: {
                membership::Entry e;
                if (!readEntry(in, e)) break;
                image.writtenAt = std::max(image.writtenAt, std::max(e.confirmedAt, e.refutedAt));
                auto id = e.endpoint.name;
                image.entries.insert_or_assign(std::move(id), std::move(e));
                return;
            }
            case kRemoval: {
                const auto id = in.text();
                if (!in.complete()) break;
                image.entries.erase(id);
                return;
            }
            case kListState: {
                const auto index = in.number<std::uint64_t>(), epoch = in.number<std::uint64_t>();
                const auto seconds = in.real(), changes = in.real();
                const auto at = in.number<RecordMs>();
                if (!in.complete()) break;
                image.index = index;
                image.epoch = epoch;
                image.churn.restore(seconds, changes);
                image.writtenAt = std::max(image.writtenAt, at);
                // Discovery stood by all of them at that moment.
                for (auto& [id, e] : image.entries) {
                    if (e.refutation != RefutationReason::none || e.confirmedAt >= at) continue;
                    e.confirmedAt = at;
                    e.confirmedBy = ConfirmationSource::discovery;
                }
                return;
            }
            case kDestinationHealth: {
                DestinationHealth s;
                s.destination = in.number<std::uint64_t>();
                s.down = in.number<std::uint64_t>() == 1;
                s.recoveredAt = in.number<RecordMs>();
                s.lastOutageAt = in.number<RecordMs>();
                s.rateLimit = std::max(0.0, finite(in.real()));
                if (!in.complete()) break;
                image.destinationHealth[s.destination] = s;
                return;
            }
            default: break;
        }
        odd = true;
    };
    const auto found = store::scanFrames(bytes, kRecordMagic, kMaxPayloadBytes, take);
    made.records = found.recordCount;
    if (refused) return made;
    if (found.recordCount == 0) {
        made.state = FileState::foreign;
        made.problem = "no record of this program is in it";
        return made;
    }
    made.list = std::move(image);
    made.writtenInFuture = made.list.writtenAt > now + kMaxClockCorrectionMs;
    if (found.damagedBytes > 0 || odd) {
        made.state = FileState::damaged;
        made.problem = odd ? "a record of no known form is in it"
                           : std::to_string(found.damagedBytes) + " bytes of it are damaged";
    } else if (found.validBytes < bytes.size()) {
        made.state = FileState::torn;
        made.problem =
            std::to_string(bytes.size() - found.validBytes) + " bytes at its end are not a whole record";
    } else {
        made.state = FileState::good;
    }
    return made;
}

std::uint64_t listBudgetBytes(std::uint64_t diskBytes, double part) {
    const auto bytes = static_cast<std::uint64_t>(static_cast<double>(diskBytes) * part);
    return bytes / (2 * kBlockBytes) * (2 * kBlockBytes);
}

SavedEndpointListFile::SavedEndpointListFile(const std::string& folder, std::uint64_t budget,
                                             std::string sender)
    : path_(folder + "/endpoints.list"), sender_(std::move(sender)), maxBytes_(budget / 2) {
    // A copy that was not finished when the process died: the old file still holds everything.
    unlink((path_ + ".new").c_str());
}

LoadResult SavedEndpointListFile::load(RecordMs now) {
    LoadResult made;
    net::Fd fd;
    for (int tries = 0; !fd && tries < kMaxReadAttempts; ++tries) {
        if (tries > 0) std::this_thread::sleep_for(kReadRetryPause);
        fd = net::Fd(open(path_.c_str(), O_RDONLY | O_CLOEXEC));
        if (!fd && errno == ENOENT) break;
    }
    if (!fd) {
        if (errno != ENOENT) {
            made.state = FileState::damaged;
            made.problem = std::string("it can't be opened: ") + std::strerror(errno);
        }
        return made;
    }
    // Danger: whatever lies there may be of any size, and memory is small.
    auto file = store::readAll(fd.get(), maxBytes_ + 1);
    for (int tries = 1; !file.complete && tries < kMaxReadAttempts; ++tries) {
        std::this_thread::sleep_for(kReadRetryPause);
        if (lseek(fd.get(), 0, SEEK_SET) == 0) file = store::readAll(fd.get(), maxBytes_ + 1);
    }
    const auto& bytes = file.text;
    made = parse(std::string_view(bytes).substr(0, maxBytes_), sender_, now);
    if (!file.complete && made.state == FileState::good) {
        made.state = FileState::torn;
        made.problem = std::string("it can't be read to its end: ") + std::strerror(errno);
    }
    if (bytes.size() > maxBytes_) {
        made.state = FileState::oversized;
        made.problem = "it is larger than the " + std::to_string(maxBytes_) + " bytes that it may have";
    }
    return made;
}

bool SavedEndpointListFile::append(std::string_view records) {
    if (!fd_ || fileBytes_ + records.size() > maxBytes_) return false;
    if (!store::writeAll(fd_.get(), records)) {
        log::error() << "kept list: can't write: " << std::strerror(errno);
        // Danger: half a record in the middle would cost what is written behind it some bytes; cut it off.
        if (ftruncate(fd_.get(), static_cast<off_t>(fileBytes_)) != 0) fd_.reset();
        return false;
    }
    fileBytes_ += records.size();
    return true;
}

bool SavedEndpointListFile::replace(const std::vector<std::string>& records, const std::string& last,
                                    RecordMs now, std::size_t& left) {
    const auto fresh = path_ + ".new";
    net::Fd file(open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    std::string text = encodeHeader(sender_, now);
    bool good = static_cast<bool>(file);
    std::uint64_t size = 0;
    left = 0;
    // A quarter stays free, or the next change would have to write it all anew.
    const auto room = maxBytes_ - maxBytes_ / 4 - last.size();
    const auto flush = [&] {
        good = good && store::writeAll(file.get(), text);
        size += text.size();
        text.clear();
    };
    for (const auto& one : records) {
        if (size + text.size() + one.size() > room) {
            ++left;
            continue;
        }
        text += one;
        if (text.size() > 64 * 1024) flush();
    }
    text += last;
    flush();
    if (!good || rename(fresh.c_str(), path_.c_str()) != 0) {
        log::error() << "kept list: can't write it anew: " << std::strerror(errno);
        unlink(fresh.c_str());
        return false;
    }
    fd_ = std::move(file);
    fileBytes_ = bytesAfterRewrite_ = size;
    return true;
}

}  // namespace laurelhaven::kept
