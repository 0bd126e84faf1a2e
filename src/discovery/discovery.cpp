#include "discovery/discovery.hpp"

#include <utility>

namespace laurelhaven::discovery {

Location Discovery::location() const {
    const std::lock_guard lock(mutex_);
    return {address_, moved_.get_token()};
}

// Danger: a watch on the old address may stay open and silent for seconds, and notices would wait for answers
// there. Whoever is connected is told by the token; it runs outside the lock, since those told ask for the
// new place at once.
bool Discovery::moveTo(const net::Address& to) {
    std::stop_source old;
    {
        const std::lock_guard lock(mutex_);
        if (to.text == address_.text) return false;
        address_ = to;
        std::swap(old, moved_);
    }
    old.request_stop();
    return true;
}

}  // namespace laurelhaven::discovery
