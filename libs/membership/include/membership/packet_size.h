#pragma once

#include "membership/failure_detector.h"

#include <cstddef>

namespace carawaylink {

/// Maximum datagram size in bytes, including IP and UDP headers; below the smallest MTU in use to avoid fragmentation.
inline constexpr std::size_t maxDatagramBytes = 1200;
/// IPv4 and UDP headers.
inline constexpr std::size_t datagramHeaderBytes = 28;
/// Longest cluster name that the estimate covers.
inline constexpr std::size_t maxClusterNameBytes = 32;
/// Maximum encoded size of an update; a longer one would leave no room for gossip.
inline constexpr std::size_t maxUpdateBytes = 400;

/// Upper bound of the encoded size of an update inside a packet.
std::size_t encodedSize(const member_update& update);

/// Upper bound of the size of a datagram with headers and MAC, for a cluster name of at most maxClusterNameBytes.
std::size_t datagramSize(const membership_packet& packet);

} // namespace carawaylink
