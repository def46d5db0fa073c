#include "orders/reconciler.h"

#include <algorithm>
#include <ranges>

namespace carawaylink {

std::vector<engine_order_change> findMissingChanges(const desired_engine& desired, const observed_engine& observed)
{
    std::vector<engine_order_change> changes;
    const auto addMissing = [&](order_kind kind, const std::vector<std::string>& wanted, const std::vector<std::string>& present) {
        for (const auto& name : wanted) {
            if (std::ranges::find(present, name) == present.end())
                changes.push_back({ kind, name });
        }
    };
    addMissing(order_kind::load_model, desired.models, observed.models);
    addMissing(order_kind::load_adapter, desired.adapters, observed.adapters);
    if (!desired.version.empty() && desired.version != observed.version)
        changes.push_back({ order_kind::set_version, desired.version });
    // The role comes last, so that the engine has everything the new role needs when it changes roles.
    if (!desired.role.empty() && desired.role != observed.role)
        changes.push_back({ order_kind::set_role, desired.role });
    return changes;
}

reconciler::reconciler(reconciler_settings settings)
    : m_settings(settings)
{
}

void reconciler::setDesired(desired_engine desired)
{
    if (desired == m_desired)
        return;
    m_desired = std::move(desired);
    for (auto& engine : m_engines | std::views::values) {
        if (engine.observed)
            engine.missing = findMissingChanges(m_desired, *engine.observed);
    }
}

void reconciler::setEndpoints(const std::map<endpoint_id, bool>& endpoints)
{
    std::erase_if(m_engines, [&](const auto& entry) { return !endpoints.contains(entry.first) && !entry.second.active; });
    for (const auto& [id, leaving] : endpoints)
        m_engines[id].leaving = leaving;
    for (auto& [id, engine] : m_engines)
        engine.leaving = engine.leaving || !endpoints.contains(id);
}

std::optional<engine_order_change> reconciler::observe(
    monotonic_time now, const endpoint_id& endpoint, monotonic_time readStarted, observed_engine state)
{
    const auto found = m_engines.find(endpoint);
    if (found == m_engines.end() || readStarted < found->second.observedAt)
        return std::nullopt;
    auto& engine = found->second;
    engine.observed = std::move(state);
    engine.observedAt = readStarted;
    engine.missing = findMissingChanges(m_desired, *engine.observed);
    std::optional<engine_order_change> confirmed;
    if (engine.active && engine.active->unknown && readStarted > engine.active->sentAt
        && std::ranges::find(engine.missing, engine.active->change) == engine.missing.end()) {
        confirmed = engine.active->change;
        endOrder(now, engine, order_state::done, "response lost; confirmed by the engine state", true);
    }
    updateOrders(now, engine);
    return confirmed;
}

void reconciler::handleUnreachable(const endpoint_id& endpoint)
{
    // An outdated state must not hold the lease or a permit. The engine still counts as being changed if no state was read after its
    // last order.
    if (const auto found = m_engines.find(endpoint); found != m_engines.end()) {
        found->second.observed.reset();
        found->second.missing.clear();
    }
}

// Updates the orders in the status from the changes that are still missing.
void reconciler::updateOrders(monotonic_time now, engine_entry& engine)
{
    const auto isMissing
        = [&](const engine_order_change& change) { return std::ranges::find(engine.missing, change) != engine.missing.end(); };
    std::erase_if(engine.orders, [&](const auto& entry) {
        const auto& [change, order] = entry;
        if (isMissing(change) || order.state == order_state::sent)
            return false;
        return order.state != order_state::done || now >= order.changedAt + m_settings.statusRetention;
    });
    for (auto& [change, order] : engine.orders) {
        const bool stateReadAfterOrder = engine.lastOrderEnd && engine.observedAt >= *engine.lastOrderEnd;
        // This also happens if the desired models do not fit into the engine together: the retry delay limits how often it loads them in
        // turn.
        if (order.state == order_state::done && isMissing(change) && stateReadAfterOrder)
            recordFailure(now, order, "the engine reported success, but its state does not show the change");
    }
}

void reconciler::expireOrders(monotonic_time now)
{
    for (auto& engine : m_engines | std::views::values) {
        if (engine.active && engine.active->unknown && now >= engine.active->sentAt + m_settings.maxOrderDuration)
            endOrder(now, engine, order_state::failed, "no response, and the engine's state does not show the change", true);
    }
}

bool reconciler::isDue(const engine_entry& engine, const engine_order_change& change, monotonic_time at) const
{
    const auto order = engine.orders.find(change);
    return order == engine.orders.end() || at >= order->second.retryAt;
}

reconciler::due_orders reconciler::dueOrders(monotonic_time now) const
{
    due_orders result;
    const bool canChange = canChangeEngine();
    for (const auto& engine : m_engines | std::views::values) {
        if (engine.active)
            result.any = true;
        if (engine.leaving || engine.active || !engine.observed)
            continue;
        for (const auto& change : engine.missing) {
            // The lease is not held during a long retry delay.
            if (!isDue(engine, change, now + m_settings.initialRetryDelay))
                continue;
            result.any = true;
            // A permit that cannot be used immediately would be withheld from other services.
            result.modelLoad = result.modelLoad
                || (canChange && change.kind == order_kind::load_model && !engine.isBeingChanged() && isDue(engine, change, now));
        }
    }
    return result;
}

bool reconciler::hasActiveOrders() const
{
    return std::ranges::any_of(m_engines | std::views::values, [](const engine_entry& engine) { return engine.active.has_value(); });
}

bool reconciler::hasActiveOrder(const endpoint_id& endpoint) const
{
    const auto found = m_engines.find(endpoint);
    return found != m_engines.end() && found->second.active;
}

bool reconciler::needsObservation(const endpoint_id& endpoint, monotonic_time time) const
{
    const auto found = m_engines.find(endpoint);
    return found != m_engines.end() && (!found->second.observed || found->second.observedAt < time);
}

bool reconciler::canChangeEngine() const
{
    const auto remaining = std::ranges::count(m_engines | std::views::values, false, &engine_entry::leaving);
    const auto limit = std::max<std::size_t>(1, static_cast<std::size_t>(remaining) / m_settings.rolloutDivisor);
    const auto changing = std::ranges::count_if(
        m_engines | std::views::values, [](const engine_entry& engine) { return !engine.leaving && engine.isBeingChanged(); });
    return static_cast<std::size_t>(changing) < limit;
}

std::optional<reconciler::next_order> reconciler::nextOrder(monotonic_time now, monotonic_time minObservationTime, bool canLoadModel) const
{
    if (!canChangeEngine())
        return std::nullopt;
    for (const auto& [id, engine] : m_engines) {
        if (engine.leaving || !engine.observed || engine.isBeingChanged() || engine.observedAt < minObservationTime)
            continue;
        for (const auto& change : engine.missing) {
            if ((change.kind != order_kind::load_model || canLoadModel) && isDue(engine, change, now))
                return next_order { id, change };
        }
    }
    return std::nullopt;
}

void reconciler::recordSent(monotonic_time now, const next_order& order, log_offset fence)
{
    auto& engine = m_engines.at(order.endpoint);
    engine.active = active_order { order.change, now, false };
    auto& entry = engine.orders[order.change];
    entry.state = order_state::sent;
    entry.fence = fence;
    entry.message.clear();
    entry.changedAt = now;
}

void reconciler::recordOutcome(monotonic_time now, const endpoint_id& endpoint, order_outcome outcome, const std::string& message)
{
    const auto found = m_engines.find(endpoint);
    if (found == m_engines.end() || !found->second.active)
        return;
    auto& engine = found->second;
    switch (outcome) {
    case order_outcome::done:
        endOrder(now, engine, order_state::done, message, true);
        break;
    case order_outcome::failed:
        endOrder(now, engine, order_state::failed, message, true);
        break;
    case order_outcome::not_sent:
        endOrder(now, engine, order_state::failed, message, false);
        break;
    case order_outcome::unknown:
        engine.active->unknown = true;
        engine.orders[engine.active->change].message = message;
        break;
    }
}

void reconciler::recordFailure(monotonic_time now, order_entry& entry, const std::string& message) const
{
    constexpr std::size_t maxDoublings = 16;
    entry.state = order_state::failed;
    entry.message = message;
    entry.changedAt = now;
    const auto pause = m_settings.initialRetryDelay * (1LL << std::min(entry.failures++, maxDoublings));
    entry.retryAt = now + std::min<duration>(pause, m_settings.maxRetryDelay);
}

void reconciler::endOrder(monotonic_time now, engine_entry& engine, order_state state, const std::string& message, bool reachedEngine)
{
    auto& entry = engine.orders[engine.active->change];
    engine.active.reset();
    if (reachedEngine)
        engine.lastOrderEnd = now;
    if (state == order_state::failed) {
        recordFailure(now, entry, message);
        return;
    }
    entry.state = state;
    entry.message = message;
    entry.changedAt = now;
}

std::vector<reconciler::order_status> reconciler::status() const
{
    std::vector<order_status> result;
    for (const auto& [id, engine] : m_engines) {
        const bool stateOutdated = engine.isBeingChanged() && !engine.active;
        for (const auto& [change, order] : engine.orders) {
            const bool awaitsReadBack
                = stateOutdated && order.state == order_state::done && order.message.empty() && order.changedAt == *engine.lastOrderEnd;
            result.push_back({ id, change, order.state, order.fence,
                awaitsReadBack ? "waiting for the engine's state to be read back" : order.message });
        }
        for (const auto& change : engine.missing) {
            if (!engine.orders.contains(change) && !engine.leaving)
                result.push_back({ id, change, order_state::pending, std::nullopt, "" });
        }
    }
    return result;
}

} // namespace carawaylink
