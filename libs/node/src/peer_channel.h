#pragma once

#include "base/enum_table.h"
#include "peer_mesh.h"

#include <boost/asio.hpp>
#include <deque>

namespace carawaylink {

/// Reason why a channel was closed.
enum class channel_end {
    reset,
    silent,
    protocol,
    closed,
};

inline constexpr auto channelEndNames = enumTable<channel_end>({
    { channel_end::reset, "reset" },
    { channel_end::silent, "silent" },
    { channel_end::protocol, "protocol" },
    { channel_end::closed, "closed" },
});

/// One TCP connection between two nodes: mutual handshake, frames and heartbeats.
class peer_channel : public std::enable_shared_from_this<peer_channel> {
public:
    struct channel_context {
        const peer_identity* self = nullptr;
        const peer_mesh_settings* settings = nullptr;
        traffic_counters* sent = nullptr;
        traffic_counters* received = nullptr;
        std::function<void(peer_channel&)> onReady;
        std::function<void(peer_channel&, wire::envelopeT&)> onMessage;
        std::function<void(peer_channel&, channel_end)> onEnd;
    };

    peer_channel(boost::asio::ip::tcp::socket socket, channel_context context, std::uint64_t nonce);

    void start();
    void send(wire::message kind, wire::frame_bytes frame);
    void close(channel_end reason);
    /// Closes the channel after the receive timeout and sends a heartbeat when one is due.
    void checkTimeouts(monotonic_time now, const std::function<wire::heartbeatT()>& makeHeartbeat);
    /// Restarts the receive timeout, after a pause of this process.
    void resetReceiveTimeout(monotonic_time now) { m_lastReceived = now; }

    bool ready() const { return m_proofSent && m_proofReceived; }
    bool ended() const { return m_ended; }
    const peer_identity& peer() const { return m_peer; }
    std::size_t queuedBytes() const { return m_queuedBytes; }
    monotonic_time lastActivity() const { return m_lastActivity; }

private:
    void read();
    void handle(wire::envelopeT& envelope);
    void handleHello(const wire::helloT& hello);
    void handleProof(const wire::hello_proofT& proof);
    void write();
    std::string proofInput(
        const process_identity& sender, const process_identity& receiver, std::uint64_t senderNonce, std::uint64_t receiverNonce) const;

    boost::asio::ip::tcp::socket m_socket;
    channel_context m_context;
    std::uint64_t m_nonce;
    std::uint64_t m_peerNonce = 0;
    peer_identity m_peer;
    wire::frame_decoder m_decoder;
    std::array<std::uint8_t, 16384> m_input {};
    std::deque<wire::frame_bytes> m_queue;
    std::size_t m_queuedBytes = 0;
    std::vector<wire::frame_bytes> m_writing;
    monotonic_time m_lastReceived;
    monotonic_time m_lastSent;
    monotonic_time m_lastActivity;
    bool m_helloReceived = false;
    bool m_proofSent = false;
    bool m_proofReceived = false;
    bool m_ended = false;
};

} // namespace carawaylink
