#pragma once

#include "base/ids.h"
#include "scheduling/types.h"
#include "ticket/ticket.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carawaylink {

/// Usage of one team in one tier. Counters only grow.
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

/// Usage totals of all node processes. Each process repeatedly publishes its cumulative totals; merging takes the maximum of each
/// counter, so that records read twice, late or out of order are never counted twice. Not thread-safe.
class usage_ledger {
public:
    explicit usage_ledger(process_identity self);

    /// Adds a finished request of this process.
    void add(const team_id& team, tier level, const slot_release& release);
    /// True if something was added since the last call.
    bool consumeChanged();

    /// Encodes a record with the totals of this process, and with those of all other known processes if compact is set.
    std::string encode(bool compact) const;
    /// Merges a record; throws error(invalid_message) if it is malformed.
    void merge(std::string_view record);

    /// Sum over all processes.
    usage_table total() const;

private:
    process_identity m_self;
    std::map<process_identity, usage_table> m_tables;
    bool m_changed = false;
};

} // namespace carawaylink
