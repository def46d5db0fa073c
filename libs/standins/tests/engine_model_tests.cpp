#include "standins/engine_model.h"
#include "standins/engine_sweep.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

const monotonic_time start {};

std::string words(int count, const std::string& stem)
{
    std::string text;
    for (int i = 0; i < count; ++i)
        text += stem + std::to_string(i) + " ";
    return text;
}

engine_options smallEngine()
{
    engine_options options;
    options.tokenTime = 10ms;
    options.tokenTimePerSequence = 1ms;
    options.prefillTokensPerSecond = 1000;
    options.prefillChunk = 2048;
    options.maxRunning = 2;
    options.cacheTokens = 64 * 64;
    return options;
}

/// Runs an engine in virtual time and keeps all its events.
struct engine_run {
    explicit engine_run(engine_options options = smallEngine())
        : model(std::move(options), start)
    {
    }

    engine_model::submission submit(const std::string& id, const std::string& prompt = "word", std::int64_t maxTokens = 4)
    {
        model.advance(now);
        auto result = model.submit(now, { id, "", prompt, maxTokens });
        collect();
        return result;
    }

    bool cancel(const std::string& id)
    {
        model.advance(now);
        return model.cancel(now, id);
    }

    void advance(duration step)
    {
        now += step;
        model.advance(now);
        collect();
    }

    void runUntilIdle()
    {
        while (const auto next = model.nextChange()) {
            now = std::max(now, *next);
            advance(0ms);
        }
    }

    void collect()
    {
        for (auto& event : model.takeEvents())
            events.push_back(std::move(event));
    }

    std::vector<std::string> requests(engine_event_kind kind) const
    {
        std::vector<std::string> ids;
        for (const auto& event : events) {
            if (event.kind == kind)
                ids.push_back(event.request);
        }
        return ids;
    }

    engine_event event(engine_event_kind kind, const std::string& request) const
    {
        for (const auto& candidate : events) {
            if (candidate.kind == kind && candidate.request == request)
                return candidate;
        }
        ADD_FAILURE() << "no event " << engineEventNames.name(kind) << " of " << request;
        return {};
    }

    bool orderDone(std::uint64_t task) const
    {
        return std::ranges::any_of(
            events, [task](const engine_event& event) { return event.kind == engine_event_kind::task_done && event.number == task; });
    }

    engine_model model;
    monotonic_time now = start;
    std::vector<engine_event> events;
};

using ids = std::vector<std::string>;

class engine_batch : public testing::Test { };

// Guards against a queue that overtakes: the scheduler keeps engine queues short because engines serve in arrival order.
TEST_F(engine_batch, requests_beyond_the_batch_start_in_arrival_order)
{
    engine_run run;
    for (const auto* id : { "a", "b", "c", "d", "e" })
        run.submit(id);
    // A sequence joins the batch between two iterations.
    run.advance(15ms);
    EXPECT_EQ(run.model.load(run.now).running, 2U);
    EXPECT_EQ(run.model.load(run.now).waiting, 3U);
    run.runUntilIdle();
    EXPECT_EQ(run.requests(engine_event_kind::started), (ids { "a", "b", "c", "d", "e" }));
    EXPECT_EQ(run.requests(engine_event_kind::finished), (ids { "a", "b", "c", "d", "e" }));
}

// Guards against an engine whose pace does not depend on its batch, which the cost model could not be tested with.
TEST_F(engine_batch, time_per_token_grows_with_running_sequences)
{
    engine_run alone;
    alone.submit("a", "word", 10);
    alone.runUntilIdle();
    engine_run shared;
    shared.submit("a", "word", 10);
    shared.submit("b", "word", 10);
    shared.runUntilIdle();
    EXPECT_GE(shared.now - alone.now, 9ms);
}

// Guards against a cancelled stream that keeps its place in the batch: preemption relies on the slot being free.
TEST_F(engine_batch, cancelled_request_frees_its_slot)
{
    engine_run run;
    run.submit("a", "word", 1000);
    run.submit("b", "word", 1000);
    run.submit("c", "word", 1);
    run.advance(100ms);
    EXPECT_TRUE(run.requests(engine_event_kind::finished).empty());
    EXPECT_TRUE(run.cancel("a"));
    run.advance(100ms);
    EXPECT_EQ(run.requests(engine_event_kind::finished), (ids { "c" }));
    EXPECT_EQ(run.model.find("a"), nullptr);
    EXPECT_FALSE(run.cancel("a"));
}

// Guards against a cancelled request that runs later because it was still queued.
TEST_F(engine_batch, cancelled_waiting_request_never_starts)
{
    engine_run run;
    for (const auto* id : { "a", "b", "c", "d" })
        run.submit(id);
    EXPECT_TRUE(run.cancel("c"));
    run.runUntilIdle();
    EXPECT_EQ(run.requests(engine_event_kind::started), (ids { "a", "b", "d" }));
}

// Guards against hidden deduplication, which would mask a second dispatch by the scheduler.
TEST_F(engine_batch, request_id_sent_twice_runs_twice)
{
    engine_run run;
    run.submit("a");
    run.submit("a");
    run.runUntilIdle();
    EXPECT_EQ(run.requests(engine_event_kind::received), (ids { "a", "a" }));
    EXPECT_EQ(run.requests(engine_event_kind::finished), (ids { "a", "a" }));
}

// Guards against output lengths that the load generator cannot choose.
TEST_F(engine_batch, prompt_word_sets_output_length_up_to_the_limit)
{
    engine_run run;
    EXPECT_EQ(run.submit("a", "say output_tokens=3 words", 10).execution->outputTokens, 3);
    EXPECT_EQ(run.submit("b", "say output_tokens=30 words", 10).execution->outputTokens, 10);
    EXPECT_EQ(run.submit("c", "say xoutput_tokens=3 words", 10).execution->outputTokens, 10);
}

// Guards against output that is lost before its keep time, or kept forever.
TEST_F(engine_batch, finished_output_is_kept_for_the_keep_time)
{
    engine_run run;
    run.submit("a");
    run.runUntilIdle();
    run.advance(run.model.options().keep - 1ms);
    EXPECT_NE(run.model.find("a"), nullptr);
    run.advance(2ms);
    EXPECT_EQ(run.model.find("a"), nullptr);
}

// Guards against a straggler or pause switch without effect.
TEST_F(engine_batch, slow_factor_multiplies_time_and_pause_suspends_it)
{
    engine_run normal;
    normal.submit("a", "word", 10);
    normal.runUntilIdle();
    engine_run slow;
    slow.model.applyFaults(start, R"({"slow_factor":4})");
    slow.submit("a", "word", 10);
    slow.runUntilIdle();
    EXPECT_EQ(slow.now - start, 4 * (normal.now - start));

    engine_run paused;
    paused.submit("a", "word", 10);
    paused.advance(30ms);
    paused.model.applyFaults(paused.now, R"({"pause":true})");
    paused.advance(1h);
    EXPECT_FALSE(paused.model.nextChange().has_value());
    paused.model.applyFaults(paused.now, R"({"pause":false})");
    paused.runUntilIdle();
    EXPECT_EQ(paused.now - start, normal.now - start + 1h);
}

class engine_cache : public testing::Test { };

// Guards against prefix hits that are not counted or save no time.
TEST_F(engine_cache, shared_prefix_is_not_prefilled_again)
{
    engine_run run;
    const auto prefix = words(640, "p");
    run.submit("a", prefix + words(100, "x"), 1);
    run.runUntilIdle();
    const auto firstEnd = run.now;
    run.submit("b", prefix + words(100, "y"), 1);
    run.runUntilIdle();
    EXPECT_EQ(run.event(engine_event_kind::started, "a").cachedTokens, 0);
    EXPECT_EQ(run.event(engine_event_kind::started, "b").cachedTokens, 640);
    EXPECT_EQ(run.event(engine_event_kind::finished, "b").prefilledTokens, 100);
    EXPECT_LT(run.now - firstEnd, (firstEnd - start) / 4);
}

// Guards against block hashes that differ from those of the scheduler's prefix index.
TEST_F(engine_cache, stored_events_carry_the_hashes_of_the_prompt)
{
    engine_run run;
    const auto prompt = words(200, "p");
    run.submit("a", prompt, 1);
    run.runUntilIdle();
    std::vector<std::uint64_t> stored;
    for (const auto& event : run.model.cacheEvents(run.now, 0, 100).events) {
        EXPECT_TRUE(event.stored);
        stored.push_back(event.hash);
    }
    EXPECT_EQ(stored, splitPrompt(prompt).hashes);
}

// Guards against a cache without a bound, and against eviction of the blocks used last.
TEST_F(engine_cache, full_memory_evicts_least_recently_used_blocks)
{
    auto options = smallEngine();
    options.cacheTokens = 64 * 12;
    engine_run run(options);
    const auto first = words(256, "a");
    const auto second = words(256, "b");
    const auto ask = [&](const std::string& id, const std::string& prompt) {
        run.submit(id, prompt + "end", 1);
        run.runUntilIdle();
        return run.event(engine_event_kind::started, id).cachedTokens;
    };
    EXPECT_EQ(ask("a1", first), 0);
    EXPECT_EQ(ask("b1", second), 0);
    EXPECT_EQ(ask("a2", first), 256);
    EXPECT_EQ(ask("c1", words(256, "c")), 0);
    EXPECT_EQ(ask("a3", first), 256);
    EXPECT_LT(ask("b2", second), 256);
    const auto events = run.model.cacheEvents(run.now, 0, 1000).events;
    EXPECT_TRUE(std::ranges::any_of(events, [](const cache_event& event) { return !event.stored; }));
}

// Guards against running sequences that share or overrun memory: the engine must queue instead.
TEST_F(engine_cache, request_waits_until_running_sequences_free_memory)
{
    auto options = smallEngine();
    options.cacheTokens = 64 * 10;
    engine_run run(options);
    run.submit("a", words(256, "a"), 128);
    run.submit("b", words(256, "b"), 128);
    EXPECT_EQ(run.model.load(run.now).running, 1U);
    run.runUntilIdle();
    EXPECT_EQ(run.requests(engine_event_kind::finished), (ids { "a", "b" }));
    EXPECT_EQ(run.submit("c", words(640, "c"), 1).refusal, engine_refusal::too_long);
}

// Guards against a KV import that the next request does not find.
TEST_F(engine_cache, imported_blocks_are_hits_after_the_transfer_time)
{
    engine_run run;
    const auto prompt = words(256, "p");
    run.model.startImport(run.now, splitPrompt(prompt).hashes);
    run.advance(1us);
    EXPECT_TRUE(run.model.cachedBlocks(splitPrompt(prompt).hashes).empty());
    run.advance(1s);
    run.submit("a", prompt + "end", 1);
    run.runUntilIdle();
    EXPECT_EQ(run.event(engine_event_kind::started, "a").cachedTokens, 256);
}

// Guards against cache events that arrive at once and complete, which real engines do not offer.
TEST_F(engine_cache, events_are_late_and_have_gaps)
{
    engine_run run;
    run.model.applyFaults(start, R"({"event_delay_ms":5000,"event_gap_share":0.5})");
    run.submit("a", words(64 * 40, "p"), 1);
    run.runUntilIdle();
    EXPECT_TRUE(run.model.cacheEvents(run.now, 0, 100).events.empty());
    ASSERT_TRUE(run.model.cacheEventVisibleAt(0).has_value());
    EXPECT_GE(*run.model.cacheEventVisibleAt(0), run.now + 4s);
    run.advance(5s);
    const auto page = run.model.cacheEvents(run.now, 0, 100);
    EXPECT_GT(page.events.size(), 5U);
    EXPECT_LT(page.events.size(), 35U);
    EXPECT_GT(page.events.back().sequence - page.events.front().sequence, page.events.size());
    const auto rest = run.model.cacheEvents(run.now, page.events[3].sequence + 1, 100);
    EXPECT_EQ(rest.events.size(), page.events.size() - 4);
}

class engine_control : public testing::Test { };

// Guards against load reports without the lag that makes power of two choices fail.
TEST_F(engine_control, load_report_lags)
{
    engine_run run;
    run.model.applyFaults(start, R"({"report_lag_ms":500})");
    run.advance(1s);
    run.submit("a", "word", 1000);
    run.model.leave(run.now);
    EXPECT_EQ(run.model.load(run.now).running, 0U);
    EXPECT_FALSE(run.model.load(run.now).leaving);
    run.advance(499ms);
    EXPECT_EQ(run.model.load(run.now).running, 0U);
    run.advance(2ms);
    EXPECT_EQ(run.model.load(run.now).running, 1U);
    EXPECT_TRUE(run.model.load(run.now).leaving);
}

// Guards against a leaving engine that takes new work or drops running work.
TEST_F(engine_control, leaving_engine_refuses_new_work_and_finishes_running_work)
{
    engine_run run;
    run.submit("a");
    run.model.leave(run.now);
    EXPECT_EQ(run.submit("b").refusal, engine_refusal::leaving);
    run.runUntilIdle();
    EXPECT_EQ(run.requests(engine_event_kind::finished), (ids { "a" }));
    EXPECT_EQ(run.requests(engine_event_kind::refused), (ids { "b" }));
}

// Guards against a lower fencing token being accepted by an engine that checks it.
TEST_F(engine_control, stale_fence_is_refused_where_enforced)
{
    engine_run run;
    EXPECT_TRUE(run.model.admitOrder(run.now, { order_kind::set_role, "prefill", 7, "o1" }));
    EXPECT_FALSE(run.model.admitOrder(run.now, { order_kind::set_role, "decode", 6, "o2" }));
    EXPECT_TRUE(run.model.admitOrder(run.now, { order_kind::set_role, "decode", 7, "o3" }));
    EXPECT_EQ(run.model.fence(), 7U);
}

// Guards against an engine that ignores fencing acting as if it checked it, which would hide double orders.
TEST_F(engine_control, stale_fence_is_accepted_where_ignored)
{
    auto options = smallEngine();
    options.ignoresFencing = true;
    engine_run run(options);
    EXPECT_TRUE(run.model.admitOrder(run.now, { order_kind::set_role, "prefill", 7, "o1" }));
    EXPECT_TRUE(run.model.admitOrder(run.now, { order_kind::set_role, "decode", 6, "o2" }));
    EXPECT_EQ(run.model.fence(), 7U);
    run.model.applyFaults(run.now, R"({"enforce_fencing":true})");
    EXPECT_FALSE(run.model.admitOrder(run.now, { order_kind::set_role, "decode", 6, "o3" }));
}

// Guards against model loads that take no time, or that never displace another model.
TEST_F(engine_control, loaded_model_is_in_memory_after_the_load_time)
{
    engine_run run;
    for (const auto* name : { "m1", "m2" }) {
        const auto task = run.model.startOrder(run.now, { order_kind::load_model, name, 1, "o" });
        run.advance(run.model.options().modelLoadTime - 1ms);
        EXPECT_FALSE(run.orderDone(task));
        EXPECT_NE(run.model.models().front(), name);
        run.advance(1ms);
        EXPECT_TRUE(run.orderDone(task));
    }
    EXPECT_EQ(run.model.models(), (ids { "m2", "m1" }));
}

class engine_sweep : public testing::Test { };

// Guards against figures of the sweep that do not follow from the options of the model.
TEST_F(engine_sweep, figures_match_the_options_of_the_engine)
{
    sweep_cell cell;
    cell.engine = smallEngine();
    cell.engine.maxRunning = 1;
    cell.promptTokens = 640;
    cell.outputTokens = 11;
    cell.requests = 4;
    cell.prefixShare = 0;
    const auto cold = runSweep(cell);
    EXPECT_EQ(cold.firstTokenMean, 10ms + 1ms + 640ms);
    EXPECT_EQ(cold.timePerToken, 11ms);
    EXPECT_NEAR(cold.outputTokensPerSecond, 11 / 0.761, 0.01);
    EXPECT_EQ(cold.cacheHitShare, 0);
    cell.prefixShare = 0.5;
    cell.prefixes = 1;
    const auto warm = runSweep(cell);
    EXPECT_DOUBLE_EQ(warm.cacheHitShare, 0.5 * 3 / 4);
    EXPECT_EQ(warm.firstTokenP95, cold.firstTokenMean);
    cell.engine.cacheTokens = 640;
    EXPECT_EQ(runSweep(cell).refused, 4U);
}

// Guards against lost or duplicated work, overtaking, and memory that leaks or overflows, under any sequence of calls.
RC_GTEST_PROP(engine_properties, every_request_ends_once_and_all_memory_is_returned, ())
{
    auto options = smallEngine();
    options.cacheTokens = 64 * *rc::gen::inRange(8, 40);
    options.maxRunning = *rc::gen::inRange<std::size_t>(1, 5);
    options.prefillChunk = *rc::gen::inRange(16, 512);
    engine_run run(options);
    std::multiset<std::string> accepted;
    std::multiset<std::string> cancelled;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto prompt = words(*rc::gen::inRange(0, 600), std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))));
        if (run.submit(id, prompt, *rc::gen::inRange(1, 40)).refusal == engine_refusal::none)
            accepted.insert(id);
        run.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 200)));
        const auto victim = "r" + std::to_string(*rc::gen::inRange(0, i + 1));
        if (*rc::gen::inRange(0, 4) == 0 && run.cancel(victim))
            cancelled.insert(victim);
        RC_ASSERT(run.model.load(run.now).kvUsed <= options.cacheTokens);
        RC_ASSERT(run.model.load(run.now).running <= options.maxRunning);
    }
    run.runUntilIdle();
    auto ended = run.requests(engine_event_kind::finished);
    ended.insert(ended.end(), cancelled.begin(), cancelled.end());
    RC_ASSERT(std::multiset<std::string>(ended.begin(), ended.end()) == accepted);
    std::vector<std::uint64_t> started;
    for (const auto& event : run.events) {
        if (event.kind == engine_event_kind::started)
            started.push_back(event.number);
    }
    RC_ASSERT(std::ranges::is_sorted(started));
    RC_ASSERT(run.model.load(run.now + 1s).kvUsed == 0);
}

} // namespace
} // namespace carawaylink
