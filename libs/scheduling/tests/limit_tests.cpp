#include "scheduling/placement_policy.h"
#include "scheduling/retry_budget.h"
#include "scheduling/team_rate_limit.h"

#include <gtest/gtest.h>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

static_assert(placement_policy<round_robin_policy> && placement_policy<least_load_policy> && placement_policy<power_of_two_policy>);

const monotonic_time start { 1h };

class placement_policies : public testing::Test {
protected:
    std::vector<endpoint_view> endpoints { { endpoint_id("e1"), 5, 0 }, { endpoint_id("e2"), 1, 1 }, { endpoint_id("e3"), 9, 9 } };
    random_source random { 1 };
};

// Guards against a baseline policy that skips or repeats endpoints.
TEST_F(placement_policies, round_robin_chooses_each_in_turn)
{
    round_robin_policy policy;
    for (const auto* expected : { "e1", "e2", "e3", "e1" })
        EXPECT_EQ(policy.choose(endpoints, random), endpoint_id(expected));
}

// Guards against a baseline policy that ignores waiting requests.
TEST_F(placement_policies, least_load_counts_running_and_waiting)
{
    EXPECT_EQ(least_load_policy().choose(endpoints, random), endpoint_id("e2"));
}

// Guards against a weakened baseline policy: the most loaded of three endpoints must never win a comparison of two.
TEST_F(placement_policies, power_of_two_never_chooses_most_loaded)
{
    power_of_two_policy policy;
    int best = 0;
    for (int i = 0; i < 300; ++i) {
        const auto choice = policy.choose(endpoints, random);
        ASSERT_NE(choice, endpoint_id("e3"));
        best += choice == endpoint_id("e2") ? 1 : 0;
    }
    EXPECT_NEAR(best, 200, 40);
}

// Guards against a crash while a pool has no endpoint.
TEST_F(placement_policies, empty_list_gives_nothing)
{
    EXPECT_FALSE(round_robin_policy().choose({}, random).has_value());
    EXPECT_FALSE(least_load_policy().choose({}, random).has_value());
    EXPECT_FALSE(power_of_two_policy().choose({}, random).has_value());
}

class retry_budgets : public testing::Test { };

// Guards against retries multiplying the load on a failing service.
TEST_F(retry_budgets, retries_stay_within_share_of_requests)
{
    retry_budget budget(0.1, 0);
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.recordRequest(start + 1ms * i);
        retries += budget.tryRetry(start + 1ms * i) ? 1 : 0;
    }
    EXPECT_LE(retries, 1001);
    EXPECT_GE(retries, 950);
}

// Guards against requests of a service with little load never being retried.
TEST_F(retry_budgets, minimum_allows_retries_without_load)
{
    retry_budget budget(0.1, 0.5);
    int retries = 0;
    for (int i = 0; i < 100; ++i)
        retries += budget.tryRetry(start + 1s * i) ? 1 : 0;
    EXPECT_NEAR(retries, 50, 2);
}

// Guards against budget accumulated under high load allowing a burst of retries much later.
TEST_F(retry_budgets, unused_budget_expires)
{
    retry_budget budget(0.1, 0);
    for (int i = 0; i < 10000; ++i)
        budget.recordRequest(start);
    int retries = 0;
    while (budget.tryRetry(start + 120s))
        ++retries;
    EXPECT_LE(retries, 1);
}

class circuit_breakers : public testing::Test {
protected:
    void fail(int count, monotonic_time when)
    {
        for (int i = 0; i < count; ++i)
            breaker.recordFailure(when);
    }

    circuit_breaker breaker;
};

// Guards against single failures taking an endpoint out of use.
TEST_F(circuit_breakers, success_resets_failure_count)
{
    fail(4, start);
    breaker.recordSuccess();
    fail(4, start);
    EXPECT_EQ(breaker.state(start), circuit_state::closed);
    EXPECT_TRUE(breaker.allowRequest(start));
}

// Guards against a recovering endpoint being flooded, and against a lost probe result blocking it permanently.
TEST_F(circuit_breakers, half_open_admits_one_probe_per_backoff_interval)
{
    fail(5, start);
    EXPECT_EQ(breaker.state(start), circuit_state::open);
    EXPECT_FALSE(breaker.allowRequest(start + 499ms));
    EXPECT_EQ(breaker.state(start + 500ms), circuit_state::half_open);
    EXPECT_TRUE(breaker.allowRequest(start + 500ms));
    EXPECT_FALSE(breaker.allowRequest(start + 501ms));
    EXPECT_TRUE(breaker.allowRequest(start + 1000ms));
    breaker.recordSuccess();
    EXPECT_EQ(breaker.state(start + 1000ms), circuit_state::closed);
}

// Guards against an endpoint that stays down being probed twice per second indefinitely.
TEST_F(circuit_breakers, backoff_doubles_up_to_its_limit)
{
    auto when = start;
    fail(5, when);
    duration backoff {};
    for (int i = 0; i < 10; ++i) {
        const auto from = when;
        while (!breaker.allowRequest(when))
            when += 100ms;
        backoff = when - from;
        breaker.recordFailure(when);
    }
    EXPECT_EQ(backoff, duration(30s));
}

class team_rate_limits : public testing::Test {
protected:
    team_rate_limits()
    {
        const std::vector<team_limit> limits { { team, 10, 1000 } };
        limit.setLimits(limits);
    }

    const team_id team { "a" };
    team_rate_limit limit { 1s };
};

// Guards against a team exceeding its request rate after its burst, and against a retry hint that is too short.
TEST_F(team_rate_limits, requests_are_admitted_at_their_rate)
{
    for (int i = 0; i < 10; ++i)
        EXPECT_FALSE(limit.tryAcquire(start, team, tokens(1)).has_value());
    const auto wait = limit.tryAcquire(start, team, tokens(1));
    ASSERT_TRUE(wait.has_value());
    EXPECT_NEAR(std::chrono::duration<double>(*wait).count(), 0.1, 0.001);
    EXPECT_FALSE(limit.tryAcquire(start + *wait, team, tokens(1)).has_value());
    EXPECT_TRUE(limit.tryAcquire(start + *wait, team, tokens(1)).has_value());
}

// Guards against a request larger than the burst never being admitted, and against it not being charged.
TEST_F(team_rate_limits, request_above_burst_is_admitted_and_delays_next)
{
    EXPECT_FALSE(limit.tryAcquire(start, team, tokens(5000)).has_value());
    const auto wait = limit.tryAcquire(start + 1s, team, tokens(1));
    ASSERT_TRUE(wait.has_value());
    EXPECT_NEAR(std::chrono::duration<double>(*wait).count(), 3.0, 0.01);
}

// Guards against a team being charged for estimated tokens that it did not use.
TEST_F(team_rate_limits, correction_returns_unused_tokens)
{
    EXPECT_FALSE(limit.tryAcquire(start, team, tokens(1000)).has_value());
    EXPECT_TRUE(limit.tryAcquire(start, team, tokens(500)).has_value());
    limit.correctEstimate(start, team, tokens(1000), tokens(200));
    EXPECT_FALSE(limit.tryAcquire(start, team, tokens(500)).has_value());
}

// Guards against a configuration change refilling every bucket, and against limits for teams that have none.
TEST_F(team_rate_limits, new_limits_keep_levels_of_unchanged_teams)
{
    EXPECT_FALSE(limit.tryAcquire(start, team, tokens(1000)).has_value());
    const std::vector<team_limit> limits { { team, 10, 1000 }, { team_id("b"), 1, 0 } };
    limit.setLimits(limits);
    EXPECT_TRUE(limit.tryAcquire(start, team, tokens(500)).has_value());
    EXPECT_FALSE(limit.tryAcquire(start, team_id("c"), tokens(1 << 30)).has_value());
    EXPECT_FALSE(limit.tryAcquire(start, team_id("b"), tokens(1 << 30)).has_value());
}

} // namespace
} // namespace carawaylink
