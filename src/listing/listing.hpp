// The list of endpoints in discovery's form, as plain values. Pure: text in, no I/O.
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
    std::uint64_t destination = 0;
    Status status = Status::serving;
    double weight = 0;
    std::int64_t startedAtMs = 0;  ///< Unix time at which it last started, in milliseconds; 0: long ago
    bool operator==(const Endpoint&) const = default;
};

struct EndpointList {
    std::uint64_t index = 0;
    bool snapshot = false;  ///< the whole list, not only what changed
    std::vector<Endpoint> endpoints;
};

/// Nothing, with the reason in `why`, where the text or any entry is not of the form.
std::optional<EndpointList> parse(std::string_view text, std::string& why);
std::optional<EndpointList> fromJson(const Json::Value& value, std::string& why);
/// An endpoint as discovery writes it; fromJson() gives the same back.
Json::Value toJson(const Endpoint& endpoint);
/// One JSON value of the text, or nothing. Never throws.
std::optional<Json::Value> parseJson(std::string_view text, std::string& why);

}  // namespace laurelhaven::listing
