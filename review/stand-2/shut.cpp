// One large partner is shut for 10 s and comes back cold. Three senders, which were all refused there and
// told until when, must not push it over.
#include <cmath>
#include <deque>

#include "kit.hpp"

using namespace kit;

namespace {

constexpr double kCapacity = 108;  // calls a second, from all senders; the list names it as the weight
constexpr double kColdFrom = 0.19, kWarmUpS = 14, kMultiple = 2, kSpanS = 2;
constexpr std::int64_t kCalmMs = 12000, kShutMs = 10000, kWatchMs = 16000;
constexpr double kPerSecond = 30;  // to the partner, of each sender: a quarter of its messages
constexpr double kOthersPerSecond = 90;
constexpr int kSenders = 3, kServiceMs = 180, kNetworkMs = 2, kQueue = 6;

struct Arrival {
    std::int64_t at;
    int sender;
    int status;
};
std::mutex mutex;
std::vector<Arrival> arrivals;
std::int64_t shutFrom = 0, shutUntil = 0;
std::set<int> told;  // senders that were refused while it was shut
double backlog = 0;  // calls waiting, at backlogAt
std::int64_t backlogAt = 0;
int refusals = 0;
bool fallen = false;                      // pushed over: it refuses all from then on
int taken = 0, delivered = 0, given = 0;  // messages for the partner

double shareAt(std::int64_t at) {
    if (at < shutUntil) return 1;
    const double warm = static_cast<double>(at - shutUntil) / 1000 / kWarmUpS;
    return std::min(1.0, kColdFrom + (1 - kColdFrom) * warm);
}

/// What a destination with this capacity may get in the span from `at` on: multiple x capacity x span.
double allowed(std::int64_t at) {
    double capacity = 0;
    for (int i = 0; i < 200; ++i)
        capacity += kCapacity * shareAt(at + static_cast<std::int64_t>(i * kSpanS * 5)) / 200;
    const double n = kMultiple * capacity * kSpanS;
    return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}

/// What a call gets, with the wait that it tells in seconds.
struct Verdict {
    int status = 200;
    double wait = 0;
    std::int64_t pause = 0;
};

/// Whether what came last is more than it can bear, over two thirds of it from senders that were told.
bool overloaded() {
    int count = 0, fromTold = 0;
    for (auto it = arrivals.rbegin();
         it != arrivals.rend() && it->at >= shutUntil && arrivals.back().at - it->at <= kSpanS * 1000; ++it) {
        ++count;
        fromTold += static_cast<int>(told.count(it->sender));
        if (count > allowed(it->at) && 3 * fromTold > 2 * count) return true;
    }
    return false;
}

Verdict arrived(int sender) {
    const std::lock_guard lock(mutex);
    const auto now = nowMs();
    Verdict verdict;
    if (now >= shutFrom && now < shutUntil) {
        told.insert(sender);
        // Every second refusal tells when it opens.
        verdict.status = 503;
        if (refusals++ % 2 == 0)
            verdict.status = 429, verdict.wait = static_cast<double>(shutUntil - now) / 1000;
    } else if (fallen) {
        verdict.status = 503;
    } else {
        const double rate = kCapacity * shareAt(now);
        backlog = std::max(0.0, backlog - rate * static_cast<double>(now - backlogAt) / 1000);
        backlogAt = now;
        if (backlog >= kQueue) verdict.status = 503;
        else {
            verdict.pause = kServiceMs + static_cast<std::int64_t>(1000 * backlog / rate);
            backlog += 1;
        }
    }
    arrivals.push_back({now, sender, verdict.status});
    if (!fallen && now >= shutUntil && overloaded()) {
        fallen = true;
        record.line("the partner falls over");
    }
    return verdict;
}

void servePartner(int sender, int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message call;
    while (!ending) {
        const auto got = readMessage(fd, rest, call, nowMs() + 200);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        const auto id = call.field("req-id");
        const bool probe = call.first.rfind("GET ", 0) == 0;
        const auto verdict = arrived(sender);
        record.line("%s %s of n%d: %d, wait %.3f", probe ? "probe" : "call", id.c_str(), sender + 1,
                    verdict.status, verdict.wait);
        std::string fields = "Srv-Load: x0=0,x1=0\r\n";
        char wait[64];
        std::snprintf(wait, sizeof wait, "Retry-After: %.3f\r\n", verdict.wait);
        if (verdict.wait > 0) fields += wait;
        sleepMs(kNetworkMs + (probe ? 0 : verdict.pause));
        if (!sendAll(fd,
                     response(verdict.status, fields, verdict.status == 200 ? "ran " + id + "\n" : "full\n")))
            return;
        if (verdict.status == 200 && !probe) {
            const std::lock_guard lock(mutex);
            ++delivered;
        }
        if (call.field("connection") == "close") return;
    }
}

void serveOther(int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message call;
    while (!ending) {
        const auto got = readMessage(fd, rest, call, nowMs() + 200);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        if (call.first.rfind("GET ", 0) != 0) sleepMs(kServiceMs);
        if (!sendAll(fd, response(200, "Srv-Load: x0=0,x1=0\r\n", "ran " + call.field("req-id") + "\n")))
            return;
        if (call.field("connection") == "close") return;
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin(argc, argv);
    shutFrom = shutUntil = nowMs() + 10000000;
    backlogAt = nowMs();
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<std::unique_ptr<Platform>> platforms;
    std::vector<std::unique_ptr<Sender>> senders;
    int verdict = kCouldNotRun;
    std::string why = "a sender did not start";
    bool started = true;
    for (int s = 0; s < kSenders; ++s) {
        // The address of an endpoint may differ from one sender to the next: this tells who calls.
        servers.push_back(std::make_unique<Server>(
            [s](int fd, const std::atomic<bool>& ending) { servePartner(s, fd, ending); }));
        std::vector<Entry> entries{{"s-1", servers.back()->address(), 1, kCapacity}};
        for (int other = 2; other <= 7; ++other) {
            servers.push_back(std::make_unique<Server>(serveOther));
            entries.push_back({"s-" + std::to_string(other), servers.back()->address(), other, 45});
        }
        platforms.push_back(std::make_unique<Platform>(entries));
        platforms.back()->onNotice = [](const std::string& id, const std::string& state) {
            record.line("notice %s %s", id.c_str(), state.c_str());
            const std::lock_guard lock(mutex);
            given += id[0] == 'y';
        };
        Settings settings;
        settings.grades =
            R"([{"credit":1.0,"effect":"token","give-up-ns":28000000000,"key-scope":"all","key-ttl-ns":15000000000,"late-share":0.5,"name":"notice","slo-ns":4000000000,"stream":false}])";
        settings.senders = kSenders;
        settings.ordinal = s;
        settings.slots = 54;
        settings.held = 900;
        settings.discovery = platforms.back()->address();
        settings.known = platforms.back()->known();
        const auto name = "n" + std::to_string(s + 1);
        senders.push_back(std::make_unique<Sender>(run.root, run.temporary + "/" + name, name, settings));
        started = started && senders.back()->start();
    }
    if (started) {
        const auto begun = nowMs();
        {
            const std::lock_guard lock(mutex);
            if (run.trouble) shutFrom = begun + kCalmMs, shutUntil = shutFrom + kShutMs;
        }
        const auto opens = begun + kCalmMs + kShutMs;
        const auto until = opens + kWatchMs;
        std::vector<std::thread> clients;
        for (int s = 0; s < kSenders; ++s)
            for (int other = 0; other < 2; ++other)
                clients.emplace_back([&, s, other] {
                    Client client(senders[static_cast<std::size_t>(s)]->port());
                    steadily(other ? kOthersPerSecond : kPerSecond, until, [&](unsigned i) {
                        Submission message;
                        const std::string kind{other ? 'x' : 'y', static_cast<char>('a' + s)};
                        message.id = id16(kind.c_str(), i);
                        message.key = key32(message.id);
                        message.destination = other ? 2 + static_cast<int>(i % 6) : 1;
                        const int status = client.submit(message);
                        if (other) return;
                        record.line("n%d handed %s: %d", s + 1, message.id.c_str(), status);
                        const std::lock_guard lock(mutex);
                        taken += status == 200 || status == 202;
                    });
                });
        for (auto& client : clients) client.join();
        const std::lock_guard lock(mutex);
        verdict = kHeld;
        why = "no span of 2 s over what a cold partner may get";
        double worst = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals.size(); ++last) {
            if (arrivals[last].at < opens) continue;
            while (arrivals[first].at < opens || arrivals[last].at - arrivals[first].at > kSpanS * 1000)
                ++first;
            const auto count = static_cast<double>(last - first + 1);
            const double most = run.trouble ? allowed(arrivals[first].at) : 1e9;
            if (verdict == kBroken) break;  // it has fallen over; what comes then doesn't matter
            int fromTold = 0;
            for (auto i = first; i <= last; ++i) fromTold += static_cast<int>(told.count(arrivals[i].sender));
            if (count / most > worst && run.trouble) {
                worst = count / most;
                char text[200];
                std::snprintf(
                    text, sizeof text,
                    "%.0f calls in %lld ms from %lld ms after the return on, %d of them of senders that "
                    "were refused; at most %.1f allowed",
                    count, static_cast<long long>(arrivals[last].at - arrivals[first].at),
                    static_cast<long long>(arrivals[first].at - opens), fromTold, most);
                why = text;
            }
            if (count > most && 3 * fromTold > 2 * count) verdict = kBroken;
        }
        why += "; of " + std::to_string(taken) + " messages taken on for the partner " +
               std::to_string(delivered) + " delivered, " + std::to_string(given) + " given up by then";
        if (arrivals.size() < 200) verdict = kCouldNotRun, why = "too few calls";
    }
    senders.clear();
    for (auto& platform : platforms) platform->stop();
    for (auto& server : servers) server->stop();
    return end(verdict, why);
}
