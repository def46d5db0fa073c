#include "pool_state.h"

#include "base/prompt_blocks.h"

#include <algorithm>

namespace carawaylink {

namespace {

/// With fewer output tokens, the time between them is mostly message jitter.
constexpr std::int64_t tokensForPace = 4;
/// The same for a whole window of an endpoint.
constexpr double tokensForWindow = 16;
/// Time beyond the estimate after which a stream without a first token counts as stalled.
constexpr double firstTokenGrace = 1.0;

} // namespace

void pool_scheduler::implementation::observeProgress(monotonic_time now, const slot_progress& progress)
{
    const auto found = requests.find(progress.request);
    if (found == requests.end() || found->second.phase != request_phase::running)
        return;
    auto& record = found->second;
    auto& where = *record.endpoint;
    record.lastHeard = std::max(record.lastHeard, now);
    if (progress.outputTokens.value <= 0) {
        const double expected = modelsOf(where).firstTokenSeconds(static_cast<double>(record.waste));
        const auto patience = fromSeconds(expected * settings.stragglerFactor + firstTokenGrace);
        if (now > record.granted + patience) {
            const auto from = std::max(record.lastCounted, record.granted + patience);
            straggler_detector::count(where, 0, toSeconds(now - from));
            record.lastCounted = now;
        }
        return;
    }
    const bool first = record.countedTokens == 0;
    const auto added = progress.outputTokens.value - record.countedTokens;
    if (added < 0)
        return;
    // The first message covers the time from the first token, which came before the remaining ones.
    const auto from = first ? std::max(record.lastCounted, record.granted + progress.timeToFirstToken) : record.lastCounted;
    straggler_detector::count(where, static_cast<double>(added - (first ? 1 : 0)), std::max(0.0, toSeconds(now - from)));
    record.countedTokens = progress.outputTokens.value;
    record.lastCounted = now;
}

void pool_scheduler::implementation::learnFromWindows(monotonic_time now)
{
    // Long streams teach their pace while they run, not only when they end.
    for (const auto& entry : endpoints) {
        const auto& window = entry->window;
        if (window.tokens >= tokensForWindow && window.streamSeconds > 0)
            modelsOf(*entry).addOutputToken(now, window.concurrencySeconds / window.streamSeconds, window.streamSeconds / window.tokens);
    }
}

void pool_scheduler::implementation::learn(monotonic_time now, request_record& record, const slot_release& release)
{
    auto& where = *record.endpoint;
    const auto models = modelsOf(where);
    if (release.timeToFirstToken > duration::zero()) {
        const auto uncached = std::max<std::int64_t>(0, release.promptTokens.value - release.cachedTokens.value);
        models.addFirstToken(now, static_cast<double>(uncached), toSeconds(release.timeToFirstToken));
    }
    const double streaming = toSeconds(release.total - release.timeToFirstToken);
    if (release.outputTokens.value >= tokensForPace && streaming > 0) {
        const double concurrency = (record.concurrency + static_cast<double>(where.running)) / 2;
        models.addOutputToken(now, concurrency, streaming / static_cast<double>(release.outputTokens.value - 1));
        if (record.countedTokens == 0)
            straggler_detector::count(where, static_cast<double>(release.outputTokens.value - 1), streaming);
        else if (release.outputTokens.value > record.countedTokens && now > record.lastCounted)
            straggler_detector::count(
                where, static_cast<double>(release.outputTokens.value - record.countedTokens), toSeconds(now - record.lastCounted));
    }
    if (release.outcome != release_outcome::completed)
        return;
    const double total = toSeconds(release.total);
    typicalWork.add(total);
    if (record.grantedCost > 0)
        estimateError.add(std::clamp(total / record.grantedCost, 0.0, 4.0));
    if (record.work > 0)
        workError.add(std::clamp(total / record.work, 0.0, 4.0));
    record.owner->outputShares.add(record.request.maxOutputTokens.value, release.outputTokens.value);
    outputShares.add(record.request.maxOutputTokens.value, release.outputTokens.value);
}

void pool_scheduler::implementation::settleCharge(request_record& record, const slot_release& release)
{
    const bool started = release.timeToFirstToken > duration::zero() || release.outputTokens.value > 0;
    double used = static_cast<double>(
        std::max<std::int64_t>(0, release.promptTokens.value - release.cachedTokens.value) + release.outputTokens.value);
    // A team does not pay for a grant that did not run, nor for work that was taken from it.
    if (release.outcome == release_outcome::unused || release.outcome == release_outcome::rejected || record.preempting)
        used = 0;
    else if (release.outcome != release_outcome::completed && !started)
        used = std::min(used, record.charge);
    queueOf(record).charge(*record.owner, used - record.charge);
}

void pool_scheduler::implementation::settlePrefix(request_record& record, const slot_release& release)
{
    const auto position = record.endpoint->position;
    if (position >= prefix_index::maxEndpoints)
        return;
    const auto& blocks = record.request.prefixBlocks;
    const bool prefilled = release.outcome == release_outcome::completed || release.timeToFirstToken > duration::zero();
    if (prefilled) {
        // The blocks were inserted with the grant; they are missing where a late event reported the eviction of older copies.
        if (!blocks.empty() && !prefixes.holds(position, blocks.back()))
            prefixes.insert(position, blocks);
        return;
    }
    const auto kept = static_cast<std::size_t>(record.expectedCached / tokensPerBlock);
    for (std::size_t i = std::min(kept, blocks.size()); i < blocks.size(); ++i)
        prefixes.erase(position, blocks[i]);
}

void pool_scheduler::implementation::judgeProbe(monotonic_time now, request_record& record, const slot_release& release)
{
    auto& where = *record.endpoint;
    if (!record.probe || !where.ejected)
        return;
    if (release.outcome != release_outcome::completed) {
        where.nextProbe = now + straggler_detector::probeInterval;
        return;
    }
    const auto& speed = where.generation->speed;
    const double streaming = toSeconds(release.total - release.timeToFirstToken);
    const auto intervals = static_cast<double>(release.outputTokens.value - 1);
    double ratio = 0;
    if (release.outputTokens.value >= tokensForPace) {
        ratio = streaming / intervals / speed.outputToken.at(1);
    } else {
        // Too short for a pace: the whole request is compared instead.
        const auto uncached = static_cast<double>(release.promptTokens.value - release.cachedTokens.value);
        ratio = toSeconds(release.total) / (speed.firstToken.at(uncached) + std::max(0.0, intervals) * speed.outputToken.at(1));
    }
    if (stragglers.judgeProbe(now, where, ratio)) {
        // What was learned while the endpoint was slow no longer describes it.
        where.speed = speed_model();
        recount();
    }
}

void pool_scheduler::implementation::setLeaving(endpoint_record& where)
{
    where.leaving = true;
    while (!where.parked.empty())
        unpark(where.parked.front());
    recount();
}

void pool_scheduler::implementation::observeLoad(monotonic_time now, const load_report& report)
{
    const auto found = endpointsById.find(report.endpoint);
    if (found == endpointsById.end())
        return;
    auto& where = *found->second;
    if (report.leaving && !where.leaving)
        setLeaving(where);
    // The report lags, so it is compared with the most requests that this pool had there since the report before the last two.
    // An excess that three reports agree on is work of another owner or of a lost home.
    auto& foreign = where.foreign;
    foreign.lastReport = now;
    const auto total = report.running + report.waiting;
    const auto own = std::ranges::max(foreign.mostRunning);
    foreign.excess[foreign.next] = total > own ? total - own : 0;
    foreign.mostRunning[foreign.next] = where.running;
    foreign.next = (foreign.next + 1) % foreign.excess.size();
}

} // namespace carawaylink
