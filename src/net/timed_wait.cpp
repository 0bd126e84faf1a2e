#include "net/timed_wait.hpp"

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace laurelhaven::net {
namespace {

using Clock = std::chrono::steady_clock;

[[maybe_unused]] bool pollUntil(pollfd& request, Clock::time_point until) {
    constexpr long kLongestWaitMs = 3'600'000;
    for (;;) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        const int found = poll(&request, 1, static_cast<int>(std::clamp<long>(left + 1, 0, kLongestWaitMs)));
        if (found > 0) return true;
        if (found == 0 || errno != EINTR) return false;
    }
}

/// A timer of the calling thread. Its signal is blocked but while the thread waits, and does nothing.
class ThreadTimer {
  public:
    ThreadTimer() {
        static const bool installed = installHandler();
        sigset_t own;
        sigemptyset(&own);
        sigaddset(&own, signalNumber());
        pthread_sigmask(SIG_BLOCK, &own, &maskWhileWaiting_);
        sigdelset(&maskWhileWaiting_, signalNumber());
        sigevent event{};
        event.sigev_notify = SIGEV_THREAD_ID;
        event.sigev_signo = signalNumber();
        event._sigev_un._tid = static_cast<pid_t>(syscall(SYS_gettid));
        usable_ = installed && timer_create(CLOCK_MONOTONIC, &event, &timer_) == 0;
    }
    ~ThreadTimer() {
        if (usable_) timer_delete(timer_);
    }
    ThreadTimer(const ThreadTimer&) = delete;
    ThreadTimer& operator=(const ThreadTimer&) = delete;

    bool usable() const { return usable_; }
    void set(Clock::time_point until) {
        const auto sinceStart = std::max(until.time_since_epoch(), Clock::duration(1));
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(sinceStart);
        itimerspec at{};
        at.it_value.tv_sec = seconds.count();
        at.it_value.tv_nsec = std::chrono::nanoseconds(sinceStart - seconds).count();
        timer_settime(timer_, TIMER_ABSTIME, &at, nullptr);
    }
    const sigset_t& maskWhileWaiting() const { return maskWhileWaiting_; }

  private:
    static int signalNumber() { return SIGRTMIN; }
    static bool installHandler() {
        struct sigaction action {};
        action.sa_handler = [](int) {};
        return sigaction(signalNumber(), &action, nullptr) == 0;
    }

    timer_t timer_{};
    sigset_t maskWhileWaiting_{};
    bool usable_ = false;
};

/// Without a time of its own, the wait ends with an event or with the timer's signal.
[[maybe_unused]] bool pollUntilSignalled(pollfd& request, Clock::time_point until) {
    thread_local ThreadTimer timer;
    if (!timer.usable()) return pollUntil(request, until);
    timer.set(until);
    const timespec none{};
    for (;;) {
        const bool due = Clock::now() >= until;
        const int found = ppoll(&request, 1, due ? &none : nullptr, &timer.maskWhileWaiting());
        if (found > 0) return true;
        if (found == 0 || errno != EINTR) return false;
    }
}

}  // namespace

// A stop restarts the system call poll with the time at which it is to end, but ppoll with the time that was
// left when the stop began. Where there is only ppoll, each stop would lengthen the wait by its own length.
bool waitForEvents(int fd, short events, Clock::time_point until) {
    pollfd request{fd, events, 0};
#ifdef SYS_poll
    return pollUntil(request, until);
#else
    return pollUntilSignalled(request, until);
#endif
}

}  // namespace laurelhaven::net
