#include "slot_test_fleet.h"

namespace carawaylink::placement {
namespace {

class slot_client_test : public testing::Test {
protected:
    // Waits until the owners grant and all nodes have their view.
    static void settle(slot_test_fleet& fleet) { fleet.run(150ms); }

    static std::size_t anotherNode(const slot_test_fleet& fleet) { return fleet.ownerOfPool() == 0 ? 1 : 0; }
};

TEST_F(slot_client_test, request_withFreeSlot_isGrantedWithinOneRoundTrip)
{
    // Guards against a request that waits for a timer on its way to the owner and back.
    slot_test_fleet fleet(4, engineRecords(2, 2));
    settle(fleet);
    const auto id = fleet.submit(anotherNode(fleet));
    fleet.run(4ms);
    EXPECT_TRUE(fleet.grants.contains(id));
}

TEST_F(slot_client_test, burstAtAllNodes_neverGrantsMoreThanTheSlots)
{
    // 118 nodes that decide by reports of each other would all take the same free slots, and requests would queue in the engines.
    slot_test_fleet fleet(118, engineRecords(20, 6));
    settle(fleet);
    for (std::size_t node = 0; node < 118; ++node) {
        fleet.submit(node);
        fleet.submit(node, 1);
    }
    fleet.run(20ms);
    for (const auto& [endpoint, count] : fleet.grantsByEndpoint())
        EXPECT_LE(count, 6U) << endpoint;
    EXPECT_EQ(fleet.grants.size(), 120U);
}

TEST_F(slot_client_test, slotsLeftFreeByOthers_areUsedByOneNode)
{
    // Guards against a fixed partitioning of slots, which leaves capacity idle while one node queues.
    slot_test_fleet fleet(4, engineRecords(1, 4));
    settle(fleet);
    for (int i = 0; i < 4; ++i)
        fleet.submit(anotherNode(fleet));
    fleet.run(5ms);
    EXPECT_EQ(fleet.grants.size(), 4U);
}

TEST_F(slot_client_test, scarceEndpoints_serveEveryNode)
{
    // With fewer slots than nodes, a node without a share of its own refused requests while endpoints were idle.
    slot_test_fleet fleet(118, engineRecords(6, 6));
    settle(fleet);
    std::set<std::uint64_t> served;
    for (std::size_t node = 0; node < 118; ++node) {
        const auto id = fleet.submit(node);
        fleet.run(5ms);
        ASSERT_TRUE(fleet.grants.contains(id)) << "node " << node;
        fleet.finish(id);
    }
    EXPECT_TRUE(fleet.refusals.empty());
}

TEST_F(slot_client_test, moreUrgentRequestOfAnotherNode_goesFirst)
{
    // Strict tiers hold over the whole fleet, not only in the queue of one node.
    slot_test_fleet fleet(4, engineRecords(1, 1));
    settle(fleet);
    const auto running = fleet.submit(0);
    fleet.run(5ms);
    const auto low = fleet.submit(1, 3);
    fleet.run(5ms);
    const auto high = fleet.submit(2, 0);
    fleet.run(5ms);
    fleet.finish(running);
    fleet.run(30ms);
    EXPECT_TRUE(fleet.grants.contains(high));
    EXPECT_FALSE(fleet.grants.contains(low));
}

TEST_F(slot_client_test, slotFreedByOneNode_isGrantedToAnotherAtOnce)
{
    // Guards against a slot of a full endpoint that stays idle until the next report.
    slot_test_fleet fleet(4, engineRecords(1, 1));
    settle(fleet);
    const auto running = fleet.submit(0);
    fleet.run(5ms);
    const auto waiting = fleet.submit(1);
    fleet.run(5ms);
    EXPECT_FALSE(fleet.grants.contains(waiting));
    fleet.finish(running);
    fleet.run(30ms);
    EXPECT_TRUE(fleet.grants.contains(waiting));
}

TEST_F(slot_client_test, withdrawnRequest_isNotGrantedAndLeavesItsSlot)
{
    // Guards against a slot that stays taken for a caller that disconnected while the grant was on its way.
    slot_test_fleet fleet(4, engineRecords(1, 1));
    settle(fleet);
    const auto node = anotherNode(fleet);
    const auto left = fleet.submit(node);
    fleet.run(2ms);
    EXPECT_TRUE(fleet.client(node).withdraw(left));
    fleet.run(40ms);
    EXPECT_FALSE(fleet.grants.contains(left));
    const auto next = fleet.submit(node);
    fleet.run(5ms);
    EXPECT_TRUE(fleet.grants.contains(next));
}

TEST_F(slot_client_test, frozenOwner_isBypassedWithinTheShare)
{
    // A frozen owner must not hold up its pool until the failure detector notices, nor may the others overfill the endpoints.
    slot_test_fleet fleet(4, engineRecords(2, 4));
    settle(fleet);
    const auto owner = fleet.ownerOfPool();
    fleet.freeze(owner);
    for (std::size_t node = 0; node < 4; ++node) {
        for (int i = 0; node != owner && i < 5; ++i)
            fleet.submit(node);
    }
    fleet.run(200ms);
    EXPECT_EQ(fleet.grants.size(), 6U);
    for (const auto& [endpoint, count] : fleet.grantsByEndpoint())
        EXPECT_LE(count, 3U) << endpoint;
}

TEST_F(slot_client_test, ownerThatWakesUp_grantsNothingThatItsSuccessorGranted)
{
    // A process that was paused for seconds must not act on an ownership that it lost meanwhile.
    slot_test_fleet fleet(4, engineRecords(1, 2));
    settle(fleet);
    const auto owner = fleet.ownerOfPool();
    const auto node = anotherNode(fleet);
    fleet.submit(node);
    fleet.submit(node);
    fleet.submit(node);
    fleet.submit(node);
    fleet.run(1ms);
    fleet.freeze(owner);
    fleet.run(300ms);
    fleet.setLiveWithout(owner);
    fleet.run(500ms);
    fleet.thaw(owner);
    fleet.run(300ms);
    EXPECT_LE(fleet.grants.size(), 2U);
    EXPECT_EQ(fleet.grants.size(), 2U);
}

TEST_F(slot_client_test, pausedNode_doesNotUseGrantsOfBeforeThePause)
{
    // A grant that waited in the receive buffer of a paused process may belong to another request by now.
    slot_test_fleet fleet(4, engineRecords(1, 1));
    settle(fleet);
    const auto node = anotherNode(fleet);
    const auto paused = fleet.submit(node);
    fleet.run(1ms);
    fleet.freeze(node);
    fleet.run(2s);
    // The owner has given the slot of the silent node to another.
    const auto other = fleet.submit(fleet.ownerOfPool());
    fleet.run(10ms);
    ASSERT_TRUE(fleet.grants.contains(other));
    fleet.thaw(node);
    fleet.run(50ms);
    EXPECT_FALSE(fleet.grants.contains(paused));
    fleet.finish(other);
    fleet.run(200ms);
    EXPECT_TRUE(fleet.grants.contains(paused));
}

TEST_F(slot_client_test, newOwner_knowsTheSlotsHeldFromItsPredecessor)
{
    // Guards against capacity that is granted twice after a change of owner.
    slot_test_fleet fleet(5, engineRecords(2, 3));
    settle(fleet);
    for (std::size_t node = 0; node < 5; ++node)
        fleet.submit(node);
    fleet.run(10ms);
    ASSERT_EQ(fleet.grants.size(), 5U);
    fleet.setLiveWithout(fleet.ownerOfPool());
    for (std::size_t node = 0; node < 5; ++node)
        fleet.submit(node);
    fleet.run(300ms);
    EXPECT_EQ(fleet.grants.size(), 6U);
    for (const auto& [endpoint, count] : fleet.grantsByEndpoint())
        EXPECT_LE(count, 3U) << endpoint;
}

TEST_F(slot_client_test, messagesLostInAPartition_areRepairedByANewSession)
{
    // A slot whose release was lost, or a request whose submission was lost, must not stay so.
    slot_test_fleet fleet(3, engineRecords(1, 2));
    settle(fleet);
    const auto node = anotherNode(fleet);
    const auto first = fleet.submit(node);
    fleet.run(10ms);
    fleet.cut(node);
    fleet.finish(first);
    fleet.run(400ms);
    fleet.heal(node);
    fleet.run(400ms);
    const auto second = fleet.submit(node);
    const auto third = fleet.submit(fleet.ownerOfPool());
    fleet.run(200ms);
    EXPECT_TRUE(fleet.grants.contains(second));
    EXPECT_TRUE(fleet.grants.contains(third));
}

TEST_F(slot_client_test, nodeThatFallsSilent_losesItsSlots)
{
    // Guards against capacity that stays lost after a node failed without closing its connections.
    slot_test_fleet fleet(3, engineRecords(1, 1));
    settle(fleet);
    const auto node = anotherNode(fleet);
    fleet.submit(node);
    fleet.run(10ms);
    ASSERT_EQ(fleet.grants.size(), 1U);
    fleet.cut(node);
    fleet.run(1600ms);
    const auto next = fleet.submit(fleet.ownerOfPool());
    fleet.run(50ms);
    EXPECT_TRUE(fleet.grants.contains(next));
}

TEST_F(slot_client_test, grantForLeavingEndpoint_isNotUsed)
{
    // The owner may learn later than this node that an endpoint drains; requests must not reach it.
    slot_client client(engineService, failure_domain { "a" }, 1, 1);
    auto records = engineRecords(1, 2);
    monotonic_time now { 100s };
    records.front().draining = true;
    client.setEndpoints(records, now);
    const node_id owner { "owner" };
    client.setOwners({ owner }, now);
    waiting_request request;
    request.id = 7;
    request.arrived = now;
    request.target = now + 1s;
    request.deadline = now + 5s;
    client.submit(request, now);
    const auto calls = client.takeCalls(now);
    ASSERT_EQ(calls.size(), 1U);
    slot_reply reply;
    reply.pool = calls.front().call.pool;
    reply.session = calls.front().call.session;
    reply.sequence = 1;
    reply.processed = 1;
    reply.grants.push_back({ { 7, records.front().id, records.front().address, 10ms, 1 }, {} });
    client.receive(owner, reply, now);
    EXPECT_TRUE(client.decide(now).grants.empty());
    EXPECT_TRUE(client.hasWaiting());
    const auto next = client.takeCalls(now);
    ASSERT_EQ(next.size(), 1U);
    ASSERT_EQ(next.front().call.outcomes.size(), 1U);
    EXPECT_EQ(next.front().call.outcomes.front().result, outcome::cancelled);
}

TEST_F(slot_client_test, fullPrimaryPool_spillsToOneWithRoom)
{
    // Guards against a queue in one pool while another has free slots.
    slot_test_fleet fleet(30, engineRecords(160, 2));
    settle(fleet);
    ASSERT_GE(fleet.client(0).pools(), 2U);
    // More than the slots of any one pool, and less than those of any two.
    for (int i = 0; i < 170; ++i) {
        fleet.submit(0);
        fleet.run(1ms);
    }
    fleet.run(500ms);
    EXPECT_EQ(fleet.grants.size(), 170U);
}

TEST_F(slot_client_test, messagesPerRequest_doNotGrowWithTheFleet)
{
    // What a node sends must depend on its requests only; reports to all others cost 35,000 messages per second at 118 nodes.
    std::map<std::size_t, std::size_t> messagesByNodes;
    for (const std::size_t nodes : { 4U, 30U, 118U }) {
        slot_test_fleet fleet(nodes, engineRecords(20, 6));
        settle(fleet);
        fleet.messages = 0;
        for (std::size_t i = 0; i < 100; ++i) {
            const auto id = fleet.submit(i % nodes);
            fleet.run(5ms);
            fleet.finish(id);
        }
        messagesByNodes[nodes] = fleet.messages;
    }
    EXPECT_LE(messagesByNodes[118], messagesByNodes[4] * 6 / 5);
    EXPECT_LE(messagesByNodes[118], 500U);
}

TEST_F(slot_client_test, idleFleet_sendsNothing)
{
    // Guards against a cost of control that grows with the number of nodes and pools.
    slot_test_fleet fleet(30, engineRecords(20, 6));
    settle(fleet);
    fleet.messages = 0;
    fleet.run(1s);
    EXPECT_EQ(fleet.messages, 0U);
}

TEST_F(slot_client_test, endpointThatJoins_doesNotMoveOthersBetweenPools)
{
    // A change of one endpoint must not make every owner lose what it knows about the others.
    const auto count = poolCount(163);
    std::size_t moved = 0;
    for (const auto& record : engineRecords(163, 6))
        moved += poolOf(record.id, count) != poolOf(record.id, poolCount(164)) ? 1 : 0;
    EXPECT_EQ(moved, 0U);
    const auto pools = splitByPool(engineRecords(163, 6));
    ASSERT_EQ(pools.size(), 3U);
    for (const auto& pool : pools) {
        EXPECT_GT(pool.size(), 30U);
        EXPECT_LT(pool.size(), 80U);
    }
}

TEST_F(slot_client_test, ownerOfPool_isAmongTheNodesWithMostCapacity)
{
    // An owner on a small vm would run out of processor under a burst.
    std::vector<owner_candidate> candidates;
    for (std::size_t i = 0; i < 20; ++i)
        candidates.push_back({ nodeNumber(i), i % 5 == 0 ? 500U : 300U });
    for (std::uint32_t number = 0; number < 10; ++number) {
        const auto owner = ownerOf({ engineService, number }, candidates);
        ASSERT_TRUE(owner);
        EXPECT_EQ(std::ranges::find(candidates, *owner, &owner_candidate::node)->capacity, 500U);
    }
}

// Load on endpoints of which the first, "engine-0", names a limit in all its responses.
class limited_endpoint_test : public testing::Test {
protected:
    // Requests at all nodes in turn, far above the limit; each is answered after 40 ms.
    void load(slot_test_fleet& fleet, std::size_t nodes, duration span, std::optional<double> limit)
    {
        for (const auto end = fleet.now + span; fleet.now < end;) {
            for (int i = 0; i < 4; ++i)
                m_open.push_back({ fleet.submit(m_next++ % nodes), fleet.now + 40ms });
            fleet.run(20ms);
            std::erase_if(m_open, [&](const auto& request) {
                const auto granted = fleet.grants.find(request.first);
                if (granted == fleet.grants.end() || fleet.now < request.second)
                    return false;
                if (granted->second.replica.value == "engine-0")
                    fleet.nameLimit(request.first, limit);
                fleet.finish(request.first);
                return true;
            });
        }
    }

    // Most requests that reached the endpoint in any 4 s after the given time.
    static std::size_t mostIn4s(const slot_test_fleet& fleet, monotonic_time from)
    {
        const auto& all = fleet.grantTimes.at("engine-0");
        std::size_t most = 0;
        for (auto first = std::ranges::lower_bound(all, from); first != all.end(); ++first)
            most = std::max(most, static_cast<std::size_t>(std::ranges::lower_bound(all, *first + 4s) - first));
        return most;
    }

    // What an endpoint with this limit accepts in 4 s.
    static std::size_t acceptedIn4s(double limit) { return static_cast<std::size_t>(1.5 * limit * 4 + 5); }

    std::vector<std::pair<std::uint64_t, monotonic_time>> m_open;
    std::size_t m_next = 0;
};

TEST_F(limited_endpoint_test, allNodesTogether_keepWithinTheLimit)
{
    // An endpoint got far more requests than the limit that it had named, because no node read it.
    for (const std::size_t nodes : { 4U, 30U }) {
        slot_test_fleet fleet(nodes, engineRecords(1, 20));
        load(fleet, nodes, 1s, 3);
        const auto from = fleet.now;
        load(fleet, nodes, 8s, 3);
        EXPECT_LE(mostIn4s(fleet, from), acceptedIn4s(3)) << nodes;
        EXPECT_GE(mostIn4s(fleet, from), 9U) << nodes;
    }
}

TEST_F(limited_endpoint_test, requestsBeyondTheLimit_areServedByOthers)
{
    slot_test_fleet fleet(4, engineRecords(4, 20));
    load(fleet, 4, 4s, 3);
    EXPECT_TRUE(fleet.refusals.empty());
}

TEST_F(limited_endpoint_test, lostOwner_isSucceededByOneThatKeepsTheLimit)
{
    // Guards against a limit that is forgotten when the pool changes its owner, or that each node uses whole while there is none.
    slot_test_fleet fleet(6, engineRecords(1, 20));
    load(fleet, 6, 1s, 3);
    const auto from = fleet.now;
    load(fleet, 6, 2s, 3);
    const auto lost = fleet.ownerOfPool();
    fleet.cut(lost);
    load(fleet, 6, 1s, 3);
    fleet.setLiveWithout(lost);
    load(fleet, 6, 5s, 3);
    EXPECT_LE(mostIn4s(fleet, from), acceptedIn4s(3));
}

TEST_F(limited_endpoint_test, limitThatIsNamedNoMore_ends)
{
    slot_test_fleet fleet(4, engineRecords(1, 20));
    load(fleet, 4, 4s, 3);
    load(fleet, 4, 1s, std::nullopt);
    const auto from = fleet.now;
    load(fleet, 4, 4s, std::nullopt);
    EXPECT_GT(mostIn4s(fleet, from), 100U);
}

TEST_F(limited_endpoint_test, limitOfZero_isAskedNowAndThen)
{
    // Only responses tell that a limit ended; without requests an endpoint would stay unused for ever.
    slot_test_fleet fleet(4, engineRecords(1, 20));
    load(fleet, 4, 1s, 0);
    const auto from = fleet.now;
    load(fleet, 4, 16s, 0);
    EXPECT_LE(mostIn4s(fleet, from), acceptedIn4s(0));
    EXPECT_GE(mostIn4s(fleet, from), 1U);
}

} // namespace
} // namespace carawaylink::placement
