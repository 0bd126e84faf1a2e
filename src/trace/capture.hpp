// Records what comes in and what partners answer into rotating trace files. Word is left under the facade's
// lock and must never hold it up: where a record has no room, or the writer is just taking the last ones, it
// is dropped and counted. A thread of its own writes.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "net/socket.hpp"
#include "threads/thread.hpp"
#include "trace/block.hpp"

namespace laurelhaven::trace {

struct CaptureOptions {
    bool enabled = false;
    std::string folder;                            ///< made where it is not there
    std::uint64_t fileBytes = 16'000'000;          ///< a file is closed beyond it ...
    std::size_t files = 8;                         ///< ... and so many are kept, the newest
    std::size_t buffer = 8192;                     ///< records that may wait for the writer
    std::chrono::milliseconds flushEvery{1000};    ///< a process that is killed loses so much at most
    std::chrono::milliseconds retryEvery{10'000};  ///< after the disk was full
};

class Capture {
  public:
    Capture(const CaptureOptions& options, const config::Config& config);
    ~Capture() { stop(); }
    void start();
    /// What has been left is written.
    void stop();

    // -- from the facade, under its lock: these only leave word --
    void arrived(const decisions::Submission& message, const decisions::SubmissionResult& verdict);
    void answered(const decisions::DueAttempt& call, const decisions::AttemptResult& result,
                  std::chrono::nanoseconds took);
    void ended(const store::PendingNotice& notice);

    struct Counts {
        std::uint64_t written = 0, dropped = 0, bytes = 0, files = 0;
    };
    Counts counts() const;

  private:
    void leave(Record record);
    std::uint64_t hashed(const std::string& id) const;
    void run();
    void write(const std::vector<Record>& records);
    bool put(const std::string& bytes);
    bool open();
    void prune();

    CaptureOptions options_;
    const config::Config& config_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::vector<Record> left_;
    bool stopped_ = false;
    std::atomic<std::uint64_t> dropped_{0}, written_{0}, bytes_{0}, files_{0};

    // the writer's own
    net::Fd file_;
    std::uint64_t size_ = 0, told_ = 0;  // of the file; dropped ones that a record tells of
    Micros lastName_ = 0;
    std::chrono::steady_clock::time_point retryAt_{};
    Block block_;
    threads::Thread thread_;
};

}  // namespace laurelhaven::trace
