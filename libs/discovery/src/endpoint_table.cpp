#include "discovery/endpoint_table.h"

#include <algorithm>
#include <set>

namespace carawaylink::discovery {

bool endpoint_table::apply(const registry_change& change, monotonic_time now)
{
    if (!change.record)
        return remove(change.id, now);
    m_heldRemovals.erase(change.id);
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
            m_heldRemovals.try_emplace(id, m_holdUntil);
        return false;
    }
    m_heldRemovals.erase(id);
    return m_records.erase(id) > 0;
}

void endpoint_table::releaseRemovals()
{
    m_holdUntil = {};
    for (auto& [id, until] : m_heldRemovals)
        until = {};
}

bool endpoint_table::expire(monotonic_time now)
{
    bool changed = false;
    std::erase_if(m_heldRemovals, [&](const auto& held) {
        if (held.second > now)
            return false;
        changed |= m_records.erase(held.first) > 0;
        return true;
    });
    return changed;
}

} // namespace carawaylink::discovery
