#include "pool_state.h"

#include "base/prompt_blocks.h"

#include <algorithm>
#include <cmath>

namespace carawaylink {

namespace {

/// While other work waits, prefill that a cached prefix saves is also engine time for that work, so it counts this many times
/// its own duration; without other work it only shortens the request itself.
constexpr double crowdedPrefixWeight = 3;
/// While this share of the slots is taken, a request that an endpoint can finish safely in time goes where slots are free rather
/// than where it ends soonest, which leaves fast endpoints to requests that need them. Below, there is no contention; above, there
/// is hardly a choice.
constexpr double busyFrom = 0.3;
constexpr double busyUntil = 0.95;

double occupancy(const endpoint_record& where)
{
    return static_cast<double>(where.running) / static_cast<double>(std::max<std::size_t>(1, where.description.maxRunning));
}

/// Share of the slots of an endpoint that may be reserved by requests waiting for its cached prefixes.
constexpr std::size_t parkedShare = 4;
/// Time that a due probe waits for a request of the least urgent tier; under overload, none may come up.
constexpr duration probePatience = std::chrono::seconds(5);
/// Errors of the estimate beyond this are noise of the first samples and must not refuse work.
constexpr double largestMargin = 0.5;
constexpr double marginSamples = 5;
/// A running request that nobody mentions for this many grant lifetimes is taken for lost.
constexpr int silentLifetimes = 30;

} // namespace

std::size_t pool_scheduler::implementation::freeSlots(const endpoint_record& where, monotonic_time now) const
{
    if (!where.eligible())
        return 0;
    const auto circuit = where.breaker.state(now);
    if (circuit == circuit_state::open)
        return 0;
    if (where.ejected)
        return where.running == 0 && now >= where.nextProbe ? 1 : 0;
    if (circuit == circuit_state::half_open)
        return where.running == 0 ? 1 : 0;
    const auto taken = where.running + where.foreignRunning(now);
    return where.description.maxRunning > taken ? where.description.maxRunning - taken : 0;
}

bool pool_scheduler::implementation::mayProbe(monotonic_time now, const request_record& record, const placement_option& choice) const
{
    // A probe may be slow: it is neither long nor a request that cannot be repeated, and has time to spare.
    if (record.longRequest || record.request.nonIdempotent
        || now + fromSeconds(choice.cost * settings.stragglerFactor) > record.request.deadline)
        return false;
    // The least urgent tier in service probes, unless none of its requests came up for some time.
    const bool lowest = std::none_of(tiers.upper_bound(record.request.level), tiers.end(),
        [](const auto& entry) { return entry.second.size() + entry.second.parked + entry.second.running > 0; });
    return lowest || now > choice.endpoint->nextProbe + probePatience;
}

double pool_scheduler::implementation::nextSlotWait(const endpoint_record& where) const
{
    const auto ahead = static_cast<double>(where.parked.size() + 1);
    if (where.running == 0)
        return typicalWork.mean() * ahead;
    const auto streams = static_cast<double>(where.running);
    return where.work / streams / streams * ahead;
}

placement_option pool_scheduler::implementation::option(
    request_record& record, endpoint_record& where, const prefix_index::lengths& cached, bool isFree, bool crowded)
{
    const auto prompt = record.request.promptTokens.value;
    const auto blocks = where.position < prefix_index::maxEndpoints ? cached[where.position] : 0;
    const auto models = modelsOf(where);
    placement_option result;
    result.endpoint = &where;
    // The last token is always computed, also for a prompt that is cached completely.
    result.cachedTokens = std::clamp<std::int64_t>(blocks * tokensPerBlock, 0, std::max<std::int64_t>(0, prompt - 1));
    const double first = models.firstTokenSeconds(static_cast<double>(prompt - result.cachedTokens));
    // The endpoint will be as busy as the pool is on average while the request runs, if it is not busier already.
    const double busy = static_cast<double>(where.description.maxRunning * std::min(running, slots))
        / static_cast<double>(std::max<std::size_t>(1, slots));
    const double concurrency = std::max(busy, static_cast<double>(std::min(where.running + 1, where.description.maxRunning)));
    result.cost = first + record.expectedOutput * models.secondsPerToken(concurrency);
    result.firstToken = first;
    result.wait = isFree ? 0 : nextSlotWait(where);
    result.score = result.wait + result.cost;
    if (crowded && result.cachedTokens > 0)
        result.score -= (crowdedPrefixWeight - 1) * (models.firstTokenSeconds(static_cast<double>(prompt)) - first);
    return result;
}

bool pool_scheduler::implementation::partlyBusy() const
{
    const auto total = static_cast<double>(slots);
    return static_cast<double>(running) > busyFrom * total && static_cast<double>(running) < busyUntil * total;
}

bool pool_scheduler::implementation::isSafe(monotonic_time now, const request_record& record, const placement_option& choice)
{
    return modelsOf(*choice.endpoint).learned(now)
        && now + preemptionLead + fromSeconds(choice.wait + choice.cost * preemptionFactor()) <= record.request.deadline;
}

double pool_scheduler::implementation::margin() const
{
    if (estimateError.samples() < marginSamples)
        return 0;
    return std::clamp(estimateError.mean() - 1 + estimateError.deviation(), 0.0, largestMargin);
}

bool pool_scheduler::implementation::contended(const request_record& record) const
{
    std::size_t others = 0;
    for (const auto& [level, queue] : tiers) {
        if (level > record.request.level)
            break;
        others += queue.size() + queue.parked;
    }
    return others > (record.phase == request_phase::waiting || record.phase == request_phase::parked ? 1U : 0U);
}

run_time pool_scheduler::implementation::bestCost(monotonic_time now, request_record& record)
{
    const auto cached = prefixes.match(record.request.prefixBlocks);
    run_time best;
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->ejected)
            continue;
        const double cost = option(record, *entry, cached, true).cost;
        if (now + preemptionLead + fromSeconds(cost) <= record.request.deadline)
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
    // Slots that are free or can be taken from lower tiers.
    double available = static_cast<double>(slots) - static_cast<double>(running);
    for (auto& [level, queue] : tiers) {
        if (level < record.request.level)
            ahead += queue.work();
        else if (level == record.request.level)
            ahead += queue.workAhead(*record.owner, record.request.deadline);
        else if (settings.preemption)
            available += static_cast<double>(queue.preemptible);
        if (level <= record.request.level)
            available -= static_cast<double>(queue.parked);
    }
    ahead *= std::clamp(workError.mean(), 0.1, 10.0);
    const double typical = typicalWork.mean();
    return std::max(0.0, ahead + typical * (1 - available)) / static_cast<double>(slots);
}

duration pool_scheduler::implementation::silenceLimit(const request_record& record) const
{
    return std::max<duration>(silentLifetimes * settings.grantLifetime, fromSeconds(2 * record.grantedCost));
}

request_record* pool_scheduler::implementation::next()
{
    for (auto& [level, queue] : tiers) {
        // Where only long requests that are held back wait, short ones of less urgent tiers may use the slots kept free.
        while (queue.size() > 0) {
            auto* record = queue.next(longAllowed(level));
            if (!record)
                break;
            const double median = queue.costs.value();
            if (record->longRequest || median <= 0 || record->work <= settings.longRequestFactor * median)
                return record;
            // It was queued before enough shorter requests had shown that it is long; this happens once per request.
            queue.remove(*record);
            record->longRequest = true;
            queue.push(*record, longAllowed(level));
        }
    }
    return nullptr;
}

void pool_scheduler::implementation::dispatch(monotonic_time now, actions& out)
{
    while (waiting > 0) {
        serveParked(now, out);
        auto* record = next();
        if (!record || std::ranges::none_of(endpoints, [&](const auto& entry) { return freeSlots(*entry, now) > 0; }))
            break;
        if (!place(now, *record, out))
            break;
    }
    renewReservations(now, out);
}

void pool_scheduler::implementation::serveParked(monotonic_time now, actions& out)
{
    for (const auto& entry : endpoints) {
        while (!entry->parked.empty() && freeSlots(*entry, now) > 0) {
            auto& record = *std::ranges::min_element(entry->parked, {}, [](const request_record& parked) { return parked.request.level; });
            // More urgent work that is not tied to an endpoint goes first.
            if (const auto* head = next(); head && head->request.level < record.request.level)
                break;
            const auto choice = option(record, *entry, prefixes.match(record.request.prefixBlocks), true);
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
    const bool crowded = contended(record);
    const double factor = crowded ? 1 + margin() : 1;
    const auto fits = [&](const placement_option& choice) {
        return !modelsOf(*choice.endpoint).learned(now) || now + fromSeconds(choice.wait + choice.cost * factor) <= record.request.deadline;
    };
    placement_option bestFree;
    placement_option bestFull;
    bool anyFree = false;
    const bool spareFast = partlyBusy();
    for (const auto& entry : endpoints) {
        if (!entry->eligible() || entry->breaker.state(now) == circuit_state::open)
            continue;
        const bool isFree = freeSlots(*entry, now) > 0;
        if (entry->ejected) {
            if (!isFree)
                continue;
            if (const auto choice = option(record, *entry, cached, true); mayProbe(now, record, choice)) {
                grant(now, record, choice, out);
                return true;
            }
            continue;
        }
        anyFree = anyFree || isFree;
        auto choice = option(record, *entry, cached, isFree, crowded);
        if (spareFast && isSafe(now, record, choice))
            choice.score += choice.firstToken + occupancy(*entry) - choice.cost;
        auto& best = isFree ? bestFree : bestFull;
        if (fits(choice) && (!best.endpoint || choice.score < best.score))
            best = choice;
    }
    if (!anyFree)
        return false;
    const bool mayPark = bestFull.endpoint && !record.hasParked && bestFull.score < bestFree.score
        && bestFull.endpoint->parked.size() < std::max<std::size_t>(1, bestFull.endpoint->description.maxRunning / parkedShare);
    if (bestFree.endpoint && !mayPark) {
        grant(now, record, bestFree, out);
    } else if (bestFull.endpoint) {
        record.charge = static_cast<double>(record.request.promptTokens.value - bestFull.cachedTokens) + record.expectedOutput;
        park(now, record, *bestFull.endpoint, bestFull.wait);
    } else if (!preemptFor(now, record, out)) {
        countInversion(now, record, false);
        unqueue(record);
        refuse(record, refusal_reason::deadline_unreachable, "no endpoint can finish the request before its deadline", out);
    }
    return true;
}

void pool_scheduler::implementation::grant(monotonic_time now, request_record& record, const placement_option& choice, actions& out)
{
    auto& where = *choice.endpoint;
    auto& queue = queueOf(record);
    if (record.phase == request_phase::parked) {
        where.parked.erase(where.parked.iterator_to(record));
        where.reserved -= record.reserved ? 1 : 0;
        record.reserved = false;
        --queue.parked;
        queue.longRunning -= record.longRequest ? 1 : 0;
        --waiting;
        --record.owner->team.waiting;
    } else {
        unqueue(record);
        record.charge = static_cast<double>(record.request.promptTokens.value - choice.cachedTokens) + record.expectedOutput;
        queue.serve(*record.owner);
        queue.charge(*record.owner, record.charge);
    }
    const auto before = where.running;
    where.breaker.allowRequest(now);
    record.probe = where.ejected;
    record.grantedCost = choice.cost;
    record.expectedCached = choice.cachedTokens;
    record.waste = record.request.promptTokens.value - choice.cachedTokens;
    occupy(now, record, where);
    // The prompt counts as cached from the grant on, so that requests with the same prefix that arrive together are prefilled
    // once; settlePrefix() takes this back where the request did not run.
    if (where.position < prefix_index::maxEndpoints)
        prefixes.insert(where.position, record.request.prefixBlocks);
    setTimer(record, now + silenceLimit(record));
    record.explanation = "estimated " + milliseconds(choice.cost) + ", " + std::to_string(choice.cachedTokens) + " of "
        + std::to_string(record.request.promptTokens.value) + " prompt tokens cached, " + std::to_string(before) + " of "
        + std::to_string(where.description.maxRunning) + " slots taken, waited " + milliseconds(toSeconds(now - record.request.arrival))
        + (record.probe ? ", probe of a straggler" : "");
    out.emplace_back(
        slot_grant { record.request.id, record.request.home, where.description.id, tokens(choice.cachedTokens), record.explanation });
}

} // namespace carawaylink
