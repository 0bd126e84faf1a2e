// A sender is killed. While it is down endpoints are replaced, some by new ones of another partner at the
// address of one that has gone, and then discovery falls silent. The sender starts from its kept list. Does a
// partner get messages that are for another one?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kPartners = 26, kReplaced = 5;
constexpr std::int64_t kCalmMs = 6000, kDownMs = 8000, kReplaceFromMs = 700, kReplaceEveryMs = 1450,
                       kSilentBeforeMs = 500, kSilentMs = 8000, kRestMs = 3000;
// What the agent has is told from the first moment of the new process on. No grace is in the rule on whose
// message it is; the one for drains, 250 ms and 50 ms of sockets, is given all the same.
constexpr std::int64_t kGraceMs = 300;
constexpr double kPerSecond = 40;

std::mutex mutex;
std::map<std::string, int> partnerOf;                // the partner that a message is for
std::vector<std::atomic<int>> group(kPartners + 2);  // whose process listens at each place now
std::vector<std::string> places(kPartners + 2);
std::vector<Entry> listed;
std::map<std::string, Entry> changes;  // by name, since index 41
int index = 41;
std::atomic<bool> silent{false};
std::atomic<std::int64_t> startedAt{0};
int foreign = 0, own = 0;

std::string chunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

void watch(int fd, const std::atomic<bool>& ending, int has) {
    if (!sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    for (auto beat = nowMs(); !ending; sleepMs(10)) {
        char byte;
        if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) return;
        if (silent) continue;
        std::string text;
        {
            const std::lock_guard lock(mutex);
            if (has < index) {
                std::vector<Entry> all;
                for (const auto& [name, entry] : changes) all.push_back(entry);
                has = index, text = listText(all, index, false) + "\n";
            } else if (nowMs() - beat >= 2000) text = "\n";
            else continue;
        }
        beat = nowMs();
        if (!sendAll(fd, chunk(text))) return;
    }
}

void agent(int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message request;
    while (!ending) {
        const auto got = readMessage(fd, rest, request, nowMs() + 200);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        record.line("platform: %s", request.first.c_str());
        if (request.first.rfind("POST /v1/notices", 0) == 0) {  // answered also while discovery is down
            if (!sendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n")) return;
            continue;
        }
        while (silent && !ending) sleepMs(10);
        if (request.first.find("watch=1") != std::string::npos)
            return watch(fd, ending, std::atoi(request.first.c_str() + request.first.find("after=") + 6));
        std::string text;
        {
            const std::lock_guard lock(mutex);
            text = listText(listed, index, true);
        }
        if (!sendAll(fd, response(200, "", text))) return;
    }
}

void serve(std::size_t place, int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message call;
    while (!ending) {
        const auto got = readMessage(fd, rest, call, nowMs() + 200);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        const bool probe = call.first.rfind("GET ", 0) == 0;
        const auto id = call.field("req-id");
        int status = 200;
        {
            const std::lock_guard lock(mutex);
            if (!probe && partnerOf[id] != group[place]) {
                status = 400;
                const bool counts = startedAt != 0 && nowMs() > startedAt + kGraceMs;
                foreign += counts;
                record.line("FOREIGN %s is for partner %d and came to an endpoint of partner %d%s",
                            id.c_str(), partnerOf[id], group[place].load(),
                            counts ? "" : " (within the grace)");
            } else if (!probe) {
                ++own;
                record.line("call %s at partner %d", id.c_str(), group[place].load());
            } else record.line("probe at partner %d", group[place].load());
        }
        if (!probe && status == 200) sleepMs(100);
        if (!sendAll(fd, response(status, "Srv-Load: x0=0,x1=0\r\n", "for " + id + "\n"))) return;
        if (call.field("connection") == "close") return;
    }
}

/// The endpoint of a partner is replaced by a new one at that place.
void replace(int partner, std::size_t place) {
    const std::lock_guard lock(mutex);
    Entry gone = listed[static_cast<std::size_t>(partner - 1)];
    gone.status = "DELETED";
    Entry fresh{"s-new" + std::to_string(partner), places[place], partner, 30};
    listed[static_cast<std::size_t>(partner - 1)] = fresh;
    changes[gone.name] = gone;
    changes[fresh.name] = fresh;
    group[place] = partner;
    ++index;
    record.line("partner %d: %s has gone, %s serves at %s", partner, gone.name.c_str(), fresh.name.c_str(),
                fresh.address.c_str());
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin(argc, argv);
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t place = 0; place < places.size(); ++place) {
        servers.push_back(std::make_unique<Server>(
            [place](int fd, const std::atomic<bool>& ending) { serve(place, fd, ending); }));
        places[place] = servers.back()->address();
        group[place] = static_cast<int>(place);
        if (place > 0 && place <= kPartners)
            listed.push_back({"s-" + std::to_string(place), places[place], static_cast<int>(place), 30});
    }
    Server platform(agent);
    Settings settings;
    settings.grades =
        R"([{"credit":1.0,"effect":"token","give-up-ns":28000000000,"key-scope":"all","key-ttl-ns":15000000000,"late-share":0.5,"name":"notice","slo-ns":4000000000,"stream":false}])";
    settings.discovery = platform.address();
    settings.known = listText(listed, 41, true);
    int verdict = kCouldNotRun;
    std::string why = "the sender did not start";
    {
        Sender sender(run.root, run.temporary + "/n1", "n1", settings);
        if (sender.start()) {
            const auto begun = nowMs();
            const auto until = begun + kCalmMs + kDownMs + kSilentMs + kRestMs;
            std::thread client([&] {
                Client hands(sender.port());
                steadily(kPerSecond, until, [&](unsigned i) {
                    Submission message;
                    message.id = id16("f0", i);
                    message.key = key32(message.id);
                    message.destination = static_cast<int>(i % kPartners) + 1;
                    {
                        const std::lock_guard lock(mutex);
                        partnerOf[message.id] = message.destination;
                    }
                    const int status = hands.submit(message);
                    record.line("handed in %s for %d: %d", message.id.c_str(), message.destination, status);
                });
            });
            sleepUntilMs(begun + kCalmMs);
            bool back = true;
            if (run.trouble) sender.kill(SIGKILL);
            const auto down = nowMs();
            for (int i = 0; i < kReplaced; ++i) {
                sleepUntilMs(down + kReplaceFromMs + i * kReplaceEveryMs);
                // The first moves to a new place; each later one to that of the partner before it, which has
                // gone.
                replace(i + 1, i == 0 ? kPartners + 1 : static_cast<std::size_t>(i));
            }
            if (run.trouble) {
                sleepUntilMs(down + kDownMs - kSilentBeforeMs);
                silent = true;
                record.line("discovery falls silent");
                sleepUntilMs(down + kDownMs);
                startedAt = nowMs();
                back = sender.start();
                sleepUntilMs(down + kDownMs - kSilentBeforeMs + kSilentMs);
                silent = false;
                record.line("discovery answers again");
            } else startedAt = down;
            client.join();
            sleepMs(500);
            if (back) {
                const std::lock_guard lock(mutex);
                verdict = foreign > 0 ? kBroken : kHeld;
                if (own < 100) verdict = kCouldNotRun;
                why = std::to_string(foreign) + " messages came to an endpoint of another partner, " +
                      std::to_string(own) + " to their own";
            }
        }
    }
    platform.stop();
    for (auto& server : servers) server->stop();
    return end(verdict, why);
}
