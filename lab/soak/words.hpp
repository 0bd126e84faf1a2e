// The word `laurelhaven-lab soak`.
#pragma once

#include <CLI/CLI.hpp>
#include <filesystem>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "soak/soak.hpp"

namespace laurelhaven::lab::soak {

class Words {
  public:
    /// `beside`: the folder that has the sender and the shim.
    Words(CLI::App& app, const std::filesystem::path& beside);
    /// The exit status where the word was given: 1 where a rule was broken.
    std::optional<int> run(std::ostream& out, std::ostream& progress);

  private:
    CLI::App* word_;
    Options options_;
    std::uint64_t seeds_ = 1;
    int seconds_ = 20;
    bool verbose_ = false;
    std::vector<std::string> only_;
};

}  // namespace laurelhaven::lab::soak
