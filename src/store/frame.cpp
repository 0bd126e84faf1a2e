#include "store/frame.hpp"

#include <unistd.h>
#include <zlib.h>

#include <algorithm>
#include <cerrno>

namespace laurelhaven::store {
namespace {

std::uint32_t checksum(std::string_view bytes) {
    return static_cast<std::uint32_t>(
        crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

void put32(std::string& text, std::uint32_t value) {
    for (int i = 0; i < 4; ++i) text += static_cast<char>(value >> (8 * i));
}
std::uint32_t get32(std::string_view bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < 4; ++i) value |= std::uint32_t(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return value;
}

}  // namespace

std::string_view decodeFirstFrame(std::string_view bytes, std::string_view magic, std::size_t maxPayload) {
    if (bytes.size() < kFrameHeaderBytes || bytes.substr(0, magic.size()) != magic) return {};
    const std::size_t size = get32(bytes.substr(4));
    if (size == 0 || size > maxPayload || size > bytes.size() - kFrameHeaderBytes) return {};
    const auto payload = bytes.substr(kFrameHeaderBytes, size);
    return checksum(payload) == get32(bytes.substr(8)) ? payload : std::string_view{};
}

std::string encodeFrame(std::string_view magic, std::string_view payload) {
    std::string text(magic);
    put32(text, static_cast<std::uint32_t>(payload.size()));
    put32(text, checksum(payload));
    return text.append(payload);
}

ScanResult scanFrames(std::string_view bytes, std::string_view magic, std::size_t maxPayload,
                      const std::function<void(std::string_view)>& handle) {
    ScanResult found;
    std::size_t at = 0;
    while (at < bytes.size()) {
        const auto payload = decodeFirstFrame(bytes.substr(at), magic, maxPayload);
        if (payload.empty()) {
            // Damage, or a record that was being written when the process died: resume at the next magic.
            const auto next = bytes.find(magic, at + 1);
            at = next == std::string_view::npos ? bytes.size() : next;
            continue;
        }
        if (at > found.validBytes) found.damagedBytes += at - found.validBytes;
        handle(payload);
        ++found.recordCount;
        found.validBytes = at += kFrameHeaderBytes + payload.size();
    }
    return found;
}

ReadResult readAll(int fd, std::size_t maxBytes) {
    ReadResult result;
    char bytes[8192];
    while (result.text.size() < maxBytes) {
        const auto count = read(fd, bytes, std::min(sizeof bytes, maxBytes - result.text.size()));
        if (count > 0) result.text.append(bytes, static_cast<std::size_t>(count));
        if (count == 0) break;
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) {
            result.complete = false;
            break;
        }
    }
    return result;
}

bool writeAll(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto count = write(fd, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

}  // namespace laurelhaven::store
