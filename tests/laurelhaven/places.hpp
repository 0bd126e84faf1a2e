// Loopback places that nothing listens on just now.
#pragma once

#include <string>

#include "net/socket.hpp"

namespace check {

inline std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }
inline int freePort() {
    namespace net = laurelhaven::net;
    return net::portOf(net::listenOn(*net::address(local(0)), 1).get());
}
inline std::string freeAddress() { return local(freePort()); }

}  // namespace check
