// The shim: system calls of the sender's process that fail as Linux documents, and a wall clock that steps,
// as a FaultControl in shared memory says. Loaded with LD_PRELOAD by the laboratory and by tests; the sender
// is the production binary.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>

#include "shim/fault_control.hpp"

namespace {

using laurelhaven::lab::CallFault;
using laurelhaven::lab::FaultControl;

FaultControl* mapControl() {
    const char* path = std::getenv(laurelhaven::lab::kFaultControlVariable);
    if (!path) return nullptr;
    const auto openat = reinterpret_cast<int (*)(int, const char*, int, ...)>(dlsym(RTLD_NEXT, "openat"));
    const int fd = openat(AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return nullptr;
    void* memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    return memory == MAP_FAILED ? nullptr : static_cast<FaultControl*>(memory);
}

FaultControl* control() {
    static FaultControl* const mapped = mapControl();
    return mapped;
}

std::uint64_t draw() {
    thread_local std::uint64_t state = control()->seed.fetch_add(0x9e3779b97f4a7c15);
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

/// True when this call is to fail; errno is set then.
bool fails(CallFault FaultControl::*kind) {
    FaultControl* all = control();
    if (!all) return false;
    CallFault& fault = all->*kind;
    const int permille = fault.permille;
    if (permille <= 0 || static_cast<int>(draw() % 1000) >= permille) return false;
    ++fault.injected;
    errno = fault.error;
    return true;
}

template <class Function>
Function real(const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

/// A file of the state folder, not the log or a socket.
bool isKeptFile(int fd) {
    struct stat found {};
    return fd > 2 && fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
}

bool inStateFolder(const char* path) {
    const char* folder = std::getenv("BALANCER_STATE");
    return folder && path && std::string_view(path).substr(0, std::string_view(folder).size()) == folder;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* at) noexcept {
    static const auto libc = real<int (*)(clockid_t, timespec*)>("clock_gettime");
    const int result = libc(clock, at);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) && control())
        at->tv_sec += control()->wallOffsetMs / 1000;
    return result;
}

int gettimeofday(timeval* at, void* zone) noexcept {
    static const auto libc = real<int (*)(timeval*, void*)>("gettimeofday");
    const int result = libc(at, zone);
    if (result == 0 && control()) at->tv_sec += control()->wallOffsetMs / 1000;
    return result;
}

time_t time(time_t* at) noexcept {
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

ssize_t write(int fd, const void* bytes, size_t size) {
    static const auto libc = real<decltype(&write)>("write");
    if (!control() || !isKeptFile(fd)) return libc(fd, bytes, size);
    if (fails(&FaultControl::interrupted)) return -1;
    if (fails(&FaultControl::diskWrite)) {
        const int error = errno;
        if (size > 1 && static_cast<int>(draw() % 1000) < control()->halfWrites)
            return libc(fd, bytes, 1 + draw() % (size - 1));
        errno = error;
        return -1;
    }
    if (size > 1 && fails(&FaultControl::shortTransfer)) return libc(fd, bytes, 1 + draw() % (size - 1));
    return libc(fd, bytes, size);
}

ssize_t read(int fd, void* bytes, size_t size) {
    static const auto libc = real<decltype(&read)>("read");
    if (!control() || !isKeptFile(fd)) return libc(fd, bytes, size);
    if (fails(&FaultControl::interrupted)) return -1;
    if (size > 1 && fails(&FaultControl::shortTransfer)) size = 1;
    return libc(fd, bytes, size);
}

int ftruncate(int fd, off_t size) noexcept {
    static const auto libc = real<int (*)(int, off_t)>("ftruncate");
    if (control() && fails(&FaultControl::diskWrite)) return -1;
    return libc(fd, size);
}

int rename(const char* from, const char* to) noexcept {
    static const auto libc = real<int (*)(const char*, const char*)>("rename");
    if (control() && inStateFolder(to) && fails(&FaultControl::diskWrite)) return -1;
    return libc(from, to);
}

int open(const char* path, int flags, ...) {
    static const auto libc = real<int (*)(const char*, int, ...)>("open");
    va_list more;
    va_start(more, flags);
    const mode_t mode = flags & O_CREAT ? va_arg(more, mode_t) : 0;
    va_end(more);
    struct stat found {};
    const bool creates = (flags & O_CREAT) && (stat(path, &found) != 0 || (flags & O_TRUNC));
    if (creates && inStateFolder(path) && fails(&FaultControl::diskWrite)) return -1;
    return libc(path, flags, mode);
}

int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
    static const auto libc = real<decltype(&accept4)>("accept4");
    if (fails(&FaultControl::interrupted)) return -1;
    if (fails(&FaultControl::accept)) {
        const int error = errno;
        // The connection is gone with this one; the others leave it in the queue.
        if (error == ECONNABORTED) {
            const int lost = libc(fd, from, size, flags);
            if (lost < 0) return lost;
            // Its client is told so by a reset, as of any connection that was aborted.
            const linger reset{1, 0};
            setsockopt(lost, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(lost);
        }
        errno = error;
        return -1;
    }
    return libc(fd, from, size, flags);
}

int socket(int family, int type, int protocol) noexcept {
    static const auto libc = real<int (*)(int, int, int)>("socket");
    if (fails(&FaultControl::socket)) return -1;
    return libc(family, type, protocol);
}

int connect(int fd, const sockaddr* to, socklen_t size) {
    static const auto libc = real<decltype(&connect)>("connect");
    if (fails(&FaultControl::connect)) return -1;
    const int result = libc(fd, to, size);
    // The connect goes on in the background, as after any signal.
    if (result != 0 && errno == EINPROGRESS && fails(&FaultControl::interrupted)) return -1;
    return result;
}

ssize_t send(int fd, const void* bytes, size_t size, int flags) {
    static const auto libc = real<decltype(&send)>("send");
    if (fails(&FaultControl::interrupted)) return -1;
    if (fails(&FaultControl::brokenConnection)) {
        const int error = errno;
        shutdown(fd, SHUT_RDWR);
        errno = error;
        return -1;
    }
    if (size > 1 && fails(&FaultControl::shortTransfer)) size = 1 + draw() % (size - 1);
    return libc(fd, bytes, size, flags);
}

ssize_t recv(int fd, void* bytes, size_t size, int flags) {
    static const auto libc = real<decltype(&recv)>("recv");
    if (fails(&FaultControl::interrupted)) return -1;
    if (size > 1 && !(flags & (MSG_PEEK | MSG_TRUNC)) && fails(&FaultControl::shortTransfer)) size = 1;
    return libc(fd, bytes, size, flags);
}

int ppoll(pollfd* all, nfds_t count, const timespec* timeout, const sigset_t* mask) {
    static const auto libc = real<decltype(&ppoll)>("ppoll");
    const bool waits = !timeout || timeout->tv_sec != 0 || timeout->tv_nsec != 0;
    if (waits && fails(&FaultControl::interrupted)) return -1;
    return libc(all, count, timeout, mask);
}

int poll(pollfd* all, nfds_t count, int timeout) {
    static const auto libc = real<decltype(&poll)>("poll");
    if (timeout != 0 && fails(&FaultControl::interrupted)) return -1;
    return libc(all, count, timeout);
}
}
