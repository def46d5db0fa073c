#include "load/fairness.h"
#include "load/latency_histogram.h"
#include "load/metrics.h"

#include "base/error.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

namespace carawaylink::load {
namespace {

std::string sentLine(const std::string& call, std::int64_t at, const std::string& more = "")
{
    return R"({"source":"caller","event":"sent","call":")" + call + R"(","attempt":1,"team":"t","tier":0,"service":"rota-llm","t_us":)"
        + std::to_string(at) + more + "}\n";
}

std::string endLine(const std::string& call, const std::string& event, std::int64_t at, std::int64_t latency, const std::string& more)
{
    return R"({"source":"caller","tier":0,"team":"t","service":"rota-llm","deadline_ms":1000,"call":")" + call + R"(","event":")" + event
        + R"(","t_us":)" + std::to_string(at) + R"(,"latency_us":)" + std::to_string(latency) + more + "}\n";
}

std::string engineLine(const std::string& endpoint, const std::string& call, const std::string& event, std::int64_t at, int cached)
{
    return R"({"source":"engine","endpoint":")" + endpoint + R"(","request":"q)" + call + R"(","user":")" + call + R"(","event":")" + event
        + R"(","prompt_tokens":100,"cached_tokens":)" + std::to_string(cached) + R"(,"t_us":)" + std::to_string(at) + "}\n";
}

class load_figures : public testing::Test {
protected:
    static load_metrics measure(const std::string& text) { return measureLoad(history::parse({ text }), {}); }

    /// A complete call with a prefix of 64 tokens, prefilled on an endpoint that had `cached` tokens.
    static std::string completeCall(const std::string& call, const std::string& endpoint, std::int64_t at, int cached)
    {
        return sentLine(call, at, R"(,"prompt_tokens":100,"prefix":"p","prefix_tokens":64)")
            + engineLine(endpoint, call, "started", at + 10, cached) + engineLine(endpoint, call, "first_token", at + 20, cached)
            + endLine(call, "answered", at + 50, 50, R"(,"whole":true,"tokens":3,"expected_tokens":3,"first_token_us":25)");
    }
};

// Guards against late, wrong, refused or broken calls being counted as goodput.
TEST_F(load_figures, only_whole_answers_in_time_are_goodput)
{
    const std::string whole = R"(,"whole":true,"tokens":3,"expected_tokens":3)";
    const auto metrics = measure(sentLine("a", 0) + endLine("a", "answered", 900000, 900000, whole) + sentLine("b", 0)
        + endLine("b", "answered", 1100000, 1100000, whole) + sentLine("c", 0)
        + endLine("c", "answered", 10, 10, R"(,"whole":true,"tokens":2,"expected_tokens":3)") + sentLine("d", 0)
        + endLine("d", "refused", 10, 10, R"(,"ran":"no")") + sentLine("e", 0) + endLine("e", "broken", 10, 10, R"(,"ran":"unknown")")
        + sentLine("f", 0) + sentLine("g", 0) + endLine("g", "broken", 10, 10, R"(,"ran":"unknown")")
        + endLine("g", "answered", 20, 20, whole));
    const auto& tier = metrics.tiers.at(0);
    EXPECT_EQ(tier.offered, 7);
    EXPECT_EQ(tier.good, 2);
    EXPECT_EQ(tier.late, 1);
    EXPECT_EQ(tier.wrong, 1);
    EXPECT_EQ(tier.refused, 1);
    EXPECT_EQ(tier.unknown, 2);
}

// Guards against prefill of lost calls, or repeated though cached elsewhere, being left out of the waste.
TEST_F(load_figures, wasted_prefill_counts_lost_and_repeated_tokens)
{
    // e1 provably holds the prefix from 20 to 1010; the call on e2 at 510 computes it again, the one at 2010 is not proven.
    const auto metrics = measure(completeCall("a", "e1", 0, 0) + completeCall("b", "e2", 500, 0) + completeCall("c", "e1", 1000, 64)
        + completeCall("d", "e3", 2000, 0) + sentLine("x", 3000) + engineLine("e1", "x", "started", 3010, 0)
        + endLine("x", "broken", 3050, 50, R"(,"ran":"unknown")") + sentLine("y", 3000) + engineLine("e1", "y", "received", 3010, 0)
        + endLine("y", "broken", 3050, 50, R"(,"ran":"unknown")"));
    EXPECT_EQ(metrics.total.prefillComputed, 100 + 100 + 36 + 100 + 100);
    EXPECT_EQ(metrics.total.prefillRepeated, 64);
    EXPECT_EQ(metrics.total.prefillUnfinished, 100);
    EXPECT_NEAR(metrics.total.wastedPrefillShare().value(), 164.0 / 436, 1e-9);
}

// Guards against an index that ignores weights, or that compares teams without a backlog.
TEST_F(load_figures, jain_index_compares_backlogged_teams_by_weight)
{
    EXPECT_NEAR(jainIndex({ 1, 1, 1 }).value(), 1.0, 1e-9);
    EXPECT_NEAR(jainIndex({ 3, 0, 0 }).value(), 1.0 / 3, 1e-9);
    const auto call = [](const std::string& team, int prompt, std::int64_t firstToken) {
        call_outcome outcome;
        outcome.call = team + "-call";
        outcome.team = team;
        outcome.service = "rota-llm";
        outcome.promptTokens = prompt;
        outcome.firstTokenUs = firstToken;
        outcome.endUs = firstToken;
        return outcome;
    };
    const std::vector<call_outcome> outcomes { call("heavy", 300, 1500000), call("light", 100, 1500000), call("idle", 5, 100000) };
    const auto queued = [](const std::string& team, const std::string& request, std::int64_t from, std::int64_t until) {
        const std::string line = R"({"source":"node","node":"n","request":")" + request + R"(","t_us":)";
        return line + std::to_string(from) + R"(,"event":"queued","service":"rota-llm","tier":0,"team":")" + team + "\"}\n" + line
            + std::to_string(until) + R"(,"event":"granted"})" + "\n";
    };
    std::string shortWaits;
    for (int i = 0; i < 500; ++i)
        shortWaits += queued("idle", "i" + std::to_string(i), i * 10000, (i + 1) * 10000);
    const auto atNode = history::parse({ shortWaits + queued("heavy", "h", 0, 5000000) + queued("light", "l", 0, 5000000) });
    EXPECT_NEAR(weightedJain(atNode, outcomes, { { "heavy", 3 } }).value().index, 1.0, 1e-9);
    EXPECT_NEAR(weightedJain(atNode, outcomes, {}).value().index, 400.0 * 400 / (2 * (300 * 300 + 100 * 100)), 1e-9);
    const auto atEngine
        = history::parse({ engineLine("e1", "heavy-call", "received", 0, 0) + engineLine("e1", "light-call", "received", 0, 0)
            + engineLine("e1", "heavy-call", "started", 5000000, 0) + engineLine("e1", "light-call", "started", 5000000, 0) });
    EXPECT_NEAR(weightedJain(atEngine, outcomes, { { "heavy", 3 } }).value().index, 1.0, 1e-9);
    EXPECT_EQ(weightedJain(atEngine, outcomes, {}).value().windows, 1);
    EXPECT_FALSE(weightedJain(history::parse({ shortWaits }), outcomes, {}).has_value());
}

// Guards against percentiles that drift from the true value.
TEST_F(load_figures, percentiles_are_within_a_bucket)
{
    latency_histogram histogram;
    for (int i = 1; i <= 100000; ++i)
        histogram.add(i);
    for (const double share : { 0.001, 0.5, 0.95, 0.999 }) {
        const auto exact = share * 100000;
        EXPECT_GE(static_cast<double>(histogram.percentile(share)), exact);
        EXPECT_LE(static_cast<double>(histogram.percentile(share)), exact * 1.033);
    }
    histogram.add(INT64_MAX);
    latency_histogram copy;
    for (const auto& [bound, count] : histogram.buckets())
        copy.add(bound, count);
    EXPECT_EQ(copy.buckets(), histogram.buckets());
}

// Guards against a shortfall, or a figure that was not measured at all, passing for success.
TEST_F(load_figures, shortfalls_and_missing_figures_are_named)
{
    const auto path = testing::TempDir() + "load-outcomes.yaml";
    const auto compare = [&](const std::string& text) {
        std::ofstream(path) << text;
        return compareOutcomes(measure(sentLine("a", 0) + endLine("a", "refused", 10, 10, R"(,"ran":"no")")), path);
    };
    EXPECT_EQ(compare("tiers: {0: {goodput_share_min: 0, refused_share_max: 1}}").size(), 0U);
    const auto shortfalls
        = compare("tiers: {0: {goodput_share_min: 0.5}, 3: {refused_share_max: 1}}\nservices: {rota-llm: {wasted_prefill_share_max: 0.9}}");
    ASSERT_EQ(shortfalls.size(), 3U);
    EXPECT_TRUE(shortfalls[0].starts_with("tier 0 goodput_share_min=0.5")) << shortfalls[0];
    EXPECT_TRUE(shortfalls[2].ends_with("measured=none")) << shortfalls[2];
    EXPECT_THROW(compare("tiers: {0: {goodput_min: 0.5}}"), error);
    std::remove(path.c_str());
}

// Guards against histories of killed processes being unreadable, and against damaged lines being skipped silently.
TEST_F(load_figures, cut_last_line_is_ignored_and_malformed_line_throws)
{
    EXPECT_EQ(history::parse({ sentLine("a", 0) + "{\"source\":\"cal" }).records().size(), 1U);
    EXPECT_THROW(history::parse({ "{\"source\":\"cal\n" }), error);
    EXPECT_THROW(history::parse({ "{\"source\":\"caller\",\"event\":\"sent\"}\n" }), error);
}

} // namespace
} // namespace carawaylink::load
