// Remembers by fingerprint which messages that must not be repeated freely have ended, for as long as there
// is room: a few bytes each, so that an id that comes again hours later is still known. The newest
// fingerprints are in order of their ends; the others are in sealed segments, each sorted and of a fixed
// size, of which the oldest is dropped first. No I/O and no clock; not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/finished_messages.hpp"

namespace laurelhaven::store {

/// The fingerprint of an id, with the end of its message and a short digest of what was submitted under it.
class EndedId {
  public:
    EndedId(std::string_view id, MessageEnd end, std::uint64_t contentDigest);
    /// From value().
    explicit EndedId(std::uint64_t value) : value_(value) {}

    static constexpr int kFingerprintBits = 38;
    static constexpr int kContentBits = 8;
    static constexpr std::uint64_t kContentMask = (1U << kContentBits) - 1;

    static std::uint64_t fingerprint(std::string_view id);
    std::uint64_t fingerprint() const { return value_ >> kDetailBits; }
    MessageEnd end() const { return static_cast<MessageEnd>(value_ & kEndMask); }
    /// The low bits of the content's digest.
    std::uint64_t content() const { return (value_ >> kEndBits) & kContentMask; }
    std::uint64_t value() const { return value_; }

  private:
    friend class EndedIdSegment;
    static constexpr int kEndBits = 2;
    static constexpr std::uint64_t kEndMask = (1U << kEndBits) - 1;
    static constexpr int kDetailBits = kContentBits + kEndBits;
    std::uint64_t value_;
};

/// A fixed number of fingerprints in one block of bytes, which is also what a file holds: the number of
/// entries in each bucket, as one cumulative 16-bit count a bucket, and the entries by bucket. The bucket
/// stands for the leading bits of a fingerprint, so an entry has only the others.
class EndedIdSegment {
  public:
    static constexpr std::size_t kEntries = 4096;
    static constexpr std::size_t kBytes = 256 * 2 + kEntries * 5;

    /// Of exactly kEntries entries.
    explicit EndedIdSegment(std::vector<EndedId> entries);
    /// From bytes(); nothing if they are no segment's.
    static std::optional<EndedIdSegment> fromBytes(std::string bytes);
    const std::string& bytes() const { return bytes_; }
    std::optional<EndedId> find(std::uint64_t fingerprint) const;
    /// Calls `handle` with each fingerprint.
    template <class Handle>
    void forEachFingerprint(Handle handle) const {
        std::size_t i = 0;
        for (std::uint64_t bucket = 0; bucket < kBuckets; ++bucket)
            for (const auto end = bucketEnd(bucket); i < end; ++i) handle(entryAt(bucket, i).fingerprint());
    }

  private:
    static constexpr int kBucketBits = 8;
    static constexpr std::size_t kBuckets = 1U << kBucketBits;
    static constexpr std::size_t kCountBytes = 2, kEntryBytes = 5;
    static constexpr int kSuffixBits = EndedId::kFingerprintBits - kBucketBits;
    static_assert(kBytes == kBuckets * kCountBytes + kEntries * kEntryBytes);
    static_assert(kSuffixBits + EndedId::kDetailBits == 8 * kEntryBytes);

    explicit EndedIdSegment(std::string bytes) : bytes_(std::move(bytes)) {}
    /// Where the entries of the bucket end, counted in entries.
    std::size_t bucketEnd(std::size_t bucket) const;
    EndedId entryAt(std::uint64_t bucket, std::size_t position) const;

    std::string bytes_;
};

/// Tells of most fingerprints that are in no segment that they are in none, by one look at a bit.
class FingerprintFilter {
  public:
    void add(std::uint64_t fingerprint) { bits_[position(fingerprint)] = true; }
    bool mayContain(std::uint64_t fingerprint) const {
        return !bits_.empty() && bits_[position(fingerprint)];
    }
    /// Takes its memory, for use with segments.
    void reset() { bits_.assign(kBits, false); }

  private:
    static constexpr std::size_t kBits = std::size_t{1} << 21;  // 256 KB, and six for each id of a full table
    static std::size_t position(std::uint64_t fingerprint) { return fingerprint % kBits; }
    std::vector<bool> bits_;
};

/// All that are remembered.
class EndedIds {
  public:
    static constexpr std::size_t kUnlimited = SIZE_MAX;

    /// `maxRecent`: beyond it, recent entries are dropped, the oldest first.
    EndedIds(std::size_t maxSegments, std::size_t maxRecent)
        : maxSegments_(maxSegments), maxRecent_(maxRecent) {}

    void add(EndedId entry);
    /// The last end of this id.
    std::optional<EndedId> find(std::string_view id) const;
    bool isSealed(EndedId entry) const { return findSealed(entry.fingerprint()).has_value(); }
    /// Those that are in no segment yet, in the order of their ends.
    const std::vector<EndedId>& recent() const { return recent_; }

    bool canSeal() const { return recent_.size() >= EndedIdSegment::kEntries; }
    /// A segment of the oldest recent entries, for keep(). Requires canSeal().
    EndedIdSegment seal() const;
    /// Takes the segment that seal() returned, which replaces those recent entries.
    void keep(EndedIdSegment segment);
    /// Takes a segment of an earlier run. Segments come in the order in which they were sealed.
    void restore(EndedIdSegment segment) { addSegment(std::move(segment)); }
    std::size_t segments() const { return segments_.size(); }
    std::size_t maxSegments() const { return maxSegments_; }
    void dropOldestSegment();

  private:
    std::optional<EndedId> findSealed(std::uint64_t fingerprint) const;
    void addSegment(EndedIdSegment segment);
    void addToFilter(const EndedIdSegment& segment);

    std::size_t maxSegments_, maxRecent_;
    std::vector<EndedId> recent_;
    std::deque<EndedIdSegment> segments_;  // oldest first
    FingerprintFilter sealed_;
};

}  // namespace laurelhaven::store
