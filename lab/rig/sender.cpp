#include "rig/sender.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <vector>

#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::lab {

using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds kStopWithin{5};

constexpr const char* kOneClass =
    R"([{"name":"notice","effect":"token","give-up-ns":28000000000,"slo-ns":4000000000,"key-scope":"all",)"
    R"("key-ttl-ns":15000000000,"credit":1.0,"late-share":0.5}])";

std::string configuration(const SenderPlan& p) {
    const auto number = [](auto value) { return std::to_string(value); };
    std::string accounts;
    for (int i = 0; i < p.tenants; ++i)
        accounts += (i > 0 ? "," : "") + (R"({"name":")" + tenant(static_cast<std::uint32_t>(i))) +
                    R"(","quota-per-s":1000})";
    return R"({"name":")" + p.name + R"(","listen":")" + p.listen + R"(","discovery":")" + p.discovery +
           R"(","seed":")" + number(p.seed) + R"(","limits":{"cores":)" + number(p.cores) +
           R"(,"memory_mb":)" + number(p.memoryMb) + R"(,"disk_mb":)" + number(p.diskMb) + R"(,"sockets":)" +
           number(p.sockets) + "}," + (p.known.empty() ? "" : R"("known":)" + p.known + ",") +
           R"("settings":{"grades":)" + (p.grades.empty() ? kOneClass : p.grades) + R"(,"accounts":[)" +
           accounts +
           R"(],"kinds":["partner"],"zones":["z"],)"
           R"("balancers":)" +
           number(p.senders) + R"(,"ordinal":)" + number(p.self) +
           R"(,"weights":"nominal","domain":{"max-calls":)" + number(p.slots) +
           R"(,"bundle-max":[1],"separate-routes":[false],"loses-worth":"even"},"limits":{"attempts-cap":8,)"
           R"("cancelling":true,"connect-timeout-ns":1000000000,"keepalive-ns":5000000000,"max-open":)" +
           number(p.held) + R"(,"max-retry-after-ns":3000000000,"retry-after":true,"may-probe":)" +
           (p.mayProbe ? "true" : "false") +
           R"(},"safety":{"answer-slack-ns":20000000,"cold-from":0.19,"drain-grace-ns":250000000,)"
           R"("fall-multiple":2.0,"overload-for-ns":2000000000,"warm-up-ns":)" +
           number(std::chrono::nanoseconds(p.warmUp).count()) + "}}}";
}

bool ready(const std::string& address) {
    const auto until = net::Steady::now() + milliseconds(300);
    net::Fd fd = net::tcpSocket();
    if (!fd || !net::connectBy(fd.get(), *net::parseAddress(address), until)) return false;
    if (net::sendAll(fd.get(), http::formatRequest("GET", "/health/ready", address, {}, {}), until) !=
        net::IoResult::done)
        return false;
    http::Parser parser(http::Parser::Role::response);
    for (std::string got; net::receive(fd.get(), got, until) == net::IoResult::done; got.clear())
        if (parser.feed(got) == http::Parser::State::complete) return parser.message().status == 200;
    return false;
}

}  // namespace

std::string tenant(std::uint32_t number) { return number == 0 ? "acme" : "t" + std::to_string(number); }

SenderProcess::SenderProcess(SenderPlan plan) : plan_(std::move(plan)) {
    std::filesystem::create_directories(state());
}
SenderProcess::~SenderProcess() { kill(); }

bool SenderProcess::start(milliseconds within) {
    std::ofstream(config()) << configuration(plan_);
    std::vector<std::string> words{plan_.program, "--log-level", plan_.logLevel};
    if (!plan_.settings.empty()) words.insert(words.end(), {"--settings", plan_.settings});
    words.push_back("serve");
    std::vector<std::string> variables{"BALANCER_NAME=" + plan_.name, "BALANCER_STATE=" + state(),
                                       "BALANCER_CONFIG=" + config(), "BALANCER_LISTEN=" + plan_.listen};
    variables.insert(variables.end(), plan_.environment.begin(), plan_.environment.end());
    std::vector<char*> argv, envp;
    for (auto& w : words) argv.push_back(w.data());
    for (auto& v : variables) envp.push_back(v.data());
    argv.push_back(nullptr);
    envp.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const auto begun = net::Steady::now();
    const int error = posix_spawn(&pid_, plan_.program.c_str(), &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        pid_ = -1;
        throw std::runtime_error("can't start " + plan_.program);
    }
    if (plan_.cpuLimiter) plan_.cpuLimiter->add(pid_, plan_.cores);
    while (net::Steady::now() - begun < within) {
        if (ready(plan_.listen)) {
            readyAfter_ = std::chrono::duration_cast<milliseconds>(net::Steady::now() - begun);
            return true;
        }
        if (died()) return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

void SenderProcess::moveDiscovery(const std::string& address) {
    plan_.discovery = address;
    // In one step: the sender must not read half a file.
    std::ofstream(config() + ".new") << configuration(plan_);
    std::filesystem::rename(config() + ".new", config());
    if (pid_ > 0) ::kill(pid_, SIGHUP);
}

void SenderProcess::signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
}

bool SenderProcess::died() {
    if (!hasEnded()) return false;
    reap();
    return true;
}

bool SenderProcess::hasEnded() const {
    siginfo_t info{};
    return pid_ > 0 && waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid == pid_;
}

int SenderProcess::reap() {
    if (plan_.cpuLimiter) plan_.cpuLimiter->remove(pid_);
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    return status;
}

void SenderProcess::hold(bool held) {
    if (plan_.cpuLimiter && pid_ > 0) plan_.cpuLimiter->hold(pid_, held);
    else signal(held ? SIGSTOP : SIGCONT);
}

void SenderProcess::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    reap();
}

int SenderProcess::stop() {
    signal(SIGTERM);
    return awaitEnd(net::Steady::now() + kStopWithin);
}

int SenderProcess::awaitEnd(std::chrono::steady_clock::time_point until) {
    if (pid_ <= 0) return -1;
    for (; net::Steady::now() < until; std::this_thread::sleep_for(milliseconds(5))) {
        if (!hasEnded()) continue;
        const int status = reap();
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    kill();
    return -1;
}

std::size_t SenderProcess::residentMost() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:")) return 1024 * std::stoul(line.substr(6));
    return 0;
}

double SenderProcess::coreSeconds() const {
    if (pid_ <= 0) return 0;
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    // The name stands in brackets and may hold anything; user and system time are the 12th and 13th behind
    // it.
    std::istringstream rest(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 13 && rest >> word; ++i)
        if (i >= 12) ticks += std::strtod(word.c_str(), nullptr);
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t SenderProcess::resident() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t all = 0, pages = 0;
    file >> all >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace laurelhaven::lab
