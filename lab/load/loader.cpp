#include "load/loader.hpp"

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <deque>
#include <memory>
#include <mutex>
#include <queue>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::load {
namespace {

using std::chrono::milliseconds;

struct Shared {
    const std::vector<Message>& messages;
    const Options& options;
    std::vector<net::Address> addresses;
    Moment begin;
    std::atomic<std::uint64_t> turn{0}, due{0}, taken{0}, refused{0}, unanswered{0};
};

[[noreturn]] void fail(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

enum class Phase { connecting, sending, receiving, idle };

struct Connection {
    net::Fd fd;
    std::size_t sender = 0;
    Phase phase = Phase::connecting;
    bool warm = false;  // it carried a request before
    std::string out;
    std::size_t sent = 0;
    http::Parser parser{http::Parser::Role::response};
    bool begun = false;  // of the answer some bytes have come
    std::size_t message = 0;
    Moment due, sentAt;
    std::uint64_t request = 0;  // a time-out for an earlier one means nothing
};

/// One thread's part: its messages, its connections, its clock.
class Worker {
  public:
    Worker(Shared& shared, std::vector<Handed>& handed, std::size_t first, std::size_t step, int connections)
        : shared_(shared),
          handed_(handed),
          next_(first),
          step_(step),
          most_(static_cast<std::size_t>(std::max(1, connections))),
          epoll_(epoll_create1(EPOLL_CLOEXEC)),
          timer_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
          idle_(shared.addresses.size()) {
        if (!epoll_ || !timer_) fail("epoll");
        watch(timer_.get(), EPOLLIN, kTimer, EPOLL_CTL_ADD);
    }

    void run() {
        while (step()) {
        }
    }

    Times times;
    std::uint64_t tries = 0, connects = 0;
    std::size_t used = 0;

  private:
    static constexpr std::uint64_t kTimer = UINT64_MAX;

    struct Alarm {
        Moment at;
        bool send = false;          // else the end of a client's patience
        std::size_t which = 0;      // message or connection
        std::uint64_t request = 0;  // of the connection
        bool operator>(const Alarm& other) const { return at > other.at; }
    };

    struct Waiting {  // a try that is due
        Moment due;
        std::size_t message = 0, sender = 0;
    };

    /// Senders have the tries of all threads by turns.
    void wait(Moment due, std::size_t message) {
        waiting_.push_back(
            {due, message, static_cast<std::size_t>(shared_.turn++ % shared_.addresses.size())});
    }

    bool step() {
        const auto now = Steady::now();
        while (next_ < shared_.messages.size() && dueAt(next_) <= now) {
            ++shared_.due;
            handed_[next_].due = dueAt(next_);
            ++open_;
            wait(dueAt(next_), next_);
            next_ += step_;
        }
        while (!alarms_.empty() && alarms_.top().at <= now) {
            const auto alarm = alarms_.top();
            alarms_.pop();
            if (alarm.send) wait(alarm.at, alarm.which);
            else if (connections_[alarm.which] && connections_[alarm.which]->request == alarm.request &&
                     connections_[alarm.which]->phase != Phase::idle)
                lost(alarm.which, false);
        }
        while (!waiting_.empty() && begin()) {
        }
        auto wake = Moment::max();
        if (next_ < shared_.messages.size()) wake = dueAt(next_);
        if (!alarms_.empty()) wake = std::min(wake, alarms_.top().at);
        if (open_ == 0 && next_ >= shared_.messages.size()) return false;
        arm(wake);
        epoll_event events[64];
        const int n = epoll_wait(epoll_.get(), events, 64, 1000);
        if (n < 0 && errno != EINTR) fail("epoll_wait");
        for (int i = 0; i < n; ++i) {
            if (events[i].data.u64 == kTimer) {
                std::uint64_t expired;
                while (read(timer_.get(), &expired, sizeof expired) > 0) {
                }
            } else if (connections_[events[i].data.u64]) {
                ready(events[i].data.u64);
            }
        }
        return true;
    }

    Moment dueAt(std::size_t m) const { return shared_.begin + shared_.messages[m].at; }

    void arm(Moment at) {
        if (at == armed_) return;
        armed_ = at;
        itimerspec spec{};
        if (at != Moment::max()) {
            const auto ns = std::max<std::int64_t>(1, at.time_since_epoch().count());
            spec.it_value.tv_sec = ns / 1'000'000'000;
            spec.it_value.tv_nsec = ns % 1'000'000'000;
        }
        timerfd_settime(timer_.get(), TFD_TIMER_ABSTIME, &spec, nullptr);
    }

    void watch(int fd, std::uint32_t what, std::uint64_t name, int op) {
        epoll_event event{};
        event.events = what;
        event.data.u64 = name;
        if (epoll_ctl(epoll_.get(), op, fd, &event) != 0) fail("epoll_ctl");
    }

    /// The first message that waits goes out; false where there is no connection for it.
    bool begin() {
        const auto [due, m, sender] = waiting_.front();
        const auto until = handed_[m].due + shared_.messages[m].deadline;
        if (Steady::now() >= until) {
            waiting_.pop_front();
            ended(m);
            return true;
        }
        std::size_t c = SIZE_MAX;
        auto& idle = idle_[sender];
        while (!idle.empty() && c == SIZE_MAX) {
            c = idle.back();
            idle.pop_back();
            if (!connections_[c] || connections_[c]->phase != Phase::idle) c = SIZE_MAX;
            else if (!net::isIdle(connections_[c]->fd.get())) drop(c), c = SIZE_MAX;
        }
        if (c == SIZE_MAX && (c = open(sender)) == SIZE_MAX) return false;
        waiting_.pop_front();
        auto& connection = *connections_[c];
        connection.message = m;
        connection.due = due;
        const auto& message = shared_.messages[m];
        auto& handed = handed_[m];
        const auto id = message.key + "-" + std::to_string(handed.tries++);
        ++tries;
        if (shared_.options.trying) shared_.options.trying(id, m);
        const auto now = Steady::now();
        const auto left = std::chrono::duration_cast<milliseconds>(until - now).count();
        http::Fields fields{{"Req-Id", id},
                            {"Req-Kind", message.grade},
                            {"Req-Owner", message.tenant},
                            {"Req-Deadline-Ms", std::to_string(std::max<long>(1, left))},
                            {"Idempotency-Key", message.key},
                            {"X-Route-To", "dest=" + std::to_string(message.destination)}};
        if (handed.tries > 1) fields.emplace_back("Req-Retry", handed.status == 0 ? "again" : "1");
        connection.out =
            http::formatRequest("POST", "/" + message.grade, shared_.addresses[connection.sender].text,
                                fields, std::string(message.bytes, 'b'));
        connection.sent = 0;
        connection.sentAt = now;
        times.late.add(std::chrono::duration<double>(now - due).count());
        ask(c, now + shared_.options.policy.patience);
        return true;
    }

    void ask(std::size_t c, Moment until) {
        auto& connection = *connections_[c];
        connection.parser = http::Parser(http::Parser::Role::response);
        connection.begun = false;
        connection.request = ++requests_;
        alarms_.push({until, false, c, connection.request});
        if (connection.phase == Phase::connecting) return;
        connection.phase = Phase::sending;
        push(c);
    }

    std::size_t open(std::size_t sender) {
        if (used_ >= most_ && !evict()) return SIZE_MAX;
        net::Fd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        if (!fd) {
            // Descriptors have run out: what waits goes when one comes back.
            if ((errno == EMFILE || errno == ENFILE) && used_ > 0) return SIZE_MAX;
            fail("socket");
        }
        const int one = 1;
        setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const auto& to = shared_.addresses[sender].socketAddress;
        const int rc = connect(fd.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
        auto made = std::make_unique<Connection>();
        made->sender = sender;
        // A refusal at once is found by its event, as every other.
        made->phase = rc == 0 ? Phase::idle : Phase::connecting;
        std::size_t c = connections_.size();
        if (free_.empty()) connections_.emplace_back();
        else c = free_.back(), free_.pop_back();
        watch(fd.get(), EPOLLOUT, c, EPOLL_CTL_ADD);
        made->fd = std::move(fd);
        connections_[c] = std::move(made);
        ++connects;
        used = std::max(used, ++used_);
        return c;
    }

    /// Makes room by an idle connection to another sender.
    bool evict() {
        for (auto& idle : idle_)
            while (!idle.empty()) {
                const auto c = idle.front();
                idle.erase(idle.begin());
                if (!connections_[c] || connections_[c]->phase != Phase::idle) continue;
                drop(c);
                return true;
            }
        return false;
    }

    void drop(std::size_t c) {
        connections_[c].reset();
        free_.push_back(c);
        --used_;
    }

    void ready(std::size_t c) {
        auto& connection = *connections_[c];
        switch (connection.phase) {
            case Phase::connecting: {
                int error = 0;
                socklen_t length = sizeof error;
                getsockopt(connection.fd.get(), SOL_SOCKET, SO_ERROR, &error, &length);
                if (error != 0) return lost(c, false);
                connection.phase = Phase::sending;
                return push(c);
            }
            case Phase::sending: return push(c);
            case Phase::receiving: return pull(c);
            case Phase::idle:
                // It ended, or said something unasked: of no use either way. In `idle_` it is passed over.
                return drop(c);
        }
    }

    void push(std::size_t c) {
        auto& connection = *connections_[c];
        while (connection.sent < connection.out.size()) {
            const auto n = send(connection.fd.get(), connection.out.data() + connection.sent,
                                connection.out.size() - connection.sent, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return watch(connection.fd.get(), EPOLLOUT, c, EPOLL_CTL_MOD);
            if (n < 0) return lost(c, true);
            connection.sent += static_cast<std::size_t>(n);
        }
        connection.phase = Phase::receiving;
        watch(connection.fd.get(), EPOLLIN, c, EPOLL_CTL_MOD);
    }

    void pull(std::size_t c) {
        auto& connection = *connections_[c];
        char buffer[4096];
        for (;;) {
            const auto n = recv(connection.fd.get(), buffer, sizeof buffer, 0);
            if (n < 0 && errno == EINTR) continue;
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
            if (n <= 0) {
                if (n == 0 && connection.begun && connection.parser.finish() == http::Parser::State::complete)
                    break;
                return lost(c, true);
            }
            connection.begun = true;
            const auto state = connection.parser.feed({buffer, static_cast<std::size_t>(n)});
            if (state == http::Parser::State::complete) break;
            if (state == http::Parser::State::bad) return lost(c, false);
        }
        answered(c);
    }

    void answered(std::size_t c) {
        auto& connection = *connections_[c];
        const auto now = Steady::now();
        const auto& answer = connection.parser.message();
        const auto m = connection.message;
        auto& handed = handed_[m];
        count(connection, now);
        handed.status = answer.status;
        handed.answered = now;
        const auto& policy = shared_.options.policy;
        auto after = policy.pause;
        if (const auto* wait = answer.headers.find("Retry-After"))
            if (const auto seconds = http::parseDecimal(*wait))
                after = milliseconds(static_cast<long>(*seconds * 1000));
        const bool keep = answer.keepsAlive();
        if (keep) {
            connection.phase = Phase::idle;
            connection.warm = true;
            connection.request = ++requests_;
            idle_[connection.sender].push_back(c);
        } else {
            drop(c);
        }
        if (handed.status == 200 || handed.status == 202) {
            handed.taken.push_back(shared_.messages[m].key + "-" + std::to_string(handed.tries - 1));
            ++shared_.taken;
            return ended(m);
        }
        // Another answer than a refusal for now is final.
        if (handed.status >= 400 && handed.status != 429 && handed.status != 503) {
            ++shared_.refused;
            return ended(m);
        }
        again(m, std::min(after, policy.adviceMost), shared_.refused);
    }

    void count(const Connection& connection, Moment now) {
        times.sinceDue.add(std::chrono::duration<double>(now - connection.due).count());
        times.sinceSent.add(std::chrono::duration<double>(now - connection.sentAt).count());
    }

    /// No answer. A kept connection that the sender closed between two requests says nothing of this one: it
    /// goes out once more, on a new one.
    void lost(std::size_t c, bool broke) {
        auto& old = *connections_[c];
        if (broke && old.warm && !old.begun) {
            const auto sender = old.sender;
            auto moved = std::move(connections_[c]);
            drop(c);
            if (const auto fresh = open(sender); fresh != SIZE_MAX) {
                auto& connection = *connections_[fresh];
                connection.message = moved->message;
                connection.due = moved->due;
                connection.sentAt = moved->sentAt;
                connection.out = std::move(moved->out);
                return ask(fresh, moved->sentAt + shared_.options.policy.patience);
            }
            return unanswered(*moved);
        }
        const auto gone = std::move(connections_[c]);
        drop(c);
        unanswered(*gone);
    }

    void unanswered(const Connection& connection) {
        const auto m = connection.message;
        count(connection, Steady::now());
        handed_[m].status = 0;
        handed_[m].answered = Steady::now();
        again(m, shared_.options.policy.pause, shared_.unanswered);
    }

    void again(std::size_t m, milliseconds after, std::atomic<std::uint64_t>& counter) {
        const auto at = Steady::now() + after;
        if (handed_[m].tries >= shared_.options.policy.tries ||
            at >= handed_[m].due + shared_.messages[m].deadline) {
            ++counter;
            return ended(m);
        }
        alarms_.push({at, true, m, 0});
    }

    void ended(std::size_t) { --open_; }

    Shared& shared_;
    std::vector<Handed>& handed_;
    std::size_t next_, step_, most_;
    net::Fd epoll_, timer_;
    Moment armed_ = Moment::max();
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<std::size_t> free_;
    std::vector<std::vector<std::size_t>> idle_;  // by sender, the one used last at the end
    std::deque<Waiting> waiting_;
    std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> alarms_;
    std::uint64_t requests_ = 0;
    std::size_t open_ = 0;  // messages that have begun and not ended
    std::size_t used_ = 0;  // connections
};

}  // namespace

Result play(const std::vector<Message>& messages, const Options& options, Moment begin) {
    Shared shared{messages, options, {}, begin, {}, {}, {}, {}, {}};
    for (const auto& text : options.senders) {
        const auto address = net::parseAddress(text);
        if (!address) throw std::invalid_argument("'" + text + "' is no address such as 127.0.0.1:8443");
        shared.addresses.push_back(*address);
    }
    if (shared.addresses.empty()) throw std::invalid_argument("no sender is given");
    Result result;
    result.messages.resize(messages.size());
    const auto n = static_cast<std::size_t>(std::max(1, options.threads));
    std::vector<std::unique_ptr<Worker>> workers;
    for (std::size_t i = 0; i < n; ++i)
        workers.push_back(std::make_unique<Worker>(shared, result.messages, i, n,
                                                   options.connections / static_cast<int>(n)));
    std::exception_ptr failure;
    std::mutex mutex;
    std::atomic<std::size_t> running{n};
    std::vector<std::thread> threads;
    for (auto& worker : workers)
        threads.emplace_back([&, w = worker.get()] {
            try {
                w->run();
            } catch (...) {
                const std::lock_guard lock(mutex);
                failure = std::current_exception();
            }
            --running;
        });
    auto spoken = Steady::now();
    while (options.progress && running > 0) {
        std::this_thread::sleep_for(milliseconds(50));
        if (Steady::now() - spoken < std::chrono::seconds(1)) continue;
        spoken = Steady::now();
        options.progress({std::chrono::duration<double>(spoken - begin).count(), shared.due, shared.taken,
                          shared.refused, shared.unanswered});
    }
    for (auto& thread : threads) thread.join();
    if (failure) std::rethrow_exception(failure);
    for (const auto& worker : workers) {
        result.times.sinceDue.merge(worker->times.sinceDue);
        result.times.sinceSent.merge(worker->times.sinceSent);
        result.times.late.merge(worker->times.late);
        result.tries += worker->tries;
        result.connects += worker->connects;
        result.most += worker->used;
    }
    result.seconds = messages.empty() ? 0 : std::chrono::duration<double>(messages.back().at).count();
    return result;
}

}  // namespace laurelhaven::load
