#include "peer_links.h"

#include "http/io_threads.h"

#include <boost/asio.hpp>
#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <mutex>

namespace carawaylink::gateway {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

constexpr auto waitTimeout = 10s;

class peer_links_test : public testing::Test {
protected:
    struct peer_process {
        node_id id;
        std::unique_ptr<peer_links> links;
        std::vector<std::uint64_t> received;
        std::vector<node_id> lost;
        std::vector<node_id> refused;
    };

    peer_links_test()
        : m_threads(1)
    {
        m_first.id = freeAddress();
        m_second.id = freeAddress();
        start(m_first);
        start(m_second);
    }

    ~peer_links_test() override
    {
        stop(m_first);
        stop(m_second);
        m_threads.stop();
    }

    // Finds a free port, because the listener's address must be known in advance.
    node_id freeAddress()
    {
        tcp::acceptor probe(m_threads.context(0), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        return node_id { "127.0.0.1:" + std::to_string(probe.local_endpoint().port()) };
    }

    void start(peer_process& process)
    {
        run([&] {
            peer_link_handlers handlers;
            handlers.onMessage = [this, &process](const node_id&, const peer::envelopeT& message) {
                record([&] { process.received.push_back(message.body.Asslot_call()->session); });
            };
            handlers.onLost = [this, &process](const node_id& peer) { record([&] { process.lost.push_back(peer); }); };
            handlers.onRefused = [this, &process](const node_id& peer) { record([&] { process.refused.push_back(peer); }); };
            process.links = std::make_unique<peer_links>(m_threads.context(0), process.id, m_log, handlers);
            process.links->listen();
        });
    }

    void stop(peer_process& process)
    {
        run([&] { process.links.reset(); });
    }

    void send(peer_process& from, const peer_process& to, std::uint64_t number)
    {
        run([&] {
            peer::slot_callT call;
            call.session = number;
            peer::envelopeT message;
            message.body.Set(std::move(call));
            from.links->send(to.id, std::move(message));
        });
    }

    void run(const std::function<void()>& work)
    {
        std::promise<void> done;
        m_threads.post(0, [&] {
            work();
            done.set_value();
        });
        done.get_future().get();
    }

    void record(const std::function<void()>& change)
    {
        const std::lock_guard guard(m_mutex);
        change();
        m_changed.notify_all();
    }

    bool waitUntil(const std::function<bool()>& condition)
    {
        std::unique_lock guard(m_mutex);
        return m_changed.wait_for(guard, waitTimeout, condition);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    decision_log m_log { "test" };
    io_threads m_threads;
    peer_process m_first;
    peer_process m_second;
};

TEST_F(peer_links_test, burstOfMessages_arrivesInOrder)
{
    // A lost or reordered release would leave a slot taken.
    std::vector<std::uint64_t> expected;
    for (std::uint64_t number = 0; number < 100; ++number) {
        send(m_first, m_second, number);
        expected.push_back(number);
    }
    EXPECT_TRUE(waitUntil([&] { return m_second.received == expected; }));
}

TEST_F(peer_links_test, reply_usesTheConnectionOfTheCaller)
{
    // Two connections for each pair of nodes would double the descriptors of the owner of a pool.
    send(m_first, m_second, 1);
    ASSERT_TRUE(waitUntil([&] { return !m_second.received.empty(); }));
    send(m_second, m_first, 2);
    ASSERT_TRUE(waitUntil([&] { return !m_first.received.empty(); }));
    run([&] {
        EXPECT_EQ(m_first.links->connections(), 1U);
        EXPECT_EQ(m_second.links->connections(), 1U);
    });
}

TEST_F(peer_links_test, processThatEnds_isNoticedByARefusedConnection)
{
    // Waiting for its silence would leave the requests in its queue unanswered for longer.
    send(m_first, m_second, 1);
    ASSERT_TRUE(waitUntil([&] { return !m_second.received.empty(); }));
    stop(m_second);
    EXPECT_TRUE(waitUntil([&] { return !m_first.lost.empty() && !m_first.refused.empty(); }));
    EXPECT_EQ(m_first.refused.front(), m_second.id);
    start(m_second);
    for (std::uint64_t number = 2; m_second.received.size() < 2 && number < 100; ++number) {
        send(m_first, m_second, number);
        std::unique_lock guard(m_mutex);
        m_changed.wait_for(guard, 50ms, [&] { return m_second.received.size() >= 2; });
    }
    EXPECT_GE(m_second.received.size(), 2U);
}

TEST_F(peer_links_test, droppedConnection_isDialedAgain)
{
    // A connection may go silent for good while new ones work.
    send(m_first, m_second, 1);
    ASSERT_TRUE(waitUntil([&] { return !m_second.received.empty(); }));
    run([&] { m_first.links->drop(m_second.id); });
    send(m_first, m_second, 2);
    EXPECT_TRUE(waitUntil([&] { return m_second.received == std::vector<std::uint64_t> { 1, 2 }; }));
}

TEST_F(peer_links_test, invalidMessage_closesOnlyItsConnection)
{
    // Arbitrary bytes on the peer port must not affect other connections.
    send(m_first, m_second, 1);
    boost::asio::io_context context;
    tcp::socket socket(context);
    const auto port = static_cast<unsigned short>(std::stoi(m_second.id.value.substr(10)));
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    boost::asio::write(socket, boost::asio::buffer(std::string("\x08\x00\x00\x00garbage!", 12)));
    char byte = 0;
    boost::system::error_code status;
    socket.read_some(boost::asio::buffer(&byte, 1), status);
    EXPECT_TRUE(status);
    send(m_first, m_second, 2);
    EXPECT_TRUE(waitUntil([&] { return m_second.received == std::vector<std::uint64_t> { 1, 2 }; }));
}

TEST_F(peer_links_test, endlessMessage_endsItsConnectionWithinBoundedMemory)
{
    // A peer in trouble that sends bytes without end must not fill the memory of a small vm.
    boost::asio::io_context context;
    tcp::socket socket(context);
    const auto port = static_cast<unsigned short>(std::stoi(m_second.id.value.substr(10)));
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    const std::string header("\xff\xff\xff\x7f", 4);
    const std::string chunk(65536, 'x');
    boost::system::error_code status;
    boost::asio::write(socket, boost::asio::buffer(header), status);
    std::size_t sent = 0;
    for (; !status && sent < (64U << 20); sent += chunk.size())
        boost::asio::write(socket, boost::asio::buffer(chunk), status);
    EXPECT_TRUE(status) << "the connection took " << sent << " bytes";
}

} // namespace
} // namespace carawaylink::gateway
