#include "store/ended_id_files.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <utility>

#include "log/log.hpp"
#include "net/socket.hpp"
#include "store/frame.hpp"

namespace laurelhaven::store {
namespace {

constexpr std::string_view kSegmentMagic = "LHE1";
constexpr std::string_view kNamePrefix = "ended-";
constexpr std::string_view kNameSuffix = ".ids";
constexpr std::string_view kCopySuffix = ".new";
constexpr std::size_t kFileSize = kFrameHeaderBytes + EndedIdSegment::kBytes;
static_assert(kFileSize <= EndedIdFiles::kFileBytes);

std::optional<std::uint64_t> numberIn(std::string_view name) {
    if (!name.starts_with(kNamePrefix) || !name.ends_with(kNameSuffix)) return {};
    name.remove_prefix(kNamePrefix.size());
    name.remove_suffix(kNameSuffix.size());
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc{} || end != name.data() + name.size()) return {};
    return number;
}

/// A copy that was incomplete when its process died.
bool isAbandonedCopy(std::string_view name) {
    return name.starts_with(kNamePrefix) && name.ends_with(kCopySuffix);
}

net::Fd openFile(const std::string& path, int flags) {
    net::Fd file;
    do {
        file = net::Fd(open(path.c_str(), flags | O_CLOEXEC, 0600));
    } while (!file && errno == EINTR);
    return file;
}

}  // namespace

std::string EndedIdFiles::path(std::uint64_t number) const {
    return folder_ + "/" + std::string(kNamePrefix) + std::to_string(number) + std::string(kNameSuffix);
}

bool EndedIdFiles::listNumbers() {
    numbers_.clear();
    std::error_code error;
    std::filesystem::directory_iterator entry(folder_, error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        const auto name = entry->path().filename().string();
        if (const auto number = numberIn(name)) numbers_.push_back(*number);
        else if (isAbandonedCopy(name)) unlink(entry->path().c_str());
    }
    std::sort(numbers_.begin(), numbers_.end());
    errno = error.value();
    return !error;
}

/// The content of a file; nothing, with errno set, if it can't be read.
std::optional<std::string> EndedIdFiles::read(std::uint64_t number) const {
    const auto file = openFile(path(number), O_RDONLY);
    if (!file) return {};
    auto result = readAll(file.get(), kFileSize + 1);
    if (!result.complete) return {};
    return std::move(result.text);
}

bool EndedIdFiles::load(std::vector<EndedIdSegment>& segments, Unreadable unreadable) {
    const bool skips = unreadable == Unreadable::skip;
    segments.clear();
    if (!listNumbers() && !skips) return false;
    std::deque<std::uint64_t> good;
    for (const auto number : numbers_) {
        const auto text = read(number);
        if (!text && !skips) return false;
        const auto payload =
            text ? decodeFirstFrame(*text, kSegmentMagic, EndedIdSegment::kBytes) : std::string_view();
        auto segment = EndedIdSegment::fromBytes(std::string(payload));
        if (!segment) {
            log::error() << "ended ids: dropped the file " << path(number) << ", which is "
                         << (text ? "damaged" : "unreadable");
            unlink(path(number).c_str());
            continue;
        }
        segments.push_back(std::move(*segment));
        good.push_back(number);
    }
    numbers_ = std::move(good);
    return true;
}

bool EndedIdFiles::write(const EndedIdSegment& segment) {
    const auto number = numbers_.empty() ? 1 : numbers_.back() + 1;
    const auto finalPath = path(number);
    const auto copyPath = finalPath + std::string(kCopySuffix);
    const auto file = openFile(copyPath, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file) return false;
    if (!writeAll(file.get(), encodeFrame(kSegmentMagic, segment.bytes())) ||
        rename(copyPath.c_str(), finalPath.c_str()) != 0) {
        const int error = errno;
        unlink(copyPath.c_str());
        errno = error;
        return false;
    }
    numbers_.push_back(number);
    return true;
}

bool EndedIdFiles::removeOldest() {
    if (unlink(path(numbers_.front()).c_str()) != 0 && errno != ENOENT) return false;
    numbers_.pop_front();
    return true;
}

}  // namespace laurelhaven::store
