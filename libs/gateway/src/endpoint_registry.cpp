#include "endpoint_registry.h"

#include "base/error.h"

#include <algorithm>
#include <set>
#include <utility>

namespace carawaylink::gateway {

namespace {

// After an outage longer than this, the store may have expired entries of endpoints that are still alive.
constexpr auto minOutage = std::chrono::milliseconds(600);
constexpr auto reregistrationTime = std::chrono::milliseconds(2200);
// The store removes the entry of an endpoint that has ended within this time, three heartbeats of the endpoint.
constexpr auto staleEntryTime = std::chrono::seconds(6);

} // namespace

bool endpoint_registry::replaceAll(const std::vector<store_record>& records, std::uint64_t offset, monotonic_time now)
{
    std::vector<discovery::registry_change> changes;
    std::set<discovery::replica_id> listed;
    for (const auto& record : records) {
        changes.push_back(decode(record));
        noteChange(changes.back(), offset);
        listed.insert(changes.back().id);
    }
    for (const auto& [id, record] : m_table.records()) {
        if (!listed.contains(id))
            m_changedAt[id.value] = offset;
    }
    const bool isFirst = !std::exchange(m_isLoaded, true);
    const bool mergesOlder = std::exchange(m_mergesNext, false) && !isFirst;
    if (isFirst || mergesOlder)
        m_completeSince = offset;
    const bool isTableChanged
        = mergesOlder ? m_table.merge(changes, now + reregistrationTime, now + staleEntryTime, now) : m_table.replaceAll(changes, now);
    const bool changed = isTableChanged || isFirst;
    if (changed) {
        m_changedOffset = offset;
        dropUnknownRecords();
    }
    return changed;
}

bool endpoint_registry::apply(const std::vector<store_record>& records, std::uint64_t offset, monotonic_time now)
{
    bool changed = false;
    for (const auto& record : records) {
        const auto change = decode(record);
        noteChange(change, offset);
        changed |= m_table.apply(change, now);
    }
    if (changed)
        dropUnknownRecords();
    // A removal that this node defers after an outage may take effect immediately on peers that saw no outage.
    const bool hasRemoval = std::ranges::any_of(records, [](const store_record& record) { return !record.value; });
    if (changed || hasRemoval)
        m_changedOffset = offset;
    return changed || hasRemoval;
}

// A peer whose reads were not interrupted knows which removals are genuine, so none are deferred, even if this node cannot reach the
// store: otherwise an endpoint that leaves without notice would receive requests for the hold time on top of the read interval.
void endpoint_registry::applyHold(std::uint32_t removalsHeldMs, bool reachesStore, monotonic_time now)
{
    if (removalsHeldMs == 0)
        m_table.releaseRemovals();
    else if (!reachesStore)
        m_table.holdRemovals(now + std::chrono::milliseconds(removalsHeldMs));
}

// An endpoint that this node lists unchanged needs no mention. A removal does, since it may be deferred here and not at the receivers.
void endpoint_registry::noteChange(const discovery::registry_change& change, std::uint64_t offset)
{
    const auto known = m_table.records().find(change.id);
    const bool isUnchanged
        = known != m_table.records().end() && change.record && known->second == *change.record && m_table.isListed(change.id);
    if (!isUnchanged)
        m_changedAt[change.id.value] = offset;
}

bool endpoint_registry::applyUpdate(const peer::store_updateT& update, std::uint64_t knownOffset, bool reachesStore, monotonic_time now)
{
    if (update.offset < knownOffset)
        return false;
    // Also without news: a peer that had no outage and has read as far knows that the removals which this node defers are genuine.
    applyHold(update.removals_held_ms, reachesStore, now);
    if (update.offset == knownOffset)
        return false;
    std::vector<store_record> records;
    for (const auto& entry : update.changes) {
        store_record record { entry->key, std::nullopt };
        if (!entry->removed)
            record.value = std::string(entry->value.begin(), entry->value.end());
        records.push_back(std::move(record));
    }
    return apply(records, update.offset, now);
}

bool endpoint_registry::applyCopy(const peer::store_copyT& copy, bool reachesStore, monotonic_time now)
{
    applyHold(copy.removals_held_ms, reachesStore, now);
    std::vector<store_record> records;
    for (const auto& entry : copy.endpoints)
        records.push_back({ entry->key, std::string(entry->value.begin(), entry->value.end()) });
    return replaceAll(records, copy.endpoints_offset, now);
}

void endpoint_registry::onHistoryChanged()
{
    m_mergesNext = m_isLoaded;
    m_changedAt.clear();
    m_completeSince = 0;
    m_changedOffset = 0;
}

void endpoint_registry::onStoreReconnected(duration outage, monotonic_time now)
{
    if (outage > minOutage)
        m_table.holdRemovals(now + reregistrationTime);
}

bool endpoint_registry::expire(std::uint64_t offset, monotonic_time now)
{
    if (!m_table.expire(now))
        return false;
    m_changedOffset = offset;
    dropUnknownRecords();
    return true;
}

void endpoint_registry::fillCopy(peer::store_copyT& copy, std::uint64_t offset, monotonic_time now) const
{
    copy.endpoints_offset = offset;
    copy.removals_held_ms = removalsHeldMs(now);
    for (const auto& [key, record] : m_records) {
        if (!m_table.isListed(discovery::replica_id { key }))
            continue;
        auto entry = std::make_unique<peer::registry_entryT>();
        entry->key = key;
        entry->value.assign(record.value->begin(), record.value->end());
        copy.endpoints.push_back(std::move(entry));
    }
}

std::uint32_t endpoint_registry::removalsHeldMs(monotonic_time now) const
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(m_table.remainingHold(now)).count());
}

void endpoint_registry::fillUpdate(peer::store_updateT& update, monotonic_time now) const
{
    update.removals_held_ms = removalsHeldMs(now);
    update.base_offset = std::max(update.base_offset, m_completeSince);
    for (const auto& [key, offset] : m_changedAt) {
        if (offset <= update.base_offset)
            continue;
        auto entry = std::make_unique<peer::registry_entryT>();
        entry->key = key;
        const auto record = m_records.find(key);
        entry->removed = record == m_records.end() || !m_table.isListed(discovery::replica_id { key });
        if (!entry->removed)
            entry->value.assign(record->second.value->begin(), record->second.value->end());
        update.changes.push_back(std::move(entry));
    }
}

void endpoint_registry::forgetChangesUpTo(std::uint64_t offset)
{
    std::erase_if(m_changedAt, [offset](const auto& entry) { return entry.second <= offset; });
}

discovery::registry_change endpoint_registry::decode(const store_record& record)
{
    try {
        auto change = m_codec.decodeEndpoint(record);
        if (change.record)
            m_records[record.key] = record;
        return change;
    } catch (const error& failure) {
        m_log.event("endpoint_entry_invalid").field("key", record.key).field("error", '"' + std::string(failure.what()) + '"');
        // An entry that cannot be decoded counts as removed.
        return { discovery::replica_id { record.key }, std::nullopt };
    }
}

void endpoint_registry::dropUnknownRecords()
{
    std::erase_if(m_records, [this](const auto& entry) { return !m_table.isKnown(discovery::replica_id { entry.first }); });
}

} // namespace carawaylink::gateway
