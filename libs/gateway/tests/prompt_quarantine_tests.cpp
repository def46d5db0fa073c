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
        m_nodes[self]->quarantine.setOnProbeDecided([this, index](std::uint64_t request, bool isGranted) {
            if (isGranted)
                m_probes.push_back({ index, request });
        });
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

    bool isOnProbation(std::size_t index, const std::vector<std::string>& prompt)
    {
        return !at(index).onProbation(partsOf(prompt), m_now).empty();
    }

    // A request with the prompt comes at each node every 50 ms; returns how many reach an endpoint, be it as a probe or freely. onSend is
    // called with the node of each.
    std::size_t sendEverywhere(const std::vector<std::string>& prompt, duration time, const std::function<void(std::size_t)>& onSend)
    {
        std::size_t sent = 0;
        for (duration step {}; step < time; step += 50ms) {
            for (std::size_t i = 0; i < maxNodes; ++i) {
                if (!m_nodes.contains(nodeId(i)) || isRefused(i, prompt))
                    continue;
                const auto probed = at(i).onProbation(partsOf(prompt), m_now);
                if (!probed.empty())
                    at(i).askForProbe(++m_requests, probed, m_now);
                else
                    m_probes.push_back({ i, ++m_requests });
            }
            for (const auto& granted : std::exchange(m_probes, {})) {
                ++sent;
                m_lastProbe = granted;
                onSend(granted.node);
            }
            pass(50ms);
        }
        return sent;
    }

    void stopNode(const node_id& id)
    {
        for (std::size_t i = 0; i < maxNodes; ++i) {
            if (nodeId(i) == id)
                stopNode(i);
        }
    }

    node_id nodeInCharge(const std::string& part) { return m_nodes.begin()->second->members.nodeFor(partsOf({ part }).front().value); }

    static prompt_quarantine::parts partsOf(const std::vector<std::string>& prompt) { return prompt_quarantine::partsOf(service, prompt); }

    bool isRefused(std::size_t index, const std::vector<std::string>& prompt)
    {
        return at(index).remaining(partsOf(prompt), m_now).has_value();
    }

    node_id collector() { return m_nodes.begin()->second->members.nodeFor(serviceHash(service).value); }

    struct probe {
        std::size_t node = 0;
        std::uint64_t request = 0;
    };

    static constexpr std::size_t maxNodes = 100;
    // A quarantine for the first time.
    static constexpr duration term = 60s;

    decision_log m_log { "test" };
    std::vector<probe> m_probes;
    probe m_lastProbe;
    std::uint64_t m_requests = 0;
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

TEST_F(prompt_quarantine_test, partThatNobodyAsksFor_isForgottenAndDeletedFromTheStore)
{
    // Guards against a fleet that refuses prompts of long ago after each restart, and against nodes that teach each other what they forget.
    startFleet(4);
    quarantineDeadlyPart();
    EXPECT_EQ(m_store.size(), 1U);
    pass(term + 2s);
    EXPECT_FALSE(isRefused(0, deadlyPrompt));
    EXPECT_TRUE(isOnProbation(0, deadlyPrompt));
    EXPECT_EQ(m_store.size(), 1U);
    pass(31min);
    EXPECT_TRUE(m_store.empty());
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_FALSE(isOnProbation(i, deadlyPrompt)) << i;
}

TEST_F(prompt_quarantine_test, partAfterItsTerm_reachesOneEndpointAndIsRefusedAgain)
{
    // The term ended by the clock while requests with the part went on, and 11 to 13 of them reached endpoints before the next decision.
    startFleet(6);
    quarantineDeadlyPart();
    pass(term);
    const auto sent = sendEverywhere(deadlyPrompt, 15s, [this](std::size_t prober) {
        crash(prober, deadlyPrompt);
        at(prober).endProbe(m_lastProbe.request);
    });
    EXPECT_EQ(sent, 1U);
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_TRUE(isRefused(i, deadlyPrompt)) << i;
    EXPECT_EQ(m_store.begin()->second, "2");
}

TEST_F(prompt_quarantine_test, probesWhileNodesAreLost_areThreeAtMost)
{
    // Neither the node that grants a probe nor the one that sends it may take the only knowledge of it along.
    startFleet(8);
    quarantineDeadlyPart();
    pass(term);
    std::size_t losses = 0;
    const auto sent = sendEverywhere(deadlyPrompt, 70s, [&](std::size_t prober) {
        if (losses++ < 2) {
            stopNode(nodeInCharge("deadly"));
            stopNode(prober);
            return;
        }
        crash(prober, deadlyPrompt);
        at(prober).endProbe(m_lastProbe.request);
    });
    EXPECT_LE(sent, 3U);
    EXPECT_GE(sent, 1U);
}

TEST_F(prompt_quarantine_test, answeredProbe_endsTheQuarantineEverywhere)
{
    // A sound part that was quarantined by mistake has to come back into use, also where few requests have it.
    startFleet(6);
    quarantineDeadlyPart();
    pass(term);
    EXPECT_EQ(sendEverywhere(deadlyPrompt, 6s,
                  [this](std::size_t prober) {
                      if (isOnProbation(prober, deadlyPrompt)) {
                          EXPECT_TRUE(at(prober).recordProbeAnswer(m_lastProbe.request, m_now));
                          m_probes.clear();
                      }
                  })
            > 1,
        true);
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_FALSE(isOnProbation(i, deadlyPrompt)) << i;
    EXPECT_TRUE(m_store.empty());
    // Known from before, it is quarantined by its next crash.
    crash(3, deadlyPrompt);
    pass(500ms);
    EXPECT_TRUE(isRefused(0, deadlyPrompt));
}

TEST_F(prompt_quarantine_test, nodeThatStartsDuringProbation_learnsItAndAsks)
{
    // A node without the knowledge would send all requests with the part.
    startFleet(5);
    quarantineDeadlyPart();
    stopNode(std::size_t { 2 });
    pass(term);
    m_store.clear();
    startNode(2);
    setState(2, member_state::alive);
    pass(1500ms);
    EXPECT_TRUE(isOnProbation(2, deadlyPrompt));
}

TEST_F(prompt_quarantine_test, requestWithoutReply_isRefusedAndItsLateProbeIsReturned)
{
    // A node in charge that is lost, or does not know probes, must not hold the request until its deadline.
    startFleet(3);
    quarantineDeadlyPart();
    pass(term + 1s);
    std::size_t asker = 0;
    while (nodeId(asker) == nodeInCharge("deadly"))
        ++asker;
    std::vector<bool> decisions;
    at(asker).setOnProbeDecided([&](std::uint64_t, bool isGranted) { decisions.push_back(isGranted); });
    m_nodes.at(nodeId(asker))->isCut = true;
    EXPECT_TRUE(at(asker).askForProbe(1, at(asker).onProbation(partsOf(deadlyPrompt), m_now), m_now));
    EXPECT_FALSE(at(asker).askForProbe(2, at(asker).onProbation(partsOf(deadlyPrompt), m_now), m_now));
    pass(600ms);
    EXPECT_EQ(decisions, std::vector { false });
    m_nodes.at(nodeId(asker))->isCut = false;
    m_messages = 0;
    peer::envelopeT late;
    peer::part_probeT granted;
    granted.part = partsOf({ "deadly" }).front().value;
    granted.step = peer::probe_step::granted;
    late.body.Set(std::move(granted));
    at(asker).receive(nodeInCharge("deadly"), late, m_now);
    EXPECT_EQ(m_messages, 1U);
    EXPECT_EQ(decisions, std::vector { false });
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

TEST(request_identity_test, requestsThatDifferInAnything_differ)
{
    // Another caller's request with the same body is sound, and must not be refused.
    const auto identity = [](const http_request& request, const std::string& caller) {
        return prompt_quarantine::identityOf(service_id { "s" }, request, caller);
    };
    const http_request request { "POST", "/a/b", {}, "body" };
    const auto known = identity(request, "team");
    EXPECT_EQ(identity({ "POST", "/a/b", { { "attempt", "2" } }, "body" }, "team"), known);
    EXPECT_NE(identity(request, "other"), known);
    EXPECT_NE(identity({ "PUT", "/a/b", {}, "body" }, "team"), known);
    EXPECT_NE(identity({ "POST", "/a/c", {}, "body" }, "team"), known);
    EXPECT_NE(identity({ "POST", "/a/b", {}, "bodz" }, "team"), known);
    EXPECT_NE(identity({ "POST", "/a/b", {}, "" }, "team\nbody"), known);
}

} // namespace
} // namespace carawaylink::gateway
