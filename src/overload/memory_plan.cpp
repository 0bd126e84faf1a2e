#include "overload/memory_plan.hpp"

#include <algorithm>

namespace laurelhaven::overload {
namespace {

constexpr std::size_t kKiB = 1024;
constexpr std::size_t kMiB = 1024 * kKiB;

constexpr std::size_t kProgramBytes = 7 * kMiB;           // program, libraries and fixed threads
constexpr std::size_t kAttemptThreadBytes = 32 * kKiB;    // touched pages of the stack, and a request
constexpr std::size_t kClientConnectionBytes = 2 * kKiB;  // without a request
constexpr std::size_t kHeldMessageBytes = 3 * kKiB;       // in all tables, without its body
constexpr std::size_t kEndpointListBytes = 11 * kMiB;  // listing::kMaxEndpoints in all tables, and their text
constexpr std::size_t kMinShareBytes = kMiB / 2;
// The files' part of the limit: the rest must serve requests and responses.
constexpr std::size_t kFilesDivisor = 8;

}  // namespace

MemoryPlan planMemory(const MemoryNeeds& needs) {
    MemoryPlan plan;
    plan.files = std::min<std::uint64_t>(needs.diskBytes, needs.limitBytes / kFilesDivisor);
    plan.process = kProgramBytes + needs.attemptThreads * kAttemptThreadBytes +
                   needs.clientConnections * kClientConnectionBytes;
    // The store accepts messages as long as two copies of them fit into its files. A request in flight has a
    // copy of its body.
    plan.heldMessages = 2 * static_cast<std::size_t>(plan.files / 2) +
                        std::min(needs.heldMessages * kHeldMessageBytes, needs.limitBytes / kFilesDivisor);
    const auto fixed = static_cast<std::size_t>(plan.files) + plan.process + plan.heldMessages;
    const auto left = needs.limitBytes - std::min(needs.limitBytes, fixed);
    // The number of endpoints is bounded by the list, not by this process's limit.
    plan.endpointLists = kEndpointListBytes;
    const auto shared = left - std::min(left, plan.endpointLists);
    plan.clientRequests = std::max(shared / 2, kMinShareBytes);
    plan.endpointResponses = std::max(shared / 4, kMinShareBytes);
    return plan;
}

}  // namespace laurelhaven::overload
