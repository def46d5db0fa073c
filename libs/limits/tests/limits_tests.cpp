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

// 100 units/s with a burst of 200: 1,000 units in any 8 s.
const quota_limit smallLimit { 100, 200, 8s };
const quota_nodes alone {};

bool use(shared_quota& quota, double units, monotonic_time now, const quota_nodes& nodes = alone, tier level = urgent)
{
    if (!quota.reserve(units, level, nodes, now))
        return false;
    quota.commit(units, now);
    return true;
}

// Units granted per 100 ms step to a team that keeps requesting 10 units.
std::vector<double> usagePerStep(shared_quota& quota, int steps, const quota_nodes& nodes = alone)
{
    std::vector<double> used(static_cast<std::size_t>(steps));
    for (int step = 0; step < steps; ++step) {
        while (use(quota, 10, start + step * 100ms, nodes))
            used[static_cast<std::size_t>(step)] += 10;
    }
    return used;
}

double maxUnitsInWindow(const std::vector<double>& used, std::size_t steps)
{
    double largest = 0;
    for (std::size_t first = 0; first < used.size(); ++first) {
        const auto last = std::min(first + steps, used.size());
        largest = std::max(largest,
            std::accumulate(used.begin() + static_cast<std::ptrdiff_t>(first), used.begin() + static_cast<std::ptrdiff_t>(last), 0.0));
    }
    return largest;
}

TEST(shared_quota_test, anyWindow_isLimitedByRateAndBurst)
{
    // Guards against a team that exceeds its rate and burst in some window.
    shared_quota quota(smallLimit, start, true);
    const auto used = usagePerStep(quota, 300);
    EXPECT_LE(maxUnitsInWindow(used, 80), 1000);
    EXPECT_GE(std::accumulate(used.begin(), used.end(), 0.0), 3 * 1000);
}

TEST(shared_quota_test, teamSlightlyAboveRate_withinWindowLimit_isServed)
{
    // 120 units/s are 960 in any 8 s, below 1,000. A token bucket of 200 that refills at 100 units/s refused a sixth of these requests
    // under normal load.
    shared_quota quota(smallLimit, start, true);
    for (int step = 0; step < 300; ++step)
        EXPECT_TRUE(use(quota, 12, start + step * 100ms)) << step;
}

TEST(shared_quota_test, usageOfPeers_isNotAvailable)
{
    // Guards against every node granting the whole quota.
    shared_quota quota(smallLimit, start, true);
    quota.addPeerUsage(1000, start);
    EXPECT_FALSE(use(quota, 10, start));
    EXPECT_FALSE(use(quota, 10, start + 8s));
    EXPECT_TRUE(use(quota, 10, start + 9s));
}

TEST(shared_quota_test, reservationsOfPeers_areNotAvailable)
{
    // Requests waiting on other nodes will be sent; admitting as many here would exceed the quota.
    shared_quota quota(smallLimit, start, true);
    quota.addPeerReserved(1000);
    EXPECT_FALSE(use(quota, 10, start));
    quota.addPeerReserved(-500);
    EXPECT_TRUE(use(quota, 10, start));
}

TEST(shared_quota_test, unsentRequest_returnsItsUnits)
{
    // Requests refused under overload must not consume the quota of their team.
    shared_quota quota(smallLimit, start, true);
    for (int i = 0; i < 1000; ++i) {
        ASSERT_TRUE(quota.reserve(500, urgent, alone, start));
        quota.release(500);
    }
    EXPECT_EQ(quota.localUsage(), 0);
    EXPECT_EQ(quota.remaining(start), 1000);
}

TEST(shared_quota_test, nodes_withDelayedReports_stayNearLimit)
{
    // Ten nodes learn the usage of the others 300 ms late. The fleet may exceed the limit by at most a tenth.
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
            // Demand of three times the limit, evenly over the nodes.
            for (int request = 0; request < 3; ++request) {
                if (use(quotas[node], 15, now, fleet)) {
                    usedAt[step][node] += 15;
                    total[step] += 15;
                }
            }
        }
    }
    EXPECT_LE(maxUnitsInWindow(total, 80), 1.1 * limit.unitsPerWindow());
    EXPECT_GE(maxUnitsInWindow(total, 80), 0.9 * limit.unitsPerWindow());
}

TEST(shared_quota_test, singleLargeRequest_isNotExtrapolatedToPeers)
{
    // A single request of 40,000 units on this node was extrapolated to each of the three peers, so that a team with a fifth of its quota
    // left was refused.
    shared_quota quota({ 84587, 304512, 8s }, start, true);
    quota.addPeerUsage(720000, start);
    ASSERT_TRUE(use(quota, 40000, start + 1s, { 4, 4 }));
    EXPECT_TRUE(use(quota, 3488, start + 1s, { 4, 4 }, tier { 1 }));
}

TEST(shared_quota_test, isolatedNode_usesOnlyItsShare)
{
    // An isolated node cannot know the usage of the others.
    shared_quota quota(smallLimit, start, true);
    EXPECT_LE(maxUnitsInWindow(usagePerStep(quota, 200, { 1, 4 }), 80), 250);
}

TEST(shared_quota_test, restartedNode_startsWithPartOfBurst)
{
    // After all nodes were killed at once, past usage is unknown; starting with an unused window would double the burst.
    shared_quota quota({ 1, 1000, 8s }, start, false);
    double granted = 0;
    while (use(quota, 10, start))
        granted += 10;
    EXPECT_LE(granted, 260);
    EXPECT_GE(granted, 240);
}

TEST(shared_quota_test, restartedNodes_thatHearFromFew_divideWhatTheAssumedUsageLeaves)
{
    // Nodes that heard from two of seven after a start of all took the assumed usage of the fleet from their share (available -632,975 of
    // 272,666) and refused every request until it had left the window.
    const quota_nodes fewHeard { 2, 7 };
    shared_quota quota({ 135000, 135000, 8s }, start, false);
    EXPECT_GT(quota.requirementFor(100, urgent, fewHeard, start).availableUnits, 0);

    // Seven nodes that hear from nobody grant no more together than one that serves alone.
    const quota_limit limit { 10000, 20000, 8s };
    shared_quota single(limit, start, false);
    shared_quota isolated(limit, start, false);
    const auto sumOf = [](const std::vector<double>& used) { return std::accumulate(used.begin(), used.end(), 0.0); };
    const auto usedAlone = sumOf(usagePerStep(single, 80));
    const auto usedBySeven = 7 * sumOf(usagePerStep(isolated, 80, { 1, 7 }));
    EXPECT_LE(usedBySeven, usedAlone);
    EXPECT_GE(usedBySeven, 0.95 * usedAlone);
}

TEST(shared_quota_test, restartedNode_afterSetRemaining_hasReportedUnits)
{
    shared_quota quota(smallLimit, start, false);
    quota.setRemaining(700, start);
    EXPECT_NEAR(quota.remaining(start), 700, 1);
}

TEST(shared_quota_test, windowAssumedUsedAtTheStart_isGrantedOnceItHasPassed)
{
    // All processes were killed just after a window was used up; refilled by the rate, part of it was granted again.
    shared_quota quota(smallLimit, start, false);
    quota.assumeUsedAt(quota.unitsPerWindow(), start);
    EXPECT_FALSE(use(quota, 10, start + 7900ms));
    EXPECT_TRUE(use(quota, 900, start + 8200ms));
}

TEST(shared_quota_test, usageAheadOfEvenUsage_isTold)
{
    // A team that uses its whole limit evenly needs no memory of it; one that used the window at once does, until the window has passed.
    shared_quota even(smallLimit, start, true);
    for (auto now = start; now < start + 20s; now += 100ms) {
        ASSERT_TRUE(use(even, 12, now));
        EXPECT_FALSE(even.isAheadOfEvenUsage(now));
    }
    shared_quota burst(smallLimit, start, true);
    ASSERT_TRUE(use(burst, 900, start));
    EXPECT_TRUE(burst.isAheadOfEvenUsage(start));
    EXPECT_TRUE(burst.isAheadOfEvenUsage(start + 6s));
    EXPECT_FALSE(burst.isAheadOfEvenUsage(start + 8200ms));
}

TEST(shared_quota_test, requestLargerThanWindow_withUnusedQuota_isAdmitted)
{
    // Guards against a request that could never be admitted.
    shared_quota quota(smallLimit, start, true);
    EXPECT_TRUE(use(quota, 1500, start));
    EXPECT_FALSE(use(quota, 10, start + 1s));
}

TEST(shared_quota_test, scarceQuota_isReservedForUrgentRequests)
{
    // When a team is over its quota, long requests of low priority would take the tokens of the urgent ones.
    shared_quota quota({ 100, 1000, 8s }, start, true);
    quota.addPeerUsage(1700, start);
    EXPECT_FALSE(use(quota, 50, start, alone, tier { 2 }));
    EXPECT_TRUE(use(quota, 50, start, alone, urgent));
}

TEST(shared_quota_test, timeUntilAvailable_isWhenWindowHasRoom)
{
    // Guards against a retry time at which the caller would be refused again.
    shared_quota quota(smallLimit, start, true);
    quota.addPeerUsage(1000, start);
    const auto wait = quota.timeUntilAvailable(10, urgent, alone, start + 1s);
    EXPECT_FALSE(use(quota, 10, start + 1s + wait - 1ms));
    EXPECT_TRUE(use(quota, 10, start + 1s + wait));
}

TEST(shared_quota_test, unlimitedTeam_isAlwaysAdmitted)
{
    shared_quota quota({ 0, 0, 8s }, start, true);
    EXPECT_TRUE(use(quota, 1e12, start, { 1, 10 }, tier { 3 }));
}

TEST(shared_quota_test, lowerLimit_takesEffectImmediately)
{
    // Guards against usage credit that accrued under the old limit.
    shared_quota quota({ 1000, 10000, 8s }, start, true);
    quota.configure({ 10, 20, 8s }, start);
    EXPECT_TRUE(use(quota, 100, start));
    EXPECT_FALSE(use(quota, 20, start));
}

TEST(shared_quota_test, lowerLimit_withUsageBelowOldLimit_stillServesTeam)
{
    // A team that used half of the old limit must not be refused everything until that usage has left the window.
    shared_quota quota({ 1000, 2000, 8s }, start, true);
    quota.addPeerUsage(5000, start);
    quota.configure(smallLimit, start);
    EXPECT_TRUE(use(quota, 100, start));
}

TEST(shared_quota_test, limitLoweredAndRaisedWithinAWindow_grantsNoMoreThanTheHigherLimit)
{
    // The usage was scaled down with the limit and stayed so when the limit was raised again, which granted nearly a whole quota twice.
    shared_quota quota(smallLimit, start, true);
    ASSERT_TRUE(use(quota, 1000, start));
    quota.configure({ 10, 20, 8s }, start + 1s);
    quota.configure(smallLimit, start + 2s);
    EXPECT_FALSE(use(quota, 10, start + 2s));
    EXPECT_FALSE(use(quota, 10, start + 7900ms));
    EXPECT_TRUE(use(quota, 10, start + 9200ms));
}

TEST(shared_quota_test, limitRaisedWithinAWindow_countsWhatTheLowerOneGranted)
{
    // Guards against usage under a lower limit that counts for more or less than it was.
    shared_quota quota({ 10, 20, 8s }, start, true);
    ASSERT_TRUE(use(quota, 100, start));
    quota.configure(smallLimit, start + 1s);
    EXPECT_NEAR(quota.remaining(start + 1s), 900, 1);
}

TEST(shared_quota_test, remainingAdoptedUnderALoweredLimit_countsAgainstTheHigherOne)
{
    // A change of the collector while the limit was low replaced the usage under the higher limit by units of the lower one.
    shared_quota quota(smallLimit, start, true);
    ASSERT_TRUE(use(quota, 900, start));
    quota.configure({ 10, 20, 8s }, start + 1s);
    quota.setRemaining(10, start + 1s);
    EXPECT_NEAR(quota.remaining(start + 1s), 10, 1);
    quota.configure(smallLimit, start + 1s);
    EXPECT_NEAR(quota.remaining(start + 1s), 100, 1);
}

TEST(retry_budget_test, budget_withoutRequests_allowsShareOfSlack)
{
    // Guards against nodes that each use the slack of the whole fleet.
    retry_budget budget(0.2, 50, 10s);
    int retries = 0;
    while (budget.takeRetry(5, start))
        ++retries;
    EXPECT_EQ(retries, 8);
}

TEST(retry_budget_test, budget_afterWindow_allowsRetriesAgain)
{
    retry_budget budget(0.2, 50, 10s);
    while (budget.takeRetry(5, start)) { }
    EXPECT_FALSE(budget.takeRetry(5, start + 5s));
    EXPECT_TRUE(budget.takeRetry(5, start + 11s));
}

TEST(retry_budget_test, requests_increaseBudget)
{
    retry_budget budget(0.2, 0, 10s);
    EXPECT_FALSE(budget.takeRetry(1, start));
    for (int i = 0; i < 100; ++i)
        budget.countRequest(start);
    int retries = 0;
    while (budget.takeRetry(1, start))
        ++retries;
    EXPECT_EQ(retries, 16);
}

} // namespace
} // namespace carawaylink::limits
