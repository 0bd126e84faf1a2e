// What a sender's process under test is to meet from its operating system: shared memory between whoever
// plays the faults and the shim that is loaded into the process (LD_PRELOAD). All fields may be changed at
// any time; nothing in the sender itself knows of them.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace laurelhaven::lab {

/// The environment variable that names the file which holds a FaultControl.
inline constexpr const char* kFaultControlVariable = "LAURELHAVEN_FAULT_CONTROL";

/// Calls of one kind that fail: with which error, and how many of a thousand.
struct CallFault {
    std::atomic<std::int32_t> error{0};
    std::atomic<std::int32_t> permille{0};
    std::atomic<std::uint64_t> injected{0};
};

struct FaultControl {
    std::atomic<std::int64_t> wallOffsetMs{0};  ///< the wall clock's step; the monotonic clock runs on
    CallFault diskWrite;                        ///< write, ftruncate, rename and creating opens
    std::atomic<std::int32_t> halfWrites{0};    ///< of a thousand failing writes, so many leave a part
    CallFault accept, socket, connect;
    CallFault brokenConnection;  ///< recv and send on a connection that the network has given up
    CallFault interrupted;       ///< EINTR from calls that may be interrupted
    CallFault shortTransfer;     ///< reads and writes of one byte
    std::atomic<std::uint64_t> seed{1};
};

}  // namespace laurelhaven::lab
