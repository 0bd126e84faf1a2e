// Plays a scenario: stand-in partners and discovery, real sender processes, clients that hand messages in at
// their own pace whatever comes back. Tells what became of every message.
#pragma once

#include <json/value.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "load/loader.hpp"
#include "model/day.hpp"
#include "rig/scenario.hpp"
#include "standin/ledger.hpp"

namespace laurelhaven::lab {

/// A run while it goes on.
struct Live {
    std::string name;
    double seconds = 0, span = 0;
    load::Progress clients;
    Ledger::Counts ledger;
    struct Side {
        std::string name;
        double capacity = 0, limit = 0;
        std::size_t calls = 0, delivered = 0, refused = 0;
        bool down = false, fallen = false;
    };
    std::vector<Side> partners;
    std::vector<std::string> failed;  ///< what just went wrong, the newest last
};

struct Options {
    std::string program;            ///< the sender
    std::string settings;           ///< of ours, or empty
    std::string logLevel = "info";  ///< of the senders
    std::string folder;             ///< for state folders and logs
    /// Drains and waits are held to the rules' milliseconds. Off on a machine that may stall for longer:
    /// then a send counts 2 s after a drain was told, and waits are left to other tests.
    bool exact = true;
    bool keptList = true;  ///< false for a program that knows none: the configuration gives the old list
    std::function<void(const std::string&)> progress;  ///< a line now and then
    std::function<void(const Live&)> live;             ///< several times a second
};

struct Report {
    std::string name;
    std::size_t messages = 0;  ///< that clients wanted delivered
    std::size_t taken = 0, delivered = 0, failed = 0, returned = 0, refused = 0;
    std::size_t lost = 0;          ///< taken, and neither delivered nor ended by a notice
    std::size_t contradicted = 0;  ///< ended by two notices that differ
    Ledger::Counts ledger;
    std::vector<double> service;  ///< for each second of handing in, the worth delivered of that asked for
    double whole = 0;             ///< over the whole run
    model::Worth worth;
    struct Side {                           ///< of one partner
        double asked = 0, lost = 0;         ///< messages, and the worth they did not have
        std::size_t waiting = 0, full = 0;  ///< calls turned away for its limit, and for its queue
    };
    std::vector<Side> partners;
    double slotsOutShare = 0;  ///< of the time of handing in, with nearly all slots of all senders out
    load::Times times;         ///< of the answers at the senders' front
    double first10 = 0;        ///< over the first 10 s
    std::map<std::string, std::size_t> readyMs;  ///< by sender, at its last start
    double coreSeconds = 0;                      ///< of all senders that run at the end
    std::size_t residentMost = 0;                ///< of any of them, at any time
    std::size_t residentBytes = 0;               ///< of the first sender, at the end
    std::size_t cleanExits = 0, badExits = 0;
    /// Nothing that the rules forbid has happened.
    bool clean() const;
    std::string json() const;
    std::string text() const;
};

/// What a scenario says of one of its partners, by position, and of its load: also for the model.
PartnerModel partner(const Scenario& scenario, int i);
model::Service service(const Scenario& scenario);
model::Shape shape(const Scenario& scenario);

/// JSON in the form of all reports.
std::string written(const Json::Value& value);

/// Throws Bad or std::exception where it can't be played.
Report play(const Scenario& scenario, const Options& options);

}  // namespace laurelhaven::lab
