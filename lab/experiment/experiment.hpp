// An experiment: one fleet, some variants of it or of the sender, repeats with paired seeds, on the model, on
// loopback with real senders, or on both. The same seed gives every variant the same messages, so that the
// difference of two variants is known better than either.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/description.hpp"
#include "plan/runs.hpp"
#include "rig/world.hpp"

namespace laurelhaven::experiment {

struct Variant {
    std::string name;
    double load = 1;  ///< times the description's
    fleet::Description fleet;
    std::string sender, settings;  ///< the program, and a file of our settings; empty: as for all
};

struct Experiment {
    std::string name = "unnamed";
    int repeats = 3;
    std::uint64_t seed = 1;
    bool model = true, loopback = true;
    std::vector<Variant> variants;
};

/// Throws lab::Bad or fleet::Bad, with file, line and what would be right. Paths count from the file's
/// folder.
Experiment read(const std::string& path);

/// One day of one variant at one place.
struct Run {
    std::size_t variant = 0;
    bool loopback = false;
    std::uint64_t seed = 0;
    model::Worth worth;
    std::uint64_t messages = 0, delivered = 0, calls = 0, refusedCalls = 0;
    bool kept = true;  ///< no rule was broken
    struct Side {
        double asked = 0, lost = 0, refused = 0;
    };
    std::vector<Side> partners;
    /// At the senders' front, loopback only; seconds.
    double p50 = 0, p99 = 0, most = 0, p99Sent = 0, lateP99 = 0;
    double corePerMessage = 0, residentMb = 0;              ///< of the senders: seconds; the most of one
    std::vector<std::pair<double, double>> tail, tailSent;  ///< seconds, share that took longer
};

struct Options {
    lab::Options lab;  ///< program and folder; each run has a folder of its own below it
    std::function<void(const std::string&)> progress;
    std::function<void(const lab::Live&)> live;
};

struct Outcome {
    Experiment experiment;
    std::vector<Run> runs;
    double seconds = 0;  ///< that it took
    bool kept() const;

    /// Score of a variant at one place, over its repeats.
    plan::Interval score(std::size_t variant, bool loopback) const;
    /// Score of a variant less that of the first, seed by seed.
    plan::Interval difference(std::size_t variant, bool loopback) const;
    /// Score on loopback less that on the model, seed by seed.
    plan::Interval disagreement(std::size_t variant) const;
};

Outcome play(const Experiment& experiment, const Options& options);

std::string text(const Outcome& outcome);
std::string json(const Outcome& outcome);
/// A page that needs nothing but itself: figures, and plots as SVG that follow the reader's light or dark.
std::string page(const Outcome& outcome);
/// results.json and report.html in that folder. Throws std::runtime_error where it can't be written.
void write(const Outcome& outcome, const std::string& folder);

}  // namespace laurelhaven::experiment
