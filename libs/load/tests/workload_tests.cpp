#include "load/entry_cache.h"
#include "load/generator.h"
#include "load/prompt.h"
#include "load/trace.h"

#include "base/error.h"
#include "base/prompt_blocks.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <sstream>

namespace carawaylink::load {
namespace {

using std::chrono::milliseconds;

generator_settings workload()
{
    generator_settings settings;
    settings.rate = 200;
    settings.duration = milliseconds(30000);
    settings.teams = { { team_id("large"), 3 }, { team_id("small"), 1 } };
    settings.bursts = { { milliseconds(10000), milliseconds(5000), 4 } };
    call_class plan;
    plan.name = "plan";
    plan.service = service_id("rota-llm");
    plan.prefixes = 10;
    plan.nonIdempotentShare = 0.25;
    settings.classes = { plan };
    return settings;
}

class generated_traces : public testing::Test { };

// Guards against a benchmark that cannot be repeated from its seed.
TEST_F(generated_traces, same_seed_gives_same_trace)
{
    auto settings = workload();
    const auto first = generateTrace(settings);
    EXPECT_EQ(first, generateTrace(settings));
    settings.seed = 2;
    EXPECT_NE(first, generateTrace(settings));
}

// Guards against a trace whose shares, lengths or bursts differ from its settings.
TEST_F(generated_traces, trace_follows_the_settings)
{
    const auto calls = generateTrace(workload());
    const auto share
        = [&](auto condition) { return static_cast<double>(std::ranges::count_if(calls, condition)) / static_cast<double>(calls.size()); };
    EXPECT_NEAR(static_cast<double>(calls.size()), 200.0 * (25 + 5 * 4), 400);
    EXPECT_NEAR(share([](const auto& call) { return call.team == team_id("large"); }), 0.75, 0.03);
    EXPECT_NEAR(share([](const auto& call) { return !call.idempotent; }), 0.25, 0.03);
    EXPECT_NEAR(share([](const auto& call) { return call.at >= milliseconds(10000) && call.at < milliseconds(15000); }), 20.0 / 45, 0.03);
    const auto [shortest, longest] = std::ranges::minmax(calls, {}, &trace_call::prompt);
    EXPECT_GE(shortest.prompt, tokens(60));
    EXPECT_LE(longest.prompt, tokens(6000));
    EXPECT_GT(longest.prompt.value, 50 * shortest.prompt.value);
    std::map<std::string, int> prefixes;
    for (const auto& call : calls)
        ++prefixes[call.prefix];
    EXPECT_GT(prefixes["plan-p0"], 3 * prefixes["plan-p9"]);
}

// Guards against fields lost between writing and reading a trace.
TEST_F(generated_traces, written_trace_reads_back)
{
    const auto calls = generateTrace(workload());
    std::stringstream file;
    writeTrace(file, calls);
    EXPECT_EQ(readTrace(file, "trace"), calls);
}

// Guards against a malformed trace being replayed with made-up values.
TEST_F(generated_traces, malformed_line_names_line_and_field)
{
    std::istringstream file("\n{\"at_ms\":0,\"team\":\"a\",\"tier\":300}\n");
    try {
        readTrace(file, "trace");
        FAIL();
    } catch (const error& failure) {
        EXPECT_EQ(failure.kind(), error_kind::invalid_argument);
        EXPECT_NE(failure.message().find("trace:2: field tier"), std::string::npos) << failure.message();
    }
}

class prompts : public testing::Test { };

// Guards against prompts that engines count differently from the trace, or that share no prefix in the cache.
TEST_F(prompts, calls_with_one_prefix_share_exactly_its_blocks)
{
    trace_call call;
    call.prompt = tokens(1000);
    call.output = tokens(7);
    call.prefix = "p1";
    const auto text = buildPrompt(call, "run-1");
    const auto one = splitPrompt(text);
    EXPECT_EQ(one.count, tokens(1000));
    EXPECT_NE(text.find(" output_tokens=7 "), std::string::npos);
    EXPECT_EQ(sharedPrefixTokens(call), tokens(576));
    EXPECT_EQ(sharedBlocks(one.hashes, splitPrompt(buildPrompt(call, "run-2")).hashes), 9U);
    call.prefix = "p2";
    EXPECT_EQ(sharedBlocks(one.hashes, splitPrompt(buildPrompt(call, "run-1")).hashes), 0U);
    call.prefix.clear();
    EXPECT_EQ(sharedPrefixTokens(call), tokens(0));
    EXPECT_EQ(splitPrompt(buildPrompt(call, "run-1")).count, tokens(1000));
}

class entry_caches : public testing::Test {
protected:
    monotonic_time m_now { std::chrono::hours(1) };
    entry_cache m_cache { { "127.0.0.9:1" } };
};

// Guards against addresses in use after their lifetime, and against calls that wait for each refresh.
TEST_F(entry_caches, addresses_are_refreshed_at_half_their_lifetime)
{
    EXPECT_FALSE(m_cache.usable(m_now));
    EXPECT_TRUE(m_cache.refreshDue(m_now));
    EXPECT_EQ(m_cache.nextEntry(m_now), "127.0.0.9:1");
    m_cache.update({ { "127.0.0.1:1", "127.0.0.2:1" }, milliseconds(1000), {} }, "127.0.0.1:1", m_now);
    EXPECT_TRUE(m_cache.usable(m_now + milliseconds(999)));
    EXPECT_FALSE(m_cache.refreshDue(m_now + milliseconds(499)));
    EXPECT_TRUE(m_cache.refreshDue(m_now + milliseconds(500)));
    EXPECT_FALSE(m_cache.usable(m_now + milliseconds(1000)));
}

// Guards against all calls going to one node, and against calls that keep hitting a dead one.
TEST_F(entry_caches, addresses_rotate_and_failed_ones_are_avoided)
{
    m_cache.update({ { "a:1", "b:1", "c:1" }, milliseconds(9000), {} }, "a:1", m_now);
    EXPECT_EQ(m_cache.next(m_now), "a:1");
    EXPECT_EQ(m_cache.next(m_now), "b:1");
    EXPECT_EQ(m_cache.next(m_now, "c:1"), "a:1");
    m_cache.connectFailed("b:1", m_now);
    for (int i = 0; i < 6; ++i)
        EXPECT_NE(m_cache.next(m_now), "b:1");
    m_cache.connectFailed("a:1", m_now);
    m_cache.connectFailed("c:1", m_now);
    EXPECT_FALSE(m_cache.next(m_now).empty());
    EXPECT_FALSE(m_cache.avoided("b:1", m_now + milliseconds(1001)));
}

// Guards against a ticket being used for two calls, and against tickets of a dead home.
TEST_F(entry_caches, ticket_is_handed_out_once)
{
    m_cache.update({ { "a:1" }, milliseconds(9000), { "t1", "t2" } }, "a:1", m_now);
    m_cache.update({ { "a:1" }, milliseconds(9000), { "t3" } }, "b:1", m_now);
    EXPECT_EQ(m_cache.takeTicket()->text, "t3");
    EXPECT_EQ(m_cache.ticketCount(), 2U);
    m_cache.connectFailed("a:1", m_now);
    EXPECT_FALSE(m_cache.takeTicket().has_value());
}

// Guards against a page of another server being taken for the entry.
TEST_F(entry_caches, malformed_entry_answer_throws)
{
    EXPECT_EQ(readEntryAnswer(R"({"addresses":["a:1"],"lifetime_ms":10})").addresses.size(), 1U);
    EXPECT_THROW(readEntryAnswer("<html>"), error);
    EXPECT_THROW(readEntryAnswer(R"({"addresses":[],"lifetime_ms":10})"), error);
}

} // namespace
} // namespace carawaylink::load
