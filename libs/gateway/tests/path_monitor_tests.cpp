#include "path_monitor.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

class path_monitor_test : public testing::Test {
protected:
    path_monitor_test()
    {
        std::vector<endpoint_id> addresses;
        for (int number = 0; number < 12; ++number)
            addresses.emplace_back("10.0.0." + std::to_string(number) + ":80");
        m_monitor.setEndpoints(addresses);
        m_monitor.recordAnswer(true, m_now);
    }

    /// Requests wait, and no endpoint answers for this long.
    void beSilent(duration time)
    {
        m_monitor.setWaitingSince(m_now);
        m_now += time;
    }

    /// Takes the probes of one round and lets this many of them connect; returns the number of probes.
    std::size_t round(std::size_t connected)
    {
        const auto probes = m_monitor.takeProbes(m_now);
        for (std::size_t number = 0; number < probes.size(); ++number)
            m_monitor.recordProbe(number < connected, m_now);
        m_now += 250ms;
        return probes.size();
    }

    void losePath()
    {
        beSilent(301ms);
        round(0);
        m_monitor.recordPeer();
        round(0);
    }

    path_monitor m_monitor { 1 };
    monotonic_time m_now { 1000s };
};

// A node that was cut off from all endpoints went on taking requests, and all of them failed (RECOVER).
TEST_F(path_monitor_test, silenceOfAllEndpoints_withoutConnectionsFromHereOnly_isALostPath)
{
    beSilent(301ms);
    EXPECT_GT(round(0), 0U);
    EXPECT_EQ(m_monitor.state(), path_state::doubtful);
    EXPECT_TRUE(m_monitor.takePeerQuery());
    m_monitor.recordPeer();
    round(0);
    EXPECT_EQ(m_monitor.state(), path_state::lost);
}

// Where no node can connect, callers are no better off elsewhere, and a fleet must not withdraw as a whole.
TEST_F(path_monitor_test, endpointsThatNoPeerReaches_areNotALostPath)
{
    beSilent(301ms);
    round(0);
    round(0);
    EXPECT_EQ(m_monitor.state(), path_state::working);
}

// A sound endpoint may fall silent for a second and go on.
TEST_F(path_monitor_test, pauseOfEndpointsThatAcceptConnections_isNotALostPath)
{
    beSilent(900ms);
    round(1);
    EXPECT_EQ(m_monitor.state(), path_state::working);
    EXPECT_EQ(round(0), 0U) << "doubts that were wrong must not repeat at once";
}

TEST_F(path_monitor_test, silenceWithoutWaitingRequests_raisesNoDoubt)
{
    m_now += 10s;
    EXPECT_EQ(round(0), 0U);
}

TEST_F(path_monitor_test, singleUnreachableEndpoint_raisesNoDoubt)
{
    for (int attempt = 0; attempt < 5; ++attempt)
        m_monitor.recordUnreachable(endpoint_id { "10.0.0.1:80" });
    EXPECT_EQ(round(0), 0U);
}

// Kept connections may live on while new ones are refused.
TEST_F(path_monitor_test, newConnectionsThatAllFail_raiseDoubtsThoughKeptOnesAnswer)
{
    for (int number = 0; number < 4; ++number) {
        m_monitor.recordUnreachable(endpoint_id { "10.0.0." + std::to_string(number) + ":80" });
        m_monitor.recordAnswer(false, m_now);
    }
    EXPECT_GT(round(0), 0U);
}

// A path that flaps must not make the node swing.
TEST_F(path_monitor_test, lostPath_isBackAfterTwoRoundsWithConnections)
{
    losePath();
    ASSERT_EQ(m_monitor.state(), path_state::lost);
    round(1);
    round(0);
    round(1);
    EXPECT_EQ(m_monitor.state(), path_state::lost);
    round(2);
    EXPECT_EQ(m_monitor.state(), path_state::working);
}

} // namespace
} // namespace carawaylink::gateway
