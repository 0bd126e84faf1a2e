// The list at large size: how long a start takes with it, what an entry costs in memory and on disk, and what
// a change costs. Prints one JSON object. Sizes are given on the command line.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "kept/kept.hpp"
#include "log/log.hpp"
#include "no_store.hpp"
#include "roster/roster.hpp"

using namespace laurelhaven;

namespace {

double ms(std::chrono::steady_clock::duration span) {
    return std::chrono::duration<double, std::milli>(span).count();
}
double inUse() { return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd); }

listing::Endpoint endpoint(std::size_t i, std::size_t destinations) {
    const auto address = "127." + std::to_string(i / 65536 % 256) + "." + std::to_string(i / 256 % 256) +
                         "." + std::to_string(i % 256) + ":8443";
    char name[16];
    std::snprintf(name, sizeof name, "s-%08zx", i);
    return {name, address, "quimper", "partner", i % destinations, listing::Status::serving, 4, 0};
}

const char* const kConfiguration =
    R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",)"
    R"("limits":{"memory_mb":192,"disk_mb":400,"sockets":1024},"settings":{"grades":[{"name":"notice",)"
    R"("effect":"token","give-up-ns":28000000000,"slo-ns":4000000000,"key-ttl-ns":15000000000}],)"
    R"("kinds":["partner"],"zones":["quimper"],"weights":"nominal","domain":{"max-calls":24},)"
    R"("limits":{"attempts-cap":8,"max-open":100,"may-probe":true},"safety":{"cold-from":0.19,)"
    R"("fall-multiple":2.0,"warm-up-ns":14000000000}}})";

}  // namespace

int main(int argc, char** argv) {
    const std::size_t endpoints = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 50000;
    const std::size_t destinations = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 20000;
    log::setLevel(log::Level::error);
    std::string folder = (std::filesystem::temp_directory_path() / "list-bench-XXXXXX").string();
    if (!mkdtemp(folder.data())) return 1;
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    std::uint64_t bytes = 0;
    {
        std::vector<std::string> records;
        for (std::size_t i = 0; i < endpoints; ++i) {
            membership::Entry entry;
            entry.endpoint = endpoint(i, destinations);
            entry.index = 7;
            entry.firstListedAt = entry.confirmedAt = now - 5000;
            entry.confirmedBy = trust::ConfirmationSource::discovery;
            records.push_back(kept::encode(entry));
        }
        kept::SavedEndpointListFile file(folder, 200'000'000, "n0");
        std::size_t left = 0;
        file.replace(records, kept::encodeListState(7, 0, {}, now - 5000), now - 5000, left);
        bytes = file.bytes();
    }
    const auto config = config::fromText(kConfiguration, {{"BALANCER_STATE", folder}});
    check::NoStore store;
    decisions::Decisions facade(config, store, {});
    roster::Options options;
    options.diskShare = 0.5;
    malloc_trim(0);
    const double before = inUse();
    auto at = std::chrono::steady_clock::now();
    roster::Roster roster(config, options, facade);
    roster.begin();
    const double start = ms(std::chrono::steady_clock::now() - at);
    const double both = inUse() - before;
    // The list alone, without the facade's and the module's tables.
    double alone = 0;
    {
        const double empty = inUse();
        membership::Membership list({});
        for (std::size_t i = 0; i < endpoints; ++i) {
            membership::Entry entry;
            entry.endpoint = endpoint(i, destinations);
            list.restore(std::move(entry));
        }
        alone = inUse() - empty;
    }
    constexpr int kChanges = 200;
    at = std::chrono::steady_clock::now();
    for (int i = 0; i < kChanges; ++i) {
        auto changed = endpoint(static_cast<std::size_t>(i) * 37 % endpoints, destinations);
        changed.status = i % 2 ? listing::Status::draining : listing::Status::serving;
        roster.applyUpdate({static_cast<std::uint64_t>(8 + i), false, {changed}});
    }
    const double change = ms(std::chrono::steady_clock::now() - at) / kChanges;
    std::vector<listing::Endpoint> all;
    for (std::size_t i = 0; i < endpoints; ++i) all.push_back(endpoint(i, destinations));
    at = std::chrono::steady_clock::now();
    roster.applyUpdate({100000, true, std::move(all)});
    const double whole = ms(std::chrono::steady_clock::now() - at);
    at = std::chrono::steady_clock::now();
    roster.stop();
    const double write = ms(std::chrono::steady_clock::now() - at);
    const auto each = static_cast<double>(endpoints);
    std::printf(
        "{\"endpoints\":%zu,\"destinations\":%zu,\"load_ms\":%.1f,\"list_bytes_an_entry\":%.0f,"
        "\"all_bytes_an_entry\":%.0f,\"disk_bytes_an_entry\":%.0f,\"change_ms\":%.3f,\"whole_ms\":%.1f,"
        "\"write_ms\":%.1f}\n",
        endpoints, destinations, start, alone / each, both / each, static_cast<double>(bytes) / each, change,
        whole, write);
    std::filesystem::remove_all(folder);
    return 0;
}
