#include "order_driver.h"

#include "base/error.h"
#include "base/log.h"

#include <algorithm>
#include <boost/json.hpp>
#include <ranges>

namespace carawaylink {

namespace json = boost::json;

namespace {

constexpr std::string_view ordersStream = "orders";
constexpr auto tickInterval = std::chrono::milliseconds(200);
// While orders are due the stream is followed with waiting reads, otherwise it is looked at now and then.
constexpr auto readWait = std::chrono::milliseconds(500);
constexpr auto idleReadInterval = std::chrono::seconds(5);
constexpr auto logTimeout = std::chrono::seconds(2);
constexpr auto readRetry = std::chrono::seconds(1);
constexpr auto stateTimeout = std::chrono::seconds(2);
// Bounds the connections of a node that owns pool 0 of large services.
constexpr std::size_t maxRunningPolls = 16;
// A state that is missing for a decision is asked for again after this.
constexpr auto urgentPoll = std::chrono::milliseconds(500);

std::vector<std::string> names(const json::object& object, std::string_view key)
{
    std::vector<std::string> result;
    const auto* list = object.if_contains(key);
    if (!list || !list->is_array())
        return result;
    for (const auto& value : list->as_array()) {
        if (value.is_string())
            result.emplace_back(value.as_string());
    }
    return result;
}

std::string text(const json::object& object, std::string_view key)
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::optional<observed_engine> parseState(const http_result& result)
{
    if (!result.ok() || result.response.status != 200)
        return std::nullopt;
    boost::system::error_code status;
    const auto document = json::parse(result.response.body, status);
    if (status || !document.is_object() || !document.as_object().contains("models"))
        return std::nullopt;
    const auto& object = document.as_object();
    return observed_engine { names(object, "models"), names(object, "adapters"), text(object, "version"), text(object, "role") };
}

std::string refusalText(const http_response& response)
{
    boost::system::error_code status;
    const auto document = json::parse(response.body, status);
    const auto* failure = !status && document.is_object() ? document.as_object().if_contains("error") : nullptr;
    if (!failure || !failure->is_object())
        return "status " + std::to_string(response.status);
    return text(failure->as_object(), "type") + ": " + text(failure->as_object(), "message");
}

} // namespace

order_driver::order_driver(boost::asio::io_context& context, order_holder self, order_driver_settings settings, owned_services owned)
    : m_self(std::move(self))
    , m_settings(std::move(settings))
    , m_owned(std::move(owned))
    , m_client(context)
    , m_permits(m_self, m_settings.permits)
    , m_task(context, tickInterval, [this] { tick(); })
{
}

order_driver::~order_driver()
{
    *m_alive = false;
}

std::vector<reconciler::order_status> order_driver::orders() const
{
    std::vector<reconciler::order_status> result;
    for (const auto& entry : m_services | std::views::values) {
        if (entry.owned)
            std::ranges::move(entry.orders.status(), std::back_inserter(result));
    }
    std::ranges::stable_sort(result, {}, &reconciler::order_status::endpoint);
    return result;
}

void order_driver::tick()
{
    takeOwned();
    const auto now = std::chrono::steady_clock::now();
    for (auto& [service, entry] : m_services)
        advance(now, service, entry);
    for (const auto& record : m_permits.step(now))
        append(record);
    // Services of other nodes stay until nothing of this node's orders is left.
    std::erase_if(
        m_services, [&](const auto& item) { return !item.second.owned && !item.second.orders.busy() && !leaseOf(item.first).held(now); });
    const bool wasActive = m_active;
    m_active = !m_permits.idle() || std::ranges::any_of(m_services, [&](const auto& item) {
        return item.second.wanted || item.second.orders.busy() || leaseOf(item.first).held(now);
    });
    if (m_active && !wasActive && !m_logFailed)
        m_nextRead = now;
    if ((m_active || !m_services.empty()) && !m_reading && now >= m_nextRead)
        read();
}

void order_driver::takeOwned()
{
    auto owned = m_owned();
    for (auto& entry : m_services | std::views::values)
        entry.owned = false;
    for (auto& [service, definition] : owned) {
        auto& entry = m_services.try_emplace(service, service_entry { {}, false, false, false, reconciler(m_settings.reconciling), {}, {} })
                          .first->second;
        entry.owned = true;
        entry.definition = std::move(definition);
        entry.orders.setDesired(entry.definition.desired);
        entry.orders.setEndpoints(entry.definition.endpoints);
        std::erase_if(
            entry.polls, [&](const auto& item) { return !item.second.running && !entry.definition.endpoints.contains(item.first); });
        leaseOf(service).setIgnoresFencing(entry.definition.ignoresFencing);
    }
}

order_lease& order_driver::leaseOf(const service_id& service)
{
    return m_leases.try_emplace(service, service, m_self, m_settings.lease).first->second;
}

void order_driver::advance(monotonic_time now, const service_id& service, service_entry& entry)
{
    entry.orders.tick(now);
    endLoads(entry);
    pollStates(now, service, entry);
    const auto wanted = entry.owned ? entry.orders.wanted(now) : reconciler::wanted_orders {};
    auto& lease = leaseOf(service);
    entry.wanted = wanted.any;
    const auto record = lease.step(now, wanted.any, entry.orders.busy());
    if (record)
        append(*record);
    announceLease(now, service, entry, record && record->kind == order_record_kind::release);
    m_permits.setWanted(service, wanted.load && lease.token(now));
    if (!entry.owned)
        return;
    // The clock is read anew for each order: the process may have been paused since the last check.
    while (true) {
        const auto sendTime = std::chrono::steady_clock::now();
        const auto fence = lease.token(sendTime);
        if (!fence)
            return;
        auto order = entry.orders.next(sendTime, lease.usableSince(), true);
        std::optional<std::string> claim;
        if (order && order->change.kind == order_kind::load_model) {
            claim = m_permits.take(sendTime, service, entry.definition.weightStoreLoads);
            if (!claim)
                order = entry.orders.next(sendTime, lease.usableSince(), false);
        }
        if (!order)
            return;
        if (claim)
            entry.loads[order->endpoint] = *claim;
        entry.orders.sent(sendTime, *order, *fence);
        sendOrder(service, *order, *fence);
    }
}

void order_driver::announceLease(monotonic_time now, const service_id& service, service_entry& entry, bool released)
{
    const auto& lease = leaseOf(service);
    const bool held = lease.held(now);
    if (held == std::exchange(entry.announced, held))
        return;
    if (held) {
        log_event("lease_taken").field("service", service).field("orders_after", std::max(duration::zero(), lease.usableSince() - now));
        return;
    }
    const auto holder = lease.holder();
    const bool replaced = holder && *holder != m_self;
    log_event("lease_lost", released ? log_level::info : log_level::warning)
        .field("service", service)
        .field("reason",
            released       ? "released"
                : replaced ? "replaced"
                           : "expired")
        .field("holder", holder ? holder->node : m_self.node);
}

void order_driver::endLoads(service_entry& entry)
{
    std::erase_if(entry.loads, [&](const auto& load) {
        if (entry.orders.active(load.first))
            return false;
        m_permits.finished(load.second);
        return true;
    });
}

void order_driver::pollStates(monotonic_time now, const service_id& service, service_entry& entry)
{
    const auto& lease = leaseOf(service);
    const auto usable = lease.usableSince();
    for (const auto& endpoint : entry.definition.endpoints | std::views::keys) {
        auto& poll = entry.polls[endpoint];
        // A new holder decides only on states that were read after it may give orders.
        if (lease.token(now) && entry.orders.readBefore(endpoint, usable) && now >= poll.started + urgentPoll)
            poll.next = now;
        if (poll.running || now < poll.next || m_runningPolls >= maxRunningPolls)
            continue;
        poll.running = true;
        poll.started = now;
        poll.next = now + m_settings.statePoll;
        ++m_runningPolls;
        http_call_options options;
        options.idleTimeout = stateTimeout;
        m_client.send(endpoint.value, { "GET", "/state", {}, {} }, options,
            [this, alive = m_alive, service, endpoint, now](const http_result& result) {
                if (*alive)
                    stateRead(service, endpoint, now, result);
            });
    }
}

void order_driver::stateRead(const service_id& service, const endpoint_id& endpoint, monotonic_time started, const http_result& result)
{
    --m_runningPolls;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    auto& entry = found->second;
    if (const auto poll = entry.polls.find(endpoint); poll != entry.polls.end())
        poll->second.running = false;
    const auto now = std::chrono::steady_clock::now();
    if (auto state = parseState(result)) {
        if (const auto shown = entry.orders.observe(now, endpoint, started, std::move(*state)))
            log_event("order_done")
                .field("service", service)
                .field("endpoint", endpoint)
                .field("kind", orderKindTexts.name(shown->kind))
                .field("name", shown->name)
                .field("message", "answer lost, seen in the state");
    } else {
        entry.orders.unreachable(endpoint);
    }
    advance(now, service, entry);
}

void order_driver::sendOrder(const service_id& service, const reconciler::next_order& order, log_offset fence)
{
    const auto kind = orderKindTexts.name(order.change.kind);
    const auto id = service.value + '-' + std::to_string(fence.value) + '-' + order.endpoint.value + '-' + std::string(kind) + '-'
        + order.change.name;
    log_event("order_sent")
        .field("service", service)
        .field("endpoint", order.endpoint)
        .field("kind", kind)
        .field("name", order.change.name)
        .field("fence", fence);
    http_call_options options;
    options.idleTimeout = m_settings.lease.inFlight;
    // A kept connection may have gone silent; that would make the order's fate unknown for a long time.
    options.reuseConnection = false;
    const json::object body { { "kind", kind }, { "name", order.change.name }, { "fence", fence.value }, { "order", id } };
    m_client.send(order.endpoint.value, { "POST", "/orders", { { "Content-Type", "application/json" } }, json::serialize(body) }, options,
        [this, alive = m_alive, service, order](const http_result& result) {
            if (*alive)
                orderEnded(service, order, result);
        });
}

void order_driver::orderEnded(const service_id& service, const reconciler::next_order& order, const http_result& result)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    auto outcome = order_outcome::done;
    std::string message;
    if (!result.ok()) {
        outcome = result.sent ? order_outcome::unknown : order_outcome::not_sent;
        message = result.detail.empty() ? std::string(httpFailureNames.name(result.failure)) : result.detail;
    } else if (result.response.status != 200) {
        outcome = order_outcome::failed;
        message = refusalText(result.response);
    }
    log_event(outcome == order_outcome::done ? "order_done" : "order_failed",
        outcome == order_outcome::done ? log_level::info : log_level::warning)
        .field("service", service)
        .field("endpoint", order.endpoint)
        .field("kind", orderKindTexts.name(order.change.kind))
        .field("name", order.change.name)
        .field("unknown", outcome == order_outcome::unknown)
        .field("message", message);
    auto& entry = found->second;
    const auto now = std::chrono::steady_clock::now();
    entry.orders.finished(now, order.endpoint, outcome, message);
    endLoads(entry);
    // The state is read back at once.
    entry.polls[order.endpoint].next = now;
    advance(now, service, entry);
}

void order_driver::read()
{
    m_reading = true;
    http_call_options options;
    options.idleTimeout = readWait + std::chrono::seconds(1);
    const auto started = std::chrono::steady_clock::now();
    const auto wait = m_active && m_atEnd ? duration(readWait) : duration::zero();
    m_client.send(m_settings.logAddress, { "GET", readTarget(ordersStream, m_next, wait), {}, {} }, options,
        [this, alive = m_alive, started](const http_result& result) {
            if (!*alive)
                return;
            m_reading = false;
            readEnded(started, result);
        });
}

void order_driver::readEnded(monotonic_time started, const http_result& result)
{
    const auto now = std::chrono::steady_clock::now();
    const bool failed = !result.ok() || (result.response.status != 200 && result.response.status != 410);
    if (failed != std::exchange(m_logFailed, failed))
        log_event(failed ? "orders_log_unavailable" : "orders_log_available", failed ? log_level::warning : log_level::info)
            .field("log", m_settings.logAddress)
            .field("detail", result.detail);
    if (failed) {
        m_nextRead = now + readRetry;
        return;
    }
    try {
        const auto page = parseLogPage(result.response.body);
        applyPage(started, page, result.response.status == 410 || page.first > m_next);
    } catch (const error& failure) {
        log_event("orders_log_malformed", log_level::warning).field("error", failure.what());
        m_nextRead = now + readRetry;
        return;
    }
    m_nextRead = m_active || !m_atEnd ? now : now + idleReadInterval;
    tick();
}

void order_driver::applyPage(monotonic_time started, const log_page& page, bool truncated)
{
    const auto now = std::chrono::steady_clock::now();
    if (truncated) {
        log_event("orders_log_truncated", log_level::warning).field("first", page.first).field("next_offset", m_next);
        for (auto& lease : m_leases | std::views::values)
            lease.historyMissing(now);
        m_permits.historyMissing(now);
        m_next = std::max(m_next, page.first);
    }
    for (const auto& logged : page.records) {
        m_next = log_offset(logged.offset.value + 1);
        try {
            const auto record = parseOrderRecord(logged.data);
            const bool isLease = record.kind == order_record_kind::lease || record.kind == order_record_kind::release;
            if (isLease)
                leaseOf(record.service).apply(now, logged.offset, record);
            else
                m_permits.apply(now, logged.offset, record);
        } catch (const error& failure) {
            log_event("order_record_malformed", log_level::warning).field("offset", logged.offset).field("error", failure.what());
        }
    }
    // Only an empty page shows the end of the stream.
    m_atEnd = !truncated && page.records.empty();
    if (!m_atEnd)
        return;
    for (auto& lease : m_leases | std::views::values)
        lease.endReached(started);
    m_permits.endReached(started);
}

void order_driver::append(const order_record& record)
{
    http_call_options options;
    options.idleTimeout = logTimeout;
    m_client.send(m_settings.logAddress, appendRequest(ordersStream, record.id, toJson(record)), options,
        [id = record.id](const http_result& result) {
            // Whether it was stored is seen when the stream is read; the answer is not needed.
            if (!result.ok() || result.response.status != 200)
                log_event("order_append_unconfirmed", log_level::warning)
                    .field("id", id)
                    .field("status", result.response.status)
                    .field("detail", result.detail);
        });
}

} // namespace carawaylink
