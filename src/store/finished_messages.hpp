// Remembers the messages that ended last, so that an id that comes again is answered in full: how each ended,
// and a digest of its content. The table is bounded: the oldest entries make room, those first that may be
// repeated anyway. EndedIds knows the others for longer. No I/O and no clock; not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace laurelhaven::store {

struct StoredMessage;

/// How a message ended.
enum class MessageEnd {
    delivered,  ///< or over, as its endpoint said
    abandoned,  ///< its client left without an answer; it may have run
    failed,     ///< the platform was told that it failed
    returned    ///< the platform was told that it may be submitted again
};

struct FinishedMessage {
    std::string id;
    MessageEnd end = MessageEnd::delivered;
    int effect = 0;  ///< as in StoredMessage::effect
    std::uint64_t contentDigest = 0;
    std::int64_t retryAfterMs = 0;  ///< for returned
};

/// Identifies what a client submitted under an id. Equal across process runs.
std::uint64_t contentDigest(std::string_view key, std::uint64_t destination, std::string_view messageClass,
                            std::string_view body);
std::uint64_t contentDigest(const StoredMessage& message);
/// Equal across process runs.
std::uint64_t textDigest(std::string_view text);

/// What is known of the message that an id named before.
struct KnownEnd {
    MessageEnd end = MessageEnd::delivered;
    int effect = 0;  ///< as in StoredMessage::effect; the strictest if it is no longer known
    std::int64_t retryAfterMs = 0;
    std::uint64_t contentDigest = 0, contentMask = 0;  ///< the bits of the digest that are known

    bool hasContent(std::uint64_t digest) const { return ((digest ^ contentDigest) & contentMask) == 0; }
};

class FinishedMessages {
  public:
    static constexpr std::size_t kMaxMessages = 4096;

    explicit FinishedMessages(std::size_t maxMessages = kMaxMessages) : maxMessages_(maxMessages) {}
    /// Adds a message, or replaces the entry of its id.
    void add(FinishedMessage message);
    /// The entry of this id; null if there is none. Valid until the next change.
    const FinishedMessage* find(const std::string& id) const;
    void erase(const std::string& id);
    std::size_t size() const { return byId_.size(); }
    /// The last `most` messages that ended, oldest first; those that must not be repeated go before others.
    std::list<FinishedMessage> latest(std::size_t most) const;

  private:
    static constexpr int kEffects = 3;
    using Entries = std::list<FinishedMessage>;
    static std::size_t position(int effect);
    void evictOldest();

    std::size_t maxMessages_;
    std::array<Entries, kEffects> byEffect_;  // oldest first
    std::unordered_map<std::string, Entries::iterator> byId_;
};

}  // namespace laurelhaven::store
