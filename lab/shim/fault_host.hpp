// The playing side of the shim: a file that holds a FaultControl, mapped into this process, and the
// environment with which a sender is started to obey it.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/socket.hpp"
#include "shim/fault_control.hpp"

namespace laurelhaven::lab {

class FaultHost {
  public:
    /// Creates the file; throws std::runtime_error where it can't.
    FaultHost(std::string path, std::string shim) : path_(std::move(path)), shim_(std::move(shim)) {
        const net::Fd file(open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
        if (!file || ftruncate(file.get(), sizeof(FaultControl)) != 0)
            throw std::runtime_error("can't create " + path_);
        void* memory = mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file.get(), 0);
        if (memory == MAP_FAILED) throw std::runtime_error("can't map " + path_);
        control_ = new (memory) FaultControl;
    }
    ~FaultHost() { munmap(control_, sizeof(FaultControl)); }
    FaultHost(const FaultHost&) = delete;
    FaultHost& operator=(const FaultHost&) = delete;

    FaultControl& control() { return *control_; }
    /// Variables for the environment of a process that is to obey.
    std::vector<std::string> environment() const {
        // A sanitizer's own library wants to be first, and need not be.
        return {"LD_PRELOAD=" + shim_, std::string(kFaultControlVariable) + "=" + path_,
                "ASAN_OPTIONS=verify_asan_link_order=0"};
    }

  private:
    std::string path_, shim_;
    FaultControl* control_ = nullptr;
};

}  // namespace laurelhaven::lab
