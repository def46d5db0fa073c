#include "pool_state.h"

#include <algorithm>

namespace carawaylink {

namespace {

/// Preemption is due while a run time of this many mean deviations above the estimate still fits, about 99 in 100 requests.
constexpr double preemptionDeviations = 3;
constexpr double largestPreemptionFactor = 3;
constexpr double samplesOfSize = 3;
/// Pause before a request that found nothing to preempt looks again.
constexpr duration retryPreemption = std::chrono::milliseconds(50);
/// The same while no lower tier runs at all; lower tiers rarely start while higher ones wait.
constexpr duration idlePreemption = std::chrono::milliseconds(250);
/// Slots; a tier with less recent demand is not in service.
constexpr double negligibleDemand = 0.05;
/// An empty list of endpoints may be a passing state of the VM list.
constexpr duration noEndpointGrace = std::chrono::seconds(1);

} // namespace

bool pool_scheduler::implementation::admit(monotonic_time now, request_record& record, actions& out)
{
    auto& owner = record.owner->team;
    if (now >= record.request.deadline) {
        refuse(record, refusal_reason::deadline_passed, "the deadline had passed when the request arrived", out);
        return false;
    }
    if (std::ranges::none_of(endpoints, [](const auto& entry) { return entry->eligible(); })) {
        refuse(record, refusal_reason::no_endpoint, "the pool has no endpoint that accepts work", out);
        return false;
    }
    if (owner.waiting >= owner.maxWaiting && !displaceOwn(record, out)) {
        refuse(record, refusal_reason::team_queue_full,
            "team " + owner.id.value + " has reached its limit of " + std::to_string(owner.maxWaiting) + " waiting requests", out);
        return false;
    }
    // A preempted stream frees a slot soon, so one more request may wait for each of them.
    if (waiting >= settings.maxWaiting + preempting && !makeRoom(now, record, out)) {
        countInversion(now, record, true);
        refuse(record, refusal_reason::queue_full,
            "the pool has reached its limit of " + std::to_string(settings.maxWaiting) + " waiting requests", out);
        return false;
    }
    const auto cost = bestCost(now, record);
    record.bestCase = cost.seconds;
    const double wait = waitEstimate(record);
    const double needed = cost.seconds * (wait > 0 ? 1 + margin() : 1);
    if (!cost.learned || now + fromSeconds(wait + needed) <= record.request.deadline) {
        enqueue(record);
        record.admittedCost = cost.learned ? cost.seconds : 0;
        setTimer(record, preemptionDue(record, cost));
        return true;
    }
    enqueue(record);
    if (wait > 0 && preemptFor(now, record, out))
        return true;
    countInversion(now, record, false);
    unqueue(record);
    refuse(record, refusal_reason::deadline_unreachable,
        "estimated wait " + milliseconds(wait) + " and run time " + milliseconds(needed) + " exceed the time left", out);
    return false;
}

double pool_scheduler::implementation::preemptionFactor() const
{
    return std::clamp(estimateError.mean() + preemptionDeviations * estimateError.deviation(), 1.0, largestPreemptionFactor);
}

monotonic_time pool_scheduler::implementation::preemptionDue(const request_record& record, const run_time& cost) const
{
    // Nothing is known yet about outputs of this size: they may be as long as the maximum allows.
    const bool unknown = outputShares.of(record.request.maxOutputTokens.value).samples() < samplesOfSize;
    // Preemption must also be possible where only slow endpoints run lower tiers.
    const double needed = std::max(cost.seconds * (unknown ? largestPreemptionFactor : preemptionFactor()), cost.slowest);
    return record.request.deadline - fromSeconds(needed) - preemptionLead - retryPreemption;
}

bool pool_scheduler::implementation::displaceOwn(request_record& record, actions& out)
{
    auto& ownFlows = record.owner->team.flows;
    for (auto entry = ownFlows.rbegin(); entry != ownFlows.rend() && (*entry)->level > record.request.level; ++entry) {
        if (auto* victim = (*entry)->last()) {
            unqueue(*victim);
            refuse(*victim, refusal_reason::displaced, "displaced by work of a more urgent tier of the same team", out);
            return true;
        }
    }
    return false;
}

request_record* pool_scheduler::implementation::lastWaiting(tier level)
{
    auto& queue = tiers.at(level);
    if (queue.size() > 0 || queue.parked == 0)
        return queue.last();
    for (const auto& entry : endpoints) {
        const auto parked = std::ranges::find(entry->parked, level, [](const request_record& record) { return record.request.level; });
        if (parked != entry->parked.end())
            return &*parked;
    }
    return nullptr;
}

bool pool_scheduler::implementation::makeRoom(monotonic_time now, request_record& record, actions& out)
{
    // The least urgent work goes first, whether it waits or runs: refusing waiting work of a tier while a less urgent one is
    // served would only move the inversion.
    auto* runningVictim = findVictim(now, record, std::nullopt);
    for (auto entry = tiers.rbegin(); entry != tiers.rend() && entry->first > record.request.level; ++entry) {
        if (runningVictim && runningVictim->victims.begin()->request.level > entry->first)
            break;
        if (auto* victim = lastWaiting(entry->first)) {
            unqueue(*victim);
            refuse(*victim, refusal_reason::displaced, "displaced by work of a more urgent tier", out);
            return true;
        }
    }
    if (!runningVictim)
        return false;
    preempt(*runningVictim->victims.begin(), out);
    return true;
}

bool pool_scheduler::implementation::mayDefer(monotonic_time now, request_record& record)
{
    std::size_t rivals = 0;
    for (auto entry = tiers.begin(); entry != tiers.upper_bound(record.request.level); ++entry)
        rivals += entry->second.size() + entry->second.parked;
    const auto cached = prefixes.match(record.request.prefixBlocks);
    const double factor = preemptionFactor();
    std::size_t victims = 0;
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->ejected || entry->victims.empty())
            continue;
        const double cost = option(record, *entry, cached, true).cost;
        if (now + fromSeconds(cost * factor) + preemptionLead + 2 * retryPreemption > record.request.deadline)
            continue;
        for (const auto& victim : entry->victims) {
            if (victim.request.level <= record.request.level)
                break;
            if (++victims > rivals)
                return true;
        }
    }
    return false;
}

bool pool_scheduler::implementation::mostUrgent(tier level) const
{
    return std::all_of(tiers.begin(), tiers.lower_bound(level), [&](const auto& entry) {
        const auto& queue = entry.second;
        return queue.size() + queue.parked + queue.running == 0 && queue.shortDemand.at(lastNow) < negligibleDemand;
    });
}

bool pool_scheduler::implementation::lowerPreemptible(tier level) const
{
    return std::any_of(tiers.upper_bound(level), tiers.end(), [](const auto& entry) { return entry.second.preemptible > 0; });
}

endpoint_record* pool_scheduler::implementation::findVictim(monotonic_time now, request_record& record, std::optional<monotonic_time> start)
{
    if (!settings.preemption || !lowerPreemptible(record.request.level))
        return nullptr;
    const auto cached = prefixes.match(record.request.prefixBlocks);
    endpoint_record* best = nullptr;
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->ejected || entry->victims.empty())
            continue;
        const auto& victim = *entry->victims.begin();
        if (victim.request.level <= record.request.level || (best && !victim_order {}(victim, *best->victims.begin())))
            continue;
        if (start && modelsOf(*entry).learned(now)
            && *start + fromSeconds(option(record, *entry, cached, true).cost) > record.request.deadline)
            continue;
        best = entry.get();
    }
    return best;
}

void pool_scheduler::implementation::preempt(request_record& victim, actions& out)
{
    auto& where = *victim.endpoint;
    where.victims.erase(where.victims.iterator_to(victim));
    --queueOf(victim).preemptible;
    victim.preempting = true;
    ++where.preempting;
    ++preempting;
    out.emplace_back(slot_preemption { victim.request.id, victim.request.home });
}

bool pool_scheduler::implementation::preemptFor(monotonic_time now, request_record& record, actions& out)
{
    auto* where = findVictim(now, record, now);
    if (!where)
        return false;
    const auto cached = prefixes.match(record.request.prefixBlocks);
    const auto choice = option(record, *where, cached, true);
    preempt(*where->victims.begin(), out);
    if (record.phase == request_phase::parked)
        unpark(record);
    record.charge = static_cast<double>(record.request.promptTokens.value - choice.cachedTokens) + record.expectedOutput;
    // The slot is reserved until the deadline decides: without the reservation it would go to the next request in order, and
    // this one would preempt again or be refused.
    park(now, record, *where, 0);
    record.parkedUntil = record.request.deadline;
    record.reserved = true;
    ++where->reserved;
    setTimer(record, now + retryPreemption);
    return true;
}

void pool_scheduler::implementation::countInversion(monotonic_time now, request_record& record, bool queueSpace)
{
    const auto lower
        = [&](const auto& entry) { return entry.first > record.request.level && entry.second.size() + entry.second.parked > 0; };
    if (queueSpace) {
        inversions += std::ranges::any_of(tiers, lower) || findVictim(now, record, std::nullopt) ? 1 : 0;
        return;
    }
    // Work whose estimate grew while it waited, and that would be in time by the estimate of its admission, is not refused for
    // lack of capacity.
    if (!settings.preemption || !lowerPreemptible(record.request.level)
        || (record.admittedCost > 0 && now + fromSeconds(record.admittedCost) <= record.request.deadline))
        return;
    // A stream could have been displaced from its grant on, or from the arrival of the request plus the time that a preemption
    // takes; it counts where its endpoint would have finished the request then, by the estimate that grants use under load.
    const auto cached = prefixes.match(record.request.prefixBlocks);
    const bool displaceable = std::ranges::any_of(endpoints, [&](const auto& entry) {
        if (!entry->eligible() || entry->ejected)
            return false;
        const auto needed = fromSeconds(option(record, *entry, cached, true).cost * (1 + margin()));
        return std::ranges::any_of(entry->victims, [&](const request_record& victim) {
            return victim.request.level > record.request.level
                && std::max(victim.granted, record.submitted + preemptionLead) + needed <= record.request.deadline;
        });
    });
    inversions += displaceable ? 1 : 0;
}

void pool_scheduler::implementation::renewReservations(monotonic_time now, actions& out)
{
    for (const auto& entry : endpoints) {
        while (entry->reserved > entry->preempting + freeSlots(*entry, now)) {
            auto& record = *std::ranges::find_if(entry->parked, &request_record::reserved);
            unpark(record);
            // Without a victim it waits in its queue, and its timer decides.
            if (!preemptFor(now, record, out))
                setTimer(record, now + retryPreemption);
        }
    }
}

void pool_scheduler::implementation::checkWaiting(monotonic_time now, request_record& record, actions& out)
{
    const auto cost = bestCost(now, record);
    record.bestCase = cost.seconds;
    const auto latest = record.request.deadline - (cost.learned ? fromSeconds(cost.seconds) : duration {});
    const bool passed = now >= record.request.deadline;
    if (passed || now > latest) {
        countInversion(now, record, false);
        unqueue(record);
        refuse(record, passed ? refusal_reason::deadline_passed : refusal_reason::deadline_unreachable,
            "no slot was free in time: waited " + milliseconds(toSeconds(now - record.submitted)), out);
        return;
    }
    // A long request of the most urgent tier in service is not refused for slots that are kept for short ones. For other tiers
    // this would fill the reserve under overload, and more urgent work would have to preempt it again.
    if (record.phase == request_phase::waiting && record.longRequest && mostUrgent(record.request.level) && place(now, record, out))
        return;
    const auto retry = now + (lowerPreemptible(record.request.level) ? retryPreemption : idlePreemption);
    if (record.reserved || mayDefer(now, record) || !preemptFor(now, record, out))
        setTimer(record, std::min(latest + duration(1), retry));
}

void pool_scheduler::implementation::runTimers(monotonic_time now, actions& out)
{
    while (!timers.empty() && timers.begin()->timer <= now) {
        auto& record = *timers.begin();
        if (record.phase != request_phase::running) {
            checkWaiting(now, record, out);
            continue;
        }
        // The timer of a running request is not moved with every progress message, but checked when it is due.
        const auto silence = silenceLimit(record);
        if (!record.homeFailed && record.lastHeard + silence > now) {
            setTimer(record, record.lastHeard + silence);
            continue;
        }
        vacate(record);
        forget(record, record.homeFailed ? "slot freed after the loss of its home" : "slot freed: no progress was reported", true);
    }
}

void pool_scheduler::implementation::refuseWithoutEndpoint(monotonic_time now, actions& out)
{
    const bool any = std::ranges::any_of(endpoints, [](const auto& entry) { return entry->eligible(); });
    if (any || waiting == 0) {
        noEndpointSince = {};
        return;
    }
    if (noEndpointSince == monotonic_time {})
        noEndpointSince = now;
    if (now - noEndpointSince < noEndpointGrace)
        return;
    std::vector<request_record*> refused;
    for (auto& [id, record] : requests) {
        if (record.phase != request_phase::running)
            refused.push_back(&record);
    }
    for (auto* record : refused) {
        unqueue(*record);
        refuse(*record, refusal_reason::no_endpoint, "the pool has no endpoint that accepts work", out);
    }
}

} // namespace carawaylink
