#include "store_retry_pace.h"

#include <gtest/gtest.h>
#include <queue>
#include <vector>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

class store_retry_pace_test : public testing::Test {
protected:
    // Followers whose first read fails at time 0; returns the number of their further tries until the end.
    std::size_t triesOf(std::size_t followers, duration end)
    {
        std::priority_queue<monotonic_time, std::vector<monotonic_time>, std::greater<>> due;
        for (std::size_t i = 0; i < followers; ++i)
            due.push(m_start + m_pace.delayAfterFailure(m_start));
        std::size_t tries = 0;
        for (; due.top() < m_start + end; ++tries) {
            const auto now = due.top();
            due.pop();
            due.push(now + m_pace.delayAfterFailure(now));
        }
        return tries;
    }

    store_retry_pace m_pace;
    monotonic_time m_start { 1h };
};

TEST_F(store_retry_pace_test, singleFollower_waitsLongerWithEachFailure)
{
    EXPECT_EQ(m_pace.delayAfterFailure(m_start), 250ms);
    EXPECT_EQ(m_pace.delayAfterFailure(m_start + 1s), 500ms);
    EXPECT_EQ(m_pace.delayAfterFailure(m_start + 2s), 1s);
    EXPECT_EQ(m_pace.delayAfterFailure(m_start + 4s), 1s);
}

TEST_F(store_retry_pace_test, severalFollowers_callTheStoreNoMoreOftenThanOne)
{
    // 28 nodes that the store turned away for 8 s each repeated the reads of three topics: 4,000 calls a minute.
    const auto triesOfOne = triesOf(1, 10s);
    m_pace.reset();
    EXPECT_LE(triesOf(4, 10s), triesOfOne);
}

TEST_F(store_retry_pace_test, storeThatAnswers_isAskedSoonAfterTheNextFailure)
{
    triesOf(4, 10s);
    m_pace.reset();
    EXPECT_EQ(m_pace.delayAfterFailure(m_start + 10s), 250ms);
}

} // namespace
} // namespace carawaylink::gateway
