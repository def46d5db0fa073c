#include "peer_codec.h"
#include "prompt_quarantine.h"

#include <gtest/gtest.h>
#include <memory>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

const service_id service { "service" };
const std::vector<std::string> deadlyPrompt { "common", "deadly" };
const std::vector<std::string> soundPrompt { "common", "sound" };

// Nodes that exchange messages over a network without delay.
class prompt_quarantine_test : public testing::Test {
protected:
    struct node {
        node(const node_id& self, decision_log& log, prompt_quarantine::sender send, monotonic_time now)
            : members(self, 0, now)
            , quarantine(self, log, std::move(send))
        {
        }
        fleet_members members;
        prompt_quarantine quarantine;
        bool isCut = false;
    };

    // The store that all nodes reach.
    void useStore(node& started)
    {
        started.quarantine.setStore([this](const std::string& key, const std::string& value) {
            ++m_writes;
            if (value.empty())
                m_store.erase(key);
            else
                m_store[key] = value;
        });
        started.quarantine.restore(storedRecords(), m_now);
    }

    std::vector<store_record> storedRecords() const
    {
        std::vector<store_record> records;
        for (const auto& [key, value] : m_store)
            records.push_back({ key, value });
        return records;
    }

    void startFleet(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            startNode(i);
        for (std::size_t i = 0; i < count; ++i)
            setState(i, member_state::alive);
    }

    static node_id nodeId(std::size_t index) { return node_id { "10.0.0." + std::to_string(100 + index) + ":1" }; }

    void startNode(std::size_t index)
    {
        const auto self = nodeId(index);
        m_nodes[self] = std::make_unique<node>(
            self, m_log, [this, self](const node_id& target, const peer::envelopeT& message) { deliver(self, target, message); }, m_now);
        useStore(*m_nodes[self]);
        for (const auto& [other, entry] : m_nodes) {
            if (other != self)
                m_nodes[self]->members.apply(update(other, member_state::alive), m_now);
        }
    }

    static member_update update(const node_id& id, member_state state)
    {
        member_update result;
        result.node = id;
        result.state = state;
        result.httpAddress = "front";
        return result;
    }

    // What the other nodes know of one node.
    void setState(std::size_t index, member_state state)
    {
        for (const auto& [id, entry] : m_nodes) {
            if (id != nodeId(index))
                entry->members.apply(update(nodeId(index), state), m_now);
        }
    }

    void stopNode(std::size_t index)
    {
        m_nodes.erase(nodeId(index));
        setState(index, member_state::dead);
    }

    void deliver(const node_id& sender, const node_id& target, const peer::envelopeT& message)
    {
        ++m_messages;
        const auto found = m_nodes.find(target);
        if (found != m_nodes.end() && (sender == target || (!found->second->isCut && !m_nodes.at(sender)->isCut)))
            found->second->quarantine.receive(sender, message, m_now);
    }

    void pass(duration time)
    {
        for (duration step {}; step < time; step += 25ms) {
            m_now += 25ms;
            for (const auto& [id, entry] : m_nodes)
                entry->quarantine.tick(entry->members, m_now);
        }
    }

    prompt_quarantine& at(std::size_t index) { return m_nodes.at(nodeId(index))->quarantine; }

    // An endpoint of its own ends under a request of this node.
    void crash(std::size_t index, const std::vector<std::string>& prompt)
    {
        at(index).recordCrash(service, discovery::replica_id { "i-" + std::to_string(++m_replicas) }, partsOf(prompt), m_now);
    }

    // Endpoints end under requests of node 0 until the part is quarantined.
    void quarantineDeadlyPart()
    {
        for (int i = 0; i < 3; ++i) {
            crash(0, deadlyPrompt);
            pass(200ms);
        }
        pass(300ms);
    }

    static prompt_quarantine::parts partsOf(const std::vector<std::string>& prompt) { return prompt_quarantine::partsOf(service, prompt); }

    bool isRefused(std::size_t index, const std::vector<std::string>& prompt)
    {
        return at(index).remaining(partsOf(prompt), m_now).has_value();
    }

    node_id collector() { return m_nodes.begin()->second->members.nodeFor(serviceHash(service).value); }

    decision_log m_log { "test" };
    std::map<node_id, std::unique_ptr<node>> m_nodes;
    std::map<std::string, std::string> m_store;
    std::size_t m_writes = 0;
    monotonic_time m_now { 100s };
    std::uint64_t m_replicas = 0;
    std::size_t m_messages = 0;
};

TEST_F(prompt_quarantine_test, crashesSeenByDifferentNodes_quarantineThePartEverywhere)
{
    // Each node sees too few of the crashes to tell their cause; what they see has to be pooled.
    startFleet(30);
    for (std::size_t i = 0; i < 3; ++i) {
        crash(10 * i, deadlyPrompt);
        pass(200ms);
        at(10 * i + 5).recordAnswer(partsOf(soundPrompt), m_now);
    }
    pass(300ms);
    for (std::size_t i = 0; i < 30; ++i) {
        EXPECT_TRUE(isRefused(i, deadlyPrompt)) << i;
        EXPECT_FALSE(isRefused(i, soundPrompt)) << i;
    }
}

TEST_F(prompt_quarantine_test, partAnsweredAtAnotherNode_isNotQuarantined)
{
    // Guards against refusing a popular part whose answers the node that correlates the crashes does not see.
    startFleet(4);
    for (int i = 0; i < 6; ++i) {
        crash(0, soundPrompt);
        pass(200ms);
        at(3).recordAnswer(partsOf(soundPrompt), m_now);
    }
    pass(500ms);
    EXPECT_FALSE(isRefused(0, soundPrompt));
}

TEST_F(prompt_quarantine_test, laterAnswers_areReportedToBothNodesThatCorrelate)
{
    // The second question about a part replaced the first, so that one of the two nodes missed the answers and quarantined a sound part.
    startFleet(6);
    for (int i = 0; i < 2; ++i) {
        crash(0, soundPrompt);
        pass(200ms);
    }
    for (int i = 0; i < 5; ++i) {
        at(3).recordAnswer(partsOf(soundPrompt), m_now);
        pass(25ms);
        crash(0, soundPrompt);
        pass(200ms);
    }
    pass(500ms);
    EXPECT_FALSE(isRefused(0, soundPrompt));
}

TEST_F(prompt_quarantine_test, startedNode_learnsQuarantineWithin1500Ms)
{
    // A node that restarts without the store knows nothing, and would send the requests that the others refuse.
    startFleet(8);
    quarantineDeadlyPart();
    EXPECT_FALSE(isRefused(0, soundPrompt));
    m_store.clear();
    stopNode(5);
    pass(2s);
    startNode(5);
    setState(5, member_state::alive);
    EXPECT_FALSE(isRefused(5, deadlyPrompt));
    pass(1500ms);
    EXPECT_TRUE(isRefused(5, deadlyPrompt));
}

TEST_F(prompt_quarantine_test, lostCollector_leavesItsEvidenceToTheNext)
{
    startFleet(6);
    for (std::size_t i = 0; i < 2; ++i) {
        std::size_t reporter = 0;
        while (nodeId(reporter) == collector())
            ++reporter;
        crash(reporter, deadlyPrompt);
        pass(200ms);
    }
    const auto lost = collector();
    for (std::size_t i = 0; i < 6; ++i) {
        if (nodeId(i) == lost) {
            stopNode(i);
            break;
        }
    }
    pass(100ms);
    std::size_t reporter = 0;
    while (!m_nodes.contains(nodeId(reporter)))
        ++reporter;
    crash(reporter, deadlyPrompt);
    pass(500ms);
    EXPECT_TRUE(isRefused(reporter, deadlyPrompt));
}

TEST_F(prompt_quarantine_test, fleetThatRestartsAsAWhole_knowsTheQuarantine)
{
    // After all nodes had ended at once, requests with the part crashed endpoints again until it was quarantined anew.
    startFleet(4);
    quarantineDeadlyPart();
    m_nodes.clear();
    startFleet(4);
    EXPECT_TRUE(isRefused(2, deadlyPrompt));
    EXPECT_FALSE(isRefused(2, soundPrompt));
}

TEST_F(prompt_quarantine_test, endedQuarantine_isDeletedFromTheStore)
{
    // Guards against a fleet that refuses prompts of long ago after each restart.
    startFleet(4);
    quarantineDeadlyPart();
    EXPECT_EQ(m_store.size(), 1U);
    pass(62s);
    EXPECT_TRUE(m_store.empty());
    EXPECT_FALSE(isRefused(0, deadlyPrompt));
}

TEST_F(prompt_quarantine_test, storeFromAnOlderCopy_getsTheQuarantineAgain)
{
    // A fleet that restarts as a whole afterwards would let the part crash endpoints again.
    startFleet(4);
    quarantineDeadlyPart();
    const auto written = std::exchange(m_store, {});
    ASSERT_FALSE(written.empty());
    m_writes = 0;
    for (const auto& [id, entry] : m_nodes)
        entry->quarantine.rewrite({}, entry->members, m_now);
    EXPECT_EQ(m_store, written);
    EXPECT_EQ(m_writes, written.size());
    for (const auto& [id, entry] : m_nodes)
        entry->quarantine.rewrite(storedRecords(), entry->members, m_now);
    EXPECT_EQ(m_writes, written.size());
}

TEST_F(prompt_quarantine_test, malformedRecordsOfTheStore_areIgnored)
{
    m_store = { { "not hexadecimal", "1" }, { "12", "many" }, { "13", "0" } };
    startFleet(1);
    EXPECT_FALSE(isRefused(0, deadlyPrompt));
}

TEST_F(prompt_quarantine_test, nodeThatWasCutOff_learnsQuarantineAfterwards)
{
    startFleet(5);
    m_nodes.at(nodeId(4))->isCut = true;
    quarantineDeadlyPart();
    EXPECT_FALSE(isRefused(4, deadlyPrompt));
    m_nodes.at(nodeId(4))->isCut = false;
    pass(1500ms);
    EXPECT_TRUE(isRefused(4, deadlyPrompt));
}

TEST_F(prompt_quarantine_test, pausedCollector_asksAgainBeforeItDecides)
{
    // A process that wakes up must not decide by what it knew before its pause, while reports of answers wait to be read.
    startFleet(1);
    for (int i = 0; i < 3; ++i) {
        crash(0, soundPrompt);
        m_now += 200ms;
    }
    pass(25ms);
    m_now += 5s;
    at(0).tick(m_nodes.begin()->second->members, m_now);
    at(0).recordAnswer(partsOf(soundPrompt), m_now);
    pass(500ms);
    EXPECT_FALSE(isRefused(0, soundPrompt));
}

TEST_F(prompt_quarantine_test, fleetWithoutCrashes_exchangesNoMessages)
{
    startFleet(20);
    for (int i = 0; i < 100; ++i) {
        at(static_cast<std::size_t>(i) % 20).recordAnswer(partsOf(soundPrompt), m_now);
        pass(25ms);
    }
    EXPECT_EQ(m_messages, 0U);
}

} // namespace
} // namespace carawaylink::gateway
