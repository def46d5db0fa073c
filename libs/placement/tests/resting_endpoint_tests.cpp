#include "slot_test_fleet.h"

#include "base/time.h"

namespace carawaylink::placement {
namespace {

constexpr std::size_t nodes = 4;
constexpr unsigned slots = 10;
constexpr auto rest = 1s;

/// Four nodes; the endpoint of the first request has asked node 0 for rest.
class resting_endpoint_test : public testing::Test {
protected:
    void start(std::size_t endpoints)
    {
        m_fleet = std::make_unique<slot_test_fleet>(nodes, engineRecords(endpoints, slots));
        m_fleet->run(300ms);
        const auto first = m_fleet->submit(0);
        m_fleet->run(50ms);
        m_tired = m_fleet->grants.at(first).replica.value;
        m_fleet->askForRest(first, rest);
        m_restEnd = m_fleet->now + rest;
        m_before = grantsAtTired();
    }

    std::size_t grantsAtTired() const
    {
        const auto found = m_fleet->grantTimes.find(m_tired);
        return found == m_fleet->grantTimes.end() ? 0 : found->second.size();
    }

    std::size_t grantsDuringRest() const { return grantsAtTired() - m_before; }

    void load(std::size_t node, std::size_t count, duration target = 2s)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_fleet->submit(node, 0, target);
    }

    std::unique_ptr<slot_test_fleet> m_fleet;
    std::string m_tired;
    monotonic_time m_restEnd;
    std::size_t m_before = 0;
};

// Guards against grants to an endpoint that has asked this node for rest; other nodes may go on, and so may this one afterwards.
TEST_F(resting_endpoint_test, rest_keeps_the_requests_of_its_node_away_until_it_ends)
{
    start(2);
    load(0, slots);
    m_fleet->run(200ms);
    EXPECT_EQ(grantsDuringRest(), 0U);
    EXPECT_EQ(m_fleet->grants.size(), slots);
    load(1, slots);
    m_fleet->run(200ms);
    EXPECT_EQ(grantsDuringRest(), slots);
    for (const auto& [id, granted] : std::map(m_fleet->grants))
        m_fleet->finish(id);
    m_fleet->run(m_restEnd - m_fleet->now + 20ms);
    load(0, 2 * slots);
    m_fleet->run(200ms);
    EXPECT_EQ(grantsDuringRest(), 2 * slots);
}

// Guards against a rest that is broken because the service has no other endpoint: requests wait, and run when it ends.
TEST_F(resting_endpoint_test, only_endpoint_that_rests_gets_the_waiting_requests_when_its_rest_ends)
{
    start(1);
    load(0, 3);
    m_fleet->run(m_restEnd - m_fleet->now - 10ms);
    EXPECT_EQ(grantsDuringRest(), 0U);
    EXPECT_TRUE(m_fleet->refusals.empty());
    m_fleet->run(100ms);
    EXPECT_EQ(grantsDuringRest(), 3U);
}

// Guards against a refusal that invites its caller back before the rest ends.
TEST_F(resting_endpoint_test, request_that_cannot_wait_is_refused_until_the_rest_ends)
{
    start(1);
    load(0, 1, 300ms);
    m_fleet->run(300ms);
    EXPECT_EQ(grantsDuringRest(), 0U);
    ASSERT_EQ(m_fleet->refusals.size(), 1U);
    EXPECT_EQ(m_fleet->refusals.front().cause, refusal_cause::no_endpoint);
    EXPECT_NEAR(inMilliseconds(m_fleet->refusals.front().retryAfter), 900, 60);
}

// Guards against a node that decides without its owner and sends to an endpoint that asked it for rest.
TEST_F(resting_endpoint_test, node_without_its_owner_keeps_the_rest)
{
    start(2);
    m_fleet->cut(m_fleet->ownerOfPool());
    m_fleet->run(300ms);
    load(0, 4);
    m_fleet->run(300ms);
    EXPECT_EQ(grantsDuringRest(), 0U);
}

// Guards against a new owner that was not told of the rest.
TEST_F(resting_endpoint_test, next_owner_of_the_pool_learns_the_rest)
{
    start(2);
    m_fleet->setLiveWithout(m_fleet->ownerOfPool());
    m_fleet->run(300ms);
    load(0, 4);
    m_fleet->run(200ms);
    EXPECT_EQ(grantsDuringRest(), 0U);
}

// Guards against grants that come back in a loop from an owner that does not understand the rest, as an older version.
TEST_F(resting_endpoint_test, owner_that_never_learns_the_rest_grants_each_request_twice_more_at_most)
{
    start(2);
    m_fleet->beforeCall = [](slot_call& call) { call.notices.clear(); };
    m_fleet->loseMessages();
    m_fleet->setLiveWithout(m_fleet->ownerOfPool());
    m_fleet->run(200ms);
    load(0, 5);
    m_fleet->run(400ms);
    EXPECT_EQ(grantsDuringRest(), 0U);
    EXPECT_EQ(m_fleet->grants.size(), 5U);
    EXPECT_LE(m_fleet->declined.size(), 10U);
}

// Guards against a shorter rest in a later refusal that ends a longer one, and a rest that outlives its process.
TEST(endpoint_notice_test, longest_rest_counts_until_the_process_starts_again)
{
    endpoint_notice notice;
    const node_id node { "a" };
    const monotonic_time now { 10s };
    EXPECT_TRUE(notice.setRest(5, node, now + 3s));
    EXPECT_FALSE(notice.setRest(5, node, now + 1s));
    EXPECT_EQ(notice.restUntil(node, now), now + 3s);
    EXPECT_FALSE(notice.restUntil(node_id { "b" }, now));
    EXPECT_FALSE(notice.restUntil(node, now + 3s));
    EXPECT_FALSE(notice.setRest(4, node, now + 9s));
    notice.registered(4);
    EXPECT_TRUE(notice.restUntil(node, now));
    notice.registered(6);
    EXPECT_TRUE(notice.isEmpty(now));
}

} // namespace
} // namespace carawaylink::placement
