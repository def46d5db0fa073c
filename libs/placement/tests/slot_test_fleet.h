#pragma once

#include "placement/owned_pools.h"
#include "placement/slot_client.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carawaylink::placement {

using namespace std::chrono_literals;

inline const service_id engineService { "engine" };

inline node_id nodeNumber(std::size_t number)
{
    return node_id { "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200) + ":1" };
}

inline std::vector<discovery::endpoint_record> engineRecords(std::size_t count, unsigned slots)
{
    std::vector<discovery::endpoint_record> records;
    for (std::size_t i = 0; i < count; ++i) {
        const auto name = "engine-" + std::to_string(i);
        records.push_back({ replica_id { name }, engineService, endpoint_id { name + ":80" }, failure_domain { "a" }, slots, false, 1 });
    }
    return records;
}

inline waiting_request engineRequest(std::uint64_t id, tokens prompt, monotonic_time now, duration target = 2s, duration deadline = 8s)
{
    waiting_request request;
    request.id = id;
    request.prompt = prompt;
    request.output = tokens { 90 };
    request.arrived = now;
    request.target = now + target;
    request.deadline = now + deadline;
    return request;
}

/// Nodes and owners in one process: messages arrive after a fixed delay, unless their sender or receiver is cut off. Time is virtual.
class slot_test_fleet {
public:
    slot_test_fleet(std::size_t nodes, std::vector<discovery::endpoint_record> records)
        : m_records(std::move(records))
    {
        for (std::size_t i = 0; i < nodes; ++i)
            m_nodes.push_back(std::make_unique<node_state>(nodeNumber(i), i));
        updateViews();
    }

    /// Submits a request with the tier at a node; returns its id, which is unique in the fleet.
    std::uint64_t submit(std::size_t node, std::uint8_t level = 0, duration target = 2s, duration deadline = 8s)
    {
        auto request = engineRequest(m_nextId++, tokens { 1000 }, now, target, deadline);
        request.tier = tier { level };
        return submit(node, std::move(request));
    }

    /// Submits a request that endpoints of this version only may answer.
    std::uint64_t submitBound(std::size_t node, const std::string& version)
    {
        auto request = engineRequest(m_nextId++, tokens { 100 }, now);
        request.version = version;
        return submit(node, std::move(request));
    }

    /// Submits a request again that is running or was granted before, without its previous endpoint.
    void resubmit(std::uint64_t id, const replica_id& previous)
    {
        auto request = engineRequest(id, tokens { 1000 }, now);
        request.excluded = { previous };
        m_nodes[m_home.at(id)]->client.submit(request, now);
    }

    void withdraw(std::uint64_t id) { m_nodes[m_home.at(id)]->client.withdraw(id); }

    void finish(std::uint64_t id)
    {
        m_nodes[m_home.at(id)]->client.recordProgress(id, 1, now);
        end(id, outcome::completed, 1);
    }

    /// The request ended at its endpoint after this number of events.
    void end(std::uint64_t id, outcome result, std::size_t events = 0)
    {
        m_nodes[m_home.at(id)]->client.recordOutcome(id, result, events, now);
        grants.erase(id);
    }

    /// Replaces the endpoints of the service at all nodes.
    void setRecords(std::vector<discovery::endpoint_record> records)
    {
        m_records = std::move(records);
        updateViews();
    }

    /// The response of a granted request names a limit of its endpoint, or none.
    void nameLimit(std::uint64_t id, std::optional<double> perSecond)
    {
        m_nodes[m_home.at(id)]->client.recordRequestLimit(grants.at(id).replica, perSecond, m_grantedAt.at(id), now);
    }

    /// The response of a granted request says that its endpoint leaves.
    void sayLeaving(std::uint64_t id) { m_nodes[m_home.at(id)]->client.recordLeaving(grants.at(id).replica, now); }
    /// The endpoint of a granted request refuses it and asks for rest.
    void askForRest(std::uint64_t id, duration rest)
    {
        m_nodes[m_home.at(id)]->client.recordRest(grants.at(id).replica, now + rest, now);
        end(id, outcome::rejected);
    }

    /// Lets time pass in steps of a millisecond.
    void run(duration span)
    {
        for (const auto end = now + span; now < end; now += 1ms) {
            deliver();
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (!m_frozen.contains(i))
                    step(i);
            }
        }
    }

    /// A frozen node does nothing; what it is sent waits for it.
    void freeze(std::size_t node) { m_frozen.insert(node); }
    void thaw(std::size_t node) { m_frozen.erase(node); }
    /// The node notices that its connections to the others were lost, and messages with them.
    void resetConnections(std::size_t node)
    {
        std::erase_if(m_messages, [node](const message& sent) { return sent.from != sent.to && (sent.from == node || sent.to == node); });
        for (const auto& other : m_nodes)
            m_nodes[node]->client.loseOwner(other->id, now);
    }
    /// The messages that are on their way get lost, without either side noticing.
    void loseMessages() { m_messages.clear(); }
    /// Messages from and to the node are lost.
    void cut(std::size_t node) { m_cut.insert(node); }
    void heal(std::size_t node) { m_cut.erase(node); }

    /// Sets which nodes each node takes for live; all by default.
    void setLive(const std::set<std::size_t>& live)
    {
        m_live = live;
        updateViews();
    }

    /// All nodes take all but this one for live.
    void setLiveWithout(std::size_t node)
    {
        std::set<std::size_t> live;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            live.insert(i);
        live.erase(node);
        setLive(live);
    }

    std::size_t ownerOfPool(std::uint32_t number = 0) const
    {
        const auto owner = ownerOf({ engineService, number }, candidates());
        const auto found = std::ranges::find_if(m_nodes, [&](const auto& node) { return node->id == *owner; });
        return static_cast<std::size_t>(found - m_nodes.begin());
    }

    std::map<std::string, unsigned> grantsByEndpoint() const
    {
        std::map<std::string, unsigned> counts;
        for (const auto& [id, granted] : grants)
            ++counts[granted.replica.value];
        return counts;
    }

    slot_client& client(std::size_t node) { return m_nodes[node]->client; }
    owned_pools& owned(std::size_t node) { return m_nodes[node]->owned; }

    monotonic_time now { 100s };
    /// Grants of unfinished requests.
    std::map<std::uint64_t, grant> grants;
    /// Times of all grants by endpoint.
    std::map<std::string, std::vector<monotonic_time>> grantTimes;
    std::vector<refusal> refusals;
    /// Grants that nodes did not use.
    std::vector<declined_grant> declined;
    /// Slots that owners took back because their nodes did not hold them.
    std::vector<reclaimed_slots> reclaimed;
    std::size_t messages = 0;
    /// Called at a node between what it receives and what it decides, and with what it decides.
    std::function<void(std::size_t node)> beforeDecisions = [](std::size_t) {};
    std::function<void(const pool_decisions& decisions)> onDecisions = [](const pool_decisions&) {};
    /// Called with each call before it is sent.
    std::function<void(slot_call& call)> beforeCall = [](slot_call&) {};

private:
    std::uint64_t submit(std::size_t node, waiting_request request)
    {
        m_home[request.id] = node;
        m_nodes[node]->client.submit(request, now);
        return request.id;
    }

    struct node_state {
        node_state(node_id name, std::size_t seed)
            : id(std::move(name))
            , client(engineService, failure_domain { "a" }, static_cast<std::uint32_t>(seed + 1), seed)
            , owned(id, seed)
        {
        }
        node_id id;
        slot_client client;
        owned_pools owned;
        monotonic_time nextTick {};
    };
    struct message {
        monotonic_time arrives;
        std::size_t from = 0;
        std::size_t to = 0;
        std::optional<slot_call> call;
        std::optional<slot_reply> reply;
    };

    std::vector<owner_candidate> candidates() const
    {
        std::vector<owner_candidate> result;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_live.empty() || m_live.contains(i))
                result.push_back({ m_nodes[i]->id, 500 });
        }
        return result;
    }

    void updateViews()
    {
        const auto live = candidates();
        const auto count = poolCount(m_records.size());
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            auto& node = *m_nodes[i];
            node.client.setShare(i, live.size());
            node.client.setEndpoints(m_records, now);
            node.client.setOwners(ownersOf(engineService, count, live), now);
            node.owned.update(
                { { engineService, m_records } }, live, [&](const service_id&) { return node.client.local().speeds(); }, now);
        }
    }

    std::size_t indexOf(const node_id& id) const
    {
        return static_cast<std::size_t>(std::ranges::find_if(m_nodes, [&](const auto& node) { return node->id == id; }) - m_nodes.begin());
    }

    void step(std::size_t index)
    {
        auto& node = *m_nodes[index];
        const bool isTick = now >= node.nextTick;
        if (isTick)
            node.nextTick = now + 25ms;
        for (auto& entry : node.owned.takeReplies(now))
            post({ now + messageDelay, index, indexOf(entry.node), std::nullopt, std::move(entry.reply) });
        std::ranges::move(node.owned.takeReclaimed(), std::back_inserter(reclaimed));
        beforeDecisions(index);
        const auto decisions = node.client.decide(now);
        onDecisions(decisions);
        for (const auto& granted : decisions.grants) {
            grants.insert_or_assign(granted.id, granted);
            m_grantedAt[granted.id] = now;
            grantTimes[granted.replica.value].push_back(now);
        }
        declined.insert(declined.end(), decisions.declined.begin(), decisions.declined.end());
        refusals.insert(refusals.end(), decisions.refusals.begin(), decisions.refusals.end());
        if (!isTick && !node.client.hasUrgentCalls())
            return;
        for (auto& entry : node.client.takeCalls(now)) {
            beforeCall(entry.call);
            post({ now + messageDelay, index, indexOf(entry.owner), std::move(entry.call), std::nullopt });
        }
    }

    void post(message sent)
    {
        ++messages;
        if (!m_cut.contains(sent.from) && !m_cut.contains(sent.to))
            m_messages.push_back(std::move(sent));
    }

    void deliver()
    {
        std::vector<message> waiting;
        for (auto& arrived : m_messages) {
            if (arrived.arrives > now || m_frozen.contains(arrived.to)) {
                waiting.push_back(std::move(arrived));
                continue;
            }
            auto& receiver = *m_nodes[arrived.to];
            if (arrived.call)
                receiver.owned.receive(m_nodes[arrived.from]->id, *arrived.call, now);
            else
                receiver.client.receive(m_nodes[arrived.from]->id, *arrived.reply, now);
        }
        m_messages = std::move(waiting);
    }

    static constexpr auto messageDelay = 1ms;

    std::vector<discovery::endpoint_record> m_records;
    std::vector<std::unique_ptr<node_state>> m_nodes;
    std::vector<message> m_messages;
    std::map<std::uint64_t, std::size_t> m_home;
    std::map<std::uint64_t, monotonic_time> m_grantedAt;
    std::set<std::size_t> m_live;
    std::set<std::size_t> m_frozen;
    std::set<std::size_t> m_cut;
    std::uint64_t m_nextId = 1;
};

} // namespace carawaylink::placement
