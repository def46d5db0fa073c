#include "pool_state.h"

#include "base/prompt_blocks.h"

#include <algorithm>
#include <bit>

namespace carawaylink {

namespace {

/// Finished requests that explain() remembers; about 400 bytes each.
constexpr std::size_t historySize = 2048;
/// Lead in virtual time that short requests may gain by long_slot_share, in requests of the long team.
constexpr double longCreditRequests = 2;
/// Slots kept for short requests beyond their mean demand, as a multiple of its square root (square-root staffing, Halfin and
/// Whitt 1981): with 1.5, one short request in ten or fewer finds all of them taken.
constexpr double shortHeadroom = 1.5;

} // namespace

pool_scheduler::implementation::implementation(pool_scheduler_settings initial)
    : settings(initial)
    , estimateError(1.0, 0.1, 0.98)
    , workError(1.0, 0, 0.98)
    , typicalWork(1.0, 0, 0.98)
{
    stragglers.setFactor(initial.stragglerFactor);
}

team_record& pool_scheduler::implementation::team(const team_id& id)
{
    const auto [position, added] = teams.try_emplace(id);
    if (added)
        position->second.id = id;
    return position->second;
}

flow& pool_scheduler::implementation::flowOf(team_record& owner, tier level)
{
    const auto found = std::ranges::find(owner.flows, level, &flow::level);
    if (found != owner.flows.end())
        return **found;
    tiers.try_emplace(level);
    auto* added = flows.emplace_back(std::make_unique<flow>(owner, level)).get();
    owner.flows.insert(std::ranges::upper_bound(owner.flows, level, {}, &flow::level), added);
    return *added;
}

void pool_scheduler::implementation::describe(request_record& record)
{
    const auto& request = record.request;
    record.owner = &flowOf(team(request.team), request.level);
    record.expectedOutput = expectedOutput(record.owner->outputShares, outputShares, request.maxOutputTokens.value);
    record.charge = static_cast<double>(request.promptTokens.value) + record.expectedOutput;
    const double concurrency = static_cast<double>(running) / static_cast<double>(std::max<std::size_t>(1, endpoints.size()));
    record.work = poolSpeed.firstToken.at(static_cast<double>(request.promptTokens.value))
        + record.expectedOutput * poolSpeed.outputToken.at(std::max(1.0, concurrency));
    auto& costs = tiers.at(request.level).costs;
    const double median = costs.value();
    record.longRequest = median > 0 && record.work > settings.longRequestFactor * median;
    costs.add(record.work);
    if (!record.longRequest)
        tiers.at(request.level).shortDemand.add(lastNow, record.work * workError.mean());
}

endpoint_record& pool_scheduler::implementation::endpoint(const endpoint_id& id)
{
    if (const auto found = endpointsById.find(id); found != endpointsById.end())
        return *found->second;
    auto& added = *endpoints.emplace_back(std::make_unique<endpoint_record>());
    added.description.id = id;
    added.generation = &generations[added.description.generation];
    // Endpoints beyond the width of the prefix index get work without regard to prefixes.
    added.position = static_cast<std::size_t>(std::countr_one(usedPositions));
    if (added.position < prefix_index::maxEndpoints)
        usedPositions |= std::uint64_t { 1 } << added.position;
    endpointsById.emplace(id, &added);
    return added;
}

void pool_scheduler::implementation::recount()
{
    const auto regular = [](const auto& entry) { return entry->eligible() && !entry->ejected; };
    // The last endpoints are better than none, however slow.
    if (std::ranges::none_of(endpoints, regular)) {
        for (auto& entry : endpoints)
            entry->ejected = false;
    }
    slots = 0;
    for (const auto& entry : endpoints)
        slots += regular(entry) ? entry->description.maxRunning : 0;
}

void pool_scheduler::implementation::setTimer(request_record& record, monotonic_time when)
{
    if (record.timerHook.is_linked())
        timers.erase(timers.iterator_to(record));
    record.timer = when;
    timers.insert(record);
}

bool pool_scheduler::implementation::preemptionLikely(std::map<tier, tier_queue>::const_iterator level) const
{
    // Where a less urgent tier runs, that one is preempted first.
    return level->second.longRisk.at(lastNow) > settings.preemptionRiskLimit
        && std::none_of(std::next(level), tiers.end(), [](const auto& entry) { return entry.second.running > 0; });
}

bool pool_scheduler::implementation::longAllowed(tier level) const
{
    const auto own = tiers.find(level);
    if (own == tiers.end())
        return true;
    if (preemptionLikely(own))
        return false;
    // A team of short requests that is ahead of its share waits for fairness, not because of long requests; without this
    // exception an endless backlog of short requests would keep teams of long ones below their shares for good.
    if (own->second.shortTeamsAhead(longCreditRequests))
        return true;
    // Long requests of less urgent tiers are not counted, since they must not hold back a more urgent tier.
    std::size_t held = 0;
    double demand = 0;
    for (auto entry = tiers.begin(); entry != std::next(own); ++entry) {
        held += entry->second.longRunning;
        demand += entry->second.shortDemand.at(lastNow);
    }
    const auto share = static_cast<std::size_t>(settings.longSlotShare * static_cast<double>(slots));
    if (own->second.shortWaiting())
        return held < std::max<std::size_t>(1, share);
    // The queue of short requests is empty most of the time at moderate load. Long requests that filled all slots in such a
    // moment would make the next short ones wait for a whole long request: 4.4 s at p99 in the test of this rule, 0 with it.
    const auto expected = static_cast<std::size_t>(std::ceil(demand + shortHeadroom * std::sqrt(demand)));
    return held + std::min(expected, slots - std::max<std::size_t>(1, share)) < slots;
}

void pool_scheduler::implementation::enqueue(request_record& record)
{
    record.phase = request_phase::waiting;
    queueOf(record).push(record, longAllowed(record.request.level));
    ++waiting;
    ++record.owner->team.waiting;
}

void pool_scheduler::implementation::unqueue(request_record& record)
{
    if (record.phase == request_phase::parked)
        unpark(record);
    queueOf(record).remove(record);
    --waiting;
    --record.owner->team.waiting;
}

void pool_scheduler::implementation::park(monotonic_time now, request_record& record, endpoint_record& where, double wait)
{
    auto& queue = queueOf(record);
    unqueue(record);
    ++waiting;
    ++record.owner->team.waiting;
    ++queue.parked;
    queue.longRunning += record.longRequest ? 1 : 0;
    queue.serve(*record.owner);
    queue.charge(*record.owner, record.charge);
    record.phase = request_phase::parked;
    record.hasParked = true;
    // Twice the estimate, since a request that gives up too early has waited for nothing.
    record.parkedUntil = now + std::chrono::milliseconds(100) + fromSeconds(2 * wait);
    record.endpoint = &where;
    where.parked.push_back(record);
}

void pool_scheduler::implementation::unpark(request_record& record)
{
    auto& queue = queueOf(record);
    auto& where = *record.endpoint;
    where.parked.erase(where.parked.iterator_to(record));
    where.reserved -= record.reserved ? 1 : 0;
    record.reserved = false;
    record.endpoint = nullptr;
    --queue.parked;
    queue.longRunning -= record.longRequest ? 1 : 0;
    queue.charge(*record.owner, -record.charge);
    record.phase = request_phase::waiting;
    queue.push(record, longAllowed(record.request.level));
}

void pool_scheduler::implementation::occupy(monotonic_time now, request_record& record, endpoint_record& where)
{
    auto& queue = queueOf(record);
    record.phase = request_phase::running;
    record.endpoint = &where;
    record.granted = now;
    record.lastHeard = now;
    record.lastCounted = now;
    ++where.running;
    where.work += record.grantedCost;
    where.requests.push_back(record);
    for (auto& most : where.foreign.mostRunning)
        most = std::max(most, where.running);
    record.concurrency = static_cast<double>(where.running);
    ++running;
    ++queue.running;
    queue.longRunning += record.longRequest ? 1 : 0;
    if (!record.request.nonIdempotent) {
        where.victims.insert(record);
        ++queue.preemptible;
    }
}

void pool_scheduler::implementation::vacate(request_record& record)
{
    auto& queue = queueOf(record);
    auto& where = *record.endpoint;
    where.requests.erase(where.requests.iterator_to(record));
    --where.running;
    where.work = where.running == 0 ? 0 : std::max(0.0, where.work - record.grantedCost);
    if (record.victimHook.is_linked()) {
        where.victims.erase(where.victims.iterator_to(record));
        --queue.preemptible;
    }
    where.preempting -= record.preempting ? 1 : 0;
    preempting -= record.preempting ? 1 : 0;
    --running;
    --queue.running;
    queue.longRunning -= record.longRequest ? 1 : 0;
}

void pool_scheduler::implementation::refuse(request_record& record, refusal_reason reason, std::string message, actions& out)
{
    const auto perSlot = typicalWork.mean() / static_cast<double>(std::max<std::size_t>(1, slots));
    const auto seconds = std::clamp(perSlot * static_cast<double>(waiting + 1), 0.05, 60.0);
    auto outcome = "refused: " + std::string(refusalReasonNames.name(reason)) + ": " + message;
    out.emplace_back(slot_refusal {
        record.request.id, record.request.home, reason, std::move(message), fromSeconds(seconds), fromSeconds(record.bestCase) });
    forget(record, std::move(outcome), false);
}

void pool_scheduler::implementation::forget(request_record& record, std::string outcome, bool ran)
{
    const auto id = record.request.id;
    if (record.timerHook.is_linked())
        timers.erase(timers.iterator_to(record));
    const auto [position, added] = history.insert_or_assign(id, history_entry { std::move(outcome), ran });
    if (added)
        historyOrder.push_back(id);
    if (historyOrder.size() > historySize) {
        history.erase(historyOrder.front());
        historyOrder.pop_front();
    }
    requests.erase(id);
}

} // namespace carawaylink
