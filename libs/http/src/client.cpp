#include "http/client.h"

#include "response_parser.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carawaylink {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

// Peers close idle connections after 5 s or more. A request must not be sent on a connection that may be closing, since it
// would be unknown whether a request lost that way was executed.
constexpr auto maxIdleTime = std::chrono::seconds(2);
constexpr std::size_t maxIdlePerAddress = 64;
constexpr std::size_t readBufferBytes = 16384;
// Of the system's buffer for bytes that a peer sends and nobody reads yet, on a paused call or an idle connection. By itself it may grow
// to several megabytes a connection.
constexpr int receiveBufferBytes = 131072;
// Interval at which idle connections are looked through.
constexpr auto idleCheckInterval = std::chrono::seconds(1);
// Bounds the memory for the keys of a connection.
constexpr std::size_t maxKeysPerConnection = 128;

struct open_connection {
    http_connection info;
    tcp::socket socket;
    std::vector<std::uint64_t> answerKeys;

    bool hasCarried(const std::optional<std::uint64_t>& key) const
    {
        return key && std::ranges::find(answerKeys, *key) != answerKeys.end();
    }
};

struct idle_connection {
    std::unique_ptr<open_connection> connection;
    monotonic_time usableUntil;
};

// An idle connection that is readable was closed by the peer or holds unsolicited data.
bool isUsable(tcp::socket& socket)
{
    std::array<char, 1> probe {};
    boost::system::error_code status;
    socket.non_blocking(true, status);
    socket.receive(asio::buffer(probe), tcp::socket::message_peek, status);
    return status == asio::error::would_block;
}

// Takes effect on the window that the peer may fill only before the connection is established.
void limitReceiveBuffer(tcp::socket& socket, const tcp::endpoint& peer)
{
    boost::system::error_code ignored;
    socket.open(peer.protocol(), ignored);
    socket.set_option(tcp::socket::receive_buffer_size(receiveBufferBytes), ignored);
}

std::string serialize(const http_request& request, const std::string& address)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    if (!request.header("Host"))
        message.set(http::field::host, address);
    for (const auto& header : request.headers)
        message.insert(header.name, header.value);
    message.body() = request.body;
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        message.prepare_payload();
    std::string text;
    http::request_serializer<http::string_body> serializer(message);
    beast::error_code status;
    while (!serializer.is_done()) {
        serializer.next(status, [&](beast::error_code&, const auto& buffers) {
            text += beast::buffers_to_string(buffers);
            serializer.consume(asio::buffer_size(buffers));
        });
    }
    return text;
}

} // namespace

struct http_client::connection_cache : std::enable_shared_from_this<connection_cache> {
    connection_cache(asio::io_context& loop, memory_budget* budget)
        : context(loop)
        , memory(budget)
        , idleCheckTimer(loop)
    {
    }

    std::unique_ptr<open_connection> open()
    {
        return std::make_unique<open_connection>(open_connection { { ++openedConnections, 0 }, tcp::socket(context), {} });
    }

    /// Returns the connection that was used last of those that have not carried the key, or nullptr.
    std::unique_ptr<open_connection> take(const std::string& address, const std::optional<std::uint64_t>& key)
    {
        auto& list = idle[address];
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(list, [now](const idle_connection& entry) { return now >= entry.usableUntil; });
        while (true) {
            const auto found = std::ranges::find_if(
                list.rbegin(), list.rend(), [&](const idle_connection& entry) { return !entry.connection->hasCarried(key); });
            if (found == list.rend())
                return nullptr;
            auto connection = std::move(found->connection);
            list.erase(std::next(found).base());
            if (isUsable(connection->socket))
                return connection;
        }
    }

    void put(const std::string& address, std::unique_ptr<open_connection> connection, duration reusableTime)
    {
        if (connection->answerKeys.size() >= maxKeysPerConnection)
            return;
        ++connection->info.earlierRequests;
        auto& list = idle[address];
        const auto now = std::chrono::steady_clock::now();
        while (!list.empty() && (list.size() >= maxIdlePerAddress || now >= list.front().usableUntil))
            list.pop_front();
        list.push_back({ std::move(connection), now + reusableTime });
        scheduleIdleCheck();
    }

    // Connections to an address that is not called again would stay open until their peers close them, and what arrives on them would stay
    // in memory.
    void scheduleIdleCheck()
    {
        if (std::exchange(isIdleCheckScheduled, true))
            return;
        idleCheckTimer.expires_after(idleCheckInterval);
        idleCheckTimer.async_wait([self = weak_from_this()](boost::system::error_code status) {
            const auto cache = self.lock();
            if (status || !cache)
                return;
            cache->isIdleCheckScheduled = false;
            cache->closeUnusable();
        });
    }

    void closeUnusable()
    {
        const auto now = std::chrono::steady_clock::now();
        for (auto& [address, list] : idle)
            std::erase_if(
                list, [&](const idle_connection& entry) { return now >= entry.usableUntil || !isUsable(entry.connection->socket); });
        std::erase_if(idle, [](const auto& entry) { return entry.second.empty(); });
        if (!idle.empty())
            scheduleIdleCheck();
    }

    asio::io_context& context;
    memory_budget* memory;
    asio::steady_timer idleCheckTimer;
    bool isIdleCheckScheduled = false;
    std::uint64_t openedConnections = 0;
    std::unordered_map<std::string, std::deque<idle_connection>> idle;
};

namespace {

class running_call : public http_call, public std::enable_shared_from_this<running_call> {
public:
    running_call(std::shared_ptr<http_client::connection_cache> cache, std::string address, http_request request, http_call_options options,
        http_stream_handlers handlers)
        : m_cache(std::move(cache))
        , m_address(std::move(address))
        , m_options(options)
        , m_handlers(std::make_shared<http_stream_handlers>(std::move(handlers)))
        , m_timer(m_cache->context)
        , m_serializedRequest(serialize(request, m_address))
        , m_heldRequest(m_cache->memory, "endpoint_request", [this] { endForMemory(); })
        , m_parser(request.method == "HEAD")
    {
    }

    void start()
    {
        recordActivity();
        armTimer();
        m_heldRequest.set(m_serializedRequest.size());
        if (m_options.reuseConnection)
            m_connection = m_cache->take(m_address, m_options.answerKey);
        if (m_connection) {
            m_connectionInfo = m_connection->info;
            writeRequest();
            return;
        }
        try {
            const auto parsed = parseAddress(m_address);
            m_connection = m_cache->open();
            m_connectionInfo = m_connection->info;
            m_connecting = true;
            const tcp::endpoint peer(asio::ip::make_address(parsed.ip), parsed.port);
            limitReceiveBuffer(m_connection->socket, peer);
            m_connection->socket.async_connect(
                peer, [self = shared_from_this()](boost::system::error_code status) { self->handleConnect(status); });
        } catch (const error& failure) {
            asio::post(m_cache->context, [self = shared_from_this(), text = failure.message()] { self->end(http_failure::connect, text); });
        }
    }

    void cancel() override { end(http_failure::cancelled, "cancelled"); }
    void pause() override { m_paused = true; }
    void resume() override
    {
        if (!std::exchange(m_paused, false) || m_done || !m_readDeferred)
            return;
        m_readDeferred = false;
        recordActivity();
        // Not from here, since the consumer may be inside a callback of this call.
        asio::post(m_cache->context, [self = shared_from_this()] { self->parse(); });
    }
    http_connection connection() const override { return m_connectionInfo; }
    std::optional<monotonic_time> lastReceivedAt() const override
    {
        return m_isHeadReceived ? std::optional(m_lastActivity) : std::nullopt;
    }

private:
    void recordActivity() { m_lastActivity = std::chrono::steady_clock::now(); }

    // The timer is re-armed only on expiry, to avoid the cost of re-arming it on each of many small reads.
    void armTimer()
    {
        m_timer.expires_at(m_lastActivity + (m_connecting ? m_options.connectTimeout : m_options.idleTimeout));
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code status) {
            if (!status)
                self->timerExpired();
        });
    }

    void timerExpired()
    {
        if (m_done)
            return;
        const auto limit = m_connecting ? m_options.connectTimeout : m_options.idleTimeout;
        if (m_paused)
            recordActivity();
        if (std::chrono::steady_clock::now() < m_lastActivity + limit) {
            armTimer();
            return;
        }
        if (m_connecting)
            end(http_failure::connect, "no connection to " + m_address + " within the connect timeout");
        else
            end(http_failure::idle, "no byte from " + m_address + " within the idle timeout");
    }

    void handleConnect(boost::system::error_code status)
    {
        if (m_done)
            return;
        m_connecting = false;
        if (status) {
            end(http_failure::connect, "cannot connect to " + m_address + ": " + status.message());
            return;
        }
        m_connection->socket.set_option(tcp::no_delay(true), status);
        recordActivity();
        // The idle timeout may be shorter than the remaining connect timeout.
        m_timer.cancel();
        armTimer();
        writeRequest();
    }

    void writeRequest()
    {
        m_sent = true;
        if (m_options.answerKey)
            m_connection->answerKeys.push_back(*m_options.answerKey);
        asio::async_write(m_connection->socket, asio::buffer(m_serializedRequest),
            [self = shared_from_this()](boost::system::error_code status, std::size_t) {
                if (self->m_done)
                    return;
                if (status) {
                    self->end(http_failure::broken,
                        "connection to " + self->m_address + " failed while sending the request: " + status.message());
                    return;
                }
                self->m_serializedRequest = {};
                self->m_heldRequest.set(0);
                self->recordActivity();
                self->read();
            });
    }

    void read()
    {
        m_connection->socket.async_read_some(
            asio::buffer(m_chunk), [self = shared_from_this()](boost::system::error_code status, std::size_t size) {
                if (self->m_done)
                    return;
                if (status) {
                    self->handleReadError(status);
                    return;
                }
                self->m_parser.append({ self->m_chunk.data(), size });
                self->parse();
            });
    }

    // Only a head or a part of the body counts as activity: a peer could send chunk headers or interim responses for ever.
    void parse()
    {
        while (!m_done) {
            if (m_paused) {
                m_readDeferred = true;
                return;
            }
            // Each callback holds the handlers, since it may cancel the call and thereby release what they own.
            const auto handlers = m_handlers;
            switch (m_parser.next()) {
            case response_parser::step::needs_bytes:
                read();
                return;
            case response_parser::step::head:
                recordActivity();
                m_isHeadReceived = true;
                if (handlers->onHead)
                    handlers->onHead(m_parser.head());
                break;
            case response_parser::step::data:
                recordActivity();
                if (handlers->onData)
                    handlers->onData(m_parser.data());
                break;
            case response_parser::step::complete:
                complete();
                return;
            case response_parser::step::invalid:
                end(http_failure::invalid, "the response of " + m_address + " is invalid: " + std::string(m_parser.fault()));
                return;
            }
        }
    }

    void handleReadError(boost::system::error_code status)
    {
        if (status == asio::error::eof && m_parser.finish() == response_parser::step::complete)
            complete();
        else
            end(http_failure::broken, "cannot read the response of " + m_address + ": " + status.message());
    }

    void complete()
    {
        if (m_parser.keepsConnection())
            m_cache->put(m_address, std::move(m_connection), reusableTime());
        end(http_failure::none, {});
    }

    // Uses half of the timeout that the peer announces in its Keep-Alive header, at most maxIdleTime.
    duration reusableTime() const
    {
        constexpr std::string_view timeoutParameter = "timeout=";
        const auto announced = m_parser.head().header("Keep-Alive").value_or(std::string_view());
        const auto position = announced.find(timeoutParameter);
        int seconds = 0;
        if (position == std::string_view::npos
            || std::from_chars(announced.data() + position + timeoutParameter.size(), announced.data() + announced.size(), seconds).ec
                != std::errc {})
            return maxIdleTime;
        return std::min<duration>(maxIdleTime, std::chrono::seconds(seconds) / 2);
    }

    void endForMemory()
    {
        const auto self = shared_from_this();
        end(http_failure::cancelled, "no memory is left for the request to " + m_address);
    }

    void end(http_failure failure, std::string detail)
    {
        if (std::exchange(m_done, true))
            return;
        m_timer.cancel();
        m_heldRequest.set(0);
        boost::system::error_code ignored;
        if (m_connection)
            m_connection->socket.close(ignored);
        http_result result { failure, m_sent, std::move(detail), m_parser.head() };
        const auto handlers = std::exchange(m_handlers, nullptr);
        if (handlers->onDone)
            handlers->onDone(result);
    }

    std::shared_ptr<http_client::connection_cache> m_cache;
    std::string m_address;
    http_call_options m_options;
    std::shared_ptr<http_stream_handlers> m_handlers;
    asio::steady_timer m_timer;
    std::string m_serializedRequest;
    /// Of the request, until it is written.
    memory_budget::holding m_heldRequest;
    response_parser m_parser;
    std::unique_ptr<open_connection> m_connection;
    http_connection m_connectionInfo;
    std::array<char, readBufferBytes> m_chunk {};
    monotonic_time m_lastActivity;
    bool m_connecting = false;
    bool m_sent = false;
    bool m_isHeadReceived = false;
    bool m_paused = false;
    bool m_readDeferred = false;
    bool m_done = false;
};

} // namespace

http_client::http_client(asio::io_context& context, memory_budget* memory)
    : m_cache(std::make_shared<connection_cache>(context, memory))
{
}

http_client::~http_client() = default;

std::shared_ptr<http_call> http_client::stream(
    const std::string& address, http_request request, http_call_options options, http_stream_handlers handlers)
{
    auto call = std::make_shared<running_call>(m_cache, address, std::move(request), options, std::move(handlers));
    call->start();
    return call;
}

std::shared_ptr<http_call> http_client::send(
    const std::string& address, http_request request, http_call_options options, std::function<void(http_result)> onDone)
{
    struct collector {
        std::string body;
        bool tooLarge = false;
        bool tookTooLong = false;
        std::weak_ptr<http_call> call;
        asio::steady_timer timer;
        memory_budget::holding held;

        collector(asio::io_context& context, memory_budget* memory)
            : timer(context)
            , held(memory, "collected_response", [this] { endAsTooLarge(); })
        {
        }

        void endAsTooLarge()
        {
            tooLarge = true;
            if (const auto running = call.lock())
                running->cancel();
        }
    };
    auto state = std::make_shared<collector>(m_cache->context, m_cache->memory);
    http_stream_handlers handlers;
    handlers.onData = [state, limit = options.maxBodyBytes](std::string_view bytes) {
        if (state->body.size() + bytes.size() <= limit) {
            state->body += bytes;
            state->held.set(state->body.size());
            return;
        }
        state->endAsTooLarge();
    };
    handlers.onDone = [state, onDone = std::move(onDone)](const http_result& result) {
        state->timer.cancel();
        http_result fullResult = result;
        fullResult.response.body = std::move(state->body);
        if (state->tookTooLong) {
            fullResult.failure = http_failure::idle;
            fullResult.detail = "the response was not complete within the time limit of the call";
        }
        if (state->tooLarge) {
            fullResult.failure = http_failure::invalid;
            fullResult.detail = "response body exceeds the size limit, or the memory for all messages";
        }
        onDone(std::move(fullResult));
    };
    auto call = stream(address, std::move(request), options, std::move(handlers));
    state->call = call;
    state->timer.expires_after(options.totalTimeout);
    state->timer.async_wait([state](boost::system::error_code status) {
        const auto running = state->call.lock();
        if (status || !running)
            return;
        state->tookTooLong = true;
        running->cancel();
    });
    return call;
}

http_response blocking_http_client::send(const std::string& address, const http_request& request, duration timeout)
{
    asio::io_context context { 1 };
    http_client client(context);
    std::optional<http_result> result;
    http_call_options options;
    options.connectTimeout = timeout;
    options.idleTimeout = timeout;
    options.reuseConnection = false;
    client.send(address, request, options, [&result](http_result value) { result = std::move(value); });
    for (const auto end = std::chrono::steady_clock::now() + timeout; !result && context.run_one_until(end) > 0;) { }
    if (!result)
        throw error(error_kind::timeout, "no response from " + address + " within the time limit",
            "check that the process at that address runs and is not overloaded");
    if (result->failure == http_failure::idle)
        throw error(error_kind::timeout, result->detail, "check that the process at that address runs and is not overloaded");
    if (!result->ok())
        throw error(error_kind::unavailable, result->detail, "check the address and that the process runs");
    return std::move(result->response);
}

} // namespace carawaylink
