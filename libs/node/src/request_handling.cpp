#include "request_handling.h"

#include "base/prompt_blocks.h"
#include "crypto/digest.h"

#include <boost/json.hpp>
#include <charconv>

namespace carawaylink {

namespace json = boost::json;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
// Far above the output of any engine, and small enough that sums of token counts cannot overflow.
constexpr std::int64_t maxOutputTokenLimit = 100'000'000;
constexpr std::int64_t maxDeadlineMilliseconds = 24LL * 3600 * 1000;

[[noreturn]] void refuse(unsigned status, std::string type, std::string message, std::string remedy)
{
    throw refused_request { { status, std::move(type), std::move(message), ran_state::no, std::move(remedy), {} } };
}

std::optional<std::int64_t> readNumber(const http_request& request, std::string_view header, std::int64_t minimum, std::int64_t maximum)
{
    const auto text = request.header(header);
    if (!text)
        return std::nullopt;
    std::int64_t value = 0;
    const auto [end, status] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (status != std::errc() || end != text->data() + text->size() || value < minimum || value > maximum)
        refuse(400, "invalid_header", "header " + std::string(header) + " has the invalid value \"" + std::string(*text) + "\"",
            "send a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return value;
}

bool readBool(const http_request& request, std::string_view header, bool fallback)
{
    const auto text = request.header(header);
    if (!text)
        return fallback;
    if (*text == "true" || *text == "1")
        return true;
    if (*text == "false" || *text == "0")
        return false;
    refuse(400, "invalid_header", "header " + std::string(header) + " has the invalid value \"" + std::string(*text) + "\"",
        "send true or false");
}

std::string readContent(const json::value& content)
{
    if (content.is_string())
        return std::string(content.as_string());
    std::string text;
    if (content.is_array()) {
        for (const auto& part : content.as_array()) {
            if (part.is_string())
                text += part.as_string();
            else if (part.is_object() && part.as_object().if_contains("text") && part.at("text").is_string())
                text += part.at("text").as_string();
            text += '\n';
        }
        return text;
    }
    refuse(400, "invalid_request", "a prompt or message content is neither a string nor a list", "send a string or a list of text parts");
}

std::string readPrompt(const json::object& body, bool chat)
{
    if (!chat) {
        const auto* prompt = body.if_contains("prompt");
        if (!prompt)
            refuse(400, "invalid_request", "field \"prompt\" is missing", "add the field \"prompt\" to the request");
        return readContent(*prompt);
    }
    const auto* messages = body.if_contains("messages");
    if (!messages || !messages->is_array() || messages->as_array().empty())
        refuse(400, "invalid_request", "field \"messages\" is missing, empty or not a list", "send a list of at least one message");
    std::string text;
    for (const auto& message : messages->as_array()) {
        if (!message.is_object() || !message.as_object().if_contains("content"))
            refuse(400, "invalid_request", "a message has no \"content\"", "send messages with role and content");
        text += readContent(message.at("content"));
        text += '\n';
    }
    return text;
}

} // namespace

std::string refusalBody(const refusal& reason)
{
    json::object body { { "type", reason.type }, { "message", reason.message }, { "ran", ranStateNames.name(reason.ran) },
        { "remedy", reason.remedy },
        { "retry_after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(reason.retryAfter).count() } };
    return json::serialize(json::object { { "error", std::move(body) } });
}

http_response refusalResponse(const refusal& reason)
{
    auto response = jsonResponse(reason.status, refusalBody(reason));
    if (reason.retryAfter > duration::zero())
        response.headers.push_back({ "Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(reason.retryAfter).count()) });
    return response;
}

const team_policy& authenticate(const fleet_view& view, const http_request& request)
{
    if (view.version.value == 0)
        refuse(503, "starting", "this node has no configuration yet", "send the request to another entry address");
    const auto header = request.header("Authorization");
    if (!header || !header->starts_with(bearerPrefix))
        refuse(401, "missing_key", "the request has no bearer key", "send \"Authorization: Bearer KEY\" with your team's key");
    const auto found = view.teamsByKeyHash.find(sha256Hex(header->substr(bearerPrefix.size())));
    if (found == view.teamsByKeyHash.end())
        refuse(401, "unknown_key", "the bearer key does not belong to any team",
            "use a key of your team, or ask the operators to add the hash of this key");
    return found->second;
}

void readSchedulingHeaders(const fleet_view& view, const team_policy& team, const http_request& request, dispatch_request& result)
{
    result.team = team.team;
    result.level
        = tier(static_cast<std::uint8_t>(readNumber(request, "X-Carawaylink-Tier", 0, UINT8_MAX).value_or(team.defaultTier.value)));
    const auto defaultDeadline = view.tierDeadlines.find(result.level.value);
    if (defaultDeadline == view.tierDeadlines.end())
        refuse(400, "unknown_tier", "tier " + std::to_string(result.level.value) + " is not configured",
            "use a tier from 0 to " + std::to_string(view.tierDeadlines.size() - 1));
    if (result.level < team.mostUrgentTier)
        refuse(403, "tier_not_allowed", "team " + team.team.value + " may not use tier " + std::to_string(result.level.value),
            "use tier " + std::to_string(team.mostUrgentTier.value) + " or a less urgent one");
    const auto deadline = readNumber(request, "X-Carawaylink-Deadline-Ms", 1, maxDeadlineMilliseconds);
    result.arrival = std::chrono::steady_clock::now();
    result.deadline = result.arrival + (deadline ? std::chrono::milliseconds(*deadline) : defaultDeadline->second);
    result.ticket = request.header("X-Carawaylink-Ticket").value_or("");
    result.forwarded = request.header("X-Carawaylink-Forwarded").has_value();
    result.nonIdempotent = !readBool(request, "X-Carawaylink-Idempotent", true);
}

completion_request readCompletion(const fleet_view& view, const team_policy& team, const http_request& request)
{
    boost::system::error_code status;
    auto document = json::parse(request.body, status);
    if (status || !document.is_object())
        refuse(400, "malformed_json", "the body is not a JSON object", "send an OpenAI completion request");
    auto& body = document.as_object();
    completion_request result;
    result.chat = request.path() == "/v1/chat/completions";
    const auto* model = body.if_contains("model");
    if (!model || !model->is_string())
        refuse(400, "invalid_request", "field \"model\" is missing or not a string", "use a model listed by GET /v1/models");
    result.model = model->as_string();
    const auto service = view.serviceByModel.find(result.model);
    if (service == view.serviceByModel.end() || view.services.at(service->second).definition.kind != schema::service_kind::engine)
        refuse(404, "unknown_model", "model \"" + result.model + "\" is not served", "use a model listed by GET /v1/models");
    result.service = service->second;
    result.prompt = readPrompt(body, result.chat);
    const auto* limit = body.if_contains("max_tokens");
    if (limit && (!limit->is_int64() || limit->as_int64() < 1 || limit->as_int64() > maxOutputTokenLimit))
        refuse(400, "invalid_request", "field \"max_tokens\" is not a whole number within its range",
            "send a number from 1 to " + std::to_string(maxOutputTokenLimit));
    result.maxOutputTokens = tokens(limit ? limit->as_int64() : team.defaultOutputTokens);
    const auto* stream = body.if_contains("stream");
    if (stream && !stream->is_bool())
        refuse(400, "invalid_request", "field \"stream\" is not true or false", "send true or false");
    result.streamed = stream && stream->as_bool();
    if (result.streamed && limit) {
        result.engineBody = request.body;
    } else {
        body["stream"] = true;
        body["max_tokens"] = result.maxOutputTokens.value;
        result.engineBody = json::serialize(body);
    }
    return result;
}

void forwardRequest(const std::shared_ptr<frontend_context>& context, const http_request& request, const std::string& address,
    const std::shared_ptr<http_responder>& responder, std::function<void()> onUnreachable)
{
    auto copy = request;
    std::erase_if(copy.headers, isConnectionHeader);
    copy.headers.push_back({ "X-Carawaylink-Forwarded", "1" });
    auto started = std::make_shared<bool>(false);
    http_stream_handlers handlers;
    handlers.onHead = [responder, started](const http_response& head) {
        *started = true;
        auto headers = head.headers;
        std::erase_if(headers, isConnectionHeader);
        responder->start(head.status, std::move(headers));
    };
    handlers.onData = [responder](std::string_view bytes) { responder->write(bytes); };
    handlers.onDone = [responder, started, onUnreachable = std::move(onUnreachable)](const http_result& result) {
        if (result.ok())
            responder->finish();
        else if (*started)
            responder->abort();
        else
            onUnreachable();
    };
    // If the home's process dies, the connection closes at once; the idle timeout covers a home that hangs.
    http_call_options options;
    options.idleTimeout = std::chrono::seconds(10);
    options.reuseConnection = false;
    context->clients.at(responder->threadIndex())->stream(address, std::move(copy), options, std::move(handlers));
}

} // namespace carawaylink
