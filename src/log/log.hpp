// Log lines on standard error, written by spdlog, with a level filter and two formats: text, and JSON with
// one object per line. The operator << appends to the message of a line; kv() adds a field, written as
// key=value in text and as a member of the object in JSON.
//
// Thread-safe, except that one Line is used by one thread only.
#pragma once

#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelhaven::log {

enum class Level { debug, info, warning, error, off };
enum class Format { text, json };

/// Lines below this level are dropped.
void setLevel(Level minimum);
void setFormat(Format format);
/// Empty if the word names no level.
std::optional<Level> parseLevel(std::string_view word);
/// True if lines of this level are written.
bool enabled(Level level);

/// One log line, which is written on destruction. A line below the level formats nothing.
class Line {
  public:
    explicit Line(Level level) : level_(level), on_(enabled(level)) {}
    ~Line();
    Line(const Line&) = delete;
    Line& operator=(const Line&) = delete;
    template <class T>
    Line& operator<<(const T& part) {
        if (on_) text_ << part;
        return *this;
    }
    template <class T>
    Line& kv(const char* key, const T& value) {
        if (!on_) return *this;
        std::ostringstream text;
        text << value;
        fields_.emplace_back(key, text.str());
        return *this;
    }

  private:
    Level level_;
    bool on_;
    std::ostringstream text_;
    std::vector<std::pair<const char*, std::string>> fields_;
};

inline Line debug() { return Line(Level::debug); }
inline Line info() { return Line(Level::info); }
inline Line warning() { return Line(Level::warning); }
inline Line error() { return Line(Level::error); }

}  // namespace laurelhaven::log
