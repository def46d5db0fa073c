#include "peer_links.h"

#include "base/error.h"
#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <netinet/tcp.h>

namespace carawaylink::gateway {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Each message is preceded by its length in little-endian order.
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t maxMessageBytes = 8U << 20;
constexpr std::size_t readBufferBytes = 16384;
constexpr auto reconnectDelay = std::chrono::milliseconds(400);
constexpr auto peerConnectTimeout = std::chrono::milliseconds(800);
// A connection whose data is not acknowledged for this long is closed and reopened.
constexpr unsigned unacknowledgedTimeoutMs = 1200;

std::string encode(const peer::envelopeT& message)
{
    flatbuffers::FlatBufferBuilder builder(1024);
    builder.Finish(peer::envelope::Pack(builder, &message));
    std::string frame(lengthBytes, '\0');
    flatbuffers::WriteScalar(frame.data(), static_cast<std::uint32_t>(builder.GetSize()));
    frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return frame;
}

tcp::endpoint endpointOf(const std::string& address)
{
    const auto parsed = parseAddress(address);
    return { asio::ip::make_address(parsed.ip), parsed.port };
}

void setSocketOptions(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledgedTimeoutMs), ignored);
}

// Unsent messages of one kind replace each other. Kinds are sent in this order, most urgent first.
enum class message_kind {
    configuration,
    endpoints,
    report,
};
constexpr std::size_t messageKinds = 3;

message_kind kindOf(const peer::envelopeT& message)
{
    const auto* copy = message.body.Asstore_copy();
    if (!copy)
        return message_kind::report;
    return copy->configuration_key.empty() ? message_kind::endpoints : message_kind::configuration;
}

// Reads messages from one connected peer until the connection closes or a message is invalid.
class incoming_link : public std::enable_shared_from_this<incoming_link> {
public:
    incoming_link(tcp::socket socket, peer_links::handler onMessage, decision_log& log)
        : m_socket(std::move(socket))
        , m_onMessage(std::move(onMessage))
        , m_log(log)
    {
    }

    void read()
    {
        m_socket.async_read_some(asio::buffer(m_chunk), [self = shared_from_this()](boost::system::error_code status, std::size_t size) {
            if (status)
                return;
            self->m_buffer.append(self->m_chunk.data(), size);
            if (self->handleMessages())
                self->read();
        });
    }

private:
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
            // FlatBuffers requires aligned data, but messages start at arbitrary positions in the stream.
            const std::vector<std::uint8_t> aligned(data, data + size);
            flatbuffers::Verifier verifier(aligned.data(), aligned.size());
            if (!verifier.VerifyBuffer<peer::envelope>(nullptr))
                return reject("content");
            peer::envelopeT message;
            flatbuffers::GetRoot<peer::envelope>(aligned.data())->UnPackTo(&message);
            m_onMessage(message);
            position += lengthBytes + size;
        }
        m_buffer.erase(0, position);
        return true;
    }

    bool reject(std::string_view reason)
    {
        m_log.event("peer_message_invalid").field("reason", reason);
        return false;
    }

    tcp::socket m_socket;
    peer_links::handler m_onMessage;
    decision_log& m_log;
    std::array<char, readBufferBytes> m_chunk {};
    std::string m_buffer;
};

} // namespace

class outgoing_link : public std::enable_shared_from_this<outgoing_link> {
public:
    outgoing_link(asio::io_context& context, std::string address)
        : m_socket(context)
        , m_timer(context)
        , m_address(std::move(address))
    {
    }

    void connect()
    {
        if (m_isClosed)
            return;
        m_isConnected = false;
        m_socket = tcp::socket(m_socket.get_executor());
        m_timer.expires_after(peerConnectTimeout);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code status) {
            boost::system::error_code ignored;
            if (!status && !self->m_isConnected)
                self->m_socket.close(ignored);
        });
        m_socket.async_connect(endpointOf(m_address), [self = shared_from_this()](boost::system::error_code status) {
            if (self->m_isClosed)
                return;
            if (status) {
                self->retry();
                return;
            }
            self->m_isConnected = true;
            self->m_timer.cancel();
            setSocketOptions(self->m_socket);
            self->watchForClose();
            self->flush();
        });
    }

    // Replaces an unsent message of the same kind.
    void send(std::shared_ptr<const std::string> frame, message_kind kind)
    {
        m_unsent[static_cast<std::size_t>(kind)] = std::move(frame);
        flush();
    }

    void close()
    {
        m_isClosed = true;
        boost::system::error_code ignored;
        m_timer.cancel();
        m_socket.close(ignored);
    }

private:
    void retry()
    {
        m_isConnected = false;
        m_isWriting = false;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        if (m_isClosed)
            return;
        m_timer.expires_after(reconnectDelay);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code status) {
            if (!status)
                self->connect();
        });
    }

    // Peers send nothing on this connection, so it becomes readable only when it is closed or lost.
    void watchForClose()
    {
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), generation = ++m_generation](boost::system::error_code) {
            if (!self->m_isClosed && self->m_isConnected && generation == self->m_generation)
                self->retry();
        });
    }

    void flush()
    {
        if (!m_isConnected || m_isWriting)
            return;
        const auto next = std::ranges::find_if(m_unsent, [](const auto& frame) { return frame != nullptr; });
        if (next == m_unsent.end())
            return;
        m_writing = std::exchange(*next, nullptr);
        m_isWriting = true;
        asio::async_write(m_socket, asio::buffer(*m_writing),
            [self = shared_from_this(), generation = m_generation](boost::system::error_code status, std::size_t) {
                if (self->m_isClosed || generation != self->m_generation || !self->m_isConnected)
                    return;
                self->m_isWriting = false;
                if (status)
                    self->retry();
                else
                    self->flush();
            });
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_address;
    std::array<std::shared_ptr<const std::string>, messageKinds> m_unsent;
    std::shared_ptr<const std::string> m_writing;
    std::uint64_t m_generation = 0;
    bool m_isConnected = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
};

peer_links::peer_links(asio::io_context& context, std::string ownAddress, decision_log& log, handler onMessage)
    : m_context(context)
    , m_ownAddress(std::move(ownAddress))
    , m_log(log)
    , m_onMessage(std::move(onMessage))
    , m_acceptor(context)
{
}

peer_links::~peer_links()
{
    for (const auto& [address, link] : m_links)
        link->close();
}

void peer_links::listen()
{
    try {
        const auto endpoint = endpointOf(m_ownAddress);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error& failure) {
        throw error(
            error_kind::unavailable, "cannot listen on " + m_ownAddress + ": " + failure.code().message(), "choose a free peer port");
    }
    accept();
}

void peer_links::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code status, tcp::socket socket) {
        if (status == asio::error::operation_aborted)
            return;
        if (!status) {
            setSocketOptions(socket);
            std::make_shared<incoming_link>(std::move(socket), m_onMessage, m_log)->read();
        }
        accept();
    });
}

void peer_links::add(const std::string& address)
{
    if (address == m_ownAddress || m_links.contains(address))
        return;
    auto link = std::make_shared<outgoing_link>(m_context, address);
    m_links.emplace(address, link);
    link->connect();
}

void peer_links::broadcast(const peer::envelopeT& message)
{
    if (m_links.empty())
        return;
    const auto frame = std::make_shared<const std::string>(encode(message));
    for (const auto& [address, link] : m_links)
        link->send(frame, kindOf(message));
}

void peer_links::send(const std::string& address, const peer::envelopeT& message)
{
    const auto found = m_links.find(address);
    if (found != m_links.end())
        found->second->send(std::make_shared<const std::string>(encode(message)), kindOf(message));
}

} // namespace carawaylink::gateway
