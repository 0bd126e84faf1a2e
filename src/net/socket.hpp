// IPv4 TCP sockets whose blocking calls end at a deadline on the steady clock. Fd closes the descriptors.
//
// The functions keep no state. Calls on one descriptor from several threads are safe as far as the kernel
// allows; the caller makes sure that no thread uses a descriptor that another one closes.
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

/// Owns a file descriptor and closes it on destruction.
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
    std::string text;  ///< as parsed, "host:port"
    sockaddr_in socketAddress{};
};
/// Parses an IPv4 address and port such as "127.0.0.1:8443". Host names are not resolved. Empty on any other
/// text.
std::optional<Address> parseAddress(std::string_view text);

enum class IoResult {
    done,
    closed,   ///< the peer has ended its sending
    broken,   ///< the connection failed
    timedOut  ///< the deadline passed
};

/// Returns a connected socket; empty if the deadline passes or the connect fails. Passes the descriptor to
/// `onSocket` before the connect starts, so that another thread can shut it down.
template <class OnSocket>
Fd connectTo(const Address& to, Deadline until, OnSocket&& onSocket);

/// Creates a blocking TCP socket with TCP_NODELAY set. Empty if the machine has no socket to give.
Fd tcpSocket();
/// Result of beginConnect().
enum class ConnectStart {
    started,
    refused,      ///< by the peer or the network on the way to it
    localFailure  ///< this machine lacks a port, a route or a buffer, which says nothing about the peer
};
/// Starts a connect without waiting, and makes the socket non-blocking. A shutdown of a descriptor whose
/// connect has not started has no effect. A caller that can be cancelled therefore checks for cancellation
/// between beginConnect() and finishConnect(): from then on a shutdown ends the connect.
ConnectStart beginConnect(int fd, const Address& to);
/// Waits for the connect to end and makes the socket blocking again. False if the connect failed, was shut
/// down or did not end by the deadline.
bool finishConnect(int fd, Deadline until);
/// Both steps of a connect. True if the socket is connected by the deadline.
inline bool connectBy(int fd, const Address& to, Deadline until) {
    return beginConnect(fd, to) == ConnectStart::started && finishConnect(fd, until);
}
/// Binds and listens. While the machine has no free socket, tries again for `retryFor`. Throws
/// std::system_error.
Fd listenOn(const Address& at, int backlog, std::chrono::milliseconds retryFor = {});
/// The local port of a socket, as for one that was bound to port 0. Returns 0 on failure.
int localPort(int fd);

/// Sends what the socket takes at once, and returns how much; nothing if the connection is broken.
std::optional<std::size_t> sendSome(int fd, std::string_view bytes);
/// Sends all bytes. Never raises SIGPIPE.
IoResult sendAll(int fd, std::string_view bytes, Deadline until);
/// Waits for bytes and appends those that have arrived to `into`, up to 4096 at a time. Reads nothing once
/// the deadline has passed.
IoResult receive(int fd, std::string& into, Deadline until);
/// The same for bytes that have arrived already. Never waits: `timedOut` if there are none.
IoResult receiveArrived(int fd, std::string& into);
/// Waits until bytes have arrived or the peer has ended its sending. False if the deadline passes first.
bool waitReadable(int fd, Deadline until);
/// What a connection has to read at the time of the call.
enum class UnreadState {
    nothing,
    bytes,
    end,    ///< the peer has ended its sending
    broken  ///< the connection failed
};
/// Looks without waiting, and consumes nothing.
UnreadState unreadState(int fd);
/// Returns up to 4096 of the bytes that have arrived. Neither waits nor consumes them.
std::string peekArrived(int fd);
/// True while a listener has a connection that is not yet accepted.
bool hasPendingConnection(int listener);
/// True if there is nothing to read and the peer has not closed, so that an idle connection can be reused.
inline bool isIdle(int fd) { return unreadState(fd) == UnreadState::nothing; }
/// Drops up to 1 MB of what has arrived, without copying it and without waiting. Returns how much, or nothing
/// once the connection has ended or broken.
std::optional<std::size_t> discardArrived(int fd);
/// Reads and drops incoming bytes until the peer ends its sending, the deadline passes or at least `most`
/// bytes were dropped.
void discard(int fd, std::size_t most, Deadline until);
/// Drops bytes that have already arrived, until none or at least `most` were dropped. Does not wait.
void discardUnread(int fd, std::size_t most);
/// End sending, receiving or both. Callable from any thread; the descriptor stays open.
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
