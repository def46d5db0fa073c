#include "quarantine/quarantine_list.h"
#include "quarantine/recent_answers.h"

#include <gtest/gtest.h>

namespace carawaylink::quarantine {
namespace {

using namespace std::chrono_literals;

const part_hash part { 7 };

class quarantine_list_test : public testing::Test {
protected:
    quarantine_list m_list;
    monotonic_time m_now { 100s };
};

TEST_F(quarantine_list_test, quarantinedPart_isHeldForItsTimeAndLongerEachTime)
{
    EXPECT_FALSE(m_list.remaining(part, m_now));
    const auto first = m_list.quarantine(part, m_now).remaining;
    EXPECT_EQ(m_list.remaining(part, m_now), first);
    m_now += first;
    EXPECT_FALSE(m_list.remaining(part, m_now));
    EXPECT_EQ(m_list.quarantine(part, m_now).remaining, 2 * first);
}

TEST_F(quarantine_list_test, entriesPassedInCircles_doNotProlongThemselves)
{
    // Nodes pass their lists on every second; with delays on the way a quarantine would otherwise never end.
    quarantine_list other;
    const auto time = m_list.quarantine(part, m_now).remaining;
    for (int i = 0; i < 100; ++i) {
        for (const auto& entry : m_list.held(m_now))
            other.merge(entry, m_now + 50ms);
        for (const auto& entry : other.held(m_now + 50ms))
            EXPECT_FALSE(m_list.merge(entry, m_now + 100ms));
        m_now += 100ms;
    }
    EXPECT_LE(*m_list.remaining(part, m_now), time - 9s);
}

TEST_F(quarantine_list_test, mergedEntry_isInForce)
{
    EXPECT_TRUE(m_list.merge({ part, 1, 20s }, m_now));
    EXPECT_EQ(m_list.remaining(part, m_now), 20s);
    EXPECT_EQ(m_list.sizeInForce(m_now), 1U);
    EXPECT_EQ(m_list.sizeInForce(m_now + 21s), 0U);
}

TEST_F(quarantine_list_test, partAfterItsTerm_isOnProbationUntilReleased)
{
    m_now += m_list.quarantine(part, m_now).remaining;
    EXPECT_TRUE(m_list.isOnProbation(part, m_now));
    EXPECT_FALSE(m_list.release(part, 0, m_now));
    EXPECT_TRUE(m_list.release(part, 1, m_now));
    EXPECT_FALSE(m_list.isOnProbation(part, m_now));
    // An entry that another node passed on before it learned of the answer.
    EXPECT_FALSE(m_list.merge({ part, 1, {}, 1s }, m_now));
    EXPECT_EQ(m_list.quarantine(part, m_now).times, 2U);
}

TEST_F(quarantine_list_test, partsOnProbation_areBounded)
{
    // Nodes pass them on every second.
    for (std::uint64_t i = 0; i < 200; ++i)
        m_list.merge({ part_hash { i }, 1, {}, std::chrono::seconds(i) }, m_now);
    EXPECT_EQ(m_list.expire(m_now).size(), 136U);
    EXPECT_EQ(m_list.held(m_now).size(), 64U);
    EXPECT_TRUE(m_list.isOnProbation(part_hash { 0 }, m_now));
}

TEST(recent_answers_test, manyParts_areBounded)
{
    recent_answers answers;
    const monotonic_time now { 100s };
    for (std::uint64_t i = 0; i < 100'000; ++i)
        answers.record(part_hash { i }, now);
    EXPECT_FALSE(answers.lastAnswer(part_hash { 0 }));
    EXPECT_EQ(answers.lastAnswer(part_hash { 99'999 }), now);
}

} // namespace
} // namespace carawaylink::quarantine
