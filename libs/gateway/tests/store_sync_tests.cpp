#include "gateway_test_fixture.h"
#include "store_sync.h"

#include <gtest/gtest.h>

namespace carawaylink::gateway {
namespace {

// A node in the middle of a fleet. No event runs, so that the store never answers.
class store_sync_test : public testing::Test {
protected:
    store_sync_test()
    {
        m_settings.nodeName = "middle";
        m_settings.peerAddress = "m";
        m_settings.storeAddress = "127.0.0.1:1";
        for (const auto* name : { "a", "n", "z" }) {
            member_update member;
            member.node = node_id { name };
            member.run = incarnation { 1 };
            m_members.apply(member, {});
        }
        store_sync::handlers handlers;
        handlers.onEndpoints = [this](const auto& records) { m_endpoints = records.size(); };
        handlers.send = [this](std::span<const node_id> nodes, peer::envelopeT message) {
            for (const auto& node : nodes)
                m_sent.emplace_back(node, message);
        };
        handlers.version = [] { return config_version {}; };
        m_sync = std::make_unique<store_sync>(m_context, m_settings, m_codec, m_log, m_members, std::move(handlers));
        m_sync->start();
    }

    void receiveUpdate(const std::string& sender)
    {
        peer::store_updateT update;
        update.origin = "a";
        update.run = 1;
        update.sequence = ++m_sequence;
        update.offset = 5;
        update.base_offset = 5;
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        update.sent_us = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
        m_sync->receive(node_id { sender }, update);
    }

    void receiveCopy(const std::string& sender)
    {
        peer::store_copyT copy;
        copy.endpoints_offset = 5;
        copy.endpoints.push_back(std::make_unique<peer::registry_entryT>());
        copy.endpoints.back()->key = "e";
        const std::string state = "ready";
        copy.endpoints.back()->value.assign(state.begin(), state.end());
        m_sync->receive(node_id { sender }, copy);
    }

    // Receivers of messages of this kind.
    std::vector<std::string> receiversOf(peer::message kind) const
    {
        std::vector<std::string> result;
        for (const auto& [node, message] : m_sent) {
            if (message.body.type == kind)
                result.push_back(node.value);
        }
        return result;
    }

    boost::asio::io_context m_context;
    gateway_settings m_settings;
    state_codec m_codec;
    decision_log m_log { "test" };
    fleet_members m_members { node_id { "m" }, 0, {} };
    std::vector<std::pair<node_id, peer::envelopeT>> m_sent;
    std::size_t m_endpoints = 0;
    std::uint64_t m_sequence = 0;
    std::unique_ptr<store_sync> m_sync;
};

TEST_F(store_sync_test, updateBeforeTheFirstEndpoints_asksItsSenderForACopyOnce)
{
    // After a loss of power each node waited for its own read of the endpoints, up to a second longer than the first one.
    receiveUpdate("a");
    receiveUpdate("n");
    EXPECT_EQ(receiversOf(peer::message::copy_request), std::vector<std::string> { "a" });
    receiveCopy("a");
    EXPECT_EQ(m_endpoints, 1U);
    EXPECT_TRUE(m_sync->isLoaded());
}

TEST_F(store_sync_test, updateAfterTheFirstEndpoints_asksForNoCopy)
{
    // A whole copy for each update would take more of the link than the updates.
    receiveCopy("a");
    receiveUpdate("a");
    EXPECT_TRUE(receiversOf(peer::message::copy_request).empty());
}

TEST_F(store_sync_test, copyRequestBeforeTheFirstEndpoints_isAnsweredOnceTheyArriveIfTheNodeIsBelowInTheTree)
{
    // Each level of the tree would wait for another update; any other node asks several peers, whose answers would all be whole copies.
    receiveUpdate("a");
    m_sync->receive(node_id { "n" }, peer::copy_requestT {});
    m_sync->receive(node_id { "other" }, peer::copy_requestT {});
    EXPECT_TRUE(receiversOf(peer::message::store_copy).empty());
    receiveCopy("a");
    ASSERT_EQ(receiversOf(peer::message::store_copy), std::vector<std::string> { "n" });
    EXPECT_EQ(m_sent.back().second.body.Asstore_copy()->endpoints.size(), 1U);
}

} // namespace
} // namespace carawaylink::gateway
