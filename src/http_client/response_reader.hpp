// Reads the responses to requests from a socket, for all clients in this program.
//
// Not thread-safe. Readers of different sockets share nothing.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "net/socket.hpp"
#include "overload/memory_pool.hpp"

namespace laurelhaven::http_client {

/// How much of a response has been received.
enum class Completeness {
    none,       ///< not a byte, or only interim (1xx) responses
    partial,    ///< it broke off: the connection ended, or its time or its size was up
    malformed,  ///< it can't be parsed
    complete
};
/// The name used in logs.
std::string_view name(Completeness completeness);

struct ReceivedResponse {
    http::Message message;  ///< as far as it could be parsed; status 0: not that far
    Completeness completeness = Completeness::none;
    net::IoResult lastIo = net::IoResult::done;  ///< how the last read ended
    std::string bytes;         ///< as received, without interim responses and what follows the response
    std::size_t leftover = 0;  ///< bytes that followed it
    std::optional<net::Deadline> firstByteAt;  ///< of the response itself
    bool untilClose = false;  ///< the body has no length and lasts until the connection closes

    bool isComplete() const { return completeness == Completeness::complete; }
    /// True if another request may be sent after this response.
    bool keepsAlive() const { return isComplete() && !untilClose && leftover == 0 && message.keepsAlive(); }
};

struct ReadLimits {
    http::Limits http;
    std::size_t totalBytes = 128 * 1024;  ///< a response with its interim responses
    /// What the responses of one reader occupy is accounted for here; without room they break off.
    overload::MemoryPool* memory = nullptr;
    /// Time from the first byte to the last one.
    std::chrono::milliseconds remainder = std::chrono::hours(1);
};

class ResponseReader {
  public:
    ResponseReader(int fd, const ReadLimits& limits)
        : fd_(fd),
          limits_(limits),
          parser_(http::Parser::Role::response, limits.http),
          memory_(limits.memory) {}

    /// Reads the next final response; interim responses before it are skipped. Ends at the deadline. Once it
    /// has returned one that is not complete, nothing more can be read.
    ReceivedResponse next(net::Deadline until);
    /// What has been received behind the last response that was returned.
    std::string_view following() const { return following_; }

  private:
    void skipInterimResponses(ReceivedResponse& response);
    void readUntilOver(ReceivedResponse& response, net::Deadline until);
    bool reserveMemory(const ReceivedResponse& response);

    int fd_;
    ReadLimits limits_;
    http::Parser parser_;
    std::string following_;  // bytes that followed the last response
    overload::MemoryReservation memory_;
    std::size_t previousBytes_ = 0;  // occupied by the response before, which the caller may keep
};

}  // namespace laurelhaven::http_client
