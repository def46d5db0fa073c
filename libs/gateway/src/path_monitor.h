#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "base/random.h"

#include <optional>
#include <set>
#include <vector>

namespace carawaylink::gateway {

/// Whether endpoints of a service can be reached from this node.
enum class path_state {
    working,
    /// Endpoints fail or are silent, and probes find out whether all of them are.
    doubtful,
    /// None can be reached from here, while another node reaches some.
    lost,
};

inline constexpr auto pathStateNames = enumTable<path_state>({
    { path_state::working, "working" },
    { path_state::doubtful, "doubtful" },
    { path_state::lost, "lost" },
});

/// Tells a node that has lost its own path to all endpoints of a service from endpoints that are down or pause. Only a node that reaches
/// none by several connections, while a peer is answered, has lost its path. Does no I/O and reads no clock.
class path_monitor {
public:
    explicit path_monitor(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void setEndpoints(std::vector<endpoint_id> addresses) { m_addresses = std::move(addresses); }

    /// An endpoint sent part of a response. isNewConnection: over one that carried no request before.
    void recordAnswer(bool isNewConnection, monotonic_time now);
    /// No connection to the endpoint could be established.
    void recordUnreachable(const endpoint_id& address);
    /// Since when requests have waited at endpoints; nullopt without such requests.
    void setWaitingSince(std::optional<monotonic_time> since) { m_waitingSince = since; }
    /// A peer has just connected to an endpoint.
    void recordPeer() { m_isPeerConnected = true; }

    /// The path to other endpoints is lost, so that this one is to be looked at too.
    void suspect() { m_isSuspected = true; }
    /// Whether it can be told from its endpoints.
    bool canLose() const { return m_addresses.size() > 1; }

    /// Endpoints to connect to now; the result of each is due with recordProbe().
    std::vector<endpoint_id> takeProbes(monotonic_time now);
    void recordProbe(bool isConnected, monotonic_time now);
    /// Whether peers should be asked now whether they can connect.
    bool takePeerQuery();
    /// Random endpoints, at most this many.
    std::vector<endpoint_id> sample(std::size_t count);

    path_state state() const { return m_state; }
    /// Failures of this node's sends may be its own.
    bool isDoubtful() const { return m_state != path_state::working; }
    std::optional<duration> answeredAgo(monotonic_time now) const;

private:
    bool isSuspicious(monotonic_time now) const;
    void beginRound(std::size_t probes, monotonic_time now);
    void endRound(monotonic_time now);
    void enter(path_state state, monotonic_time now);

    random_source m_random;
    std::vector<endpoint_id> m_addresses;
    path_state m_state = path_state::working;
    /// Endpoints that could not be reached since any was answered, and since any new connection was established.
    std::set<endpoint_id> m_unreachable;
    std::set<endpoint_id> m_unconnectable;
    std::optional<monotonic_time> m_answeredAt;
    std::optional<monotonic_time> m_waitingSince;
    monotonic_time m_nextRoundAt {};
    /// Rounds in a row without any connection, and with some.
    unsigned m_failedRounds = 0;
    unsigned m_connectedRounds = 0;
    unsigned m_pendingProbes = 0;
    unsigned m_connectedProbes = 0;
    bool m_isSuspected = false;
    bool m_needsPeers = false;
    bool m_isPeerConnected = false;
};

} // namespace carawaylink::gateway
