#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace laurelhaven::http {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

bool isToken(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
               std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
    });
}

bool hasNoControlBytes(std::string_view text) {  // which could inject a second header
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
    });
}

// Texts that grow in many steps leave holes of all sizes in the heap, which then is several times as large as
// what is in use.
constexpr std::array<std::size_t, 2> kTextSteps{4096, 16384};  // then all that it may need
constexpr std::size_t kChunkCostBytes = 16;       // as which each chunk of a request counts, beside its size
constexpr std::size_t kAllocationOverhead = 16;   // of the allocator, with rounding
constexpr std::size_t kMaxLeadingBlankLines = 2;  // tolerated before a message
constexpr std::size_t kStatusCodeEnd = 13;        // length of "HTTP/1.1 200 "

const char* reasonPhrase(int status) {
    switch (status) {
        case 200: return "OK";
        case 202: return "Accepted";
        case 204: return "No Content";
        case 400: return "Bad Request";
        case 404: return "Not Found";
        case 405: return "Method Not Allowed";
        case 408: return "Request Timeout";
        case 409: return "Conflict";
        case 411: return "Length Required";
        case 413: return "Content Too Large";
        case 429: return "Too Many Requests";
        case 431: return "Request Header Fields Too Large";
        case 501: return "Not Implemented";
        case 503: return "Service Unavailable";
        default: return "Status";
    }
}

void appendFields(std::string& text, const Fields& fields) {
    for (const auto& [name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
}

}  // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

const std::string* Headers::find(std::string_view name) const {
    for (const auto& [key, value] : all)
        if (equalsIgnoreCase(key, name)) return &value;
    return nullptr;
}

std::size_t Headers::count(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&](const auto& field) { return equalsIgnoreCase(field.first, name); }));
}

bool Headers::lists(std::string_view name, std::string_view word) const {
    for (const auto& [key, value] : all) {
        if (!equalsIgnoreCase(key, name)) continue;
        for (const auto part : split(value, ","))
            if (equalsIgnoreCase(part, word)) return true;
    }
    return false;
}

bool Message::keepsAlive() const {
    if (headers.lists("Connection", "close")) return false;
    return minor > 0 || headers.lists("Connection", "keep-alive");
}

std::size_t allocatedBytes(const std::string& text) {
    static const std::size_t withinObject = std::string().capacity();
    return text.capacity() <= withinObject ? 0 : text.capacity() + kAllocationOverhead;
}

void appendWithin(std::string& text, std::string_view bytes, std::size_t most) {
    const auto needed = text.size() + bytes.size();
    if (needed > text.capacity()) {
        const auto* step = std::find_if(kTextSteps.begin(), kTextSteps.end(),
                                        [&](std::size_t capacity) { return capacity >= needed; });
        text.reserve(std::max(needed, step == kTextSteps.end() ? most : std::min(*step, most)));
    }
    text.append(bytes);
}

Parser::State Parser::feed(std::string_view bytes) {
    buffer_.append(bytes);
    parse();
    // Bodies are moved out of it at once, so a large buffer would mostly be empty.
    if (buffer_.empty()) release(buffer_);
    return state_;
}

std::size_t Parser::allocatedBytes() const {
    auto bytes = http::allocatedBytes(buffer_) + http::allocatedBytes(message_.body) +
                 http::allocatedBytes(message_.method) + http::allocatedBytes(message_.target) +
                 message_.headers.all.capacity() * sizeof(message_.headers.all.front());
    for (const auto& [name, value] : message_.headers.all)
        bytes += http::allocatedBytes(name) + http::allocatedBytes(value);
    return bytes;
}

void Parser::discard() {
    release(message_);
    release(buffer_);
    consumed_ = 0;
}

Parser::State Parser::finish() {
    if (state_ == State::body && bodyPart_ == BodyPart::untilClose) return state_ = State::complete;
    return state_ == State::complete ? state_ : fail(400);
}

Parser::State Parser::next() {
    release(message_);
    state_ = State::head;
    expectsFirstLine_ = true;
    headerBytes_ = leadingBlankLines_ = 0;
    return parse();
}

Parser::State Parser::fail(int status) {
    errorStatus_ = status;
    return state_ = State::bad;
}

/// Takes the next line without its line end. False without state bad: the line is still incomplete.
bool Parser::readLine(std::string_view& line, std::size_t most) {
    const auto end = buffer_.find('\n', consumed_);
    if ((end == std::string::npos ? buffer_.size() : end) - consumed_ > most) return fail(431), false;
    if (end == std::string::npos) return false;
    line = std::string_view(buffer_).substr(consumed_, end - consumed_);
    consumed_ = end + 1;
    // Servers that disagree on where a line ends see different requests in the same bytes (request
    // smuggling). A request's lines must therefore end with CR LF. A response is not passed on to another
    // server, so a bare LF is accepted there.
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    else if (role_ == Role::request) return fail(400), false;
    return true;
}

Parser::State Parser::parse() {
    std::string_view line;
    while (state_ == State::head && readLine(line, limits_.line)) {
        if (expectsFirstLine_) {
            if (line.empty() && ++leadingBlankLines_ <= kMaxLeadingBlankLines) continue;
            expectsFirstLine_ = false;
            if (!parseFirstLine(line)) return fail(400);
        } else if (line.empty()) {
            if (!finishHead()) return state_;
        } else {
            headerBytes_ += line.size() + 2;
            if (headerBytes_ > limits_.headers) return fail(431);
            if (!parseHeaderLine(line)) return fail(errorStatus_);
        }
    }
    // A response's first line is parsed before it has ended: its status code counts, an invalid line is
    // rejected.
    const auto incompleteLine = std::string_view(buffer_).substr(consumed_);
    if (state_ == State::head && expectsFirstLine_ && role_ == Role::response &&
        incompleteLine.size() >= kStatusCodeEnd && incompleteLine.find('\r') == std::string_view::npos &&
        !parseFirstLine(incompleteLine))
        return fail(400);
    while (state_ == State::body && readBody()) {
    }
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    return state_;
}

bool Parser::parseFirstLine(std::string_view line) {
    if (role_ == Role::request && !hasNoControlBytes(line)) return false;
    const auto version = [this](std::string_view text) {
        if (text != "HTTP/1.1" && text != "HTTP/1.0") return false;
        message_.minor = text.back() - '0';
        return true;
    };
    if (role_ == Role::response) {
        const auto space = line.find(' ');
        if (space == std::string_view::npos || !version(line.substr(0, space))) return false;
        const auto code = parseUnsigned(line.substr(space + 1, 3), 599);
        if (!code || *code < 100 || (line.size() > space + 4 && line[space + 4] != ' ')) return false;
        message_.status = static_cast<int>(*code);
        return true;
    }
    const auto firstSpace = line.find(' ');
    const auto lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || lastSpace == firstSpace) return false;
    message_.method = line.substr(0, firstSpace);
    message_.target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    return isToken(message_.method) && !message_.target.empty() &&
           message_.target.find(' ') == std::string::npos && version(line.substr(lastSpace + 1));
}

bool Parser::parseHeaderLine(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return false;
    const auto value = trimmed(line.substr(colon + 1));
    // A response's fields are not passed on to other programs, and an invalid byte in one of them does not
    // affect the others.
    if (role_ == Role::request && !hasNoControlBytes(value)) return false;
    if (message_.headers.all.size() >= limits_.fields) return errorStatus_ = 431, false;
    message_.headers.all.emplace_back(line.substr(0, colon), value);
    return true;
}

bool Parser::finishHead() {
    const auto& headers = message_.headers;
    const auto* coding = headers.find("Transfer-Encoding");
    const auto* length = headers.find("Content-Length");
    const int status = message_.status;
    // With two lengths the start of the next message is ambiguous, and a body could hide a request.
    const auto repeated = [&](std::string_view name) { return headers.count(name) > 1; };
    if ((coding && length) || repeated("Transfer-Encoding") || repeated("Content-Length"))
        return fail(400), false;
    if (coding && message_.minor == 0) return fail(400), false;
    state_ = State::body;
    if (role_ == Role::response && (status < 200 || status == 204 || status == 304)) {
        state_ = State::complete;
    } else if (coding) {
        if (!equalsIgnoreCase(*coding, "chunked")) return fail(501), false;
        bodyPart_ = BodyPart::chunkSize;
    } else if (length) {
        const auto size = parseUnsigned(*length, ~0ULL);
        if (!size) return fail(400), false;
        if (*size > limits_.body) return fail(413), false;
        bodyPart_ = BodyPart::length;
        remaining_ = static_cast<std::size_t>(*size);
    } else if (role_ == Role::request) {
        state_ = State::complete;
    } else {
        bodyPart_ = BodyPart::untilClose;
    }
    return true;
}

/// Parses one part of the body. False if more bytes are needed or the state has changed.
bool Parser::readBody() {
    const std::size_t available = buffer_.size() - consumed_;
    const auto take = [&](std::size_t most) {
        const std::size_t n = std::min(available, most);
        if (message_.body.size() + n > limits_.body) return fail(413), false;
        const auto bodyBytes =
            bodyPart_ == BodyPart::length ? message_.body.size() + remaining_ : limits_.body;
        appendWithin(message_.body, std::string_view(buffer_).substr(consumed_, n), bodyBytes);
        consumed_ += n;
        remaining_ -= std::min(remaining_, n);
        return true;
    };
    std::string_view line;
    switch (bodyPart_) {
        case BodyPart::length:
            if (take(remaining_) && remaining_ == 0) state_ = State::complete;
            return false;
        case BodyPart::untilClose: take(available); return false;
        case BodyPart::chunkSize: {
            if (!readLine(line, limits_.line)) return false;
            const auto digits = line.substr(0, line.find(';'));
            // Extensions count towards the limit of the headers. So does all that a client sends around its
            // data; a response may be a stream without an end, which holds none of it.
            headerBytes_ +=
                role_ == Role::request ? line.size() + kChunkCostBytes : line.size() - digits.size();
            if (headerBytes_ > limits_.headers) return fail(431), false;
            std::size_t size = 0;
            const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
            if (digits.empty() || error != std::errc{} || end != digits.data() + digits.size())
                return fail(400), false;
            if (size > limits_.body) return fail(413), false;
            remaining_ = size;
            bodyPart_ = size == 0 ? BodyPart::trailer : BodyPart::chunkData;
            return true;
        }
        case BodyPart::chunkData:
            if (available == 0 || !take(remaining_)) return false;
            if (remaining_ == 0) bodyPart_ = BodyPart::chunkEnd;
            return true;
        case BodyPart::chunkEnd:
            if (!readLine(line, limits_.line)) return false;
            if (!line.empty()) return fail(400), false;
            bodyPart_ = BodyPart::chunkSize;
            return true;
        case BodyPart::trailer:
            if (!readLine(line, limits_.line)) return false;
            headerBytes_ += line.size() + 2;
            if (headerBytes_ > limits_.headers) return fail(431), false;
            if (line.empty()) state_ = State::complete;
            return !line.empty();
    }
    return false;
}

std::optional<unsigned long long> parseUnsigned(std::string_view text, unsigned long long most) {
    unsigned long long number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size() || number > most) return {};
    return number;
}

std::optional<double> parseDecimal(std::string_view text) {
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return {};
    if (!std::isfinite(number) || number < 0) return {};
    return number;
}

std::vector<std::string_view> split(std::string_view text, std::string_view separators) {
    std::vector<std::string_view> words;
    while (!text.empty()) {
        const auto end = std::min(text.find_first_of(separators), text.size());
        const auto word = trimmed(text.substr(0, end));
        if (!word.empty()) words.push_back(word);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return words;
}

std::string formatRequest(std::string_view method, std::string_view target, std::string_view host,
                          const Fields& fields, std::string_view body) {
    std::string text;
    text.reserve(512 + body.size());
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
    appendFields(text, fields);
    if (method != "GET") text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return text.append("\r\n").append(body);
}

std::string formatResponse(int status, const Fields& fields, std::string_view body, bool keepAlive) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    appendFields(text, fields);
    if (!keepAlive) text += "Connection: close\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

}  // namespace laurelhaven::http
