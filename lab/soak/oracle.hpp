// The oracle of the fault soak: told everything that clients, endpoints and the platform see, it holds the
// senders' rules against it. It knows nothing of the senders' insides.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace laurelhaven::lab::soak {

using Steady = std::chrono::steady_clock;
using Moment = Steady::time_point;
using std::chrono::milliseconds;

/// What a repeat of a call does, by the class of its message.
enum class Effect { pure, keyed, unsafe };

/// A message as a client hands it in.
struct HandIn {
    std::string id, key, body;
    std::size_t sender = 0;
    std::uint64_t destination = 0;
    Effect effect = Effect::keyed;
    Moment sentAt;
    milliseconds deadline{};
};

/// How a call ended, as its endpoint knows it.
enum class CallEnd {
    delivered,   ///< a 200 was written while the connection was open
    mayHaveRun,  ///< anything else behind which the call counts as begun
    neverRan     ///< turned away
};

/// How a request of a client went without an answer.
enum class NoAnswer {
    refused,  ///< no connection came up
    reset,    ///< the connection was reset: the request was not read
    closed,   ///< the connection was ended in good order: the request was read, or might have been
    gaveUp,   ///< the client's patience was over
    faulty    ///< the sender's own network failed just then
};

struct Violation {
    Moment at;
    std::string rule, detail;
    std::string during;  ///< the troubles that overlapped there
};

/// How exactly times are held: more on a machine that may stall.
struct Tolerance {
    milliseconds finalAnswer{350};  ///< for the end of a message, behind its deadline
    milliseconds drainGrace{300};
    milliseconds waitLetThrough{100};
    milliseconds keyWindow{200};
    milliseconds stop{3500};
    milliseconds heardBeforeKill{50};  ///< what is told so shortly before a kill need not have been read
    milliseconds restart{1500};        ///< after its readiness no notice of a restarted sender is overdue
};

struct OracleSettings {
    milliseconds keyWindow{1500};
    int attempts = 8;
    Tolerance tolerance;
};

class Oracle {
  public:
    explicit Oracle(const OracleSettings& settings) : settings_(settings) {}
    /// Whom a violation concerns, as far as that is known.
    struct Parties {
        std::optional<std::size_t> sender;
        std::optional<std::uint64_t> destination;
    };
    /// Names the troubles that overlap at a moment for those, for the report.
    void setTroubleNames(std::function<std::string(Moment, const Parties&)> names) {
        troubleNames_ = std::move(names);
    }

    // -- clients --
    void handed(const HandIn& message);
    void answered(const std::string& id, int status, Moment at);
    /// `fresh`: on a connection that had carried nothing before.
    void unanswered(const std::string& id, NoAnswer how, bool fresh, Moment at);

    // -- endpoints --
    /// A whole call has come. `open` says whether its connection still is. Returns its number.
    std::uint64_t callBegan(const std::string& id, const std::string& key, const std::string& body,
                            const std::string& endpoint, std::uint64_t destination,
                            std::function<bool()> open);
    void callEnded(std::uint64_t call, CallEnd end);
    /// Its answer, which tells a wait, has been written, no sooner than at that moment.
    void toldWait(std::uint64_t call, milliseconds wait, Moment at);
    /// It was answered just now that no attempt may follow: the message is over, or it has had all its
    /// attempts and its end is owed. `heard`: the sender's end of the connection works.
    void endsAttempts(std::uint64_t call, bool endOwed, bool heard);
    /// Whether it is for another destination, at an address that this endpoint has taken over.
    bool isMisdirected(std::uint64_t call) const;
    /// The sender that makes this call.
    std::size_t senderOf(std::uint64_t call) const;
    /// The connection stood for a while behind a 200: its sender has not given the call up just then.
    void surelyHeard(std::uint64_t call);

    // -- platform --
    void noticed(const std::string& id, const std::string& state, Moment at);
    /// Discovery has written to the sender that the endpoint drains or has gone.
    void toldEnd(std::size_t sender, const std::string& endpoint, Moment at);
    /// Every sender's discovery has it that the endpoint has gone, whether or not it can tell.
    void agentsKnowEnd(const std::string& endpoint, Moment at);
    /// `successor`, of another destination, is at the address of an endpoint that has gone.
    void addressTakenOver(const std::string& successor, const std::string& gone);

    // -- senders --
    /// `unwritable`: its folder's writes fail just then, so what has happened last may be on no record.
    void down(std::size_t sender, Moment at, bool killed, bool unwritable);
    /// Its process starts.
    void starting(std::size_t sender, Moment at);
    void ready(std::size_t sender, Moment at);
    /// A span in which the process was held up.
    void heldUp(std::size_t sender, Moment from, Moment to);
    void stopped(std::size_t sender, milliseconds took, int status);
    /// Anything that a sender did wrong by itself: a crash, a violation in its own log.
    void violated(const std::string& rule, const std::string& detail, std::optional<std::size_t> sender = {});

    /// Messages taken on whose end is still due; and what is due last.
    std::size_t owed(Moment now) const;
    /// Judges what can be judged only at the end.
    void judge(Moment now);
    std::vector<Violation> violations() const;
    struct Counts {
        std::size_t handed = 0, taken = 0, refused = 0, failed = 0, abandoned = 0, crossed = 0;
        std::size_t calls = 0, delivered = 0, notices = 0;
    };
    Counts counts() const;

  private:
    struct Call {
        std::string id, endpoint;
        std::size_t sender = 0;
        std::uint64_t destination = 0;
        Moment begun, endedAt;
        bool ended = false;
        CallEnd end = CallEnd::mayHaveRun;
        std::function<bool()> open;
    };
    struct Message {
        HandIn in;
        bool taken = false, abandoned = false, known = false;
        Moment takenAt{};
        Moment closedAt{};  ///< its connection was ended with no answer, though its client waited
        std::vector<std::uint64_t> calls;
        Moment deliveredAt{}, heardAt{}, noticedAt{};
        Moment attemptsEndedAt{};  ///< an endpoint has answered that no attempt may follow
        bool over = false;         ///< ... and that nothing is owed
        std::string state;         ///< of its notice
    };
    struct Wait {
        Moment told, until;
    };
    struct Down {
        Moment from, to = Moment::max();
        bool killed = true, unwritable = false;
        Moment endedAt = Moment::max();  ///< of a process that was told to end
    };

    void violate(const std::string& rule, const std::string& detail, Moment at, const Parties& parties = {});
    bool lostItsRecord(std::size_t sender, Moment since) const;
    /// Since when the sender knows that the endpoint drains or has gone; nothing where it may not.
    std::optional<Moment> surelyToldEnd(std::size_t sender, const std::string& endpoint) const;
    bool killedWithin(std::size_t sender, Moment from, Moment to) const;
    bool downWithin(std::size_t sender, Moment from, Moment to, bool killedOnly = false) const;
    bool heldWithin(std::size_t sender, Moment from, Moment to) const;
    Moment dueAt(const Message& message) const;
    void checkRepeat(const Message& message, const Call& call);
    void checkSentOn(const Message& message, const Call& call);
    bool mayHaveMissed(std::size_t sender, Moment answeredAt) const;
    void checkEndpoint(const Message& message, const Call& call);
    void checkMisdirected(const Message& message, const Call& call, const std::string& gone);
    bool wasFoundUntried(const Message& message, const Down& down) const;
    bool isGivenUpEarly(const Message& message) const;
    void checkUntried(std::size_t sender, const Down& down);
    void checkClosed(const std::string& id, const Message& message);

    OracleSettings settings_;
    std::function<std::string(Moment, const Parties&)> troubleNames_;
    mutable std::mutex mutex_;
    std::unordered_map<std::string, Message> messages_;
    std::vector<Call> calls_;
    std::map<std::pair<std::size_t, std::string>, std::vector<Moment>> endsTold_;  ///< by sender, endpoint
    std::map<std::pair<std::size_t, std::uint64_t>, Wait> waits_;
    std::map<std::size_t, std::vector<Down>> downs_, holds_;
    std::map<std::string, Moment> endKnownToAgents_;    ///< by endpoint
    std::map<std::string, std::string> takenOverFrom_;  ///< by the endpoint that has the address now
    std::map<std::size_t, Moment> startedAt_;           ///< of each sender's present process
    std::vector<Violation> violations_;
    Counts counts_;
};

}  // namespace laurelhaven::lab::soak
