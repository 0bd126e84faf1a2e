#include "standin/discovery.hpp"

#include <json/value.h>
#include <json/writer.h>

#include <charconv>
#include <cstdio>
#include <stdexcept>

namespace laurelhaven::lab {

using std::chrono::milliseconds;

namespace {

constexpr int kAcknowledged = 204;

constexpr milliseconds kBeat{2000};
constexpr milliseconds kLate{3000};  // what a slow discovery takes
constexpr std::size_t kCutAfter = 200;

std::string chunk(std::string_view text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + std::string(text) + "\r\n";
}

}  // namespace

Discovery::Mode Discovery::mode(const std::string& word) {
    const std::map<std::string, Mode> words{
        {"up", Mode::up},   {"silent", Mode::silent}, {"refusing", Mode::refusing}, {"slow", Mode::slow},
        {"cut", Mode::cut}, {"stale", Mode::stale},   {"half", Mode::half},         {"empty", Mode::empty}};
    const auto it = words.find(word);
    if (it == words.end()) throw std::invalid_argument("no such mode of discovery: " + word);
    return it->second;
}

Discovery::Discovery(const std::string& address)
    : server_(address, [this](const http::Message& m, Connection& c) { return answer(m, c); }) {}

Discovery::~Discovery() {
    {
        const std::lock_guard lock(mutex_);
        changed_.notify_all();
    }
    server_.stop();
}

void Discovery::start() {
    server_.start();
    listening_ = true;
}

void Discovery::tell(listing::Endpoint endpoint) {
    const std::lock_guard lock(mutex_);
    versions_[endpoint.name] = ++index_;
    gone_.erase(endpoint.name);
    entries_[endpoint.name] = std::move(endpoint);
    changed_.notify_all();
}

void Discovery::remove(const std::string& endpoint) {
    const std::lock_guard lock(mutex_);
    const auto it = entries_.find(endpoint);
    if (it == entries_.end()) return;
    versions_[endpoint] = ++index_;
    gone_[endpoint] = it->second;
    gone_[endpoint].status = listing::Status::deleted;
    entries_.erase(it);
    changed_.notify_all();
}

void Discovery::setMode(Mode mode) {
    {
        const std::lock_guard lock(mutex_);
        if (mode == Mode::stale && mode_ != Mode::stale) {
            frozen_.clear();
            for (const auto& [name, e] : entries_) frozen_.push_back(e);
            frozenIndex_ = index_;
        }
        mode_ = mode;
        changed_.notify_all();
    }
    // Notices are answered also while discovery is down, unless nobody listens at all.
    if (mode == Mode::refusing) {
        server_.stop();
        listening_ = false;
    } else if (!listening_) {
        start();
    } else {
        server_.cut();
    }
}

void Discovery::loseHistory() {
    {
        const std::lock_guard lock(mutex_);
        index_ = 2;
        ++epoch_;
        for (auto& [name, version] : versions_) version = 1;
        gone_.clear();
        changed_.notify_all();
    }
    server_.cut();
}

std::uint64_t Discovery::index() const {
    const std::lock_guard lock(mutex_);
    return index_;
}

std::vector<listing::Endpoint> Discovery::endpoints() const {
    const std::lock_guard lock(mutex_);
    std::vector<listing::Endpoint> all;
    for (const auto& [name, e] : entries_) all.push_back(e);
    return all;
}

std::vector<listing::Endpoint> Discovery::shown() const {
    if (mode_ == Mode::stale) return frozen_;
    std::vector<listing::Endpoint> all;
    if (mode_ == Mode::empty) return all;
    for (const auto& [name, e] : entries_) all.push_back(e);
    if (mode_ == Mode::half) all.resize(all.size() / 2);
    return all;
}

std::string Discovery::listText(bool whole, const std::vector<listing::Endpoint>& endpoints,
                                std::uint64_t index) const {
    Json::Value list;
    list["index"] = Json::UInt64(index);
    list["snapshot"] = whole;
    list["endpoints"] = Json::arrayValue;
    for (const auto& e : endpoints) list["endpoints"].append(listing::toJson(e));
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, list);
}

std::string Discovery::whole() const {
    const std::lock_guard lock(mutex_);
    std::vector<listing::Endpoint> all;
    for (const auto& [name, e] : entries_) all.push_back(e);
    return listText(true, all, index_);
}

bool Discovery::answer(const http::Message& message, Connection& connection) {
    if (message.target == "/v1/notices") {
        if (owesCopy(connection))
            return connection.send(http::formatResponse(kAcknowledged, {}, "", true)), false;
        return takeNotices(message.body, connection);
    }
    Mode mode;
    {
        const std::lock_guard lock(mutex_);
        mode = mode_;
    }
    if (mode == Mode::silent) {
        while (connection.pause(milliseconds(100))) {
            const std::lock_guard lock(mutex_);
            if (mode_ != Mode::silent) break;
        }
        return false;  // whoever waited asks again
    }
    if (mode == Mode::slow && !connection.pause(kLate)) return false;
    if (message.target == "/registry/instances") {
        std::string text;
        std::vector<listing::Endpoint> told;
        {
            const std::lock_guard lock(mutex_);
            told = shown();
            text = listText(true, told, mode_ == Mode::stale ? frozenIndex_ : index_);
        }
        if (mode == Mode::cut) text.resize(std::min(text.size(), kCutAfter));
        if (!connection.send(http::formatResponse(200, {}, text, true)) || mode == Mode::cut) return false;
        if (onTold)
            for (const auto& e : told) onTold(e);
        return true;
    }
    const std::string watched = "/registry/instances?watch=1&after=";
    if (message.target.rfind(watched, 0) != 0)
        return connection.send(http::formatResponse(404, {}, "", true));
    std::uint64_t after = 0;
    std::from_chars(message.target.data() + watched.size(), message.target.data() + message.target.size(),
                    after);
    return watch(after, connection);
}

bool Discovery::watch(std::uint64_t after, Connection& connection) {
    if (!connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return false;
    std::uint64_t told = after, epoch = 0;
    Mode began;
    {
        const std::lock_guard lock(mutex_);
        epoch = epoch_;
        began = mode_;
    }
    bool first = true;
    for (;;) {
        std::string text;
        std::vector<listing::Endpoint> news;
        {
            std::unique_lock lock(mutex_);
            if (mode_ != began || epoch_ != epoch) return false;  // it is another discovery now
            const bool partial = mode_ == Mode::half || mode_ == Mode::empty || mode_ == Mode::stale;
            if (first && (after == 0 || partial)) {
                news = shown();
                told = mode_ == Mode::stale ? frozenIndex_ : index_;
                text = listText(true, news, told);
            } else if (told < index_ && !partial) {
                for (const auto& [name, version] : versions_) {
                    if (version <= told) continue;
                    const auto it = entries_.find(name);
                    if (it != entries_.end()) news.push_back(it->second);
                    else if (gone_.count(name)) news.push_back(gone_[name]);
                }
                told = index_;
                text = listText(false, news, told);
            } else if (!first) {
                // Waits for a change or the next beat, whichever is first.
                changed_.wait_for(lock, kBeat);
                if (mode_ != began || epoch_ != epoch) return false;
                if (told < index_ && !partial) continue;
            }
            first = false;
        }
        if (began == Mode::slow && !connection.pause(kLate)) return false;
        text += "\n";
        if (began == Mode::cut && text.size() > kCutAfter) {
            connection.send(chunk(text).substr(0, kCutAfter));
            return false;
        }
        if (!connection.send(chunk(text)) || !connection.open()) return false;
        if (onTold)
            for (const auto& e : news) onTold(e);
    }
}

bool Discovery::owesCopy(const Connection& connection) {
    const std::lock_guard lock(mutex_);
    const bool carried = !carriedNotices_.insert(connection.number()).second;
    return carried && noticeCopies_;
}

bool Discovery::takeNotices(const std::string& body, Connection& connection) {
    bool good = true;
    for (const auto line : http::split(body, "\n")) {
        if (line.empty()) continue;
        std::string why;
        const auto value = listing::parseJson(line, why);
        if (!value || !(*value)["id"].isString() || !(*value)["state"].isString()) {
            good = false;
            continue;
        }
        if (onNotice) onNotice((*value)["id"].asString(), (*value)["state"].asString());
        const std::lock_guard lock(mutex_);
        auto& notice = notices_[(*value)["id"].asString()];
        const auto state = (*value)["state"].asString();
        notice.contradicted = notice.contradicted || (notice.times > 0 && notice.state != state);
        notice.state = state;
        ++notice.times;
    }
    return connection.send(http::formatResponse(good ? kAcknowledged : 400, {}, "", true));
}

std::map<std::string, Discovery::Notice> Discovery::notices() const {
    const std::lock_guard lock(mutex_);
    return notices_;
}

}  // namespace laurelhaven::lab
