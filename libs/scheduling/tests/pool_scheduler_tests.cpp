#include "pool_driver.h"

#include <gtest/gtest.h>
#include <numeric>

namespace carawaylink {
namespace {

class pool_scheduling : public testing::Test {
protected:
    /// Runs enough requests for the estimates of the cost model to be used for refusals and preemptions.
    static void warmUp(pool_driver& driver, int count = 10)
    {
        for (int i = 0; i < count; ++i) {
            driver.submit(driver.make("warmup", 0, 100 + 10 * i, 20));
            driver.run(400ms);
        }
    }
};

// Guards against a queue building up in the engine because more requests are granted than the endpoint runs concurrently.
TEST_F(pool_scheduling, full_endpoint_keeps_requests_waiting)
{
    pool_driver driver;
    driver.addEndpoint("e1", 2);
    for (int i = 0; i < 5; ++i)
        driver.submit(driver.make("a", 0, 100, 100));
    EXPECT_EQ(driver.pool.status(driver.now).running, 2U);
    EXPECT_EQ(driver.pool.status(driver.now).waiting, 3U);
    driver.run(10s);
    EXPECT_EQ(driver.count([](const auto& result) { return result.completed; }), 5U);
    EXPECT_EQ(driver.engines[endpoint_id("e1")].peakRunning, 2U);
}

// Guards against a repeated submission taking a second slot while the first one waits, runs or has finished.
TEST_F(pool_scheduling, repeated_submission_is_ignored)
{
    pool_driver driver;
    driver.addEndpoint("e1", 1);
    const auto running = driver.make("a", 0, 100, 50);
    const auto waiting = driver.make("a", 0, 100, 50);
    driver.submit(running);
    driver.submit(waiting);
    EXPECT_TRUE(driver.pool.submit(driver.now, running).empty());
    EXPECT_TRUE(driver.pool.submit(driver.now, waiting).empty());
    EXPECT_EQ(driver.pool.status(driver.now).waiting, 1U);
    driver.run(5s);
    EXPECT_TRUE(driver.pool.submit(driver.now, running).empty());
    EXPECT_EQ(driver.results[running.id].grants, 1);
    EXPECT_EQ(driver.results[waiting.id].grants, 1);
}

// Guards against a less urgent tier overtaking a more urgent one, and against a later deadline overtaking an earlier one of the same team.
TEST_F(pool_scheduling, freed_slot_goes_to_highest_tier_then_earliest_deadline)
{
    pool_driver driver;
    driver.addEndpoint("e1", 1);
    driver.submit(driver.make("a", 1, 100, 20));
    const auto low = driver.submit(driver.make("a", 2, 100, 20, 20s));
    const auto late = driver.submit(driver.make("a", 1, 100, 20, 40s));
    const auto early = driver.submit(driver.make("a", 1, 100, 20, 30s));
    const auto urgent = driver.submit(driver.make("a", 0, 100, 20, 50s));
    driver.run(10s);
    EXPECT_LT(driver.results[urgent].granted, driver.results[early].granted);
    EXPECT_LT(driver.results[early].granted, driver.results[late].granted);
    EXPECT_LT(driver.results[late].granted, driver.results[low].granted);
}

// Guards against a stopped endpoint that is chosen first each time, because its failures leave its estimates unchanged: half of the
// requests failed until its circuit opened, and the retry budget was used up by the first of them.
TEST_F(pool_scheduling, endpoint_whose_last_request_failed_is_avoided_while_others_are_free)
{
    pool_driver driver;
    driver.addEndpoint("e1", 2);
    driver.addEndpoint("e2", 2);
    const auto first = driver.make("a", 0, 100, 20);
    const auto endpointOf = [](const std::vector<scheduling_action>& actions) { return std::get<slot_grant>(actions.at(0)).endpoint; };
    const auto failed = endpointOf(driver.pool.submit(driver.now, first));
    const auto fail = [&](const request_id& id) {
        slot_release release;
        release.request = id;
        release.outcome = release_outcome::rejected;
        driver.pool.release(driver.now, release);
    };
    fail(first.id);
    for (int i = 0; i < 2; ++i)
        EXPECT_NE(endpointOf(driver.pool.submit(driver.now, driver.make("a", 0, 100, 20))), failed);
    // With the other endpoint full, the one that failed is tried again.
    EXPECT_EQ(endpointOf(driver.pool.submit(driver.now, driver.make("a", 0, 100, 20))), failed);
}

// Guards against spending prefill on a request that cannot finish in time.
TEST_F(pool_scheduling, unreachable_deadline_is_refused_before_grant)
{
    pool_driver driver;
    driver.addEndpoint("e1", 2);
    warmUp(driver);
    const auto id = driver.submit(driver.make("a", 0, 100, 2000, 2s));
    EXPECT_EQ(driver.results[id].grants, 0);
    EXPECT_EQ(driver.results[id].reason, refusal_reason::deadline_unreachable);
    const auto passed = driver.submit(driver.make("a", 0, 100, 20, -1s));
    EXPECT_EQ(driver.results[passed].reason, refusal_reason::deadline_passed);
}

// Guards against granting a slot to a request that has waited until it can no longer finish in time.
TEST_F(pool_scheduling, waiting_request_is_refused_once_too_late_to_start)
{
    pool_driver driver;
    driver.addEndpoint("e1", 1);
    warmUp(driver);
    // The team uses much less of its maximum than the request that blocks the slot.
    driver.submit(driver.make("warmup", 0, 100, 20), 2000);
    const auto id = driver.submit(driver.make("warmup", 0, 100, 20, 2s));
    EXPECT_EQ(driver.results[id].refusals, 0);
    driver.run(2s);
    EXPECT_EQ(driver.results[id].grants, 0);
    EXPECT_EQ(driver.results[id].refusals, 1);
    EXPECT_EQ(driver.pool.status(driver.now).inversions, 0U);
}

// Guards against a pool refusing all requests indefinitely because of estimates from a slow period.
TEST_F(pool_scheduling, outdated_estimates_do_not_refuse_requests)
{
    pool_driver driver;
    driver.addEndpoint("e1", 2, { 100, 0.5 });
    warmUp(driver, 5);
    driver.run(60s);
    driver.engines[endpoint_id("e1")].speed = {};
    const auto id = driver.submit(driver.make("warmup", 0, 200, 20, 2s));
    driver.run(2s);
    EXPECT_TRUE(driver.results[id].completed);
}

// Guards against unbounded queues, per team and in total.
TEST_F(pool_scheduling, queue_limits_refuse_with_their_reason)
{
    pool_driver driver({ .maxWaiting = 3 });
    driver.addEndpoint("e1", 1);
    const team_share limited { team_id("limited"), 1.0, 1 };
    driver.pool.setTeams(std::span(&limited, 1));
    driver.submit(driver.make("a", 1, 100, 100));
    driver.submit(driver.make("limited", 1, 100, 100));
    const auto overTeam = driver.submit(driver.make("limited", 1, 100, 100));
    EXPECT_EQ(driver.results[overTeam].reason, refusal_reason::team_queue_full);
    driver.submit(driver.make("a", 1, 100, 100));
    driver.submit(driver.make("a", 1, 100, 100));
    const auto overPool = driver.submit(driver.make("a", 1, 100, 100));
    EXPECT_EQ(driver.results[overPool].reason, refusal_reason::queue_full);
    EXPECT_EQ(driver.pool.status(driver.now).inversions, 0U);
}

// Guards against shedding a request while a less urgent tier waits: the least urgent request is displaced instead.
TEST_F(pool_scheduling, full_queue_displaces_lowest_waiting_tier)
{
    pool_driver driver({ .maxWaiting = 2, .preemption = false });
    driver.addEndpoint("e1", 1);
    driver.submit(driver.make("a", 1, 100, 100));
    const auto second = driver.submit(driver.make("a", 2, 100, 100));
    const auto third = driver.submit(driver.make("b", 3, 100, 100));
    const auto urgent = driver.submit(driver.make("c", 0, 100, 100));
    EXPECT_EQ(driver.results[third].reason, refusal_reason::displaced);
    EXPECT_EQ(driver.results[second].refusals, 0);
    EXPECT_EQ(driver.results[urgent].refusals, 0);
    EXPECT_EQ(driver.pool.status(driver.now).inversions, 0U);
}

// Guards against shedding a request from a full queue while a stream of a less urgent tier keeps its slot.
TEST_F(pool_scheduling, full_queue_without_lower_tier_preempts_running_stream)
{
    pool_driver driver({ .maxWaiting = 1 });
    driver.addEndpoint("e1", 1);
    const auto running = driver.submit(driver.make("a", 2, 100, 5000));
    driver.submit(driver.make("b", 0, 100, 10));
    const auto urgent = driver.submit(driver.make("b", 0, 100, 10));
    EXPECT_EQ(driver.results[running].preemptions, 1);
    driver.run(2s);
    EXPECT_TRUE(driver.results[urgent].completed);
}

// Guards against an urgent request missing its deadline behind less urgent streams, and against preempting the most expensive stream.
TEST_F(pool_scheduling, urgent_request_preempts_stream_with_least_wasted_prefill)
{
    pool_driver driver;
    driver.addEndpoint("e1", 2);
    warmUp(driver);
    const auto costly = driver.submit(driver.make("a", 2, 4000, 1000));
    const auto cheap = driver.submit(driver.make("a", 2, 100, 1000));
    driver.run(1s);
    const auto relaxed = driver.submit(driver.make("b", 1, 100, 20, 50s));
    EXPECT_EQ(driver.results[cheap].preemptions, 0);
    const auto urgent = driver.submit(driver.make("b", 0, 100, 20, 600ms));
    driver.run(600ms);
    EXPECT_TRUE(driver.results[urgent].completed);
    EXPECT_EQ(driver.results[cheap].preemptions, 1);
    EXPECT_EQ(driver.results[costly].preemptions, 0);
    EXPECT_EQ(driver.results[relaxed].refusals, 0);
}

// Guards against the scheduler preempting a non-idempotent request, which must run at most once.
TEST_F(pool_scheduling, non_idempotent_request_is_never_preempted)
{
    pool_driver driver({ .maxWaiting = 1 });
    driver.addEndpoint("e1", 1);
    warmUp(driver);
    auto order = driver.make("a", 3, 100, 1000);
    order.nonIdempotent = true;
    driver.submit(order);
    const auto urgent = driver.submit(driver.make("b", 0, 100, 20, 600ms));
    driver.run(1s);
    EXPECT_EQ(driver.results[order.id].preemptions, 0);
    EXPECT_EQ(driver.results[urgent].refusals, 1);
    EXPECT_EQ(driver.pool.status(driver.now).inversions, 0U);
}

// Guards against shedding tier 0 requests that fit the capacity while less urgent tiers fill the queue and all slots.
TEST_F(pool_scheduling, displacement_leaves_no_inversion)
{
    pool_driver driver({ .maxWaiting = 4 });
    driver.addEndpoint("e1", 2);
    warmUp(driver);
    for (int i = 0; i < 6; ++i)
        driver.submit(driver.make("a", 2, 200, 2000));
    for (int i = 0; i < 12; ++i) {
        driver.submit(driver.make("b", 0, 100, 20, 3s));
        driver.run(200ms);
    }
    driver.run(5s);
    EXPECT_EQ(driver.pool.status(driver.now).inversions, 0U);
    EXPECT_EQ(driver.count([](const auto& result) { return result.request.level == tier(0) && result.refusals > 0; }), 0U);
}

// Guards against long requests holding every slot while short ones of the tier wait.
TEST_F(pool_scheduling, long_requests_leave_slots_to_short_ones)
{
    pool_driver driver({ .longSlotShare = 0.5 });
    driver.addEndpoint("e1", 4);
    warmUp(driver, 20);
    for (int i = 0; i < 20; ++i) {
        driver.submit(driver.make("a", 0, 100, 2000, 500s));
        driver.submit(driver.make("a", 0, 100, 20, 600s));
    }
    driver.run(8s);
    EXPECT_EQ(driver.count([](const auto& result) { return result.request.maxOutputTokens == tokens(20) && !result.completed; }), 0U);
}

// Guards against refusing a long request while slots reserved for short ones are free.
TEST_F(pool_scheduling, long_request_takes_reserved_slot_before_its_deadline)
{
    pool_driver driver;
    driver.addEndpoint("e1", 4);
    warmUp(driver, 20);
    std::vector<request_id> ids;
    for (int i = 0; i < 4; ++i)
        ids.push_back(driver.submit(driver.make("warmup", 0, 100, 200, 4s)));
    EXPECT_EQ(driver.pool.status(driver.now).running, 2U);
    driver.run(4s);
    for (const auto& id : ids)
        EXPECT_TRUE(driver.results[id].completed) << *driver.pool.explain(id);
}

// Guards against grants to an endpoint that announced that it is leaving, by any of the three ways to announce it. The endpoint receives
// requests again only after it was removed from the list and listed again.
TEST_F(pool_scheduling, leaving_endpoint_receives_no_grant)
{
    pool_driver driver;
    driver.addEndpoint("e1", 8);
    driver.addEndpoint("e2", 8);
    driver.pool.markLeaving(endpoint_id("e1"));
    for (int i = 0; i < 20; ++i)
        driver.submit(driver.make("a", 0, 100, 10));
    driver.pool.setEndpoints(driver.now, driver.descriptions);
    driver.run(5s);
    EXPECT_EQ(driver.engines[endpoint_id("e1")].peakRunning, 0U);
    EXPECT_EQ(driver.count([](const auto& result) { return result.completed; }), 20U);
    driver.pool.setEndpoints(driver.now, std::span(driver.descriptions).last(1));
    driver.pool.setEndpoints(driver.now, driver.descriptions);
    driver.pool.observe(driver.now, load_report { .endpoint = endpoint_id("e2"), .leaving = true });
    const auto id = driver.submit(driver.make("a", 0, 100, 10));
    EXPECT_EQ(driver.results[id].endpoint, endpoint_id("e1"));
    auto release = slot_release { .request = id, .outcome = release_outcome::rejected, .endpointLeaving = true };
    driver.pool.release(driver.now, release);
    const auto refused = driver.submit(driver.make("a", 0, 100, 10));
    EXPECT_EQ(driver.results[refused].reason, refusal_reason::no_endpoint);
}

// Guards against requests waiting without any endpoint that could serve them, after the last endpoint has left.
TEST_F(pool_scheduling, waiting_requests_are_refused_when_no_endpoint_is_left)
{
    pool_driver driver;
    driver.addEndpoint("e1", 1);
    driver.submit(driver.make("a", 0, 100, 1000));
    const auto waiting = driver.submit(driver.make("a", 0, 100, 10));
    driver.pool.markLeaving(endpoint_id("e1"));
    driver.run(2s);
    EXPECT_EQ(driver.results[waiting].reason, refusal_reason::no_endpoint);
}

// Guards against repeating the prefill of a prompt that a free endpoint has cached.
TEST_F(pool_scheduling, request_goes_where_its_prefix_is_cached)
{
    pool_driver driver;
    for (const auto* name : { "e1", "e2", "e3", "e4" })
        driver.addEndpoint(name, 4);
    warmUp(driver);
    std::vector<std::uint64_t> blocks(32);
    std::iota(blocks.begin(), blocks.end(), 1000U);
    const cache_event event { endpoint_id("e3"), blocks[15], true };
    driver.pool.observe(std::span(&event, 1));
    auto request = driver.make("a", 0, 2048, 20);
    request.prefixBlocks = blocks;
    const auto first = driver.submit(request);
    EXPECT_EQ(driver.results[first].endpoint, endpoint_id("e3"));
    driver.run(2s);
    auto again = driver.make("b", 0, 2048, 20);
    again.prefixBlocks = blocks;
    EXPECT_EQ(driver.results[driver.submit(again)].endpoint, endpoint_id("e3"));
}

// Guards against a request waiting for a cached prefix longer than the prefill on another endpoint would take.
TEST_F(pool_scheduling, long_wait_outweighs_cached_prefix)
{
    pool_driver driver;
    driver.addEndpoint("e1", 1);
    warmUp(driver);
    std::vector<std::uint64_t> blocks(4);
    std::iota(blocks.begin(), blocks.end(), 1000U);
    auto holder = driver.make("warmup", 0, 256, 2000);
    holder.prefixBlocks = blocks;
    driver.submit(holder);
    driver.addEndpoint("e2", 1);
    auto request = driver.make("warmup", 0, 256, 20);
    request.prefixBlocks = blocks;
    EXPECT_EQ(driver.results[driver.submit(request)].endpoint, endpoint_id("e2"));
}

// Guards against repeating the prefill of a long cached prompt to avoid a short wait.
TEST_F(pool_scheduling, short_wait_for_cached_prefix_is_taken)
{
    pool_driver driver;
    driver.addEndpoint("e1", 4, { 1000, 0.01 });
    warmUp(driver);
    std::vector<std::uint64_t> blocks(64);
    std::iota(blocks.begin(), blocks.end(), 1000U);
    auto request = driver.make("warmup", 0, 4096, 20);
    request.prefixBlocks = blocks;
    driver.submit(request);
    driver.run(6s);
    for (int i = 0; i < 4; ++i)
        driver.submit(driver.make("warmup", 0, 100, 20));
    driver.addEndpoint("e2", 4, { 1000, 0.01 });
    request = driver.make("warmup", 0, 4096, 20);
    request.prefixBlocks = blocks;
    const auto id = driver.submit(request);
    EXPECT_EQ(driver.results[id].grants, 0);
    driver.run(2s);
    EXPECT_TRUE(driver.results[id].completed);
    EXPECT_EQ(driver.results[id].endpoint, endpoint_id("e1"));
}

// Guards against continued use of a slow endpoint, and against never using it again after it has recovered.
TEST_F(pool_scheduling, straggler_is_ejected_and_returns_after_good_probes)
{
    pool_driver driver;
    for (const auto* name : { "e1", "e2", "e3" })
        driver.addEndpoint(name, 4);
    driver.onTick = [&] {
        if (driver.pool.status(driver.now).waiting < 4)
            driver.submit(driver.make("a", 0, 50, 100));
    };
    const auto ejected = [&] { return driver.pool.endpoints().front().ejected; };
    driver.run(4s);
    EXPECT_FALSE(ejected());
    driver.engines[endpoint_id("e1")].speed.secondsPerToken = 0.08;
    driver.run(20s);
    ASSERT_TRUE(ejected());
    EXPECT_LE(driver.pool.endpoints().front().running, 1U);
    driver.engines[endpoint_id("e1")].speed.secondsPerToken = 0.01;
    driver.run(25s);
    EXPECT_FALSE(ejected());
    EXPECT_GT(driver.pool.endpoints().front().running, 1U);
}

// Guards against endpoints of a slower hardware generation being classified as stragglers.
TEST_F(pool_scheduling, slower_generation_is_not_a_straggler)
{
    pool_driver driver;
    driver.addEndpoint("old1", 4, { 2000, 0.05 }, "old");
    driver.addEndpoint("old2", 4, { 2000, 0.05 }, "old");
    driver.addEndpoint("new1", 4);
    driver.addEndpoint("new2", 4);
    driver.onTick = [&] {
        if (driver.pool.status(driver.now).waiting < 4)
            driver.submit(driver.make("a", 0, 50, 50));
    };
    driver.run(20s);
    EXPECT_TRUE(std::ranges::none_of(driver.pool.endpoints(), &endpoint_status::ejected));
}

// Guards against a new pool owner granting slots that the previous owner has already granted.
TEST_F(pool_scheduling, restored_grant_occupies_its_slot)
{
    pool_driver driver;
    const auto request = driver.make("a", 0, 100, 100);
    driver.results[request.id].request = request;
    driver.pool.restoreGrant(driver.now, request, endpoint_id("e1"), tokens(10));
    driver.addEndpoint("e1", 1);
    const auto waiting = driver.submit(driver.make("a", 0, 100, 100));
    EXPECT_EQ(driver.results[waiting].grants, 0);
    EXPECT_TRUE(driver.pool.submit(driver.now, request).empty());
    const auto actions = driver.pool.release(driver.now, { .request = request.id });
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<slot_grant>(actions.front()).request, waiting);
}

// Guards against requests of a failed home node waiting or holding slots indefinitely, and against freeing slots that the engine still
// uses.
TEST_F(pool_scheduling, failed_home_frees_queue_immediately_and_slots_later)
{
    pool_driver driver;
    driver.addEndpoint("e1", 1);
    warmUp(driver);
    auto running = driver.make("warmup", 0, 100, 200);
    running.home = node_id("home-2:1");
    driver.pool.submit(driver.now, running);
    auto waiting = driver.make("warmup", 0, 100, 200);
    waiting.home = node_id("home-2:1");
    driver.pool.submit(driver.now, waiting);
    const auto other = driver.submit(driver.make("warmup", 0, 100, 20));
    driver.pool.handleHomeFailure(driver.now, node_id("home-2:1"));
    EXPECT_EQ(driver.pool.status(driver.now).waiting, 1U);
    driver.run(1s);
    EXPECT_EQ(driver.results[other].grants, 0);
    driver.run(5s);
    EXPECT_TRUE(driver.results[other].completed);
}

// Guards against a failing endpoint receiving all requests because its slots are always free.
TEST_F(pool_scheduling, failing_endpoint_is_taken_out_of_rotation)
{
    pool_driver driver;
    driver.addEndpoint("e1", 4);
    int grants = 0;
    for (int i = 0; i < 50; ++i) {
        const auto request = driver.make("a", 0, 100, 10);
        const auto actions = driver.pool.submit(driver.now, request);
        if (actions.empty())
            continue;
        ++grants;
        driver.pool.release(driver.now, { .request = request.id, .outcome = release_outcome::failed });
    }
    EXPECT_EQ(grants, 5);
}

// Guards against granting slots that another owner or a failed home node still uses.
TEST_F(pool_scheduling, external_load_is_subtracted_from_slots)
{
    pool_driver driver;
    driver.addEndpoint("e1", 4);
    for (int i = 0; i < 3; ++i)
        driver.pool.observe(driver.now, load_report { .endpoint = endpoint_id("e1"), .running = 3 });
    driver.submit(driver.make("a", 0, 100, 1000));
    driver.submit(driver.make("a", 0, 100, 1000));
    EXPECT_EQ(driver.pool.status(driver.now).running, 1U);
    // Without further reports, the excess must not occupy slots indefinitely.
    driver.run(6s);
    EXPECT_EQ(driver.pool.status(driver.now).running, 2U);
}

// Guards against placing requests by a cached prefix that a restarted engine no longer has.
TEST_F(pool_scheduling, returned_endpoint_starts_with_empty_prefix_index)
{
    pool_driver driver;
    driver.addEndpoint("e1", 4);
    driver.addEndpoint("e2", 4);
    auto request = driver.make("a", 0, 640, 2000);
    request.prefixBlocks.resize(10);
    std::iota(request.prefixBlocks.begin(), request.prefixBlocks.end(), 1U);
    const auto holder = driver.results[driver.submit(request)].endpoint;
    std::vector<endpoint_description> others;
    std::ranges::copy_if(driver.descriptions, std::back_inserter(others), [&](const auto& entry) { return entry.id != holder; });
    driver.pool.setEndpoints(driver.now, others);
    driver.pool.setEndpoints(driver.now, driver.descriptions);
    request.id.sequence += 1000;
    const auto actions = driver.pool.submit(driver.now, request);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_EQ(std::get<slot_grant>(actions.front()).expectedCached, tokens(0));
}

// Guards against estimates staying at their prior until the first long stream has ended.
TEST_F(pool_scheduling, running_streams_update_time_per_token)
{
    pool_driver driver;
    driver.addEndpoint("e1", 4, { 8000, 0.004 });
    driver.submit(driver.make("a", 0, 100, 10000));
    driver.submit(driver.make("a", 0, 100, 10000));
    driver.run(7s);
    EXPECT_NEAR(driver.pool.endpoints().front().millisecondsPerToken, 4, 0.5);
}

// Guards against using an urgent request as a probe of a slow endpoint while a less urgent tier is in service.
TEST_F(pool_scheduling, probe_uses_least_urgent_tier)
{
    pool_driver driver;
    for (const auto* name : { "e1", "e2", "e3" })
        driver.addEndpoint(name, 4);
    driver.engines[endpoint_id("e1")].speed.secondsPerToken = 0.08;
    // Fits the two fast endpoints, so that requests of both tiers are placed.
    driver.onTick = [&] {
        if (driver.pool.status(driver.now).running < 7) {
            driver.submit(driver.make("a", 0, 50, 60));
            driver.submit(driver.make("a", 2, 50, 60));
        }
    };
    driver.run(20s);
    ASSERT_TRUE(driver.pool.endpoints().front().ejected);
    const auto from = driver.now;
    driver.run(30s);
    const auto probes = [&](int level) {
        return driver.count([&](const auto& result) {
            return result.granted > from && result.endpoint == endpoint_id("e1") && result.request.level.value == level;
        });
    };
    EXPECT_EQ(probes(0), 0U);
    EXPECT_GE(probes(2), 3U);
}

// Guards against requests with slack taking slots of fast endpoints that requests with tight deadlines need.
TEST_F(pool_scheduling, request_with_slack_leaves_fast_endpoint_free)
{
    pool_driver driver;
    driver.addEndpoint("fast", 4, {}, "new");
    driver.addEndpoint("slow", 4, { 8000, 0.04 }, "old");
    for (int i = 0; i < 8; ++i) {
        for (int j = 0; j < 8; ++j)
            driver.submit(driver.make("a", 0, 100, 100));
        driver.run(6s);
    }
    // Three requests that only the fast endpoint can finish in time bring the pool to moderate utilization.
    for (int i = 0; i < 3; ++i)
        driver.submit(driver.make("a", 0, 100, 100, 1600ms));
    const auto relaxed = driver.submit(driver.make("a", 0, 100, 100, 60s));
    const auto tight = driver.submit(driver.make("a", 0, 100, 100, 1600ms));
    EXPECT_EQ(driver.results[relaxed].endpoint, endpoint_id("slow"));
    EXPECT_EQ(driver.results[tight].endpoint, endpoint_id("fast"));
}

// Guards against repeatedly admitting long requests of the least urgent tier that are then preempted.
TEST_F(pool_scheduling, long_requests_wait_while_most_of_them_are_preempted)
{
    const auto countPreempted = [](double limit) {
        pool_driver driver({ .preemptionRiskLimit = limit });
        driver.addEndpoint("e1", 4);
        warmUp(driver, 20);
        for (int i = 0; i < 120; ++i) {
            // Shorter than the long request that holds the slot, longer than it can wait.
            for (int j = 0; j < 4 && i % 4 == 0; ++j)
                driver.submit(driver.make("a", 0, 100, 100, 1700ms));
            driver.submit(driver.make("b", 1, 4000, 1500, 40s));
            for (int j = 0; j < 2; ++j)
                driver.submit(driver.make("b", 1, 100, 20, 40s));
            driver.run(500ms);
        }
        EXPECT_EQ(driver.pool.status(driver.now).inversions, 0U);
        EXPECT_EQ(driver.count([](const auto& result) { return result.request.level == tier(0) && result.refusals > 0; }), 0U);
        return driver.count([](const auto& result) { return result.preemptions > 0; });
    };
    const auto always = countPreempted(1);
    ASSERT_GE(always, 20U);
    EXPECT_LT(countPreempted(0.3), always * 2 / 3);
}

// Guards against `carawaylink explain` returning nothing for a request in any state.
TEST_F(pool_scheduling, explain_covers_waiting_running_and_finished)
{
    pool_driver driver;
    driver.addEndpoint("e1", 1);
    const auto running = driver.submit(driver.make("a", 0, 100, 10));
    const auto waiting = driver.submit(driver.make("a", 1, 100, 10));
    EXPECT_TRUE(driver.pool.explain(running)->starts_with("running"));
    EXPECT_TRUE(driver.pool.explain(waiting)->starts_with("waiting"));
    driver.run(2s);
    EXPECT_NE(driver.pool.explain(running)->find("completed"), std::string::npos);
    EXPECT_FALSE(driver.pool.explain({ 1, 1 }).has_value());
}

} // namespace
} // namespace carawaylink
