#include "streams/start_recorder.h"
#include "streams/start_table.h"

#include <gtest/gtest.h>

namespace carawaylink::streams {
namespace {

using namespace std::chrono_literals;

const node_id one { "10.0.0.1:1" };
const node_id two { "10.0.0.2:1" };

stream_start startOf(std::uint64_t stream, const std::string& version = "v2", std::uint32_t send = 1)
{
    return { stream_id { stream }, send, { service_id { "llm" }, version } };
}

class start_recorder_test : public testing::Test {
protected:
    start_recorder m_recorder;
    monotonic_time m_now { 1000s };
};

// Each call to the store is priced.
TEST_F(start_recorder_test, startsOfSeveralNodes_shareARecord)
{
    m_recorder.add(one, startOf(1), m_now);
    EXPECT_TRUE(m_recorder.takeBatch(m_now).empty());
    m_now += 25ms;
    m_recorder.add(two, startOf(2), m_now);
    const auto batch = m_recorder.takeBatch(m_now);
    EXPECT_EQ(batch.size(), 2U);
    EXPECT_TRUE(m_recorder.takeBatch(m_now + 50ms).empty());
    const auto confirmed = m_recorder.confirm(batch);
    EXPECT_EQ(confirmed.at(one), start_recorder::batch { startOf(1) });
    EXPECT_EQ(confirmed.at(two), start_recorder::batch { startOf(2) });
    EXPECT_EQ(m_recorder.size(), 0U);
}

// The answer of the store may be lost.
TEST_F(start_recorder_test, unconfirmedStart_isWrittenAgainAndLaterEachTime)
{
    m_recorder.add(one, startOf(1), m_now);
    m_now += 25ms;
    EXPECT_FALSE(m_recorder.takeBatch(m_now).empty());
    m_now += 150ms;
    EXPECT_FALSE(m_recorder.takeBatch(m_now).empty());
    m_now += 150ms;
    EXPECT_TRUE(m_recorder.takeBatch(m_now).empty());
    m_now += 150ms;
    EXPECT_FALSE(m_recorder.takeBatch(m_now).empty());
}

TEST_F(start_recorder_test, startThatNobodyNeedsAnyMore_isForgotten)
{
    m_recorder.add(one, startOf(1), m_now);
    m_recorder.takeBatch(m_now + 31s);
    EXPECT_EQ(m_recorder.size(), 0U);
}

// Guards against a record of an earlier send that arrives after that of the send which began the stream.
TEST(start_table_test, earlierSend_doesNotReplaceALaterOne)
{
    start_table table;
    const monotonic_time now { 1000s };
    table.add(startOf(1, "v1", 2), now);
    table.add(startOf(1, "v2", 1), now);
    ASSERT_TRUE(table.find(stream_id { 1 }));
    EXPECT_EQ(table.find(stream_id { 1 })->software.version, "v1");
    table.expire(now + streamReturnTime + 1ms);
    EXPECT_FALSE(table.find(stream_id { 1 }));
}

} // namespace
} // namespace carawaylink::streams
