// A second copy of an answer comes late, and the endpoint closes the resting connection early: a message that
// was written in between has reached nobody.
#include "network.hpp"

using namespace review;

namespace {

constexpr double kSentAgain = 4 * kLatency;  // after two round trips, as TCP sends a last segment again
constexpr int kCopyEach = 5, kCloseEach = 3;  // of an endpoint's answers
constexpr double kCloseAfter = 0.02;          // an early close of a resting connection

/// What an endpoint saw and did. Each endpoint answers all messages alike, as it has no load to report.
class Endpoint {
  public:
    explicit Endpoint(std::string name) : name_(std::move(name)), server_([this](int fd) { serve(fd); }) {}
    int port() const { return server_.port(); }
    std::set<std::string> answered() {
        const std::lock_guard lock(mutex_);
        return answered_;
    }
    int copies() const { return copies_; }
    int closes() const { return closes_; }

  private:
    void serve(int fd) {
        Reader reader(fd);
        for (Message call; reader.next(call);) {
            const auto id = call.field("req-id");
            const int number = ++calls_;
            sleepFor(0.092 + 0.01 * (number % 7));
            if (!sendAll(fd, response(200))) return;
            RECORD("endpoint  %s ran %s, answered 200", name_.c_str(), id.c_str());
            {
                const std::lock_guard lock(mutex_);
                answered_.insert(id);
            }
            if (call.field("connection") == "close") return;
            if (!trouble()) continue;
            if (number % kCopyEach == 0 && !reader.waitReadable(0.001)) {
                ++copies_;
                RECORD("endpoint  %s second copy of the answer to %s", name_.c_str(), id.c_str());
                if (!sendAll(fd, response(200))) return;
            }
            if (number % kCloseEach == 0 && !reader.waitReadable(kCloseAfter)) {
                ++closes_;
                RECORD("endpoint  %s closes the connection that rests after %s", name_.c_str(), id.c_str());
                return;
            }
        }
    }
    std::string name_;
    std::atomic<int> calls_{0}, copies_{0}, closes_{0};
    std::mutex mutex_;
    std::set<std::string> answered_;
    Server server_;
};

const char* const kSettings = R"({"grades":[
 {"name":"status-update","effect":"pure","give-up-ns":16000000000,"slo-ns":2500000000,"late-share":0.4,"credit":2.0},
 {"name":"claim-referral","effect":"side_effect","give-up-ns":16000000000,"slo-ns":2500000000,"late-share":0.4,"credit":1.0}],
 "balancers":1,"domain":{"max-calls":20,"loses-worth":"by_half","separate-routes":[false]},
 "kinds":["local-partners"],"zones":["windhoek"],
 "limits":{"attempts-cap":12,"cancelling":true,"connect-timeout-ns":1000000000,"keepalive-ns":10000000000,
 "max-open":200,"max-retry-after-ns":3000000000,"may-probe":true,"retry-after":true},
 "safety":{"answer-slack-ns":20000000,"cold-from":0.17,"drain-grace-ns":500000000,"fall-multiple":2.0,
 "overload-for-ns":2000000000,"warm-up-ns":9800000000},
 "telemetry":{"fields":[],"how":"none"},"weights":"rough","membership-mode":"pushed"})";

}  // namespace

int main(int, char** argv) {
    Record::get().open(argv[1]);
    Endpoint first("e1"), second("e2");
    Network toFirst(first.port(), kSentAgain), toSecond(second.port(), kSentAgain);
    Discovery discovery({{"s-e1", toFirst.address(), "local-partners", 1, 30},
                         {"s-e2", toSecond.address(), "local-partners", 2, 30}});
    Sender sender(discovery.address(), discovery.whole(), kSettings, 512);
    sender.start();
    Clients clients(sender);
    sleepFor(1);
    constexpr double kSeconds = 25;
    constexpr int kDeadlineMs = 16000;
    clients.run("u", 1, "status-update", 10, kSeconds, kDeadlineMs);
    clients.run("v", 2, "status-update", 10, kSeconds, kDeadlineMs);
    clients.run("r", 1, "claim-referral", 7, kSeconds, kDeadlineMs);
    clients.run("s", 2, "claim-referral", 7, kSeconds, kDeadlineMs);
    clients.join();
    // The latest sentence on the time of a final answer lets it be half a second late; limits are 50 ms longer.
    sleepFor(kDeadlineMs / 1000.0 + 0.6);
    auto answered = first.answered();
    answered.merge(second.answered());
    const auto notices = discovery.notices();
    int taken = 0, delivered = 0, ended = 0, lost = 0;
    for (const auto& [id, submission] : clients.submissions()) {
        if (!submission.taken()) continue;
        ++taken;
        if (answered.count(id)) ++delivered;
        else if (notices.count(id)) ++ended;
        else if (++lost <= 20) RECORD("LOST      %s: taken on, no 200 to a call of it, no notice", id.c_str());
    }
    char text[300];
    std::snprintf(text, sizeof text,
                  "%d messages taken on, %d delivered, %d ended by a notice, %d lost; %d second copies, %d early closes",
                  taken, delivered, ended, lost, first.copies() + second.copies(),
                  first.closes() + second.closes());
    if (taken < 500) cannotRun(std::string("too little was taken on: ") + text);
    verdict(sender, lost > 0, text);
}
