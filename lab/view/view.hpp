// A run while it goes on, on the terminal: rate, service, every partner's state, what just failed. Plain
// lines where there is no terminal.
#pragma once

#include <memory>
#include <string>

#include "rig/world.hpp"

namespace laurelhaven::view {

class View {
  public:
    /// `plain` also where standard output is a terminal.
    explicit View(bool plain);
    /// Gives the terminal back.
    ~View();
    View(const View&) = delete;
    View& operator=(const View&) = delete;

    void show(const lab::Live& live);
    /// A line for the record: on the screen's last line, or plain.
    void say(const std::string& line);
    bool plain() const;

  private:
    class Screen;
    std::unique_ptr<Screen> screen_;
    double spoken_ = -10;
    std::string last_;
    std::string run_;
    std::size_t deliveredBefore_ = 0, dueBefore_ = 0;
    double before_ = 0, rate_ = 0, dueRate_ = 0;
};

/// "[#####-----]" of so many cells.
std::string bar(double share, int cells);

}  // namespace laurelhaven::view
