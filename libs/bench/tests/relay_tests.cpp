#include "bench/relay.h"

#include "http/message.h"
#include "wire/frame.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <thread>

namespace carawaylink::bench {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

constexpr auto limit = std::chrono::seconds(5);
// Loopback passes a block within a fraction of this.
constexpr auto quietTime = std::chrono::milliseconds(100);

template <typename Protocol> typename Protocol::endpoint endpointOf(const std::string& address)
{
    const auto parsed = parseAddress(address);
    return { asio::ip::make_address(parsed.ip), parsed.port };
}

/// A relay in front of a node that this test plays itself.
class relay_tests : public testing::Test {
protected:
    relay_tests()
        : target(freeAddress("127.0.0.1"))
        , front(links.addNode("127.0.0.1", target))
        , acceptor(context, endpointOf<tcp>(target))
        , datagrams(context, endpointOf<udp>(target))
    {
    }

    /// Runs one asynchronous operation; returns its number of bytes, or nothing where it failed or did not end in time.
    template <typename Start> std::optional<std::size_t> await(Start start, duration time = limit)
    {
        std::optional<std::size_t> result;
        bool ended = false;
        start([&](boost::system::error_code status, std::size_t size = 0) {
            ended = true;
            if (!status)
                result = size;
        });
        context.restart();
        const auto end = std::chrono::steady_clock::now() + time;
        while (!ended && context.run_one_until(end) > 0) { }
        timedOut = !ended;
        return result;
    }

    struct pair {
        tcp::socket dialer;
        tcp::socket node;
    };

    /// A connection through the relay; its first frame has arrived.
    pair connect(const std::string& from)
    {
        pair result { tcp::socket(context), tcp::socket(context) };
        result.dialer.connect(endpointOf<tcp>(front));
        wire::helloT hello;
        hello.node = from;
        const auto frame = wire::encodeFrame(std::move(hello));
        asio::write(result.dialer, asio::buffer(frame));
        result.node = acceptor.accept();
        std::vector<std::uint8_t> received(frame.size());
        await([&](auto done) { asio::async_read(result.node, asio::buffer(received), done); });
        EXPECT_EQ(received, frame);
        return result;
    }

    /// True where a byte written to one socket arrives at the other.
    bool passes(tcp::socket& from, tcp::socket& to, duration time = limit)
    {
        asio::write(from, asio::buffer("x", 1));
        char byte = 0;
        const auto size = await([&](auto done) { asio::async_read(to, asio::buffer(&byte, 1), done); }, time);
        if (timedOut) {
            to.cancel();
            context.restart();
            context.run_for(quietTime);
        }
        return size == 1;
    }

    bool datagramPasses(const std::string& from, duration time)
    {
        wire::membership_packetT packet;
        packet.sender = std::make_unique<wire::member_updateT>();
        packet.sender->node = from;
        const auto body = wire::encodePacket(packet);
        std::vector<std::uint8_t> datagram(16);
        datagram.insert(datagram.end(), body.begin(), body.end());
        udp::socket socket(context, udp::v4());
        socket.send_to(asio::buffer(datagram), endpointOf<udp>(front));
        std::vector<std::uint8_t> received(datagram.size());
        const auto size = await([&](auto done) { datagrams.async_receive(asio::buffer(received), done); }, time);
        if (timedOut) {
            datagrams.cancel();
            context.restart();
            context.run_for(quietTime);
        }
        return size == datagram.size() && received == datagram;
    }

    relay links;
    std::string target;
    std::string front;
    asio::io_context context;
    tcp::acceptor acceptor;
    udp::socket datagrams;
    bool timedOut = false;
};

// Guards against a relay that changes or holds back what nodes say to each other.
TEST_F(relay_tests, connection_noFault_passesBothWays)
{
    auto open = connect("a");
    EXPECT_TRUE(passes(open.dialer, open.node));
    EXPECT_TRUE(passes(open.node, open.dialer));
    EXPECT_EQ(links.connections(), 1U);
    EXPECT_TRUE(datagramPasses("a", limit));
}

// Guards against a partition that leaves connections open or lets datagrams through.
TEST_F(relay_tests, link_blocked_closesAndDropsOnlyThatSender)
{
    auto blocked = connect("a");
    auto other = connect("b");
    links.setLink("a", front, { .blocked = true });
    char byte = 0;
    EXPECT_FALSE(await([&](auto done) { asio::async_read(blocked.dialer, asio::buffer(&byte, 1), done); }));
    EXPECT_FALSE(timedOut);
    EXPECT_TRUE(passes(other.dialer, other.node));
    EXPECT_FALSE(datagramPasses("a", quietTime));
    EXPECT_TRUE(datagramPasses("b", limit));
    links.setLink("a", front, {});
    auto again = connect("a");
    EXPECT_TRUE(passes(again.dialer, again.node));
}

// Guards against a "silent connection" that is closed, or that silences new connections too.
TEST_F(relay_tests, connection_swallowed_staysOpenAndNewOneWorks)
{
    auto silent = connect("a");
    EXPECT_EQ(links.swallow("a", front), 1U);
    EXPECT_FALSE(passes(silent.dialer, silent.node, quietTime));
    EXPECT_TRUE(timedOut);
    EXPECT_TRUE(passes(silent.node, silent.dialer));
    EXPECT_EQ(links.swallowedConnections(), 1U);
    auto fresh = connect("a");
    EXPECT_TRUE(passes(fresh.dialer, fresh.node));
}

// Guards against a delay that is not applied.
TEST_F(relay_tests, link_delayed_passesLater)
{
    auto open = connect("a");
    links.setLink("a", front, { .delay = std::chrono::milliseconds(60) });
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_TRUE(passes(open.dialer, open.node));
    EXPECT_GE(std::chrono::steady_clock::now() - begin, std::chrono::milliseconds(60));
}

// Guards against a relay that hides that a process is gone: peers take a refused connection as that sign.
TEST_F(relay_tests, target_gone_relayRefusesUntilItIsBack)
{
    acceptor.close();
    tcp::socket socket(context);
    boost::system::error_code status;
    const auto end = std::chrono::steady_clock::now() + limit;
    while (status != asio::error::connection_refused && std::chrono::steady_clock::now() < end) {
        socket = tcp::socket(context);
        socket.connect(endpointOf<tcp>(front), status);
    }
    EXPECT_EQ(status, asio::error::connection_refused);
    acceptor = tcp::acceptor(context, endpointOf<tcp>(target));
    while (status && std::chrono::steady_clock::now() < end) {
        socket = tcp::socket(context);
        socket.connect(endpointOf<tcp>(front), status);
    }
    EXPECT_FALSE(status);
}

} // namespace
} // namespace carawaylink::bench
