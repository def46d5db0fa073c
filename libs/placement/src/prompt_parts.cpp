#include "placement/prompt_parts.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <xxhash.h>

namespace carawaylink::placement {

namespace {

tokens totalLength(std::span<const named_part> parts)
{
    return std::accumulate(parts.begin(), parts.end(), tokens { 0 },
        [](tokens total, const named_part& part) { return tokens { total.value + part.length.value }; });
}

} // namespace

prompt_parts significantParts(std::span<const named_part> parts)
{
    // A prompt that shares little with others is its caller's own, and its last part would never be found again.
    if (parts.empty() || totalLength(parts.first(parts.size() - 1)).value < minPartTokens)
        return {};
    prompt_parts result;
    prompt_part merged;
    for (const auto& part : parts) {
        merged.prefix = XXH64(part.id.data(), part.id.size(), merged.prefix);
        merged.length.value += part.length.value;
        if (merged.length.value < minPartTokens)
            continue;
        result.push_back(merged);
        merged.length = {};
        if (result.size() == maxPromptParts)
            break;
    }
    return result;
}

} // namespace carawaylink::placement
