// Decides which connection may carry a request, and whether a response belongs to the request that waits for
// it.
//
// HTTP/1.1 responses carry no reference to their request: a client matches them by their order alone. An
// endpoint, or a device on the way, may send a response twice, and the duplicate may arrive after the
// connection's next request has been written, however late. Taken for the response to that request, it
// reports a delivery or a rejection that did not happen. What proves a response to be the request's own:
//
// - it is the first response on its connection; or
// - it differs from all earlier ones there: a duplicate, or a part of one, has the bytes of its original.
//   What is cut or malformed, or has more behind it, may be such a part with other bytes behind it; there the
//   status must differ.
//
// A response that repeats an earlier one proves nothing, and neither does what comes behind it: an end of the
// connection may have crossed the request, and bytes that can't be parsed may be the request's own response.
// The client reads on, and a complete response that differs counts. Without one the outcome of the request is
// unknown.
//
// So that this is rare, a request goes to a used connection only if its response can be expected to differ:
//
// - Behind a delivery (status 200) the endpoint's deliveries must have been distinct so far. Where they may
//   repeat, the endpoint must say "Connection: close" in its response to an announced close, which tells
//   that response apart.
// - Behind a rejection the endpoint must say so for a request that may not be repeated. Any other request may
//   follow one.
//
// What is learned of an endpoint decides only this, never what a response means: an endpoint may be replaced
// by another one with the same name and address. No I/O. Safe for use by several threads.
#pragma once

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "http_client/response_history.hpp"
#include "http_client/response_reader.hpp"
#include "net/socket.hpp"
#include "rules/violations.hpp"

namespace laurelhaven::rules {

/// What a connection has carried so far.
struct CarriedResponses {
    bool deliveries = false;  ///< responses with status 200
    bool rejections = false;  ///< responses with another status
    bool any() const { return deliveries || rejections; }
};

/// A request that is to be sent, or has been.
struct SentRequest {
    std::string endpoint, address;
    CarriedResponses before;  ///< on its connection
    bool mayBeRepeated = true;
    bool closeAnnounced = false;
    net::Deadline deadline;  ///< until when its response is awaited
};

/// A response that came for it, or that did not come.
struct ArrivedResponse {
    http_client::Completeness completeness = http_client::Completeness::none;
    http_client::Resemblance resemblance = http_client::Resemblance::none;
    int status = 0;
    std::size_t content = 0;        ///< see http_client::contentHash()
    bool saysClose = false;         ///< it says that the connection closes
    bool mayBeginWithPart = false;  ///< see http_client::ResponseHistory::mayBeginWithPart()
};

/// What a response means for the request that waits on its connection.
enum class ResponseVerdict {
    own,            ///< it is the request's own, or none came
    repeated,       ///< it repeats an earlier response: read on
    noneProven,     ///< nothing more came behind a repeated response: the request's outcome is unknown
    unattributable  ///< it can't be said what belongs to the request: its outcome is unknown
};
/// The name used in logs and metrics.
std::string_view name(ResponseVerdict verdict);

class ResponseRules {
  public:
    explicit ResponseRules(Violations& violations) : violations_(violations) {}

    /// Whether a response to the request, on a connection that has carried `before`, can be expected to be
    /// provably its own.
    bool mayCarry(const SentRequest& request) const;
    /// Whether the request, before it is sent, must announce that its connection closes.
    bool mustAnnounceClose(const SentRequest& request) const;
    /// Judges a response, and learns from it how the endpoint responds. `repeatedStatus`: of the repeated
    /// response that this one follows; 0: none.
    ResponseVerdict judge(const SentRequest& request, const ArrivedResponse& response, int repeatedStatus,
                          net::Deadline now);
    /// Until when another response is awaited behind a repeated one with this status, of which `firstByteAt`
    /// was the first byte.
    static net::Deadline readOnUntil(const SentRequest& request, int repeatedStatus,
                                     net::Deadline firstByteAt);
    /// Whether the connection may be kept for another request after the request's own response.
    bool mayReuse(const SentRequest& request) const;
    /// Another process has the endpoint's name and address.
    void forget(const std::string& endpoint);
    /// A response arrived that no request waits for. Counts a violation if it is no duplicate: then the
    /// request that it belongs to was given another one's response. `subject`: the last message on the
    /// connection.
    void unsolicited(std::string_view subject, int status, http_client::Resemblance resemblance);

  private:
    /// How the deliveries of an endpoint compare with each other.
    enum class Pattern { unknown, distinct, repeating };
    struct Endpoint {
        std::string address;
        Pattern deliveries = Pattern::unknown;
        std::vector<std::size_t> recentDeliveries;  ///< their contents, the oldest first
        /// Whether its response says so where its request announces the close; empty: not known yet.
        std::optional<bool> saysClose;
        bool tellsByClose() const { return saysClose.value_or(false); }
        net::Deadline usedAt;
    };

    static ResponseVerdict verdictOn(const ArrivedResponse& response, bool followsRepeated);
    const Endpoint& known(const SentRequest& request) const;
    bool differsWithoutClose(const SentRequest& request, const Endpoint& endpoint) const;
    Pattern expectedDeliveries(const SentRequest& request, const Endpoint& endpoint) const;
    Endpoint& entry(const SentRequest& request, net::Deadline now);
    void learnFromOwn(Endpoint& endpoint, const SentRequest& request, const ArrivedResponse& response);
    void learnFromUnknown(Endpoint& endpoint, const SentRequest& request, int repeatedStatus);
    void learnFromDelivery(Endpoint& endpoint, std::size_t content);
    void setDeliveries(Endpoint& endpoint, Pattern pattern);

    Violations& violations_;
    mutable std::mutex mutex_;
    std::unordered_map<std::string, Endpoint> endpoints_;
    bool distinctSeen_ = false, repeatingSeen_ = false;  // at any endpoint
};

}  // namespace laurelhaven::rules
