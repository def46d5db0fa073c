#include "placement/owned_pools.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace carawaylink::placement {

owned_pools::owned_pools(node_id self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
{
}

void owned_pools::setLimits(const service_id& service, const pool_limits& limits)
{
    m_limits[service] = limits;
    for (auto& [id, pool] : m_pools) {
        if (id.service == service)
            pool->setLimits(limits);
    }
}

void owned_pools::setVersionRules(
    const service_id& service, const version_rules& rules, const std::map<std::uint32_t, version_split>& splits)
{
    const auto& given = m_versions[service] = { rules, splits };
    for (auto position = m_pools.lower_bound({ service, 0 }); position != m_pools.end() && position->first.service == service; ++position)
        position->second->setVersionRules(rules, given.splitOf(position->first.number));
}

bool owned_pools::update(
    const endpoints_by_service& endpoints, std::span<const owner_candidate> candidates, const speed_source& knownSpeeds, monotonic_time now)
{
    bool changed = false;
    std::set<pool_id> owned;
    for (const auto& [service, records] : endpoints) {
        const auto pools = splitByPool(records);
        for (std::uint32_t number = 0; number < pools.size(); ++number) {
            const pool_id id { service, number };
            if (ownerOf(id, candidates) != m_self)
                continue;
            owned.insert(id);
            auto& pool = m_pools[id];
            const bool isNew = pool == nullptr;
            if (isNew) {
                pool = std::make_unique<slot_owner>(id, m_random(), now);
                pool->setLimits(m_limits[service]);
                if (const auto versions = m_versions.find(service); versions != m_versions.end())
                    pool->setVersionRules(versions->second.rules, versions->second.splitOf(number));
                changed = true;
            }
            pool->setEndpoints(pools[number], now);
            if (isNew)
                pool->setInitialSpeeds(knownSpeeds(service));
        }
    }
    const auto dropped = std::erase_if(m_pools, [&](const auto& entry) { return !owned.contains(entry.first); });
    return changed || dropped > 0;
}

void owned_pools::receive(const node_id& node, const slot_call& call, monotonic_time now)
{
    const auto found = m_pools.find(call.pool);
    if (found != m_pools.end()) {
        found->second->receive(node, call, now);
        return;
    }
    slot_reply reply;
    reply.pool = call.pool;
    reply.session = call.session;
    reply.status = call_status::not_owner;
    m_rejections.push_back({ node, std::move(reply) });
}

void owned_pools::removeNode(const node_id& node, monotonic_time now)
{
    for (auto& [id, pool] : m_pools)
        pool->removeNode(node, now);
}

std::vector<addressed_reply> owned_pools::takeReplies(monotonic_time now)
{
    auto replies = std::exchange(m_rejections, {});
    for (auto& [id, pool] : m_pools)
        std::ranges::move(pool->takeReplies(now), std::back_inserter(replies));
    return replies;
}

std::vector<reclaimed_slots> owned_pools::takeReclaimed()
{
    std::vector<reclaimed_slots> reclaimed;
    for (auto& [id, pool] : m_pools)
        std::ranges::move(pool->takeReclaimed(), std::back_inserter(reclaimed));
    return reclaimed;
}

std::map<pool_id, admission_counts> owned_pools::takeAdmissionCounts()
{
    std::map<pool_id, admission_counts> active;
    for (auto& [id, pool] : m_pools) {
        if (const auto counts = pool->takeAdmissionCounts(); counts != admission_counts {})
            active.emplace(id, counts);
    }
    return active;
}

} // namespace carawaylink::placement
