#include "base/error.h"
#include "wire/frame.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace carawaylink::wire {
namespace {

class frames : public testing::Test {
protected:
    static frame_bytes sample()
    {
        slot_requestT request;
        request.request = std::make_unique<request_key>(7, 9);
        request.service = "rota-llm";
        request.team = "choir-1";
        request.prefix_blocks = { 1, 2, 3 };
        return encodeFrame(std::move(request));
    }
};

// Guards against a message split by the network being lost or changed.
TEST_F(frames, bytes_one_at_a_time_decode_to_the_same_message)
{
    frame_decoder decoder;
    std::optional<envelopeT> envelope;
    for (const auto byte : sample()) {
        ASSERT_FALSE(envelope);
        decoder.append({ &byte, 1 });
        envelope = decoder.next();
    }
    ASSERT_TRUE(envelope);
    const auto* request = envelope->body.Asslot_request();
    ASSERT_NE(request, nullptr);
    EXPECT_EQ(request->service, "rota-llm");
    EXPECT_EQ(request->request->sequence(), 9U);
    EXPECT_EQ(request->prefix_blocks.size(), 3U);
}

// Guards against elements of 8 bytes being read at an address that is not a multiple of 8 (found by the frame fuzzer).
TEST_F(frames, misaligned_elements_throw_invalid_message)
{
    auto bytes = sample();
    const auto* request = flatbuffers::GetRoot<envelope>(bytes.data() + frameHeaderBytes)->body_as_slot_request();
    const auto* blocks = reinterpret_cast<const std::uint8_t*>(request->prefix_blocks());
    // Moves the vector four bytes back over its alignment padding, with one element less so that it stays inside the frame.
    const auto field
        = const_cast<std::uint8_t*>(reinterpret_cast<const flatbuffers::Table*>(request)->GetAddressOf(slot_request::VT_PREFIX_BLOCKS));
    flatbuffers::WriteScalar(field, flatbuffers::ReadScalar<flatbuffers::uoffset_t>(field) + 4);
    flatbuffers::WriteScalar(const_cast<std::uint8_t*>(blocks) + 4, flatbuffers::uoffset_t(1));
    frame_decoder decoder;
    decoder.append(bytes);
    EXPECT_THROW(decoder.next(), error);
}

// Guards against a hostile length that makes the receiver buffer without bound.
TEST_F(frames, oversized_length_throws_invalid_message)
{
    frame_decoder decoder;
    const frame_bytes header { 0xff, 0xff, 0xff, 0x7f };
    decoder.append(header);
    EXPECT_THROW(decoder.next(), error);
}

// Guards against damaged frames reaching the message handlers or crashing the decoder.
RC_GTEST_FIXTURE_PROP(frames, damaged_bytes_decode_or_throw, ())
{
    auto bytes = sample();
    const auto damages = *rc::gen::container<std::vector<std::pair<std::size_t, std::uint8_t>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(frameHeaderBytes, bytes.size()), rc::gen::arbitrary<std::uint8_t>()));
    for (const auto& [position, value] : damages)
        bytes[position] = value;
    frame_decoder decoder;
    decoder.append(bytes);
    try {
        decoder.next();
    } catch (const error& failure) {
        RC_ASSERT(failure.kind() == error_kind::invalid_message);
    }
}

// Guards against a truncated datagram being taken as a statement about members.
TEST_F(frames, truncated_packet_is_refused)
{
    membership_packetT packet;
    packet.cluster = "test";
    packet.sender = std::make_unique<member_updateT>();
    packet.sender->node = "127.0.0.1:1";
    auto bytes = encodePacket(packet);
    ASSERT_TRUE(decodePacket(bytes));
    bytes.resize(bytes.size() / 2);
    EXPECT_FALSE(decodePacket(bytes));
}

} // namespace
} // namespace carawaylink::wire
