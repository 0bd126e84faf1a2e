#include "standin/server.hpp"

#include <sys/socket.h>

#include <chrono>

namespace laurelhaven::lab {

using std::chrono::milliseconds;

namespace {

std::uint64_t nextNumber() {
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

}  // namespace

Connection::Connection(int fd, const std::atomic<bool>& ending)
    : fd_(fd), ending_(ending), number_(nextNumber()) {}

bool Connection::send(std::string_view bytes) {
    return net::sendAll(fd_, bytes, net::Steady::now() + std::chrono::seconds(5)) == net::IoResult::done;
}
bool Connection::open() const {
    const auto unread = net::unreadState(fd_);
    return !ending_ && (unread == net::UnreadState::nothing || unread == net::UnreadState::bytes);
}
bool Connection::pause(std::chrono::nanoseconds span) const {
    for (const auto until = net::Steady::now() + span; net::Steady::now() < until;) {
        if (!open()) return false;
        std::this_thread::sleep_for(
            std::min<std::chrono::nanoseconds>(until - net::Steady::now(), milliseconds(20)));
    }
    return open();
}

// To connect to no address breaks a TCP connection with a reset, and keeps the descriptor.
void Connection::reset() {
    sockaddr nowhere{};
    nowhere.sa_family = AF_UNSPEC;
    connect(fd_, &nowhere, sizeof nowhere);
}

Server::Server(std::string address, Handler handler)
    : address_(std::move(address)), handler_(std::move(handler)) {}
Server::~Server() { stop(); }

void Server::start() {
    if (acceptor_.joinable()) return;
    ending_ = false;
    listener_ = net::listenOn(*net::parseAddress(address_), 256);
    // Port 0 becomes the one that it got, and stays.
    if (const auto colon = address_.rfind(':'); address_.substr(colon) == ":0")
        address_.replace(colon + 1, std::string::npos, std::to_string(net::localPort(listener_.get())));
    acceptor_ = std::thread([this, fd = listener_.get()] { accept(fd); });
}

void Server::stop() {
    if (!acceptor_.joinable()) return;
    ending_ = true;
    net::shutdownBoth(listener_.get());
    acceptor_.join();
    listener_.reset();
    {
        const std::lock_guard lock(mutex_);
        for (auto& peer : peers_) {
            const linger reset{1, 0};
            setsockopt(peer.fd.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            net::shutdownBoth(peer.fd.get());
        }
    }
    for (auto& peer : peers_) peer.thread.join();
    peers_.clear();
}

void Server::cut() {
    const std::lock_guard lock(mutex_);
    for (auto& peer : peers_) net::shutdownBoth(peer.fd.get());
}

void Server::reap() {
    for (auto it = peers_.begin(); it != peers_.end();) {
        if (!it->done) {
            ++it;
            continue;
        }
        it->thread.join();
        it = peers_.erase(it);
    }
}

void Server::accept(int listener) {
    for (;;) {
        net::Fd fd(accept4(listener, nullptr, nullptr, SOCK_CLOEXEC));
        if (!fd || ending_) return;
        const std::lock_guard lock(mutex_);
        reap();
        Peer& peer = peers_.emplace_back();
        peer.fd = std::move(fd);
        peer.thread = std::thread([this, &peer] {
            serve(peer);
            net::shutdownBoth(peer.fd.get());
            peer.done = true;
        });
    }
}

void Server::serve(Peer& peer) {
    http::Parser parser(http::Parser::Role::request);
    Connection connection(peer.fd.get(), ending_);
    for (std::string got; !ending_; got.clear()) {
        const auto io = net::receive(peer.fd.get(), got, net::Steady::now() + milliseconds(500));
        if (io == net::IoResult::timedOut) continue;
        if (io != net::IoResult::done) return;
        for (auto state = parser.feed(got); state == http::Parser::State::complete; state = parser.next()) {
            while (silent_ && !ending_) std::this_thread::sleep_for(milliseconds(20));
            if (ending_ || !handler_(parser.message(), connection)) return;
            if (!parser.message().keepsAlive() && !ignoresClose_) return;
        }
        if (parser.state() == http::Parser::State::bad) return;
    }
}

}  // namespace laurelhaven::lab
