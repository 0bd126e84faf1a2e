// What the tests of responses share: a sender with a class of messages, and a destination for each cell of a
// table.
#pragma once

#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "program.hpp"

namespace check {

/// What a repeat of a message does, by its class.
enum class Effect { pure, keyed, unsafe };

/// The settings of a sender with that one class, and room for a whole table.
inline std::string settingsFor(Effect effect, int slots, int held) {
    auto text = settings(slots, held);
    const std::string usual = R"("effect":"token")";
    const std::string wanted = effect == Effect::pure    ? R"("effect":"pure")"
                               : effect == Effect::keyed ? usual
                                                         : R"("effect":"side_effect")";
    return text.replace(text.find(usual), usual.size(), wanted);
}

/// The same settings for one of so many senders.
inline std::string inFleetOf(int senders, std::string settingsText) {
    const std::string usual = R"("balancers":2)";
    return settingsText.replace(settingsText.find(usual), usual.size(),
                                R"("balancers":)" + std::to_string(senders));
}

/// The request that hands a message for this destination in.
inline std::string requestFor(const std::string& id, std::uint64_t destination, int deadlineMs,
                              const std::string& body = "body") {
    auto text = handIn(id, deadlineMs, body);
    const std::string usual = "dest=7";
    return text.replace(text.find(usual), usual.size(), "dest=" + std::to_string(destination));
}

/// Discovery's entries for a table: one endpoint for each cell, all at this address.
template <typename Cells>
std::string entriesFor(const Cells& cells, const std::string& address) {
    std::string entries;
    for (const auto& cell : cells)
        entries +=
            (entries.empty() ? "" : ",") + entry("e-" + cell.id, address, static_cast<int>(cell.destination));
    return entries;
}

/// Starts a sender that knows these endpoints, with settings of its own. `platformAddress`: where it reaches
/// the platform.
inline std::unique_ptr<Program> startWithSettings(const std::string& folder, Platform& platform,
                                                  const std::string& platformAddress,
                                                  const std::string& entries,
                                                  const std::string& settingsText) {
    platform.watch = list(9, true, entries) + "\n";
    auto program = std::make_unique<Program>(folder, platform, entries);
    program->end(SIGKILL);
    program->configure(configuration(local(program->port()), platformAddress, entries, settingsText));
    program->start();
    return program;
}

/// The body of the answer to a request, over a connection of its own; empty where none came.
inline std::string bodyOf(const Program& program, const std::string& request) {
    const auto fd = program.connection();
    net::sendAll(fd.get(), request, soon());
    http::Parser parser(http::Parser::Role::response);
    for (std::string got; parser.state() != http::Parser::State::complete; got.clear()) {
        if (net::receive(fd.get(), got, soon()) != net::IoResult::done) return {};
        parser.feed(got);
    }
    return parser.message().body;
}

/// The value of a series of the program's metrics, named without its prefix; -1 where there is none.
inline double metric(const Program& program, const std::string& series) {
    const auto text = bodyOf(program, "GET /metrics HTTP/1.1\r\n\r\n");
    const auto at = text.find("\nlaurelhaven_" + series + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(text.find(' ', at)));
}

/// Waits for something that has to come within the span. False if it does not.
inline bool within(milliseconds span, const std::function<bool()>& done) {
    for (const auto until = net::Steady::now() + span; !done();) {
        if (net::Steady::now() > until) return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

}  // namespace check
