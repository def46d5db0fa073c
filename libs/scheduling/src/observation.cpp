#include "pool_state.h"

#include "base/prompt_blocks.h"

#include <algorithm>

namespace carawaylink {

namespace {

/// With fewer output tokens, the time per token is dominated by message jitter.
constexpr std::int64_t minTokensForRate = 4;
/// Same, for the window of an endpoint.
constexpr double minTokensPerWindow = 16;
/// A stream without a first token counts as stalled this long after straggler_factor times the estimated time.
constexpr double firstTokenGraceSeconds = 1.0;

} // namespace

void pool_scheduler::implementation::recordStreamProgress(monotonic_time now, const slot_progress& progress)
{
    const auto found = requests.find(progress.request);
    if (found == requests.end() || found->second.phase != request_phase::running)
        return;
    auto& record = found->second;
    auto& target = *record.endpoint;
    record.lastProgress = std::max(record.lastProgress, now);
    if (progress.outputTokens.value <= 0) {
        const double expected = modelsOf(target).firstTokenSeconds(static_cast<double>(record.uncachedPromptTokens));
        const auto firstTokenTimeout = fromSeconds(expected * settings.stragglerFactor + firstTokenGraceSeconds);
        if (now > record.granted + firstTokenTimeout) {
            const auto from = std::max(record.lastCounted, record.granted + firstTokenTimeout);
            straggler_detector::addSample(target, 0, toSeconds(now - from));
            record.lastCounted = now;
        }
        return;
    }
    const bool first = record.countedTokens == 0;
    const auto added = progress.outputTokens.value - record.countedTokens;
    if (added < 0)
        return;
    // The first report covers the time since the first token; the first token itself is not counted.
    const auto from = first ? std::max(record.lastCounted, record.granted + progress.timeToFirstToken) : record.lastCounted;
    straggler_detector::addSample(target, static_cast<double>(added - (first ? 1 : 0)), std::max(0.0, toSeconds(now - from)));
    record.countedTokens = progress.outputTokens.value;
    record.lastCounted = now;
}

void pool_scheduler::implementation::updateModelsFromWindows(monotonic_time now)
{
    // Samples of long streams are added while they run, not only when they end.
    for (const auto& entry : endpoints) {
        const auto& window = entry->window;
        if (window.tokens >= minTokensPerWindow && window.streamSeconds > 0)
            modelsOf(*entry).addOutputToken(now, window.concurrencySeconds / window.streamSeconds, window.streamSeconds / window.tokens);
    }
}

void pool_scheduler::implementation::updateModels(monotonic_time now, request_record& record, const slot_release& release)
{
    auto& target = *record.endpoint;
    const auto models = modelsOf(target);
    if (release.timeToFirstToken > duration::zero()) {
        const auto uncached = std::max<std::int64_t>(0, release.promptTokens.value - release.cachedTokens.value);
        models.addFirstToken(now, static_cast<double>(uncached), toSeconds(release.timeToFirstToken));
    }
    const double streaming = toSeconds(release.total - release.timeToFirstToken);
    if (release.outputTokens.value >= minTokensForRate && streaming > 0) {
        const double concurrency = (record.concurrency + static_cast<double>(target.running)) / 2;
        models.addOutputToken(now, concurrency, streaming / static_cast<double>(release.outputTokens.value - 1));
        if (record.countedTokens == 0)
            straggler_detector::addSample(target, static_cast<double>(release.outputTokens.value - 1), streaming);
        else if (release.outputTokens.value > record.countedTokens && now > record.lastCounted)
            straggler_detector::addSample(
                target, static_cast<double>(release.outputTokens.value - record.countedTokens), toSeconds(now - record.lastCounted));
    }
    if (release.outcome != release_outcome::completed)
        return;
    const double total = toSeconds(release.total);
    meanRunTime.add(total);
    if (record.grantedCostSeconds > 0)
        runTimeRatio.add(std::clamp(total / record.grantedCostSeconds, 0.0, 4.0));
    if (record.workSeconds > 0)
        workRatio.add(std::clamp(total / record.workSeconds, 0.0, 4.0));
    record.teamFlow->outputShares.add(record.request.maxOutputTokens.value, release.outputTokens.value);
    outputShares.add(record.request.maxOutputTokens.value, release.outputTokens.value);
}

void pool_scheduler::implementation::correctCharge(request_record& record, const slot_release& release)
{
    const bool started = release.timeToFirstToken > duration::zero() || release.outputTokens.value > 0;
    double used = static_cast<double>(
        std::max<std::int64_t>(0, release.promptTokens.value - release.cachedTokens.value) + release.outputTokens.value);
    // A team is not charged for a grant that did not run, nor for a preempted request.
    if (release.outcome == release_outcome::unused || release.outcome == release_outcome::rejected || record.preempting)
        used = 0;
    else if (release.outcome != release_outcome::completed && !started)
        used = std::min(used, record.chargeTokens);
    queueOf(record).charge(*record.teamFlow, used - record.chargeTokens);
}

void pool_scheduler::implementation::updatePrefixIndex(request_record& record, const slot_release& release)
{
    const auto position = record.endpoint->position;
    if (position >= prefix_index::maxEndpoints)
        return;
    const auto& blocks = record.request.prefixBlocks;
    const bool prefilled = release.outcome == release_outcome::completed || release.timeToFirstToken > duration::zero();
    if (prefilled) {
        // The blocks were inserted at the grant; they can be missing because a late event reported the eviction of older copies.
        if (!blocks.empty() && !prefixes.holds(position, blocks.back()))
            prefixes.insert(position, blocks);
        return;
    }
    const auto kept = static_cast<std::size_t>(record.expectedCached / tokensPerBlock);
    for (std::size_t i = std::min(kept, blocks.size()); i < blocks.size(); ++i)
        prefixes.erase(position, blocks[i]);
}

void pool_scheduler::implementation::evaluateProbe(monotonic_time now, request_record& record, const slot_release& release)
{
    auto& target = *record.endpoint;
    if (!record.probe || !target.ejected)
        return;
    if (release.outcome != release_outcome::completed) {
        target.nextProbe = now + straggler_detector::probeInterval;
        return;
    }
    const auto& speed = target.generation->speed;
    const double streaming = toSeconds(release.total - release.timeToFirstToken);
    const auto intervals = static_cast<double>(release.outputTokens.value - 1);
    double ratio = 0;
    if (release.outputTokens.value >= minTokensForRate) {
        ratio = streaming / intervals / speed.outputToken.at(1);
    } else {
        // Too few tokens for a time per token: the total time is compared instead.
        const auto uncached = static_cast<double>(release.promptTokens.value - release.cachedTokens.value);
        ratio = toSeconds(release.total) / (speed.firstToken.at(uncached) + std::max(0.0, intervals) * speed.outputToken.at(1));
    }
    if (stragglers.evaluateProbe(now, target, ratio)) {
        // The samples from the slow period no longer describe the endpoint.
        target.speed = speed_model();
        updateSlotCount();
    }
}

void pool_scheduler::implementation::setLeaving(endpoint_state& target)
{
    target.leaving = true;
    while (!target.parked.empty())
        unpark(target.parked.front());
    updateSlotCount();
}

void pool_scheduler::implementation::recordLoadReport(monotonic_time now, const load_report& report)
{
    const auto found = endpointsById.find(report.endpoint);
    if (found == endpointsById.end())
        return;
    auto& target = *found->second;
    if (report.leaving && !target.leaving)
        setLeaving(target);
    // The report is delayed, so it is compared with the peak number of requests of this pool over the last three report intervals. An
    // excess in three consecutive reports belongs to another owner or to a failed home node.
    auto& external = target.external;
    external.lastReport = now;
    const auto total = report.running + report.waiting;
    const auto own = std::ranges::max(external.peakRunning);
    external.excess[external.next] = total > own ? total - own : 0;
    external.peakRunning[external.next] = target.running;
    external.next = (external.next + 1) % external.excess.size();
}

} // namespace carawaylink
