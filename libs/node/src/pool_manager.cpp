#include "pool_manager.h"

#include "base/log.h"

#include <algorithm>
#include <ranges>
#include <unordered_set>

namespace carawaylink {

std::map<pool_id, std::vector<endpoint_id>> computePools(const fleet_view& view, const endpoint_directory& directory)
{
    std::map<service_id, std::vector<endpoint_id>> byService;
    for (const auto& [id, entry] : directory.endpoints())
        byService[entry.service].push_back(id);
    std::map<pool_id, std::vector<endpoint_id>> result;
    for (const auto& [service, policy] : view.services) {
        const auto found = byService.find(service);
        if (found == byService.end()) {
            result[{ service, 0 }] = {};
            continue;
        }
        const auto pools = splitIntoPools(found->second, policy.defaults.pool_size);
        for (std::uint32_t number = 0; number < pools.size(); ++number)
            result[{ service, number }] = pools[number];
    }
    return result;
}

struct pool_manager::managed_pool {
    explicit managed_pool(pool_scheduler_settings settings)
        : scheduler(settings)
    {
    }

    pool_id id;
    pool_scheduler scheduler;
    std::map<endpoint_id, endpoint_description> endpoints;
    /// Home nodes whose list of requests has not been received yet.
    std::set<node_id> awaitedHomes;
    /// All home nodes that were asked for their list.
    std::set<node_id> requestedHomes;
    /// Engines without a load report. One of them may be leaving, which only the previous owner knew.
    std::set<endpoint_id> unreportedEndpoints;
    std::set<endpoint_id> reportedEndpoints;
    monotonic_time syncDeadline;
    bool ready = false;
    std::vector<scheduling_request> deferred;
    std::unordered_map<request_id, granted_slot> granted;
    /// Requests in the lists that have been received in part, by home node.
    std::map<node_id, std::unordered_set<request_id>> listed;
};

pool_manager::pool_manager(node_id self, duration syncWait, duration grantLifetime, history& eventHistory, handlers callbacks)
    : m_self(std::move(self))
    , m_syncWait(syncWait)
    , m_grantLifetime(grantLifetime)
    , m_history(eventHistory)
    , m_handlers(std::move(callbacks))
{
}

pool_manager::~pool_manager() = default;

namespace {

pool_scheduler_settings schedulerSettings(const schema::fleet_defaultsT& defaults, duration grantLifetime)
{
    pool_scheduler_settings settings;
    settings.longRequestFactor = defaults.long_request_factor;
    settings.longSlotShare = defaults.long_slot_share;
    settings.stragglerFactor = defaults.straggler_factor;
    settings.maxWaiting = defaults.max_waiting_per_pool;
    settings.preemption = defaults.preemption;
    settings.grantLifetime = grantLifetime;
    return settings;
}

std::vector<team_share> teamShares(const fleet_view& view)
{
    std::map<team_id, team_share> shares;
    for (const auto& [hash, policy] : view.teamsByKeyHash)
        shares[policy.team] = { policy.team, policy.weight, policy.maxWaiting };
    auto values = shares | std::views::values;
    return { values.begin(), values.end() };
}

} // namespace

void pool_manager::update(monotonic_time now, const fleet_view& view, const endpoint_directory& directory)
{
    const auto shares = teamShares(view);
    std::set<pool_id> owned;
    for (const auto& [id, endpointIds] : computePools(view, directory)) {
        if (poolOwner(id, view.members) != m_self)
            continue;
        owned.insert(id);
        const auto& policy = view.services.at(id.service);
        const auto settings = schedulerSettings(policy.defaults, m_grantLifetime);
        auto& slot = m_pools[id];
        if (!slot) {
            slot = std::make_unique<managed_pool>(settings);
            slot->id = id;
            slot->syncDeadline = now + m_syncWait;
            log_event("pool_owned").field("service", id.service).field("pool", id.number).field("members", view.members.size());
            m_history.record("owner", { { "service", id.service.value }, { "pool", id.number } });
        }
        auto& pool = *slot;
        requestMissingSyncs(pool, view);
        pool.scheduler.setSettings(settings);
        pool.scheduler.setTeams(shares);
        std::vector<endpoint_description> descriptions;
        for (const auto& endpoint : endpointIds) {
            const auto& entry = directory.endpoints().at(endpoint);
            if (entry.described)
                descriptions.push_back(entry.description);
        }
        applyActions(pool, now, pool.scheduler.setEndpoints(now, descriptions));
        pool.endpoints.clear();
        for (const auto& description : descriptions) {
            pool.endpoints.emplace(description.id, description);
            if (directory.endpoints().at(description.id).leaving)
                pool.scheduler.markLeaving(description.id);
        }
        if (!pool.ready && policy.definition.kind == schema::service_kind::engine) {
            pool.unreportedEndpoints = { endpointIds.begin(), endpointIds.end() };
            std::erase_if(pool.unreportedEndpoints, [&](const endpoint_id& endpoint) { return pool.reportedEndpoints.contains(endpoint); });
            if (!pool.unreportedEndpoints.empty())
                m_handlers.pollEndpoints();
        }
        markReadyIfSynced(pool, now);
    }
    std::erase_if(m_pools, [&](const auto& entry) {
        if (owned.contains(entry.first))
            return false;
        log_event("pool_given_up").field("service", entry.first.service).field("pool", entry.first.number);
        recordReleases("pool_given_up", [&](const tracked_request& trackedRequest) { return trackedRequest.pool == entry.first; });
        return true;
    });
    std::erase_if(m_requests, [&](const auto& entry) { return !m_pools.contains(entry.second.pool); });
}

void pool_manager::applyActions(managed_pool& pool, monotonic_time now, const std::vector<scheduling_action>& actions)
{
    for (const auto& action : actions) {
        node_id home;
        if (const auto* grant = std::get_if<slot_grant>(&action)) {
            home = grant->home;
            pool.granted[grant->request] = { home, now };
            m_history.record("granted",
                { { "request", toString(grant->request) }, { "endpoint", grant->endpoint.value },
                    { "tier", m_requests[grant->request].level.value } });
        } else if (const auto* refused = std::get_if<slot_refusal>(&action)) {
            home = refused->home;
            // The home records the refusal itself if it takes effect: after a change of owner it ignores refusals of the old owner.
            m_history.record("released", { { "request", toString(refused->request) }, { "outcome", "refused" } });
            m_requests.erase(refused->request);
        } else {
            const auto& preemption = std::get<slot_preemption>(action);
            home = preemption.home;
            m_history.record("preempted", { { "request", toString(preemption.request) } });
        }
        m_handlers.deliver(home, action);
    }
}

pool_manager::managed_pool* pool_manager::poolOf(const request_id& request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return nullptr;
    const auto pool = m_pools.find(found->second.pool);
    return pool == m_pools.end() ? nullptr : pool->second.get();
}

void pool_manager::submit(monotonic_time now, const pool_id& id, scheduling_request request)
{
    const auto found = m_pools.find(id);
    if (found == m_pools.end()) {
        m_handlers.rejectOwner(request.home, request.id);
        return;
    }
    auto& pool = *found->second;
    if (pool.granted.contains(request.id))
        return;
    if (m_requests.emplace(request.id, tracked_request { id, request.home, request.level, request.deadline }).second) {
        m_history.record("queued",
            { { "request", toString(request.id) }, { "service", id.service.value }, { "pool", id.number }, { "tier", request.level.value },
                { "team", request.team.value }, { "non_idempotent", request.nonIdempotent },
                { "deadline_in_ms", std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now).count() } });
    }
    if (!pool.ready) {
        pool.deferred.push_back(std::move(request));
        return;
    }
    applyActions(pool, now, pool.scheduler.submit(now, std::move(request)));
}

void pool_manager::cancel(monotonic_time now, const node_id&, const request_id& request)
{
    if (auto* pool = poolOf(request)) {
        if (pool->granted.contains(request)) {
            // The cancellation crossed the grant. Homes cancel only requests that they have not dispatched, so the slot is unused.
            slot_release unused;
            unused.request = request;
            unused.outcome = release_outcome::unused;
            release(now, unused);
            return;
        }
        pool->scheduler.cancel(now, request);
        std::erase_if(pool->deferred, [&](const scheduling_request& entry) { return entry.id == request; });
        m_requests.erase(request);
        m_history.record("released", { { "request", toString(request) }, { "outcome", "withdrawn" } });
    }
}

void pool_manager::handleProgress(monotonic_time now, const node_id& home, const std::vector<slot_progress>& entries)
{
    std::set<request_id> listed;
    for (const auto& entry : entries) {
        listed.insert(entry.request);
        if (auto* pool = poolOf(entry.request))
            pool->scheduler.recordProgress(now, entry);
    }
    // If a release message was lost, the slot would stay occupied until the expected end of the request; the home's list frees it at
    // once. The outcome is `unused` even if the request ran: its measurements were lost with the message, so the team is not charged.
    const auto reclaimBefore = now - 2 * m_grantLifetime;
    for (auto& [id, pool] : m_pools) {
        std::vector<request_id> lost;
        for (const auto& [request, slot] : pool->granted) {
            if (slot.home == home && slot.since < reclaimBefore && !listed.contains(request))
                lost.push_back(request);
        }
        for (const auto& request : lost) {
            log_event("slot_reclaimed", log_level::warning).field("request", request).field("home", home);
            slot_release unused;
            unused.request = request;
            unused.outcome = release_outcome::unused;
            release(now, unused);
        }
    }
}

void pool_manager::release(monotonic_time now, const slot_release& report)
{
    auto* pool = poolOf(report.request);
    if (!pool)
        return;
    pool->granted.erase(report.request);
    m_requests.erase(report.request);
    m_history.record("released", { { "request", toString(report.request) }, { "outcome", releaseOutcomeNames.name(report.outcome) } });
    applyActions(*pool, now, pool->scheduler.release(now, report));
}

void pool_manager::sync(monotonic_time now, const node_id& home, const pool_id& id, std::vector<scheduling_request> waiting,
    std::vector<std::tuple<scheduling_request, endpoint_id, tokens>> granted, bool complete)
{
    const auto found = m_pools.find(id);
    if (found == m_pools.end())
        return;
    auto& pool = *found->second;
    auto& listed = pool.listed[home];
    std::ranges::transform(waiting, std::inserter(listed, listed.end()), &scheduling_request::id);
    for (auto& [request, endpoint, outputTokens] : granted) {
        listed.insert(request.id);
        if (!m_requests.emplace(request.id, tracked_request { id, request.home, request.level, request.deadline }).second
            && pool.granted.contains(request.id))
            continue;
        pool.granted[request.id] = { home, now };
        m_history.record("granted",
            { { "request", toString(request.id) }, { "endpoint", endpoint.value }, { "restored", true }, { "tier", request.level.value },
                { "service", id.service.value }, { "non_idempotent", request.nonIdempotent } });
        pool.scheduler.restoreGrant(now, std::move(request), endpoint, outputTokens);
    }
    for (auto& request : waiting) {
        // The home still waits, so the grant was lost with its connection. If it arrives after all, the home ignores the second
        // grant, whose slot is freed with the request.
        const auto slot = pool.granted.find(request.id);
        if (slot != pool.granted.end() && slot->second.home == home) {
            slot_release unused;
            unused.request = request.id;
            unused.outcome = release_outcome::unused;
            release(now, unused);
        }
        submit(now, id, std::move(request));
    }
    if (complete) {
        dropUnlistedRequests(pool, now, home);
        pool.awaitedHomes.erase(home);
    }
    markReadyIfSynced(pool, now);
}

void pool_manager::requestMissingSyncs(managed_pool& pool, const fleet_view& view)
{
    // A node that has just started takes over its first pools before it learns of the other members.
    for (const auto& member : view.members) {
        if (pool.ready || member.node == m_self || member.state != member_state::alive || !pool.requestedHomes.insert(member.node).second)
            continue;
        pool.awaitedHomes.insert(member.node);
        m_handlers.requestSync(member.node, pool.id);
    }
}

void pool_manager::markReadyIfSynced(managed_pool& pool, monotonic_time now)
{
    // Without a described endpoint every request would be refused. For a service without endpoints tick() ends the wait.
    if (!pool.ready && pool.awaitedHomes.empty() && pool.unreportedEndpoints.empty() && !pool.endpoints.empty())
        markReady(pool, now);
}

// After a pause of its process an owner may hold requests that their home has since released or sent to another owner.
void pool_manager::dropUnlistedRequests(managed_pool& pool, monotonic_time now, const node_id& home)
{
    const auto listed = std::move(pool.listed[home]);
    pool.listed.erase(home);
    std::vector<request_id> stale;
    for (const auto& [request, trackedRequest] : m_requests) {
        if (trackedRequest.pool == pool.id && trackedRequest.home == home && !listed.contains(request))
            stale.push_back(request);
    }
    if (stale.empty())
        return;
    log_event("pool_requests_dropped")
        .field("service", pool.id.service)
        .field("pool", pool.id.number)
        .field("home", home)
        .field("requests", stale.size());
    for (const auto& request : stale) {
        if (!pool.granted.contains(request)) {
            cancel(now, home, request);
            continue;
        }
        // Sent even if the request ran, since its measurements are not known here.
        slot_release unused;
        unused.request = request;
        unused.outcome = release_outcome::unused;
        release(now, unused);
    }
}

void pool_manager::markReady(managed_pool& pool, monotonic_time now)
{
    pool.ready = true;
    auto deferred = std::move(pool.deferred);
    pool.deferred.clear();
    log_event("pool_ready")
        .field("service", pool.id.service)
        .field("pool", pool.id.number)
        .field("waiting", deferred.size())
        .field("outstanding", pool.granted.size());
    for (auto& request : deferred)
        applyActions(pool, now, pool.scheduler.submit(now, std::move(request)));
}

void pool_manager::recordReleases(std::string_view outcome, const std::function<bool(const tracked_request&)>& isAffected)
{
    for (const auto& [request, trackedRequest] : m_requests) {
        if (isAffected(trackedRequest))
            m_history.record("released", { { "request", toString(request) }, { "outcome", outcome } });
    }
}

void pool_manager::handleHomeFailure(monotonic_time now, const node_id& home)
{
    for (auto& [id, pool] : m_pools) {
        pool->awaitedHomes.erase(home);
        std::erase_if(pool->deferred, [&](const scheduling_request& request) { return request.home == home; });
        std::erase_if(pool->granted, [&](const auto& entry) { return entry.second.home == home; });
        applyActions(*pool, now, pool->scheduler.handleHomeFailure(now, home));
    }
    // A failed home reports no releases, so the end of its requests is recorded here.
    recordReleases("home_lost", [&](const tracked_request& trackedRequest) { return trackedRequest.home == home; });
    std::erase_if(m_requests, [&](const auto& entry) { return entry.second.home == home; });
}

void pool_manager::markLeaving(const endpoint_id& endpoint)
{
    for (auto& [id, pool] : m_pools) {
        if (!pool->endpoints.contains(endpoint))
            continue;
        pool->scheduler.markLeaving(endpoint);
        m_history.record("leaving_seen", { { "endpoint", endpoint.value } });
    }
}

void pool_manager::observe(monotonic_time now, const load_report& report)
{
    for (auto& [id, pool] : m_pools) {
        if (!pool->endpoints.contains(report.endpoint))
            continue;
        pool->scheduler.observe(now, report);
        if (pool->ready)
            continue;
        pool->reportedEndpoints.insert(report.endpoint);
        pool->unreportedEndpoints.erase(report.endpoint);
        markReadyIfSynced(*pool, now);
    }
}

void pool_manager::observe(std::span<const cache_event> events)
{
    if (events.empty())
        return;
    for (auto& [id, pool] : m_pools) {
        if (pool->endpoints.contains(events.front().endpoint))
            pool->scheduler.observe(events);
    }
}

void pool_manager::tick(monotonic_time now)
{
    for (auto& [id, pool] : m_pools) {
        if (!pool->ready && now >= pool->syncDeadline)
            markReady(*pool, now);
        if (pool->ready)
            applyActions(*pool, now, pool->scheduler.tick(now));
    }
}

std::vector<endpoint_id> pool_manager::ownedEndpoints() const
{
    std::vector<endpoint_id> result;
    for (const auto& [id, pool] : m_pools)
        std::ranges::copy(pool->endpoints | std::views::keys, std::back_inserter(result));
    return result;
}

std::optional<std::string> pool_manager::explain(const request_id& request) const
{
    for (const auto& [id, pool] : m_pools) {
        if (auto text = pool->scheduler.explain(request))
            return text;
    }
    return std::nullopt;
}

std::vector<pool_manager::owned_pool_status> pool_manager::status(monotonic_time now) const
{
    std::vector<owned_pool_status> result;
    for (const auto& [id, pool] : m_pools)
        result.push_back({ id, pool->scheduler.status(now), pool->scheduler.endpoints(), pool->ready });
    return result;
}

} // namespace carawaylink
