#include "team_quotas.h"

#include "peer_codec.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

const team_id team { "team" };
const node_id self { "b" };
const node_id other { "a" };
const tier urgent { 0 };

// A team with a quota of 100 units per second and a burst of 1,000.
routing::team_definition limitedTeam()
{
    routing::team_definition definition;
    definition.name = team;
    definition.ratePerSecond = 100;
    definition.burst = 1000;
    return definition;
}

class team_quotas_test : public testing::Test {
protected:
    team_quotas makeQuotas(bool isFirstStart)
    {
        team_quotas quotas(self, 1, isFirstStart, 8s, m_now,
            [this](const node_id& node, peer::envelopeT message) { m_sent.emplace_back(node, std::move(message)); });
        quotas.configure(limitedTeam(), m_now);
        return quotas;
    }

    static peer::quota_reportT report(double used, float level, std::uint64_t run = 5)
    {
        peer::quota_reportT message;
        message.run = run;
        message.uses.emplace_back(teamHash(team), used, static_cast<float>(used), 0.0F, level);
        return message;
    }

    monotonic_time m_now { 100s };
    std::vector<std::pair<node_id, peer::envelopeT>> m_sent;
    fleet_members m_members { self, 0, m_now };
};

TEST_F(team_quotas_test, restartedNode_adoptsRemainingQuotaOnce)
{
    // During a rolling restart, nodes refused requests of every team although it was below its limit (inc-ed56 of platecommons).
    auto quotas = makeQuotas(false);
    EXPECT_EQ(quotas.remaining(team, m_now), 250);
    quotas.receive(other, report(0, 900), m_now);
    EXPECT_EQ(quotas.remaining(team, m_now), 900);
    quotas.receive(other, report(0, 1000), m_now);
    EXPECT_EQ(quotas.remaining(team, m_now), 900);
}

TEST_F(team_quotas_test, nodeThatHasRunForLong_adoptsNothing)
{
    // A restarted peer that knows little must not reset what this node has counted.
    auto quotas = makeQuotas(false);
    quotas.receive(other, report(0, 900), m_now + 10s);
    EXPECT_LT(quotas.remaining(team, m_now), 900);
}

TEST_F(team_quotas_test, useReportedByAnotherNode_countsAtTheNodeInCharge)
{
    // The node in charge of a team is told nothing by itself; its own requests must respect the use of the others as well.
    auto quotas = makeQuotas(true);
    quotas.receive(other, report(300, 1500), m_now);
    quotas.tick(m_members, m_now);
    ASSERT_EQ(m_sent.back().first, self);
    quotas.receive(self, *m_sent.back().second.body.Asquota_report(), m_now);
    quotas.receive(self, *m_sent.back().second.body.Asquota_totals(), m_now);
    EXPECT_NEAR(quotas.remaining(team, m_now), 1500, 1);
}

TEST_F(team_quotas_test, unevenUseOfAllNodes_isMarkedUntilItsWindowHasPassed)
{
    // After a kill of all processes the store is all that remains of a window that was used up at once.
    auto quotas = makeQuotas(false);
    std::vector<bool> marks;
    quotas.setMarkWriter([&](const team_id& name, bool isMarked) {
        EXPECT_EQ(name, team);
        marks.push_back(isMarked);
    });
    quotas.receive(other, report(100, 1500), m_now);
    quotas.tick(m_members, m_now);
    EXPECT_TRUE(marks.empty());
    quotas.receive(other, report(900, 800), m_now + 1s);
    for (auto now = m_now + 1s; now < m_now + 9s; now += 200ms)
        quotas.tick(m_members, now);
    EXPECT_EQ(marks, std::vector<bool> { true });
    for (auto now = m_now + 9s; now < m_now + 18s; now += 200ms)
        quotas.tick(m_members, now);
    EXPECT_EQ(marks, (std::vector<bool> { true, false }));
}

TEST_F(team_quotas_test, markedTeam_afterAStart_getsNothingForAWindow)
{
    // Nodes that start together took over from each other that a part of the quota is left. The mark may be read before the configuration.
    for (const bool isMarkFirst : { true, false }) {
        team_quotas quotas(self, 1, false, 8s, m_now, [](const node_id&, const peer::envelopeT&) {});
        if (isMarkFirst)
            quotas.restoreMarks({ team }, m_now);
        quotas.configure(limitedTeam(), m_now + 10ms);
        if (!isMarkFirst)
            quotas.restoreMarks({ team }, m_now + 20ms);
        quotas.receive(other, report(0, 900), m_now + 100ms);
        EXPECT_FALSE(quotas.reserve(team, 1, urgent, {}, m_now + 7900ms)) << isMarkFirst;
        EXPECT_TRUE(quotas.reserve(team, 800, urgent, {}, m_now + 8200ms)) << isMarkFirst;
    }
}

TEST_F(team_quotas_test, markedTeam_afterTheStartOfASingleNode_getsWhatTheNodeInChargeKnowsToBeLeft)
{
    // A restarted node refused a team in use for a window, although the node in charge knew that units were left. One that has
    // counted for less than a window may have started as well and does not know.
    auto quotas = makeQuotas(false);
    quotas.restoreMarks({ team }, m_now);
    fleet_members members { self, 0, m_now };
    member_update member;
    member.node = other;
    member.run = incarnation { 1 };
    members.apply(member, m_now);
    quotas.tick(members, m_now);
    const auto collector = m_sent.back().first;
    const auto totals = [](std::uint32_t countedMs) {
        peer::quota_totalsT message;
        message.run = 7;
        message.totals.emplace_back(teamHash(team), 0.0, 500.0, 0.0F, 600.0F, countedMs);
        return message;
    };
    quotas.receive(collector, totals(7900), m_now + 10ms);
    EXPECT_NEAR(quotas.remaining(team, m_now + 10ms), 0, 1);
    quotas.receive(collector, totals(60000), m_now + 20ms);
    EXPECT_NEAR(quotas.remaining(team, m_now + 20ms), 600, 1);
    EXPECT_NEAR(quotas.remaining(team, m_now + 7s), 600, 1);
}

TEST_F(team_quotas_test, nodeInChargeThatDoesNotServeTheTeam_tellsWhatIsLeft)
{
    // A restarted node adopted a whole quota from a node in charge that had counted the use of the others only for them.
    auto quotas = makeQuotas(true);
    quotas.receive(other, report(1500, 300), m_now);
    const auto* totals = m_sent.back().second.body.Asquota_totals();
    ASSERT_NE(totals, nullptr);
    EXPECT_NEAR(totals->totals.front().level(), 300, 1);
}

TEST_F(team_quotas_test, unknownTeam_getsNoTotals)
{
    // A node in charge that does not know the team's configuration yet must not report that nothing is left.
    auto quotas = makeQuotas(true);
    peer::quota_reportT unknown;
    unknown.uses.emplace_back(teamHash(team_id { "new" }), 10.0, 10.0F, 0.0F, 5.0F);
    quotas.receive(other, unknown, m_now);
    EXPECT_TRUE(m_sent.back().second.body.Asquota_totals()->totals.empty());
}

TEST_F(team_quotas_test, request_beyondTheQuota_isNotReserved)
{
    // Guards against a team that takes the capacity of the others.
    auto quotas = makeQuotas(true);
    EXPECT_TRUE(quotas.reserve(team, 800, urgent, {}, m_now));
    quotas.commit(team, 800, m_now);
    EXPECT_TRUE(quotas.reserve(team, 900, urgent, {}, m_now));
    EXPECT_FALSE(quotas.reserve(team, 900, urgent, {}, m_now));
    quotas.release(team, 900);
    EXPECT_TRUE(quotas.reserve(team, 900, urgent, {}, m_now));
}

} // namespace
} // namespace carawaylink::gateway
