// One sender of the soak: its process, the faults of its machine, the discovery that it knows, and the thread
// that restarts it, holds it up and reloads it, one trouble after another.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "rig/sender.hpp"
#include "shim/fault_host.hpp"
#include "soak/oracle.hpp"
#include "soak/switches.hpp"
#include "standin/discovery.hpp"

namespace laurelhaven::lab::soak {

/// How long a planned restart waits for the process before it kills: the platform's earliest.
inline constexpr milliseconds kKillAfterTerm{3700};

class Machine {
  public:
    /// `killAfterTerm` may be longer where the machine that plays may stall.
    Machine(std::size_t number, SenderPlan plan, const std::string& shim, std::uint64_t seed,
            std::unique_ptr<Discovery> discovery, std::unique_ptr<Discovery> elsewhere, Oracle& oracle,
            const Switches& switches, milliseconds killAfterTerm, bool residentMemoryCounts);
    ~Machine();

    /// Throws std::runtime_error where the sender does not get ready.
    void start();
    /// A trouble of the process, which has its turn once those before it are over.
    void enqueue(const Trouble& trouble);
    /// What lets an address pass to another partner, for troubles that want it. `parameter`: the trouble's.
    void setTakeover(std::function<void(std::int64_t parameter)> takeOver) {
        takeOver_ = std::move(takeOver);
    }
    /// Waits until all of them are over.
    void finishTroubles();
    /// The last stop, once everything is settled.
    void stop();

    /// Told to end, and not gone yet: clients send on whatever stays open.
    bool stopping() const { return stopping_; }
    /// Clients open no new connections from a while after the signal to end on.
    bool takesNewConnections() const;
    const std::string& listen() const { return process_.plan().listen; }
    std::size_t number() const { return number_; }
    const SenderProcess& process() const { return process_; }
    FaultControl& control() { return faults_.control(); }
    std::vector<Discovery*> discoveries() const { return {discovery_.get(), elsewhere_.get()}; }

  private:
    void drive();
    void play(const Trouble& trouble);
    void playSeries(const Trouble& trouble);
    void reload(const Trouble& trouble);
    void holdUp(milliseconds span);
    void startBehindTakeover(const Trouble& trouble);
    void restartByKill(milliseconds down);
    void restartByTerm(milliseconds down, bool twice);
    void reloads(int times);
    void kill();
    void terminate();
    /// The peak of the process that runs, and its files, against its limit.
    void checkMemory();
    /// Waits for the end behind a SIGTERM, and kills where it does not come.
    void awaitEnd(Moment signalled);
    void begin();
    bool unwritable() const { return switches_.on(Kind::disk, number_).has_value(); }
    std::string name() const { return "sender " + std::to_string(number_); }

    std::size_t number_;
    FaultHost faults_;
    SenderProcess process_;
    std::unique_ptr<Discovery> discovery_, elsewhere_;
    Oracle& oracle_;
    const Switches& switches_;
    milliseconds killAfterTerm_;
    bool residentMemoryCounts_;
    std::function<void(std::int64_t)> takeOver_;
    bool moved_ = false;  // to `elsewhere_`; the driver's
    std::atomic<bool> stopping_{false};
    std::atomic<Moment> signalledAt_{Moment{}};
    std::mutex queueMutex_;
    std::condition_variable due_;
    std::deque<Trouble> queue_;
    bool over_ = false;
    std::thread driver_;
};

}  // namespace laurelhaven::lab::soak
