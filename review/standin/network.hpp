// The network between the sender and an endpoint: a proxy that delays what passes, and keeps its order.
#pragma once

#include "harness.hpp"

namespace review {

constexpr double kLatency = 0.015;  // each way

/// Of the segments from the endpoint that come right behind another one, every other is lost once, and TCP sends it
/// again `sentAgain` seconds later. What follows on the connection waits for it.
class Network {
  public:
    Network(int to, double sentAgain) : to_(to), sentAgain_(sentAgain), server_([this](int fd) { carry(fd); }) {}
    std::string address() const { return server_.address(); }

  private:
    static constexpr double kRightBehind = 0.01;
    void pump(int from, int into, bool sendsAgain) {
        struct Part {
            double at;
            std::string bytes;  // empty: the end
        };
        std::mutex mutex;
        std::condition_variable changed;
        std::vector<Part> parts;
        std::thread writer([&] {
            for (std::size_t next = 0;; ++next) {
                Part part;
                {
                    std::unique_lock lock(mutex);
                    changed.wait(lock, [&] { return parts.size() > next; });
                    part = parts[next];
                }
                sleepUntil(part.at);
                if (part.bytes.empty()) return void(shutdown(into, SHUT_WR));
                sendAll(into, part.bytes);
            }
        });
        double last = -1, lastAt = 0;
        for (bool open = true; open;) {
            char bytes[16384];
            const auto got = recv(from, bytes, sizeof bytes, 0);
            open = got > 0;
            const double arrived = now();
            const bool behind = open && sendsAgain && last >= 0 && arrived - last < kRightBehind;
            const bool again = behind && ++segmentsBehind_ % 2 == 1;
            last = arrived;
            lastAt = std::max(lastAt, arrived + kLatency + (again ? sentAgain_ : 0));
            const std::lock_guard lock(mutex);
            parts.push_back({lastAt, open ? std::string(bytes, static_cast<std::size_t>(got)) : std::string()});
            changed.notify_one();
        }
        writer.join();
    }
    void carry(int sender) {
        const int endpoint = connectTo(to_);
        if (endpoint < 0) return;
        std::thread up([&] { pump(sender, endpoint, false); });
        pump(endpoint, sender, trouble());
        up.join();
        close(endpoint);
    }
    std::atomic<int> segmentsBehind_{0};
    int to_;
    double sentAgain_;
    Server server_;
};

}  // namespace review
