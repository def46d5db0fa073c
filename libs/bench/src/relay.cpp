#include "bench/relay.h"

#include "base/error.h"
#include "http/message.h"
#include "wire/frame.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <future>
#include <list>
#include <map>
#include <thread>

namespace carawaylink::bench {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

namespace {

constexpr std::size_t macBytes = 16;
constexpr std::size_t maxDatagramBytes = 1500;
constexpr std::size_t blockBytes = 16384;
// Shorter than the shortest redial delay of the nodes, so that a restarted node is reachable at the next attempt.
constexpr auto targetProbeInterval = std::chrono::milliseconds(10);
constexpr int portAttempts = 50;

template <typename Protocol> typename Protocol::endpoint endpointOf(const std::string& address)
{
    const auto parsed = parseAddress(address);
    return { asio::ip::make_address(parsed.ip), parsed.port };
}

} // namespace

std::string freeAddress(const std::string& ip)
{
    asio::io_context context;
    for (int attempt = 0; attempt < portAttempts; ++attempt) {
        tcp::acceptor acceptor(context, { asio::ip::make_address(ip), 0 });
        const auto port = acceptor.local_endpoint().port();
        udp::socket socket(context, udp::v4());
        boost::system::error_code status;
        socket.bind({ asio::ip::make_address(ip), port }, status);
        if (!status)
            return ip + ":" + std::to_string(port);
    }
    throw error(error_kind::unavailable, "no port of " + ip + " is free for TCP and UDP", "end other programs");
}

struct relay::implementation {
    /// A connection from one node to another; direction 0 carries the bytes of the node that dialed.
    struct connection : std::enable_shared_from_this<connection> {
        connection(implementation& relayState, std::string target, tcp::socket dialed)
            : owner(relayState)
            , to(std::move(target))
            , sockets { std::move(dialed), tcp::socket(relayState.context) }
        {
        }

        struct direction {
            std::array<std::uint8_t, blockBytes> buffer {};
            bool swallowed = false;
            bool ended = false;
        };

        const std::string& sender(std::size_t index) const { return index == 0 ? from : to; }
        const std::string& receiver(std::size_t index) const { return index == 0 ? to : from; }

        void start()
        {
            readHello();
            sockets[1].async_connect(
                owner.targetOf(to), [self = shared_from_this()](boost::system::error_code status) { self->connected(status); });
        }

        void connected(boost::system::error_code status)
        {
            if (status) {
                close();
                if (status == asio::error::connection_refused)
                    owner.targetRefused(to);
                return;
            }
            targetReady = true;
            forwardHello();
        }

        /// Collects the first frame, which names the sending node.
        void readHello()
        {
            auto& buffer = directions[0].buffer;
            sockets[0].async_read_some(
                asio::buffer(buffer), [self = shared_from_this()](boost::system::error_code status, std::size_t size) {
                    if (status) {
                        self->close();
                        return;
                    }
                    const std::span<const std::uint8_t> bytes(self->directions[0].buffer.data(), size);
                    self->held.insert(self->held.end(), bytes.begin(), bytes.end());
                    try {
                        self->decoder.append(bytes);
                        const auto first = self->decoder.next();
                        if (!first)
                            return self->readHello();
                        const auto* hello = first->body.Ashello();
                        self->from = hello ? hello->node : std::string();
                    } catch (const error&) {
                        self->close();
                        return;
                    }
                    self->known = true;
                    self->forwardHello();
                });
        }

        void forwardHello()
        {
            if (!known || !targetReady || closed)
                return;
            if (owner.link(from, to).blocked) {
                close();
                return;
            }
            boost::system::error_code ignored;
            std::ranges::for_each(sockets, [&](auto& socket) { socket.set_option(tcp::no_delay(true), ignored); });
            asio::async_write(sockets[1], asio::buffer(held), [self = shared_from_this()](boost::system::error_code status, std::size_t) {
                if (status)
                    return self->close();
                self->read(0);
                self->read(1);
            });
        }

        void read(std::size_t index)
        {
            sockets[index].async_read_some(asio::buffer(directions[index].buffer),
                [self = shared_from_this(), index](boost::system::error_code status, std::size_t size) {
                    if (status)
                        self->ended(index);
                    else
                        self->pass(index, size);
                });
        }

        void pass(std::size_t index, std::size_t size)
        {
            if (directions[index].swallowed)
                return read(index);
            const auto delay = owner.link(sender(index), receiver(index)).delay;
            if (delay <= duration::zero())
                return write(index, size);
            auto timer = std::make_shared<asio::steady_timer>(owner.context, delay);
            timer->async_wait([self = shared_from_this(), timer, index, size](boost::system::error_code) { self->write(index, size); });
        }

        void write(std::size_t index, std::size_t size)
        {
            if (directions[index].swallowed)
                return read(index);
            asio::async_write(sockets[1 - index], asio::buffer(directions[index].buffer.data(), size),
                [self = shared_from_this(), index](boost::system::error_code status, std::size_t) {
                    if (status)
                        self->close();
                    else
                        self->read(index);
                });
        }

        void ended(std::size_t index)
        {
            directions[index].ended = true;
            // The end of a swallowed direction vanishes like its bytes.
            if (!directions[index].swallowed || directions[1 - index].ended)
                close();
        }

        void close()
        {
            if (std::exchange(closed, true))
                return;
            boost::system::error_code ignored;
            std::ranges::for_each(sockets, [&](auto& socket) { socket.close(ignored); });
            owner.connections.remove(shared_from_this());
        }

        implementation& owner;
        std::string from;
        std::string to;
        std::array<tcp::socket, 2> sockets;
        std::array<direction, 2> directions;
        wire::frame_decoder decoder;
        std::vector<std::uint8_t> held;
        bool known = false;
        bool targetReady = false;
        bool closed = false;
    };

    /// Listeners in front of one node.
    struct front {
        explicit front(asio::io_context& context)
            : acceptor(context)
            , socket(context)
            , probe(context)
            , probeTimer(context)
        {
        }

        std::string address;
        std::string target;
        tcp::acceptor acceptor;
        udp::socket socket;
        tcp::socket probe;
        asio::steady_timer probeTimer;
        std::array<std::uint8_t, maxDatagramBytes> input {};
        bool refusing = false;
    };

    implementation()
        : work(asio::make_work_guard(context))
        , thread([this] { context.run(); })
    {
    }

    ~implementation()
    {
        context.stop();
        thread.join();
        connections.clear();
    }

    /// Runs the function on the thread of the relay and returns its result.
    template <typename Function> auto run(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        asio::post(context, [&task] { task(); });
        return result.get();
    }

    link_state link(const std::string& from, const std::string& to) const
    {
        const auto found = links.find({ from, to });
        return found == links.end() ? link_state {} : found->second;
    }

    tcp::endpoint targetOf(const std::string& address) const { return endpointOf<tcp>(fronts.at(address)->target); }

    std::string addNode(const std::string& ip, const std::string& target)
    {
        auto added = std::make_unique<front>(context);
        added->address = freeAddress(ip);
        added->target = target;
        added->socket = udp::socket(context, endpointOf<udp>(added->address));
        auto& entry = *fronts.emplace(added->address, std::move(added)).first->second;
        if (!listen(entry))
            throw error(error_kind::unavailable, "cannot listen on " + entry.address, "choose another ip");
        receive(entry);
        return entry.address;
    }

    /// Returns false where the port is in use.
    bool listen(front& entry)
    {
        const auto endpoint = endpointOf<tcp>(entry.address);
        entry.acceptor.open(endpoint.protocol());
        entry.acceptor.set_option(tcp::acceptor::reuse_address(true));
        boost::system::error_code status;
        entry.acceptor.bind(endpoint, status);
        if (!status)
            entry.acceptor.listen(tcp::acceptor::max_listen_connections, status);
        if (status) {
            entry.acceptor.close();
            return false;
        }
        accept(entry);
        return true;
    }

    void accept(front& entry)
    {
        entry.acceptor.async_accept([this, &entry](boost::system::error_code status, tcp::socket socket) {
            if (status == asio::error::operation_aborted)
                return;
            if (!status)
                connections.emplace_back(std::make_shared<connection>(*this, entry.address, std::move(socket)))->start();
            accept(entry);
        });
    }

    void targetRefused(const std::string& address)
    {
        auto& entry = *fronts.at(address);
        if (std::exchange(entry.refusing, true))
            return;
        entry.acceptor.close();
        probeTarget(entry);
    }

    void probeTarget(front& entry)
    {
        entry.probeTimer.expires_after(targetProbeInterval);
        entry.probeTimer.async_wait([this, &entry](boost::system::error_code) {
            entry.probe = tcp::socket(context);
            entry.probe.async_connect(targetOf(entry.address), [this, &entry](boost::system::error_code status) {
                boost::system::error_code ignored;
                entry.probe.close(ignored);
                if (status || !listen(entry))
                    return probeTarget(entry);
                entry.refusing = false;
            });
        });
    }

    void receive(front& entry)
    {
        entry.socket.async_receive(asio::buffer(entry.input), [this, &entry](boost::system::error_code status, std::size_t size) {
            if (status == asio::error::operation_aborted)
                return;
            if (!status && size > macBytes)
                passDatagram(entry, { entry.input.data(), size });
            receive(entry);
        });
    }

    void passDatagram(front& entry, std::span<const std::uint8_t> datagram)
    {
        const auto packet = wire::decodePacket(datagram.subspan(macBytes));
        const auto state = link(packet && packet->sender ? packet->sender->node : std::string(), entry.address);
        if (state.blocked)
            return;
        auto bytes = std::make_shared<std::vector<std::uint8_t>>(datagram.begin(), datagram.end());
        auto timer = std::make_shared<asio::steady_timer>(context, state.delay);
        timer->async_wait([&entry, bytes, timer](boost::system::error_code) {
            boost::system::error_code ignored; // the target may be down
            entry.socket.send_to(asio::buffer(*bytes), endpointOf<udp>(entry.target), 0, ignored);
        });
    }

    void setLink(const std::string& from, const std::string& to, link_state state)
    {
        links[{ from, to }] = state;
        if (!state.blocked)
            return;
        const auto open = connections;
        for (const auto& entry : open) {
            if (entry->from == from && entry->to == to)
                entry->close();
        }
    }

    std::size_t swallow(const std::string& from, const std::string& to)
    {
        std::size_t count = 0;
        for (const auto& entry : connections) {
            for (std::size_t index = 0; index < entry->directions.size(); ++index) {
                if (!entry->known || entry->sender(index) != from || entry->receiver(index) != to)
                    continue;
                count += isSwallowed(*entry) ? 0 : 1;
                entry->directions[index].swallowed = true;
            }
        }
        return count;
    }

    static bool isSwallowed(const connection& entry) { return std::ranges::any_of(entry.directions, &connection::direction::swallowed); }

    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::map<std::string, std::unique_ptr<front>> fronts;
    std::list<std::shared_ptr<connection>> connections;
    std::map<std::pair<std::string, std::string>, link_state> links;
    std::thread thread;
};

relay::relay()
    : m_implementation(std::make_unique<implementation>())
{
}

relay::~relay() = default;

std::string relay::addNode(const std::string& ip, const std::string& target)
{
    return m_implementation->run([&] { return m_implementation->addNode(ip, target); });
}

void relay::setLink(const std::string& from, const std::string& to, link_state state)
{
    m_implementation->run([&] { m_implementation->setLink(from, to, state); });
}

std::size_t relay::swallow(const std::string& from, const std::string& to)
{
    return m_implementation->run([&] { return m_implementation->swallow(from, to); });
}

std::size_t relay::swallowedConnections() const
{
    return m_implementation->run([&] {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_implementation->connections, [](const auto& entry) { return implementation::isSwallowed(*entry); }));
    });
}

std::size_t relay::connections() const
{
    return m_implementation->run([&] {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_implementation->connections, [](const auto& entry) { return entry->known; }));
    });
}

} // namespace carawaylink::bench
