#pragma once

#include "decision_log.h"
#include "discovery/endpoint_table.h"
#include "gateway/protocol_codec.h"
#include "wire/generated/peer_state_generated.h"

#include <map>
#include <string>
#include <vector>

namespace carawaylink::gateway {

/// The endpoints as this node knows them, from its own reads of the store and from the copies of its peers. Does no I/O; offsets are
/// those of the endpoints' log that a change was read up to.
class endpoint_registry {
public:
    endpoint_registry(const protocol_codec& codec, decision_log& log)
        : m_codec(codec)
        , m_log(log)
    {
    }

    /// The newest record of each key, read from the store; true where the usable endpoints changed.
    bool replaceAll(const std::vector<store_record>& records, std::uint64_t offset, monotonic_time now);
    /// Records of the log, read from the store; true where peers have to be told.
    bool apply(const std::vector<store_record>& records, std::uint64_t offset, monotonic_time now);
    /// What a peer read from the store; reachesStore: this node reads it as well, and knows by itself of outages.
    bool applyCopy(const peer::store_copyT& copy, bool reachesStore, monotonic_time now);
    /// The store answers again; entries that lapsed meanwhile get time to come back.
    void storeReturned(duration away, monotonic_time now);
    /// Carries out removals whose time has come; true where the usable endpoints changed.
    bool expire(std::uint64_t offset, monotonic_time now);
    /// Adds what the store told to a copy for peers.
    void fillCopy(peer::store_copyT& copy, std::uint64_t offset, monotonic_time now) const;

    const std::map<discovery::replica_id, discovery::endpoint_record>& records() const { return m_table.records(); }
    /// Offset at which the view of the endpoints last changed, by own reads or copies.
    std::uint64_t changedOffset() const { return m_changedOffset; }
    bool isLoaded() const { return m_isLoaded; }

private:
    discovery::registry_change decode(const store_record& record);
    void dropUnknownRecords();

    const protocol_codec& m_codec;
    decision_log& m_log;
    discovery::endpoint_table m_table;
    // As the store tells them, for copies.
    std::map<std::string, store_record> m_records;
    std::uint64_t m_changedOffset = 0;
    bool m_isLoaded = false;
};

} // namespace carawaylink::gateway
