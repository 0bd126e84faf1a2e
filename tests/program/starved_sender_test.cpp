// A sender with a small share of a core, among clients that ask for more than it can do, still ends each
// message in time.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <map>

#include "log/log.hpp"
#include "program.hpp"
#include "rig/cpu_limiter.hpp"
#include "soak/crowd.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr double kCores = 0.6;  // a sanitizer multiplies the work
#else
constexpr double kCores = 0.15;
#endif
constexpr int kSockets = 400;
constexpr int kClients = 150;  // that ask for more on end
constexpr int kMessages = 30;
constexpr int kFirstDeadlineMs = 3000, kDeadlineStepMs = 100;
constexpr milliseconds kEndSlack{350};  // of the platform, behind a deadline

void takeAllDescriptors() {
    rlimit files{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &files), 0);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
}

/// Discovery that is silent, and the platform, which keeps when each message was first ended.
class NoticeTimes {
  public:
    std::string address() const { return stub_.at(); }
    std::map<std::string, net::Deadline> all() {
        const std::lock_guard lock(mutex_);
        return firstNotice_;
    }

  private:
    std::string answerTo(http::Message& request) {
        if (request.target != "/v1/notices") return {};
        const std::lock_guard lock(mutex_);
        for (const auto line : http::split(request.body, "\n")) {
            const auto id = line.substr(line.find(":\"") + 2);
            firstNotice_.try_emplace(std::string(id.substr(0, id.find('"'))), net::Steady::now());
        }
        return answer(204);
    }

    std::mutex mutex_;
    std::map<std::string, net::Deadline> firstNotice_;
    Stub stub_{[this](http::Message& request) { return answerTo(request); }};
};

std::string limited(std::string configuration) {
    const std::string whole = R"("cores":1.0)";
    return configuration.replace(configuration.find(whole), whole.size(),
                                 R"("cores":)" + std::to_string(kCores));
}

class StarvedSender : public testing::Test {
  protected:
    StarvedSender() {
        log::setLevel(log::Level::off);
        takeAllDescriptors();
        program_ = std::make_unique<Program>(folder_.path, platform_, entry("a", endpoint_.at(), 7));
        program_->end(SIGKILL);
        program_->configure(
            limited(configuration(local(program_->port()), notices_.address(), entry("a", endpoint_.at(), 7),
                                  settings(4, kMessages), kSockets)));
        program_->start();
    }
    ~StarvedSender() override { limiter_.remove(program_->pid()); }

    /// Hands in messages for an endpoint that never answers, and limits the sender from then on.
    void acceptMessagesAndLimit() {
        for (int i = 0; i < kMessages; ++i) {
            const auto id = "m" + std::to_string(i);
            const int deadlineMs = kFirstDeadlineMs + i * kDeadlineStepMs;
            deadlines_[id] = net::Steady::now() + milliseconds(deadlineMs);
            ASSERT_EQ(program_->status(handIn(id, deadlineMs)), 202);
        }
        limiter_.add(program_->pid(), kCores);
    }
    void expectEndsInTime() {
        await([this] { return notices_.all().size() == deadlines_.size(); });
        const auto slack = kEndSlack + limiter_.worstDelay();
        for (const auto& [id, at] : notices_.all())
            EXPECT_LE((at - deadlines_.at(id)) / milliseconds(1), slack.count()) << id;
    }
    std::string address() const { return local(program_->port()); }

    Folder folder_;
    Platform platform_;
    NoticeTimes notices_;
    Stub endpoint_{[](http::Message&) { return std::string(); }};
    lab::CpuLimiter limiter_;
    std::unique_ptr<Program> program_;
    std::map<std::string, net::Deadline> deadlines_;
};

TEST_F(StarvedSender, EndsMessagesInTimeWhileACrowdReconnects) {
    acceptMessagesAndLimit();
    constexpr std::size_t kCrowd = 2 * kSockets;
    const lab::soak::Crowd crowd(address(), kCrowd, [] { return true; });
    expectEndsInTime();
    EXPECT_GT(crowd.connected(), kCrowd);
}

TEST_F(StarvedSender, EndsMessagesInTimeWhileRefusedClientsRetryAtOnce) {
    acceptMessagesAndLimit();
    std::atomic<bool> over{false};
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client)
        clients.emplace_back([&, client] {
            net::Fd fd = program_->connection();
            for (int i = 0; fd && !over; ++i)
                if (Program::status(fd, handIn("r" + std::to_string(client) + "-" + std::to_string(i))) == 0)
                    fd = program_->connection();
        });
    expectEndsInTime();
    over = true;
    for (auto& client : clients) client.join();
}

TEST_F(StarvedSender, EndsMessagesInTimeWhileClientsFloodIt) {
    acceptMessagesAndLimit();
    std::atomic<bool> over{false};
    std::vector<std::thread> clients;
    for (int client = 0; client < kClients; ++client)
        clients.emplace_back([&] {
            const std::string noise = "\x01\x02 no request\r\n\r\n" + std::string(1 << 20, 'x');
            while (!over) {
                const auto fd = program_->connection();
                for (int i = 0; fd && !over && i < 100; ++i)
                    if (net::sendAll(fd.get(), noise, net::Steady::now() + milliseconds(500)) !=
                        net::IoResult::done)
                        break;
            }
        });
    expectEndsInTime();
    over = true;
    for (auto& client : clients) client.join();
}

}  // namespace
