#include "membership/packet_size.h"

#include "wire/generated/messages_generated.h"

#include <gtest/gtest.h>

namespace carawaylink {
namespace {

member_update updateWith(std::size_t number)
{
    member_update update;
    update.node = node_id("10.20.130." + std::to_string(number) + ":7400");
    update.run = incarnation(1'764'800'000'000'000 + number);
    update.refutation = number % 3 == 0 ? 0 : 1;
    update.state = static_cast<member_state>(number % 3);
    update.domain = failure_domain(std::string(number % 12 + 1, 'd'));
    update.region = std::string(number % 5, 'r');
    update.httpAddress = "10.20.130." + std::to_string(number) + ":8080";
    update.draining = number % 4 == 0;
    update.config = config_version(number % 2);
    return update;
}

template <typename Wire> std::unique_ptr<Wire> toWire(const member_update& update)
{
    auto out = std::make_unique<Wire>();
    out->node = update.node.value;
    out->incarnation = update.run.value;
    out->refutation = update.refutation;
    out->state = static_cast<decltype(out->state)>(update.state);
    out->failure_domain = update.domain.value;
    out->region = update.region;
    out->http_address = update.httpAddress;
    out->draining = update.draining;
    out->config_version = update.config.value;
    return out;
}

class packet_size_test : public testing::Test { };

// Guards against datagrams above the size limit because the estimate misses part of the encoding.
TEST_F(packet_size_test, estimate_is_an_upper_bound_of_the_encoded_size)
{
    for (std::size_t count = 0; count <= 8; ++count) {
        membership_packet packet { packet_kind::ping_request, 77, updateWith(200), node_id("10.20.130.7:7400"), {} };
        for (std::size_t i = 0; i < count; ++i)
            packet.updates.push_back(updateWith(100 + i));

        wire::membership_packetT out;
        out.cluster = std::string(maxClusterNameBytes, 'c');
        out.kind = wire::membership_kind::ping_request;
        out.sequence = packet.sequence;
        out.sender = toWire<wire::member_updateT>(packet.sender);
        out.target = packet.target.value;
        for (const auto& update : packet.updates)
            out.updates.push_back(toWire<wire::member_updateT>(update));
        flatbuffers::FlatBufferBuilder builder;
        builder.Finish(wire::membership_packet::Pack(builder, &out));
        // The transport prepends a message authentication code to the packet.
        constexpr std::size_t macBytes = 16;
        const auto actual = macBytes + builder.GetSize() + datagramHeaderBytes;
        EXPECT_GE(datagramSize(packet), actual) << count;
        // A much larger estimate would waste room for updates.
        EXPECT_LE(datagramSize(packet), actual + 160) << count;
    }
}

} // namespace
} // namespace carawaylink
