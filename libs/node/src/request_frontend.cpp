#include "request_frontend.h"

#include "base/prompt_blocks.h"
#include "crypto/digest.h"
#include "request_handling.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

namespace carawaylink {

namespace json = boost::json;

namespace {

constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view adminPrefix = "/admin/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maxTicketsPerCall = 100;

http_response notFound(std::string_view path)
{
    return refusalResponse({ 404, "unknown_path", "path \"" + std::string(path) + "\" is not served", ran_state::no,
        "see the list of paths in docs/design.md, section 7", {} });
}

http_response modelList(const fleet_view& view)
{
    json::array list;
    for (const auto& [name, service] : view.serviceByModel) {
        if (view.services.at(service).definition.kind == schema::service_kind::engine)
            list.push_back(json::object { { "id", name }, { "object", "model" }, { "owned_by", service.value } });
    }
    return jsonResponse(200, json::serialize(json::object { { "object", "list" }, { "data", std::move(list) } }));
}

// Sent once fleet_view::closed is set. A node that only drains still accepts requests.
refusal drainingRefusal(const fleet_view& view)
{
    std::string addresses;
    for (const auto& member : view.members) {
        if (!member.draining && member.state == member_state::alive)
            addresses += (addresses.empty() ? "" : ", ") + member.httpAddress;
    }
    return { 503, "draining", "this node is shutting down and accepts no new requests", ran_state::no,
        "send the request to one of: " + addresses, std::chrono::milliseconds(100) };
}

} // namespace

request_frontend::request_frontend(io_threads& threads, rcu_cell<std::shared_ptr<const fleet_view>>& view,
    request_frontend_settings settings, control_interface control, metrics& metricsRegistry)
    : m_context(std::make_shared<frontend_context>(std::move(settings), threads, view, std::move(control), metricsRegistry))
{
    for (std::size_t i = 0; i < threads.size(); ++i)
        m_context->clients.push_back(std::make_unique<http_client>(threads.context(i)));
}

request_frontend::~request_frontend() = default;

void request_frontend::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    const auto path = std::string(request.path());
    try {
        if (path == "/v1/completions" || path == "/v1/chat/completions")
            handleCompletion(request, responder);
        else if (path.starts_with(servicesPrefix))
            handlePlain(std::move(request), responder);
        else if (path == "/v1/entry")
            handleEntry(request, responder);
        else if (path == "/v1/models") {
            const auto view = m_context->currentView();
            authenticate(*view, request);
            responder->send(modelList(*view));
        } else if (path == "/metrics")
            responder->send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_context->metricsRegistry.render() });
        else if (path == "/healthz")
            responder->send({ 200, { { "Content-Type", "text/plain" } }, "ok\n" });
        else if (path == "/readyz")
            responder->send(m_context->currentView()->ready() ? http_response { 200, { { "Content-Type", "text/plain" } }, "ready\n" }
                                                              : http_response { 503, { { "Content-Type", "text/plain" } }, "not ready\n" });
        else if (path.starts_with(adminPrefix))
            handleAdmin(std::move(request), responder);
        else
            responder->send(notFound(path));
    } catch (const refused_request& refused) {
        responder->send(refusalResponse(refused.reason));
    }
}

void request_frontend::handleCompletion(const http_request& request, const std::shared_ptr<http_responder>& responder)
{
    const auto view = m_context->currentView();
    if (view->closed)
        throw refused_request { drainingRefusal(*view) };
    if (request.method != "POST")
        throw refused_request { { 405, "wrong_method", "method " + request.method + " is not allowed", ran_state::no, "use POST", {} } };
    const auto& team = authenticate(*view, request);
    auto completion = readCompletion(*view, team, request);
    dispatch_request dispatch;
    readSchedulingHeaders(*view, team, request, dispatch);
    if (dispatch.nonIdempotent && dispatch.ticket.empty())
        throw refused_request { { 428, "ticket_required", "a non-idempotent request requires a ticket", ran_state::no,
            "get one from GET /v1/entry?tickets=1 and send it as X-Carawaylink-Ticket", {} } };
    auto blocks = splitPrompt(completion.prompt);
    dispatch.id = { m_context->settings.requestOrigin, m_context->nextRequest++ };
    dispatch.service = completion.service;
    dispatch.promptTokens = blocks.count;
    dispatch.prefixBlocks = std::move(blocks.hashes);
    dispatch.maxOutputTokens = completion.maxOutputTokens;
    completion.prompt.clear();
    startCompletion(m_context, request, std::move(completion), std::move(dispatch), responder);
}

void request_frontend::handlePlain(http_request request, const std::shared_ptr<http_responder>& responder)
{
    const auto view = m_context->currentView();
    if (view->closed)
        throw refused_request { drainingRefusal(*view) };
    const auto& team = authenticate(*view, request);
    const auto rest = std::string_view(request.target).substr(servicesPrefix.size());
    const auto nameEnd = std::min(rest.find_first_of("/?"), rest.size());
    const service_id service { std::string(rest.substr(0, nameEnd)) };
    const auto found = view->services.find(service);
    if (found == view->services.end() || found->second.definition.kind != schema::service_kind::plain)
        throw refused_request { { 404, "unknown_service", "service \"" + service.value + "\" is not a plain service", ran_state::no,
            "use the name of a plain service from the configuration", {} } };
    dispatch_request dispatch;
    readSchedulingHeaders(*view, team, request, dispatch);
    const bool safeMethod = request.method == "GET" || request.method == "HEAD";
    if (!safeMethod && !request.header("X-Carawaylink-Idempotent"))
        dispatch.nonIdempotent = true;
    if (dispatch.nonIdempotent && dispatch.ticket.empty())
        throw refused_request { { 428, "ticket_required", "a non-idempotent call requires a ticket", ran_state::no,
            "get one from GET /v1/entry?tickets=1 and send it as X-Carawaylink-Ticket, or mark the call X-Carawaylink-Idempotent: true",
            {} } };
    dispatch.id = { m_context->settings.requestOrigin, m_context->nextRequest++ };
    dispatch.service = service;
    dispatch.plainService = true;
    // Plain calls have no tokens; scheduling and rate limits count one prompt token and one output token for each.
    dispatch.promptTokens = tokens(1);
    dispatch.maxOutputTokens = tokens(1);
    auto path = std::string(rest.substr(nameEnd));
    if (path.empty() || path.front() != '/')
        path.insert(path.begin(), '/');
    startPlainCall(m_context, std::move(request), std::move(path), std::move(dispatch), responder);
}

void request_frontend::handleEntry(const http_request& request, const std::shared_ptr<http_responder>& responder)
{
    const auto view = m_context->currentView();
    const auto& team = authenticate(*view, request);
    std::size_t count = 0;
    if (const auto text = request.query("tickets")) {
        const auto [end, status] = std::from_chars(text->data(), text->data() + text->size(), count);
        if (status != std::errc() || end != text->data() + text->size() || count > maxTicketsPerCall)
            throw refused_request { { 400, "invalid_query", "query parameter tickets has the invalid value \"" + *text + "\"",
                ran_state::no, "request from 0 to " + std::to_string(maxTicketsPerCall) + " tickets", {} } };
    }
    m_context->control.entry(
        team.team, count, responder->threadIndex(), [responder](http_response response) { responder->send(std::move(response)); });
}

void request_frontend::handleAdmin(http_request request, const std::shared_ptr<http_responder>& responder)
{
    const auto header = request.header("Authorization").value_or("");
    const auto hash = header.starts_with(bearerPrefix) ? sha256Hex(header.substr(bearerPrefix.size())) : std::string();
    const auto& hashes = m_context->settings.operatorKeyHashes;
    if (std::ranges::none_of(hashes, [&](const std::string& known) { return equalInConstantTime(known, hash); }))
        throw refused_request { { 401, "operator_key_required", "the request has no valid operator key", ran_state::no,
            "send \"Authorization: Bearer KEY\" with an operator key from the daemon's settings", {} } };
    m_context->control.admin(
        std::move(request), responder->threadIndex(), [responder](http_response response) { responder->send(std::move(response)); });
}

} // namespace carawaylink
