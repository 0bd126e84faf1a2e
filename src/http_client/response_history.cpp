#include "http_client/response_history.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace laurelhaven::http_client {
namespace {

constexpr std::size_t kMaxResponses = 8;
constexpr std::size_t kMaxOlderResponses = 256;
constexpr std::size_t kMaxBeginningBytes = 1024;
constexpr std::string_view kResponseBeginning = "HTTP/1.";
constexpr unsigned char kDelete = 0x7f;
constexpr std::size_t kStatusEnd = std::string_view("HTTP/1.1 200").size();

/// Whether a header field with this name says more than when, and on what connection, the response was sent.
/// A Date has a resolution of one second: two that differ say nothing about responses within a second.
bool isContent(std::string_view name) {
    return !http::equalsIgnoreCase(name, "Connection") && !http::equalsIgnoreCase(name, "Date");
}

std::size_t hashOf(std::string_view bytes) { return std::hash<std::string_view>{}(bytes); }

std::string_view withoutLeadingBlankLines(std::string_view bytes) {
    return bytes.substr(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
}

/// The status line and headers, as far as they go.
std::string_view headOf(std::string_view bytes) {
    const auto end = std::min(bytes.find("\n\r\n"), bytes.find("\n\n"));
    return bytes.substr(0, std::min(end, bytes.size()));
}

/// Noise that ends a head stands in its last line.
bool endsInNoise(std::string_view head) {
    const auto lineEnd = head.find_last_not_of("\r\n") + 1;
    const auto line = head.substr(0, lineEnd);
    const auto lineBegin = line.rfind('\n') + 1;
    return std::any_of(line.begin() + static_cast<std::ptrdiff_t>(lineBegin), line.end(),
                       [](unsigned char byte) { return byte != '\t' && (byte < ' ' || byte == kDelete); });
}

/// True if a response, or what may become one, begins between these places.
bool responseBegins(std::string_view bytes, std::size_t earliest, std::size_t latest) {
    for (std::size_t at = std::max<std::size_t>(earliest, 1); at <= latest && at < bytes.size(); ++at) {
        const auto rest = bytes.substr(at, kResponseBeginning.size());
        if (rest == kResponseBeginning.substr(0, rest.size())) return true;
    }
    return false;
}

}  // namespace

std::string_view name(Resemblance resemblance) {
    static constexpr std::array<std::string_view, 4> kNames{"none", "duplicate", "truncated", "spliced"};
    return kNames[static_cast<std::size_t>(resemblance)];
}

std::size_t contentHash(const http::Message& response) {
    std::string content = std::to_string(response.status) + '\n';
    for (const auto& field : response.headers.all) {
        if (isContent(field.first)) content.append(field.first).append(":").append(field.second).append("\n");
    }
    content += response.body;
    return std::hash<std::string>{}(content);
}

bool ResponseHistory::isFull() const { return olderResponses_.size() >= kMaxOlderResponses; }

void ResponseHistory::add(std::string_view received) {
    const auto bytes = withoutLeadingBlankLines(received);
    if (compare(bytes) == Resemblance::duplicate) return;
    statuses_.emplace(bytes.substr(0, kStatusEnd));
    heads_.insert(hashOf(headOf(bytes)));
    responses_.push_back({std::string(bytes.substr(0, kMaxBeginningBytes)), bytes.size(), hashOf(bytes)});
    if (responses_.size() <= kMaxResponses) return;
    if (!isFull()) olderResponses_.push_back(responses_.front().hash);
    responses_.pop_front();
}

Resemblance ResponseHistory::compare(std::string_view received) const {
    const auto bytes = withoutLeadingBlankLines(received);
    if (bytes.empty()) return Resemblance::none;
    auto strongest = Resemblance::none;
    for (const auto& earlier : responses_) {
        const auto resemblance = compare(earlier, bytes);
        if (resemblance == Resemblance::duplicate) return resemblance;
        strongest = std::max(strongest, resemblance);
    }
    const auto older = std::find(olderResponses_.begin(), olderResponses_.end(), hashOf(bytes));
    return older == olderResponses_.end() ? strongest : Resemblance::duplicate;
}

bool ResponseHistory::mayBeginWithPart(const ReceivedResponse& response, std::string_view following) const {
    const auto bytes = withoutLeadingBlankLines(response.bytes);
    if (!hasStatusOf(bytes)) return false;
    if (!response.isComplete() || response.untilClose || endsInNoise(headOf(bytes))) return true;
    // Its body may be completed by what follows a part. A second copy of it all shows that it is not.
    return !following.empty() && !following.starts_with(bytes) && hasHeadOf(bytes);
}

bool ResponseHistory::hasStatusOf(std::string_view bytes) const {
    return bytes.size() >= kStatusEnd && statuses_.count(bytes.substr(0, kStatusEnd)) > 0;
}

bool ResponseHistory::hasHeadOf(std::string_view bytes) const {
    return heads_.count(hashOf(headOf(bytes))) > 0;
}

bool ResponseHistory::isDuplicate(const Response& earlier, std::string_view bytes) {
    return bytes.size() == earlier.size && bytes.substr(0, kMaxBeginningBytes) == earlier.beginning;
}

Resemblance ResponseHistory::compare(const Response& earlier, std::string_view bytes) {
    if (isDuplicate(earlier, bytes)) return Resemblance::duplicate;
    const auto limit = std::min(bytes.size(), earlier.beginning.size());
    const auto [end, unused] = std::mismatch(
        bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(limit), earlier.beginning.begin());
    const auto common = static_cast<std::size_t>(end - bytes.begin());
    // Behind its kept bytes an earlier response may be anything: what agrees with all of them may be a part
    // of it.
    const bool agrees = common == earlier.beginning.size() && common < earlier.size;
    if (bytes.size() < earlier.size && (common == bytes.size() || agrees)) return Resemblance::truncated;
    // The first bytes of what follows a part may happen to be those that the part would have had next.
    constexpr auto kMaxOverlap = kResponseBeginning.size() - 1;
    const auto earliest = common - std::min(common, kMaxOverlap);
    const auto latest = agrees ? earlier.size - 1 : common;
    return responseBegins(bytes, earliest, latest) ? Resemblance::spliced : Resemblance::none;
}

}  // namespace laurelhaven::http_client
