// Clients send many requests at once on a connection. Does each of them get an answer before it ends?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kDestinations = 6, kServiceMs = 120;
constexpr int kClients = 4, kRounds = 12, kAtOnce = 6;

std::mutex mutex;
std::map<std::string, std::string> ends;  // by id

void ended(const std::string& id, const std::string& by) {
    const std::lock_guard lock(mutex);
    record.line("end %s %s", id.c_str(), by.c_str());
    ends.emplace(id, by);
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
        sleepMs(kServiceMs);
        ended(id, "delivered");
        if (!sendAll(fd, response(200, "Srv-Load: x0=0,x1=0\r\n", "ran " + id + "\n"))) return;
        if (call.field("connection") == "close") return;
    }
}

struct Tally {
    int taken = 0, refused = 0, failed = 0, lost = 0;
};

void count(const Submission& request, int status, Tally& tally) {
    const std::lock_guard lock(mutex);
    record.line("answer to %s: %d", request.id.c_str(), status);
    ++(status == 202 || status == 200   ? tally.taken
       : status == 429 || status == 503 ? tally.refused
                                        : tally.failed);
}

void lose(const Submission& request, Tally& tally) {
    const std::lock_guard lock(mutex);
    record.line("LOST %s: written whole twice, its connection ended without an answer", request.id.c_str());
    ++tally.lost;
}

/// Writes the requests at once and reads until all are answered or the connection ends. Returns those that
/// got no answer.
std::vector<Submission> handInAtOnce(int port, const std::vector<Submission>& requests, Tally& tally) {
    const int fd = connectTo(port, 400);
    if (fd < 0) return requests;
    std::string text, rest;
    for (const auto& request : requests) text += request.text();
    std::vector<Submission> unanswered;
    if (!sendAll(fd, text)) {
        close(fd);
        return requests;
    }
    for (const auto& request : requests) {
        Message answer;
        const auto got = unanswered.empty() ? readMessage(fd, rest, answer, nowMs() + 3000) : Got::ended;
        if (got == Got::message) {
            count(request, answer.status(), tally);
            continue;
        }
        record.line("no answer to %s: the connection %s", request.id.c_str(),
                    got == Got::ended ? "was ended" : "stayed open and silent");
        unanswered.push_back(request);
    }
    close(fd);
    return unanswered;
}

/// With the disruption all at once; what got no answer comes once more on a new connection, and is lost if it
/// gets none there either. Without it one request at a time.
void handIn(int port, const std::vector<Submission>& requests, bool atOnce, Tally& tally) {
    if (!atOnce) {
        Client client(port);
        for (const auto& request : requests) {
            const int status = client.submit(request);
            if (status != 0) count(request, status, tally);
            else lose(request, tally);
        }
        return;
    }
    const auto again = handInAtOnce(port, requests, tally);
    if (again.empty()) return;
    for (const auto& request : handInAtOnce(port, again, tally)) lose(request, tally);
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
            Tally tally;
            std::vector<std::thread> clients;
            for (int c = 0; c < kClients; ++c)
                clients.emplace_back([&, c] {
                    for (int round = 0; round < kRounds; ++round) {
                        std::vector<Submission> requests;
                        for (int i = 0; i < kAtOnce; ++i) {
                            Submission message;
                            message.id =
                                id16("p0", static_cast<unsigned>((c * kRounds + round) * kAtOnce + i));
                            message.key = key32(message.id);
                            message.destination = i % kDestinations + 1;
                            requests.push_back(message);
                        }
                        handIn(sender.port(), requests, run.trouble, tally);
                        sleepMs(500);
                    }
                });
            for (auto& client : clients) client.join();
            sleepMs(1500);
            verdict = tally.lost > 0 ? kBroken : kHeld;
            const int all = kClients * kRounds * kAtOnce;
            if (tally.taken + tally.refused + tally.failed + tally.lost != all) verdict = kCouldNotRun;
            why = std::to_string(all) + " requests, " + std::to_string(tally.taken) + " taken, " +
                  std::to_string(tally.refused) + " refused, " + std::to_string(tally.failed) + " failed, " +
                  std::to_string(tally.lost) + " lost without an answer";
        }
    }
    platform.stop();
    for (auto& endpoint : endpoints) endpoint->stop();
    return end(verdict, why);
}
