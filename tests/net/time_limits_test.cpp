// Reads and writes end when their time is up, and not a part of it later: a call that got no answer must be
// given up while there is time to tell its message's end.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <thread>
#include <vector>

#include "net/socket.hpp"

namespace {

using namespace laurelhaven;
using std::chrono::milliseconds;

// A busy machine wakes a thread some milliseconds late, whatever its time limit; ends have 350 ms in all.
constexpr milliseconds kMostLate{120};
constexpr std::array<int, 8> kSpansMs{2110, 2390, 2670, 2950, 3230, 3510, 3790, 4070};

struct Pair {
    std::array<int, 2> fds{-1, -1};
    Pair() { EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds.data()), 0); }
    ~Pair() {
        for (const int fd : fds) close(fd);
    }
};

/// How late the slowest of several calls ends, each at its own time limit.
template <class Call>
milliseconds latest(Call call) {
    std::vector<milliseconds> late(kSpansMs.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < kSpansMs.size(); ++i)
        threads.emplace_back([&, i] {
            const Pair pair;
            const auto until = net::Steady::now() + milliseconds(kSpansMs[i]);
            call(pair.fds[0], until);
            late[i] = std::chrono::duration_cast<milliseconds>(net::Steady::now() - until);
        });
    for (auto& thread : threads) thread.join();
    return *std::max_element(late.begin(), late.end());
}

TEST(TimeLimits, AReadThatGetsNothingEndsInTime) {
    EXPECT_LE(latest([](int fd, net::Deadline until) {
                  std::string got;
                  EXPECT_EQ(net::receive(fd, got, until), net::IoResult::timedOut);
              }),
              kMostLate);
}

TEST(TimeLimits, AWriteThatIsNotTakenEndsInTime) {
    EXPECT_LE(latest([](int fd, net::Deadline until) {
                  const std::string much(8 << 20, 'x');
                  EXPECT_EQ(net::sendAll(fd, much, until), net::IoResult::timedOut);
              }),
              kMostLate);
}

TEST(TimeLimits, WhatIsDroppedIsDroppedForNoLonger) {
    EXPECT_LE(latest([](int fd, net::Deadline until) { net::discard(fd, 1 << 20, until); }), kMostLate);
}

// What has come is read; a limit that has passed reads nothing more.
TEST(TimeLimits, AReadTakesWhatHasCome) {
    const Pair pair;
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

}  // namespace
