// The randomized fault soak: real senders on loopback, among clients, endpoints and discoveries that
// misbehave, on machines whose system calls fail, with several troubles at any time. One seed, one soak; the
// oracle tells which rules were broken, and what overlapped there.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "soak/oracle.hpp"
#include "soak/troubles.hpp"

namespace laurelhaven::lab::soak {

struct Options {
    std::string program, shim;  ///< the sender, and the library that plays its machine's faults
    std::string folder;         ///< for state folders and logs; emptied first
    std::uint64_t seed = 1;
    milliseconds span{20000};
    std::size_t senders = 10;
    int clients = 3;         ///< of each sender
    double cores = 0.15;     ///< share of a core that each sender gets, and is told
    std::vector<Kind> only;  ///< these kinds of trouble, or all
    std::string logLevel = "info";
    bool residentMemoryCounts = true;  ///< false where the program is built with a sanitizer
    Tolerance tolerance;
    std::function<void(const std::string&)> progress;
};

struct Report {
    Oracle::Counts counts;
    std::vector<Violation> violations;
    std::vector<Trouble> troubles;
    std::size_t most = 0;        ///< troubles at once, at most
    std::uint64_t injected = 0;  ///< system calls that failed
    milliseconds stall{};        ///< the longest time for which this machine held the soak itself up
    Moment begun;
    bool clean() const { return violations.empty(); }
};

/// Throws std::exception where it can't be played.
Report play(const Options& options);
/// For people: counts, each violation with what overlapped, and how to play it again.
std::string text(const Options& options, const Report& report);

}  // namespace laurelhaven::lab::soak
