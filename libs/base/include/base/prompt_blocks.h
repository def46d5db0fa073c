#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace carawaylink {

/// Number of tokens in one block of a prefix cache.
inline constexpr std::int64_t tokensPerBlock = 64;

/// Token count and block hashes of a prompt, as needed to look it up in a prefix cache.
struct prompt_blocks {
    tokens count;
    /// Chained hash of each full block: two prompts share n leading blocks exactly if their first n hashes are equal.
    std::vector<std::uint64_t> hashes;
};

/// Splits a prompt into whitespace-separated tokens and hashes its full blocks; at most maxBlocks hashes are returned.
/// Words approximate tokens, since the tokenizers of the engines are not available on the entry vms.
prompt_blocks splitPrompt(std::string_view prompt, std::size_t maxBlocks = 256);

/// Returns the number of leading blocks that both lists have in common.
std::size_t sharedBlocks(const std::vector<std::uint64_t>& left, const std::vector<std::uint64_t>& right);

} // namespace carawaylink
