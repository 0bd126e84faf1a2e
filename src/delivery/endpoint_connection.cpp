#include "delivery/endpoint_connection.hpp"

#include <atomic>
#include <utility>

#include "log/log.hpp"

namespace laurelhaven::delivery {
namespace {

std::uint64_t nextId() {
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

}  // namespace

EndpointConnection::EndpointConnection(std::string endpoint, std::string address, net::Fd fd)
    : id_(nextId()), endpoint_(std::move(endpoint)), address_(std::move(address)), fd_(std::move(fd)) {}

void EndpointConnection::requestSent(const std::string& message) {
    ++requests_;
    lastMessage_ = message;
}

void EndpointConnection::responseReceived(const http_client::ReceivedResponse& response) {
    ++responses_;
    (response.message.status == 200 ? carried_.deliveries : carried_.rejections) = true;
    history_.add(response.bytes);
}

void EndpointConnection::close(std::string_view reason) {
    if (!fd_) return;
    (log::debug() << "closing connection to an endpoint")
        .kv("connection", id_)
        .kv("endpoint", endpoint_)
        .kv("reason", reason)
        .kv("requests", requests_)
        .kv("responses", responses_)
        .kv("id", lastMessage_);
    fd_.reset();
}

}  // namespace laurelhaven::delivery
