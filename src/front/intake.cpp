#include "front/intake.hpp"

#include <algorithm>
#include <chrono>

namespace laurelhaven::front {
namespace {

constexpr std::size_t kMaxNameLength = 200;
constexpr unsigned long long kMaxDeadlineMs = 24ULL * 3600 * 1000;

// Ids and keys are copied into other messages and into JSON, so only visible ASCII that needs no escaping is
// allowed.
bool isPlainName(const std::string* text) {
    return text && !text->empty() && text->size() <= kMaxNameLength &&
           std::all_of(text->begin(), text->end(),
                       [](char c) { return c > 0x20 && c < 0x7f && c != '"' && c != '\\'; });
}

}  // namespace

std::variant<decisions::Submission, ReadinessQuery, MetricsQuery, RequestError> interpretRequest(
    const config::Config& config, http::Message& request, decisions::TimePoint receivedAt) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    const bool get = request.method == "GET" || request.method == "HEAD";
    if (path == "/health/ready") {
        if (get) return ReadinessQuery{};
        return RequestError{405, "use GET"};
    }
    if (path == "/metrics") {
        if (get) return MetricsQuery{};
        return RequestError{405, "use GET"};
    }
    const int messageClass =
        config::position(config.classes, std::string_view(path).substr(path.empty() ? 0 : 1), -1);
    if (path.empty() || path[0] != '/' || messageClass < 0) return RequestError{404, "no such path"};
    if (request.method != "POST") return RequestError{405, "use POST"};
    const auto& headers = request.headers;
    for (const char* name :
         {"Req-Id", "Req-Kind", "Req-Owner", "Req-Deadline-Ms", "X-Route-To", "Idempotency-Key"})
        if (headers.count(name) > 1) return RequestError{400, std::string(name) + " is given twice"};
    // Without a length, the body would be taken for another request.
    if (!headers.find("Content-Length") && !headers.find("Transfer-Encoding"))
        return RequestError{411, "Content-Length is missing"};
    const auto* id = headers.find("Req-Id");
    if (!isPlainName(id)) return RequestError{400, "Req-Id is missing or malformed"};
    const auto* kind = headers.find("Req-Kind");
    if (!kind || *kind != config.classes[messageClass])
        return RequestError{400, "Req-Kind is not the path's class"};
    int tenant = 0;
    if (!config.tenants.empty()) {
        const auto* owner = headers.find("Req-Owner");
        tenant = owner ? config::position(config.tenants, *owner, -1) : -1;
        if (tenant < 0) return RequestError{400, "Req-Owner is missing or unknown"};
    }
    const auto* deadline = headers.find("Req-Deadline-Ms");
    const auto ms = deadline ? http::parseUnsigned(*deadline, kMaxDeadlineMs) : std::nullopt;
    if (!ms) return RequestError{400, "Req-Deadline-Ms is not a whole number of milliseconds"};
    const auto* route = headers.find("X-Route-To");
    std::optional<unsigned long long> destination;
    for (const auto part : http::split(route ? *route : std::string_view(), ",;& "))
        if (part.substr(0, 5) == "dest=") destination = http::parseUnsigned(part.substr(5), 1ULL << 53);
    if (!destination) return RequestError{400, "X-Route-To names no dest"};
    const auto* key = headers.find("Idempotency-Key");
    const bool keyed = config.settings.messageClasses[messageClass].effect == stoathub::Effect::keyed;
    if ((keyed || key) && !isPlainName(key))
        return RequestError{400, "Idempotency-Key is missing or malformed"};
    decisions::Submission message;
    message.id = *id;
    if (key) message.key = *key;
    message.destination = *destination;
    message.messageClass = static_cast<std::uint32_t>(messageClass);
    message.tenant = static_cast<std::uint32_t>(tenant);
    // No message is held for longer than its class's time to live, whatever deadline the client gives.
    const auto timeToLive =
        std::chrono::ceil<std::chrono::milliseconds>(config.settings.messageClasses[messageClass].timeToLive);
    message.deadline = receivedAt + std::min(std::chrono::milliseconds(*ms), timeToLive);
    message.body = std::make_shared<const std::string>(std::move(request.body));
    return message;
}

}  // namespace laurelhaven::front
