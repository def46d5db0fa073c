#include "pool_state.h"

#include <algorithm>

namespace carawaylink {

namespace {

/// Preemption starts early enough for a run time of this many mean absolute deviations above the mean, which covers about 99 % of
/// requests.
constexpr double preemptionDeviations = 3;
constexpr double maxPreemptionFactor = 3;
/// With fewer samples, the output length of a size class is considered unknown.
constexpr double minSizeClassSamples = 3;
/// Interval after which a request that found nothing to preempt tries again.
constexpr duration preemptionRetryInterval = std::chrono::milliseconds(50);
/// Same, while no preemptible request of a less urgent tier is running; these rarely start while more urgent ones wait.
constexpr duration idlePreemptionRetryInterval = std::chrono::milliseconds(250);
/// In slots; a tier with less recent demand is not considered in service.
constexpr double negligibleDemand = 0.05;
/// An empty list of endpoints may be a temporary state of the VM list.
constexpr duration noEndpointGracePeriod = std::chrono::seconds(1);

} // namespace

bool pool_scheduler::implementation::admit(monotonic_time now, request_record& record, actions& out)
{
    auto& owner = record.teamFlow->team;
    if (now >= record.request.deadline) {
        refuse(record, refusal_reason::deadline_passed, "the deadline had passed when the request arrived", out);
        return false;
    }
    if (std::ranges::none_of(endpoints, [](const auto& entry) { return entry->eligible(); })) {
        refuse(record, refusal_reason::no_endpoint, "the pool has no endpoint that accepts work", out);
        return false;
    }
    if (owner.waiting >= owner.maxWaiting && !displaceFromOwnTeam(record, out)) {
        refuse(record, refusal_reason::team_queue_full,
            "team " + owner.id.value + " has reached its limit of " + std::to_string(owner.maxWaiting) + " waiting requests", out);
        return false;
    }
    // Each stream being preempted frees a slot soon, so one more request may wait for each of them.
    if (waiting >= settings.maxWaiting + preempting && !freeQueueSpace(now, record, out)) {
        countInversion(now, record, true);
        refuse(record, refusal_reason::queue_full,
            "the pool has reached its limit of " + std::to_string(settings.maxWaiting) + " waiting requests", out);
        return false;
    }
    const auto cost = bestRunTime(now, record);
    record.bestCase = cost.seconds;
    const double wait = waitEstimate(record);
    const double needed = cost.seconds * (wait > 0 ? 1 + estimateMargin() : 1);
    if (!cost.learned || now + fromSeconds(wait + needed) <= record.request.deadline) {
        enqueue(record);
        record.admittedCostSeconds = cost.learned ? cost.seconds : 0;
        setTimer(record, preemptionDue(record, cost));
        return true;
    }
    enqueue(record);
    if (wait > 0 && preemptFor(now, record, out))
        return true;
    countInversion(now, record, false);
    removeFromQueue(record);
    refuse(record, refusal_reason::deadline_unreachable,
        "estimated wait " + milliseconds(wait) + " and run time " + milliseconds(needed) + " exceed the time left", out);
    return false;
}

double pool_scheduler::implementation::preemptionFactor() const
{
    return std::clamp(runTimeRatio.mean() + preemptionDeviations * runTimeRatio.deviation(), 1.0, maxPreemptionFactor);
}

monotonic_time pool_scheduler::implementation::preemptionDue(const request_record& record, const run_time& cost) const
{
    // Without enough samples of this size class, assume the largest factor: outputs may be as long as the maximum allows.
    const bool unknown = outputShares.forMaximum(record.request.maxOutputTokens.value).samples() < minSizeClassSamples;
    // Preemption must also be possible if only slow endpoints run less urgent tiers.
    const double needed = std::max(cost.seconds * (unknown ? maxPreemptionFactor : preemptionFactor()), cost.slowest);
    return record.request.deadline - fromSeconds(needed) - preemptionLatency - preemptionRetryInterval;
}

bool pool_scheduler::implementation::displaceFromOwnTeam(request_record& record, actions& out)
{
    auto& ownFlows = record.teamFlow->team.flows;
    for (auto entry = ownFlows.rbegin(); entry != ownFlows.rend() && (*entry)->level > record.request.level; ++entry) {
        if (auto* victim = (*entry)->last()) {
            removeFromQueue(*victim);
            refuse(*victim, refusal_reason::displaced, "displaced by a request of a more urgent tier of the same team", out);
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

bool pool_scheduler::implementation::freeQueueSpace(monotonic_time now, request_record& record, actions& out)
{
    // The least urgent request goes first, whether waiting or running: refusing a waiting request while a less urgent tier is served
    // would only move the inversion to another request.
    auto* runningVictim = findVictimEndpoint(now, record, std::nullopt);
    for (auto entry = tiers.rbegin(); entry != tiers.rend() && entry->first > record.request.level; ++entry) {
        if (runningVictim && runningVictim->victims.begin()->request.level > entry->first)
            break;
        if (auto* victim = lastWaiting(entry->first)) {
            removeFromQueue(*victim);
            refuse(*victim, refusal_reason::displaced, "displaced by a request of a more urgent tier", out);
            return true;
        }
    }
    if (!runningVictim)
        return false;
    preempt(*runningVictim->victims.begin(), out);
    return true;
}

bool pool_scheduler::implementation::mayDeferPreemption(monotonic_time now, request_record& record)
{
    std::size_t competing = 0;
    for (auto entry = tiers.begin(); entry != tiers.upper_bound(record.request.level); ++entry)
        competing += entry->second.size() + entry->second.parked;
    const auto cached = prefixes.match(record.request.prefixBlocks);
    const double factor = preemptionFactor();
    std::size_t victims = 0;
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->ejected || entry->victims.empty())
            continue;
        const double cost = estimateOption(record, *entry, cached, true).cost;
        if (now + fromSeconds(cost * factor) + preemptionLatency + 2 * preemptionRetryInterval > record.request.deadline)
            continue;
        for (const auto& victim : entry->victims) {
            if (victim.request.level <= record.request.level)
                break;
            if (++victims > competing)
                return true;
        }
    }
    return false;
}

bool pool_scheduler::implementation::isMostUrgentInService(tier level) const
{
    return std::all_of(tiers.begin(), tiers.lower_bound(level), [&](const auto& entry) {
        const auto& queue = entry.second;
        return queue.size() + queue.parked + queue.running == 0 && queue.shortDemand.at(lastNow) < negligibleDemand;
    });
}

bool pool_scheduler::implementation::hasLessUrgentPreemptible(tier level) const
{
    return std::any_of(tiers.upper_bound(level), tiers.end(), [](const auto& entry) { return entry.second.preemptible > 0; });
}

endpoint_state* pool_scheduler::implementation::findVictimEndpoint(
    monotonic_time now, request_record& record, std::optional<monotonic_time> start)
{
    if (!settings.preemption || !hasLessUrgentPreemptible(record.request.level))
        return nullptr;
    const auto cached = prefixes.match(record.request.prefixBlocks);
    endpoint_state* best = nullptr;
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->ejected || entry->victims.empty())
            continue;
        const auto& victim = *entry->victims.begin();
        if (victim.request.level <= record.request.level || (best && !victim_order {}(victim, *best->victims.begin())))
            continue;
        if (start && modelsOf(*entry).learned(now)
            && *start + fromSeconds(estimateOption(record, *entry, cached, true).cost) > record.request.deadline)
            continue;
        best = entry.get();
    }
    return best;
}

void pool_scheduler::implementation::preempt(request_record& victim, actions& out)
{
    auto& target = *victim.endpoint;
    target.victims.erase(target.victims.iterator_to(victim));
    --queueOf(victim).preemptible;
    victim.preempting = true;
    ++target.preempting;
    ++preempting;
    out.emplace_back(slot_preemption { victim.request.id, victim.request.home });
}

bool pool_scheduler::implementation::preemptFor(monotonic_time now, request_record& record, actions& out)
{
    auto* target = findVictimEndpoint(now, record, now);
    if (!target)
        return false;
    const auto cached = prefixes.match(record.request.prefixBlocks);
    const auto choice = estimateOption(record, *target, cached, true);
    preempt(*target->victims.begin(), out);
    if (record.phase == request_phase::parked)
        unpark(record);
    record.chargeTokens = static_cast<double>(record.request.promptTokens.value - choice.cachedTokens) + record.expectedOutput;
    // The slot is reserved until the deadline. Without the reservation it would go to the next request in order, and this one would
    // preempt again or be refused.
    park(now, record, *target, 0);
    record.parkedUntil = record.request.deadline;
    record.reserved = true;
    ++target->reserved;
    setTimer(record, now + preemptionRetryInterval);
    return true;
}

void pool_scheduler::implementation::countInversion(monotonic_time now, request_record& record, bool queueSpace)
{
    const auto lower
        = [&](const auto& entry) { return entry.first > record.request.level && entry.second.size() + entry.second.parked > 0; };
    if (queueSpace) {
        inversions += std::ranges::any_of(tiers, lower) || findVictimEndpoint(now, record, std::nullopt) ? 1 : 0;
        return;
    }
    // Not an inversion: the request would still finish in time by the estimate at its admission. It is refused because its estimate
    // has grown since, not for lack of capacity.
    if (!settings.preemption || !hasLessUrgentPreemptible(record.request.level)
        || (record.admittedCostSeconds > 0 && now + fromSeconds(record.admittedCostSeconds) <= record.request.deadline))
        return;
    // A stream could have been preempted since its grant, or since the submission of the request plus the preemption latency. It counts
    // if its endpoint would then have finished the request in time, by the estimate that grants use under load.
    const auto cached = prefixes.match(record.request.prefixBlocks);
    const bool displaceable = std::ranges::any_of(endpoints, [&](const auto& entry) {
        if (!entry->eligible() || entry->ejected)
            return false;
        const auto needed = fromSeconds(estimateOption(record, *entry, cached, true).cost * (1 + estimateMargin()));
        return std::ranges::any_of(entry->victims, [&](const request_record& victim) {
            return victim.request.level > record.request.level
                && std::max(victim.granted, record.submitted + preemptionLatency) + needed <= record.request.deadline;
        });
    });
    inversions += displaceable ? 1 : 0;
}

void pool_scheduler::implementation::renewLostReservations(monotonic_time now, actions& out)
{
    for (const auto& entry : endpoints) {
        while (entry->reserved > entry->preempting + freeSlots(*entry, now)) {
            auto& record = *std::ranges::find_if(entry->parked, &request_record::reserved);
            unpark(record);
            // Without a victim, the request waits in its queue until its timer expires.
            if (!preemptFor(now, record, out))
                setTimer(record, now + preemptionRetryInterval);
        }
    }
}

void pool_scheduler::implementation::checkWaiting(monotonic_time now, request_record& record, actions& out)
{
    const auto cost = bestRunTime(now, record);
    record.bestCase = cost.seconds;
    const auto latest = record.request.deadline - (cost.learned ? fromSeconds(cost.seconds) : duration {});
    const bool passed = now >= record.request.deadline;
    if (passed || now > latest) {
        countInversion(now, record, false);
        removeFromQueue(record);
        refuse(record, passed ? refusal_reason::deadline_passed : refusal_reason::deadline_unreachable,
            "no slot was free in time: waited " + milliseconds(toSeconds(now - record.submitted)), out);
        return;
    }
    // A long request of the most urgent tier in service may use the slots reserved for short ones rather than be refused. For other
    // tiers, this would fill the reserved slots under overload, and more urgent requests would have to preempt them again.
    if (record.phase == request_phase::waiting && record.longRequest && isMostUrgentInService(record.request.level)
        && place(now, record, out))
        return;
    const auto retry = now + (hasLessUrgentPreemptible(record.request.level) ? preemptionRetryInterval : idlePreemptionRetryInterval);
    if (record.reserved || mayDeferPreemption(now, record) || !preemptFor(now, record, out))
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
        // The timer of a running request is not reset on each progress message; it is re-armed here when it expires.
        const auto timeout = progressTimeout(record);
        if (!record.homeFailed && record.lastProgress + timeout > now) {
            setTimer(record, record.lastProgress + timeout);
            continue;
        }
        stopRunning(record);
        moveToHistory(record,
            record.homeFailed ? "slot freed after the failure of its home node" : "slot freed: no progress report within the time limit",
            true);
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
    if (now - noEndpointSince < noEndpointGracePeriod)
        return;
    std::vector<request_record*> refused;
    for (auto& [id, record] : requests) {
        if (record.phase != request_phase::running)
            refused.push_back(&record);
    }
    for (auto* record : refused) {
        removeFromQueue(*record);
        refuse(*record, refusal_reason::no_endpoint, "the pool has no endpoint that accepts work", out);
    }
}

} // namespace carawaylink
