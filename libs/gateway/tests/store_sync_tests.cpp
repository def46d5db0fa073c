#include "gateway_test_fixture.h"
#include "store_sync.h"

#include <gtest/gtest.h>
#include <thread>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;

// A record is the configuration of the version that its first byte names.
class versioned_codec : public state_codec {
public:
    std::optional<routing::fleet_configuration> decodeConfiguration(const store_record& record) const override
    {
        routing::fleet_configuration configuration;
        configuration.version = config_version { static_cast<std::uint64_t>(record.value->front()) };
        return configuration;
    }
};

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
        handlers.version = [this] { return m_version; };
        handlers.onConfiguration = [this](const routing::fleet_configuration& configuration) {
            return std::exchange(m_version, std::max(m_version, configuration.version)) < configuration.version;
        };
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

    void receiveConfiguration(char version, std::size_t bytes)
    {
        peer::store_copyT copy;
        copy.configuration_key = "config";
        copy.configuration.assign(bytes, static_cast<std::uint8_t>(version));
        m_sync->receive(node_id { "a" }, copy);
    }

    /// What a peer with this configuration answers to a request.
    static peer::store_copyT answerTo(const peer::copy_requestT& request, char version, std::size_t bytes)
    {
        peer::store_copyT copy;
        copy.configuration_key = "config";
        copy.configuration_version = static_cast<std::uint64_t>(version);
        const bool isWhole = request.part_bytes == 0;
        copy.configuration_size = isWhole ? 0 : static_cast<std::uint32_t>(bytes);
        copy.configuration_offset = request.part_version == copy.configuration_version ? request.part_offset : 0;
        const auto part = isWhole ? bytes : std::min<std::size_t>(request.part_bytes, bytes - copy.configuration_offset);
        copy.configuration.assign(part, static_cast<std::uint8_t>(version));
        return copy;
    }

    /// Requests that were sent since the last call, with their receivers.
    std::vector<std::pair<node_id, peer::copy_requestT>> takeCopyRequests()
    {
        std::vector<std::pair<node_id, peer::copy_requestT>> requests;
        for (const auto& [node, message] : std::exchange(m_sent, {})) {
            if (const auto* request = message.body.Ascopy_request())
                requests.emplace_back(node, *request);
        }
        return requests;
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
    versioned_codec m_codec;
    config_version m_version;
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

TEST_F(store_sync_test, largeConfigurationOverASlowLink_isSentOnce)
{
    // Whole copies were asked of two peers every 400 ms, also while others were on their way: nodes on small links fell behind for good.
    constexpr std::size_t size = 500'000;
    constexpr std::size_t linkBytesPerStep = 12'500;
    constexpr auto step = 10ms;
    std::deque<std::pair<node_id, peer::store_copyT>> link;
    std::size_t sentBytes = 0;
    std::size_t arrivedBytes = 0;
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (m_version < config_version { 2 } && std::chrono::steady_clock::now() < end) {
        m_sync->tick(std::chrono::steady_clock::now());
        for (const auto& [node, request] : takeCopyRequests()) {
            link.emplace_back(node, answerTo(request, 2, size));
            sentBytes += link.back().second.configuration.size();
        }
        arrivedBytes += link.empty() ? 0 : linkBytesPerStep;
        while (!link.empty() && arrivedBytes >= link.front().second.configuration.size()) {
            arrivedBytes -= link.front().second.configuration.size();
            const auto [node, copy] = std::move(link.front());
            link.pop_front();
            m_sync->receive(node, copy);
        }
        std::this_thread::sleep_for(step);
    }
    EXPECT_EQ(m_version, config_version { 2 });
    EXPECT_LE(sentBytes, size + size / 5);
}

TEST_F(store_sync_test, requestForAPart_isAnsweredWithThatPartOnly)
{
    receiveConfiguration(2, 100'000);
    peer::copy_requestT request;
    request.configuration_version = 1;
    request.part_bytes = 60'000;
    request.part_version = 2;
    request.part_offset = 60'000;
    m_sync->receive(node_id { "n" }, request);
    ASSERT_EQ(receiversOf(peer::message::store_copy), std::vector<std::string> { "n" });
    const auto& copy = *m_sent.back().second.body.Asstore_copy();
    EXPECT_EQ(copy.configuration.size(), 40'000U);
    EXPECT_EQ(copy.configuration_offset, 60'000U);
    EXPECT_EQ(copy.configuration_size, 100'000U);
    EXPECT_EQ(copy.configuration_version, 2U);
    EXPECT_TRUE(copy.endpoints.empty());
}

TEST_F(store_sync_test, requestOfANodeThatKnowsNoParts_isAnsweredWithTheWhole)
{
    // Nodes of the version before ask like this.
    receiveConfiguration(2, 100'000);
    peer::copy_requestT request;
    request.configuration_version = 1;
    m_sync->receive(node_id { "n" }, request);
    const auto& copy = *m_sent.back().second.body.Asstore_copy();
    EXPECT_EQ(copy.configuration.size(), 100'000U);
    EXPECT_EQ(copy.configuration_size, 0U);
}

} // namespace
} // namespace carawaylink::gateway
