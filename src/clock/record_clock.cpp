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

constexpr std::string_view kMagic = "LHC1";
constexpr char kAnchorType = 'A';
constexpr std::size_t kMaxBytes = 256;
constexpr const char* kFileName = "/clock.anchor";
constexpr const char* kBootIdPath = "/proc/sys/kernel/random/boot_id";
// A read may fail temporarily. Without the anchor, a step of the wall clock would shift all stored times.
constexpr int kReadTries = 50;
constexpr std::chrono::milliseconds kReadPause{20};

template <class Clock>
std::int64_t nowMs() {
    const auto now = Clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string bootId() {
    const net::Fd file(open(kBootIdPath, O_RDONLY | O_CLOEXEC));
    if (!file) return {};
    auto id = store::readAll(file.get(), kMaxBytes).text;
    while (!id.empty() && id.back() == '\n') id.pop_back();
    return id;
}

std::string encode(const Anchor& anchor) {
    return store::encodeFrame(kMagic, store::PayloadWriter(kAnchorType)
                                          .text(anchor.bootId)
                                          .number(anchor.offsetMs)
                                          .number(anchor.monotonicMs)
                                          .finish());
}

/// Empty if the bytes hold no valid anchor.
std::optional<Anchor> decode(std::string_view bytes) {
    const auto payload = store::decodeFirstFrame(bytes, kMagic, kMaxBytes);
    if (payload.empty() || payload[0] != kAnchorType) return {};
    store::PayloadReader in(payload.substr(1));
    Anchor anchor;
    anchor.bootId = in.text();
    anchor.offsetMs = in.number<std::int64_t>();
    anchor.monotonicMs = in.number<std::int64_t>();
    if (!in.complete()) return {};
    return anchor;
}

/// Empty if there is no valid anchor, or if the file could not be read within kReadTries.
std::optional<Anchor> load(const std::string& path) {
    for (int tries = 0; tries < kReadTries; ++tries) {
        const net::Fd file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file && errno == ENOENT) return {};
        if (file) {
            const auto read = store::readAll(file.get(), 2 * kMaxBytes);
            if (read.complete) return decode(read.text);
        }
        std::this_thread::sleep_for(kReadPause);
    }
    log::error() << "clock: can't read " << path << ": " << std::strerror(errno)
                 << "; stored times are interpreted by the wall clock";
    return {};
}

}  // namespace

ClockReadings readClocks() {
    return {bootId(), nowMs<std::chrono::system_clock>(), nowMs<std::chrono::steady_clock>()};
}

Anchor chooseAnchor(const std::optional<Anchor>& stored, const ClockReadings& now) {
    const bool sameBoot = stored && stored->bootId == now.bootId && stored->monotonicMs <= now.monotonicMs;
    if (sameBoot) return *stored;
    return {now.bootId, now.wallMs - now.monotonicMs, now.monotonicMs};
}

RecordClock::RecordClock() : anchor_(chooseAnchor({}, readClocks())), persisted_(true) {}

RecordClock::RecordClock(const std::string& folder) : path_(folder + kFileName) {
    const auto stored = load(path_);
    anchor_ = chooseAnchor(stored, readClocks());
    persisted_ = stored && stored->bootId == anchor_.bootId && stored->offsetMs == anchor_.offsetMs;
    if (stored && !persisted_)
        log::warning() << "clock: the machine was rebooted; stored times are interpreted by the wall clock";
}

RecordMs RecordClock::now() const { return anchor_.offsetMs + nowMs<std::chrono::steady_clock>(); }

// The process may be killed at any byte, so the file is renamed into place once it is complete.
bool RecordClock::persist() {
    const std::lock_guard lock(persistMutex_);
    if (persisted_) return true;
    const auto newPath = path_ + ".new";
    const net::Fd file(open(newPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!file || !store::writeAll(file.get(), encode(anchor_))) return false;
    if (rename(newPath.c_str(), path_.c_str()) != 0) return false;
    persisted_ = true;
    return true;
}

RecordClock& processClock() {
    static RecordClock clock;
    return clock;
}

}  // namespace laurelhaven::clock
