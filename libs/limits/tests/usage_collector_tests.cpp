#include "limits/usage_collector.h"
#include "limits/usage_reporter.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace carawaylink::limits {
namespace {

using namespace std::chrono_literals;

constexpr team_hash team = 17;
constexpr monotonic_time start { 100s };
const tier urgent { 0 };

// A team of a large fleet: about 30 requests of 7,000 tokens per second.
const quota_limit limit { 200000, 200000, 8s };
constexpr double requestUnits = 7000;
// What the users tolerate above the limit in a window.
constexpr double toleratedUnits = 140000;
constexpr double toleratedFactor = 1.1;
// Interval of the requests of a team that sends six times its usual load.
constexpr auto hotInterval = 10ms;

double maxToleratedUnits()
{
    return toleratedFactor * limit.unitsPerWindow() + toleratedUnits;
}

// Nodes that use one team's quota and the nodes in charge of it; messages arrive after 2 ms.
class usage_fleet {
public:
    explicit usage_fleet(std::size_t nodes, bool startsUnused = true)
    {
        for (std::size_t i = 0; i < nodes; ++i)
            m_nodes.push_back(std::make_unique<node_state>(startsUnused));
    }

    // Each node in turn tries to use units, for the given time; returns the units used.
    double use(double unitsPerRequest, duration span, duration interval)
    {
        double total = 0;
        std::size_t turn = 0;
        for (const auto end = now + span; now < end; now += interval) {
            exchange();
            const auto index = turn++ % m_nodes.size();
            auto& node = *m_nodes[index];
            const auto size = m_nodes.size();
            if (!node.quota.reserve(unitsPerRequest, urgent, node.reporter.nodes(size, size, now), now))
                continue;
            node.quota.commit(unitsPerRequest, now);
            total += unitsPerRequest;
            m_used.push_back({ now, unitsPerRequest });
        }
        return total;
    }

    void idle(duration span)
    {
        for (const auto end = now + span; now < end; now += 10ms)
            exchange();
    }

    double maxUnitsInWindow() const
    {
        double largest = 0;
        double sum = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_used.size(); ++last) {
            sum += m_used[last].second;
            while (m_used[last].first - m_used[first].first >= limit.window)
                sum -= m_used[first++].second;
            largest = std::max(largest, sum);
        }
        return largest;
    }

    void replaceCollector()
    {
        collector = std::make_unique<usage_collector>();
        ++collectorRun;
    }

    shared_quota& quota(std::size_t node) { return m_nodes[node]->quota; }
    bool isConnected(std::size_t node) const { return m_nodes[node]->reporter.isConnected(now); }

    monotonic_time now = start;
    std::unique_ptr<usage_collector> collector = std::make_unique<usage_collector>();
    std::uint64_t collectorRun = 1;
    bool isCollectorSilent = false;
    std::size_t reports = 0;

private:
    struct node_state {
        explicit node_state(bool startsUnused)
            : quota(limit, start, startsUnused)
            , reporter(startsUnused)
        {
        }
        shared_quota quota;
        usage_reporter reporter;
    };
    struct reply {
        monotonic_time arrives;
        std::size_t node = 0;
        std::uint64_t run = 0;
        quota_total total;
        double level = 0;
    };

    node_id collectorName() const { return node_id { "collector" + std::to_string(collectorRun) }; }

    void exchange()
    {
        while (!m_replies.empty() && m_replies.front().arrives <= now) {
            auto& node = *m_nodes[m_replies.front().node];
            const auto& arrived = m_replies.front();
            node.reporter.receive(
                node_id { "collector" + std::to_string(arrived.run) }, arrived.run, arrived.total, arrived.level, node.quota, now);
            m_replies.pop_front();
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& node = *m_nodes[i];
            if (!node.reporter.isDue(node.quota, now))
                continue;
            const auto use = node.reporter.takeReport(collectorName(), node.quota, now);
            ++reports;
            if (isCollectorSilent)
                continue;
            const auto total = collector->report(team, node_id { std::to_string(i) }, 1, use, now);
            m_replies.push_back({ now + 4ms, i, collectorRun, total, m_nodes.front()->quota.remaining(now) });
        }
    }

    std::vector<std::unique_ptr<node_state>> m_nodes;
    std::deque<reply> m_replies;
    std::vector<std::pair<monotonic_time, double>> m_used;
};

TEST(usage_collector_test, useOfAllNodes_staysWithinTheQuota)
{
    // The quota holds for the fleet, whatever its size.
    for (const std::size_t nodes : { 1U, 4U, 34U, 118U }) {
        usage_fleet fleet(nodes);
        const auto total = fleet.use(requestUnits, 20s, hotInterval);
        EXPECT_LE(fleet.maxUnitsInWindow(), maxToleratedUnits()) << nodes;
        EXPECT_GE(total, 0.8 * 20 * limit.ratePerSecond) << nodes;
    }
}

TEST(usage_collector_test, replacedCollector_losesNoUse)
{
    // A team must not get its quota again whenever the node in charge of it fails.
    usage_fleet fleet(10);
    for (int i = 0; i < 10; ++i) {
        fleet.use(requestUnits, 1s, hotInterval);
        fleet.replaceCollector();
    }
    EXPECT_LE(fleet.maxUnitsInWindow(), maxToleratedUnits());
}

TEST(usage_collector_test, silentCollector_leavesEachNodeItsShare)
{
    // Nodes that do not know what the others use must together stay within the quota.
    usage_fleet fleet(10);
    fleet.use(requestUnits, 2s, hotInterval);
    fleet.isCollectorSilent = true;
    fleet.use(requestUnits, 20s, hotInterval);
    EXPECT_FALSE(fleet.isConnected(3));
    EXPECT_LE(fleet.maxUnitsInWindow(), maxToleratedUnits());
    fleet.isCollectorSilent = false;
    fleet.use(requestUnits, 1s, hotInterval);
    EXPECT_TRUE(fleet.isConnected(3));
}

TEST(usage_collector_test, restartedNode_isNotChargedForUseBeforeItsStart)
{
    // Counting all that the others have ever used would exhaust the quota of each team for seconds after a restart.
    usage_collector collector;
    collector.report(team, node_id { "a" }, 1, { 1e6, 1e6, 0 }, start);
    shared_quota quota(limit, start, false);
    usage_reporter reporter(false);
    const auto before = quota.remaining(start);
    const auto use = reporter.takeReport(node_id { "c" }, quota, start);
    const auto total = collector.report(team, node_id { "b" }, 1, use, start + 10s);
    reporter.receive(node_id { "c" }, 1, total, 500, quota, start + 1ms);
    EXPECT_GE(quota.remaining(start + 1ms), before);
}

TEST(usage_collector_test, nodeInFirstStart_isChargedForWhatOthersUsed)
{
    // Guards against use in the first moments of a fleet that no other node counts.
    usage_collector collector;
    collector.report(team, node_id { "a" }, 1, { 30000, 30000, 0 }, start);
    shared_quota quota(limit, start, true);
    usage_reporter reporter(true);
    const auto use = reporter.takeReport(node_id { "c" }, quota, start);
    reporter.receive(node_id { "c" }, 1, collector.report(team, node_id { "b" }, 1, use, start), 0, quota, start);
    EXPECT_NEAR(quota.remaining(start), limit.unitsPerWindow() - 30000, 1);
}

TEST(usage_collector_test, reservationsOfLostNode_areReleased)
{
    // Guards against units that stay reserved for requests of a node that failed.
    usage_collector collector;
    collector.report(team, node_id { "a" }, 1, { 0, 0, 5000 }, start);
    EXPECT_EQ(collector.report(team, node_id { "b" }, 1, {}, start).othersReserved, 5000);
    collector.removeNode(node_id { "a" });
    EXPECT_EQ(collector.report(team, node_id { "b" }, 1, {}, start).othersReserved, 0);
    collector.report(team, node_id { "a" }, 1, { 0, 0, 5000 }, start);
    collector.expire(start + 2s);
    EXPECT_EQ(collector.report(team, node_id { "b" }, 1, {}, start + 2s).othersReserved, 0);
}

TEST(usage_collector_test, restartedProcess_isCountedFromZero)
{
    // A process that restarts counts from zero again, so its next report is lower than the last one of its predecessor.
    usage_collector collector;
    collector.report(team, node_id { "a" }, 1, { 4000, 4000, 0 }, start);
    collector.report(team, node_id { "a" }, 2, { 300, 300, 0 }, start + 1s);
    EXPECT_EQ(collector.report(team, node_id { "b" }, 1, {}, start + 1s).othersUsed, 4300);
}

TEST(usage_collector_test, unusedQuota_isNotReported)
{
    // What a node spends on quotas follows the teams that it serves, not the number of teams.
    usage_fleet fleet(4);
    fleet.use(requestUnits, 500ms, 500ms);
    fleet.idle(3s);
    fleet.reports = 0;
    fleet.idle(2s);
    EXPECT_EQ(fleet.reports, 0U);
}

} // namespace
} // namespace carawaylink::limits
