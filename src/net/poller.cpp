#include "net/poller.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

namespace laurelhaven::net {
namespace {

constexpr std::size_t kMaxEvents = 64;
constexpr std::chrono::milliseconds kMaxWait{60'000};

epoll_event eventOf(Interest interest, void* tag) {
    epoll_event event{};
    if (interest == Interest::readable) event.events = EPOLLIN | EPOLLRDHUP;
    if (interest == Interest::writable) event.events = EPOLLOUT;
    event.data.ptr = tag;
    return event;
}

}  // namespace

Poller::Poller() : epoll_(epoll_create1(EPOLL_CLOEXEC)), wakeEvent_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (!epoll_ || !wakeEvent_ || !add(wakeEvent_.get(), Interest::readable, this))
        throw std::system_error(errno, std::generic_category(), "cannot wait for events");
}

bool Poller::add(int fd, Interest interest, void* tag) {
    auto event = eventOf(interest, tag);
    return epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) == 0;
}

void Poller::change(int fd, Interest interest, void* tag) {
    auto event = eventOf(interest, tag);
    epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &event);
}

void Poller::remove(int fd) { epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr); }

const std::vector<void*>& Poller::wait(Deadline until) {
    ready_.clear();
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Steady::now());
    const auto timeout = std::clamp(left, std::chrono::milliseconds(0), kMaxWait);
    std::array<epoll_event, kMaxEvents> events;
    const int found = epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()),
                                 static_cast<int>(timeout.count()));
    hadMore_ = found == static_cast<int>(events.size());
    for (int i = 0; i < found; ++i) {
        void* tag = events[static_cast<std::size_t>(i)].data.ptr;
        if (tag != this) {
            ready_.push_back(tag);
            continue;
        }
        eventfd_t count = 0;
        eventfd_read(wakeEvent_.get(), &count);
    }
    return ready_;
}

void Poller::wake() { eventfd_write(wakeEvent_.get(), 1); }

}  // namespace laurelhaven::net
