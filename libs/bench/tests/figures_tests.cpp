#include "bench/goodput_gap.h"
#include "bench/linear_trend.h"
#include "bench/promise_report.h"

#include <gtest/gtest.h>
#include <sstream>

namespace carawaylink::bench {
namespace {

constexpr std::int64_t second = 1000000;

/// Completions every 5 ms from 0 to 20 s, without those in a gap.
std::vector<std::int64_t> completionsWithGap(std::int64_t from, std::int64_t to)
{
    std::vector<std::int64_t> result;
    for (std::int64_t time = 0; time < 20 * second; time += 5000) {
        if (time < from || time >= to)
            result.push_back(time);
    }
    return result;
}

/// History of one call that was answered whole; engines received it as often as given.
std::string callHistory(int receipts)
{
    std::string text = R"({"source":"caller","event":"sent","t_us":1000,"call":"c1","attempt":1,"team":"t","tier":0,"service":"llm",)"
                       R"("address":"127.0.0.1:1","deadline_ms":1000,"idempotent":true,"expected_tokens":2})"
                       "\n";
    for (int i = 0; i < receipts; ++i)
        text += R"({"source":"engine","event":"received","t_us":)" + std::to_string(2000 + i)
            + R"(,"endpoint":"127.0.0.1:2","request":"r1","user":"c1"})"
              "\n";
    return text
        + R"({"source":"caller","event":"answered","t_us":9000,"call":"c1","attempt":1,"team":"t","tier":0,"service":"llm",)"
          R"("address":"127.0.0.1:1","deadline_ms":1000,"idempotent":true,"expected_tokens":2,"status":200,"whole":true,"own":true,)"
          R"("ordered":true,"tokens":2,"request":"r1","latency_us":8000})"
          "\n";
}

// Guards against a bench of faults that cannot fail: the same path that judges a run has to find a doctored breach.
TEST(promise_report_tests, history_withSecondDispatch_isCountedAndNotKept)
{
    const auto clean = checkHistories(load::history::parse({ callHistory(1) }));
    EXPECT_TRUE(clean.kept());
    EXPECT_EQ(clean.requests, 1);
    EXPECT_EQ(clean.promises.at(0).checked, 1);
    EXPECT_TRUE(clean.counts().starts_with("double_dispatch=0 inversions=0 ")) << clean.counts();

    const auto doctored = checkHistories(load::history::parse({ callHistory(2) }));
    EXPECT_FALSE(doctored.kept());
    EXPECT_EQ(doctored.breaches(1), 1);
    EXPECT_TRUE(doctored.counts().starts_with("double_dispatch=1 ")) << doctored.counts();
    std::ostringstream out;
    doctored.print(out);
    EXPECT_NE(out.str().find("P1 breach"), std::string::npos);
    EXPECT_NE(out.str().find("\"event\":\"received\""), std::string::npos);
}

// Guards against a recovery time that is printed as short because the dip was missed or the end was taken too early.
TEST(goodput_gap_tests, gap_isMeasuredFromFaultToRecovery)
{
    EXPECT_EQ(goodputGap(completionsWithGap(0, 0), 10 * second).count(), 0);
    // Windows of 500 ms have 95% again once at most 25 ms of the gap lie in them.
    EXPECT_EQ(goodputGap(completionsWithGap(10 * second, 11 * second), 10 * second).count(), 1000);
    // A second dip counts.
    auto twice = completionsWithGap(10 * second, 11 * second);
    std::erase_if(twice, [](std::int64_t time) { return time >= 13 * second && time < 14 * second; });
    EXPECT_EQ(goodputGap(twice, 10 * second).count(), 4000);
}

// Guards against a fleet that never recovers being reported as recovered at the last window.
TEST(goodput_gap_tests, gap_withoutRecovery_isTheHorizon)
{
    EXPECT_EQ(goodputGap(completionsWithGap(10 * second, 20 * second), 10 * second).count(), 6000);
}

// Guards against a wrong extrapolation to 750 nodes.
TEST(linear_trend_tests, trend_throughLine_isExact)
{
    const auto trend = fitTrend({ 5, 10, 20 }, { 20, 35, 65 });
    EXPECT_NEAR(trend.slope, 3, 1e-9);
    EXPECT_NEAR(trend.at(750), 2255, 1e-6);
    EXPECT_NEAR(fitTrend({ 5 }, { 7 }).at(750), 7, 1e-9);
}

} // namespace
} // namespace carawaylink::bench
