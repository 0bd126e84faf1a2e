// Blocking TCP sockets with a time limit on every call. All ends of a descriptor go through Fd.
#pragma once

#include <netinet/in.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laurelhaven::net {

using Steady = std::chrono::steady_clock;
using Deadline = Steady::time_point;

/// Owns a file descriptor.
class Fd {
  public:
    Fd() = default;
    explicit Fd(int fd) : fd_(fd) {}
    ~Fd() { reset(); }
    Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Fd& operator=(Fd&& other) noexcept {
        if (this != &other) reset(), fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    int get() const { return fd_; }
    explicit operator bool() const { return fd_ >= 0; }
    void reset();

  private:
    int fd_ = -1;
};

struct Address {
    std::string text;  ///< as it was given
    sockaddr_in socketAddress{};
};
/// "127.0.0.1:8443"; there is no DNS. Nothing where it is anything else.
std::optional<Address> parseAddress(std::string_view text);

enum class IoResult { done, closed, broken, timedOut };

/// Connected, or empty when the time is up or the other side refused. `watch` sees the descriptor before the
/// connect begins, so that another thread can shut it.
template <class OnSocket>
Fd connectTo(const Address& to, Deadline until, OnSocket&& onSocket);

Fd tcpSocket();
/// A connect in two steps: begun, which waits for nothing, and waited for. Danger: a descriptor that is shut
/// before its connect has begun is not shut at all. Whoever may be called off sees to that between the two,
/// when shutting ends the connect. False: it has failed, or was ended.
enum class ConnectStart {
    started,
    refused,      ///< by the other side
    localFailure  ///< this machine lacks a port, a route or a buffer: that says nothing of the other side
};
ConnectStart beginConnect(int fd, const Address& to);
bool finishConnect(int fd, Deadline until);
inline bool connectBy(int fd, const Address& to, Deadline until) {
    return beginConnect(fd, to) == ConnectStart::started && finishConnect(fd, until);
}
/// Asks for a socket for so long where the machine has none. Throws std::system_error.
Fd listenOn(const Address& at, int backlog, std::chrono::milliseconds retryFor = {});
/// The port that a listening socket got.
int localPort(int fd);

/// All of the bytes, or how it went wrong. Never raises SIGPIPE.
IoResult sendAll(int fd, std::string_view bytes, Deadline until);
/// Some bytes, appended to `into`.
IoResult receive(int fd, std::string& into, Deadline until);
/// Waits for bytes or the end of the other side. False when the time is up first.
bool waitReadable(int fd, Deadline until);
/// What stands unread on a connection just now.
enum class UnreadState {
    nothing,
    bytes,
    end,    ///< the other side has ended its sending
    broken  ///< the connection is gone
};
UnreadState unreadState(int fd);
/// True while a listener has a connection that nobody has accepted.
bool hasPendingConnection(int listener);
/// True while the other side has neither sent anything unasked nor gone.
inline bool isIdle(int fd) { return unreadState(fd) == UnreadState::nothing; }
/// Reads and drops what comes, at no cost of copying, until the other side ends, the time is up or so many
/// bytes have gone by.
void discard(int fd, std::size_t most, Deadline until);
/// Drops what has come already, up to so many bytes, and waits for nothing.
void discardUnread(int fd, std::size_t most);
/// Ends sending and receiving, from any thread; the descriptor stays open.
void shutdownBoth(int fd);
void shutdownRead(int fd);
void shutdownWrite(int fd);

template <class OnSocket>
Fd connectTo(const Address& to, Deadline until, OnSocket&& onSocket) {
    Fd fd = tcpSocket();
    if (!fd) return {};
    onSocket(fd.get());
    if (!connectBy(fd.get(), to, until)) return {};
    return fd;
}

}  // namespace laurelhaven::net
