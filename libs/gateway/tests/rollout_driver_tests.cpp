#include "rollout_driver.h"

#include "log_position.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>
#include <set>
#include <thread>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

const service_id service { "engine" };

/// Nodes with their drivers on one event loop, and a log of statuses. Granted requests end after a few milliseconds.
class rollout_driver_test : public testing::Test {
protected:
    struct driven_node {
        driven_node(boost::asio::io_context& context, const std::string& name, decision_log& log, std::uint64_t seed)
            : id(name)
            , slots(context, id, failure_domain { "a" }, log, seed)
        {
        }
        node_id id;
        gateway_metrics metrics;
        slot_coordinator slots;
        std::unique_ptr<rollout_driver> driver;
        std::size_t recordsRead = 0;
        monotonic_time readAt {};
        bool isFrozen = false;
    };
    struct running_request {
        driven_node* node = nullptr;
        std::uint64_t id = 0;
        bool isTarget = false;
        monotonic_time ends;
    };

    void start(std::size_t count, std::size_t endpointsOfVersion)
    {
        for (std::size_t i = 0; i < 2 * endpointsOfVersion; ++i) {
            const discovery::replica_id id { "e" + std::to_string(i) };
            const bool isTarget = i >= endpointsOfVersion;
            m_records.emplace(id,
                discovery::endpoint_record { id, service, endpoint_id { id.value + ":80" }, failure_domain { "a" }, 4, false,
                    isTarget ? 2 : 1, isTarget ? "v2" : "v1" });
        }
        for (std::size_t i = 0; i < count; ++i)
            addNode(i);
        for (const auto& node : m_nodes) {
            m_candidates.push_back({ node->id, 500 });
            node->slots.setEndpoints(m_records);
        }
        for (std::size_t i = 0; i < count; ++i)
            m_nodes[i]->slots.setMembers(m_candidates, i);
        run(200ms);
    }

    void addNode(std::size_t number)
    {
        auto& node = *m_nodes.emplace_back(std::make_unique<driven_node>(m_context, "n" + std::to_string(number), m_log, number));
        const auto send = [this, &node](const node_id& to, peer::envelopeT message) { deliver(node, to, message); };
        node.slots.setHandlers(
            { send, [this, &node](const service_id&, const placement::pool_decisions& decisions) { run(node, decisions); },
                [](const node_id&) {} });
        rollout_driver::handlers callbacks;
        callbacks.send = send;
        callbacks.append = [this](const service_status& status, std::uint64_t at, auto onDone) {
            boost::asio::post(m_context, [this, status, at, onDone] { onDone(append(status, at)); });
        };
        callbacks.statusPosition = [&node] { return store_sync::status_position { true, 1, node.recordsRead, node.readAt }; };
        callbacks.readStatus = [] {};
        callbacks.routeName = [](rollout::route_hash) { return std::string("route"); };
        callbacks.isServiceKnown = [](const service_id&) { return true; };
        node.driver = std::make_unique<rollout_driver>(
            node.id, rollout::exposure_bound {}, number + 1, m_log, node.metrics, node.slots, std::move(callbacks));
        node.slots.holdNewVersions();
    }

    append_result append(const service_status& status, std::uint64_t at)
    {
        const bool isAppended = at == m_statuses.size();
        if (isAppended)
            m_statuses.push_back(status);
        return { isAppended, m_statuses.size() };
    }

    void deliver(driven_node& from, const node_id& to, const peer::envelopeT& message)
    {
        auto& receiver = **std::ranges::find(m_nodes, to, [](const auto& node) { return node->id; });
        const auto now = std::chrono::steady_clock::now();
        if (receiver.isFrozen)
            return;
        if (const auto* call = message.body.Asslot_call())
            receiver.slots.receive(from.id, *call);
        else if (const auto* reply = message.body.Asslot_reply())
            receiver.slots.receive(from.id, *reply);
        else if (const auto* rules = message.body.Asrollout_rules())
            receiver.driver->receive(*rules, now);
        else if (const auto* report = message.body.Asrollout_report())
            receiver.driver->receive(*report, now);
    }

    void run(driven_node& node, const placement::pool_decisions& decisions)
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto& granted : decisions.grants) {
            const bool isTarget = m_records.at(granted.replica).version == "v2";
            m_grants[isTarget] += 1;
            m_granted.insert(granted.replica);
            m_running.push_back({ &node, granted.id, isTarget, now + 5ms });
        }
    }

    void endRequests(monotonic_time now)
    {
        for (auto entry = m_running.begin(); entry != m_running.end();) {
            if (entry->ends > now) {
                ++entry;
                continue;
            }
            const bool fails = entry->isTarget && m_isTargetBad;
            if (!fails)
                entry->node->slots.recordProgress(service, entry->id, 1);
            entry->node->slots.recordOutcome(service, entry->id, fails ? placement::outcome::failed : placement::outcome::completed, 1);
            entry = m_running.erase(entry);
        }
    }

    void read(driven_node& node, monotonic_time now)
    {
        for (; node.recordsRead < m_statuses.size(); ++node.recordsRead) {
            auto status = m_statuses[node.recordsRead];
            status.offset = std::uint64_t { 1 } << orderOffsetBits | node.recordsRead;
            node.driver->setStatus(status, now);
        }
        node.readAt = now;
    }

    void run(duration span)
    {
        for (const auto end = std::chrono::steady_clock::now() + span; std::chrono::steady_clock::now() < end;)
            step();
    }

    void step()
    {
        const auto now = std::chrono::steady_clock::now();
        for (const auto& node : m_nodes) {
            if (node->isFrozen)
                continue;
            submit(*node, now);
            node->slots.tick();
            node->driver->tick(now);
            if (node->driver->decides())
                read(*node, now);
        }
        endRequests(now);
        m_context.restart();
        m_context.poll();
        std::this_thread::sleep_for(2ms);
    }

    void submit(driven_node& node, monotonic_time now)
    {
        placement::waiting_request request;
        request.id = ++m_nextId;
        request.arrived = now;
        request.target = now + 1s;
        request.deadline = now + 3s;
        request.route = node.driver->routeOf(service, "route");
        node.slots.submit(service, request);
    }

    void order(duration time)
    {
        rollout::order given { service, std::uint64_t { 1 } << orderOffsetBits | 8, "v2", time, {}, false };
        for (const auto& node : m_nodes)
            node->driver->setOrder(given, std::chrono::steady_clock::now());
    }

    bool isDecided() const { return !m_statuses.empty() && rollout::isFinal(m_statuses.back().status.stage); }

    bool runUntilDecided(duration limit)
    {
        for (const auto end = std::chrono::steady_clock::now() + limit; !isDecided() && std::chrono::steady_clock::now() < end;)
            step();
        return isDecided();
    }

    driven_node& decider()
    {
        return **std::ranges::find_if(m_nodes, [](const auto& node) { return node->driver->deciderOf(service) == node->id; });
    }

    boost::asio::io_context m_context;
    decision_log m_log { "test" };
    std::map<discovery::replica_id, discovery::endpoint_record> m_records;
    std::vector<std::unique_ptr<driven_node>> m_nodes;
    std::vector<placement::owner_candidate> m_candidates;
    std::vector<service_status> m_statuses;
    std::vector<running_request> m_running;
    std::map<bool, std::size_t> m_grants;
    std::set<discovery::replica_id> m_granted;
    std::uint64_t m_nextId = 0;
    bool m_isTargetBad = false;
};

// Guards against pools whose owners do not learn what the owner of pool 0 decides, and against their evidence getting lost.
TEST_F(rollout_driver_test, serviceOfSeveralPools_movesToTheTarget)
{
    start(4, 100);
    ASSERT_GT(decider().slots.ownersOf(service).size(), 1U);
    order(5s);
    ASSERT_TRUE(runUntilDecided(6s));
    const auto& last = m_statuses.back().status;
    EXPECT_EQ(last.stage, rollout::stage::completed) << last.reason;
    EXPECT_GT(last.collected.total(true).sent, 0U);
    run(100ms);
    m_grants.clear();
    run(300ms);
    EXPECT_EQ(m_grants[false], 0U);
    EXPECT_GT(m_grants[true], 0U);
}

TEST_F(rollout_driver_test, failingTarget_isReverted)
{
    start(3, 8);
    m_isTargetBad = true;
    order(5s);
    ASSERT_TRUE(runUntilDecided(6s));
    EXPECT_EQ(m_statuses.back().status.stage, rollout::stage::reverted);
    EXPECT_LT(m_grants[true], 50U);
    run(50ms);
    m_grants.clear();
    run(200ms);
    EXPECT_EQ(m_grants[true], 0U);
}

// Guards against an owner that was paused and undoes the decision of the one that followed.
TEST_F(rollout_driver_test, ownerThatWakesUp_doesNotUndoTheDecision)
{
    start(3, 8);
    order(5s);
    run(600ms);
    auto& paused = decider();
    paused.isFrozen = true;
    auto others = m_candidates;
    std::erase_if(others, [&](const placement::owner_candidate& candidate) { return candidate.node == paused.id; });
    for (const auto& node : m_nodes) {
        if (!node->isFrozen)
            node->slots.setMembers(others, 0);
    }
    m_isTargetBad = true;
    ASSERT_TRUE(runUntilDecided(6s));
    const auto decided = m_statuses.size();
    ASSERT_EQ(m_statuses.back().status.stage, rollout::stage::reverted);
    paused.isFrozen = false;
    run(600ms);
    EXPECT_EQ(m_statuses.size(), decided);
}

// Guards against messages and records of a service without an order.
TEST_F(rollout_driver_test, serviceWithoutOrder_causesNoRecordAndNoRules)
{
    start(3, 8);
    run(100ms);
    EXPECT_TRUE(m_statuses.empty());
    for (const auto& node : m_nodes) {
        EXPECT_TRUE(node->driver->rulesToPassOn(std::chrono::steady_clock::now()).empty());
        EXPECT_EQ(node->driver->routeOf(service, "route"), 0U);
    }
}

} // namespace
} // namespace carawaylink::gateway
