// Framed records in a file: a mark, the length and the checksum of a payload, and the payload. The one form
// of everything that is kept on disk: what a killed process had half written is told from what is whole.
// Bytes in, bytes out, but for the two helpers that read and write a descriptor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>

namespace laurelhaven::store {

constexpr std::size_t kFrameHeaderBytes = 12;  ///< bytes in front of a payload

/// Gathers one payload: numbers of eight bytes, little end first, and texts behind their length.
class PayloadWriter {
  public:
    explicit PayloadWriter(char type) { text_ += type; }
    template <class T>
    PayloadWriter& number(T value) {
        const auto wide = static_cast<std::uint64_t>(value);
        for (int i = 0; i < 8; ++i) text_ += static_cast<char>(wide >> (8 * i));
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

/// Reads what PayloadWriter wrote. A payload that ends early gives zeros, and complete() tells.
class PayloadReader {
  public:
    explicit PayloadReader(std::string_view bytes) : left_(bytes) {}
    template <class T>
    T number() {
        std::uint64_t wide = 0;
        if (left_.size() < 8) return ok_ = false, T{};
        for (int i = 0; i < 8; ++i) wide |= std::uint64_t(static_cast<unsigned char>(left_[i])) << (8 * i);
        left_.remove_prefix(8);
        return static_cast<T>(wide);
    }
    double real() {
        const auto bits = number<std::uint64_t>();
        double value = 0;
        std::memcpy(&value, &bits, sizeof value);
        return value;
    }
    std::string text() {
        const auto size = number<std::uint64_t>();
        if (!ok_ || size > left_.size()) return ok_ = false, std::string();
        std::string value(left_.substr(0, size));
        left_.remove_prefix(size);
        return value;
    }
    bool complete() const { return ok_ && left_.empty(); }

  private:
    std::string_view left_;
    bool ok_ = true;
};

/// The payload behind the four bytes of `mark`, its length and its CRC-32.
std::string encodeFrame(std::string_view mark, std::string_view payload);

/// The payload of a good record at the start of the bytes; empty where there is none.
std::string_view decodeFirstFrame(std::string_view bytes, std::string_view mark, std::size_t longest);

/// What scanning a file's bytes found.
struct ScanResult {
    std::size_t validBytes = 0;    ///< bytes up to the end of the last whole record
    std::size_t damagedBytes = 0;  ///< bytes passed over before it
    std::size_t recordCount = 0;
};
/// Calls `each` with the payload of every whole record, in order. Damage costs only the records it touches:
/// reading goes on at the next mark. `longest` bounds a payload.
ScanResult scanFrames(std::string_view bytes, std::string_view mark, std::size_t longest,
                      const std::function<void(std::string_view)>& each);

/// What reading a file came to.
struct ReadResult {
    std::string text;
    bool complete = true;  ///< false: a read failed, and the file may go on; errno tells
};
/// All that can be read from the descriptor, up to `most` bytes.
ReadResult readAll(int fd, std::size_t most = SIZE_MAX);
/// False where not all of it could be written; errno tells.
bool writeAll(int fd, std::string_view bytes);

}  // namespace laurelhaven::store
