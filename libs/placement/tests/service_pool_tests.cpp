#include "placement/service_pool.h"

#include <array>
#include <gtest/gtest.h>
#include <map>

namespace carawaylink::placement {
namespace {

using namespace std::chrono_literals;

class service_pool_test : public testing::Test {
protected:
    void SetUp() override
    {
        m_pool.setLimits({ tokens { 400000 }, 9 });
        listEndpoints({ "fast", "slow" }, 2);
    }

    void listEndpoints(const std::vector<std::string>& names, unsigned slots)
    {
        m_records.clear();
        for (const auto& name : names)
            m_records.push_back(
                { replica_id { name }, service_id { "engine" }, endpoint_id { name + ":80" }, failure_domain { "a" }, slots, false, 1 });
        m_pool.setEndpoints(m_records, m_now);
    }

    waiting_request request(std::uint64_t id, std::uint8_t level = 0)
    {
        waiting_request result;
        result.id = id;
        result.tier = tier { level };
        result.prompt = tokens { 1000 };
        result.output = tokens { 90 };
        result.arrived = m_now;
        result.target = m_now + 500ms;
        result.deadline = m_now + 8s;
        result.maxEventGap = 300ms;
        return result;
    }

    std::vector<std::uint64_t> grantedIds(const pool_decisions& decisions)
    {
        std::vector<std::uint64_t> ids;
        for (const auto& granted : decisions.grants)
            ids.push_back(granted.id);
        return ids;
    }

    std::optional<grant> place(waiting_request newRequest)
    {
        const auto id = newRequest.id;
        m_pool.submit(std::move(newRequest));
        const auto decisions = m_pool.decide(m_now);
        const auto found = std::ranges::find(decisions.grants, id, &grant::id);
        return found == decisions.grants.end() ? std::nullopt : std::optional(*found);
    }

    // Reports responses of the given speed until the latency model of the endpoint has converged.
    void trainModel(const std::string& name, duration first, duration perEvent)
    {
        std::vector<std::string> others;
        for (const auto& record : m_records) {
            if (record.id.value != name)
                others.push_back(record.id.value);
        }
        for (std::uint64_t i = 0; i < 60; ++i) {
            auto sample = request(90000 + i);
            for (const auto& other : others)
                sample.excluded.push_back(replica_id { other });
            ASSERT_TRUE(place(sample));
            const auto started = m_now;
            m_now += first;
            m_pool.recordProgress(sample.id, 1, m_now);
            m_now += 10 * perEvent;
            m_pool.recordOutcome(sample.id, outcome::completed, 11, m_now);
            m_now = std::max(m_now, started);
        }
    }

    service_pool m_pool;
    std::vector<discovery::endpoint_record> m_records;
    monotonic_time m_now { 100s };
};

TEST_F(service_pool_test, request_withFreeEndpoint_isGrantedImmediately)
{
    // Guards against requests that wait for the next tick although capacity is free.
    EXPECT_TRUE(place(request(1)));
}

TEST_F(service_pool_test, request_withAllSlotsTaken_waits)
{
    // Guards against queueing inside the engines, which do not know priorities.
    for (std::uint64_t id = 1; id <= 4; ++id)
        EXPECT_TRUE(place(request(id)));
    EXPECT_FALSE(place(request(5)));
    m_pool.recordOutcome(1, outcome::completed, 10, m_now + 1ms);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now + 1ms)), std::vector<std::uint64_t> { 5 });
}

TEST_F(service_pool_test, moreUrgentTier_arrivingLater_goesFirst)
{
    // Guards against first-come, first-served order across tiers.
    for (std::uint64_t id = 1; id <= 4; ++id)
        place(request(id, 2));
    m_pool.submit(request(5, 2));
    m_pool.submit(request(6, 0));
    m_pool.recordOutcome(1, outcome::completed, 10, m_now);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now)), std::vector<std::uint64_t> { 6 });
}

TEST_F(service_pool_test, teamTier_againstRouteTier_goesFirst)
{
    // Guards against ignoring the priority of the team.
    for (std::uint64_t id = 1; id <= 4; ++id)
        place(request(id));
    auto urgentRoute = request(5, 0);
    urgentRoute.teamTier = tier { 1 };
    auto urgentTeam = request(6, 2);
    m_pool.submit(urgentRoute);
    m_pool.submit(urgentTeam);
    m_pool.recordOutcome(1, outcome::completed, 10, m_now);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now)), std::vector<std::uint64_t> { 6 });
}

TEST_F(service_pool_test, overload_ofOneTier_servesRequestsInTimeBeforeLateOnes)
{
    // Guards against plain earliest-deadline-first order, which in a burst of one tier sends every request just after its target.
    for (std::uint64_t id = 1; id <= 4; ++id)
        place(request(id));
    m_pool.submit(request(5));
    m_now += 490ms;
    m_pool.submit(request(6));
    m_pool.recordOutcome(1, outcome::completed, 10, m_now);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now)), std::vector<std::uint64_t> { 6 });
    m_pool.recordOutcome(2, outcome::completed, 10, m_now);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now)), std::vector<std::uint64_t> { 5 });
}

TEST_F(service_pool_test, overload_ofMoreUrgentTier_servesShortRequestsInTime)
{
    // In a burst of long urgent requests, those that miss their target anyway would take every slot and starve the lowest tier.
    for (std::uint64_t id = 1; id <= 4; ++id)
        place(request(id));
    m_pool.submit(request(5, 1));
    m_now += 490ms;
    m_pool.submit(request(6, 2));
    m_pool.recordOutcome(1, outcome::completed, 10, m_now);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now)), std::vector<std::uint64_t> { 6 });
}

TEST_F(service_pool_test, waitingRequest_unlikelyToStart_isRefusedBeforeHalfItsDeadline)
{
    // Guards against holding callers for seconds before refusing them.
    listEndpoints({ "fast" }, 1);
    place(request(1));
    m_pool.submit(request(2));
    m_pool.submit(request(3));
    m_now += 2100ms;
    m_pool.recordProgress(1, 1, m_now);
    EXPECT_EQ(m_pool.decide(m_now).refusals.size(), 2U);
}

TEST_F(service_pool_test, longResponse_withSlowEndpointFree_waitsForOneThatCanFinish)
{
    // Long responses on an engine that is five times slower than another were cut off at their deadline.
    trainModel("fast", 50ms, 10ms);
    trainModel("slow", 100ms, 200ms);
    auto filler = request(1);
    place(filler);
    auto second = request(2);
    place(second);
    auto third = request(3);
    third.excluded = { replica_id { "slow" } };
    place(third);
    auto longRequest = request(4);
    longRequest.output = tokens { 9 * 300 };
    const auto granted = place(longRequest);
    EXPECT_TRUE(!granted || granted->replica.value == "fast");
}

TEST_F(service_pool_test, endpoint_replacedByAnotherProcess_isNotUsedAgain)
{
    // After a crash a new process can own the address for seconds before the old registry entry is removed; each request sent there
    // is a wasted attempt.
    listEndpoints({ "fast" }, 2);
    ASSERT_TRUE(place(request(1)));
    m_pool.recordOutcome(1, outcome::replaced, 0, m_now);
    EXPECT_FALSE(place(request(2)));
    m_records.front().startedAtMs = 2;
    m_pool.setEndpoints(m_records, m_now);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now)), std::vector<std::uint64_t> { 2 });
}

TEST_F(service_pool_test, drainingEndpoint_getsNoNewRequests)
{
    // Guards against sending requests to an endpoint that is shutting down.
    listEndpoints({ "fast" }, 2);
    m_records.front().draining = true;
    m_pool.setEndpoints(m_records, m_now);
    EXPECT_FALSE(place(request(1)));
}

TEST_F(service_pool_test, nodeWithoutOwner_usesOnlyItsShare)
{
    // Guards against a node that, cut off from the owner, fills endpoints that all nodes share.
    listEndpoints({ "fast" }, 4);
    m_pool.setShare(0, 2);
    EXPECT_TRUE(place(request(1)));
    EXPECT_TRUE(place(request(2)));
    EXPECT_FALSE(place(request(3)));
}

TEST_F(service_pool_test, nodesWithoutOwner_together_useEachSlotOnce)
{
    // While an owner is lost, 118 nodes decide alone. Their shares must neither overlap nor leave slots unused.
    for (const std::size_t nodes : { 2U, 5U, 34U, 118U }) {
        listEndpoints({ "a", "b", "c", "d", "e", "f" }, 9);
        std::map<std::string, unsigned> grantsByEndpoint;
        for (std::size_t rank = 0; rank < nodes; ++rank) {
            service_pool node(rank);
            node.setEndpoints(m_records, m_now);
            node.setShare(rank, nodes);
            for (std::uint64_t id = 1; id <= 60; ++id)
                node.submit(request(id));
            for (const auto& granted : node.decide(m_now).grants)
                ++grantsByEndpoint[granted.replica.value];
        }
        for (const auto& record : m_records)
            EXPECT_EQ(grantsByEndpoint[record.id.value], 9U) << record.id << " with " << nodes << " nodes";
    }
}

TEST_F(service_pool_test, adoptedRequest_occupiesItsSlotUntilItEnds)
{
    // A new owner that ignores the slots held from its predecessor would grant them twice.
    listEndpoints({ "fast" }, 1);
    EXPECT_TRUE(m_pool.adopt({ 1, {}, replica_id { "fast" }, tokens { 1000 }, tokens { 90 }, 100ms, true }, m_now));
    EXPECT_FALSE(place(request(2)));
    m_pool.recordOutcome(1, outcome::completed, 10, m_now + 10ms);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now + 10ms)), std::vector<std::uint64_t> { 2 });
}

TEST_F(service_pool_test, requestForEndpointThatLeft_isNotAdoptedWhileOthersStillRunThere)
{
    // An endpoint that leaves without notice keeps serving what it has; an owner that learns of it later must not add to that.
    listEndpoints({ "fast", "slow" }, 4);
    ASSERT_TRUE(m_pool.adopt({ 1, {}, replica_id { "fast" }, tokens { 1000 }, tokens { 90 }, 100ms, true }, m_now));
    listEndpoints({ "slow" }, 4);
    EXPECT_FALSE(m_pool.adopt({ 2, {}, replica_id { "fast" }, tokens { 1000 }, tokens { 90 }, 100ms, false }, m_now));
}

TEST_F(service_pool_test, adoptedRequest_afterItsFirstEvent_countsNoPrefill)
{
    // Counting the whole prompt of a running response would keep other prompts off the endpoint for its whole duration.
    listEndpoints({ "fast" }, 8);
    ASSERT_TRUE(m_pool.adopt({ 1, {}, replica_id { "fast" }, tokens { 50000 }, tokens { 90 }, 100ms, true }, m_now));
    ASSERT_TRUE(m_pool.adopt({ 2, {}, replica_id { "fast" }, tokens { 300 }, tokens { 90 }, 100ms, false }, m_now));
    EXPECT_LT(m_pool.loads().at(replica_id { "fast" }).pendingPrefill.value, 400);
    EXPECT_GT(m_pool.loads().at(replica_id { "fast" }).memory.value, 50000);
}

TEST_F(service_pool_test, freedSlot_betweenSpacedPasses_isUsedAtOnce)
{
    // Passes over a long queue are spaced while nothing can start; a slot that becomes free must not wait for the next one.
    listEndpoints({ "fast" }, 1);
    ASSERT_TRUE(place(request(1)));
    for (std::uint64_t id = 2; id <= 4; ++id)
        m_pool.submit(request(id));
    EXPECT_TRUE(m_pool.decide(m_now).grants.empty());
    EXPECT_TRUE(m_pool.decide(m_now + 1ms).grants.empty());
    m_pool.recordOutcome(1, outcome::completed, 1, m_now + 2ms);
    EXPECT_EQ(m_pool.decide(m_now + 2ms).grants.size(), 1U);
}

TEST_F(service_pool_test, slowEndpoint_afterFirstEvents_hasLearnedSpeed)
{
    // Right after startup, long responses occupy a slow engine for seconds before the first one completes.
    ASSERT_TRUE(place(request(1)));
    ASSERT_TRUE(place(request(2)));
    EXPECT_TRUE(m_pool.speeds().empty());
    m_pool.recordProgress(1, 1, m_now + 400ms);
    m_pool.recordProgress(1, 6, m_now + 900ms);
    const auto learned = m_pool.speeds();
    ASSERT_EQ(learned.size(), 1U);
    const auto& slow = learned.begin()->second;
    EXPECT_NEAR(slow.msPerEvent, 100, 5);
    EXPECT_GT(slow.baseMs, 2 * endpoint_speed {}.baseMs);
    EXPECT_GT(slow.msPerToken, 2 * endpoint_speed {}.msPerToken);
}

TEST_F(service_pool_test, slotsGrantedToLateRequests_countForRequestsInTime)
{
    // Under overload, short requests of a lower tier that can meet their target go before late requests of a higher tier. Refusing them
    // would leave the slots to responses that are late anyway.
    listEndpoints({ "fast" }, 1);
    for (std::uint64_t id = 1; id <= 10; ++id) {
        auto late = request(id, 1);
        late.target = m_now - 1ms;
        ASSERT_TRUE(place(late));
        m_pool.recordProgress(id, 1, m_now + 20ms);
        m_now += 50ms;
        m_pool.recordOutcome(id, outcome::completed, 1, m_now);
    }
    ASSERT_TRUE(place(request(20, 1)));
    for (std::uint64_t id = 21; id <= 26; ++id)
        m_pool.submit(request(id, 2));
    EXPECT_TRUE(m_pool.decide(m_now).refusals.empty());
}

TEST_F(service_pool_test, longPrompt_costsMoreThanItsLength)
{
    // Short requests queued behind a prompt of 30,000 tokens got their first event 500 ms later than predicted.
    prefill_cost_model model;
    EXPECT_GT(model.work(tokens { 30000 }).value, 2 * 30000);
    EXPECT_LT(model.work(tokens { 600 }).value, 630);
    for (int i = 0; i < 100; ++i)
        model.recordSample(tokens { 30000 }, 30000 * 1.5);
    EXPECT_NEAR(static_cast<double>(model.work(tokens { 30000 }).value), 30000 * 1.5, 500);
    for (int i = 0; i < 100; ++i)
        model.recordSample(tokens { 2000 }, 2000 * 9);
    EXPECT_NEAR(static_cast<double>(model.work(tokens { 30000 }).value), 30000 * 1.5, 500);
}

TEST_F(service_pool_test, longPrompt_isPlacedWhereEventGapIsKept)
{
    // Prefill chunks of a long prompt delay the tokens of running responses. A slow endpoint would exceed the permitted event gap; a fast
    // one stays within it, even while another prompt is being prefilled.
    listEndpoints({ "fast", "slow" }, 9);
    trainModel("fast", 20ms, 10ms);
    trainModel("slow", 200ms, 90ms);
    for (std::uint64_t id = 1; id <= 8; ++id)
        ASSERT_TRUE(place(request(id)));
    auto longPrompt = request(20);
    longPrompt.prompt = tokens { 12000 };
    longPrompt.target = m_now + 5s;
    const auto chosen = place(longPrompt);
    ASSERT_TRUE(chosen);
    EXPECT_EQ(chosen->replica.value, "fast");
}

TEST_F(service_pool_test, longResponse_withoutMarginOnSlowEndpoint_waits)
{
    // Length estimates are medians, so responses on slow engines were cut off at their deadline after occupying a slot for 8 s.
    trainModel("fast", 20ms, 10ms);
    trainModel("slow", 20ms, 60ms);
    ASSERT_EQ(place(request(1))->replica.value, "fast");
    ASSERT_EQ(place(request(2))->replica.value, "fast");
    auto longResponse = request(3);
    longResponse.output = tokens { 900 };
    EXPECT_FALSE(place(longResponse));
    EXPECT_EQ(place(request(4))->replica.value, "slow");
}

TEST_F(service_pool_test, failingEndpoint_withHealthyAlternative_isExcluded)
{
    // Gray failure: the endpoint passes its health check and fails its requests.
    for (std::uint64_t id = 1; id <= 3; ++id) {
        auto newRequest = request(id);
        newRequest.excluded = { replica_id { "fast" } };
        place(newRequest);
        m_pool.recordOutcome(id, outcome::broken, 0, m_now);
    }
    auto newRequest = request(9);
    newRequest.excluded = { replica_id { "fast" } };
    EXPECT_FALSE(place(newRequest));
    EXPECT_EQ(place(request(10))->replica.value, "fast");
}

TEST_F(service_pool_test, failingEndpoint_afterBackoff_getsOneProbe)
{
    // Guards against an endpoint that is never retried, and against many concurrent requests to one that still fails.
    for (std::uint64_t id = 1; id <= 3; ++id) {
        auto newRequest = request(id);
        newRequest.excluded = { replica_id { "fast" } };
        place(newRequest);
        m_pool.recordOutcome(id, outcome::unreachable, 0, m_now);
    }
    m_now += 5s;
    auto probe = request(10);
    probe.excluded = { replica_id { "fast" } };
    EXPECT_TRUE(place(probe));
    auto second = request(11);
    second.excluded = { replica_id { "fast" } };
    EXPECT_FALSE(place(second));
}

TEST_F(service_pool_test, endpoints_withEqualFailureRates_areStillUsed)
{
    // Application errors say nothing about a single endpoint; excluding all endpoints would refuse every request.
    for (std::uint64_t round = 0; round < 4; ++round) {
        for (const std::string other : { "fast", "slow" }) {
            const auto id = round * 10 + (other == "fast" ? 1 : 2);
            auto newRequest = request(id);
            newRequest.excluded = { replica_id { other } };
            if (place(newRequest))
                m_pool.recordOutcome(id, outcome::failed, 0, m_now);
        }
    }
    EXPECT_TRUE(place(request(100)));
}

TEST_F(service_pool_test, hungEndpoint_withRunningRequests_getsNoNewOnes)
{
    // A hung endpoint would hold every request sent to it until its deadline.
    listEndpoints({ "fast" }, 8);
    ASSERT_TRUE(place(request(1)));
    m_now += 3s;
    EXPECT_FALSE(place(request(2)));
}

TEST_F(service_pool_test, request_behindLongQueue_isRefusedImmediatelyWithRetryAfter)
{
    // Guards against holding a caller until its deadline before refusing it.
    listEndpoints({ "fast" }, 1);
    place(request(1));
    for (std::uint64_t id = 2; id < 60; ++id)
        m_pool.submit(request(id));
    const auto decisions = m_pool.decide(m_now);
    ASSERT_FALSE(decisions.refusals.empty());
    EXPECT_EQ(decisions.refusals.front().cause, refusal_cause::queue);
    EXPECT_GE(decisions.refusals.front().retryAfter, 200ms);
    EXPECT_TRUE(m_pool.hasWaiting());
}

TEST_F(service_pool_test, pendingPrefill_delaysAnotherLongPrompt)
{
    // Prefilling several long prompts at once delays every running response beyond the permitted event gap.
    listEndpoints({ "fast" }, 8);
    trainModel("fast", 100ms, 10ms);
    auto first = request(1);
    first.prompt = tokens { 1400 };
    ASSERT_TRUE(place(first));
    auto second = request(2);
    second.prompt = tokens { 50000 };
    second.target = m_now + 60s;
    second.deadline = m_now + 90s;
    EXPECT_FALSE(place(second));
    m_pool.recordProgress(1, 1, m_now + 10ms);
    EXPECT_EQ(grantedIds(m_pool.decide(m_now + 10ms)), std::vector<std::uint64_t> { 2 });
}

TEST_F(service_pool_test, reservedMemory_isNotReservedAgain)
{
    // An engine that runs out of memory preempts its newest request and prefills it again from the start.
    listEndpoints({ "fast" }, 8);
    auto large = request(1);
    large.prompt = tokens { 250000 };
    large.target = m_now + 60s;
    large.deadline = m_now + 90s;
    ASSERT_TRUE(place(large));
    m_pool.recordProgress(1, 1, m_now);
    auto second = large;
    second.id = 2;
    EXPECT_FALSE(place(second));
}

TEST_F(service_pool_test, withdrawnRequest_isNotGranted)
{
    // Guards against work for a caller that disconnected.
    listEndpoints({ "fast" }, 1);
    place(request(1));
    m_pool.submit(request(2));
    EXPECT_TRUE(m_pool.withdraw(2));
    m_pool.recordOutcome(1, outcome::completed, 1, m_now);
    EXPECT_TRUE(m_pool.decide(m_now).grants.empty());
}

TEST_F(service_pool_test, removedEndpoint_withRunningRequest_keepsLoadUntilItEnds)
{
    // Guards against a crash or negative load when a response ends after the endpoint was removed.
    ASSERT_TRUE(place(request(1)));
    m_pool.setEndpoints({}, m_now);
    m_pool.recordProgress(1, 1, m_now);
    m_pool.recordOutcome(1, outcome::completed, 5, m_now);
    EXPECT_TRUE(m_pool.loads().empty());
}

TEST_F(service_pool_test, amongEqualEndpoints_oneWithIdleConnectionIsChosen)
{
    // A node that spreads its requests over all endpoints opened a new connection for every second request.
    listEndpoints({ "a", "b", "c", "d", "e", "f" }, 9);
    std::string first;
    for (std::uint64_t id = 1; id <= 20; ++id) {
        auto next = request(id);
        next.sender = node_id { "n" };
        const auto granted = place(next);
        ASSERT_TRUE(granted);
        if (first.empty())
            first = granted->replica.value;
        EXPECT_EQ(granted->replica.value, first);
        m_now += 10ms;
        m_pool.recordOutcome(id, outcome::completed, 1, m_now);
    }
}

TEST_F(service_pool_test, amongEqualEndpoints_oneInTheSameFailureDomainIsChosen)
{
    // Requests and responses that cross failure domains are slower and cost their bandwidth.
    listEndpoints({ "a", "b", "c" }, 9);
    m_records[1].domain = failure_domain { "near" };
    m_pool.setEndpoints(m_records, m_now);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        auto next = request(id);
        next.domain = failure_domain { "near" };
        EXPECT_EQ(place(next)->replica.value, "b");
        m_pool.recordOutcome(id, outcome::completed, 1, m_now);
    }
}

TEST_F(service_pool_test, stalledEndpoint_isTriedAgainByOneRequestAtATime)
{
    // An endpoint without progress stayed unused for as long as anything counted as running there, though it had recovered long ago.
    listEndpoints({ "only" }, 6);
    ASSERT_TRUE(place(request(1)));
    std::uint64_t nextId = 2;
    const auto grantedOfTwo = [&] {
        const std::array ids { nextId++, nextId++ };
        std::ranges::for_each(ids, [&](std::uint64_t id) { m_pool.submit(request(id)); });
        const auto granted = m_pool.decide(m_now).grants.size();
        std::ranges::for_each(ids, [&](std::uint64_t id) { m_pool.withdraw(id); });
        return granted;
    };
    m_now += 3s;
    EXPECT_EQ(grantedOfTwo(), 0U);
    m_now += 3s;
    EXPECT_EQ(grantedOfTwo(), 1U);
    m_now += 3s;
    EXPECT_EQ(grantedOfTwo(), 0U);
    m_now += 3s;
    EXPECT_EQ(grantedOfTwo(), 1U);
    m_pool.recordProgress(1, 1, m_now);
    EXPECT_EQ(grantedOfTwo(), 2U);
}

TEST_F(service_pool_test, stalledEndpoint_isNotTriedWhileAnotherHasASlot)
{
    // A request that can wait for a try costs its caller nothing while another endpoint is free.
    listEndpoints({ "stalled", "free" }, 6);
    auto first = request(1);
    first.excluded = { replica_id { "free" } };
    ASSERT_TRUE(place(first));
    m_now += 8s;
    for (std::uint64_t id = 2; id < 5; ++id) {
        const auto granted = place(request(id));
        ASSERT_TRUE(granted);
        EXPECT_EQ(granted->replica.value, "free");
        m_pool.recordProgress(id, 1, m_now);
    }
}

TEST_F(service_pool_test, connectionThatWasIdleForLong_countsAsClosed)
{
    // Endpoints close idle connections; an estimate that ignores it would keep sending to an endpoint for no benefit.
    connection_estimate connections;
    const node_id node { "n" };
    const replica_id endpoint { "a" };
    connections.release(node, endpoint, m_now);
    EXPECT_TRUE(connections.hasIdle(node, endpoint, m_now + 1s));
    EXPECT_FALSE(connections.hasIdle(node, endpoint, m_now + 5s));
    EXPECT_FALSE(connections.hasIdle(node_id { "m" }, endpoint, m_now));
    connections.use(node, endpoint);
    EXPECT_FALSE(connections.hasIdle(node, endpoint, m_now));
}

} // namespace
} // namespace carawaylink::placement
