// Loopback places that nothing listens on just now.
#pragma once

#include <unistd.h>

#include <atomic>
#include <string>
#include <system_error>

#include "net/socket.hpp"

namespace check {

inline std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }

/// A port for a process that must be told one. Danger: a port that the system chose may be given to any
/// connection before its user listens there, and the user would not start. So it is one of those below the
/// range from which the system gives, and each test process begins at its own.
inline int freePort() {
    namespace net = laurelhaven::net;
    constexpr int kFirst = 12000, kPorts = 20000, kOfOneProcess = 61;
    static std::atomic<int> next{getpid() % kPorts * kOfOneProcess};
    for (;;) {
        const int port = kFirst + next++ % kPorts;
        try {
            return net::localPort(net::listenOn(*net::parseAddress(local(port)), 1).get());
        } catch (const std::system_error&) {
            // Somebody has it.
        }
    }
}
inline std::string freeAddress() { return local(freePort()); }

}  // namespace check
