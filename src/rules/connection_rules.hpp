// Decisions about client connections: which ones may be closed to make room, and what to do with a request
// once it has been received completely. Pure functions without state; safe to call from any thread.
#pragma once

#include <chrono>
#include <cstddef>

#include "net/socket.hpp"

namespace laurelhaven::rules {

/// State of a client connection.
enum class ConnectionPhase {
    fresh,      ///< connected, nothing received yet
    reading,    ///< part of a request has been received
    answering,  ///< a complete request has been received
    idle,       ///< between requests
    draining,   ///< the last response has been written; further input is discarded
    closed
};

/// Which connections may be closed: only draining ones and those idle for kLongIdleAge (2 s), or any with a
/// priority above 0.
enum class CloseScope { longIdle, all };

/// How soon a connection may be closed to make room for others: 0 means never, the highest number goes first.
/// One that has sent nothing for kSilentAge (0.3 s) or half a request for kSlowRequestAge (0.6 s) may be
/// closed. Without this, clients that connect and send nothing, or half a request, would occupy all
/// connections.
int closePriority(ConnectionPhase phase, std::chrono::nanoseconds age, bool askedToClose);
/// Returns whether a connection with this close priority may be closed now.
bool mayClose(int priority, CloseScope scope);

/// What to do with a request that has been received completely.
enum class RequestDisposition {
    answer,
    rejectTrailingBytes,  ///< there are bytes after the request
    askToRetry,           ///< the client has ended its sending and may have given up
    drop                  ///< the connection is broken: a response would reach nobody
};
/// `leftover`: number of bytes read after the request. `unread`: what the socket holds now. `askedToClose`:
/// this side has ended reading on the connection.
RequestDisposition requestDisposition(std::size_t leftover, net::UnreadState unread, bool askedToClose);

}  // namespace laurelhaven::rules
