#include "pool_state.h"

#include "base/prompt_blocks.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace carawaylink {

namespace {

/// While other requests wait, prefill time saved by a cached prefix also benefits them, so it counts this many times its duration.
/// Without other requests, it only shortens the request itself.
constexpr double contendedPrefixWeight = 3;
/// Range of slot utilization in which a request with enough slack is placed by wait, time to first token and occupancy rather than by
/// run time. This leaves fast endpoints to requests that need them. Below the range there is no contention; above it, there is hardly a
/// choice.
constexpr double minModerateUtilization = 0.3;
constexpr double maxModerateUtilization = 0.95;

// An endpoint that fails requests at once keeps its estimates and would be chosen again until its circuit opens.
bool isBetter(const placement_option& choice, const placement_option& best)
{
    return !best.endpoint || std::tie(choice.lastFailed, choice.score) < std::tie(best.lastFailed, best.score);
}

double occupancy(const endpoint_state& target)
{
    return static_cast<double>(target.running) / static_cast<double>(std::max<std::size_t>(1, target.description.maxRunning));
}

/// One request per this many slots of an endpoint (at least one) may be parked there for its cached prefix.
constexpr std::size_t slotsPerParkedRequest = 4;
/// Time that a due probe waits for a request of the least urgent tier; under overload, such a request may never be placed.
constexpr duration leastUrgentTierProbeTimeout = std::chrono::seconds(5);
/// Larger errors of the estimate are noise of the first samples and must not cause refusals.
constexpr double maxEstimateMargin = 0.5;
constexpr double minMarginSamples = 5;
/// A running request without a progress report for this many grant lifetimes is considered lost.
constexpr int progressTimeoutLifetimes = 30;

} // namespace

std::size_t pool_scheduler::implementation::freeSlots(const endpoint_state& target, monotonic_time now) const
{
    if (!target.eligible())
        return 0;
    const auto circuit = target.breaker.state(now);
    if (circuit == circuit_state::open)
        return 0;
    if (target.ejected)
        return target.running == 0 && now >= target.nextProbe ? 1 : 0;
    if (circuit == circuit_state::half_open)
        return target.running == 0 ? 1 : 0;
    const auto taken = target.running + target.externalRunning(now);
    return target.description.maxRunning > taken ? target.description.maxRunning - taken : 0;
}

bool pool_scheduler::implementation::mayProbe(monotonic_time now, const request_record& record, const placement_option& choice) const
{
    // A probe may be slow, so long requests, non-idempotent requests and requests without enough slack are not used as probes.
    if (record.longRequest || record.request.nonIdempotent
        || now + fromSeconds(choice.cost * settings.stragglerFactor) > record.request.deadline)
        return false;
    // Requests of the least urgent tier in service are used as probes, unless none was available for some time.
    const bool isLeastUrgent = std::none_of(tiers.upper_bound(record.request.level), tiers.end(),
        [](const auto& entry) { return entry.second.size() + entry.second.parked + entry.second.running > 0; });
    return isLeastUrgent || now > choice.endpoint->nextProbe + leastUrgentTierProbeTimeout;
}

double pool_scheduler::implementation::nextSlotWait(const endpoint_state& target) const
{
    const auto ahead = static_cast<double>(target.parked.size() + 1);
    if (target.running == 0)
        return meanRunTime.mean() * ahead;
    const auto streams = static_cast<double>(target.running);
    // Mean run time divided by the streams: mean time until the next slot is free. Parked requests get the first slots.
    return target.workSeconds / streams / streams * ahead;
}

placement_option pool_scheduler::implementation::estimateOption(
    request_record& record, endpoint_state& target, const prefix_index::lengths& cached, bool isFree, bool isContended)
{
    const auto prompt = record.request.promptTokens.value;
    const auto blocks = target.position < prefix_index::maxEndpoints ? cached[target.position] : 0;
    const auto models = modelsOf(target);
    placement_option result;
    result.endpoint = &target;
    result.lastFailed = target.breaker.lastFailed();
    // The last prompt token is always computed, even if the prompt is completely cached.
    result.cachedTokens = std::clamp<std::int64_t>(blocks * tokensPerBlock, 0, std::max<std::int64_t>(0, prompt - 1));
    const double first = models.firstTokenSeconds(static_cast<double>(prompt - result.cachedTokens));
    // Assumes that, while the request runs, the endpoint is at least as busy as the pool is on average.
    const double busy = static_cast<double>(target.description.maxRunning * std::min(running, slots))
        / static_cast<double>(std::max<std::size_t>(1, slots));
    const double concurrency = std::max(busy, static_cast<double>(std::min(target.running + 1, target.description.maxRunning)));
    result.cost = first + record.expectedOutput * models.secondsPerToken(concurrency);
    result.firstToken = first;
    result.wait = isFree ? 0 : nextSlotWait(target);
    result.score = result.wait + result.cost;
    if (isContended && result.cachedTokens > 0)
        result.score -= (contendedPrefixWeight - 1) * (models.firstTokenSeconds(static_cast<double>(prompt)) - first);
    return result;
}

bool pool_scheduler::implementation::isModeratelyUtilized() const
{
    const auto total = static_cast<double>(slots);
    return static_cast<double>(running) > minModerateUtilization * total && static_cast<double>(running) < maxModerateUtilization * total;
}

bool pool_scheduler::implementation::hasDeadlineSlack(monotonic_time now, const request_record& record, const placement_option& choice)
{
    return modelsOf(*choice.endpoint).learned(now)
        && now + preemptionLatency + fromSeconds(choice.wait + choice.cost * preemptionFactor()) <= record.request.deadline;
}

double pool_scheduler::implementation::estimateMargin() const
{
    if (runTimeRatio.samples() < minMarginSamples)
        return 0;
    return std::clamp(runTimeRatio.mean() - 1 + runTimeRatio.deviation(), 0.0, maxEstimateMargin);
}

bool pool_scheduler::implementation::hasContention(const request_record& record) const
{
    std::size_t others = 0;
    for (const auto& [level, queue] : tiers) {
        if (level > record.request.level)
            break;
        others += queue.size() + queue.parked;
    }
    return others > (record.phase == request_phase::waiting || record.phase == request_phase::parked ? 1U : 0U);
}

run_time pool_scheduler::implementation::bestRunTime(monotonic_time now, request_record& record)
{
    const auto cached = prefixes.match(record.request.prefixBlocks);
    run_time best;
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->ejected)
            continue;
        const double cost = estimateOption(record, *entry, cached, true).cost;
        if (now + preemptionLatency + fromSeconds(cost) <= record.request.deadline)
            best.slowest = std::max(best.slowest, cost);
        if (best.seconds <= 0 || cost < best.seconds) {
            best.seconds = cost;
            best.learned = modelsOf(*entry).learned(now);
        }
    }
    return best;
}

double pool_scheduler::implementation::waitEstimate(request_record& record)
{
    if (slots == 0)
        return 0;
    double ahead = 0;
    // Slots that are free or can be preempted from less urgent tiers.
    double available = static_cast<double>(slots) - static_cast<double>(running);
    for (auto& [level, queue] : tiers) {
        if (level < record.request.level)
            ahead += queue.workSeconds();
        else if (level == record.request.level)
            ahead += queue.workSecondsAhead(*record.teamFlow, record.request.deadline);
        else if (settings.preemption)
            available += static_cast<double>(queue.preemptible);
        if (level <= record.request.level)
            available -= static_cast<double>(queue.parked);
    }
    // Corrects the estimated work by the observed run times.
    ahead *= std::clamp(workRatio.mean(), 0.1, 10.0);
    const double typical = meanRunTime.mean();
    return std::max(0.0, ahead + typical * (1 - available)) / static_cast<double>(slots);
}

duration pool_scheduler::implementation::progressTimeout(const request_record& record) const
{
    return std::max<duration>(progressTimeoutLifetimes * settings.grantLifetime, fromSeconds(2 * record.grantedCostSeconds));
}

request_record* pool_scheduler::implementation::next()
{
    for (auto& [level, queue] : tiers) {
        // If only held-back long requests wait in a tier, short ones of less urgent tiers may use the free slots.
        while (queue.size() > 0) {
            auto* record = queue.next(longAllowed(level));
            if (!record)
                break;
            const double median = queue.costs.value();
            if (record->longRequest || median <= 0 || record->workSeconds <= settings.longRequestFactor * median)
                return record;
            // The request was queued before the median showed that it is long. This reclassification happens once per request.
            queue.remove(*record);
            record->longRequest = true;
            queue.push(*record, longAllowed(level));
        }
    }
    return nullptr;
}

void pool_scheduler::implementation::grantWaiting(monotonic_time now, actions& out)
{
    while (waiting > 0) {
        grantParked(now, out);
        auto* record = next();
        if (!record || std::ranges::none_of(endpoints, [&](const auto& entry) { return freeSlots(*entry, now) > 0; }))
            break;
        if (!place(now, *record, out))
            break;
    }
    renewLostReservations(now, out);
}

void pool_scheduler::implementation::grantParked(monotonic_time now, actions& out)
{
    for (const auto& entry : endpoints) {
        while (!entry->parked.empty() && freeSlots(*entry, now) > 0) {
            auto& record = *std::ranges::min_element(entry->parked, {}, [](const request_record& parked) { return parked.request.level; });
            // A more urgent request that is not parked goes first.
            if (const auto* head = next(); head && head->request.level < record.request.level)
                break;
            const auto choice = estimateOption(record, *entry, prefixes.match(record.request.prefixBlocks), true);
            if (modelsOf(*entry).learned(now) && now + fromSeconds(choice.cost) > record.request.deadline)
                unpark(record);
            else
                grant(now, record, choice, out);
        }
    }
}

bool pool_scheduler::implementation::place(monotonic_time now, request_record& record, actions& out)
{
    const auto cached = prefixes.match(record.request.prefixBlocks);
    const bool isContended = hasContention(record);
    const double factor = isContended ? 1 + estimateMargin() : 1;
    const auto fits = [&](const placement_option& choice) {
        return !modelsOf(*choice.endpoint).learned(now) || now + fromSeconds(choice.wait + choice.cost * factor) <= record.request.deadline;
    };
    placement_option bestFree;
    placement_option bestFull;
    bool anyFree = false;
    const bool spreadByOccupancy = isModeratelyUtilized();
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->breaker.state(now) == circuit_state::open)
            continue;
        const bool isFree = freeSlots(*entry, now) > 0;
        if (entry->ejected) {
            if (!isFree)
                continue;
            if (const auto choice = estimateOption(record, *entry, cached, true); mayProbe(now, record, choice)) {
                grant(now, record, choice, out);
                return true;
            }
            continue;
        }
        anyFree = anyFree || isFree;
        auto choice = estimateOption(record, *entry, cached, isFree, isContended);
        if (spreadByOccupancy && hasDeadlineSlack(now, record, choice))
            choice.score += choice.firstToken + occupancy(*entry) - choice.cost;
        auto& best = isFree ? bestFree : bestFull;
        if (fits(choice) && isBetter(choice, best))
            best = choice;
    }
    if (!anyFree)
        return false;
    const bool prefersParking = bestFull.endpoint && !record.hasParked && bestFull.score < bestFree.score
        && bestFull.endpoint->parked.size() < std::max<std::size_t>(1, bestFull.endpoint->description.maxRunning / slotsPerParkedRequest);
    if (bestFree.endpoint && !prefersParking) {
        grant(now, record, bestFree, out);
    } else if (bestFull.endpoint) {
        record.chargeTokens = static_cast<double>(record.request.promptTokens.value - bestFull.cachedTokens) + record.expectedOutput;
        park(now, record, *bestFull.endpoint, bestFull.wait);
    } else if (!preemptFor(now, record, out)) {
        countInversion(now, record, false);
        removeFromQueue(record);
        refuse(record, refusal_reason::deadline_unreachable, "no endpoint can finish the request before its deadline", out);
    }
    return true;
}

void pool_scheduler::implementation::grant(monotonic_time now, request_record& record, const placement_option& choice, actions& out)
{
    auto& target = *choice.endpoint;
    auto& queue = queueOf(record);
    if (record.phase == request_phase::parked) {
        target.parked.erase(target.parked.iterator_to(record));
        target.reserved -= record.reserved ? 1 : 0;
        record.reserved = false;
        --queue.parked;
        queue.longRunning -= record.longRequest ? 1 : 0;
        --waiting;
        --record.teamFlow->team.waiting;
    } else {
        removeFromQueue(record);
        record.chargeTokens = static_cast<double>(record.request.promptTokens.value - choice.cachedTokens) + record.expectedOutput;
        queue.serve(*record.teamFlow);
        queue.charge(*record.teamFlow, record.chargeTokens);
    }
    const auto before = target.running;
    target.breaker.allowRequest(now);
    record.probe = target.ejected;
    record.grantedCostSeconds = choice.cost;
    record.expectedCached = choice.cachedTokens;
    record.uncachedPromptTokens = record.request.promptTokens.value - choice.cachedTokens;
    startRunning(now, record, target);
    // The prompt counts as cached from the grant on, so that the common prefix of concurrent requests is prefilled once.
    // updatePrefixIndex() reverts this if the request did not run.
    if (target.position < prefix_index::maxEndpoints)
        prefixes.insert(target.position, record.request.prefixBlocks);
    setTimer(record, now + progressTimeout(record));
    record.explanation = "estimated " + milliseconds(choice.cost) + ", " + std::to_string(choice.cachedTokens) + " of "
        + std::to_string(record.request.promptTokens.value) + " prompt tokens cached, " + std::to_string(before) + " of "
        + std::to_string(target.description.maxRunning) + " slots taken, waited " + milliseconds(toSeconds(now - record.request.arrival))
        + (record.probe ? ", probe of a straggler" : "");
    out.emplace_back(
        slot_grant { record.request.id, record.request.home, target.description.id, tokens(choice.cachedTokens), record.explanation });
}

} // namespace carawaylink
