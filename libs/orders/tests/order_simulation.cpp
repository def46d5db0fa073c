#include "order_simulation.h"

#include <algorithm>

namespace carawaylink::simulation {

namespace {

// Engines of service 0 check the fencing token; engines of service 1 ignore it.
constexpr std::size_t serviceCount = 2;
constexpr std::size_t unfencedService = 1;

service_id serviceName(std::size_t index)
{
    return service_id(index == unfencedService ? "ignoring" : "fencing");
}

} // namespace

order_simulation::order_simulation(std::uint64_t seed, defects injected)
    : m_random(seed)
    , m_defects(injected)
    , m_engineFence(serviceCount, -1)
    , m_engineLease(serviceCount, -1)
    , m_lastSender(serviceCount)
{
    m_nodes.resize(nodeCount);
    for (std::size_t index = 0; index < nodeCount; ++index) {
        auto& state = m_nodes[index];
        state.index = index;
        state.rate = 0.97 + 0.03 * static_cast<double>(index);
        state.offsetMs = randomBetween(0, 1000000);
        startNode(state);
    }
}

void order_simulation::startNode(node& state)
{
    state.self = { node_id("node-" + std::to_string(state.index)), incarnation(m_nextRun++) };
    state.leases.clear();
    for (std::size_t service = 0; service < serviceCount; ++service) {
        order_lease_settings settings;
        settings.ttl = 2000ms;
        settings.clockMargin = 200ms;
        settings.maxOrderDuration = std::chrono::milliseconds(maxOrderDurationMs);
        settings.appendRetryInterval = 300ms;
        settings.ignoresFencing = service == unfencedService && !m_defects.noTakeoverWait;
        state.leases.emplace_back(serviceName(service), state.self, settings);
    }
    permit_settings permits;
    permits.maxLoadDuration = std::chrono::milliseconds(m_defects.shortPermits ? 100 : maxOrderDurationMs);
    permits.ttl = permits.maxLoadDuration + 2000ms;
    permits.clockMargin = permits.ttl / 10;
    permits.appendRetryInterval = 300ms;
    state.permits = std::make_unique<permit_table>(state.self, permits);
    state.nextOffset = 0;
    state.reading.reset();
    state.ordersDue.assign(serviceCount, true);
    state.outstanding.assign(serviceCount, std::nullopt);
    state.newestOwnLease.assign(serviceCount, -1);
    state.lastToken.assign(serviceCount, std::nullopt);
    state.pausedUntil = 0;
    state.pauseNextSend = 0;
}

monotonic_time order_simulation::clock(const node& state, long at) const
{
    return monotonic_time(std::chrono::milliseconds(state.offsetMs + static_cast<long>(static_cast<double>(at) * state.rate)));
}

long order_simulation::randomBetween(long from, long to)
{
    return std::uniform_int_distribution<long>(from, to)(m_random);
}

void order_simulation::step(const event& change)
{
    auto& state = m_nodes[(change.bits >> 8) % nodeCount];
    const long amount = static_cast<long>((change.bits >> 16) % 64);
    switch (change.bits % 40) {
    case 0:
        state.pausedUntil = std::max(state.pausedUntil, m_now + amount * 200);
        break;
    case 1:
    case 2:
        state.pauseNextSend = amount * 200;
        break;
    case 3:
        m_outageUntil = m_now + amount * 100;
        break;
    case 4:
        m_lossUntil = m_now + amount * 100;
        break;
    case 5:
        m_lateUntil = m_now + amount * 100;
        break;
    case 6:
        m_duplicatesUntil = m_now + amount * 100;
        break;
    case 7:
        if (amount < 8)
            m_firstOffset = std::max(m_firstOffset, m_log.size() - m_log.size() / 4);
        break;
    case 8:
        if (amount < 16)
            startNode(state);
        break;
    case 9:
        state.ordersDue[static_cast<std::size_t>(amount) % serviceCount] = amount % 3 != 0;
        break;
    default:
        break;
    }
    for (int i = 0; i < 3; ++i)
        tick();
}

void order_simulation::checkRecovery()
{
    m_outageUntil = m_lossUntil = m_lateUntil = m_duplicatesUntil = 0;
    for (auto& state : m_nodes) {
        state.pausedUntil = std::min(state.pausedUntil, m_now);
        state.pauseNextSend = 0;
        state.ordersDue.assign(serviceCount, state.index == 0);
    }
    std::vector<bool> served(serviceCount);
    std::vector<bool> loaded(serviceCount);
    auto seen = m_orders.size();
    const auto done
        = [&] { return std::ranges::count(served, true) + std::ranges::count(loaded, true) == static_cast<long>(2 * serviceCount); };
    // Late records may restart the wait of a new holder several times.
    for (int i = 0; i < 900 && !done(); ++i) {
        tick();
        for (; seen < m_orders.size(); ++seen) {
            served[m_orders[seen].service] = true;
            loaded[m_orders[seen].service] = loaded[m_orders[seen].service] || m_orders[seen].load;
        }
    }
    if (!done())
        recordViolation("a service got no order or no load after the faults ended");
}

void order_simulation::tick()
{
    m_now += tickMs;
    std::stable_sort(m_delayed.begin(), m_delayed.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    while (!m_delayed.empty() && m_delayed.front().at <= m_now) {
        if (m_delayed.front().at >= m_outageUntil || m_now >= m_outageUntil)
            m_log.push_back({ m_delayed.front().record, m_now });
        m_delayed.erase(m_delayed.begin());
    }
    runEngines();
    for (auto& state : m_nodes) {
        if (m_now >= state.pausedUntil)
            runNode(state);
    }
    check();
}

void order_simulation::append(const order_record& record)
{
    if (m_now < m_lossUntil && randomBetween(0, 1) == 0)
        return;
    const long latest = m_now < m_lateUntil ? 6000 : 150;
    m_delayed.push_back({ record, m_now + randomBetween(0, latest) });
    if (m_now < m_duplicatesUntil && randomBetween(0, 1) == 0)
        m_delayed.push_back({ record, m_now + randomBetween(0, 4000) });
}

void order_simulation::runNode(node& state)
{
    if (state.reading && m_now >= state.reading->at) {
        const auto read = *state.reading;
        state.reading.reset();
        receive(state, read);
    }
    if (!state.reading && m_now >= m_outageUntil) {
        const bool truncated = state.nextOffset < m_firstOffset;
        state.reading = log_read { m_now, m_now + randomBetween(0, m_now < m_lateUntil ? 1500 : 150),
            std::max(state.nextOffset, m_firstOffset), m_log.size(), truncated };
    }
    const auto now = clock(state, m_now);
    for (std::size_t service = 0; service < serviceCount; ++service) {
        auto& outstanding = state.outstanding[service];
        if (outstanding && m_now >= outstanding->responseAt) {
            if (!outstanding->claim.empty())
                state.permits->release(outstanding->claim);
            outstanding.reset();
        }
        if (const auto record = state.leases[service].nextRecord(now, state.ordersDue[service], outstanding.has_value()))
            append(*record);
        state.permits->setHasLoads(serviceName(service), state.ordersDue[service] && tokenOf(state, service) && !outstanding);
    }
    for (const auto& record : state.permits->nextRecords(now))
        append(record);
    for (std::size_t service = 0; service < serviceCount; ++service) {
        if (m_now >= state.pausedUntil)
            sendOrders(state, service);
    }
}

void order_simulation::receive(node& state, const log_read& read)
{
    const auto now = clock(state, m_now);
    if (read.truncated) {
        for (auto& lease : state.leases)
            lease.handleTruncation(now);
        state.permits->handleTruncation(now);
    }
    for (auto offset = read.from; offset < read.to; ++offset) {
        const auto record = parseOrderRecord(toJson(m_log[offset].record));
        const bool isLease = record.kind == order_record_kind::lease || record.kind == order_record_kind::release;
        if (!isLease) {
            state.permits->apply(now, log_offset(offset), record);
            continue;
        }
        for (std::size_t service = 0; service < serviceCount; ++service) {
            if (record.service != serviceName(service))
                continue;
            state.leases[service].apply(now, log_offset(offset), record);
            if (record.kind == order_record_kind::lease && record.holder == state.self)
                state.newestOwnLease[service] = static_cast<long>(offset);
            if (record.kind == order_record_kind::release || record.holder != state.self)
                state.lastToken[service].reset();
        }
    }
    const bool atEnd = read.from == read.to && !read.truncated;
    state.nextOffset = std::max(read.from, read.to);
    if (!atEnd)
        return;
    for (auto& lease : state.leases)
        lease.handleEndOfStream(clock(state, read.started));
    state.permits->handleEndOfStream(clock(state, read.started));
}

std::optional<log_offset> order_simulation::tokenOf(node& state, std::size_t service)
{
    auto token = state.leases[service].fencingToken(clock(state, m_now));
    if (m_defects.noLeaseExpiry) {
        if (token)
            state.lastToken[service] = token;
        token = state.lastToken[service];
    }
    if (token && m_defects.sameToken)
        token = log_offset(0);
    return token;
}

void order_simulation::sendOrders(node& state, std::size_t service)
{
    auto& outstanding = state.outstanding[service];
    const auto now = clock(state, m_now);
    const auto token = tokenOf(state, service);
    if (outstanding || !state.ordersDue[service] || !token)
        return;
    const auto claim = state.permits->tryAcquire(now, serviceName(service), maxConcurrentLoads);
    if (!claim && randomBetween(0, 3) != 0)
        return;
    // A load must not run longer than its permit, whether or not engines check the token.
    const bool bounded = claim || (service == unfencedService && !m_defects.longSendPauses);
    const long pause = bounded ? std::min(state.pauseNextSend, maxSendPauseMs) : state.pauseNextSend;
    state.pausedUntil = std::max(state.pausedUntil, m_now + pause);
    state.pauseNextSend = 0;
    simulated_order order { service, state.self, m_now, m_now + pause + randomBetween(0, 200), 0, static_cast<long>(token->value),
        state.newestOwnLease[service], claim.has_value() };
    order.endsAt = order.arrivesAt + randomBetween(0, maxEffectMs - 200);
    const bool responseLost = randomBetween(0, 4) == 0;
    // Measured by the sender's own clock, which may run at another rate.
    const long giveUpAt = m_now + static_cast<long>(static_cast<double>(maxOrderDurationMs) / state.rate) + pause;
    outstanding = outstanding_order { m_orders.size(), responseLost ? giveUpAt : order.endsAt + randomBetween(0, 100), claim.value_or("") };
    m_activeOrders.push_back(m_orders.size());
    m_orders.push_back(order);
    m_loads += claim ? 1 : 0;
}

void order_simulation::runEngines()
{
    for (const auto index : m_activeOrders) {
        auto& order = m_orders[index];
        if (order.arrived || m_now < order.arrivesAt)
            continue;
        order.arrived = true;
        auto& fence = m_engineFence[order.service];
        order.admitted = order.service == unfencedService || order.fence >= fence;
        fence = std::max(fence, order.fence);
        if (!order.admitted) {
            order.endsAt = m_now;
            ++m_refused;
            continue;
        }
        if (m_lastSender[order.service] != order.sender) {
            m_lastSender[order.service] = order.sender;
            ++m_holderChanges;
        }
        auto& lease = m_engineLease[order.service];
        if (order.lease < lease)
            recordViolation(
                "an order of an old lease took effect after an order of a newer lease, service " + serviceName(order.service).value);
        lease = std::max(lease, order.lease);
    }
    std::erase_if(m_activeOrders, [&](std::size_t index) { return m_orders[index].arrived && m_now >= m_orders[index].endsAt; });
}

void order_simulation::check()
{
    for (std::size_t service = 0; service < serviceCount; ++service) {
        const auto holding = std::count_if(
            m_nodes.begin(), m_nodes.end(), [&](node& state) { return m_now >= state.pausedUntil && tokenOf(state, service).has_value(); });
        if (holding > 1)
            recordViolation("two nodes hold the lease of service " + serviceName(service).value);
    }
    std::size_t loads = 0;
    for (const auto index : m_activeOrders) {
        const auto& order = m_orders[index];
        loads += order.load ? 1 : 0;
        if (order.service != unfencedService)
            continue;
        for (const auto other : m_activeOrders) {
            if (m_orders[other].service == unfencedService && m_orders[other].sender != order.sender)
                recordViolation("orders of two holders overlap on engines that ignore the token");
        }
    }
    if (loads > maxConcurrentLoads)
        recordViolation(std::to_string(loads) + " concurrent loads");
}

void order_simulation::recordViolation(const std::string& text)
{
    if (m_violation.empty())
        m_violation = "at " + std::to_string(m_now) + " ms: " + text;
}

} // namespace carawaylink::simulation
