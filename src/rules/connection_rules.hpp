// The one place that decides what becomes of a client's connection: which may be closed to make room, and
// whether a request that has come whole is answered. Pure: facts in, a decision out.
#pragma once

#include <chrono>
#include <cstddef>

#include "net/socket.hpp"

namespace laurelhaven::rules {

/// What a connection is at.
enum class ConnectionPhase {
    fresh,      ///< nothing has come yet
    reading,    ///< in the middle of a request
    answering,  ///< a request has come whole
    idle,       ///< between requests
    draining,   ///< its last answer is written, and what still comes is dropped
    closed
};

/// How much room is worth: what is done with goes first.
enum class CloseScope { longIdle, all };

/// How soon a connection may be closed to make room for others: 0 not at all, the highest number first.
/// Clients that open connections and send nothing, or half a request, would take them all.
int closePriority(ConnectionPhase phase, std::chrono::nanoseconds age, bool askedToClose);
/// May a connection of that rank go now?
bool mayClose(int rank, CloseScope least);

/// What becomes of a request that has come whole.
enum class RequestDisposition {
    answer,
    rejectTrailingBytes,  ///< more came than one request
    askToRetry,           ///< its client has ended its sending, and may have given up
    drop                  ///< the connection is gone: nobody would hear an answer
};
/// `leftover`: bytes read behind it. `behind`: what the connection holds now. `askedToClose`: we ended its
/// reading.
RequestDisposition requestDisposition(std::size_t leftover, net::Unread behind, bool askedToClose);

}  // namespace laurelhaven::rules
