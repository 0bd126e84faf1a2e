#include "listing/listing.hpp"

#include <json/reader.h>

#include <algorithm>
#include <exception>
#include <memory>

#include "net/socket.hpp"

namespace laurelhaven::listing {
namespace {

bool readString(const Json::Value& entry, const char* name, std::string& into) {
    if (!entry[name].isString()) return false;
    into = entry[name].asString();
    return true;
}

bool parseEndpoint(const Json::Value& entry, Endpoint& e) {
    std::string status;
    if (!entry.isObject() || !readString(entry, "name", e.name) || e.name.empty()) return false;
    if (!readString(entry, "status", status) || !entry["group"].isUInt64()) return false;
    e.destination = entry["group"].asUInt64();
    if (status == "SERVING") e.status = Status::serving;
    else if (status == "DRAINING") e.status = Status::draining;
    else if (status == "DELETED") e.status = Status::deleted;
    else return false;
    const bool gone = e.status == Status::deleted;
    if (!gone && (!readString(entry, "address", e.address) || !net::address(e.address))) return false;
    readString(entry, "zone", e.zone);
    readString(entry, "type", e.type);
    if (entry["weight"].isNumeric()) e.weight = entry["weight"].asDouble();
    if (entry["since_ms"].isInt64()) e.startedAtMs = entry["since_ms"].asInt64();
    return true;
}

const char* statusName(Status status) {
    return status == Status::serving ? "SERVING" : status == Status::draining ? "DRAINING" : "DELETED";
}

}  // namespace

Json::Value toJson(const Endpoint& e) {
    Json::Value one;
    one["name"] = e.name;
    one["address"] = e.address;
    one["zone"] = e.zone;
    one["type"] = e.type;
    one["group"] = Json::UInt64(e.destination);
    one["status"] = statusName(e.status);
    one["weight"] = e.weight;
    one["since_ms"] = Json::Int64(e.startedAtMs);
    return one;
}

std::optional<Json::Value> parseJson(std::string_view text, std::string& why) {
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = 64;  // garbage of thousands of brackets must not end a thread of small stack
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &why)) return value;
    } catch (const std::exception& e) {
        why = e.what();
    }
    std::replace(why.begin(), why.end(), '\n', ' ');  // it goes into one line of the log
    return {};
}

std::optional<EndpointList> parse(std::string_view text, std::string& why) {
    const auto value = parseJson(text, why);
    return value ? fromJson(*value, why) : std::nullopt;
}

std::optional<EndpointList> fromJson(const Json::Value& value, std::string& why) {
    EndpointList list;
    if (!value.isObject() || !value["index"].isUInt64() || !value["snapshot"].isBool() ||
        !value["endpoints"].isArray()) {
        why = "not an object with index, snapshot and endpoints";
        return {};
    }
    list.index = value["index"].asUInt64();
    list.snapshot = value["snapshot"].asBool();
    for (const auto& entry : value["endpoints"]) {
        list.endpoints.emplace_back();
        if (parseEndpoint(entry, list.endpoints.back())) continue;
        why = "an entry without a usable name, address, group or status";
        return {};
    }
    return list;
}

}  // namespace laurelhaven::listing
