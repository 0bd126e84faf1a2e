#include "soak/clients.hpp"

#include "http/message.hpp"

namespace laurelhaven::lab::soak {
namespace {

constexpr milliseconds kPatience{400};  // of a client for its answer
constexpr int kAccepted = 202;
constexpr std::size_t kRemembered = 16;  // of the requests that were accepted last, and first
constexpr int kHurriedPauseMs = 6, kHurriedPerRepeat = 12;
constexpr milliseconds kBadClientOwed{3000};  // within which a bad client gets its error or its close

}  // namespace

void Client::run(const std::atomic<bool>& handing) {
    for (int i = 0; handing; ++i) {
        const auto id = "n" + std::to_string(machine_.number()) + "-" + std::to_string(plan_.number) + "-" +
                        std::to_string(i);
        if (switches_.on(Kind::repeats, machine_.number())) repeatEarlier();
        const bool hurries = switches_.on(Kind::lateRepeats, machine_.number()).has_value();
        if (hurries && oneIn(chance_, kHurriedPerRepeat)) repeatFirst();
        const bool stopping = machine_.stopping();
        if (switches_.on(Kind::rudeClients, machine_.number()) && oneIn(chance_, 2)) {
            beRude(id);
        } else {
            auto& kept = kept_[between<std::size_t>(chance_, 0, kConnections - 1)];
            kept = handIn(id, std::move(kept));
            // A sender that was told to end hears of every connection that it leaves open.
            if (!stopping && oneIn(chance_, 12)) kept.reset();
        }
        const int longest = hurries ? kHurriedPauseMs : stopping ? 60 : plan_.longestPauseMs;
        const int least = hurries ? 0 : stopping ? 5 : 10;
        std::this_thread::sleep_for(milliseconds(between(chance_, least, longest)));
    }
}

const MessageClass& Client::anyClass() {
    return kClasses[between<std::size_t>(chance_, 0, kClasses.size() - 1)];
}

HandIn Client::message(const std::string& id, const MessageClass& its) {
    HandIn in;
    in.id = id;
    in.key = "key-" + id;
    in.body = std::string(between<std::size_t>(chance_, 0, 400), 'b') + id;
    in.sender = machine_.number();
    in.destination = between<std::uint64_t>(chance_, 1, plan_.partners);
    in.effect = its.effect;
    const bool urgent = oneIn(chance_, 10);
    const auto longest = static_cast<int>(its.longest.count());
    in.deadline = milliseconds(urgent ? between(chance_, 1, 30) : between(chance_, 300, longest));
    return in;
}

std::string Client::request(const HandIn& in, const MessageClass& its) const {
    return http::formatRequest("POST", "/" + std::string(its.name), "service.internal",
                               {{"Req-Id", in.id},
                                {"Req-Kind", its.name},
                                {"Req-Owner", "acme"},
                                {"Req-Deadline-Ms", std::to_string(in.deadline.count())},
                                {"Idempotency-Key", in.key},
                                {"X-Route-To", "dest=" + std::to_string(in.destination)}},
                               in.body);
}

net::Fd Client::connect() const {
    if (!machine_.takesNewConnections()) return {};
    net::Fd fd = net::tcpSocket();
    const auto address = net::parseAddress(machine_.listen());
    if (!fd || !net::connectBy(fd.get(), *address, Steady::now() + kPatience)) return {};
    return fd;
}

Client::Surroundings Client::surroundings() const {
    return {switches_.on(Kind::broken, machine_.number()).has_value(),
            switches_.on(Kind::crowd, machine_.number()).has_value()};
}

Client::Heard Client::exchange(int fd, const std::string& text, Moment until, bool endsSending) {
    Heard heard;
    heard.written = net::sendAll(fd, text, until) == net::IoResult::done;
    if (endsSending) net::shutdownWrite(fd);
    http::Parser parser(http::Parser::Role::response);
    while (heard.written && heard.io == net::IoResult::done &&
           parser.state() != http::Parser::State::complete) {
        std::string got;
        heard.io = net::receive(fd, got, until);
        parser.feed(got);
    }
    if (parser.state() != http::Parser::State::complete) return heard;
    heard.status = parser.message().status;
    heard.keepsAlive = parser.message().keepsAlive();
    return heard;
}

NoAnswer Client::lost(const Heard& heard, const Surroundings& before) const {
    const auto now = surroundings();
    if (before.networkFails || now.networkFails) return NoAnswer::faulty;
    if (heard.io == net::IoResult::timedOut) return NoAnswer::gaveUp;
    // Where there is no room, a new connection may be shut unread.
    const bool reset = !heard.written || heard.io == net::IoResult::broken || before.crowded || now.crowded;
    return reset ? NoAnswer::reset : NoAnswer::closed;
}

net::Fd Client::handIn(const std::string& id, net::Fd kept) {
    const auto& its = anyClass();
    auto in = message(id, its);
    const auto text = request(in, its);
    in.sentAt = Steady::now();
    const auto until = in.sentAt + kPatience;
    if (!kept && !machine_.takesNewConnections()) return {};  // nothing to say it on
    oracle_.handed(in);
    for (bool fresh = !kept;; fresh = true) {
        if (fresh) kept = connect();
        if (!kept) return oracle_.unanswered(id, NoAnswer::refused, fresh, Steady::now()), net::Fd{};
        const auto before = surroundings();
        const auto heard = exchange(kept.get(), text, until, false);
        if (heard.status > 0) {
            oracle_.answered(id, heard.status, Steady::now());
            if (heard.status == kAccepted) accepted_.push_back(text);
            if (accepted_.size() > kRemembered) accepted_.pop_front();
            // Pure messages may run again without restriction, and are not remembered for ever.
            const bool mayRunAgain = its.effect == Effect::pure;
            if (heard.status == kAccepted && !mayRunAgain && firstAccepted_.size() < kRemembered)
                firstAccepted_.push_back(text);
            if (!heard.keepsAlive) kept.reset();
            return kept;
        }
        kept.reset();
        if (!fresh && heard.io != net::IoResult::timedOut)
            continue;  // it crossed the end of a kept connection
        return oracle_.unanswered(id, lost(heard, before), fresh, Steady::now()), net::Fd{};
    }
}

void Client::beRude(const std::string& id) {
    const auto fd = connect();
    if (!fd) return;
    const auto& its = anyClass();
    auto in = message(id, its);
    const auto text = request(in, its);
    const auto half = text.substr(0, text.size() / 2);
    const auto until = Steady::now() + kPatience;
    switch (between(chance_, 0, 4)) {
        case 0: return sendHalfAndStay(id, fd.get(), half);
        case 1: net::sendAll(fd.get(), half, until); return;
        case 2: net::sendAll(fd.get(), "\x01\x02\x03 no request\r\n\r\n" + text, until); return;
        case 3: return sendAndLeave(in, fd.get(), text);
        default: return halfClose(in, fd.get(), text);
    }
}

void Client::repeatEarlier() {
    if (accepted_.empty()) return;
    const auto& text = accepted_[between<std::size_t>(chance_, 0, accepted_.size() - 1)];
    sendAgain(text);
}

void Client::repeatFirst() {
    if (firstAccepted_.empty()) return;
    sendAgain(firstAccepted_[between<std::size_t>(chance_, 0, firstAccepted_.size() - 1)]);
}

void Client::sendAgain(const std::string& text) const {
    if (const auto fd = connect()) exchange(fd.get(), text, Steady::now() + kPatience, false);
}

void Client::sendHalfAndStay(const std::string& id, int fd, const std::string& half) {
    net::sendAll(fd, half, Steady::now() + kPatience);
    net::waitReadable(fd, Steady::now() + kBadClientOwed);
    // What has not been accepted yet can't be shut.
    const auto around = surroundings();
    const bool mayWait = switches_.on(Kind::accept, machine_.number()) || machine_.stopping() ||
                         around.networkFails || around.crowded;
    if (net::unreadState(fd) == net::UnreadState::nothing && !mayWait)
        oracle_.violated("bad client", id + " with half a request heard nothing for 3 s at sender " +
                                           std::to_string(machine_.number()));
}

/// Its message counts for nothing.
void Client::sendAndLeave(HandIn& in, int fd, const std::string& text) {
    in.sentAt = Steady::now();
    oracle_.handed(in);
    net::sendAll(fd, text, in.sentAt + kPatience);
    oracle_.unanswered(in.id, NoAnswer::gaveUp, true, Steady::now());
}

/// A whole request, and an end of the client's sending behind it.
void Client::halfClose(HandIn& in, int fd, const std::string& text) {
    in.sentAt = Steady::now();
    oracle_.handed(in);
    const auto before = surroundings();
    const auto heard = exchange(fd, text, in.sentAt + kPatience, true);
    if (heard.status > 0) return oracle_.answered(in.id, heard.status, Steady::now());
    oracle_.unanswered(in.id, lost(heard, before), true, Steady::now());
}

}  // namespace laurelhaven::lab::soak
