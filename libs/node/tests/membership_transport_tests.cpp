#include "event_loop.h"
#include "http/message.h"
#include "mesh/membership_transport.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>

namespace carawaylink {
namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

class membership_transport_test : public testing::Test {
protected:
    struct member {
        member(asio::io_context& context, std::uint64_t run, const std::string& cluster, const std::string& secret)
            : port(context, { asio::ip::make_address("127.0.0.1"), 0 })
            , transport(context, cluster, { { "k", secret } }, [](const member_changed&) {})
        {
            member_update self;
            self.node = node_id("127.0.0.1:" + std::to_string(port.local_endpoint().port()));
            self.run = incarnation(run);
            self.domain = failure_domain("d");
            self.region = "r";
            self.httpAddress = "127.0.0.1:1";
            transport.start(self.node.value, self, {});
        }
        const node_id& node() const { return transport.self().node; }
        std::uint64_t received() const
        {
            std::uint64_t total = 0;
            for (std::size_t kind = 0; kind <= static_cast<std::size_t>(packet_kind::join_answer); ++kind)
                total += transport.received().at(kind).messages;
            return total;
        }

        /// Reserves the port number for the datagrams, as the daemon does.
        asio::ip::tcp::acceptor port;
        membership_transport transport;
    };

    std::string nextDatagram()
    {
        std::string bytes;
        runUntil(context, [&] {
            std::array<char, 2000> input {};
            boost::system::error_code status;
            udp::endpoint sender;
            const auto size = relay.receive_from(asio::buffer(input), sender, 0, status);
            if (!status)
                bytes.assign(input.data(), size);
            return !bytes.empty();
        });
        return bytes;
    }

    void sendTo(const node_id& to, const std::string& bytes)
    {
        const auto parsed = parseAddress(to.value);
        relay.send_to(asio::buffer(bytes), { asio::ip::make_address(parsed.ip), parsed.port });
    }

    asio::io_context context { 1 };
    udp::socket relay { context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0) };
};

// Guards against a modified datagram, or one sent without the cluster key, that changes the member list.
TEST_F(membership_transport_test, altered_datagrams_are_ignored)
{
    relay.non_blocking(true);
    const std::string secret = "secret-of-the-test-cluster";
    member a(context, 1, "test", secret);
    member b(context, 2, "test", secret);
    member foreign(context, 3, "test", "another-secret-of-a-cluster");
    member otherCluster(context, 4, "other", secret);
    const node_id relayNode("127.0.0.1:" + std::to_string(relay.local_endpoint().port()));

    foreign.transport.addSeeds({ a.node() });
    otherCluster.transport.addSeeds({ a.node() });
    b.transport.addSeeds({ relayNode });
    const auto valid = nextDatagram();
    for (std::size_t position = 0; position < valid.size(); ++position) {
        auto altered = valid;
        altered[position] = static_cast<char>(altered[position] ^ 1);
        sendTo(a.node(), altered);
        sendTo(a.node(), valid.substr(0, position));
        context.restart();
        context.poll();
    }
    // All datagrams sent before the valid one have been processed by the time it takes effect.
    EXPECT_EQ(a.received(), 0U);
    EXPECT_TRUE(a.transport.members().empty());
    sendTo(a.node(), valid);
    runUntil(context, [&] { return !a.transport.members().empty(); });
    const auto members = a.transport.members();
    ASSERT_EQ(members.size(), 1U);
    EXPECT_EQ(members.front().node, b.node());
}

} // namespace
} // namespace carawaylink
