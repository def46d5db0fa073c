#include "placement/service_pool.h"
#include "slot_test_fleet.h"

namespace carawaylink::placement {
namespace {

constexpr unsigned slots = 4;
constexpr std::size_t endpoints = 6;

/// The owner's view of two senders, one of which has lost its path to the endpoints.
class sender_path_test : public testing::Test {
protected:
    sender_path_test() { m_pool.setEndpoints(engineRecords(endpoints, slots), m_now); }

    std::optional<replica_id> send(const node_id& sender, std::uint64_t id)
    {
        auto request = engineRequest(id, tokens { 100 }, m_now);
        request.sender = sender;
        m_pool.submit(request);
        const auto decisions = m_pool.decide(m_now);
        if (!decisions.grants.empty())
            return decisions.grants.front().replica;
        // Each test decides on one request at a time.
        m_pool.withdraw(id);
        return std::nullopt;
    }

    void answer(std::uint64_t id)
    {
        m_pool.recordProgress(id, 1, m_now);
        m_pool.recordOutcome(id, outcome::completed, 1, m_now);
    }

    node_id m_cut { "10.0.0.1:1" };
    node_id m_other { "10.0.0.2:1" };
    service_pool m_pool;
    monotonic_time m_now { 1000s };
    std::uint64_t m_nextId = 1;
};

// The failures of one node that was cut off from all endpoints blocked these for all other nodes (RECOVER).
TEST_F(sender_path_test, failuresOfASenderThatReachesNoEndpoint_doNotBlockThemForOthers)
{
    for (int round = 0; round < 10; ++round) {
        for (std::size_t i = 0; i < 2 * endpoints; ++i) {
            if (send(m_cut, m_nextId))
                m_pool.recordOutcome(m_nextId, outcome::unreachable, 0, m_now);
            ++m_nextId;
        }
        m_now += 50ms;
    }
    std::set<replica_id> used;
    for (std::size_t i = 0; i < slots * endpoints; ++i) {
        if (const auto replica = send(m_other, m_nextId++))
            used.insert(*replica);
    }
    EXPECT_GE(used.size(), endpoints - 1);
}

TEST_F(sender_path_test, failuresOfASenderThatReachesOthers_blockTheEndpoint)
{
    const auto first = send(m_cut, 1);
    ASSERT_TRUE(first);
    m_pool.recordOutcome(1, outcome::unreachable, 0, m_now);
    for (std::uint64_t id = 2; id < 2 + slots * (endpoints - 1); ++id) {
        const auto replica = send(m_cut, id);
        ASSERT_TRUE(replica);
        EXPECT_NE(replica, first);
        m_pool.recordProgress(id, 1, m_now);
    }
}

// An endpoint that one sender cannot reach is no endpoint for it, whatever the others reach.
TEST_F(sender_path_test, endpointThatASenderCannotReach_isGrantedToOthersOnly)
{
    std::set<replica_id> unreachable;
    for (std::uint64_t id = 1; id < endpoints; ++id) {
        const auto replica = send(m_cut, id);
        ASSERT_TRUE(replica);
        EXPECT_TRUE(unreachable.insert(*replica).second);
        m_pool.recordOutcome(id, outcome::unreachable, 0, m_now);
    }
    const auto last = send(m_cut, 10);
    ASSERT_TRUE(last);
    EXPECT_FALSE(unreachable.contains(*last));
    std::set<replica_id> used;
    for (std::uint64_t id = 20; id < 20 + slots * endpoints; ++id) {
        if (const auto replica = send(m_other, id))
            used.insert(*replica);
    }
    EXPECT_GE(used.size(), endpoints - 1);
}

// Guards against an endpoint that stays in use though several senders cannot reach it.
TEST_F(sender_path_test, endpointThatEndsWhileItsSenderIsAnsweredByOthers_isBlocked)
{
    for (std::uint64_t id = 1; id <= 3; ++id) {
        ASSERT_TRUE(send(m_other, id));
        answer(id);
    }
    const auto down = send(m_other, 10);
    m_pool.recordOutcome(10, outcome::unreachable, 0, m_now);
    ASSERT_TRUE(send(m_other, 11));
    answer(11);
    const auto next = send(m_other, 12);
    ASSERT_TRUE(next);
    EXPECT_NE(next, down);
}

} // namespace
} // namespace carawaylink::placement
