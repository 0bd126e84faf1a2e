// A connection to an endpoint: its socket, its id in the log, and what it has carried so far.
//
// Not thread-safe: it belongs to one worker at a time, or to the pool of idle connections.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http_client/response_history.hpp"
#include "http_client/response_reader.hpp"
#include "net/socket.hpp"
#include "rules/response_rules.hpp"

namespace laurelhaven::delivery {

class EndpointConnection {
  public:
    /// `fd`: a socket that is connected, or still to be connected, to the endpoint at this address. The
    /// endpoint is named as well as the address: a new endpoint may take over the address of one that has
    /// gone, and connections to the old endpoint must not carry requests to the new one.
    EndpointConnection(std::string endpoint, std::string address, net::Fd fd);

    std::uint64_t id() const { return id_; }
    const std::string& endpoint() const { return endpoint_; }
    const std::string& address() const { return address_; }
    int fd() const { return fd_.get(); }
    net::Deadline openedAt() const { return openedAt_; }
    bool isConnected() const { return connected_; }
    std::uint64_t requests() const { return requests_; }
    const rules::CarriedResponses& carried() const { return carried_; }
    bool hasCarriedResponse() const { return responses_ > 0; }
    /// The id of the last message that was sent on it.
    const std::string& lastMessage() const { return lastMessage_; }
    const http_client::ResponseHistory& history() const { return history_; }

    void setConnected() { connected_ = true; }
    void requestSent(const std::string& message);
    void responseReceived(const http_client::ReceivedResponse& response);
    /// Logs the close, and closes the socket.
    void close(std::string_view reason);

  private:
    std::uint64_t id_;
    std::string endpoint_, address_;
    net::Fd fd_;
    net::Deadline openedAt_ = net::Steady::now();
    bool connected_ = false;
    std::uint64_t requests_ = 0, responses_ = 0;
    rules::CarriedResponses carried_;
    std::string lastMessage_;
    http_client::ResponseHistory history_;
};

}  // namespace laurelhaven::delivery
