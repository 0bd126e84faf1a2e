// What queueing formulas say of a fleet before any day is played: cheap, without troubles and retries, and
// shown beside the model so that a person sees why. Pure.
#pragma once

#include <string>
#include <vector>

#include "fleet/description.hpp"

namespace laurelhaven::plan {

/// Probability that a call must wait with `servers` of them and `offered` calls out on average (Erlang 1917;
/// by the recursion of the loss formula, Jagerman 1974). 1 where there is more on offer than servers.
double erlangC(double offered, int servers);
/// Mean wait in seconds with one server of `rate` a second at `use` of it, arrivals and services with these
/// squared coefficients of variation (Kingman 1961). Infinite at a use of 1 or more.
double kingmanWait(double use, double rate, double arrivals, double services);
/// Share of calls that would wait longer than `longest` seconds there (Kingman 1962, heavy traffic).
double kingmanBeyond(double use, double rate, double arrivals, double services, double longest);
/// Variance over mean of the counts of clumps whose size is 1 + Poisson(size - 1), with a share `clumped` of
/// the messages in clumps: for a compound Poisson stream E[N^2]/E[N] (Cox and Lewis 1966).
double dispersion(double clumped, double size);

struct Bound {
    std::string resource;  ///< what, and of whom
    double use = 0;        ///< of it, at a load of 1
    /// Times the load at which it is used up on average. Infinite: load does not use it up.
    double full = 0;
    /// Times the load at which chance alone takes 5% of the calls beyond it; at most `full`.
    double strained = 0;
    std::string why;  ///< the formula with its figures
};

/// By the load at which they are strained, the first first.
std::vector<Bound> bounds(const fleet::Description& description);

}  // namespace laurelhaven::plan
