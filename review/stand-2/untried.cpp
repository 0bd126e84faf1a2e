// A partner refuses connections; meanwhile the sender is killed and comes back. What it finds untried has
// most of its time left. Is over half of it given up early, with no call?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kPartners = 6, kServiceMs = 160;
constexpr std::int64_t kCalmMs = 8000, kOutageMs = 14000, kKillAfterMs = 3000, kDownMs = 1000, kRestMs = 8000;
constexpr double kToStruck = 6, kToOthers = 18;  // a second
constexpr int kTimeMs = 28000;
// Early: with more than this left of its time. At its time all that is owed has to be given up.
constexpr std::int64_t kEarlyMs = 5000;

struct Fate {
    std::int64_t takenAt = 0, due = 0, calledAt = 0, endAt = 0;
    int destination = 0;
    std::string by;
};
std::mutex mutex;
std::map<std::string, Fate> fates;

void ended(const std::string& id, const std::string& by) {
    const std::lock_guard lock(mutex);
    record.line("end %s %s", id.c_str(), by.c_str());
    auto& fate = fates[id];
    if (fate.endAt == 0) fate.endAt = nowMs(), fate.by = by;
}

void serve(int destination, int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message call;
    while (!ending) {
        const auto got = readMessage(fd, rest, call, nowMs() + 50);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        const auto id = call.field("req-id");
        record.line("call %s at %d", id.c_str(), destination);
        {
            const std::lock_guard lock(mutex);
            auto& fate = fates[id];
            if (fate.calledAt == 0) fate.calledAt = nowMs();
        }
        sleepMs(kServiceMs);
        if (ending) return;
        ended(id, "delivered");
        if (!sendAll(fd, response(200, "Srv-Load: x0=0,x1=0\r\n", "ran " + id + "\n"))) return;
        if (call.field("connection") == "close") return;
    }
}

std::unique_ptr<Server> partner(int destination, int port = 0) {
    return std::make_unique<Server>(
        [destination](int fd, const std::atomic<bool>& ending) { serve(destination, fd, ending); }, port);
}

void handIn(unsigned number, int destination, Client& client) {
    Submission message;
    message.id = id16(destination == 1 ? "s0" : "o0", number);
    message.key = key32(message.id);
    message.destination = destination;
    message.deadlineMs = kTimeMs;
    const auto sentAt = nowMs();
    const int status = client.submit(message);
    record.line("handed in %s for %d: %d", message.id.c_str(), destination, status);
    if (status != 202 && status != 200) return;
    const std::lock_guard lock(mutex);
    auto& fate = fates[message.id];
    fate.takenAt = nowMs(), fate.due = sentAt + kTimeMs, fate.destination = destination;
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin(argc, argv);
    std::vector<std::unique_ptr<Server>> partners;
    std::vector<Entry> entries;
    for (int d = 1; d <= kPartners; ++d) {
        partners.push_back(partner(d));
        entries.push_back({"s-" + std::to_string(d), partners.back()->address(), d, 30});
    }
    Platform platform(entries);
    platform.onNotice = [](const std::string& id, const std::string& state) { ended(id, state); };
    Settings settings;
    settings.grades =
        R"([{"credit":1.0,"effect":"token","give-up-ns":28000000000,"key-scope":"all","key-ttl-ns":15000000000,"late-share":0.5,"name":"notice","slo-ns":4000000000,"stream":false}])";
    settings.discovery = platform.address();
    settings.known = platform.known();
    int verdict = kCouldNotRun;
    std::string why = "the sender did not start";
    {
        Sender sender(run.root, run.temporary + "/n1", "n1", settings);
        if (sender.start()) {
            const auto begun = nowMs();
            const auto until = begun + kCalmMs + kOutageMs + kRestMs;
            std::vector<std::thread> clients;
            clients.emplace_back([&] {
                Client client(sender.port());
                steadily(kToStruck, until, [&](unsigned i) { handIn(i, 1, client); });
            });
            clients.emplace_back([&] {
                Client client(sender.port());
                steadily(kToOthers, until,
                         [&](unsigned i) { handIn(i, 2 + static_cast<int>(i % (kPartners - 1)), client); });
            });
            sleepUntilMs(begun + kCalmMs);
            const int port = partners[0]->port();
            if (run.trouble) {
                record.line("the partner refuses connections");
                partners[0]->stop();
            }
            sleepUntilMs(begun + kCalmMs + kKillAfterMs);
            std::int64_t killedAt = nowMs(), readyAt = killedAt;
            bool back = true;
            if (run.trouble) {
                sender.kill(SIGKILL);
                killedAt = nowMs();
                sleepMs(kDownMs);
                back = sender.start();
                readyAt = nowMs();
            }
            sleepUntilMs(begun + kCalmMs + kOutageMs);
            if (run.trouble) {
                partners[0] = partner(1, port);
                record.line("the partner is back");
            }
            for (auto& client : clients) client.join();
            // The last of what the restart found has its time up.
            sleepUntilMs(killedAt + kTimeMs + 1500);
            if (back) {
                int found = 0, early = 0, called = 0;
                const std::lock_guard lock(mutex);
                for (const auto& [id, fate] : fates) {
                    if (fate.takenAt == 0 || fate.takenAt > killedAt) continue;
                    if (fate.endAt != 0 && fate.endAt <= killedAt) continue;
                    if (fate.calledAt != 0 && fate.calledAt <= killedAt) continue;
                    if (2 * (fate.due - readyAt) < kTimeMs) continue;
                    ++found;
                    called += fate.calledAt != 0;
                    if (fate.calledAt != 0 || fate.endAt == 0 || fate.due - fate.endAt <= kEarlyMs) continue;
                    ++early;
                    record.line("GIVEN UP EARLY %s for %d: '%s' with %lld ms left, no call", id.c_str(),
                                fate.destination, fate.by.c_str(),
                                static_cast<long long>(fate.due - fate.endAt));
                }
                verdict = 2 * early > found ? kBroken : kHeld;
                if (run.trouble && found < 8) verdict = kCouldNotRun;
                why = std::to_string(found) +
                      " taken messages untried at the restart with half of their time left, " +
                      std::to_string(early) + " given up early with no call, " + std::to_string(called) +
                      " called";
            }
        }
    }
    platform.stop();
    for (auto& p : partners) p->stop();
    return end(verdict, why);
}
