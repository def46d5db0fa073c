#include "order_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace carawaylink::simulation {
namespace {

struct outcome {
    bool breached = false;
    std::string description;
    std::size_t orders = 0;
    std::size_t refused = 0;
    std::size_t loads = 0;
    std::size_t holders = 0;
};

/// Checks random schedules of up to 300 events; the same seed gives the same schedules.
outcome check(std::uint64_t seed, int schedules, defects broken = {})
{
    constexpr int maxEvents = 300;
    const auto events
        = rc::gen::map(rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>()), [](std::uint32_t bits) { return event { bits }; });
    const auto schedule = rc::gen::resize(maxEvents, rc::gen::container<std::vector<event>>(events));
    const auto seeds = rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>());
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = schedules;
    params.disableShrinking = true;
    outcome total;
    const auto property = [&] {
        order_simulation run(*seeds, broken);
        for (const auto& change : *schedule)
            run.step(change);
        run.settle();
        total.orders += run.orders();
        total.refused += run.refused();
        total.loads += run.loads();
        total.holders += run.holders();
        if (!run.breach().empty())
            RC_FAIL(run.breach());
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
    total.breached = !result.is<rc::detail::SuccessResult>();
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    total.description = text.str();
    return total;
}

class order_schedules : public testing::TestWithParam<std::uint64_t> { };

// Guards against two holders of a lease, orders of an old lease that take effect, orders of two holders that overlap where engines
// ignore the token, more loads than permits, and services that get no orders after the faults have ended.
TEST_P(order_schedules, random_faults_keep_one_holder)
{
    const auto result = check(GetParam(), 600);
    EXPECT_FALSE(result.breached) << result.description;
    std::cout << "orders=" << result.orders << " refused=" << result.refused << " loads=" << result.loads << " holders=" << result.holders
              << '\n';
    // The schedules reach what they are meant to test.
    EXPECT_GT(result.loads, 2000U);
    EXPECT_GT(result.holders, 1000U);
    EXPECT_GT(result.refused, 100U);
}

INSTANTIATE_TEST_SUITE_P(seeds, order_schedules, testing::Values(1U, 2U, 3U));

struct broken_variant {
    std::string name;
    defects broken;
    std::string expected;

    friend std::ostream& operator<<(std::ostream& out, const broken_variant& variant) { return out << variant.name; }
};

class broken_orders : public testing::TestWithParam<broken_variant> { };

// Guards against a check that cannot fail.
TEST_P(broken_orders, defect_is_found)
{
    const auto result = check(1, 2000, GetParam().broken);
    EXPECT_TRUE(result.breached);
    EXPECT_NE(result.description.find(GetParam().expected), std::string::npos) << result.description;
}

INSTANTIATE_TEST_SUITE_P(variants, broken_orders,
    testing::Values(broken_variant { "no_deadline", { .noDeadline = true }, "two nodes hold the lease" },
        broken_variant { "no_quiet_wait", { .noQuietWait = true }, "overlap" },
        broken_variant { "same_token", { .sameToken = true }, "old lease took effect" },
        broken_variant { "short_permits", { .shortPermits = true }, "loads at a time" },
        broken_variant { "long_send_pauses", { .longSendPauses = true }, "overlap" }),
    [](const auto& variant) { return variant.param.name; });

} // namespace
} // namespace carawaylink::simulation
