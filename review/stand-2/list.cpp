// The largest fleet that the pages name: a list of 3,200 endpoints, which comes indented. The open watch
// falls silent once, and the watch after it begins with the whole list. Is a drain heeded that the list
// tells?
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int kEndpoints = 3200;
constexpr std::int64_t kCalmMs = 8000, kAfterMs = 24000;
// Told at the latest 6 s after the silence began; the grace is 1000 ms there, and 50 ms as sockets have it.
constexpr std::int64_t kToldMs = 6000, kGraceMs = 1050;
constexpr double kPerSecond = 20;

std::mutex mutex;
std::int64_t silentFrom = 0, drainAt = 0;  // 0: not yet
int toOld = 0, toOldLate = 0, toNew = 0;
std::atomic<bool> drained{false};
std::string oldAddress, newAddress;

std::string entryText(const std::string& name, const std::string& address, int group,
                      const std::string& status, double weight) {
    char number[40];
    std::snprintf(number, sizeof number, "%.17g", weight);
    const std::string in(12, ' ');
    return std::string(8, ' ') + "{\n" + in + "\"address\" : \"" + address + "\",\n" + in +
           "\"group\" : " + std::to_string(group) + ",\n" + in + "\"name\" : \"" + name + "\",\n" + in +
           "\"since_ms\" : 1764968400000,\n" + in + "\"status\" : \"" + status + "\",\n" + in +
           "\"type\" : \"school-system\",\n" + in + "\"weight\" : " + number + ",\n" + in +
           "\"zone\" : \"lahore-dc1\"\n" + std::string(8, ' ') + "}";
}

std::string listOf(const std::vector<std::string>& entries, int index, bool whole) {
    std::string text = "{\n    \"endpoints\" : \n    [\n";
    for (std::size_t i = 0; i < entries.size(); ++i)
        text += entries[i] + (i + 1 < entries.size() ? ",\n" : "\n");
    return text + "    ],\n    \"index\" : " + std::to_string(index) +
           ",\n    \"snapshot\" : " + (whole ? "true" : "false") + "\n}\n";
}

std::string old(bool draining) {
    return entryText("s-00000001", oldAddress, 1, draining ? "DRAINING" : "SERVING", 30.25);
}
std::string fresh() { return entryText("s-0000ffff", newAddress, 1, "SERVING", 30.25); }

/// Index 41, or 42 once the endpoint drains and its successor is there.
std::string whole(bool changed) {
    std::vector<std::string> entries{old(changed)};
    for (int i = 2; i <= kEndpoints - 1; ++i) {
        char name[20], address[40];
        std::snprintf(name, sizeof name, "s-%08x", 0x5be00000u + static_cast<unsigned>(i));
        std::snprintf(address, sizeof address, "127.9.%d.%d:8443", i / 250 + 1, i % 250 + 1);
        entries.push_back(entryText(name, address, i, "SERVING", 3.0 + i / 700.1));
    }
    if (changed) entries.push_back(fresh());
    return listOf(entries, changed ? 42 : 41, true);
}

std::string chunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

void watch(int fd, const std::atomic<bool>& ending, bool current) {
    if (!sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
    const auto opened = nowMs();
    if (!current) {
        const auto text = whole(drained);
        record.line("watch: whole list, %zu bytes", text.size());
        if (!sendAll(fd, chunk(text))) return;
        current = true;
    }
    bool told = drained;
    for (auto beat = nowMs(); !ending; sleepMs(20)) {
        char byte;
        if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) return;
        {
            const std::lock_guard lock(mutex);
            if (silentFrom != 0 && opened < silentFrom && nowMs() >= silentFrom)
                continue;  // says nothing more
        }
        if (drained && !told) {
            record.line("watch: changes");
            if (!sendAll(fd, chunk(listOf({old(true), fresh()}, 42, false)))) return;
            told = true, beat = nowMs();
        }
        if (nowMs() < beat + 2000) continue;
        beat = nowMs();
        if (!sendAll(fd, chunk("\n"))) return;
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
        if (request.first.rfind("POST /v1/notices", 0) == 0) {
            if (!sendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n")) return;
        } else if (request.first.find("watch=1") != std::string::npos) {
            const auto at = request.first.find("after=");
            const int after = std::atoi(request.first.c_str() + at + 6);
            watch(fd, ending, after == (drained ? 42 : 41));
            return;
        } else if (!sendAll(fd, response(200, "", whole(drained)))) return;
    }
}

void serve(bool isOld, int fd, const std::atomic<bool>& ending) {
    std::string rest;
    Message call;
    while (!ending) {
        const auto got = readMessage(fd, rest, call, nowMs() + 200);
        if (got == Got::ended) return;
        if (got == Got::nothing) continue;
        const bool probe = call.first.rfind("GET ", 0) == 0;
        record.line("%s %s at the %s endpoint", probe ? "probe" : "call", call.field("req-id").c_str(),
                    isOld ? "old" : "new");
        if (!probe) {
            const std::lock_guard lock(mutex);
            const auto told = drainAt == 0 ? nowMs() : silentFrom != 0 ? silentFrom + kToldMs : drainAt;
            if (isOld) ++toOld;
            if (isOld && drainAt != 0 && nowMs() > told + kGraceMs) ++toOldLate;
            if (!isOld) ++toNew;
        }
        if (!probe) sleepMs(100);
        const bool refuses = isOld && drained;
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
        R"([{"credit":1.0,"effect":"pure","give-up-ns":8000000000,"late-share":0.5,"name":"notice","slo-ns":2500000000,"stream":false}])";
    settings.drainGraceNs = "1000000000";
    settings.discovery = platform.address();
    settings.known = whole(false);
    record.line("the whole list has %zu bytes, %zu for each endpoint", settings.known.size(),
                settings.known.size() / kEndpoints);
    int verdict = kCouldNotRun;
    std::string why = "the sender did not start";
    {
        Sender sender(run.root, run.temporary + "/n1", "n1", settings);
        if (sender.start()) {
            const auto until = nowMs() + kCalmMs + kAfterMs;
            const auto silence = nowMs() + kCalmMs;
            std::thread client([&] {
                Client hands(sender.port());
                steadily(kPerSecond, until, [&](unsigned i) {
                    Submission message;
                    message.id = id16("l0", i);
                    message.destination = 1;
                    message.deadlineMs = 8000;
                    const int status = hands.submit(message);
                    record.line("handed in %s: %d", message.id.c_str(), status);
                });
            });
            sleepUntilMs(silence);
            {
                const std::lock_guard lock(mutex);
                if (run.trouble) silentFrom = nowMs();
            }
            record.line("%s", run.trouble ? "the open watch falls silent" : "the watch stays as it is");
            sleepMs(500);
            {
                const std::lock_guard lock(mutex);
                drainAt = nowMs();
                drained = true;
            }
            record.line("the old endpoint drains, the new one serves");
            client.join();
            if (sender.exited()) {
                verdict = kBroken, why = "the sender ended by itself";
            } else {
                const std::lock_guard lock(mutex);
                verdict = toOldLate > 0 ? kBroken : kHeld;
                if (toOld < 50) verdict = kCouldNotRun;
                why = std::to_string(toOldLate) +
                      " calls to the drained endpoint after it was told and the grace was over, " +
                      std::to_string(toNew) + " to its successor";
            }
        }
        std::ifstream log(run.temporary + "/n1/log");
        int lines = 0;
        for (std::string line; std::getline(log, line) && lines < 40;)
            if (line.find("registry") != std::string::npos) record.line("log: %s", line.c_str()), ++lines;
    }
    platform.stop();
    oldServer.stop();
    newServer.stop();
    return end(verdict, why);
}
