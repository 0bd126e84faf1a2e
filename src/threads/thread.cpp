#include "threads/thread.hpp"

#include <cstdlib>
#include <exception>
#include <memory>
#include <system_error>
#include <utility>

#include "log/log.hpp"

namespace laurelhaven::threads {
namespace {

// Hundreds of threads must fit into the sender's memory, of which only the touched pages of a stack count.
// Stack frames are larger under the sanitizers.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kStackBytes = 1024 * 1024;
#else
constexpr std::size_t kStackBytes = 192 * 1024;
#endif

struct Start {
    std::string name;
    std::function<void()> body;
};

void* run(void* argument) {
    const std::unique_ptr<Start> start(static_cast<Start*>(argument));
    pthread_setname_np(pthread_self(), start->name.substr(0, 15).c_str());
    try {
        start->body();
    } catch (const std::exception& e) {
        // Without this thread the sender would look healthy and do only part of its work. Ending the process
        // loses nothing: the journal holds every message and notice that is pending.
        log::error() << "thread " << start->name << " died: " << e.what();
        std::abort();
    }
    return nullptr;
}

}  // namespace

Thread::Thread(const std::string& name, std::function<void()> body) {
    auto start = std::make_unique<Start>(Start{name, std::move(body)});
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, kStackBytes);
    const int error = pthread_create(&handle_, &attributes, run, start.get());
    pthread_attr_destroy(&attributes);
    if (error) throw std::system_error(error, std::generic_category(), "thread " + name);
    start.release();
    running_ = true;
}

Thread::Thread(Thread&& other) noexcept
    : handle_(other.handle_), running_(std::exchange(other.running_, false)) {}

Thread& Thread::operator=(Thread&& other) noexcept {
    if (this != &other) {
        join();
        handle_ = other.handle_;
        running_ = std::exchange(other.running_, false);
    }
    return *this;
}

void Thread::join() {
    if (std::exchange(running_, false)) pthread_join(handle_, nullptr);
}

}  // namespace laurelhaven::threads
