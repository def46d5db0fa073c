#include "engine_stream.h"

#include "base/log.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace carawaylink {

namespace {

constexpr std::size_t maxFailedAttempts = 6;
// An engine that has lost a token permanently answers every resume with the same gap.
constexpr std::size_t maxConsecutiveGaps = 3;
constexpr auto resumeDelayBase = std::chrono::milliseconds(50);
constexpr auto maxResumeDelay = std::chrono::milliseconds(500);
constexpr std::size_t maxEventBytes = 1U << 20;
constexpr unsigned notFound = 404;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned serviceUnavailable = 503;

// Returns the value of a field of a server-sent event, or nothing if the event has no such field.
std::optional<std::string_view> eventField(std::string_view event, std::string_view name)
{
    std::size_t position = 0;
    while (position < event.size()) {
        const auto end = std::min(event.find('\n', position), event.size());
        auto line = event.substr(position, end - position);
        if (line.starts_with(name) && line.size() > name.size() && line[name.size()] == ':') {
            line.remove_prefix(name.size() + 1);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            return line;
        }
        position = end + 1;
    }
    return std::nullopt;
}

std::int64_t integerField(const boost::json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value && value->is_int64() ? value->as_int64() : 0;
}

} // namespace

engine_stream::engine_stream(boost::asio::io_context& context, http_client& client, endpoint_id endpoint, request_id request,
    duration streamIdleTimeout, engine_stream_handlers handlers)
    : m_context(context)
    , m_client(client)
    , m_endpoint(std::move(endpoint))
    , m_request(request)
    , m_idleTimeout(streamIdleTimeout)
    , m_handlers(std::move(handlers))
    , m_timer(context)
{
}

void engine_stream::dispatch(const std::string& path, std::string body)
{
    run({ "POST", path, { { "Content-Type", "application/json" }, { "X-Request-Id", toString(m_request) } }, std::move(body) }, true);
}

void engine_stream::attach()
{
    run({ "GET", "/v1/streams/" + toString(m_request) + "?from=" + std::to_string(m_nextOffset), {}, {} }, false);
}

void engine_stream::run(http_request request, bool isDispatch)
{
    const auto generation = ++m_generation;
    m_isDispatch = isDispatch;
    m_status = 0;
    m_gapSeen = false;
    m_buffer.clear();
    m_errorBody.clear();
    http_call_options options;
    options.idleTimeout = m_idleTimeout;
    options.connectTimeout = m_idleTimeout;
    // Resuming on a pooled connection could hit the same fault as the connection that it replaces.
    options.reuseConnection = isDispatch;
    http_stream_handlers handlers;
    const auto self = shared_from_this();
    handlers.onHead = [self, generation](const http_response& head) {
        if (self->m_generation == generation)
            self->handleHead(head);
    };
    handlers.onData = [self, generation](std::string_view bytes) {
        if (self->m_generation == generation)
            self->handleData(bytes);
    };
    handlers.onDone = [self, generation](const http_result& result) {
        if (self->m_generation == generation)
            self->handleCallEnd(result);
    };
    m_call = m_client.stream(m_endpoint.value, std::move(request), options, std::move(handlers));
    if (m_paused)
        m_call->pause();
}

void engine_stream::handleHead(const http_response& head)
{
    m_status = head.status;
    m_result.endpointLeaving = head.header("X-Engine-Leaving").has_value();
    if (m_status == 200) {
        m_streamStarted = true;
        m_failedAttempts = 0;
    }
}

void engine_stream::handleData(std::string_view bytes)
{
    if (m_finished || m_gapSeen || m_doneSeen)
        return;
    if (m_status != 200) {
        if (m_errorBody.size() + bytes.size() <= maxEventBytes)
            m_errorBody += bytes;
        return;
    }
    m_buffer += bytes;
    std::size_t start = 0;
    // Data after [DONE] does not belong to the request.
    while (!m_finished && !m_gapSeen && !m_doneSeen) {
        const auto end = m_buffer.find("\n\n", start);
        if (end == std::string::npos)
            break;
        handleEvent(std::string_view(m_buffer).substr(start, end + 2 - start));
        start = end + 2;
    }
    m_buffer.erase(0, start);
    if (m_buffer.size() > maxEventBytes && !m_finished)
        finish(stream_outcome::lost, "engine sent an event larger than 1 MiB");
}

void engine_stream::handleEvent(std::string_view event)
{
    const auto data = eventField(event, "data");
    if (!data)
        return;
    if (*data == "[DONE]") {
        m_doneSeen = true;
        m_handlers.onEvent(event);
        return;
    }
    const auto id = eventField(event, "id");
    if (!id) {
        if (readUsage(*data) > m_nextOffset) {
            requestMissingTokens();
            return;
        }
        if (!std::exchange(m_usageSeen, true))
            m_handlers.onEvent(event);
        return;
    }
    std::int64_t offset = -1;
    std::from_chars(id->data(), id->data() + id->size(), offset);
    if (offset < m_nextOffset)
        return;
    if (offset > m_nextOffset) {
        requestMissingTokens();
        return;
    }
    ++m_nextOffset;
    m_consecutiveGaps = 0;
    m_handlers.onEvent(event);
}

// Discards the rest of this response, including its end; the stream is resumed at the first missing token.
void engine_stream::requestMissingTokens()
{
    m_gapSeen = true;
    m_call->cancel();
}

std::int64_t engine_stream::readUsage(std::string_view data)
{
    boost::system::error_code status;
    const auto document = boost::json::parse(data, status);
    if (status || !document.is_object())
        return 0;
    const auto* usage = document.as_object().if_contains("usage");
    if (!usage || !usage->is_object())
        return 0;
    m_result.promptTokens = tokens(integerField(usage->as_object(), "prompt_tokens"));
    if (const auto* details = usage->as_object().if_contains("prompt_tokens_details"); details && details->is_object())
        m_result.cachedTokens = tokens(integerField(details->as_object(), "cached_tokens"));
    return integerField(usage->as_object(), "completion_tokens");
}

void engine_stream::handleCallEnd(const http_result& result)
{
    if (m_finished)
        return;
    if (m_doneSeen) {
        finish(stream_outcome::complete, {});
        return;
    }
    if (m_gapSeen) {
        if (++m_consecutiveGaps > maxConsecutiveGaps)
            finish(stream_outcome::lost, "engine repeatedly failed to deliver output token " + std::to_string(m_nextOffset));
        else
            scheduleResume();
        return;
    }
    const bool answered = result.ok() && m_status != 0;
    if (m_isDispatch && !result.sent) {
        finish(stream_outcome::unreachable, result.detail);
        return;
    }
    if (answered && m_isDispatch && m_status != 200) {
        m_result.status = m_status;
        m_result.body = std::move(m_errorBody);
        const bool refused = m_status == serviceUnavailable || m_status == tooManyRequests || (m_status >= 400 && m_status < 500);
        finish(refused ? stream_outcome::rejected : stream_outcome::lost, "engine answered status " + std::to_string(m_status));
        return;
    }
    if (answered && m_status == 200) {
        finish(stream_outcome::lost, "engine ended the stream without [DONE]");
        return;
    }
    if (answered && m_status == notFound && m_streamStarted) {
        finish(stream_outcome::lost, "engine no longer knows the request");
        return;
    }
    if (++m_failedAttempts > maxFailedAttempts) {
        finish(stream_outcome::lost, answered ? "engine does not know the request" : "engine is unreachable: " + result.detail);
        return;
    }
    scheduleResume();
}

void engine_stream::scheduleResume()
{
    const auto exponent = std::min<std::size_t>(m_failedAttempts, 4);
    const auto delay = m_failedAttempts == 0 ? duration::zero() : std::min<duration>(resumeDelayBase * (1U << exponent), maxResumeDelay);
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code status) {
        if (!status && !self->m_finished)
            self->attach();
    });
}

void engine_stream::cancel()
{
    if (m_finished)
        return;
    // The caller has the complete output; only the end of the engine's HTTP response is outstanding.
    if (m_doneSeen) {
        finish(stream_outcome::complete, {});
        return;
    }
    m_client.send(m_endpoint.value, { "DELETE", "/v1/streams/" + toString(m_request), {}, {} }, {}, [](const http_result&) {});
    finish(stream_outcome::cancelled, "cancelled");
}

void engine_stream::pause()
{
    m_paused = true;
    if (m_call)
        m_call->pause();
}

void engine_stream::resume()
{
    m_paused = false;
    if (m_call)
        m_call->resume();
}

void engine_stream::finish(stream_outcome outcome, std::string detail)
{
    if (std::exchange(m_finished, true))
        return;
    // onDone may release the last reference to this stream while it reads m_result.
    const auto self = shared_from_this();
    ++m_generation;
    m_timer.cancel();
    // The generation has changed, so that the end of the call does not end the stream again.
    if (m_call)
        m_call->cancel();
    m_result.outcome = outcome;
    m_result.outputTokens = tokens(m_nextOffset);
    m_result.detail = std::move(detail);
    const auto handlers = std::move(m_handlers);
    m_handlers = {};
    handlers.onDone(m_result);
}

} // namespace carawaylink
