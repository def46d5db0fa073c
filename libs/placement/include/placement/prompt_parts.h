#pragma once

#include "base/ids.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace carawaylink::placement {

/// A part of a prompt as the caller names it.
struct named_part {
    std::string id;
    tokens length { 0 };

    friend bool operator==(const named_part&, const named_part&) = default;
};

/// A part of a prompt, identified together with all parts before it.
struct prompt_part {
    /// Hash of the ids of this part and of all parts before it.
    std::uint64_t prefix = 0;
    /// Length of this part alone.
    tokens length { 0 };

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

using prompt_parts = std::vector<prompt_part>;

/// Shorter parts are merged with the next one; prefilling them again costs less than keeping account of them.
inline constexpr std::int64_t minPartTokens = 256;
inline constexpr std::size_t maxPromptParts = 16;

/// Parts by which the placement looks for an endpoint that holds the beginning of the prompt; empty if all parts before the last one, which
/// belongs to the request or its session, have fewer than minPartTokens together.
prompt_parts significantParts(std::span<const named_part> parts);

} // namespace carawaylink::placement
