#include "base/log.h"
#include "request_handling.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace carawaylink {

namespace {

constexpr std::size_t maxDispatchAttempts = 3;
constexpr std::size_t maxResponseBytes = 16U << 20;

bool isInternalHeader(const http_header& header)
{
    constexpr std::string_view prefix = "X-Carawaylink-";
    return boost::beast::iequals(header.name, "Authorization")
        || boost::beast::iequals(std::string_view(header.name).substr(0, prefix.size()), prefix);
}

/// Handles one call to a plain service from its arrival to its response, on the thread of the caller's connection.
class plain_exchange : public std::enable_shared_from_this<plain_exchange> {
public:
    plain_exchange(std::shared_ptr<frontend_context> context, http_request original, std::string path, dispatch_request request,
        std::shared_ptr<http_responder> responder)
        : m_context(std::move(context))
        , m_original(std::move(original))
        , m_path(std::move(path))
        , m_request(std::move(request))
        , m_responder(std::move(responder))
        , m_thread(m_responder->threadIndex())
    {
        ++m_context->running;
    }
    ~plain_exchange() { --m_context->running; }

    void start() { acquire(); }

private:
    void acquire()
    {
        ++m_attempts;
        m_context->control.acquire(
            m_request, m_thread, [self = shared_from_this()](dispatch_decision decision) { self->handleDecision(std::move(decision)); });
    }

    void handleDecision(dispatch_decision decision)
    {
        if (const auto* permission = std::get_if<dispatch_permission>(&decision)) {
            dispatch(permission->endpoint);
        } else if (const auto* reason = std::get_if<refusal>(&decision)) {
            sendRefusal(*reason);
        } else if (const auto* repeated = std::get_if<stored_response>(&decision)) {
            sendResponse({ repeated->status, { { "Content-Type", repeated->contentType } }, repeated->body }, "complete");
        } else if (const auto* home = std::get_if<forward_to_home>(&decision)) {
            forwardRequest(m_context, m_original, home->httpAddress, m_responder, [self = shared_from_this()] {
                self->m_request.homeUnreachable = true;
                self->acquire();
            });
        } else {
            sendRefusal({ 502, "unknown_result", "the service's response to the earlier call cannot be read again", ran_state::unknown,
                "check whether the request took effect before sending it with a new ticket", {} });
        }
    }

    void dispatch(const endpoint_id& endpoint)
    {
        m_endpoint = endpoint;
        m_dispatchTime = std::chrono::steady_clock::now();
        auto headers = m_original.headers;
        std::erase_if(headers, [](const http_header& header) { return isConnectionHeader(header) || isInternalHeader(header); });
        headers.push_back({ "X-Request-Id", toString(m_request.id) });
        http_call_options options;
        options.maxBodyBytes = maxResponseBytes;
        // If a kept-alive connection turned out to be dead, it would be unknown whether the call was executed.
        options.reuseConnection = !m_request.nonIdempotent;
        const auto remaining = m_request.deadline - m_dispatchTime;
        options.idleTimeout = std::max<duration>(remaining, std::chrono::milliseconds(1));
        m_context->clients.at(m_thread)->send(endpoint.value, { m_original.method, m_path, std::move(headers), m_original.body }, options,
            [self = shared_from_this()](http_result result) { self->handleResponse(std::move(result)); });
    }

    void handleResponse(http_result result)
    {
        const bool leaving = result.response.header("X-Engine-Leaving").has_value();
        if (leaving)
            m_context->control.endpointLeaving(m_endpoint);
        const bool notAccepted = (result.failure == http_failure::connect && !result.sent) || (leaving && result.response.status == 503);
        if (result.ok() && !notAccepted) {
            const auto type = std::string(result.response.header("Content-Type").value_or("application/octet-stream"));
            release(release_outcome::completed, stored_response { result.response.status, type, result.response.body });
            sendResponse({ result.response.status, { { "Content-Type", type } }, std::move(result.response.body) }, "complete");
            return;
        }
        release(notAccepted ? release_outcome::rejected : release_outcome::failed, std::nullopt);
        const bool mayRetry = (notAccepted && m_request.ticket.empty()) || !m_request.nonIdempotent;
        if (mayRetry && m_attempts < maxDispatchAttempts && std::chrono::steady_clock::now() < m_request.deadline && !m_responder->closed()
            && (leaving || m_context->control.tryRetry(m_request.service))) {
            // The scheduler does not accept a request again that may have been executed, so the retry gets a new id.
            if (!notAccepted)
                m_request.id.sequence = m_context->nextRequest++;
            acquire();
            return;
        }
        if (notAccepted)
            sendRefusal({ 503, "endpoint_unavailable", "the endpoint did not accept the call: " + result.detail, ran_state::no,
                "send the request again", std::chrono::milliseconds(200) });
        else
            sendRefusal({ 502, "unknown_result", "the service's response was lost: " + result.detail, ran_state::unknown,
                "check whether the call took effect before sending it with a new ticket", {} });
    }

    void release(release_outcome outcome, std::optional<stored_response> response)
    {
        slot_release report;
        report.request = m_request.id;
        report.outcome = outcome;
        report.total = std::chrono::steady_clock::now() - m_dispatchTime;
        m_context->control.finished(report, m_request.ticket.empty() ? std::nullopt : std::move(response));
        m_context->control.account(m_request.team, m_request.level, report);
    }

    void sendRefusal(const refusal& reason)
    {
        log_event("request_refused")
            .field("request", m_request.id)
            .field("team", m_request.team)
            .field("tier", static_cast<int>(m_request.level.value))
            .field("reason", reason.type)
            .field("ran", ranStateNames.name(reason.ran));
        sendResponse(refusalResponse(reason), reason.type);
    }

    void sendResponse(http_response response, const std::string& outcome)
    {
        const auto now = std::chrono::steady_clock::now();
        const auto waited = m_dispatchTime == monotonic_time {} ? duration::zero() : m_dispatchTime - m_request.arrival;
        m_context->metricsRegistry.observe(
            { m_request.team, m_request.level, m_request.service, outcome, waited, {}, now - m_request.arrival, 0 });
        response.headers.push_back({ "X-Carawaylink-Request", toString(m_request.id) });
        m_responder->send(std::move(response));
    }

    std::shared_ptr<frontend_context> m_context;
    http_request m_original;
    std::string m_path;
    dispatch_request m_request;
    std::shared_ptr<http_responder> m_responder;
    std::size_t m_thread;
    endpoint_id m_endpoint;
    monotonic_time m_dispatchTime {};
    std::size_t m_attempts = 0;
};

} // namespace

void startPlainCall(const std::shared_ptr<frontend_context>& context, http_request original, std::string servicePath,
    dispatch_request request, const std::shared_ptr<http_responder>& responder)
{
    std::make_shared<plain_exchange>(context, std::move(original), std::move(servicePath), std::move(request), responder)->start();
}

} // namespace carawaylink
