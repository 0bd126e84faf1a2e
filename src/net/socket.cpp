#include "net/socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <thread>

#include "net/timed_wait.hpp"

namespace laurelhaven::net {
namespace {

constexpr std::chrono::milliseconds kSocketRetryPause{20};  // between attempts to create a socket
constexpr std::size_t kMaxReadBytes = 4096;  // small, as many threads have it on their small stacks

bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

void Fd::reset() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
}

std::optional<Address> parseAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return {};
    Address parsed;
    parsed.text = text;
    const std::string host(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    unsigned number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc{} || end != port.data() + port.size() || number > 65535) return {};
    parsed.socketAddress.sin_family = AF_INET;
    parsed.socketAddress.sin_port = htons(static_cast<std::uint16_t>(number));
    if (inet_pton(AF_INET, host.c_str(), &parsed.socketAddress.sin_addr) != 1) return {};
    return parsed;
}

Fd tcpSocket() {
    Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (fd) setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

ConnectStart beginConnect(int fd, const Address& to) {
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to.socketAddress), sizeof to.socketAddress) == 0)
        return ConnectStart::started;
    switch (errno) {
        case EINPROGRESS:
        case EINTR: return ConnectStart::started;
        case ECONNREFUSED:
        case ECONNRESET:
        case ETIMEDOUT:
        case EHOSTUNREACH: return ConnectStart::refused;
        default: return ConnectStart::localFailure;
    }
}

bool finishConnect(int fd, Deadline until) {
    int error = 0;
    socklen_t size = sizeof error;
    if (!waitForEvents(fd, POLLOUT, until) || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0)
        return false;
    return fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK) == 0;
}

Fd listenOn(const Address& at, int backlog, std::chrono::milliseconds retryFor) {
    const auto fail = [&](const char* what) {
        throw std::system_error(errno, std::generic_category(), std::string(what) + " " + at.text);
    };
    const auto until = Steady::now() + retryFor;
    Fd fd;
    for (;;) {
        fd = Fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        if (fd) break;
        if (Steady::now() >= until) fail("cannot create a socket for");
        std::this_thread::sleep_for(kSocketRetryPause);
    }
    const int on = 1;
    setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd.get(), reinterpret_cast<const sockaddr*>(&at.socketAddress), sizeof at.socketAddress) != 0)
        fail("cannot bind");
    if (listen(fd.get(), backlog) != 0) fail("cannot listen on");
    return fd;
}

int localPort(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) return 0;
    return ntohs(at.sin_port);
}

// Waits in poll() rather than under SO_RCVTIMEO and SO_SNDTIMEO: the kernel's timers for those have a
// resolution that becomes coarser with the time-out, so that a call returns up to an eighth of the time-out
// late. The end of a message whose attempt hangs would then be reported too late. poll() returns on time.
IoResult sendAll(int fd, std::string_view bytes, Deadline until) {
    while (!bytes.empty()) {
        if (Steady::now() >= until) return IoResult::timedOut;
        const auto sent = sendSome(fd, bytes);
        if (!sent) return IoResult::broken;
        bytes.remove_prefix(*sent);
        if (*sent == 0 && !waitForEvents(fd, POLLOUT, until)) return IoResult::timedOut;
    }
    return IoResult::done;
}

std::optional<std::size_t> sendSome(int fd, std::string_view bytes) {
    for (;;) {
        const auto sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent >= 0) return static_cast<std::size_t>(sent);
        if (errno == EINTR) continue;
        if (wouldBlock()) return 0;
        return {};
    }
}

IoResult receive(int fd, std::string& into, Deadline until) {
    while (Steady::now() < until) {
        if (!waitReadable(fd, until)) return IoResult::timedOut;
        const auto result = receiveArrived(fd, into);
        if (result != IoResult::timedOut) return result;
    }
    return IoResult::timedOut;
}

IoResult receiveArrived(int fd, std::string& into) {
    char bytes[kMaxReadBytes];
    for (;;) {
        const auto got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got > 0) {
            into.append(bytes, static_cast<std::size_t>(got));
            return IoResult::done;
        }
        if (got == 0) return IoResult::closed;
        if (errno == EINTR) continue;
        return wouldBlock() ? IoResult::timedOut : IoResult::broken;
    }
}

bool waitReadable(int fd, Deadline until) { return waitForEvents(fd, POLLIN | POLLRDHUP, until); }

UnreadState unreadState(int fd) {
    char byte;
    for (;;) {
        const auto got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0) return UnreadState::bytes;
        if (got == 0) return UnreadState::end;
        if (errno != EINTR) return wouldBlock() ? UnreadState::nothing : UnreadState::broken;
    }
}

std::string peekArrived(int fd) {
    char bytes[kMaxReadBytes];
    ssize_t got = -1;
    do {
        got = recv(fd, bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
    } while (got < 0 && errno == EINTR);
    return got > 0 ? std::string(bytes, static_cast<std::size_t>(got)) : std::string();
}

bool hasPendingConnection(int listener) {
    pollfd pending{listener, POLLIN, 0};
    int found = -1;
    do {
        found = poll(&pending, 1, 0);
    } while (found < 0 && errno == EINTR);
    return found > 0;
}

void discard(int fd, std::size_t most, Deadline until) {
    for (std::size_t dropped = 0; dropped < most && Steady::now() < until;) {
        if (!waitReadable(fd, until)) return;
        const auto bytes = discardArrived(fd);
        if (!bytes) return;
        dropped += *bytes;
    }
}

std::optional<std::size_t> discardArrived(int fd) {
    for (;;) {
        const auto got = recv(fd, nullptr, 1 << 20, MSG_TRUNC | MSG_DONTWAIT);
        if (got > 0) return static_cast<std::size_t>(got);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0 && wouldBlock()) return 0;
        return {};
    }
}

void discardUnread(int fd, std::size_t most) {
    for (std::size_t dropped = 0; dropped < most;) {
        const auto bytes = discardArrived(fd);
        if (!bytes || *bytes == 0) return;
        dropped += *bytes;
    }
}

void shutdownBoth(int fd) { shutdown(fd, SHUT_RDWR); }
void shutdownRead(int fd) { shutdown(fd, SHUT_RD); }
void shutdownWrite(int fd) { shutdown(fd, SHUT_WR); }

}  // namespace laurelhaven::net
