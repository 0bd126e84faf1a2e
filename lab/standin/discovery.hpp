// A discovery that can be up, silent, refusing, slow, cut, stale, lose its history, or name half a list; and
// the platform that takes the notices.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "listing/listing.hpp"
#include "standin/ledger.hpp"
#include "standin/server.hpp"

namespace laurelhaven::lab {

class Discovery {
  public:
    enum class Mode {
        up,
        silent,    ///< takes connections, and answers nothing
        refusing,  ///< nobody listens
        slow,      ///< each answer and line is late by some seconds
        cut,       ///< each stream breaks after some bytes
        stale,     ///< shows the list as it was when the mode began
        half,      ///< names half of its list, in whole lists
        empty      ///< names an empty list
    };
    static Mode mode(const std::string& word);  ///< throws std::invalid_argument

    explicit Discovery(const std::string& address);
    ~Discovery();
    void start();
    const std::string& address() const { return server_.address(); }

    /// Adds or changes an entry, at a new index.
    void tell(listing::Endpoint endpoint);
    void remove(const std::string& endpoint);
    void setMode(Mode mode);
    /// Forgets all versions: its list is as it was, and its index begins anew, low.
    void loseHistory();
    std::uint64_t index() const;
    /// The list as the configuration would give it.
    std::string whole() const;
    std::vector<listing::Endpoint> endpoints() const;
    /// Called when a change is written to a watch: the sender has been told.
    std::function<void(const listing::Endpoint&)> onTold;
    /// Called for each end that a sender tells.
    std::function<void(const std::string& id, const std::string& state)> onNotice;
    /// Responses to notices come once more, with the next request on their connection; that request is
    /// dropped unread.
    void setNoticeCopies(bool on) { noticeCopies_ = on; }

    /// Ends by notice: id to state, with how often it came.
    struct Notice {
        std::string state;
        int times = 0;
        bool contradicted = false;  ///< it came again with another state
    };
    std::map<std::string, Notice> notices() const;

  private:
    bool answer(const http::Message& message, Connection& connection);
    bool watch(std::uint64_t after, Connection& connection);
    bool takeNotices(const std::string& body, Connection& connection);
    /// Whether the connection has carried a response, which comes again now.
    bool owesCopy(const Connection& connection);
    std::string listText(bool whole, const std::vector<listing::Endpoint>& endpoints,
                         std::uint64_t index) const;
    std::vector<listing::Endpoint> shown() const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Mode mode_ = Mode::up;
    std::uint64_t index_ = 1, epoch_ = 0;
    std::map<std::string, listing::Endpoint> entries_;
    std::map<std::string, std::uint64_t> versions_;  // when each was changed last, deleted ones too
    std::map<std::string, listing::Endpoint> gone_;
    std::vector<listing::Endpoint> frozen_;
    std::uint64_t frozenIndex_ = 0;
    std::map<std::string, Notice> notices_;
    std::atomic<bool> noticeCopies_{false};
    std::set<std::uint64_t> carriedNotices_;  ///< numbers of connections
    Server server_;
    bool listening_ = false;
};

}  // namespace laurelhaven::lab
