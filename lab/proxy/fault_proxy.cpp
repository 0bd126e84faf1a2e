#include "proxy/fault_proxy.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <deque>
#include <utility>

namespace laurelhaven::lab {
namespace {

constexpr std::chrono::seconds kWriteLimit{5};

bool write(int fd, std::string_view bytes) {
    return net::sendAll(fd, bytes, net::Steady::now() + kWriteLimit) == net::IoResult::done;
}

}  // namespace

/// One connection of a client, with the one to the server that belongs to it, and a thread for each
/// direction.
class FaultProxy::Link {
  public:
    Link(FaultProxy& proxy, net::Fd client) : proxy_(proxy), client_(std::move(client)) {
        requests_ = std::thread([this] { passRequests(); });
    }
    ~Link() {
        net::shutdownBoth(client_.get());
        requests_.join();
    }

  private:
    void passRequests() {
        server_ = net::connectTo(proxy_.upstream_, net::Steady::now() + kWriteLimit, [](int) {});
        if (server_) {
            std::thread responses([this] { passResponses(); });
            readRequests();
            net::shutdownBoth(server_.get());
            responses.join();
        }
        net::shutdownBoth(client_.get());
    }

    void readRequests() {
        http::Parser parser(http::Parser::Role::request);
        std::string request;
        for (std::string got; receive(client_.get(), got); got.clear()) {
            request += got;
            for (auto state = parser.feed(got); state == http::Parser::State::complete;
                 state = parser.next()) {
                const auto size = request.size() - parser.leftover();
                if (!requestArrived(std::move(parser.message()), request.substr(0, size))) return;
                request.erase(0, size);
            }
            if (parser.state() == http::Parser::State::bad) return;
        }
    }

    /// Writes what waits for this request, and passes it on.
    bool requestArrived(http::Message message, const std::string& bytes) {
        std::string waiting;
        {
            const std::lock_guard lock(mutex_);
            waiting = std::exchange(forNextRequest_, {});
            unanswered_.push_back(std::move(message));
        }
        return (waiting.empty() || add(waiting)) && write(server_.get(), bytes);
    }

    /// Passes bytes on as they come, and follows where a response ends.
    void passResponses() {
        http::Parser parser(http::Parser::Role::response);
        std::string response;
        bool readable = true;
        for (std::string got; receiveOrAdd(got); got.clear()) {
            if (!write(client_.get(), got)) break;
            if (!readable) continue;
            response += got;
            for (auto state = parser.feed(got); state == http::Parser::State::complete;
                 state = parser.next()) {
                const auto size = response.size() - parser.leftover();
                responsePassed(parser.message().status, response.substr(0, size));
                response.erase(0, size);
            }
            readable = parser.state() != http::Parser::State::bad;
        }
        net::shutdownBoth(client_.get());
    }

    void responsePassed(int status, const std::string& bytes) {
        const std::lock_guard lock(mutex_);
        if (unanswered_.empty()) return;
        const auto request = std::move(unanswered_.front());
        unanswered_.pop_front();
        const auto added = proxy_.rule_(PassedResponse{request, status, bytes, ++responses_});
        if (!added) return;
        if (!added->delay) {
            forNextRequest_ = added->bytes;
            return;
        }
        delayed_ = added->bytes;
        delayedUntil_ = net::Steady::now() + *added->delay;
    }

    /// Reads from the server; meanwhile writes delayed bytes when their time has come.
    bool receiveOrAdd(std::string& into) {
        while (!delayed_.empty()) {
            const auto io = net::receive(server_.get(), into, delayedUntil_);
            if (io == net::IoResult::done) return true;
            if (io != net::IoResult::timedOut || !add(std::exchange(delayed_, {}))) return false;
        }
        return receive(server_.get(), into);
    }

    static bool receive(int fd, std::string& into) {
        for (;;) {
            const auto io = net::receive(fd, into, net::Steady::now() + std::chrono::hours(1));
            if (io != net::IoResult::timedOut) return io == net::IoResult::done;
        }
    }

    bool add(const std::string& bytes) {
        ++proxy_.additions_;
        return write(client_.get(), bytes);
    }

    FaultProxy& proxy_;
    net::Fd client_, server_;
    std::mutex mutex_;
    std::deque<http::Message> unanswered_;
    std::string forNextRequest_;
    std::size_t responses_ = 0;
    std::string delayed_;  // of the thread that passes responses, as is delayedUntil_
    net::Deadline delayedUntil_;
    std::thread requests_;
};

FaultProxy::FaultProxy(const std::string& upstream, Rule rule)
    : upstream_(net::parseAddress(upstream).value()),
      rule_(std::move(rule)),
      listener_(net::listenOn(*net::parseAddress("127.0.0.1:0"), 256)),
      acceptor_([this] { accept(); }) {}

FaultProxy::~FaultProxy() {
    net::shutdownBoth(listener_.get());
    acceptor_.join();
    links_.clear();
}

std::string FaultProxy::address() const {
    return "127.0.0.1:" + std::to_string(net::localPort(listener_.get()));
}

void FaultProxy::accept() {
    for (;;) {
        net::Fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (!fd) return;
        const int on = 1;  // what is added must not wait for an acknowledgement
        setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++connections_;
        const std::lock_guard lock(mutex_);
        links_.push_back(std::make_unique<Link>(*this, std::move(fd)));
    }
}

}  // namespace laurelhaven::lab
