// The bytes of a trace: blocks of records, each to be read by itself, so that damage costs only the blocks it
// touches. Pure: values in, bytes out, and back. docs/TRACE.md describes the form.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "trace/record.hpp"

namespace laurelhaven::trace {

constexpr std::string_view kMark = "LHT1";
constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kBlockFull = 32 * 1024;     ///< a block is closed beyond so many bytes
constexpr std::size_t kLongestBlock = 64 * 1024;  ///< no payload is longer
constexpr std::size_t kLongestName = 1024;

struct Header {
    std::uint64_t version = kVersion;
    std::string sender;
    Micros begun = 0;
};

/// Gathers records into one block. Names are written once a block.
class Block {
  public:
    void add(const Record& record);
    bool empty() const { return bytes_.empty(); }
    bool full() const { return bytes_.size() >= kBlockFull; }
    /// The framed block; this one begins anew.
    std::string take();

  private:
    void varint(std::uint64_t value);
    void time(Micros at);
    void name(const std::string& text);

    std::string bytes_;
    Micros last_ = 0;
    std::unordered_map<std::string, std::uint64_t> names_;
};

std::string framed(const Header& header);

/// One payload of a trace. Nothing where it can't be read, whatever its bytes are.
struct Payload {
    std::optional<Header> header;  ///< else records
    std::vector<Record> records;
};
std::optional<Payload> decode(std::string_view payload);

}  // namespace laurelhaven::trace
