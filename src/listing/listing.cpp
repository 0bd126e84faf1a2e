#include "listing/listing.hpp"

#include <json/reader.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <vector>

#include "net/socket.hpp"

namespace laurelhaven::listing {
namespace {

bool readString(const Json::Value& entry, const char* name, std::string& value) {
    if (!entry[name].isString()) return false;
    value = entry[name].asString();
    return value.size() <= kMaxTextBytes;
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

namespace {

constexpr std::size_t kMaxFrameBytes = 4096;  // of a list without its endpoints

/// Parses JSON texts one after another.
class JsonParser {
  public:
    JsonParser() {
        Json::CharReaderBuilder builder;
        builder["collectComments"] = false;
        builder["failIfExtra"] = true;
        builder["stackLimit"] = 64;  // thousands of nested brackets would overflow a thread's small stack
        reader_.reset(builder.newCharReader());
    }
    std::optional<Json::Value> parse(std::string_view text, std::string& error) {
        Json::Value value;
        try {
            if (reader_->parse(text.data(), text.data() + text.size(), &value, &error)) return value;
        } catch (const std::exception& exception) {
            error = exception.what();
        }
        std::replace(error.begin(), error.end(), '\n', ' ');  // it is logged on one line
        return {};
    }

  private:
    std::unique_ptr<Json::CharReader> reader_;
};

/// The JSON of a list, taken apart: parsed as a whole, it would take many times the memory of its text.
struct ListText {
    std::string frame;                      ///< the list, with its array of endpoints left empty
    std::vector<std::string_view> entries;  ///< the JSON of each endpoint
};

/// Finds the array of endpoints and splits it into its elements, which must be objects.
class ListSplitter {
  public:
    explicit ListSplitter(std::string_view text) : text_(text) {}

    /// Returns nothing, with the error set, if the array is malformed or too long.
    std::optional<ListText> split(std::string& error) {
        for (at_ = 0; at_ < text_.size() && error_.empty(); ++at_) step(text_[at_]);
        if (error_.empty() && inArray_) error_ = "an array without an end";
        const auto end = arrayEnd_ == 0 ? text_.size() : arrayEnd_;
        const auto begin = arrayEnd_ == 0 ? text_.size() : arrayBegin_;
        if (error_.empty() && begin + (text_.size() - end) > kMaxFrameBytes)
            error_ = "much more than a list of endpoints";
        if (!error_.empty()) return error = error_, std::nullopt;
        result_.frame = std::string(text_.substr(0, begin)).append(text_.substr(end));
        return std::move(result_);
    }

  private:
    bool betweenEntries() const { return inArray_ && depth_ == kArrayDepth; }

    void step(char c) {
        if (inString_) return stepInString(c);
        switch (c) {
            case '"': return beginString();
            case '{':
            case '[': return open(c);
            case '}':
            case ']': return close(c);
            case ' ':
            case '\t':
            case '\r':
            case '\n': return;
            default: break;
        }
        if (!betweenEntries()) return;
        if (c != ',' || !entryEnded_) return fail();
        entryEnded_ = false;
        commaSeen_ = true;
    }
    void stepInString(char c) {
        if (c == '\\') ++at_;
        else if (c == '"') {
            inString_ = false;
            if (depth_ == 1) key_ = text_.substr(stringBegin_, at_ - stringBegin_);
        }
    }
    void beginString() {
        if (betweenEntries()) return fail();
        inString_ = true;
        stringBegin_ = at_ + 1;
    }
    void open(char c) {
        if (betweenEntries()) {
            if (c != '{' || entryEnded_) return fail();
            entryBegin_ = at_;
        }
        ++depth_;
        if (depth_ != kArrayDepth || c != '[' || key_ != "endpoints" || arrayBegin_ != 0) return;
        inArray_ = true;
        arrayBegin_ = at_ + 1;
    }
    void close(char c) {
        if (betweenEntries()) {
            if (c != ']' || (commaSeen_ && !entryEnded_)) return fail();
            inArray_ = false;
            arrayEnd_ = at_;
        }
        --depth_;
        if (betweenEntries()) addEntry(text_.substr(entryBegin_, at_ + 1 - entryBegin_));
    }
    void addEntry(std::string_view entry) {
        entryEnded_ = true;
        if (entry.size() > kMaxEntryBytes)
            error_ = "an entry of more than " + std::to_string(kMaxEntryBytes) + " bytes";
        else if (result_.entries.size() == kMaxEndpoints)
            error_ = "more than " + std::to_string(kMaxEndpoints) + " endpoints";
        else result_.entries.push_back(entry);
    }
    void fail() { error_ = "an array that does not hold objects"; }

    static constexpr int kArrayDepth = 2;
    std::string_view text_, key_;
    std::string error_;
    ListText result_;
    std::size_t at_ = 0, stringBegin_ = 0, entryBegin_ = 0, arrayBegin_ = 0, arrayEnd_ = 0;
    int depth_ = 0;
    bool inString_ = false, inArray_ = false, entryEnded_ = false, commaSeen_ = false;
};

/// The fields of a list except its endpoints.
std::optional<EndpointList> frameFromJson(const Json::Value& value, std::string& error) {
    if (!value.isObject() || !value["index"].isUInt64() || !value["snapshot"].isBool() ||
        !value["endpoints"].isArray()) {
        error = "not an object with index, snapshot and endpoints";
        return {};
    }
    EndpointList list;
    list.index = value["index"].asUInt64();
    list.snapshot = value["snapshot"].asBool();
    return list;
}

/// Adds the endpoint of one entry. False with the error set if it has none.
bool addEndpoint(EndpointList& list, const Json::Value& entry, std::string& error) {
    list.endpoints.emplace_back();
    if (parseEndpoint(entry, list.endpoints.back())) return true;
    error = "an entry without a usable name, address, group or status";
    return false;
}

}  // namespace

std::optional<Json::Value> parseJson(std::string_view text, std::string& error) {
    return JsonParser().parse(text, error);
}

std::optional<EndpointList> parse(std::string_view text, std::string& error) {
    const auto parts = ListSplitter(text).split(error);
    if (!parts) return {};
    JsonParser parser;
    const auto frame = parser.parse(parts->frame, error);
    auto list = frame ? frameFromJson(*frame, error) : std::nullopt;
    if (!list) return {};
    for (const auto entry : parts->entries) {
        const auto value = parser.parse(entry, error);
        if (!value || !addEndpoint(*list, *value, error)) return {};
    }
    return list;
}

std::optional<EndpointList> fromJson(const Json::Value& value, std::string& error) {
    auto list = frameFromJson(value, error);
    if (!list) return {};
    for (const auto& entry : value["endpoints"])
        if (!addEndpoint(*list, entry, error)) return {};
    return list;
}

}  // namespace laurelhaven::listing
