#include "placement/slot_owner.h"
#include "slot_test_fleet.h"

namespace carawaylink::placement {
namespace {

constexpr unsigned slots = 2;
constexpr auto replyInterval = 60ms;

/// A node whose owner does not reply: it decides itself, and tells the owner over the sessions that it opens what it has started.
class lone_node_test : public testing::Test {
protected:
    lone_node_test()
    {
        m_client.setEndpoints(engineRecords(1, slots), m_now);
        m_client.setOwners({ nodeNumber(1) }, m_now);
    }

    std::uint64_t submit()
    {
        waiting_request request;
        request.id = m_nextId++;
        request.arrived = m_now;
        request.target = m_now + 2s;
        request.deadline = m_now + 8s;
        m_client.submit(request, m_now);
        return request.id;
    }

    /// Lets time pass until the node has granted the request.
    bool isGranted(std::uint64_t id)
    {
        for (const auto end = m_now + 1s; m_now < end; m_now += 5ms) {
            const auto decisions = m_client.decide(m_now);
            if (std::ranges::find(decisions.grants, id, &grant::id) != decisions.grants.end())
                return true;
            takeCalls();
        }
        return false;
    }

    /// Lets time pass until the node has sent the first call of another session.
    bool opensSession()
    {
        const auto before = m_sessions;
        for (const auto end = m_now + 1s; m_now < end && m_sessions == before; m_now += 5ms) {
            m_client.decide(m_now);
            takeCalls();
        }
        return m_sessions > before;
    }

    /// Ids that the node has listed as running and not as ended, in the order in which an owner applies the lists.
    const std::set<std::uint64_t>& listed()
    {
        takeCalls();
        return m_listed;
    }

    void takeCalls()
    {
        for (const auto& entry : m_client.takeCalls(m_now)) {
            if (entry.call.sequence == 1) {
                ++m_sessions;
                m_listed.clear();
            }
            for (const auto& report : entry.call.outcomes)
                m_listed.erase(report.id);
            for (const auto& running : entry.call.adopted)
                m_listed.insert(running.id);
        }
    }

    monotonic_time m_now { 100s };
    slot_client m_client { engineService, failure_domain { "a" }, 1, 1 };
    std::set<std::uint64_t> m_listed;
    unsigned m_sessions = 0;
    std::uint64_t m_nextId = 1;
};

TEST_F(lone_node_test, requestThatStartsAndEndsBetweenTwoCalls_isNotListedAsRunning)
{
    // The owner applied its end before its start and counted its slot for as long as the node sent calls.
    const auto first = submit();
    ASSERT_TRUE(isGranted(first));
    ASSERT_TRUE(opensSession());
    const auto second = submit();
    ASSERT_TRUE(isGranted(second));
    m_client.recordOutcome(second, outcome::completed, 1, m_now);
    EXPECT_EQ(listed(), std::set<std::uint64_t>({ first }));
}

/// An owner of one endpoint, and what one node sends to it.
class slot_reclaim_test : public testing::Test {
protected:
    slot_reclaim_test()
    {
        m_owner.setEndpoints(engineRecords(1, slots), m_now);
        m_now += 200ms;
    }

    slot_call nextCall()
    {
        slot_call call;
        call.session = session;
        call.sequence = ++m_lastCall;
        call.wantsReply = true;
        return call;
    }

    slot_call callWithRequest(std::uint64_t id)
    {
        auto call = nextCall();
        waiting_request request;
        request.id = id;
        request.arrived = m_now;
        request.target = m_now + 2s;
        request.deadline = m_now + 8s;
        call.requests = { request };
        return call;
    }

    slot_call callThatHolds(std::uint32_t running, std::uint32_t appliedReply)
    {
        auto call = nextCall();
        call.held = held_slots { running, appliedReply };
        return call;
    }

    /// Returns the only reply to the call.
    slot_reply send(const slot_call& call)
    {
        m_owner.receive(m_node, call, m_now);
        m_now += replyInterval;
        const auto replies = m_owner.takeReplies(m_now);
        EXPECT_EQ(replies.size(), 1U);
        return replies.empty() ? slot_reply {} : replies.front().reply;
    }

    static constexpr std::uint64_t session = 7;

    monotonic_time m_now { 100s };
    const node_id m_node = nodeNumber(1);
    slot_owner m_owner { { engineService, 0 }, 1, m_now };
    std::uint32_t m_lastCall = 0;
};

TEST_F(slot_reclaim_test, grantThatTheNodeDoesNotHold_comesBackWithTheNextCall)
{
    // A grant whose request had left stayed counted for as long as the node sent calls, and its endpoint was taken for stalled for good.
    const auto granted = send(callWithRequest(1));
    ASSERT_EQ(granted.grants.size(), 1U);
    EXPECT_EQ(m_owner.load().running, 1U);
    EXPECT_EQ(send(callThatHolds(0, granted.sequence)).status, call_status::unknown_session);
    EXPECT_EQ(m_owner.load().running, 0U);
    const auto reclaimed = m_owner.takeReclaimed();
    ASSERT_EQ(reclaimed.size(), 1U);
    EXPECT_EQ(reclaimed.front().node, m_node);
    EXPECT_EQ(reclaimed.front().counted, 1U);
    EXPECT_EQ(reclaimed.front().held, 0U);
}

TEST_F(slot_reclaim_test, grantOnItsWay_isNotTakenBack)
{
    // The node sent its call before it had the grant.
    const auto granted = send(callWithRequest(1));
    ASSERT_EQ(granted.grants.size(), 1U);
    EXPECT_EQ(send(callThatHolds(0, granted.sequence - 1)).status, call_status::accepted);
    EXPECT_EQ(send(callThatHolds(1, granted.sequence)).status, call_status::accepted);
    EXPECT_EQ(m_owner.load().running, 1U);
    EXPECT_TRUE(m_owner.takeReclaimed().empty());
}

TEST_F(slot_reclaim_test, callThatDoesNotSayWhatItsNodeHolds_takesNothingBack)
{
    // Nodes of an earlier version say nothing of the kind.
    ASSERT_EQ(send(callWithRequest(1)).grants.size(), 1U);
    EXPECT_EQ(send(nextCall()).status, call_status::accepted);
    EXPECT_EQ(m_owner.load().running, 1U);
}

TEST_F(slot_reclaim_test, nodeThatHoldsMoreThanIsCounted_keepsItsSession)
{
    // An endpoint that only the node knows yet would end its session again and again.
    auto call = callThatHolds(1, 0);
    call.adopted = { { 5, {}, replica_id { "unknown" }, tokens { 10 }, tokens { 10 }, 50ms, false } };
    EXPECT_EQ(send(call).status, call_status::accepted);
    EXPECT_TRUE(m_owner.takeReclaimed().empty());
}

} // namespace
} // namespace carawaylink::placement
