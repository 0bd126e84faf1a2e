// A sender that starts while discovery is silent: whatever listens at the addresses of its saved list by
// then, no message reaches a server of another destination, or one that drains. What nothing proves waits for
// discovery; where the server's report proves it, service goes on within seconds.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <map>
#include <ostream>
#include <set>
#include <vector>

#include "discovery_agent.hpp"
#include "failing_endpoint.hpp"
#include "log/log.hpp"
#include "message_table.hpp"

namespace {

using namespace laurelhaven;
using namespace check;

constexpr int kSubject = 7, kOther = 8;           // destinations
constexpr milliseconds kServiceAfterProof{3000};  // the stated target
constexpr milliseconds kSilence{1200};
constexpr int kDeadlineMs = 20000;

enum class ProbeReply { ok, notFound, unavailable, none };

/// Serves one destination at one address; each message's id begins with the destination that it is for.
class Site {
  public:
    Site() { server_.start(); }
    std::string address() const { return server_.address(); }
    void serve(int destination) { destination_ = destination; }
    void setReport(double rateLimit) { rateLimit_ = rateLimit; }
    void setProbeReply(ProbeReply reply) { probeReply_ = reply; }
    void drain() { draining_ = true; }
    void stop() { server_.stop(); }
    /// As a process that starts anew: connections to the old one are reset.
    void restart() {
        server_.stop();
        server_.start();
    }
    int misdirected() const { return misdirected_; }
    int whileDraining() const { return whileDraining_; }
    int delivered() const { return delivered_; }
    int probes() const { return probes_; }

  private:
    http::Fields report() const {
        return {{"Srv-Load", rateLimit_ > 0 ? "x0=0.9,x1=" + std::to_string(rateLimit_) : "x0=0,x1=0"}};
    }
    bool answer(const http::Message& request, lab::Connection& connection) {
        const auto respond = [&](int status, const std::string& body = {}) {
            return connection.send(http::formatResponse(status, report(), body, true));
        };
        if (request.method == "GET") {
            ++probes_;
            switch (probeReply_) {
                case ProbeReply::ok: return respond(200);
                case ProbeReply::notFound: return respond(404);
                case ProbeReply::unavailable: return respond(503);
                case ProbeReply::none: connection.pause(std::chrono::seconds(5)); return false;
            }
        }
        const auto id = *request.headers.find("Req-Id");
        if (id.substr(0, id.find('-')) != std::to_string(destination_)) return ++misdirected_, respond(400);
        if (draining_) return ++whileDraining_, respond(503);
        ++delivered_;
        return respond(200, "run " + id);
    }

    std::atomic<int> destination_{0}, misdirected_{0}, whileDraining_{0}, delivered_{0}, probes_{0};
    std::atomic<double> rateLimit_{0};
    std::atomic<ProbeReply> probeReply_{ProbeReply::ok};
    std::atomic<bool> draining_{false};
    lab::Server server_{"127.0.0.1:0", [this](const http::Message& request, lab::Connection& connection) {
                            return answer(request, connection);
                        }};
};

/// A sender, its discovery, and two destinations with one endpoint each. The subject's next endpoint comes up
/// at an address of its own, or at the one that the sender knows.
class World {
  public:
    World(Effect effect, bool mayProbe, double subjectLimit, double otherLimit)
        : subjectLimit_(subjectLimit), otherLimit_(otherLimit) {
        log::setLevel(log::Level::off);
        known.serve(kSubject);
        other.serve(kOther);
        next.serve(kSubject);
        agent.set({"a", known.address(), kSubject, subjectLimit});
        agent.set({"b", other.address(), kOther, otherLimit});
        settings_ = settingsFor(effect, 54, 400);
        const std::string limits = R"("limits":{)";
        if (mayProbe) settings_.insert(settings_.find(limits) + limits.size(), R"("may-probe":true,)");
        program = std::make_unique<Program>(folder_.path, [&](const std::string& listen) {
            return configuration(listen, agent.address(), agent.entries(), settings_);
        });
    }
    void submit(int destination, int count) {
        const auto connection = program->connection();
        for (int i = 0; i < count; ++i) {
            const auto id = std::to_string(destination) + "-" + std::to_string(++submitted_);
            ASSERT_EQ(Program::status(connection,
                                      requestFor(id, static_cast<std::uint64_t>(destination), kDeadlineMs)),
                      202);
        }
    }
    bool nothingHeld() const { return metric(*program, "messages_held") == 0; }
    int delivered() const { return known.delivered() + next.delivered() + other.delivered(); }
    int misdirected() const { return known.misdirected() + next.misdirected() + other.misdirected(); }
    int submitted() const { return submitted_; }
    void moveDiscovery(const std::string& address) {
        program->configure(configuration(local(program->port()), address, agent.entries(), settings_));
        kill(program->pid(), SIGHUP);
    }

    // ---- what has happened when the sender comes back ----

    /// A new process of the subject is at the address.
    void replaceProcess() {
        known.restart();
        agent.remove("a");
        agent.set({"a2", known.address(), kSubject, subjectLimit_, "SERVING", 1});
    }
    /// The address is another destination's; the subject's next endpoint is elsewhere.
    void takeAddressOver() {
        known.restart();
        known.serve(kOther);
        agent.remove("a");
        agent.set({"a2", next.address(), kSubject, subjectLimit_, "SERVING", 1});
        agent.set({"b2", known.address(), kOther, otherLimit_, "SERVING", 2});
    }
    void drainEndpoint() {
        known.drain();
        agent.set({"a", known.address(), kSubject, subjectLimit_, "DRAINING"});
        agent.set({"a2", next.address(), kSubject, subjectLimit_, "SERVING", 1});
    }
    void removeEndpoint() {
        known.stop();
        agent.remove("a");
        agent.set({"a2", next.address(), kSubject, subjectLimit_, "SERVING", 1});
    }

    Site known, next,
        other;  // at the address of the saved list; the subject's next one; the other destination's
    DiscoveryAgent agent;
    std::unique_ptr<Program> program;

  private:
    double subjectLimit_, otherLimit_;
    Folder folder_;
    std::string settings_;
    int submitted_ = 0;
};

constexpr std::array kEffects{Effect::pure, Effect::keyed, Effect::unsafe};

// ---- who is at the address, and what it says ----

enum class Occupant { sameProcess, newProcess, otherDestination, draining, nobody };
constexpr std::array kOccupants{Occupant::sameProcess, Occupant::newProcess, Occupant::otherDestination,
                                Occupant::draining, Occupant::nobody};
enum class Reported { distinctLimits, similarLimits, nothing };
constexpr std::array kReported{Reported::distinctLimits, Reported::similarLimits, Reported::nothing};
enum class Probes { ok, notFound, unavailable, unanswered, notPermitted };
constexpr std::array kProbes{Probes::ok, Probes::notFound, Probes::unavailable, Probes::unanswered,
                             Probes::notPermitted};

struct AddressCell {
    Occupant occupant;
    Reported reported;
    Probes probes;
};
std::string name(const AddressCell& cell) {
    constexpr std::array kOccupantNames{"SameProcess", "NewProcess", "OtherDestination", "Draining",
                                        "Nobody"};
    constexpr std::array kReportedNames{"DistinctLimits", "SimilarLimits", "NoReport"};
    constexpr std::array kProbeNames{"Probe200", "Probe404", "Probe503", "ProbeUnanswered", "NoProbes"};
    return std::string(kOccupantNames[static_cast<std::size_t>(cell.occupant)]) +
           kReportedNames[static_cast<std::size_t>(cell.reported)] +
           kProbeNames[static_cast<std::size_t>(cell.probes)];
}
std::ostream& operator<<(std::ostream& out, const AddressCell& cell) { return out << name(cell); }

std::vector<AddressCell> addressCells() {
    std::vector<AddressCell> all;
    for (const auto occupant : kOccupants)
        for (const auto reported : kReported)
            for (const auto probes : kProbes) all.push_back({occupant, reported, probes});
    return all;
}

ProbeReply replyTo(Probes probes) {
    switch (probes) {
        case Probes::notFound: return ProbeReply::notFound;
        case Probes::unavailable: return ProbeReply::unavailable;
        case Probes::unanswered: return ProbeReply::none;
        default: return ProbeReply::ok;
    }
}

class SilentDiscoveryTable : public testing::TestWithParam<AddressCell> {
  protected:
    static constexpr double kLimit = 50, kSimilarLimit = 52, kDistantLimit = 200;

    SilentDiscoveryTable()
        : world_(effect(), GetParam().probes != Probes::notPermitted, kLimit,
                 GetParam().reported == Reported::similarLimits ? kSimilarLimit : kDistantLimit) {}

    /// Each class has a third of the cells.
    static Effect effect() {
        const auto& cell = GetParam();
        const auto sum = static_cast<std::size_t>(cell.occupant) + static_cast<std::size_t>(cell.reported) +
                         static_cast<std::size_t>(cell.probes);
        return kEffects[sum % kEffects.size()];
    }
    void change() {
        switch (GetParam().occupant) {
            case Occupant::sameProcess: break;
            case Occupant::newProcess: world_.replaceProcess(); break;
            case Occupant::otherDestination: world_.takeAddressOver(); break;
            case Occupant::draining: world_.drainEndpoint(); break;
            case Occupant::nobody: world_.removeEndpoint(); break;
        }
        const bool reports = GetParam().reported != Reported::nothing;
        const bool foreign = GetParam().occupant == Occupant::otherDestination;
        const double otherLimit =
            GetParam().reported == Reported::similarLimits ? kSimilarLimit : kDistantLimit;
        world_.known.setReport(!reports ? 0 : foreign ? otherLimit : kLimit);
        world_.next.setReport(reports ? kLimit : 0);
        world_.other.setReport(reports ? otherLimit : 0);
        for (auto* site : {&world_.known, &world_.next, &world_.other})
            site->setProbeReply(replyTo(GetParam().probes));
    }
    /// The report of the server at the known address names the subject alone.
    static bool proven() {
        const auto& cell = GetParam();
        return cell.reported == Reported::distinctLimits &&
               (cell.probes == Probes::ok || cell.probes == Probes::notFound) &&
               (cell.occupant == Occupant::sameProcess || cell.occupant == Occupant::newProcess);
    }

    World world_;
};

TEST_P(SilentDiscoveryTable, NothingGoesAstrayAndAllIsDelivered) {
    world_.submit(kSubject, 2);
    world_.submit(kOther, 2);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return world_.nothingHeld(); }));
    const int before = world_.known.delivered();
    world_.program->end(SIGKILL);
    world_.agent.setSilent(true);
    change();
    world_.program->start();
    world_.submit(kSubject, 3);
    if (proven()) {
        EXPECT_TRUE(within(kServiceAfterProof, [&] { return world_.known.delivered() == before + 3; }));
    } else {
        std::this_thread::sleep_for(kSilence);  // its length is the case
        EXPECT_EQ(world_.known.delivered(), before);
    }
    world_.submit(kOther, 1);
    world_.agent.setSilent(false);
    EXPECT_TRUE(within(kServiceAfterProof, [&] { return world_.delivered() == world_.submitted(); }));
    EXPECT_EQ(world_.misdirected(), 0);
    EXPECT_EQ(world_.agent.notices(), 0u);
    // A report tells the destination, not that its endpoint drains: the first rejection does.
    const bool mayMeetDrain = GetParam().reported == Reported::distinctLimits &&
                              (GetParam().probes == Probes::ok || GetParam().probes == Probes::notFound);
    EXPECT_LE(world_.known.whileDraining(), mayMeetDrain ? 1 : 0);
    if (GetParam().probes == Probes::notPermitted) {
        EXPECT_EQ(world_.known.probes() + world_.next.probes() + world_.other.probes(), 0);
    }
}

INSTANTIATE_TEST_SUITE_P(Cells, SilentDiscoveryTable, testing::ValuesIn(addressCells()),
                         [](const auto& cell) { return name(cell.param); });

// ---- how the sender comes back, how long discovery is silent, and how it speaks again ----

enum class Restart { killed, terminated, reloaded, killedTwice };
constexpr std::array kRestarts{Restart::killed, Restart::terminated, Restart::reloaded, Restart::killedTwice};
enum class Silence { beforeTheStart, fromTheStart, soonAfterTheStart };
constexpr std::array kSilences{Silence::beforeTheStart, Silence::fromTheStart, Silence::soonAfterTheStart};
constexpr std::array kTells{DiscoveryAgent::Tells::changes, DiscoveryAgent::Tells::fullList,
                            DiscoveryAgent::Tells::olderIndex};

struct RestartCell {
    Restart restart;
    Silence silence;
    DiscoveryAgent::Tells tells;
};
std::string name(const RestartCell& cell) {
    constexpr std::array kRestartNames{"Killed", "Terminated", "Reloaded", "KilledTwice"};
    constexpr std::array kSilenceNames{"SilentBefore", "SilentFromStart", "SilentAfter"};
    constexpr std::array kTellNames{"Changes", "FullList", "OlderIndex"};
    return std::string(kRestartNames[static_cast<std::size_t>(cell.restart)]) +
           kSilenceNames[static_cast<std::size_t>(cell.silence)] +
           kTellNames[static_cast<std::size_t>(cell.tells)];
}
std::ostream& operator<<(std::ostream& out, const RestartCell& cell) { return out << name(cell); }

std::vector<RestartCell> restartCells() {
    std::vector<RestartCell> all;
    for (const auto restart : kRestarts)
        for (const auto silence : kSilences)
            for (const auto tells : kTells) all.push_back({restart, silence, tells});
    return all;
}

class SilentDiscoveryRestart : public testing::TestWithParam<RestartCell> {
  protected:
    static constexpr int kBacklog = 10;
    static constexpr milliseconds kBeforeSilence{300};

    void startIntoSilence() {
        const auto silence = GetParam().silence;
        if (silence == Silence::beforeTheStart) world_.agent.setSilent(true);
        world_.program->start([&](pid_t) {
            if (silence == Silence::fromTheStart) world_.agent.setSilent(true);
        });
        if (silence != Silence::soonAfterTheStart) return;
        std::this_thread::sleep_for(kBeforeSilence);  // its length is the case
        world_.agent.setSilent(true);
    }
    void restart(int signal) {
        world_.program->end(signal);
        world_.takeAddressOver();
        startIntoSilence();
    }
    /// The process goes on: it has been told of the change when its discovery moves to a silent address.
    void reload() {
        world_.takeAddressOver();
        elsewhere_.setSilent(true);
        world_.submit(kSubject, 1);
        ASSERT_TRUE(within(milliseconds(4000), [&] { return world_.next.delivered() == 1; }));
        world_.moveDiscovery(elsewhere_.address());
    }
    void comeBack() {
        switch (GetParam().restart) {
            case Restart::killed: return restart(SIGKILL);
            case Restart::terminated: return restart(SIGTERM);
            case Restart::reloaded: return reload();
            case Restart::killedTwice:
                restart(SIGKILL);
                world_.submit(kSubject, kBacklog);
                // Where discovery spoke before it fell silent: an unsafe message in flight would end as
                // failed.
                within(kBeforeSilence, [&] { return world_.nothingHeld(); });
                world_.program->end(SIGKILL);
                world_.program->start();
        }
    }

    DiscoveryAgent elsewhere_;
    World world_{Effect::unsafe, true, 50, 50};
};

TEST_P(SilentDiscoveryRestart, NothingGoesAstrayAndAllIsDelivered) {
    world_.submit(kSubject, 2);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return world_.nothingHeld(); }));
    comeBack();
    world_.submit(kSubject, kBacklog);
    std::this_thread::sleep_for(kSilence);  // its length is the case
    if (GetParam().silence == Silence::beforeTheStart && GetParam().restart != Restart::reloaded) {
        EXPECT_EQ(world_.next.delivered(), 0) << "before it was proven";
    }
    EXPECT_EQ(world_.misdirected(), 0);
    world_.agent.setTells(GetParam().tells);
    world_.agent.setSilent(false);
    EXPECT_TRUE(within(kServiceAfterProof, [&] { return world_.delivered() == world_.submitted(); }));
    EXPECT_EQ(world_.misdirected(), 0);
    EXPECT_EQ(world_.agent.notices(), 0u);
}

INSTANTIATE_TEST_SUITE_P(Cells, SilentDiscoveryRestart, testing::ValuesIn(restartCells()),
                         [](const auto& cell) { return name(cell.param); });

// ---- a hold ends with a backlog ----

// The backlog of a hold that lasted over two restarts is neither ended nor sent astray, and is delivered soon
// after discovery speaks.
TEST(SilentDiscovery, ABacklogWaitsOverTwoRestarts) {
    constexpr int kBacklog = 300;
    World world(Effect::keyed, true, 200, 200);
    world.submit(kSubject, 2);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return world.nothingHeld(); }));
    world.program->end(SIGKILL);
    world.takeAddressOver();
    world.agent.setSilent(true);
    world.program->start();
    world.submit(kSubject, kBacklog / 2);
    world.program->end(SIGKILL);
    world.program->start();
    world.submit(kSubject, kBacklog / 2);
    std::this_thread::sleep_for(milliseconds(2500));  // its length is the case: a hold after which an outage
                                                      // may have gone unseen
    EXPECT_EQ(world.known.misdirected() + world.next.delivered(), 0);
    EXPECT_EQ(metric(*world.program, "messages_held"), kBacklog);
    world.agent.setSilent(false);
    const auto needed = static_cast<int>(0.95 * kBacklog);
    EXPECT_TRUE(within(std::chrono::seconds(8), [&] { return world.next.delivered() >= needed; }));
    EXPECT_TRUE(within(std::chrono::seconds(5), [&] { return world.nothingHeld(); }));
    EXPECT_EQ(world.misdirected(), 0);
    EXPECT_EQ(world.agent.notices(), 0u);
}

// Nobody saw whether the destination had an outage during the hold, so its backlog must not push it over.
TEST(SilentDiscovery, ABacklogDoesNotPushAColdDestinationOver) {
    const Folder folder;
    DiscoveryAgent agent;
    FailingEndpoint endpoint;
    agent.set({"a", endpoint.address(), kSubject, kCapacity});
    const auto text = inFleetOf(kSenders, settingsFor(Effect::keyed, 54, 400));
    Program program(folder.path, [&](const std::string& listen) {
        return configuration(listen, agent.address(), agent.entries(), text);
    });
    const auto submit = [&](int from, int count) {
        const auto connection = program.connection();
        for (int i = from; i < from + count; ++i)
            Program::status(connection, requestFor("m" + std::to_string(i), kSubject, kDeadlineMs));
    };
    submit(0, 10);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return metric(program, "messages_held") == 0; }));
    program.end(SIGKILL);
    agent.setSilent(true);
    program.start();
    submit(100, 60);
    std::this_thread::sleep_for(milliseconds(2500));  // its length is the case
    endpoint.recover();                               // cold from now on
    agent.setSilent(false);
    ASSERT_TRUE(within(std::chrono::seconds(18), [&] { return metric(program, "messages_held") == 0; }));
    EXPECT_LE(endpoint.overload(), 1.0) << "of what pushes it over";
    // Its queue may turn some away for good, but not the hold.
    for (int i = 100; i < 160; ++i) EXPECT_TRUE(endpoint.wasAsked("m" + std::to_string(i))) << i;
}

// A small limit allows an attempt every few seconds until the first delivery: the first one must not wait for
// that.
TEST(SilentDiscovery, ADestinationWithASmallLimitIsServedSoonAfterALongHold) {
    World world(Effect::keyed, false, 3, 200);
    world.submit(kSubject, 1);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return world.nothingHeld(); }));
    world.program->end(SIGKILL);
    world.agent.setSilent(true);
    world.program->start();
    world.submit(kSubject, 3);
    std::this_thread::sleep_for(milliseconds(2500));  // its length is the case
    EXPECT_EQ(world.known.delivered(), 1);
    world.agent.setSilent(false);
    EXPECT_TRUE(within(kServiceAfterProof, [&] { return world.known.delivered() == 4; }));
}

// Where nothing has changed, discovery says so at once when it is asked for what it has told already. Until
// it does, nothing is sent.
TEST(SilentDiscovery, AnUnchangedListIsProvenWithoutAHeartbeat) {
    World world(Effect::keyed, false, 50, 50);
    world.submit(kSubject, 1);
    ASSERT_TRUE(within(milliseconds(8000), [&] { return world.nothingHeld(); }));
    std::this_thread::sleep_for(milliseconds(1200));  // the saved list is written at most once a second
    world.program->end(SIGKILL);
    world.program->start();
    const auto startedAt = net::Steady::now();
    world.submit(kSubject, 5);
    ASSERT_TRUE(within(kServiceAfterProof, [&] { return world.nothingHeld(); }));
    EXPECT_LT(net::Steady::now() - startedAt, kServiceAfterProof);
    EXPECT_EQ(world.known.delivered(), 6);
}

}  // namespace
