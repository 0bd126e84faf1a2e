// A sender's process among stubs of its platform and endpoints, spoken to over real connections.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "check.hpp"
#include "http/message.hpp"
#include "net/socket.hpp"
#include "places.hpp"

extern char** environ;

namespace check {

using namespace laurelhaven;
using std::chrono::milliseconds;

// Only a limit for a test that hangs: no verdict hangs on how long anything took.
inline net::Deadline soon() { return net::Steady::now() + std::chrono::seconds(30); }

/// Waits for something that another thread or process brings about.
inline void await(const std::function<bool()>& done) {
    for (const auto until = soon(); !done(); std::this_thread::sleep_for(milliseconds(2)))
        CHECK(net::Steady::now() < until);
}

/// Answers each request by a function; an empty answer leaves the connection open and silent.
class Stub {
  public:
    using Answer = std::function<std::string(http::Message&)>;
    explicit Stub(Answer answer)
        : answer_(std::move(answer)), listener_(net::listenOn(*net::parseAddress("127.0.0.1:0"), 64)) {
        thread_ = std::thread([this] { accept(); });
    }
    ~Stub() {
        net::shutdownBoth(listener_.get());
        thread_.join();
        {
            const std::lock_guard lock(mutex_);
            for (auto& fd : fds_) net::shutdownBoth(fd.get());
        }
        for (auto& t : threads_) t.join();
    }
    std::string at() const { return local(net::localPort(listener_.get())); }
    int connections() {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(fds_.size());
    }

  private:
    void accept() {
        for (;;) {
            net::Fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
            if (!fd) return;
            const std::lock_guard lock(mutex_);
            const int raw = fds_.emplace_back(std::move(fd)).get();
            threads_.emplace_back([this, raw] {
                http::Parser parser(http::Parser::Role::request);
                for (std::string got; net::receive(raw, got, soon()) == net::IoResult::done; got.clear())
                    for (auto s = parser.feed(got); s == http::Parser::State::complete; s = parser.next()) {
                        const auto text = answer_(parser.message());
                        if (text == "close") return net::shutdownBoth(raw);
                        net::sendAll(raw, text, soon());
                        if (!parser.message().keepsAlive()) return net::shutdownBoth(raw);
                    }
            });
        }
    }
    Answer answer_;
    net::Fd listener_;
    std::mutex mutex_;
    std::list<net::Fd> fds_;
    std::list<std::thread> threads_;
    std::thread thread_;
};

inline std::string answer(int status, const http::Fields& fields = {}) {
    return http::formatResponse(status, fields, "", true);
}

/// The platform: keeps the notices it gets; its watch says what it is told to, once, and stays open.
struct Platform {
    std::string watch;                 // "" for a discovery that is silent
    std::atomic<int> asked{0};         // for the list
    std::function<void()> beforeTold;  // called before a watch is answered
    std::mutex mutex;
    std::multiset<std::string> notices;
    std::atomic<int> deaf{0};  // so many requests with notices go unanswered
    Stub stub{[this](http::Message& m) {
        if (m.target != "/v1/notices") {
            ++asked;
            if (watch.empty()) return std::string();
            if (beforeTold) beforeTold();
            char size[24];
            std::snprintf(size, sizeof size, "%zx\r\n", watch.size());
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + watch) + "\r\n";
        }
        if (deaf > 0 && deaf-- > 0) return std::string("close");
        const std::lock_guard lock(mutex);
        for (const auto line : http::split(m.body, "\n")) notices.emplace(line);
        return answer(204);
    }};
    std::size_t of(const std::string& id) {
        const std::lock_guard lock(mutex);
        std::size_t n = 0;
        for (const auto& line : notices) n += line.find("\"" + id + "\"") != std::string::npos;
        return n;
    }
};

/// The sender's process.
class Program {
  public:
    /// A platform whose discovery was told nothing names these entries: none is used before.
    Program(const std::string& folder, Platform& platform, const std::string& entries, int port = freePort(),
            int sockets = 1024)
        : port_(port), folder_(folder) {
        if (platform.watch.empty()) platform.watch = list(1, true, entries) + "\n";
        configure(configuration(local(port), platform.stub.at(), entries, settings(), sockets));
        std::filesystem::create_directories(folder + "/state");
        start();
    }
    /// With a configuration of its own, made for the address on which it is to listen.
    using ConfigurationFor = std::function<std::string(const std::string& listen)>;
    Program(const std::string& folder, const ConfigurationFor& configurationFor)
        : port_(freePort()), folder_(folder) {
        configure(configurationFor(local(port_)));
        std::filesystem::create_directories(folder + "/state");
        start();
    }
    ~Program() {
        if (pid_ > 0) end(SIGKILL);
    }
    /// Variables of its next start besides the usual ones.
    void setVariables(std::vector<std::string> variables) { variables_ = std::move(variables); }
    /// `begun` is told its process before that is ready.
    void start(const std::function<void(pid_t)>& begun = {}) {
        // An environment of its own: several of these may start side by side.
        std::vector<std::string> variables{"BALANCER_CONFIG=" + folder_ + "/config.json",
                                           "BALANCER_STATE=" + folder_ + "/state"};
        variables.insert(variables.begin(), variables_.begin(), variables_.end());
        for (char** v = environ; *v; ++v) variables.emplace_back(*v);
        std::vector<char*> environment;
        for (auto& v : variables) environment.push_back(v.data());
        environment.push_back(nullptr);
        char program[] = PROGRAM, quiet[] = "--log-level=off", command[] = "serve";
        auto settings = "--settings=" + folder_ + "/settings.yaml";
        const bool own = std::filesystem::exists(folder_ + "/settings.yaml");
        char* const words[] = {program, quiet, command, own ? settings.data() : nullptr, nullptr};
        // Its output goes nowhere: a test that fails leaves it running, and must not wait for it.
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        for (int fd = 0; fd < 3; ++fd) posix_spawn_file_actions_addopen(&files, fd, "/dev/null", O_RDWR, 0);
        CHECK(posix_spawn(&pid_, program, &files, nullptr, words, environment.data()) == 0);
        posix_spawn_file_actions_destroy(&files);
        if (begun) begun(pid_);
        await([this] { return status("GET /health/ready HTTP/1.1\r\n\r\n") == 200; });
    }
    void configure(const std::string& text) const { std::ofstream(folder_ + "/config.json") << text; }
    /// The exit status, or minus the signal that ended it.
    int end(int signal) {
        kill(pid_, signal);
        int status = 0;
        CHECK(waitpid(pid_, &status, 0) == pid_);
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    net::Fd connection() const {
        return net::connectTo(*net::parseAddress(local(port_)), soon(), [](int) {});
    }
    /// The status of the answer, over a connection of its own; 0 where none came.
    int status(const std::string& request) const {
        const auto fd = connection();
        return fd ? status(fd, request) : 0;
    }
    static int status(const net::Fd& fd, const std::string& request) {
        net::sendAll(fd.get(), request, soon());
        http::Parser parser(http::Parser::Role::response);
        for (std::string got; parser.state() != http::Parser::State::complete; got.clear()) {
            if (net::receive(fd.get(), got, soon()) != net::IoResult::done) return 0;
            parser.feed(got);
        }
        return parser.message().status;
    }
    pid_t pid() const { return pid_; }
    int port() const { return port_; }

  private:
    int port_;
    std::string folder_;
    std::vector<std::string> variables_;
    pid_t pid_ = -1;
};

inline std::string handIn(const std::string& id, int deadlineMs = 20000, const std::string& body = "body") {
    return http::formatRequest("POST", "/notice", "service.internal",
                               {{"Req-Id", id},
                                {"Req-Kind", "notice"},
                                {"Req-Owner", "acme"},
                                {"Req-Deadline-Ms", std::to_string(deadlineMs)},
                                {"Idempotency-Key", "key-" + id},
                                {"X-Route-To", "dest=7"}},
                               body);
}

}  // namespace check
