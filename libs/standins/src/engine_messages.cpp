#include "engine_messages.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>

namespace carawaylink {

namespace json = boost::json;

namespace {

constexpr std::int64_t defaultMaxTokens = 128;

json::object readObject(std::string_view body)
{
    boost::system::error_code failure;
    json::value document = json::parse(body, failure);
    if (failure || !document.is_object())
        throw error(error_kind::invalid_argument, "the body is not a JSON object", "send a JSON object");
    return std::move(document.get_object());
}

[[noreturn]] void failField(std::string_view name, std::string_view expected)
{
    throw error(error_kind::invalid_argument, "field \"" + std::string(name) + "\" is missing or wrong", "give " + std::string(expected));
}

std::string readString(const json::object& object, std::string_view name)
{
    const auto* const value = object.if_contains(name);
    if (!value || !value->is_string())
        failField(name, "a string");
    return std::string(value->get_string());
}

std::string readContent(const json::value& content)
{
    if (content.is_string())
        return std::string(content.get_string());
    std::string text;
    if (content.is_array()) {
        for (const auto& part : content.get_array()) {
            if (const auto* const value = part.is_object() ? part.get_object().if_contains("text") : nullptr; value && value->is_string())
                text += value->get_string();
        }
    }
    return text;
}

std::string readMessages(const json::object& body)
{
    const auto* const messages = body.if_contains("messages");
    if (!messages || !messages->is_array())
        failField("messages", "a list of messages");
    std::string prompt;
    for (const auto& message : messages->get_array()) {
        const auto* const content = message.is_object() ? message.get_object().if_contains("content") : nullptr;
        if (!content)
            failField("messages", "messages with a \"content\"");
        if (!prompt.empty())
            prompt += '\n';
        prompt += readContent(*content);
    }
    return prompt;
}

std::string hex(std::uint64_t value)
{
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
    const std::string_view written(digits.data(), end);
    return std::string(16 - written.size(), '0').append(written);
}

std::uint64_t parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (status != std::errc() || end != text.data() + text.size())
        failField("hashes", "hexadecimal numbers of up to 16 digits");
    return value;
}

json::object usage(const engine_execution& execution)
{
    return { { "prompt_tokens", execution.prompt.count.value }, { "completion_tokens", execution.produced },
        { "total_tokens", execution.prompt.count.value + execution.produced },
        { "prompt_tokens_details", { { "cached_tokens", execution.cachedTokens } } } };
}

std::string_view finishReason(const engine_execution& execution)
{
    return execution.outputTokens < execution.maxTokens ? "stop" : "length";
}

std::string completionId(const engine_execution& execution)
{
    return (execution.chat ? "chatcmpl-" : "cmpl-") + execution.request;
}

/// The text as the inside of a JSON string.
std::string escaped(const std::string& text)
{
    const auto quoted = json::serialize(json::string(text));
    return quoted.substr(1, quoted.size() - 2);
}

json::array names(const std::vector<std::string>& list)
{
    return json::array(list.begin(), list.end());
}

} // namespace

generation_call readGenerationCall(std::string_view body, bool chat)
{
    const auto object = readObject(body);
    generation_call call;
    call.request.chat = chat;
    call.request.prompt = chat ? readMessages(object) : readString(object, "prompt");
    call.request.maxTokens = defaultMaxTokens;
    for (const auto* name : { "max_tokens", "max_completion_tokens" }) {
        if (const auto* const value = object.if_contains(name); value && !value->is_null()) {
            if (!value->is_int64() || value->get_int64() < 1)
                failField(name, "a whole number of at least 1");
            call.request.maxTokens = value->get_int64();
        }
    }
    if (const auto* const value = object.if_contains("stream"); value && !value->is_null()) {
        if (!value->is_bool())
            failField("stream", "true or false");
        call.stream = value->get_bool();
    }
    if (object.contains("user"))
        call.request.user = readString(object, "user");
    return call;
}

engine_order readOrder(std::string_view body)
{
    const auto object = readObject(body);
    const auto kind = orderKindNames.parse(readString(object, "kind"));
    if (!kind)
        failField("kind", "load_model, load_adapter, set_version or set_role");
    const auto* const fence = object.if_contains("fence");
    if (!fence || !fence->is_int64() || fence->get_int64() < 0)
        failField("fence", "a whole number of at least 0");
    return { *kind, readString(object, "name"), static_cast<std::uint64_t>(fence->get_int64()), readString(object, "order") };
}

std::vector<std::uint64_t> readHashes(std::string_view body)
{
    const auto object = readObject(body);
    const auto* const list = object.if_contains("hashes");
    if (!list || !list->is_array())
        failField("hashes", "a list of hexadecimal numbers");
    std::vector<std::uint64_t> hashes;
    for (const auto& entry : list->get_array()) {
        if (!entry.is_string())
            failField("hashes", "a list of hexadecimal numbers");
        hashes.push_back(parseHex(entry.get_string()));
    }
    return hashes;
}

std::string writeHashes(std::string_view key, const std::vector<std::uint64_t>& hashes)
{
    json::array list;
    std::ranges::transform(hashes, std::back_inserter(list), [](auto hash) { return json::value(hex(hash)); });
    return json::serialize(json::object { { key, std::move(list) } });
}

std::string writeLoad(const engine_load& load)
{
    return json::serialize(
        json::object { { "running", load.running }, { "waiting", load.waiting }, { "kv_used", load.kvUsed }, { "leaving", load.leaving } });
}

std::string writeState(const engine_model& model)
{
    const auto& options = model.options();
    return json::serialize(
        json::object { { "model", model.models().front() }, { "models", names(model.models()) }, { "adapters", names(model.adapters()) },
            { "version", model.version() }, { "role", model.role() }, { "generation", options.generation },
            { "max_running", options.maxRunning }, { "cache_tokens", options.cacheTokens }, { "fence", model.fence() } });
}

std::string writeModels(const engine_model& model)
{
    json::array list;
    for (const auto& name : model.models())
        list.push_back({ { "id", name }, { "object", "model" } });
    return json::serialize(json::object { { "object", "list" }, { "data", std::move(list) } });
}

std::string writeCacheEvents(const cache_event_feed::page& page)
{
    std::string text = R"({"next":)" + std::to_string(page.next) + R"(,"events":[)";
    for (const auto& event : page.events) {
        if (text.back() != '[')
            text += ',';
        text.append(R"({"seq":)").append(std::to_string(event.sequence)).append(R"(,"hash":")").append(hex(event.hash));
        text.append(R"(","stored":)").append(event.stored ? "true}" : "false}");
    }
    return text + "]}";
}

std::string writeHistoryLine(const engine_event& event, const std::string& endpoint)
{
    json::object line { { "source", "engine" }, { "endpoint", endpoint }, { "t_us", 0 }, { "event", engineEventNames.name(event.kind) } };
    line["t_us"] = std::chrono::duration_cast<std::chrono::microseconds>(event.at.time_since_epoch()).count();
    if (event.order) {
        line["order"] = event.order->id;
        line["kind"] = orderKindNames.name(event.order->kind);
        line["name"] = event.order->name;
        line["fence"] = event.order->fence;
    } else if (event.kind != engine_event_kind::leaving && event.kind != engine_event_kind::live) {
        line["request"] = event.request;
        line["user"] = event.user;
        line["prompt_tokens"] = event.promptTokens;
        line["cached_tokens"] = event.cachedTokens;
        line["prefilled_tokens"] = event.prefilledTokens;
        line["output_tokens"] = event.outputTokens;
        line["execution"] = event.number;
    }
    if (!event.detail.empty())
        line["reason"] = event.detail;
    return json::serialize(line);
}

completion_writer::completion_writer(const engine_execution& execution, const std::string& model)
    : m_model(model)
    , m_created(std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    m_beforeIndex = R"({"id":")" + escaped(completionId(execution)) + R"(","object":")"
        + (execution.chat ? "chat.completion.chunk" : "text_completion") + R"(","created":)" + std::to_string(m_created) + R"(,"model":")"
        + escaped(m_model) + R"(","choices":[{"index":0,)" + (execution.chat ? R"("delta":{"content":")" : R"("text":")")
        + escaped(execution.user) + ":";
    m_afterIndex = std::string(execution.chat ? R"( "})" : R"( ")") + R"(,"finish_reason":)";
}

void completion_writer::appendToken(std::string& out, const engine_execution& execution, std::int64_t index) const
{
    const auto number = std::to_string(index);
    out.append("id: ").append(number).append("\ndata: ").append(m_beforeIndex).append(number).append(m_afterIndex);
    if (index + 1 == execution.outputTokens)
        out.append("\"").append(finishReason(execution)).append("\"");
    else
        out.append("null");
    out.append("}]}\n\n");
}

void completion_writer::appendEnd(std::string& out, const engine_execution& execution) const
{
    const json::object event { { "id", completionId(execution) },
        { "object", execution.chat ? "chat.completion.chunk" : "text_completion" }, { "created", m_created }, { "model", m_model },
        { "choices", json::array() }, { "usage", usage(execution) } };
    out.append("data: ").append(json::serialize(event)).append("\n\ndata: [DONE]\n\n");
}

std::string completion_writer::whole(const engine_execution& execution) const
{
    std::string text;
    for (std::int64_t i = 0; i < execution.produced; ++i)
        text += tokenText(execution, i);
    json::object choice { { "index", 0 }, { "finish_reason", finishReason(execution) } };
    if (execution.chat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    return json::serialize(json::object { { "id", completionId(execution) },
        { "object", execution.chat ? "chat.completion" : "text_completion" }, { "created", m_created }, { "model", m_model },
        { "choices", json::array { std::move(choice) } }, { "usage", usage(execution) } });
}

} // namespace carawaylink
