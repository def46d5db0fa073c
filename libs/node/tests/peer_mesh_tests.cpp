#include "crypto/digest.h"
#include "event_loop.h"
#include "http/message.h"
#include "peer_mesh.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr std::string_view clusterSecret = "secret-of-the-test-cluster";

/// The mesh of one node on its own event loop, which a test can stop running to simulate a paused process.
class mesh_node {
public:
    explicit mesh_node(std::uint64_t run, std::string cluster = "test", std::string secret = std::string(clusterSecret),
        const std::string& listenAddress = "127.0.0.1:0")
    {
        peer_mesh_settings settings;
        settings.cluster = std::move(cluster);
        settings.heartbeatInterval = 50ms;
        settings.receiveTimeout = 250ms;
        settings.keys = { { "k", std::move(secret) } };
        peer_mesh_handlers handlers;
        handlers.onMessage = [this](const peer_identity&, wire::envelopeT& envelope) {
            if (const auto* cancel = envelope.body.Asslot_cancel())
                received.push_back(cancel->request ? cancel->request->sequence() : 0);
        };
        handlers.onConnected = [this](const peer_identity& peer) { connected.push_back(peer.process); };
        handlers.onProcessEnded = [this](const process_identity& process) { ended.push_back(process); };
        handlers.makeHeartbeat = [] { return wire::heartbeatT {}; };
        identity.process.run = incarnation(run);
        mesh = std::make_unique<peer_mesh>(context, identity, settings, std::move(handlers));
        identity.process.node = node_id(mesh->listen(listenAddress));
        mesh->setSelf(identity);
    }

    const node_id& address() const { return identity.process.node; }
    bool send(const node_id& to, std::uint64_t number)
    {
        wire::slot_cancelT message;
        message.request = std::make_unique<wire::request_key>(1, number);
        return mesh->send(to, std::move(message));
    }
    std::uint64_t receivedHellos() const { return mesh->received().at(static_cast<std::size_t>(wire::message::hello)).messages; }

    asio::io_context context { 1 };
    peer_identity identity;
    std::vector<std::uint64_t> received;
    std::vector<process_identity> connected;
    std::vector<process_identity> ended;
    std::unique_ptr<peer_mesh> mesh;
};

/// A connection on which the test reads and writes frames directly.
class raw_peer {
public:
    /// other: a second node whose event loop runs along with the target's.
    explicit raw_peer(mesh_node& target, mesh_node* other = nullptr)
        : m_target(target)
        , m_other(other ? *other : target)
        , m_socket(m_context)
    {
        const auto parsed = parseAddress(target.address().value);
        m_socket.connect({ asio::ip::make_address(parsed.ip), parsed.port });
        m_socket.non_blocking(true);
    }

    void write(const std::vector<std::uint8_t>& bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }
    /// Returns the next envelope, or nullopt if the mesh closes the connection first.
    std::optional<wire::envelopeT> read()
    {
        std::optional<wire::envelopeT> result;
        bool closed = false;
        runUntil({ &m_target.context, &m_other.context }, [&] {
            std::array<std::uint8_t, 4096> bytes {};
            boost::system::error_code status;
            const auto size = m_socket.read_some(asio::buffer(bytes), status);
            m_decoder.append({ bytes.data(), size });
            closed = status && status != asio::error::would_block;
            result = m_decoder.next();
            return result || closed;
        });
        return result;
    }
    /// Reads until the mesh closes the connection.
    void expectClosed()
    {
        while (read()) { }
    }

private:
    mesh_node& m_target;
    mesh_node& m_other;
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
    wire::frame_decoder m_decoder;
};

wire::helloT helloOf(const std::string& node)
{
    wire::helloT hello;
    hello.protocol_version = wire::protocolVersion;
    hello.cluster = "test";
    hello.node = node;
    hello.incarnation = 7;
    hello.nonce = 99;
    return hello;
}

// Guards against messages that are lost or reordered between two nodes.
TEST(peer_mesh_test, frames_arrive_in_order)
{
    mesh_node a(1);
    mesh_node b(2);
    for (std::uint64_t i = 0; i < 500; ++i)
        EXPECT_TRUE(a.send(b.address(), i));
    runUntil({ &a.context, &b.context }, [&] { return b.received.size() == 500; });
    EXPECT_TRUE(std::ranges::is_sorted(b.received));
    EXPECT_EQ(a.connected, (std::vector<process_identity> { b.identity.process }));
}

// Guards against accepting a process that lacks the cluster key or belongs to another cluster or protocol version.
TEST(peer_mesh_test, peers_of_other_cluster_key_or_version_are_refused)
{
    mesh_node a(1);
    mesh_node wrongKey(2, "test", "another-secret-of-a-cluster");
    mesh_node wrongCluster(3, "other");
    wrongKey.send(a.address(), 1);
    wrongCluster.send(a.address(), 2);
    a.send(wrongKey.address(), 3);
    // Each refused connection is dialed again, so repeated hellos show repeated refusals.
    runUntil({ &a.context, &wrongKey.context, &wrongCluster.context },
        [&] { return a.receivedHellos() >= 6 && wrongKey.receivedHellos() >= 2 && wrongCluster.receivedHellos() >= 2; });
    for (const auto* node : { &a, &wrongKey, &wrongCluster }) {
        EXPECT_TRUE(node->received.empty());
        EXPECT_TRUE(node->connected.empty());
    }

    raw_peer wrongVersion(a);
    auto hello = helloOf("127.0.0.1:1");
    hello.protocol_version = wire::protocolVersion + 1;
    wrongVersion.write(wire::encodeFrame(std::move(hello)));
    wrongVersion.expectClosed();
}

// Guards against a process without the key that passes the handshake by reflecting a node's own proof to it.
TEST(peer_mesh_test, reflected_handshake_is_refused)
{
    mesh_node a(1);
    raw_peer attacker(a);
    const auto hello = attacker.read();
    ASSERT_TRUE(hello && hello->body.Ashello());
    attacker.write(wire::encodeFrame(*hello->body.Ashello()));
    if (const auto proof = attacker.read(); proof && proof->body.Ashello_proof())
        attacker.write(wire::encodeFrame(*proof->body.Ashello_proof()));
    wire::slot_cancelT message;
    message.request = std::make_unique<wire::request_key>(1, 1);
    attacker.write(wire::encodeFrame(std::move(message)));
    attacker.expectClosed();
    EXPECT_TRUE(a.received.empty());
}

// Guards against a hostile or broken connection that disturbs connections of other peers or stays open.
TEST(peer_mesh_test, hostile_frame_closes_only_its_own_connection)
{
    mesh_node a(1);
    mesh_node b(2);
    b.send(a.address(), 1);
    runUntil({ &a.context, &b.context }, [&] { return a.received.size() == 1; });

    const std::vector<std::vector<std::uint8_t>> hostile { { 0, 0, 0, 0 }, { 255, 255, 255, 255 }, { 8, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8 },
        wire::encodeFrame(wire::slot_cancelT {}), wire::encodeFrame(wire::hello_proofT {}), {} };
    for (const auto& bytes : hostile) {
        raw_peer peer(a, &b);
        peer.write(bytes);
        peer.expectClosed();
    }
    // Hostile frames after a valid hello: a wrong proof, a second hello, a message before the proof.
    for (int variant = 0; variant < 3; ++variant) {
        raw_peer peer(a, &b);
        peer.write(wire::encodeFrame(helloOf("127.0.0.1:1")));
        wire::hello_proofT proof;
        proof.key_id = "k";
        proof.proof.assign(32, 0);
        peer.write(variant == 0 ? wire::encodeFrame(std::move(proof))
                : variant == 1  ? wire::encodeFrame(helloOf("127.0.0.1:1"))
                                : wire::encodeFrame(wire::slot_cancelT {}));
        peer.expectClosed();
    }
    b.send(a.address(), 2);
    runUntil({ &a.context, &b.context }, [&] { return a.received.size() == 2; });
    EXPECT_TRUE(a.ended.empty());
    EXPECT_EQ(b.connected.size(), 1U);
}

// Guards against a paused peer that is never detected, and against frames that are lost while it is paused.
TEST(peer_mesh_test, silent_peer_is_detected_and_gets_queued_frames_after_reconnect)
{
    mesh_node a(1);
    mesh_node b(2);
    a.mesh->keepConnected({ b.address() });
    runUntil({ &a.context, &b.context }, [&] { return a.connected.size() == 1; });
    runUntil(a.context, [&] { return a.mesh->connections() == 0; });
    a.send(b.address(), 1);
    a.send(b.address(), 2);
    runUntil({ &a.context, &b.context }, [&] { return b.received.size() == 2; });
    EXPECT_EQ(b.received, (std::vector<std::uint64_t> { 1, 2 }));
    // The silent process resumed and must not have been reported as ended.
    EXPECT_TRUE(a.ended.empty());
}

// Guards against a killed process that is detected only after the receive timeout, and against confusing its successor with it.
TEST(peer_mesh_test, ended_and_replaced_processes_are_reported_as_ended)
{
    mesh_node a(1);
    auto b = std::make_unique<mesh_node>(2);
    const auto first = b->identity.process;
    a.mesh->keepConnected({ first.node });
    runUntil({ &a.context, &b->context }, [&] { return a.connected.size() == 1; });
    b.reset();
    runUntil(a.context, [&] { return a.ended.size() == 1; });
    EXPECT_EQ(a.ended, (std::vector<process_identity> { first }));

    auto successor = std::make_unique<mesh_node>(3, "test", std::string(clusterSecret), first.node.value);
    a.send(first.node, 5);
    runUntil({ &a.context, &successor->context }, [&] { return successor->received.size() == 1; });
    EXPECT_EQ(a.connected.back().run, incarnation(3));
    EXPECT_EQ(a.ended.size(), 1U);
}

// Guards against unbounded memory growth for a peer that does not answer.
TEST(peer_mesh_test, queue_of_unreachable_peer_is_bounded)
{
    mesh_node a(1);
    const node_id unreachable("127.0.0.1:9");
    std::size_t accepted = 0;
    wire::config_snapshotT large;
    large.document.assign(500'000, 'x');
    while (accepted < 100 && a.mesh->send(unreachable, large))
        ++accepted;
    EXPECT_EQ(accepted, (8U << 20) / 500'000);
}

} // namespace
} // namespace carawaylink
