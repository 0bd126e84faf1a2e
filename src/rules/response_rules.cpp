#include "rules/response_rules.hpp"

#include <array>

namespace laurelhaven::rules {
namespace {

using http_client::Completeness;
using http_client::Resemblance;

constexpr int kDelivered = 200;
constexpr int kRequestTimeout = 408;              // sent by servers that close an idle connection
constexpr std::chrono::seconds kForgetAfter{60};  // endpoints that are not used

}  // namespace

std::string_view name(ResponseVerdict verdict) {
    static constexpr std::array<std::string_view, 5> kNames{"own", "repeated", "repeated_was_own",
                                                            "none_was_own", "unattributable"};
    return kNames[static_cast<std::size_t>(verdict)];
}

bool ResponseRules::mustAnnounceClose(const SentRequest& request) const {
    if (request.before.rejections && !request.mayBeRepeated) return true;
    const std::lock_guard lock(mutex_);
    return request.before.deliveries &&
           expectedDeliveries(known(request.endpoint, request.address)) != Pattern::distinct;
}

ResponseVerdict ResponseRules::judge(const SentRequest& request, const ArrivedResponse& response,
                                     int repeatedStatus, net::Deadline now) {
    const std::lock_guard lock(mutex_);
    Endpoint& endpoint = entry(request, now);
    const bool distinct = repeatedStatus == kDelivered && expectedDeliveries(endpoint) == Pattern::distinct;
    auto verdict = verdictOn(response, repeatedStatus != 0, distinct);
    // Reading on after a rejection would take as long as an attempt may, each time that the rejection is the
    // request's own, as it mostly is.
    if (verdict == ResponseVerdict::repeated && response.status != kDelivered && !request.closeAnnounced)
        verdict = ResponseVerdict::unattributable;
    learn(endpoint, request, response, repeatedStatus, verdict);
    return verdict;
}

ResponseVerdict ResponseRules::verdictOn(const ArrivedResponse& response, bool followsRepeated,
                                         bool distinct) {
    const auto withoutAnother = distinct ? ResponseVerdict::noneWasOwn : ResponseVerdict::repeatedWasOwn;
    if (response.completeness == Completeness::none) {
        if (!followsRepeated) return ResponseVerdict::own;
        // A connection that breaks may have lost the request's own response.
        return response.lastIo == net::IoResult::broken ? ResponseVerdict::noneWasOwn : withoutAnother;
    }
    if (response.resemblance == Resemblance::duplicate) return ResponseVerdict::repeated;
    // Noise, or a part of a duplicate, may follow the request's own response.
    const bool complete = response.completeness == Completeness::complete;
    if (followsRepeated && !distinct && !complete) return ResponseVerdict::repeatedWasOwn;
    return response.resemblance == Resemblance::none ? ResponseVerdict::own : ResponseVerdict::unattributable;
}

void ResponseRules::learn(Endpoint& endpoint, const SentRequest& request, const ArrivedResponse& response,
                          int repeatedStatus, ResponseVerdict verdict) {
    if (verdict == ResponseVerdict::own) {
        const bool comparable = response.completeness == Completeness::complete &&
                                response.status == kDelivered && request.before.deliveries;
        if (comparable)
            setDeliveries(endpoint, response.hasNewContent ? Pattern::distinct : Pattern::repeating);
        return;
    }
    // Nothing more came within the time of a response. However distinct responses have been, it is more
    // likely that two were the same than that a duplicate was sent and the request's own response is missing.
    const bool silent = response.completeness == Completeness::none &&
                        response.lastIo == net::IoResult::timedOut && repeatedStatus != 0;
    if (verdict != ResponseVerdict::repeatedWasOwn && !silent) return;
    if (repeatedStatus == kDelivered) setDeliveries(endpoint, Pattern::repeating);
    if (silent && request.closeAnnounced) endpoint.ignoresAnnouncedClose = true;
}

/// An endpoint whose deliveries have repeated is not taken for distinct any more.
void ResponseRules::setDeliveries(Endpoint& endpoint, Pattern pattern) {
    if (endpoint.deliveries != Pattern::repeating) endpoint.deliveries = pattern;
    distinctSeen_ = distinctSeen_ || pattern == Pattern::distinct;
    repeatingSeen_ = repeatingSeen_ || pattern == Pattern::repeating;
}

/// An endpoint of which nothing is known is taken to respond like the others, as far as they are alike.
ResponseRules::Pattern ResponseRules::expectedDeliveries(const Endpoint& endpoint) const {
    if (endpoint.deliveries != Pattern::unknown) return endpoint.deliveries;
    return distinctSeen_ && !repeatingSeen_ ? Pattern::distinct : Pattern::unknown;
}

bool ResponseRules::mayReuse(const SentRequest& request) const {
    const std::lock_guard lock(mutex_);
    return !request.closeAnnounced && !known(request.endpoint, request.address).ignoresAnnouncedClose;
}

void ResponseRules::unsolicited(std::string_view subject, int status, Resemblance resemblance) {
    if (status == 0 || status == kRequestTimeout || resemblance != Resemblance::none) return;
    violations_.count(Rule::ownResponse, subject,
                      "another response came later, with status " + std::to_string(status));
}

/// What is known of the endpoint at this address; nothing, if another address was in use.
ResponseRules::Endpoint ResponseRules::known(const std::string& endpoint, const std::string& address) const {
    const auto it = endpoints_.find(endpoint);
    return it != endpoints_.end() && it->second.address == address ? it->second : Endpoint{};
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
