#pragma once

#include "front.h"
#include "wire/generated/peer_state_generated.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace carawaylink::gateway {

/// How far a node has read the log of the endpoints.
struct endpoint_news {
    /// The node knows all that the store had then; on the clock of this process.
    monotonic_time asOf {};
    std::uint64_t offset = 0;
};

/// Unit of memory in reports between nodes.
inline constexpr std::int64_t tokensPerMemoryUnit = 64;

/// What the other nodes report: which live, what load they put on endpoints, what they took from the quotas.
class fleet_view {
public:
    fleet_view(std::string ownPeerAddress, front& target, decision_log& log);

    void reportArrived(const peer::node_reportT& report, monotonic_time now);
    /// Forgets peers that have not reported for the given time, and tells the front how many nodes there are.
    void refresh(duration silence, monotonic_time now);
    /// Peers that the store lists count as possible nodes until the others had time to report.
    void setListed(std::set<std::string> addresses) { m_listed = std::move(addresses); }

    /// Frontend addresses of the peers that take callers.
    std::vector<std::string> readyFrontends() const;
    std::vector<std::string> liveAddresses() const;
    /// Whether a peer has come to life since the last call.
    bool takeNewPeers() { return std::exchange(m_hasNewPeers, false); }
    /// Peers that cannot reach the store.
    std::vector<std::string> withoutStore() const;
    /// Live peers before this node in the order of addresses that reach the store.
    std::size_t readersBefore() const;
    /// News of the peer that read the endpoints last, among the live ones whose changes up to the given offset are known here.
    endpoint_news newestEndpoints(std::uint64_t knownOffset) const;
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
        endpoint_news endpoints;
        std::uint64_t endpointsChangedOffset = 0;
        std::map<team_hash, double> usage;
        std::map<team_hash, double> reserved;
        monotonic_time heard {};
        /// When this run of the peer was first heard of.
        monotonic_time firstHeard {};
    };
    void applyUsage(peer_state& state, const peer::node_reportT& report);
    void dropReserved(peer_state& state);

    std::string m_ownAddress;
    front& m_front;
    decision_log& m_log;
    std::map<std::string, peer_state> m_peers;
    std::set<std::string> m_listed;
    bool m_hasNewPeers = false;
    fleet_size m_size;
    monotonic_time m_started;
};

} // namespace carawaylink::gateway
