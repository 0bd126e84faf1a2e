#include "trace/block.hpp"

#include <type_traits>

#include "store/frame.hpp"

namespace laurelhaven::trace {
namespace {

enum Tag : char { kHeader = 'H', kRecords = 'B' };
enum Kind : std::uint64_t { kName, kArrival, kAnswer, kEnd, kDropped };

void append(std::string& bytes, std::uint64_t value) {  // LEB128: seven bits a byte, the low ones first
    for (; value >= 0x80; value >>= 7) bytes += static_cast<char>(value | 0x80);
    bytes += static_cast<char>(value);
}

// Small steps back as well as forth are short (zigzag).
std::uint64_t zigzag(std::int64_t value) {
    return (static_cast<std::uint64_t>(value) << 1) ^ (value < 0 ? ~std::uint64_t{0} : 0);
}
std::int64_t unzigzag(std::uint64_t value) {
    return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
}

class Cursor {
  public:
    explicit Cursor(std::string_view bytes) : left_(bytes) {}
    bool done() const { return left_.empty(); }
    bool good() const { return good_; }
    std::uint64_t varint() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            if (left_.empty()) break;
            const auto byte = static_cast<unsigned char>(left_.front());
            left_.remove_prefix(1);
            value |= std::uint64_t(byte & 0x7f) << shift;
            if (!(byte & 0x80)) return value;
        }
        good_ = false;
        return 0;
    }
    std::uint64_t fixed() {
        std::uint64_t value = 0;
        if (left_.size() < 8) return good_ = false, 0;
        for (int i = 0; i < 8; ++i) value |= std::uint64_t(static_cast<unsigned char>(left_[i])) << (8 * i);
        left_.remove_prefix(8);
        return value;
    }
    std::string text() {
        const auto size = varint();
        if (!good_ || size > kLongestName || size > left_.size()) return good_ = false, std::string();
        std::string value(left_.substr(0, size));
        left_.remove_prefix(size);
        return value;
    }
    void fail() { good_ = false; }

  private:
    std::string_view left_;
    bool good_ = true;
};

void fixed(std::string& bytes, std::uint64_t value) {
    for (int i = 0; i < 8; ++i) bytes += static_cast<char>(value >> (8 * i));
}

}  // namespace

const char* name(Verdict verdict) {
    constexpr const char* kNames[] = {"taken", "refused", "failed", "conflict"};
    return kNames[static_cast<int>(verdict)];
}
const char* name(Ending ending) {
    constexpr const char* kNames[] = {"delivered",     "error", "turned away", "timed out",
                                      "no connection", "reset", "cancelled",   "not sent"};
    return kNames[static_cast<int>(ending)];
}

Micros at(const Record& record) {
    return std::visit([](const auto& r) { return r.at; }, record);
}
void setAt(Record& record, Micros at) {
    std::visit([&](auto& r) { r.at = at; }, record);
}

void Block::varint(std::uint64_t value) { append(bytes_, value); }

void Block::time(Micros at) {
    // Unsigned: two times of a damaged trace may lie further apart than a signed number can tell.
    varint(zigzag(static_cast<Micros>(static_cast<std::uint64_t>(at) - static_cast<std::uint64_t>(last_))));
    last_ = at;
}

/// A name gets its number where the block meets it first; it stands in front of the record that uses it.
void Block::name(const std::string& text) {
    const std::string_view used = std::string_view(text).substr(0, kLongestName);
    if (!names_.emplace(used, names_.size()).second) return;
    varint(kName);
    varint(used.size());
    bytes_.append(used);
}

void Block::add(const Record& record) {
    if (bytes_.empty()) bytes_ = std::string(1, kRecords);
    const auto number = [&](const std::string& text) { return names_.at(text.substr(0, kLongestName)); };
    std::visit(
        [&](const auto& r) {
            using R = std::decay_t<decltype(r)>;
            if constexpr (std::is_same_v<R, Arrival>) {
                name(r.grade), name(r.tenant);
                varint(kArrival), time(r.at), fixed(bytes_, r.id);
                varint(number(r.grade)), varint(number(r.tenant)), varint(r.destination), varint(r.bytes);
                varint(r.deadlineMs), varint(static_cast<std::uint64_t>(r.verdict)), varint(r.retryAfterMs);
            } else if constexpr (std::is_same_v<R, Answer>) {
                name(r.endpoint);
                varint(kAnswer), time(r.at), fixed(bytes_, r.id);
                varint(r.destination), varint(number(r.endpoint)), varint(r.attempt);
                varint(static_cast<std::uint64_t>(r.ending)), varint(r.tookUs), varint(r.waitMs);
                varint(r.allowedMilli);
            } else if constexpr (std::is_same_v<R, End>) {
                varint(kEnd), time(r.at), fixed(bytes_, r.id), varint(r.failed);
            } else {
                varint(kDropped), time(r.at), varint(r.records);
            }
        },
        record);
}

std::string Block::take() {
    auto done = store::encodeFrame(kMark, bytes_);
    bytes_.clear();
    names_.clear();
    last_ = 0;
    return done;
}

std::string framed(const Header& header) {
    std::string payload(1, kHeader);
    append(payload, header.version);
    append(payload, std::min(header.sender.size(), kLongestName));
    payload += header.sender.substr(0, kLongestName);
    append(payload, zigzag(header.begun));
    return store::encodeFrame(kMark, payload);
}

std::optional<Payload> decode(std::string_view payload) {
    if (payload.empty()) return {};
    Cursor in(payload.substr(1));
    Payload result;
    if (payload[0] == kHeader) {
        Header header;
        header.version = in.varint();
        header.sender = in.text();
        header.begun = unzigzag(in.varint());
        // What a later version adds behind is passed over.
        if (!in.good()) return {};
        result.header = std::move(header);
        return result;
    }
    if (payload[0] != kRecords) return {};
    std::vector<std::string> names;
    Micros last = 0;
    const auto named = [&]() -> std::string {
        const auto n = in.varint();
        if (n >= names.size()) return in.fail(), std::string();
        return names[n];
    };
    // Times are added as unsigned numbers: a damaged block must not overflow.
    const auto time = [&] {
        last = static_cast<Micros>(static_cast<std::uint64_t>(last) +
                                   static_cast<std::uint64_t>(unzigzag(in.varint())));
        if (last > kFarthest || last < -kFarthest) in.fail();
        return last;
    };
    while (!in.done() && in.good()) {
        switch (in.varint()) {
            case kName: names.push_back(in.text()); break;
            case kArrival: {
                Arrival r;
                r.at = time(), r.id = in.fixed(), r.grade = named(), r.tenant = named();
                r.destination = in.varint(), r.bytes = in.varint(), r.deadlineMs = in.varint();
                const auto verdict = in.varint();
                r.retryAfterMs = in.varint();
                if (verdict > 3) return {};
                r.verdict = static_cast<Verdict>(verdict);
                if (in.good()) result.records.emplace_back(std::move(r));
                break;
            }
            case kAnswer: {
                Answer r;
                r.at = time(), r.id = in.fixed(), r.destination = in.varint(), r.endpoint = named();
                r.attempt = in.varint();
                const auto ending = in.varint();
                r.tookUs = in.varint(), r.waitMs = in.varint(), r.allowedMilli = in.varint();
                if (ending >= kEndings) return {};
                r.ending = static_cast<Ending>(ending);
                if (in.good()) result.records.emplace_back(std::move(r));
                break;
            }
            case kEnd: {
                End r;
                r.at = time(), r.id = in.fixed(), r.failed = in.varint() == 1;
                if (in.good()) result.records.emplace_back(r);
                break;
            }
            case kDropped: {
                Dropped r;
                r.at = time(), r.records = in.varint();
                if (in.good()) result.records.emplace_back(r);
                break;
            }
            default: return {};
        }
    }
    if (!in.good()) return {};
    return result;
}

}  // namespace laurelhaven::trace
