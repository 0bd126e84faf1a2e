#include "soak/words.hpp"

#include <unistd.h>

#include <stdexcept>

namespace laurelhaven::lab::soak {
namespace {

std::vector<Kind> kinds(const std::vector<std::string>& names) {
    std::vector<Kind> all;
    for (const auto& wanted : names) {
        int kind = 0;
        while (kind < kKinds && wanted != name(static_cast<Kind>(kind))) ++kind;
        if (kind == kKinds) throw std::invalid_argument("no such kind of trouble: " + wanted);
        all.push_back(static_cast<Kind>(kind));
    }
    return all;
}

}  // namespace

Words::Words(CLI::App& app, const std::filesystem::path& beside) {
    options_.program = (beside / "laurelhaven").string();
    options_.shim = (beside / "liblaurelhaven_fault_shim.so").string();
    options_.folder =
        (std::filesystem::temp_directory_path() / ("laurelhaven-soak-" + std::to_string(getpid()))).string();
    word_ =
        app.add_subcommand("soak", "real senders among overlapping faults, drawn by seed; see docs/LAB.md");
    word_->add_option("--seed", options_.seed, "of the first soak");
    word_->add_option("--seeds", seeds_, "so many soaks, by seeds on end")->check(CLI::Range(1, 100000));
    word_->add_option("--seconds", seconds_, "of each, with troubles")->check(CLI::Range(1, 3600));
    word_->add_option("--senders", options_.senders, "processes")->check(CLI::Range(1, 40));
    word_->add_option("--cores", options_.cores, "share of a core for each")->check(CLI::Range(0.01, 1.0));
    word_->add_option("--only", only_, "only these kinds of trouble");
    word_->add_option("--sender", options_.program, "the sender's program (default: beside this one)");
    word_->add_option("--folder", options_.folder,
                      "where state and logs go; it stays where a rule was broken");
    word_->add_option("--log-level", options_.logLevel, "of the senders");
    word_->add_flag("-v,--verbose", verbose_, "each trouble as it begins");
}

std::optional<int> Words::run(std::ostream& out, std::ostream& progress) {
    if (!word_->parsed()) return {};
    options_.span = std::chrono::seconds(seconds_);
    options_.only = kinds(only_);
    if (verbose_) options_.progress = [&](const std::string& line) { progress << "  " << line << std::endl; };
    int status = 0;
    const auto folder = options_.folder;
    for (std::uint64_t i = 0; i < seeds_; ++i, ++options_.seed) {
        options_.folder = folder + "-" + std::to_string(options_.seed);
        const auto report = play(options_);
        out << text(options_, report) << std::flush;
        if (report.clean()) {
            std::filesystem::remove_all(options_.folder);
        } else {
            status = 1;
            out << "  state and logs are in " << options_.folder << std::endl;
        }
    }
    return status;
}

}  // namespace laurelhaven::lab::soak
