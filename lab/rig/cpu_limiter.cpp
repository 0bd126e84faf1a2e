#include "rig/cpu_limiter.hpp"

#include <sched.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <system_error>
#include <vector>

namespace laurelhaven::lab {
namespace {

using std::chrono::nanoseconds;

constexpr std::chrono::milliseconds kPeriod{20};
constexpr std::chrono::microseconds kCheckInterval{500};  // a process may exceed its quota by so much

/// Processor time that the process has used. Negative if it has ended.
nanoseconds usedTime(clockid_t clock) {
    timespec used{};
    if (clock_gettime(clock, &used) != 0) return nanoseconds(-1);
    return std::chrono::seconds(used.tv_sec) + nanoseconds(used.tv_nsec);
}

/// The cores that this process may run on.
std::vector<int> availableCores() {
    cpu_set_t set;
    CPU_ZERO(&set);
    std::vector<int> cores;
    if (sched_getaffinity(0, sizeof set, &set) != 0) return cores;
    for (int core = 0; core < CPU_SETSIZE; ++core)
        if (CPU_ISSET(core, &set)) cores.push_back(core);
    return cores;
}

/// Binds all threads of the process to one core.
void bindToCore(pid_t pid, std::size_t number) {
    const auto cores = availableCores();
    if (cores.empty()) return;
    cpu_set_t set;
    CPU_ZERO(&set);
    CPU_SET(cores[number % cores.size()], &set);
    std::error_code gone;  // threads may end meanwhile
    const std::filesystem::directory_iterator threads("/proc/" + std::to_string(pid) + "/task", gone);
    for (auto it = begin(threads); !gone && it != end(threads); it.increment(gone))
        sched_setaffinity(std::stoi(it->path().filename().string()), sizeof set, &set);
}

}  // namespace

CpuLimiter::CpuLimiter() : thread_([this](const std::stop_token& stop) { run(stop); }) {}

CpuLimiter::~CpuLimiter() {
    thread_.request_stop();
    thread_.join();
    for (auto& [pid, process] : processes_) setStopped(pid, process, false);
}

void CpuLimiter::add(pid_t pid, double cores) {
    Process process;
    if (clock_getcpuclockid(pid, &process.clock) != 0) return;
    process.quota =
        nanoseconds(static_cast<std::int64_t>(cores * static_cast<double>(nanoseconds(kPeriod).count())));
    process.mayUse = std::max(usedTime(process.clock), nanoseconds(0)) + process.quota;
    const std::lock_guard lock(mutex_);
    bindToCore(pid, nextCore_++);
    processes_[pid] = process;
}

void CpuLimiter::remove(pid_t pid) {
    const std::lock_guard lock(mutex_);
    const auto it = processes_.find(pid);
    if (it == processes_.end()) return;
    it->second.held = false;
    setStopped(pid, it->second, false);
    processes_.erase(it);
}

void CpuLimiter::hold(pid_t pid, bool held) {
    const std::lock_guard lock(mutex_);
    const auto it = processes_.find(pid);
    if (it == processes_.end()) return;
    it->second.held = held;
    setStopped(pid, it->second, held);
}

std::chrono::milliseconds CpuLimiter::worstDelay() const {
    const std::lock_guard lock(mutex_);
    return std::chrono::duration_cast<std::chrono::milliseconds>(worstDelay_);
}

void CpuLimiter::run(const std::stop_token& stop) {
    auto periodEnd = Clock::now();
    while (!stop.stop_requested()) {
        const auto now = Clock::now();
        {
            const std::lock_guard lock(mutex_);
            if (now >= periodEnd) {
                worstDelay_ = std::max<nanoseconds>(worstDelay_, now - periodEnd);
                beginPeriod();
                periodEnd = now + kPeriod;
            }
            stopExhausted();
        }
        std::this_thread::sleep_for(kCheckInterval);
    }
}

/// Gives each process its quota. What it has left of the last period is lost, what it has used beyond that is
/// taken off.
void CpuLimiter::beginPeriod() {
    for (auto& [pid, process] : processes_) {
        const auto used = usedTime(process.clock);
        process.mayUse = std::min(process.mayUse + process.quota, used + process.quota);
        if (process.stopped && !process.held && used < process.mayUse) setStopped(pid, process, false);
    }
}

void CpuLimiter::stopExhausted() {
    for (auto& [pid, process] : processes_)
        if (!process.stopped && usedTime(process.clock) >= process.mayUse) setStopped(pid, process, true);
}

void CpuLimiter::setStopped(pid_t pid, Process& process, bool stopped) {
    if (process.stopped == stopped) return;
    process.stopped = stopped;
    kill(pid, stopped ? SIGSTOP : SIGCONT);
}

}  // namespace laurelhaven::lab
