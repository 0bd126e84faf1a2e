// What the cases of the second review share: a record, small HTTP stand-ins on loopback, and sender processes
// that are started with the command of the deploy file. Standard library and sockets only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

constexpr int kBroken = 1, kHeld = 0, kCouldNotRun = 2;

// ---- time and record ----

inline std::int64_t nowMs() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
inline void sleepMs(std::int64_t ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleepUntilMs(std::int64_t at) { sleepMs(at - nowMs()); }

/// The file record.txt: one line for each event, with milliseconds since the start.
class Record {
  public:
    void open(const std::string& path) {
        file_ = std::fopen(path.c_str(), "w");
        begun_ = nowMs();
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%8lld ", static_cast<long long>(nowMs() - begun_));
        va_list args;
        va_start(args, format);
        std::vfprintf(file_, format, args);
        va_end(args);
        std::fputc('\n', file_);
        std::fflush(file_);
    }
    std::int64_t begun() const { return begun_; }

  private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
    std::int64_t begun_ = nowMs();
};
inline Record record;

inline std::string id16(const char* kind, unsigned number) {
    char text[32];
    std::snprintf(text, sizeof text, "%s%014x", kind, number);  // kind: two characters
    return text;
}
inline std::string key32(const std::string& id) { return id + id; }

// ---- sockets ----

inline int connectTo(int port, int timeoutMs = 1000) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) return -1;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int error = connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 ? 0 : errno;
    if (error == EINPROGRESS) {
        pollfd wanted{fd, POLLOUT, 0};
        socklen_t size = sizeof error;
        if (poll(&wanted, 1, timeoutMs) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
            error = ETIMEDOUT;
    }
    if (error != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
        const auto sent = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (sent > 0) done += static_cast<std::size_t>(sent);
        else if (errno == EAGAIN) {
            pollfd wanted{fd, POLLOUT, 0};
            if (poll(&wanted, 1, 1000) != 1) return false;
        } else if (errno != EINTR) return false;
    }
    return true;
}

inline void reset(int fd) {
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close(fd);
}

/// A port that is free now.
inline int freePort() {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    int port = 0;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0)
        port = ntohs(at.sin_port);
    close(fd);
    return port;
}

// ---- HTTP ----

struct Message {
    std::string first;                          // request line or status line
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;
    int status() const {
        const auto space = first.find(' ');
        return space == std::string::npos ? 0 : std::atoi(first.c_str() + space + 1);
    }
    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
};

enum class Got { message, nothing, ended };

/// Reads one message with a Content-Length (or none). `rest` keeps what follows it.
inline Got readMessage(int fd, std::string& rest, Message& message, std::int64_t untilMs) {
    for (;;) {
        const auto end = rest.find("\r\n\r\n");
        if (end != std::string::npos) {
            message = {};
            std::size_t at = rest.find("\r\n");
            message.first = rest.substr(0, at);
            while (at < end) {
                const auto next = rest.find("\r\n", at + 2);
                const auto line = rest.substr(at + 2, next - at - 2);
                const auto colon = line.find(':');
                if (colon != std::string::npos) {
                    auto name = line.substr(0, colon);
                    std::transform(name.begin(), name.end(), name.begin(),
                                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
                    const auto begin = line.find_first_not_of(' ', colon + 1);
                    message.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
                }
                at = next;
            }
            const auto length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
            if (rest.size() >= end + 4 + length) {
                message.body = rest.substr(end + 4, length);
                rest.erase(0, end + 4 + length);
                return Got::message;
            }
        }
        const auto left = untilMs - nowMs();
        if (left <= 0) return Got::nothing;
        pollfd wanted{fd, POLLIN, 0};
        if (poll(&wanted, 1, static_cast<int>(std::min<std::int64_t>(left, 1000000))) == 0)
            return Got::nothing;
        char bytes[16384];
        const auto got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        if (got > 0) rest.append(bytes, static_cast<std::size_t>(got));
        else if (got == 0 || (errno != EAGAIN && errno != EINTR)) return Got::ended;
    }
}

inline std::string response(int status, const std::string& fields = "", const std::string& body = "") {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens on a free loopback port, with a thread for each connection.
class Server {
  public:
    /// Serves a connection; the server closes it afterwards.
    using Handler = std::function<void(int fd, const std::atomic<bool>& ending)>;
    explicit Server(Handler handler, int port = 0) : handler_(std::move(handler)) {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        if (bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(listener_, 512) != 0 ||
            getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
            std::fprintf(stderr, "can't listen: %s\n", std::strerror(errno));
            std::exit(kCouldNotRun);
        }
        port_ = ntohs(at.sin_port);
        acceptor_ = std::thread([this] { run(); });
    }
    ~Server() { stop(); }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    void stop() {
        if (ending_.exchange(true)) return;
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        close(listener_);
        {
            const std::lock_guard lock(mutex_);
            for (const int fd : open_) shutdown(fd, SHUT_RDWR);
        }
        for (auto& thread : threads_) thread.join();
    }

  private:
    void run() {
        while (!ending_) {
            const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) continue;
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard lock(mutex_);
            open_.insert(fd);
            threads_.emplace_back([this, fd] {
                handler_(fd, ending_);
                const std::lock_guard inner(mutex_);
                open_.erase(fd);
                close(fd);
            });
        }
    }
    Handler handler_;
    int listener_ = -1, port_ = 0;
    std::atomic<bool> ending_{false};
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
};

// ---- discovery and the platform's notices ----

struct Entry {
    std::string name, address;
    int group = 0;
    double weight = 1;
    std::string status = "SERVING", type = "all-partners";
};

inline std::string listText(const std::vector<Entry>& entries, int index, bool whole) {
    std::ostringstream text;
    text << "{\"index\":" << index << ",\"snapshot\":" << (whole ? "true" : "false") << ",\"endpoints\":[";
    bool first = true;
    for (const auto& e : entries) {
        text << (first ? "" : ",") << "{\"name\":\"" << e.name << "\",\"address\":\"" << e.address
             << "\",\"zone\":\"a\",\"type\":\"" << e.type << "\",\"group\":" << e.group << ",\"status\":\""
             << e.status << "\",\"weight\":" << e.weight << ",\"since_ms\":0}";
        first = false;
    }
    text << "]}";
    return text.str();
}

/// An agent whose list does not change, and the receiver of notices.
class Platform {
  public:
    explicit Platform(std::vector<Entry> entries)
        : entries_(std::move(entries)),
          server_([this](int fd, const std::atomic<bool>& ending) { serve(fd, ending); }) {}
    int port() const { return server_.port(); }
    std::string address() const { return server_.address(); }
    std::string known() const { return listText(entries_, 1, true); }
    /// Called for each notice, with the id and the state.
    std::function<void(const std::string&, const std::string&)> onNotice;
    void stop() { server_.stop(); }

  private:
    static std::string valueOf(const std::string& line, const std::string& name) {
        const auto at = line.find("\"" + name + "\":\"");
        if (at == std::string::npos) return {};
        const auto begin = at + name.size() + 4;
        return line.substr(begin, line.find('"', begin) - begin);
    }
    void serve(int fd, const std::atomic<bool>& ending) {
        std::string rest;
        Message request;
        while (!ending) {
            const auto got = readMessage(fd, rest, request, nowMs() + 200);
            if (got == Got::ended) return;
            if (got == Got::nothing) continue;
            if (request.first.rfind("POST /v1/notices", 0) == 0) {
                std::istringstream lines(request.body);
                for (std::string line; std::getline(lines, line);)
                    if (onNotice && !line.empty()) onNotice(valueOf(line, "id"), valueOf(line, "state"));
                if (!sendAll(fd, "HTTP/1.1 204 No Content\r\n\r\n")) return;
            } else if (request.first.find("watch=1") != std::string::npos) {
                watch(fd, ending);
                return;
            } else if (request.first.rfind("GET /registry/instances", 0) == 0) {
                if (!sendAll(fd, response(200, "", listText(entries_, 1, true)))) return;
            } else if (!sendAll(fd, response(404))) return;
        }
    }
    void watch(int fd, const std::atomic<bool>& ending) {
        const auto chunk = [](const std::string& text) {
            char size[24];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            return size + text + "\r\n";
        };
        if (!sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                             chunk(listText(entries_, 1, true) + "\n")))
            return;
        while (!ending) {
            for (int i = 0; i < 20 && !ending; ++i) sleepMs(100);
            if (!sendAll(fd, chunk("\n"))) return;
        }
    }
    std::vector<Entry> entries_;
    Server server_;
};

// ---- a sender ----

/// The value of a key in deploy/balancer.toml.
inline std::string deployValue(const std::string& root, const std::string& key) {
    std::ifstream file(root + "/deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(key + " = \"", 0) != 0) continue;
        const auto begin = key.size() + 4;
        return line.substr(begin, line.rfind('"') - begin);
    }
    return {};
}

struct Settings {
    std::string grades;
    int slots = 27, held = 325, sockets = 256, senders = 2, ordinal = 0, memoryMb = 128;
    std::string weights = "nominal", coldFrom = "0.19";
    std::string warmUpNs = "14000000000", drainGraceNs = "250000000";
    std::string discovery, known;
};

class Sender {
  public:
    Sender(std::string root, std::string folder, std::string name, Settings settings)
        : root_(std::move(root)),
          folder_(std::move(folder)),
          name_(std::move(name)),
          settings_(std::move(settings)),
          port_(freePort()) {
        std::filesystem::create_directories(folder_ + "/state");
        std::filesystem::create_directories(folder_ + "/tmp");
    }
    ~Sender() { kill(SIGKILL); }
    int port() const { return port_; }
    const std::string& name() const { return name_; }

    /// Starts the program of the deploy file; true once it is ready.
    bool start() {
        const std::string listen = "127.0.0.1:" + std::to_string(port_);
        char seed[32];
        std::snprintf(seed, sizeof seed, "%016llx",
                      0x8c1f30d27a5be964ULL + 977ULL * static_cast<unsigned>(settings_.ordinal) +
                          31ULL * static_cast<unsigned>(++starts_));
        std::ofstream(folder_ + "/config.json")
            << "{\"name\":\"" << name_ << "\",\"listen\":\"" << listen << "\",\"discovery\":\""
            << settings_.discovery << "\",\"seed\":\"" << seed
            << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << settings_.memoryMb
            << ",\"sockets\":" << settings_.sockets << ",\"disk_mb\":3},\"known\":" << settings_.known
            << ",\"settings\":{\"accounts\":[{\"name\":\"acme\",\"quota-per-s\":500.0,\"share\":1.0}],"
               "\"balancers\":"
            << settings_.senders
            << ",\"client-habits\":{\"marks-retry\":true},\"domain\":{\"bundle-max\":[1],\"loses-worth\":"
               "\"even\",\"max-calls\":"
            << settings_.slots
            << ",\"separate-routes\":[false]},\"family\":\"deliver\",\"grades\":" << settings_.grades
            << ",\"kinds\":[\"all-partners\"],\"layers\":[\"all-partners\"],\"limits\":{\"attempts-cap\":8,"
               "\"cancelling\":true,\"connect-timeout-ns\":1000000000,\"cpu-us-per-s\":50000,"
               "\"keepalive-ns\":5000000000,\"max-open\":"
            << settings_.held
            << ",\"max-retry-after-ns\":3000000000,\"may-probe\":true,\"multiplex\":1,\"peers\":false,"
               "\"retry-after\":true,\"second-copies\":false},\"membership-mode\":\"pushed\",\"ordinal\":"
            << settings_.ordinal
            << ",\"over-share-worth\":0.1,\"round-ns\":5000000,\"safety\":{\"answer-slack-ns\":20000000,"
               "\"ask-within-ns\":10000000000,\"cold-from\":"
            << settings_.coldFrom << ",\"drain-grace-ns\":" << settings_.drainGraceNs
            << ",\"fall-multiple\":2.0,\"overload-for-ns\":2000000000,"
               "\"warm-up-ns\":"
            << settings_.warmUpNs
            << "},\"stage\":0,\"telemetry\":{\"fields\":[\"x0\",\"x1\"],\"how\":\"answers\"},\"weights\":\""
            << settings_.weights << "\",\"worth-by\":\"request\",\"zone\":0,\"zones\":[\"a\"]}}";
        const auto run = deployValue(root_, "run");
        if (run.empty()) return false;
        std::vector<std::string> environment{"PATH=/usr/bin:/bin",
                                             "BALANCER_NAME=" + name_,
                                             "BALANCER_LISTEN=" + listen,
                                             "BALANCER_DISCOVERY=" + settings_.discovery,
                                             "BALANCER_STATE=" + folder_ + "/state",
                                             "BALANCER_CONFIG=" + folder_ + "/config.json",
                                             "TMPDIR=" + folder_ + "/tmp"};
        std::vector<char*> variables;
        for (auto& e : environment) variables.push_back(e.data());
        variables.push_back(nullptr);
        const std::string log = folder_ + "/log";
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // it must not outlive this program
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            sigset_t none;
            sigemptyset(&none);
            sigprocmask(SIG_SETMASK, &none, nullptr);
            if (chdir(root_.c_str()) != 0) _exit(127);
            char shell[] = "/bin/sh", option[] = "-c";
            char* arguments[] = {shell, option, const_cast<char*>(run.c_str()), nullptr};
            execve(shell, arguments, variables.data());
            _exit(127);
        }
        record.line("sender %s started, pid %d", name_.c_str(), static_cast<int>(pid_));
        for (const auto until = nowMs() + 10000; nowMs() < until; sleepMs(10)) {
            if (exited()) return false;
            const int fd = connectTo(port_, 200);
            if (fd < 0) continue;
            std::string rest;
            Message answer;
            const bool good =
                sendAll(
                    fd,
                    "GET /health/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n") &&
                readMessage(fd, rest, answer, nowMs() + 500) == Got::message && answer.status() == 200;
            close(fd);
            if (!good) continue;
            record.line("sender %s ready", name_.c_str());
            return true;
        }
        return false;
    }
    void signal(int number) {
        if (pid_ > 0) ::kill(pid_, number);
    }
    /// Ends it and waits.
    void kill(int number) {
        if (pid_ <= 0) return;
        record.line("sender %s gets signal %d", name_.c_str(), number);
        ::kill(pid_, number);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    bool exited() {
        if (pid_ <= 0) return true;
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
        record.line("sender %s ended by itself, status %d", name_.c_str(), status);
        pid_ = -1;
        return true;
    }

  private:
    std::string root_, folder_, name_;
    Settings settings_;
    int port_;
    pid_t pid_ = -1;
    int starts_ = 0;
};

// ---- clients ----

struct Submission {
    std::string id, key, kind = "notice", body = "a tender notice";
    int destination = 0, deadlineMs = 28000;
    std::string text() const {
        return "POST /" + kind + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
               "\r\nReq-Kind: " + kind +
               "\r\nReq-Owner: acme\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" +
               (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") +
               "Content-Length: " + std::to_string(body.size()) +
               "\r\nX-Route-To: dest=" + std::to_string(destination) + "\r\n\r\n" + body;
    }
};

/// One client: sends one request at a time, and keeps its connection.
class Client {
  public:
    explicit Client(int port) : port_(port) {}
    ~Client() { drop(); }
    /// The status of the answer; 0 if there was none in 400 ms.
    int submit(const Submission& submission) {
        for (int tries = 0; tries < 2; ++tries) {
            const bool reused = fd_ >= 0;
            if (!reused) fd_ = connectTo(port_, 400);
            if (fd_ < 0) return 0;
            Message answer;
            const auto got =
                sendAll(fd_, submission.text()) ? readMessage(fd_, rest_, answer, nowMs() + 400) : Got::ended;
            if (got == Got::message) {
                if (answer.field("connection") == "close") drop();
                return answer.status();
            }
            drop();
            if (!reused || got == Got::nothing) return 0;  // else it crossed the end of a resting connection
        }
        return 0;
    }

  private:
    void drop() {
        if (fd_ >= 0) close(fd_);
        fd_ = -1;
        rest_.clear();
    }
    int port_, fd_ = -1;
    std::string rest_;
};

/// Calls `step` at a steady rate from as many threads as it takes, until the time is up.
inline void steadily(double perSecond, std::int64_t untilMs, const std::function<void(unsigned)>& step) {
    const auto begun = nowMs();
    for (unsigned i = 0;; ++i) {
        const auto at = begun + static_cast<std::int64_t>(1000.0 * i / perSecond);
        if (at >= untilMs) return;
        sleepUntilMs(at);
        step(i);
    }
}

struct Run {
    std::string root, folder, temporary;
    bool trouble = true;
};

/// argv: root, folder of the case, temporary folder. TROUBLE=0 leaves the disruption out.
inline Run begin(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    if (argc < 4) std::exit(kCouldNotRun);
    const char* trouble = std::getenv("TROUBLE");
    Run run{argv[1], argv[2], argv[3], !(trouble && std::string(trouble) == "0")};
    record.open(run.folder + "/record.txt");
    record.line("disruption %s", run.trouble ? "on" : "off");
    return run;
}

inline int end(int verdict, const std::string& why) {
    const char* word = verdict == kBroken ? "broken" : verdict == kHeld ? "held" : "could not run";
    record.line("verdict: %s: %s", word, why.c_str());
    std::printf("%s: %s\n", word, why.c_str());
    return verdict;
}

}  // namespace kit
