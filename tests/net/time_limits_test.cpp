// Reads and writes end at their deadline, not a fraction of the time-out later, as they do under SO_RCVTIMEO
// and SO_SNDTIMEO. An attempt that gets no answer must end while there is time to report the end of its
// message.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <thread>
#include <vector>

#include "net/socket.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

// A busy machine wakes a thread some milliseconds late, whatever its time-out. A message's end has 350 ms in
// all to be reported.
constexpr milliseconds kMaxDelay{120};
constexpr std::array<int, 8> kTimeoutsMs{2110, 2390, 2670, 2950, 3230, 3510, 3790, 4070};

struct SocketPair {
    std::array<int, 2> fds{-1, -1};
    SocketPair() { EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds.data()), 0); }
    ~SocketPair() {
        for (const int fd : fds) close(fd);
    }
};

/// How long after its deadline the latest of several concurrent calls returns, each with a time-out of its
/// own.
template <class Call>
milliseconds maxDelay(Call call) {
    std::vector<milliseconds> delays(kTimeoutsMs.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kTimeoutsMs.size(); ++i)
        threads.emplace_back([&, i] {
            const SocketPair pair;
            const auto until = net::Steady::now() + milliseconds(kTimeoutsMs[i]);
            call(pair.fds[0], until);
            delays[i] = std::chrono::duration_cast<milliseconds>(net::Steady::now() - until);
        });
    for (auto& thread : threads) thread.join();
    return *std::max_element(delays.begin(), delays.end());
}

TEST(TimeLimits, ReadWithoutDataEndsAtItsDeadline) {
    EXPECT_LE(maxDelay([](int fd, net::Deadline until) {
                  std::string got;
                  EXPECT_EQ(net::receive(fd, got, until), net::IoResult::timedOut);
              }),
              kMaxDelay);
}

TEST(TimeLimits, WriteToAPeerThatDoesNotReadEndsAtItsDeadline) {
    EXPECT_LE(maxDelay([](int fd, net::Deadline until) {
                  const std::string data(8 << 20, 'x');
                  EXPECT_EQ(net::sendAll(fd, data, until), net::IoResult::timedOut);
              }),
              kMaxDelay);
}

TEST(TimeLimits, DiscardEndsAtItsDeadline) {
    EXPECT_LE(maxDelay([](int fd, net::Deadline until) { net::discard(fd, 1 << 20, until); }), kMaxDelay);
}

// Bytes that have arrived are read, but not once the deadline has passed.
TEST(TimeLimits, ReadReturnsBytesThatHaveArrived) {
    const SocketPair pair;
    ASSERT_EQ(send(pair.fds[1], "abc", 3, MSG_NOSIGNAL), 3);
    std::string got;
    EXPECT_EQ(net::receive(pair.fds[0], got, net::Steady::now()), net::IoResult::timedOut);
    EXPECT_EQ(net::receive(pair.fds[0], got, net::Steady::now() + std::chrono::seconds(20)),
              net::IoResult::done);
    EXPECT_EQ(got, "abc");
    net::shutdownWrite(pair.fds[1]);
    EXPECT_EQ(net::receive(pair.fds[0], got, net::Steady::now() + std::chrono::seconds(20)),
              net::IoResult::closed);
}

// ---- a process that is stopped and continued ----

constexpr milliseconds kEndOwed{350};  // behind a message's time, by the rules

/// Stops this process and lets it go on, again and again, while it lives.
class Stopper {
  public:
    Stopper(milliseconds stopped, milliseconds running, int times) {
        const pid_t target = getpid();
        child_ = fork();
        if (child_ != 0) return;
        for (int i = 0; i < times; ++i) {
            kill(target, SIGSTOP);
            pause(stopped);
            kill(target, SIGCONT);
            pause(running);
        }
        _exit(0);
    }
    ~Stopper() { waitpid(child_, nullptr, 0); }
    Stopper(const Stopper&) = delete;

  private:
    static void pause(milliseconds span) { usleep(static_cast<useconds_t>(span.count() * 1000)); }
    pid_t child_;
};

milliseconds delayOfRead(milliseconds timeout) {
    const SocketPair pair;
    const auto until = net::Steady::now() + timeout;
    std::string got;
    EXPECT_EQ(net::receive(pair.fds[0], got, until), net::IoResult::timedOut);
    return std::chrono::duration_cast<milliseconds>(net::Steady::now() - until);
}

// Where poll() is ppoll(), each stop lengthened the wait by its own length: a sender that was held to its
// share of a core by stops reported the ends at a silent endpoint seconds late, or never.
TEST(TimeLimits, ReadEndsAtItsDeadlineThoughTheProcessIsStoppedManyTimesASecond) {
    const Stopper stopper(milliseconds(19), milliseconds(1), 150);
    EXPECT_LE(delayOfRead(milliseconds(1000)), kEndOwed);
}

TEST(TimeLimits, ReadEndsAsTheProcessGoesOnBehindALongStop) {
    const auto begun = net::Steady::now();
    const Stopper stopper(milliseconds(2000), milliseconds(1), 1);
    delayOfRead(milliseconds(1000));
    EXPECT_LE(net::Steady::now() - begun, milliseconds(2000) + kEndOwed);
}

}  // namespace
