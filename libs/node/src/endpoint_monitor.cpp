#include "endpoint_monitor.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <set>

namespace carawaylink {

namespace json = boost::json;

namespace {

constexpr auto pollTimeout = std::chrono::seconds(2);

std::int64_t integerField(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    boost::system::error_code status;
    const auto result = value ? value->to_number<std::int64_t>(status) : 0;
    return status ? 0 : std::max<std::int64_t>(0, result);
}

std::optional<json::object> parseObject(const http_result& result)
{
    if (!result.ok() || result.response.status != 200)
        return std::nullopt;
    boost::system::error_code status;
    auto document = json::parse(result.response.body, status);
    if (status || !document.is_object())
        return std::nullopt;
    return std::move(document.as_object());
}

std::vector<cache_event> readEvents(const endpoint_id& endpoint, const json::object& object)
{
    std::vector<cache_event> events;
    const auto* list = object.if_contains("events");
    if (!list || !list->is_array())
        return events;
    for (const auto& value : list->as_array()) {
        const auto* entry = value.if_object();
        const auto* hash = entry ? entry->if_contains("hash") : nullptr;
        const auto* stored = entry ? entry->if_contains("stored") : nullptr;
        if (!hash || !hash->is_string() || !stored || !stored->is_bool())
            continue;
        cache_event event { endpoint, 0, stored->as_bool() };
        const auto& text = hash->as_string();
        if (std::from_chars(text.data(), text.data() + text.size(), event.blockHash, 16).ec == std::errc())
            events.push_back(event);
    }
    return events;
}

} // namespace

endpoint_monitor::endpoint_monitor(boost::asio::io_context& context, duration interval, bool followCache, handlers callbacks)
    : m_client(context)
    , m_followCache(followCache)
    , m_handlers(std::move(callbacks))
    , m_task(context, interval, [this] { poll(); })
{
}

endpoint_monitor::~endpoint_monitor()
{
    *m_alive = false;
}

load_report endpoint_monitor::lastReport(const endpoint_id& endpoint) const
{
    const auto found = m_polled.find(endpoint);
    return found == m_polled.end() ? load_report { endpoint, 0, 0, false } : found->second.report;
}

void endpoint_monitor::poll()
{
    const auto endpoints = m_handlers.endpoints();
    const std::set<endpoint_id> wanted(endpoints.begin(), endpoints.end());
    std::erase_if(m_polled, [&](const auto& entry) { return !wanted.contains(entry.first); });
    for (const auto& endpoint : wanted) {
        auto& state = m_polled[endpoint];
        if (!state.loadPollActive)
            pollLoad(endpoint, state);
        if (m_followCache && !state.cachePollActive)
            pollCache(endpoint, state);
    }
}

void endpoint_monitor::pollLoad(const endpoint_id& endpoint, polled_endpoint& state)
{
    state.loadPollActive = true;
    http_call_options options;
    options.idleTimeout = pollTimeout;
    m_client.send(endpoint.value, { "GET", "/load", {}, {} }, options, [this, alive = m_alive, endpoint](const http_result& result) {
        if (!*alive)
            return;
        const auto found = m_polled.find(endpoint);
        if (found == m_polled.end())
            return;
        found->second.loadPollActive = false;
        const auto object = parseObject(result);
        if (!object)
            return;
        const auto* leaving = object->if_contains("leaving");
        found->second.report = { endpoint, static_cast<std::size_t>(integerField(*object, "running")),
            static_cast<std::size_t>(integerField(*object, "waiting")), leaving && leaving->is_bool() && leaving->as_bool() };
        m_handlers.onLoad(found->second.report);
    });
}

void endpoint_monitor::pollCache(const endpoint_id& endpoint, polled_endpoint& state)
{
    state.cachePollActive = true;
    http_call_options options;
    options.idleTimeout = pollTimeout;
    const auto target = "/cache/events?from=" + std::to_string(state.nextEvent);
    m_client.send(endpoint.value, { "GET", target, {}, {} }, options, [this, alive = m_alive, endpoint](const http_result& result) {
        if (!*alive)
            return;
        const auto found = m_polled.find(endpoint);
        if (found == m_polled.end())
            return;
        found->second.cachePollActive = false;
        const auto object = parseObject(result);
        if (!object)
            return;
        found->second.nextEvent = static_cast<std::uint64_t>(integerField(*object, "next"));
        m_handlers.onCacheEvents(readEvents(endpoint, *object));
    });
}

} // namespace carawaylink
