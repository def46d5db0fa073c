#include "placement/service_pool.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace carawaylink::placement {
namespace {

using namespace std::chrono_literals;

/// Four engines of equal speed; answers take as long as the prefill of what the test says is not cached.
class prefix_placement_test : public testing::Test {
protected:
    static constexpr unsigned slots = 6;
    static constexpr double tokensPerMs = 85;
    static constexpr double baseMs = 10;
    static constexpr std::int64_t sharedTokens = 5000;
    static constexpr std::int64_t ownTokens = 300;

    void SetUp() override
    {
        listEngines(526'415);
        for (std::size_t i = 0; i < m_records.size() * 20; ++i) {
            auto sample = request("", i / m_records.size() % 2 == 0 ? 300 : 6000);
            sample.promptParts.clear();
            excludeAllBut(sample, m_records[i % m_records.size()].id.value);
            serve(sample);
        }
    }

    void listEngines(std::int64_t memory)
    {
        m_pool.setLimits({ tokens { memory }, 1 });
        for (const char* name : { "a", "b", "c", "d" })
            m_records.push_back(
                { replica_id { name }, service_id { "engine" }, endpoint_id { name }, failure_domain { "a" }, slots, false, 1 });
        m_pool.setEndpoints(m_records, m_now);
    }

    void keepOnlyOneEngine()
    {
        m_records.resize(1);
        m_pool.setEndpoints(m_records, m_now);
    }

    void excludeAllBut(waiting_request& restricted, const std::string& name) const
    {
        for (const auto& record : m_records) {
            if (record.id.value != name)
                restricted.excluded.push_back(record.id);
        }
    }

    /// A request with a shared part and an own one.
    waiting_request request(const std::string& shared, std::int64_t sharedLength = sharedTokens)
    {
        waiting_request result;
        result.id = ++m_lastId;
        result.prompt = tokens { sharedLength + ownTokens };
        result.output = tokens { 100 };
        result.arrived = m_now;
        result.target = m_now + 2s;
        result.deadline = m_now + 8s;
        const std::vector<named_part> parts { { shared, tokens { sharedLength } }, { std::to_string(m_lastId), tokens { ownTokens } } };
        result.promptParts = significantParts(parts);
        return result;
    }

    std::optional<grant> place(const waiting_request& submitted)
    {
        m_pool.submit(submitted);
        for (const auto& granted : m_pool.decide(m_now).grants)
            m_grants.emplace(granted.id, granted);
        const auto found = m_grants.find(submitted.id);
        return found == m_grants.end() ? std::nullopt : std::optional(found->second);
    }

    static duration firstEventOf(const waiting_request& served, std::int64_t kept = 0, double slowdown = 1)
    {
        const prefill_cost_model cost;
        const auto work = static_cast<double>(cost.work(served.prompt).value - cost.work(tokens { kept }).value);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(slowdown * (baseMs + work / tokensPerMs)));
    }

    void answer(std::uint64_t id, duration first)
    {
        m_now += first;
        m_pool.recordProgress(id, 1, m_now);
        m_pool.recordOutcome(id, outcome::completed, 1, m_now);
    }

    /// Places a request and lets its endpoint answer; kept: what the engine really holds.
    grant serve(const waiting_request& submitted, std::int64_t kept = 0, double slowdown = 1)
    {
        const auto granted = place(submitted);
        EXPECT_TRUE(granted);
        answer(submitted.id, firstEventOf(submitted, kept, slowdown));
        return granted.value_or(grant {});
    }

    /// Answered once by one endpoint, whose name is returned.
    std::string holderOf(const std::string& shared) { return serve(request(shared)).replica.value; }

    service_pool m_pool { 1 };
    std::vector<discovery::endpoint_record> m_records;
    std::map<std::uint64_t, grant> m_grants;
    std::uint64_t m_lastId = 0;
    monotonic_time m_now { 100s };
};

TEST_F(prefix_placement_test, sharedPart_afterFirstAnswer_isReused)
{
    // Guards against prefilling a prompt again although an endpoint holds its beginning.
    const auto holder = holderOf("s");
    const auto next = place(request("s"));
    EXPECT_EQ(next->replica.value, holder);
    EXPECT_EQ(next->kept, tokens { sharedTokens });
    EXPECT_LT(next->expectedFirstEvent, firstEventOf(request("s")) / 2);
    EXPECT_EQ(place(request("other"))->kept, tokens { 0 });
}

TEST_F(prefix_placement_test, requestsWithoutParts_leaveNoEntries)
{
    // On deployments whose prompts share little, the account must cost nothing; the fixture has placed 80 requests without parts.
    EXPECT_EQ(m_pool.prefixBytes(), 0U);
    m_pool.setLimits({ std::nullopt, 1 });
    serve(request("s"));
    EXPECT_EQ(m_pool.prefixBytes(), 0U);
}

TEST_F(prefix_placement_test, hotKey_underLoad_spreadsOverEndpoints)
{
    // One endpoint that gets all requests of a popular prompt would make them wait while others idle.
    holderOf("hot");
    for (int round = 0; round < 3; ++round) {
        std::map<duration, std::uint64_t> byFirstEvent;
        for (unsigned i = 0; i < 2 * slots; ++i) {
            const auto granted = place(request("hot"));
            ASSERT_TRUE(granted);
            byFirstEvent.emplace(granted->expectedFirstEvent + std::chrono::nanoseconds(i), granted->id);
        }
        duration elapsed {};
        for (const auto& [first, id] : byFirstEvent)
            answer(id, first - std::exchange(elapsed, first));
    }
    std::set<std::string> holders;
    std::map<std::string, unsigned> load;
    for (unsigned i = 0; i < 2 * slots; ++i) {
        const auto granted = place(request("hot"));
        ASSERT_TRUE(granted);
        ++load[granted->replica.value];
        if (granted->kept == tokens { sharedTokens })
            holders.insert(granted->replica.value);
    }
    EXPECT_GE(holders.size(), 2U);
    EXPECT_GE(load.size(), 3U);
}

TEST_F(prefix_placement_test, holder_thatCrashes_isForgotten)
{
    // A restarted engine holds nothing; its requests would be placed by memory that is gone.
    const auto holder = holderOf("s");
    const auto lost = place(request("s"));
    ASSERT_EQ(lost->replica.value, holder);
    m_pool.recordOutcome(lost->id, outcome::broken, 0, m_now);
    EXPECT_EQ(place(request("s"))->kept, tokens { 0 });
}

TEST_F(prefix_placement_test, holder_registeredAsAnotherProcess_isForgotten)
{
    // A crash that no request saw is known from the registry alone.
    holderOf("s");
    for (auto& record : m_records)
        record.startedAtMs = 2;
    m_pool.setEndpoints(m_records, m_now);
    EXPECT_EQ(place(request("s"))->kept, tokens { 0 });
}

TEST_F(prefix_placement_test, requestSentBeforeCrash_answeredLater_leavesNothing)
{
    // A report that arrives late would bring back the belief in memory that the crash has cleared.
    keepOnlyOneEngine();
    const auto sent = place(request("s"));
    m_records.front().startedAtMs = 2;
    m_pool.setEndpoints(m_records, m_now);
    answer(sent->id, firstEventOf(request("s")));
    EXPECT_EQ(place(request("s"))->kept, tokens { 0 });
}

TEST_F(prefix_placement_test, holder_fullOfRunningRequests_isNotWaitedFor)
{
    // A request that waits for the holder of its beginning would start later than on an idle endpoint.
    const auto holder = holderOf("s");
    for (unsigned i = 0; i < slots; ++i) {
        auto filler = request("filler" + std::to_string(i));
        excludeAllBut(filler, holder);
        ASSERT_TRUE(place(filler));
    }
    const auto granted = place(request("s"));
    ASSERT_TRUE(granted);
    EXPECT_NE(granted->replica.value, holder);
    EXPECT_EQ(granted->kept, tokens { 0 });
}

TEST_F(prefix_placement_test, holder_fullOfParts_dropsLeastRecentlyUsed)
{
    // Memory of parts that an engine has replaced would attract requests that it prefills in full.
    m_pool.setLimits({ tokens { 4 * (sharedTokens + ownTokens) }, 1 });
    keepOnlyOneEngine();
    for (const char* shared : { "first", "second" })
        serve(request(shared));
    EXPECT_EQ(serve(request("first"), sharedTokens).kept, tokens { sharedTokens });
    for (const char* shared : { "third", "fourth" })
        serve(request(shared));
    EXPECT_EQ(serve(request("second")).kept, tokens { 0 });
    EXPECT_EQ(serve(request("fourth"), sharedTokens).kept, tokens { sharedTokens });
    // The memory of a running request cannot hold parts; its own parts stay when it ends.
    serve(request("large", 3 * sharedTokens));
    EXPECT_EQ(serve(request("large", 3 * sharedTokens), 3 * sharedTokens).kept, tokens { 3 * sharedTokens });
    EXPECT_EQ(serve(request("fourth")).kept, tokens { 0 });
}

TEST_F(prefix_placement_test, burst_beforeFirstEvent_countsNothingAsKept)
{
    // Requests that follow the first one at once would all be sent to its endpoint, which holds nothing yet.
    std::vector<grant> burst;
    for (int i = 0; i < 4; ++i)
        burst.push_back(*place(request("new")));
    std::set<std::string> used;
    for (const auto& granted : burst) {
        EXPECT_EQ(granted.kept, tokens { 0 });
        used.insert(granted.replica.value);
    }
    EXPECT_EQ(used.size(), 4U);
    answer(burst.front().id, firstEventOf(request("new")));
    EXPECT_EQ(place(request("new"))->kept, tokens { sharedTokens });
}

TEST_F(prefix_placement_test, holder_thatTurnsSlow_losesItsRequests)
{
    // Reuse must not keep a session on an endpoint that has become slower than prefilling elsewhere.
    const auto holder = holderOf("s");
    unsigned served = 0;
    while (served < 20 && serve(request("s"), sharedTokens, 12).replica.value == holder)
        ++served;
    EXPECT_LT(served, 10U);
    EXPECT_GE(served, 1U);
}

TEST_F(prefix_placement_test, belief_thatIsStale_losesItsSayAndRegainsIt)
{
    // An engine that reuses nothing, or holds less than assumed, would be preferred for all time.
    keepOnlyOneEngine();
    serve(request("s"));
    for (int i = 0; i < 8; ++i)
        serve(request("s"));
    EXPECT_EQ(serve(request("s")).kept, tokens { 0 });
    EXPECT_NEAR(m_pool.speedOf(m_records.front().id)->msPerToken, 1 / tokensPerMs, 0.2 / tokensPerMs);
    for (int i = 0; i < 8; ++i)
        serve(request("s"), sharedTokens);
    EXPECT_GT(place(request("s"))->kept.value, sharedTokens / 2);
    EXPECT_GT(m_pool.reuse().predicted, m_pool.reuse().found);
    EXPECT_EQ(m_pool.reuse().found, 8 * sharedTokens);
}

TEST_F(prefix_placement_test, reuse_doesNotChangeLearnedSpeed)
{
    // Answers without prefill would make their endpoint look several times faster than it is.
    keepOnlyOneEngine();
    serve(request("s"));
    for (int i = 0; i < 30; ++i)
        serve(request("s"), sharedTokens);
    EXPECT_NEAR(m_pool.speedOf(m_records.front().id)->msPerToken, 1 / tokensPerMs, 0.2 / tokensPerMs);
}

TEST_F(prefix_placement_test, answerOfEarlierProcess_isNotBelieved)
{
    // A node may list a prompt that a process answered before it crashed.
    keepOnlyOneEngine();
    const auto parts = request("s").promptParts;
    m_pool.recordAnswered(m_records.front().id, 0, parts);
    EXPECT_EQ(place(request("s"))->kept, tokens { 0 });
    m_pool.recordAnswered(m_records.front().id, m_records.front().startedAtMs, parts);
    EXPECT_EQ(place(request("s"))->kept, tokens { sharedTokens });
}

TEST_F(prefix_placement_test, firstEventTimeout_withMostOfPromptKept_allowsFullPrefill)
{
    // A long prompt that its endpoint no longer holds would be sent to a second one while the first still prefills it.
    constexpr std::int64_t longPrompt = 40'000;
    serve(request("s", longPrompt));
    const auto next = request("s", longPrompt);
    ASSERT_EQ(place(next)->kept, tokens { longPrompt });
    EXPECT_GT(m_pool.firstEventTimeout(next.id), 2 * firstEventOf(next));
}

TEST_F(prefix_placement_test, eventGap_withMostOfPromptKept_isKept)
{
    // A long prompt is kept away from endpoints with running responses although its holder prefills little of it.
    const auto holder = holderOf("s");
    auto running = request("filler");
    auto next = request("s");
    excludeAllBut(running, holder);
    excludeAllBut(next, holder);
    place(running);
    m_now += 100ms;
    m_pool.recordProgress(running.id, 1, m_now);
    next.maxEventGap = 12ms;
    auto uncached = next;
    uncached.id = ++m_lastId;
    uncached.promptParts.clear();
    uncached.target = uncached.deadline;
    EXPECT_TRUE(place(next));
    EXPECT_FALSE(place(uncached));
}

TEST_F(prefix_placement_test, explanation_namesHolderAndWhatRulesOthersOut)
{
    // An operator who is told another endpoint than the one that requests go to would look for the cause in the wrong place.
    const auto holder = holderOf("s");
    auto next = request("s");
    for (const auto& record : m_records) {
        if (record.id.value != holder) {
            next.excluded.push_back(record.id);
            break;
        }
    }
    const auto before = m_pool.explain(next, m_now);
    ASSERT_EQ(before.candidates.size(), m_records.size());
    EXPECT_EQ(before.candidates.front().replica.value, holder);
    EXPECT_EQ(before.candidates.front().kept, tokens { sharedTokens });
    EXPECT_FALSE(before.candidates.front().obstacle);
    EXPECT_EQ(before.candidates.back().obstacle, placement_obstacle::excluded);
    EXPECT_FALSE(before.isLate);
    // Whatever the load, the first candidate is the one that is chosen.
    for (unsigned i = 0; i < m_records.size() * slots; ++i) {
        const auto submitted = request(i % 3 == 0 ? "s" : "other" + std::to_string(i % 5));
        const auto expected = m_pool.explain(submitted, m_now).candidates.front();
        ASSERT_FALSE(expected.obstacle);
        EXPECT_NEAR(static_cast<double>(place(submitted)->expectedFirstEvent.count()),
            static_cast<double>(expected.expectedFirstEvent.count()), 1e6);
    }
    const auto after = m_pool.explain(request("s"), m_now);
    EXPECT_TRUE(std::ranges::all_of(
        after.candidates, [](const explained_candidate& candidate) { return candidate.obstacle == placement_obstacle::no_slot; }));
}

} // namespace
} // namespace carawaylink::placement
