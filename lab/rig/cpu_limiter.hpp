// Limits processes under test to a share of one core, as the platform does: in each period a process may use
// so much processor time, and is stopped for the rest of the period.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>
#include <mutex>
#include <stop_token>
#include <thread>

namespace laurelhaven::lab {

/// A thread that stops and continues the processes added to it, by SIGSTOP and SIGCONT. Thread-safe.
class CpuLimiter {
  public:
    CpuLimiter();
    ~CpuLimiter();
    CpuLimiter(const CpuLimiter&) = delete;
    CpuLimiter& operator=(const CpuLimiter&) = delete;

    /// Limits a child process from now on to `cores` of one core, and binds it to one.
    void add(pid_t pid, double cores);
    /// No signal goes to the process from now on. To be called before it is waited for.
    void remove(pid_t pid);
    /// Keeps the process stopped, whatever time it has left.
    void hold(pid_t pid, bool held);
    /// The longest time by which a period has begun late, as this process was held up itself.
    std::chrono::milliseconds worstDelay() const;

  private:
    using Clock = std::chrono::steady_clock;
    struct Process {
        clockid_t clock{};
        std::chrono::nanoseconds quota{};   // of each period
        std::chrono::nanoseconds mayUse{};  // processor time at which it is stopped
        bool stopped = false, held = false;
    };
    void run(const std::stop_token& stop);
    void beginPeriod();
    void stopExhausted();
    static void setStopped(pid_t pid, Process& process, bool stopped);

    mutable std::mutex mutex_;
    std::map<pid_t, Process> processes_;
    std::size_t nextCore_ = 0;
    std::chrono::nanoseconds worstDelay_{};
    std::jthread thread_;
};

}  // namespace laurelhaven::lab
