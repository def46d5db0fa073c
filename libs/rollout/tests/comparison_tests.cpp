#include "rollout/comparison.h"

#include <cmath>
#include <gtest/gtest.h>

namespace carawaylink::rollout {
namespace {

class comparison_test : public testing::Test {
protected:
    void add(route_hash route, bool ofTarget, std::uint32_t ended, std::uint32_t bad, double firstEventMs = 50)
    {
        auto& counts = m_evidence.counts[{ route, ofTarget }];
        counts.sent = counts.ended = ended;
        counts.bad = bad;
        const double mean = std::log(firstEventMs);
        constexpr std::uint32_t endpoints = 6;
        counts.firstEvent = { endpoints, ended, endpoints * mean, endpoints * mean * mean, 0.01 * ended };
    }

    evidence m_evidence;
};

// Guards against a chance of failures that underflows to 1 for many requests, so that no number of them counts.
TEST_F(comparison_test, failuresOfManyRequests_areFound)
{
    add(1, false, 100'000, 1'000);
    add(1, true, 100'000, 20'000);
    const auto found = findFault(m_evidence);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->kind, fault_kind::failures);
}

TEST_F(comparison_test, equalFailuresOfManyRequests_areAccepted)
{
    add(1, false, 100'000, 10'000);
    add(1, true, 100'000, 10'000);
    EXPECT_FALSE(findFault(m_evidence));
}

// Guards against failures that wait for the judgement of a slow route before them.
TEST_F(comparison_test, failuresOnALaterRoute_goBeforeSlownessOfAnEarlierOne)
{
    add(1, false, 5'000, 0);
    add(1, true, 5'000, 0, 500);
    add(2, false, 1'000, 0);
    add(2, true, 60, 20);
    const auto found = findFault(m_evidence);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->kind, fault_kind::failures);
    EXPECT_EQ(found->route, 2U);
}

} // namespace
} // namespace carawaylink::rollout
