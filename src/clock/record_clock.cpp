#include "clock/record_clock.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <thread>

#include "log/log.hpp"
#include "net/socket.hpp"
#include "store/frame.hpp"

namespace laurelhaven::clock {
namespace {

constexpr std::string_view kMark = "LHC1";
constexpr char kAnchor = 'A';
constexpr std::size_t kLongest = 256;
constexpr const char* kFile = "/clock.anchor";
constexpr const char* kBootId = "/proc/sys/kernel/random/boot_id";
// A read may fail for a moment; without the anchor a step of the wall clock would move all that is kept.
constexpr int kReadTries = 50;
constexpr std::chrono::milliseconds kReadPause{20};

template <class Clock>
std::int64_t millisecondsOf() {
    const auto now = Clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string bootId() {
    const net::Fd file(open(kBootId, O_RDONLY | O_CLOEXEC));
    if (!file) return {};
    auto id = store::readAll(file.get(), kLongest).text;
    while (!id.empty() && id.back() == '\n') id.pop_back();
    return id;
}

std::string encoded(const Anchor& anchor) {
    return store::encodeFrame(kMark, store::PayloadWriter(kAnchor)
                                         .text(anchor.bootId)
                                         .number(anchor.offsetMs)
                                         .number(anchor.monotonicMs)
                                         .finish());
}

std::optional<Anchor> decoded(std::string_view bytes) {
    const auto payload = store::decodeFirstFrame(bytes, kMark, kLongest);
    if (payload.empty() || payload[0] != kAnchor) return {};
    store::PayloadReader in(payload.substr(1));
    Anchor anchor;
    anchor.bootId = in.text();
    anchor.offsetMs = in.number<std::int64_t>();
    anchor.monotonicMs = in.number<std::int64_t>();
    if (!in.complete()) return {};
    return anchor;
}

std::optional<Anchor> load(const std::string& path) {
    for (int tries = 0; tries < kReadTries; ++tries) {
        const net::Fd file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file && errno == ENOENT) return {};
        if (file) {
            const auto read = store::readAll(file.get(), 2 * kLongest);
            if (read.complete) return decoded(read.text);
        }
        std::this_thread::sleep_for(kReadPause);
    }
    log::error() << "clock: can't read " << path << ": " << std::strerror(errno)
                 << "; times on record are read by the wall clock";
    return {};
}

}  // namespace

ClockReadings readClocks() {
    return {bootId(), millisecondsOf<std::chrono::system_clock>(),
            millisecondsOf<std::chrono::steady_clock>()};
}

Anchor chooseAnchor(const std::optional<Anchor>& kept, const ClockReadings& now) {
    const bool sameBoot = kept && kept->bootId == now.bootId && kept->monotonicMs <= now.monotonicMs;
    if (sameBoot) return *kept;
    return {now.bootId, now.wallMs - now.monotonicMs, now.monotonicMs};
}

RecordClock::RecordClock() : anchor_(chooseAnchor({}, readClocks())), persisted_(true) {}

RecordClock::RecordClock(const std::string& folder) : path_(folder + kFile) {
    const auto kept = load(path_);
    anchor_ = chooseAnchor(kept, readClocks());
    persisted_ = kept && kept->bootId == anchor_.bootId && kept->offsetMs == anchor_.offsetMs;
    if (kept && !persisted_)
        log::warning() << "clock: the machine was restarted; times on record are read by the wall clock";
}

RecordMs RecordClock::now() const { return anchor_.offsetMs + millisecondsOf<std::chrono::steady_clock>(); }

// A process may be killed at any byte: the anchor takes its name once it is whole.
bool RecordClock::persist() {
    const std::lock_guard lock(writing_);
    if (persisted_) return true;
    const auto fresh = path_ + ".new";
    const net::Fd file(open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file || !store::writeAll(file.get(), encoded(anchor_))) return false;
    if (rename(fresh.c_str(), path_.c_str()) != 0) return false;
    persisted_ = true;
    return true;
}

RecordClock& processClock() {
    static RecordClock clock;
    return clock;
}

}  // namespace laurelhaven::clock
