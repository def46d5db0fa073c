#include "placement/prefix_belief.h"
#include "placement/recent_prompts.h"

#include <gtest/gtest.h>

namespace carawaylink::placement {
namespace {

TEST(prefix_belief_test, part_withoutTheOnesBefore_isNotKept)
{
    // An engine cannot reuse a part whose beginning it has dropped.
    const prompt_parts parts { { 1, tokens { 1000 } }, { 2, tokens { 500 } }, { 3, tokens { 700 } } };
    prefix_belief belief;
    belief.add(std::span(parts).subspan(1), tokens { 10000 });
    EXPECT_EQ(belief.kept(parts), tokens { 0 });
    belief.add(std::span(parts).first(1), tokens { 10000 });
    EXPECT_EQ(belief.kept(parts), tokens { 2200 });
}

TEST(prefix_belief_test, partsOfOnePrompt_areDroppedFromItsEnd)
{
    // If the beginning went first, the memory of the rest would be of no use.
    const prompt_parts parts { { 1, tokens { 1000 } }, { 2, tokens { 500 } }, { 3, tokens { 700 } } };
    prefix_belief belief;
    belief.add(parts, tokens { 1600 });
    EXPECT_EQ(belief.kept(parts), tokens { 1500 });
    EXPECT_EQ(belief.length(), tokens { 1500 });
}

TEST(prefix_belief_test, entries_areBounded)
{
    // Guards against memory that grows with the number of sessions.
    prefix_belief belief;
    for (std::uint64_t i = 0; i < 10 * prefix_belief::maxEntries; ++i) {
        const prompt_parts part { { 7 * i, tokens { 300 } } };
        belief.add(part, tokens { 1'000'000'000 });
        ASSERT_EQ(belief.kept(part), tokens { 300 });
    }
    EXPECT_EQ(belief.size(), prefix_belief::maxEntries);
    EXPECT_LT(belief.bytes(), 40'000U);
    belief.limitTo(tokens { 0 });
    EXPECT_EQ(belief.size(), 0U);
}

TEST(prompt_parts_test, smallParts_areMergedOrLeftOut)
{
    // Entries for parts that save nothing would cost memory and traffic on deployments whose prompts share little.
    EXPECT_TRUE(significantParts(std::vector<named_part> { { "a", tokens { 60 } }, { "own", tokens { 1500 } } }).empty());
    EXPECT_TRUE(significantParts({}).empty());
    const auto merged
        = significantParts(std::vector<named_part> { { "a", tokens { 60 } }, { "b", tokens { 800 } }, { "own", tokens { 20 } } });
    ASSERT_EQ(merged.size(), 1U);
    EXPECT_EQ(merged.front().length, tokens { 860 });
    const auto other
        = significantParts(std::vector<named_part> { { "c", tokens { 60 } }, { "b", tokens { 800 } }, { "own", tokens { 20 } } });
    EXPECT_NE(merged.front().prefix, other.front().prefix);
    EXPECT_EQ(significantParts(std::vector<named_part>(40, { "a", tokens { 400 } })).size(), maxPromptParts);
}

TEST(recent_prompts_test, prompts_areBoundedAndContinuedOnesReplaced)
{
    // Guards against a first call to a new owner that grows with the traffic of its node.
    const discovery::replica_id engine { "a" };
    recent_prompts recent;
    prompt_parts parts { { 1, tokens { 1000 } } };
    recent.add({ engine, 1, parts });
    parts.push_back({ 2, tokens { 500 } });
    recent.add({ engine, 1, parts });
    ASSERT_EQ(recent.all().size(), 1U);
    EXPECT_EQ(recent.all().front().parts, parts);
    recent.add({ engine, 1, {} });
    for (std::uint64_t i = 10; i < 200; ++i)
        recent.add({ discovery::replica_id { "b" }, 1, { { i, tokens { 1000 } } } });
    EXPECT_EQ(recent.all().size(), recent_prompts::maxPrompts);
    EXPECT_EQ(recent.all().back().parts.front().prefix, 199U);
    recent.remove(discovery::replica_id { "b" });
    EXPECT_TRUE(recent.all().empty());
}

} // namespace
} // namespace carawaylink::placement
