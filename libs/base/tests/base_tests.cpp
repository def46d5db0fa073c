#include "base/error.h"
#include "base/ids.h"
#include "base/prompt_blocks.h"
#include "base/rcu_cell.h"

#include <gtest/gtest.h>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

namespace carawaylink {
namespace {

std::string words(int count, const std::string& prefix)
{
    std::string text;
    for (int i = 0; i < count; ++i)
        text += prefix + std::to_string(i) + " ";
    return text;
}

class request_ids : public testing::Test { };

// Guards against printed ids that cannot be used to look up the request.
TEST_F(request_ids, formatted_id_parses_to_same_id)
{
    const request_id id { 0xfeedULL, ~0ULL };
    EXPECT_EQ(parseRequestId(toString(id)), id);
}

// Guards against a malformed id being parsed as the id of another request.
TEST_F(request_ids, malformed_text_throws_invalid_argument)
{
    for (const auto* text : { "", "12-34", "000000000000feed+ffffffffffffffff", "000000000000feeg-ffffffffffffffff" }) {
        try {
            parseRequestId(text);
            FAIL() << text;
        } catch (const error& failure) {
            EXPECT_EQ(failure.kind(), error_kind::invalid_argument);
            EXPECT_FALSE(failure.remedy().empty());
        }
    }
}

class prompt_splitting : public testing::Test { };

// Guards against prompts with a common prefix being placed as if they shared no cached blocks.
TEST_F(prompt_splitting, common_prefix_shares_leading_hashes_only)
{
    const auto left = splitPrompt(words(128, "a") + words(64, "b"));
    const auto right = splitPrompt(words(128, "a") + words(64, "c"));
    EXPECT_EQ(left.count, tokens(192));
    ASSERT_EQ(left.hashes.size(), 3U);
    EXPECT_EQ(sharedBlocks(left.hashes, right.hashes), 2U);
}

// Guards against an incomplete block being reported as cached.
TEST_F(prompt_splitting, short_prompt_has_no_block)
{
    const auto result = splitPrompt("  two\n words ");
    EXPECT_EQ(result.count, tokens(2));
    EXPECT_TRUE(result.hashes.empty());
}

class rcu_cells : public testing::Test { };

// Guards against a reader seeing a value that the writer has freed or only partly replaced.
TEST_F(rcu_cells, concurrent_replace_readers_see_consistent_values)
{
    rcu_cell<std::vector<int>> cell(std::vector<int>(64, 0));
    std::atomic<bool> stop = false;
    std::atomic<int> tornReads = 0;
    std::vector<std::jthread> readers;
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back([&] {
            while (!stop) {
                const auto view = cell.read();
                if (std::accumulate(view->begin(), view->end(), 0) != view->front() * static_cast<int>(view->size()))
                    ++tornReads;
            }
        });
    }
    for (int value = 1; value < 500; ++value)
        cell.replace(std::make_unique<const std::vector<int>>(64, value));
    stop = true;
    readers.clear();
    EXPECT_EQ(tornReads, 0);
}

} // namespace
} // namespace carawaylink
