#pragma once

#include <compare>
#include <cstdint>

namespace carawaylink::gateway {

/// Where a position is a single number, the history stands above this many bits of the offset.
inline constexpr unsigned orderOffsetBits = 40;

/// Position in a log of the store. Offsets count within one history of the store only; a position in a later history is newer than any in
/// an earlier one.
struct log_position {
    std::uint64_t history = 0;
    std::uint64_t offset = 0;

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

} // namespace carawaylink::gateway
