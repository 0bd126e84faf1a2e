// A second copy of a 503 comes late, and behind it the spoilt answer to the next message on the connection: that one
// has run, is taken for turned away, and runs once more.
#include "network.hpp"

using namespace review;

namespace {

constexpr double kSentAgain = 0.2;  // the least time after which TCP sends a segment again
constexpr int kRefuseEach = 5, kSpoilEach = 4;  // of an endpoint's calls

/// What an endpoint ran and answered. It is sound but for the trouble.
class Endpoint {
  public:
    explicit Endpoint(std::string name) : name_(std::move(name)), server_([this](int fd) { serve(fd); }) {}
    int port() const { return server_.port(); }
    /// How often each message ran.
    std::map<std::string, int> runs() {
        const std::lock_guard lock(mutex_);
        return runs_;
    }
    int copies() const { return copies_; }
    int spoilt() const { return spoilt_; }

  private:
    void serve(int fd) {
        Reader reader(fd);
        for (Message call; reader.next(call);) {
            const auto id = call.field("req-id");
            const int number = ++calls_;
            if (number % kRefuseEach == 0) {
                RECORD("endpoint  %s turned away %s: 503, its queue is full", name_.c_str(), id.c_str());
                if (!sendAll(fd, response(503))) return;
                if (call.field("connection") == "close") return;
                if (!trouble() || reader.waitReadable(0.001)) continue;
                ++copies_;
                RECORD("endpoint  %s second copy of the answer to %s", name_.c_str(), id.c_str());
                if (!sendAll(fd, response(503))) return;
                continue;
            }
            {
                const std::lock_guard lock(mutex_);
                ++runs_[id];
            }
            sleepFor(0.06 + 0.03 * (number % 7));
            const bool spoils = trouble() && number % kSpoilEach == 3;
            spoilt_ += spoils;
            RECORD("endpoint  %s ran %s, %s", name_.c_str(), id.c_str(), spoils ? "answer spoilt: noise" : "answered 200");
            if (!sendAll(fd, spoils ? std::string("\x07\x1b#noise that nobody can read#\x02\x03") : response(200))) return;
            if (spoils) {  // the connection stays open, and is of no further use
                reader.next(call);
                return;
            }
            if (call.field("connection") == "close") return;
        }
    }
    std::string name_;
    std::atomic<int> calls_{0}, copies_{0}, spoilt_{0};
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    Server server_;
};

const char* const kSettings = R"({"grades":[
 {"name":"status-update","effect":"pure","give-up-ns":16000000000,"slo-ns":2500000000,"late-share":0.4,"credit":2.0},
 {"name":"claim-referral","effect":"side_effect","give-up-ns":16000000000,"slo-ns":2500000000,"late-share":0.4,"credit":1.0}],
 "balancers":1,"domain":{"max-calls":60,"loses-worth":"by_half","separate-routes":[false]},
 "kinds":["local-partners"],"zones":["windhoek"],
 "limits":{"attempts-cap":12,"cancelling":true,"connect-timeout-ns":1000000000,"keepalive-ns":10000000000,
 "max-open":400,"max-retry-after-ns":3000000000,"may-probe":true,"retry-after":true},
 "safety":{"answer-slack-ns":20000000,"cold-from":0.17,"drain-grace-ns":500000000,"fall-multiple":2.0,
 "overload-for-ns":2000000000,"warm-up-ns":9800000000},
 "telemetry":{"fields":[],"how":"none"},"weights":"rough","membership-mode":"pushed"})";

}  // namespace

int main(int, char** argv) {
    Record::get().open(argv[1]);
    constexpr int kPartners = 6;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<std::unique_ptr<Network>> networks;
    std::vector<Listed> list;
    for (int i = 1; i <= kPartners; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>("e" + std::to_string(i)));
        networks.push_back(std::make_unique<Network>(endpoints.back()->port(), kSentAgain));
        list.push_back({"s-e" + std::to_string(i), networks.back()->address(), "local-partners", i, 40});
    }
    Discovery discovery(list);
    Sender sender(discovery.address(), discovery.whole(), kSettings, 512);
    sender.start();
    Clients clients(sender);
    sleepFor(1);
    constexpr double kSeconds = 60;
    constexpr int kDeadlineMs = 16000;
    for (int i = 1; i <= kPartners; ++i) {
        clients.run("u" + std::to_string(i) + "-", i, "status-update", 10, kSeconds, kDeadlineMs);
        clients.run("r" + std::to_string(i) + "-", i, "claim-referral", 8, kSeconds, kDeadlineMs);
    }
    clients.join();
    // The latest sentence on the time of a final answer lets it be half a second late; limits are 50 ms longer.
    sleepFor(2);
    int taken = 0, twice = 0;
    int copies = 0, spoilt = 0;
    std::map<std::string, int> runs;
    for (const auto& endpoint : endpoints) {
        copies += endpoint->copies();
        spoilt += endpoint->spoilt();
        runs.merge(endpoint->runs());
    }
    for (const auto& [id, submission] : clients.submissions()) {
        taken += submission.taken();
        if (id[0] != 'r') continue;
        if (const auto it = runs.find(id); it == runs.end() || it->second < 2) continue;
        if (++twice <= 20) RECORD("TWICE     %s: a claim-referral ran %d times", id.c_str(), runs[id]);
    }
    char text[300];
    std::snprintf(text, sizeof text, "%d messages taken on, %d claim-referrals ran twice; %d second copies, %d answers spoilt",
                  taken, twice, copies, spoilt);
    if (taken < 300) cannotRun(std::string("too little was taken on: ") + text);
    verdict(sender, twice > 0, text);
}
