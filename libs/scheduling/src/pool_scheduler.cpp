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
    auto& self = *m_implementation;
    const auto apply = [&](team_record& team, double weight, std::size_t maxWaiting) {
        team.maxWaiting = maxWaiting;
        auto previous = std::exchange(team.weight, weight);
        for (auto* entry : team.flows) {
            // The queue counts the weights of its active teams, so it sees the flow leave with the old weight.
            std::swap(team.weight, previous);
            self.tiers.at(entry->level).update(*entry, [&] { std::swap(team.weight, previous); });
        }
    };
    std::unordered_map<team_id, const team_share*> listed;
    for (const auto& share : teams)
        listed.insert_or_assign(share.team, &share);
    for (auto& [id, team] : self.teams) {
        if (!listed.contains(id))
            apply(team, team_share {}.weight, team_share {}.maxWaiting);
    }
    for (const auto& [id, share] : listed)
        apply(self.team(id), std::max(1e-6, share->weight), share->maxWaiting);
}

std::vector<scheduling_action> pool_scheduler::setEndpoints(monotonic_time now, std::span<const endpoint_description> endpoints)
{
    auto& self = *m_implementation;
    self.lastNow = now;
    std::unordered_map<endpoint_id, const endpoint_description*> listed;
    for (const auto& description : endpoints)
        listed.insert_or_assign(description.id, &description);
    for (auto& entry : self.endpoints) {
        if (listed.contains(entry->description.id))
            continue;
        entry->listed = false;
        while (!entry->parked.empty())
            self.unpark(entry->parked.front());
    }
    for (const auto& description : endpoints) {
        auto& entry = self.endpoint(description.id);
        if (!entry.listed) {
            entry.leaving = false;
            // The engine may have been restarted in the meantime.
            if (entry.position < prefix_index::maxEndpoints)
                self.prefixes.clear(entry.position);
        }
        entry.listed = true;
        if (entry.description.generation != description.generation || entry.generation == nullptr)
            entry.speed = speed_model();
        entry.description = description;
        entry.generation = &self.generations[description.generation];
        if (entry.position < prefix_index::maxEndpoints)
            self.prefixes.setCapacity(
                entry.position, static_cast<std::size_t>(std::max<std::int64_t>(0, description.cacheCapacity.value) / tokensPerBlock));
    }
    std::erase_if(self.endpoints, [&](const auto& entry) {
        if (entry->listed || entry->running > 0)
            return false;
        if (entry->position < prefix_index::maxEndpoints) {
            self.prefixes.setCapacity(entry->position, 0);
            self.usedPositions &= ~(std::uint64_t { 1 } << entry->position);
        }
        self.endpointsById.erase(entry->description.id);
        return true;
    });
    self.recount();
    actions out;
    self.dispatch(now, out);
    return out;
}

void pool_scheduler::markLeaving(const endpoint_id& endpoint)
{
    auto& self = *m_implementation;
    if (const auto found = self.endpointsById.find(endpoint); found != self.endpointsById.end())
        self.setLeaving(*found->second);
}

std::vector<scheduling_action> pool_scheduler::submit(monotonic_time now, scheduling_request request)
{
    auto& self = *m_implementation;
    self.lastNow = now;
    const auto id = request.id;
    if (const auto known = self.history.find(id); known != self.history.end() && known->second.ran)
        return {};
    const auto [position, added] = self.requests.try_emplace(id);
    if (!added)
        return {};
    actions out;
    auto& record = position->second;
    record.request = std::move(request);
    record.submitted = now;
    self.describe(record);
    if (self.admit(now, record, out)) {
        self.dispatch(now, out);
        self.runTimers(now, out);
    }
    return out;
}

void pool_scheduler::cancel(monotonic_time now, const request_id& request)
{
    auto& self = *m_implementation;
    self.lastNow = now;
    const auto found = self.requests.find(request);
    if (found == self.requests.end() || found->second.phase == request_phase::running)
        return;
    self.unqueue(found->second);
    self.forget(found->second, "cancelled while waiting", false);
}

void pool_scheduler::recordProgress(monotonic_time now, const slot_progress& progress)
{
    m_implementation->lastNow = now;
    m_implementation->observeProgress(now, progress);
}

std::vector<scheduling_action> pool_scheduler::release(monotonic_time now, const slot_release& release)
{
    auto& self = *m_implementation;
    self.lastNow = now;
    const auto found = self.requests.find(release.request);
    if (found == self.requests.end() || found->second.phase != request_phase::running)
        return {};
    auto& record = found->second;
    auto& where = *record.endpoint;
    self.learn(now, record, release);
    self.settleCharge(record, release);
    self.settlePrefix(record, release);
    if (release.outcome == release_outcome::completed)
        where.breaker.recordSuccess();
    else if (release.outcome == release_outcome::failed || (release.outcome == release_outcome::rejected && !release.endpointLeaving))
        where.breaker.recordFailure(now);
    self.judgeProbe(now, record, release);
    if (record.longRequest)
        self.queueOf(record).longRisk.add(now, record.preempting);
    self.vacate(record);
    if (release.endpointLeaving && !where.leaving)
        self.setLeaving(where);
    // A home may ask again for a request that did not run or that was preempted.
    const bool ran = release.outcome != release_outcome::unused && release.outcome != release_outcome::rejected && !record.preempting;
    self.forget(record,
        "ran on " + where.description.id.value + " (" + record.explanation
            + "), ended: " + std::string(releaseOutcomeNames.name(release.outcome)) + (record.preempting ? " after preemption" : ""),
        ran);
    actions out;
    self.dispatch(now, out);
    return out;
}

void pool_scheduler::restoreGrant(monotonic_time now, scheduling_request request, const endpoint_id& endpoint, tokens outputTokens)
{
    auto& self = *m_implementation;
    self.lastNow = now;
    const auto id = request.id;
    const auto [position, added] = self.requests.try_emplace(id);
    auto& record = position->second;
    if (added) {
        record.request = std::move(request);
        record.submitted = now;
        self.describe(record);
    } else if (record.phase == request_phase::running) {
        return;
    } else {
        self.unqueue(record);
    }
    auto& where = self.endpoint(endpoint);
    record.waste = record.request.promptTokens.value;
    record.grantedCost = record.work;
    record.countedTokens = std::max<std::int64_t>(0, outputTokens.value);
    record.explanation = "granted by the previous owner of the pool";
    self.queueOf(record).charge(*record.owner, record.charge);
    self.occupy(now, record, where);
    if (where.position < prefix_index::maxEndpoints)
        self.prefixes.insert(where.position, record.request.prefixBlocks);
    self.setTimer(record, now + self.silenceLimit(record));
}

void pool_scheduler::observe(monotonic_time now, const load_report& report)
{
    m_implementation->lastNow = now;
    m_implementation->observeLoad(now, report);
}

void pool_scheduler::observe(std::span<const cache_event> events)
{
    auto& self = *m_implementation;
    for (const auto& event : events) {
        const auto found = self.endpointsById.find(event.endpoint);
        if (found == self.endpointsById.end() || found->second->position >= prefix_index::maxEndpoints)
            continue;
        if (event.stored)
            self.prefixes.insert(found->second->position, std::span(&event.blockHash, 1));
        else
            self.prefixes.erase(found->second->position, event.blockHash);
    }
}

std::vector<scheduling_action> pool_scheduler::tick(monotonic_time now)
{
    auto& self = *m_implementation;
    self.lastNow = now;
    actions out;
    if (self.stragglers.windowEnded(now))
        self.learnFromWindows(now);
    if (self.stragglers.tick(now, self.endpoints))
        self.recount();
    for (auto& entry : self.endpoints) {
        // A probe-only endpoint has no slot to wait for.
        const bool reachable = entry->eligible() && !entry->ejected;
        for (auto parked = entry->parked.begin(); parked != entry->parked.end();) {
            auto& record = *parked++;
            if (!reachable || record.parkedUntil <= now)
                self.unpark(record);
        }
    }
    self.dispatch(now, out);
    self.runTimers(now, out);
    self.refuseWithoutEndpoint(now, out);
    // Timers may have freed slots or queue space.
    self.dispatch(now, out);
    return out;
}

std::vector<scheduling_action> pool_scheduler::handleHomeFailure(monotonic_time now, const node_id& home)
{
    auto& self = *m_implementation;
    self.lastNow = now;
    std::vector<request_record*> lost;
    for (auto& [id, record] : self.requests) {
        if (record.request.home == home)
            lost.push_back(&record);
    }
    for (auto* record : lost) {
        if (record->phase != request_phase::running) {
            self.unqueue(*record);
            self.forget(*record, "dropped: its home was lost", false);
            continue;
        }
        record->homeFailed = true;
        // The engine finishes streams that nobody reads; half of the estimate is added because it is a mean.
        const auto finish = record->granted + fromSeconds(1.5 * record->grantedCost);
        self.setTimer(*record, std::max(finish, now + self.settings.grantLifetime));
    }
    actions out;
    self.dispatch(now, out);
    return out;
}

} // namespace carawaylink
