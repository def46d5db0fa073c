#pragma once

#include "decision_log.h"
#include "discovery/endpoint_table.h"
#include "gateway/protocol_codec.h"
#include "wire/generated/peer_state_generated.h"

#include <map>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// Endpoints known to this node, from its own reads of the store and from copies sent by peers. Does no I/O. Offsets are positions in
/// the endpoint log up to which the records were read, all in the same history of the store.
class endpoint_registry {
public:
    endpoint_registry(const protocol_codec& codec, decision_log& log)
        : m_codec(codec)
        , m_log(log)
    {
    }

    /// Applies a snapshot read from the store; returns whether the usable endpoints changed.
    bool replaceAll(const std::vector<store_record>& records, std::uint64_t offset, monotonic_time now);
    /// Applies log records read from the store; returns whether peers need the change.
    bool apply(const std::vector<store_record>& records, std::uint64_t offset, monotonic_time now);
    /// Applies the changes that a peer read from the store after update.base_offset. knownOffset: up to which this node knows everything,
    /// at least the base.
    bool applyUpdate(const peer::store_updateT& update, std::uint64_t knownOffset, bool reachesStore, monotonic_time now);
    /// Applies a copy that a peer read from the store. reachesStore: this node reads the store too and detects outages itself.
    bool applyCopy(const peer::store_copyT& copy, bool reachesStore, monotonic_time now);
    /// The store has come back from an older copy: the next snapshot or copy, which may list endpoints that have left and lack some that
    /// have come, is merged with what is known.
    void onHistoryChanged();
    /// Call when the store responds again; defers removals so that entries expired during the outage can be registered again.
    void onStoreReconnected(duration outage, monotonic_time now);
    /// Applies deferred removals that are due; returns whether the usable endpoints changed.
    bool expire(std::uint64_t offset, monotonic_time now);
    /// Fills an update for peers with the changes after update.base_offset, which is raised to the offset from which this node knows all
    /// changes.
    void fillUpdate(peer::store_updateT& update, monotonic_time now) const;
    /// Forgets which endpoints changed at or before the offset.
    void forgetChangesUpTo(std::uint64_t offset);
    /// Fills a copy for peers with the records read from the store.
    void fillCopy(peer::store_copyT& copy, std::uint64_t offset, monotonic_time now) const;

    const std::map<discovery::replica_id, discovery::endpoint_record>& records() const { return m_table.records(); }
    /// Offset of the last change of the known endpoints, by own reads or copies.
    std::uint64_t changedOffset() const { return m_changedOffset; }
    bool isLoaded() const { return m_isLoaded; }

private:
    discovery::registry_change decode(const store_record& record);
    void dropUnknownRecords();
    void applyHold(std::uint32_t removalsHeldMs, bool reachesStore, monotonic_time now);
    void noteChange(const discovery::registry_change& change, std::uint64_t offset);
    std::uint32_t removalsHeldMs(monotonic_time now) const;

    const protocol_codec& m_codec;
    decision_log& m_log;
    discovery::endpoint_table m_table;
    // Raw records from the store, for copies to peers.
    std::map<std::string, store_record> m_records;
    // Offset up to which the log was read when the endpoint last changed.
    std::map<std::string, std::uint64_t> m_changedAt;
    std::uint64_t m_changedOffset = 0;
    // Offset of the first snapshot or copy of this history. What was removed before is unknown here.
    std::uint64_t m_completeSince = 0;
    bool m_isLoaded = false;
    bool m_mergesNext = false;
};

} // namespace carawaylink::gateway
