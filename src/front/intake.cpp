#include "front/intake.hpp"

#include <algorithm>
#include <chrono>

namespace laurelhaven::front {
namespace {

constexpr std::size_t kLongestName = 200;
constexpr unsigned long long kLongestDeadlineMs = 24ULL * 3600 * 1000;

// Ids and keys go on into other messages and into JSON: visible ASCII without quotes, nothing to escape.
bool plain(const std::string* text) {
    return text && !text->empty() && text->size() <= kLongestName &&
           std::all_of(text->begin(), text->end(),
                       [](char c) { return c > 0x20 && c < 0x7f && c != '"' && c != '\\'; });
}

}  // namespace

std::variant<decisions::Submission, Ready, Metrics, Denied> intake(const config::Config& config,
                                                                   http::Message& request,
                                                                   decisions::TimePoint came) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    const bool get = request.method == "GET" || request.method == "HEAD";
    if (path == "/health/ready") {
        if (get) return Ready{};
        return Denied{405, "use GET"};
    }
    if (path == "/metrics") {
        if (get) return Metrics{};
        return Denied{405, "use GET"};
    }
    const int grade =
        config::position(config.classes, std::string_view(path).substr(path.empty() ? 0 : 1), -1);
    if (path.empty() || path[0] != '/' || grade < 0) return Denied{404, "no such path"};
    if (request.method != "POST") return Denied{405, "use POST"};
    const auto& headers = request.headers;
    for (const char* name :
         {"Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline-Ms", "X-Route-To", "Idempotency-Key"})
        if (headers.count(name) > 1) return Denied{400, std::string(name) + " is given twice"};
    // Without a length, what follows would be taken for another request.
    if (!headers.find("Content-Length") && !headers.find("Transfer-Encoding"))
        return Denied{411, "Content-Length is missing"};
    const auto* id = headers.find("Req-Id");
    if (!plain(id)) return Denied{400, "Req-Id is missing or malformed"};
    const auto* kind = headers.find("Req-Kind");
    if (!kind || *kind != config.classes[grade]) return Denied{400, "Req-Kind is not the path's class"};
    int tenant = 0;
    if (!config.tenants.empty()) {
        const auto* owner = headers.find("Req-Owner");
        tenant = owner ? config::position(config.tenants, *owner, -1) : -1;
        if (tenant < 0) return Denied{400, "Req-Owner is missing or unknown"};
    }
    const auto* deadline = headers.find("Req-Deadline-Ms");
    const auto ms = deadline ? http::parseUnsigned(*deadline, kLongestDeadlineMs) : std::nullopt;
    if (!ms) return Denied{400, "Req-Deadline-Ms is not a whole number of milliseconds"};
    const auto* route = headers.find("X-Route-To");
    std::optional<unsigned long long> destination;
    for (const auto part : http::split(route ? *route : std::string_view(), ",;& "))
        if (part.substr(0, 5) == "dest=") destination = http::parseUnsigned(part.substr(5), 1ULL << 53);
    if (!destination) return Denied{400, "X-Route-To names no dest"};
    const auto* key = headers.find("Idempotency-Key");
    const bool keyed = config.settings.messageClasses[grade].effect == stoathub::Effect::keyed;
    if ((keyed || key) && !plain(key)) return Denied{400, "Idempotency-Key is missing or malformed"};
    decisions::Submission message;
    message.id = *id;
    if (key) message.key = *key;
    message.destination = *destination;
    message.messageClass = static_cast<std::uint32_t>(grade);
    message.tenant = static_cast<std::uint32_t>(tenant);
    // Nothing is held for longer than its class lasts, whatever its client says.
    const auto longest =
        std::chrono::ceil<std::chrono::milliseconds>(config.settings.messageClasses[grade].timeToLive);
    message.deadline = came + std::min(std::chrono::milliseconds(*ms), longest);
    message.body = std::make_shared<const std::string>(std::move(request.body));
    return message;
}

}  // namespace laurelhaven::front
