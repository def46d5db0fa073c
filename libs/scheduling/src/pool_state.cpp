#include "pool_state.h"

#include "base/prompt_blocks.h"

#include <algorithm>
#include <bit>

namespace carawaylink {

namespace {

/// Finished requests kept for explain() and the detection of repeated submissions; about 400 bytes each.
constexpr std::size_t maxHistoryEntries = 2048;
/// Limit of the lead in virtual time that teams of short requests may gain through long_slot_share, in requests of the team with long
/// ones.
constexpr double maxShortLeadRequests = 2;
/// Slots reserved for short requests beyond their mean demand, as a multiple of its square root (square-root staffing, Halfin and Whitt
/// 1981). With 1.5, at most one short request in ten finds all of them taken.
constexpr double shortSlotHeadroom = 1.5;

} // namespace

pool_scheduler::implementation::implementation(pool_scheduler_settings initial)
    : settings(initial)
    , runTimeRatio(1.0, 0.1, 0.98)
    , workRatio(1.0, 0, 0.98)
    , meanRunTime(1.0, 0, 0.98)
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

void pool_scheduler::implementation::initializeRecord(request_record& record)
{
    const auto& request = record.request;
    record.teamFlow = &flowOf(team(request.team), request.level);
    record.expectedOutput = expectedOutput(record.teamFlow->outputShares, outputShares, request.maxOutputTokens.value);
    record.chargeTokens = static_cast<double>(request.promptTokens.value) + record.expectedOutput;
    const double concurrency = static_cast<double>(running) / static_cast<double>(std::max<std::size_t>(1, endpoints.size()));
    record.workSeconds = poolSpeed.firstToken.at(static_cast<double>(request.promptTokens.value))
        + record.expectedOutput * poolSpeed.outputToken.at(std::max(1.0, concurrency));
    auto& costs = tiers.at(request.level).costs;
    const double median = costs.value();
    record.longRequest = median > 0 && record.workSeconds > settings.longRequestFactor * median;
    costs.add(record.workSeconds);
    if (!record.longRequest)
        tiers.at(request.level).shortDemand.add(lastNow, record.workSeconds * workRatio.mean());
}

endpoint_state& pool_scheduler::implementation::endpoint(const endpoint_id& id)
{
    if (const auto found = endpointsById.find(id); found != endpointsById.end())
        return *found->second;
    auto& added = *endpoints.emplace_back(std::make_unique<endpoint_state>());
    added.description.id = id;
    added.generation = &generations[added.description.generation];
    // Endpoints beyond the capacity of the prefix index are placed without regard to cached prefixes.
    added.position = static_cast<std::size_t>(std::countr_one(usedPositions));
    if (added.position < prefix_index::maxEndpoints)
        usedPositions |= std::uint64_t { 1 } << added.position;
    endpointsById.emplace(id, &added);
    return added;
}

void pool_scheduler::implementation::updateSlotCount()
{
    const auto regular = [](const auto& entry) { return entry->eligible() && !entry->ejected; };
    // If all endpoints are ejected, readmit them: slow endpoints are better than none.
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
    // If a less urgent tier is running, its requests are preempted first.
    return level->second.longPreemptionRisk.at(lastNow) > settings.preemptionRiskLimit
        && std::none_of(std::next(level), tiers.end(), [](const auto& entry) { return entry.second.running > 0; });
}

bool pool_scheduler::implementation::longAllowed(tier level) const
{
    const auto own = tiers.find(level);
    if (own == tiers.end())
        return true;
    if (preemptionLikely(own))
        return false;
    // Teams with short requests that are ahead of their shares wait because of fairness, not because of long requests. Without this
    // exception, a permanent backlog of short requests would keep teams with long ones below their shares indefinitely.
    if (own->second.shortTeamsAhead(maxShortLeadRequests))
        return true;
    // Long requests of less urgent tiers are not counted: they must not hold back a more urgent tier.
    std::size_t held = 0;
    double demand = 0;
    for (auto entry = tiers.begin(); entry != std::next(own); ++entry) {
        held += entry->second.longRunning;
        demand += entry->second.shortDemand.at(lastNow);
    }
    const auto share = static_cast<std::size_t>(settings.longSlotShare * static_cast<double>(slots));
    if (own->second.shortWaiting())
        return held < std::max<std::size_t>(1, share);
    // At moderate load, the queue of short requests is empty most of the time. If long requests could then fill all slots, the next
    // short ones would wait for a complete long request: p99 wait of 4.4 s in the test of this rule, compared with 0 s with it.
    const auto expected = static_cast<std::size_t>(std::ceil(demand + shortSlotHeadroom * std::sqrt(demand)));
    return held + std::min(expected, slots - std::max<std::size_t>(1, share)) < slots;
}

void pool_scheduler::implementation::enqueue(request_record& record)
{
    record.phase = request_phase::waiting;
    queueOf(record).push(record, longAllowed(record.request.level));
    ++waiting;
    ++record.teamFlow->team.waiting;
}

void pool_scheduler::implementation::removeFromQueue(request_record& record)
{
    if (record.phase == request_phase::parked)
        unpark(record);
    queueOf(record).remove(record);
    --waiting;
    --record.teamFlow->team.waiting;
}

void pool_scheduler::implementation::park(monotonic_time now, request_record& record, endpoint_state& target, double wait)
{
    auto& queue = queueOf(record);
    removeFromQueue(record);
    ++waiting;
    ++record.teamFlow->team.waiting;
    ++queue.parked;
    queue.longRunning += record.longRequest ? 1 : 0;
    queue.serve(*record.teamFlow);
    queue.charge(*record.teamFlow, record.chargeTokens);
    record.phase = request_phase::parked;
    record.hasParked = true;
    // Twice the estimated wait, since the time already waited is lost when a parked request gives up too early.
    record.parkedUntil = now + std::chrono::milliseconds(100) + fromSeconds(2 * wait);
    record.endpoint = &target;
    target.parked.push_back(record);
}

void pool_scheduler::implementation::unpark(request_record& record)
{
    auto& queue = queueOf(record);
    auto& target = *record.endpoint;
    target.parked.erase(target.parked.iterator_to(record));
    target.reserved -= record.reserved ? 1 : 0;
    record.reserved = false;
    record.endpoint = nullptr;
    --queue.parked;
    queue.longRunning -= record.longRequest ? 1 : 0;
    queue.charge(*record.teamFlow, -record.chargeTokens);
    record.phase = request_phase::waiting;
    queue.push(record, longAllowed(record.request.level));
}

void pool_scheduler::implementation::startRunning(monotonic_time now, request_record& record, endpoint_state& target)
{
    auto& queue = queueOf(record);
    record.phase = request_phase::running;
    record.endpoint = &target;
    record.granted = now;
    record.lastProgress = now;
    record.lastCounted = now;
    ++target.running;
    target.workSeconds += record.grantedCostSeconds;
    target.requests.push_back(record);
    for (auto& peak : target.external.peakRunning)
        peak = std::max(peak, target.running);
    record.concurrency = static_cast<double>(target.running);
    ++running;
    ++queue.running;
    queue.longRunning += record.longRequest ? 1 : 0;
    if (!record.request.nonIdempotent) {
        target.victims.insert(record);
        ++queue.preemptible;
    }
}

void pool_scheduler::implementation::stopRunning(request_record& record)
{
    auto& queue = queueOf(record);
    auto& target = *record.endpoint;
    target.requests.erase(target.requests.iterator_to(record));
    --target.running;
    target.workSeconds = target.running == 0 ? 0 : std::max(0.0, target.workSeconds - record.grantedCostSeconds);
    if (record.victimHook.is_linked()) {
        target.victims.erase(target.victims.iterator_to(record));
        --queue.preemptible;
    }
    target.preempting -= record.preempting ? 1 : 0;
    preempting -= record.preempting ? 1 : 0;
    --running;
    --queue.running;
    queue.longRunning -= record.longRequest ? 1 : 0;
}

void pool_scheduler::implementation::refuse(request_record& record, refusal_reason reason, std::string message, actions& out)
{
    const auto perSlot = meanRunTime.mean() / static_cast<double>(std::max<std::size_t>(1, slots));
    const auto seconds = std::clamp(perSlot * static_cast<double>(waiting + 1), 0.05, 60.0);
    auto outcome = "refused: " + std::string(refusalReasonNames.name(reason)) + ": " + message;
    out.emplace_back(slot_refusal {
        record.request.id, record.request.home, reason, std::move(message), fromSeconds(seconds), fromSeconds(record.bestCase) });
    moveToHistory(record, std::move(outcome), false);
}

void pool_scheduler::implementation::moveToHistory(request_record& record, std::string outcome, bool ran)
{
    const auto id = record.request.id;
    if (record.timerHook.is_linked())
        timers.erase(timers.iterator_to(record));
    const auto [position, added] = history.insert_or_assign(id, history_entry { std::move(outcome), ran });
    if (added)
        historyOrder.push_back(id);
    if (historyOrder.size() > maxHistoryEntries) {
        history.erase(historyOrder.front());
        historyOrder.pop_front();
    }
    requests.erase(id);
}

} // namespace carawaylink
