#include "config_follower.h"
#include "event_loop.h"
#include "standins/log_server.h"

#include <boost/asio/ip/tcp.hpp>

namespace carawaylink {
namespace {

using namespace std::chrono_literals;

std::string document(int deadline)
{
    return "tiers:\n  - level: 0\n    name: urgent\n    deadline_ms: " + std::to_string(deadline)
        + "\nteams:\n  - name: t\n    key_sha256: [539265c622b930cac661c7f7c55feb3c2fa5720432a18aea23fe55d3e35b78da]\n"
          "    default_tier: 0\nservices:\n  - name: s\n    kind: plain\n";
}

/// A configuration follower with its own mesh.
class follower_node {
public:
    follower_node(boost::asio::io_context& context, std::uint64_t run, const std::string& logAddress)
        : mesh(context, identity(run), settings(), handlers())
        , address(mesh.listen("127.0.0.1:0"))
        , follower(context, address, { .logAddress = logAddress, .pollInterval = 30ms, .snapshotInterval = 1h }, mesh, record,
              [this](const configuration_fold& fold) { versions.push_back(fold.version().value); })
    {
        auto self = identity(run);
        self.process.node = address;
        mesh.setSelf(self);
    }

    static peer_identity identity(std::uint64_t run) { return { { node_id("x"), incarnation(run) }, failure_domain("d"), "r", "" }; }
    static peer_mesh_settings settings()
    {
        peer_mesh_settings result;
        result.cluster = "test";
        result.keys = { { "k", "secret-of-the-test-cluster" } };
        return result;
    }
    peer_mesh_handlers handlers()
    {
        peer_mesh_handlers result;
        result.onMessage = [this](const peer_identity& from, wire::envelopeT& envelope) {
            if (const auto* request = envelope.body.Asconfig_request())
                follower.receive(from, *request);
            else if (const auto* snapshot = envelope.body.Asconfig_snapshot())
                follower.receive(from, *snapshot);
        };
        result.makeHeartbeat = [] { return wire::heartbeatT {}; };
        return result;
    }
    void setKnownPeer(const follower_node& other)
    {
        member_update member;
        member.node = other.address;
        member.config = other.follower.fold().version();
        follower.setMembers({ member });
    }
    std::uint64_t version() const { return follower.fold().version().value; }

    history record { "", "n", 1 };
    std::vector<std::uint64_t> versions;
    peer_mesh mesh;
    node_id address;
    config_follower follower;
};

class config_follower_test : public testing::Test {
protected:
    config_record change(const std::string& id, std::uint64_t base, int deadline)
    {
        return { id, "author", config_version(base), config_record_kind::change, document(deadline), {} };
    }
    std::optional<config_result> append(follower_node& node, const config_record& record, duration limit = 5s)
    {
        bool answered = false;
        std::optional<config_result> result;
        node.follower.append(record, limit, [&](const std::optional<config_result>& decided) {
            result = decided;
            answered = true;
        });
        runUntil(context, [&] { return answered; });
        return result;
    }
    void setFaults(const std::string& json)
    {
        EXPECT_EQ(blocking_http_client().send(logAddress, { "POST", "/faults", {}, json }, 5s).status, 200U) << json;
    }

    boost::asio::io_context context { 1 };
    log_server log { {}, std::make_shared<history_writer>("") };
    std::string logAddress = log.listen("127.0.0.1:0");
};

// Guards against an accepted change that is reported as failed, or appended twice, because the log's response was lost.
TEST_F(config_follower_test, change_with_lost_response_is_recognized_by_id)
{
    follower_node node(context, 1, logAddress);
    node.follower.start();
    setFaults(R"({"lose_answer_share":1})");
    const auto result = append(node, change("c1", 0, 1000));
    ASSERT_TRUE(result);
    EXPECT_EQ(result->outcome, config_outcome::accepted);
    setFaults(R"({"lose_answer_share":0})");
    const auto conflicting = append(node, change("c2", 0, 2000));
    ASSERT_TRUE(conflicting);
    EXPECT_EQ(conflicting->outcome, config_outcome::refused);
    EXPECT_EQ(node.versions, (std::vector<std::uint64_t> { 1 }));
}

// Guards against a configuration that is lost or reverted during a log outage, and against a start that depends on the log.
TEST_F(config_follower_test, log_outage_keeps_configuration_and_peers_distribute_it)
{
    follower_node first(context, 1, logAddress);
    first.follower.start();
    ASSERT_TRUE(append(first, change("c1", 0, 1000)));
    setFaults(R"({"down":true})");
    EXPECT_FALSE(append(first, change("c2", 1, 2000), 100ms));
    EXPECT_EQ(first.version(), 1U);

    follower_node late(context, 2, logAddress);
    late.setKnownPeer(first);
    late.follower.start();
    runUntil(context, [&] { return late.version() == 1; });
    EXPECT_EQ(late.follower.fold().document(), first.follower.fold().document());

    setFaults(R"({"down":false})");
    ASSERT_TRUE(append(first, change("c3", 1, 3000)));
    runUntil(context, [&] { return late.version() == 2; });
    EXPECT_EQ(late.versions, (std::vector<std::uint64_t> { 1, 2 }));
}

// Guards against a node that folds changes on top of records it never read.
TEST_F(config_follower_test, truncated_log_waits_for_state_of_peer)
{
    follower_node first(context, 1, logAddress);
    first.follower.start();
    ASSERT_TRUE(append(first, change("c1", 0, 1000)));
    ASSERT_TRUE(append(first, change("c2", 1, 2000)));
    setFaults(R"({"truncate_before":1})");

    follower_node late(context, 2, logAddress);
    late.follower.start();
    runUntil(context, [&] { return late.follower.fold().needsSnapshot(); });
    ASSERT_TRUE(append(first, change("c3", 2, 3000)));
    EXPECT_EQ(late.version(), 0U);
    // A peer that lacks a state itself must not send one.
    follower_node third(context, 3, logAddress);
    third.setKnownPeer(late);
    third.follower.start();
    late.setKnownPeer(first);
    runUntil(context, [&] { return late.version() == 3 && third.version() == 3; });
    EXPECT_EQ(late.follower.fold().document(), first.follower.fold().document());
    EXPECT_FALSE(third.follower.fold().needsSnapshot());
}

// Guards against an older or invalid state of a peer that replaces the newer one.
TEST_F(config_follower_test, older_or_invalid_peer_state_is_refused)
{
    follower_node node(context, 1, logAddress);
    node.follower.start();
    ASSERT_TRUE(append(node, change("c1", 0, 1000)));
    ASSERT_TRUE(append(node, change("c2", 1, 2000)));
    const auto before = node.follower.fold().document();
    for (const auto& [version, text] :
        { std::pair(1U, document(1000)), std::pair(9U, std::string("nonsense")), std::pair(2U, document(5)) }) {
        wire::config_snapshotT snapshot;
        snapshot.version = version;
        snapshot.next_offset = version;
        snapshot.document.assign(text.begin(), text.end());
        node.follower.receive(follower_node::identity(9), snapshot);
        EXPECT_EQ(node.version(), 2U);
        EXPECT_EQ(node.follower.fold().document(), before);
    }
}

} // namespace
} // namespace carawaylink
