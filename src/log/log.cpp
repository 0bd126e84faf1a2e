#include "log/log.hpp"

#include <json/value.h>
#include <json/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <memory>

namespace laurelhaven::log {
namespace {

std::atomic<Format> outputFormat{Format::text};
constexpr const char* kLevelNames[] = {"debug", "info", "warning", "error", "off"};
constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                 spdlog::level::warn, spdlog::level::err, spdlog::level::off};

spdlog::logger& logger() {
    static const auto instance = [] {
        auto created = std::make_shared<spdlog::logger>("laurelhaven",
                                                        std::make_shared<spdlog::sinks::stderr_sink_mt>());
        created->set_pattern("%E.%e %l %v");
        created->flush_on(spdlog::level::trace);
        return created;
    }();
    return *instance;
}

std::string toJson(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

}  // namespace

void setLevel(Level minimum) { logger().set_level(kLevels[static_cast<int>(minimum)]); }

void setFormat(Format format) {
    outputFormat = format;
    logger().set_pattern(format == Format::json ? R"({"time":%E.%e,"level":"%l",%v})" : "%E.%e %l %v");
}

std::optional<Level> parseLevel(std::string_view word) {
    for (int i = 0; i < 5; ++i)
        if (word == kLevelNames[i]) return static_cast<Level>(i);
    return {};
}

bool enabled(Level level) { return logger().should_log(kLevels[static_cast<int>(level)]); }

Line::~Line() {
    if (!on_) return;
    std::string line;
    if (outputFormat.load(std::memory_order_relaxed) == Format::json) {
        line = "\"message\":" + toJson(text_.str());
        for (const auto& [key, value] : fields_) line += ",\"" + std::string(key) + "\":" + toJson(value);
    } else {
        line = text_.str();
        for (const auto& [key, value] : fields_) {
            const bool unquoted = value.find_first_of(" \t\"=") == std::string::npos && !value.empty();
            line += " " + std::string(key) + "=" + (unquoted ? value : toJson(value));
        }
    }
    logger().log(kLevels[static_cast<int>(level_)], std::string_view(line));
}

}  // namespace laurelhaven::log
