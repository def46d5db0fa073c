#include "http/server.h"

#include "request_body.h"

#include "base/error.h"
#include "base/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carawaylink {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct http_server::shared_state {
    shared_state(io_threads& pool, http_server_limits serverLimits, http_handler requestHandler, memory_budget* budget)
        : threads(pool)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , memory(budget)
        , acceptor(pool.context(0))
        , acceptRetryTimer(pool.context(0))
    {
    }

    io_threads& threads;
    http_server_limits limits;
    http_handler handler;
    memory_budget* memory;
    tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    std::atomic<std::size_t> connections = 0;
    /// Connections that hold bytes of a response.
    std::atomic<std::size_t> unwrittenResponses = 0;
    std::atomic<bool> stopping = false;
    std::atomic<bool> closing = false;
    std::atomic<bool> paused = false;
    /// Closes a connection that waits for a request, by connection; of servers with a single thread.
    std::unordered_map<const void*, std::function<void()>> closeIfIdle;

    bool shouldCloseConnections() const { return stopping || closing || paused; }
    void closeAcceptor()
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        acceptRetryTimer.cancel();
    }
    void closeIdleConnections()
    {
        std::vector<std::function<void()>> closers;
        for (const auto& entry : closeIfIdle)
            closers.push_back(entry.second);
        std::ranges::for_each(closers, [](const auto& close) { close(); });
    }
    std::size_t nextThread = 0;
};

namespace {

constexpr std::size_t readBufferBytes = 65536;
// Of the system's buffer for what a caller sends while nobody reads it.
constexpr int receiveBufferBytes = 131072;
// A connection that waits for its next request keeps no larger buffers than this.
constexpr std::size_t maxIdleBufferBytes = 16384;
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

template <typename Body> void appendMessage(std::string& out, http::response<Body>& message)
{
    http::response_serializer<Body> serializer(message);
    serializer.split(std::is_same_v<Body, http::empty_body>);
    beast::error_code status;
    while (!serializer.is_header_done() || (!std::is_same_v<Body, http::empty_body> && !serializer.is_done())) {
        serializer.next(status, [&](beast::error_code&, const auto& buffers) {
            for (auto position = asio::buffer_sequence_begin(buffers); position != asio::buffer_sequence_end(buffers); ++position) {
                const asio::const_buffer part = *position;
                out.append(static_cast<const char*>(part.data()), part.size());
            }
            serializer.consume(asio::buffer_size(buffers));
        });
    }
}

http_response errorResponse(unsigned status, std::string_view type, std::string_view message, std::string_view remedy)
{
    std::string body = R"({"error":{"type":")";
    body.append(type).append(R"(","message":")").append(message).append(R"(","ran":"no","remedy":")").append(remedy).append(R"("}})");
    return jsonResponse(status, std::move(body));
}

class connection;

// Keeps the connection object alive until the response is complete; aborts the response if the handler releases the responder
// before that.
class connection_responder : public http_responder {
public:
    connection_responder(std::shared_ptr<connection> owner, std::uint64_t exchange)
        : m_owner(std::move(owner))
        , m_exchange(exchange)
    {
    }
    ~connection_responder() override;

    void send(http_response response) override;
    void start(unsigned status, std::vector<http_header> headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t pendingBytes() const override;
    void onDrained(std::function<void()> handler) override;
    void onClosed(std::function<void()> handler) override;
    bool closed() const override;
    std::size_t threadIndex() const override;

private:
    std::shared_ptr<connection> m_owner;
    std::uint64_t m_exchange;
};

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<http_server::shared_state> state, tcp::socket socket, std::size_t thread)
        : m_state(std::move(state))
        , m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_thread(thread)
        , m_buffer(readBufferBytes)
        , m_memory(m_state->memory, "connection", [this] { endForMemory(); })
    {
        ++m_state->connections;
    }
    ~connection()
    {
        --m_state->connections;
        m_state->closeIfIdle.erase(this);
    }

    void start()
    {
        boost::system::error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        if (m_state->threads.size() == 1) {
            m_state->closeIfIdle[this] = [self = weak_from_this()] {
                if (const auto alive = self.lock())
                    alive->closeIfIdle();
            };
        }
        readHead(m_state->limits.headerTimeout);
    }

    void closeIfIdle()
    {
        const bool isIdle = m_phase == phase::head && m_buffer.size() == 0 && m_exchange > 0;
        boost::system::error_code status;
        if (isIdle && m_socket.available(status) == 0)
            close();
    }

    void sendResponse(http_response response)
    {
        if (m_closed || m_started)
            return;
        m_started = true;
        http::response<http::string_body> message;
        fillHead(message, response.status, response.headers);
        message.body() = m_isHead ? std::string() : std::move(response.body);
        message.prepare_payload();
        appendMessage(m_pending, message);
        m_responseDone = true;
        flush();
    }

    void startChunked(unsigned status, const std::vector<http_header>& headers)
    {
        if (m_closed || m_started)
            return;
        m_started = true;
        http::response<http::empty_body> message;
        fillHead(message, status, headers);
        message.chunked(true);
        appendMessage(m_pending, message);
        flush();
    }

    void writeChunk(std::string_view bytes)
    {
        if (m_closed || m_responseDone || bytes.empty())
            return;
        std::array<char, 20> size {};
        const auto [end, status] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
        m_pending.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
        flush();
    }

    void finishChunked()
    {
        if (m_closed || m_responseDone)
            return;
        m_pending += "0\r\n\r\n";
        m_responseDone = true;
        flush();
    }

    void close()
    {
        if (std::exchange(m_closed, true))
            return;
        boost::system::error_code ignored;
        m_timer.cancel();
        m_socket.close(ignored);
        countHeld(0);
        const auto handler = std::move(m_onClosed);
        m_onClosed = nullptr;
        m_onDrained = nullptr;
        if (handler && !m_responseDone)
            handler();
    }

    bool isClosed() const { return m_closed; }
    bool responseDone() const { return m_responseDone; }
    std::uint64_t exchange() const { return m_exchange; }
    std::size_t pendingBytes() const { return m_pending.size() + m_writing.size(); }
    std::size_t thread() const { return m_thread; }
    io_threads& threads() { return m_state->threads; }
    // Handlers often hold the responder, which owns the connection. Storing one in a closed connection would leak both through
    // the reference cycle.
    void setOnDrained(std::function<void()> handler) { m_onDrained = m_closed ? nullptr : std::move(handler); }
    void setOnClosed(std::function<void()> handler) { m_onClosed = m_closed ? nullptr : std::move(handler); }

private:
    template <typename Message> void fillHead(Message& message, unsigned status, const std::vector<http_header>& headers)
    {
        message.version(m_version);
        message.result(status);
        for (const auto& header : headers)
            message.insert(header.name, header.value);
        m_keepAlive = m_keepAlive && !m_state->shouldCloseConnections();
        message.keep_alive(m_keepAlive);
    }

    void armTimer(duration limit)
    {
        m_timer.expires_after(limit);
        m_timer.async_wait([self = weak_from_this()](boost::system::error_code status) {
            const auto alive = self.lock();
            if (alive && !status && std::chrono::steady_clock::now() >= alive->m_timer.expiry())
                alive->handleTimeout();
        });
    }

    void handleTimeout()
    {
        if (m_phase == phase::head && m_buffer.size() == 0) {
            close();
            return;
        }
        if (m_phase == phase::head || m_phase == phase::body) {
            m_phase = phase::response;
            sendErrorAndClose(
                errorResponse(408, "request_timeout", "the request did not arrive within the time limit", "send the request faster"));
            return;
        }
        close();
    }

    void sendErrorAndClose(http_response response)
    {
        m_keepAlive = false;
        m_started = false;
        m_responseDone = false;
        sendResponse(std::move(response));
    }

    void readHead(duration limit)
    {
        m_phase = phase::head;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.maxHeaderBytes));
        m_parser->body_limit(m_state->limits.maxBodyBytes);
        // Above the limit of a head, so that one that is too long is reported as such.
        m_buffer.max_size(std::max(m_buffer.size(), m_state->limits.maxHeaderBytes) + readBufferBytes);
        armTimer(limit);
        http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code status, std::size_t) {
            if (self->m_closed || self->m_phase != phase::head)
                return;
            if (status) {
                self->handleReadError(status);
                return;
            }
            if (beast::iequals(self->m_parser->get()[http::field::expect], "100-continue"))
                self->sendContinue();
            self->readBody();
        });
    }

    void sendContinue()
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }

    void readBody()
    {
        m_phase = phase::body;
        if (m_parser->is_done()) {
            dispatch();
            return;
        }
        std::optional<std::size_t> length;
        if (!m_parser->chunked())
            length = static_cast<std::size_t>(*m_parser->content_length());
        m_body.emplace(length, m_state->limits.maxBodyBytes);
        armTimer(m_state->limits.bodyTimeout);
        continueBody();
    }

    void continueBody()
    {
        const auto received = m_buffer.data();
        std::string_view input(static_cast<const char*>(received.data()), received.size());
        const auto state = m_body->take(input);
        m_buffer.consume(received.size() - input.size());
        m_memory.set(m_body->size());
        switch (state) {
        case request_body::state::incomplete:
            break;
        case request_body::state::complete:
            dispatch();
            return;
        case request_body::state::malformed:
            refuseBody(400, "malformed_request", "the chunks of the request body are invalid: " + std::string(m_body->fault()),
                "check the client");
            return;
        case request_body::state::too_large:
            refuseTooLargeBody();
            return;
        }
        m_socket.async_read_some(
            m_buffer.prepare(m_body->bytesToRead()), [self = shared_from_this()](boost::system::error_code status, std::size_t size) {
                if (self->m_closed || self->m_phase != phase::body)
                    return;
                if (status) {
                    self->close();
                    return;
                }
                self->m_buffer.commit(size);
                self->continueBody();
            });
    }

    void refuseBody(unsigned status, std::string_view type, std::string_view message, std::string_view remedy)
    {
        m_phase = phase::response;
        sendErrorAndClose(errorResponse(status, type, message, remedy));
    }

    // This connection holds more than any other message while the process holds too much.
    void endForMemory()
    {
        const auto self = shared_from_this();
        if (m_phase != phase::body) {
            close();
            return;
        }
        m_body.reset();
        refuseBody(503, "out_of_memory", "this node has no memory left for the request", "send the request again later");
    }

    void refuseTooLargeBody()
    {
        refuseBody(413, "body_too_large", "the request body is larger than limits.max_body_bytes", "send a smaller body");
    }

    void handleReadError(boost::system::error_code status)
    {
        m_phase = phase::response;
        if (status == http::error::header_limit) {
            sendErrorAndClose(errorResponse(
                431, "header_too_large", "the request header is larger than limits.max_header_bytes", "send fewer or shorter headers"));
        } else if (status == http::error::body_limit) {
            refuseTooLargeBody();
        } else if (status.category() == make_error_code(http::error::bad_method).category() && status != http::error::end_of_stream
            && status != http::error::partial_message) {
            sendErrorAndClose(errorResponse(400, "malformed_request", "the request is not valid HTTP/1.1", "check the client"));
        } else {
            close();
        }
    }

    void dispatch()
    {
        m_phase = phase::response;
        m_timer.cancel();
        auto& message = m_parser->get();
        // With an unknown transfer coding the body length is undefined, so the following bytes must not be parsed as a request.
        if (message.find(http::field::transfer_encoding) != message.end() && !m_parser->chunked()) {
            sendErrorAndClose(errorResponse(
                400, "malformed_request", "the transfer coding is not supported", "send the body with a length or in chunks"));
            return;
        }
        m_version = message.version();
        m_keepAlive = message.keep_alive();
        m_isHead = message.method() == http::verb::head;
        m_started = false;
        m_responseDone = false;
        ++m_exchange;
        http_request request;
        request.method = message.method_string();
        request.target = message.target();
        for (const auto& field : message)
            request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
        if (m_body)
            request.body = m_body->release();
        m_body.reset();
        m_memory.set(0);
        if (m_buffer.size() == 0 && m_buffer.capacity() > maxIdleBufferBytes)
            m_buffer.shrink_to_fit();
        watchForClose();
        auto responder = std::make_shared<connection_responder>(shared_from_this(), m_exchange);
        try {
            m_state->handler(std::move(request), responder);
        } catch (const std::exception& failure) {
            log_event("request_handler_failed", log_level::error).field("error", failure.what());
            responder->send(
                errorResponse(500, "internal", "the request could not be handled", "report this with the log line request_handler_failed"));
        }
    }

    // Detects that the client disconnects during a response, while nothing is read from it. Stops once pipelined bytes arrive.
    void watchForClose()
    {
        if (m_buffer.size() > 0 || m_watchingForClose)
            return;
        m_watchingForClose = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](boost::system::error_code status) {
            self->m_watchingForClose = false;
            if (self->m_closed || self->m_phase != phase::response)
                return;
            if (status) {
                self->close();
                return;
            }
            std::array<char, 1> probe {};
            boost::system::error_code peekStatus;
            self->m_socket.non_blocking(true, peekStatus);
            const auto size = self->m_socket.receive(asio::buffer(probe), tcp::socket::message_peek, peekStatus);
            if (peekStatus && peekStatus != asio::error::would_block)
                self->close();
            else if (!peekStatus && size == 0)
                self->close();
        });
    }

    // Of the response.
    void countHeld(std::size_t bytes)
    {
        m_memory.set(bytes);
        if (std::exchange(m_holdsResponse, bytes > 0) == (bytes > 0))
            return;
        if (bytes > 0)
            ++m_state->unwrittenResponses;
        else
            --m_state->unwrittenResponses;
    }

    void flush()
    {
        if (m_closed)
            return;
        countHeld(pendingBytes());
        if (m_writeActive)
            return;
        if (m_pending.empty()) {
            if (m_responseDone)
                responseWritten();
            else if (const auto handler = m_onDrained) // copied, since the handler may close the connection and thereby reset m_onDrained
                handler();
            return;
        }
        m_writeActive = true;
        m_writing.swap(m_pending);
        m_pending.clear();
        armWriteTimer();
        asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](boost::system::error_code status, std::size_t) {
            self->m_writeActive = false;
            if (self->m_writing.capacity() > maxIdleBufferBytes)
                self->m_writing = {};
            self->m_writing.clear();
            if (self->m_closed)
                return;
            if (status) {
                self->close();
                return;
            }
            self->m_writeStart.reset();
            self->flush();
        });
    }

    // Uses one timer per response that checks the age of the current write, since arming a timer for each token would cost more
    // than the write itself.
    void armWriteTimer()
    {
        m_writeStart = std::chrono::steady_clock::now();
        if (m_writeTimerArmed)
            return;
        m_writeTimerArmed = true;
        m_timer.expires_after(m_state->limits.writeTimeout);
        m_timer.async_wait([self = weak_from_this()](boost::system::error_code status) {
            const auto alive = self.lock();
            if (!alive)
                return;
            alive->m_writeTimerArmed = false;
            if (status || alive->m_closed || !alive->m_writeStart)
                return;
            if (std::chrono::steady_clock::now() - *alive->m_writeStart >= alive->m_state->limits.writeTimeout)
                alive->close();
            else
                alive->armWriteTimer();
        });
    }

    void responseWritten()
    {
        m_onDrained = nullptr;
        m_onClosed = nullptr;
        if (!m_keepAlive || m_state->shouldCloseConnections()) {
            boost::system::error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            close();
            return;
        }
        if (m_phase != phase::response)
            return;
        m_writeTimerArmed = false;
        readHead(m_state->limits.idleTimeout);
    }

    enum class phase {
        head,
        body,
        response,
    };

    std::shared_ptr<http_server::shared_state> m_state;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::size_t m_thread;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::empty_body>> m_parser;
    /// Of the request that arrives; not set if it has no body.
    std::optional<request_body> m_body;
    phase m_phase = phase::head;
    std::uint64_t m_exchange = 0;
    unsigned m_version = 11;
    bool m_keepAlive = false;
    bool m_isHead = false;
    bool m_started = false;
    bool m_responseDone = false;
    bool m_writeActive = false;
    bool m_writeTimerArmed = false;
    bool m_watchingForClose = false;
    bool m_closed = false;
    /// Is counted in unwrittenResponses.
    bool m_holdsResponse = false;
    std::optional<monotonic_time> m_writeStart;
    std::string m_pending;
    std::string m_writing;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
    /// Of the body that arrives, then of the response that is not written.
    memory_budget::holding m_memory;
};

connection_responder::~connection_responder()
{
    if (m_owner->exchange() == m_exchange && !m_owner->responseDone() && !m_owner->isClosed())
        m_owner->threads().post(m_owner->thread(), [owner = m_owner, exchange = m_exchange] {
            if (owner->exchange() == exchange && !owner->responseDone())
                owner->close();
        });
}

void connection_responder::send(http_response response)
{
    m_owner->sendResponse(std::move(response));
}
void connection_responder::start(unsigned status, std::vector<http_header> headers)
{
    m_owner->startChunked(status, headers);
}
void connection_responder::write(std::string_view bytes)
{
    m_owner->writeChunk(bytes);
}
void connection_responder::finish()
{
    m_owner->finishChunked();
}
void connection_responder::abort()
{
    m_owner->close();
}
std::size_t connection_responder::pendingBytes() const
{
    return m_owner->pendingBytes();
}
void connection_responder::onDrained(std::function<void()> handler)
{
    m_owner->setOnDrained(std::move(handler));
}
void connection_responder::onClosed(std::function<void()> handler)
{
    m_owner->setOnClosed(std::move(handler));
}
bool connection_responder::closed() const
{
    return m_owner->isClosed();
}
std::size_t connection_responder::threadIndex() const
{
    return m_owner->thread();
}

void accept(const std::shared_ptr<http_server::shared_state>& state)
{
    const auto thread = state->nextThread++ % state->threads.size();
    state->acceptor.async_accept(state->threads.context(thread), [state, thread](boost::system::error_code status, tcp::socket socket) {
        if (status == asio::error::operation_aborted || !state->acceptor.is_open())
            return;
        if (status) {
            // Usually the process is out of file descriptors; retrying at once would busy-loop.
            state->acceptRetryTimer.expires_after(acceptRetryDelay);
            state->acceptRetryTimer.async_wait([state](boost::system::error_code stopped) {
                if (!stopped)
                    accept(state);
            });
            return;
        }
        if (state->connections < state->limits.maxConnections)
            state->threads.post(thread, [client = std::make_shared<connection>(state, std::move(socket), thread)] { client->start(); });
        accept(state);
    });
}

} // namespace

http_server::http_server(io_threads& threads, http_server_limits limits, http_handler handler, memory_budget* memory)
    : m_state(std::make_shared<shared_state>(threads, limits, std::move(handler), memory))
{
}

http_server::~http_server()
{
    stopAccepting();
}

std::string http_server::listen(const std::string& address)
{
    const auto parsed = parseAddress(address);
    const tcp::endpoint endpoint(asio::ip::make_address(parsed.ip), parsed.port);
    try {
        boost::system::error_code ignored;
        m_state->acceptor.close(ignored);
        m_state->acceptor.open(endpoint.protocol());
        m_state->acceptor.set_option(tcp::acceptor::reuse_address(true));
        // Connections inherit it. By itself the buffer may grow to several megabytes a connection.
        m_state->acceptor.set_option(tcp::acceptor::receive_buffer_size(receiveBufferBytes));
        m_state->acceptor.bind(endpoint);
        m_state->acceptor.listen(4096);
    } catch (const boost::system::system_error& failure) {
        throw error(
            error_kind::unavailable, "cannot listen on " + address + ": " + failure.code().message(), "choose a free port or port 0");
    }
    const auto bound = m_state->acceptor.local_endpoint();
    accept(m_state);
    return bound.address().to_string() + ":" + std::to_string(bound.port());
}

void http_server::stopAccepting()
{
    if (m_state->stopping.exchange(true))
        return;
    m_state->threads.post(0, [state = m_state] { state->closeAcceptor(); });
}

void http_server::setLimits(http_server_limits limits)
{
    m_state->threads.post(0, [state = m_state, limits] { state->limits = limits; });
}

void http_server::closeAfterResponses()
{
    m_state->closing = true;
}

void http_server::pause()
{
    if (m_state->paused.exchange(true))
        return;
    m_state->threads.post(0, [state = m_state] {
        if (!state->paused)
            return;
        state->closeAcceptor();
        state->closeIdleConnections();
    });
}

void http_server::resume(const std::string& address)
{
    if (m_state->paused && !m_state->stopping && !m_state->acceptor.is_open())
        listen(address);
    m_state->paused = false;
}

std::size_t http_server::unwrittenResponses() const
{
    return m_state->unwrittenResponses;
}

std::size_t http_server::connections() const
{
    return m_state->connections;
}

} // namespace carawaylink
