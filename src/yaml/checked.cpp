#include "yaml/checked.hpp"

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <memory>
#include <set>
#include <sstream>
#include <valijson/adapters/jsoncpp_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>
#include <vector>

namespace laurelhaven::yaml {
namespace {

using std::chrono::milliseconds;

Json::Value parsed(const char* schema) {
    Json::Value root;
    Json::CharReaderBuilder builder;
    std::string why;
    std::istringstream text(schema);
    if (!Json::parseFromStream(builder, text, &root, &why))
        throw std::logic_error("the schema can't be read: " + why);
    return root;
}

/// What the schema says of a part: behind its reference, if it is one.
const Json::Value& resolved(const Json::Value& schema, const Json::Value& part) {
    const auto ref = part.isObject() ? part["$ref"].asString() : "";
    return ref.empty() ? part : schema["definitions"][ref.substr(ref.rfind('/') + 1)];
}

/// The schema's own words for what a key holds.
std::string expected(const Json::Value& schema, const std::vector<std::string>& path) {
    const Json::Value* at = &schema;
    for (const auto& key : path)
        at = &resolved(schema, at->isMember("items") ? (*at)["items"] : (*at)["properties"][key]);
    if (!(*at)["description"].asString().empty()) return (*at)["description"].asString();
    if (at->isMember("items")) return "a list";
    std::string keys;
    for (const auto& key : (*at)["properties"].getMemberNames()) keys += (keys.empty() ? "" : ", ") + key;
    return keys.empty() ? "" : "a map with the keys " + keys;
}

/// How many letters differ, for a guess at what was meant (Levenshtein 1966).
std::size_t distance(const std::string& a, const std::string& b) {
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const auto above = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] != b[j - 1])});
            diagonal = above;
        }
    }
    return row[b.size()];
}

std::string guess(const std::string& word, const std::vector<std::string>& names) {
    const auto best = std::min_element(names.begin(), names.end(), [&](const auto& a, const auto& b) {
        return distance(word, a) < distance(word, b);
    });
    if (best == names.end() || distance(word, *best) > 3) return "";
    return "; did you mean '" + *best + "'?";
}

void unknownKeys(const std::string& name, const Json::Value& schema, const Json::Value& part,
                 const YAML::Node& node, const std::string& path) {
    if (node.IsSequence()) {
        for (const auto& one : node) unknownKeys(name, schema, resolved(schema, part["items"]), one, path);
        return;
    }
    if (!node.IsMap() || !part.isMember("properties")) return;
    const auto names = part["properties"].getMemberNames();
    std::set<std::string> seen;
    for (const auto& pair : node) {
        const auto key = pair.first.as<std::string>();
        const auto whole = path.empty() ? key : path + "." + key;
        if (std::find(names.begin(), names.end(), key) == names.end())
            bad(name, pair.first.Mark(), "unknown key '" + whole + "'" + guess(key, names));
        if (!seen.insert(key).second) bad(name, pair.first.Mark(), "the key '" + whole + "' stands twice");
        unknownKeys(name, schema, resolved(schema, part["properties"][key]), pair.second, whole);
    }
}

/// The values of the YAML core schema that our keys can hold: true or false, numbers, texts and maps of them.
Json::Value asJson(const YAML::Node& node) {
    if (node.IsMap()) {
        Json::Value map(Json::objectValue);
        for (const auto& pair : node) map[pair.first.as<std::string>()] = asJson(pair.second);
        return map;
    }
    if (node.IsSequence()) {
        Json::Value all(Json::arrayValue);
        for (const auto& one : node) all.append(asJson(one));
        return all;
    }
    if (!node.IsScalar()) return {};
    const auto& text = node.Scalar();
    if (node.Tag() == "!") return text;  // quoted
    if (text == "true" || text == "false") return text == "true";
    std::int64_t whole = 0;
    const auto* end = text.data() + text.size();
    if (const auto [at, error] = std::from_chars(text.data(), end, whole); error == std::errc{} && at == end)
        return Json::Int64(whole);
    double real = 0;
    if (const auto [at, error] = std::from_chars(text.data(), end, real); error == std::errc{} && at == end)
        return real;
    return text;
}

/// The node that a validation error speaks of, as far down as there is one.
YAML::Node follow(const YAML::Node& root, const std::vector<std::string>& path) {
    YAML::Node at(root);
    for (const auto& key : path) {
        std::size_t index = 0;
        const bool number = std::from_chars(key.data(), key.data() + key.size(), index).ec == std::errc{};
        if (at.IsSequence() && number && index < at.size()) at.reset(at[index]);
        else if (at.IsMap() && at[key]) at.reset(at[key]);
        else break;
    }
    return at;
}

void check(const std::string& name, const YAML::Node& root, const Json::Value& json) {
    if (!root.IsMap()) bad(name, root.Mark(), "it is no map; expected " + expected(json, {}));
    unknownKeys(name, json, json, root, "");
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::JsonCppAdapter(json), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    const auto values = asJson(root);
    if (validator.validate(schema, valijson::adapters::JsonCppAdapter(values), &results)) return;
    // The deepest error is the cause; those above it only say that something below is wrong.
    valijson::ValidationResults::Error error, deepest;
    while (results.popError(error))
        if (error.context.size() >= deepest.context.size()) deepest = error;
    std::vector<std::string> path;
    std::string key;
    for (const auto& part : deepest.context) {
        if (part.size() < 2 || part.front() != '[') continue;
        path.push_back(part.substr(1, part.size() - 2));
        key += (key.empty() ? "" : ".") + path.back();
    }
    const auto node = follow(root, path);
    const auto right = expected(json, path);
    const auto value = node.IsScalar() ? "'" + node.Scalar() + "'" : std::string("that");
    bad(name, node.Mark(),
        "'" + key + "' can't be " + value +
            (right.empty() ? ": " + deepest.description : "; expected " + right));
}

double leading(const std::string& text) {
    double value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

}  // namespace

void bad(const std::string& name, const YAML::Mark& at, const std::string& what) {
    throw Bad(name + ":" + std::to_string(at.line + 1) + ": " + what);
}

YAML::Node checked(const std::string& text, const std::string& name, const char* schema) {
    YAML::Node root;
    try {
        root = YAML::Load(text);
        if (!root || root.IsNull()) return YAML::Node(YAML::NodeType::Undefined);
        check(name, root, parsed(schema));
    } catch (const YAML::Exception& e) {
        bad(name, e.mark, "it is not YAML: " + e.msg);
    }
    return root;
}

std::string readFile(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    if (file && (text << file.rdbuf())) return text.str();
    // An empty file sets the stream's fail bit too, and means nothing but defaults.
    if (file.is_open() && !file.bad() && text.str().empty()) return "";
    throw Bad(path + ": can't be read");
}

milliseconds time(const std::string& text) {
    const auto unit = text.substr(text.find(' ') + 1);
    const double ms = unit == "ms"    ? 1
                      : unit == "s"   ? 1e3
                      : unit == "min" ? 6e4
                      : unit == "h"   ? 3.6e6
                                      : 8.64e7;
    return milliseconds(std::llround(std::min(leading(text) * ms, 1e14)));
}
std::size_t size(const std::string& text) {
    const auto unit = text.substr(text.find(' ') + 1);
    return static_cast<std::size_t>(std::min(leading(text) * (unit == "B"    ? 1
                                                              : unit == "KB" ? 1e3
                                                                             : 1e6),
                                             1e12));
}
double share(const std::string& text) { return leading(text) / 100; }
double rate(const std::string& text) { return leading(text); }

}  // namespace laurelhaven::yaml
