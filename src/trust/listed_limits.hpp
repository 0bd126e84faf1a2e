// Tells by the rate limit that a server announces which destination it belongs to. Neither an answer to a
// probe nor the address names the server, but the list has the rate limit of each destination: a limit that
// fits one destination alone proves the server, one that fits several proves nothing. Pure; not synchronized.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace laurelhaven::trust {

/// What an announced rate limit says about the server that announced it.
enum class ServerIdentity {
    proven,  ///< it belongs to the destination: of all listed ones, only that has such a limit
    unknown,
    foreign  ///< it belongs to another destination
};
/// The name used in logs.
const char* name(ServerIdentity identity);

/// The rate limits of all destinations of the list.
class ListedLimits {
  public:
    struct Limit {
        double perSecond = 0;  ///< 0: none is listed
        std::uint64_t destination = 0;
    };
    /// `foreignFactor`: a limit that is off by more than this factor is another destination's.
    ListedLimits(std::vector<Limit> limits, double foreignFactor);

    /// Whether an announced limit could prove a server of this destination.
    bool canProve(const Limit& listed) const;
    /// `listed`: of the destination that the server should belong to. `announced`: 0 where none was.
    ServerIdentity identify(const Limit& listed, double announced) const;

  private:
    bool fitsAnother(const Limit& listed, double announced) const;

    std::vector<Limit> byRate_;  // ascending
    double foreignFactor_;
};

}  // namespace laurelhaven::trust
