// A named thread with a small stack, which is joined on destruction.
#pragma once

#include <pthread.h>

#include <functional>
#include <string>

namespace laurelhaven::threads {

/// Movable. An exception of type std::exception that leaves the body is logged and ends the process.
class Thread {
  public:
    Thread() = default;
    /// Starts the thread. The name as the system shows it is cut to 15 bytes. Throws std::system_error if the
    /// thread cannot be created.
    Thread(const std::string& name, std::function<void()> body);
    ~Thread() { join(); }
    Thread(Thread&& other) noexcept;
    Thread& operator=(Thread&& other) noexcept;
    void join();
    bool joinable() const { return running_; }

  private:
    pthread_t handle_{};
    bool running_ = false;
};

}  // namespace laurelhaven::threads
