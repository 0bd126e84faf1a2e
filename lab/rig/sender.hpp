// A real sender process: its configuration, its state folder, its life and its death.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

#include "rig/cpu_limiter.hpp"

namespace laurelhaven::lab {

struct SenderPlan {
    std::string program;   ///< the sender's program
    std::string settings;  ///< a settings file of ours, or empty
    std::string logLevel = "info";
    std::string folder;  ///< holds config.json, the state folder and the log
    std::string name, listen, discovery;
    std::string known;  ///< in discovery's form
    int senders = 1, self = 0;
    double cores = 1;                  ///< share of a core, as told
    CpuLimiter* cpuLimiter = nullptr;  ///< holds the process to that share, if there is one
    bool mayProbe = true;
    int diskMb = 3;
    int slots = 24, held = 400, sockets = 1024, memoryMb = 192, tenants = 1;
    std::chrono::milliseconds warmUp{14000};  ///< of a partner after an outage
    std::uint64_t seed = 1;
    std::string grades;                    ///< JSON of the classes, or empty for one keyed class
    std::vector<std::string> environment;  ///< further variables, as NAME=value
};

/// The name of a tenant, by its number in a load.
std::string tenant(std::uint32_t number);

class SenderProcess {
  public:
    explicit SenderProcess(SenderPlan plan);
    ~SenderProcess();
    SenderProcess(const SenderProcess&) = delete;
    SenderProcess& operator=(const SenderProcess&) = delete;

    /// Starts it and waits for its readiness. False where it ended or did not get ready in time.
    bool start(std::chrono::milliseconds within = std::chrono::seconds(10));
    void kill();
    /// SIGTERM. The exit status, or -1 where it had to be killed.
    int stop();
    /// Waits for its end, and kills it where it has not come until then. The exit status, or -1.
    int awaitEnd(std::chrono::steady_clock::time_point until);
    /// Writes the configuration anew, with discovery elsewhere, and sends SIGHUP.
    void moveDiscovery(const std::string& address);
    /// Sends a signal to the running process.
    void signal(int number);
    /// Stops the running process, or lets it go on.
    void hold(bool held);
    /// The configuration file's path, for whoever spoils it.
    std::string configPath() const { return config(); }
    /// True when the process has ended by itself.
    bool died();
    bool running() const { return pid_ > 0; }
    std::chrono::milliseconds readyAfter() const { return readyAfter_; }
    /// Bytes of resident memory, of the running process.
    std::size_t resident() const;
    /// The most that it ever had.
    std::size_t residentMost() const;
    /// Time of a core that the running process has taken, in seconds.
    double coreSeconds() const;
    const SenderPlan& plan() const { return plan_; }
    std::string state() const { return plan_.folder + "/state"; }
    std::string log() const { return plan_.folder + "/log"; }

  private:
    /// True if the process has ended and is not waited for yet.
    bool hasEnded() const;
    /// Waits for the end of the process, which is near. The status as of waitpid().
    int reap();
    std::string config() const { return plan_.folder + "/config.json"; }
    SenderPlan plan_;
    pid_t pid_ = -1;
    std::chrono::milliseconds readyAfter_{};
};

}  // namespace laurelhaven::lab
