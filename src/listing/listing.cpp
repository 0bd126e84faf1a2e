#include "listing/listing.hpp"

#include <json/reader.h>

#include <algorithm>
#include <exception>
#include <memory>

#include "net/socket.hpp"

namespace laurelhaven::listing {
namespace {

bool readString(const Json::Value& entry, const char* name, std::string& value) {
    if (!entry[name].isString()) return false;
    value = entry[name].asString();
    return true;
}

bool parseEndpoint(const Json::Value& entry, Endpoint& endpoint) {
    std::string status;
    if (!entry.isObject() || !readString(entry, "name", endpoint.name) || endpoint.name.empty()) return false;
    if (!readString(entry, "status", status) || !entry["group"].isUInt64()) return false;
    endpoint.destination = entry["group"].asUInt64();
    if (status == "SERVING") endpoint.status = Status::serving;
    else if (status == "DRAINING") endpoint.status = Status::draining;
    else if (status == "DELETED") endpoint.status = Status::deleted;
    else return false;
    const bool deleted = endpoint.status == Status::deleted;
    if (!deleted && (!readString(entry, "address", endpoint.address) || !net::parseAddress(endpoint.address)))
        return false;
    readString(entry, "zone", endpoint.zone);
    readString(entry, "type", endpoint.type);
    if (entry["weight"].isNumeric()) endpoint.weight = entry["weight"].asDouble();
    if (entry["since_ms"].isInt64()) endpoint.startedAtMs = entry["since_ms"].asInt64();
    return true;
}

const char* statusName(Status status) {
    return status == Status::serving ? "SERVING" : status == Status::draining ? "DRAINING" : "DELETED";
}

}  // namespace

Json::Value toJson(const Endpoint& endpoint) {
    Json::Value json;
    json["name"] = endpoint.name;
    json["address"] = endpoint.address;
    json["zone"] = endpoint.zone;
    json["type"] = endpoint.type;
    json["group"] = Json::UInt64(endpoint.destination);
    json["status"] = statusName(endpoint.status);
    json["weight"] = endpoint.weight;
    json["since_ms"] = Json::Int64(endpoint.startedAtMs);
    return json;
}

std::optional<Json::Value> parseJson(std::string_view text, std::string& error) {
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = 64;  // thousands of nested brackets would overflow a thread's small stack
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &error)) return value;
    } catch (const std::exception& exception) {
        error = exception.what();
    }
    std::replace(error.begin(), error.end(), '\n', ' ');  // it is logged on one line
    return {};
}

std::optional<EndpointList> parse(std::string_view text, std::string& error) {
    const auto value = parseJson(text, error);
    return value ? fromJson(*value, error) : std::nullopt;
}

std::optional<EndpointList> fromJson(const Json::Value& value, std::string& error) {
    EndpointList list;
    if (!value.isObject() || !value["index"].isUInt64() || !value["snapshot"].isBool() ||
        !value["endpoints"].isArray()) {
        error = "not an object with index, snapshot and endpoints";
        return {};
    }
    list.index = value["index"].asUInt64();
    list.snapshot = value["snapshot"].asBool();
    for (const auto& entry : value["endpoints"]) {
        list.endpoints.emplace_back();
        if (parseEndpoint(entry, list.endpoints.back())) continue;
        error = "an entry without a usable name, address, group or status";
        return {};
    }
    return list;
}

}  // namespace laurelhaven::listing
