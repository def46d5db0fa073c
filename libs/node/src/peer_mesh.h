#pragma once

#include "base/ids.h"
#include "mesh/traffic_counters.h"
#include "ticket/ticket.h"
#include "wire/frame.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace carawaylink {

/// Identity and attributes that a peer announces in its hello.
struct peer_identity {
    process_identity process;
    failure_domain domain;
    std::string region;
    std::string httpAddress;
};

struct peer_mesh_settings {
    std::string cluster;
    duration heartbeatInterval = std::chrono::milliseconds(250);
    /// A connection that receives no frame for this long is closed and dialed again.
    duration receiveTimeout = std::chrono::seconds(1);
    duration connectTimeout = std::chrono::milliseconds(500);
    /// Maximum delay before the next attempt after repeated failures.
    duration maxRedialDelay = std::chrono::seconds(2);
    /// Connections that carry only heartbeats for this long are closed unless keepConnected() names the peer.
    duration idleTimeout = std::chrono::seconds(5);
    std::size_t maxQueuedBytes = 8U << 20;
    std::vector<key_ring::key> keys;
};

struct peer_mesh_handlers {
    std::function<void(const peer_identity&, wire::envelopeT&)> onMessage;
    /// An outgoing connection is ready; messages sent over the previous one may have been lost.
    std::function<void(const peer_identity&)> onConnected;
    /// The peer's process has ended: its connection was reset and a new one refused, or another process answered at its address.
    std::function<void(const process_identity&)> onProcessEnded;
    /// Builds the content of the next heartbeat.
    std::function<wire::heartbeatT()> makeHeartbeat;
};

/// Authenticated TCP connections to other nodes. Each node sends on the connection that it dialed, so that two nodes that dial each other
/// at the same time need no tie-break. Runs on one event loop; all calls must be made on its thread.
class peer_mesh {
public:
    peer_mesh(boost::asio::io_context& context, peer_identity self, peer_mesh_settings settings, peer_mesh_handlers handlers);
    ~peer_mesh();

    /// Listens on "ip:port" and returns the bound address. Throws error(unavailable).
    std::string listen(const std::string& address);
    void setSelf(const peer_identity& self);
    /// Dials these peers and keeps their connections open when idle.
    void keepConnected(const std::set<node_id>& peers);
    /// Closes the connection to a peer that has ended and discards its queued frames.
    void dropPeer(const node_id& peer);
    /// Sends a frame, dialing the peer first if necessary. Returns false if the peer's queue is full and the frame was dropped.
    bool send(const node_id& peer, wire::message kind, wire::frame_bytes frame);

    template <typename Body> bool send(const node_id& peer, Body body)
    {
        return send(peer, wire::messageUnionTraits<Body>::enum_value, wire::encodeFrame(std::move(body)));
    }

    std::size_t connections() const;
    const traffic_counters& sent() const;
    const traffic_counters& received() const;

    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace carawaylink
