#include "order_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

namespace carawaylink::simulation {
namespace {

struct outcome {
    bool violated = false;
    std::string description;
    std::size_t orders = 0;
    std::size_t refused = 0;
    std::size_t loads = 0;
    std::size_t holderChanges = 0;
};

/// Checks random schedules of up to 300 events; the same seed gives the same schedules.
outcome check(std::uint64_t seed, int schedules, defects injected = {})
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
        order_simulation run(*seeds, injected);
        for (const auto& change : *schedule)
            run.step(change);
        run.checkRecovery();
        total.orders += run.orders();
        total.refused += run.refused();
        total.loads += run.loads();
        total.holderChanges += run.holderChanges();
        if (!run.violation().empty())
            RC_FAIL(run.violation());
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, params);
    total.violated = !result.is<rc::detail::SuccessResult>();
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    total.description = text.str();
    return total;
}

class order_schedules : public testing::TestWithParam<std::uint64_t> { };

// Guards against two concurrent holders of a lease, orders that take effect after orders of a newer lease, overlapping orders of two
// holders if engines ignore the token, more concurrent loads than permits, and services without orders after the faults have ended.
TEST_P(order_schedules, random_faults_keep_one_holder)
{
    const auto result = check(GetParam(), 600);
    EXPECT_FALSE(result.violated) << result.description;
    std::cout << "orders=" << result.orders << " refused=" << result.refused << " loads=" << result.loads
              << " holders=" << result.holderChanges << '\n';
    // The schedules reach loads, holder changes and refused orders.
    EXPECT_GT(result.loads, 2000U);
    EXPECT_GT(result.holderChanges, 1000U);
    EXPECT_GT(result.refused, 100U);
}

INSTANTIATE_TEST_SUITE_P(seeds, order_schedules, testing::Values(1U, 2U, 3U));

struct broken_variant {
    std::string name;
    defects injected;
    std::string expected;

    friend std::ostream& operator<<(std::ostream& out, const broken_variant& variant) { return out << variant.name; }
};

class broken_orders : public testing::TestWithParam<broken_variant> { };

// Guards against a simulation that does not detect faults: each injected defect must be reported.
TEST_P(broken_orders, defect_is_found)
{
    const auto result = check(1, 2000, GetParam().injected);
    EXPECT_TRUE(result.violated);
    EXPECT_NE(result.description.find(GetParam().expected), std::string::npos) << result.description;
}

INSTANTIATE_TEST_SUITE_P(variants, broken_orders,
    testing::Values(broken_variant { "no_lease_expiry", { .noLeaseExpiry = true }, "two nodes hold the lease" },
        broken_variant { "no_takeover_wait", { .noTakeoverWait = true }, "overlap" },
        broken_variant { "same_token", { .sameToken = true }, "old lease took effect" },
        broken_variant { "short_permits", { .shortPermits = true }, "concurrent loads" },
        broken_variant { "long_send_pauses", { .longSendPauses = true }, "overlap" }),
    [](const auto& variant) { return variant.param.name; });

} // namespace
} // namespace carawaylink::simulation
