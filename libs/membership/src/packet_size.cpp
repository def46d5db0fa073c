#include "membership/packet_size.h"

#include <algorithm>

namespace carawaylink {
namespace {

// FlatBuffers sizes for schema/messages.fbs; a test compares them with the encoder. A string takes a 4-byte length, its text, a
// terminating zero and padding to 4 bytes; empty strings are not written.
std::size_t stringBytes(std::size_t length)
{
    return length == 0 ? 0 : 4 + (length + 1 + 3) / 4 * 4;
}

// Table of member_update: offset to its vtable 4, incarnation 8, config_version 8, refutation 4, four string offsets 16, two single bytes
// and the capacity 4, padding 8, and the offset that refers to the table 4.
constexpr std::size_t updateTableBytes = 4 + 8 + 8 + 4 + 16 + 4 + 8 + 4;
// Updates that set the same fields share a vtable of 10 fields; a packet rarely has more than 5 such layouts.
constexpr std::size_t updateVtableBytes = 4 + 2 * 10;
constexpr std::size_t maxVtables = 5;
// Root offset, table of membership_packet, its vtable, the length of the vector of updates.
constexpr std::size_t packetTableBytes = 4 + 32 + 20 + 4;
constexpr std::size_t macBytes = 16; // precedes the encoded packet

} // namespace

std::size_t encodedSize(const member_update& update)
{
    return updateTableBytes + stringBytes(update.node.value.size()) + stringBytes(update.domain.value.size())
        + stringBytes(update.region.size()) + stringBytes(update.httpAddress.size());
}

std::size_t datagramSize(const membership_packet& packet)
{
    std::size_t bytes = datagramHeaderBytes + packetTableBytes + macBytes
        + updateVtableBytes * std::min(maxVtables, 1 + packet.updates.size()) + stringBytes(maxClusterNameBytes)
        + stringBytes(packet.target.value.size()) + encodedSize(packet.sender);
    for (const auto& update : packet.updates)
        bytes += encodedSize(update);
    return bytes;
}

} // namespace carawaylink
