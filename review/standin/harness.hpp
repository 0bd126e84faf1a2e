// What the cases of the review share: stand-ins for discovery with the platform, for endpoints and clients, and
// the sender as a process of its own. All on loopback addresses and the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
inline const Time kStart = Clock::now();
inline double since(Time at) { return std::chrono::duration<double>(at - kStart).count(); }
inline double now() { return since(Clock::now()); }
inline void sleepFor(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }
inline void sleepUntil(double at) { sleepFor(std::max(0.0, at - now())); }

/// record.txt: one line for each thing that was sent, answered or run, with the seconds since the start.
class Record {
  public:
    static Record& get() {
        static Record record;
        return record;
    }
    void open(const char* path) { file_ = std::fopen(path, "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[512];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        if (file_) std::fprintf(file_, "%9.3f %s\n", now(), text), std::fflush(file_);
    }

  private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};
#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

[[noreturn]] inline void cannotRun(const std::string& why) {
    std::fprintf(stderr, "the case can't run: %s\n", why.c_str());
    RECORD("the case can't run: %s", why.c_str());
    std::fflush(nullptr);
    _exit(2);
}

// ---- sockets ----

inline sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
}

inline void noDelay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int listenOn(int port, int& bound) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0)
        cannotRun("no port to listen on");
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    bound = ntohs(at.sin_port);
    return fd;
}

inline int freePort() {
    int port = 0;
    close(listenOn(0, port));
    return port;
}

inline int connectTo(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = loopback(port);
    if (fd >= 0 && connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) {
        noDelay(fd);
        return fd;
    }
    if (fd >= 0) close(fd);
    return -1;
}

inline bool sendAll(int fd, const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
        const auto sent = send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

/// A request or response: the first line, the fields in lower case, and the body.
struct Message {
    std::string line;
    std::map<std::string, std::string> fields;
    std::string body;
    std::string field(const std::string& name) const {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    int status() const { return line.size() > 12 ? std::atoi(line.c_str() + 9) : 0; }
};

/// Reads messages with a length from one connection.
class Reader {
  public:
    explicit Reader(int fd) : fd_(fd) {}
    /// False if the connection ended, or nothing whole came within `seconds` (negative: without end).
    bool next(Message& message, double seconds = -1) {
        const double until = seconds < 0 ? -1 : now() + seconds;
        std::size_t head = 0;
        while ((head = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!more(until)) return false;
        message = {};
        std::size_t at = 0;
        for (bool first = true; at < head + 2; first = false) {
            const auto end = buffer_.find("\r\n", at);
            const auto line = buffer_.substr(at, end - at);
            at = end + 2;
            if (first) {
                message.line = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.fields[name] = value;
        }
        const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < head + 4 + length)
            if (!more(until)) return false;
        message.body = buffer_.substr(head + 4, length);
        buffer_.erase(0, head + 4 + length);
        return true;
    }
    /// Whether something comes within `seconds`, or has come already; the end of the connection counts.
    bool waitReadable(double seconds) {
        pollfd waiting{fd_, POLLIN, 0};
        return !buffer_.empty() || poll(&waiting, 1, static_cast<int>(seconds * 1000)) > 0;
    }

  private:
    bool more(double until) {
        if (until >= 0) {
            pollfd waiting{fd_, POLLIN, 0};
            const int left = static_cast<int>((until - now()) * 1000);
            if (left <= 0 || poll(&waiting, 1, left) <= 0) return false;
        }
        char bytes[16384];
        const auto got = recv(fd_, bytes, sizeof bytes, 0);
        if (got <= 0) return false;
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    int fd_;
    std::string buffer_;
};

inline std::string response(int status, const std::string& fields = "", const std::string& body = "") {
    const char* reason = status == 200   ? "OK"
                         : status == 204 ? "No Content"
                         : status == 503 ? "Service Unavailable"
                                         : "Status";
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields;
    if (status != 204) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// A server with a thread for each connection. `serve` closes nothing: the connection ends when it returns.
class Server {
  public:
    using Serve = std::function<void(int fd)>;
    explicit Server(Serve serve) : serve_(std::move(serve)) { up(); }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    /// Refuses connections from now on, and ends the open ones.
    void down() {
        const std::lock_guard lock(mutex_);
        shutdown(listener_, SHUT_RDWR);
        close(listener_);
        listener_ = -1;
        for (const int fd : open_) {
            const linger reset{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            shutdown(fd, SHUT_RD);
        }
    }
    void up() {
        const std::lock_guard lock(mutex_);
        listener_ = listenOn(port_, port_);
        std::thread([this, listener = listener_] { accept(listener); }).detach();
    }

  private:
    void accept(int listener) {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (errno == EINTR || errno == ECONNABORTED) continue;
                return;
            }
            noDelay(fd);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd] {
                serve_(fd);
                const std::lock_guard lock(mutex_);
                open_.erase(fd);
                close(fd);
            }).detach();
        }
    }
    Serve serve_;
    std::mutex mutex_;
    int port_ = 0, listener_ = -1;
    std::set<int> open_;
};

// ---- discovery and the platform ----

struct Listed {
    std::string name, address, type;
    int group = 0;
    double weight = 1;
    std::string status = "SERVING";
    std::string json() const {
        char text[400];
        std::snprintf(text, sizeof text,
                      R"({"name":"%s","address":"%s","zone":"windhoek","type":"%s","group":%d,"status":"%s","weight":%.1f,"since_ms":0})",
                      name.c_str(), address.c_str(), type.c_str(), group, status.c_str(), weight);
        return text;
    }
};

/// The agent on the sender's machine: the list, the watch, and the notices, which it answers at once.
class Discovery {
  public:
    explicit Discovery(std::vector<Listed> list)
        : list_(std::move(list)), server_([this](int fd) { serve(fd); }) {}
    std::string address() const { return server_.address(); }
    std::string whole() const { return text(true, list_); }
    struct Notice {
        std::string state;
        double at = 0;
    };
    /// The first notice for each message.
    std::map<std::string, Notice> notices() {
        const std::lock_guard lock(mutex_);
        return notices_;
    }

  private:
    static constexpr int kIndex = 1;
    static std::string text(bool snapshot, const std::vector<Listed>& list) {
        std::string all;
        for (const auto& entry : list) all += (all.empty() ? "" : ",") + entry.json();
        return R"({"index":)" + std::to_string(kIndex) + R"(,"snapshot":)" + (snapshot ? "true" : "false") +
               R"(,"endpoints":[)" + all + "]}";
    }
    static bool chunk(int fd, const std::string& line) {
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", line.size());
        return sendAll(fd, size + line + "\r\n");
    }
    static std::string quoted(const std::string& line, const std::string& name) {
        const auto at = line.find("\"" + name + "\":\"");
        if (at == std::string::npos) return {};
        const auto from = at + name.size() + 4;
        return line.substr(from, line.find('"', from) - from);
    }
    void serve(int fd) {
        Reader reader(fd);
        for (Message request; reader.next(request);) {
            if (request.line.find("/v1/notices") != std::string::npos) {
                takeNotices(request.body);
                if (!sendAll(fd, response(204))) return;
            } else if (const auto after = request.line.find("watch=1&after="); after != std::string::npos) {
                const bool knows = std::atoi(request.line.c_str() + after + 14) >= kIndex;
                bool good = sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") &&
                            chunk(fd, (knows ? text(false, {}) : whole()) + "\n");
                while (good && !reader.waitReadable(2)) good = chunk(fd, "\n");
                return;
            } else if (!sendAll(fd, response(200, "", whole()))) {
                return;
            }
            if (request.field("connection") == "close") return;
        }
    }
    void takeNotices(const std::string& body) {
        for (std::size_t at = 0; at < body.size();) {
            const auto end = std::min(body.find('\n', at), body.size());
            const auto line = body.substr(at, end - at);
            at = end + 1;
            const auto id = quoted(line, "id"), state = quoted(line, "state");
            if (id.empty()) continue;
            RECORD("platform  notice   %s %s", id.c_str(), state.c_str());
            const std::lock_guard lock(mutex_);
            notices_.try_emplace(id, Notice{state, now()});
        }
    }
    std::vector<Listed> list_;
    std::mutex mutex_;
    std::map<std::string, Notice> notices_;
    Server server_;
};

// ---- the sender ----

/// Starts the sender with the `run` of the deploy file, as a process group of its own.
class Sender {
  public:
    Sender(const std::string& discovery, const std::string& known, const std::string& settings, int sockets)
        : port_(freePort()), folder_(environment("CASE_FOLDER")) {
        mkdir((folder_ + "/state").c_str(), 0700);
        const auto listen = "127.0.0.1:" + std::to_string(port_);
        std::FILE* file = std::fopen((folder_ + "/config.json").c_str(), "w");
        if (!file) cannotRun("no folder for the configuration");
        std::fprintf(file,
                     R"({"name":"n1","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",)"
                     R"("limits":{"cores":1.0,"memory_mb":128,"sockets":%d,"disk_mb":3},"known":%s,"settings":%s})",
                     listen.c_str(), discovery.c_str(), sockets, known.c_str(), settings.c_str());
        std::fclose(file);
        setenv("BALANCER_NAME", "n1", 1);
        setenv("BALANCER_LISTEN", listen.c_str(), 1);
        setenv("BALANCER_DISCOVERY", discovery.c_str(), 1);
        setenv("BALANCER_STATE", (folder_ + "/state").c_str(), 1);
        setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
    }
    ~Sender() { kill(); }
    int port() const { return port_; }
    void start() {
        const auto command = environment("SENDER_RUN");
        RECORD("sender    start");
        pid_ = fork();
        if (pid_ == 0) {
            setpgid(0, 0);
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // whatever ends the case ends the sender
            const int log = open((folder_ + "/sender.log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, 1);
            dup2(log, 2);
            execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
            _exit(127);
        }
        for (const double until = now() + 10; now() < until; sleepFor(0.005)) {
            const int fd = connectTo(port_);
            if (fd < 0) continue;
            Message answer;
            const bool ready = sendAll(fd, "GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n") &&
                               Reader(fd).next(answer, 1) && answer.status() == 200;
            close(fd);
            if (!ready) continue;
            RECORD("sender    ready");
            return;
        }
        kill();
        cannotRun("the sender is not ready after 10 s");
    }
    void kill() {
        if (pid_ <= 0) return;
        RECORD("sender    SIGKILL");
        ::kill(-pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }

  private:
    static std::string environment(const char* name) {
        const char* value = std::getenv(name);
        if (!value) cannotRun(std::string(name) + " is not set; start run.sh");
        return value;
    }
    int port_;
    std::string folder_;
    pid_t pid_ = 0;
};

// ---- clients ----

struct Submission {
    double sentAt = 0, deadline = 0;  ///< seconds; the deadline is a time, not a span
    int status = 0;                   ///< the sender's answer; 0: none within 400 ms
    bool taken() const { return status == 200 || status == 202; }
};

/// Clients that hand messages in and keep what they were answered. Each thread has one connection, which it
/// keeps, and writes one request at a time.
class Clients {
  public:
    /// `keyed`: the class is one that is repeated by key.
    explicit Clients(const Sender& sender, bool keyed = false) : port_(sender.port()), keyed_(keyed) {}
    ~Clients() { join(); }
    /// Messages at an even pace, from now on. `perSecond` of them for `seconds`, by `threads` connections in turn.
    void run(const std::string& prefix, int destination, const std::string& messageClass, double perSecond,
             double seconds, int deadlineMs) {
        threads_.emplace_back([=, this] {
            const double from = now();
            int fd = -1;
            for (int i = 0; i < perSecond * seconds; ++i) {
                sleepUntil(from + i / perSecond);
                handIn(fd, prefix + std::to_string(i), destination, messageClass, deadlineMs);
            }
            if (fd >= 0) close(fd);
        });
    }
    void join() {
        for (auto& thread : threads_) thread.join();
        threads_.clear();
    }
    std::map<std::string, Submission> submissions() {
        const std::lock_guard lock(mutex_);
        return submissions_;
    }

  private:
    void handIn(int& fd, const std::string& id, int destination, const std::string& messageClass, int deadlineMs) {
        const std::string body = "body of " + id;
        const auto request = "POST /" + messageClass + " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id +
                             "\r\nReq-Kind: " + messageClass + "\r\nReq-Deadline-Ms: " + std::to_string(deadlineMs) +
                             (keyed_ ? "\r\nIdempotency-Key: key-" + id : std::string()) +
                             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nX-Route-To: dest=" + std::to_string(destination) + "\r\n\r\n" + body;
        Submission submission;
        submission.sentAt = now();
        submission.deadline = submission.sentAt + deadlineMs / 1000.0;
        Message answer;
        // A sender may close a connection between requests; the client then asks once more on a new one.
        for (int tries = 0; tries < 2 && submission.status == 0 && now() < submission.sentAt + 0.4; ++tries) {
            const bool fresh = fd < 0;
            if (fresh) fd = connectTo(port_);
            if (fd < 0) break;
            const bool answered =
                sendAll(fd, request) && Reader(fd).next(answer, submission.sentAt + 0.4 - now());
            if (answered) submission.status = answer.status();
            if (!answered || answer.field("connection") == "close") close(std::exchange(fd, -1));
            if (fresh) break;
        }
        RECORD("client    %-8s %s to %d, answered %d", "hand-in", id.c_str(), destination, submission.status);
        const std::lock_guard lock(mutex_);
        submissions_[id] = submission;
    }
    int port_;
    bool keyed_;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::map<std::string, Submission> submissions_;
};

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Ends the case: the verdict goes to the record and to standard output.
[[noreturn]] inline void verdict(Sender& sender, bool broken, const std::string& text) {
    sender.kill();
    RECORD("verdict   %s: %s", broken ? "BROKEN" : "held", text.c_str());
    std::printf("%s: %s\n", broken ? "BROKEN" : "held", text.c_str());
    std::fflush(nullptr);
    _exit(broken ? 1 : 0);
}

}  // namespace review
