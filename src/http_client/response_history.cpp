#include "http_client/response_history.hpp"

#include <algorithm>
#include <array>
#include <functional>

namespace laurelhaven::http_client {
namespace {

constexpr std::size_t kMaxResponses = 8;
constexpr std::size_t kMaxBeginningBytes = 1024;
constexpr std::string_view kResponseBeginning = "HTTP/1.";

/// True if the text begins like a response, or is too short to tell.
bool beginsLikeResponse(std::string_view text) {
    const auto size = std::min(text.size(), kResponseBeginning.size());
    return text.substr(0, size) == kResponseBeginning.substr(0, size);
}

}  // namespace

std::string_view name(Resemblance resemblance) {
    static constexpr std::array<std::string_view, 4> kNames{"none", "duplicate", "truncated", "spliced"};
    return kNames[static_cast<std::size_t>(resemblance)];
}

std::size_t contentHash(const http::Message& response) {
    std::string content = std::to_string(response.status) + '\n';
    for (const auto& field : response.headers.all) {
        if (!http::equalsIgnoreCase(field.first, "Connection"))
            content.append(field.first).append(":").append(field.second).append("\n");
    }
    content += response.body;
    return std::hash<std::string>{}(content);
}

bool ResponseHistory::hasContent(std::size_t contentHash) const {
    return std::any_of(responses_.begin(), responses_.end(),
                       [&](const Response& earlier) { return earlier.contentHash == contentHash; });
}

void ResponseHistory::add(std::string_view bytes, std::size_t contentHash) {
    const auto same = [&](const Response& earlier) { return isDuplicate(earlier, bytes); };
    if (std::any_of(responses_.begin(), responses_.end(), same)) return;
    responses_.push_back({std::string(bytes.substr(0, kMaxBeginningBytes)), bytes.size(), contentHash});
    if (responses_.size() > kMaxResponses) responses_.pop_front();
}

Resemblance ResponseHistory::compare(std::string_view bytes) const {
    if (bytes.empty()) return Resemblance::none;
    auto strongest = Resemblance::none;
    for (const auto& earlier : responses_) {
        const auto resemblance = compare(earlier, bytes);
        if (resemblance == Resemblance::duplicate) return resemblance;
        strongest = std::max(strongest, resemblance);
    }
    return strongest;
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
    if (common == bytes.size()) return Resemblance::truncated;
    if (common > 0 && common < earlier.size && beginsLikeResponse(bytes.substr(common)))
        return Resemblance::spliced;
    return Resemblance::none;
}

}  // namespace laurelhaven::http_client
