#include "view/view.hpp"

#include <curses.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iostream>

namespace laurelhaven::view {

/// Owns the terminal while it lives.
class View::Screen {
  public:
    Screen() : screen_(newterm(nullptr, stdout, stdin)) {
        if (!screen_) return;
        cbreak();
        noecho();
        curs_set(0);
        if (has_colors()) {
            start_color();
            use_default_colors();
            init_pair(1, COLOR_GREEN, -1);
            init_pair(2, COLOR_YELLOW, -1);
            init_pair(3, COLOR_RED, -1);
        }
    }
    ~Screen() {
        if (!screen_) return;
        endwin();
        delscreen(screen_);
    }
    Screen(const Screen&) = delete;
    Screen& operator=(const Screen&) = delete;
    explicit operator bool() const { return screen_ != nullptr; }

    void clear() { erase(), row_ = 0; }
    int rowsLeft() const { return LINES - row_ - 1; }
    void line(const std::string& text, int colour = 0, bool bold = false) {
        if (row_ >= LINES - 1) return;
        const auto look = COLOR_PAIR(colour) | (bold ? A_BOLD : A_NORMAL);
        attron(look);
        mvaddnstr(row_++, 0, text.c_str(), COLS - 1);
        attroff(look);
    }
    void foot(const std::string& text) { mvaddnstr(LINES - 1, 0, text.c_str(), COLS - 1); }
    void show() { refresh(); }

  private:
    SCREEN* screen_;
    int row_ = 0;
};

std::string bar(double share, int cells) {
    const int full = static_cast<int>(std::lround(std::clamp(share, 0.0, 1.0) * cells));
    return "[" + std::string(static_cast<std::size_t>(full), '#') +
           std::string(static_cast<std::size_t>(cells - full), '-') + "]";
}

View::View(bool plain) {
    const char* term = std::getenv("TERM");
    if (plain || !isatty(STDOUT_FILENO) || !term || std::string(term) == "dumb") return;
    auto screen = std::make_unique<Screen>();
    if (*screen) screen_ = std::move(screen);
}

View::~View() = default;

bool View::plain() const { return !screen_; }

void View::say(const std::string& line) {
    last_ = line;
    if (!screen_) std::cerr << "  " << line << std::endl;
}

void View::show(const lab::Live& live) {
    if (live.name != run_ || live.seconds < before_) {
        run_ = live.name;
        before_ = 0, deliveredBefore_ = dueBefore_ = 0, spoken_ = -10;
    }
    const double since = live.seconds - before_;
    if (since > 0.2) {
        rate_ = static_cast<double>(live.ledger.delivered - deliveredBefore_) / since;
        dueRate_ = static_cast<double>(live.clients.due - dueBefore_) / since;
        before_ = live.seconds;
        deliveredBefore_ = live.ledger.delivered;
        dueBefore_ = live.clients.due;
    }
    const double share = live.clients.due > 0 ? static_cast<double>(live.ledger.delivered) /
                                                    static_cast<double>(live.clients.due)
                                              : 1;
    if (!screen_) {
        if (live.seconds - spoken_ < 2) return;
        spoken_ = live.seconds;
        say(fmt::format(
            "{:5.1f} s: {:.0f}/s due, {:.0f}/s delivered, {} of {} so far ({:.1f}%), {} calls turned away",
            live.seconds, dueRate_, rate_, live.ledger.delivered, live.clients.due, 100 * share,
            live.ledger.full));
        return;
    }
    auto& s = *screen_;
    s.clear();
    s.line(fmt::format("{}   {:.1f} of {:.0f} s {}", live.name, live.seconds, live.span,
                       bar(live.span > 0 ? live.seconds / live.span : 0, 24)),
           0, true);
    s.line(fmt::format("due {:7.1f}/s   delivered {:7.1f}/s   so far {} of {} ({:.1f}%)", dueRate_, rate_,
                       live.ledger.delivered, live.clients.due, 100 * share),
           share > 0.97  ? 1
           : share > 0.9 ? 2
                         : 3);
    s.line(fmt::format("taken {}   not taken {}   no answer {}   calls {}   turned away {}",
                       live.clients.taken, live.clients.refused, live.clients.unanswered, live.ledger.calls,
                       live.ledger.full));
    s.line("");
    s.line(fmt::format("{:<16} {:>9} {:>9} {:>9} {:>9} {:>9}  {}", "partner", "does/s", "limit/s", "calls",
                       "delivered", "turned", "state"),
           0, true);
    // The ones with most trouble first, where they don't all fit.
    auto partners = live.partners;
    std::stable_sort(partners.begin(), partners.end(), [](const auto& a, const auto& b) {
        return std::make_pair(a.fallen + a.down, a.refused) > std::make_pair(b.fallen + b.down, b.refused);
    });
    const auto room = static_cast<std::size_t>(std::max(3, s.rowsLeft() - 8));
    for (std::size_t i = 0; i < std::min(room, partners.size()); ++i) {
        const auto& p = partners[i];
        const double turned = p.calls > 0 ? static_cast<double>(p.refused) / static_cast<double>(p.calls) : 0;
        s.line(fmt::format("{:<16} {:>9.1f} {:>9} {:>9} {:>9} {:>9}  {}", p.name, p.capacity,
                           p.limit > 0 ? fmt::format("{:.1f}", p.limit) : std::string("-"), p.calls,
                           p.delivered, p.refused,
                           p.fallen       ? "PUSHED OVER"
                           : p.down       ? "down"
                           : turned > 0.1 ? "turning away"
                                          : "well"),
               p.fallen || p.down ? 3
               : turned > 0.1     ? 2
                                  : 1);
    }
    s.line("");
    s.line("what just failed", 0, true);
    for (auto it = live.failed.rbegin(); it != live.failed.rend() && s.rowsLeft() > 0; ++it) s.line(*it, 3);
    if (live.failed.empty()) s.line("nothing");
    s.foot(last_);
    s.show();
}

}  // namespace laurelhaven::view
