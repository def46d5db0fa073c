#pragma once

#include "base/enum_table.h"
#include "base/ids.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace carawaylink {

enum class stream_outcome {
    /// The complete output was received.
    complete,
    /// The engine refused the request without executing it.
    rejected,
    /// The request was not sent to the engine, because no connection could be established.
    unreachable,
    /// The stream cannot be resumed; whether and how far the request was executed is unknown.
    lost,
    /// cancel() was called.
    cancelled,
};

inline constexpr auto streamOutcomeNames = enumTable<stream_outcome>({
    { stream_outcome::complete, "complete" },
    { stream_outcome::rejected, "rejected" },
    { stream_outcome::unreachable, "unreachable" },
    { stream_outcome::lost, "lost" },
    { stream_outcome::cancelled, "cancelled" },
});

struct stream_result {
    stream_outcome outcome = stream_outcome::lost;
    tokens promptTokens;
    tokens cachedTokens;
    tokens outputTokens;
    /// HTTP status and body of a rejection.
    unsigned status = 0;
    std::string body;
    bool endpointLeaving = false;
    std::string detail;
};

struct engine_stream_handlers {
    /// One complete server-sent event including its final blank line. Each token is delivered once and in order.
    std::function<void(std::string_view event)> onEvent;
    std::function<void(const stream_result& result)> onDone;
};

/// Reads the output of one request from a model engine. The request is sent once; if the connection breaks or times out, the
/// stream is resumed by token offset on a new connection. Must be used on the thread of the client's event loop only.
class engine_stream : public std::enable_shared_from_this<engine_stream> {
public:
    engine_stream(boost::asio::io_context& context, http_client& client, endpoint_id endpoint, request_id request,
        duration streamIdleTimeout, engine_stream_handlers handlers);

    /// Dispatches the request.
    void dispatch(const std::string& path, std::string body);
    /// Reads the output of a request that was dispatched earlier, starting at its first token.
    void attach();
    /// Cancels the request at the engine.
    void cancel();
    void pause();
    void resume();

    std::int64_t receivedTokens() const { return m_nextOffset; }

private:
    void run(http_request request, bool isDispatch);
    void handleHead(const http_response& head);
    void handleData(std::string_view bytes);
    void handleEvent(std::string_view event);
    void requestMissingTokens();
    /// Returns the number of output tokens reported by the engine; 0 if the event has none.
    std::int64_t readUsage(std::string_view data);
    void handleCallEnd(const http_result& result);
    void scheduleResume();
    void finish(stream_outcome outcome, std::string detail);

    boost::asio::io_context& m_context;
    http_client& m_client;
    endpoint_id m_endpoint;
    request_id m_request;
    duration m_idleTimeout;
    engine_stream_handlers m_handlers;
    std::shared_ptr<http_call> m_call;
    boost::asio::steady_timer m_timer;
    std::string m_buffer;
    std::string m_errorBody;
    stream_result m_result;
    std::uint64_t m_generation = 0;
    std::int64_t m_nextOffset = 0;
    std::size_t m_failedAttempts = 0;
    std::size_t m_consecutiveGaps = 0;
    unsigned m_status = 0;
    bool m_isDispatch = false;
    bool m_gapSeen = false;
    bool m_streamStarted = false;
    bool m_usageSeen = false;
    bool m_doneSeen = false;
    bool m_paused = false;
    bool m_finished = false;
};

} // namespace carawaylink
