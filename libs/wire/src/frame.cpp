#include "wire/frame.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <string>

namespace carawaylink::wire {

namespace {

// A hostile frame may nest tables to exhaust the verifier's stack; our messages nest four deep.
constexpr flatbuffers::uoffset_t maxTableDepth = 16;
constexpr flatbuffers::uoffset_t maxTables = 200000;

// The verifier checks the alignment of a vector's length only, but elements of 8 bytes are read in place too.
bool isAligned(const slot_request* request)
{
    if (!request || !request->prefix_blocks())
        return true;
    return reinterpret_cast<std::uintptr_t>(request->prefix_blocks()->Data()) % alignof(std::uint64_t) == 0;
}

bool isAligned(const pool_sync& sync)
{
    const bool waiting
        = !sync.waiting() || std::ranges::all_of(*sync.waiting(), [](const slot_request* request) { return isAligned(request); });
    return waiting && (!sync.outstanding() || std::ranges::all_of(*sync.outstanding(), [](const outstanding_slot* slot) {
        return isAligned(slot->request());
    }));
}

bool isAligned(const envelope& root)
{
    if (const auto* request = root.body_as_slot_request())
        return isAligned(request);
    const auto* sync = root.body_as_pool_sync();
    return !sync || isAligned(*sync);
}

std::uint32_t readLength(const std::uint8_t* bytes)
{
    return static_cast<std::uint32_t>(bytes[0]) | static_cast<std::uint32_t>(bytes[1]) << 8 | static_cast<std::uint32_t>(bytes[2]) << 16
        | static_cast<std::uint32_t>(bytes[3]) << 24;
}

} // namespace

frame_bytes encodeEnvelope(const envelopeT& envelope)
{
    flatbuffers::FlatBufferBuilder builder(512);
    builder.Finish(envelope::Pack(builder, &envelope));
    const auto size = builder.GetSize();
    if (size > maxFrameBytes)
        throw error(error_kind::limit_exceeded, "message of " + std::to_string(size) + " bytes is above the frame limit",
            "split the message into several frames");
    frame_bytes frame(frameHeaderBytes + size);
    for (std::size_t i = 0; i < frameHeaderBytes; ++i)
        frame[i] = static_cast<std::uint8_t>(size >> (8 * i));
    std::copy_n(builder.GetBufferPointer(), size, frame.begin() + frameHeaderBytes);
    return frame;
}

void frame_decoder::append(std::span<const std::uint8_t> bytes)
{
    m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed));
    m_consumed = 0;
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::optional<envelopeT> frame_decoder::next()
{
    const auto available = m_buffer.size() - m_consumed;
    if (available < frameHeaderBytes)
        return std::nullopt;
    const std::size_t size = readLength(m_buffer.data() + m_consumed);
    if (size == 0 || size > maxFrameBytes)
        throw error(error_kind::invalid_message, "frame length " + std::to_string(size) + " is outside 1.." + std::to_string(maxFrameBytes),
            "close the connection and check that the peer speaks protocol version " + std::to_string(protocolVersion));
    if (available < frameHeaderBytes + size)
        return std::nullopt;
    // FlatBuffers reads scalars in place, so the frame is copied to aligned storage first.
    const std::vector<std::uint8_t> frame(m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed + frameHeaderBytes),
        m_buffer.begin() + static_cast<std::ptrdiff_t>(m_consumed + frameHeaderBytes + size));
    flatbuffers::Verifier verifier(frame.data(), frame.size(), maxTableDepth, maxTables);
    const auto* root = VerifyenvelopeBuffer(verifier) ? Getenvelope(frame.data()) : nullptr;
    if (!root || root->body_type() == message::NONE || !root->body() || !isAligned(*root))
        throw error(error_kind::invalid_message, "frame does not hold a valid envelope",
            "close the connection and check that the peer speaks protocol version " + std::to_string(protocolVersion));
    m_consumed += frameHeaderBytes + size;
    envelopeT envelope;
    root->UnPackTo(&envelope);
    return envelope;
}

frame_bytes encodePacket(const membership_packetT& packet)
{
    flatbuffers::FlatBufferBuilder builder(512);
    builder.Finish(membership_packet::Pack(builder, &packet));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

std::optional<membership_packetT> decodePacket(std::span<const std::uint8_t> bytes)
{
    const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
    flatbuffers::Verifier verifier(aligned.data(), aligned.size(), maxTableDepth, maxTables);
    if (aligned.empty() || !verifier.VerifyBuffer<membership_packet>(nullptr))
        return std::nullopt;
    membership_packetT packet;
    flatbuffers::GetRoot<membership_packet>(aligned.data())->UnPackTo(&packet);
    return packet;
}

} // namespace carawaylink::wire
