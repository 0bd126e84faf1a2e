// Framed records: four bytes of magic, the length and the CRC-32 of a payload, and the payload. All files
// that the sender stores consist of such frames, so that a reader tells complete records from those that a
// killed process wrote only in part. No I/O except in readAll() and writeAll().
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace laurelhaven::store {

constexpr std::size_t kFrameHeaderBytes = 12;  ///< magic, length and checksum

/// Builds one payload: a type character, integers of eight bytes in little-endian order, doubles as their
/// IEEE 754 bits, and strings preceded by their length.
class PayloadWriter {
  public:
    explicit PayloadWriter(char type) { text_ += type; }
    template <class T>
    PayloadWriter& number(T value) {
        const auto bits64 = static_cast<std::uint64_t>(value);
        for (int i = 0; i < 8; ++i) text_ += static_cast<char>(bits64 >> (8 * i));
        return *this;
    }
    PayloadWriter& real(double value) {
        std::uint64_t bits = 0;
        std::memcpy(&bits, &value, sizeof bits);
        return number(bits);
    }
    PayloadWriter& text(std::string_view value) {
        number(value.size());
        text_.append(value);
        return *this;
    }
    std::string finish() { return std::move(text_); }

  private:
    std::string text_;
};

/// Reads the fields of a payload in the order in which PayloadWriter wrote them, without the type character.
/// Missing fields read as zero or empty; complete() then returns false.
class PayloadReader {
  public:
    explicit PayloadReader(std::string_view bytes) : rest_(bytes) {}
    template <class T>
    T number() {
        std::uint64_t bits64 = 0;
        if (rest_.size() < 8) return ok_ = false, T{};
        for (int i = 0; i < 8; ++i) bits64 |= std::uint64_t(static_cast<unsigned char>(rest_[i])) << (8 * i);
        rest_.remove_prefix(8);
        return static_cast<T>(bits64);
    }
    double real() {
        const auto bits = number<std::uint64_t>();
        double value = 0;
        std::memcpy(&value, &bits, sizeof value);
        return value;
    }
    std::string text() {
        const auto size = number<std::uint64_t>();
        if (!ok_ || size > rest_.size()) return ok_ = false, std::string();
        std::string value(rest_.substr(0, size));
        rest_.remove_prefix(size);
        return value;
    }
    /// True if every field was present and nothing is left over.
    bool complete() const { return ok_ && rest_.empty(); }
    /// True if a field was missing or malformed.
    bool failed() const { return !ok_; }

  private:
    std::string_view rest_;
    bool ok_ = true;
};

/// Returns the payload in a frame. `magic` has four bytes.
std::string encodeFrame(std::string_view magic, std::string_view payload);

/// Returns the payload of the frame at the start of `bytes`; empty if there is no valid one. `maxPayload`
/// bounds the payload, in bytes.
std::string_view decodeFirstFrame(std::string_view bytes, std::string_view magic, std::size_t maxPayload);

/// What scanFrames() found.
struct ScanResult {
    std::size_t validBytes = 0;    ///< up to the end of the last valid record, damage included
    std::size_t damagedBytes = 0;  ///< skipped within validBytes
    std::size_t recordCount = 0;
};
/// Calls `handle` with the payload of every valid record, in order. After damage it resumes at the next
/// magic, so damage costs only the records that it touches.
ScanResult scanFrames(std::string_view bytes, std::string_view magic, std::size_t maxPayload,
                      const std::function<void(std::string_view)>& handle);

/// The result of readAll().
struct ReadResult {
    std::string text;
    bool complete = true;  ///< false: a read failed with errno, and the file may contain more
};
/// Reads from the descriptor to its end or until a read fails, at most `maxBytes`.
ReadResult readAll(int fd, std::size_t maxBytes = SIZE_MAX);
/// Returns false with errno set if a part could not be written.
bool writeAll(int fd, std::string_view bytes);

}  // namespace laurelhaven::store
