#include "trace/capture.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <filesystem>
#include <functional>

#include "log/log.hpp"
#include "store/frame.hpp"

namespace laurelhaven::trace {
namespace {

using std::chrono::milliseconds;

Micros wallNow() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

bool ours(const std::filesystem::path& path) {
    return path.extension() == ".lht" && path.filename().string().rfind("capture-", 0) == 0;
}

std::uint64_t whole(std::chrono::milliseconds span) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, span.count()));
}

std::string named(const std::vector<std::string>& names, std::uint32_t position) {
    return position < names.size() ? names[position] : std::string();
}

}  // namespace

Capture::Capture(const CaptureOptions& options, const config::Config& config)
    : options_(options), config_(config) {
    if (options_.enabled) left_.reserve(options_.buffer);
}

// Ids are the clients' own and may tell who they are; salted, a trace tells only which records belong
// together.
std::uint64_t Capture::hashed(const std::string& id) const {
    return mixed(std::hash<std::string>{}(id) ^ config_.seed);
}

void Capture::leave(Record record) {
    // Danger: the caller holds the facade's lock, and every message waits behind it. Rather a hole in a
    // trace.
    std::unique_lock lock(mutex_, std::try_to_lock);
    if (!lock || stopped_ || left_.size() >= options_.buffer) {
        ++dropped_;
        return;
    }
    left_.push_back(std::move(record));
    if (left_.size() == 1 || left_.size() == options_.buffer / 2) wake_.notify_one();
}

void Capture::arrived(const decisions::Submission& message, const decisions::SubmissionResult& verdict) {
    if (!options_.enabled) return;
    Arrival r;
    r.at = wallNow();
    r.id = hashed(message.id);
    r.grade = named(config_.classes, message.messageClass);
    r.tenant = named(config_.tenants, message.tenant);
    r.destination = message.destination;
    r.bytes = message.body ? message.body->size() : 0;
    r.deadlineMs =
        whole(std::chrono::duration_cast<milliseconds>(message.deadline - decisions::Steady::now()));
    r.verdict = static_cast<Verdict>(verdict.kind);
    r.retryAfterMs = whole(verdict.retryAfter);
    leave(std::move(r));
}

void Capture::answered(const decisions::DueAttempt& call, const decisions::AttemptResult& result,
                       std::chrono::nanoseconds took) {
    if (!options_.enabled) return;
    Answer r;
    r.at = wallNow();
    r.id = hashed(call.id);
    r.destination = call.destination;
    r.endpoint = call.endpoint;
    r.attempt = static_cast<std::uint64_t>(call.attempt);
    // A trace does not tell apart why a call did not go out.
    r.ending = result.status == decisions::AttemptStatus::unsent ? Ending::notSent
                                                                 : static_cast<Ending>(result.status);
    r.tookUs = static_cast<std::uint64_t>(std::max<std::int64_t>(0, took.count() / 1000));
    r.waitMs = whole(std::chrono::duration_cast<milliseconds>(result.wait));
    if (result.allowedRate && std::isfinite(*result.allowedRate) && *result.allowedRate > 0)
        r.allowedMilli = static_cast<std::uint64_t>(std::min(*result.allowedRate, 1e9) * 1000);
    leave(std::move(r));
}

void Capture::ended(const store::PendingNotice& notice) {
    if (!options_.enabled) return;
    leave(End{wallNow(), hashed(notice.id), notice.finalState == store::FinalState::failed});
}

void Capture::start() {
    if (!options_.enabled) return;
    thread_ = threads::Thread("capture", [this] { run(); });
}

void Capture::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        wake_.notify_one();
    }
    thread_.join();
}

void Capture::run() {
    std::vector<Record> taken;
    taken.reserve(options_.buffer);
    for (bool stopped = false; !stopped;) {
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return stopped_ || !left_.empty(); });
            // Some may gather first; half a buffer of them is reason enough to begin.
            if (!stopped_)
                wake_.wait_for(lock, options_.flushEvery,
                               [this] { return stopped_ || left_.size() >= options_.buffer / 2; });
            taken.swap(left_);
            stopped = stopped_;
        }
        write(taken);
        taken.clear();
    }
}

bool Capture::open() {
    std::error_code error;
    std::filesystem::create_directories(options_.folder, error);
    // A name is never used twice, and the order of names is that of time.
    lastName_ = std::max(lastName_ + 1, wallNow());
    char name[64];
    std::snprintf(name, sizeof name, "/capture-%020lld.lht", static_cast<long long>(lastName_));
    file_ = net::Fd(::open((options_.folder + name).c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600));
    if (!file_) return false;
    size_ = 0;
    ++files_;
    prune();
    return put(framed(Header{kVersion, config_.name, wallNow()}));
}

bool Capture::put(const std::string& bytes) {
    if (!store::writeAll(file_.get(), bytes)) return false;
    size_ += bytes.size();
    bytes_ += bytes.size();
    return true;
}

void Capture::write(const std::vector<Record>& records) {
    const auto now = std::chrono::steady_clock::now();
    const auto lose = [&](std::size_t n) { dropped_ += n; };
    if (now < retryAt_) return lose(records.size());
    std::size_t done = 0;
    const auto flush = [&] {
        if (block_.empty()) return true;
        if (!file_ && !open()) return false;
        const bool good = put(block_.take());
        if (size_ >= options_.fileBytes) file_.reset();
        return good;
    };
    bool good = true;
    if (const auto dropped = dropped_.load(); dropped > told_ && !records.empty()) {
        block_.add(Dropped{at(records.front()), dropped - told_});
        told_ = dropped;
    }
    for (std::size_t i = 0; i < records.size() && good; ++i) {
        block_.add(records[i]);
        if (!block_.full() && i + 1 < records.size()) continue;
        good = flush();
        if (good) written_ += i + 1 - done, done = i + 1;
    }
    if (good) return;
    (log::warning() << "capture: can't be written; tried again later")
        .kv("folder", options_.folder)
        .kv("error", std::strerror(errno));
    lose(records.size() - done);
    block_ = {};
    file_.reset();
    retryAt_ = now + options_.retryEvery;
}

/// The oldest files go.
void Capture::prune() {
    std::error_code error;
    std::vector<std::filesystem::path> all;
    for (const auto& item : std::filesystem::directory_iterator(options_.folder, error))
        if (ours(item.path())) all.push_back(item.path());
    std::sort(all.begin(), all.end());
    for (std::size_t i = 0; i + options_.files < all.size(); ++i) std::filesystem::remove(all[i], error);
}

Capture::Counts Capture::counts() const { return {written_, dropped_, bytes_, files_}; }

}  // namespace laurelhaven::trace
