#include "cost_model.h"
#include "prefix_index.h"
#include "tier_queue.h"

#include "base/random.h"

#include <gtest/gtest.h>
#include <numeric>

namespace carawaylink {
namespace {

class cost_models : public testing::Test {
protected:
    speed_model endpoint;
    speed_model generation;
    speed_model pool;
    speed_models models { &endpoint, &generation, &pool };
    const monotonic_time now { std::chrono::hours(1) };
};

// Guards against estimates that need many requests: five samples of different lengths must predict another length.
TEST_F(cost_models, five_samples_predict_other_lengths)
{
    for (const double x : { 100.0, 800.0, 300.0, 2000.0, 50.0 })
        models.addFirstToken(now, x, 0.05 + x / 20000);
    EXPECT_NEAR(models.firstTokenSeconds(4000), 0.25, 0.03);
    EXPECT_NEAR(models.prefillTokensPerSecond(), 20000, 4000);
}

// Guards against a degenerate line when all samples have the same length or concurrency.
TEST_F(cost_models, equal_samples_keep_shape_of_prior)
{
    for (int i = 0; i < 10; ++i) {
        models.addFirstToken(now, 1000, 0.1);
        models.addOutputToken(now, 4, 0.005);
    }
    EXPECT_NEAR(models.firstTokenSeconds(1000), 0.1, 1e-6);
    EXPECT_GT(models.firstTokenSeconds(2000), 0.15);
    EXPECT_NEAR(models.secondsPerToken(4), 0.005, 1e-6);
    EXPECT_GE(models.secondsPerToken(8), 0.005);
}

// Guards against a new endpoint being estimated by the neutral prior although its generation has samples.
TEST_F(cost_models, unknown_endpoint_uses_its_generation)
{
    speed_model other;
    const speed_models known { &other, &generation, &pool };
    for (int i = 0; i < 5; ++i)
        known.addOutputToken(now, 2, 0.002);
    EXPECT_NEAR(models.secondsPerToken(2), 0.002, 1e-6);
}

// Guards against a change of speed being hidden by old samples.
TEST_F(cost_models, change_of_speed_shows_after_some_samples)
{
    for (int i = 0; i < 200; ++i)
        models.addOutputToken(now, 1 + i % 8, 0.01);
    for (int i = 0; i < 60; ++i)
        models.addOutputToken(now, 1 + i % 8, 0.03);
    EXPECT_GT(models.secondsPerToken(4), 0.025);
}

// Guards against the output share of one team or size class being used for another, and against a single sample dominating the estimate.
TEST_F(cost_models, output_share_moves_from_service_to_team)
{
    output_shares service;
    output_shares team;
    for (int i = 0; i < 50; ++i)
        service.add(100, 80);
    EXPECT_NEAR(expectedOutput(team, service, 100), 80, 1);
    EXPECT_NEAR(expectedOutput(team, service, 2000), 1000, 1);
    team.add(100, 10);
    EXPECT_GT(expectedOutput(team, service, 100), 50);
    for (int i = 0; i < 30; ++i)
        team.add(100, 10);
    EXPECT_LT(expectedOutput(team, service, 100), 25);
}

class prefix_indexes : public testing::Test {
protected:
    static std::vector<std::uint64_t> prompt(std::uint64_t first, std::size_t count)
    {
        std::vector<std::uint64_t> blocks(count);
        std::iota(blocks.begin(), blocks.end(), first);
        return blocks;
    }

    prefix_index index;
};

// Guards against unbounded memory use, and against evicting the shared beginning of a prompt before its end.
TEST_F(prefix_indexes, full_cache_evicts_the_ends_of_old_prompts)
{
    index.setCapacity(3, 10);
    index.insert(3, prompt(100, 8));
    index.insert(3, prompt(200, 6));
    EXPECT_EQ(index.size(3), 10U);
    EXPECT_EQ(index.match(prompt(200, 6))[3], 6);
    EXPECT_EQ(index.match(prompt(100, 8))[3], 4);
    EXPECT_EQ(index.match(prompt(100, 8))[2], 0);
}

// Guards against lost cache events hiding a cached prefix.
TEST_F(prefix_indexes, gap_in_events_does_not_shorten_match)
{
    index.setCapacity(0, 100);
    const auto blocks = prompt(100, 8);
    index.insert(0, std::span(blocks).subspan(5, 1));
    EXPECT_EQ(index.match(blocks)[0], 6);
    index.erase(0, blocks[5]);
    EXPECT_EQ(index.match(blocks)[0], 0);
}

// Guards against a block still being attributed to an endpoint after its removal.
TEST_F(prefix_indexes, random_operations_keep_sizes_and_matches_consistent)
{
    random_source random(5);
    index.setCapacity(0, 50);
    index.setCapacity(63, 20);
    for (int i = 0; i < 5000; ++i) {
        const std::size_t endpoint = random() % 2 == 0 ? 0 : 63;
        const auto block = random() % 200;
        if (random() % 3 == 0)
            index.erase(endpoint, block);
        else
            index.insert(endpoint, prompt(block, 5));
        ASSERT_LE(index.size(0), 50U);
        ASSERT_LE(index.size(63), 20U);
        std::size_t held = 0;
        for (std::uint64_t probe = 0; probe < 205; ++probe)
            held += index.match(prompt(probe, 1))[endpoint];
        ASSERT_EQ(held, index.size(endpoint));
    }
    index.clear(0);
    EXPECT_EQ(index.size(0), 0U);
}

class tier_queues : public testing::Test {
protected:
    request_record& push(flow& owner, std::uint64_t sequence, bool longRequest = false)
    {
        auto& record = records.emplace_back(std::make_unique<request_record>());
        record->request.id = { 1, sequence };
        record->teamFlow = &owner;
        record->longRequest = longRequest;
        record->workSeconds = 1;
        queue.push(*record, true);
        return *record;
    }

    request_record* serve(double cost)
    {
        auto* record = queue.next(true);
        queue.remove(*record);
        queue.serve(*record->teamFlow);
        queue.charge(*record->teamFlow, cost);
        return record;
    }

    std::vector<std::unique_ptr<request_record>> records;
    team_record first { .id = team_id("a") };
    team_record second { .id = team_id("b") };
    flow left { first, tier(0) };
    flow right { second, tier(0) };
    tier_queue queue;
};

// Guards against a team that was idle receiving all slots until its virtual time has caught up.
TEST_F(tier_queues, idle_team_starts_at_the_active_minimum)
{
    for (std::uint64_t i = 0; i < 20; ++i)
        push(left, i);
    for (int i = 0; i < 10; ++i)
        serve(100);
    for (std::uint64_t i = 20; i < 30; ++i)
        push(right, i);
    int servedRight = 0;
    for (int i = 0; i < 10; ++i)
        servedRight += serve(100)->teamFlow == &right ? 1 : 0;
    EXPECT_EQ(servedRight, 5);
}

// Guards against a team keeping the advantage of a cost that was estimated too low.
TEST_F(tier_queues, corrected_cost_delays_the_team)
{
    for (std::uint64_t i = 0; i < 20; ++i) {
        push(left, i);
        push(right, 100 + i);
    }
    auto* record = serve(10);
    queue.charge(*record->teamFlow, 490);
    for (int i = 0; i < 5; ++i)
        EXPECT_NE(serve(100)->teamFlow, record->teamFlow);
}

// Guards against a held-back long request blocking short requests of its team.
TEST_F(tier_queues, held_back_long_request_does_not_block_short_ones)
{
    push(left, 1, true);
    auto& shorter = push(left, 2);
    EXPECT_EQ(queue.next(false), &shorter);
    queue.remove(shorter);
    EXPECT_EQ(queue.next(false), nullptr);
    EXPECT_NE(queue.next(true), nullptr);
}

} // namespace
} // namespace carawaylink
