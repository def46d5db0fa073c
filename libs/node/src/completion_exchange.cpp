#include "base/log.h"
#include "base/prompt_blocks.h"
#include "engine_stream.h"
#include "request_handling.h"

#include <algorithm>
#include <boost/json.hpp>

namespace carawaylink {

namespace json = boost::json;

namespace {

// Above this many unwritten bytes the engine's stream is paused until the caller has read them.
constexpr std::size_t maxPendingBytes = 256U << 10;
constexpr std::size_t maxDispatchAttempts = 3;

/// Assembles the streamed chunks into one non-streamed response.
class response_assembler {
public:
    void add(std::string_view event, bool chat)
    {
        const auto start = event.find("data:");
        if (start == std::string_view::npos)
            return;
        boost::system::error_code status;
        const auto document = json::parse(event.substr(start + 5), status);
        if (status || !document.is_object())
            return;
        const auto& object = document.as_object();
        if (const auto* usage = object.if_contains("usage"); usage && usage->is_object())
            m_usage = usage->as_object();
        const auto* choices = object.if_contains("choices");
        if (!choices || !choices->is_array() || choices->as_array().empty() || !choices->as_array().front().is_object())
            return;
        const auto& choice = choices->as_array().front().as_object();
        if (const auto* reason = choice.if_contains("finish_reason"); reason && reason->is_string())
            m_finishReason = reason->as_string();
        const json::object* textParent = &choice;
        if (chat) {
            const auto* delta = choice.if_contains("delta");
            if (!delta || !delta->is_object())
                return;
            textParent = &delta->as_object();
        }
        if (const auto* text = textParent->if_contains(chat ? "content" : "text"); text && text->is_string())
            m_text += text->as_string();
    }

    std::string render(const request_id& id, const std::string& model, bool chat) const
    {
        json::object choice { { "index", 0 }, { "finish_reason", m_finishReason } };
        if (chat)
            choice["message"] = json::object { { "role", "assistant" }, { "content", m_text } };
        else
            choice["text"] = m_text;
        return json::serialize(json::object { { "id", toString(id) }, { "object", chat ? "chat.completion" : "text_completion" },
            { "model", model }, { "choices", json::array { std::move(choice) } }, { "usage", m_usage } });
    }

private:
    std::string m_text;
    std::string m_finishReason = "stop";
    json::object m_usage;
};

/// Handles one completion from its arrival to the end of its response, on the thread of the caller's connection.
class completion_exchange : public std::enable_shared_from_this<completion_exchange> {
public:
    completion_exchange(std::shared_ptr<frontend_context> context, http_request original, completion_request completion,
        dispatch_request request, std::shared_ptr<http_responder> responder)
        : m_context(std::move(context))
        , m_original(std::move(original))
        , m_completion(std::move(completion))
        , m_request(std::move(request))
        , m_responder(std::move(responder))
        , m_thread(m_responder->threadIndex())
    {
        ++m_context->running;
    }
    ~completion_exchange() { --m_context->running; }

    void start()
    {
        m_responder->onClosed([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->handleCallerDisconnect();
        });
        acquire();
    }

private:
    void acquire()
    {
        ++m_attempts;
        auto request = m_request;
        request.onPreempt = [weak = weak_from_this(), context = m_context, thread = m_thread] {
            context->threads.post(thread, [weak] {
                if (const auto self = weak.lock())
                    self->preempted();
            });
        };
        m_waiting = true;
        m_context->control.acquire(std::move(request), m_thread,
            [self = shared_from_this()](dispatch_decision decision) { self->handleDecision(std::move(decision)); });
    }

    void handleDecision(dispatch_decision decision)
    {
        m_waiting = false;
        if (const auto* permission = std::get_if<dispatch_permission>(&decision)) {
            dispatch(permission->endpoint);
        } else if (const auto* reason = std::get_if<refusal>(&decision)) {
            sendRefusal(*reason);
        } else if (const auto* attachment = std::get_if<attach_to_stream>(&decision)) {
            m_holdsSlot = false;
            m_dispatchTime = std::chrono::steady_clock::now();
            openStream(attachment->endpoint, attachment->holder)->attach();
        } else if (const auto* home = std::get_if<forward_to_home>(&decision)) {
            forwardRequest(m_context, m_original, home->httpAddress, m_responder, [self = shared_from_this()] {
                self->m_request.homeUnreachable = true;
                self->acquire();
            });
        } else {
            sendRefusal(
                { 500, "internal", "received a stored response for an engine request", ran_state::unknown, "report this as a bug", {} });
        }
    }

    void dispatch(const endpoint_id& endpoint)
    {
        m_holdsSlot = true;
        m_dispatchTime = std::chrono::steady_clock::now();
        if (m_responder->closed() && m_request.ticket.empty()) {
            release(release_outcome::unused, {});
            return;
        }
        openStream(endpoint, m_request.id)->dispatch(std::string(m_original.path()), m_completion.engineBody);
    }

    std::shared_ptr<engine_stream> openStream(const endpoint_id& endpoint, const request_id& id)
    {
        m_endpoint = endpoint;
        engine_stream_handlers handlers;
        handlers.onEvent = [self = shared_from_this()](std::string_view event) { self->handleEvent(event); };
        handlers.onDone = [self = shared_from_this()](const stream_result& result) { self->handleStreamEnd(result); };
        m_stream = std::make_shared<engine_stream>(m_context->threads.context(m_thread), *m_context->clients.at(m_thread), endpoint, id,
            m_context->settings.streamIdleTimeout, std::move(handlers));
        return m_stream;
    }

    void handleEvent(std::string_view event)
    {
        const auto received = m_stream->receivedTokens();
        if (m_request.progress->outputTokens.exchange(received, std::memory_order_relaxed) == 0 && received > 0) {
            m_firstToken = std::chrono::steady_clock::now() - m_dispatchTime;
            m_request.progress->firstTokenMicroseconds = std::chrono::duration_cast<std::chrono::microseconds>(m_firstToken).count();
        }
        if (m_responder->closed())
            return;
        if (!m_completion.streamed) {
            m_assembler.add(event, m_completion.chat);
            return;
        }
        if (!std::exchange(m_started, true))
            m_responder->start(200, { { "Content-Type", "text/event-stream" }, { "X-Carawaylink-Request", toString(m_request.id) } });
        m_responder->write(event);
        if (m_responder->pendingBytes() > maxPendingBytes)
            applyBackpressure();
    }

    void applyBackpressure()
    {
        m_stream->pause();
        m_responder->onDrained([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->m_stream && self->m_responder->pendingBytes() == 0)
                self->m_stream->resume();
        });
    }

    void handleStreamEnd(const stream_result& result)
    {
        m_stream.reset();
        switch (result.outcome) {
        case stream_outcome::complete:
            release(release_outcome::completed, result);
            sendCompleteResponse();
            break;
        case stream_outcome::rejected:
        case stream_outcome::unreachable:
            handleNotExecuted(result);
            break;
        case stream_outcome::lost:
            release(release_outcome::failed, result);
            sendRefusal({ 502, "unknown_result", "the engine's response was lost: " + result.detail, ran_state::unknown,
                "check whether the request took effect before sending it again", {} });
            break;
        case stream_outcome::cancelled:
            release(release_outcome::cancelled, result);
            sendRefusal({ 503, "preempted", "the request was preempted by a request of a more urgent tier", ran_state::unknown,
                "send the request again later, or with a more urgent tier", std::chrono::seconds(1) });
            break;
        }
    }

    // The engine did not accept the request, so it was certainly not executed.
    void handleNotExecuted(const stream_result& result)
    {
        const bool leaving = result.endpointLeaving;
        if (leaving)
            m_context->control.endpointLeaving(m_endpoint);
        // Also reported for an unreachable engine: the scheduler accepts a request again only if it was certainly not executed.
        release(release_outcome::rejected, result);
        const bool isClientError = result.status >= 400 && result.status < 500 && result.status != 429;
        if (isClientError) {
            sendResponse({ result.status, { { "Content-Type", "application/json" } }, result.body });
            return;
        }
        const bool shouldRetry = m_request.ticket.empty() && m_attempts < maxDispatchAttempts && !m_responder->closed()
            && std::chrono::steady_clock::now() < m_request.deadline && (leaving || m_context->control.tryRetry(m_completion.service));
        if (shouldRetry) {
            acquire();
            return;
        }
        sendRefusal({ 503, "endpoint_unavailable", "the endpoint did not accept the request: " + result.detail, ran_state::no,
            "send the request again", std::chrono::milliseconds(200) });
    }

    void release(release_outcome outcome, const stream_result& result)
    {
        if (!std::exchange(m_holdsSlot, false))
            return;
        slot_release report;
        report.request = m_request.id;
        report.outcome = outcome;
        report.promptTokens = result.promptTokens;
        report.cachedTokens = result.cachedTokens;
        report.outputTokens = result.outputTokens;
        report.timeToFirstToken = m_firstToken;
        report.total = std::chrono::steady_clock::now() - m_dispatchTime;
        report.endpointLeaving = result.endpointLeaving;
        m_context->control.finished(report, std::nullopt);
        m_context->control.account(m_request.team, m_request.level, report);
    }

    void handleCallerDisconnect()
    {
        // A caller with a ticket may retry and read the output then.
        if (!m_request.ticket.empty())
            return;
        if (m_waiting) {
            m_context->control.withdraw(m_request.id);
            observe("caller_left");
        } else if (m_stream) {
            m_stream->cancel();
        }
    }

    void preempted()
    {
        if (m_stream)
            m_stream->cancel();
    }

    void sendCompleteResponse()
    {
        observe("complete");
        if (m_completion.streamed) {
            m_responder->finish();
            return;
        }
        sendResponse(jsonResponse(200, m_assembler.render(m_request.id, m_completion.model, m_completion.chat)));
    }

    // If the response has started, sends an error event and aborts the connection, so that the caller cannot take the output for
    // complete.
    void sendRefusal(const refusal& reason)
    {
        observe(reason.type);
        log_event("request_refused")
            .field("request", m_request.id)
            .field("team", m_request.team)
            .field("tier", static_cast<int>(m_request.level.value))
            .field("reason", reason.type)
            .field("ran", ranStateNames.name(reason.ran));
        if (!m_started) {
            sendResponse(refusalResponse(reason));
            return;
        }
        m_responder->onDrained([responder = m_responder] { responder->abort(); });
        m_responder->write("data: " + refusalBody(reason) + "\n\n");
    }

    void sendResponse(http_response response)
    {
        response.headers.push_back({ "X-Carawaylink-Request", toString(m_request.id) });
        m_responder->send(std::move(response));
    }

    void observe(const std::string& outcome)
    {
        if (std::exchange(m_observed, true))
            return;
        const auto now = std::chrono::steady_clock::now();
        request_observation observation { m_request.team, m_request.level, m_completion.service, outcome, {}, {}, now - m_request.arrival,
            m_request.progress->outputTokens };
        if (m_dispatchTime != monotonic_time {}) {
            observation.waited = m_dispatchTime - m_request.arrival;
            if (m_firstToken > duration::zero())
                observation.firstToken = observation.waited + m_firstToken;
        }
        m_context->metricsRegistry.observe(observation);
    }

    std::shared_ptr<frontend_context> m_context;
    http_request m_original;
    completion_request m_completion;
    dispatch_request m_request;
    std::shared_ptr<http_responder> m_responder;
    std::size_t m_thread;
    std::shared_ptr<engine_stream> m_stream;
    endpoint_id m_endpoint;
    response_assembler m_assembler;
    monotonic_time m_dispatchTime {};
    duration m_firstToken {};
    std::size_t m_attempts = 0;
    bool m_waiting = false;
    bool m_holdsSlot = false;
    bool m_started = false;
    bool m_observed = false;
};

} // namespace

void startCompletion(const std::shared_ptr<frontend_context>& context, http_request original, completion_request completion,
    dispatch_request request, const std::shared_ptr<http_responder>& responder)
{
    std::make_shared<completion_exchange>(context, std::move(original), std::move(completion), std::move(request), responder)->start();
}

} // namespace carawaylink
