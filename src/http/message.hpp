// HTTP/1.1 messages: a parser that takes bytes as they come, and writers. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelhaven::http {

struct Limits {
    std::size_t line = 4096;       ///< the first line, and each header line
    std::size_t headers = 16384;   ///< all header lines together
    std::size_t body = 64 * 1024;  ///< what is not yet taken of the body
};

/// Header names are compared without regard to case.
struct Headers {
    std::vector<std::pair<std::string, std::string>> all;
    const std::string* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// True where the header lists the word, as in "Connection: keep-alive, close".
    bool lists(std::string_view name, std::string_view word) const;
};

struct Message {
    std::string method, target;  ///< of a request
    int status = 0;              ///< of a response
    int minor = 1;               ///< HTTP/1.minor
    Headers headers;
    std::string body;
    /// Whether the connection may carry another message after this one.
    bool keepsAlive() const;
};

/// Reads one message after another from the bytes it is fed.
class Parser {
  public:
    enum class Role { request, response };
    enum class State { head, body, complete, bad };

    explicit Parser(Role role, const Limits& limits = {}) : role_(role), limits_(limits) {}

    /// Takes bytes in; those after the end of the message are kept for the next.
    State feed(std::string_view bytes);
    /// The other side ended its sending: a body without a length is complete by that.
    State finish();
    State state() const { return state_; }
    /// In state bad: the status that says why (400, 413, 431, 501).
    int errorStatus() const { return errorStatus_; }
    /// True once any byte of the message has come.
    bool begun() const { return state_ != State::head || !expectsFirstLine_ || !buffer_.empty(); }
    /// Bytes that came after the end of the message.
    std::size_t leftover() const { return buffer_.size(); }
    /// The message so far; a stream's body may be taken out of it piece by piece.
    Message& message() { return message_; }
    /// After complete: begins the next message, with the bytes left over.
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
    std::size_t consumed_ = 0;  // what of the buffer is used up
    bool expectsFirstLine_ = true;
    std::size_t headerBytes_ = 0, leadingBlankLines_ = 0;
    BodyPart bodyPart_ = BodyPart::length;
    std::size_t remaining_ = 0;
};

/// The digits and nothing else; nothing where it is more than `most`.
std::optional<unsigned long long> parseUnsigned(std::string_view text, unsigned long long most);
/// Whole or decimal, not negative, as Retry-After has it here.
std::optional<double> parseDecimal(std::string_view text);
/// The words between the separators, with blanks trimmed.
std::vector<std::string_view> split(std::string_view text, std::string_view separators);

using Fields = std::vector<std::pair<std::string_view, std::string>>;
std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          const Fields& fields, std::string_view body);
std::string formatResponse(int status, const Fields& fields, std::string_view body, bool keepAlive);

}  // namespace laurelhaven::http
