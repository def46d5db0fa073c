#include "peer_mesh.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

namespace carawaylink {
namespace {

constexpr auto testTimeout = std::chrono::seconds(5);

/// A mesh that records the reported events.
struct observed_mesh {
    observed_mesh(boost::asio::io_context& context, const std::string& address, std::uint64_t run)
    {
        peer_mesh_settings settings;
        settings.cluster = "test";
        settings.keys = { { "k1", "a-secret-of-the-test-cluster" } };
        peer_mesh_handlers handlers;
        handlers.onMessage = [](const peer_identity&, wire::envelopeT&) {};
        handlers.onConnected = [this](const peer_identity& peer) { connected.push_back(peer.process.run); };
        handlers.onProcessEnded = [this](const process_identity& process) {
            ended.push_back(process.run);
            if (onEnded)
                onEnded(process);
        };
        handlers.makeHeartbeat = [] { return wire::heartbeatT(); };
        mesh = std::make_unique<peer_mesh>(context, peer_identity {}, settings, handlers);
        node = node_id(mesh->listen(address));
        mesh->setSelf({ { node, incarnation(run) }, failure_domain("a"), "r", {} });
    }

    std::unique_ptr<peer_mesh> mesh;
    node_id node;
    std::vector<incarnation> connected;
    std::vector<incarnation> ended;
    std::function<void(const process_identity&)> onEnded;
};

class peer_redial_test : public testing::Test {
protected:
    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.run_one_until(end);
        return condition();
    }

    boost::asio::io_context context;
};

// Guards against the use of a channel that the handler of an ended process has just dropped: the peers of a node that was killed and
// restarted within the redial delay crashed.
TEST_F(peer_redial_test, replaced_and_dropped_process_is_connected_only_after_new_dial)
{
    observed_mesh first(context, "127.0.0.1:0", 1);
    auto second = std::make_unique<observed_mesh>(context, "127.0.0.1:0", 2);
    const auto address = second->node;
    first.onEnded = [&](const process_identity& process) { first.mesh->dropPeer(process.node); };
    first.mesh->keepConnected({ address });
    ASSERT_TRUE(runUntil([&] { return first.connected.size() == 1; }));

    second.reset();
    observed_mesh replacement(context, address.value, 3);
    ASSERT_TRUE(runUntil([&] { return !first.ended.empty(); }));
    EXPECT_EQ(first.ended, std::vector { incarnation(2) });
    EXPECT_EQ(first.connected, std::vector { incarnation(2) });
    EXPECT_EQ(first.mesh->connections(), 0U);

    first.mesh->keepConnected({ address });
    ASSERT_TRUE(runUntil([&] { return first.connected.size() == 2; }));
    EXPECT_EQ(first.connected.back(), incarnation(3));
}

} // namespace
} // namespace carawaylink
