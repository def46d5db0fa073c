#include "fleet_members.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

class fleet_members_test : public testing::Test {
protected:
    static member_update member(const std::string& name, member_state state = member_state::alive)
    {
        member_update result;
        result.node = node_id { name };
        result.run = incarnation { 1 };
        result.state = state;
        result.httpAddress = name + "-front";
        result.capacity = 300;
        return result;
    }

    monotonic_time m_now { 100s };
    fleet_members m_members { node_id { "b" }, 500, m_now };
};

TEST_F(fleet_members_test, servingNode_isInDirectoryUntilItIsSuspectedOrLeaves)
{
    // Callers must not be directed to a node that failed or is draining.
    m_members.setSelfServing(true);
    m_members.apply(member("a"), m_now);
    EXPECT_EQ(m_members.frontends(), std::vector<std::string> { "a-front" });
    m_members.apply(member("a", member_state::suspect), m_now);
    EXPECT_TRUE(m_members.frontends().empty());
    m_members.apply(member("a"), m_now);
    auto draining = member("a");
    draining.draining = true;
    m_members.apply(draining, m_now);
    EXPECT_TRUE(m_members.frontends().empty());
}

// Callers were directed to nodes that had withdrawn, since the failure detector takes an empty address for an unknown one.
TEST_F(fleet_members_test, nodeThatTurnsCallersAway_isInNoDirectoryUntilItAnnouncesItsAddressAgain)
{
    m_members.setSelfServing(true);
    auto withdrawn = member("10.0.0.1:80");
    withdrawn.httpAddress = "10.0.0.1:80";
    m_members.apply(withdrawn, m_now);
    ASSERT_EQ(m_members.frontends().size(), 1U);
    const auto version = m_members.version();
    withdrawn.httpAddress = addressWithoutCallers("10.0.0.1:80");
    m_members.apply(withdrawn, m_now);
    EXPECT_TRUE(m_members.frontends().empty());
    EXPECT_EQ(m_members.serving().size(), 1U);
    EXPECT_GT(m_members.version(), version);
    withdrawn.httpAddress = "10.0.0.1:80";
    m_members.apply(withdrawn, m_now);
    EXPECT_EQ(m_members.frontends().size(), 1U);
}

TEST_F(fleet_members_test, nodeWithOnlySuspects_namesThem)
{
    // A node that cannot serve yet and suspects all others is probably cut off itself; an empty answer would help no caller.
    m_members.apply(member("a", member_state::suspect), m_now);
    EXPECT_EQ(m_members.frontends(), std::vector<std::string> { "a-front" });
}

TEST_F(fleet_members_test, nodeThatIsNotReady_ownsNoPool)
{
    // A node without a configuration would queue the requests of all others without being able to place them.
    auto starting = member("a");
    starting.httpAddress.clear();
    m_members.apply(starting, m_now);
    EXPECT_TRUE(m_members.serving().empty());
    m_members.setSelfServing(true);
    m_members.apply(member("a"), m_now);
    EXPECT_EQ(m_members.serving().size(), 2U);
    EXPECT_EQ(m_members.size(m_now).live, 2U);
    EXPECT_EQ(m_members.size(m_now).rank, 1U);
}

TEST_F(fleet_members_test, drainingNode_isReachableUntilItEnds)
{
    // Its use of quotas is still reported, so the others need not reserve a share for it.
    m_members.setListed({ node_id { "a" }, node_id { "b" } });
    auto draining = member("a");
    draining.draining = true;
    m_members.apply(draining, m_now);
    EXPECT_EQ(m_members.size(m_now).live, 1U);
    EXPECT_EQ(m_members.size(m_now).reachable, 2U);
    EXPECT_EQ(m_members.size(m_now).possible, 2U);
    draining.state = member_state::dead;
    m_members.apply(draining, m_now);
    EXPECT_EQ(m_members.size(m_now).reachable, 1U);
    EXPECT_EQ(m_members.size(m_now).possible, 1U);
}

TEST_F(fleet_members_test, lostNode_countsAsPossibleForAWhile)
{
    // It may serve callers behind a network partition and use the quotas there.
    m_members.apply(member("a"), m_now);
    m_members.apply(member("a", member_state::dead), m_now);
    EXPECT_EQ(m_members.size(m_now).reachable, 1U);
    EXPECT_EQ(m_members.size(m_now).possible, 2U);
    EXPECT_EQ(m_members.size(m_now + 21s).possible, 1U);
}

TEST_F(fleet_members_test, listedNode_countsAsPossibleAfterTheStart)
{
    // A restarted node that has not heard of the others yet must not take whole quotas for itself.
    m_members.setListed({ node_id { "a" }, node_id { "b" }, node_id { "c" } });
    EXPECT_EQ(m_members.size(m_now).possible, 3U);
    EXPECT_EQ(m_members.size(m_now + 21s).possible, 1U);
}

TEST_F(fleet_members_test, nodeInChargeOfKey_isTheSameAtAllNodes)
{
    // Two nodes in charge of one team's quota would each count only a part of its use.
    fleet_members other(node_id { "a" }, 300, m_now);
    m_members.apply(member("a"), m_now);
    m_members.apply(member("c"), m_now);
    other.apply(member("b"), m_now);
    other.apply(member("c"), m_now);
    for (std::uint64_t key = 0; key < 100; ++key)
        EXPECT_EQ(m_members.nodeFor(key), other.nodeFor(key));
}

} // namespace
} // namespace carawaylink::gateway
