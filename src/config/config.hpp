// The environment and config.json, read once into typed values.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "listing/listing.hpp"
#include "net/socket.hpp"
#include "overload/memory_plan.hpp"
#include "stoathub/stoathub.hpp"

namespace laurelhaven::config {

/// Says in one plain line what is wrong with what the sender was told.
struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name;
    net::Address listen, discovery;
    std::string state;  ///< the folder that lasts
    std::uint64_t seed = 0;
    double cores = 1;  ///< share of a core that the process may use
    std::size_t sockets = 1024, memoryMb = 192;
    std::uint64_t diskBytes = 0;
    listing::EndpointList known;
    stoathub::Settings settings;
    bool mayProbe = false;                      ///< endpoints answer probes
    std::chrono::milliseconds drainGrace{250};  ///< after which nothing goes to an endpoint told to drain
    std::vector<std::string> classes, tenants, kinds, zones;  ///< names, by position
    std::string limitsText, settingsText;                     ///< as the file has them, to compare
};

/// Where the name stands among the names; `otherwise` where it does not.
int position(const std::vector<std::string>& names, std::string_view name, int otherwise);

/// Descriptors, by who may hold them at most; a few more are kept aside for the listener, the store, the
/// watch, the notices and connections on their way out.
struct Shares {
    std::size_t clients = 0, calls = 0, idle = 0;
};
Shares shares(const Config& config);
/// The memory limit, divided by purpose.
overload::MemoryPlan memoryPlan(const Config& config);

/// Names of what differs and holds only from the next start on; discovery alone is taken over while running.
std::vector<std::string> needRestart(const Config& running, const Config& fresh);

/// Throws Bad.
Config fromEnvironment();
Config fromText(const std::string& json, const std::map<std::string, std::string>& environment);

}  // namespace laurelhaven::config
