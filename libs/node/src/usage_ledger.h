#pragma once

#include "base/ids.h"
#include "scheduling/types.h"
#include "ticket/ticket.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

/// What a team used in one tier. Counters only grow.
struct usage_counters {
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t outputTokens = 0;
    /// Time at the endpoint, in microseconds.
    std::uint64_t endpointMicroseconds = 0;

    friend bool operator==(const usage_counters&, const usage_counters&) = default;
};

using usage_key = std::pair<team_id, tier>;
using usage_table = std::map<usage_key, usage_counters>;

/// Accounts of all node processes. Each process publishes its own totals again and again; merging takes the greatest of each
/// counter, so that a record that is read twice, late or out of order is never counted twice. Not thread-safe.
class usage_ledger {
public:
    explicit usage_ledger(process_identity self);

    /// Adds a finished request of this process.
    void add(const team_id& team, tier level, const slot_release& release);
    /// True where something was added since the last call.
    bool takeChanged();

    /// Record with the totals of this process, and of all others that are known where compact is set.
    std::string encode(bool compact) const;
    /// Merges a record; throws error(invalid_message) where it is malformed.
    void merge(std::string_view record);

    /// Sum over all processes.
    usage_table total() const;

private:
    process_identity m_self;
    std::map<process_identity, usage_table> m_tables;
    bool m_changed = false;
};

} // namespace carawaylink
