#include "slot_coordinator.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <gtest/gtest.h>
#include <map>
#include <thread>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

const service_id service { "engine" };
constexpr auto waitTimeout = 5s;

// Coordinators of several nodes on one event loop; messages pass through the encoder and back.
class slot_coordinator_test : public testing::Test {
protected:
    struct fleet_node {
        fleet_node(boost::asio::io_context& context, const std::string& name, decision_log& log, std::uint64_t seed)
            : id(name)
            , slots(context, id, failure_domain { "a" }, log, seed)
        {
        }
        node_id id;
        slot_coordinator slots;
        std::map<std::uint64_t, placement::grant> grants;
        std::size_t sent = 0;
    };

    void start(std::size_t count, std::size_t endpoints, unsigned slots)
    {
        std::vector<placement::owner_candidate> candidates;
        for (std::size_t i = 0; i < count; ++i) {
            m_nodes.push_back(std::make_unique<fleet_node>(m_context, "n" + std::to_string(i), m_log, i));
            candidates.push_back({ m_nodes.back()->id, 500 });
        }
        std::map<discovery::replica_id, discovery::endpoint_record> records;
        for (std::size_t i = 0; i < endpoints; ++i) {
            const discovery::replica_id id { "e" + std::to_string(i) };
            records.emplace(
                id, discovery::endpoint_record { id, service, endpoint_id { id.value + ":80" }, failure_domain { "a" }, slots, false, 1 });
        }
        for (std::size_t i = 0; i < count; ++i) {
            auto& node = *m_nodes[i];
            slot_coordinator::handlers handlers;
            handlers.send = [this, &node](const node_id& to, peer::envelopeT message) { deliver(node, to, std::move(message)); };
            handlers.onDecisions = [&node](const service_id&, const placement::pool_decisions& decisions) {
                for (const auto& granted : decisions.grants)
                    node.grants.insert_or_assign(granted.id, granted);
            };
            handlers.onOwnerSilent = [](const node_id&) {};
            node.slots.setHandlers(handlers);
            node.slots.setMembers(candidates, i);
            node.slots.setEndpoints(records);
        }
    }

    void deliver(fleet_node& from, const node_id& to, peer::envelopeT message)
    {
        ++from.sent;
        const auto found = std::ranges::find_if(m_nodes, [&](const auto& node) { return node->id == to; });
        if (message.body.Asslot_call())
            (*found)->slots.receive(from.id, *message.body.Asslot_call());
        else
            (*found)->slots.receive(from.id, *message.body.Asslot_reply());
    }

    static placement::waiting_request request(std::uint64_t id)
    {
        placement::waiting_request result;
        result.id = id;
        result.prompt = tokens { 100 };
        result.output = tokens { 10 };
        result.arrived = std::chrono::steady_clock::now();
        result.target = result.arrived + 2s;
        result.deadline = result.arrived + 8s;
        return result;
    }

    // Runs the event loop and the ticks of all nodes until the condition holds.
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + waitTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            for (auto& node : m_nodes)
                node->slots.tick();
            m_context.restart();
            m_context.poll();
            std::this_thread::sleep_for(1ms);
        }
        return condition();
    }

    boost::asio::io_context m_context;
    decision_log m_log { "test" };
    std::vector<std::unique_ptr<fleet_node>> m_nodes;
};

TEST_F(slot_coordinator_test, requestsOfAllNodes_shareTheSlotsOfOneOwner)
{
    // Guards against a message that loses a field on its way: an endpoint's address, a time or a deadline.
    start(3, 1, 2);
    for (std::uint64_t i = 0; i < 3; ++i)
        m_nodes[i]->slots.submit(service, request(i + 1));
    const auto granted = [this] { return m_nodes[0]->grants.size() + m_nodes[1]->grants.size() + m_nodes[2]->grants.size(); };
    ASSERT_TRUE(runUntil([&] { return granted() == 2; }));
    for (std::uint64_t i = 0; i < 3; ++i) {
        const auto found = m_nodes[i]->grants.find(i + 1);
        if (found == m_nodes[i]->grants.end())
            continue;
        EXPECT_EQ(found->second.address.value, "e0:80");
        m_nodes[i]->slots.recordProgress(service, i + 1, 1);
        m_nodes[i]->slots.recordOutcome(service, i + 1, placement::outcome::completed, 1);
        break;
    }
    EXPECT_TRUE(runUntil([&] { return granted() == 3; }));
}

TEST_F(slot_coordinator_test, onlyOneNode_ownsThePool)
{
    // Two owners would grant each slot twice.
    start(3, 4, 2);
    std::size_t owners = 0;
    for (const auto& node : m_nodes)
        owners += node->slots.ownedCount();
    EXPECT_EQ(owners, 1U);
}

TEST_F(slot_coordinator_test, nodeAlone_grantsWithoutMessages)
{
    // Guards against a fleet of one that waits for an owner.
    start(1, 1, 2);
    m_nodes[0]->slots.submit(service, request(1));
    EXPECT_TRUE(runUntil([&] { return m_nodes[0]->grants.contains(1); }));
    EXPECT_EQ(m_nodes[0]->sent, 0U);
}

TEST_F(slot_coordinator_test, slotsOfRequestsThatDoNotExist_areGivenBack)
{
    // Whatever loses the end of a request, its slot must not stay taken for as long as the process runs.
    start(1, 1, 2);
    auto& node = *m_nodes[0];
    for (const std::uint64_t id : { 1, 2 })
        node.slots.submit(service, request(id));
    ASSERT_TRUE(runUntil([&] { return node.grants.size() == 2; }));
    node.slots.releaseUnknown([](std::uint64_t id) { return id == 1; });
    for (const std::uint64_t id : { 3, 4 })
        node.slots.submit(service, request(id));
    EXPECT_TRUE(runUntil([&] { return node.grants.size() == 3; }));
    node.slots.releaseUnknown([](std::uint64_t id) { return id == 1; });
    EXPECT_EQ(node.slots.waitingCount(), 0U);
}

TEST_F(slot_coordinator_test, promptParts_ofAllNodes_reachOwnerAndItsSuccessor)
{
    // A prompt is prefilled again if its parts are lost on the way, or if a new owner does not learn which prompts were answered.
    start(3, 4, 6);
    std::vector<placement::owner_candidate> others;
    std::vector<std::size_t> callers;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i]->slots.setLimits(service, { tokens { 500'000 }, 1 });
        if (m_nodes[i]->slots.ownedCount() > 0)
            continue;
        others.push_back({ m_nodes[i]->id, 500 });
        callers.push_back(i);
    }
    const placement::prompt_parts running { { 11, tokens { 3000 } }, { 12, tokens { 400 } } };
    const placement::prompt_parts ended { { 21, tokens { 2000 } } };
    const auto place = [&](std::size_t node, std::uint64_t id, const placement::prompt_parts& parts) {
        auto submitted = request(id);
        submitted.prompt = tokens { 3500 };
        submitted.promptParts = parts;
        m_nodes[node]->slots.submit(service, submitted);
        EXPECT_TRUE(runUntil([&] { return m_nodes[node]->grants.contains(id); }));
        return m_nodes[node]->grants[id];
    };
    const auto first = place(callers[0], 1, running);
    EXPECT_EQ(first.kept, tokens { 0 });
    m_nodes[callers[0]]->slots.recordProgress(service, 1, 1);
    m_nodes[callers[0]]->slots.tick();
    const auto second = place(callers[1], 2, running);
    EXPECT_EQ(second.kept, tokens { 3400 });
    EXPECT_EQ(second.replica, first.replica);
    const auto past = place(callers[0], 4, ended);
    m_nodes[callers[0]]->slots.recordProgress(service, 4, 1);
    m_nodes[callers[0]]->slots.recordOutcome(service, 4, placement::outcome::completed, 1);
    for (const auto i : callers)
        m_nodes[i]->slots.setMembers(others, i == callers[0] ? 0 : 1);
    const auto third = place(callers[1], 3, running);
    EXPECT_EQ(third.kept, tokens { 3400 });
    EXPECT_EQ(third.replica, first.replica);
    const auto later = place(callers[1], 5, ended);
    EXPECT_EQ(later.kept, tokens { 2000 });
    EXPECT_EQ(later.replica, past.replica);
}

} // namespace
} // namespace carawaylink::gateway
