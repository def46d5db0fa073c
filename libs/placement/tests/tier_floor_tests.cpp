#include "placement/tier_floor.h"

#include <gtest/gtest.h>

namespace carawaylink::placement {
namespace {

using namespace std::chrono_literals;

class tier_floor_test : public testing::Test {
protected:
    // In each second 20 requests of each rank arrive; those of the urgent one start.
    void overload(duration length, duration urgentSlotTime = 1s)
    {
        for (const auto end = m_now + length; m_now < end; m_now += 50ms) {
            m_floor.recordArrival(urgent, m_now);
            m_floor.recordArrival(patient, m_now);
            m_floor.recordStart(urgent, urgentSlotTime, false, true, m_now);
            m_floor.recordQueue(true, m_now);
        }
    }

    void startPatient(duration slotTime) { m_floor.recordStart(patient, slotTime, true, true, m_now); }

    const urgency urgent { tier { 0 }, tier { 0 } };
    const urgency patient { tier { 0 }, tier { 2 } };
    tier_floor m_floor;
    monotonic_time m_now { 100s };
};

TEST_F(tier_floor_test, starvedRank_afterTwoSecondsOfOverload_mayStart)
{
    // Guards against breaking strict priority in short bursts, and against starvation in long ones.
    overload(1900ms);
    EXPECT_FALSE(m_floor.mayStart(patient, m_now));
    overload(200ms);
    EXPECT_TRUE(m_floor.mayStart(patient, m_now));
    EXPECT_FALSE(m_floor.mayStart(urgent, m_now));
    EXPECT_GT(m_floor.startRate(patient, m_now), 0);
}

TEST_F(tier_floor_test, emptyQueue_forASecond_endsTheOverload)
{
    // Guards against a floor that stays in force after the overload.
    overload(3s);
    m_now += 1s;
    m_floor.recordQueue(false, m_now);
    EXPECT_FALSE(m_floor.mayStart(patient, m_now));
}

TEST_F(tier_floor_test, longRequests_byTheFloor_takeNoMoreThanATenthOfTheSlotTime)
{
    // Guards against a floor that counts only starts: answers of the least urgent class may be far longer than the others.
    overload(5s, 100ms);
    startPatient(500ms);
    EXPECT_TRUE(m_floor.mayStart(patient, m_now));
    startPatient(500ms);
    EXPECT_FALSE(m_floor.mayStart(patient, m_now));
}

TEST_F(tier_floor_test, rank_atTheShareOfTheMoreUrgentOne_getsNothingMore)
{
    // Guards against serving a less urgent rank better than a more urgent one, which itself waits.
    overload(3s, 10s);
    const urgency between { tier { 0 }, tier { 1 } };
    for (int i = 0; i < 60; ++i)
        m_floor.recordArrival(between, m_now);
    EXPECT_FALSE(m_floor.mayStart(patient, m_now));
    EXPECT_TRUE(m_floor.mayStart(between, m_now));
}

TEST_F(tier_floor_test, withdrawnRequests_doNotCountAsArrived)
{
    // Guards against counting a request in each pool that it moves through.
    overload(3s);
    for (auto time = m_now - 3s; time < m_now; time += 50ms)
        m_floor.recordWithdrawal(patient, time);
    EXPECT_FALSE(m_floor.mayStart(patient, m_now));
}

} // namespace
} // namespace carawaylink::placement
