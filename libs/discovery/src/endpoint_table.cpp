#include "discovery/endpoint_table.h"

#include <algorithm>
#include <set>

namespace carawaylink::discovery {

bool endpoint_table::apply(const registry_change& change, monotonic_time now)
{
    if (!change.record)
        return remove(change.id, now);
    m_deferredRemovals.erase(change.id);
    const auto [position, inserted] = m_records.try_emplace(change.id, *change.record);
    if (inserted)
        return true;
    if (position->second == *change.record)
        return false;
    position->second = *change.record;
    return true;
}

bool endpoint_table::replaceAll(const std::vector<registry_change>& entries, monotonic_time now)
{
    std::set<replica_id> listed;
    bool changed = false;
    for (const auto& entry : entries) {
        if (entry.record)
            listed.insert(entry.id);
        changed |= apply(entry, now);
    }
    std::vector<replica_id> missing;
    for (const auto& [id, record] : m_records) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const auto& id : missing)
        changed |= remove(id, now);
    return changed;
}

bool endpoint_table::remove(const replica_id& id, monotonic_time now)
{
    if (now < m_holdUntil) {
        if (m_records.contains(id))
            m_deferredRemovals.try_emplace(id, m_holdUntil);
        return false;
    }
    m_deferredRemovals.erase(id);
    return m_records.erase(id) > 0;
}

void endpoint_table::releaseRemovals()
{
    m_holdUntil = {};
    for (auto& [id, until] : m_deferredRemovals)
        until = {};
}

bool endpoint_table::expire(monotonic_time now)
{
    bool changed = false;
    std::erase_if(m_deferredRemovals, [&](const auto& removal) {
        if (removal.second > now)
            return false;
        changed |= m_records.erase(removal.first) > 0;
        return true;
    });
    return changed;
}

} // namespace carawaylink::discovery
