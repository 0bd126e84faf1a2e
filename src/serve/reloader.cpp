#include "serve/reloader.hpp"

#include <exception>

#include "log/log.hpp"

namespace laurelhaven::serve {
namespace {

constexpr std::chrono::milliseconds kRetryPause{50};
constexpr std::chrono::milliseconds kRetryPeriod{3000};

}  // namespace

void Reloader::reload() {
    retryUntil_ = Steady::now() + kRetryPeriod;
    readConfig();
}

void Reloader::readConfig() {
    const bool first = !retryAt_;
    retryAt_.reset();
    try {
        const auto fresh = config::fromEnvironment();
        const bool moved = discovery_.moveTo(fresh.discovery);
        log::info() << "configuration read anew, discovery " << (moved ? "now" : "still") << " at "
                    << fresh.discovery.text;
        for (const auto& part : config::needRestart(running_, fresh))
            log::warning() << "configuration: the new " << part << " holds from the next start on";
    } catch (const std::exception& e) {
        const auto now = Steady::now();
        const bool again = now + kRetryPause < retryUntil_;
        if (again) retryAt_ = now + kRetryPause;
        if (first || !again)
            log::error() << "the new configuration is not taken over" << (again ? " yet: " : ": ")
                         << e.what();
    }
}

}  // namespace laurelhaven::serve
