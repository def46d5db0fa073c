#include "peer_links.h"

#include "tcp_endpoint.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <netinet/tcp.h>

namespace carawaylink::gateway {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Each message is preceded by its length in little-endian order.
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxMessageBytes = 8U << 20;
constexpr std::size_t maxQueuedBytes = 16U << 20;
constexpr std::size_t readBufferBytes = 16384;
// A connection keeps no larger buffer than this between messages.
constexpr std::size_t maxIdleBufferBytes = 65536;
// Messages to a peer that could not be reached are dropped for this long.
constexpr auto redialDelay = std::chrono::milliseconds(100);
constexpr auto connectTimeout = std::chrono::milliseconds(800);
// A connection whose data is not acknowledged for this long is closed.
constexpr unsigned unacknowledgedTimeoutMs = 1200;

std::shared_ptr<const std::string> encode(const peer::envelopeT& message)
{
    flatbuffers::FlatBufferBuilder builder(1024);
    builder.Finish(peer::envelope::Pack(builder, &message));
    auto frame = std::make_shared<std::string>(lengthBytes, '\0');
    flatbuffers::WriteScalar(frame->data(), static_cast<std::uint32_t>(builder.GetSize()));
    frame->append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

void setSocketOptions(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledgedTimeoutMs), ignored);
}

} // namespace

// One connection to a peer, dialed by either side. Closes itself on an invalid message, an error or a full queue.
class peer_connection : public std::enable_shared_from_this<peer_connection> {
public:
    peer_connection(tcp::socket socket, std::weak_ptr<peer_links*> owner, decision_log& log, memory_budget* memory)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_owner(std::move(owner))
        , m_log(log)
        , m_memory(memory, "peer", [this] {
            const auto self = shared_from_this();
            close();
        })
    {
    }

    void startAccepted()
    {
        m_isConnected = true;
        setSocketOptions(m_socket);
        read();
    }

    void dial(node_id peer)
    {
        m_peer = std::move(peer);
        m_timer.expires_after(connectTimeout);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code status) {
            if (!status && !self->m_isConnected)
                self->close();
        });
        m_socket.async_connect(tcpEndpoint(m_peer.value), [self = shared_from_this()](boost::system::error_code status) {
            if (self->m_isClosed)
                return;
            if (status) {
                self->close(status == asio::error::connection_refused);
                return;
            }
            self->m_isConnected = true;
            self->m_timer.cancel();
            setSocketOptions(self->m_socket);
            self->read();
            self->flush();
        });
    }

    void send(std::shared_ptr<const std::string> frame)
    {
        m_queuedBytes += frame->size();
        if (m_queuedBytes > maxQueuedBytes) {
            close();
            return;
        }
        m_queue.push_back(std::move(frame));
        countMemory();
        flush();
    }

    void close(bool wasRefused = false)
    {
        if (std::exchange(m_isClosed, true))
            return;
        boost::system::error_code ignored;
        m_timer.cancel();
        m_socket.close(ignored);
        m_memory.set(0);
        if (const auto owner = m_owner.lock(); owner && !m_peer.value.empty())
            (*owner)->onClosed(m_peer, this, reasonOf(wasRefused));
    }

private:
    peer_links::close_reason reasonOf(bool wasRefused) const
    {
        if (wasRefused)
            return peer_links::close_reason::refused;
        return m_isConnected ? peer_links::close_reason::lost : peer_links::close_reason::unreachable;
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_chunk), [self = shared_from_this()](boost::system::error_code status, std::size_t size) {
            if (self->m_isClosed)
                return;
            if (status) {
                self->close();
                return;
            }
            self->m_buffer.append(self->m_chunk.data(), size);
            if (!self->handleMessages()) {
                self->close();
                return;
            }
            self->countMemory();
            self->read();
        });
    }

    void countMemory()
    {
        if (!m_isClosed)
            m_memory.set(m_buffer.size() + m_queuedBytes);
    }

    bool handleMessages()
    {
        std::size_t position = 0;
        while (m_buffer.size() - position >= lengthBytes) {
            const std::size_t size = flatbuffers::ReadScalar<std::uint32_t>(m_buffer.data() + position);
            if (size == 0 || size > maxMessageBytes)
                return reject("length");
            if (m_buffer.size() - position - lengthBytes < size)
                break;
            const auto* data = reinterpret_cast<const std::uint8_t*>(m_buffer.data() + position + lengthBytes);
            if (!handleMessage({ data, size }) || m_isClosed)
                return false;
            position += lengthBytes + size;
        }
        m_buffer.erase(0, position);
        if (m_buffer.size() < maxIdleBufferBytes && m_buffer.capacity() > maxIdleBufferBytes)
            m_buffer.shrink_to_fit();
        return true;
    }

    bool handleMessage(std::span<const std::uint8_t> bytes)
    {
        // FlatBuffers requires aligned data, but messages start at arbitrary positions in the stream.
        const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
        flatbuffers::Verifier verifier(aligned.data(), aligned.size());
        if (!verifier.VerifyBuffer<peer::envelope>(nullptr))
            return reject("content");
        peer::envelopeT message;
        flatbuffers::GetRoot<peer::envelope>(aligned.data())->UnPackTo(&message);
        const node_id sender { message.sender };
        if (sender.value.empty() || (!m_peer.value.empty() && sender != m_peer))
            return reject("sender");
        const auto owner = m_owner.lock();
        if (!owner)
            return false;
        if (m_peer.value.empty()) {
            m_peer = sender;
            (*owner)->onIdentified(m_peer, shared_from_this());
        }
        (*owner)->m_handlers.onMessage(m_peer, message);
        return true;
    }

    bool reject(std::string_view reason)
    {
        m_log.event("peer_message_invalid").field("peer", m_peer).field("reason", reason);
        return false;
    }

    void flush()
    {
        if (!m_isConnected || m_isClosed || m_isWriting || m_queue.empty())
            return;
        m_isWriting = true;
        m_writing.assign(m_queue.begin(), m_queue.end());
        m_queue.clear();
        std::vector<asio::const_buffer> buffers;
        std::size_t bytes = 0;
        for (const auto& frame : m_writing) {
            buffers.emplace_back(asio::buffer(*frame));
            bytes += frame->size();
        }
        asio::async_write(m_socket, buffers, [self = shared_from_this(), bytes](boost::system::error_code status, std::size_t) {
            if (self->m_isClosed)
                return;
            self->m_isWriting = false;
            self->m_writing.clear();
            self->m_queuedBytes -= bytes;
            self->countMemory();
            if (status)
                self->close();
            else
                self->flush();
        });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::weak_ptr<peer_links*> m_owner;
    decision_log& m_log;
    /// Empty until the first message on an accepted connection.
    node_id m_peer;
    std::array<char, readBufferBytes> m_chunk {};
    std::string m_buffer;
    std::deque<std::shared_ptr<const std::string>> m_queue;
    std::vector<std::shared_ptr<const std::string>> m_writing;
    std::size_t m_queuedBytes = 0;
    bool m_isConnected = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    memory_budget::holding m_memory;
};

peer_links::peer_links(asio::io_context& context, node_id self, decision_log& log, peer_link_handlers handlers, memory_budget* memory)
    : m_context(context)
    , m_self(std::move(self))
    , m_log(log)
    , m_handlers(std::move(handlers))
    , m_memory(memory)
    , m_acceptor(context)
    , m_alive(std::make_shared<peer_links*>(this))
{
}

peer_links::~peer_links()
{
    m_alive.reset();
    for (const auto& [peer, connection] : m_connections)
        connection->close();
}

void peer_links::listen()
{
    try {
        const auto endpoint = tcpEndpoint(m_self.value);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error& failure) {
        throw error(
            error_kind::unavailable, "cannot listen on " + m_self.value + ": " + failure.code().message(), "choose a free peer port");
    }
    accept();
}

void peer_links::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code status, tcp::socket socket) {
        if (status == asio::error::operation_aborted)
            return;
        if (!status)
            std::make_shared<peer_connection>(std::move(socket), m_alive, m_log, m_memory)->startAccepted();
        accept();
    });
}

void peer_links::send(const node_id& peer, peer::envelopeT message)
{
    message.sender = m_self.value;
    sendFrame(peer, encode(message));
}

void peer_links::send(std::span<const node_id> peers, peer::envelopeT message)
{
    if (peers.empty())
        return;
    message.sender = m_self.value;
    const auto frame = encode(message);
    for (const auto& peer : peers)
        sendFrame(peer, frame);
}

void peer_links::sendFrame(const node_id& peer, const std::shared_ptr<const std::string>& frame)
{
    const auto found = m_connections.find(peer);
    if (found != m_connections.end()) {
        // The connection may close itself, so the map entry must not be used meanwhile.
        const auto connection = found->second;
        connection->send(frame);
    } else if (m_nextDialAt[peer] <= std::chrono::steady_clock::now()) {
        dial(peer, frame);
    }
}

void peer_links::dial(const node_id& peer, std::shared_ptr<const std::string> firstFrame)
{
    const auto connection = std::make_shared<peer_connection>(tcp::socket(m_context), m_alive, m_log, m_memory);
    m_connections[peer] = connection;
    if (firstFrame)
        connection->send(std::move(firstFrame));
    try {
        connection->dial(peer);
    } catch (const error& failure) {
        m_log.event("peer_address_invalid").field("peer", peer).field("error", '"' + std::string(failure.what()) + '"');
        m_connections.erase(peer);
        m_nextDialAt[peer] = monotonic_time::max();
    }
}

void peer_links::drop(const node_id& peer)
{
    const auto found = m_connections.find(peer);
    if (found == m_connections.end())
        return;
    const auto connection = found->second;
    connection->close();
}

void peer_links::onIdentified(const node_id& peer, const std::shared_ptr<peer_connection>& connection)
{
    m_connections.try_emplace(peer, connection);
    m_nextDialAt.erase(peer);
}

void peer_links::onClosed(const node_id& peer, const peer_connection* connection, close_reason reason)
{
    const auto found = m_connections.find(peer);
    if (found != m_connections.end() && found->second.get() == connection) {
        m_connections.erase(found);
        const auto now = std::chrono::steady_clock::now();
        const bool mayDial = std::exchange(m_nextDialAt[peer], now + redialDelay) <= now;
        // A refused connection shows that the process has ended, which is otherwise only noticed by its silence.
        if (reason == close_reason::lost && mayDial)
            dial(peer, nullptr);
    }
    if (reason == close_reason::refused)
        m_handlers.onRefused(peer);
    else
        m_handlers.onLost(peer);
}

} // namespace carawaylink::gateway
