// A sender is killed; while it is down an endpoint drains, and then discovery falls silent. The sender starts
// from its kept list. Does the drained endpoint get anything new?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr std::int64_t kCalmMs = 6000, kDownMs = 600, kDrainAfterMs = 150, kSilentAfterMs = 350,
                       kSilentMs = 8000, kRestMs = 6000;
// Told from the first moment of the new process; the grace is 250 ms, and 50 ms as sockets have it.
constexpr std::int64_t kGraceMs = 300;
constexpr double kPerSecond = 20;

std::atomic<bool> drained{false}, silent{false};
std::atomic<std::int64_t> toldAt{0};
std::atomic<int> late{0}, toSuccessor{0}, before{0};
std::string oldAddress, newAddress;

std::vector<Entry> entries(bool changed) {
    Entry first{"s-1", oldAddress, 1, 30};
    if (!changed) return {first};
    first.status = "DRAINING";
    return {first, {"s-2", newAddress, 1, 30}};
}
int listIndex() { return drained ? 42 : 41; }

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
        if (has < listIndex()) has = listIndex(), text = listText(entries(has == 42), has, false) + "\n";
        else if (nowMs() - beat >= 2000) text = "\n";
        else continue;
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
        if (!sendAll(fd, response(200, "", listText(entries(drained), listIndex(), true)))) return;
    }
}

void serve(bool isOld, int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message call;
    while (!ending) {
        const auto got = readMessage(fd, rest, call, nowMs() + 200);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        // GET /health/live shows that the process runs; it runs while it drains.
        const bool probe = call.first.rfind("GET ", 0) == 0;
        record.line("%s %s at the %s endpoint", probe ? "probe" : "call", call.field("req-id").c_str(),
                    isOld ? "old" : "new");
        const bool refuses = isOld && drained && !probe;
        if (!probe && !isOld) ++toSuccessor;
        if (!probe && isOld && !drained) ++before;
        if (refuses && toldAt != 0 && nowMs() > toldAt + kGraceMs) ++late;
        if (!probe && !refuses) sleepMs(100);
        if (!sendAll(fd,
                     response(refuses ? 503 : 200, "Srv-Load: x0=0,x1=0\r\n", "ran " + call.field("req-id"))))
            return;
        if (call.field("connection") == "close") return;
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin(argc, argv);
    Server oldServer([](int fd, const std::atomic<bool>& ending) { serve(true, fd, ending); });
    Server newServer([](int fd, const std::atomic<bool>& ending) { serve(false, fd, ending); });
    oldAddress = oldServer.address(), newAddress = newServer.address();
    Server platform(agent);
    Settings settings;
    settings.grades =
        R"([{"credit":1.0,"effect":"token","give-up-ns":28000000000,"key-scope":"all","key-ttl-ns":15000000000,"late-share":0.5,"name":"notice","slo-ns":4000000000,"stream":false}])";
    settings.discovery = platform.address();
    settings.known = listText(entries(false), 41, true);
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
                    message.id = id16("t0", i);
                    message.key = key32(message.id);
                    message.destination = 1;
                    const int status = hands.submit(message);
                    record.line("handed in %s: %d", message.id.c_str(), status);
                });
            });
            sleepUntilMs(begun + kCalmMs);
            bool back = true;
            if (run.trouble) sender.kill(SIGKILL);
            sleepMs(kDrainAfterMs);
            drained = true;
            if (!run.trouble) toldAt = nowMs();
            record.line("the old endpoint drains, the new one serves; the agent has it");
            if (run.trouble) {
                sleepMs(kSilentAfterMs - kDrainAfterMs);
                silent = true;
                record.line("discovery falls silent");
                sleepMs(kDownMs - kSilentAfterMs);
                toldAt = nowMs();
                back = sender.start();
                sleepUntilMs(begun + kCalmMs + kSilentAfterMs + kSilentMs);
                silent = false;
                record.line("discovery answers again");
            }
            client.join();
            sleepMs(500);
            if (back) {
                verdict = late > 0 ? kBroken : kHeld;
                if (before < 50) verdict = kCouldNotRun;
                why = std::to_string(late) + " calls to the drained endpoint after the grace, " +
                      std::to_string(toSuccessor) + " to its successor";
            }
        }
    }
    platform.stop();
    oldServer.stop();
    newServer.stop();
    return end(verdict, why);
}
