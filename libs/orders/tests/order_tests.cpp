#include "base/error.h"
#include "orders/order_lease.h"
#include "orders/permit_table.h"
#include "orders/reconciler.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

monotonic_time at(duration time)
{
    return monotonic_time(1h + time);
}

const service_id llm("llm");
const order_holder nodeA { node_id("a"), incarnation(1) };
const order_holder nodeB { node_id("b"), incarnation(2) };

order_record lease(const order_holder& holder, const std::string& id)
{
    return { order_record_kind::lease, id, llm, holder, 4s, {}, {} };
}

class order_leases : public testing::Test {
protected:
    order_lease m_lease { llm, nodeA, {} };
};

// Guards against log appends by a node that has no orders to send.
TEST_F(order_leases, no_orders_due_appends_nothing)
{
    m_lease.handleEndOfStream(at(0s));
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(m_lease.nextRecord(at(i * 100ms), false, false));
}

// Guards against a lease whose TTL counts from the response or the read instead of from before the append.
TEST_F(order_leases, answer_lost_lease_counts_from_append)
{
    m_lease.handleEndOfStream(at(0s));
    const auto record = m_lease.nextRecord(at(1s), true, false);
    ASSERT_TRUE(record);
    EXPECT_FALSE(m_lease.fencingToken(at(1s)));
    m_lease.apply(at(3s), log_offset(7), *record);
    EXPECT_EQ(m_lease.fencingToken(at(3s)), log_offset(7));
    EXPECT_EQ(m_lease.fencingToken(at(4999ms)), log_offset(7));
    EXPECT_FALSE(m_lease.fencingToken(at(5s)));
}

// Guards against acquiring a lease before the old one has expired on its holder's clock, or without reading the log after that.
TEST_F(order_leases, lease_of_other_node_blocks_until_expiry)
{
    m_lease.apply(at(0s), log_offset(0), lease(nodeB, "b-1"));
    m_lease.handleEndOfStream(at(4s));
    EXPECT_FALSE(m_lease.nextRecord(at(4300ms), true, false));
    EXPECT_FALSE(m_lease.nextRecord(at(10s), true, false));
    m_lease.handleEndOfStream(at(4400ms));
    EXPECT_TRUE(m_lease.nextRecord(at(10s), true, false));
}

// Guards against waiting for a released lease to expire, and against a late release that ends a newer lease.
TEST_F(order_leases, release_of_newest_lease_frees_it)
{
    m_lease.handleEndOfStream(at(0s));
    m_lease.apply(at(0s), log_offset(0), lease(nodeB, "b-1"));
    m_lease.apply(at(0s), log_offset(1), lease(nodeB, "b-2"));
    m_lease.apply(at(0s), log_offset(2), { order_record_kind::release, "r-1", llm, nodeB, {}, "b-1", {} });
    EXPECT_FALSE(m_lease.nextRecord(at(1s), true, false));
    m_lease.apply(at(0s), log_offset(3), { order_record_kind::release, "r-2", llm, nodeB, {}, "b-2", {} });
    EXPECT_TRUE(m_lease.nextRecord(at(1s), true, false));
}

// Guards against treating a claim as expired while the log holds an unread renewal of it.
TEST(permit_tables, claim_expires_only_after_log_was_read)
{
    permit_table permits(nodeA, {});
    permits.apply(at(0s), log_offset(0), { order_record_kind::permit, "b-1", llm, nodeB, 80s, {}, {} });
    permits.handleEndOfStream(at(0s));
    permits.setHasLoads(llm, true);
    const auto claims = permits.nextRecords(at(60s));
    ASSERT_EQ(claims.size(), 1U);
    permits.apply(at(60s), log_offset(1), claims.front());
    EXPECT_FALSE(permits.tryAcquire(at(61s), llm, 1));
    const auto renewals = permits.nextRecords(at(71s));
    ASSERT_EQ(renewals.size(), 1U);
    permits.apply(at(71s), log_offset(2), renewals.front());
    EXPECT_FALSE(permits.tryAcquire(at(89s), llm, 1));
    permits.handleEndOfStream(at(88s));
    EXPECT_EQ(permits.tryAcquire(at(89s), llm, 1), claims.front().id);
}

// Guards against a service that gets a permit before one that has waited longer.
TEST(permit_tables, oldest_claim_is_first)
{
    const service_id other("other");
    permit_table permits(nodeA, {});
    permits.handleEndOfStream(at(0s));
    permits.setHasLoads(llm, true);
    permits.setHasLoads(other, true);
    auto claims = permits.nextRecords(at(0s));
    ASSERT_EQ(claims.size(), 2U);
    std::ranges::reverse(claims);
    permits.apply(at(1s), log_offset(0), claims[0]);
    permits.apply(at(1s), log_offset(1), claims[1]);
    EXPECT_FALSE(permits.tryAcquire(at(2s), claims[1].service, 1));
    const auto first = permits.tryAcquire(at(2s), claims[0].service, 1);
    ASSERT_TRUE(first);
    permits.release(*first);
    EXPECT_TRUE(permits.tryAcquire(at(3s), claims[1].service, 1));
}

class reconciler_test : public testing::Test {
protected:
    reconciler_test()
    {
        m_reconciler.setDesired({ { "m" }, { "style" }, "2", "" });
        for (int i = 0; i < 8; ++i)
            m_endpoints[endpoint_id("e" + std::to_string(i))] = false;
        m_reconciler.setEndpoints(m_endpoints);
    }

    void observeAll(duration time, const std::string& version)
    {
        for (const auto& [id, leaving] : m_endpoints)
            m_reconciler.observe(at(time), id, at(time), { { "m" }, { "style" }, version, "serve" });
    }

    reconciler m_reconciler;
    std::map<endpoint_id, bool> m_endpoints;
};

// Guards against a rolling change of more than a quarter of the engines, or of an engine that is leaving.
TEST_F(reconciler_test, quarter_of_engines_at_a_time)
{
    m_endpoints[endpoint_id("e0")] = true;
    m_reconciler.setEndpoints(m_endpoints);
    observeAll(1s, "1");
    EXPECT_FALSE(m_reconciler.nextOrder(at(2s), at(2s), true)) << "the state was read before the lease was acquired";
    auto order = m_reconciler.nextOrder(at(2s), at(0s), true);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->endpoint, endpoint_id("e1"));
    EXPECT_EQ(order->change, (engine_order_change { order_kind::set_version, "2" }));
    m_reconciler.recordSent(at(2s), *order, log_offset(1));
    EXPECT_FALSE(m_reconciler.nextOrder(at(2s), at(0s), true)) << "one of seven engines is already being changed";
    m_reconciler.recordOutcome(at(3s), order->endpoint, order_outcome::done, "");
    EXPECT_FALSE(m_reconciler.nextOrder(at(3s), at(0s), true)) << "the state was not read back";
    m_reconciler.observe(at(4s), order->endpoint, at(3s), { { "m" }, { "style" }, "2", "serve" });
    order = m_reconciler.nextOrder(at(4s), at(0s), true);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->endpoint, endpoint_id("e2"));
}

// Guards against a failed order that is retried without a growing delay.
TEST_F(reconciler_test, failed_order_waits_longer_each_time)
{
    m_endpoints = { { endpoint_id("e0"), false } };
    m_reconciler.setEndpoints(m_endpoints);
    duration time = 0s;
    for (const auto pause : { 1s, 2s, 4s, 8s }) {
        observeAll(time, "1");
        const auto order = m_reconciler.nextOrder(at(time), at(0s), true);
        ASSERT_TRUE(order);
        m_reconciler.recordSent(at(time), *order, log_offset(1));
        m_reconciler.recordOutcome(at(time), order->endpoint, order_outcome::failed, "no memory");
        observeAll(time, "1");
        EXPECT_FALSE(m_reconciler.nextOrder(at(time + pause - 1ms), at(0s), true));
        EXPECT_EQ(m_reconciler.status().front().state, order_state::failed);
        time += pause;
    }
}

// Guards against sending a second order to an engine while the first may still take effect.
TEST_F(reconciler_test, lost_answer_blocks_engine_until_confirmed_or_expired)
{
    m_endpoints = { { endpoint_id("e0"), false } };
    m_reconciler.setEndpoints(m_endpoints);
    observeAll(0s, "1");
    const auto order = m_reconciler.nextOrder(at(0s), at(0s), true);
    ASSERT_TRUE(order);
    m_reconciler.recordSent(at(0s), *order, log_offset(1));
    m_reconciler.recordOutcome(at(1s), order->endpoint, order_outcome::unknown, "broken");
    observeAll(2s, "1");
    EXPECT_TRUE(m_reconciler.hasActiveOrders());
    EXPECT_FALSE(m_reconciler.nextOrder(at(59s), at(0s), true));
    m_reconciler.expireOrders(at(60s));
    EXPECT_FALSE(m_reconciler.hasActiveOrders());
}

// Guards against holding a lease or permit for an unreachable engine, and against a rolling change that continues while an engine
// has not reported its state after an order.
TEST_F(reconciler_test, unreachable_engine_gets_no_orders_but_counts_as_changing)
{
    observeAll(0s, "1");
    auto order = m_reconciler.nextOrder(at(0s), at(0s), true);
    ASSERT_TRUE(order);
    m_reconciler.recordSent(at(0s), *order, log_offset(1));
    m_reconciler.recordOutcome(at(1s), order->endpoint, order_outcome::done, "");
    m_reconciler.handleUnreachable(order->endpoint);
    const auto second = m_reconciler.nextOrder(at(1s), at(0s), true);
    ASSERT_TRUE(second);
    m_reconciler.recordSent(at(1s), *second, log_offset(1));
    m_reconciler.recordOutcome(at(2s), second->endpoint, order_outcome::done, "");
    EXPECT_FALSE(m_reconciler.nextOrder(at(3s), at(0s), true)) << "two of eight engines have not reported their state";
    for (const auto& [id, leaving] : m_endpoints)
        m_reconciler.handleUnreachable(id);
    EXPECT_FALSE(m_reconciler.dueOrders(at(3s)).any);
}

// Guards against endless reloads if the desired models do not fit into an engine together.
TEST_F(reconciler_test, success_not_visible_in_state_counts_as_failure)
{
    m_endpoints = { { endpoint_id("e0"), false } };
    m_reconciler.setEndpoints(m_endpoints);
    observeAll(0s, "1");
    const auto order = m_reconciler.nextOrder(at(0s), at(0s), true);
    ASSERT_TRUE(order);
    m_reconciler.recordSent(at(0s), *order, log_offset(1));
    m_reconciler.recordOutcome(at(1s), order->endpoint, order_outcome::done, "");
    observeAll(2s, "1");
    EXPECT_EQ(m_reconciler.status().front().state, order_state::failed);
    EXPECT_FALSE(m_reconciler.nextOrder(at(2s), at(0s), true));
}

// Guards against malformed records that stop the reader or block a service indefinitely.
TEST(order_records, malformed_text_is_refused)
{
    const auto record = lease(nodeA, "x");
    EXPECT_EQ(parseOrderRecord(toJson(record)).ttl, 4s);
    EXPECT_THROW(parseOrderRecord("[]"), error);
    EXPECT_THROW(parseOrderRecord(R"({"kind":"lease","id":"x","service":"s","node":"n","incarnation":1,"duration_ms":1e30})"), error);
    EXPECT_THROW(parseOrderRecord(R"({"kind":"lease","id":"x","service":"s","node":"n","incarnation":-1,"duration_ms":1})"), error);
}

} // namespace
} // namespace carawaylink
