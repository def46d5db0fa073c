#pragma once

#include "base/ids.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
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
    /// Version of the software that the endpoint runs; empty if it does not tell.
    std::string version {};
    /// Milliseconds for which it is slower than later, when it registered. Falls with each renewal of the entry, so it is not compared.
    std::int64_t coldLeftMs = 0;

    friend bool operator==(const endpoint_record& one, const endpoint_record& other)
    {
        const auto fields = [](const endpoint_record& record) {
            return std::tie(record.id, record.service, record.address, record.domain, record.slots, record.draining, record.startedAtMs,
                record.version);
        };
        return fields(one) == fields(other);
    }
};

/// A change of the registry: a new record, or none if the entry was removed.
struct registry_change {
    replica_id id;
    std::optional<endpoint_record> record;
};

/// The endpoints of all services, as last reported by the registry. Entries removed during an outage of the registry are kept for a hold
/// time, so that their endpoints can register again. An endpoint that drains does so until its process starts again.
class endpoint_table {
public:
    /// Returns true if the table changed.
    bool apply(const registry_change& change, monotonic_time now);
    /// Replaces the whole table; missing entries count as removed.
    bool replaceAll(const std::vector<registry_change>& entries, monotonic_time now);
    /// Takes over a table of the registry that may be older than what is known here. Entries missing there are kept until holdUntil, for
    /// their endpoints to register again; those that were removed here do not return before suspectUntil, unless their endpoints register
    /// again.
    bool merge(const std::vector<registry_change>& entries, monotonic_time holdUntil, monotonic_time suspectUntil, monotonic_time now);
    /// Removals received before `until` take effect then, so that endpoints can register again after a registry outage.
    void holdRemovals(monotonic_time until) { m_holdUntil = until; }
    /// Ends the hold; deferred removals take effect at the next expire().
    void releaseRemovals();
    /// Time until the hold ends; zero without a hold.
    duration remainingHold(monotonic_time now) const { return std::max(m_holdUntil - now, duration {}); }
    /// Applies deferred removals and returns of endpoints that are due. Returns true if the table changed.
    bool expire(monotonic_time now);

    const std::map<replica_id, endpoint_record>& records() const { return m_records; }
    /// True if the registry itself still lists the endpoint; false if its removal is only deferred here.
    bool isListed(const replica_id& id) const { return m_records.contains(id) && !m_deferredRemovals.contains(id); }
    /// True if the endpoint is in the table, or will return to it unless the registry removes its entry.
    bool isKnown(const replica_id& id) const { return m_records.contains(id) || m_suspects.contains(id); }

private:
    /// An entry of an older copy of the registry whose endpoint was seen to leave.
    struct suspect_entry {
        endpoint_record record;
        monotonic_time until;
    };
    struct past_removal {
        std::int64_t startedAtMs = 0;
        monotonic_time time;
    };

    bool set(const endpoint_record& record);
    bool remove(const replica_id& id, monotonic_time now);
    bool erase(const replica_id& id, monotonic_time now);
    std::vector<replica_id> missingFrom(const std::vector<registry_change>& entries) const;
    bool mergeEntry(const endpoint_record& record, monotonic_time suspectUntil);

    std::map<replica_id, endpoint_record> m_records;
    std::map<replica_id, monotonic_time> m_deferredRemovals;
    std::map<replica_id, suspect_entry> m_suspects;
    /// Recent removals that took effect.
    std::map<replica_id, past_removal> m_removals;
    monotonic_time m_holdUntil {};
};

} // namespace carawaylink::discovery
