#pragma once

#include "base/ids.h"

#include <cstddef>
#include <memory>
#include <string>

namespace carawaylink::bench {

/// State of the path from one node to another.
struct link_state {
    /// Connections are closed and refused, datagrams are dropped.
    bool blocked = false;
    /// Added to every block of bytes and every datagram.
    duration delay {};
};

/// TCP and UDP relay in front of nodes, on a thread of its own. A node that advertises the address of the relay is reached by its
/// peers only through it. The sending node is known from the first frame of a connection (hello) and from the sender of a datagram.
/// While a node refuses connections, so does its relay, since peers take a refusal as the sign that the process is gone.
class relay {
public:
    relay();
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Listens on a free TCP and UDP port of the ip for the node that binds to target. Returns the address to advertise.
    std::string addNode(const std::string& ip, const std::string& target);
    /// Changes the path between two nodes, named by their advertised addresses.
    void setLink(const std::string& from, const std::string& to, link_state state);
    /// Bytes that go from one node to the other on connections open now vanish from here on; new connections work.
    /// Returns the number of connections that are swallowed for the first time.
    std::size_t swallow(const std::string& from, const std::string& to);
    /// Open connections of which at least one direction is swallowed.
    std::size_t swallowedConnections() const;
    /// Open connections whose sending node is known.
    std::size_t connections() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// An address with a port of the ip that is free for TCP and UDP now. An ip other than 127.0.0.1 keeps the port clear of the
/// ports that outgoing connections take.
std::string freeAddress(const std::string& ip);

} // namespace carawaylink::bench
