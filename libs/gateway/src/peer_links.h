#pragma once

#include "decision_log.h"
#include "wire/generated/peer_state_generated.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace carawaylink::gateway {

class outgoing_link;

/// Sends this node's state to each known peer over its own connection, and receives the peers' messages. Unsent state on a slow
/// connection is replaced by newer state.
class peer_links {
public:
    using handler = std::function<void(const peer::envelopeT&)>;

    peer_links(boost::asio::io_context& context, std::string ownAddress, decision_log& log, handler onMessage);
    ~peer_links();

    /// Throws error(unavailable) if the address is in use.
    void listen();
    /// Connects to a peer; no effect if the address is already known or is this node's own.
    void add(const std::string& address);
    /// Sends to all known peers.
    void broadcast(const peer::envelopeT& message);
    void send(const std::string& address, const peer::envelopeT& message);

private:
    void accept();

    boost::asio::io_context& m_context;
    std::string m_ownAddress;
    decision_log& m_log;
    handler m_onMessage;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, std::shared_ptr<outgoing_link>> m_links;
};

} // namespace carawaylink::gateway
