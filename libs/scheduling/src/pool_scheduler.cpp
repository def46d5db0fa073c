#include "scheduling/pool_scheduler.h"

#include "base/prompt_blocks.h"
#include "pool_state.h"

#include <algorithm>

namespace carawaylink {

pool_scheduler::pool_scheduler(pool_scheduler_settings settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

pool_scheduler::~pool_scheduler() = default;
pool_scheduler::pool_scheduler(pool_scheduler&&) noexcept = default;
pool_scheduler& pool_scheduler::operator=(pool_scheduler&&) noexcept = default;

void pool_scheduler::setSettings(const pool_scheduler_settings& settings)
{
    m_implementation->settings = settings;
    m_implementation->stragglers.setFactor(settings.stragglerFactor);
}

void pool_scheduler::setTeams(std::span<const team_share> teams)
{
    auto& impl = *m_implementation;
    const auto apply = [&](team_record& team, double weight, std::size_t maxWaiting) {
        team.maxWaiting = maxWaiting;
        auto previous = std::exchange(team.weight, weight);
        for (auto* entry : team.flows) {
            // The queue sums the weights of its active teams, so the flow must be removed with its old weight.
            std::swap(team.weight, previous);
            impl.tiers.at(entry->level).update(*entry, [&] { std::swap(team.weight, previous); });
        }
    };
    std::unordered_map<team_id, const team_share*> listed;
    for (const auto& share : teams)
        listed.insert_or_assign(share.team, &share);
    for (auto& [id, team] : impl.teams) {
        if (!listed.contains(id))
            apply(team, team_share {}.weight, team_share {}.maxWaiting);
    }
    for (const auto& [id, share] : listed)
        apply(impl.team(id), std::max(1e-6, share->weight), share->maxWaiting);
}

std::vector<scheduling_action> pool_scheduler::setEndpoints(monotonic_time now, std::span<const endpoint_description> endpoints)
{
    auto& impl = *m_implementation;
    impl.lastNow = now;
    std::unordered_map<endpoint_id, const endpoint_description*> listed;
    for (const auto& description : endpoints)
        listed.insert_or_assign(description.id, &description);
    for (auto& entry : impl.endpoints) {
        if (listed.contains(entry->description.id))
            continue;
        entry->listed = false;
        while (!entry->parked.empty())
            impl.unpark(entry->parked.front());
    }
    for (const auto& description : endpoints) {
        auto& entry = impl.endpoint(description.id);
        if (!entry.listed) {
            entry.leaving = false;
            // The engine may have been restarted since, with an empty cache.
            if (entry.position < prefix_index::maxEndpoints)
                impl.prefixes.clear(entry.position);
        }
        entry.listed = true;
        if (entry.description.generation != description.generation || entry.generation == nullptr)
            entry.speed = speed_model();
        entry.description = description;
        entry.generation = &impl.generations[description.generation];
        if (entry.position < prefix_index::maxEndpoints)
            impl.prefixes.setCapacity(
                entry.position, static_cast<std::size_t>(std::max<std::int64_t>(0, description.cacheCapacity.value) / tokensPerBlock));
    }
    std::erase_if(impl.endpoints, [&](const auto& entry) {
        if (entry->listed || entry->running > 0)
            return false;
        if (entry->position < prefix_index::maxEndpoints) {
            impl.prefixes.setCapacity(entry->position, 0);
            impl.usedPositions &= ~(std::uint64_t { 1 } << entry->position);
        }
        impl.endpointsById.erase(entry->description.id);
        return true;
    });
    impl.updateSlotCount();
    actions out;
    impl.grantWaiting(now, out);
    return out;
}

void pool_scheduler::markLeaving(const endpoint_id& endpoint)
{
    auto& impl = *m_implementation;
    if (const auto found = impl.endpointsById.find(endpoint); found != impl.endpointsById.end())
        impl.setLeaving(*found->second);
}

std::vector<scheduling_action> pool_scheduler::submit(monotonic_time now, scheduling_request request)
{
    auto& impl = *m_implementation;
    impl.lastNow = now;
    const auto id = request.id;
    if (const auto known = impl.history.find(id); known != impl.history.end() && known->second.ran)
        return {};
    const auto [position, added] = impl.requests.try_emplace(id);
    if (!added)
        return {};
    actions out;
    auto& record = position->second;
    record.request = std::move(request);
    record.submitted = now;
    impl.initializeRecord(record);
    if (impl.admit(now, record, out)) {
        impl.grantWaiting(now, out);
        impl.runTimers(now, out);
    }
    return out;
}

void pool_scheduler::cancel(monotonic_time now, const request_id& request)
{
    auto& impl = *m_implementation;
    impl.lastNow = now;
    const auto found = impl.requests.find(request);
    if (found == impl.requests.end() || found->second.phase == request_phase::running)
        return;
    impl.removeFromQueue(found->second);
    impl.moveToHistory(found->second, "cancelled while waiting", false);
}

void pool_scheduler::recordProgress(monotonic_time now, const slot_progress& progress)
{
    m_implementation->lastNow = now;
    m_implementation->recordStreamProgress(now, progress);
}

std::vector<scheduling_action> pool_scheduler::release(monotonic_time now, const slot_release& release)
{
    auto& impl = *m_implementation;
    impl.lastNow = now;
    const auto found = impl.requests.find(release.request);
    if (found == impl.requests.end() || found->second.phase != request_phase::running)
        return {};
    auto& record = found->second;
    auto& target = *record.endpoint;
    impl.updateModels(now, record, release);
    impl.correctCharge(record, release);
    impl.updatePrefixIndex(record, release);
    if (release.outcome == release_outcome::completed)
        target.breaker.recordSuccess();
    else if (release.outcome == release_outcome::failed || (release.outcome == release_outcome::rejected && !release.endpointLeaving))
        target.breaker.recordFailure(now);
    impl.evaluateProbe(now, record, release);
    if (record.longRequest)
        impl.queueOf(record).longPreemptionRisk.add(now, record.preempting);
    impl.stopRunning(record);
    if (release.endpointLeaving && !target.leaving)
        impl.setLeaving(target);
    // A home node may resubmit a request that did not run or that was preempted.
    const bool ran = release.outcome != release_outcome::unused && release.outcome != release_outcome::rejected && !record.preempting;
    impl.moveToHistory(record,
        "ran on " + target.description.id.value + " (" + record.explanation
            + "), ended: " + std::string(releaseOutcomeNames.name(release.outcome)) + (record.preempting ? " after preemption" : ""),
        ran);
    actions out;
    impl.grantWaiting(now, out);
    return out;
}

void pool_scheduler::restoreGrant(monotonic_time now, scheduling_request request, const endpoint_id& endpoint, tokens outputTokens)
{
    auto& impl = *m_implementation;
    impl.lastNow = now;
    const auto id = request.id;
    const auto [position, added] = impl.requests.try_emplace(id);
    auto& record = position->second;
    if (added) {
        record.request = std::move(request);
        record.submitted = now;
        impl.initializeRecord(record);
    } else if (record.phase == request_phase::running) {
        return;
    } else {
        impl.removeFromQueue(record);
    }
    auto& target = impl.endpoint(endpoint);
    record.uncachedPromptTokens = record.request.promptTokens.value;
    record.grantedCostSeconds = record.workSeconds;
    record.countedTokens = std::max<std::int64_t>(0, outputTokens.value);
    record.explanation = "granted by the previous owner of the pool";
    impl.queueOf(record).charge(*record.teamFlow, record.chargeTokens);
    impl.startRunning(now, record, target);
    if (target.position < prefix_index::maxEndpoints)
        impl.prefixes.insert(target.position, record.request.prefixBlocks);
    impl.setTimer(record, now + impl.progressTimeout(record));
}

void pool_scheduler::observe(monotonic_time now, const load_report& report)
{
    m_implementation->lastNow = now;
    m_implementation->recordLoadReport(now, report);
}

void pool_scheduler::observe(std::span<const cache_event> events)
{
    auto& impl = *m_implementation;
    for (const auto& event : events) {
        const auto found = impl.endpointsById.find(event.endpoint);
        if (found == impl.endpointsById.end() || found->second->position >= prefix_index::maxEndpoints)
            continue;
        if (event.stored)
            impl.prefixes.insert(found->second->position, std::span(&event.blockHash, 1));
        else
            impl.prefixes.erase(found->second->position, event.blockHash);
    }
}

std::vector<scheduling_action> pool_scheduler::tick(monotonic_time now)
{
    auto& impl = *m_implementation;
    impl.lastNow = now;
    actions out;
    if (impl.stragglers.windowEnded(now))
        impl.updateModelsFromWindows(now);
    if (impl.stragglers.tick(now, impl.endpoints))
        impl.updateSlotCount();
    for (auto& entry : impl.endpoints) {
        // An ejected endpoint accepts only probes, so there is no slot to wait for.
        const bool reachable = entry->eligible() && !entry->ejected;
        for (auto parked = entry->parked.begin(); parked != entry->parked.end();) {
            auto& record = *parked++;
            if (!reachable || record.parkedUntil <= now)
                impl.unpark(record);
        }
    }
    impl.grantWaiting(now, out);
    impl.runTimers(now, out);
    impl.refuseWithoutEndpoint(now, out);
    // Timers may have freed slots or queue space.
    impl.grantWaiting(now, out);
    return out;
}

std::vector<scheduling_action> pool_scheduler::handleHomeFailure(monotonic_time now, const node_id& home)
{
    auto& impl = *m_implementation;
    impl.lastNow = now;
    std::vector<request_record*> affected;
    for (auto& [id, record] : impl.requests) {
        if (record.request.home == home)
            affected.push_back(&record);
    }
    for (auto* record : affected) {
        if (record->phase != request_phase::running) {
            impl.removeFromQueue(*record);
            impl.moveToHistory(*record, "dropped: its home node failed", false);
            continue;
        }
        record->homeFailed = true;
        // The engine finishes a stream even if its reader is gone. The estimate is a mean, so half of it is added as a margin.
        const auto finish = record->granted + fromSeconds(1.5 * record->grantedCostSeconds);
        impl.setTimer(*record, std::max(finish, now + impl.settings.grantLifetime));
    }
    actions out;
    impl.grantWaiting(now, out);
    return out;
}

} // namespace carawaylink
