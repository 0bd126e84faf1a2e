// Four of ten endpoints hang for 12 s. Has every message that was taken on got its end in time?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kDestinations = 10, kHanging = 4;
constexpr int kServiceMs = 200;
constexpr std::int64_t kCalmMs = 6000, kHangMs = 12000, kAfterMs = 8000;
constexpr double kPerSecond = 100;
constexpr int kUsualDeadlineMs = 12000, kShortDeadlineMs = 1000;
// Half a second after its time a message is lost; 50 ms for sockets.
constexpr std::int64_t kLateMs = 550;

struct Fate {
    std::int64_t due = 0, end = 0;
    int destination = 0, calls = 0;
    bool taken = false;
    std::string by;
};
std::mutex mutex;
std::map<std::string, Fate> fates;
std::int64_t hangFrom = 0, hangUntil = 0;

bool hangs(int destination) { return destination <= kHanging && nowMs() >= hangFrom && nowMs() < hangUntil; }

void ended(const std::string& id, const std::string& by) {
    const std::lock_guard lock(mutex);
    auto& fate = fates[id];
    record.line("end %s %s", id.c_str(), by.c_str());
    if (fate.end == 0) fate.end = nowMs(), fate.by = by;
}

void serve(int destination, int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message call;
    while (!ending) {
        const auto got = readMessage(fd, rest, call, nowMs() + 200);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        const auto id = call.field("req-id");
        record.line("call %s at %d", id.c_str(), destination);
        {
            const std::lock_guard lock(mutex);
            ++fates[id].calls;
        }
        if (hangs(destination)) {  // until the sender gives the call up
            while (!ending && readMessage(fd, rest, call, nowMs() + 200) == Got::nothing) {
            }
            return;
        }
        sleepMs(kServiceMs);
        if (hangs(destination)) return;
        ended(id, "delivered");
        if (!sendAll(fd, response(200, "Srv-Load: x0=0,x1=0\r\n", "ran " + id + "\n"))) return;
        if (call.field("connection") == "close") return;
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin(argc, argv);
    hangFrom = nowMs() + 1000000, hangUntil = hangFrom;
    std::vector<std::unique_ptr<Server>> endpoints;
    std::vector<Entry> entries;
    for (int d = 1; d <= kDestinations; ++d) {
        endpoints.push_back(
            std::make_unique<Server>([d](int fd, const std::atomic<bool>& ending) { serve(d, fd, ending); }));
        Entry entry;
        entry.name = "s-" + std::to_string(d);
        entry.address = endpoints.back()->address();
        entry.group = d;
        entry.weight = 15;
        entries.push_back(entry);
    }
    Platform platform(entries);
    platform.onNotice = [](const std::string& id, const std::string& state) { ended(id, state); };
    Settings settings;
    settings.grades =
        R"([{"credit":1.0,"effect":"side_effect","give-up-ns":12000000000,"late-share":0.5,"name":"notice","slo-ns":4000000000,"stream":false}])";
    settings.slots = 64;
    settings.sockets = 128;
    settings.held = 600;
    settings.discovery = platform.address();
    settings.known = platform.known();
    int verdict = kCouldNotRun;
    std::string why = "the sender did not start";
    {
        Sender sender(run.root, run.temporary + "/n1", "n1", settings);
        if (sender.start()) {
            if (run.trouble) hangFrom = nowMs() + kCalmMs, hangUntil = hangFrom + kHangMs;
            const auto until = nowMs() + kCalmMs + kHangMs + kAfterMs;
            std::vector<std::thread> clients;
            for (int c = 0; c < 4; ++c)
                clients.emplace_back([&, c] {
                    Client client(sender.port());
                    steadily(kPerSecond / 4, until, [&](unsigned i) {
                        Submission message;
                        const unsigned number = 4 * i + static_cast<unsigned>(c);
                        message.id = id16("m0", number);
                        message.destination = static_cast<int>(number % kDestinations) + 1;
                        message.deadlineMs = number % 7 == 0 ? kShortDeadlineMs : kUsualDeadlineMs;
                        const auto sentAt = nowMs();
                        {
                            const std::lock_guard lock(mutex);
                            auto& fate = fates[message.id];
                            fate.due = sentAt + message.deadlineMs;
                            fate.destination = message.destination;
                        }
                        const int status = client.submit(message);
                        record.line("handed in %s for %d, %d ms: %d", message.id.c_str(), message.destination,
                                    message.deadlineMs, status);
                        const std::lock_guard lock(mutex);
                        fates[message.id].taken = status == 200 || status == 202;
                    });
                });
            for (auto& client : clients) client.join();
            sleepMs(kUsualDeadlineMs + 1500);
            if (sender.exited()) {
                verdict = kBroken, why = "the sender ended by itself";
            } else {
                int taken = 0, lost = 0, delivered = 0;
                std::int64_t worst = 0;
                const std::lock_guard lock(mutex);
                for (const auto& [id, fate] : fates) {
                    if (!fate.taken) continue;
                    ++taken;
                    delivered += fate.by == "delivered";
                    const auto late = (fate.end == 0 ? nowMs() : fate.end) - fate.due;
                    if (late <= kLateMs) continue;
                    ++lost;
                    worst = std::max(worst, late);
                    record.line("LOST %s for %d: its end '%s' came %lld ms after its time, %d calls",
                                id.c_str(), fate.destination, fate.by.c_str(), static_cast<long long>(late),
                                fate.calls);
                }
                verdict = lost > 0 ? kBroken : kHeld;
                if (taken < 500) verdict = kCouldNotRun;
                why = std::to_string(lost) + " of " + std::to_string(taken) + " taken messages lost, " +
                      std::to_string(delivered) + " delivered, the latest end " + std::to_string(worst) +
                      " ms after its time";
            }
        }
    }
    platform.stop();
    for (auto& endpoint : endpoints) endpoint->stop();
    return end(verdict, why);
}
