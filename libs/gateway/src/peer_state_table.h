#pragma once

#include "request_dispatcher.h"
#include "wire/generated/peer_state_generated.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace carawaylink::gateway {

/// Position up to which a node has read the endpoint log.
struct endpoint_log_position {
    /// The node knows all records that the store held at this time, on the clock of this process.
    monotonic_time asOf {};
    std::uint64_t offset = 0;
};

/// Unit of memory in peer reports.
inline constexpr std::int64_t tokensPerMemoryUnit = 64;

/// State of the fleet from peer reports: liveness, endpoint load and quota usage of the other nodes.
class peer_state_table {
public:
    peer_state_table(std::string ownPeerAddress, request_dispatcher& target, decision_log& log);

    void applyReport(const peer::node_reportT& report, monotonic_time now);
    /// Marks peers without a report for the given time as not live, and passes the node counts to the dispatcher.
    void refresh(duration timeout, monotonic_time now);
    /// Addresses listed in the store; shortly after process start they count as possible nodes even without a report.
    void setListedAddresses(std::set<std::string> addresses) { m_listedAddresses = std::move(addresses); }

    /// Frontend addresses of the peers that accept callers.
    std::vector<std::string> readyFrontends() const;
    std::vector<std::string> liveAddresses() const;
    /// Whether a peer has started or restarted since the last call.
    bool takeNewPeers() { return std::exchange(m_hasNewPeers, false); }
    /// Live peers that cannot reach the store.
    std::vector<std::string> peersWithoutStore() const;
    /// Number of live peers that reach the store and have a lower address than this node.
    std::size_t storeReadersBefore() const;
    /// Most recent log position among the live peers whose last endpoint change is at or below knownOffset.
    endpoint_log_position latestEndpointPosition(std::uint64_t knownOffset) const;
    config_version peerVersion(const std::string& address) const;
    std::size_t liveNodes() const { return m_size.live; }
    const fleet_size& size() const { return m_size; }

private:
    struct peer_state {
        std::uint64_t incarnation = 0;
        std::string frontend;
        bool isReady = false;
        bool isLeaving = false;
        bool isLive = false;
        bool reachesStore = true;
        config_version version;
        endpoint_log_position endpoints;
        std::uint64_t endpointsChangedOffset = 0;
        std::map<team_hash, double> usage;
        std::map<team_hash, double> reserved;
        monotonic_time lastReportAt {};
        /// Time of the first report of this incarnation.
        monotonic_time firstReportAt {};
    };
    void applyUsage(peer_state& state, const peer::node_reportT& report);
    void clearReservations(peer_state& state);

    std::string m_ownAddress;
    request_dispatcher& m_dispatcher;
    decision_log& m_log;
    std::map<std::string, peer_state> m_peers;
    std::set<std::string> m_listedAddresses;
    bool m_hasNewPeers = false;
    fleet_size m_size;
    monotonic_time m_startedAt;
};

} // namespace carawaylink::gateway
