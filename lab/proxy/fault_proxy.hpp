// An HTTP/1.1 proxy on a loopback address that passes requests and responses on unchanged, and adds bytes of
// its own behind a response: a second copy of it, a part of one, or noise. They are written after a delay, or
// at the moment at which the connection's next request arrives, before that request is passed on.
//
// All public functions may be called from any thread.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "http/message.hpp"
#include "net/socket.hpp"

namespace laurelhaven::lab {

/// Bytes that the proxy writes behind a response.
struct AddedBytes {
    std::string bytes;
    /// After the response; empty: when the next request on the connection has arrived.
    std::optional<std::chrono::milliseconds> delay;
};

/// A response on its way to the client, and the request that it answers.
struct PassedResponse {
    const http::Message& request;
    int status = 0;
    std::string bytes;
    std::size_t numberOnConnection = 1;
};

class FaultProxy {
  public:
    using Rule = std::function<std::optional<AddedBytes>(const PassedResponse&)>;
    /// Listens at once. `rule` is asked for each response, on several threads.
    FaultProxy(const std::string& upstream, Rule rule);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    std::string address() const;
    /// How many times bytes were added so far.
    std::size_t additions() const { return additions_; }
    /// Connections accepted so far.
    std::size_t connections() const { return connections_; }

  private:
    class Link;
    void accept();

    net::Address upstream_;
    Rule rule_;
    net::Fd listener_;
    std::atomic<std::size_t> additions_{0}, connections_{0};
    std::mutex mutex_;
    std::list<std::unique_ptr<Link>> links_;
    std::thread acceptor_;
};

}  // namespace laurelhaven::lab
