// Chance from a seed: the same in every standard library.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cstdint>

namespace laurelhaven::lab::soak {

using Chance = boost::random::mt19937_64;

/// A whole number from `least` to `most`.
template <class Number>
Number between(Chance& chance, Number least, Number most) {
    return boost::random::uniform_int_distribution<Number>(least, most)(chance);
}

/// True in one of so many cases.
inline bool oneIn(Chance& chance, int many) { return between(chance, 1, many) == 1; }

}  // namespace laurelhaven::lab::soak
