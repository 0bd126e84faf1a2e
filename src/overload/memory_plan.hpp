// Divides the process's memory limit among the purposes that others can make it use memory for. Pure
// functions without state.
#pragma once

#include <cstddef>
#include <cstdint>

namespace laurelhaven::overload {

/// What the division depends on.
struct MemoryNeeds {
    std::size_t limitBytes = 0;   ///< of the process, its files included
    std::uint64_t diskBytes = 0;  ///< the state folder's limit; files count as memory
    std::size_t attemptThreads = 0;
    std::size_t clientConnections = 0;
    std::size_t heldMessages = 0;
};

/// The most that each purpose may occupy, in bytes of memory as allocated. Together with what the process
/// needs in any case they stay below the limit.
struct MemoryPlan {
    std::uint64_t files = 0;            ///< all files in the state folder
    std::size_t process = 0;            ///< program, libraries, threads, and connections without a request
    std::size_t heldMessages = 0;       ///< accepted and not ended, with their bodies
    std::size_t clientRequests = 0;     ///< incomplete requests, and answers that are not written yet
    std::size_t endpointResponses = 0;  ///< responses of endpoints and probes
    std::size_t endpointLists = 0;      ///< the endpoints in all tables, and lists while they are received
};

MemoryPlan planMemory(const MemoryNeeds& needs);

}  // namespace laurelhaven::overload
