#include "delivery/response_result.hpp"

#include <algorithm>
#include <chrono>

#include "log/log.hpp"
#include "net/socket.hpp"

namespace laurelhaven::delivery {
namespace {

using decisions::AttemptResult;
using decisions::AttemptStatus;
using http_client::ReceivedResponse;
using rules::MessageFate;
using rules::Reliability;

constexpr double kMaxWaitSeconds = 3600;
constexpr int kFirstFinalStatus = 200;
constexpr int kRequestTimeout = 408;

/// Returns a numeric field of the Srv-Load header ("name=value,...").
std::optional<double> loadField(std::string_view header, std::string_view name) {
    for (const auto part : http::split(header, ",")) {
        const auto equals = part.find('=');
        if (equals != std::string_view::npos && part.substr(0, equals) == name)
            return http::parseDecimal(part.substr(equals + 1));
    }
    return {};
}

void readLoad(const http::Message& response, AttemptResult& result) {
    const auto* load = response.headers.find("Srv-Load");
    if (!load) return;
    result.allowanceLeft = loadField(*load, "x0");
    result.allowedRate = loadField(*load, "x1");
    if (!result.allowanceLeft && !result.allowedRate)
        log::warning() << "ignored a Srv-Load header without a valid x0 or x1 field";
}

void readWait(const http::Message& response, AttemptResult& result) {
    const auto* wait = response.headers.find("Retry-After");
    if (!wait) return;
    const auto seconds = http::parseDecimal(*wait);
    if (!seconds) {
        log::warning() << "ignored a Retry-After header that is not a number";
        return;
    }
    result.wait = std::chrono::nanoseconds(static_cast<long>(std::min(*seconds, kMaxWaitSeconds) * 1e9));
}

/// All slots of this sender were in use: that says nothing about the destination.
bool saysEgressFull(const http::Message& response) {
    const auto* egressFull = response.headers.find("X-Egress-Full");
    return egressFull && *egressFull == "1";
}

AttemptStatus attemptStatusOf(const http::Message& response) {
    switch (response.status) {
        case rules::kDelivered: return AttemptStatus::delivered;
        case rules::kTooManyRequests: return AttemptStatus::rejected;
        case rules::kUnavailable:
            return saysEgressFull(response) ? AttemptStatus::notForwarded : AttemptStatus::rejected;
        case rules::kAttemptsExhausted:
        case rules::kMessageOver: return AttemptStatus::notForwarded;
        default: return AttemptStatus::error;
    }
}

/// The status of an attempt whose response broke off before its status.
AttemptStatus statusWithoutResponse(const ReceivedResponse& response) {
    if (response.lastIo == net::IoResult::closed || response.lastIo == net::IoResult::broken)
        return AttemptStatus::reset;
    const bool none = response.completeness == http_client::Completeness::none;
    return none && response.lastIo == net::IoResult::timedOut ? AttemptStatus::timedOut
                                                              : AttemptStatus::error;
}

/// Bytes that are no proven response may hold the status of one all the same.
void restrict(AttemptResult& result, const ReceivedResponse& response) {
    if (result.fate == MessageFate::open && rules::anyEndsAttempts(response.bytes))
        result.fate = MessageFate::endOwed;
}

AttemptResult resultOfPart(const ReceivedResponse& response, Reliability reliability) {
    auto result = response.message.status >= kFirstFinalStatus
                      ? interpretResponse(response.message, reliability)
                      : endedWith(statusWithoutResponse(response));
    restrict(result, response);
    return result;
}

}  // namespace

AttemptResult endedWith(AttemptStatus status) {
    AttemptResult result;
    result.status = status;
    return result;
}

AttemptResult interpretResponse(const http::Message& response, Reliability reliability) {
    const auto meaning = rules::meaningOf(response.status, reliability);
    auto result = endedWith(attemptStatusOf(response));
    result.responseStatus = response.status;
    result.fate = meaning.fate;
    result.unproven = reliability != Reliability::proven;
    // The destination's endpoints never reject a request as unknown: another server has the address.
    result.unexpectedServer = result.status == AttemptStatus::error && !result.unproven &&
                              response.status >= 400 && response.status < 500 &&
                              response.status != kRequestTimeout;
    if (result.status == AttemptStatus::rejected) readWait(response, result);
    readLoad(response, result);
    return result;
}

// A response may be malformed: noise, a head that can't be parsed or never ends, a wrong length, an endless
// body. The request has run by then, whatever the rest of its status line says, but for 200.
AttemptResult resultOfOwn(const ReceivedResponse& response) {
    auto result = response.isComplete() ? interpretResponse(response.message)
                                        : resultOfPart(response, Reliability::incomplete);
    result.answeredAt = response.firstByteAt;
    return result;
}

AttemptResult resultOfUnattributed(const ReceivedResponse& response,
                                   const std::optional<ReceivedResponse>& earlier) {
    auto result = resultOfPart(response, Reliability::unattributed);
    if (earlier) restrict(result, *earlier);
    if (result.status != AttemptStatus::delivered) return result;
    // A whole one may be the copy of an earlier delivery, which says nothing about the endpoint.
    result.status = response.isComplete() ? AttemptStatus::reset : AttemptStatus::error;
    result.stale = response.isComplete();
    return result;
}

AttemptResult resultWithoutOwn(AttemptStatus status, const ReceivedResponse& last,
                               const std::optional<ReceivedResponse>& earlier) {
    auto result = endedWith(status);
    restrict(result, last);
    if (!earlier) return result;
    restrict(result, *earlier);
    // The endpoint may have responded: the end of the connection says nothing about it.
    result.stale = status == AttemptStatus::reset;
    return result;
}

}  // namespace laurelhaven::delivery
