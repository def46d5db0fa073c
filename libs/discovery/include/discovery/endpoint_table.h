#pragma once

#include "base/ids.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::discovery {

/// Identity of one endpoint process; a later process at the same address has another one.
using replica_id = strong_value<struct replica_tag, std::string>;

/// What an endpoint has said of itself.
struct endpoint_record {
    replica_id id;
    service_id service;
    endpoint_id address;
    failure_domain domain;
    unsigned slots = 1;
    /// Takes no new requests any more.
    bool draining = false;
    /// Start of the process, unix milliseconds; tells restarts under one id apart.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// One change of the registry: a new record, or none where the entry was removed.
struct registry_change {
    replica_id id;
    std::optional<endpoint_record> record;
};

/// The endpoints of all services as the registry last told. Removals that the registry made while it was away are held back until
/// the endpoints had time to register again.
class endpoint_table {
public:
    /// Returns true where the set of usable endpoints changed.
    bool apply(const registry_change& change, monotonic_time now);
    /// Replaces the whole table; what is missing counts as removed.
    bool replaceAll(const std::vector<registry_change>& entries, monotonic_time now);
    /// Removals that arrive until then are held back until then.
    void holdRemovals(monotonic_time until) { m_holdUntil = until; }
    /// Ends the hold; removals that are held back are carried out by the next expire().
    void releaseRemovals();
    /// Time until the hold ends; zero without one.
    duration remainingHold(monotonic_time now) const { return std::max(m_holdUntil - now, duration {}); }
    /// Carries out removals whose time has come.
    bool expire(monotonic_time now);

    const std::map<replica_id, endpoint_record>& records() const { return m_records; }
    /// True for an endpoint that the registry itself still lists, as opposed to one whose removal is held back here.
    bool isListed(const replica_id& id) const { return m_records.contains(id) && !m_heldRemovals.contains(id); }

private:
    bool remove(const replica_id& id, monotonic_time now);

    std::map<replica_id, endpoint_record> m_records;
    std::map<replica_id, monotonic_time> m_heldRemovals;
    monotonic_time m_holdUntil {};
};

} // namespace carawaylink::discovery
