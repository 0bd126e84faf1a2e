// Messages that must not be repeated are delivered. The sender is killed and comes back; then some of these
// messages come again, word for word. None may be sent again.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kDestinations = 6, kServiceMs = 150;
constexpr double kPerSecond = 100;
constexpr std::int64_t kBusyMs = 15000, kSettleMs = 2000, kDownMs = 600, kAgainMs = 1200;
constexpr unsigned kAgain = 20;

struct Seen {
    int calls = 0, runs = 0, answers = 0;
};
std::mutex mutex;
std::map<std::string, Seen> seen;

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
            ++seen[id].calls;
        }
        sleepMs(kServiceMs);
        {
            const std::lock_guard lock(mutex);
            ++seen[id].runs;
        }
        record.line("ran %s", id.c_str());
        if (!sendAll(fd, response(200, "Srv-Load: x0=0,x1=0\r\n", "ran " + id + "\n"))) return;
        {
            const std::lock_guard lock(mutex);
            ++seen[id].answers;
        }
        if (call.field("connection") == "close") return;
    }
}

Submission message(unsigned number) {
    Submission made;
    made.id = id16("r0", number);
    made.kind = "claim-referral";
    made.destination = static_cast<int>(number % kDestinations) + 1;
    made.deadlineMs = 16000;
    made.body = "open a claim for report " + std::to_string(number) + std::string(180, '.');
    return made;
}

}  // namespace

int main(int argc, char** argv) {
    const auto run = begin(argc, argv);
    std::vector<std::unique_ptr<Server>> endpoints;
    std::vector<Entry> entries;
    for (int d = 1; d <= kDestinations; ++d) {
        endpoints.push_back(
            std::make_unique<Server>([d](int fd, const std::atomic<bool>& ending) { serve(d, fd, ending); }));
        entries.push_back({"s-" + std::to_string(d), endpoints.back()->address(), d, 30});
    }
    Platform platform(entries);
    platform.onNotice = [](const std::string& id, const std::string& state) {
        record.line("notice %s %s", id.c_str(), state.c_str());
    };
    Settings settings;
    settings.grades =
        R"([{"credit":1.0,"effect":"side_effect","give-up-ns":16000000000,"late-share":0.4,"name":"claim-referral","slo-ns":2500000000,"stream":false}])";
    settings.slots = 40;
    settings.held = 600;
    settings.discovery = platform.address();
    settings.known = platform.known();
    int verdict = kCouldNotRun;
    std::string why = "the sender did not start";
    {
        Sender sender(run.root, run.temporary + "/n1", "n1", settings);
        if (sender.start()) {
            Client client(sender.port());
            steadily(kPerSecond, nowMs() + kBusyMs, [&](unsigned i) {
                const int status = client.submit(message(i));
                record.line("handed in %s: %d", message(i).id.c_str(), status);
            });
            sleepMs(kSettleMs);
            bool back = true;
            if (run.trouble) {
                sender.kill(SIGKILL);
                sleepMs(kDownMs);
                back = sender.start();
                sleepMs(kAgainMs);
            }
            if (back) {
                Client again(sender.port());
                std::vector<std::string> repeated;
                for (unsigned i = 0; i < kAgain; ++i) {
                    const auto id = message(i).id;
                    {
                        const std::lock_guard lock(mutex);
                        if (seen[id].answers != 1 || seen[id].calls != 1) continue;  // delivered once
                    }
                    repeated.push_back(id);
                    const int status = again.submit(message(i));
                    record.line("handed in again %s: %d", id.c_str(), status);
                }
                sleepMs(3000);
                int twice = 0;
                const std::lock_guard lock(mutex);
                for (const auto& id : repeated) {
                    if (seen[id].runs < 2) continue;
                    ++twice;
                    record.line("RAN TWICE %s", id.c_str());
                }
                verdict = twice > 0 ? kBroken : kHeld;
                if (repeated.size() < kAgain / 2) verdict = kCouldNotRun;
                why = std::to_string(twice) + " of " + std::to_string(repeated.size()) +
                      " delivered messages that came again ran a second time";
            }
        }
    }
    platform.stop();
    for (auto& endpoint : endpoints) endpoint->stop();
    return end(verdict, why);
}
