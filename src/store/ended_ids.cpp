#include "store/ended_ids.hpp"

#include <algorithm>
#include <utility>

namespace laurelhaven::store {
namespace {

constexpr int kBitsPerByte = 8;

std::uint64_t readLittleEndian(const std::string& bytes, std::size_t at, std::size_t size) {
    std::uint64_t value = 0;
    for (std::size_t i = size; i > 0; --i)
        value = value << kBitsPerByte | static_cast<unsigned char>(bytes[at + i - 1]);
    return value;
}

void appendLittleEndian(std::string& bytes, std::uint64_t value, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i) bytes += static_cast<char>(value >> (kBitsPerByte * i));
}

/// Spreads every bit over the whole value: the finalizer of MurmurHash3.
std::uint64_t mix(std::uint64_t value) {
    value = (value ^ value >> 33) * 0xff51afd7ed558ccdULL;
    value = (value ^ value >> 33) * 0xc4ceb9fe1a85ec53ULL;
    return value ^ value >> 33;
}

}  // namespace

std::uint64_t EndedId::fingerprint(std::string_view id) {
    return mix(textDigest(id)) >> (64 - kFingerprintBits);
}

EndedId::EndedId(std::string_view id, MessageEnd end, std::uint64_t contentDigest)
    : value_(fingerprint(id) << kDetailBits | (contentDigest & kContentMask) << kEndBits |
             static_cast<std::uint64_t>(end)) {}

EndedIdSegment::EndedIdSegment(std::vector<EndedId> entries) {
    // Equal fingerprints keep their order, so that the last end is found.
    std::stable_sort(entries.begin(), entries.end(),
                     [](const EndedId& a, const EndedId& b) { return a.fingerprint() < b.fingerprint(); });
    bytes_.reserve(kBytes);
    std::size_t end = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
        while (end < entries.size() && entries[end].fingerprint() >> kSuffixBits == bucket) ++end;
        appendLittleEndian(bytes_, end, kCountBytes);
    }
    for (const auto& entry : entries) appendLittleEndian(bytes_, entry.value(), kEntryBytes);
}

std::optional<EndedIdSegment> EndedIdSegment::fromBytes(std::string bytes) {
    if (bytes.size() != kBytes) return {};
    EndedIdSegment segment(std::move(bytes));
    std::size_t before = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
        const auto end = segment.bucketEnd(bucket);
        if (end < before || end > kEntries) return {};
        before = end;
    }
    if (before != kEntries) return {};
    return segment;
}

std::size_t EndedIdSegment::bucketEnd(std::size_t bucket) const {
    return readLittleEndian(bytes_, bucket * kCountBytes, kCountBytes);
}

EndedId EndedIdSegment::entryAt(std::uint64_t bucket, std::size_t position) const {
    const auto entry = readLittleEndian(bytes_, kBuckets * kCountBytes + position * kEntryBytes, kEntryBytes);
    return EndedId(bucket << (kSuffixBits + EndedId::kDetailBits) | entry);
}

std::optional<EndedId> EndedIdSegment::find(std::uint64_t fingerprint) const {
    const std::uint64_t bucket = fingerprint >> kSuffixBits;
    const std::size_t begin = bucket == 0 ? 0 : bucketEnd(bucket - 1);
    for (std::size_t i = bucketEnd(bucket); i > begin; --i) {
        const auto found = entryAt(bucket, i - 1);
        if (found.fingerprint() == fingerprint) return found;
    }
    return {};
}

void EndedIds::add(EndedId entry) {
    if (maxRecent_ == 0) return;
    // A quarter at once, as each drop moves all others.
    if (recent_.size() >= maxRecent_)
        recent_.erase(recent_.begin(), recent_.begin() + static_cast<std::ptrdiff_t>(maxRecent_ / 4 + 1));
    recent_.push_back(entry);
}

std::optional<EndedId> EndedIds::find(std::string_view id) const {
    const auto fingerprint = EndedId::fingerprint(id);
    const auto recent = std::find_if(recent_.rbegin(), recent_.rend(), [&](const EndedId& entry) {
        return entry.fingerprint() == fingerprint;
    });
    if (recent != recent_.rend()) return *recent;
    return findSealed(fingerprint);
}

std::optional<EndedId> EndedIds::findSealed(std::uint64_t fingerprint) const {
    if (!sealed_.mayContain(fingerprint)) return {};
    for (auto segment = segments_.rbegin(); segment != segments_.rend(); ++segment)
        if (const auto found = segment->find(fingerprint)) return found;
    return {};
}

void EndedIds::addToFilter(const EndedIdSegment& segment) {
    segment.forEachFingerprint([this](std::uint64_t fingerprint) { sealed_.add(fingerprint); });
}

void EndedIds::addSegment(EndedIdSegment segment) {
    if (segments_.empty()) sealed_.reset();
    addToFilter(segment);
    segments_.push_back(std::move(segment));
}

/// A filter forgets nothing, so it is made anew.
void EndedIds::dropOldestSegment() {
    segments_.pop_front();
    sealed_.reset();
    for (const auto& segment : segments_) addToFilter(segment);
}

EndedIdSegment EndedIds::seal() const {
    const auto end = recent_.begin() + static_cast<std::ptrdiff_t>(EndedIdSegment::kEntries);
    return EndedIdSegment(std::vector<EndedId>(recent_.begin(), end));
}

void EndedIds::keep(EndedIdSegment segment) {
    addSegment(std::move(segment));
    recent_.erase(recent_.begin(), recent_.begin() + static_cast<std::ptrdiff_t>(EndedIdSegment::kEntries));
}

}  // namespace laurelhaven::store
