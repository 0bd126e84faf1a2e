// Trace files, read and written as streams: a trace of ten million messages never stands in memory.
#pragma once

#include <cstddef>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "trace/block.hpp"

namespace laurelhaven::trace {

/// Says what is wrong with a trace file, with its path and, where that is known, the byte.
struct Bad : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Close {
    void operator()(std::FILE* file) const { std::fclose(file); }
};
using Handle = std::unique_ptr<std::FILE, Close>;

class Writer {
  public:
    /// Throws Bad where the file can't be made. One that is there already is replaced only by `close`, so
    /// that a program may write over its own input.
    Writer(std::string path, const Header& header);
    ~Writer();
    /// Records come in the order of their time. Throws Bad where the disk is full.
    void add(const Record& record);
    /// The rest is written, and the file stands under its name. Without it nothing stays.
    void close();
    std::uint64_t records() const { return records_; }

  private:
    void put(const std::string& bytes);
    std::string path_, part_;
    Handle file_;
    Block block_;
    std::uint64_t records_ = 0;
};

class Reader {
  public:
    /// Throws Bad where it can't be opened, or is no trace, or one of a newer version.
    explicit Reader(const std::string& path);
    /// False at the end. Damage is passed over and counted.
    bool next(Record& record);
    const Header& header() const { return header_; }
    const std::string& path() const { return path_; }
    std::uint64_t damagedBytes() const { return damaged_; }
    /// Where the first damage is; -1: none.
    std::int64_t damagedAt() const { return damagedAt_; }
    bool cut() const { return cut_; }  ///< it ends inside a block
    std::uint64_t bytesRead() const { return base_ + at_; }

  private:
    bool block();
    void fill();

    std::string path_;
    Handle file_;
    Header header_;
    std::string buffer_;
    std::size_t at_ = 0;      // in the buffer
    std::uint64_t base_ = 0;  // of the buffer in the file
    bool ended_ = false, cut_ = false;
    std::vector<Record> records_;
    std::size_t next_ = 0;
    std::uint64_t damaged_ = 0;
    std::int64_t damagedAt_ = -1;
};

}  // namespace laurelhaven::trace
