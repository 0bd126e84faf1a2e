// File system calls that fail on demand, in place of the C library's, for the test program that includes this
// (once). A test arms a failure; the call consumes it, or keeps failing until it is disarmed.
#pragma once

#include <dlfcn.h>
#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>

namespace faults {

/// One kind of call: how many of the next calls fail, with which error.
struct Failure {
    std::atomic<int> calls{0};
    std::atomic<int> error{0};

    void arm(int errorNumber, int nextCalls = 1 << 30) {
        error = errorNumber;
        calls = nextCalls;
    }
    void disarm() { calls = 0; }
    /// True when this call is to fail; errno is set then.
    bool take() {
        if (calls <= 0) return false;
        --calls;
        errno = error;
        return true;
    }
};

inline Failure writeFailure, readFailure, truncateFailure, renameFailure;
/// Bytes of a failing write that reach the file all the same.
inline std::atomic<std::size_t> writtenBeforeFailure{0};

template <class Function>
Function libc(const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

}  // namespace faults

extern "C" ssize_t write(int fd, const void* bytes, size_t size) {
    static const auto real = faults::libc<decltype(&write)>("write");
    if (fd <= 2) return real(fd, bytes, size);
    if (faults::writeFailure.calls > 0) {
        const auto part = std::min(faults::writtenBeforeFailure.load(), size);
        if (part > 0) {  // the first bytes get through, and the next call fails
            faults::writtenBeforeFailure = 0;
            return real(fd, bytes, part);
        }
    }
    if (faults::writeFailure.take()) return -1;
    return real(fd, bytes, size);
}

extern "C" ssize_t read(int fd, void* bytes, size_t size) {
    static const auto real = faults::libc<decltype(&read)>("read");
    if (fd > 2 && faults::readFailure.take()) return -1;
    return real(fd, bytes, size);
}

extern "C" int ftruncate(int fd, off_t size) noexcept {
    static const auto real = faults::libc<int (*)(int, off_t)>("ftruncate");
    if (faults::truncateFailure.take()) return -1;
    return real(fd, size);
}

extern "C" int rename(const char* from, const char* to) noexcept {
    static const auto real = faults::libc<int (*)(const char*, const char*)>("rename");
    if (faults::renameFailure.take()) return -1;
    return real(from, to);
}
