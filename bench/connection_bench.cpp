// What telling responses apart costs: connections, processor time and refused hand-ins for each message, by
// how endpoints respond and how dense the traffic is. connection_bench [SENDER [LOAD [STYLE]]]: the
// sender's program, or the one beside this one; the name of one load, and of one style, as it is printed.
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http/message.hpp"
#include "load/loader.hpp"
#include "rig/sender.hpp"
#include "standin/discovery.hpp"
#include "standin/server.hpp"

using namespace laurelhaven;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kEndpoints = 6;
constexpr double kWeight = 20000;  // calls a second, as listed: no limit of an endpoint binds
constexpr int kRejectEach = 5;     // requests of a rejecting endpoint
constexpr milliseconds kDeadline{5000};
constexpr std::chrono::seconds kDrain{6};  // in which what is held gets its end

enum class Style { alike, marksClose, dated, distinct, staysOpen, rejects };
constexpr std::array<std::pair<Style, const char*>, 6> kStyles{
    {{Style::alike, "alike"},
     {Style::marksClose, "alike, says that it closes"},
     {Style::dated, "alike but for their Date"},
     {Style::distinct, "distinct"},
     {Style::staysOpen, "alike, ignores an announced close"},
     {Style::rejects, "alike, a fifth 503"}}};

struct Load {
    const char* name;
    double perSecond;
    double seconds;
    int connections;
    milliseconds work;  ///< of an endpoint, for each message
    const char* effect;
};
constexpr std::array<Load, 4> kLoads{{{"thin", 6, 20, 8, milliseconds(20), "side_effect"},
                                      {"even", 120, 10, 16, milliseconds(20), "side_effect"},
                                      {"long", 120, 10, 16, milliseconds(90), "token"},
                                      {"dense", 2500, 6, 64, milliseconds(0), "token"}}};

/// What the endpoints of one run saw.
struct Seen {
    std::mutex mutex;
    std::set<std::uint64_t> connections;
    std::set<std::string> delivered;
    std::size_t calls = 0;
};

/// The time as a Date header has it, to the second.
std::string dateNow() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    ::gmtime_r(&now, &parts);
    std::array<char, 64> text{};
    const auto length = std::strftime(text.data(), text.size(), "%a, %d %b %Y %H:%M:%S GMT", &parts);
    return {text.data(), length};
}

/// Answers one request in the style of the run. False closes the connection.
bool answer(Seen& seen, Style style, milliseconds work, const http::Message& request,
            lab::Connection& connection) {
    std::size_t number = 0;
    {
        const std::lock_guard lock(seen.mutex);
        seen.connections.insert(connection.number());
        number = ++seen.calls;
    }
    if (work.count() > 0) std::this_thread::sleep_for(work);
    const bool rejected = style == Style::rejects && number % kRejectEach == 0;
    const auto* id = request.headers.find("Req-Id");
    if (!rejected && id) {
        const std::lock_guard lock(seen.mutex);
        seen.delivered.insert(*id);
    }
    http::Fields fields;
    if (style == Style::dated) fields.emplace_back("Date", dateNow());
    if (style == Style::distinct) fields.emplace_back("X-Number", std::to_string(number));
    const bool saysClose = style == Style::marksClose && !request.keepsAlive();
    return connection.send(http::formatResponse(rejected ? 503 : 200, fields, "", !saysClose));
}

std::vector<load::Message> messages(const Load& load) {
    std::vector<load::Message> all;
    for (double at = 0; at < load.seconds; at += 1 / load.perSecond) {
        load::Message message;
        message.at = std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9));
        message.key = "k" + std::to_string(all.size());
        message.destination = 1 + all.size() % kEndpoints;
        message.deadline = kDeadline;
        all.push_back(std::move(message));
    }
    return all;
}

std::string gradesOf(const Load& load) {
    return std::string(R"([{"name":"notice","effect":")") + load.effect +
           R"(","give-up-ns":28000000000,"slo-ns":4000000000,"key-scope":"all","key-ttl-ns":15000000000,)"
           R"("credit":1.0,"late-share":0.5}])";
}

void run(const std::string& program, Style style, const char* name, const Load& load) {
    Seen seen;
    lab::Discovery discovery("127.0.0.1:0");
    std::vector<std::unique_ptr<lab::Server>> servers;
    for (std::size_t i = 0; i < kEndpoints; ++i) {
        servers.push_back(std::make_unique<lab::Server>(
            "127.0.0.1:0", [&seen, style, &load](const http::Message& request, lab::Connection& connection) {
                return answer(seen, style, load.work, request, connection);
            }));
        servers.back()->setIgnoresClose(style == Style::staysOpen);
        servers.back()->start();
        discovery.tell({"e" + std::to_string(i), servers.back()->address(), "z", "partner", i + 1,
                        listing::Status::serving, kWeight, 0});
    }
    discovery.start();
    const auto folder =
        std::filesystem::temp_directory_path() / ("connection-bench-" + std::to_string(::getpid()));
    lab::SenderPlan plan;
    plan.program = program;
    plan.logLevel = "warning";
    plan.folder = folder.string();
    plan.name = "n0";
    plan.listen = "127.0.0.1:" +
                  std::to_string(net::localPort(net::listenOn(*net::parseAddress("127.0.0.1:0"), 1).get()));
    plan.discovery = discovery.address();
    plan.known = discovery.whole();
    plan.slots = 64;
    plan.grades = gradesOf(load);
    {
        lab::SenderProcess sender(plan);
        if (!sender.start()) {
            std::fprintf(stderr, "%s does not start\n", program.c_str());
            std::exit(2);
        }
        const double before = sender.coreSeconds();
        load::Options options;
        options.senders = {plan.listen};
        options.threads = 2;
        options.connections = load.connections;
        options.policy.tries = 1;
        const auto all = messages(load);
        const auto result = load::play(all, options);
        std::size_t taken = 0;
        for (const auto& message : result.messages) taken += !message.taken.empty();
        const auto isOver = [&] {
            const std::lock_guard lock(seen.mutex);
            return seen.delivered.size() + discovery.notices().size() >= taken;
        };
        for (const auto until = load::Steady::now() + kDrain; !isOver() && load::Steady::now() < until;)
            std::this_thread::sleep_for(milliseconds(20));
        const double cpu = sender.coreSeconds() - before;
        const std::lock_guard lock(seen.mutex);
        const auto each = static_cast<double>(std::max<std::size_t>(seen.delivered.size(), 1));
        std::printf(
            "%-6s %-34s %6zu messages, refused %.3f each; delivered %6zu, notices %4zu; %.3f calls, "
            "%.3f connections, %4.0f us of processor each\n",
            load.name, name, all.size(),
            static_cast<double>(all.size() - taken) / static_cast<double>(all.size()), seen.delivered.size(),
            discovery.notices().size(), static_cast<double>(seen.calls) / each,
            static_cast<double>(seen.connections.size()) / each, 1e6 * cpu / each);
        std::fflush(stdout);
    }
    std::filesystem::remove_all(folder);
}

}  // namespace

int main(int argc, char** argv) {
    const auto beside = std::filesystem::path(argv[0]).parent_path() / "laurelhaven";
    const std::string program = argc > 1 ? argv[1] : beside.string();
    const std::string onlyLoad = argc > 2 ? argv[2] : "";
    const std::string onlyStyle = argc > 3 ? argv[3] : "";
    for (const auto& load : kLoads)
        for (const auto& [style, name] : kStyles) {
            if (!onlyLoad.empty() && onlyLoad != load.name) continue;
            if (!onlyStyle.empty() && onlyStyle != name) continue;
            run(program, style, name, load);
        }
}
