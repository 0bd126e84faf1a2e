#include "soak/crowd.hpp"

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <string_view>

namespace laurelhaven::lab::soak {
namespace {

constexpr int kPollMs = 20;
constexpr std::chrono::milliseconds kPause{5};  // between two rounds

/// What the connections send, in turn.
constexpr std::array<std::string_view, 3> kFirstWords{"", "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n",
                                                      "POST /notice HTTP/1.1\r\nReq-Id: "};

}  // namespace

Crowd::Crowd(const std::string& address, std::size_t connections, std::function<bool()> mayConnect)
    : address_(net::parseAddress(address).value()),
      mayConnect_(std::move(mayConnect)),
      members_(connections),
      thread_([this] { run(); }) {}

Crowd::~Crowd() {
    over_ = true;
    thread_.join();
}

void Crowd::connectAbsent() {
    for (auto& member : members_) {
        if (member.fd || !mayConnect_()) continue;
        member.fd = net::tcpSocket();
        member.connected = false;
        if (member.fd && net::beginConnect(member.fd.get(), address_) != net::ConnectStart::started)
            member.fd.reset();
    }
}

/// Speaks where the connection has come up, and leaves where the sender has closed it.
void Crowd::attend(Member& member, short events) {
    const int fd = member.fd.get();
    if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0) return member.fd.reset();
    if (!member.connected && (events & POLLOUT) != 0) {
        member.connected = true;
        const auto words = kFirstWords[connected_++ % kFirstWords.size()];
        send(fd, words.data(), words.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    if ((events & POLLIN) == 0) return;
    net::discardUnread(fd, SIZE_MAX);
    if (net::unreadState(fd) != net::UnreadState::nothing) member.fd.reset();
}

void Crowd::run() {
    std::vector<pollfd> polled(members_.size());
    while (!over_) {
        connectAbsent();
        for (std::size_t i = 0; i < members_.size(); ++i) {
            const auto& member = members_[i];
            const short events = member.connected ? POLLIN : POLLOUT;
            polled[i] = {member.fd ? member.fd.get() : -1, events, 0};
        }
        if (poll(polled.data(), polled.size(), kPollMs) > 0)
            for (std::size_t i = 0; i < members_.size(); ++i)
                if (polled[i].revents != 0) attend(members_[i], polled[i].revents);
        std::this_thread::sleep_for(kPause);
    }
}

}  // namespace laurelhaven::lab::soak
