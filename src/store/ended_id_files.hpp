// The files that hold the sealed segments of EndedIds: one each, written whole beside its final name and
// renamed, and never changed. Their numbers are in the order in which they were sealed.
//
// Not thread-safe: callers serialize access.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "store/ended_ids.hpp"

namespace laurelhaven::store {

class EndedIdFiles {
  public:
    /// Space that one file occupies on disk.
    static constexpr std::uint64_t kFileBytes = (EndedIdSegment::kBytes / 512 + 1) * 512;

    explicit EndedIdFiles(std::string folder) : folder_(std::move(folder)) {}

    /// What load() does with a file that can't be read now.
    enum class Unreadable { stop, skip };
    /// Reads all files, oldest first. A damaged one is logged and removed, and so is an unreadable one that
    /// is to be skipped. Otherwise it returns false with errno set: then `segments` is incomplete, and the
    /// call may be repeated.
    bool load(std::vector<EndedIdSegment>& segments, Unreadable unreadable = Unreadable::stop);
    /// Returns false with errno set if the segment could not be written; then nothing has changed.
    bool write(const EndedIdSegment& segment);
    /// Returns false with errno set if the file could not be removed.
    bool removeOldest();
    std::uint64_t diskBytes() const { return numbers_.size() * kFileBytes; }

  private:
    std::optional<std::string> read(std::uint64_t number) const;
    std::string path(std::uint64_t number) const;
    bool listNumbers();

    std::string folder_;
    std::deque<std::uint64_t> numbers_;  // of the files, oldest first
};

}  // namespace laurelhaven::store
