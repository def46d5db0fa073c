#include "load/prompt.h"

#include "base/prompt_blocks.h"

#include <array>
#include <charconv>
#include <xxhash.h>

namespace carawaylink::load {
namespace {

constexpr std::int64_t sharedPercent = 60;

/// Appends words that depend only on the seed.
void appendWords(std::string& text, std::uint64_t seed, std::int64_t count)
{
    // Multiplier and increment of Knuth's MMIX generator; a word needs no better randomness.
    std::uint64_t state = seed;
    for (std::int64_t i = 0; i < count; ++i) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        for (auto bits = state >> 40; bits != 0; bits /= 26)
            text.push_back(static_cast<char>('a' + bits % 26));
        text.push_back(' ');
    }
}

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

tokens sharedPrefixTokens(const trace_call& call)
{
    if (call.prefix.empty())
        return tokens(0);
    return tokens(call.prompt.value * sharedPercent / 100 / tokensPerBlock * tokensPerBlock);
}

std::string buildPrompt(const trace_call& call, std::string_view callId)
{
    const auto shared = sharedPrefixTokens(call).value;
    std::string text;
    text.reserve(static_cast<std::size_t>(call.prompt.value) * 7 + 32);
    appendWords(text, hashOf(call.prefix), shared);
    text += "output_tokens=" + std::to_string(call.output.value) + " ";
    appendWords(text, hashOf(callId), call.prompt.value - shared - 1);
    return text;
}

} // namespace carawaylink::load
