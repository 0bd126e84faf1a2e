// libFuzzer target: whatever comes over the stream of discovery, HTTP and lines, it can be merged, and what
// drained or went stays out unless something younger raised it.
#include "http/message.hpp"
#include "log/log.hpp"
#include "membership/membership.hpp"
#include "registry/registry.hpp"

using namespace laurelhaven;

extern "C" int LLVMFuzzerInitialize(int*, char***) {
    log::setLevel(log::Level::off);
    return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    trust::RecordMs now = 1'800'000'000'000;
    if (size == 0) return 0;
    const bool chunked = data[0] & 1;  // as the stream comes, or the lines alone
    const std::size_t step = 1 + (data[0] >> 1) % 64;
    const std::string_view bytes(reinterpret_cast<const char*>(data + 1), size - 1);
    http::Limits limits;
    limits.body = 1 << 16;
    http::Parser parser(http::Parser::Role::response, limits);
    registry::ListStreamParser lines(1 << 16);
    membership::Membership list({});
    const auto merge = [&](const listing::EndpointList& news) {
        list.applyUpdate(news, now += 100);
        for (const auto& e : news.endpoints) {
            if (e.status == listing::Status::serving) continue;
            const auto* entry = list.find(e.name);
            if (entry && news.endpoints.back().name == e.name &&
                list.assess(*entry, now).level != trust::TrustLevel::refuted)
                __builtin_trap();
        }
    };
    if (chunked) parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        const auto part = bytes.substr(at, step);
        if (chunked) {
            if (parser.feed(part) == http::Parser::State::bad) break;
            lines.feed(parser.message().body, merge, [&] { list.discoverySeen(now += 100, false); });
            parser.message().body.clear();
        } else {
            lines.feed(part, merge, [&] { list.discoverySeen(now += 100, false); });
        }
    }
    std::size_t graves = 0;
    for (const auto& entry : list.entries()) graves += entry->isTombstone();
    if (graves != list.tombstoneCount()) __builtin_trap();
    list.discoveryLost(now);
    list.expire(now + 86'400'000);
    return 0;
}
