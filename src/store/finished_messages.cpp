#include "store/finished_messages.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "store/store.hpp"

namespace laurelhaven::store {
namespace {

// FNV-1a, as std::hash may differ from one build to the next.
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

class Digest {
  public:
    Digest& text(std::string_view bytes) {
        for (const char byte : bytes) add(static_cast<unsigned char>(byte));
        return number(bytes.size());
    }
    Digest& number(std::uint64_t value) {
        for (int shift = 0; shift < 64; shift += 8) add(static_cast<unsigned char>(value >> shift));
        return *this;
    }
    std::uint64_t value() const { return value_; }

  private:
    void add(unsigned char byte) { value_ = (value_ ^ byte) * kFnvPrime; }
    std::uint64_t value_ = kFnvOffset;
};

}  // namespace

std::uint64_t contentDigest(std::string_view key, std::uint64_t destination, std::string_view messageClass,
                            std::string_view body) {
    return Digest().text(key).number(destination).text(messageClass).text(body).value();
}

std::uint64_t contentDigest(const StoredMessage& message) {
    return contentDigest(message.key, message.destination, message.messageClass, *message.body);
}

std::uint64_t textDigest(std::string_view text) { return Digest().text(text).value(); }

std::size_t FinishedMessages::position(int effect) {
    return static_cast<std::size_t>(std::clamp(effect, 0, kEffects - 1));
}

void FinishedMessages::add(FinishedMessage message) {
    erase(message.id);
    if (byId_.size() >= maxMessages_) evictOldest();
    auto& entries = byEffect_[position(message.effect)];
    entries.push_back(std::move(message));
    byId_[entries.back().id] = std::prev(entries.end());
}

void FinishedMessages::evictOldest() {
    for (auto& entries : byEffect_) {
        if (entries.empty()) continue;
        byId_.erase(entries.front().id);
        entries.pop_front();
        return;
    }
}

const FinishedMessage* FinishedMessages::find(const std::string& id) const {
    const auto it = byId_.find(id);
    return it == byId_.end() ? nullptr : &*it->second;
}

void FinishedMessages::erase(const std::string& id) {
    const auto it = byId_.find(id);
    if (it == byId_.end()) return;
    byEffect_[position(it->second->effect)].erase(it->second);
    byId_.erase(it);
}

std::list<FinishedMessage> FinishedMessages::latest(std::size_t most) const {
    std::list<FinishedMessage> found;
    for (auto entries = byEffect_.rbegin(); entries != byEffect_.rend(); ++entries)
        for (auto entry = entries->rbegin(); entry != entries->rend() && found.size() < most; ++entry)
            found.push_front(*entry);
    return found;
}

}  // namespace laurelhaven::store
