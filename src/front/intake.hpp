// What a client's request asks for, by the platform's protocol. Pure: a message in, a hand-in or a status
// out.
#pragma once

#include <string>
#include <variant>

#include "config/config.hpp"
#include "decisions/decisions.hpp"
#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::front {

struct Ready {};  ///< asks whether the sender serves
/// An answer that needs no decision.
struct Denied {
    int status = 400;
    std::string why;
};

/// `came`: when the request's first byte did; the client's time runs from before then.
std::variant<decisions::HandIn, Ready, Denied> intake(const config::Config& config, http::Message& request,
                                                      decisions::Moment came);

/// What becomes of a request that has come whole.
enum class Whole {
    answer,
    refuse,    ///< more came than one request
    turnAway,  ///< its client has ended its sending, and may have given up
    leave      ///< the connection is gone: nobody would hear an answer
};
/// `leftover`: bytes read behind it. `behind`: what the connection holds now. `toldToGo`: we ended its
/// reading.
Whole whole(std::size_t leftover, net::Unread behind, bool toldToGo);

}  // namespace laurelhaven::front
