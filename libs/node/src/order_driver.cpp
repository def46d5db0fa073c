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
// While orders are due, the stream is followed with long polling; otherwise it is read at a longer interval.
constexpr auto maxReadWait = std::chrono::milliseconds(500);
constexpr auto idleReadInterval = std::chrono::seconds(5);
constexpr auto logTimeout = std::chrono::seconds(2);
constexpr auto readRetryDelay = std::chrono::seconds(1);
constexpr auto stateTimeout = std::chrono::seconds(2);
// Bounds the connections opened by a node that owns pool 0 of large services.
constexpr std::size_t maxConcurrentPolls = 16;
// A state needed for a decision is requested again after this time.
constexpr auto minStatePollInterval = std::chrono::milliseconds(500);

std::vector<std::string> stringArray(const json::object& object, std::string_view key)
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

std::string stringField(const json::object& object, std::string_view key)
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
    return observed_engine { stringArray(object, "models"), stringArray(object, "adapters"), stringField(object, "version"),
        stringField(object, "role") };
}

std::string refusalText(const http_response& response)
{
    boost::system::error_code status;
    const auto document = json::parse(response.body, status);
    const auto* failure = !status && document.is_object() ? document.as_object().if_contains("error") : nullptr;
    if (!failure || !failure->is_object())
        return "status " + std::to_string(response.status);
    return stringField(failure->as_object(), "type") + ": " + stringField(failure->as_object(), "message");
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
    updateOwnedServices();
    const auto now = std::chrono::steady_clock::now();
    for (auto& [service, entry] : m_services)
        advance(now, service, entry);
    for (const auto& record : m_permits.nextRecords(now))
        append(record);
    // Services now owned by other nodes are kept until this node has no order in progress and no lease for them.
    std::erase_if(m_services,
        [&](const auto& item) { return !item.second.owned && !item.second.orders.hasActiveOrders() && !leaseOf(item.first).isHeld(now); });
    const bool wasActive = m_active;
    m_active = !m_permits.isIdle() || std::ranges::any_of(m_services, [&](const auto& item) {
        return item.second.hasDueOrders || item.second.orders.hasActiveOrders() || leaseOf(item.first).isHeld(now);
    });
    if (m_active && !wasActive && !m_logFailed)
        m_nextRead = now;
    if ((m_active || !m_services.empty()) && !m_reading && now >= m_nextRead)
        read();
}

void order_driver::updateOwnedServices()
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
            entry.polls, [&](const auto& item) { return !item.second.inProgress && !entry.definition.endpoints.contains(item.first); });
        leaseOf(service).setIgnoresFencing(entry.definition.ignoresFencing);
    }
}

order_lease& order_driver::leaseOf(const service_id& service)
{
    return m_leases.try_emplace(service, service, m_self, m_settings.lease).first->second;
}

void order_driver::advance(monotonic_time now, const service_id& service, service_entry& entry)
{
    entry.orders.expireOrders(now);
    finishEndedLoads(entry);
    pollStates(now, service, entry);
    const auto wanted = entry.owned ? entry.orders.dueOrders(now) : reconciler::due_orders {};
    auto& lease = leaseOf(service);
    entry.hasDueOrders = wanted.any;
    const auto record = lease.nextRecord(now, wanted.any, entry.orders.hasActiveOrders());
    if (record)
        append(*record);
    logLeaseChange(now, service, entry, record && record->kind == order_record_kind::release);
    m_permits.setHasLoads(service, wanted.modelLoad && lease.fencingToken(now));
    if (!entry.owned)
        return;
    // The clock is read again for each order: the process may have been paused since the last check.
    while (true) {
        const auto sendTime = std::chrono::steady_clock::now();
        const auto fence = lease.fencingToken(sendTime);
        if (!fence)
            return;
        auto order = entry.orders.nextOrder(sendTime, lease.minObservationTime(), true);
        std::optional<std::string> claim;
        if (order && order->change.kind == order_kind::load_model) {
            claim = m_permits.tryAcquire(sendTime, service, entry.definition.weightStoreLoads);
            if (!claim)
                order = entry.orders.nextOrder(sendTime, lease.minObservationTime(), false);
        }
        if (!order)
            return;
        if (claim)
            entry.loadClaims[order->endpoint] = *claim;
        entry.orders.recordSent(sendTime, *order, *fence);
        sendOrder(service, *order, *fence);
    }
}

void order_driver::logLeaseChange(monotonic_time now, const service_id& service, service_entry& entry, bool released)
{
    const auto& lease = leaseOf(service);
    const bool held = lease.isHeld(now);
    if (held == std::exchange(entry.leaseHeldLogged, held))
        return;
    if (held) {
        log_event("lease_taken")
            .field("service", service)
            .field("orders_after", std::max(duration::zero(), lease.minObservationTime() - now));
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

void order_driver::finishEndedLoads(service_entry& entry)
{
    std::erase_if(entry.loadClaims, [&](const auto& load) {
        if (entry.orders.hasActiveOrder(load.first))
            return false;
        m_permits.release(load.second);
        return true;
    });
}

void order_driver::pollStates(monotonic_time now, const service_id& service, service_entry& entry)
{
    const auto& lease = leaseOf(service);
    const auto usable = lease.minObservationTime();
    for (const auto& endpoint : entry.definition.endpoints | std::views::keys) {
        auto& poll = entry.polls[endpoint];
        // A new lease holder bases decisions only on states that were read after it was allowed to send orders.
        if (lease.fencingToken(now) && entry.orders.needsObservation(endpoint, usable) && now >= poll.started + minStatePollInterval)
            poll.next = now;
        if (poll.inProgress || now < poll.next || m_pollsInProgress >= maxConcurrentPolls)
            continue;
        poll.inProgress = true;
        poll.started = now;
        poll.next = now + m_settings.statePollInterval;
        ++m_pollsInProgress;
        http_call_options options;
        options.idleTimeout = stateTimeout;
        m_client.send(endpoint.value, { "GET", "/state", {}, {} }, options,
            [this, alive = m_alive, service, endpoint, now](const http_result& result) {
                if (*alive)
                    handleStateResult(service, endpoint, now, result);
            });
    }
}

void order_driver::handleStateResult(
    const service_id& service, const endpoint_id& endpoint, monotonic_time started, const http_result& result)
{
    --m_pollsInProgress;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    auto& entry = found->second;
    if (const auto poll = entry.polls.find(endpoint); poll != entry.polls.end())
        poll->second.inProgress = false;
    const auto now = std::chrono::steady_clock::now();
    if (auto state = parseState(result)) {
        if (const auto confirmed = entry.orders.observe(now, endpoint, started, std::move(*state)))
            log_event("order_done")
                .field("service", service)
                .field("endpoint", endpoint)
                .field("kind", orderKindNames.name(confirmed->kind))
                .field("name", confirmed->name)
                .field("message", "response lost; confirmed by the engine state");
    } else {
        entry.orders.handleUnreachable(endpoint);
    }
    advance(now, service, entry);
}

void order_driver::sendOrder(const service_id& service, const reconciler::next_order& order, log_offset fence)
{
    const auto kind = orderKindNames.name(order.change.kind);
    const auto id = service.value + '-' + std::to_string(fence.value) + '-' + order.endpoint.value + '-' + std::string(kind) + '-'
        + order.change.name;
    log_event("order_sent")
        .field("service", service)
        .field("endpoint", order.endpoint)
        .field("kind", kind)
        .field("name", order.change.name)
        .field("fence", fence);
    http_call_options options;
    options.idleTimeout = m_settings.lease.maxOrderDuration;
    // A reused connection may be dead without notice, which would leave the outcome of the order unknown for a long time.
    options.reuseConnection = false;
    const json::object body { { "kind", kind }, { "name", order.change.name }, { "fence", fence.value }, { "order", id } };
    m_client.send(order.endpoint.value, { "POST", "/orders", { { "Content-Type", "application/json" } }, json::serialize(body) }, options,
        [this, alive = m_alive, service, order](const http_result& result) {
            if (*alive)
                handleOrderResult(service, order, result);
        });
}

void order_driver::handleOrderResult(const service_id& service, const reconciler::next_order& order, const http_result& result)
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
        .field("kind", orderKindNames.name(order.change.kind))
        .field("name", order.change.name)
        .field("unknown", outcome == order_outcome::unknown)
        .field("message", message);
    auto& entry = found->second;
    const auto now = std::chrono::steady_clock::now();
    entry.orders.recordOutcome(now, order.endpoint, outcome, message);
    finishEndedLoads(entry);
    // Poll the state immediately to confirm the outcome.
    entry.polls[order.endpoint].next = now;
    advance(now, service, entry);
}

void order_driver::read()
{
    m_reading = true;
    http_call_options options;
    options.idleTimeout = maxReadWait + std::chrono::seconds(1);
    const auto started = std::chrono::steady_clock::now();
    const auto wait = m_active && m_endReached ? duration(maxReadWait) : duration::zero();
    m_client.send(m_settings.logAddress, { "GET", readTarget(ordersStream, m_next, wait), {}, {} }, options,
        [this, alive = m_alive, started](const http_result& result) {
            if (!*alive)
                return;
            m_reading = false;
            handleReadResult(started, result);
        });
}

void order_driver::handleReadResult(monotonic_time started, const http_result& result)
{
    const auto now = std::chrono::steady_clock::now();
    const bool failed = !result.ok() || (result.response.status != 200 && result.response.status != 410);
    if (failed != std::exchange(m_logFailed, failed))
        log_event(failed ? "orders_log_unavailable" : "orders_log_available", failed ? log_level::warning : log_level::info)
            .field("log", m_settings.logAddress)
            .field("detail", result.detail);
    if (failed) {
        m_nextRead = now + readRetryDelay;
        return;
    }
    try {
        const auto page = parseLogPage(result.response.body);
        applyPage(started, page, result.response.status == 410 || page.first > m_next);
    } catch (const error& failure) {
        log_event("orders_log_malformed", log_level::warning).field("error", failure.what());
        m_nextRead = now + readRetryDelay;
        return;
    }
    m_nextRead = m_active || !m_endReached ? now : now + idleReadInterval;
    tick();
}

void order_driver::applyPage(monotonic_time started, const log_page& page, bool truncated)
{
    const auto now = std::chrono::steady_clock::now();
    if (truncated) {
        log_event("orders_log_truncated", log_level::warning).field("first", page.first).field("next_offset", m_next);
        for (auto& lease : m_leases | std::views::values)
            lease.handleTruncation(now);
        m_permits.handleTruncation(now);
        m_next = std::max(m_next, page.first);
    }
    for (const auto& logRecord : page.records) {
        m_next = log_offset(logRecord.offset.value + 1);
        try {
            const auto record = parseOrderRecord(logRecord.data);
            const bool isLease = record.kind == order_record_kind::lease || record.kind == order_record_kind::release;
            if (isLease)
                leaseOf(record.service).apply(now, logRecord.offset, record);
            else
                m_permits.apply(now, logRecord.offset, record);
        } catch (const error& failure) {
            log_event("order_record_malformed", log_level::warning).field("offset", logRecord.offset).field("error", failure.what());
        }
    }
    // Only an empty page indicates the end of the stream.
    m_endReached = !truncated && page.records.empty();
    if (!m_endReached)
        return;
    for (auto& lease : m_leases | std::views::values)
        lease.handleEndOfStream(started);
    m_permits.handleEndOfStream(started);
}

void order_driver::append(const order_record& record)
{
    http_call_options options;
    options.idleTimeout = logTimeout;
    m_client.send(m_settings.logAddress, appendRequest(ordersStream, record.id, toJson(record)), options,
        [id = record.id](const http_result& result) {
            // Reading the stream shows whether the record was stored; the response is not needed.
            if (!result.ok() || result.response.status != 200)
                log_event("order_append_unconfirmed", log_level::warning)
                    .field("id", id)
                    .field("status", result.response.status)
                    .field("detail", result.detail);
        });
}

} // namespace carawaylink
