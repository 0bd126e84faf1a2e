// What breaks first: load is raised along its shape until the goal is missed, and the cause is found by
// experiment: each thing that could bind is made boundless in turn, and the one whose bound costs most is
// named. Where none of them gives the service back, the description does not name the cause, and that is
// said.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "plan/runs.hpp"

namespace laurelhaven::plan {

/// Something that may bind.
struct Resource {
    enum class Kind {
        limit,        ///< calls a second that a partner allows
        capacity,     ///< what its endpoints do, and so its queue
        listed,       ///< the rate that the list gives for it, below what it takes
        answers,      ///< the time its answers take
        cold,         ///< what it does while it warms up
        slots,        ///< calls out of a sender
        held,         ///< messages held by a sender
        descriptors,  ///< of a sender
        memory,       ///< of a sender
        core,         ///< of a sender
        trouble       ///< one of those described
    } kind = Kind::slots;
    std::size_t which = 0;  ///< partner or trouble
    bool operator==(const Resource&) const = default;
};
std::string name(const Resource& resource, const Description& description);
/// The same fleet where that does not bind.
Description relaxed(Description description, const Resource& resource);

struct Cause {
    Resource resource;
    double gain = 0;  ///< of the score, just above the load at which it breaks, were it boundless
    Interval next;    ///< the load that the fleet would bear then, with those named before it boundless too
};

struct Breaks {
    enum class Verdict { breaks, never, always } verdict = Verdict::breaks;
    Interval load;  ///< times the load at which the goal is first missed, over seeds
    /// What is named: the first, and those without which the load would be the same within two per cent, as
    /// it is where two bounds lie one per cent apart.
    std::vector<Cause> causes;
    std::vector<Cause> later;   ///< what would break after that, one behind the other
    bool unnamed = false;       ///< nothing described gives the service back
    double score = 0;           ///< a tenth above the breaking load
    double scoreBoundless = 0;  ///< the same with nothing binding
    std::optional<int> second;  ///< of the day, when service first falls under the goal there
    std::uint64_t played = 0;   ///< days
};

struct BreakOptions {
    int seeds = 8;
    double most = 16;  ///< times the load that is looked at
    int later = 2;     ///< further failures
    std::function<void(const std::string&)> progress;
};

Breaks breaks(const Description& description, Runs& runs, const BreakOptions& options = {});

}  // namespace laurelhaven::plan
