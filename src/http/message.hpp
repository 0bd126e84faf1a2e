// HTTP/1.0 and HTTP/1.1 messages: an incremental parser, and functions that format requests and responses.
//
// No I/O and no clock. Not thread-safe: each parser is used by one thread at a time.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelhaven::http {

/// Size limits of a parsed message, in bytes.
struct Limits {
    std::size_t line = 4096;       ///< the first line, and each header line
    std::size_t headers = 16384;   ///< all header lines together
    std::size_t fields = 128;      ///< number of header fields: each takes far more memory than it has bytes
    std::size_t body = 64 * 1024;  ///< the Content-Length, a chunk, and the part held in Message::body
};

/// Compares names of headers and the like: ASCII letters of either case are equal.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Header fields in their order. Names are compared case-insensitively.
struct Headers {
    std::vector<std::pair<std::string, std::string>> all;
    /// The value of the first field with this name; null if there is none.
    const std::string* find(std::string_view name) const;
    /// Number of fields with this name.
    std::size_t count(std::string_view name) const;
    /// True if the comma-separated values of the field contain `word` (case-insensitive), as in
    /// "Connection: keep-alive, close".
    bool lists(std::string_view name, std::string_view word) const;
};

struct Message {
    std::string method, target;  ///< of a request
    int status = 0;              ///< of a response
    int minor = 1;               ///< minor version: 0 of HTTP/1.0, 1 of HTTP/1.1
    Headers headers;
    std::string body;
    /// True if the connection may carry another message after this one.
    bool keepsAlive() const;
};

/// Parses consecutive messages from a stream of bytes.
class Parser {
  public:
    enum class Role { request, response };
    enum class State { head, body, complete, bad };  ///< bad: malformed or over a limit, see errorStatus()

    explicit Parser(Role role, const Limits& limits = {}) : role_(role), limits_(limits) {}

    /// Adds bytes and parses them. Bytes after the end of the message are kept for the next one.
    State feed(std::string_view bytes);
    /// Reports that the peer has ended its sending, which completes a body without a length. Any other
    /// message that is incomplete becomes bad.
    State finish();
    State state() const { return state_; }
    /// In state bad: the HTTP status that describes the error (400, 413, 431 or 501).
    int errorStatus() const { return errorStatus_; }
    /// True once any byte of the message has been received.
    bool begun() const { return state_ != State::head || !expectsFirstLine_ || !buffer_.empty(); }
    /// In state complete: number of bytes received after the end of the message.
    std::size_t leftover() const { return buffer_.size(); }
    /// Bytes of heap memory that the message and the bytes behind it occupy.
    std::size_t allocatedBytes() const;
    /// Drops the message and everything received. To be used only if nothing more is parsed.
    void discard();
    /// The message as far as it is parsed. The caller may remove parts of a streamed body from it.
    Message& message() { return message_; }
    /// In state complete: discards the message and parses the next one from the remaining bytes.
    State next();

  private:
    enum class BodyPart { length, untilClose, chunkSize, chunkData, chunkEnd, trailer };

    State parse();
    State fail(int status);
    bool readLine(std::string_view& line, std::size_t most);
    bool parseFirstLine(std::string_view line);
    bool parseHeaderLine(std::string_view line);
    bool finishHead();
    bool readBody();

    Role role_;
    Limits limits_;
    State state_ = State::head;
    int errorStatus_ = 400;
    Message message_;
    std::string buffer_;
    std::size_t consumed_ = 0;  // parsed bytes at the front of buffer_
    bool expectsFirstLine_ = true;
    std::size_t headerBytes_ = 0, leadingBlankLines_ = 0;
    BodyPart bodyPart_ = BodyPart::length;
    std::size_t remaining_ = 0;  // bytes of the body or chunk still to come
};

/// Bytes of heap memory behind a string; 0 if it is short enough to be stored within the object.
std::size_t allocatedBytes(const std::string& text);
/// Empties a value and frees its memory. A string that is assigned an empty one keeps its capacity.
template <class T>
void release(T& value) {
    T empty;
    std::swap(value, empty);
}
/// Appends to a text of at most `most` bytes, which grows in a few steps only.
void appendWithin(std::string& text, std::string_view bytes, std::size_t most);
/// Parses a text of decimal digits only. Empty on any other text and on numbers above `most`.
std::optional<unsigned long long> parseUnsigned(std::string_view text, unsigned long long most);
/// Parses a finite, non-negative decimal number such as the seconds of Retry-After, which may be fractional
/// here.
std::optional<double> parseDecimal(std::string_view text);
/// Splits at any of the separators and trims blanks and tabs. Empty parts are left out.
std::vector<std::string_view> split(std::string_view text, std::string_view separators);

using Fields = std::vector<std::pair<std::string_view, std::string>>;
/// Formats an HTTP/1.1 request. Adds Host, and Content-Length for all methods but GET.
std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          const Fields& fields, std::string_view body);
/// Formats an HTTP/1.1 response. Adds Content-Length, and "Connection: close" unless `keepAlive`.
std::string formatResponse(int status, const Fields& fields, std::string_view body, bool keepAlive);

}  // namespace laurelhaven::http
