#include "gateway_test_fixture.h"
#include "peer_links.h"
#include "peer_state_table.h"

#include "http/io_threads.h"

#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <mutex>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

peer::node_reportT report(const std::string& node, std::uint64_t incarnation = 1)
{
    peer::node_reportT result;
    result.node = node;
    result.incarnation = incarnation;
    result.frontend = node + "-front";
    result.ready = true;
    result.store_reachable = true;
    return result;
}

class peer_state_table_test : public testing::Test {
protected:
    gateway_settings m_settings;
    test_codec m_codec;
    boost::asio::io_context m_context;
    http_client m_client { m_context };
    decision_log m_log { "test" };
    gateway_metrics m_metrics;
    request_dispatcher m_dispatcher { m_context, m_settings, m_codec, m_client, m_log, m_metrics };
    peer_state_table m_peerStates { "b", m_dispatcher, m_log };
    monotonic_time m_now = std::chrono::steady_clock::now();
};

TEST_F(peer_state_table_test, readyPeer_isInDirectoryUntilItTimesOutOrLeaves)
{
    // Callers must not be directed to a node that failed or is draining.
    m_peerStates.applyReport(report("a"), m_now);
    m_peerStates.refresh(700ms, m_now);
    EXPECT_EQ(m_peerStates.readyFrontends(), std::vector<std::string> { "a-front" });
    m_peerStates.refresh(700ms, m_now + 800ms);
    EXPECT_TRUE(m_peerStates.readyFrontends().empty());
    auto leaving = report("a");
    leaving.leaving = true;
    m_peerStates.applyReport(leaving, m_now + 900ms);
    EXPECT_TRUE(m_peerStates.readyFrontends().empty());
}

TEST_F(peer_state_table_test, storeReadersBefore_countsOnlyLowerPeersThatReachStore)
{
    // The two lowest nodes that reach the store read it for all. If they are lost, the next ones must take over, or draining endpoints
    // are noticed too late.
    m_peerStates.applyReport(report("a"), m_now);
    m_peerStates.applyReport(report("c"), m_now);
    m_peerStates.refresh(700ms, m_now);
    EXPECT_EQ(m_peerStates.storeReadersBefore(), 1U);
    auto withoutStore = report("a");
    withoutStore.store_reachable = false;
    m_peerStates.applyReport(withoutStore, m_now);
    EXPECT_EQ(m_peerStates.storeReadersBefore(), 0U);
    EXPECT_EQ(m_peerStates.peersWithoutStore(), std::vector<std::string> { "a" });
}

TEST_F(peer_state_table_test, latestEndpointPosition_isThatOfLivePeerThatReadLast)
{
    // A node that relies on changes that it has not received would send requests to endpoints that left.
    auto reader = report("a");
    reader.endpoints_age_ms = 100;
    reader.endpoints_offset = 60;
    reader.endpoints_changed_offset = 50;
    m_peerStates.applyReport(reader, m_now);
    auto older = report("c");
    older.endpoints_age_ms = 700;
    older.endpoints_offset = 55;
    m_peerStates.applyReport(older, m_now);
    EXPECT_EQ(m_peerStates.latestEndpointPosition(50).asOf, m_now - 100ms);
    EXPECT_EQ(m_peerStates.latestEndpointPosition(50).offset, 60U);
    // The change at offset 50 is unknown to this node.
    EXPECT_EQ(m_peerStates.latestEndpointPosition(49).asOf, m_now - 700ms);
    m_peerStates.refresh(700ms, m_now + 800ms);
    EXPECT_EQ(m_peerStates.latestEndpointPosition(50).asOf, monotonic_time {});
}

// A team with a quota of 100 units per second and a burst of 1,000.
routing::fleet_configuration limitedTeam()
{
    routing::fleet_configuration routes;
    routes.version = config_version { 1 };
    routing::team_definition team;
    team.name = team_id { "team" };
    team.ratePerSecond = 100;
    team.burst = 1000;
    routes.teams = { team };
    return routes;
}

const team_hash team = teamHash(team_id { "team" });

peer::team_usage teamUsage(double taken, float level)
{
    return { team, taken, level, 0 };
}

TEST_F(peer_state_table_test, restartedNode_adoptsRemainingQuotaFromPeers)
{
    // During a rolling restart, nodes refused requests of every team although it was below its limit (inc-ed56 of platecommons).
    m_dispatcher.setConfiguration(limitedTeam());
    EXPECT_EQ(m_dispatcher.reportUsage(true).at(team).remaining, 250);
    auto arrived = report("a");
    arrived.usage.push_back(teamUsage(0, 900));
    m_peerStates.applyReport(arrived, m_now);
    EXPECT_EQ(m_dispatcher.reportUsage(true).at(team).remaining, 900);
    auto repeated = report("a");
    repeated.usage.push_back(teamUsage(0, 1000));
    m_peerStates.applyReport(repeated, m_now);
    EXPECT_EQ(m_dispatcher.reportUsage(true).at(team).remaining, 900);
}

TEST_F(peer_state_table_test, restartedNode_ignoresUsageOfPeersBeforeItsStart)
{
    // Counting the total usage of every peer since its start would exhaust each team's quota for many seconds.
    m_dispatcher.setConfiguration(limitedTeam());
    for (const std::string peer : { "a", "c", "d" }) {
        auto arrived = report(peer);
        arrived.usage.push_back(teamUsage(1e6, 900));
        m_peerStates.applyReport(arrived, m_now);
    }
    EXPECT_EQ(m_dispatcher.reportUsage(true).at(team).remaining, 900);
    auto later = report("c");
    later.usage.push_back(teamUsage(1e6 + 300, 600));
    m_peerStates.applyReport(later, m_now + 100ms);
    EXPECT_NEAR(m_dispatcher.reportUsage(true).at(team).remaining, 600, 20);
}

TEST_F(peer_state_table_test, teamFirstReportedLate_isNotChargedForEarlierUsage)
{
    // Reports contain only teams whose usage changed, so the first one for a team may arrive long after process start.
    m_dispatcher.setConfiguration(limitedTeam());
    m_peerStates.applyReport(report("a"), m_now);
    const auto before = m_dispatcher.reportUsage(true).at(team).remaining;
    auto late = report("a");
    late.usage.push_back(teamUsage(1e6, 900));
    m_peerStates.applyReport(late, m_now + 10s);
    EXPECT_GE(m_dispatcher.reportUsage(true).at(team).remaining, before);
}

TEST_F(peer_state_table_test, peerInFirstStart_isChargedFromItsFirstReport)
{
    // Guards against usage that no other node counts after a restart.
    m_settings.isFirstStart = true;
    m_dispatcher.setConfiguration(limitedTeam());
    auto arrived = report("a");
    arrived.usage.push_back(teamUsage(300, 1500));
    m_peerStates.applyReport(arrived, m_now);
    EXPECT_NEAR(m_dispatcher.reportUsage(true).at(team).remaining, 1500, 1);
}

TEST_F(peer_state_table_test, leavingNode_countsAsReportingUntilItTerminates)
{
    // Its usage is still reported, so the others need not reserve a share for it.
    m_peerStates.setListedAddresses({ "a", "b" });
    auto leaving = report("a");
    leaving.leaving = true;
    m_peerStates.applyReport(leaving, m_now);
    m_peerStates.refresh(700ms, m_now);
    EXPECT_EQ(m_peerStates.size().live, 1U);
    EXPECT_EQ(m_peerStates.size().reporting, 2U);
    EXPECT_EQ(m_peerStates.size().possible, 2U);
    m_peerStates.refresh(700ms, m_now + 1s);
    EXPECT_EQ(m_peerStates.size().reporting, 1U);
    EXPECT_EQ(m_peerStates.size().possible, 1U);
}

TEST_F(peer_state_table_test, nodeWithoutReports_countsAsPossible)
{
    // It may serve callers behind a network partition and use the quota there.
    m_peerStates.applyReport(report("a"), m_now);
    m_peerStates.refresh(700ms, m_now + 1s);
    EXPECT_EQ(m_peerStates.size().reporting, 1U);
    EXPECT_EQ(m_peerStates.size().possible, 2U);
}

class peer_links_test : public testing::Test {
protected:
    peer_links_test()
        : m_threads(1)
    {
        // Finds a free port, because the listener's address must be known in advance.
        tcp::acceptor probe(m_threads.context(0), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        m_address = "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
        probe.close();
        run([this] {
            m_receiver = std::make_unique<peer_links>(m_threads.context(0), m_address, m_log, [this](const peer::envelopeT& message) {
                const std::lock_guard guard(m_mutex);
                if (const auto* arrived = message.body.Asnode_report())
                    m_nodes.push_back(arrived->node);
                if (const auto* copy = message.body.Asstore_copy())
                    m_nodes.push_back(copy->configuration_key.empty() ? "endpoints" : "configuration");
                m_changed.notify_all();
            });
            m_receiver->listen();
            m_sender = std::make_unique<peer_links>(m_threads.context(0), "127.0.0.1:1", m_log, [](const peer::envelopeT&) {});
        });
    }

    ~peer_links_test() override
    {
        run([this] {
            m_sender.reset();
            m_receiver.reset();
        });
        m_threads.stop();
    }

    void run(std::function<void()> work)
    {
        std::promise<void> done;
        m_threads.post(0, [&] {
            work();
            done.set_value();
        });
        done.get_future().get();
    }

    bool waitFor(const std::string& node)
    {
        std::unique_lock guard(m_mutex);
        return m_changed.wait_for(guard, 10s, [&] { return std::ranges::find(m_nodes, node) != m_nodes.end(); });
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_nodes;
    decision_log m_log { "test" };
    io_threads m_threads;
    std::string m_address;
    std::unique_ptr<peer_links> m_receiver;
    std::unique_ptr<peer_links> m_sender;
};

TEST_F(peer_links_test, burstOfReports_deliversNewestAndReplacesUnsentOnes)
{
    // Unsent reports are replaced and must not delay the newest one.
    run([this] {
        m_sender->add(m_address);
        for (int i = 0; i < 100; ++i) {
            peer::envelopeT message;
            message.body.Set(report("n" + std::to_string(i)));
            m_sender->broadcast(message);
        }
    });
    EXPECT_TRUE(waitFor("n99"));
    const std::lock_guard guard(m_mutex);
    EXPECT_LT(m_nodes.size(), 100U);
}

TEST_F(peer_links_test, endpointsAndConfigurationQueuedTogether_bothArrive)
{
    // A configuration change must not replace an unsent endpoint change.
    run([this] {
        m_sender->add(m_address);
        peer::envelopeT endpoints;
        endpoints.body.Set(peer::store_copyT {});
        m_sender->broadcast(endpoints);
        peer::store_copyT copy;
        copy.configuration_key = "key";
        peer::envelopeT configuration;
        configuration.body.Set(std::move(copy));
        m_sender->broadcast(configuration);
    });
    EXPECT_TRUE(waitFor("configuration"));
    EXPECT_TRUE(waitFor("endpoints"));
}

TEST_F(peer_links_test, invalidMessage_closesOnlyItsConnection)
{
    // Arbitrary bytes on the peer port must not affect other connections.
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(std::stoi(m_address.substr(10))) });
    boost::asio::write(socket, boost::asio::buffer(std::string("\x08\x00\x00\x00garbage!", 12)));
    char byte = 0;
    boost::system::error_code status;
    socket.read_some(boost::asio::buffer(&byte, 1), status);
    EXPECT_TRUE(status);
    run([this] {
        m_sender->add(m_address);
        peer::envelopeT message;
        message.body.Set(report("after"));
        m_sender->broadcast(message);
    });
    EXPECT_TRUE(waitFor("after"));
}

} // namespace
} // namespace carawaylink::gateway
