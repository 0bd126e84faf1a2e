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

void EndpointConnection::responseReceived(const http_client::ReceivedResponse& response) {
    ++responses_;
    history_.add(response.bytes);
}

void EndpointConnection::close(std::string_view reason, std::string_view message) {
    if (!fd_) return;
    auto line = log::debug();
    (line << "closing connection to an endpoint")
        .kv("connection", id_)
        .kv("endpoint", endpoint_)
        .kv("reason", reason)
        .kv("requests", requests_)
        .kv("responses", responses_);
    if (!message.empty()) line.kv("id", message);
    fd_.reset();
}

}  // namespace laurelhaven::delivery
