#pragma once

#include "wire/generated/messages_generated.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawaylink::wire {

/// Version of the protocol between nodes; peers with another version are refused at hello.
inline constexpr std::uint32_t protocolVersion = 1;
/// Largest frame, in bytes, without its length prefix; a larger one ends the connection.
inline constexpr std::size_t maxFrameBytes = 1U << 20;
/// Bytes of the little-endian length prefix.
inline constexpr std::size_t frameHeaderBytes = 4;

using frame_bytes = std::vector<std::uint8_t>;

/// Encodes one message as a whole frame with its length prefix. Body is the object type of a member of the union
/// message, for example slot_requestT. Throws error(limit_exceeded) above maxFrameBytes.
template <typename Body> frame_bytes encodeFrame(Body body);

/// Encodes a verified envelope as a whole frame.
frame_bytes encodeEnvelope(const envelopeT& envelope);

/// Splits a byte stream into envelopes. Every frame is verified before it is unpacked.
///
///     decoder.append(received);
///     while (auto envelope = decoder.next()) handle(*envelope);
class frame_decoder {
public:
    void append(std::span<const std::uint8_t> bytes);
    /// Returns the next whole envelope, or nothing until more bytes arrive. Throws error(invalid_message) for a frame that is
    /// empty, larger than maxFrameBytes, malformed or without a body; the connection must then be closed.
    std::optional<envelopeT> next();

private:
    std::vector<std::uint8_t> m_buffer;
    std::size_t m_consumed = 0;
};

/// Encodes one datagram of the failure detector.
frame_bytes encodePacket(const membership_packetT& packet);
/// Decodes one datagram; returns nothing where it is malformed.
std::optional<membership_packetT> decodePacket(std::span<const std::uint8_t> bytes);

template <typename Body> frame_bytes encodeFrame(Body body)
{
    envelopeT envelope;
    envelope.body.Set(std::move(body));
    return encodeEnvelope(envelope);
}

} // namespace carawaylink::wire
