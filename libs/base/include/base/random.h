#pragma once

#include <cstdint>
#include <random>

namespace carawaylink {

/// Generator handed to decision code, so that every choice can be replayed from a seed.
using random_source = std::mt19937_64;

/// Returns a seed from the operating system.
std::uint64_t randomSeed();

} // namespace carawaylink
