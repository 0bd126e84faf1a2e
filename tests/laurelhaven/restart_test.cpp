// What a restart finds taken on and untried is still tried: a real sender is killed or ended with messages
// that no endpoint has seen, and the next life calls each of them, whatever it knows of its partners by then.
// Checked at the receiving end, against the ids that were taken on.
#include <sys/socket.h>

#include <algorithm>
#include <vector>

#include "log/log.hpp"
#include "program.hpp"
#include "standin/server.hpp"

using namespace laurelhaven;
using namespace check;
using std::chrono::milliseconds;

namespace {

constexpr int kMany = 24;
constexpr milliseconds kSilence{500};

/// What the next life finds.
struct Find {
    const char* name;
    int signal = SIGKILL;
    int messages = kMany;
    int heldMost = 100;      ///< as the settings of the next life have it
    bool discovery = false;  ///< it tells the list from the start, and not only after kSilence
    bool listed = true;      ///< the next life knows the list from its start
    bool kept = true;        ///< and from its disk, not from the configuration, which nobody vouches for
    int before = 0;          ///< connects refused before the end: how the partner is known as down
    int refusals = 0;        ///< calls turned away at first, with a short wait
    int weight = 50;         ///< calls a second
    int fleet = 2;           ///< senders
    bool newcomers = false;  ///< more of them than the partner takes, each worth more than what was found
};

std::string weighed(std::string entries, int weight) {
    const std::string usual = "\"weight\":50.0";
    return entries.replace(entries.find(usual), usual.size(), "\"weight\":" + std::to_string(weight) + ".0");
}
std::string fitted(int heldMost, int fleet) {
    auto text = settings(12, heldMost);
    const auto set = [&](const std::string& from, const std::string& to) {
        text.replace(text.find(from), from.size(), to);
    };
    set(R"("balancers":2)", R"("balancers":)" + std::to_string(fleet));
    set(R"("loses-worth":"even")", R"("loses-worth":"by_half")");
    return text;
}

void untriedIsTried(const Find& find) {
    const Folder folder;
    // Apart from where connections begin, or one of theirs might have taken the port meanwhile.
    const std::string host = "127.0.7.1:";
    const auto at =
        host + std::to_string(net::localPort(net::listenOn(*net::parseAddress(host + "0"), 1).get()));
    const auto entries = weighed(entry("a", at, 7), find.weight);
    std::mutex mutex;
    std::multiset<std::string> called;
    std::atomic<int> refusals{find.refusals};
    std::set<std::string> ended;
    std::atomic<bool> discoveryUp{false};
    lab::Server platform("127.0.0.1:0", [&](const http::Message& m, lab::Connection& c) {
        if (m.target == "/v1/notices") {
            const std::lock_guard lock(mutex);
            for (const auto line : http::split(m.body, "\n")) ended.emplace(line);
            return c.send(answer(204));
        }
        while (!discoveryUp)
            if (!c.pause(milliseconds(20))) return false;
        const auto text = list(9, true, entries) + "\n";
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        c.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + text) + "\r\n");
        while (c.pause(milliseconds(500))) c.send("1\r\n\n\r\n");
        return false;
    });
    platform.start();
    // A full queue: connects to the partner hang, so nothing leaves.
    auto full = std::make_unique<net::Fd>(net::listenOn(*net::parseAddress(at), 0));
    std::vector<net::Fd> queued;
    for (int i = 0; i < 4; ++i) {
        queued.push_back(net::tcpSocket());
        net::connectBy(queued.back().get(), *net::parseAddress(at), net::Steady::now() + milliseconds(50));
    }
    if (find.before > 0) full.reset(), queued.clear();  // nobody listens: they are refused
    Platform unused;
    Program program(folder.path, unused, entries);
    program.end(SIGKILL);
    const auto first =
        configuration(local(program.port()), platform.address(), entries, fitted(100, find.fleet));
    program.configure(first);
    program.start();
    std::set<std::string> taken;
    for (int i = 0; i < find.messages; ++i) {
        const auto id = "m" + std::to_string(i);
        CHECK(program.status(handIn(id, 24000)) == 202);
        taken.insert(id);
    }
    if (find.before > 0) {
        // Its connects are refused until the first ends: the partner is known as down then.
        std::this_thread::sleep_for(milliseconds(60 * find.before));
    }
    const int status = program.end(find.signal);
    CHECK(status == (find.signal == SIGTERM ? 0 : -SIGKILL));
    queued.clear();
    full.reset();
    {  // what the first life gave up by its own rules is told by it, or is owed
        const std::lock_guard lock(mutex);
        CHECK(called.empty());
    }
    lab::Server endpoint(at, [&](const http::Message& m, lab::Connection& c) {
        if (m.target != "/hook") return c.send(answer(200));
        {
            const std::lock_guard lock(mutex);
            called.insert(*m.headers.find("Req-Id"));
        }
        if (refusals > 0 && refusals-- > 0) return c.send(answer(429, {{"Retry-After", "0.3"}}));
        return c.send(answer(200));
    });
    endpoint.start();
    auto next = configuration(local(program.port()), platform.address(),
                              find.listed ? entries : entry("other", "127.0.0.1:1", 8),
                              fitted(find.heldMost, find.fleet));
    if (!find.listed || !find.kept) std::filesystem::remove(folder.path + "/state/endpoints.list");
    program.configure(next);
    discoveryUp = find.discovery;
    program.start();
    if (!find.discovery) {
        std::this_thread::sleep_for(kSilence);  // its length is the case
        const std::lock_guard lock(mutex);
        CHECK(called.empty());  // nothing proves the endpoint before discovery speaks
        discoveryUp = true;
    }
    if (find.heldMost < find.messages)  // newcomers are turned away meanwhile, and nothing of what is held is
        CHECK(program.status(handIn("more", 24000)) != 0);
    std::jthread newcomers;
    if (find.newcomers)
        newcomers = std::jthread([&](const std::stop_token& over) {
            for (int i = 0; !over.stop_requested(); ++i) {
                program.status(handIn("new" + std::to_string(i), 24000));
                std::this_thread::sleep_for(milliseconds(100));
            }
        });
    await([&] {
        const std::lock_guard lock(mutex);
        std::size_t seen = 0;
        for (const auto& id : taken) {
            const bool over = std::any_of(ended.begin(), ended.end(), [&](const std::string& line) {
                return line.find("\"" + id + "\"") != std::string::npos;
            });
            seen += called.count(id) > 0 || over;
        }
        return seen == taken.size();
    });
    newcomers = {};
    const std::lock_guard lock(mutex);
    std::size_t untried = 0;
    for (const auto& id : taken) untried += called.count(id) == 0;
    if (untried > 0)
        std::fprintf(stderr, "%s: %zu of %zu given up untried\n", find.name, untried, taken.size());
    CHECK(untried == 0);
}

}  // namespace

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    log::setLevel(log::Level::off);
    const Find all[] = {
        {.name = "one-killed", .messages = 1},
        {.name = "one-ended", .signal = SIGTERM, .messages = 1},
        {.name = "all-killed"},
        {.name = "all-ended", .signal = SIGTERM},
        {.name = "listed-again", .discovery = true},
        {.name = "above-the-limit", .heldMost = 2},
        {.name = "not-yet-listed", .discovery = true, .listed = false},
        {.name = "in-doubt", .kept = false},
        {.name = "known-as-down", .before = 4},
        {.name = "limited", .refusals = 6},
        {.name = "more-than-the-pace", .messages = 12, .weight = 3},
        {.name = "passed-by", .weight = 6, .newcomers = true},
        {.name = "one-of-many", .signal = SIGTERM, .messages = 4, .weight = 300, .fleet = 100},
    };
    for (const auto& find : all)  // one by its name, or all
        if (argc < 2 || std::string(argv[1]) == find.name) untriedIsTried(find);
}
