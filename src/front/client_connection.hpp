// One connection of a client: reads requests, has them answered and writes the responses, without ever
// waiting. Its owner calls it when the socket is ready or the deadline has passed.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "net/poller.hpp"
#include "net/socket.hpp"
#include "rules/connection_rules.hpp"

namespace laurelhaven::front {

inline constexpr const char* kRetryAfterSeconds = "0.3";  // where connections are short, or at a stop

/// The response to a request.
struct Response {
    int status = 0;
    http::Fields fields;
    std::string body;
    bool mayKeepAlive = true;
    std::string acceptedId;  ///< of the message that the request submitted, if it was accepted
};

/// What a connection needs of the server.
class RequestHandler {
  public:
    virtual ~RequestHandler() = default;
    virtual Response respond(http::Message& request, net::Deadline receivedAt) = 0;
    /// The response that accepted this message did not reach the client.
    virtual void responseLost(const std::string& acceptedId) = 0;
    /// Responses announce that the connection closes.
    virtual bool isStopping() const = 0;
    /// Connections that become idle are closed.
    virtual bool closesIdle() const = 0;
    /// How often a connection may be read before others have their turn.
    virtual int maxReads() const = 0;
};

/// Why a request is not taken: how it is answered, and how metrics and logs name it.
struct Rejection {
    int status = 0;
    std::string_view reason, text;
};

class ClientConnection {
  public:
    using Phase = rules::ConnectionPhase;

    ClientConnection(net::Fd fd, RequestHandler& handler, net::Deadline now);
    /// The socket has what interest() asks for, or failed. `arrivedSince`: what there is to read arrived
    /// after this; a request's time counts from then.
    void onReady(net::Deadline now, net::Deadline arrivedSince);
    /// deadline() has passed.
    void onDeadline(net::Deadline now, net::Deadline arrivedSince);
    /// Ends reading: a request already received completely is answered, then the connection closes.
    void askToClose();

    int fd() const { return fd_.get(); }
    Phase phase() const { return phase_; }
    net::Deadline phaseSince() const { return since_; }
    /// When bytes of the request were read last.
    net::Deadline lastReadAt() const { return lastReadAt_; }
    net::Deadline deadline() const { return deadline_; }
    bool isAskedToClose() const { return askedToClose_; }
    /// Bytes of heap memory that its request and its answer occupy.
    std::size_t allocatedBytes() const { return parser_.allocatedBytes() + http::allocatedBytes(output_); }
    /// Refuses the request that is being received, to free its memory.
    void refuseForMemory(net::Deadline now);
    /// Nothing more is to be done, and the owner is to destroy this, which closes the socket.
    bool isClosed() const { return phase_ == Phase::closed; }
    net::Interest interest() const {
        return output_.empty() ? net::Interest::readable : net::Interest::writable;
    }

  private:
    /// What follows once the output has been written.
    enum class AfterWrite { readOn, nextRequest, drain };

    void setPhase(Phase phase, net::Deadline now);
    void beginRequest(net::Deadline now, net::Deadline arrivedSince);
    void readInput(net::Deadline now, net::Deadline arrivedSince);
    bool readArrived(net::Deadline now, net::Deadline arrivedSince);
    void answerOrReject(net::Deadline now);
    void answer(net::Deadline now);
    void reject(const Rejection& rejection, net::Deadline now);
    void write(std::string text, AfterWrite after, net::Deadline now);
    void writeOutput(net::Deadline now);
    void outputWritten(net::Deadline now);
    void outputLost();
    void discardInput();
    void closeWithoutResponse(std::string_view reason);
    void close();

    const std::uint64_t id_;  // for the log
    net::Fd fd_;
    RequestHandler& handler_;
    http::Parser parser_{http::Parser::Role::request};
    Phase phase_ = Phase::fresh;
    net::Deadline since_;  // start of the phase
    net::Deadline lastReadAt_{};
    net::Deadline deadline_;    // of what the phase waits for
    net::Deadline receivedAt_;  // when the request began to arrive, at the earliest
    bool firstRequest_ = true, continued_ = false, askedToClose_ = false;
    std::string output_, acceptedId_;
    AfterWrite afterWrite_ = AfterWrite::readOn;
    std::size_t discardedBytes_ = 0;
};

}  // namespace laurelhaven::front
