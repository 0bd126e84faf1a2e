// The troubles of one soak, drawn from its seed: what befalls whom, when and for how long. Several overlap at
// any time. Pure: the same seed draws the same troubles.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace laurelhaven::lab::soak {

using std::chrono::milliseconds;

enum class Kind {
    // a sender's process
    stop,         ///< SIGTERM, and a start behind it
    kill,         ///< SIGKILL, and a start behind it
    reload,       ///< SIGHUP: discovery is elsewhere; the file may be half written at first
    holdUp,       ///< SIGSTOP for a moment
    series,       ///< several signals on end; its parameter is a Series
    wallStep,     ///< its wall clock is stepped
    disk,         ///< its folder's writes fail
    accept,       ///< its accepts fail
    localSocket,  ///< its sockets and connects fail for causes of the machine
    interrupts,   ///< its calls are interrupted, and transfer little
    broken,       ///< its connections break: ETIMEDOUT, EHOSTUNREACH
    // its clients
    rudeClients,  ///< many that send half, garble, end their sending, or leave
    crowd,        ///< idle ones that fill its descriptors; only in some runs
    // discovery
    discoverySilent,
    discoveryCut,
    discoverySlow,
    noticeCopies,  ///< the platform's responses come twice, and some notices are dropped unread
    // partners
    refuses,     ///< connections are refused
    hangs,       ///< calls get no answer
    garbles,     ///< answers are spoilt
    resets,      ///< connections are reset under calls
    turnsAway,   ///< 429 with a wait
    errors,      ///< 500
    drains,      ///< one endpoint drains and is replaced
    withdrawn,   ///< 410: the message is over
    exhausted,   ///< 504: the message has had all its attempts
    copies,      ///< responses come twice: the copy with the next request on the connection
    lateCopies,  ///< responses come twice: the copy some time later, whatever is on its way
    noises,      ///< noise comes behind responses, some time later, or in place of one, at once
    closes,      ///< connections that rest are closed early, whatever is on its way
    full,        ///< 503: the queue is full
    // again a sender's clients
    hoarders,     ///< a crowd that sends as much as the sender may have to keep; only in some runs
    repeats,      ///< ids come again, during their life and after its end
    lateRepeats,  ///< its clients hand in without pauses, and the first ids come again behind all others
    // again partners
    shuts,    ///< refused, sometimes told until when; then it comes back cold
    outages,  ///< connections are refused for long, while senders restart
    // again a sender's process
    takeovers  ///< killed; one partner's address becomes another's; started while its discovery is silent
};
constexpr int kKinds = static_cast<int>(Kind::takeovers) + 1;
std::string name(Kind kind);

/// Signals on end, as a deployment or an operator in haste sends them.
enum class Series {
    killTwice,          ///< killed again soon after it is ready
    killWhileStarting,  ///< killed again while it starts
    termThenKill,       ///< told to end, and killed before it has
    termTwice,
    reloadsThenKill,
    reloadsThenTerm
};
constexpr int kSeries = static_cast<int>(Series::reloadsThenTerm) + 1;

struct Trouble {
    milliseconds at{}, span{};
    Kind kind = Kind::stop;
    std::size_t target = 0;  ///< a sender or a partner
    /// An error number, a step or a wait in milliseconds, a share of a thousand, or a Series.
    std::int64_t parameter = 0;
};

struct Draw {
    std::uint64_t seed = 1;
    milliseconds span{20000};
    std::size_t senders = 10, partners = 4;
    std::vector<Kind> only;  ///< or all kinds
};

/// In order of time. Some come alone, at any time and to anybody. Others come in clusters: several restarts
/// of one sender on end while one partner is in trouble and the sender's machine may be, too.
std::vector<Trouble> draw(const Draw& draw);
/// "2.300 s, 1.2 s: kill sender 3".
std::string text(const Trouble& trouble);
bool ofPartner(Kind kind);
/// Of a sender's process: such troubles have their turn one after another.
bool ofProcess(Kind kind);

}  // namespace laurelhaven::lab::soak
