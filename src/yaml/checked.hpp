// YAML files that people write, checked by a JSON schema before anything is read from them. Every error names
// file, line, key, and what would be right. And the units that such files use.
#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>

namespace laurelhaven::yaml {

struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Throws Bad: "NAME:LINE: what".
[[noreturn]] void bad(const std::string& name, const YAML::Mark& at, const std::string& what);

/// The document, which fits the schema; undefined where it is empty. `name` stands for the file in errors.
/// Throws Bad, and std::logic_error where the schema itself can't be read.
YAML::Node checked(const std::string& text, const std::string& name, const char* schema);
/// Throws Bad where it can't be read.
std::string readFile(const std::string& path);

// Texts whose form a schema has seen to.
std::chrono::milliseconds time(const std::string& text);  ///< "250 ms", "1.5 s", "10 min", "6 h", "7 d"
std::size_t size(const std::string& text);                ///< "512 B", "64 KB", "16 MB"
double share(const std::string& text);                    ///< "6%" is 0.06
double rate(const std::string& text);                     ///< "4/s"

/// One map of a document, or none: absent keys leave what they would set as it is.
class Section {
  public:
    Section(const YAML::Node& root, const char* name) : node_(root[name]) {}
    template <class T, class Read>
    const Section& take(const char* key, T& into, Read read) const {
        if (has(key)) into = read(node_[key].as<std::string>());
        return *this;
    }
    template <class T>
    const Section& plain(const char* key, T& into) const {
        if (has(key)) into = node_[key].as<T>();
        return *this;
    }
    YAML::Mark mark(const char* key) const { return has(key) ? node_[key].Mark() : YAML::Mark::null_mark(); }

  private:
    bool has(const char* key) const { return node_ && node_.IsMap() && node_[key]; }
    const YAML::Node node_;
};

}  // namespace laurelhaven::yaml
