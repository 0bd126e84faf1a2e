#include "soak/crowd.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <string_view>

namespace laurelhaven::lab::soak {
namespace {

constexpr int kPollMs = 20;
constexpr std::chrono::milliseconds kPause{5};  // between two rounds
constexpr int kShortFields = 4000;              // of four bytes: just under the usual limit of 16 KiB
constexpr std::size_t kLargestBody = 65536;

std::string shortFields() {
    std::string fields;
    for (int i = 0; i < kShortFields; ++i) fields += "a:\r\n";
    return fields;
}

}  // namespace

std::vector<std::string> idleTexts() {
    return {"", "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", "POST /notice HTTP/1.1\r\nReq-Id: "};
}

std::vector<std::string> hoardingTexts() {
    const std::string line = "POST /notice HTTP/1.1\r\n";
    const std::string length = "Content-Length: " + std::to_string(kLargestBody) + "\r\n";
    const std::string body(kLargestBody - 1, 'b');
    return {line + shortFields(), line + length + "\r\n" + body,
            line + length + shortFields() + "\r\n" + body};
}

Crowd::Crowd(const std::string& address, std::size_t connections, std::function<bool()> mayConnect,
             std::vector<std::string> texts)
    : address_(net::parseAddress(address).value()),
      mayConnect_(std::move(mayConnect)),
      texts_(std::move(texts)),
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
        member.unsent = texts_[connected_++ % texts_.size()];
    }
    if (member.connected && !member.unsent.empty()) {
        const auto sent = net::sendSome(fd, member.unsent);
        if (!sent) return member.fd.reset();
        member.unsent.remove_prefix(*sent);
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
            const short output = member.unsent.empty() ? short{} : short{POLLOUT};
            const auto events = static_cast<short>(member.connected ? POLLIN | output : POLLOUT);
            polled[i] = {member.fd ? member.fd.get() : -1, events, 0};
        }
        if (poll(polled.data(), polled.size(), kPollMs) > 0)
            for (std::size_t i = 0; i < members_.size(); ++i)
                if (polled[i].revents != 0) attend(members_[i], polled[i].revents);
        std::this_thread::sleep_for(kPause);
    }
}

}  // namespace laurelhaven::lab::soak
