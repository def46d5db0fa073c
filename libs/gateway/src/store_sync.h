#pragma once

#include "configuration_transfer.h"
#include "decision_log.h"
#include "endpoint_registry.h"
#include "fleet_members.h"
#include "gateway/gateway_node.h"
#include "gateway/protocol_codec.h"
#include "http/client.h"
#include "store_follower.h"
#include "store_readers.h"
#include "wire/generated/peer_state_generated.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace carawaylink::gateway {

/// Keeps this node's copy of what the store holds: configuration, endpoints and addresses of nodes. Two nodes read the endpoints for all
/// and pass on the changes; a node without recent news reads them itself, and one that cannot reach the store asks its peers for copies.
/// Runs on one event loop.
class store_sync {
public:
    struct handlers {
        /// Returns whether the configuration is newer than the one in force.
        std::function<bool(routing::fleet_configuration)> onConfiguration;
        std::function<void(const std::map<discovery::replica_id, discovery::endpoint_record>&)> onEndpoints;
        std::function<void(const std::set<node_id>&)> onNodes;
        std::function<void(const std::vector<store_record>&)> onQuarantine;
        /// The store came back from an older copy, which holds these records of the quarantine.
        std::function<void(const std::vector<store_record>&)> onQuarantineLost;
        /// Teams whose usage before the start of this process was not even.
        std::function<void(const std::vector<store_record>&)> onQuotaMarks;
        /// Base versions of the services as of a read that began then.
        std::function<void(const std::map<service_id, std::string>& bases, monotonic_time asOf)> onStreamBases
            = [](const std::map<service_id, std::string>&, monotonic_time) {};
        /// The store has come back from an older copy.
        std::function<void()> onHistoryChanged = [] {};
        std::function<void(std::span<const node_id>, peer::envelopeT)> send;
        std::function<config_version()> version;
        /// An order of a roll-out, or its withdrawal; also older ones again.
        std::function<void(const rollout::order&)> onOrder = [](const rollout::order&) {};
        /// The newest status of a service as of a read that began then.
        std::function<void(const service_status&)> onStatus = [](const service_status&) {};
        /// Rules that another node passes on, and those to pass on.
        std::function<void(const peer::rollout_rulesT&)> onRules = [](const peer::rollout_rulesT&) {};
        std::function<std::vector<peer::rollout_rulesT>()> rules = [] { return std::vector<peer::rollout_rulesT> {}; };
        /// Whether this node decides on an order, and whether any order is undecided.
        std::function<bool()> decides = [] { return false; };
        std::function<bool()> hasOpenOrders = [] { return false; };
    };
    /// How far the statuses of roll-outs are known.
    struct status_position {
        bool isLoaded = false;
        std::uint64_t history = 0;
        std::uint64_t end = 0;
        /// Start of the last read that succeeded.
        monotonic_time asOf {};
    };

    store_sync(boost::asio::io_context& context, const gateway_settings& settings, const protocol_codec& codec, decision_log& log,
        const fleet_members& members, handlers callbacks);

    void start();
    /// Writes a record, until the store has accepted it.
    void publish(store_topic topic, const std::string& key, const std::string& value);
    /// Appends a status if the log ends there. nullopt: the result is unknown.
    void appendStatus(const service_status& status, std::uint64_t at, const route_name_source& routeName,
        std::function<void(std::optional<append_result>)> onDone);
    status_position statusPosition() const;
    /// Reads the statuses now.
    void readStatus();
    /// Writes the base version of a service if no other node has written one since the last read.
    void writeStreamBase(const service_id& service, const std::string& version, std::function<void()> onDone);
    /// Reads the base versions now.
    void readStreamBases();
    /// Adjusts the reads to what the peers deliver; call every few tens of milliseconds.
    void tick(monotonic_time now);
    void receive(const node_id& sender, const peer::store_updateT& update);
    void receive(const node_id& sender, const peer::copy_requestT& request);
    void receive(const node_id& sender, const peer::store_copyT& copy);

    bool isLoaded() const { return m_endpoints.isLoaded(); }
    bool reachesStore() const;

private:
    /// A node whose endpoints are known as of longer ago than this reads them itself. Well below the time within which a leaving endpoint
    /// must stop receiving requests.
    static constexpr auto maxEndpointAge = std::chrono::milliseconds(1000);
    static constexpr auto copyRequestInterval = std::chrono::milliseconds(400);

    void follow();
    /// Appends a record if the topic's log ends there. nullopt: the result is unknown.
    void append(store_topic topic, const store_record& record, std::uint64_t at, std::function<void(std::optional<append_result>)> onDone);
    /// The followers of all topics; those that do not exist yet are null.
    std::array<std::shared_ptr<store_follower>, 7> followers() const
    {
        return { m_configurationFollower, m_endpointFollower, m_nodeFollower, m_quarantineFollower, m_quotaFollower, m_statusFollower,
            m_baseFollower };
    }
    /// Where a record of the configuration came from.
    enum class configuration_source { read, copy };
    static constexpr auto configurationSourceNames = enumTable<configuration_source>({
        { configuration_source::read, "read" },
        { configuration_source::copy, "copy" },
    });
    /// peer: the sender of a copy, or this node.
    bool applyConfiguration(const store_record& record, configuration_source source, const node_id& peer);
    void onEndpointSnapshot(const std::vector<store_record>& records);
    void onEndpointRecords(const std::vector<store_record>& records);
    void onOperatorRecord(const store_record& record);
    void onStatusRecords(const std::vector<store_record>& records);
    void onStreamBaseRecords(const std::vector<store_record>& records);
    /// Tells of the base versions after each read, also of one that brought nothing.
    void reportStreamBases();
    void onNodeRecords(const std::vector<store_record>& records);
    void onNodeSnapshot(const std::vector<store_record>& records);
    void onQuarantineSnapshot(const std::vector<store_record>& records);
    /// The store has come back from an older copy, as a read or a peer tells.
    void onHistoryChanged(std::uint64_t history);
    /// The store answers one follower again; the others need not wait for their turn.
    void retryFailedReads();
    void publishSelf();
    log_position endpointPosition() const { return m_endpointFollower->position(); }
    void onEndpointsChanged();
    void applyEndpoints();
    void adjustReadTiming(monotonic_time now);
    /// Reads a configuration anew that a peer has mentioned and the read in progress does not bring.
    void readMissingConfiguration(monotonic_time now);
    bool missesConfiguration(monotonic_time now) const;
    /// Time within which the store answers the reads of all nodes that wait for a configuration of this size.
    duration configurationReadTime(std::size_t bytes) const;
    void sendUpdate(monotonic_time now);
    void relay(peer::store_updateT update);
    /// partBytes: of a configuration that may be sent at once.
    void requestCopy(std::span<const node_id> sources, std::string_view reason, std::uint32_t partBytes, monotonic_time now);
    /// Whether peers have to be asked for a configuration that the store does not bring.
    bool needsConfigurationFromPeers(monotonic_time now) const;
    void receiveConfiguration(const node_id& sender, const peer::store_copyT& copy, monotonic_time now);
    void fillConfiguration(peer::store_copyT& copy, const peer::copy_requestT& request) const;
    /// Asks random peers for what this node cannot read from the store.
    void requestCopyFromAny(monotonic_time now);
    /// Called for an update before this node has the endpoints: asks its sender for them.
    void requestFirstCopy(const node_id& sender, const log_position& position, monotonic_time asOf, monotonic_time now);
    bool hasEndpoints() const { return m_endpoints.isLoaded() && m_endpointFollower->isLoaded(); }
    /// Whether peers may take the endpoints from this node.
    bool hasCurrentEndpoints(monotonic_time now) const;
    void answer(const node_id& sender, const peer::copy_requestT& request, monotonic_time now);
    /// Answers the requests that arrived before this node had the endpoints.
    void answerWaiting();
    void applyRules(const std::vector<std::unique_ptr<peer::rollout_rulesT>>& rules);

    boost::asio::io_context& m_context;
    const gateway_settings& m_settings;
    const protocol_codec& m_codec;
    decision_log& m_log;
    const fleet_members& m_members;
    handlers m_handlers;
    http_client m_client;
    random_source m_random;
    node_id m_self;
    /// Identifies this process in its updates.
    std::uint64_t m_run;
    std::shared_ptr<store_follower> m_configurationFollower;
    std::shared_ptr<store_follower> m_endpointFollower;
    std::shared_ptr<store_follower> m_nodeFollower;
    std::shared_ptr<store_follower> m_quarantineFollower;
    std::shared_ptr<store_follower> m_quotaFollower;
    /// Only where orders of roll-outs are in force.
    std::shared_ptr<store_follower> m_statusFollower;
    std::shared_ptr<store_follower> m_baseFollower;
    std::map<service_id, std::string> m_streamBases;
    monotonic_time m_streamBasesAsOf {};
    endpoint_registry m_endpoints;
    store_readers m_readers;
    store_record m_configurationRecord;
    configuration_transfer m_transfer;
    std::set<node_id> m_listed;
    bool m_isReader = false;
    bool m_hasNodeSnapshot = false;
    bool m_hasQuarantineSnapshot = false;
    /// Latest history of the store that any follower or peer has seen.
    std::uint64_t m_history = 0;
    std::uint64_t m_updateSequence = 0;
    /// Offsets that this node had reached at its last updates.
    std::deque<std::pair<monotonic_time, std::uint64_t>> m_updateOffsets;
    monotonic_time m_lastUpdateAt {};
    monotonic_time m_lastCopyRequestAt {};
    monotonic_time m_lastFirstCopyRequestAt {};
    /// When the last update of a reader arrived.
    monotonic_time m_updateReceivedAt {};
    /// Time as of which the endpoints are known through updates.
    monotonic_time m_updatedAsOf {};
    /// Position of the last update that arrived before this node had the endpoints, and the time as of which it was read.
    log_position m_awaitedPosition;
    monotonic_time m_awaitedAsOf {};
    /// Nodes to which this node relayed the last update before it had the endpoints, and those of them that asked for a copy since.
    std::vector<node_id> m_relayedUnloaded;
    std::map<node_id, std::pair<monotonic_time, peer::copy_requestT>> m_waiting;
    /// Newest configuration that a peer mentioned, and when it was first mentioned.
    config_version m_mentionedVersion;
    monotonic_time m_mentionedAt {};
    std::size_t m_mentionedBytes = 0;
};

} // namespace carawaylink::gateway
