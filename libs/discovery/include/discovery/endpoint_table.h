#pragma once

#include "base/ids.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carawaylink::discovery {

/// Id under which an endpoint registers; a restarted process may reuse it, see startedAtMs.
using replica_id = strong_value<struct replica_tag, std::string>;

/// Registration of an endpoint, as published by the endpoint itself.
struct endpoint_record {
    replica_id id;
    service_id service;
    endpoint_id address;
    failure_domain domain;
    unsigned slots = 1;
    /// Accepts no new requests.
    bool draining = false;
    /// Start of the process in Unix milliseconds; distinguishes restarts under the same id.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// A change of the registry: a new record, or none if the entry was removed.
struct registry_change {
    replica_id id;
    std::optional<endpoint_record> record;
};

/// The endpoints of all services, as last reported by the registry. Entries removed during an outage of the registry are kept for a hold
/// time, so that their endpoints can register again.
class endpoint_table {
public:
    /// Returns true if the table changed.
    bool apply(const registry_change& change, monotonic_time now);
    /// Replaces the whole table; missing entries count as removed.
    bool replaceAll(const std::vector<registry_change>& entries, monotonic_time now);
    /// Removals received before `until` take effect then, so that endpoints can register again after a registry outage.
    void holdRemovals(monotonic_time until) { m_holdUntil = until; }
    /// Ends the hold; deferred removals take effect at the next expire().
    void releaseRemovals();
    /// Time until the hold ends; zero without a hold.
    duration remainingHold(monotonic_time now) const { return std::max(m_holdUntil - now, duration {}); }
    /// Applies deferred removals that are due. Returns true if the table changed.
    bool expire(monotonic_time now);

    const std::map<replica_id, endpoint_record>& records() const { return m_records; }
    /// True if the registry itself still lists the endpoint; false if its removal is only deferred here.
    bool isListed(const replica_id& id) const { return m_records.contains(id) && !m_deferredRemovals.contains(id); }

private:
    bool remove(const replica_id& id, monotonic_time now);

    std::map<replica_id, endpoint_record> m_records;
    std::map<replica_id, monotonic_time> m_deferredRemovals;
    monotonic_time m_holdUntil {};
};

} // namespace carawaylink::discovery
