#include "discovery/endpoint_table.h"

#include <algorithm>
#include <set>

namespace carawaylink::discovery {

namespace {

// Well above the age of a copy from which a registry may be restored.
constexpr auto removalRetention = std::chrono::seconds(60);

} // namespace

bool endpoint_table::apply(const registry_change& change, monotonic_time now)
{
    m_suspects.erase(change.id);
    return change.record ? set(*change.record) : remove(change.id, now);
}

bool endpoint_table::set(const endpoint_record& record)
{
    m_deferredRemovals.erase(record.id);
    const auto [position, inserted] = m_records.try_emplace(record.id, record);
    if (inserted)
        return true;
    auto& known = position->second;
    auto updated = record;
    // An older entry may say "ready" for a process that has begun to drain since.
    updated.draining = record.draining || (known.draining && known.startedAtMs == record.startedAtMs);
    if (known == updated)
        return false;
    known = std::move(updated);
    return true;
}

std::vector<replica_id> endpoint_table::missingFrom(const std::vector<registry_change>& entries) const
{
    std::set<replica_id> listed;
    for (const auto& entry : entries) {
        if (entry.record)
            listed.insert(entry.id);
    }
    std::vector<replica_id> missing;
    for (const auto& [id, record] : m_records) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    return missing;
}

bool endpoint_table::replaceAll(const std::vector<registry_change>& entries, monotonic_time now)
{
    bool changed = false;
    for (const auto& entry : entries)
        changed |= apply(entry, now);
    for (const auto& id : missingFrom(entries))
        changed |= remove(id, now);
    return changed;
}

bool endpoint_table::merge(
    const std::vector<registry_change>& entries, monotonic_time holdUntil, monotonic_time suspectUntil, monotonic_time now)
{
    m_holdUntil = std::max(m_holdUntil, holdUntil);
    m_suspects.clear();
    for (const auto& id : missingFrom(entries))
        remove(id, now);
    bool changed = false;
    for (const auto& entry : entries) {
        if (entry.record)
            changed |= mergeEntry(*entry.record, suspectUntil);
    }
    return changed;
}

bool endpoint_table::mergeEntry(const endpoint_record& record, monotonic_time suspectUntil)
{
    const auto known = m_records.find(record.id);
    if (known != m_records.end()) {
        // A later process under the same id has not registered in the copy yet.
        if (record.startedAtMs < known->second.startedAtMs) {
            m_deferredRemovals.try_emplace(record.id, m_holdUntil);
            return false;
        }
        return set(record);
    }
    const auto removed = m_removals.find(record.id);
    if (removed == m_removals.end() || record.startedAtMs > removed->second.startedAtMs)
        return set(record);
    m_suspects.insert_or_assign(record.id, suspect_entry { record, suspectUntil });
    return false;
}

bool endpoint_table::remove(const replica_id& id, monotonic_time now)
{
    if (now < m_holdUntil) {
        if (m_records.contains(id))
            m_deferredRemovals.try_emplace(id, m_holdUntil);
        return false;
    }
    m_deferredRemovals.erase(id);
    return erase(id, now);
}

bool endpoint_table::erase(const replica_id& id, monotonic_time now)
{
    std::erase_if(m_removals, [now](const auto& entry) { return now - entry.second.time > removalRetention; });
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return false;
    m_removals.insert_or_assign(id, past_removal { found->second.startedAtMs, now });
    m_records.erase(found);
    return true;
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
        changed |= erase(removal.first, now);
        return true;
    });
    std::erase_if(m_suspects, [&](const auto& entry) {
        if (entry.second.until > now)
            return false;
        changed |= set(entry.second.record);
        return true;
    });
    return changed;
}

} // namespace carawaylink::discovery
