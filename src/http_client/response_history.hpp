// The responses that one connection has carried, for comparison with the next one.
//
// HTTP/1.1 responses carry no reference to their request: a client matches them by their order alone. A
// duplicate of an earlier response shifts that order. Such a duplicate has the same bytes as the original,
// which is the only way to recognise it. Blank lines in front of a response, which the parser tolerates, are
// left out of the comparison.
//
// No I/O. Not thread-safe.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "http_client/response_reader.hpp"

namespace laurelhaven::http_client {

/// What a response, as far as it was received, has in common with an earlier one.
enum class Resemblance {
    none,       ///< it differs from all earlier ones, so it is no duplicate
    duplicate,  ///< it has the same bytes
    truncated,  ///< its bytes are the beginning of an earlier one
    spliced     ///< it begins like an earlier one and goes on with the beginning of a response
};
/// The name used in logs and metrics.
std::string_view name(Resemblance resemblance);

/// A hash of what a response says, whenever and on whatever connection: of its status, body and headers but
/// Connection and Date.
std::size_t contentHash(const http::Message& response);

class ResponseHistory {
  public:
    /// Adds a complete response. Of the last few different ones the first bytes are kept, of older ones a
    /// hash.
    void add(std::string_view bytes);
    Resemblance compare(std::string_view bytes) const;
    /// True if what this response says may have been said by a part of an earlier one, with other bytes
    /// behind it: an earlier one has the same status, and this one has not the form of a response throughout.
    /// `following`: what was received behind it.
    bool mayBeginWithPart(const ReceivedResponse& response, std::string_view following) const;
    bool empty() const { return responses_.empty(); }
    /// True if a further response could not be compared with all earlier ones.
    bool isFull() const;

  private:
    struct Response {
        std::string beginning;
        std::size_t size, hash;
    };
    bool hasStatusOf(std::string_view bytes) const;
    bool hasHeadOf(std::string_view bytes) const;
    static Resemblance compare(const Response& earlier, std::string_view bytes);
    static bool isDuplicate(const Response& earlier, std::string_view bytes);

    std::deque<Response> responses_;               // the oldest first
    std::vector<std::size_t> olderResponses_;      // hashes of those that are not in responses_ any more
    std::set<std::string, std::less<>> statuses_;  // the beginnings of status lines, up to the code
    std::set<std::size_t> heads_;                  // hashes of heads
};

}  // namespace laurelhaven::http_client
