#pragma once

#include <cstdint>
#include <random>

namespace carawaylink {

/// Random generator that is passed to decision code, so that every decision can be reproduced from a seed.
using random_source = std::mt19937_64;

/// Returns a seed from the operating system.
std::uint64_t randomSeed();

} // namespace carawaylink
