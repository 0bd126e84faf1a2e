#include "serve/reloader.hpp"

#include <exception>

#include "log/log.hpp"

namespace laurelhaven::serve {
namespace {

constexpr std::chrono::milliseconds kPause{50};
constexpr std::chrono::milliseconds kPatience{3000};

}  // namespace

void Reloader::asked() {
    giveUpAt_ = Steady::now() + kPatience;
    read();
}

void Reloader::read() {
    const bool first = !againAt_;
    againAt_.reset();
    try {
        const auto fresh = config::fromEnvironment();
        const bool moved = discovery_.moveTo(fresh.discovery);
        log::info() << "configuration read anew, discovery " << (moved ? "now" : "still") << " at "
                    << fresh.discovery.text;
        for (const auto& part : config::needRestart(running_, fresh))
            log::warning() << "configuration: the new " << part << " holds from the next start on";
    } catch (const std::exception& e) {
        const auto now = Steady::now();
        const bool again = now + kPause < giveUpAt_;
        if (again) againAt_ = now + kPause;
        if (first || !again)
            log::error() << "the new configuration is not taken over" << (again ? " yet: " : ": ")
                         << e.what();
    }
}

}  // namespace laurelhaven::serve
