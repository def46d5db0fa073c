#pragma once

#include "decision_log.h"

#include "base/memory_budget.h"
#include "wire/generated/peer_state_generated.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace carawaylink::gateway {

class peer_connection;

struct peer_link_handlers {
    std::function<void(const node_id& sender, const peer::envelopeT& message)> onMessage;
    /// A connection to the peer was lost, and messages with it.
    std::function<void(const node_id& peer)> onLost;
    /// No process listens at the peer's address.
    std::function<void(const node_id& peer)> onRefused;
};

/// Ordered messages to and from other nodes over TCP. A connection is dialed when there is something to send, and is used in both
/// directions. What a lost connection still held is not sent again. Runs on one event loop.
class peer_links {
public:
    /// memory: counts messages that are incomplete or not written yet; must outlive the connections.
    peer_links(
        boost::asio::io_context& context, node_id self, decision_log& log, peer_link_handlers handlers, memory_budget* memory = nullptr);
    ~peer_links();

    /// Throws error(unavailable) if the address is in use.
    void listen();
    void send(const node_id& peer, peer::envelopeT message);
    void send(std::span<const node_id> peers, peer::envelopeT message);
    /// Closes the connection to a peer that does not respond; the next message dials a new one.
    void drop(const node_id& peer);
    std::size_t connections() const { return m_connections.size(); }

private:
    friend class peer_connection;
    enum class close_reason {
        /// An established connection was lost.
        lost,
        /// No connection could be established.
        unreachable,
        /// No process listens at the peer's address.
        refused,
    };

    void accept();
    void sendFrame(const node_id& peer, const std::shared_ptr<const std::string>& frame);
    void dial(const node_id& peer, std::shared_ptr<const std::string> firstFrame);
    // Called by connections.
    void onIdentified(const node_id& peer, const std::shared_ptr<peer_connection>& connection);
    void onClosed(const node_id& peer, const peer_connection* connection, close_reason reason);

    boost::asio::io_context& m_context;
    node_id m_self;
    decision_log& m_log;
    peer_link_handlers m_handlers;
    memory_budget* m_memory;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<node_id, std::shared_ptr<peer_connection>> m_connections;
    std::map<node_id, monotonic_time> m_nextDialAt;
    /// Expires with this object, before the connections that the event loop still holds.
    std::shared_ptr<peer_links*> m_alive;
};

} // namespace carawaylink::gateway
