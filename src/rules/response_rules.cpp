#include "rules/response_rules.hpp"

#include <algorithm>
#include <array>

#include "rules/response_meaning.hpp"

namespace laurelhaven::rules {
namespace {

using http_client::Completeness;
using http_client::Resemblance;

constexpr int kRequestTimeout = 408;              // sent by servers that close an idle connection
constexpr std::chrono::seconds kForgetAfter{60};  // endpoints that are not used
constexpr std::size_t kRecentDeliveries = 32;     // of an endpoint, with which the next one is compared
// An endpoint rejects a request, or tells a wait, as soon as it has arrived. The repeated rejection mostly is
// the request's own, and to await another one takes a slot.
constexpr std::chrono::milliseconds kReadOnAfterRejection{150};

}  // namespace

std::string_view name(ResponseVerdict verdict) {
    static constexpr std::array<std::string_view, 4> kNames{"own", "repeated", "none_was_own",
                                                            "unattributable"};
    return kNames[static_cast<std::size_t>(verdict)];
}

bool ResponseRules::mayCarry(const SentRequest& request) const {
    const std::lock_guard lock(mutex_);
    const Endpoint& endpoint = known(request);
    return differsWithoutClose(request, endpoint) || endpoint.tellsByClose();
}

bool ResponseRules::mustAnnounceClose(const SentRequest& request) const {
    const std::lock_guard lock(mutex_);
    const Endpoint& endpoint = known(request);
    if (request.before.any()) return !differsWithoutClose(request, endpoint);
    // No other request can follow; and the response shows whether the endpoint says that it closes.
    return endpoint.deliveries == Pattern::repeating && !endpoint.tellsByClose();
}

ResponseVerdict ResponseRules::judge(const SentRequest& request, const ArrivedResponse& response,
                                     int repeatedStatus, net::Deadline now) {
    const std::lock_guard lock(mutex_);
    Endpoint& endpoint = entry(request, now);
    const auto verdict = verdictOn(response, repeatedStatus != 0);
    if (verdict == ResponseVerdict::own) learnFromOwn(endpoint, request, response);
    else if (verdict != ResponseVerdict::repeated) learnFromUnknown(endpoint, request, repeatedStatus);
    return verdict;
}

net::Deadline ResponseRules::readOnUntil(const SentRequest& request, int repeatedStatus,
                                         net::Deadline firstByteAt) {
    if (request.closeAnnounced || repeatedStatus == kDelivered) return request.deadline;
    return std::min(request.deadline, firstByteAt + kReadOnAfterRejection);
}

ResponseVerdict ResponseRules::verdictOn(const ArrivedResponse& response, bool followsRepeated) {
    if (response.completeness == Completeness::none)
        return followsRepeated ? ResponseVerdict::noneProven : ResponseVerdict::own;
    if (response.resemblance == Resemblance::duplicate) return ResponseVerdict::repeated;
    if (response.resemblance != Resemblance::none) return ResponseVerdict::unattributable;
    if (response.mayBeginWithPart) return ResponseVerdict::unattributable;
    if (response.completeness == Completeness::complete) return ResponseVerdict::own;
    // It is no part of an earlier response. Behind a repeated one it may be the request's own, or noise that
    // belongs to that.
    return followsRepeated ? ResponseVerdict::unattributable : ResponseVerdict::own;
}

void ResponseRules::learnFromOwn(Endpoint& endpoint, const SentRequest& request,
                                 const ArrivedResponse& response) {
    if (response.completeness != Completeness::complete) return;
    if (request.closeAnnounced) endpoint.saysClose = response.saysClose;
    if (response.status == kDelivered) learnFromDelivery(endpoint, response.content);
}

/// Compares a delivery with the last ones of all connections, as it may repeat on any of them next time.
void ResponseRules::learnFromDelivery(Endpoint& endpoint, std::size_t content) {
    auto& recent = endpoint.recentDeliveries;
    const bool repeats = std::find(recent.begin(), recent.end(), content) != recent.end();
    if (!recent.empty()) setDeliveries(endpoint, repeats ? Pattern::repeating : Pattern::distinct);
    if (recent.size() == kRecentDeliveries) recent.erase(recent.begin());
    recent.push_back(content);
}

/// However distinct deliveries have been, it is more likely that two were the same than that a duplicate was
/// sent and the request's own response is missing.
void ResponseRules::learnFromUnknown(Endpoint& endpoint, const SentRequest& request, int repeatedStatus) {
    if (repeatedStatus == kDelivered) setDeliveries(endpoint, Pattern::repeating);
    if (repeatedStatus != 0 && request.closeAnnounced) endpoint.saysClose = false;
}

/// An endpoint whose deliveries have repeated is not taken for distinct any more.
void ResponseRules::setDeliveries(Endpoint& endpoint, Pattern pattern) {
    if (endpoint.deliveries != Pattern::repeating) endpoint.deliveries = pattern;
    distinctSeen_ = distinctSeen_ || pattern == Pattern::distinct;
    repeatingSeen_ = repeatingSeen_ || pattern == Pattern::repeating;
}

/// Whether the response can be expected to differ from those before it, though it says nothing of a close.
bool ResponseRules::differsWithoutClose(const SentRequest& request, const Endpoint& endpoint) const {
    if (request.before.rejections && !request.mayBeRepeated) return false;
    return !request.before.deliveries || expectedDeliveries(request, endpoint) == Pattern::distinct;
}

/// An endpoint of which nothing is known is taken to respond like the others, as far as they are alike. A
/// request that may not be repeated is not risked on that.
ResponseRules::Pattern ResponseRules::expectedDeliveries(const SentRequest& request,
                                                         const Endpoint& endpoint) const {
    if (endpoint.deliveries != Pattern::unknown || !request.mayBeRepeated) return endpoint.deliveries;
    return distinctSeen_ && !repeatingSeen_ ? Pattern::distinct : Pattern::unknown;
}

bool ResponseRules::mayReuse(const SentRequest& request) const {
    if (request.closeAnnounced) return false;
    const std::lock_guard lock(mutex_);
    const Endpoint& endpoint = known(request);
    return endpoint.deliveries != Pattern::repeating || endpoint.saysClose.value_or(true);
}

void ResponseRules::forget(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    endpoints_.erase(endpoint);
}

void ResponseRules::unsolicited(std::string_view subject, int status, Resemblance resemblance) {
    if (status == 0 || status == kRequestTimeout || resemblance != Resemblance::none) return;
    violations_.count(Rule::ownResponse, subject,
                      "another response came later, with status " + std::to_string(status));
}

/// What is known of the endpoint at this address; nothing, if another address was in use.
const ResponseRules::Endpoint& ResponseRules::known(const SentRequest& request) const {
    static const Endpoint kNothing;
    const auto it = endpoints_.find(request.endpoint);
    return it != endpoints_.end() && it->second.address == request.address ? it->second : kNothing;
}

ResponseRules::Endpoint& ResponseRules::entry(const SentRequest& request, net::Deadline now) {
    if (!endpoints_.count(request.endpoint))
        std::erase_if(endpoints_,
                      [&](const auto& other) { return now - other.second.usedAt > kForgetAfter; });
    Endpoint& endpoint = endpoints_[request.endpoint];
    if (endpoint.address != request.address) {
        endpoint = {};
        endpoint.address = request.address;
    }
    endpoint.usedAt = now;
    return endpoint;
}

}  // namespace laurelhaven::rules
