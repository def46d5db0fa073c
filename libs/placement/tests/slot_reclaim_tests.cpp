#include "slot_test_fleet.h"

namespace carawaylink::placement {
namespace {

constexpr unsigned slots = 2;

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

} // namespace
} // namespace carawaylink::placement
