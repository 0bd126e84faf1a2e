#include "discovery/discovery.hpp"

#include <utility>

namespace laurelhaven::discovery {

Location Discovery::location() const {
    const std::lock_guard lock(mutex_);
    return {address_, moved_.get_token()};
}

// A watch on the old address could stay open and silent for seconds, and notices would wait for answers
// there. So the stop token tells the clients that are connected. Stop is requested outside the lock, because
// their callbacks ask for the new location at once.
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
