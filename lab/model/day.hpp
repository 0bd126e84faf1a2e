// One day in virtual time: the real decision module, one instance a sender, against modelled clients,
// network, partners and troubles. Deterministic for a seed. It holds the rules to account on every run, as
// the ledger of the stand-ins does, and says which resource was nearest to its bound.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "desk/desk.hpp"
#include "trace/record.hpp"

namespace laurelhaven::model {

using lab::Instant;  ///< since the day's beginning

struct Partner {
    lab::PartnerModel does;
    int endpoints = 1;
    bool coldAtStart = false;
    std::vector<int> zones;  ///< of its endpoints, dealt in turn; none: zone 0
    int zone(int endpoint) const {
        return zones.empty() ? 0 : zones[static_cast<std::size_t>(endpoint) % zones.size()];
    }
};

struct Senders {
    int count = 2;
    int slots = 24;    ///< calls out at once, of each
    int held = 400;    ///< messages held at once, of each
    int attempts = 8;  ///< for one message
    std::chrono::milliseconds adviceMost{3000};
    int sockets = 1024;        ///< descriptors; dealt out as the sender does it
    int memoryMb = 192;        ///< of each
    double baseMb = 7;         ///< of that, without load
    double messageKb = 2;      ///< for one that is held, its body included
    double connectionKb = 40;  ///< for a client's connection, with its thread
    int connections = 96;      ///< of clients, to each sender
    /// Time of one core for a message handed in, and for a call; 0: not looked at.
    std::chrono::microseconds perMessage{0}, perCall{0};
    bool weighed = true;     ///< the list gives partners' rates
    bool cancels = true;     ///< a call may be called off
    std::vector<int> zones;  ///< of the senders, dealt in turn; none: zone 0
    int zone(int sender) const {
        return zones.empty() ? 0 : zones[static_cast<std::size_t>(sender) % zones.size()];
    }
    std::vector<std::size_t> deal;  ///< senders by position that clients turn to in turn; none: each
};

struct Clients {
    int tries = 4;                               ///< of one message, the first included
    std::chrono::milliseconds pause{400};        ///< after a refusal that advises nothing, or no answer
    std::chrono::milliseconds patience{400};     ///< for an answer; then the message is handed in elsewhere
    std::chrono::milliseconds adviceMost{3000};  ///< they come again after so long at most
};

struct Network {
    std::chrono::microseconds delay{100};    ///< one way, between a sender and a partner
    std::chrono::microseconds connect{200};  ///< more, where no connection stands idle
    std::chrono::milliseconds list{5};       ///< until a change of the list has come
};

struct Service {
    std::chrono::milliseconds wanted{4000};  ///< delivered within this a message has its full worth ...
    std::chrono::milliseconds deadline{
        10000};  ///< ... and `lateShare` of it at the last moment, evenly between
    double lateShare = 0.5;
    std::chrono::milliseconds giveUp{28000}, keyWindow{15000};
    /// Of a message delivered so long after its client first handed it in.
    double worth(Instant took) const;
};

struct Trouble {
    enum class Kind {
        outage,
        back,
        drain,  ///< of one endpoint
        slow,   ///< calls take `factor` times as long
        limit,  ///< it takes `factor` times its usual limit
        kill,
        start,
        zoneLost,       ///< its endpoints and its senders
        zoneBack,       ///< partners that were all in it are cold
        discoveryDown,  ///< changes of the list come only once it is up again
        discoveryUp
    } kind = Kind::outage;
    Instant at{};
    std::size_t which = 0;  ///< partner, sender or zone, by position
    double factor = 1;
};

struct Fleet {
    std::vector<Partner> partners;
    Senders senders;
    Clients clients;
    Network network;
    Service service;
    std::vector<Trouble> troubles;
};

/// A message that a client wants delivered.
struct Handing {
    Instant at{};
    std::uint32_t partner = 0;  ///< by position
    std::uint32_t tenant = 0;
    std::uint32_t clump = 0;  ///< those of one clump have one number; also a message alone has one
};

struct Rules {
    std::uint64_t overlaps = 0, doubles = 0, secondEnds = 0, toDrained = 0, duringWait = 0, fallOvers = 0,
                  lost = 0;
    bool kept() const {
        return overlaps + doubles + secondEnds + toDrained + duringWait + fallOvers + lost == 0;
    }
};

/// How far something was used up, at its most.
struct Peak {
    double most = 0, bound = 0;
    Instant at{};
    double share() const { return bound > 0 ? most / bound : 0; }
};

/// What a day was worth: the operators' goal is 60% the whole, 30% the worst 10 s, 10% the worst client.
struct Worth {
    std::vector<double>
        service;  ///< by second of handing in: worth delivered of that asked for; -1: nothing asked
    double whole = 1, worst10 = 1, worstTenant = 1;
    double score() const { return 0.6 * whole + 0.3 * worst10 + 0.1 * worstTenant; }
};
/// Adds up what became of the messages, in any order.
class Tally {
  public:
    void add(Instant handedIn, std::uint32_t tenant, double worth);
    Worth worth() const;

  private:
    std::vector<double> asked_, got_;
    std::map<std::uint32_t, std::pair<double, double>> byTenant_;
};

struct Day {
    std::uint64_t messages = 0, taken = 0, delivered = 0, failed = 0, returned = 0, refused = 0;
    std::uint64_t calls = 0, refusedCalls = 0, heldFull = 0, events = 0;
    std::uint64_t impatient = 0;  ///< handed in elsewhere as no answer came
    Worth worth;
    double score() const { return worth.score(); }
    Rules rules;
    Peak slots, held, descriptors;          ///< of the sender that came nearest
    Peak memory;                            ///< MB, of the sender that came nearest
    Peak core;                              ///< share of one core in any second, likewise
    std::vector<double> asked, lost;        ///< by partner: messages, and the worth they did not have
    std::vector<Peak> partners;             ///< calls run in any 2 s, of what the partner does in 2 s
    std::vector<std::uint64_t> callsTo;     ///< calls by partner
    std::vector<std::uint64_t> turnedAway;  ///< of them, refused for its limit, its queue or as it drains
    std::vector<std::uint64_t> broken;      ///< of them, without an answer: nobody there, reset, out of time
};

/// What senders would have captured, in order of time; see trace::Capture.
using Sink = std::function<void(const trace::Record&)>;

/// Throws std::invalid_argument where the fleet makes no sense. `load` is in order of time.
Day play(const Fleet& fleet, const std::vector<Handing>& load, std::uint64_t seed, const Sink& sink = {});

/// Poisson arrivals at `rate` a second over `span`, for partners in proportion to `weights`. A share
/// `clumped` of the messages comes in clumps: about `clump` at once for one partner, within `within`.
struct Shape {
    double rate = 10;
    Instant span{};
    std::vector<double> weights;
    double clumped = 0, clump = 20;
    std::chrono::milliseconds within{500};
    std::uint32_t tenants = 1;
};
std::vector<Handing> draw(const Shape& shape, std::uint64_t seed);

}  // namespace laurelhaven::model
