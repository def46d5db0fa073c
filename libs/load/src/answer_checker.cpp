#include "load/answer_checker.h"

#include "json_fields.h"

#include <charconv>

namespace carawaylink::load {
namespace {

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    return failure == std::errc() && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

refusal_body readError(const boost::json::object& object)
{
    return { textField(object, "type"), textField(object, "ran"), integerField(object, "retry_after_ms", 0) };
}

/// Text of a completion or chat chunk; nullptr where the event has none.
const boost::json::string* chunkText(const boost::json::object& event)
{
    const auto* choices = event.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty() || !choices->get_array().front().is_object())
        return nullptr;
    const auto& choice = choices->get_array().front().get_object();
    if (const auto* text = choice.if_contains("text"); text != nullptr && text->is_string())
        return &text->get_string();
    if (const auto* delta = choice.if_contains("delta"); delta != nullptr && delta->is_object()) {
        if (const auto* text = delta->get_object().if_contains("content"); text != nullptr && text->is_string())
            return &text->get_string();
    }
    return nullptr;
}

} // namespace

answer_checker::answer_checker(std::string callId, std::function<void()> onToken)
    : m_callId(std::move(callId))
    , m_onToken(std::move(onToken))
{
}

void answer_checker::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_rest += bytes;
            return;
        }
        if (m_rest.empty()) {
            takeLine(bytes.substr(0, end));
        } else {
            m_rest += bytes.substr(0, end);
            takeLine(m_rest);
            m_rest.clear();
        }
        bytes.remove_prefix(end + 1);
    }
}

void answer_checker::takeLine(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        takeEvent();
        return;
    }
    const auto colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos)
        return;
    const auto name = line.substr(0, colon);
    auto value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data") {
        if (!m_data.empty())
            m_data += '\n';
        m_data += value;
    } else if (name == "id") {
        m_id = value;
    }
}

void answer_checker::takeEvent()
{
    const auto data = std::move(m_data);
    const auto id = std::move(m_id);
    m_data.clear();
    m_id.clear();
    if (data.empty())
        return;
    if (m_state.done) {
        noteFault("event_after_done");
        return;
    }
    if (data == "[DONE]") {
        m_state.done = true;
        return;
    }
    boost::json::error_code failure;
    const auto value = boost::json::parse(data, failure);
    if (failure || !value.is_object()) {
        noteFault("malformed_event");
        return;
    }
    const auto& event = value.get_object();
    if (const auto* problem = event.if_contains("error"); problem != nullptr && problem->is_object()) {
        const auto refusal = readError(problem->get_object());
        m_state.failed = true;
        m_state.errorType = refusal.type;
        m_state.errorRan = refusal.ran;
        return;
    }
    const auto* text = chunkText(event);
    if (text == nullptr || text->empty())
        return;
    takeText(*text);
    if (const auto offset = parseNumber(id); offset && *offset != m_next - 1)
        noteFault("wrong_offset");
}

void answer_checker::takeText(std::string_view text)
{
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        const auto word = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (word.empty())
            continue;
        ++m_state.tokens;
        m_onToken();
        const auto colon = word.rfind(':');
        const auto index = colon == std::string_view::npos ? std::nullopt : parseNumber(word.substr(colon + 1));
        if (!index || word.substr(0, colon) != m_callId) {
            m_state.own = false;
            if (m_state.fault.empty())
                m_state.fault = "foreign_token";
            continue;
        }
        if (*index < m_next)
            noteFault("repeated_token");
        else if (*index > m_next)
            noteFault("missing_token");
        m_next = *index + 1;
    }
}

void answer_checker::noteFault(std::string_view fault)
{
    m_state.ordered = false;
    if (m_state.fault.empty())
        m_state.fault = fault;
}

refusal_body readRefusal(std::string_view body)
{
    boost::json::error_code failure;
    const auto value = boost::json::parse(body, failure);
    if (failure || !value.is_object())
        return {};
    const auto* problem = value.get_object().if_contains("error");
    return problem != nullptr && problem->is_object() ? readError(problem->get_object()) : refusal_body {};
}

bool bodyNamesCall(std::string_view body, std::string_view callId)
{
    boost::json::error_code failure;
    const auto value = boost::json::parse(body, failure);
    if (failure || !value.is_object() || !value.get_object().contains("call"))
        return true;
    return textField(value.get_object(), "call") == callId;
}

} // namespace carawaylink::load
