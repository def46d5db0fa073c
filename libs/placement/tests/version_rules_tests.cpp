#include "slot_test_fleet.h"

namespace carawaylink::placement {
namespace {

constexpr unsigned slots = 50;

std::vector<discovery::endpoint_record> versionRecords(std::size_t old, std::size_t target)
{
    auto records = engineRecords(old + target, slots);
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].version = i < old ? "v1" : "v2";
        records[i].startedAtMs = i < old ? 1 : 2;
    }
    return records;
}

bool isTarget(const replica_id& replica, std::size_t old)
{
    return std::stoul(replica.value.substr(replica.value.find('-') + 1)) >= old;
}

version_rules rulesFor(version_use use, std::uint64_t term = 1)
{
    version_rules rules;
    rules.stamp = { 1, false, term, 0 };
    rules.target = "v2";
    rules.use = use;
    return rules;
}

version_rules finalRules(version_use use)
{
    auto rules = rulesFor(use);
    rules.stamp.isFinal = true;
    if (use == version_use::target_only)
        rules.retired = { "v1" };
    return rules;
}

class version_history_test : public testing::Test {
protected:
    using names = std::vector<std::string>;
    version_history m_history;
    monotonic_time m_now { 100s };
};

// Guards against requests to a new version whose order is read later than the entries of its endpoints.
TEST_F(version_history_test, versionThatAppears_isHeldBackForThreeSeconds)
{
    EXPECT_EQ(m_history.update(versionRecords(2, 0), "", m_now), names {});
    EXPECT_EQ(m_history.update(versionRecords(2, 2), "", m_now + 1s), names { "v2" });
    EXPECT_EQ(m_history.update(versionRecords(2, 2), "", m_now + 3900ms), names { "v2" });
    EXPECT_EQ(m_history.update(versionRecords(2, 2), "", m_now + 4001ms), names {});
}

TEST_F(version_history_test, versionsOfTheFirstList_areHeldBackExceptTheOldest)
{
    EXPECT_EQ(m_history.update(versionRecords(2, 2), "", m_now), names { "v2" });
}

TEST_F(version_history_test, versionOfAnOrder_isLeftToTheOrder)
{
    m_history.update(versionRecords(2, 0), "", m_now);
    EXPECT_EQ(m_history.update(versionRecords(2, 2), "v2", m_now), names {});
}

TEST_F(version_history_test, versionOfAllEndpoints_isNotHeldBack)
{
    m_history.update(versionRecords(2, 0), "", m_now);
    EXPECT_EQ(m_history.update(versionRecords(0, 2), "", m_now), names {});
}

class version_split_test : public testing::Test {
protected:
    version_split_test() { m_pool.setEndpoints(versionRecords(4, 4), m_now); }

    /// Number of grants of the target among this many requests of a route, each of which ends before the next.
    std::size_t targetGrants(std::size_t count, std::uint64_t route = 7)
    {
        std::size_t granted = 0;
        for (std::size_t i = 0; i < count; ++i) {
            waiting_request request;
            request.id = ++m_nextId;
            request.route = route;
            request.target = m_now + 1s;
            request.deadline = m_now + 5s;
            m_pool.submit(request);
            for (const auto& entry : m_pool.decide(m_now).grants) {
                granted += isTarget(entry.replica, 4) ? 1 : 0;
                m_used.insert(entry.replica);
                m_pool.recordProgress(entry.id, 1, m_now + 5ms);
                m_pool.recordOutcome(entry.id, outcome::completed, 1, m_now + 5ms);
            }
            m_now += 5ms;
        }
        return granted;
    }

    service_pool m_pool;
    monotonic_time m_now { 100s };
    std::uint64_t m_nextId = 0;
    std::set<replica_id> m_used;
};

TEST_F(version_split_test, shareOfTheTarget_isKept)
{
    m_pool.setVersionRules(rulesFor(version_use::both), version_split { .share = 0.2 });
    EXPECT_NEAR(static_cast<double>(targetGrants(500)), 100, 2);
}

// Guards against exposure beyond what the record reserves.
TEST_F(version_split_test, limitOfTheTarget_isNeverExceeded)
{
    m_pool.setVersionRules(rulesFor(version_use::both), version_split { .share = 0.5, .maxTargetGrants = 20 });
    EXPECT_EQ(targetGrants(300), 20U);
    m_pool.setVersionRules(rulesFor(version_use::both), version_split { .share = 0.6, .maxTargetGrants = 25 });
    EXPECT_EQ(targetGrants(300), 5U);
}

TEST_F(version_split_test, endpointsOfTheTargetBesidesTheCanaries_areNotUsed)
{
    m_pool.setVersionRules(rulesFor(version_use::both), version_split { .share = 0.5, .canaries = { replica_id { "engine-5" } } });
    EXPECT_GT(targetGrants(100), 40U);
    EXPECT_EQ(std::ranges::count_if(m_used, [](const replica_id& replica) { return isTarget(replica, 4); }), 1);
}

TEST_F(version_split_test, finalRules_allowOneVersionOnly)
{
    m_pool.setVersionRules(finalRules(version_use::target_only));
    EXPECT_EQ(targetGrants(50), 50U);
    m_pool.setVersionRules(finalRules(version_use::old_only));
    EXPECT_EQ(targetGrants(50), 0U);
}

// Guards against versions that come after a completed order and would never be used.
TEST_F(version_split_test, versionAfterACompletedOrder_isUsed)
{
    const auto rules = finalRules(version_use::target_only);
    EXPECT_TRUE(rules.allows("v3"));
    EXPECT_FALSE(rules.allows("v1"));
}

TEST_F(version_split_test, observations_tellRouteVersionAndTimes)
{
    m_pool.setVersionRules(rulesFor(version_use::target_only), version_split {});
    targetGrants(1, 9);
    const auto seen = m_pool.takeObservations();
    ASSERT_EQ(seen.size(), 3U);
    EXPECT_EQ(seen[0].event, version_event::sent);
    EXPECT_EQ(seen[0].route, 9U);
    EXPECT_TRUE(seen[0].isTarget);
    EXPECT_EQ(seen[1].event, version_event::first_event);
    EXPECT_EQ(seen[1].time, 5ms);
    EXPECT_EQ(seen[2].event, version_event::ended);
}

// Guards against good versions that are reverted because their endpoints have just started.
TEST_F(version_split_test, observations_tellColdEndpoints)
{
    auto records = versionRecords(4, 4);
    for (auto& record : records) {
        record.coldLeftMs = 1000;
        ++record.startedAtMs;
    }
    m_pool.setEndpoints(records, m_now);
    m_pool.setVersionRules(rulesFor(version_use::target_only), version_split {});
    targetGrants(1);
    EXPECT_TRUE(m_pool.takeObservations().front().isCold);
    m_now += 1s;
    targetGrants(1);
    EXPECT_FALSE(m_pool.takeObservations().front().isCold);
}

TEST_F(version_split_test, serviceWithoutOrder_isNotObserved)
{
    targetGrants(20);
    EXPECT_TRUE(m_pool.takeObservations().empty());
}

/// Four nodes in front of two endpoints of each version.
class version_fleet_test : public testing::Test {
protected:
    version_fleet_test() { m_fleet.run(300ms); }

    void setKnown(const version_rules& rules)
    {
        for (std::size_t node = 0; node < nodes; ++node)
            m_fleet.client(node).setVersionRules(rules);
    }

    void setOwned(std::size_t node, const version_rules& rules, double share = 0.5)
    {
        m_fleet.owned(node).setVersionRules(engineService, rules, { { 0, version_split { .share = share } } });
    }

    void load(std::size_t node, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_fleet.submit(node);
    }

    std::size_t targetGrants() const
    {
        std::size_t granted = 0;
        for (const auto& [replica, times] : m_fleet.grantTimes)
            granted += isTarget(replica_id { replica }, 2) ? times.size() : 0;
        return granted;
    }

    static constexpr std::size_t nodes = 4;
    slot_test_fleet m_fleet { nodes, versionRecords(2, 2) };
};

TEST_F(version_fleet_test, rulesOfTheOwner_reachNodesWithItsReplies)
{
    setKnown(rulesFor(version_use::old_only, 0));
    setOwned(m_fleet.ownerOfPool(), rulesFor(version_use::both));
    load(0, 20);
    m_fleet.run(50ms);
    EXPECT_EQ(targetGrants(), 10U);
    EXPECT_TRUE(m_fleet.declined.empty());
}

// Guards against an owner that was paused and still grants what another has reverted.
TEST_F(version_fleet_test, grantAgainstAFinalDecision_isDeclined)
{
    setOwned(m_fleet.ownerOfPool(), rulesFor(version_use::both));
    setKnown(finalRules(version_use::old_only));
    load(0, 20);
    m_fleet.run(100ms);
    EXPECT_EQ(targetGrants(), 0U);
    EXPECT_FALSE(m_fleet.declined.empty());
    EXPECT_EQ(m_fleet.grants.size(), 20U);
}

TEST_F(version_fleet_test, nodeWithoutItsOwner_usesOldEndpointsOnly)
{
    setKnown(rulesFor(version_use::old_only, 0));
    setOwned(m_fleet.ownerOfPool(), rulesFor(version_use::both));
    load(0, 4);
    m_fleet.run(50ms);
    const auto before = targetGrants();
    m_fleet.freeze(m_fleet.ownerOfPool());
    const auto other = (m_fleet.ownerOfPool() + 1) % nodes;
    load(other, 20);
    m_fleet.run(400ms);
    EXPECT_GT(m_fleet.grants.size(), 4U);
    EXPECT_EQ(targetGrants(), before);
}

TEST_F(version_fleet_test, decisionWithoutRequests_reachesNodesWithSessions)
{
    const auto owner = m_fleet.ownerOfPool();
    const auto node = (owner + 1) % nodes;
    setOwned(owner, rulesFor(version_use::both), 0);
    load(node, 1);
    m_fleet.run(50ms);
    setOwned(owner, finalRules(version_use::old_only));
    m_fleet.run(20ms);
    EXPECT_TRUE(m_fleet.client(node).local().versionRules().stamp.isFinal);
}

} // namespace
} // namespace carawaylink::placement
