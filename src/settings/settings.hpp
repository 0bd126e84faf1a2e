// Our own settings: a YAML file, checked by the schema in deploy/laurelhaven.schema.json, into typed values.
// An absent key has its default, and so has everything where there is no file.
#pragma once

#include <string>

#include "config/config.hpp"
#include "log/log.hpp"
#include "registry/registry.hpp"
#include "roster/roster.hpp"
#include "trace/capture.hpp"
#include "yaml/checked.hpp"

namespace laurelhaven::settings {

/// Says what is wrong, with file, line, key, and what would be right.
using Bad = yaml::Bad;

struct Settings {
    log::Level level = log::Level::info;
    log::Format format = log::Format::text;
    roster::Options roster;
    registry::Options registry;
    trace::CaptureOptions capture;
};

/// Throws Bad. `name` stands for the file in what it says.
Settings fromText(const std::string& text, const std::string& name);
/// Throws Bad, also where the file can't be read. An empty path gives the defaults.
Settings fromFile(const std::string& path);

/// What follows from the platform's configuration: whether probes are permitted, the cold budget, who shares
/// it.
void fit(Settings& settings, const config::Config& config);

}  // namespace laurelhaven::settings
