#include "rollout_driver.h"

#include "base/time.h"
#include "log_position.h"
#include "placement/pool_assignment.h"

#include <algorithm>
#include <set>
#include <utility>

namespace carawaylink::gateway {

namespace {

constexpr auto stepInterval = std::chrono::milliseconds(100);
constexpr auto reportInterval = std::chrono::milliseconds(200);
constexpr auto maxReportAge = std::chrono::milliseconds(1500);
// After a longer pause of this process, another one may have decided.
constexpr auto maxPause = std::chrono::milliseconds(400);
// Age that an order has at least if it was there before this process started.
constexpr auto assumedAge = std::chrono::milliseconds(1000);
// A status without an order is taken for that of a deleted one after this time.
constexpr auto orderReadTime = std::chrono::seconds(3);
constexpr auto startTime = std::chrono::milliseconds(1000);

constexpr std::uint64_t offsetMask = (std::uint64_t { 1 } << orderOffsetBits) - 1;

rollout::request_end endOf(placement::outcome result)
{
    switch (result) {
    case placement::outcome::completed:
        return rollout::request_end::good;
    case placement::outcome::broken:
    case placement::outcome::timed_out:
        return rollout::request_end::lost;
    case placement::outcome::invalid:
    case placement::outcome::failed:
        return rollout::request_end::bad;
    // These requests did not run, or their callers ended them.
    case placement::outcome::rejected:
    case placement::outcome::replaced:
    case placement::outcome::unreachable:
    case placement::outcome::cancelled:
        break;
    }
    return rollout::request_end::neutral;
}

void feed(rollout::evidence_collector& collector, const std::vector<placement::version_observation>& observations, monotonic_time now)
{
    for (const auto& seen : observations) {
        switch (seen.event) {
        case placement::version_event::sent:
            collector.sent(seen.id, seen.route, seen.replica.value, seen.isTarget, now, seen.isCold);
            break;
        case placement::version_event::first_event:
            collector.firstEvent(seen.id, seen.time);
            break;
        case placement::version_event::interval:
            collector.interval(seen.id, seen.time);
            break;
        case placement::version_event::ended:
            collector.ended(seen.id, endOf(seen.result), now);
            break;
        }
    }
}

} // namespace

rollout_driver::rollout_driver(node_id self, const rollout::exposure_bound& bound, std::uint64_t run, decision_log& log,
    gateway_metrics& metrics, slot_coordinator& slots, handlers callbacks)
    : m_self(std::move(self))
    , m_bound(bound)
    , m_process(m_self.value + '#' + std::to_string(run))
    , m_log(log)
    , m_metrics(metrics)
    , m_slots(slots)
    , m_handlers(std::move(callbacks))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_lastTickAt(m_startedAt)
    , m_alive(std::make_shared<rollout_driver*>(this))
{
}

bool rollout_driver::isFinal(const service_state& state) const
{
    if (!state.order)
        return false;
    const bool isReceivedFinal = state.received.stamp.isFinal && state.received.stamp.order == state.order->number;
    return isReceivedFinal || (state.status && concerns(*state.status, *state.order) && rollout::isFinal(state.status->stage));
}

bool rollout_driver::isOpen(const service_state& state) const
{
    return state.order && !isFinal(state);
}

void rollout_driver::setOrder(const rollout::order& order, monotonic_time now)
{
    auto& state = m_services[order.service];
    if (order.isWithdrawn) {
        if (!isOpen(state) || order.number < state.order->number)
            return;
        m_log.event("rollout_withdrawn").field("service", order.service).field("target", state.order->target);
        state.order->isWithdrawn = true;
        if (state.decider)
            state.decider->withdraw(now);
        return;
    }
    const bool isKnown = state.order && (state.order->number & offsetMask) == (order.number & offsetMask)
        && state.order->target == order.target && state.order->time == order.time;
    // The order was taken for a deleted one, because its status was read first.
    if (isKnown && state.order->isWithdrawn && !isFinal(state) && state.isOrderFromStatus) {
        state.order->isWithdrawn = false;
        state.decider.reset();
    }
    if (isKnown || (state.order && order.number <= state.order->number))
        return;
    startOrder(state, order, now);
}

void rollout_driver::startOrder(service_state& state, const rollout::order& order, monotonic_time now)
{
    const bool replaces = isOpen(state);
    service_state fresh;
    fresh.order = order;
    fresh.orderedAt = now - m_startedAt < startTime ? now - assumedAge : now;
    fresh.changedAt = now;
    fresh.generation = state.generation + 1;
    fresh.excluded = excludedAfter(state, order.target);
    if (!order.fault.empty())
        fresh.rulesBefore = knownRules(order.service, state);
    fresh.status = std::move(state.status);
    fresh.statusAt = state.statusAt;
    fresh.statusOffset = state.statusOffset;
    if (state.received.stamp.order >= order.number)
        fresh.received = state.received;
    if (fresh.status && concerns(*fresh.status, order))
        fresh.order->number = fresh.status->order;
    state = std::move(fresh);
    m_log.event("rollout_order")
        .field("service", order.service)
        .field("target", order.target)
        .field("order", state.order->number)
        .field("time_ms", wholeMilliseconds(order.time))
        .field("replaces", replaces);
    if (!order.fault.empty())
        m_log.event("rollout_order_invalid").field("service", order.service).field("fault", '"' + order.fault + '"');
    else if (!m_handlers.isServiceKnown(order.service) && m_slots.endpointsOf(order.service).empty())
        m_log.event("rollout_order_invalid")
            .field("service", order.service)
            .field("fault", "\"service: neither configured nor served by an endpoint; remedy: correct the name\"");
}

void rollout_driver::setStatus(const service_status& given, monotonic_time now)
{
    auto& state = m_services[given.service];
    // Records from before an append of this node arrive later than its answer.
    if (given.offset < state.statusOffset)
        return;
    const bool isOwn = given.status.decider == m_process;
    const bool isKnownAlready = state.status && given.offset == state.statusOffset;
    state.statusOffset = given.offset;
    state.status = given.status;
    if (!isKnownAlready)
        state.statusAt = now;
    if (!state.order || !concerns(given.status, *state.order))
        return;
    if (state.order->number != given.status.order) {
        state.order->number = given.status.order;
        state.decider.reset();
    }
    for (const auto& version : given.status.excluded) {
        if (!isExcluded(state, version))
            state.excluded.push_back(version);
    }
    if (rollout::isFinal(given.status.stage))
        state.changedAt = now;
    if (!state.decider)
        return;
    if (isOwn)
        confirm(state, given.status, given.offset, now);
    else
        state.decider.reset();
}

void rollout_driver::confirm(service_state& state, const rollout::status& record, std::uint64_t offset, monotonic_time now)
{
    state.decider->confirm(record, now);
    if (state.term == 0)
        state.term = offset + 1;
}

void rollout_driver::receive(const peer::rollout_rulesT& message, monotonic_time now)
{
    const auto rules = decodeRules(message);
    const service_id name { message.service };
    auto& state = m_services[name];
    if (!rules.hasOrder() || rules.stamp < state.received.stamp)
        return;
    if (rules.stamp.isFinal && !state.received.stamp.isFinal)
        state.changedAt = now;
    if (!state.decider && rules.stamp.term != state.received.stamp.term)
        state.collectors.clear();
    state.received = rules;
    state.receivedShare = message.share;
    state.receivedAt = now;
}

void rollout_driver::receive(const peer::rollout_reportT& message, monotonic_time now)
{
    const auto found = m_services.find(service_id { message.service });
    if (found == m_services.end())
        return;
    auto& state = found->second;
    if (!state.decider || !state.order || state.order->number != message.order || state.term != message.term)
        return;
    state.reports[message.pool]
        = { message.requests, message.running_old, decodeEvidence(message.total), decodeEvidence(message.recent), now };
}

// The operator has deleted the order, or this process has not read it yet.
void rollout_driver::takeOrderFromStatus(const service_id& name, service_state& state, monotonic_time now)
{
    const auto& status = *state.status;
    if (!rollout::isFinal(status.stage) && now - state.statusAt < orderReadTime)
        return;
    state.order = rollout::order { name, status.order, status.target, status.time, {}, true };
    state.orderedAt = state.statusAt - status.elapsed;
    state.isOrderFromStatus = true;
}

std::optional<node_id> rollout_driver::deciderOf(const service_id& service) const
{
    const auto owners = m_slots.ownersOf(service);
    return owners.empty() ? std::nullopt : owners.front();
}

bool rollout_driver::mayDecide(const service_id& name, service_state& state, monotonic_time now)
{
    if (!isOpen(state) || deciderOf(name) != m_self) {
        state.decider.reset();
        state.ownsSince.reset();
        return false;
    }
    if (!state.ownsSince) {
        state.ownsSince = now;
        m_handlers.readStatus();
    }
    const auto position = m_handlers.statusPosition();
    return position.isLoaded && (state.decider || position.asOf > *state.ownsSince);
}

void rollout_driver::tick(monotonic_time now)
{
    if (now - std::exchange(m_lastTickAt, now) > maxPause) {
        for (auto& [name, state] : m_services) {
            state.decider.reset();
            state.ownsSince.reset();
        }
    }
    for (auto& [name, state] : m_services) {
        if (!state.order && state.status)
            takeOrderFromStatus(name, state, now);
        collect(name, state, now);
        if (now < state.nextStepAt)
            continue;
        state.nextStepAt = now + stepInterval;
        if (mayDecide(name, state, now))
            decide(name, state, now);
        applyRules(name, state, now);
        if (isOpen(state) && now >= state.nextReportAt) {
            state.nextReportAt = now + reportInterval;
            report(name, state, now);
        }
    }
    m_metrics.setOpenRollouts(
        static_cast<std::size_t>(std::ranges::count_if(m_services, [this](const auto& entry) { return isOpen(entry.second); })));
}

// Pools record observations while they have rules in progress, also where no order is open; those are dropped.
void rollout_driver::collect(const service_id& name, service_state& state, monotonic_time now)
{
    for (const auto& [number, pool] : m_slots.ownedPools(name)) {
        const auto observations = pool->takeObservations();
        if (isOpen(state))
            feed(state.collectors[number], observations, now);
    }
}

void rollout_driver::decide(const service_id& name, service_state& state, monotonic_time now)
{
    if (!state.decider) {
        auto written = state.status && concerns(*state.status, *state.order) ? state.status : std::nullopt;
        if (written) {
            const bool wasThereBefore = state.statusAt - m_startedAt < startTime;
            state.orderedAt = std::min(state.orderedAt, state.statusAt - written->elapsed - (wasThereBefore ? assumedAge : duration {}));
        }
        state.decider = std::make_unique<rollout::decider>(*state.order, m_bound, m_process, state.orderedAt, written, now);
        state.collectors.clear();
        state.reports.clear();
        state.freshStarts = 0;
        state.term = 0;
        state.sequence = 0;
        state.loggedStage = state.decider->stage();
        m_log.event("rollout_decides")
            .field("service", name)
            .field("target", state.order->target)
            .field("stage", rollout::stageNames.name(state.decider->stage()))
            .field("elapsed_ms", wholeMilliseconds(now - state.orderedAt))
            .field("continues", written.has_value());
    }
    if (std::exchange(state.freshStarts, state.decider->freshStarts()) != state.decider->freshStarts()) {
        for (auto& [number, collector] : state.collectors)
            collector.startFresh();
    }
    const auto view = viewOf(name, state, now);
    state.decider->step(view, now);
    logStep(name, state, view, now);
    if (const auto record = state.decider->recordToWrite(now))
        write(name, state, *record, now);
}

rollout::fleet_view rollout_driver::viewOf(const service_id& name, const service_state& state, monotonic_time now) const
{
    rollout::fleet_view view;
    const auto& endpoints = m_slots.endpointsOf(name);
    const auto pools = placement::poolCount(endpoints.size());
    std::set<std::string> oldVersions;
    for (const auto& endpoint : endpoints) {
        const bool isTarget = endpoint.version == state.order->target;
        if (isOld(state, endpoint))
            oldVersions.insert(endpoint.version);
        if (endpoint.draining || isExcluded(state, endpoint.version))
            continue;
        const bool isTested = placement::poolOf(endpoint.id, pools) == 0;
        ++(isTarget ? view.targetEndpoints : view.oldEndpoints);
        if (isTested)
            ++(isTarget ? view.testedTargetEndpoints : view.testedOldEndpoints);
    }
    view.oldVersions.assign(oldVersions.begin(), oldVersions.end());
    view.excluded = state.excluded;
    for (const auto& [number, collector] : state.collectors) {
        view.requests += collector.requests();
        view.targetRequests += collector.targetRequests();
        view.total.add(collector.total(now));
        view.recent.add(collector.recent(now));
        view.fresh.add(collector.fresh(now));
    }
    const auto owned = m_slots.ownedPools(name);
    for (std::uint32_t number = 0; number < pools; ++number) {
        if (const auto own = owned.find(number); own != owned.end()) {
            view.runningOld += own->second->runningOld();
            continue;
        }
        const auto found = state.reports.find(number);
        // What an owner does not tell may still run.
        if (found == state.reports.end() || now - found->second.receivedAt > maxReportAge)
            ++view.runningOld;
        if (found == state.reports.end())
            continue;
        view.requests += found->second.requests;
        view.targetRequests += found->second.total.total(true).sent;
        view.runningOld += found->second.runningOld;
        view.total.add(found->second.total);
        view.recent.add(found->second.recent);
    }
    return view;
}

void rollout_driver::logStep(const service_id& name, service_state& state, const rollout::fleet_view& view, monotonic_time now)
{
    const auto stage = state.decider->stage();
    if (stage == state.loggedStage)
        return;
    const auto target = view.total.total(true);
    const auto old = view.total.total(false);
    const auto& fault = state.decider->foundFault();
    m_log.event("rollout_step", rollout::stageNames.name(stage))
        .field("service", name)
        .field("target", state.order->target)
        .field("stage", rollout::stageNames.name(stage))
        .field("before", rollout::stageNames.name(state.loggedStage))
        .field("reason", '"' + state.decider->reason() + '"')
        .field("route", fault && fault->route != 0 ? m_handlers.routeName(fault->route) : "")
        .field("elapsed_ms", wholeMilliseconds(now - state.orderedAt))
        .field("target_endpoints", view.targetEndpoints)
        .field("old_endpoints", view.oldEndpoints)
        .field("requests", view.requests)
        .field("target_requests", view.targetRequests)
        .field("target_ended", target.ended)
        .field("target_bad", target.bad)
        .field("old_ended", old.ended)
        .field("old_bad", old.bad)
        .field("running_old", view.runningOld);
    m_metrics.rolloutStep(rollout::stageNames.name(stage));
    state.loggedStage = stage;
}

void rollout_driver::write(const service_id& name, service_state& state, const rollout::status& record, monotonic_time now)
{
    const auto position = m_handlers.statusPosition();
    if (state.isAppending || position.asOf <= state.readNeededSince)
        return;
    state.isAppending = true;
    state.writeStartedAt = now;
    // Another append of this node may be known by its answer only.
    const auto end = std::max((position.history << orderOffsetBits) | position.end, m_statusEnd);
    const auto generation = state.generation;
    m_handlers.append({ name, record, 0 }, end & offsetMask,
        [this, alive = std::weak_ptr(m_alive), name, generation, record, end](const std::optional<append_result>& result) {
            if (!alive.expired())
                onAppended(name, generation, record, end, result);
        });
}

void rollout_driver::onAppended(const service_id& name, std::uint64_t generation, const rollout::status& record, std::uint64_t at,
    const std::optional<append_result>& result)
{
    const auto now = std::chrono::steady_clock::now();
    auto& state = m_services[name];
    if (result && result->isAppended)
        m_statusEnd = std::max(m_statusEnd, at + 1);
    if (state.generation != generation)
        return;
    state.isAppending = false;
    if (!result || !result->isAppended) {
        m_log.event(result ? "rollout_write_conflict" : "rollout_write_unknown")
            .field("service", name)
            .field("stage", rollout::stageNames.name(record.stage))
            .field("at", at & offsetMask)
            .field("end", result ? result->end.value_or(0) : 0);
        state.readNeededSince = now;
        m_handlers.readStatus();
        return;
    }
    // A later record may have been read before the answer arrived.
    if (at < state.statusOffset)
        return;
    const bool isStep = !state.status || state.status->stage != record.stage || state.status->decider != record.decider;
    state.status = record;
    // The record was true when it was sent.
    state.statusAt = state.writeStartedAt;
    state.statusOffset = at;
    if (rollout::isFinal(record.stage))
        state.changedAt = now;
    if (isStep) {
        m_log.event("rollout_written", rollout::stageNames.name(record.stage))
            .field("service", name)
            .field("target", record.target)
            .field("stage", rollout::stageNames.name(record.stage))
            .field("at", at & offsetMask)
            .field("after_ms", wholeMilliseconds(now - state.writeStartedAt))
            .field("reserved", record.reserved)
            .field("requests", record.requests)
            .field("target_requests", record.targetRequests);
    }
    if (state.decider)
        confirm(state, record, at, state.writeStartedAt);
    applyRules(name, state, now);
}

void rollout_driver::report(const service_id& name, service_state& state, monotonic_time now)
{
    const auto owners = m_slots.ownersOf(name);
    if (state.decider) {
        std::set<node_id> others;
        for (const auto& owner : owners) {
            if (owner && *owner != m_self)
                others.insert(*owner);
        }
        for (const auto& node : others) {
            peer::envelopeT message;
            message.body.Set(encodeRules(name, state.ownRules, state.poolShare));
            m_handlers.send(node, std::move(message));
        }
        return;
    }
    if (owners.empty() || !owners.front() || state.received.stamp.term == 0)
        return;
    for (const auto& [number, pool] : m_slots.ownedPools(name)) {
        const auto& collector = state.collectors[number];
        peer::rollout_reportT entry;
        entry.service = name.value;
        entry.pool = number;
        entry.order = state.received.stamp.order;
        entry.term = state.received.stamp.term;
        entry.requests = collector.requests();
        entry.running_old = static_cast<std::uint32_t>(pool->runningOld());
        entry.total = encodeEvidence(collector.total(now));
        entry.recent = encodeEvidence(collector.recent(now));
        peer::envelopeT message;
        message.body.Set(std::move(entry));
        m_handlers.send(*owners.front(), std::move(message));
    }
}

} // namespace carawaylink::gateway
