#include "bench/fault_schedule.h"

#include "base/error.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace carawaylink::bench {
namespace {

class fault_schedule_tests : public testing::Test {
protected:
    static bool stopsNode(const planned_fault& fault)
    {
        return fault.kind == fault_kind::kill_node || fault.kind == fault_kind::pause_node || fault.kind == fault_kind::drain_node;
    }
};

// Guards against a breach that cannot be repeated from its seed.
TEST_F(fault_schedule_tests, schedule_sameSeed_sameFaults)
{
    const auto first = makeSchedule({ .seed = 7 });
    EXPECT_EQ(first, makeSchedule({ .seed = 7 }));
    EXPECT_NE(first, makeSchedule({ .seed = 8 }));
    EXPECT_EQ(scheduleLine(first.front()), scheduleLine(makeSchedule({ .seed = 7 }).front()));
}

// Guards against a run that passes because a kind of fault never occurred.
TEST_F(fault_schedule_tests, schedule_anySeed_hasEveryKindWithinTheLoad)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const schedule_settings settings { .seed = seed };
        const auto schedule = makeSchedule(settings);
        ASSERT_EQ(schedule.size(), settings.faults) << "seed " << seed;
        for (const auto& [kind, name] : faultKindNames.entries)
            EXPECT_TRUE(std::ranges::count(schedule, kind, &planned_fault::kind) > 0) << name << " seed " << seed;
        for (const auto& fault : schedule) {
            EXPECT_GE(fault.at, settings.begin);
            EXPECT_LE(fault.at + fault.length, settings.end) << scheduleLine(fault) << " seed " << seed;
        }
    }
}

// Guards against a schedule that stops so many nodes that requests are refused for want of a node, and nothing is tested.
TEST_F(fault_schedule_tests, schedule_anySeed_leavesThreeNodesRunning)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto schedule = makeSchedule({ .seed = seed });
        for (const auto& fault : schedule) {
            if (!stopsNode(fault))
                continue;
            const auto stopped = std::ranges::count_if(schedule,
                [&](const auto& other) { return stopsNode(other) && other.at <= fault.at && fault.at < other.at + other.length; });
            EXPECT_LE(stopped, 2) << scheduleLine(fault) << " seed " << seed;
        }
    }
}

// Guards against faults that only ever occur alone.
TEST_F(fault_schedule_tests, schedule_anySeed_hasFaultsThatBeginTogether)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        const auto schedule = makeSchedule({ .seed = seed });
        const auto close = std::ranges::adjacent_find(
            schedule, [](const auto& left, const auto& right) { return right.at - left.at <= std::chrono::milliseconds(300); });
        EXPECT_NE(close, schedule.end()) << "seed " << seed;
    }
}

// Guards against a plan that silently leaves faults out.
TEST_F(fault_schedule_tests, schedule_noRoom_isRefused)
{
    EXPECT_THROW(makeSchedule({ .end = std::chrono::milliseconds(20000), .faults = 500 }), error);
    EXPECT_THROW(makeSchedule({ .nodes = 3 }), error);
}

} // namespace
} // namespace carawaylink::bench
