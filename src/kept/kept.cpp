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

using store::Reader;
using store::Writer;
using trust::Against;
using trust::Source;

constexpr std::string_view kMark = "LHK1";
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kLongest = 4096;
constexpr std::uint64_t kBlock = 512;  // files count in whole blocks
// A read may fail for a moment; what it would cost is the memory of what has drained.
constexpr int kReadTries = 50;
constexpr std::chrono::milliseconds kReadPause{20};
constexpr RecordMs kAhead = 5000;  // a clock may be corrected by so much without a word

enum Type : char { kHeader = 'V', kEntry = 'E', kRemoved = 'R', kWhole = 'M', kStanding = 'S' };

double finite(double value) { return std::isfinite(value) ? value : 0; }

bool entry(Reader& in, membership::Entry& e) {
    e.is.name = in.text();
    e.is.address = in.text();
    e.is.zone = in.text();
    e.is.type = in.text();
    e.is.group = in.number<std::uint64_t>();
    const auto status = in.number<std::uint64_t>();
    e.is.weight = finite(in.real());
    e.is.sinceMs = in.number<std::int64_t>();
    e.index = in.number<std::uint64_t>();
    e.firstTold = in.number<RecordMs>();
    e.confirmedAt = in.number<RecordMs>();
    const auto by = in.number<std::uint64_t>();
    const auto against = in.number<std::uint64_t>();
    e.againstAt = in.number<RecordMs>();
    e.heldBack = in.number<std::uint64_t>() == 1;
    e.traffic = std::max(0.0, finite(in.real()));
    if (!in.whole() || e.is.name.empty() || status > 2 || by > 3 || against > 6) return false;
    e.is.status = static_cast<listing::Status>(status);
    e.by = static_cast<Source>(by);
    e.against = static_cast<Against>(against);
    if (e.against == Against::nothing) e.heldBack = false;
    // What went need not have an address; whatever may be called must.
    return e.against != Against::nothing || net::address(e.is.address).has_value();
}

}  // namespace

const char* name(State state) {
    constexpr const char* kNames[] = {"good", "absent", "torn", "damaged", "foreign", "newer", "oversized"};
    return kNames[static_cast<int>(state)];
}

std::string header(const std::string& sender, RecordMs now) {
    return store::framed(kMark, Writer(kHeader).number(kVersion).text(sender).number(now).take());
}
std::string record(const membership::Entry& e) {
    return store::framed(kMark, Writer(kEntry)
                                    .text(e.is.name)
                                    .text(e.is.address)
                                    .text(e.is.zone)
                                    .text(e.is.type)
                                    .number(e.is.group)
                                    .number(static_cast<int>(e.is.status))
                                    .real(e.is.weight)
                                    .number(e.is.sinceMs)
                                    .number(e.index)
                                    .number(e.firstTold)
                                    .number(e.confirmedAt)
                                    .number(static_cast<int>(e.by))
                                    .number(static_cast<int>(e.against))
                                    .number(e.againstAt)
                                    .number(e.heldBack)
                                    .real(e.traffic)
                                    .take());
}
std::string removal(const std::string& endpoint) {
    return store::framed(kMark, Writer(kRemoved).text(endpoint).take());
}
std::string mark(std::uint64_t index, std::uint64_t epoch, const trust::Churn& churn, RecordMs now) {
    return store::framed(kMark, Writer(kWhole)
                                    .number(index)
                                    .number(epoch)
                                    .real(churn.entrySeconds())
                                    .real(churn.changes())
                                    .number(now)
                                    .take());
}
std::string record(const Standing& s) {
    return store::framed(kMark, Writer(kStanding)
                                    .number(s.destination)
                                    .number(s.down)
                                    .number(s.coldSince)
                                    .number(s.outageAt)
                                    .real(s.told)
                                    .take());
}

Loaded read(std::string_view bytes, const std::string& sender, RecordMs now) {
    Loaded made;
    made.bytes = bytes.size();
    if (bytes.empty()) return made;
    Image image;
    bool headed = false, refused = false, odd = false;
    const auto take = [&](std::string_view payload) {
        if (refused) return;
        Reader in(payload.substr(1));
        if (!headed) {
            const auto version = in.number<std::uint64_t>();
            if (payload[0] != kHeader || version == 0) {
                made.state = State::foreign;
                made.what = "it does not begin with a header of this program";
                refused = true;
                return;
            }
            if (version > kVersion) {
                made.state = State::newer;
                made.what = "its format is version " + std::to_string(version) + ", and this program reads " +
                            std::to_string(kVersion);
                refused = true;
                return;
            }
            image.sender = in.text();
            image.writtenAt = in.number<RecordMs>();
            headed = in.whole();
            if (headed && (sender.empty() || image.sender == sender)) return;
            made.state = State::foreign;
            made.what = headed ? "it is the list of the sender '" + image.sender.substr(0, 80) + "'"
                               : "its header can't be read";
            refused = true;
            return;
        }
        switch (payload[0]) {
            case kEntry: {
                membership::Entry e;
                if (!entry(in, e)) break;
                image.writtenAt = std::max(image.writtenAt, std::max(e.confirmedAt, e.againstAt));
                auto id = e.is.name;
                image.entries.insert_or_assign(std::move(id), std::move(e));
                return;
            }
            case kRemoved: {
                const auto id = in.text();
                if (!in.whole()) break;
                image.entries.erase(id);
                return;
            }
            case kWhole: {
                const auto index = in.number<std::uint64_t>(), epoch = in.number<std::uint64_t>();
                const auto seconds = in.real(), changes = in.real();
                const auto at = in.number<RecordMs>();
                if (!in.whole()) break;
                image.index = index;
                image.epoch = epoch;
                image.churn.restore(seconds, changes);
                image.writtenAt = std::max(image.writtenAt, at);
                // Discovery stood by all of them at that moment.
                for (auto& [id, e] : image.entries) {
                    if (e.against != Against::nothing || e.confirmedAt >= at) continue;
                    e.confirmedAt = at;
                    e.by = Source::discovery;
                }
                return;
            }
            case kStanding: {
                Standing s;
                s.destination = in.number<std::uint64_t>();
                s.down = in.number<std::uint64_t>() == 1;
                s.coldSince = in.number<RecordMs>();
                s.outageAt = in.number<RecordMs>();
                s.told = std::max(0.0, finite(in.real()));
                if (!in.whole()) break;
                image.standings[s.destination] = s;
                return;
            }
            default: break;
        }
        odd = true;
    };
    const auto found = store::scan(bytes, kMark, kLongest, take);
    made.records = found.records;
    if (refused) return made;
    if (found.records == 0) {
        made.state = State::foreign;
        made.what = "no record of this program is in it";
        return made;
    }
    made.image = std::move(image);
    made.ahead = made.image.writtenAt > now + kAhead;
    if (found.damaged > 0 || odd) {
        made.state = State::damaged;
        made.what = odd ? "a record of no known form is in it"
                        : std::to_string(found.damaged) + " bytes of it are damaged";
    } else if (found.good < bytes.size()) {
        made.state = State::torn;
        made.what = std::to_string(bytes.size() - found.good) + " bytes at its end are not a whole record";
    } else {
        made.state = State::good;
    }
    return made;
}

std::uint64_t share(std::uint64_t diskBytes, double part) {
    const auto bytes = static_cast<std::uint64_t>(static_cast<double>(diskBytes) * part);
    return bytes / (2 * kBlock) * (2 * kBlock);
}

File::File(const std::string& folder, std::uint64_t budget, std::string sender)
    : path_(folder + "/endpoints.list"), sender_(std::move(sender)), most_(budget / 2) {
    // A copy that was not finished when the process died: the old file still holds everything.
    unlink((path_ + ".new").c_str());
}

Loaded File::load(RecordMs now) {
    Loaded made;
    net::Fd fd;
    for (int tries = 0; !fd && tries < kReadTries; ++tries) {
        if (tries > 0) std::this_thread::sleep_for(kReadPause);
        fd = net::Fd(open(path_.c_str(), O_RDONLY | O_CLOEXEC));
        if (!fd && errno == ENOENT) break;
    }
    if (!fd) {
        if (errno != ENOENT) {
            made.state = State::damaged;
            made.what = std::string("it can't be opened: ") + std::strerror(errno);
        }
        return made;
    }
    // Danger: whatever lies there may be of any size, and memory is small.
    auto file = store::readAll(fd.get(), most_ + 1);
    for (int tries = 1; !file.complete && tries < kReadTries; ++tries) {
        std::this_thread::sleep_for(kReadPause);
        if (lseek(fd.get(), 0, SEEK_SET) == 0) file = store::readAll(fd.get(), most_ + 1);
    }
    const auto& bytes = file.text;
    made = read(std::string_view(bytes).substr(0, most_), sender_, now);
    if (!file.complete && made.state == State::good) {
        made.state = State::torn;
        made.what = std::string("it can't be read to its end: ") + std::strerror(errno);
    }
    if (bytes.size() > most_) {
        made.state = State::oversized;
        made.what = "it is larger than the " + std::to_string(most_) + " bytes that it may have";
    }
    return made;
}

bool File::append(std::string_view records) {
    if (!fd_ || size_ + records.size() > most_) return false;
    if (!store::writeAll(fd_.get(), records)) {
        log::error() << "kept list: can't write: " << std::strerror(errno);
        // Danger: half a record in the middle would cost what is written behind it some bytes; cut it off.
        if (ftruncate(fd_.get(), static_cast<off_t>(size_)) != 0) fd_.reset();
        return false;
    }
    size_ += records.size();
    return true;
}

bool File::replace(const std::vector<std::string>& records, const std::string& last, RecordMs now,
                   std::size_t& left) {
    const auto fresh = path_ + ".new";
    net::Fd file(open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600));
    std::string text = header(sender_, now);
    bool good = static_cast<bool>(file);
    std::uint64_t size = 0;
    left = 0;
    // A quarter stays free, or the next change would have to write it all anew.
    const auto room = most_ - most_ / 4 - last.size();
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
    size_ = fresh_ = size;
    return true;
}

}  // namespace laurelhaven::kept
