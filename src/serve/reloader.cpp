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
    const bool firstTry = !retryAt_;
    retryAt_.reset();
    try {
        const auto newConfig = config::fromEnvironment();
        const bool moved = discovery_.moveTo(newConfig.discovery);
        log::info() << "configuration read anew, discovery " << (moved ? "now" : "still") << " at "
                    << newConfig.discovery.text;
        for (const auto& section : config::needRestart(running_, newConfig))
            log::warning() << "configuration: the new " << section << " takes effect at the next start";
    } catch (const std::exception& e) {
        const auto now = Steady::now();
        const bool willRetry = now + kRetryPause < retryUntil_;
        if (willRetry) retryAt_ = now + kRetryPause;
        if (firstTry || !willRetry)
            log::error() << "the new configuration is not taken over" << (willRetry ? " yet: " : ": ")
                         << e.what();
    }
}

}  // namespace laurelhaven::serve
