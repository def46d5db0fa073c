#include "peer_channel.h"

#include "base/error.h"
#include "base/log.h"
#include "crypto/digest.h"

#include <algorithm>

namespace carawaylink {

namespace asio = boost::asio;

peer_channel::peer_channel(asio::ip::tcp::socket socket, channel_context context, std::uint64_t nonce)
    : m_socket(std::move(socket))
    , m_context(std::move(context))
    , m_nonce(nonce)
    , m_lastReceived(std::chrono::steady_clock::now())
    , m_lastSent(m_lastReceived)
    , m_lastActivity(m_lastReceived)
{
}

void peer_channel::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    wire::helloT hello;
    hello.protocol_version = wire::protocolVersion;
    hello.cluster = m_context.settings->cluster;
    hello.node = m_context.self->process.node.value;
    hello.incarnation = m_context.self->process.run.value;
    hello.failure_domain = m_context.self->domain.value;
    hello.region = m_context.self->region;
    hello.http_address = m_context.self->httpAddress;
    hello.nonce = m_nonce;
    send(wire::message::hello, wire::encodeFrame(std::move(hello)));
    read();
}

void peer_channel::send(wire::message kind, wire::frame_bytes frame)
{
    if (m_ended)
        return;
    const auto now = std::chrono::steady_clock::now();
    m_lastSent = now;
    if (kind != wire::message::heartbeat)
        m_lastActivity = now;
    m_context.sent->record(static_cast<std::size_t>(kind), frame.size());
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    write();
}

void peer_channel::close(channel_end reason)
{
    if (std::exchange(m_ended, true))
        return;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    const auto self = shared_from_this();
    if (m_context.onEnd)
        m_context.onEnd(*this, reason);
}

void peer_channel::checkTimeouts(monotonic_time now, const std::function<wire::heartbeatT()>& makeHeartbeat)
{
    if (m_ended)
        return;
    if (now - m_lastReceived > m_context.settings->receiveTimeout) {
        close(channel_end::silent);
        return;
    }
    if (ready() && now - m_lastSent >= m_context.settings->heartbeatInterval)
        send(wire::message::heartbeat, wire::encodeFrame(makeHeartbeat()));
}

void peer_channel::read()
{
    m_socket.async_read_some(asio::buffer(m_input), [self = shared_from_this()](boost::system::error_code status, std::size_t size) {
        if (self->m_ended)
            return;
        if (status) {
            self->close(channel_end::reset);
            return;
        }
        self->m_lastReceived = std::chrono::steady_clock::now();
        // Bytes are counted under kind NONE for all kinds together, messages under their own kind.
        self->m_context.received->record(static_cast<std::size_t>(wire::message::NONE), size);
        try {
            self->m_decoder.append({ self->m_input.data(), size });
            while (auto envelope = self->m_decoder.next()) {
                self->handle(*envelope);
                if (self->m_ended)
                    return;
            }
        } catch (const error& failure) {
            log_event("peer_channel_refused", log_level::warning).field("peer", self->m_peer.process.node).field("error", failure.what());
            self->close(channel_end::protocol);
            return;
        }
        self->read();
    });
}

void peer_channel::handle(wire::envelopeT& envelope)
{
    m_context.received->record(static_cast<std::size_t>(envelope.body.type), 0);
    if (const auto* hello = envelope.body.Ashello()) {
        handleHello(*hello);
    } else if (const auto* proof = envelope.body.Ashello_proof()) {
        handleProof(*proof);
    } else if (!m_proofReceived) {
        throw error(error_kind::unauthorized, "message received before the handshake was complete",
            "check that the peer belongs to this cluster and runs carawaylinkd");
    } else {
        if (envelope.body.type != wire::message::heartbeat)
            m_lastActivity = m_lastReceived;
        m_context.onMessage(*this, envelope);
    }
}

std::string peer_channel::proofInput(
    const process_identity& sender, const process_identity& receiver, std::uint64_t senderNonce, std::uint64_t receiverNonce) const
{
    std::ostringstream text;
    text << "carawaylink-hello|" << m_context.settings->cluster << '|' << sender.node << '|' << sender.run << '|' << receiver.node << '|'
         << receiver.run << '|' << senderNonce << '|' << receiverNonce;
    return text.str();
}

void peer_channel::handleHello(const wire::helloT& hello)
{
    if (std::exchange(m_helloReceived, true))
        throw error(error_kind::invalid_message, "received a second hello on one connection", "check the version of the peer");
    if (hello.protocol_version != wire::protocolVersion)
        throw error(error_kind::invalid_message, "protocol version " + std::to_string(hello.protocol_version) + " is not supported",
            "run the same version of carawaylinkd on all nodes");
    if (hello.cluster != m_context.settings->cluster)
        throw error(
            error_kind::unauthorized, "peer belongs to cluster \"" + hello.cluster + "\"", "check the setting cluster and the seeds");
    // Both sides compute their proof over text of the same form: without this check, a node's own proof could be reflected to it.
    if (node_id(hello.node) == m_context.self->process.node)
        throw error(error_kind::unauthorized, "peer announces the address of this node", "give every node its own address");
    m_peer = { { node_id(hello.node), incarnation(hello.incarnation) }, failure_domain(hello.failure_domain), hello.region,
        hello.http_address };
    m_peerNonce = hello.nonce;
    const auto& key = m_context.settings->keys.front();
    const auto mac = hmacSha256(key.secret, proofInput(m_context.self->process, m_peer.process, m_nonce, m_peerNonce));
    wire::hello_proofT proof;
    proof.key_id = key.id;
    proof.proof.assign(mac.begin(), mac.end());
    send(wire::message::hello_proof, wire::encodeFrame(std::move(proof)));
    m_proofSent = true;
}

void peer_channel::handleProof(const wire::hello_proofT& proof)
{
    const auto& keys = m_context.settings->keys;
    const auto key = std::ranges::find(keys, proof.key_id, &key_ring::key::id);
    if (!m_helloReceived || m_proofReceived || key == keys.end())
        throw error(error_kind::unauthorized, "handshake proof uses an unknown key or is out of order", "check the setting cluster_keys");
    const auto expected = hmacSha256(key->secret, proofInput(m_peer.process, m_context.self->process, m_peerNonce, m_nonce));
    if (!equalInConstantTime(asText(expected), { reinterpret_cast<const char*>(proof.proof.data()), proof.proof.size() }))
        throw error(error_kind::unauthorized, "handshake proof does not match", "check the setting cluster_keys");
    m_proofReceived = true;
    m_context.onReady(*this);
}

void peer_channel::write()
{
    if (!m_writing.empty() || m_queue.empty() || m_ended)
        return;
    constexpr std::size_t maxFramesPerWrite = 64;
    while (!m_queue.empty() && m_writing.size() < maxFramesPerWrite) {
        m_writing.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    std::vector<asio::const_buffer> buffers;
    std::ranges::transform(m_writing, std::back_inserter(buffers), [](const wire::frame_bytes& frame) { return asio::buffer(frame); });
    asio::async_write(m_socket, buffers, [self = shared_from_this()](boost::system::error_code status, std::size_t size) {
        self->m_writing.clear();
        self->m_queuedBytes -= std::min(self->m_queuedBytes, size);
        if (self->m_ended)
            return;
        if (status)
            self->close(channel_end::reset);
        else
            self->write();
    });
}

} // namespace carawaylink
