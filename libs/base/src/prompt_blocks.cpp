#include "base/prompt_blocks.h"

#include <algorithm>
#include <cstddef>
#include <xxhash.h>

namespace carawaylink {

namespace {

bool isWhitespace(char c)
{
    return c == ' ' || c == '\n' || c == '\t' || c == '\r';
}

} // namespace

prompt_blocks splitPrompt(std::string_view prompt, std::size_t maxBlocks)
{
    prompt_blocks result;
    std::size_t blockStart = 0;
    std::uint64_t chain = 0;
    const char* cursor = prompt.data();
    const char* const end = prompt.data() + prompt.size();
    while (cursor != end) {
        cursor = std::find_if_not(cursor, end, isWhitespace);
        if (cursor == end)
            break;
        cursor = std::find_if(cursor, end, isWhitespace);
        ++result.count.value;
        if (result.count.value % tokensPerBlock == 0) {
            const auto blockEnd = static_cast<std::size_t>(cursor - prompt.data());
            if (result.hashes.size() < maxBlocks) {
                chain = XXH3_64bits_withSeed(prompt.data() + blockStart, blockEnd - blockStart, chain);
                result.hashes.push_back(chain);
            }
            blockStart = blockEnd;
        }
    }
    return result;
}

std::size_t sharedBlocks(const std::vector<std::uint64_t>& left, const std::vector<std::uint64_t>& right)
{
    return static_cast<std::size_t>(std::ranges::mismatch(left, right).in1 - left.begin());
}

} // namespace carawaylink
