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
    order_lease a { llm, nodeA, {} };
};

// Guards against writes to the log by a node that has nothing to order.
TEST_F(order_leases, nothing_wanted_appends_nothing)
{
    a.handleEndOfStream(at(0s));
    for (int i = 0; i < 100; ++i)
        EXPECT_FALSE(a.nextRecord(at(i * 100ms), false, false));
}

// Guards against a lease that counts from its answer or from the read, and not from before its append.
TEST_F(order_leases, answer_lost_lease_counts_from_append)
{
    a.handleEndOfStream(at(0s));
    const auto record = a.nextRecord(at(1s), true, false);
    ASSERT_TRUE(record);
    EXPECT_FALSE(a.fencingToken(at(1s)));
    a.apply(at(3s), log_offset(7), *record);
    EXPECT_EQ(a.fencingToken(at(3s)), log_offset(7));
    EXPECT_EQ(a.fencingToken(at(4999ms)), log_offset(7));
    EXPECT_FALSE(a.fencingToken(at(5s)));
}

// Guards against a lease that is taken before the old one has run out on its holder's clock, or without a look at the log after it.
TEST_F(order_leases, foreign_lease_is_watched_to_its_end)
{
    a.apply(at(0s), log_offset(0), lease(nodeB, "b-1"));
    a.handleEndOfStream(at(4s));
    EXPECT_FALSE(a.nextRecord(at(4300ms), true, false));
    EXPECT_FALSE(a.nextRecord(at(10s), true, false));
    a.handleEndOfStream(at(4400ms));
    EXPECT_TRUE(a.nextRecord(at(10s), true, false));
}

// Guards against a wait after a release, and against a late release that ends a newer lease.
TEST_F(order_leases, release_of_newest_lease_frees_it)
{
    a.handleEndOfStream(at(0s));
    a.apply(at(0s), log_offset(0), lease(nodeB, "b-1"));
    a.apply(at(0s), log_offset(1), lease(nodeB, "b-2"));
    a.apply(at(0s), log_offset(2), { order_record_kind::release, "r-1", llm, nodeB, {}, "b-1", {} });
    EXPECT_FALSE(a.nextRecord(at(1s), true, false));
    a.apply(at(0s), log_offset(3), { order_record_kind::release, "r-2", llm, nodeB, {}, "b-2", {} });
    EXPECT_TRUE(a.nextRecord(at(1s), true, false));
}

// Guards against a claim that is regarded as over although its renewal stands unread in the log.
TEST(permit_tables, claim_over_only_after_read)
{
    permit_table permits(nodeA, {});
    permits.apply(at(0s), log_offset(0), { order_record_kind::permit, "b-1", llm, nodeB, 80s, {}, {} });
    permits.handleEndOfStream(at(0s));
    permits.setWanted(llm, true);
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

// Guards against a service that overtakes one that has waited longer.
TEST(permit_tables, oldest_claim_is_first)
{
    const service_id other("other");
    permit_table permits(nodeA, {});
    permits.handleEndOfStream(at(0s));
    permits.setWanted(llm, true);
    permits.setWanted(other, true);
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

class reconciling : public testing::Test {
protected:
    reconciling()
    {
        plan.setDesired({ { "m" }, { "style" }, "2", "" });
        for (int i = 0; i < 8; ++i)
            endpoints[endpoint_id("e" + std::to_string(i))] = false;
        plan.setEndpoints(endpoints);
    }

    void observeAll(duration time, const std::string& version)
    {
        for (const auto& [id, leaving] : endpoints)
            plan.observe(at(time), id, at(time), { { "m" }, { "style" }, version, "serve" });
    }

    reconciler plan;
    std::map<endpoint_id, bool> endpoints;
};

// Guards against a rolling change that takes more than a quarter of the engines, or an engine that leaves.
TEST_F(reconciling, quarter_of_engines_at_a_time)
{
    endpoints[endpoint_id("e0")] = true;
    plan.setEndpoints(endpoints);
    observeAll(1s, "1");
    EXPECT_FALSE(plan.nextOrder(at(2s), at(2s), true)) << "the state is older than the lease";
    auto order = plan.nextOrder(at(2s), at(0s), true);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->endpoint, endpoint_id("e1"));
    EXPECT_EQ(order->change, (engine_order_change { order_kind::set_version, "2" }));
    plan.recordSent(at(2s), *order, log_offset(1));
    EXPECT_FALSE(plan.nextOrder(at(2s), at(0s), true)) << "one of seven engines is changed";
    plan.recordOutcome(at(3s), order->endpoint, order_outcome::done, "");
    EXPECT_FALSE(plan.nextOrder(at(3s), at(0s), true)) << "the state was not read back";
    plan.observe(at(4s), order->endpoint, at(3s), { { "m" }, { "style" }, "2", "serve" });
    order = plan.nextOrder(at(4s), at(0s), true);
    ASSERT_TRUE(order);
    EXPECT_EQ(order->endpoint, endpoint_id("e2"));
}

// Guards against a failed order that is repeated without a pause.
TEST_F(reconciling, failed_order_waits_longer_each_time)
{
    endpoints = { { endpoint_id("e0"), false } };
    plan.setEndpoints(endpoints);
    duration time = 0s;
    for (const auto pause : { 1s, 2s, 4s, 8s }) {
        observeAll(time, "1");
        const auto order = plan.nextOrder(at(time), at(0s), true);
        ASSERT_TRUE(order);
        plan.recordSent(at(time), *order, log_offset(1));
        plan.recordOutcome(at(time), order->endpoint, order_outcome::failed, "no memory");
        observeAll(time, "1");
        EXPECT_FALSE(plan.nextOrder(at(time + pause - 1ms), at(0s), true));
        EXPECT_EQ(plan.status().front().state, order_state::failed);
        time += pause;
    }
}

// Guards against a second order to an engine on which the first may still take effect.
TEST_F(reconciling, lost_answer_blocks_engine_until_seen_or_over)
{
    endpoints = { { endpoint_id("e0"), false } };
    plan.setEndpoints(endpoints);
    observeAll(0s, "1");
    const auto order = plan.nextOrder(at(0s), at(0s), true);
    ASSERT_TRUE(order);
    plan.recordSent(at(0s), *order, log_offset(1));
    plan.recordOutcome(at(1s), order->endpoint, order_outcome::unknown, "broken");
    observeAll(2s, "1");
    EXPECT_TRUE(plan.hasActiveOrders());
    EXPECT_FALSE(plan.nextOrder(at(59s), at(0s), true));
    plan.expireOrders(at(60s));
    EXPECT_FALSE(plan.hasActiveOrders());
}

// Guards against a lease or a permit that is kept for an engine that does not answer, and against a rolling change that goes on
// while an engine has not come back from its order.
TEST_F(reconciling, unreachable_engine_gets_no_orders_but_counts)
{
    observeAll(0s, "1");
    auto order = plan.nextOrder(at(0s), at(0s), true);
    ASSERT_TRUE(order);
    plan.recordSent(at(0s), *order, log_offset(1));
    plan.recordOutcome(at(1s), order->endpoint, order_outcome::done, "");
    plan.handleUnreachable(order->endpoint);
    const auto second = plan.nextOrder(at(1s), at(0s), true);
    ASSERT_TRUE(second);
    plan.recordSent(at(1s), *second, log_offset(1));
    plan.recordOutcome(at(2s), second->endpoint, order_outcome::done, "");
    EXPECT_FALSE(plan.nextOrder(at(3s), at(0s), true)) << "two of eight engines have not come back";
    for (const auto& [id, leaving] : endpoints)
        plan.handleUnreachable(id);
    EXPECT_FALSE(plan.dueOrders(at(3s)).any);
}

// Guards against endless reloads where the desired models do not fit into an engine together.
TEST_F(reconciling, success_that_does_not_show_counts_as_failure)
{
    endpoints = { { endpoint_id("e0"), false } };
    plan.setEndpoints(endpoints);
    observeAll(0s, "1");
    const auto order = plan.nextOrder(at(0s), at(0s), true);
    ASSERT_TRUE(order);
    plan.recordSent(at(0s), *order, log_offset(1));
    plan.recordOutcome(at(1s), order->endpoint, order_outcome::done, "");
    observeAll(2s, "1");
    EXPECT_EQ(plan.status().front().state, order_state::failed);
    EXPECT_FALSE(plan.nextOrder(at(2s), at(0s), true));
}

// Guards against records of other programs that stop the reader or block a service for ever.
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
