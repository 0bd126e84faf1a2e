// The list of endpoints in discovery's JSON format, and its conversion to plain values. No I/O and no shared
// state, so everything here may be used from any thread.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhaven::listing {

enum class Status : std::uint8_t { serving, draining, deleted };

struct Endpoint {
    std::string name, address, zone, type;
    std::uint64_t destination = 0;  ///< "group" in JSON
    Status status = Status::serving;
    double weight = 0;  ///< rate limit of the destination in requests per second; 0: unknown
    /// Unix time of its last start in milliseconds, "since_ms" in JSON; 0: long ago.
    std::int64_t startedAtMs = 0;
    bool operator==(const Endpoint&) const = default;
};

inline constexpr std::size_t kMaxEndpoints = 4096;   ///< in a list, and in the tables made from lists
inline constexpr std::size_t kMaxTextBytes = 128;    ///< of a name, an address, a zone and a type
inline constexpr std::size_t kMaxEntryBytes = 2048;  ///< of the JSON of one endpoint

/// A full list, or the changes since an earlier one.
struct EndpointList {
    std::uint64_t index = 0;  ///< version of the list, in discovery's numbering
    bool snapshot = false;    ///< a full list; otherwise only the entries that changed
    std::vector<Endpoint> endpoints;
};

/// Parses a list. Returns no value, with the reason in `error`, where the text or any entry is malformed.
std::optional<EndpointList> parse(std::string_view text, std::string& error);
std::optional<EndpointList> fromJson(const Json::Value& value, std::string& error);
/// An endpoint as discovery writes it. fromJson() returns an equal endpoint.
Json::Value toJson(const Endpoint& endpoint);
/// Parses a text that holds exactly one JSON value. Returns no value, with the reason in `error` on one line,
/// where it does not. Never throws.
std::optional<Json::Value> parseJson(std::string_view text, std::string& error);

}  // namespace laurelhaven::listing
