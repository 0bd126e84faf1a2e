// The words `laurelhaven plan ...`: their options, and what carries them out. Plays days on the model only;
// starts no process and speaks to no network.
#pragma once

#include <CLI/CLI.hpp>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "plan/report.hpp"

namespace laurelhaven::plan {

class Words {
  public:
    explicit Words(CLI::App& app);
    /// The exit status, where one of the words was said: 0 done; 1 the goal can't be reached, or something is
    /// not explained; 2 a file is wrong, and `err` says where and what would be right.
    std::optional<int> run(std::ostream& out, std::ostream& err);

  private:
    int carryOut(std::ostream& out, std::ostream& err);
    /// The description, or a draft of the trace where none is given.
    void load(std::ostream& err);

    CLI::App *plan_ = nullptr, *check_ = nullptr, *bounds_ = nullptr, *breaks_ = nullptr, *size_ = nullptr,
             *whatIf_ = nullptr, *fit_ = nullptr;
    std::string fleet_, output_;
    std::vector<std::string> traces_;
    bool json_ = false;
    double load_ = 1, most_ = 16, goal_ = 0;
    int seeds_ = 8;
    SizeOptions sizes_;
    std::vector<double> growth_;

    Description description_;
    std::vector<std::string> notes_;
    Fit seen_;
    Messages messages_;
    bool damaged_ = false;
};

}  // namespace laurelhaven::plan
