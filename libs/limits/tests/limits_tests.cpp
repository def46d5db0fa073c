#include "limits/retry_budget.h"
#include "limits/shared_quota.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <vector>

namespace carawaylink::limits {
namespace {

using namespace std::chrono_literals;

constexpr monotonic_time start { 100s };
const tier urgent { 0 };

// 100 units a second with a burst of 200: 1,000 units in any 8 s.
const quota_limit smallLimit { 100, 200, 8s };
const quota_nodes alone {};

bool use(shared_quota& quota, double units, monotonic_time now, const quota_nodes& nodes = alone, tier level = urgent)
{
    if (!quota.reserve(units, level, nodes, now))
        return false;
    quota.commit(units, now);
    return true;
}

// Units that a team gets which asks for 10 units again and again, by steps of 100 ms.
std::vector<double> useBySteps(shared_quota& quota, int steps, const quota_nodes& nodes = alone)
{
    std::vector<double> used(static_cast<std::size_t>(steps));
    for (int step = 0; step < steps; ++step) {
        while (use(quota, 10, start + step * 100ms, nodes))
            used[static_cast<std::size_t>(step)] += 10;
    }
    return used;
}

double largestWindow(const std::vector<double>& used, std::size_t steps)
{
    double largest = 0;
    for (std::size_t first = 0; first < used.size(); ++first) {
        const auto last = std::min(first + steps, used.size());
        largest = std::max(largest,
            std::accumulate(used.begin() + static_cast<std::ptrdiff_t>(first), used.begin() + static_cast<std::ptrdiff_t>(last), 0.0));
    }
    return largest;
}

TEST(shared_quota_test, anyWindow_isBoundByRateAndBurst)
{
    // Guards against a team that gets more than its rate and burst, at any moment.
    shared_quota quota(smallLimit, start, true);
    const auto used = useBySteps(quota, 300);
    EXPECT_LE(largestWindow(used, 80), 1000);
    EXPECT_GE(std::accumulate(used.begin(), used.end(), 0.0), 3 * 1000);
}

TEST(shared_quota_test, teamSlightlyAboveItsRate_isServedWhereItsWindowsAllow)
{
    // 120 units a second are 960 in any 8 s, below 1,000. A bucket of 200 that refills at 100 a second refused a sixth of them
    // on a quiet day of the grown oduya-choirtea.
    shared_quota quota(smallLimit, start, true);
    for (int step = 0; step < 300; ++step)
        EXPECT_TRUE(use(quota, 12, start + step * 100ms)) << step;
}

TEST(shared_quota_test, takenByPeers_isNotAvailableHere)
{
    // Guards against each node giving the whole quota.
    shared_quota quota(smallLimit, start, true);
    quota.addPeerUsage(1000, start);
    EXPECT_FALSE(use(quota, 10, start));
    EXPECT_FALSE(use(quota, 10, start + 8s));
    EXPECT_TRUE(use(quota, 10, start + 9s));
}

TEST(shared_quota_test, reservedByPeers_isNotAvailableHere)
{
    // Requests that wait on other nodes will be sent; admitting as many here would exceed the quota.
    shared_quota quota(smallLimit, start, true);
    quota.addPeerReserved(1000);
    EXPECT_FALSE(use(quota, 10, start));
    quota.addPeerReserved(-500);
    EXPECT_TRUE(use(quota, 10, start));
}

TEST(shared_quota_test, requestThatIsNotSent_returnsItsUnits)
{
    // Refusals under overload must not use up the quota of the team that was refused.
    shared_quota quota(smallLimit, start, true);
    for (int i = 0; i < 1000; ++i) {
        ASSERT_TRUE(quota.reserve(500, urgent, alone, start));
        quota.release(500);
    }
    EXPECT_EQ(quota.localUsage(), 0);
    EXPECT_EQ(quota.remaining(start), 1000);
}

TEST(shared_quota_test, nodesThatReportWithDelay_togetherStayNearTheLimit)
{
    // Ten nodes see what the others used 300 ms later. The rules allow a tenth above the limit, and some slack.
    constexpr int nodes = 10;
    constexpr int delaySteps = 3;
    const quota_nodes fleet { nodes, nodes };
    const quota_limit limit { 1000, 2000, 8s };
    std::vector<shared_quota> quotas(nodes, shared_quota(limit, start, true));
    std::vector<std::vector<double>> usedAt(300, std::vector<double>(nodes));
    std::vector<double> total(300);
    for (std::size_t step = 0; step < total.size(); ++step) {
        const auto now = start + static_cast<int>(step) * 100ms;
        for (std::size_t node = 0; node < nodes; ++node) {
            for (std::size_t other = 0; other < nodes && step >= delaySteps; ++other) {
                if (other != node)
                    quotas[node].addPeerUsage(usedAt[step - delaySteps][other], now);
            }
            // Three times the limit is asked for, evenly over the nodes.
            for (int request = 0; request < 3; ++request) {
                if (use(quotas[node], 15, now, fleet)) {
                    usedAt[step][node] += 15;
                    total[step] += 15;
                }
            }
        }
    }
    EXPECT_LE(largestWindow(total, 80), 1.1 * limit.unitsPerWindow());
    EXPECT_GE(largestWindow(total, 80), 0.9 * limit.unitsPerWindow());
}

TEST(shared_quota_test, oneLargeRequest_isNotTakenForTheUseOfAllPeers)
{
    // A team with a fifth of its quota left was refused on a quiet day of oduya-choirtea: a single request of 40,000 units here
    // was taken to have come to each of the other three nodes as well.
    shared_quota quota({ 84587, 304512, 8s }, start, true);
    quota.addPeerUsage(720000, start);
    ASSERT_TRUE(use(quota, 40000, start + 1s, { 4, 4 }));
    EXPECT_TRUE(use(quota, 3488, start + 1s, { 4, 4 }, tier { 1 }));
}

TEST(shared_quota_test, nodeAlone_usesItsShareOnly)
{
    // A node that is cut off cannot know what the others take.
    shared_quota quota(smallLimit, start, true);
    EXPECT_LE(largestWindow(useBySteps(quota, 200, { 1, 4 }), 80), 250);
}

TEST(shared_quota_test, restartedNode_doesNotStartWithWholeBurst)
{
    // All nodes killed at once have forgotten what was taken; an unused window would double the burst.
    shared_quota quota({ 1, 1000, 8s }, start, false);
    double taken = 0;
    while (use(quota, 10, start))
        taken += 10;
    EXPECT_LE(taken, 260);
    EXPECT_GE(taken, 240);
}

TEST(shared_quota_test, restartedNode_thatAdopts_hasWhatItsPeersKnow)
{
    shared_quota quota(smallLimit, start, false);
    quota.setRemaining(700, start);
    EXPECT_NEAR(quota.remaining(start), 700, 1);
}

TEST(shared_quota_test, requestLargerThanTheWindow_isAdmittedFromAnUnusedOne)
{
    // Guards against a request that no amount of waiting would admit.
    shared_quota quota(smallLimit, start, true);
    EXPECT_TRUE(use(quota, 1500, start));
    EXPECT_FALSE(use(quota, 10, start + 1s));
}

TEST(shared_quota_test, scarceQuota_isLeftToUrgentRequests)
{
    // A team over its quota: the long cheap requests would take the tokens of the urgent ones.
    shared_quota quota({ 100, 1000, 8s }, start, true);
    quota.addPeerUsage(1700, start);
    EXPECT_FALSE(use(quota, 50, start, alone, tier { 2 }));
    EXPECT_TRUE(use(quota, 50, start, alone, urgent));
}

TEST(shared_quota_test, timeToReturn_isWhenTheWindowHasRoom)
{
    // A caller that returns earlier is refused again.
    shared_quota quota(smallLimit, start, true);
    quota.addPeerUsage(1000, start);
    const auto wait = quota.timeUntilAvailable(10, urgent, alone, start + 1s);
    EXPECT_FALSE(use(quota, 10, start + 1s + wait - 1ms));
    EXPECT_TRUE(use(quota, 10, start + 1s + wait));
}

TEST(shared_quota_test, unlimitedTeam_isNeverRefused)
{
    shared_quota quota({ 0, 0, 8s }, start, true);
    EXPECT_TRUE(use(quota, 1e12, start, { 1, 10 }, tier { 3 }));
}

TEST(shared_quota_test, lowerLimit_takesEffectAtOnce)
{
    // Guards against use that was saved under the old limit.
    shared_quota quota({ 1000, 10000, 8s }, start, true);
    quota.configure({ 10, 20, 8s }, start);
    EXPECT_TRUE(use(quota, 100, start));
    EXPECT_FALSE(use(quota, 20, start));
}

TEST(shared_quota_test, lowerLimit_leavesATeamThatWasBelowItServed)
{
    // A team that used half of the old limit must not be refused everything until the old use has left the window.
    shared_quota quota({ 1000, 2000, 8s }, start, true);
    quota.addPeerUsage(5000, start);
    quota.configure(smallLimit, start);
    EXPECT_TRUE(use(quota, 100, start));
}

TEST(retry_budget_test, withoutRequests_allowsOwnPartOfSlack)
{
    // Guards against nodes that each spend the slack of the fleet.
    retry_budget budget(0.2, 50, 10s);
    int repeats = 0;
    while (budget.takeRetry(5, start))
        ++repeats;
    EXPECT_EQ(repeats, 8);
}

TEST(retry_budget_test, window_afterItsEnd_allowsRepeatsAgain)
{
    retry_budget budget(0.2, 50, 10s);
    while (budget.takeRetry(5, start)) { }
    EXPECT_FALSE(budget.takeRetry(5, start + 5s));
    EXPECT_TRUE(budget.takeRetry(5, start + 11s));
}

TEST(retry_budget_test, requests_raiseTheAllowance)
{
    retry_budget budget(0.2, 0, 10s);
    EXPECT_FALSE(budget.takeRetry(1, start));
    for (int i = 0; i < 100; ++i)
        budget.countRequest(start);
    int repeats = 0;
    while (budget.takeRetry(1, start))
        ++repeats;
    EXPECT_EQ(repeats, 16);
}

} // namespace
} // namespace carawaylink::limits
