#include "pool_driver.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carawaylink {
namespace {

/// Fixed seed, so that failures are reproducible on every machine; RC_PARAMS in the environment overrides it.
[[maybe_unused]] const int fixedSeed = setenv("RC_PARAMS", "seed=20240611 max_success=60", 0);

/// Jain's fairness index: 1 if all shares are equal, 1/n if one team receives everything.
double jainFairnessIndex(const std::vector<double>& shares)
{
    double sum = 0;
    double squares = 0;
    for (const auto share : shares) {
        sum += share;
        squares += share * share;
    }
    return sum * sum / (static_cast<double>(shares.size()) * squares);
}

class pool_properties : public testing::Test {
protected:
    struct load {
        std::size_t endpoints = 3;
        /// Requests per 50 ms.
        int rate = 2;
        std::size_t maxWaiting = 20;
        bool leaving = false;
        bool unused = false;
    };

    static load anyLoad()
    {
        return { *rc::gen::inRange<std::size_t>(1, 6), *rc::gen::inRange(1, 6), *rc::gen::inRange<std::size_t>(2, 60),
            *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>() };
    }

    /// Submits random requests of four tiers and five teams for ten seconds, then runs until all of them have ended.
    static void runLoad(pool_driver& driver, const load& shape, std::uint64_t seed)
    {
        random_source random(seed);
        const auto pick = [&](int low, int high) { return std::uniform_int_distribution(low, high)(random); };
        for (std::size_t i = 0; i < shape.endpoints; ++i)
            driver.addEndpoint("e" + std::to_string(i), static_cast<std::size_t>(pick(1, 6)), { 2000.0 * pick(1, 6), 0.005 * pick(1, 5) });
        std::vector<request_id> ids;
        for (int step = 0; step < 200; ++step) {
            for (int i = pick(0, 2 * shape.rate); i > 0; --i) {
                const int output = pick(0, 9) == 0 ? pick(200, 1000) : pick(1, 40);
                auto request = driver.make("t" + std::to_string(pick(0, 4)), pick(0, 3), pick(10, 2000), output, 200ms * pick(1, 100));
                request.nonIdempotent = pick(0, 9) == 0;
                for (int block = 0; block < request.promptTokens.value / tokensPerBlock; ++block)
                    request.prefixBlocks.push_back(
                        static_cast<std::uint64_t>(request.team.value[1]) * 1000 + static_cast<std::uint64_t>(block));
                ids.push_back(driver.submit(request, std::max(1, pick(output / 2, output))));
            }
            if (!ids.empty() && pick(0, 4) == 0)
                driver.cancel(ids[static_cast<std::size_t>(pick(0, static_cast<int>(ids.size()) - 1))]);
            if (shape.unused && !ids.empty() && driver.results[ids.back()].running)
                driver.release(ids.back(), release_outcome::unused);
            if (shape.leaving && step == 100)
                driver.pool.markLeaving(endpoint_id("e0"));
            driver.run(50ms);
        }
        driver.run(200s);
    }
};

// Guards against overcommitted engines, lost requests and requests that end twice, under any load.
RC_GTEST_FIXTURE_PROP(pool_properties, every_request_ends_once_within_slots, ())
{
    const auto shape = anyLoad();
    pool_driver driver({ .maxWaiting = shape.maxWaiting });
    runLoad(driver, shape, *rc::gen::arbitrary<std::uint64_t>());
    for (const auto& description : driver.descriptions)
        RC_ASSERT(driver.engines[description.id].peakRunning <= description.maxRunning);
    for (const auto& [id, result] : driver.results) {
        RC_ASSERT(result.grants + result.refusals + (result.cancelled ? 1 : 0) == 1);
        RC_ASSERT(!result.running);
    }
    RC_ASSERT(driver.pool.status(driver.now).waiting == 0U);
    RC_ASSERT(driver.pool.status(driver.now).running == 0U);
}

// Guards against a request being shed while requests of a less urgent tier wait or run. The check does not rely on the scheduler's own
// count of inversions.
RC_GTEST_FIXTURE_PROP(pool_properties, no_tier_is_shed_before_a_lower_one, ())
{
    const auto shape = anyLoad();
    pool_driver driver({ .maxWaiting = shape.maxWaiting });
    std::size_t shedBeforeLower = 0;
    driver.onRefusal = [&](const request_result& refused) {
        if (refused.reason != refusal_reason::queue_full && refused.reason != refusal_reason::displaced)
            return;
        // An ejected endpoint runs probes only, so preempting streams there frees no slot for other requests.
        std::vector<endpoint_id> probed;
        for (const auto& endpoint : driver.pool.endpoints()) {
            if (endpoint.ejected)
                probed.push_back(endpoint.id);
        }
        shedBeforeLower += driver.count([&](const request_result& other) {
            const bool waits = other.grants == 0 && other.refusals == 0 && !other.cancelled;
            const bool displaceable = other.running && other.preemptions == 0 && !other.request.nonIdempotent
                && std::ranges::find(probed, other.endpoint) == probed.end() && !(shape.leaving && other.endpoint == endpoint_id("e0"));
            return other.request.level > refused.request.level && (waits || displaceable);
        });
    };
    runLoad(driver, shape, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(shedBeforeLower == 0U);
    RC_ASSERT(driver.pool.status(driver.now).inversions == 0U);
}

// Guards against a grant to an endpoint after it was marked as leaving.
RC_GTEST_FIXTURE_PROP(pool_properties, marked_endpoint_receives_no_grant, ())
{
    auto shape = anyLoad();
    shape.leaving = true;
    pool_driver driver({ .maxWaiting = shape.maxWaiting });
    runLoad(driver, shape, *rc::gen::arbitrary<std::uint64_t>());
    RC_ASSERT(driver.count([](const auto& result) {
        return result.grants > 0 && result.endpoint == endpoint_id("e0") && result.granted > testStart + 5s;
    }) == 0U);
}

// Guards against a team exceeding its share through long requests, many requests or a backlog, with different weights and lengths.
RC_GTEST_FIXTURE_PROP(pool_properties, backlogged_teams_receive_weighted_shares, ())
{
    pool_driver driver;
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    for (const auto* name : { "e1", "e2", "e3" })
        driver.addEndpoint(name, 8, { 8000, 0.002 * std::uniform_int_distribution(1, 4)(random) });
    struct team {
        double weight;
        int prompt;
        int output;
    };
    const std::vector<team> teams { { 1, 2000, 20 }, { 2, 100, 200 }, { 4, 50, 10 }, { 1, 500, 50 }, { 3, 50, 100 } };
    std::vector<team_share> shares;
    for (std::size_t i = 0; i < teams.size(); ++i)
        shares.push_back({ team_id("t" + std::to_string(i)), teams[i].weight, 1000 });
    driver.pool.setTeams(shares);
    std::vector<std::size_t> waiting(teams.size());
    driver.onTick = [&] {
        std::ranges::fill(waiting, 0);
        for (const auto& [id, result] : driver.results)
            waiting[static_cast<std::size_t>(result.request.team.value[1] - '0')] += result.grants + result.refusals == 0 ? 1 : 0;
        for (std::size_t i = 0; i < teams.size(); ++i) {
            for (; waiting[i] < 30; ++waiting[i]) {
                const int output = std::uniform_int_distribution(teams[i].output / 2, teams[i].output)(random);
                driver.submit(driver.make("t" + std::to_string(i), 0, teams[i].prompt, teams[i].output, 3600s), output);
            }
        }
    };
    driver.run(40s);
    std::vector<double> served(teams.size());
    for (const auto& [id, result] : driver.results) {
        const auto i = static_cast<std::size_t>(result.request.team.value[1] - '0');
        // The first seconds are excluded: the first team to submit finds all slots free.
        served[i] += result.completed && result.granted > testStart + 5s
            ? static_cast<double>(result.prefilled + result.outputTokens) / teams[i].weight
            : 0;
    }
    RC_ASSERT(jainFairnessIndex(served) >= 0.98);
}

// Guards against long requests starving short ones of the same tier at a length ratio of 100, regardless of the order of arrival.
RC_GTEST_FIXTURE_PROP(pool_properties, short_requests_are_not_starved_by_long_ones, ())
{
    pool_driver driver;
    driver.addEndpoint("e1", 8);
    driver.addEndpoint("e2", 8);
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    for (int step = 0; step < 1800; ++step) {
        if (std::uniform_int_distribution(0, 7)(random) == 0)
            driver.submit(driver.make("long", 0, 200, 2000, 600s));
        if (step % 4 == 0)
            driver.submit(driver.make("short", 0, 50, 20, 600s));
        driver.run(50ms);
    }
    // The first 30 s are excluded: long requests that arrived before the median of the tier was known run for over 20 s.
    std::vector<duration> waits;
    for (const auto& [id, result] : driver.results) {
        if (result.request.team == team_id("short") && result.request.arrival > testStart + 30s && result.request.arrival < testStart + 85s)
            waits.push_back((result.grants > 0 ? result.granted : driver.now) - result.request.arrival);
    }
    std::ranges::sort(waits);
    RC_ASSERT(waits[waits.size() * 99 / 100] < 1s);
}

} // namespace
} // namespace carawaylink
